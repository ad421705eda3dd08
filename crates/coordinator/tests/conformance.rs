//! The conformance suite: each case of `conformance/cases.json` straight against a stand-in engine, and through the
//! program. What differs must be on the list, with its reason; the table is `docs/conformance.md`.

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

/// Headers that must be the same.
const SAME: [&str; 9] = [
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

/// What a client sees of one step.
#[derive(Debug, PartialEq)]
struct Seen {
    status: u16,
    headers: Vec<(String, String)>,
    /// Unpacked; of an exception only its beginning, as servers' and our own words go on differently.
    body: Vec<u8>,
    whole: bool,
    /// Its query's name, where the client gave it one.
    named: bool,
}

/// `@x20000@` in a URL stands for so many x.
fn stretched(target: &str) -> String {
    let mut parts = target.split('@');
    let mut out = parts.next().unwrap_or_default().to_string();
    while let (Some(run), Some(rest)) = (parts.next(), parts.next()) {
        out += &"x".repeat(run[1..].parse().expect("a number"));
        out += rest;
    }
    out
}

fn packed(how: &str, body: &[u8]) -> Vec<u8> {
    let blocks = |method| {
        body.chunks(40_000)
            .flat_map(|c| block::compress(method, c))
            .collect::<Vec<u8>>()
    };
    let spoilt = |mut bytes: Vec<u8>| {
        let at = bytes.len() - 2;
        bytes[at] ^= 0x11;
        bytes
    };
    let gzip = || coding::compress(Coding::Gzip, body).expect("packs");
    match how {
        "" => body.to_vec(),
        "blocks" => blocks(Method::Lz4),
        "zstd blocks" => blocks(Method::Zstd),
        "plain blocks" => blocks(Method::None),
        "spoilt blocks" => spoilt(blocks(Method::Lz4)),
        "spoilt gzip" => spoilt(gzip()),
        name => coding::compress(Coding::from_name(name).expect("a coding"), body).expect("packs"),
    }
}

fn request(step: Json) -> Vec<u8> {
    let text = |key: &str| step.get(key).text().unwrap_or_default();
    let times = step.get("times").integer().unwrap_or(0);
    let times = usize::try_from(times).expect("a few");
    let body = packed(
        text("pack"),
        (text("body").to_string() + &text("of").repeat(times)).as_bytes(),
    );
    let version = step.get("http").text().unwrap_or("1.1");
    let mut head = format!(
        "{} {} HTTP/{version}\r\nHost: t\r\n",
        text("method"),
        stretched(text("target"))
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

fn run(addr: SocketAddr, step: Json) -> Seen {
    let mut stream = TcpStream::connect(addr).expect("it listens");
    let bytes = request(step);
    // One that is answered early stops reading.
    let mut writer = stream.try_clone().expect("a copy");
    let writing = std::thread::spawn(move || writer.write_all(&bytes));
    let head_only = step.get("method").text() == Some("HEAD");
    let (mut reader, mut all) = (ResponseReader::default(), [0; 64 * 1024]);
    let (mut status, mut headers, mut body): (u16, Vec<Header>, Vec<u8>) = Default::default();
    let mut whole = false;
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
                        whole = true;
                        break 'read;
                    }
                }
                ResponsePart::Body(bytes) => body.extend(bytes),
                ResponsePart::End => {
                    whole = true;
                    break 'read;
                }
            }
        }
        match stream.read(&mut all) {
            Ok(0) => {
                whole = reader.is_complete_at_close();
                break;
            }
            Ok(n) => reader.push(&all[..n]),
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
            Err(_) => break,
        }
    }
    drop(stream);
    let _ = writing.join();
    seen(step, status, &headers, body, whole)
}

