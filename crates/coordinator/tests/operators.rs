//! What operators do to a running program: the control socket, commands, drains that outlive a restart, the console.

use driftfront_console::remote::{Endpoint, Remote};
use driftfront_control::snapshot::Snapshot;
use driftfront_control::{Reply, Request};
use driftfront_mock_servers::engine::{Engine, Options};
use driftfront_mock_servers::request_log::RequestLog;
use driftfront_test_support::coordinator::clickhouse_site::{Site, SiteOptions};
use driftfront_test_support::coordinator::{
    example_configuration, instance, post, read_response, write_temp_file, Coordinator,
    TEST_TIMEOUT,
};
use std::io::{Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

static PATHS: AtomicUsize = AtomicUsize::new(0);

fn path(what: &str) -> PathBuf {
    let n = PATHS.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("driftfront-{what}-{}-{n}", std::process::id()))
}

struct Operated {
    site: Site,
    socket: PathBuf,
    state: PathBuf,
}

impl Operated {
    fn start(engines: usize) -> Operated {
        let (socket, state) = (path("control"), path("state"));
        let site = Operated::plan(engines, &socket, &state).start();
        Operated {
            site,
            socket,
            state,
        }
    }

    fn plan(engines: usize, socket: &std::path::Path, state: &std::path::Path) -> SiteOptions {
        let more = format!(
            "\"control\": \"{}\", \"state\": \"{}\", \"limits\"",
            socket.display(),
            state.display()
        );
        SiteOptions::with_engines(engines).with("\"limits\"", &more)
    }

    fn remote(&self) -> Remote {
        let begin = Instant::now();
        loop {
            match Remote::connect(&Endpoint::Socket(self.socket.clone())) {
                Ok(remote) => return remote,
                Err(e) => assert!(begin.elapsed() < TEST_TIMEOUT, "{e}"),
            }
        }
    }

    fn ask(&self, request: &Request) -> Reply {
        self.remote().ask(request).expect("an answer")
    }

    fn drain(&self, engine: &str, force: bool) -> Reply {
        self.ask(&Request::Drain {
            engine: engine.into(),
            force,
        })
    }

    fn snapshot(&self) -> Snapshot {
        match self.ask(&Request::Snapshot) {
            Reply::Snapshot(s) => *s,
            other => panic!("{other:?}"),
        }
    }

    fn wait_until(&self, what: &str, holds: impl Fn(&Snapshot) -> bool) -> Snapshot {
        let begin = Instant::now();
        loop {
            let s = self.snapshot();
            if holds(&s) {
                return s;
            }
            assert!(begin.elapsed() < TEST_TIMEOUT, "{what}: {s:#?}");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// A command as an operator types it: its exit code, and what it says.
    fn type_in(&self, args: &[&str]) -> (i32, String) {
        let out = Command::new(env!("CARGO_BIN_EXE_driftfront"))
            .args(args)
            .env("DRIFTFRONT_CONTROL", &self.socket)
            .env("COLUMNS", "100")
            .output()
            .expect("it runs");
        let text = [out.stdout, out.stderr].concat();
        (
            out.status.code().unwrap_or(-1),
            String::from_utf8(text).expect("text"),
        )
    }
}

impl Drop for Operated {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.state);
        let _ = std::fs::remove_file(&self.socket);
    }
}

fn refused(reply: &Reply) -> &str {
    match reply {
        Reply::Refused(words) => words,
        other => panic!("{other:?}"),
    }
}

