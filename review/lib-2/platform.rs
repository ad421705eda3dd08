//! Stand-ins of the platform: engines with the line protocol, the list of engines as server-sent events, the configuration, the
//! listening socket that every process inherits, and the second address.

use crate::http::{read_head, read_line};
use crate::run::{self, lock, note, now_ms, sleep_ms, Outcome};
use std::collections::BTreeMap;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The clients' statements read as many schemas, in turn.
const TABLE_GROUPS: u64 = 24;
/// How long an engine works on a request.
const WORK_MS: u64 = 10;

/// Requests by time of their first byte, in milliseconds, and engine.
pub type Arrivals = Arc<Mutex<Vec<(u64, String)>>>;

/// Starts an engine on a free port, and returns the port.
pub fn start_engine(name: &str, arrivals: &Arrivals) -> u16 {
    let listener = run::listen();
    let port = listener.local_addr().map_or(0, |address| address.port());
    let (name, arrivals) = (name.to_string(), arrivals.clone());
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, arrivals) = (name.clone(), arrivals.clone());
            std::thread::spawn(move || serve_engine(&stream, &name, &arrivals));
        }
    });
    port
}

fn serve_engine(stream: &TcpStream, name: &str, arrivals: &Arrivals) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream);
    let mut writer = stream.try_clone().ok()?;
    loop {
        let line = read_line(&mut reader)?;
        let at = now_ms();
        match line.split(' ').collect::<Vec<_>>()[..] {
            ["REQ", id, _, length] => {
                lock(arrivals).push((at, name.to_string()));
                let mut statement = vec![0; length.parse::<usize>().ok()? + 2];
                reader.read_exact(&mut statement).ok()?;
                sleep_ms(WORK_MS);
                let rows = "a\t1\tx\n";
                writer
                    .write_all(
                        format!("{id} HIT fetches=1 {}\r\n{rows}\r\n", rows.len()).as_bytes(),
                    )
                    .ok()?;
            }
            ["HELO" | "STAT", tag] => {
                writer
                    .write_all(
                        format!("{tag} PONG gauges=inflight:0;queue:0;x0:0.0 0\r\n\r\n").as_bytes(),
                    )
                    .ok()?;
            }
            _ => {}
        }
    }
}

/// The source of the list of engines.
pub struct Discovery {
    port: u16,
    /// Numbered events, as their JSON.
    events: Mutex<BTreeMap<u64, String>>,
    streams: Mutex<Vec<TcpStream>>,
    is_down: AtomicBool,
    /// How long a call waits for the first byte of its answer.
    slow_ms: AtomicU64,
}

impl Discovery {
    pub fn start() -> Arc<Discovery> {
        let listener = run::listen();
        let port = listener.local_addr().map_or(0, |address| address.port());
        let discovery = Arc::new(Discovery {
            port,
            events: Mutex::new(BTreeMap::new()),
            streams: Mutex::new(Vec::new()),
            is_down: AtomicBool::new(false),
            slow_ms: AtomicU64::new(0),
        });
        let accepting = discovery.clone();
        std::thread::spawn(move || accept_watchers(listener, &accepting));
        let commenting = discovery.clone();
        std::thread::spawn(move || loop {
            sleep_ms(1000);
            for stream in lock(&commenting.streams).iter_mut() {
                let _ = stream.write_all(b": still here\n\n");
            }
        });
        discovery
    }

    /// Adds an event and tells it.
    pub fn tell(&self, number: u64, event: &str) {
        lock(&self.events).insert(number, event.to_string());
        note(&format!("the list has event {number}: {event}"));
        for stream in lock(&self.streams).iter_mut() {
            let _ = stream.write_all(format!("id: {number}\ndata: {event}\n\n").as_bytes());
        }
    }