fn seen(step: Json, status: u16, headers: &[Header], body: Vec<u8>, whole: bool) -> Seen {
    let told = |name: &str| header(headers, name);
    let mut body = body;
    if let Some(coding) = told("content-encoding").and_then(Coding::from_name) {
        body = coding::decompress_prefix(coding, &body, usize::MAX / 2);
    }
    let exception = told("x-clickhouse-exception-code").is_some();
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
    if !whole {
        // How far a broken result came is a matter of time.
        body.clear();
    }
    let named = target.contains("query_id=")
        || step.get("headers").each().any(|h| {
            h.text()
                .is_some_and(|h| h.starts_with("X-ClickHouse-Query-Id"))
        });
    let headers = SAME
        .iter()
        .filter_map(|n| Some((n.to_string(), told(n)?.to_string())))
        .collect();
    Seen {
        status,
        headers,
        body,
        whole,
        named: named && told("x-clickhouse-query-id").is_some(),
    }
}

fn shortly(seen: &Seen) -> String {
    let mut text = match (seen.whole, seen.status) {
        (true, status) => status.to_string(),
        (false, 0) => "no answer".into(),
        (false, status) => format!("{status}, broken"),
    };
    if let Some(code) = seen
        .headers
        .iter()
        .find(|h| h.0 == "x-clickhouse-exception-code")
    {
        let _ = write!(text, ", code {}", code.1);
    }
    text
}

#[test]
#[allow(clippy::too_many_lines, reason = "a scenario reads from top to bottom")]
fn every_case_is_the_same_direct_and_through_the_coordinator() {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read(folder.join("tests/conformance/cases.json")).expect("the cases");
    let cases = parse(&text).expect("JSON");
    let straight = Engine::start(Options::default(), Arc::new(RequestLog::default()));
    let site: Site = SiteOptions::with_engines(1).start();
    let mut table = String::from(
        "# Conformance of the ClickHouse front\n\nEach case of `crates/coordinator/tests/conformance/cases.json` runs straight \
         against a stand-in engine and through the\nprogram, and the client's view is compared: status, headers, the \
         unpacked result, and whether it is whole. Made by\n`UPDATE=1 cargo test -p driftfront --test conformance`, and \
         checked by every run of the tests.\n\n",
    );
    let (mut rows, mut same, mut listed, mut wrong) = (String::new(), 0, 0, Vec::new());
    for case in Json(Some(&cases)).each() {
        let name = case.get("name").text().expect("a name");
        let reason = case.get("differs").text();
        let (mut differs, mut short) = (Vec::new(), (Vec::new(), Vec::new()));
        for (n, step) in case.get("steps").each().enumerate() {
            let (a, b) = (run(straight.addr(), step), run(site.coordinator.addr, step));
            short.0.push(shortly(&a));
            short.1.push(shortly(&b));
            if a != b {
                let cut = |s: &Seen| format!("{s:?}").chars().take(900).collect::<String>();
                differs.push(format!(
                    "step {n}\n  straight {}\n  through  {}",
                    cut(&a),
                    cut(&b)
                ));
            }
        }
        let verdict = match (differs.is_empty(), reason) {
            (true, None) => {
                same += 1;
                "same".to_string()
            }
            (false, Some(reason)) => {
                listed += 1;
                format!("differs: {reason}")
            }
            (true, Some(_)) => {
                wrong.push(format!("{name}: is on the list, but does not differ"));
                String::new()
            }
            (false, None) => {
                wrong.push(format!("{name}: {}", differs.join("\n")));
                String::new()
            }
        };
        let _ = writeln!(
            rows,
            "| {name} | {} | {} | {verdict} |",
            short.0.join("; "),
            short.1.join("; ")
        );
    }
    assert!(
        wrong.is_empty(),
        "{} cases:\n{}",
        wrong.len(),
        wrong.join("\n")
    );
    let _ = write!(
        table,
        "{} cases: {same} the same, {listed} different for the reason given.\n\n| case | straight | through | |\n\
         | --- | --- | --- | --- |\n{rows}",
        same + listed
    );
    let path = folder.join("../../docs/conformance.md");
    if std::env::var_os("UPDATE").is_some() {
        std::fs::write(&path, &table).expect("the table");
    }
    let kept = std::fs::read_to_string(&path).unwrap_or_default();
    assert!(
        kept == table,
        "docs/conformance.md is not of this run: make it with UPDATE=1"
    );
}
