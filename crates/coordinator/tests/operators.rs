//! Operating a running program: the control socket, commands, drains that persist across a restart, and the console.

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

fn temporary_path(name: &str) -> PathBuf {
    let n = PATHS.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("driftfront-{name}-{}-{n}", std::process::id()))
}

/// A site with a control socket and a state folder, which are removed with it.
struct OperatedSite {
    site: Site,
    socket: PathBuf,
    state: PathBuf,
}

impl OperatedSite {
    fn start(engines: usize) -> OperatedSite {
        let (socket, state) = (temporary_path("control"), temporary_path("state"));
        let site = OperatedSite::plan(engines, &socket, &state).start();
        OperatedSite {
            site,
            socket,
            state,
        }
    }

    fn plan(engines: usize, socket: &std::path::Path, state: &std::path::Path) -> SiteOptions {
        let settings = format!(
            "\"control\": \"{}\", \"state\": \"{}\", \"limits\"",
            socket.display(),
            state.display()
        );
        SiteOptions::with_engines(engines).with("\"limits\"", &settings)
    }

    fn connect(&self) -> Remote {
        let start = Instant::now();
        loop {
            match Remote::connect(&Endpoint::Socket(self.socket.clone())) {
                Ok(remote) => return remote,
                Err(e) => assert!(start.elapsed() < TEST_TIMEOUT, "{e}"),
            }
        }
    }