    /// Ends all watches. From now on each call is answered this late.
    pub fn become_slow(&self, ms: u64) {
        note(&format!(
            "discovery ends all watches, and answers each call after {ms} ms from now on"
        ));
        self.slow_ms.store(ms, Ordering::SeqCst);
        for stream in lock(&self.streams).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Ends all watches and refuses new connections.
    pub fn go_down(&self) {
        note("discovery is down");
        self.is_down.store(true, Ordering::SeqCst);
        // The listening thread wakes, sees that it is down, and closes its socket.
        let _ = TcpStream::connect(("127.0.0.1", self.port));
        for stream in lock(&self.streams).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn come_back(&self) {
        note("discovery is back");
        self.is_down.store(false, Ordering::SeqCst);
    }
}

fn accept_watchers(listener: TcpListener, discovery: &Arc<Discovery>) {
    let mut listener = Some(listener);
    loop {
        if discovery.is_down.load(Ordering::SeqCst) {
            listener = None;
            sleep_ms(10);
            continue;
        }
        let open = match listener.take() {
            Some(open) => open,
            None => match bind_again(discovery.port) {
                Some(open) => open,
                None => continue,
            },
        };
        let accepted = open.accept();
        listener = Some(open);
        if discovery.is_down.load(Ordering::SeqCst) {
            continue;
        }
        if let Ok((stream, _)) = accepted {
            let discovery = discovery.clone();
            std::thread::spawn(move || serve_watcher(stream, &discovery));
        }
    }
}

/// Binds the port of the list again. The standard library sets SO_REUSEADDR.
fn bind_again(port: u16) -> Option<TcpListener> {
    let bound = TcpListener::bind(("127.0.0.1", port));
    if bound.is_err() {
        sleep_ms(10);
    }
    bound.ok()
}

fn serve_watcher(mut stream: TcpStream, discovery: &Discovery) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let head = read_head(&mut BufReader::new(&stream))?;
    let last: u64 = head.field("last-event-id")?.parse().ok()?;
    note(&format!("the list is asked for what follows event {last}"));
    sleep_ms(discovery.slow_ms.load(Ordering::SeqCst));
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n: hello\n\n").ok()?;
    let events = lock(&discovery.events);
    for (number, event) in events.range(last + 1..) {
        stream
            .write_all(format!("id: {number}\ndata: {event}\n\n").as_bytes())
            .ok()?;
    }
    lock(&discovery.streams).push(stream);
    Some(())
}

/// An engine's entry in an event.
pub fn instance(name: &str, port: u16, lifecycle: &str) -> String {
    format!(
        r#"{{"instanceId":"{name}","hostPort":"127.0.0.1:{port}","zone":"building-a","machineType":"std-8","cell":0,"lifecycle":"{lifecycle}","weight":1,"startedAtMs":0}}"#
    )
}

/// An event with these entries.
pub fn event(number: u64, is_full: bool, instances: &[String]) -> String {
    let instances = instances.join(",");
    format!(
        r#"{{"index":{number},"endpoints":{{"generation":{number},"reset":{is_full},"instances":[{instances}]}}}}"#
    )
}

/// The settings of a small deployment, with the figures of `zilina-campus`.
const SETTINGS: &str = r#"{"Balancers":1,"MyNumber":0,"Zone":0,"Callers":{"MarksRetry":true},
 "Caps":{"Cancel":false,"ConnIdleUs":15000000,"ConnectTimeoutUs":250000,"MaxAttempts":6,"MaxOpen":2000,"MaxRetryAfterUs":500000,"MayProbe":true,"ParallelTries":false,"Peers":false,"RetryAfter":true,"StreamsPerConn":32},
 "Contract":{"AnswerSlackUs":20000,"ColdFrom":0.35,"DrainGraceUs":250000,"ExtraWindowUs":10000000,"FallMultiple":4.0,"FurtherRatio":0.1,"MinExtra":5.0,"OverloadForUs":1500000,"SettleAfterDoubtUs":500000,"WarmUpUs":15000000},
 "CountedBy":"request","DomainType":"queries","FailureDomains":["building-a","building-b"],
 "FamilyInfo":{"BlockedByLoads":[false,false,false],"GrantsCount":false,"LargestShare":0.4,"Loads":[false,false,true],"OutOfMemory":"line_up","Priorities":false,"RamOfKindMb":[16384.0,32768.0],"SaysCost":false,"SizeCores":[8,16],"TellsEveryUs":1000000,"WidthByClass":[1,2,2]},
 "Fees":{"CrossZone":0.0089,"Probe":0.01},"LoadReport":{"Fields":["active","waiting","x0"],"How":"on_probe"},
 "MachineTypes":["std-8","std-16"],"MembershipMode":"push","OverShareWorth":0.1,
 "Profiles":[{"AimStretch":2.0,"DeadlineUs":2500000,"Effect":"free","KeyScope":"all","LateWorth":0.1,"Name":"lookup","OnTimeUs":500000,"RepeatWindowUs":5000000,"Stream":false,"Worth":1.0},{"AimStretch":2.5,"DeadlineUs":15000000,"Effect":"free","KeyScope":"all","LateWorth":0.4,"Name":"report","OnTimeUs":1500000,"RepeatWindowUs":5000000,"Stream":false,"Worth":10.0},{"AimStretch":2.5,"ByArrival":true,"DeadlineUs":25000000,"Effect":"single_shot","KeyScope":"all","LateWorth":0.6,"Name":"member-load","OnTimeUs":3000000,"RepeatWindowUs":5000000,"Stream":false,"Worth":7.5}],
 "Tenants":[],"TickUs":5000,"Tiers":["query-fleet"],"WeightKind":"rough"}"#;