#[test]
fn drained_engine_gets_no_new_query_in_a_hundred_drains() {
    let o = Operated::start(3);
    assert_eq!(
        std::fs::metadata(&o.socket)
            .expect("a socket")
            .permissions()
            .mode()
            & 0o777,
        0o600
    );
    let addr = o.site.coordinator.addr;
    let stop = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let load: Vec<_> = (0..4)
        .map(|t| {
            let stop = stop.clone();
            std::thread::spawn(move || {
                for n in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    post(addr, "/", "", &format!("SELECT {n}, {t}"));
                }
            })
        })
        .collect();
    for run in 0..100 {
        let engine = format!("e{}", run % 3);
        assert!(matches!(o.drain(&engine, false), Reply::Done(_)));
        let told = Instant::now();
        for n in 0..5 {
            o.site.query(&format!("SELECT 'behind', {run}, {n}"));
        }
        // Nothing that came behind the answer went there; what was on its way may arrive, in 250 ms at most.
        let late = o.site.request_log.of("SELECT");
        let late = late.iter().filter(|e| e.engine == engine && e.at > told);
        assert!(late
            .clone()
            .all(|e| e.at < told + Duration::from_millis(250) && !e.statement.contains("behind")));
        assert!(matches!(o.ask(&Request::Resume(engine)), Reply::Done(_)));
    }
    stop.store(true, Ordering::Relaxed);
    load.into_iter().for_each(|l| l.join().expect("no panic"));
}

#[test]
fn drain_outlives_a_restart_and_later_engine_lists() {
    let (socket, state) = (path("control"), path("state"));
    {
        let o = Operated {
            site: Operated::plan(2, &socket, &state).start(),
            socket: socket.clone(),
            state: path("none"),
        };
        assert!(matches!(o.drain("e0", false), Reply::Done(_)));
        // The source lists it anew, as ready: the operator's word stands.
        o.site.list(&["ready", "draining"]);
        o.site.list(&["ready", "ready"]);
        let s = o.wait_until("the source's word", |s| {
            s.engines
                .iter()
                .all(|e| e.listed.as_deref() == Some("ready"))
        });
        assert_eq!(
            (s.engines[0].phase.as_str(), s.engines[0].order.as_str()),
            ("draining", "drain")
        );
        // Half a record at the end, as a power cut leaves it.
        let orders = state.join("orders");
        let mut bytes = std::fs::read(&orders).expect("the file");
        bytes.extend([9, 0, 0, 0, 1]);
        std::fs::write(&orders, bytes).expect("a spoilt tail");
    }
    let o = Operated {
        site: Operated::plan(2, &socket, &state).start(),
        socket,
        state,
    };
    let s = o.wait_until("the list", |s| s.engines.len() == 2);
    assert_eq!(
        (s.engines[0].phase.as_str(), s.engines[0].order_by.as_str()),
        ("draining", "operator")
    );
    for n in 0..20 {
        assert_eq!(o.site.query(&format!("SELECT {n}")).status, 200);
    }
    assert!(o
        .site
        .request_log
        .of("SELECT")
        .iter()
        .all(|e| e.engine == "e1"));
    let (code, events) = o.type_in(&["events"]);
    assert!(
        code == 0 && events.contains("truncated 5 bytes after the last complete record"),
        "{events}"
    );
    assert!(matches!(
        o.ask(&Request::Resume("e0".into())),
        Reply::Done(_)
    ));
    o.wait_until("e0 is back", |s| s.engines[0].phase == "ready");
}

#[test]
fn last_ready_engine_is_drained_only_with_force() {
    let o = Operated::start(2);
    let answers: Vec<Reply> = std::thread::scope(|scope| {
        let each: Vec<_> = (0..2)
            .map(|_| scope.spawn(|| o.drain("e0", false)))
            .collect();
        each.into_iter()
            .map(|t| t.join().expect("no panic"))
            .collect()
    });
    assert_eq!(
        answers
            .iter()
            .filter(|a| matches!(a, Reply::Done(_)))
            .count(),
        1
    );
    let second = answers
        .iter()
        .find(|a| matches!(a, Reply::Refused(_)))
        .expect("one is second");
    assert!(refused(second).contains("was drained before, by operator"));
    assert!(refused(&o.drain("e1", false)).contains("--force"));
    assert!(refused(&o.drain("e-1", false)).contains("did you mean e1"));
    let (code, words) = o.type_in(&["drain", "e1"]);
    assert!(code == 3 && words.contains("last engine"), "{words}");
    assert_eq!(o.type_in(&["drain", "e1", "--force"]).0, 0);
    let refusal = o.site.request("/?max_execution_time=1", "SELECT 1");
    assert_eq!(refusal.status, 429);
    let (_, text) = o.type_in(&["console", "--plain"]);
    assert!(text.contains("No engine takes work"), "{text}");
}

