//! What a second deployment's settings bring, through the program itself: tenants, dedupe keys, memory grants, costs
//! that engines tell, and words that end what runs. Nothing here depends on a name: only on settings and protocol.

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

/// A command that an engine was sent.
#[derive(Clone, Debug)]
struct Said {
    engine: usize,
    word: String,
    id: String,
    fields: BTreeMap<String, String>,
    statement: String,
}

/// What all engines were sent, in the order in which it came.
#[derive(Default)]
struct Record {
    said: Mutex<Vec<Said>>,
    news: Condvar,
}

impl Record {
    fn note(&self, said: Said) {
        self.said.lock().unwrap().push(said);
        self.news.notify_all();
    }

    fn all(&self) -> Vec<Said> {
        self.said.lock().unwrap().clone()
    }

    fn requests(&self, statement: &str) -> Vec<Said> {
        self.all()
            .into_iter()
            .filter(|s| s.word == "REQ" && s.statement.contains(statement))
            .collect()
    }

    /// Waits until this holds of all that was said.
    fn wait(&self, what: &str, holds: impl Fn(&[Said]) -> bool) {
        let said = self.said.lock().unwrap();
        let (_said, late) = self
            .news
            .wait_timeout_while(said, TEST_TIMEOUT, |said| !holds(said))
            .unwrap();
        assert!(!late.timed_out(), "{what}: never");
    }
}

/// An engine that takes only what the protocol's page allows, and does what a word in the statement says.
#[allow(clippy::too_many_lines, reason = "one engine, case by case")]
fn engine(stream: TcpStream, engine: usize, record: &Record) {
    let mut out = stream.try_clone().unwrap();
    let mut input = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if input.read_line(&mut line).unwrap_or(0) == 0 {
            return;
        }
        let line = line
            .strip_suffix("\r\n")
            .unwrap_or_else(|| panic!("a line without CR LF: {line:?}"));
        let words: Vec<&str> = line.split(' ').collect();
        let mut said = Said {
            engine,
            word: words[0].into(),
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
                        said.fields.insert(name.into(), value.into()).is_none(),
                        "twice: {line}"
                    );
                }
                assert!(
                    said.fields["ms"].parse::<u64>().is_ok_and(|ms| ms > 0),
                    "{line}"
                );
                let granted = said.fields.get("workmem").map(|mb| mb.parse::<u64>());
                assert!(granted.is_none_or(|mb| mb.is_ok_and(|mb| mb > 0)), "{line}");
                let mut body = vec![0; length.parse::<usize>().unwrap() + 2];
                input.read_exact(&mut body).unwrap();
                assert!(body.ends_with(b"\r\n"));
                said.statement = String::from_utf8(body[..body.len() - 2].to_vec()).unwrap();
                let statement = said.statement.clone();
                record.note(said.clone());
                let first = record.requests(&statement).len() == 1;
                let is = |word: &str| statement.contains(word);
                if is("hangs") || is("mute") && first {
                    continue;
                }
                if is("dies") && first {
                    return;
                }
                let cost = if is("hungry") {
                    "effort=40,high=900,"
                } else {
                    "effort=12.5,high=60,"
                };
                format!("{id} HIT {cost}gauges=queue:0;util:0.2,fetches=1 6\r\n1\ta\tb\n\r\n")
            }
            _ => panic!("the coordinator wrote {line:?}"),
        };
        if said.word != "REQ" {
            record.note(said);
        }
        if out.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// A coordinator and its engines.
struct Site {
    coordinator: Coordinator,
    record: Arc<Record>,
    _list: EngineList,
    asked: Mutex<u64>,
}

