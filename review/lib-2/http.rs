//! As much HTTP/1.1 as the stand-ins and clients need.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::time::Duration;

/// A request's or response's first line and header fields.
pub struct Head {
    pub line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// The value of a field, without regard to the case of its name.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields
            .find(|f| f.0.eq_ignore_ascii_case(name))
            .map(|f| f.1.as_str())
    }

    pub fn is_chunked(&self) -> bool {
        self.field("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    }

    pub fn content_length(&self) -> Option<usize> {
        self.field("content-length")?.trim().parse().ok()
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.line
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }

    /// The value of a parameter in a request's URL, still encoded.
    pub fn param(&self, name: &str) -> Option<&str> {
        let target = self.line.split(' ').nth(1)?;
        let (_, query) = target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|pair| pair.0 == name).map(|pair| pair.1)
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> Option<Head> {
    let line = read_line(reader)?;
    let mut fields = Vec::new();
    loop {
        let field = read_line(reader)?;
        if field.is_empty() {
            return Some(Head { line, fields });
        }
        let (name, value) = field.split_once(':')?;
        fields.push((name.to_string(), value.trim().to_string()));
    }
}

/// Reads a line without its end; `None` at the end of the connection.
pub fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(n) if n > 0 && line.ends_with('\n') => {
            Some(line.trim_end_matches(['\r', '\n']).to_string())
        }
        _ => None,
    }
}

/// Reads the next chunk; an empty one is the last. `None` if the body breaks off.
pub fn read_chunk(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let size = read_line(reader)?;
    let size = usize::from_str_radix(size.split(';').next()?.trim(), 16).ok()?;
    let mut bytes = vec![0; size + 2];
    reader.read_exact(&mut bytes).ok()?;
    bytes.truncate(size);
    Some(bytes)
}

/// Reads a whole body. `None` if it breaks off.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> Option<Vec<u8>> {
    if head.is_chunked() {
        let mut body = Vec::new();
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Some(body);
            }
            body.extend(chunk);
        }
    }
    let mut body = vec![0; head.content_length().unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

/// A response as a client sees it.
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Reads a response. `None` if none arrives in time, or it is not whole.
pub fn read_response(stream: &TcpStream, timeout: Duration) -> Option<Response> {
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    let body = read_body(&mut reader, &head)?;
    Some(Response {
        status: head.status(),
        body,
    })
}

/// Connects to a loopback port.
pub fn connect(port: u16) -> Option<TcpStream> {
    let stream = TcpStream::connect(("127.0.0.1", port)).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

/// Posts a statement on a new connection, and returns the response.
pub fn post(port: u16, target: &str, statement: &str, timeout: Duration) -> Option<Response> {
    let mut stream = connect(port)?;
    let length = statement.len();
    let request = format!(
        "POST {target} HTTP/1.1\r\nHost: site\r\nContent-Length: {length}\r\n\r\n{statement}"
    );
    stream.write_all(request.as_bytes()).ok()?;
    read_response(&stream, timeout)
}

/// The status of a GET.
pub fn get_status(port: u16, target: &str) -> Option<u16> {
    let mut stream = connect(port)?;
    let request = format!("GET {target} HTTP/1.1\r\nHost: site\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    read_response(&stream, Duration::from_secs(2)).map(|response| response.status)
}