#[test]
fn added_and_removed_engines_outlive_later_engine_lists() {
    let o = Operated::start(2);
    let third = Engine::start(
        Options {
            name: "extra".into(),
            ..Options::default()
        },
        o.site.request_log.clone(),
    );
    let (code, words) = o.type_in(&["add", "extra", &third.addr().to_string()]);
    assert!(code == 0, "{words}");
    o.drain("e0", false);
    o.drain("e1", false);
    assert_eq!(o.site.query("SELECT 'extra'").status, 200);
    assert_eq!(o.site.request_log.of("'extra'")[0].engine, "extra");
    assert!(refused(&o.ask(&Request::Remove {
        engine: "extra".into(),
        force: false
    }))
    .contains("drain it first"));
    assert!(matches!(
        o.ask(&Request::Remove {
            engine: "e0".into(),
            force: false
        }),
        Reply::Done(_)
    ));
    o.site.list(&["ready", "ready"]);
    let s = o.snapshot();
    assert!(s
        .engines
        .iter()
        .any(|e| e.name == "e0" && e.phase == "gone" && e.order == "remove"));
    let (code, words) = o.type_in(&["add", "e0"]);
    assert!(code == 0, "{words}");
    o.wait_until("e0 is back", |s| {
        s.engines
            .iter()
            .any(|e| e.name == "e0" && e.phase == "ready")
    });
}

#[test]
fn silent_engine_is_shown_during_an_import() {
    let o = Operated::start(2);
    let _import = o.site.begin(
        "/?query_id=june",
        "INSERT INTO o.t VALUES (1) /* standin: silent */",
    );
    o.site.request_log.wait_for("INSERT", 1);
    let engine = o.site.request_log.of("INSERT")[0].engine.clone();
    o.site.engine(&engine).mute(true);
    let told = o.wait_until("silence", |s| {
        driftfront_console::messages::alarms(s)
            .iter()
            .any(|a| a.contains("said nothing"))
    });
    let alarms = driftfront_console::messages::alarms(&told).join("\n");
    let words = "One import runs there; it will not be sent again.";
    assert!(
        alarms.contains(&engine) && alarms.contains(words),
        "{alarms}"
    );
    let (_, text) = o.type_in(&["queries"]);
    assert!(text.contains("june") && text.contains("yes"), "{text}");
    let (_, json) = o.type_in(&["queries", "--json"]);
    assert!(json.contains("\"import\":true"), "{json}");
}

#[test]
fn operator_that_does_not_read_holds_up_nobody() {
    let o = Operated::start(1);
    let mut silent: Vec<UnixStream> = (0..4)
        .map(|_| UnixStream::connect(&o.socket).expect("it listens"))
        .collect();
    for stream in &mut silent {
        stream
            .write_all(Request::Follow(50).line(1).as_bytes())
            .expect("it reads");
        stream
            .write_all(Request::Events(true).line(2).as_bytes())
            .expect("it reads");
    }
    let mut odd = UnixStream::connect(&o.socket).expect("it listens");
    odd.write_all(&[b'x'; 100_000]).ok();
    let mut rest = Vec::new();
    let _ = odd.read_to_end(&mut rest);
    for line in [
        "nonsense\n",
        "{\"v\":9,\"id\":1,\"do\":\"snapshot\"}\n",
        "{\"v\":1,\"do\":\"dance\"}\n",
    ] {
        let mut stream = UnixStream::connect(&o.socket).expect("it listens");
        stream.write_all(line.as_bytes()).expect("it reads");
        let mut bytes = [0; 4096];
        let mut text = String::new();
        while !text.contains("refused") {
            let n = stream.read(&mut bytes).expect("an answer");
            assert!(n > 0, "{text}");
            text += &String::from_utf8_lossy(&bytes[..n]);
        }
    }
    for n in 0..50 {
        assert_eq!(o.site.query(&format!("SELECT {n}")).status, 200);
    }
    assert_eq!(o.snapshot().engines.len(), 1);
    // With many engines snapshots are large: what these four leave unread gets them cut off.
    for n in 0..60 {
        let (engine, addr) = (format!("far-{n}"), format!("127.0.0.1:{}", 40_000 + n));
        let (zone, kind) = (String::new(), String::new());
        o.ask(&Request::Add {
            engine: engine.clone(),
            addr,
            zone,
            kind,
        });
        o.drain(&engine, false);
    }
    o.site.coordinator.wait_for_counter("operators_cut_off", 4);
    drop(silent);
    // More than there is room for: the rest is closed, and the program goes on.
    let crowd: Vec<_> = (0..40)
        .filter_map(|_| UnixStream::connect(&o.socket).ok())
        .collect();
    assert_eq!(o.site.query("SELECT 'crowd'").status, 200);
    drop(crowd);
    o.snapshot();
}

