//! Parsing of fault scripts.

use driftfront_cluster_simulation::{Directions, FaultAction, Group, Link, Script, TimedAction};

#[test]
fn script_is_parsed_and_errors_contain_the_line() {
    let text = "members 8 zones=2\nseed 7\nuntil \"40 s\"\nlink \"all\" \"z1\" delay=\"2 ms\" loss=0.3\n\
                at \"5 s\" { cut \"m0\" \"m1\" ways=\"out\"; heal }\nat \"1 s\" { clock \"m5\" by=\"-3600 s\" }\n";
    let script = Script::read(text).unwrap();
    assert_eq!(
        (script.members, script.zones, script.seed, script.until),
        (8, 2, 7, 40_000_000)
    );
    let link = Link {
        loss: 0.3,
        delay: 2_000,
        ..Link::default()
    };
    assert_eq!(
        script.actions,
        [
            (0, FaultAction::Link(Group::All, Group::Zone(1), link)),
            (
                1_000_000,
                FaultAction::Clock(vec![Group::Member(5)], -3_600_000_000)
            ),
            (
                5_000_000,
                FaultAction::Cut(
                    vec![Group::Member(0), Group::Member(1)],
                    Directions::OUTGOING
                )
            ),
            (5_000_000, FaultAction::Heal),
        ]
        .map(|(at, action)| TimedAction { at, action })
    );
    for (text, line) in [
        ("members 3\n\nat \"x\" { heal }", "line 3: at"),
        ("at \"1 s\" {\n  fly \"m1\"\n}", "line 2: fly"),
        ("link \"all\" loss=0.1", "line 1: link"),
        ("link \"all\" \"m1\" loss=7", "line 1: link"),
        ("cut \"somebody\"", "line 1: cut"),
        ("members {", "line 1"),
    ] {
        let error = Script::read(text).unwrap_err().to_string();
        assert!(error.starts_with(line), "{text}: {error}");
    }
}
