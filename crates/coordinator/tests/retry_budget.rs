//! The retry budget with slow connections. An attempt may wait for its connection between its placement and its first
//! byte; if it were counted only when placed, many waiting attempts could be sent within one window and exceed the budget.

use driftfront_mock_servers::request_log::{Budget, RequestLog};
use driftfront_test_support::coordinator::engine_list::{instances, EngineList};
use driftfront_test_support::coordinator::line_engine::engines;
use driftfront_test_support::coordinator::platform_site::{config, Site};
use driftfront_test_support::coordinator::{line_engine, Coordinator};
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// An engine that accepts connections late: its accept queue stays full until `open`.
struct LateEngine {
    addr: SocketAddr,
    listener: TcpListener,
    queued: Vec<TcpStream>,
}

impl LateEngine {
    fn new() -> LateEngine {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("create a socket");
        let any_port: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        socket.bind(&any_port.into()).expect("bind a port");
        socket.listen(0).expect("listen");
        let listener: TcpListener = socket.into();
        let addr = listener.local_addr().expect("an address");
        let timeout = Duration::from_millis(100);
        let mut queued = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&addr, timeout) {
            queued.push(stream);
        }
        LateEngine {
            addr,
            listener,
            queued,
        }
    }

    /// Starts accepting connections and serves them as engine `number`.
    fn open(self, number: usize, request_log: &Arc<RequestLog>) {
        drop(self.queued);
        let request_log = request_log.clone();
        std::thread::spawn(move || {
            for stream in self.listener.incoming().flatten() {
                let request_log = request_log.clone();
                std::thread::spawn(move || line_engine::serve(stream, number, &request_log));
            }
        });
    }
}

#[test]
fn budget_is_not_exceeded_when_connections_are_slow() {
    let budget = Budget {
        free: 3.0,
        ratio: 0.0,
        window: Duration::from_millis(500),
    };
    let request_log = Arc::new(RequestLog::default());
    let (healthy, late) = (engines(1, &request_log), LateEngine::new());
    let list = EngineList::start();
    let config_text = config(list.addr)
        .replace("\"MinExtra\": 5.0", "\"MinExtra\": 3.0")
        .replace("\"FurtherRatio\": 0.1", "\"FurtherRatio\": 0.0")
        .replace("\"ExtraWindowUs\": 10000000", "\"ExtraWindowUs\": 500000")
        .replace(
            "\"ConnectTimeoutUs\": 250000",
            "\"ConnectTimeoutUs\": 20000000",
        );
    let addrs = vec![healthy[0], late.addr];
    let site = Site {
        request_log,
        coordinator: Coordinator::start(&config_text),
        list,
        engines: addrs,
    };
    site.list
        .publish(&instances(&site.engines, &["ready", "ready"]), "");
    site.coordinator.wait_until_ready();
    // Each request fails on the healthy engine, and its retry waits for a connection to the late one: the budget allows
    // three retries in each of five windows.
    let started = Instant::now();
    let site = Arc::new(site);
    let mut clients = Vec::new();
    for window in 0..5u32 {
        for n in 0..6 {
            let site = site.clone();
            clients.push(std::thread::spawn(move || {
                site.request("report", 14_000, &format!("SELECT fault {window} {n}"))
            }));
        }
        std::thread::sleep(
            (budget.window * (window + 1) + Duration::from_millis(50))
                .saturating_sub(started.elapsed()),
        );
    }
    late.open(1, &site.request_log);
    for client in clients {
        let answer = client.join().expect("an answer");
        assert!(matches!(answer.status, 200 | 429), "{}", answer.status);
    }
    let violations = site.request_log.budget_breaches(&budget, &[]);
    assert!(violations.is_empty(), "{violations:#?}");
}
