//! Reading from a connection that has both unread bytes and a pending reset.

use driftfront::net::{BufferedStream, ReadOutcome};
use socket2::SockRef;
use std::io::{ErrorKind, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

#[test]
fn bytes_before_a_reset_are_returned_before_its_error() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let local = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (mut peer, _) = listener.accept().unwrap();
    local.set_nonblocking(true).unwrap();
    let local = Rc::new(local);
    let mut stream = BufferedStream::new(local.clone());
    peer.write_all(b"an answer").unwrap();
    let started = Instant::now();
    while local.peek(&mut [0; 16]).ok() != Some(9) {
        assert!(
            started.elapsed() < Duration::from_secs(60),
            "the bytes never arrived"
        );
    }
    SockRef::from(&peer)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
    drop(peer);
    while !stream.peer_has_closed() {
        assert!(
            started.elapsed() < Duration::from_secs(60),
            "the reset never arrived"
        );
    }
    let mut bytes = Vec::new();
    assert_eq!(
        stream.read(&mut bytes, 1024).unwrap(),
        ReadOutcome::LimitReached
    );
    assert_eq!(bytes, b"an answer");
    assert_eq!(
        stream.read(&mut bytes, 1024).unwrap_err().kind(),
        ErrorKind::ConnectionReset
    );
}
