//! Upgrades under load: two processes of one coordinator share an inherited listener and exchange operators' orders.

use driftfront_http::ResponseReader;
use driftfront_test_support::coordinator::platform_site::{config, Site};
use driftfront_test_support::coordinator::{get, poll_until, read_next_response, Coordinator};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// What the platform provides: the listener for clients, and the directory that all processes of the coordinator share.
struct Platform {
    listener: TcpListener,
    tmp: PathBuf,
}

impl Platform {
    fn new(name: &str) -> Platform {
        let tmp =
            std::env::temp_dir().join(format!("driftfront-upgrade-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&tmp);
        std::fs::create_dir_all(&tmp).unwrap();
        Platform {
            listener: TcpListener::bind("127.0.0.1:0").unwrap(),
            tmp,
        }
    }

    fn socket(&self) -> OwnedFd {
        self.listener.try_clone().unwrap().into()
    }

    fn start(&self, config: &str) -> Coordinator {
        let addr = self.listener.local_addr().unwrap();
        let config = config.replace("127.0.0.1:0", &addr.to_string());
        let config = config.replacen('{', "{\"management\": \"127.0.0.1:0\",", 1);
        Coordinator::with_inherited_socket(&config, self.socket(), "4", &self.tmp)
    }

    fn site(&self, engines: usize) -> Site {
        Site::start_with(engines, |config| self.start(&config))
    }

    /// Starts the next process and returns it once it is ready.
    fn upgrade(&self, site: &Site) -> Coordinator {
        let new = self.start(&config(site.list.addr));
        wait_for_reply(&new, "STATUS\n", "OK");
        new
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.tmp);
    }
}

fn wait_for_reply(coordinator: &Coordinator, call: &str, reply: &str) {
    poll_until(
        || coordinator.call_management(call).starts_with(reply),
        || format!("{call:?} was never answered with {reply}"),
    );
}

/// A client that keeps its connection open until a response announces the close. It sends requests until `stop` is set, returns
/// their number, and counts in `resent` the requests that it sent again because their connection closed without a response.
fn client(addr: SocketAddr, number: u64, stop: &AtomicBool, resent: &AtomicU64) -> u64 {
    let mut conn: Option<(TcpStream, ResponseReader)> = None;
    let mut sent = 0;
    while !stop.load(Ordering::Relaxed) {
        sent += 1;
        let id = number << 32 | sent;
        let statement = format!("SELECT {id}.");
        let head = format!(
            "POST /ops/lookup HTTP/1.1\r\nHost: t\r\nX-Call-Id: {id:016x}\r\nX-Patience-Ms: 2500\r\n"
        );
        let request = format!(
            "{head}Content-Length: {}\r\n\r\n{statement}",
            statement.len()
        );
        for retry in 0.. {
            assert!(retry < 2, "two connections closed without a response");
            let (stream, reader) = conn.get_or_insert_with(|| {
                (
                    TcpStream::connect(addr).expect("a process listens"),
                    ResponseReader::default(),
                )
            });
            let answer = stream
                .write_all(request.as_bytes())
                .map(|()| read_next_response(stream, reader));
            match answer {
                Ok(answer) if answer.is_complete => {
                    assert_eq!(answer.status, 200, "{}", answer.text());
                    if answer.header("Connection") == Some("close") {
                        conn = None;
                    }
                    break;
                }
                Ok(answer) => assert_eq!(answer.status, 0, "incomplete response"),
                Err(_) => {}
            }
            resent.fetch_add(1, Ordering::Relaxed);
            conn = None;
        }
    }
    sent
}

#[test]
fn two_quick_upgrades_answer_each_request_once() {
    let platform = Platform::new("load");
    let mut site = platform.site(3);
    let addr = site.coordinator.addr;
    let (stop, resent) = (AtomicBool::new(false), AtomicU64::new(0));
    let sent = std::thread::scope(|scope| {
        let clients: Vec<_> = (1..=8)
            .map(|n| {
                scope.spawn({
                    let (s, t) = (&stop, &resent);
                    move || client(addr, n, s, t)
                })
            })
            .collect();
        for _ in 0..2 {
            site.request_log
                .wait_until("more load", |entries| entries.len() % 100 > 50);
            let new = platform.upgrade(&site);
            wait_for_reply(&site.coordinator, "STATUS\n", "ERR handing over");
            let mut old = std::mem::replace(&mut site.coordinator, new);
            old.terminate();
            assert!(old.wait().success());
        }
        stop.store(true, Ordering::Relaxed);
        clients
            .into_iter()
            .map(|c| c.join().expect("the client does not panic"))
            .sum::<u64>()
    });
    assert_eq!(
        site.request_log.of("SELECT").len() as u64,
        sent,
        "each request must run once"
    );
    assert!(
        resent.load(Ordering::Relaxed) <= 2,
        "{} requests were sent again",
        resent.load(Ordering::Relaxed)
    );
    assert_eq!(site.coordinator.counter("upgrade_succeeds"), 1);
}

#[test]
fn order_to_either_process_applies_to_both_during_an_upgrade() {
    let platform = Platform::new("orders");
    let mut site = platform.site(2);
    assert!(site
        .coordinator
        .call_management("SUSPEND e0\n")
        .starts_with("OK"));
    let new = platform.upgrade(&site);
    // The new process has taken over the order before it reports that it is ready.
    assert_eq!(new.counter("engines_out_by_order"), 1);
    assert!(new.call_management("SUSPEND e1\n").starts_with("OK"));
    let old = std::mem::replace(&mut site.coordinator, new);
    assert!(old.call_management("RESTORE e0\n").starts_with("OK"));
    site.coordinator
        .wait_for_counter("upgrade_orders_merged", 2);
    assert_eq!(site.coordinator.counter("engines_out_by_order"), 1);
    assert_eq!(site.request("lookup", 2500, "SELECT 1").status, 200);
    assert_eq!(site.request_log.of("SELECT 1")[0].engine, "0");
    let mut old = old;
    old.kill();
    let next = platform.upgrade(&site);
    assert_eq!(next.counter("engines_out_by_order"), 1);
    assert!(next.call_management("RESTORE e1\n").starts_with("OK"));
    wait_for_reply(&site.coordinator, "STATUS\n", "ERR handing over");
}

#[test]
fn late_request_on_an_old_connection_is_answered_by_the_old_process() {
    let platform = Platform::new("held");
    let mut site = platform.site(1);
    let mut unused = TcpStream::connect(site.coordinator.addr).unwrap();
    let mut idle = TcpStream::connect(site.coordinator.addr).unwrap();
    let request = |id: u64| {
        format!(
            "POST /ops/lookup HTTP/1.1\r\nHost: t\r\nX-Call-Id: {id:016x}\r\nX-Patience-Ms: 2500\r\n\
             Content-Length: 8\r\n\r\nSELECT 1"
        )
    };
    idle.write_all(request(1).as_bytes()).unwrap();
    assert_eq!(
        read_next_response(&mut idle, &mut ResponseReader::default()).status,
        200
    );
    let new = platform.upgrade(&site);
    let mut old = std::mem::replace(&mut site.coordinator, new);
    // The connection that has had its response is closed. The other one has never sent a request and stays open.
    assert_eq!(
        idle.read(&mut [0; 16])
            .expect("the connection is closed without a reset"),
        0
    );
    unused.write_all(request(2).as_bytes()).unwrap();
    let answer = read_next_response(&mut unused, &mut ResponseReader::default());
    assert_eq!(
        (answer.status, answer.header("Connection")),
        (200, Some("close"))
    );
    drop((unused, idle));
    old.terminate();
    assert!(old.wait().success());
}

#[test]
fn passed_socket_set_to_blocking_does_not_stop_the_event_loop() {
    let platform = Platform::new("blocks");
    let site = platform.site(1);
    for n in 0..20 {
        // All processes that hold the socket share its flags. The event loop checks for connections at least every 25 ms.
        platform.listener.set_nonblocking(false).unwrap();
        // These calls together take longer than 25 ms.
        for _ in 0..200 {
            assert_eq!(
                site.coordinator.call_management("STATUS\n"),
                "OK ready\n",
                "{n}"
            );
        }
    }
    assert!(site.coordinator.counter("listener_unblocked") >= 1);
}

#[test]
fn old_process_serves_again_when_its_successor_dies() {
    let platform = Platform::new("dies");
    let site = platform.site(1);
    let mut new = platform.upgrade(&site);
    wait_for_reply(&site.coordinator, "STATUS\n", "ERR handing over");
    new.kill();
    wait_for_reply(&site.coordinator, "STATUS\n", "OK ready");
    assert_eq!(site.request("lookup", 2500, "SELECT 1").status, 200);
}

#[test]
fn successor_of_a_paused_process_serves() {
    let platform = Platform::new("paused");
    let mut site = platform.site(1);
    assert!(site
        .coordinator
        .call_management("PAUSE\n")
        .starts_with("OK"));
    let new = platform.upgrade(&site);
    let mut old = std::mem::replace(&mut site.coordinator, new);
    wait_for_reply(&old, "STATUS\n", "ERR handing over");
    old.terminate();
    assert!(old.wait().success());
    assert_eq!(site.request("lookup", 2500, "SELECT 1").status, 200);
}

#[test]
fn passed_descriptor_that_is_no_listener_is_ignored() {
    let platform = Platform::new("wrong");
    let plain = || std::fs::File::open("/dev/null").unwrap().into();
    let connected =
        || OwnedFd::from(TcpStream::connect(platform.listener.local_addr().unwrap()).unwrap());
    for (socket, descriptor) in [
        (platform.socket(), "5"),
        (platform.socket(), "x"),
        (plain(), "4"),
        (connected(), "4"),
    ] {
        let site = Site::start_with(1, |config| {
            Coordinator::with_inherited_socket(&config, socket, descriptor, &platform.tmp)
        });
        assert_ne!(
            site.coordinator.addr,
            platform.listener.local_addr().unwrap(),
            "{descriptor}"
        );
        assert_eq!(get(site.coordinator.addr, "/alive").status, 200);
    }
}