#[test]
fn rolling_restart_drains_one_engine_at_a_time_and_outlives_a_restart() {
    let (socket, state) = (path("control"), path("state"));
    let plan = || {
        Operated::plan(3, &socket, &state).with("\"WarmUpUs\": 15000000", "\"WarmUpUs\": 1000000")
    };
    {
        let o = Operated {
            site: plan().start(),
            socket: socket.clone(),
            state: path("none"),
        };
        let (code, plan) = o.type_in(&["roll", "--dry-run"]);
        assert!(
            code == 0 && plan.contains("1. drain e0") && plan.contains("3. drain e2"),
            "{plan}"
        );
        assert!(o.snapshot().roll.is_none());
        let mut busy = o
            .site
            .begin("/?driftfront_class=report", "SELECT sleep(1), 'busy'");
        o.site.request_log.wait_for("busy", 1);
        let at = o.site.request_log.of("busy")[0].engine.clone();
        assert_eq!(o.type_in(&["roll", &at, "e2"]).0, 0);
        o.wait_until("it is handed over", |s| {
            s.roll.as_ref().is_some_and(|r| r.stage == "handed")
        });
        // Handed over only once nothing runs there.
        assert!(o.site.request_log.of("busy")[0].over.is_some());
        assert_eq!(read_response(&mut busy).status, 200);
    }
    let o = Operated {
        site: plan().start(),
        socket,
        state,
    };
    let s = o.wait_until("the roll", |s| s.roll.is_some() && s.engines.len() == 3);
    assert_eq!(s.roll.as_ref().map(|r| r.stage.as_str()), Some("handed"));
    assert_eq!(
        s.engines.iter().filter(|e| e.phase == "draining").count(),
        1
    );
    assert_eq!(o.type_in(&["roll", "--back"]).0, 0);
    o.wait_until("it is back", |s| {
        s.engines.iter().all(|e| e.phase == "ready")
    });
    assert_eq!(o.type_in(&["roll", "--stop"]).0, 0);
    assert_eq!(
        o.snapshot().roll.map(|r| r.stage),
        Some("stopped".to_string())
    );
}

#[test]
fn exit_codes_tell_what_went_wrong() {
    let o = Operated::start(1);
    let (code, text) = o.type_in(&["status"]);
    assert!(code == 0 && text.contains("1 of 1 engines ready"), "{text}");
    assert_eq!(o.type_in(&["drain"]).0, 2);
    assert_eq!(o.type_in(&["dance"]).0, 2);
    assert_eq!(o.type_in(&["resume", "e0"]).0, 3);
    assert_eq!(o.type_in(&["status", "--at", "/nowhere.sock"]).0, 4);
    assert!(o.type_in(&["manual"]).1.contains(".TH DRIFTFRONT"));
    assert!(o
        .type_in(&["completions", "bash"])
        .1
        .contains("complete -F"));
    // A control socket that answers is not taken over by a second program.
    let list = write_temp_file("{\"instances\":[]}");
    let config = example_configuration()
        .replace("127.0.0.1:8123", "127.0.0.1:0")
        .replace("deploy/engines.json", &list.display().to_string())
        .replace(
            "\"limits\"",
            &format!("\"control\": \"{}\", \"limits\"", o.socket.display()),
        );
    let path = write_temp_file(&config);
    let second = Command::new(env!("CARGO_BIN_EXE_driftfront"))
        .args(["serve", "--config"])
        .arg(&path)
        .output();
    let words = String::from_utf8(second.expect("it runs").stderr).expect("text");
    assert!(words.contains("another program answers there"), "{words}");
    let _ = (std::fs::remove_file(path), std::fs::remove_file(list));
}

