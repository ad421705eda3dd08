//! Formatting and parsing of the snapshot.

use driftfront_control::snapshot::{Class, Engine, Service, Snapshot};
use driftfront_control::Field;

#[test]
fn snapshot_round_trips_and_missing_members_take_defaults() {
    let engine = Engine {
        name: "e\"1".into(),
        heard_ms: Some(12),
        ..Engine::default()
    };
    let class = Class {
        hour: Service {
            p99_ms: 1.5,
            ..Service::default()
        },
        ..Class::default()
    };
    let snapshot = Snapshot {
        engines: vec![engine],
        classes: vec![class],
        sessions: vec![2, 1],
        ..Snapshot::default()
    };
    let text = Field::to_json(&snapshot).stringify().expect("JSON");
    assert_eq!(
        Snapshot::from_json(&text.parse().expect("JSON")),
        Some(snapshot)
    );
    let older: tinyjson::JsonValue = r#"{"name":"n","engines":[{"name":"e"}],"newer":1}"#
        .parse()
        .expect("JSON");
    assert!(Snapshot::from_json(&older).is_some_and(|s| s.engines[0].heard_ms.is_none()));
    let malformed: tinyjson::JsonValue = r#"{"name":5}"#.parse().expect("JSON");
    assert_eq!(Snapshot::from_json(&malformed), None);
}
