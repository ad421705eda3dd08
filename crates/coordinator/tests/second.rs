//! Features that only some deployments enable, tested through the program: tenants, idempotency keys, memory grants, query costs
//! that engines report, and the command that cancels a running query. The tests depend on settings and the protocol, not on the
//! name of a deployment.

use driftfront_test_support::coordinator::engine_list::EngineList;
use driftfront_test_support::coordinator::platform_site::config;
use driftfront_test_support::coordinator::{
    instance, post, start_mock_server, Coordinator, Response, TEST_TIMEOUT,
};
use quickcheck::{Arbitrary, Gen};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};

/// A command that an engine received.
#[derive(Clone, Debug)]
struct Command {
    engine: usize,
    verb: String,
    id: String,
    fields: BTreeMap<String, String>,
    statement: String,
}

/// The commands that all engines received, in order of arrival.
#[derive(Default)]
struct CommandLog {
    commands: Mutex<Vec<Command>>,
    appended: Condvar,
}

impl CommandLog {
    fn append(&self, command: Command) {
        self.commands.lock().unwrap().push(command);
        self.appended.notify_all();
    }

    fn all(&self) -> Vec<Command> {
        self.commands.lock().unwrap().clone()
    }

    /// The queries whose statement contains this text.
    fn queries(&self, statement: &str) -> Vec<Command> {
        self.all()
            .into_iter()
            .filter(|c| c.verb == "REQ" && c.statement.contains(statement))
            .collect()
    }

    /// Waits until the commands so far satisfy the condition.
    fn wait_until(&self, what: &str, is_met: impl Fn(&[Command]) -> bool) {
        let commands = self.commands.lock().unwrap();
        let (_commands, result) = self
            .appended
            .wait_timeout_while(commands, TEST_TIMEOUT, |commands| !is_met(commands))
            .unwrap();
        assert!(!result.timed_out(), "timed out waiting for {what}");
    }
}

