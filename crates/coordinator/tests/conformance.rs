//! The conformance suite runs each case of `conformance/cases.json` directly against a mock engine and through the
//! coordinator. A case whose results differ must give the reason in `differs`. The table of results is
//! `docs/conformance.md`.

use driftfront_clickhouse::block::{self, Method};
use driftfront_clickhouse::coding::{self, Coding};
use driftfront_http::{chunk, header, Header, ResponsePart, ResponseReader};
use driftfront_mock_servers::engine::{Engine, Options};
use driftfront_mock_servers::request_log::RequestLog;
use driftfront_settings::json::{parse, Json};
use driftfront_test_support::coordinator::clickhouse_site::{Site, SiteOptions};
use driftfront_test_support::coordinator::TEST_TIMEOUT;
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;

/// Response headers that must be equal.
const COMPARED_HEADERS: [&str; 9] = [
    "content-type",
    "content-encoding",
    "x-clickhouse-format",
    "x-clickhouse-exception-code",
    "x-clickhouse-timezone",
    "x-clickhouse-summary",
    "access-control-allow-origin",
    "access-control-allow-methods",
    "access-control-max-age",
];

/// The client's view of the response to one step.
#[derive(Debug, PartialEq)]
struct ClientView {
    status: u16,
    headers: Vec<(String, String)>,
    /// The decompressed body. Of an exception, only the prefix is kept, because the rest differs between engine and coordinator.
    body: Vec<u8>,
    is_complete: bool,
    /// Whether the response names the query ID, where the client set one.
    has_query_id: bool,
}

/// Expands a placeholder such as `@x20000@` in a URL to that number of x.
fn expand_target(target: &str) -> String {
    let mut parts = target.split('@');
    let mut out = parts.next().unwrap_or_default().to_string();
    while let (Some(placeholder), Some(rest)) = (parts.next(), parts.next()) {
        out += &"x".repeat(placeholder[1..].parse().expect("a number"));
        out += rest;
    }
    out
}

fn encode_body(encoding: &str, body: &[u8]) -> Vec<u8> {
    let blocks = |method| {
        body.chunks(40_000)
            .flat_map(|c| block::compress(method, c))
            .collect::<Vec<u8>>()
    };
    let corrupt = |mut bytes: Vec<u8>| {
        let index = bytes.len() - 2;
        bytes[index] ^= 0x11;
        bytes
    };
    let gzip = || coding::compress(Coding::Gzip, body).expect("compress");
    match encoding {
        "" => body.to_vec(),
        "blocks" => blocks(Method::Lz4),
        "zstd blocks" => blocks(Method::Zstd),
        "plain blocks" => blocks(Method::None),
        "spoilt blocks" => corrupt(blocks(Method::Lz4)),
        "spoilt gzip" => corrupt(gzip()),
        name => {
            coding::compress(Coding::from_name(name).expect("a coding"), body).expect("compress")
        }
    }
}

fn request(step: Json) -> Vec<u8> {
    let text = |key: &str| step.get(key).text().unwrap_or_default();
    let times = step.get("times").integer().unwrap_or(0);
    let times = usize::try_from(times).expect("a few");
    let body = encode_body(
        text("pack"),
        (text("body").to_string() + &text("of").repeat(times)).as_bytes(),
    );
    let version = step.get("http").text().unwrap_or("1.1");
    let mut head = format!(
        "{} {} HTTP/{version}\r\nHost: t\r\n",
        text("method"),
        expand_target(text("target"))
    );
    for line in step.get("headers").each() {
        let _ = write!(head, "{}\r\n", line.text().unwrap_or_default());
    }
    if step.get("chunked").0.is_some() {
        let chunks: Vec<u8> = body.chunks(999).flat_map(chunk).collect();
        return [
            head.as_bytes(),
            b"Transfer-Encoding: chunked\r\n\r\n",
            &chunks,
            b"0\r\n\r\n",
        ]
        .concat();
    }
    if text("method") == "POST" {
        let _ = write!(head, "Content-Length: {}\r\n", body.len());
    }
    [head.as_bytes(), b"\r\n", &body].concat()
}

fn run_step(addr: SocketAddr, step: Json) -> ClientView {
    let mut stream = TcpStream::connect(addr).expect("connect");
    let bytes = request(step);
    // The server may respond early and stop reading, so the request is written by another thread.
    let mut writer = stream.try_clone().expect("clone the socket");
    let writing = std::thread::spawn(move || writer.write_all(&bytes));
    let head_only = step.get("method").text() == Some("HEAD");
    let (mut reader, mut buffer) = (ResponseReader::default(), [0; 64 * 1024]);
    let (mut status, mut headers, mut body): (u16, Vec<Header>, Vec<u8>) = Default::default();
    let mut is_complete = false;
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a timeout");
    'read: loop {
        while let Ok(Some(part)) = reader.next_part() {
            match part {
                ResponsePart::EarlyHeader(_) => {}
                ResponsePart::Head(head) => {
                    (status, headers) = (head.status, head.headers);
                    if head_only {
                        is_complete = true;
                        break 'read;
                    }
                }
                ResponsePart::Body(bytes) => body.extend(bytes),
                ResponsePart::End => {
                    is_complete = true;
                    break 'read;
                }
            }
        }
        match stream.read(&mut buffer) {
            Ok(0) => {
                is_complete = reader.is_complete_at_close();
                break;
            }
            Ok(n) => reader.push(&buffer[..n]),
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
            Err(_) => break,
        }
    }
    drop(stream);
    let _ = writing.join();
    client_view(step, status, &headers, body, is_complete)
}

