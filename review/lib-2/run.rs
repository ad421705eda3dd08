//! What every case needs: the record, the started processes, temporary files, ports, and the end of the run.

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant};

/// A run that has not ended by itself after this time is ended, and counts as not run.
const LIMIT: Duration = Duration::from_secs(105);
/// How long a program may take to accept connections.
const START_LIMIT: Duration = Duration::from_secs(10);

/// How a run ended.
pub enum Outcome {
    /// The rule was broken: what was seen.
    Broken(String),
    /// The rule held: what was checked.
    Held(String),
    /// The case could not run, and why.
    NotRun(String),
}

struct Run {
    record: Mutex<File>,
    begun: Instant,
    folder: PathBuf,
    children: Mutex<Vec<Child>>,
}

static RUN: OnceLock<Run> = OnceLock::new();

fn run() -> &'static Run {
    RUN.get().expect("the run is open")
}

/// Opens the record and the temporary folder, and starts the watchdog.
pub fn open(folder: &str) {
    let temporary = std::env::temp_dir().join(format!("driftfront-review-{}", std::process::id()));
    let record = File::create(Path::new(folder).join("record.txt"));
    let opened = record.and_then(|record| std::fs::create_dir_all(&temporary).map(|()| record));
    let Ok(record) = opened else {
        eprintln!("the record or the temporary folder cannot be created");
        std::process::exit(2);
    };
    let _ = RUN.set(Run {
        record: Mutex::new(record),
        begun: Instant::now(),
        folder: temporary,
        children: Mutex::new(Vec::new()),
    });
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        end(Outcome::NotRun("the run took too long".into()));
    });
}

/// Ends all started processes, says the outcome, and exits with its code.
pub fn end(outcome: Outcome) -> ! {
    let (code, text) = match outcome {
        Outcome::Held(text) => (0, format!("rule held: {text}")),
        Outcome::Broken(text) => (1, format!("rule BROKEN: {text}")),
        Outcome::NotRun(text) => (2, format!("not run: {text}")),
    };
    for child in lock(&run().children).iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    let _ = std::fs::remove_dir_all(&run().folder);
    note(&text);
    println!("{text}");
    std::process::exit(code);
}

/// Whether the disruption is part of this run.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Locks a mutex, also after a panic of another thread.
pub fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// Milliseconds since the run began.
pub fn now_ms() -> u64 {
    run().begun.elapsed().as_millis() as u64
}

/// Writes a line into the record.
pub fn note(text: &str) {
    let line = format!("{:>7} ms  {text}\n", now_ms());
    let _ = lock(&run().record).write_all(line.as_bytes());
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// A listener on a free loopback port.
pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0")
        .unwrap_or_else(|e| end(Outcome::NotRun(format!("no free port: {e}"))))
}

/// A loopback port that was free a moment ago, for a program that binds it itself.
pub fn free_port() -> u16 {
    let listener = listen();
    listener.local_addr().map_or(0, |address| address.port())
}

/// Writes a file into the temporary folder.
pub fn write_file(name: &str, text: &str) -> PathBuf {
    let path = run().folder.join(name);
    if let Err(e) = std::fs::write(&path, text) {
        end(Outcome::NotRun(format!("{}: {e}", path.display())));
    }
    path
}

/// Creates a folder in the temporary folder.
pub fn folder(name: &str) -> PathBuf {
    let path = run().folder.join(name);
    if let Err(e) = std::fs::create_dir_all(&path) {
        end(Outcome::NotRun(format!("{}: {e}", path.display())));
    }
    path
}

/// The id of a started process.
pub fn process_id(index: usize) -> u32 {
    lock(&run().children)[index].id()
}

/// Kills a started process.
pub fn kill(index: usize) {
    let _ = lock(&run().children)[index].kill();
}

/// Sends SIGTERM to a started process.
pub fn terminate(index: usize) {
    let command = format!("kill -TERM {}", process_id(index));
    let sent = Command::new("/bin/sh").args(["-c", &command]).status();
    if !sent.is_ok_and(|status| status.success()) {
        end(Outcome::NotRun("SIGTERM cannot be sent".into()));
    }
}

/// Starts a program, whose log goes to the temporary folder, and waits until it listens on a port.
pub fn start(mut command: Command, log: &str, port: u16) -> usize {
    let path = run().folder.join(log);
    let file = File::create(path).unwrap_or_else(|e| end(Outcome::NotRun(format!("{log}: {e}"))));
    let child = command.stdout(Stdio::null()).stderr(file).spawn();
    let child = child.unwrap_or_else(|e| end(Outcome::NotRun(format!("{command:?}: {e}"))));
    let index = {
        let mut children = lock(&run().children);
        children.push(child);
        children.len() - 1
    };
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    let begun = Instant::now();
    while TcpStream::connect(address).is_err() {
        if begun.elapsed() > START_LIMIT {
            end(Outcome::NotRun(format!("{command:?} does not listen")));
        }
        sleep_ms(20);
    }
    index
}

/// Whether a started process still runs.
pub fn is_running(index: usize) -> bool {
    lock(&run().children)[index]
        .try_wait()
        .is_ok_and(|status| status.is_none())
}

/// The command of the deploy file under this key.
pub fn deploy_command(key: &str) -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").unwrap_or_default();
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(&format!("{key} = \"")));
    match line.and_then(|line| line.strip_suffix('"')) {
        Some(command) => command.into(),
        None => end(Outcome::NotRun(format!(
            "deploy/balancer.toml has no {key}"
        ))),
    }
}

/// Starts the coordinator with the deploy file's command and this operator's file, and waits until it is ready.
pub fn start_coordinator(file: &Path, port: u16) -> usize {
    let mut command = Command::new("/bin/sh");
    command
        .args(["-c", &deploy_command("run")])
        .env("LB_CONFIG", file)
        .stdin(Stdio::null());
    command.env("TMPDIR", &run().folder);
    let index = start(command, "coordinator.log", port);
    let begun = Instant::now();
    while crate::http::get_status(port, "/alive") != Some(200) {
        if begun.elapsed() > START_LIMIT || !is_running(index) {
            end(Outcome::NotRun("the coordinator is not ready".into()));
        }
        sleep_ms(20);
    }
    note(&format!("the coordinator is ready on port {port}"));
    index
}

/// Starts the project's own mock engine.
pub fn start_mock_engine(port: u16, options: &[&str]) -> usize {
    let mut command = Command::new("target/release/driftfront-mock-servers");
    command
        .args(["engine", "--listen", &format!("127.0.0.1:{port}")])
        .args(options)
        .stdin(Stdio::null());
    start(command, &format!("engine-{port}.log"), port)
}