impl Site {
    fn start(engines: usize, edit: impl Fn(String) -> String) -> Site {
        let record = Arc::new(Record::default());
        let one = |n| {
            let record = record.clone();
            start_mock_server(move |stream| engine(stream, n, &record))
        };
        let engines: Vec<SocketAddr> = (0..engines).map(one).collect();
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
            record,
            _list: list,
            asked: Mutex::new(0),
        }
    }

    /// A site as the second deployment's settings describe it.
    fn second(engines: usize) -> Site {
        Site::start(engines, second)
    }

    fn ask(&self, class: &str, headers: &[(&str, &str)], statement: &str) -> Response {
        let number = {
            let mut asked = self.asked.lock().unwrap();
            *asked += 1;
            *asked
        };
        let mut text = format!("X-Call-Id: {number:016x}\r\n");
        let patience = if headers.iter().any(|h| h.0 == "X-Patience-Ms") {
            None
        } else {
            Some(("X-Patience-Ms", "2500"))
        };
        for (name, value) in headers.iter().copied().chain(patience) {
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
    reason = "a site hands over its configuration"
)]
fn second(config: String) -> String {
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
    let site = Site::second(2);
    let key = ("X-Entity", "7f3a9c21e0b4d655");
    let answer = site.ask(
        "member-load",
        &[key, ("X-Dedupe-Key", TOKEN)],
        "INSERT dies one",
    );
    assert_eq!(answer.status, 200);
    let sent = site.record.requests("dies one");
    assert_eq!(
        sent.iter()
            .map(|s| s.fields["token"].as_str())
            .collect::<Vec<_>>(),
        [TOKEN, TOKEN]
    );
    assert_ne!(sent[0].engine, sent[1].engine);
    // Nobody could tell its repeat from another load: it is not repeated, and not called harmless to repeat.
    let answer = site.ask("member-load", &[key], "INSERT dies two");
    assert_eq!(
        (answer.status, site.record.requests("dies two").len()),
        (500, 1)
    );
    assert!(!site.record.requests("dies two")[0]
        .fields
        .contains_key("token"));
    assert_eq!(site.coordinator.counter("tokens_missing"), 1);
    // In a class that is not keyed it passes, too, as it came.
    site.ask("lookup", &[("X-Dedupe-Key", "a.B-9_z")], "SELECT three");
    assert_eq!(site.record.requests("three")[0].fields["token"], "a.B-9_z");
}

#[test]
fn idempotency_key_that_could_forge_a_field_is_rejected() {
    let site = Site::second(1);
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
    assert!(site.record.requests("").is_empty());
    // The longest that is one.
    assert_eq!(
        site.ask("member-load", &[("X-Dedupe-Key", &long[1..])], "INSERT x")
            .status,
        200
    );
}

#[test]
fn client_retry_is_not_run_outside_the_deduplication_window() {
    let site = Site::start(2, |config| second(config).replace("12000000", "700000"));
    let headers = [("X-Dedupe-Key", TOKEN), ("X-Patience-Ms", "600")];
    // Its client gave up; it may have run, and may still.
    let answer = site.ask("member-load", &headers, "INSERT mute");
    assert_ne!(answer.status, 200);
    // The window begins with its first byte, 0.2 s before the engines' own ends: a word that has been out for longer
    // than that is not sent again, whoever asks.
    let begin = std::time::Instant::now();
    while site.coordinator.counter("tokens_late") == 0 {
        assert!(begin.elapsed() < TEST_TIMEOUT);
        site.ask("member-load", &headers, "INSERT mute");
    }
    let sent = site.record.requests("INSERT mute").len();
    assert_eq!(site.ask("member-load", &headers, "INSERT mute").status, 500);
    assert_eq!(site.record.requests("INSERT mute").len(), sent);
}

#[test]
fn memory_is_granted_by_estimate_and_engine_reports() {
    let site = Site::second(1);
    let granted = |statement: &str| -> u64 {
        assert_eq!(
            site.ask("report", &[("X-Need-Mb", "100")], statement)
                .status,
            200
        );
        let sent = site.record.requests(statement);
        sent.last().unwrap().fields["workmem"].parse().unwrap()
    };
    let before = granted("SELECT first");
    assert!((100..1000).contains(&before), "{before}");
    for n in 0..20 {
        granted(&format!("SELECT hungry {n}"));
    }
    // Estimates were nine times too low, as engines told with each answer.
    let after = granted("SELECT last");
    assert!(after > 2 * before, "{before} then {after}");
    // Where grants are not heeded none is written.
    let site = Site::start(1, |config| {
        second(config).replace("\"GrantsCount\": true", "\"GrantsCount\": false")
    });
    site.ask("report", &[("X-Need-Mb", "100")], "SELECT 1");
    assert!(!site.record.requests("SELECT 1")[0]
        .fields
        .contains_key("workmem"));
}

#[test]
fn overlong_attempt_is_stopped_before_a_retry() {
    let site = Site::second(2);
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
    let all = site.record.all();
    let of_it: Vec<&Said> = all
        .iter()
        .filter(|s| s.statement.contains("mute") || s.word == "STOP")
        .collect();
    let words: Vec<&str> = of_it.iter().map(|s| s.word.as_str()).collect();
    assert_eq!(words, ["REQ", "STOP", "REQ"]);
    assert!(of_it[0].id == of_it[1].id && of_it[0].engine == of_it[1].engine);
    assert_eq!(site.coordinator.counter("attempts_called_off"), 1);
}

