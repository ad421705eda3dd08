//! Daily operation: calls at the second address, engines taken out and put back, clients sent away.

use driftfront_http::ResponseReader;
use driftfront_test_support::coordinator::engine_list::EngineList;
use driftfront_test_support::coordinator::platform_site::{config, Site};
use driftfront_test_support::coordinator::{get, read_next_response, Coordinator, TEST_TIMEOUT};
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;

/// A second address beside whatever else a site has.
#[allow(
    clippy::needless_pass_by_value,
    reason = "a site hands over its configuration"
)]
fn managed(config: String) -> String {
    config.replacen('{', "{\"management\": \"127.0.0.1:0\",", 1)
}

fn lookup(n: u64) -> String {
    let statement = format!("SELECT {n}");
    format!(
        "POST /ops/lookup HTTP/1.1\r\nHost: t\r\nX-Call-Id: {n:016x}\r\nX-Patience-Ms: 2500\r\n\
         Content-Length: {}\r\n\r\n{statement}",
        statement.len()
    )
}

/// Until the other side has ended the connection in order; nothing but that may come.
fn wait_for_end(stream: &mut TcpStream) {
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    assert_eq!(stream.read(&mut [0; 16]).expect("an end in order"), 0);
}

#[test]
fn management_call_is_answered_beside_silent_and_bad_callers() {
    let site = Site::with_config(1, managed);
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
    let mut cut = TcpStream::connect(addr).unwrap();
    cut.write_all(b"PAUSE").unwrap();
    cut.shutdown(std::net::Shutdown::Write).unwrap();
    let mut reply = String::new();
    cut.read_to_string(&mut reply).unwrap();
    assert!(reply.starts_with("ERR the connection ended"), "{reply}");
    assert_eq!(site.coordinator.call_management("STATUS\n"), "OK ready\n");
    // 40 stalled ones do not fit beside the rest: the oldest made room.
    assert!(site.coordinator.counter("management_silent") >= 8);
    assert_eq!(site.coordinator.counter("management_bad"), 5);
}

#[test]
fn unavailable_management_address_does_not_stop_serving() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let at = format!("{{\"management\": \"{}\",", taken.local_addr().unwrap());
    let site = Site::with_config(1, |config| config.replacen('{', &at, 1));
    assert_eq!(site.request("lookup", 2500, "SELECT 1").status, 200);
    let none = Site::with_config(1, |config| {
        config.replacen('{', "{\"management\": \"nowhere\",", 1)
    });
    assert_eq!(
        (
            none.coordinator.management,
            none.request("lookup", 2500, "SELECT 1").status
        ),
        (None, 200)
    );
}

#[test]
fn suspended_engine_gets_no_query_until_it_is_restored() {
    let site = Site::with_config(2, managed);
    let manage = |call: &str| site.coordinator.call_management(call);
    let asked = |from: u64, n: u64| {
        for n in from..from + n {
            assert_eq!(
                site.request("lookup", 2500, &format!("SELECT {n}")).status,
                200
            );
        }
        (from..from + n)
            .filter(|n| {
                site.request_log
                    .of(&format!("SELECT {n}"))
                    .iter()
                    .any(|e| e.engine == "0")
            })
            .count()
    };
    assert!(asked(1000, 30) > 0);
    assert_eq!(
        manage("SUSPEND e0\n"),
        "OK e0 is drained: nothing new goes there\n"
    );
    assert_eq!(
        manage("SUSPEND e0\n"),
        "OK e0 is drained: nothing new goes there, as before\n"
    );
    assert_eq!(asked(2000, 30), 0);
    // It goes, and comes back as a new process; an order about it may come while it is gone, too.
    let lists = site.coordinator.counter("lists_taken");
    site.publish(&["gone", "ready"], "");
    site.coordinator.wait_for_counter("lists_taken", lists + 1);
    assert!(manage("SUSPEND e0\n").starts_with("OK") && manage("SUSPEND e00\n").starts_with("ERR"));
    site.publish(&["ready", "ready"], "");
    site.coordinator.wait_for_counter("lists_taken", lists + 2);
    assert_eq!(asked(3000, 30), 0);
    assert_eq!(site.coordinator.counter("engines_out_by_order"), 1);
    // The last one too: refused at once, with the time to come back.
    assert!(manage("SUSPEND e1\n").starts_with("OK"));
    let refused = site.request("lookup", 2500, "SELECT none");
    assert!(refused.status == 429 && refused.header("X-Come-Back-Ms").is_some());
    assert_eq!(manage("STATUS\n"), "ERR no engine takes work\n");
    assert!(manage("RESTORE e0\n").starts_with("OK") && manage("RESTORE e0\n").starts_with("OK"));
    assert_eq!(asked(4000, 10), 10);
    assert!(manage("RESTORE e1\n").starts_with("OK"));
    site.request_log.assert_rules(1000);
}

