//! Management of a running coordinator: calls to the management address, draining and restoring engines, and pausing the
//! coordinator, which closes its client connections.

use driftfront_http::ResponseReader;
use driftfront_test_support::coordinator::engine_list::EngineList;
use driftfront_test_support::coordinator::platform_site::{config, Site};
use driftfront_test_support::coordinator::{get, read_next_response, Coordinator, TEST_TIMEOUT};
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;

/// Adds a management address to a site's configuration.
#[allow(
    clippy::needless_pass_by_value,
    reason = "the signature that Site::with_config expects"
)]
fn with_management_address(config: String) -> String {
    config.replacen('{', "{\"management\": \"127.0.0.1:0\",", 1)
}

fn lookup_request(n: u64) -> String {
    let statement = format!("SELECT {n}");
    format!(
        "POST /ops/lookup HTTP/1.1\r\nHost: t\r\nX-Call-Id: {n:016x}\r\nX-Patience-Ms: 2500\r\n\
         Content-Length: {}\r\n\r\n{statement}",
        statement.len()
    )
}

/// Waits until the peer has closed the connection without a reset. Any data before that is an error.
fn assert_clean_close(stream: &mut TcpStream) {
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    assert_eq!(
        stream
            .read(&mut [0; 16])
            .expect("the connection is closed without a reset"),
        0
    );
}

#[test]
fn management_call_is_answered_despite_silent_and_invalid_callers() {
    let site = Site::with_config(1, with_management_address);
    let addr = site.coordinator.management.unwrap();
    let mut stalled: Vec<TcpStream> = (0..40).map(|_| TcpStream::connect(addr).unwrap()).collect();
    for stream in &mut stalled[..20] {
        stream.write_all(b"SUSP").unwrap();
    }
    assert_eq!(site.coordinator.call_management("STATUS\r\n"), "OK ready\n");
    for bad in [
        "status\n",
        "SUSPEND\n",
        "PAUSE now\n",
        "\n",
        "SUSPEND unknown\n",
        "RESTORE unknown\n",
    ] {
        let reply = site.coordinator.call_management(bad);
        assert!(
            reply.starts_with("ERR ") && reply.matches('\n').count() == 1,
            "{bad:?}: {reply:?}"
        );
    }
    let mut incomplete = TcpStream::connect(addr).unwrap();
    incomplete.write_all(b"PAUSE").unwrap();
    incomplete.shutdown(std::net::Shutdown::Write).unwrap();
    let mut reply = String::new();
    incomplete.read_to_string(&mut reply).unwrap();
    assert!(reply.starts_with("ERR the connection ended"), "{reply}");
    assert_eq!(site.coordinator.call_management("STATUS\n"), "OK ready\n");
    // The 40 stalled connections exceed the connection limit: the oldest were closed to make room.
    assert!(site.coordinator.counter("management_silent") >= 8);
    assert_eq!(site.coordinator.counter("management_bad"), 5);
}

#[test]
fn unavailable_management_address_does_not_stop_serving() {
    let occupied = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let setting = format!("{{\"management\": \"{}\",", occupied.local_addr().unwrap());
    let site = Site::with_config(1, |config| config.replacen('{', &setting, 1));
    assert_eq!(site.request("lookup", 2500, "SELECT 1").status, 200);
    let invalid = Site::with_config(1, |config| {
        config.replacen('{', "{\"management\": \"nowhere\",", 1)
    });
    assert_eq!(
        (
            invalid.coordinator.management,
            invalid.request("lookup", 2500, "SELECT 1").status
        ),
        (None, 200)
    );
}