#[test]
fn client_disconnect_stops_its_query_where_engines_support_it() {
    let site = Site::second(1);
    let mut stream = TcpStream::connect(site.coordinator.addr).unwrap();
    let head =
        "POST /ops/report HTTP/1.1\r\nX-Call-Id: 00000000000000ab\r\nX-Patience-Ms: 9000\r\n";
    write!(stream, "{head}Content-Length: 12\r\n\r\nSELECT hangs").unwrap();
    site.record
        .wait("the query", |said| said.iter().any(|s| s.word == "REQ"));
    drop(stream);
    site.record.wait("the word that ends it", |said| {
        said.iter()
            .any(|s| s.word == "STOP" && s.id == "00000000000000ab")
    });
    site.coordinator
        .wait_for_counter("attempts_ended{outcome=\"cancelled\"}", 1);
}

#[test]
fn unnamed_tenant_has_no_quota_and_takes_none() {
    // A share of one query in a hundred seconds, used up by the eighth at once; engines say that they are full.
    let tenants =
        "\"Tenants\": [{\"Name\": \"red-centro\", \"QuotaPerS\": 50.0}], \"OverShareWorth\": 0.05";
    let site = Site::start(1, |config| {
        second(config).replace("\"TickUs\": 5000", &format!("\"TickUs\": 5000, {tenants}"))
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
    let twice = [("X-Customer", "red-centro"), ("X-Customer", "red-centro")];
    assert_eq!(site.ask("lookup", &twice, "SELECT 1").status, 400);
    assert_eq!(site.coordinator.counter("tenants_unnamed"), 4);
}

/// Settings drawn from all that the protocol allows, and what clients ask under them.
#[derive(Clone, Debug)]
struct Drawn {
    settings: String,
    classes: Vec<(String, String)>,
    tenants: Vec<String>,
}

impl Arbitrary for Drawn {
    #[allow(clippy::too_many_lines, reason = "every setting is drawn")]
    fn arbitrary(g: &mut Gen) -> Drawn {
        let mut below = |n: usize| usize::arbitrary(g) % n;
        let word = |n: usize| format!("{}{n}", ["q", "load-", "x_", "Report", "a.b"][n % 5]);
        let mut classes = Vec::new();
        let mut profiles = Vec::new();
        let count = 1 + below(5);
        for n in 0..count {
            let effect = ["free", "guarded", "single_shot"][below(3)];
            let scope = ["all", "zone", "cell"][below(3)];
            let mut profile = format!(
                "{{\"Name\": \"{}\", \"Effect\": \"{effect}\", \"KeyScope\": \"{scope}\", \"RepeatWindowUs\": {}, \
                 \"OnTimeUs\": {}, \"DeadlineUs\": 3000000, \"Worth\": {}",
                word(n),
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
            classes.push((word(n), effect.into()));
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
        let cold =
            "\"ColdFrom\": 0.34, \"WarmUpUs\": 14000000, \"FallMultiple\": 2.5, \"OverloadForUs\": 3000000,";
        let ration = "\"ExtraWindowUs\": 10000000, \"FurtherRatio\": 0.1,";
        let settle = "\"SettleAfterDoubtUs\": 500000,";
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
            if flag(below(2)) { cold } else { "" },
            if flag(below(2)) { ration } else { "" },
            if flag(below(2)) { settle } else { "" },
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
        Drawn {
            settings,
            classes,
            tenants,
        }
    }
}

#[test]
fn under_any_valid_settings_it_serves_and_engines_can_read_it() {
    let mut g = Gen::from_size_and_seed(30, 20_261_201);
    for _ in 0..24 {
        let drawn = Drawn::arbitrary(&mut g);
        let site = Site::start(2, |config| {
            let begin = config.find("\"settings\":").unwrap();
            let before = config[..begin].replace("\"clickhouse\"", "\"unused\"");
            format!("{before}\"settings\": {}}}", drawn.settings)
        });
        for (n, (class, effect)) in drawn.classes.iter().enumerate() {
            let token = format!("{:032x}", n + 1);
            let tenant = drawn.tenants.first().map_or("nobody", |t| t);
            let headers = [
                ("X-Patience-Ms", "3000.0"),
                ("X-Customer", tenant),
                ("X-Repeat", "1"),
                ("X-Dedupe-Key", &token),
                ("X-Weight-Ms", "20.25"),
                ("X-Need-Mb", "0.004"),
                ("X-Entity", "7f3a9c21e0b4d655"),
            ];
            // Some with all fields, some with none but the ones that must be there.
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
                    drawn.settings
                );
                for sent in site.record.requests(&statement) {
                    assert_eq!((&sent.fields["kind"], &sent.statement), (class, &statement));
                    let told = headers.len() > 1;
                    assert_eq!(sent.fields.get("token"), told.then_some(&token), "{effect}");
                }
            }
        }
        assert_eq!(site.coordinator.counter("answers_overdue"), 0);
    }
}