    fn ask(&self, request: &Request) -> Reply {
        self.connect().ask(request).expect("a reply")
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

    fn wait_until(&self, what: &str, is_met: impl Fn(&Snapshot) -> bool) -> Snapshot {
        let start = Instant::now();
        loop {
            let snapshot = self.snapshot();
            if is_met(&snapshot) {
                return snapshot;
            }
            assert!(
                start.elapsed() < TEST_TIMEOUT,
                "timed out waiting for {what}: {snapshot:#?}"
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Runs a command as an operator would and returns its exit code and its output.
    fn run_command(&self, args: &[&str]) -> (i32, String) {
        let out = Command::new(env!("CARGO_BIN_EXE_driftfront"))
            .args(args)
            .env("DRIFTFRONT_CONTROL", &self.socket)
            .env("COLUMNS", "100")
            .output()
            .expect("the program starts");
        let text = [out.stdout, out.stderr].concat();
        (
            out.status.code().unwrap_or(-1),
            String::from_utf8(text).expect("UTF-8 output"),
        )
    }
}

impl Drop for OperatedSite {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.state);
        let _ = std::fs::remove_file(&self.socket);
    }
}

fn refusal_text(reply: &Reply) -> &str {
    match reply {
        Reply::Refused(text) => text,
        other => panic!("{other:?}"),
    }
}

#[test]
fn drained_engine_gets_no_new_query_in_a_hundred_drains() {
    let operated = OperatedSite::start(3);
    assert_eq!(
        std::fs::metadata(&operated.socket)
            .expect("the socket exists")
            .permissions()
            .mode()
            & 0o777,
        0o600
    );
    let addr = operated.site.coordinator.addr;
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
        assert!(matches!(operated.drain(&engine, false), Reply::Done(_)));
        let drained_at = Instant::now();
        for n in 0..5 {
            operated
                .site
                .query(&format!("SELECT 'after drain', {run}, {n}"));
        }
        // No query sent after the reply reaches the engine. Queries that were already on their way may arrive within 250 ms.
        let entries = operated.site.request_log.of("SELECT");
        let late = entries
            .iter()
            .filter(|e| e.engine == engine && e.at > drained_at);
        assert!(late
            .clone()
            .all(|e| e.at < drained_at + Duration::from_millis(250)
                && !e.statement.contains("after drain")));
        assert!(matches!(
            operated.ask(&Request::Resume(engine)),
            Reply::Done(_)
        ));
    }
    stop.store(true, Ordering::Relaxed);
    load.into_iter()
        .for_each(|l| l.join().expect("the thread does not panic"));
}

#[test]
fn drain_outlives_a_restart_and_later_engine_lists() {
    let (socket, state) = (temporary_path("control"), temporary_path("state"));
    {
        let operated = OperatedSite {
            site: OperatedSite::plan(2, &socket, &state).start(),
            socket: socket.clone(),
            state: temporary_path("none"),
        };
        assert!(matches!(operated.drain("e0", false), Reply::Done(_)));
        // The source lists the engine as ready again: the operator's order takes precedence.
        operated.site.list(&["ready", "draining"]);
        operated.site.list(&["ready", "ready"]);
        let s = operated.wait_until("the source's phase", |s| {
            s.engines
                .iter()
                .all(|e| e.listed.as_deref() == Some("ready"))
        });
        assert_eq!(
            (s.engines[0].phase.as_str(), s.engines[0].order.as_str()),
            ("draining", "drain")
        );
        // An incomplete record at the end, as a power cut can leave it.
        let orders = state.join("orders");
        let mut bytes = std::fs::read(&orders).expect("the file is read");
        bytes.extend([9, 0, 0, 0, 1]);
        std::fs::write(&orders, bytes).expect("the file is written");
    }
    let operated = OperatedSite {
        site: OperatedSite::plan(2, &socket, &state).start(),
        socket,
        state,
    };
    let s = operated.wait_until("the engine list", |s| s.engines.len() == 2);
    assert_eq!(
        (s.engines[0].phase.as_str(), s.engines[0].order_by.as_str()),
        ("draining", "operator")
    );
    for n in 0..20 {
        assert_eq!(operated.site.query(&format!("SELECT {n}")).status, 200);
    }
    assert!(operated
        .site
        .request_log
        .of("SELECT")
        .iter()
        .all(|e| e.engine == "e1"));
    let (code, events) = operated.run_command(&["events"]);
    assert!(
        code == 0 && events.contains("truncated 5 bytes after the last complete record"),
        "{events}"
    );
    assert!(matches!(
        operated.ask(&Request::Resume("e0".into())),
        Reply::Done(_)
    ));
    operated.wait_until("e0 to be ready", |s| s.engines[0].phase == "ready");
}

#[test]
fn last_ready_engine_is_drained_only_with_force() {
    let operated = OperatedSite::start(2);
    let replies: Vec<Reply> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..2)
            .map(|_| scope.spawn(|| operated.drain("e0", false)))
            .collect();
        threads
            .into_iter()
            .map(|t| t.join().expect("the thread does not panic"))
            .collect()
    });
    assert_eq!(
        replies
            .iter()
            .filter(|a| matches!(a, Reply::Done(_)))
            .count(),
        1
    );
    let second = replies
        .iter()
        .find(|a| matches!(a, Reply::Refused(_)))
        .expect("one of the two drains is refused");
    assert!(refusal_text(second).contains("was drained before, by operator"));
    assert!(refusal_text(&operated.drain("e1", false)).contains("--force"));
    assert!(refusal_text(&operated.drain("e-1", false)).contains("did you mean e1"));
    let (code, output) = operated.run_command(&["drain", "e1"]);
    assert!(code == 3 && output.contains("last engine"), "{output}");
    assert_eq!(operated.run_command(&["drain", "e1", "--force"]).0, 0);
    let refusal = operated.site.request("/?max_execution_time=1", "SELECT 1");
    assert_eq!(refusal.status, 429);
    let (_, text) = operated.run_command(&["console", "--plain"]);
    assert!(text.contains("No engine takes work"), "{text}");
}

