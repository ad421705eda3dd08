//! A client of the coordinator: one request on a connection, and the response as it comes.

use super::TEST_TIMEOUT;
use driftfront_http::{header, Header, ResponsePart, ResponseReader};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

/// A response as a client sees it.
#[derive(Debug)]
pub struct Response {
    /// Its status; 0 where not even the head came.
    pub status: u16,
    /// Its headers.
    pub headers: Vec<Header>,
    /// As much of its body as came.
    pub body: Vec<u8>,
    /// Whether the response came to its own end, not just to the connection's.
    pub is_complete: bool,
}

impl Response {
    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

/// Reads one response from a connection.
pub fn read_response(stream: &mut TcpStream) -> Response {
    read_next_response(stream, &mut ResponseReader::default())
}

/// Reads the next of several responses from a connection.
pub fn read_next_response(stream: &mut TcpStream, reader: &mut ResponseReader) -> Response {
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a timeout");
    let mut answer = Response {
        status: 0,
        headers: Vec::new(),
        body: Vec::new(),
        is_complete: false,
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
                    answer.is_complete = true;
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

/// Sends these bytes on a new connection and reads the response.
pub fn call(addr: SocketAddr, bytes: &[u8]) -> Response {
    let mut stream = TcpStream::connect(addr).expect("the coordinator listens");
    stream.write_all(bytes).expect("it reads");
    read_response(&mut stream)
}

/// Sends a GET request and reads the response.
pub fn get(addr: SocketAddr, target: &str) -> Response {
    let request = format!("GET {target} HTTP/1.1\r\nHost: t\r\n\r\n");
    call(addr, request.as_bytes())
}

/// Sends a POST request and reads the response. `headers`: further ones, each with its line end.
pub fn post(addr: SocketAddr, target: &str, headers: &str, body: &str) -> Response {
    let length = body.len();
    let request = format!(
        "POST {target} HTTP/1.1\r\nHost: t\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    );
    call(addr, request.as_bytes())
}