#[test]
fn suspended_engine_gets_no_query_until_it_is_restored() {
    let site = Site::with_config(2, with_management_address);
    let manage = |call: &str| site.coordinator.call_management(call);
    // Sends `count` queries and returns how many of them e0 ran.
    let run_on_e0 = |from: u64, count: u64| {
        for n in from..from + count {
            assert_eq!(
                site.request("lookup", 2500, &format!("SELECT {n}")).status,
                200
            );
        }
        (from..from + count)
            .filter(|n| {
                site.request_log
                    .of(&format!("SELECT {n}"))
                    .iter()
                    .any(|e| e.engine == "0")
            })
            .count()
    };
    assert!(run_on_e0(1000, 30) > 0);
    assert_eq!(
        manage("SUSPEND e0\n"),
        "OK e0 is drained: nothing new goes there\n"
    );
    assert_eq!(
        manage("SUSPEND e0\n"),
        "OK e0 is drained: nothing new goes there, as before\n"
    );
    assert_eq!(run_on_e0(2000, 30), 0);
    // The engine leaves the list and returns as a new process. Orders for it are accepted while it is absent, too.
    let lists = site.coordinator.counter("lists_taken");
    site.publish(&["gone", "ready"], "");
    site.coordinator.wait_for_counter("lists_taken", lists + 1);
    assert!(manage("SUSPEND e0\n").starts_with("OK") && manage("SUSPEND e00\n").starts_with("ERR"));
    site.publish(&["ready", "ready"], "");
    site.coordinator.wait_for_counter("lists_taken", lists + 2);
    assert_eq!(run_on_e0(3000, 30), 0);
    assert_eq!(site.coordinator.counter("engines_out_by_order"), 1);
    // Without any engine a query is rejected at once, with the time after which to retry.
    assert!(manage("SUSPEND e1\n").starts_with("OK"));
    let refused = site.request("lookup", 2500, "SELECT none");
    assert!(refused.status == 429 && refused.header("X-Come-Back-Ms").is_some());
    assert_eq!(manage("STATUS\n"), "ERR no engine takes work\n");
    assert!(manage("RESTORE e0\n").starts_with("OK") && manage("RESTORE e0\n").starts_with("OK"));
    assert_eq!(run_on_e0(4000, 10), 10);
    assert!(manage("RESTORE e1\n").starts_with("OK"));
    site.request_log.assert_rules(1000);
}

#[test]
fn paused_coordinator_closes_idle_clients_and_answers_the_others() {
    let site = Site::with_config(1, with_management_address);
    let mut idle = TcpStream::connect(site.coordinator.addr).unwrap();
    let mut fresh = TcpStream::connect(site.coordinator.addr).unwrap();
    let mut busy = TcpStream::connect(site.coordinator.addr).unwrap();
    let (mut idle_reader, mut busy_reader) = (ResponseReader::default(), ResponseReader::default());
    idle.write_all(lookup_request(1).as_bytes()).unwrap();
    assert_eq!(
        read_next_response(&mut idle, &mut idle_reader).header("Connection"),
        None
    );
    // Half of a request has arrived before the pause: it is accepted and answered, and its response announces the close.
    let (partial, split) = (lookup_request(2), 40);
    busy.write_all(&partial.as_bytes()[..split]).unwrap();
    assert_eq!(site.coordinator.call_management("PAUSE\n"), "OK draining\n");
    assert!(site
        .coordinator
        .call_management("PAUSE\n")
        .starts_with("OK"));
    assert!(site
        .coordinator
        .call_management("STATUS\n")
        .starts_with("ERR"));
    let health = get(site.coordinator.addr, "/alive");
    assert_eq!(
        (health.status, health.header("Connection")),
        (503, Some("close"))
    );
    busy.write_all(&partial.as_bytes()[split..]).unwrap();
    let answer = read_next_response(&mut busy, &mut busy_reader);
    assert_eq!(
        (answer.status, answer.header("Connection")),
        (200, Some("close"))
    );
    [&mut idle, &mut fresh, &mut busy]
        .into_iter()
        .for_each(assert_clean_close);
    drop((idle, fresh, busy));
    // A client that connects during the pause is served, and its connection is closed after the response.
    let late = site.request("lookup", 2500, "SELECT late");
    assert_eq!(
        (late.status, late.header("Connection")),
        (200, Some("close"))
    );
    assert_eq!(site.coordinator.call_management("RESUME\n"), "OK ready\n");
    assert_eq!(get(site.coordinator.addr, "/alive").status, 200);
    assert_eq!(
        site.request("lookup", 2500, "SELECT again")
            .header("Connection"),
        None
    );
    assert!(site.coordinator.counter("connections_sent_away") >= 1);
}

