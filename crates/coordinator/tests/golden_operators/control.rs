//! Replies on the control socket, calls to the management address, and the counters.

use crate::commands::sorted_json;
use crate::Folder;
use driftfront_control::{Request, MAX_REPLY_BYTES};
use driftfront_test_support::assert_golden;
use driftfront_test_support::coordinator::clickhouse_site::SiteOptions;
use driftfront_test_support::coordinator::platform_site::Site as PlatformSite;
use driftfront_test_support::coordinator::{get, TEST_TIMEOUT};
use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::net::UnixStream;
use tinyjson::JsonValue;

/// Replaces numbers, times, ports and paths by placeholders and keeps all other text.
fn normalized(value: &JsonValue) -> JsonValue {
    match value {
        JsonValue::Number(_) => JsonValue::String("NUMBER".into()),
        JsonValue::Array(list)
            if list.iter().all(|v| matches!(v, JsonValue::Number(_))) && !list.is_empty() =>
        {
            JsonValue::String("NUMBERS".into())
        }
        JsonValue::Array(list) => JsonValue::Array(list.iter().map(normalized).collect()),
        JsonValue::Object(fields) => {
            // The age of the last probe response, which is null before the first one.
            let normalized_field = |k: &str, v: &JsonValue| {
                if k == "heard_ms" {
                    JsonValue::Null
                } else {
                    normalized(v)
                }
            };
            JsonValue::Object(
                fields
                    .iter()
                    .map(|(k, v)| (k.clone(), normalized_field(k, v)))
                    .collect(),
            )
        }
        JsonValue::String(text) => {
            let port = text
                .strip_prefix("127.0.0.1:")
                .filter(|p| p.parse::<u16>().is_ok());
            let text = if text.starts_with("the file ") {
                "the file LIST"
            } else {
                text
            };
            JsonValue::String(port.map_or(text, |_| "127.0.0.1:PORT").into())
        }
        other => other.clone(),
    }
}

fn normalized_line(line: &str) -> String {
    let value = line.parse::<JsonValue>().expect("JSON");
    sorted_json(&normalized(&value)) + "\n"
}

/// A connection to the control socket.
struct Operator(BufReader<UnixStream>);

impl Operator {
    fn connect(folder: &Folder) -> Operator {
        let stream = UnixStream::connect(folder.0.join("control")).expect("the socket accepts");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("the timeout is set");
        Operator(BufReader::new(stream))
    }

    fn read_line(&mut self) -> String {
        let mut line = String::new();
        let bytes_read = (&mut self.0)
            .take(MAX_REPLY_BYTES as u64)
            .read_line(&mut line)
            .expect("a reply line");
        assert!(bytes_read > 0, "the connection was closed");
        line
    }

    fn ask(&mut self, line: &str) -> String {
        self.0
            .get_mut()
            .write_all(line.as_bytes())
            .expect("the write succeeds");
        let reply = self.read_line();
        format!("> {line}{}", normalized_line(&reply))
    }
}

/// The line of a request, with sorted fields.
fn request_line(request: &Request) -> String {
    let value = request.line(7).parse::<JsonValue>().expect("JSON");
    sorted_json(&value).replace('\n', "") + "\n"
}

/// A site with two engines, a control socket, a state folder and a management address.
fn plan(folder: &Folder) -> SiteOptions {
    let settings = format!(
        "\"control\": \"{0}/control\", \"state\": \"{0}/state\", \"limits\"",
        folder.0.display()
    );
    SiteOptions::with_engines(2)
        .with("\"limits\"", &settings)
        .with("\"limits\"", "\"management\": \"127.0.0.1:0\", \"limits\"")
}

/// Opens a client connection with an incomplete request, which keeps a paused coordinator in the state `draining`.
fn open_incomplete_request(addr: std::net::SocketAddr) -> std::net::TcpStream {
    let mut client = std::net::TcpStream::connect(addr).expect("the socket accepts");
    client
        .write_all(b"POST / HTTP/1.1\r\n")
        .expect("the write succeeds");
    client
}