#[test]
fn added_and_removed_engines_outlive_later_engine_lists() {
    let operated = OperatedSite::start(2);
    let third = Engine::start(
        Options {
            name: "extra".into(),
            ..Options::default()
        },
        operated.site.request_log.clone(),
    );
    let (code, output) = operated.run_command(&["add", "extra", &third.addr().to_string()]);
    assert!(code == 0, "{output}");
    operated.drain("e0", false);
    operated.drain("e1", false);
    assert_eq!(operated.site.query("SELECT 'extra'").status, 200);
    assert_eq!(operated.site.request_log.of("'extra'")[0].engine, "extra");
    assert!(refusal_text(&operated.ask(&Request::Remove {
        engine: "extra".into(),
        force: false
    }))
    .contains("drain it first"));
    assert!(matches!(
        operated.ask(&Request::Remove {
            engine: "e0".into(),
            force: false
        }),
        Reply::Done(_)
    ));
    operated.site.list(&["ready", "ready"]);
    let s = operated.snapshot();
    assert!(s
        .engines
        .iter()
        .any(|e| e.name == "e0" && e.phase == "gone" && e.order == "remove"));
    let (code, output) = operated.run_command(&["add", "e0"]);
    assert!(code == 0, "{output}");
    operated.wait_until("e0 to be ready", |s| {
        s.engines
            .iter()
            .any(|e| e.name == "e0" && e.phase == "ready")
    });
}

#[test]
fn silent_engine_is_shown_during_an_import() {
    let operated = OperatedSite::start(2);
    let _import = operated.site.begin(
        "/?query_id=june",
        "INSERT INTO o.t VALUES (1) /* standin: silent */",
    );
    operated.site.request_log.wait_for("INSERT", 1);
    let engine = operated.site.request_log.of("INSERT")[0].engine.clone();
    operated.site.engine(&engine).mute(true);
    let snapshot = operated.wait_until("an alarm for the silent engine", |s| {
        driftfront_console::messages::alarms(s)
            .iter()
            .any(|a| a.contains("said nothing"))
    });
    let alarms = driftfront_console::messages::alarms(&snapshot).join("\n");
    let import_text = "One import runs there; it will not be sent again.";
    assert!(
        alarms.contains(&engine) && alarms.contains(import_text),
        "{alarms}"
    );
    let (_, text) = operated.run_command(&["queries"]);
    assert!(text.contains("june") && text.contains("yes"), "{text}");
    let (_, json) = operated.run_command(&["queries", "--json"]);
    assert!(json.contains("\"import\":true"), "{json}");
}

#[test]
fn operator_that_does_not_read_does_not_block_others() {
    let operated = OperatedSite::start(1);
    let mut unread: Vec<UnixStream> = (0..4)
        .map(|_| UnixStream::connect(&operated.socket).expect("the control socket accepts"))
        .collect();
    for stream in &mut unread {
        stream
            .write_all(Request::Follow(50).line(1).as_bytes())
            .expect("the write succeeds");
        stream
            .write_all(Request::Events(true).line(2).as_bytes())
            .expect("the write succeeds");
    }
    let mut malformed = UnixStream::connect(&operated.socket).expect("the control socket accepts");
    malformed.write_all(&[b'x'; 100_000]).ok();
    let mut rest = Vec::new();
    let _ = malformed.read_to_end(&mut rest);
    for line in [
        "nonsense\n",
        "{\"v\":9,\"id\":1,\"do\":\"snapshot\"}\n",
        "{\"v\":1,\"do\":\"unknown\"}\n",
    ] {
        let mut stream = UnixStream::connect(&operated.socket).expect("the control socket accepts");
        stream
            .write_all(line.as_bytes())
            .expect("the write succeeds");
        let mut bytes = [0; 4096];
        let mut text = String::new();
        while !text.contains("refused") {
            let n = stream.read(&mut bytes).expect("a reply");
            assert!(n > 0, "{text}");
            text += &String::from_utf8_lossy(&bytes[..n]);
        }
    }
    for n in 0..50 {
        assert_eq!(operated.site.query(&format!("SELECT {n}")).status, 200);
    }
    assert_eq!(operated.snapshot().engines.len(), 1);
    // With many engines, snapshots are large: the four connections that do not read are closed.
    for n in 0..60 {
        let (engine, addr) = (format!("far-{n}"), format!("127.0.0.1:{}", 40_000 + n));
        let (zone, kind) = (String::new(), String::new());
        operated.ask(&Request::Add {
            engine: engine.clone(),
            addr,
            zone,
            kind,
        });
        operated.drain(&engine, false);
    }
    operated
        .site
        .coordinator
        .wait_for_counter("operators_cut_off", 4);
    drop(unread);
    // More connections than the limit: the excess is closed, and the program keeps serving.
    let excess: Vec<_> = (0..40)
        .filter_map(|_| UnixStream::connect(&operated.socket).ok())
        .collect();
    assert_eq!(operated.site.query("SELECT 'excess'").status, 200);
    drop(excess);
    operated.snapshot();
}