/// A mock engine that accepts only commands that the protocol allows. Words in a statement select how it responds.
#[allow(clippy::too_many_lines, reason = "one branch per command")]
fn serve_engine(stream: TcpStream, engine: usize, log: &CommandLog) {
    let mut out = stream.try_clone().unwrap();
    let mut input = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if input.read_line(&mut line).unwrap_or(0) == 0 {
            return;
        }
        let line = line
            .strip_suffix("\r\n")
            .unwrap_or_else(|| panic!("line does not end with CR LF: {line:?}"));
        let words: Vec<&str> = line.split(' ').collect();
        let mut command = Command {
            engine,
            verb: words[0].into(),
            id: words[1].into(),
            fields: BTreeMap::new(),
            statement: String::new(),
        };
        let answer = match words[..] {
            ["STAT", tag] => format!("{tag} PONG gauges=util:0.2;queue:0 0\r\n\r\n"),
            ["STOP" | "END", id] => {
                assert!(id.len() == 16, "{line}");
                String::new()
            }
            ["REQ", id, fields, length] => {
                assert!(
                    id.len() == 16 && id.bytes().all(|b| b.is_ascii_hexdigit()),
                    "{line}"
                );
                for field in fields.split(',') {
                    let (name, value) = field.split_once('=').unwrap_or_else(|| panic!("{line}"));
                    assert!(["kind", "ms", "token", "workmem"].contains(&name), "{line}");
                    assert!(!value.is_empty(), "{line}");
                    assert!(
                        command.fields.insert(name.into(), value.into()).is_none(),
                        "duplicate field: {line}"
                    );
                }
                assert!(
                    command.fields["ms"].parse::<u64>().is_ok_and(|ms| ms > 0),
                    "{line}"
                );
                let granted = command.fields.get("workmem").map(|mb| mb.parse::<u64>());
                assert!(granted.is_none_or(|mb| mb.is_ok_and(|mb| mb > 0)), "{line}");
                let mut body = vec![0; length.parse::<usize>().unwrap() + 2];
                input.read_exact(&mut body).unwrap();
                assert!(body.ends_with(b"\r\n"));
                command.statement = String::from_utf8(body[..body.len() - 2].to_vec()).unwrap();
                let statement = command.statement.clone();
                log.append(command.clone());
                let is_first = log.queries(&statement).len() == 1;
                let has = |word: &str| statement.contains(word);
                if has("hangs") || has("mute") && is_first {
                    continue;
                }
                if has("dies") && is_first {
                    return;
                }
                let cost = if has("hungry") {
                    "effort=40,high=900,"
                } else {
                    "effort=12.5,high=60,"
                };
                format!("{id} HIT {cost}gauges=queue:0;util:0.2,fetches=1 6\r\n1\ta\tb\n\r\n")
            }
            _ => panic!("unexpected command from the coordinator: {line:?}"),
        };
        if command.verb != "REQ" {
            log.append(command);
        }
        if out.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// A coordinator with its mock engines and engine list.
struct Site {
    coordinator: Coordinator,
    log: Arc<CommandLog>,
    _list: EngineList,
    requests_sent: Mutex<u64>,
}

impl Site {
    fn start(engines: usize, edit: impl Fn(String) -> String) -> Site {
        let log = Arc::new(CommandLog::default());
        let start_engine = |n| {
            let log = log.clone();
            start_mock_server(move |stream| serve_engine(stream, n, &log))
        };
        let engines: Vec<SocketAddr> = (0..engines).map(start_engine).collect();
        let list = EngineList::start();
        let coordinator = Coordinator::start(&edit(config(list.addr)));
        let lines: Vec<String> = engines
            .iter()
            .enumerate()
            .map(|(n, a)| instance(&format!("e{n}"), *a, "ready"))
            .collect();
        list.publish(&lines, "");
        coordinator.wait_until_ready();
        Site {
            coordinator,
            log,
            _list: list,
            requests_sent: Mutex::new(0),
        }
    }

    /// Starts a site with the optional features enabled.
    fn with_optional_features(engines: usize) -> Site {
        Site::start(engines, enable_optional_features)
    }

    fn ask(&self, class: &str, headers: &[(&str, &str)], statement: &str) -> Response {
        let number = {
            let mut requests_sent = self.requests_sent.lock().unwrap();
            *requests_sent += 1;
            *requests_sent
        };
        let mut text = format!("X-Call-Id: {number:016x}\r\n");
        let default_client_timeout = if headers.iter().any(|h| h.0 == "X-Patience-Ms") {
            None
        } else {
            Some(("X-Patience-Ms", "2500"))
        };
        for (name, value) in headers.iter().copied().chain(default_client_timeout) {
            text += &format!("{name}: {value}\r\n");
        }
        post(
            self.coordinator.addr,
            &format!("/ops/{class}"),
            &text,
            statement,
        )
    }
}

#[allow(
    clippy::needless_pass_by_value,
    reason = "the signature that Site::start expects"
)]
fn enable_optional_features(config: String) -> String {
    config
        .replace(
            "\"Effect\": \"single_shot\"",
            "\"Effect\": \"guarded\", \"KeyScope\": \"all\", \"RepeatWindowUs\": 12000000",
        )
        .replace("\"Cancel\": false", "\"Cancel\": true")
        .replace(
            "\"SizeCores\"",
            "\"GrantsCount\": true, \"SaysCost\": true, \"SizeCores\"",
        )
        .replace(
            "\"OutOfMemory\": \"line_up\"",
            "\"OutOfMemory\": \"overcommit\"",
        )
        .replace(
            "\"How\": \"off\", \"Fields\": []",
            "\"How\": \"inline\", \"Fields\": [\"cpu\", \"waiting\"]",
        )
}

const TOKEN: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

#[test]
fn load_is_retried_only_with_its_idempotency_key() {
    let site = Site::with_optional_features(2);
    let key = ("X-Entity", "7f3a9c21e0b4d655");
    let answer = site.ask(
        "member-load",
        &[key, ("X-Dedupe-Key", TOKEN)],
        "INSERT dies one",
    );
    assert_eq!(answer.status, 200);
    let sent = site.log.queries("dies one");
    assert_eq!(
        sent.iter()
            .map(|s| s.fields["token"].as_str())
            .collect::<Vec<_>>(),
        [TOKEN, TOKEN]
    );
    assert_ne!(sent[0].engine, sent[1].engine);
    // Without a key, a retry could not be told from another load: the load is not retried, and the error does not invite the
    // client to repeat it.
    let answer = site.ask("member-load", &[key], "INSERT dies two");
    assert_eq!(
        (answer.status, site.log.queries("dies two").len()),
        (500, 1)
    );
    assert!(!site.log.queries("dies two")[0].fields.contains_key("token"));
    assert_eq!(site.coordinator.counter("tokens_missing"), 1);
    // In a class that needs no key, the key is forwarded unchanged.
    site.ask("lookup", &[("X-Dedupe-Key", "a.B-9_z")], "SELECT three");
    assert_eq!(site.log.queries("three")[0].fields["token"], "a.B-9_z");
}

