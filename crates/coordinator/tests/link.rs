//! A connection's bytes and its error, where both are there at one moment.

use driftfront::net::{BufferedStream, ReadOutcome};
use socket2::SockRef;
use std::io::{ErrorKind, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

#[test]
fn bytes_before_a_reset_are_returned_before_its_error() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let near = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (mut far, _) = listener.accept().unwrap();
    near.set_nonblocking(true).unwrap();
    let near = Rc::new(near);
    let mut link = BufferedStream::new(near.clone());
    far.write_all(b"an answer").unwrap();
    let begin = Instant::now();
    while near.peek(&mut [0; 16]).ok() != Some(9) {
        assert!(
            begin.elapsed() < Duration::from_secs(60),
            "the answer never came"
        );
    }
    SockRef::from(&far)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
    drop(far);
    while !link.peer_has_closed() {
        assert!(
            begin.elapsed() < Duration::from_secs(60),
            "the reset never came"
        );
    }
    let mut bytes = Vec::new();
    assert_eq!(
        link.read(&mut bytes, 1024).unwrap(),
        ReadOutcome::LimitReached
    );
    assert_eq!(bytes, b"an answer");
    assert_eq!(
        link.read(&mut bytes, 1024).unwrap_err().kind(),
        ErrorKind::ConnectionReset
    );
}