/// What the platform holds for one coordinator: its listening socket, its folder and its configuration.
pub struct Platform {
    listener: Option<TcpListener>,
    pub port: u16,
    folder: std::path::PathBuf,
    configuration: String,
}

impl Platform {
    /// `known` are the events of the start.
    pub fn new(discovery: &Discovery, known_index: u64, known: &[String]) -> Platform {
        Platform::with_limits(discovery, known_index, known, 192, 1024)
    }

    /// As [`Platform::new`], with these limits of memory and descriptors.
    pub fn with_limits(
        discovery: &Discovery,
        known_index: u64,
        known: &[String],
        memory_mb: u64,
        sockets: u64,
    ) -> Platform {
        let listener = run::listen();
        let port = listener.local_addr().map_or(0, |address| address.port());
        let (known, list) = (known.join(","), discovery.port);
        let configuration = format!(
            r#"{{"name":"n1","listen":"127.0.0.1:{port}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"coordinator":"127.0.0.1:{list}","known":{{"index":{known_index},"updates":[{known}]}},"management":"MANAGEMENT","settings":{SETTINGS}}}"#
        );
        Platform {
            listener: Some(listener),
            port,
            folder: run::folder("shared"),
            configuration,
        }
    }

    /// Starts `run` with a second address of its own and everything else unchanged. Returns the process and that address's port.
    pub fn start(&self) -> (usize, u16) {
        let management = run::free_port();
        let address = format!("127.0.0.1:{management}");
        let name = format!("config-{management}.json");
        let file = run::write_file(&name, &self.configuration.replace("MANAGEMENT", &address));
        let Some(Ok(socket)) = self.listener.as_ref().map(TcpListener::try_clone) else {
            run::end(Outcome::NotRun(
                "the listening socket cannot be passed".into(),
            ));
        };
        let command = format!("exec 4<&0 0</dev/null; {}", run::deploy_command("run"));
        let mut shell = Command::new("/bin/sh");
        shell
            .args(["-c", &command])
            .stdin(Stdio::from(OwnedFd::from(socket)));
        shell
            .env("LB_NAME", "n1")
            .env("LB_LISTEN", format!("127.0.0.1:{}", self.port))
            .env("LB_CONFIG", &file);
        shell
            .env("LB_MANAGEMENT", &address)
            .env("LB_PASSED_SOCKET", "4")
            .env("TMPDIR", &self.folder);
        let process = run::start(shell, &format!("coordinator-{management}.log"), management);
        note(&format!(
            "`run` was started, with its second address at port {management}"
        ));
        (process, management)
    }
}

