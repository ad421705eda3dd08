//! The line protocol of the management address.

use driftfront_control::management::{
    reply, Call, CallError, CallReader, CALL_NAMES, MAX_CALL_BYTES,
};
use quickcheck::{Gen, QuickCheck};

fn read_line(bytes: &[u8]) -> Result<Call, CallError> {
    CallReader::default().push(bytes).expect("a complete line")
}

#[test]
fn calls_are_parsed_and_invalid_lines_are_rejected() {
    assert_eq!(read_line(b"STATUS\r\n"), Ok(Call::Status));
    assert_eq!(
        read_line(b"  SUSPEND   s-00c41f7a \n"),
        Ok(Call::Suspend("s-00c41f7a".into()))
    );
    assert_eq!(
        read_line(b"RESTORE e1\nPAUSE\n"),
        Ok(Call::Restore("e1".into()))
    );
    assert_eq!(
        (read_line(b"PAUSE\n"), read_line(b"RESUME\n")),
        (Ok(Call::Pause), Ok(Call::Resume))
    );
    assert_eq!(read_line(b"\r\n"), Err(CallError::Empty));
    assert_eq!(
        read_line(b"status\n"),
        Err(CallError::Unknown("status".into()))
    );
    assert_eq!(read_line(b"SUSPEND\n"), Err(CallError::NoEngine("SUSPEND")));
    assert_eq!(read_line(b"PAUSE now\n"), Err(CallError::TooMany("PAUSE")));
    assert_eq!(
        read_line(b"RESTORE a b\n"),
        Err(CallError::TooMany("RESTORE"))
    );
    assert_eq!(read_line(b"STA\xffTUS\n"), Err(CallError::NotText));
    assert_eq!(read_line(b"STATUS\tx\n"), Err(CallError::NotText));
}

#[test]
fn unterminated_line_is_buffered_up_to_the_limit() {
    let mut reader = CallReader::default();
    for _ in 0..MAX_CALL_BYTES + 1 {
        assert_eq!(reader.push(b"x"), None);
    }
    assert_eq!(reader.push(b"x"), Some(Err(CallError::TooLong)));
    assert_eq!(
        (reader.push(b"STATUS\n"), reader.end(CallError::Unfinished)),
        (None, None)
    );
    let longest = [b"SUSPEND ".as_slice(), &[b'e'; MAX_CALL_BYTES - 8], b"\r\n"].concat();
    assert!(matches!(read_line(&longest), Ok(Call::Suspend(_))));
    assert_eq!(
        read_line(&[&[b' '; MAX_CALL_BYTES + 1][..], b"\n"].concat()),
        Err(CallError::TooLong)
    );
}

/// Input in any pieces gives the same single result as in one piece, and a reply of one line.
#[allow(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes arguments by value"
)]
fn gives_the_same_result_in_pieces(bytes: Vec<u8>, cuts: Vec<u8>, valid: u8) -> bool {
    let mut bytes = bytes;
    if valid.is_multiple_of(2) {
        let call = format!("{} e{valid}\r\n", CALL_NAMES[usize::from(valid / 2) % 5]);
        bytes.splice(0..0, call.bytes());
    }
    let expected = CallReader::default().push(&bytes);
    let (mut reader, mut remaining, mut results) = (CallReader::default(), &bytes[..], Vec::new());
    for cut in cuts
        .iter()
        .map(|&c| usize::from(c % 7))
        .chain([bytes.len()])
    {
        let (piece, rest) = remaining.split_at(cut.min(remaining.len()));
        results.extend(reader.push(piece));
        remaining = rest;
    }
    results.extend(reader.push(remaining));
    let line = results.first().map(|result| {
        let outcome = result
            .as_ref()
            .map(|c| format!("{c:?}"))
            .map_err(ToString::to_string);
        reply(&outcome)
    });
    let is_one_line =
        line.is_none_or(|l| l.ends_with('\n') && l.matches(['\n', '\r']).count() == 1);
    results.len() <= 1 && results.first() == expected.as_ref() && is_one_line
}

#[test]
fn random_bytes_in_random_pieces_give_the_same_result_as_in_one_piece() {
    let mut check = QuickCheck::new()
        .tests(20_000)
        .rng(Gen::from_size_and_seed(80, 18));
    check.quickcheck(gives_the_same_result_in_pieces as fn(Vec<u8>, Vec<u8>, u8) -> bool);
}
