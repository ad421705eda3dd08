//! Alarms and tables.

use driftfront_console::messages::{
    self, alarms, column_widths, engine_state, is_silent, plain_text, wrap_text,
};
use driftfront_control::snapshot::{Class, Engine, Service, Snapshot};

fn engine(name: &str, phase: &str, running: u64, imports: u64, heard_ms: u64) -> Engine {
    let (name, phase, heard_ms) = (name.into(), phase.into(), Some(heard_ms));
    Engine {
        name,
        phase,
        running,
        imports,
        heard_ms,
        ..Engine::default()
    }
}

#[test]
fn silent_engine_with_an_import_raises_an_alarm() {
    let engines = vec![
        engine("engine-1", "ready", 4, 0, 10),
        engine("engine-2", "ready", 1, 1, 12_000),
    ];
    let s = Snapshot {
        engines,
        ..Snapshot::default()
    };
    let expected =
        "engine-2 has said nothing for 12 s. One import runs there; it will not be sent again.";
    assert_eq!(alarms(&s), [expected]);
    assert_eq!(engine_state(&s.engines[1]), "silent");
    let both = Snapshot {
        engines: vec![engine("e", "ready", 5, 2, 9000)],
        ..Snapshot::default()
    };
    assert!(alarms(&both)[0].ends_with("they will not be sent again. Three queries run too."));
    // An engine without queries is expected to be silent.
    assert!(!is_silent(&engine("e", "ready", 0, 0, 90_000)));
}

#[test]
fn pause_and_new_version_raise_alarms() {
    let alarms_in = |state: &str| {
        let engines = vec![engine("e", "ready", 0, 0, 0)];
        let s = Snapshot {
            state: state.into(),
            connections: vec![3, 1],
            engines,
            ..Snapshot::default()
        };
        alarms(&s).join(" ")
    };
    assert!(alarms_in("draining").contains("three connections are left"));
    assert!(
        alarms_in("drained").contains("unpause")
            && alarms_in("handing over").contains("new version")
    );
    assert_eq!(alarms_in("ready"), "");
}

#[test]
fn no_ready_engine_and_poor_service_raise_alarms() {
    let mut s = Snapshot {
        engines: vec![engine("e", "draining", 2, 0, 0)],
        ..Snapshot::default()
    };
    s.engines[0].order = "drain".into();
    s.engines[0].order_by = "operator".into();
    let minute = Service {
        asked: 20,
        in_time: 5,
        ..Service::default()
    };
    s.classes = vec![Class {
        name: "lookup".into(),
        wanted_ms: 500,
        minute,
        ..Class::default()
    }];
    let alarms = alarms(&s).join("\n");
    for message in [
        "No engine takes work",
        "e drains, by operator. Two queries run there.",
        "only 25 in 100 were answered within 500 ms",
    ] {
        assert!(alarms.contains(message), "{message}: {alarms}");
    }
}

#[test]
fn tables_drop_columns_from_the_right_to_fit_the_width() {
    let engines = (0..3)
        .map(|n| engine(&format!("engine-{n}"), "ready", n, 0, 0))
        .collect();
    let s = Snapshot {
        name: "school".into(),
        engines,
        ..Snapshot::default()
    };
    for width in [20, 40, 80, 200] {
        let text = plain_text(&s, width);
        let table = messages::engine_table(&s);
        let widths = column_widths(&table, width);
        assert!(widths.iter().sum::<usize>() + 2 * (widths.len() - 1) <= width);
        assert!(text.contains("engine-2") && (width < 30 || text.contains("ready")));
    }
    assert!(
        column_widths(&messages::engine_table(&s), 200).len()
            > column_widths(&messages::engine_table(&s), 40).len()
    );
    assert_eq!(wrap_text("one two three", 7), ["one two", "three"]);
    assert_eq!(wrap_text("abcdefgh", 3), ["abc", "def", "gh"]);
}