fn client_view(
    step: Json,
    status: u16,
    headers: &[Header],
    body: Vec<u8>,
    is_complete: bool,
) -> ClientView {
    let response_header = |name: &str| header(headers, name);
    let mut body = body;
    if let Some(coding) = response_header("content-encoding").and_then(Coding::from_name) {
        body = coding::decompress_prefix(coding, &body, usize::MAX / 2);
    }
    let exception = response_header("x-clickhouse-exception-code").is_some();
    let target = step.get("target").text().unwrap_or_default();
    if target.contains("compress=1") && !target.contains("decompress=1") && !exception {
        body = block::decompress_prefix(&body, usize::MAX)
            .unwrap_or_default()
            .data;
    }
    if exception {
        let text = String::from_utf8_lossy(&body).into_owned();
        body = text
            .find("Exception:")
            .map_or(text.clone(), |at| text[..at].into())
            .into_bytes();
    }
    if !is_complete {
        // How much of an incomplete result arrives depends on timing.
        body.clear();
    }
    let has_query_id = target.contains("query_id=")
        || step.get("headers").each().any(|h| {
            h.text()
                .is_some_and(|h| h.starts_with("X-ClickHouse-Query-Id"))
        });
    let headers = COMPARED_HEADERS
        .iter()
        .filter_map(|n| Some((n.to_string(), response_header(n)?.to_string())))
        .collect();
    ClientView {
        status,
        headers,
        body,
        is_complete,
        has_query_id: has_query_id && response_header("x-clickhouse-query-id").is_some(),
    }
}

fn summary(view: &ClientView) -> String {
    let mut text = match (view.is_complete, view.status) {
        (true, status) => status.to_string(),
        (false, 0) => "no answer".into(),
        (false, status) => format!("{status}, broken"),
    };
    if let Some(code) = view
        .headers
        .iter()
        .find(|h| h.0 == "x-clickhouse-exception-code")
    {
        let _ = write!(text, ", code {}", code.1);
    }
    text
}

#[test]
#[allow(clippy::too_many_lines, reason = "one loop over all cases")]
fn responses_are_equal_direct_and_through_the_coordinator() {
    let crate_dir = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let text =
        std::fs::read(crate_dir.join("tests/conformance/cases.json")).expect("read cases.json");
    let cases = parse(&text).expect("JSON");
    let engine = Engine::start(Options::default(), Arc::new(RequestLog::default()));
    let site: Site = SiteOptions::with_engines(1).start();
    let mut table = String::from(
        "# Conformance of the ClickHouse front\n\nEach case of `crates/coordinator/tests/conformance/cases.json` runs straight \
         against a stand-in engine and through the\nprogram, and the client's view is compared: status, headers, the \
         unpacked result, and whether it is whole. Made by\n`UPDATE=1 cargo test -p driftfront --test conformance`, and \
         checked by every run of the tests.\n\n",
    );
    let (mut rows, mut same, mut expected_differences, mut unexpected) =
        (String::new(), 0, 0, Vec::new());
    for case in Json(Some(&cases)).each() {
        let name = case.get("name").text().expect("a name");
        let reason = case.get("differs").text();
        let (mut differences, mut summaries) = (Vec::new(), (Vec::new(), Vec::new()));
        for (n, step) in case.get("steps").each().enumerate() {
            let (direct, through) = (
                run_step(engine.addr(), step),
                run_step(site.coordinator.addr, step),
            );
            summaries.0.push(summary(&direct));
            summaries.1.push(summary(&through));
            if direct != through {
                let truncate =
                    |view: &ClientView| format!("{view:?}").chars().take(900).collect::<String>();
                differences.push(format!(
                    "step {n}\n  direct  {}\n  through  {}",
                    truncate(&direct),
                    truncate(&through)
                ));
            }
        }
        let verdict = match (differences.is_empty(), reason) {
            (true, None) => {
                same += 1;
                "same".to_string()
            }
            (false, Some(reason)) => {
                expected_differences += 1;
                format!("differs: {reason}")
            }
            (true, Some(_)) => {
                unexpected.push(format!(
                    "{name}: gives a reason to differ, but does not differ"
                ));
                String::new()
            }
            (false, None) => {
                unexpected.push(format!("{name}: {}", differences.join("\n")));
                String::new()
            }
        };
        let _ = writeln!(
            rows,
            "| {name} | {} | {} | {verdict} |",
            summaries.0.join("; "),
            summaries.1.join("; ")
        );
    }
    assert!(
        unexpected.is_empty(),
        "{} cases with unexpected results:\n{}",
        unexpected.len(),
        unexpected.join("\n")
    );
    let _ = write!(
        table,
        "{} cases: {same} the same, {expected_differences} different for the reason given.\n\n| case | straight | through | |\n\
         | --- | --- | --- | --- |\n{rows}",
        same + expected_differences
    );
    let path = crate_dir.join("../../docs/conformance.md");
    if std::env::var_os("UPDATE").is_some() {
        std::fs::write(&path, &table).expect("write docs/conformance.md");
    }
    let stored = std::fs::read_to_string(&path).unwrap_or_default();
    assert!(
        stored == table,
        "docs/conformance.md is out of date: regenerate it with UPDATE=1"
    );
}