#[test]
fn the_demo_runs_by_one_command_alone() {
    let out = Command::new(env!("CARGO_BIN_EXE_driftfront"))
        .args(["demo", "--plain"])
        .output()
        .expect("it runs");
    let text = String::from_utf8(out.stdout).expect("text");
    assert!(
        out.status.success() && text.contains("3 of 3 engines ready") && text.contains("lookup"),
        "{text}"
    );
}

#[test]
fn a_port_on_loopback_wants_the_key() {
    let key = path("key");
    std::fs::write(&key, "a key of some length\n").expect("a file");
    let engine = Engine::start(Options::default(), Arc::new(RequestLog::default()));
    // Not where connections of other tests begin: one could have the port before the program does.
    let port = std::net::TcpListener::bind("127.91.0.1:0")
        .and_then(|l| l.local_addr())
        .expect("a port");
    let list = write_temp_file(&format!(
        "{{\"instances\":[{}]}}",
        instance("e0", engine.addr(), "ready")
    ));
    let config = example_configuration()
        .replace("127.0.0.1:8123", "127.0.0.1:0")
        .replace("deploy/engines.json", &list.display().to_string())
        .replace(
            "\"limits\"",
            &format!(
                "\"control_port\": {{\"at\": \"{port}\", \"key_file\": \"{}\"}}, \"limits\"",
                key.display()
            ),
        );
    let coordinator = Coordinator::start(&config);
    coordinator.wait_until_ready();
    let with =
        |key: &str| Remote::connect(&Endpoint::Port(port.to_string(), key.as_bytes().to_vec()));
    assert!(with("another key altogether").is_err());
    let mut remote = with("a key of some length").expect("the right key");
    assert!(
        matches!(remote.ask(&Request::Snapshot), Ok(Reply::Snapshot(s)) if s.engines.len() == 1)
    );
    let _ = (std::fs::remove_file(key), std::fs::remove_file(list));
}

/// A terminal of this size with the console on it, read back as a person sees it.
struct Terminal {
    screen: Arc<std::sync::Mutex<vt100::Parser>>,
    writer: Box<dyn Write + Send>,
    child: Box<dyn portable_pty::Child + Send + Sync>,
    /// Holds the terminal open.
    _master: Box<dyn portable_pty::MasterPty + Send>,
}

impl Terminal {
    fn open(o: &Operated, rows: u16, cols: u16) -> Terminal {
        let size = portable_pty::PtySize {
            rows,
            cols,
            pixel_width: 0,
            pixel_height: 0,
        };
        let pair = portable_pty::native_pty_system()
            .openpty(size)
            .expect("a terminal");
        let mut command = portable_pty::CommandBuilder::new(env!("CARGO_BIN_EXE_driftfront"));
        command.args([
            "console",
            "--no-color",
            "--at",
            &o.socket.display().to_string(),
        ]);
        command.env("TERM", "xterm-256color");
        let child = pair.slave.spawn_command(command).expect("it runs");
        drop(pair.slave);
        let screen = Arc::new(std::sync::Mutex::new(vt100::Parser::new(rows, cols, 0)));
        let mut reader = pair.master.try_clone_reader().expect("a reader");
        let seen = screen.clone();
        std::thread::spawn(move || {
            let mut bytes = [0; 4096];
            loop {
                match reader.read(&mut bytes) {
                    Ok(0) => return,
                    Ok(n) => seen.lock().expect("no panic").process(&bytes[..n]),
                    Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                    Err(e) => return eprintln!("the terminal's reader ends: {e}"),
                }
            }
        });
        let writer = pair.master.take_writer().expect("a writer");
        Terminal {
            screen,
            writer,
            child,
            _master: pair.master,
        }
    }

