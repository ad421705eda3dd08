//! The line language of the second address.

use driftfront_control::management::{
    reply, Call, CallError, CallReader, CALL_NAMES, MAX_CALL_BYTES,
};
use quickcheck::{Gen, QuickCheck};

fn read_line(bytes: &[u8]) -> Result<Call, CallError> {
    CallReader::default().push(bytes).expect("a whole line")
}

#[test]
fn each_call_is_read_and_other_lines_say_what_is_wrong() {
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
fn line_without_an_end_is_kept_up_to_the_bound() {
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

/// Whatever comes, in whatever pieces: the same end as in one piece, once, and a reply of one line.
#[allow(
    clippy::needless_pass_by_value,
    reason = "quickcheck hands its values over"
)]
fn gives_the_same_result_in_pieces(bytes: Vec<u8>, cuts: Vec<u8>, valid: u8) -> bool {
    let mut bytes = bytes;
    if valid.is_multiple_of(2) {
        let call = format!("{} e{valid}\r\n", CALL_NAMES[usize::from(valid / 2) % 5]);
        bytes.splice(0..0, call.bytes());
    }
    let at_once = CallReader::default().push(&bytes);
    let (mut reader, mut remaining, mut ends) = (CallReader::default(), &bytes[..], Vec::new());
    for cut in cuts
        .iter()
        .map(|&c| usize::from(c % 7))
        .chain([bytes.len()])
    {
        let (piece, behind) = remaining.split_at(cut.min(remaining.len()));
        ends.extend(reader.push(piece));
        remaining = behind;
    }
    ends.extend(reader.push(remaining));
    let line = ends.first().map(|end| {
        let outcome = end
            .as_ref()
            .map(|c| format!("{c:?}"))
            .map_err(ToString::to_string);
        reply(&outcome)
    });
    let one_line = line.is_none_or(|l| l.ends_with('\n') && l.matches(['\n', '\r']).count() == 1);
    ends.len() <= 1 && ends.first() == at_once.as_ref() && one_line
}

#[test]
fn random_bytes_in_random_pieces_end_as_in_one_piece() {
    let mut check = QuickCheck::new()
        .tests(20_000)
        .rng(Gen::from_size_and_seed(80, 18));
    check.quickcheck(gives_the_same_result_in_pieces as fn(Vec<u8>, Vec<u8>, u8) -> bool);
}
