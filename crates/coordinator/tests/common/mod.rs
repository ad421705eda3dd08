//! Runs the program itself on loopback against stand-ins. Waits are for events, never for a time.
#![allow(dead_code, reason = "each test file uses a part of this")]

pub(crate) mod lines;
pub(crate) mod site;

use driftfront_cluster_harness::wall_clock::WallClock;
use driftfront_http::{header, Header, ResponsePart, ResponseReader};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A wait that long means that the test has failed; nothing is decided by it.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// A configuration in the platform's form, for a site of one coordinator.
pub(crate) fn appliance() -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/common/site.json");
    std::fs::read_to_string(path).expect("site.json")
}

static FILES: AtomicUsize = AtomicUsize::new(0);

/// A file of this test's own.
pub(crate) fn file(text: &str) -> PathBuf {
    let n = FILES.fetch_add(1, Ordering::Relaxed);
    let path =
        std::env::temp_dir().join(format!("driftfront-test-{}-{n}.json", std::process::id()));
    std::fs::write(&path, text).expect("a temporary file");
    path
}

/// A coordinator, running as its operators run it.
pub(crate) struct Coordinator {
    child: Child,
    pub addr: SocketAddr,
    /// Its second address, if it has one.
    pub management: Option<SocketAddr>,
    files: Vec<PathBuf>,
    /// What it has logged; shown where a test fails. `DRIFTFRONT_TEST_LOG=debug` has it say more.
    log: Arc<Mutex<String>>,
}

impl Coordinator {
    pub(crate) fn start(config: &str) -> Coordinator {
        Coordinator::limited(config, 1024)
    }

    /// One that may hold only so many descriptors.
    pub(crate) fn limited(config: &str, descriptors: usize) -> Coordinator {
        let shell = format!(
            "ulimit -n {descriptors}; exec \"$0\" serve --config \"$1\" --log \"$DRIFTFRONT_LOG_LEVEL\""
        );
        Coordinator::spawn(config, Command::new("sh").args(["-c", &shell]))
    }

    /// One that lives by this wall clock.
    pub(crate) fn under(config: &str, clock: &WallClock) -> Coordinator {
        let shell = "exec \"$0\" serve --config \"$1\" --log \"$DRIFTFRONT_LOG_LEVEL\"";
        Coordinator::spawn(
            config,
            clock.apply_to(Command::new("sh").args(["-c", shell])),
        )
    }

    /// One that is started with this socket as descriptor 4, and told so in these words; `tmp` is its `$TMPDIR`.
    pub(crate) fn inheriting(
        config: &str,
        socket: std::os::fd::OwnedFd,
        told: &str,
        tmp: &Path,
    ) -> Coordinator {
        let shell =
            "exec 4<&0 0</dev/null \"$0\" serve --config \"$1\" --log \"$DRIFTFRONT_LOG_LEVEL\"";
        let mut command = Command::new("sh");
        command
            .args(["-c", shell])
            .stdin(socket)
            .env("LB_PASSED_SOCKET", told)
            .env("TMPDIR", tmp);
        Coordinator::spawn(config, &mut command)
    }

    fn spawn(config: &str, command: &mut Command) -> Coordinator {
        let path = file(config);
        let level = std::env::var("DRIFTFRONT_TEST_LOG").unwrap_or("info".into());
        let program = command.arg(env!("CARGO_BIN_EXE_driftfront")).arg(&path);
        let command = program
            .env("DRIFTFRONT_LOG_LEVEL", level)
            .stderr(Stdio::piped());
        let mut child = command.spawn().expect("the program starts");
        let mut log = BufReader::new(child.stderr.take().expect("piped"));
        let mut line = String::new();
        while !line.contains("listen=") {
            line.clear();
            assert!(
                log.read_line(&mut line).expect("a log") > 0,
                "the program ended"
            );
        }
        let addr = line
            .trim()
            .rsplit("listen=")
            .next()
            .and_then(|a| a.parse().ok())
            .expect("an address");
        let management = line
            .split("management=")
            .nth(1)
            .and_then(|l| l.split(' ').next()?.parse().ok());
        let lines = Arc::new(Mutex::new(String::new()));
        let kept = lines.clone();
        std::thread::spawn(move || {
            let mut line = String::new();
            while log.read_line(&mut line).is_ok_and(|n| n > 0) {
                kept.lock().expect("the log").push_str(&line);
                line.clear();
            }
        });
        Coordinator {
            child,
            addr,
            management,
            files: vec![path],
            log: lines,
        }
    }

    /// One of the counters, by name.
    pub(crate) fn counter(&self, name: &str) -> u64 {
        let text = get(self.addr, "/counters").text();
        let line = text
            .lines()
            .find(|l| l.split(' ').next() == Some(name))
            .expect("a counter of this name");
        line.rsplit(' ')
            .next()
            .and_then(|n| n.parse().ok())
            .expect("a count")
    }

    /// Asks again and again until a counter has come this far.
    pub(crate) fn wait_for(&self, name: &str, least: u64) {
        let begin = std::time::Instant::now();
        while self.counter(name) < least {
            assert!(
                begin.elapsed() < TEST_TIMEOUT,
                "{name} never came to {least}"
            );
            std::thread::yield_now();
        }
    }

    pub(crate) fn wait_until_ready(&self) {
        let begin = std::time::Instant::now();
        while get(self.addr, "/alive").status != 200 {
            assert!(begin.elapsed() < TEST_TIMEOUT, "never ready");
            std::thread::yield_now();
        }
    }