#[test]
fn rolling_restart_drains_one_engine_at_a_time_and_outlives_a_restart() {
    let (socket, state) = (temporary_path("control"), temporary_path("state"));
    let plan = || {
        OperatedSite::plan(3, &socket, &state)
            .with("\"WarmUpUs\": 15000000", "\"WarmUpUs\": 1000000")
    };
    {
        let operated = OperatedSite {
            site: plan().start(),
            socket: socket.clone(),
            state: temporary_path("none"),
        };
        let (code, plan) = operated.run_command(&["roll", "--dry-run"]);
        assert!(
            code == 0 && plan.contains("1. drain e0") && plan.contains("3. drain e2"),
            "{plan}"
        );
        assert!(operated.snapshot().roll.is_none());
        let mut busy = operated
            .site
            .begin("/?driftfront_class=report", "SELECT sleep(1), 'busy'");
        operated.site.request_log.wait_for("busy", 1);
        let engine = operated.site.request_log.of("busy")[0].engine.clone();
        assert_eq!(operated.run_command(&["roll", &engine, "e2"]).0, 0);
        operated.wait_until("the engine to be handed over", |s| {
            s.roll.as_ref().is_some_and(|r| r.stage == "handed")
        });
        // The engine is handed over only after its last query has finished.
        assert!(operated.site.request_log.of("busy")[0].end_seq.is_some());
        assert_eq!(read_response(&mut busy).status, 200);
    }
    let operated = OperatedSite {
        site: plan().start(),
        socket,
        state,
    };
    let s = operated.wait_until("the rolling restart", |s| {
        s.roll.is_some() && s.engines.len() == 3
    });
    assert_eq!(s.roll.as_ref().map(|r| r.stage.as_str()), Some("handed"));
    assert_eq!(
        s.engines.iter().filter(|e| e.phase == "draining").count(),
        1
    );
    assert_eq!(operated.run_command(&["roll", "--back"]).0, 0);
    operated.wait_until("all engines to be ready", |s| {
        s.engines.iter().all(|e| e.phase == "ready")
    });
    assert_eq!(operated.run_command(&["roll", "--stop"]).0, 0);
    assert_eq!(
        operated.snapshot().roll.map(|r| r.stage),
        Some("stopped".to_string())
    );
}

#[test]
fn exit_codes_distinguish_errors() {
    let operated = OperatedSite::start(1);
    let (code, text) = operated.run_command(&["status"]);
    assert!(code == 0 && text.contains("1 of 1 engines ready"), "{text}");
    assert_eq!(operated.run_command(&["drain"]).0, 2);
    assert_eq!(operated.run_command(&["unknown"]).0, 2);
    assert_eq!(operated.run_command(&["resume", "e0"]).0, 3);
    assert_eq!(
        operated.run_command(&["status", "--at", "/nowhere.sock"]).0,
        4
    );
    assert!(operated
        .run_command(&["manual"])
        .1
        .contains(".TH DRIFTFRONT"));
    assert!(operated
        .run_command(&["completions", "bash"])
        .1
        .contains("complete -F"));
    // A second process does not replace a control socket on which another one answers.
    let list = write_temp_file("{\"instances\":[]}");
    let config = example_configuration()
        .replace("127.0.0.1:8123", "127.0.0.1:0")
        .replace("deploy/engines.json", &list.display().to_string())
        .replace(
            "\"limits\"",
            &format!("\"control\": \"{}\", \"limits\"", operated.socket.display()),
        );
    let path = write_temp_file(&config);
    let second = Command::new(env!("CARGO_BIN_EXE_driftfront"))
        .args(["serve", "--config"])
        .arg(&path)
        .output();
    let output =
        String::from_utf8(second.expect("the program starts").stderr).expect("UTF-8 output");
    assert!(output.contains("another program answers there"), "{output}");
    let _ = (std::fs::remove_file(path), std::fs::remove_file(list));
}

