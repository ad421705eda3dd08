//! Golden files: the exact bytes of a stored file, a wire message or a command's output.
//!
//! A golden file stands in `tests/golden/` of the crate that makes the bytes; the README beside it names the page that owns each
//! form. The files were written by the program before its code was renamed, so they show when a rename reaches a form that other
//! programs, earlier builds or people read. A file is written, and never overwritten, when `WRITE_GOLDEN` is set and it is
//! missing.

use std::path::Path;

/// Compares bytes with the golden file of this name in the calling crate, byte for byte.
#[macro_export]
macro_rules! assert_golden {
    ($name:expr, $actual:expr) => {
        $crate::golden::check(env!("CARGO_MANIFEST_DIR"), $name, $actual.as_ref())
    };
}

/// The bytes of a golden file of the calling crate, for tests that read what an earlier build wrote.
#[macro_export]
macro_rules! read_golden {
    ($name:expr) => {
        $crate::golden::read(env!("CARGO_MANIFEST_DIR"), $name)
    };
}

/// Compares `actual` with `tests/golden/{name}` below `crate_folder`.
///
/// # Panics
///
/// Panics where the file is missing and `WRITE_GOLDEN` is not set, and where any byte differs.
pub fn check(crate_folder: &str, name: &str, actual: &[u8]) {
    let path = Path::new(crate_folder).join("tests/golden").join(name);
    if !path.exists() && std::env::var_os("WRITE_GOLDEN").is_some() {
        std::fs::create_dir_all(path.parent().expect("it lies in tests/golden"))
            .expect("a folder can be made");
        std::fs::write(&path, actual).expect("a golden file can be written");
    }
    let expected = read(crate_folder, name);
    if expected == actual {
        return;
    }
    let at = expected
        .iter()
        .zip(actual)
        .take_while(|(a, b)| a == b)
        .count();
    panic!(
        "{} differs at byte {at} ({} bytes expected, {} made)\n--- expected\n{}\n--- made\n{}",
        path.display(),
        expected.len(),
        actual.len(),
        around(&expected, at),
        around(actual, at),
    );
}

/// Reads `tests/golden/{name}` below `crate_folder`.
///
/// # Panics
///
/// Panics where the file can't be read.
pub fn read(crate_folder: &str, name: &str) -> Vec<u8> {
    let path = Path::new(crate_folder).join("tests/golden").join(name);
    std::fs::read(&path)
        .unwrap_or_else(|e| panic!("{}: {e}; WRITE_GOLDEN=1 writes it", path.display()))
}

/// Bytes shown before and behind the first difference.
const CONTEXT_BYTES: usize = 120;

fn around(bytes: &[u8], at: usize) -> String {
    let begin = at.saturating_sub(CONTEXT_BYTES);
    let end = bytes.len().min(at + CONTEXT_BYTES);
    bytes[begin.min(end)..end].escape_ascii().to_string()
}