impl Platform {
    /// Starts `run` without a passed socket and a second address, under this limit of descriptors.
    pub fn start_alone(&mut self, sockets: u64) -> usize {
        self.listener = None;
        let configuration = self
            .configuration
            .replace(r#""management":"MANAGEMENT","#, "");
        let file = run::write_file("config.json", &configuration);
        let command = format!("ulimit -n {sockets}; {}", run::deploy_command("run"));
        let mut shell = Command::new("/bin/sh");
        shell.args(["-c", &command]).stdin(Stdio::null());
        shell
            .env("LB_NAME", "n1")
            .env("LB_LISTEN", format!("127.0.0.1:{}", self.port));
        shell.env("LB_CONFIG", &file).env("TMPDIR", &self.folder);
        run::start(shell, "coordinator.log", self.port)
    }
}

/// Calls the second address, and returns the reply.
pub fn call(port: u16, line: &str) -> String {
    let reply = || {
        let mut stream = TcpStream::connect(("127.0.0.1", port)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        stream.write_all(format!("{line}\n").as_bytes()).ok()?;
        read_line(&mut BufReader::new(&stream))
    };
    reply().unwrap_or_default()
}

/// Waits until a process says that it is ready.
pub fn wait_ready(port: u16, limit_ms: u64) -> bool {
    let until = now_ms() + limit_ms;
    while now_ms() < until {
        if call(port, "STATUS").starts_with("OK") {
            return true;
        }
        sleep_ms(20);
    }
    false
}

/// How the clients' requests ended.
#[derive(Default)]
pub struct Answers {
    served: AtomicU64,
    otherwise: AtomicU64,
    lost: AtomicU64,
    not_connected: AtomicU64,
}

impl Answers {
    pub fn describe(&self) -> String {
        let [served, otherwise, lost, refused] = [
            &self.served,
            &self.otherwise,
            &self.lost,
            &self.not_connected,
        ]
        .map(|count| count.load(Ordering::SeqCst));
        format!("{served} served, {otherwise} refused or failed, {lost} without an answer, {refused} not connected")
    }
}

/// Clients that post look-ups, one after the other, each on a new connection.
pub fn start_clients(port: u16, clients: u64, stop: &Arc<AtomicBool>) -> Arc<Answers> {
    let answers = Arc::new(Answers::default());
    for client in 1..=clients {
        let (stop, answers) = (stop.clone(), answers.clone());
        std::thread::spawn(move || {
            let mut number = client << 40;
            while !stop.load(Ordering::Relaxed) {
                number += 1;
                let counter = match look_up(port, number) {
                    None => &answers.not_connected,
                    Some(None) => &answers.lost,
                    Some(Some(200)) => &answers.served,
                    Some(Some(_)) => &answers.otherwise,
                };
                counter.fetch_add(1, Ordering::SeqCst);
                sleep_ms(40);
            }
        });
    }
    answers
}

/// Posts a look-up. Returns the status of its answer; the inner `None` stands for no whole answer.
fn look_up(port: u16, number: u64) -> Option<Option<u16>> {
    let group = number % TABLE_GROUPS;
    let statement = format!("SELECT day, note FROM sales_{group}.orders WHERE tag = '3f9c'");
    let length = statement.len();
    let head = format!(
        "POST /ops/lookup HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {number:016x}\r\nX-Patience-Ms: 2500\r\nContent-Length: {length}\r\n\r\n"
    );
    let mut stream = crate::http::connect(port)?;
    let sent = stream.write_all(format!("{head}{statement}").as_bytes());
    let response = sent
        .ok()
        .and_then(|()| crate::http::read_response(&stream, Duration::from_secs(3)));
    Some(response.map(|response| response.status))
}