#[test]
fn demo_runs_with_one_command() {
    let out = Command::new(env!("CARGO_BIN_EXE_driftfront"))
        .args(["demo", "--plain"])
        .output()
        .expect("the program starts");
    let text = String::from_utf8(out.stdout).expect("UTF-8 output");
    assert!(
        out.status.success() && text.contains("3 of 3 engines ready") && text.contains("lookup"),
        "{text}"
    );
}

#[test]
fn control_port_on_loopback_requires_the_key() {
    let key = temporary_path("key");
    std::fs::write(&key, "a key of some length\n").expect("the key file is written");
    let engine = Engine::start(Options::default(), Arc::new(RequestLog::default()));
    // Not 127.0.0.1: a connection of another test could get the same port as its source port before the program binds it.
    let port = std::net::TcpListener::bind("127.91.0.1:0")
        .and_then(|l| l.local_addr())
        .expect("an unused port");
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
    let connect_with =
        |key: &str| Remote::connect(&Endpoint::Port(port.to_string(), key.as_bytes().to_vec()));
    assert!(connect_with("another key altogether").is_err());
    let mut remote = connect_with("a key of some length").expect("the key is accepted");
    assert!(
        matches!(remote.ask(&Request::Snapshot), Ok(Reply::Snapshot(s)) if s.engines.len() == 1)
    );
    let _ = (std::fs::remove_file(key), std::fs::remove_file(list));
}

/// A pseudo-terminal that runs the console, with its screen content as text.
struct Terminal {
    screen: Arc<std::sync::Mutex<vt100::Parser>>,
    writer: Box<dyn Write + Send>,
    child: Box<dyn portable_pty::Child + Send + Sync>,
    /// Keeps the pseudo-terminal open.
    _master: Box<dyn portable_pty::MasterPty + Send>,
}

impl Terminal {
    fn open(operated: &OperatedSite, rows: u16, cols: u16) -> Terminal {
        let size = portable_pty::PtySize {
            rows,
            cols,
            pixel_width: 0,
            pixel_height: 0,
        };
        let pair = portable_pty::native_pty_system()
            .openpty(size)
            .expect("a pseudo-terminal");
        let mut command = portable_pty::CommandBuilder::new(env!("CARGO_BIN_EXE_driftfront"));
        command.args([
            "console",
            "--no-color",
            "--at",
            &operated.socket.display().to_string(),
        ]);
        command.env("TERM", "xterm-256color");
        let child = pair
            .slave
            .spawn_command(command)
            .expect("the program starts");
        drop(pair.slave);
        let screen = Arc::new(std::sync::Mutex::new(vt100::Parser::new(rows, cols, 0)));
        let mut reader = pair
            .master
            .try_clone_reader()
            .expect("a reader for the pseudo-terminal");
        let shared_screen = screen.clone();
        std::thread::spawn(move || {
            let mut bytes = [0; 4096];
            loop {
                match reader.read(&mut bytes) {
                    Ok(0) => return,
                    Ok(n) => shared_screen
                        .lock()
                        .expect("the thread does not panic")
                        .process(&bytes[..n]),
                    Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                    Err(e) => return eprintln!("reading from the pseudo-terminal failed: {e}"),
                }
            }
        });
        let writer = pair
            .master
            .take_writer()
            .expect("a writer for the pseudo-terminal");
        Terminal {
            screen,
            writer,
            child,
            _master: pair.master,
        }
    }

    fn text(&self) -> String {
        self.screen
            .lock()
            .expect("the thread does not panic")
            .screen()
            .contents()
    }

