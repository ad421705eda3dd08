//! Golden tests: serialized responses, parsed requests and parsed responses must not change.

use driftfront_http::{
    add_connection_close, chunk, header, response, response_head, BodyFraming, HttpError,
    RequestLimits, RequestReader, ResponsePart, ResponseReader, LAST_CHUNK,
};
use driftfront_test_support::message_transcript::MessageTranscript;
use driftfront_test_support::{assert_golden, read_golden};

#[test]
fn serialized_responses_match_golden_file() {
    let mut written = MessageTranscript::default();
    for status in [
        200, 204, 400, 401, 403, 404, 405, 408, 411, 413, 429, 431, 500, 501, 503, 504, 418,
    ] {
        let headers = [("Content-Type", "text/plain"), ("X-A", "line\r\nbreak")];
        written.record("whole", response(status, &headers, b"body", false));
    }
    written.record("whole, closing", response(503, &[], b"", true));
    for (name, framing) in [
        ("length", BodyFraming::Length(7)),
        ("chunks", BodyFraming::Chunked),
        ("close", BodyFraming::UntilClose),
    ] {
        written.record(name, response_head(200, &[("A", "b")], framing, false));
        written.record(name, response_head(200, &[("A", "b")], framing, true));
    }
    let mut closing = response(200, &[], b"x", false);
    add_connection_close(&mut closing);
    written.record("close told later", &closing);
    add_connection_close(&mut closing);
    written.record("close told twice", &closing);
    written.record("chunk", chunk(b"seventeen bytes.."));
    written.record("empty chunk", chunk(b""));
    written.record("last chunk", LAST_CHUNK);
    for error in [
        HttpError::Malformed,
        HttpError::BodyTooLarge,
        HttpError::HeadTooLarge,
    ] {
        written.record("fault", error.status().to_string());
    }
    assert_golden!("responses.http", written.bytes());
}

#[test]
fn parsed_requests_match_golden_file() {
    let bytes = read_golden!("requests.http");
    let mut reader = RequestReader::with_limits(RequestLimits {
        max_head_bytes: 16 * 1024,
        max_body_bytes: 16,
        streams_larger_bodies: true,
    });
    reader.push(&bytes);
    let mut read = MessageTranscript::default();
    while let Some(request) = reader.next_request().expect("well formed") {
        let mut text = format!("{} {}\n", request.method, request.target);
        for (name, value) in &request.headers {
            text += &format!("{name}: {value}\n");
        }
        let mut body = request.body.clone();
        if request.has_more_body {
            assert_eq!(reader.read_body(&mut body), Ok(true));
        }
        text += &format!(
            "begun with {} bytes, goes on {}, 1.1 {}, close {}\n{}",
            request.body.len(),
            request.has_more_body,
            request.version_1_1,
            request.close,
            body.escape_ascii()
        );
        read.record("request", text);
    }
    assert!(!reader.is_mid_message());
    assert_golden!("requests.txt", read.bytes());
}

#[test]
fn parsed_responses_match_golden_file() {
    let bytes = read_golden!("responses_in.http");
    let mut reader = ResponseReader::with_early_header("X-Progress");
    let mut read = MessageTranscript::default();
    for piece in bytes.chunks(40) {
        reader.push(piece);
        while let Some(part) = reader.next_part().expect("well formed") {
            match part {
                ResponsePart::EarlyHeader(value) => read.record("early", value),
                ResponsePart::Head(head) => {
                    let kind = header(&head.headers, "content-type").unwrap_or("-");
                    let text = format!("{} close {} type {kind}", head.status, head.close);
                    read.record("head", text);
                }
                ResponsePart::Body(bytes) => read.record("body", bytes),
                ResponsePart::End => read.record("end", ""),
            }
        }
    }
    assert!(reader.is_complete_at_close());
    assert_golden!("responses_in.txt", read.bytes());
}
