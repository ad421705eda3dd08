//! A planned restart of a coordinator whose listening socket the platform holds, while its engines hang.

use crate::http::{connect, read_response};
use crate::platform::{event, instance, wait_ready, Discovery, Platform};
use crate::run::{self, note, now_ms, sleep_ms, Outcome};
use std::io::Write;
use std::time::Duration;

/// SIGKILL follows SIGTERM after the longest deadline, counted as 3 s where it is longer, and 0.7 s.
const KILL_AFTER_MS: u64 = 3_700;
const READY_LIMIT_MS: u64 = 6_000;

pub fn held_socket() -> Outcome {
    // An engine that takes what it is sent and says nothing.
    let listener = run::listen();
    let port = listener.local_addr().map_or(0, |address| address.port());
    std::thread::spawn(move || {
        let taken: Vec<_> = listener.incoming().collect();
        drop(taken);
    });
    let discovery = Discovery::start();
    let first = event(1, true, &[instance("s-00000001", port, "ready")]);
    discovery.tell(1, &first);
    let mut platform = Platform::new(&discovery, 1, &[first]);
    // Without the disruption the coordinator has its own listening socket, and the same happens.
    let process = if run::has_trouble() {
        let (process, address) = platform.start();
        if !wait_ready(address, READY_LIMIT_MS) {
            return Outcome::NotRun("the coordinator is not ready".into());
        }
        process
    } else {
        platform.start_alone(1024)
    };
    sleep_ms(500);
    let Some(mut stream) = connect(platform.port) else {
        return Outcome::NotRun("the client cannot connect".into());
    };
    let statement = "SELECT 1";
    let head = format!(
        "POST /ops/member-load HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: 00000000000000aa\r\nX-Patience-Ms: 20000\r\nX-Entity: 7f3a9c21e0b4d655\r\nContent-Length: {}\r\n\r\n{statement}",
        statement.len()
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return Outcome::NotRun("the request cannot be written".into());
    }
    note("the client has written a member-load");
    sleep_ms(500);
    let signalled_at = now_ms();
    run::terminate(process);
    note("SIGTERM");
    std::thread::spawn(move || {
        sleep_ms(KILL_AFTER_MS);
        if run::is_running(process) {
            note("SIGKILL");
            run::kill(process);
        }
    });
    let answer = read_response(&stream, Duration::from_millis(KILL_AFTER_MS + 2_000));
    let waited = now_ms() - signalled_at;
    match answer {
        Some(answer) => Outcome::Held(format!("answered with status {} after {waited} ms", answer.status)),
        None => Outcome::Broken(format!("no answer to a request that was taken 0.5 s before SIGTERM; its connection ended after {waited} ms")),
    }
}