#[test]
fn idempotency_key_that_could_forge_a_field_is_rejected() {
    let site = Site::with_optional_features(1);
    let long = "k".repeat(129);
    for bad in ["a,ms=1", "a b", "", "a=b", "é", long.as_str()] {
        let answer = site.ask("member-load", &[("X-Dedupe-Key", bad)], "INSERT x");
        assert_eq!(answer.status, 400, "{bad:?}");
    }
    let answer = site.ask(
        "member-load",
        &[("X-Dedupe-Key", "a"), ("X-Dedupe-Key", "a")],
        "INSERT x",
    );
    assert_eq!(answer.status, 400);
    assert!(site.log.queries("").is_empty());
    // The longest valid key has 128 characters.
    assert_eq!(
        site.ask("member-load", &[("X-Dedupe-Key", &long[1..])], "INSERT x")
            .status,
        200
    );
}

#[test]
fn client_retry_is_not_run_outside_the_deduplication_window() {
    let site = Site::start(2, |config| {
        enable_optional_features(config).replace("12000000", "700000")
    });
    let headers = [("X-Dedupe-Key", TOKEN), ("X-Patience-Ms", "600")];
    // The client's timeout has passed; the load may have run, or may still run.
    let answer = site.ask("member-load", &headers, "INSERT mute");
    assert_ne!(answer.status, 200);
    // The coordinator counts the window from the request's first byte and ends it 0.2 s before the engines end theirs. After that,
    // no request with this key is sent again.
    let start = std::time::Instant::now();
    while site.coordinator.counter("tokens_late") == 0 {
        assert!(start.elapsed() < TEST_TIMEOUT);
        site.ask("member-load", &headers, "INSERT mute");
    }
    let sent = site.log.queries("INSERT mute").len();
    assert_eq!(site.ask("member-load", &headers, "INSERT mute").status, 500);
    assert_eq!(site.log.queries("INSERT mute").len(), sent);
}

#[test]
fn memory_is_granted_by_estimate_and_engine_reports() {
    let site = Site::with_optional_features(1);
    let granted_mb = |statement: &str| -> u64 {
        assert_eq!(
            site.ask("report", &[("X-Need-Mb", "100")], statement)
                .status,
            200
        );
        let sent = site.log.queries(statement);
        sent.last().unwrap().fields["workmem"].parse().unwrap()
    };
    let before = granted_mb("SELECT first");
    assert!((100..1000).contains(&before), "{before}");
    for n in 0..20 {
        granted_mb(&format!("SELECT hungry {n}"));
    }
    // Each response reported 900 MB for an estimate of 100 MB, so the later grant must be larger.
    let after = granted_mb("SELECT last");
    assert!(after > 2 * before, "{before} then {after}");
    // Where engines ignore grants, the coordinator sends none.
    let site = Site::start(1, |config| {
        enable_optional_features(config).replace("\"GrantsCount\": true", "\"GrantsCount\": false")
    });
    site.ask("report", &[("X-Need-Mb", "100")], "SELECT 1");
    assert!(!site.log.queries("SELECT 1")[0]
        .fields
        .contains_key("workmem"));
}

#[test]
fn overlong_attempt_is_stopped_before_a_retry() {
    let site = Site::with_optional_features(2);
    for n in 0..8 {
        assert_eq!(
            site.ask(
                "lookup",
                &[("X-Weight-Ms", "100")],
                &format!("SELECT {n} quick")
            )
            .status,
            200
        );
    }
    let answer = site.ask("lookup", &[("X-Weight-Ms", "100")], "SELECT mute");
    assert_eq!(answer.status, 200);
    let all = site.log.all();
    let commands: Vec<&Command> = all
        .iter()
        .filter(|c| c.statement.contains("mute") || c.verb == "STOP")
        .collect();
    let verbs: Vec<&str> = commands.iter().map(|c| c.verb.as_str()).collect();
    assert_eq!(verbs, ["REQ", "STOP", "REQ"]);
    assert!(commands[0].id == commands[1].id && commands[0].engine == commands[1].engine);
    assert_eq!(site.coordinator.counter("attempts_called_off"), 1);
}