    fn text(&self) -> String {
        self.screen.lock().expect("no panic").screen().contents()
    }

    /// Words that may be wrapped anywhere.
    fn says(&self, words: &str) -> bool {
        let flat = |t: &str| t.split_whitespace().collect::<Vec<_>>().join(" ");
        flat(&self.text()).contains(words)
    }

    fn wait_for(&self, words: &str) {
        let begin = Instant::now();
        while !self.says(words) {
            assert!(
                begin.elapsed() < TEST_TIMEOUT,
                "{words:?} never came:\n{}",
                self.text()
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn press(&mut self, keys: &str) {
        self.writer.write_all(keys.as_bytes()).expect("it reads");
    }
}

impl Drop for Terminal {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn a_session_at_the_console_at_three_widths() {
    for (rows, cols) in [(12, 40), (24, 80), (40, 120)] {
        let mut o = Operated::start(3);
        let mut terminal = Terminal::open(&o, rows, cols);
        terminal.wait_for("3 of 3 engines ready");
        terminal.wait_for("All is well.");
        terminal.wait_for("q quit");
        // Drains the second one by keys, and takes it back.
        terminal.press("jd");
        terminal.wait_for("Drain e1? Nothing new goes there");
        terminal.press("y");
        terminal.wait_for("2 of 3 engines ready");
        terminal.wait_for("e1 drained");
        assert!(o.snapshot().engines[1].order == "drain");
        terminal.press("r");
        terminal.wait_for("3 of 3 engines ready");
        // An engine falls silent during an import.
        let _import = o
            .site
            .begin("/", "INSERT INTO o.t VALUES (1) /* standin: silent */");
        o.site.request_log.wait_for("INSERT", 1);
        let engine = o.site.request_log.of("INSERT")[0].engine.clone();
        o.site.engine(&engine).mute(true);
        terminal.wait_for(&format!("{engine} has said nothing for"));
        terminal.wait_for("One import runs there; it will not be sent again.");
        // Its process ends and comes back: the import has failed, and nothing of it is sent again.
        o.site.engine(&engine).restart();
        o.site.engine(&engine).mute(false);
        o.wait_until("the import's end", |s| s.open == 0);
        assert_eq!(o.site.request_log.of("INSERT").len(), 1);
        terminal.press("2");
        terminal.wait_for("[2 service]");
        terminal.wait_for("lookup");
        // An engine's process ends: it leaves the list, and the console says so.
        o.site.list(&["gone", "ready", "ready"]);
        terminal.press("1");
        terminal.wait_for("2 of 2 engines ready");
        // Killed in the middle of whatever it draws: the program goes on.
        drop(terminal);
        assert_eq!(o.site.query("SELECT 'after the console'").status, 200);
        // The program ends: a console that stays open says so and keeps what was last seen.
        let terminal = Terminal::open(&o, rows, cols);
        terminal.wait_for("2 of 2 engines ready");
        o.site.coordinator.terminate();
        terminal.wait_for("The program can't be reached");
        let _ = o.site.coordinator.wait();
    }
}

#[test]
fn console_ends_when_its_terminal_is_gone() {
    let o = Operated::start(1);
    let size = portable_pty::PtySize {
        rows: 24,
        cols: 80,
        pixel_width: 0,
        pixel_height: 0,
    };
    let pair = portable_pty::native_pty_system()
        .openpty(size)
        .expect("a terminal");
    let mut command = portable_pty::CommandBuilder::new(env!("CARGO_BIN_EXE_driftfront"));
    command.args(["console", "--at", &o.socket.display().to_string()]);
    command.env("TERM", "xterm-256color");
    let mut child = pair.slave.spawn_command(command).expect("it runs");
    drop(pair.slave);
    o.site.coordinator.wait_for_counter("operators", 1);
    drop(pair.master);
    let begin = Instant::now();
    while child.try_wait().expect("a child").is_none() {
        assert!(
            begin.elapsed() < TEST_TIMEOUT,
            "it goes on without a terminal"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(o.site.query("SELECT 'after the terminal'").status, 200);
}