#[test]
fn paused_coordinator_closes_idle_clients_and_answers_the_others() {
    let site = Site::with_config(1, managed);
    let mut idle = TcpStream::connect(site.coordinator.addr).unwrap();
    let mut fresh = TcpStream::connect(site.coordinator.addr).unwrap();
    let mut busy = TcpStream::connect(site.coordinator.addr).unwrap();
    let (mut of_idle, mut of_busy) = (ResponseReader::default(), ResponseReader::default());
    idle.write_all(lookup(1).as_bytes()).unwrap();
    assert_eq!(
        read_next_response(&mut idle, &mut of_idle).header("Connection"),
        None
    );
    // Half of a request is out when the call comes: it is taken, answered, and told the close.
    let (half, rest) = (lookup(2), 40);
    busy.write_all(&half.as_bytes()[..rest]).unwrap();
    assert_eq!(site.coordinator.call_management("PAUSE\n"), "OK draining\n");
    assert!(site
        .coordinator
        .call_management("PAUSE\n")
        .starts_with("OK"));
    assert!(site
        .coordinator
        .call_management("STATUS\n")
        .starts_with("ERR"));
    let alive = get(site.coordinator.addr, "/alive");
    assert_eq!(
        (alive.status, alive.header("Connection")),
        (503, Some("close"))
    );
    busy.write_all(&half.as_bytes()[rest..]).unwrap();
    let answer = read_next_response(&mut busy, &mut of_busy);
    assert_eq!(
        (answer.status, answer.header("Connection")),
        (200, Some("close"))
    );
    [&mut idle, &mut fresh, &mut busy]
        .into_iter()
        .for_each(wait_for_end);
    drop((idle, fresh, busy));
    // Who comes all the same is served, and sent away again.
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
fn a_paused_coordinator_ends_when_it_is_asked_to() {
    let mut site = Site::with_config(1, managed);
    site.coordinator.call_management("PAUSE\n");
    site.coordinator.terminate();
    assert!(site.coordinator.wait().success());
}

#[test]
fn control_socket_and_management_address_share_orders() {
    let socket = std::env::temp_dir().join(format!("driftfront-daily-{}.sock", std::process::id()));
    let named = format!("{{\"control\": \"{}\",", socket.display());
    let site = Site::with_config(2, |config| managed(config.replacen('{', &named, 1)));
    let said = |words: &[&str]| {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_driftfront"));
        let out = command
            .args(words)
            .arg("--at")
            .arg(&socket)
            .output()
            .unwrap();
        (
            out.status.code(),
            String::from_utf8_lossy(&out.stdout).into_owned(),
        )
    };
    assert_eq!(said(&["pause"]), (Some(0), "draining\n".into()));
    assert!(site
        .coordinator
        .call_management("STATUS\n")
        .starts_with("ERR dr"));
    assert!(said(&["status"]).1.contains("Paused by an operator"));
    assert_eq!(site.coordinator.call_management("RESUME\n"), "OK ready\n");
    assert_eq!(said(&["unpause"]), (Some(0), "ready\n".into()));
    // Taken out by one, seen and put back by the other.
    assert!(site
        .coordinator
        .call_management("SUSPEND e0\n")
        .starts_with("OK"));
    assert!(said(&["engines"])
        .1
        .lines()
        .any(|l| l.starts_with("e0") && l.contains("drained")));
    assert_eq!(said(&["drain", "e0"]).0, Some(3));
    assert_eq!(said(&["resume", "e0"]).0, Some(0));
    assert_eq!(said(&["drain", "e1"]).0, Some(0));
    assert!(site
        .coordinator
        .call_management("RESTORE e1\n")
        .starts_with("OK"));
    assert_eq!(site.coordinator.counter("engines_out_by_order"), 0);
}

#[test]
fn connection_that_comes_up_after_a_suspend_carries_no_query() {
    // A backlog that is full: the next connect hangs until there is room again.
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket
        .bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into())
        .unwrap();
    socket.listen(0).unwrap();
    let listener: TcpListener = socket.into();
    let engine = listener.local_addr().unwrap();
    let _fill = TcpStream::connect(engine).unwrap();
    let list = EngineList::start();
    let patient = config(list.addr).replace(
        "\"ConnectTimeoutUs\": 250000",
        "\"ConnectTimeoutUs\": 14000000",
    );
    let coordinator = Coordinator::start(&managed(patient));
    let mut site = Site {
        coordinator,
        request_log: Arc::default(),
        engines: vec![engine],
        list,
    };
    site.publish(&["ready"], "");
    site.coordinator.wait_until_ready();
    let answer = std::thread::scope(|scope| {
        let asked = scope.spawn(|| site.request("report", 2_000, "SELECT 1"));
        site.coordinator.wait_for_counter("attempts_sent", 1);
        assert!(site
            .coordinator
            .call_management("SUSPEND e0\n")
            .starts_with("OK"));
        drop(listener.accept().unwrap());
        // Held, so that it comes up and stays.
        let poll_connected = listener.accept().unwrap().0;
        (asked.join().unwrap(), poll_connected)
    });
    let (answer, mut poll_connected) = answer;
    // No engine is left: it is answered at its deadline, and with a refusal, as it never ran.
    assert_eq!(answer.status, 429, "{}", answer.text());
    assert_eq!(
        site.coordinator.counter("attempts_ended{outcome=\"moot\"}"),
        1
    );
    site.coordinator.terminate();
    assert!(site.coordinator.wait().success());
    let mut bytes = Vec::new();
    poll_connected.read_to_end(&mut bytes).unwrap();
    assert_eq!(String::from_utf8_lossy(&bytes), "");
}
