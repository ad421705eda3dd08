//! What is asked of the sources of the engine list, and what is read of their answers.

use driftfront::discovery::etcd::Etcd;
use driftfront::discovery::stream::Stream;
use driftfront::discovery::{read, EngineListWatch};
use driftfront_core::ListKind;
use driftfront_http::chunk;
use driftfront_settings::json::{parse, Json};
use driftfront_test_support::assert_golden;
use driftfront_test_support::message_transcript::MessageTranscript;

#[test]
fn etcd_is_asked_as_ever() {
    let mut wire = MessageTranscript::default();
    let mut etcd = Etcd::new("127.0.0.1:2379".into(), "/engines/".into());
    wire.record("range", etcd.open_request());
    let range = r#"{"header":{"revision":"41"},"kvs":[{"key":"L2VuZ2luZXMveA==","value":"eyJob3N0UG9ydCI6IjEyNy4wLjAuMTo5In0="}]}"#;
    let answer = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{range}",
        range.len()
    );
    let (mut out, mut updates) = (Vec::new(), Vec::new());
    etcd.decode(answer.as_bytes(), &mut out, &mut updates)
        .unwrap();
    wire.record("watch", &out);
    wire.record("watch on a new connection", etcd.open_request());
    etcd.set_host("127.0.0.2:2379".into());
    wire.record("watch at another address", etcd.open_request());
    let events = concat!(
        r#"{"result":{"events":["#,
        r#"{"type":"DELETE","kv":{"key":"L2VuZ2luZXMveA==","mod_revision":"50"}},"#,
        r#"{"kv":{"key":"L2VuZ2luZXMveQ==","value":"eyJob3N0UG9ydCI6IjEyNy4wLjAuMTo5In0=","mod_revision":"51"}}]}}"#,
        "\n"
    );
    let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let answer = [&head[..], &chunk(events.as_bytes())].concat();
    etcd.decode(&answer, &mut out, &mut updates).unwrap();
    wire.record("watch behind events", etcd.open_request());
    for update in &updates {
        wire.record("update", shown(update));
    }
    let every = Etcd::new("h".into(), String::new()).open_request();
    wire.record("range of all keys", every);
    let cancelled = chunk(b"{\"result\":{\"canceled\":true}}\n");
    let answer = [&head[..], &cancelled].concat();
    let ended = etcd.decode(&answer, &mut out, &mut updates);
    wire.record("cancelled", ended.unwrap_err().to_string());
    wire.record("range again", etcd.open_request());
    assert_golden!("wire/etcd.http", wire.bytes());
}

/// An update as it is read, in words that do not hang on the names of types.
fn shown(update: &tinyjson::JsonValue) -> String {
    let zones = ["building-a".to_string(), "building-b".into()];
    let kinds = ["std-8".to_string()];
    let told = match read(&zones, &kinds, Json(Some(update))) {
        Ok(told) => told,
        Err(e) => return format!("error: {e}"),
    };
    let mut text = match told.kind {
        ListKind::Full => "whole\n".to_string(),
        ListKind::Changes => "changes\n".to_string(),
        ListKind::Cached => "cached\n".to_string(),
    };
    for f in &told.descriptions {
        text += &format!(
            "engine {} at {:?} zone {} kind {} cell {} born {:?} {:?}\n",
            f.name, f.addr, f.zone, f.kind, f.cell, f.started_at, f.phase
        );
    }
    for (name, addr) in &told.coordinators {
        text += &format!("coordinator {name} at {addr}\n");
    }
    for rejected_entries in &told.rejected_entries {
        text += &format!("odd: {rejected_entries}\n");
    }
    text
}

#[test]
fn the_event_stream_is_asked_as_ever() {
    let mut wire = MessageTranscript::default();
    let mut stream = Stream::new("127.0.0.1:9000".into(), 0);
    wire.record("first", stream.open_request());
    let events = "HTTP/1.1 200 OK\r\n\r\n: c\n\nid: 7\ndata: {\"n\":\ndata: 1}\n\ndata: {\"index\":9}\n\nevent: x\r\n\r\n";
    let (mut out, mut updates) = (Vec::new(), Vec::new());
    stream
        .decode(events.as_bytes(), &mut out, &mut updates)
        .unwrap();
    wire.record("behind events", stream.open_request());
    stream.set_host("127.0.0.2:9000".into());
    wire.record("at another address", stream.open_request());
    wire.record("updates", updates.len().to_string());
    for bytes in [
        "HTTP/1.1 500 E\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        "no\r\n",
    ] {
        stream.open_request();
        let ended = stream.decode(bytes.as_bytes(), &mut out, &mut updates);
        wire.record("ends", ended.unwrap_err().to_string());
    }
    stream.open_request();
    let rejected_entries = b"HTTP/1.1 200 OK\r\n\r\nid: 10\ndata: {\n\n";
    let ended = stream.decode(rejected_entries, &mut out, &mut updates);
    wire.record("an event that is no JSON", ended.unwrap_err().to_string());
    assert_golden!("wire/event_stream.http", wire.bytes());
}

#[test]
fn updates_of_the_list_are_read_as_ever() {
    let mut text = MessageTranscript::default();
    for update in [
        r#"{"endpoints":{"reset":true,"instances":[
            {"instanceId":"e-1","hostPort":"127.0.0.1:1","zone":"building-b","machineType":"std-8","cell":3,"lifecycle":"ready","startedAtMs":5},
            {"instanceId":"e-2","zone":"nowhere","machineType":"odd","lifecycle":"draining","startedAtMs":0},
            {"instanceId":"e-3","hostPort":"what","lifecycle":"gone"},
            {"instanceId":"e-4","lifecycle":"new"},
            {"instanceId":"e-5"},
            {"hostPort":"127.0.0.1:1"},
            {"instanceId":"c-1","coordinator":"127.0.0.1:7946"},
            {"instanceId":"c-2","coordinator":"nowhere"},
            {"coordinator":"127.0.0.1:7947"}]}}"#,
        r#"{"endpoints":{"instances":[]}}"#,
        r#"{"endpoints":{}}"#,
    ] {
        text.record("update", shown(&parse(update.as_bytes()).unwrap()));
    }
    assert_golden!("wire/engine_list.txt", text.bytes());
}