    /// The reply to one call at its second address.
    pub(crate) fn manage(&self, line: &str) -> String {
        let mut stream =
            TcpStream::connect(self.management.expect("a second address")).expect("it listens");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a timeout");
        stream.write_all(line.as_bytes()).expect("it reads");
        let mut reply = String::new();
        stream.read_to_string(&mut reply).expect("a reply");
        reply
    }

    /// What it has logged so far.
    pub(crate) fn log(&self) -> String {
        self.log.lock().expect("the log").clone()
    }

    /// Asks it to end as the platform does.
    pub(crate) fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Whether it has been asked to end and knows it; one that nobody can ask is not.
    pub(crate) fn is_leaving(&self) -> bool {
        get(self.addr, "/alive").status == 503
    }

    /// Replaces its configuration and tells it so.
    pub(crate) fn reload(&self, config: &str) {
        std::fs::write(&self.files[0], config).expect("a temporary file");
        self.signal("-HUP");
    }

    /// Ends it as a crash does.
    pub(crate) fn kill(&mut self) {
        self.child.kill().expect("it runs");
        self.child.wait().expect("it ended");
    }

    /// It stands still until [`Coordinator::wake`]: what happens meanwhile it finds all at once.
    pub(crate) fn freeze(&self) {
        self.signal("-STOP");
        // The signal is sent, not yet taken: the state says when.
        let begin = std::time::Instant::now();
        let stat = format!("/proc/{}/stat", self.child.id());
        while !std::fs::read_to_string(&stat)
            .expect("its state")
            .contains(") T ")
        {
            assert!(begin.elapsed() < TEST_TIMEOUT, "it never stood still");
            std::thread::yield_now();
        }
    }

    pub(crate) fn wake(&self) {
        self.signal("-CONT");
    }

    fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status()
            .expect("kill");
        assert!(status.success());
    }

    /// Most memory that it ever held, in MB.
    pub(crate) fn memory_mb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .expect("its figures");
        let line = status
            .lines()
            .find(|l| l.starts_with("VmHWM"))
            .expect("a figure of this name");
        line.split_whitespace()
            .nth(1)
            .and_then(|kb| kb.parse::<u64>().ok())
            .expect("kilobytes")
            / 1024
    }

    pub(crate) fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the program ends")
    }
}

impl Drop for Coordinator {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            eprintln!(
                "the coordinator at {} said:\n{}",
                self.addr,
                self.log.lock().expect("the log")
            );
        }
        for path in &self.files {
            let _ = std::fs::remove_file(path);
        }
    }
}

/// An answer as a client sees it.
#[derive(Debug)]
pub(crate) struct Answer {
    pub status: u16,
    pub headers: Vec<Header>,
    pub body: Vec<u8>,
    /// Its end was told, not just the connection's.
    pub whole: bool,
}

impl Answer {
    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

/// Reads one answer off a connection.
pub(crate) fn read_answer(stream: &mut TcpStream) -> Answer {
    read_next(stream, &mut ResponseReader::default())
}

/// Reads the next of several answers off a connection.
pub(crate) fn read_next(stream: &mut TcpStream, reader: &mut ResponseReader) -> Answer {
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a timeout");
    let mut answer = Answer {
        status: 0,
        headers: Vec::new(),
        body: Vec::new(),
        whole: false,
    };
    let mut chunk = [0; 4096];
    loop {
        while let Some(part) = reader.next_part().expect("HTTP") {
            match part {
                ResponsePart::Head(head) => {
                    (answer.status, answer.headers) = (head.status, head.headers)
                }
                ResponsePart::EarlyHeader(_) => {}
                ResponsePart::Body(bytes) => answer.body.extend(bytes),
                ResponsePart::End => {
                    answer.whole = true;
                    return answer;
                }
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) => return answer,
            Ok(n) => reader.push(&chunk[..n]),
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => return answer,
            Err(e) => panic!("no answer: {e}"),
        }
    }
}

/// Sends these bytes on a new connection and reads the answer.
pub(crate) fn call(addr: SocketAddr, bytes: &[u8]) -> Answer {
    let mut stream = TcpStream::connect(addr).expect("the coordinator listens");
    stream.write_all(bytes).expect("it reads");
    read_answer(&mut stream)
}

pub(crate) fn get(addr: SocketAddr, target: &str) -> Answer {
    call(
        addr,
        format!("GET {target} HTTP/1.1\r\nHost: t\r\n\r\n").as_bytes(),
    )
}

pub(crate) fn post(addr: SocketAddr, target: &str, headers: &str, body: &str) -> Answer {
    let length = body.len();
    call(
        addr,
        format!(
            "POST {target} HTTP/1.1\r\nHost: t\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
        )
        .as_bytes(),
    )
}

/// A stand-in that hands every connection to this function, each on a thread of its own.
pub(crate) fn stand_in(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let serve = std::sync::Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
    addr
}

/// An engine's line for a list.
pub(crate) fn instance(name: &str, addr: SocketAddr, lifecycle: &str) -> String {
    format!(
        "{{\"instanceId\":\"{name}\",\"hostPort\":\"{addr}\",\"zone\":\"building-a\",\
         \"machineType\":\"std-8\",\"cell\":0,\"lifecycle\":\"{lifecycle}\",\"startedAtMs\":0}}"
    )
}