#[test]
#[allow(clippy::too_many_lines, reason = "a list of cases")]
fn replies_on_the_control_socket() {
    let folder = Folder::new("control");
    let site = plan(&folder).start();
    assert_eq!(site.query("SELECT 1").status, 200);
    let _client = open_incomplete_request(site.coordinator.addr);
    let mut operator = Operator::connect(&folder);
    let mut text = normalized_line(&operator.read_line());
    let add = Request::Add {
        engine: "e9".into(),
        addr: "127.0.0.1:9".into(),
        zone: String::new(),
        kind: String::new(),
    };
    let hold = Request::Hold {
        name: "h".into(),
        for_s: 60,
        stays: true,
        note: "why".into(),
    };
    for request in [
        Request::Drain {
            engine: "e0".into(),
            force: false,
        },
        Request::Drain {
            engine: "e0".into(),
            force: false,
        },
        Request::Drain {
            engine: "e1".into(),
            force: false,
        },
        Request::Drain {
            engine: "e7".into(),
            force: true,
        },
        Request::Resume("e0".into()),
        Request::Resume("e0".into()),
        Request::Remove {
            engine: "e1".into(),
            force: false,
        },
        add.clone(),
        add,
        Request::Remove {
            engine: "e9".into(),
            force: true,
        },
        Request::Remove {
            engine: "e9".into(),
            force: true,
        },
        Request::Pause,
        Request::Pause,
        Request::Unpause,
        Request::Unpause,
        hold,
        Request::Unhold("h".into()),
        Request::EngineReturned,
        Request::RollStop,
        Request::RollResume,
        Request::Roll(vec![], true),
        Request::Roll(vec!["e0".into()], false),
        Request::RollStop,
        Request::RollResume,
        Request::RollStop,
        Request::Auth("x".into()),
    ] {
        text += &operator.ask(&request_line(&request));
    }
    for invalid in [
        "nonsense\n",
        "{}\n",
        "{\"v\":2,\"id\":3,\"do\":\"snapshot\"}\n",
        "{\"v\":1,\"id\":3}\n",
        "{\"v\":1,\"id\":3,\"do\":\"dance\"}\n",
        "{\"v\":1,\"id\":3,\"do\":\"drain\"}\n",
        "{\"v\":1,\"id\":3,\"do\":\"hold\",\"name\":\"a\"}\n",
        "{\"v\":1,\"id\":3,\"do\":\"add\",\"engine\":\"a\\tb\",\"addr\":\"127.0.0.1:4\"}\n",
        "{\"v\":1,\"id\":3,\"do\":\"add\",\"engine\":\"ab\",\"addr\":\"here\"}\n",
        "{\"v\":1,\"id\":3,\"do\":\"add\",\"engine\":\"ab\",\"addr\":\"127.0.0.1:4\",\"zone\":\"none\"}\n",
        "{\"v\":1,\"id\":3,\"do\":\"add\",\"engine\":\"ab\",\"addr\":\"127.0.0.1:4\",\"kind\":\"none\"}\n",
    ] {
        text += &operator.ask(invalid);
    }
    assert_golden!("operators/control-replies.txt", text);
}

#[test]
fn snapshot_and_events_on_the_control_socket() {
    let folder = Folder::new("snapshot");
    let site = plan(&folder).start();
    assert_eq!(site.query("SELECT 1").status, 200);
    let mut operator = Operator::connect(&folder);
    operator.read_line();
    operator.ask(&request_line(&Request::Drain {
        engine: "e0".into(),
        force: false,
    }));
    let mut text = operator.ask(&request_line(&Request::Snapshot));
    assert!(text.contains("\"snapshot\":{"), "{text}");
    text += &operator.ask(&request_line(&Request::Events(false)));
    while !text.contains("\"done\"") {
        text += &normalized_line(&operator.read_line());
    }
    let follow = operator.ask(&request_line(&Request::Follow(200)));
    assert!(follow.contains("\"snapshot\":{"), "{follow}");
    assert_golden!("operators/control-snapshot.txt", text);
}

#[test]
fn calls_to_the_management_address() {
    let folder = Folder::new("second");
    let site = plan(&folder).start();
    let _client = open_incomplete_request(site.coordinator.addr);
    let mut text = String::new();
    for call in [
        "STATUS\n",
        "STATUS\r\n",
        "SUSPEND e0\n",
        "SUSPEND e0\n",
        "SUSPEND e1\n",
        "STATUS\n",
        "RESTORE e0\n",
        "RESTORE e0\n",
        "RESTORE e1\n",
        "SUSPEND e7\n",
        "RESTORE e7\n",
        "PAUSE\n",
        "PAUSE\n",
        "STATUS\n",
        "RESUME\n",
        "RESUME\n",
        "\n",
        "status\n",
        "SUSPEND\n",
        "PAUSE now\n",
    ] {
        text += &format!("> {call:?}\n{:?}\n", site.coordinator.call_management(call));
    }
    assert_golden!("operators/calls.txt", text);
    assert_golden!(
        "operators/counters-clickhouse.txt",
        counter_names(&get(site.coordinator.addr, "/counters").text())
    );
}

/// The names of the counters, in their order.
fn counter_names(counters: &str) -> String {
    counters
        .lines()
        .map(|l| {
            l.rsplit_once(' ')
                .expect("a counter name and a value")
                .0
                .to_string()
                + "\n"
        })
        .collect()
}

#[test]
fn counters_of_the_platform_protocol() {
    let site = PlatformSite::start(2);
    assert_eq!(site.request("lookup", 2500, "SELECT 1").status, 200);
    let answer = get(site.coordinator.addr, "/counters");
    let text = format!(
        "{:?}\n{}",
        answer
            .headers
            .iter()
            .map(|h| h.0.clone())
            .collect::<Vec<_>>(),
        counter_names(&answer.text())
    );
    assert_golden!("operators/counters-platform.txt", text);
}

#[test]
fn counters_of_a_cluster_with_one_member() {
    use std::os::unix::fs::PermissionsExt;
    let folder = Folder::new("counters");
    folder.write("key", "0123456789abcdef0123456789abcdef\n");
    std::fs::set_permissions(folder.0.join("key"), std::fs::Permissions::from_mode(0o600))
        .expect("the file mode is set");
    let cluster_settings = format!(
        "\"fleet\": {{\"listen\": \"127.0.0.1:0\", \"key_file\": \"{}/key\", \"voters\": [\"a\", \"b\", \"c\"], \"zone\": \"z\"}}, \"limits\"",
        folder.0.display()
    );
    let site = plan(&folder).with("\"limits\"", &cluster_settings).start();
    assert_eq!(site.query("SELECT 1").status, 200);
    assert_golden!(
        "operators/counters-fleet.txt",
        counter_names(&get(site.coordinator.addr, "/counters").text())
    );
    let mut operator = Operator::connect(&folder);
    operator.read_line();
    assert_golden!(
        "operators/control-snapshot-fleet.txt",
        operator.ask(&request_line(&Request::Snapshot))
    );
}
