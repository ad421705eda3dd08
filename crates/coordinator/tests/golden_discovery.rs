//! Golden tests of discovery: the requests to each source of the engine list and how its responses are decoded.

use driftfront::discovery::etcd::Etcd;
use driftfront::discovery::stream::Stream;
use driftfront::discovery::{read, EngineListWatch};
use driftfront_core::ListKind;
use driftfront_http::chunk;
use driftfront_settings::json::{parse, Json};
use driftfront_test_support::assert_golden;
use driftfront_test_support::message_transcript::MessageTranscript;

#[test]
fn etcd_requests_and_updates_match_the_golden_file() {
    let mut transcript = MessageTranscript::default();
    let mut etcd = Etcd::new("127.0.0.1:2379".into(), "/engines/".into());
    transcript.record("range", etcd.open_request());
    let range = r#"{"header":{"revision":"41"},"kvs":[{"key":"L2VuZ2luZXMveA==","value":"eyJob3N0UG9ydCI6IjEyNy4wLjAuMTo5In0="}]}"#;
    let response = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{range}",
        range.len()
    );
    let (mut out, mut updates) = (Vec::new(), Vec::new());
    etcd.decode(response.as_bytes(), &mut out, &mut updates)
        .unwrap();
    transcript.record("watch", &out);
    transcript.record("watch on a new connection", etcd.open_request());
    etcd.set_host("127.0.0.2:2379".into());
    transcript.record("watch at another address", etcd.open_request());
    let events = concat!(
        r#"{"result":{"events":["#,
        r#"{"type":"DELETE","kv":{"key":"L2VuZ2luZXMveA==","mod_revision":"50"}},"#,
        r#"{"kv":{"key":"L2VuZ2luZXMveQ==","value":"eyJob3N0UG9ydCI6IjEyNy4wLjAuMTo5In0=","mod_revision":"51"}}]}}"#,
        "\n"
    );
    let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let response = [&head[..], &chunk(events.as_bytes())].concat();
    etcd.decode(&response, &mut out, &mut updates).unwrap();
    transcript.record("watch behind events", etcd.open_request());
    for update in &updates {
        transcript.record("update", format_update(update));
    }
    let all_keys = Etcd::new("h".into(), String::new()).open_request();
    transcript.record("range of all keys", all_keys);
    let cancelled = chunk(b"{\"result\":{\"canceled\":true}}\n");
    let response = [&head[..], &cancelled].concat();
    let result = etcd.decode(&response, &mut out, &mut updates);
    transcript.record("cancelled", result.unwrap_err().to_string());
    transcript.record("range again", etcd.open_request());
    assert_golden!("wire/etcd.http", transcript.bytes());
}

/// Formats a decoded update without the names of Rust types, so that the golden files survive their renaming.
fn format_update(update: &tinyjson::JsonValue) -> String {
    let zones = ["building-a".to_string(), "building-b".into()];
    let kinds = ["std-8".to_string()];
    let listing = match read(&zones, &kinds, Json(Some(update))) {
        Ok(listing) => listing,
        Err(e) => return format!("error: {e}"),
    };
    let mut text = match listing.kind {
        ListKind::Full => "whole\n".to_string(),
        ListKind::Changes => "changes\n".to_string(),
        ListKind::Cached => "cached\n".to_string(),
    };
    for description in &listing.descriptions {
        text += &format!(
            "engine {} at {:?} zone {} kind {} cell {} born {:?} {:?}\n",
            description.name,
            description.addr,
            description.zone,
            description.kind,
            description.cell,
            description.started_at,
            description.phase
        );
    }
    for (name, addr) in &listing.coordinators {
        text += &format!("coordinator {name} at {addr}\n");
    }
    for rejected_entry in &listing.rejected_entries {
        text += &format!("odd: {rejected_entry}\n");
    }
    text
}

#[test]
fn event_stream_requests_and_errors_match_the_golden_file() {
    let mut transcript = MessageTranscript::default();
    let mut stream = Stream::new("127.0.0.1:9000".into(), 0);
    transcript.record("first", stream.open_request());
    let events = "HTTP/1.1 200 OK\r\n\r\n: c\n\nid: 7\ndata: {\"n\":\ndata: 1}\n\ndata: {\"index\":9}\n\nevent: x\r\n\r\n";
    let (mut out, mut updates) = (Vec::new(), Vec::new());
    stream
        .decode(events.as_bytes(), &mut out, &mut updates)
        .unwrap();
    transcript.record("behind events", stream.open_request());
    stream.set_host("127.0.0.2:9000".into());
    transcript.record("at another address", stream.open_request());
    transcript.record("updates", updates.len().to_string());
    for bytes in [
        "HTTP/1.1 500 E\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        "no\r\n",
    ] {
        stream.open_request();
        let result = stream.decode(bytes.as_bytes(), &mut out, &mut updates);
        transcript.record("ends", result.unwrap_err().to_string());
    }
    stream.open_request();
    let invalid_event = b"HTTP/1.1 200 OK\r\n\r\nid: 10\ndata: {\n\n";
    let result = stream.decode(invalid_event, &mut out, &mut updates);
    transcript.record("an event that is no JSON", result.unwrap_err().to_string());
    assert_golden!("wire/event_stream.http", transcript.bytes());
}

#[test]
fn engine_list_updates_are_decoded_as_in_the_golden_file() {
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
        text.record("update", format_update(&parse(update.as_bytes()).unwrap()));
    }
    assert_golden!("wire/engine_list.txt", text.bytes());
}