#[test]
fn paused_coordinator_exits_on_sigterm() {
    let mut site = Site::with_config(1, with_management_address);
    site.coordinator.call_management("PAUSE\n");
    site.coordinator.terminate();
    assert!(site.coordinator.wait().success());
}

#[test]
fn control_socket_and_management_address_share_orders() {
    let socket = std::env::temp_dir().join(format!("driftfront-daily-{}.sock", std::process::id()));
    let setting = format!("{{\"control\": \"{}\",", socket.display());
    let site = Site::with_config(2, |config| {
        with_management_address(config.replacen('{', &setting, 1))
    });
    let run_command = |args: &[&str]| {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_driftfront"));
        let out = command
            .args(args)
            .arg("--at")
            .arg(&socket)
            .output()
            .unwrap();
        (
            out.status.code(),
            String::from_utf8_lossy(&out.stdout).into_owned(),
        )
    };
    assert_eq!(run_command(&["pause"]), (Some(0), "draining\n".into()));
    assert!(site
        .coordinator
        .call_management("STATUS\n")
        .starts_with("ERR dr"));
    assert!(run_command(&["status"]).1.contains("Paused by an operator"));
    assert_eq!(site.coordinator.call_management("RESUME\n"), "OK ready\n");
    assert_eq!(run_command(&["unpause"]), (Some(0), "ready\n".into()));
    // An engine that is drained through one interface is shown and restored through the other.
    assert!(site
        .coordinator
        .call_management("SUSPEND e0\n")
        .starts_with("OK"));
    assert!(run_command(&["engines"])
        .1
        .lines()
        .any(|l| l.starts_with("e0") && l.contains("drained")));
    assert_eq!(run_command(&["drain", "e0"]).0, Some(3));
    assert_eq!(run_command(&["resume", "e0"]).0, Some(0));
    assert_eq!(run_command(&["drain", "e1"]).0, Some(0));
    assert!(site
        .coordinator
        .call_management("RESTORE e1\n")
        .starts_with("OK"));
    assert_eq!(site.coordinator.counter("engines_out_by_order"), 0);
}

#[test]
fn connection_that_comes_up_after_a_suspend_carries_no_query() {
    // The listener's backlog is full: the next connect hangs until a connection is accepted.
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket
        .bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into())
        .unwrap();
    socket.listen(0).unwrap();
    let listener: TcpListener = socket.into();
    let engine = listener.local_addr().unwrap();
    let _filler = TcpStream::connect(engine).unwrap();
    let list = EngineList::start();
    let long_connect_timeout = config(list.addr).replace(
        "\"ConnectTimeoutUs\": 250000",
        "\"ConnectTimeoutUs\": 14000000",
    );
    let coordinator = Coordinator::start(&with_management_address(long_connect_timeout));
    let mut site = Site {
        coordinator,
        request_log: Arc::default(),
        engines: vec![engine],
        list,
    };
    site.publish(&["ready"], "");
    site.coordinator.wait_until_ready();
    let answer = std::thread::scope(|scope| {
        let client = scope.spawn(|| site.request("report", 2_000, "SELECT 1"));
        site.coordinator.wait_for_counter("attempts_sent", 1);
        assert!(site
            .coordinator
            .call_management("SUSPEND e0\n")
            .starts_with("OK"));
        drop(listener.accept().unwrap());
        // Keeps the coordinator's connection open.
        let engine_stream = listener.accept().unwrap().0;
        (client.join().unwrap(), engine_stream)
    });
    let (answer, mut engine_stream) = answer;
    // No engine is left. The request is answered at its deadline, with a rejection because it never ran.
    assert_eq!(answer.status, 429, "{}", answer.text());
    assert_eq!(
        site.coordinator.counter("attempts_ended{outcome=\"moot\"}"),
        1
    );
    site.coordinator.terminate();
    assert!(site.coordinator.wait().success());
    let mut bytes = Vec::new();
    engine_stream.read_to_end(&mut bytes).unwrap();
    assert_eq!(String::from_utf8_lossy(&bytes), "");
}