#[test]
fn client_disconnect_stops_its_query_where_engines_support_it() {
    let site = Site::with_optional_features(1);
    let mut stream = TcpStream::connect(site.coordinator.addr).unwrap();
    let head =
        "POST /ops/report HTTP/1.1\r\nX-Call-Id: 00000000000000ab\r\nX-Patience-Ms: 9000\r\n";
    write!(stream, "{head}Content-Length: 12\r\n\r\nSELECT hangs").unwrap();
    site.log.wait_until("the query", |commands| {
        commands.iter().any(|c| c.verb == "REQ")
    });
    drop(stream);
    site.log.wait_until("the STOP command", |commands| {
        commands
            .iter()
            .any(|c| c.verb == "STOP" && c.id == "00000000000000ab")
    });
    site.coordinator
        .wait_for_counter("attempts_ended{outcome=\"cancelled\"}", 1);
}

#[test]
fn unlisted_tenant_has_no_quota_and_consumes_none() {
    // The one listed tenant may send 50 queries per second, and queries over a quota count with weight 0.05. Tenants that are not
    // listed have no quota.
    let tenants =
        "\"Tenants\": [{\"Name\": \"red-centro\", \"QuotaPerS\": 50.0}], \"OverShareWorth\": 0.05";
    let site = Site::start(1, |config| {
        enable_optional_features(config)
            .replace("\"TickUs\": 5000", &format!("\"TickUs\": 5000, {tenants}"))
    });
    let long = "t".repeat(3000);
    let unnamed = [
        vec![],
        vec![("X-Customer", "")],
        vec![("X-Customer", "RED-CENTRO")],
        vec![("X-Customer", &*long)],
    ];
    for headers in &unnamed {
        assert_eq!(
            site.ask("lookup", headers, "SELECT 1").status,
            200,
            "{headers:?}"
        );
    }
    assert_eq!(
        site.ask("lookup", &[("X-Customer", "red-centro")], "SELECT 1")
            .status,
        200
    );
    let duplicate = [("X-Customer", "red-centro"), ("X-Customer", "red-centro")];
    assert_eq!(site.ask("lookup", &duplicate, "SELECT 1").status, 400);
    assert_eq!(site.coordinator.counter("tenants_unnamed"), 4);
}

/// Random valid settings, with the classes and tenants that clients can name under them.
#[derive(Clone, Debug)]
struct RandomSettings {
    settings: String,
    classes: Vec<(String, String)>,
    tenants: Vec<String>,
}