    /// Whether the screen shows this text, which may be wrapped anywhere.
    fn shows(&self, text: &str) -> bool {
        let unwrapped = |t: &str| t.split_whitespace().collect::<Vec<_>>().join(" ");
        unwrapped(&self.text()).contains(text)
    }

    fn wait_for(&self, text: &str) {
        let start = Instant::now();
        while !self.shows(text) {
            assert!(
                start.elapsed() < TEST_TIMEOUT,
                "{text:?} was never shown:\n{}",
                self.text()
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn press(&mut self, keys: &str) {
        self.writer
            .write_all(keys.as_bytes())
            .expect("the write succeeds");
    }
}

impl Drop for Terminal {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn console_session_at_three_terminal_sizes() {
    for (rows, cols) in [(12, 40), (24, 80), (40, 120)] {
        let mut operated = OperatedSite::start(3);
        let mut terminal = Terminal::open(&operated, rows, cols);
        terminal.wait_for("3 of 3 engines ready");
        terminal.wait_for("All is well.");
        terminal.wait_for("q quit");
        // Drains the second engine by key presses and resumes it.
        terminal.press("jd");
        terminal.wait_for("Drain e1? Nothing new goes there");
        terminal.press("y");
        terminal.wait_for("2 of 3 engines ready");
        terminal.wait_for("e1 drained");
        assert!(operated.snapshot().engines[1].order == "drain");
        terminal.press("r");
        terminal.wait_for("3 of 3 engines ready");
        // An engine becomes silent during an import.
        let _import = operated
            .site
            .begin("/", "INSERT INTO o.t VALUES (1) /* standin: silent */");
        operated.site.request_log.wait_for("INSERT", 1);
        let engine = operated.site.request_log.of("INSERT")[0].engine.clone();
        operated.site.engine(&engine).mute(true);
        terminal.wait_for(&format!("{engine} has said nothing for"));
        terminal.wait_for("One import runs there; it will not be sent again.");
        // The engine's process restarts: the import has failed and is not sent again.
        operated.site.engine(&engine).restart();
        operated.site.engine(&engine).mute(false);
        operated.wait_until("the end of the import", |s| s.open == 0);
        assert_eq!(operated.site.request_log.of("INSERT").len(), 1);
        terminal.press("2");
        terminal.wait_for("[2 service]");
        terminal.wait_for("lookup");
        // An engine leaves the list, and the console shows it.
        operated.site.list(&["gone", "ready", "ready"]);
        terminal.press("1");
        terminal.wait_for("2 of 2 engines ready");
        // The console is killed while it draws: the program keeps serving.
        drop(terminal);
        assert_eq!(
            operated.site.query("SELECT 'after the console'").status,
            200
        );
        // The program exits: an open console reports that and keeps showing the last state.
        let terminal = Terminal::open(&operated, rows, cols);
        terminal.wait_for("2 of 2 engines ready");
        operated.site.coordinator.terminate();
        terminal.wait_for("The program can't be reached");
        let _ = operated.site.coordinator.wait();
    }
}

#[test]
fn console_exits_when_its_terminal_is_closed() {
    let operated = OperatedSite::start(1);
    let size = portable_pty::PtySize {
        rows: 24,
        cols: 80,
        pixel_width: 0,
        pixel_height: 0,
    };
    let pair = portable_pty::native_pty_system()
        .openpty(size)
        .expect("a pseudo-terminal");
    let mut command = portable_pty::CommandBuilder::new(env!("CARGO_BIN_EXE_driftfront"));
    command.args(["console", "--at", &operated.socket.display().to_string()]);
    command.env("TERM", "xterm-256color");
    let mut child = pair
        .slave
        .spawn_command(command)
        .expect("the program starts");
    drop(pair.slave);
    operated.site.coordinator.wait_for_counter("operators", 1);
    drop(pair.master);
    let start = Instant::now();
    while child.try_wait().expect("the child's status").is_none() {
        assert!(
            start.elapsed() < TEST_TIMEOUT,
            "the console did not exit without a terminal"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(
        operated.site.query("SELECT 'after the terminal'").status,
        200
    );
}
