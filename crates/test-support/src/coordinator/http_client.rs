//! An HTTP client for the coordinator.

use super::TEST_TIMEOUT;
use driftfront_http::{header, Header, ResponsePart, ResponseReader};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

/// A response as received by a client.
#[derive(Debug)]
pub struct Response {
    /// The status, or 0 if no complete head was received.
    pub status: u16,
    /// The headers.
    pub headers: Vec<Header>,
    /// The part of the body that was received.
    pub body: Vec<u8>,
    /// Whether the end of the response was received, rather than just the end of the connection.
    pub is_complete: bool,
}

impl Response {
    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

/// Reads a response from a connection.
pub fn read_response(stream: &mut TcpStream) -> Response {
    read_next_response(stream, &mut ResponseReader::default())
}

/// Reads the next of several responses on a connection.
pub fn read_next_response(stream: &mut TcpStream, reader: &mut ResponseReader) -> Response {
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("setting the read timeout");
    let mut response = Response {
        status: 0,
        headers: Vec::new(),
        body: Vec::new(),
        is_complete: false,
    };
    let mut chunk = [0; 4096];
    loop {
        while let Some(part) = reader.next_part().expect("a valid HTTP response") {
            match part {
                ResponsePart::Head(head) => {
                    (response.status, response.headers) = (head.status, head.headers)
                }
                ResponsePart::EarlyHeader(_) => {}
                ResponsePart::Body(bytes) => response.body.extend(bytes),
                ResponsePart::End => {
                    response.is_complete = true;
                    return response;
                }
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) => return response,
            Ok(n) => reader.push(&chunk[..n]),
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => return response,
            Err(e) => panic!("reading the response: {e}"),
        }
    }
}

/// Sends these bytes on a new connection and reads the response.
pub fn call(addr: SocketAddr, bytes: &[u8]) -> Response {
    let mut stream = TcpStream::connect(addr).expect("connecting to the coordinator");
    stream.write_all(bytes).expect("sending the request");
    read_response(&mut stream)
}

/// Sends a GET request and reads the response.
pub fn get(addr: SocketAddr, target: &str) -> Response {
    let request = format!("GET {target} HTTP/1.1\r\nHost: t\r\n\r\n");
    call(addr, request.as_bytes())
}

/// Sends a POST request and reads the response. `headers` are additional header lines, each with its line terminator.
pub fn post(addr: SocketAddr, target: &str, headers: &str, body: &str) -> Response {
    let length = body.len();
    let request = format!(
        "POST {target} HTTP/1.1\r\nHost: t\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    );
    call(addr, request.as_bytes())
}