impl Arbitrary for RandomSettings {
    #[allow(clippy::too_many_lines, reason = "one expression per setting")]
    fn arbitrary(g: &mut Gen) -> RandomSettings {
        let mut below = |n: usize| usize::arbitrary(g) % n;
        let class_name = |n: usize| format!("{}{n}", ["q", "load-", "x_", "Report", "a.b"][n % 5]);
        let mut classes = Vec::new();
        let mut profiles = Vec::new();
        let count = 1 + below(5);
        for n in 0..count {
            let effect = ["free", "guarded", "single_shot"][below(3)];
            let scope = ["all", "zone", "cell"][below(3)];
            let mut profile = format!(
                "{{\"Name\": \"{}\", \"Effect\": \"{effect}\", \"KeyScope\": \"{scope}\", \"RepeatWindowUs\": {}, \
                 \"OnTimeUs\": {}, \"DeadlineUs\": 3000000, \"Worth\": {}",
                class_name(n),
                below(20_000_000),
                200_000 + below(4_000_000),
                below(20)
            );
            for (chance, more) in [
                (below(2), ", \"AimStretch\": 2.5"),
                (below(2), ", \"LateWorth\": 0.3"),
                (below(2), ", \"ByArrival\": true"),
                (below(4) / 3, ", \"ConfinedTo\": [0]"),
            ] {
                profile += if chance == 1 { more } else { "" };
            }
            profiles.push(profile + "}");
            classes.push((class_name(n), effect.into()));
        }
        let tenants: Vec<String> = (0..below(5)).map(|n| format!("net {n}")).collect();
        let shares: Vec<String> = tenants
            .iter()
            .map(|t| format!("{{\"Name\": \"{t}\", \"QuotaPerS\": {}}}", below(100)))
            .collect();
        let fields = [
            "active",
            "waiting",
            "cpu",
            "avg_ms",
            "rps",
            "err_rps",
            "x0",
            "x1",
            "unheard of",
        ];
        let fields: Vec<String> = (0..below(5))
            .map(|_| format!("\"{}\"", fields[below(9)]))
            .collect();
        let flag = |n: usize| n == 1;
        let slow_start =
            "\"ColdFrom\": 0.34, \"WarmUpUs\": 14000000, \"FallMultiple\": 2.5, \"OverloadForUs\": 3000000,";
        let retry_budget = "\"ExtraWindowUs\": 10000000, \"FurtherRatio\": 0.1,";
        let settle_time = "\"SettleAfterDoubtUs\": 500000,";
        let grants = format!(
            "\"GrantsCount\": {}, \"SaysCost\": {},",
            flag(below(2)),
            flag(below(2))
        );
        let settings = format!(
            "{{\"Balancers\": {}, \"Zone\": {}, \"FailureDomains\": [\"building-a\", \"b\", \"c\"], \
             \"MachineTypes\": [\"std-8\"{}], {} \"Tenants\": [{}], \"OverShareWorth\": 0.05, \
             \"Caps\": {{\"Cancel\": {}, \"MayProbe\": {}, \"ParallelTries\": false{}{}}}, \
             \"Contract\": {{{}{}{} \"DrainGraceUs\": 2000000}}, \
             \"FamilyInfo\": {{{}{} \"OutOfMemory\": \"{}\", \"Priorities\": {}, \"TellsEveryUs\": {}{}}}, \
             \"LoadReport\": {{\"How\": \"{}\", \"Fields\": [{}]}}, \"Profiles\": [{}]}}",
            1 + below(40),
            below(3),
            if flag(below(2)) { ", \"std-12\"" } else { "" },
            if flag(below(2)) { "\"TickUs\": 5000," } else { "" },
            shares.join(", "),
            flag(below(2)),
            flag(below(2)),
            if flag(below(2)) { ", \"MaxAttempts\": 6" } else { "" },
            if flag(below(2)) { ", \"RetryAfter\": true, \"MaxRetryAfterUs\": 2000000" } else { "" },
            if flag(below(2)) { slow_start } else { "" },
            if flag(below(2)) { retry_budget } else { "" },
            if flag(below(2)) { settle_time } else { "" },
            if flag(below(2)) { grants.as_str() } else { "" },
            if flag(below(2)) { "\"SizeCores\": [12, 8], \"RamOfKindMb\": [24576.0, 16384.0]," } else { "" },
            ["line_up", "cut", "overcommit"][below(3)],
            flag(below(2)),
            below(2) * 1_000_000,
            if flag(below(2)) {
                ", \"WidthByClass\": [3, 1], \"Loads\": [true], \"BlockedByLoads\": [false, true]"
            } else {
                ""
            },
            ["inline", "on_probe", "off"][below(3)],
            fields.join(", "),
            profiles.join(", ")
        );
        RandomSettings {
            settings,
            classes,
            tenants,
        }
    }
}

#[test]
fn requests_are_served_under_random_valid_settings() {
    let mut g = Gen::from_size_and_seed(30, 20_261_201);
    for _ in 0..24 {
        let random = RandomSettings::arbitrary(&mut g);
        let site = Site::start(2, |config| {
            let begin = config.find("\"settings\":").unwrap();
            let before = config[..begin].replace("\"clickhouse\"", "\"unused\"");
            format!("{before}\"settings\": {}}}", random.settings)
        });
        for (n, (class, effect)) in random.classes.iter().enumerate() {
            let token = format!("{:032x}", n + 1);
            let tenant = random.tenants.first().map_or("nobody", |t| t);
            let headers = [
                ("X-Patience-Ms", "3000.0"),
                ("X-Customer", tenant),
                ("X-Repeat", "1"),
                ("X-Dedupe-Key", &token),
                ("X-Weight-Ms", "20.25"),
                ("X-Need-Mb", "0.004"),
                ("X-Entity", "7f3a9c21e0b4d655"),
            ];
            // One request with all headers, one with the required header only.
            for (headers, statement) in [
                (&headers[..], "SELECT 1 FROM sales_17.a"),
                (&headers[..1], "SELECT 2"),
            ] {
                let statement = format!("{statement} -- {class}");
                let answer = site.ask(class, headers, &statement);
                assert!(
                    [200, 429].contains(&answer.status),
                    "{} in {}",
                    answer.status,
                    random.settings
                );
                for sent in site.log.queries(&statement) {
                    assert_eq!((&sent.fields["kind"], &sent.statement), (class, &statement));
                    let has_token = headers.len() > 1;
                    assert_eq!(
                        sent.fields.get("token"),
                        has_token.then_some(&token),
                        "{effect}"
                    );
                }
            }
        }
        assert_eq!(site.coordinator.counter("answers_overdue"), 0);
    }
}
