//! Subcommands, their help and exit codes; the operator's configuration file as `check` reads it, and the errors for invalid files.

use crate::{run_command, Folder};
use driftfront::config::Config;
use driftfront_control::commands::COMMANDS;
use driftfront_test_support::assert_golden;
use driftfront_test_support::coordinator::{example_configuration, platform_site};
use std::os::unix::fs::PermissionsExt;
use tinyjson::JsonValue;

/// The text of a file in `deploy/`.
fn deploy(name: &str) -> String {
    let path = format!("{}/../../deploy/{name}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(path).expect("a file in deploy/")
}

#[test]
fn help_completions_and_manual() {
    let folder = Folder::new("help");
    let mut text = run_command(&folder.0, &["--help"]);
    let help = text
        .split_once('\n')
        .expect("the command line")
        .1
        .to_string();
    for command in COMMANDS {
        let command_help = run_command(&folder.0, &[command.name, "--help"]);
        assert_eq!(
            command_help.split_once('\n').expect("the command line").1,
            help,
            "{}",
            command.name
        );
        text += &format!("the same: driftfront {} --help\n", command.name);
    }
    assert_golden!("operators/help.txt", text);
    for shell in ["bash", "zsh", "fish", "tcsh"] {
        let text = run_command(&folder.0, &["completions", shell]);
        assert_golden!(&format!("operators/completions.{shell}"), text);
    }
    assert_golden!("operators/manual.1", run_command(&folder.0, &["manual"]));
}

#[test]
#[allow(clippy::too_many_lines, reason = "a list of cases")]
fn exit_codes_and_messages_of_invalid_command_lines() {
    let folder = Folder::new("uses");
    folder.write("key", "0123456789abcdef\n");
    let command_lines: &[&[&str]] = &[
        &[],
        &["serv"],
        &["--config", "a"],
        &["serve"],
        &["serve", "--config"],
        &["serve", "--config", "none.kdl"],
        &["serve", "--config", "none.kdl", "--log", "loud"],
        &["serve", "--config", "none.kdl", "--port"],
        &["check"],
        &["check", "--config", "none.kdl"],
        &["check", "--config", "none.json"],
        &["check", "--config", "none.kdl", "more"],
        &["init", "a.kdl", "b.kdl"],
        &["init", "a.kdl"],
        &["init", "a.kdl"],
        &["init", "no/folder.kdl"],
        &["counters"],
        &["counters", "--at", "nowhere"],
        &["counters", "--at", "127.0.0.1:1"],
        &["completions"],
        &["version"],
        &["version", "more"],
        &["status", "--at", "no.sock"],
        &["status", "--at", "127.0.0.1:1"],
        &["status", "--at", "127.0.0.1:1", "--key-file", "none"],
        &["status", "--at", "127.0.0.1:1", "--key-file", "key"],
        &["status", "--at", "no.sock", "more"],
        &["engines", "--at", "no.sock", "--json"],
        &["classes", "--at", "no.sock"],
        &["queries", "--at", "no.sock"],
        &["members", "--at", "no.sock"],
        &["holds", "--at", "no.sock"],
        &["events", "--at", "no.sock"],
        &["console", "--at", "no.sock", "--plain"],
        &["console", "--at", "no.sock", "--fast"],
        &["drain", "--at", "no.sock"],
        &["drain", "e1", "--at", "no.sock"],
        &["resume", "--at", "no.sock"],
        &["pause", "--at", "no.sock"],
        &["unpause", "now", "--at", "no.sock"],
        &["add", "--at", "no.sock"],
        &["remove", "--at", "no.sock"],
        &["roll", "--back", "--stop", "--at", "no.sock"],
        &["hold", "--at", "no.sock"],
        &["hold", "a", "--for", "10", "--at", "no.sock"],
        &["hold", "a", "--for", "0s", "--at", "no.sock"],
        &["hold", "a", "--for", "9d", "--at", "no.sock"],
        &["hold", "a", "--for", "2h", "--at", "no.sock"],
        &["unhold", "--at", "no.sock"],
    ];
    let text: String = command_lines
        .iter()
        .map(|args| run_command(&folder.0, args))
        .collect();
    assert_golden!("operators/uses.txt", text);
    assert_golden!(
        "operators/init.kdl",
        std::fs::read(folder.0.join("a.kdl")).expect("init has written the file")
    );
    assert_eq!(
        deploy("appliance.kdl").into_bytes(),
        std::fs::read(folder.0.join("a.kdl")).expect("init has written the file")
    );
}

#[test]
fn check_of_configuration_and_key_files() {
    let folder = Folder::new("check");
    folder.write("appliance.kdl", &deploy("appliance.kdl"));
    folder.write("fleet.kdl", &deploy("fleet.kdl"));
    folder.write(
        "fleet-and-state.kdl",
        &(deploy("fleet.kdl") + "state \"state\"\n"),
    );
    folder.write("site.json", &example_configuration());
    folder.write(
        "etcd.kdl",
        "engines { etcd \"127.0.0.1:2379\" prefix=\"/engines/\"; }\nfront \"platform\"\n",
    );
    folder.write("file.kdl", "engines { file \"engines.json\"; }\n");
    let stream = platform_site::config("127.0.0.1:7".parse().expect("a socket address"));
    folder.write("stream.json", &stream);
    let check = |name: &str| run_command(&folder.0, &["check", "--config", name]);
    let mut text = check("fleet.kdl");
    folder.write("fleet.key", "0123456789abcdef0123456789abcdef\n");
    let set_mode = |mode| {
        std::fs::set_permissions(
            folder.0.join("fleet.key"),
            std::fs::Permissions::from_mode(mode),
        )
        .expect("the file mode is set")
    };
    set_mode(0o644);
    text += &check("fleet.kdl");
    set_mode(0o600);
    for name in [
        "fleet.kdl",
        "fleet-and-state.kdl",
        "appliance.kdl",
        "site.json",
        "etcd.kdl",
        "file.kdl",
        "stream.json",
    ] {
        text += &check(name);
    }
    for keys in [
        "",
        "xyz\n",
        "0123456789abcdef\n",
        "# two\n0123456789abcdef0123456789abcdef\n\nfedcba9876543210fedcba9876543210\n",
    ] {
        folder.write("fleet.key", keys);
        text += &format!("# fleet.key: {keys:?}\n{}", check("fleet.kdl"));
    }
    assert_golden!("operators/check.txt", text);
}

/// JSON with sorted keys. tinyjson uses hash maps, whose order varies.
pub(crate) fn sorted_json(value: &JsonValue) -> String {
    match value {
        JsonValue::Array(list) => format!(
            "[{}]",
            list.iter().map(sorted_json).collect::<Vec<_>>().join(",")
        ),
        JsonValue::Object(fields) => {
            let mut fields: Vec<String> = fields
                .iter()
                .map(|(k, v)| {
                    format!(
                        "{}:{}",
                        JsonValue::from(k.clone())
                            .stringify()
                            .expect("a JSON string"),
                        sorted_json(v)
                    )
                })
                .collect();
            fields.sort();
            format!("{{{}}}", fields.join(",\n"))
        }
        other => other.stringify().expect("JSON"),
    }
}

/// A configuration file with every setting.
const ALL_SETTINGS: &str = r#"
name "school"
listen "127.0.0.1:8200"
front "clickhouse"
engines {
    engine "a" at="127.0.0.1:1" building="west" kind="std-16"
    engine "b" at="127.0.0.1:2" building="east" kind="odd"
    engine "c" at="127.0.0.1:3"
}
kind "std-16" cores=16 memory-mb=4096
class "look" wanted="500 ms" patience="2.5 s" worth=2 threads=3 stretch=1.5 late-worth=0.25
class "load" wanted="1 s" patience="10 min" once=#true in-order=#true holds-tables=#true
class "again" wanted="300000 us" patience="1 s" repeats-dropped="20 s" in-order=#false
reads "look"
writes "load"
deduplicated "again"
limits memory-mb=64 sockets=512 open=300
results stall="3 s" upload="2 min"
state "/var/lib/driftfront"
control "/run/driftfront.sock"
fleet listen="127.0.0.1:7946" advertise="127.0.0.1:7950" key-file="fleet.key" zone="z" region="r" replace-after="90 s" {
    seed "127.0.0.1:7947"
    voter "school"
    voter "b"
    voter "c"
}
"#;

#[test]
fn operator_file_converted_to_platform_json() {
    let json = |text: &str| {
        sorted_json(&driftfront::operator_config::read(text).expect("well formed")) + "\n"
    };
    assert_golden!("operators/appliance.json", json(&deploy("appliance.kdl")));
    assert_golden!("operators/fleet.json", json(&deploy("fleet.kdl")));
    assert_golden!("operators/everything.json", json(ALL_SETTINGS));
    assert_golden!(
        "operators/smallest.json",
        json("engines { file \"engines.json\"; }\n")
    );
}

#[test]
fn values_of_a_configuration() {
    let text = [
        ALL_SETTINGS,
        &deploy("appliance.kdl"),
        "engines { file \"engines.json\"; }\n",
    ]
    .map(|text| values(&Config::from_operator_text(text).expect("well formed")))
    .join("\n");
    let json = values(&Config::read(example_configuration().as_bytes()).expect("well formed"));
    assert_golden!("operators/values.txt", text + "\n" + &json);
}

fn values(c: &Config) -> String {
    let mut text = format!(
        "name {}\nlisten {}\nseed {}\nsockets {}\nfront {:?}\n",
        c.name, c.listen, c.seed, c.max_descriptors, c.protocol
    );
    let r = &c.clickhouse;
    text += &format!(
        "read {} write {} deduplicated {:?} upload {} keep {}\nstall {} unread {}\n",
        r.read_class,
        r.write_class,
        r.deduplicated_class,
        r.upload_timeout,
        r.body_budget_bytes,
        c.result_stall_timeout,
        c.max_unread_bytes
    );
    text += &format!(
        "known {} {}\nclasses {:?} {:?}\ntenants {:?}\nzones {:?}\nkinds {:?}\ngauges {:?}\n",
        c.known_index,
        c.known_updates.len(),
        c.classes.names,
        c.classes.default_timeouts,
        c.tenants,
        c.zones,
        c.kinds,
        c.load_report_fields
    );
    let l = &c.limits;
    text += &format!(
        "connect {} idle {} streams {}\nopen {} probe {} margin {} each {} tokens {} doubts {}\n",
        c.connect_timeout,
        c.engine_idle_timeout,
        c.max_streams_per_connection,
        l.max_open_requests,
        l.probe_timeout,
        l.answer_margin,
        l.engines_report_attempts,
        l.max_idempotency_keys,
        l.max_unknown_outcomes
    );
    text += &format!(
        "control {:?} {:?}\nmanagement {:?}\nstate {:?}\n",
        c.control_socket, c.control_port, c.management_address, c.state_folder
    );
    if let Some(f) = &c.cluster {
        text += &format!(
            "fleet {} {:?} {:?} {:?} {} {} {:?} {}\n",
            f.listen, f.advertise, f.key_file, f.seeds, f.zone, f.region, f.voters, f.replace_after
        );
    }
    text
}

#[test]
#[allow(clippy::too_many_lines, reason = "a list of cases")]
fn errors_of_invalid_configuration_files() {
    let folder = Folder::new("mistakes");
    folder.write("short.key", "short\n");
    let engines = "engines { engine \"e\" at=\"127.0.0.1:1\"; }\n";
    let mut text = String::new();
    for invalid in [
        "lissten \"x\"\n",
        "altogether \"x\"\n",
        "listen 5\n",
        "listen\n",
        "listen \"a\" \"b\"\n",
        "\n  listen \"here\"\n",
        "front \"mysql\"\n",
        "class \"a\" wanted=\"500\" patience=\"1 s\"\n",
        "class \"a\" wanted=\"2 s\" patience=\"1 s\"\n",
        "class \"a\" patience=\"1 s\"\n",
        "class \"a\" wanted=\"1 s\"\n",
        "class \"a\" wanted=\"1 s\" patience=\"25 h\"\n",
        "class \"a\" wanted=\"1 s\" patience=\"2 s\" once=\"yes\"\n",
        "class \"a\" wanted=\"1 s\" patience=\"2 s\" threads=0\n",
        "class \"a\" wanted=\"1 s\" patience=\"2 s\" late-worth=1.5\n",
        "class \"a\" wanted=\"1 s\" patience=\"2 s\" repeats-dropped=5\n",
        "class \"a\" wonted=\"1 s\"\n",
        "limits sockets=3\n",
        "limits memory-mb=\"x\"\n",
        "limits open=5000\n",
        "results stall=\"0 s\"\n",
        "results stal=\"1 s\"\n",
        "kind \"k\" cores=0\n",
        "reads \"nothing\"\n",
        "writes 7\n",
        "deduplicated \"nothing\"\n",
        "fleet key-file=\"k\"\n",
        "fleet listen=\"127.0.0.1:1\"\n",
        "fleet listen=\"x\" key-file=\"k\"\n",
        "fleet listen=\"127.0.0.1:1\" advertise=\"x\" key-file=\"k\"\n",
        "fleet listen=\"127.0.0.1:1\" key-file=\"k\" replace-after=\"soon\"\n",
        "fleet listen=\"127.0.0.1:1\" key-file=\"k\" {\n  seed \"x\"\n}\n",
        "fleet listen=\"127.0.0.1:1\" key-file=\"k\" {\n  member \"x\"\n}\n",
        "fleet listen=\"127.0.0.1:1\" key-file=\"k\" {\n  voter \"x\"\n  voter \"x\"\n  voter \"y\"\n}\n",
        "engines {\n  engine \"e\" at=\"here\"\n}\n",
        "engines {\n  engine \"e\"\n}\n",
        "engines {\n  engine \"e\" at=\"127.0.0.1:1\"\n  engine \"e\" at=\"127.0.0.1:2\"\n}\n",
        "engines {\n  engin \"e\"\n}\n",
        "engines {\n  engine \"e\" on=\"127.0.0.1:1\"\n}\n",
        "engines {\n}\n",
        "listen \"127.0.0.1:1\"\nlisten \"127.0.0.1:1\"\n",
        "",
        "engines {",
        "\"",
    ] {
        let full_text = if invalid.contains("engines") || invalid.len() < 2 { invalid.to_string() } else { invalid.to_string() + engines };
        folder.write("wrong.kdl", &full_text);
        text += &format!("--- {full_text:?}\n{}", run_command(&folder.0, &["check", "--config", "wrong.kdl"]));
    }
    assert_golden!("operators/mistakes.txt", text);
    let mut text = String::new();
    for (from, to) in [
        ("{", "["),
        ("\"listen\": \"127.0.0.1:8123\"", "\"listen\": 5"),
        ("127.0.0.1:8123", "here"),
        ("\"front\": \"clickhouse\"", "\"front\": \"mysql\""),
        ("\"read\": \"lookup\"", "\"read\": \"nothing\""),
        ("\"read\": \"lookup\"", "\"read\": \"lookup\", \"stall_ms\": 0"),
        ("\"read\": \"lookup\"", "\"read\": \"lookup\", \"upload_ms\": \"x\""),
        ("\"front\"", "\"coordinator\": \"127.0.0.1:9\", \"front\""),
        ("{\"file\": \"deploy/engines.json\"}", "{\"etcd\": \"x\"}"),
        ("\"membership\"", "\"coordinator\": \"x\", \"other\""),
        ("\"front\"", "\"control_port\": {\"at\": \"x\"}, \"front\""),
        ("\"front\"", "\"control_port\": {\"at\": \"1.2.3.4:5\"}, \"front\""),
        ("\"front\"", "\"control_port\": {\"at\": \"127.0.0.1:5\"}, \"front\""),
        ("\"front\"", "\"control_port\": {\"at\": \"127.0.0.1:5\", \"key_file\": \"none\"}, \"front\""),
        ("\"front\"", "\"control_port\": {\"at\": \"127.0.0.1:5\", \"key_file\": \"short.key\"}, \"front\""),
        ("\"front\"", "\"fleet\": {}, \"front\""),
        ("\"front\"", "\"fleet\": {\"listen\": \"x\"}, \"front\""),
        ("\"front\"", "\"fleet\": {\"listen\": \"127.0.0.1:5\"}, \"front\""),
        ("\"front\"", "\"fleet\": {\"listen\": \"127.0.0.1:5\", \"key_file\": \"k\", \"seeds\": [\"x\"]}, \"front\""),
        ("\"front\": \"clickhouse\"", "\"fleet\": {\"listen\": \"127.0.0.1:5\", \"key_file\": \"k\"}"),
        ("\"Profiles\"", "\"Other\""),
        ("\"Effect\": \"free\"", "\"Effect\": \"odd\""),
        ("\"OnTimeUs\": 500000", "\"OnTimeUs\": \"x\""),
    ] {
        let valid = example_configuration();
        assert!(valid.contains(from), "{from}");
        folder.write("wrong.json", &valid.replacen(from, to, 1));
        text += &format!("--- {from} -> {to}\n{}", run_command(&folder.0, &["check", "--config", "wrong.json"]));
    }
    assert_golden!("operators/mistakes-json.txt", text);
}
