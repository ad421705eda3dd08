//! Compares output with golden files: the exact bytes of a stored file, a wire message or a command's output.
//!
//! Golden files are in `tests/golden/` of the crate that produces the bytes. A README next to them names the document that specifies
//! each format. The files were written before the code's identifiers were renamed, so that they detect a rename that changes a
//! format read by other programs, earlier builds or people. A missing file is written if `WRITE_GOLDEN` is set. Existing files are
//! never overwritten.

use std::path::Path;

/// Compares bytes with a golden file of the calling crate.
#[macro_export]
macro_rules! assert_golden {
    ($name:expr, $actual:expr) => {
        $crate::golden::check(env!("CARGO_MANIFEST_DIR"), $name, $actual.as_ref())
    };
}

/// Reads a golden file of the calling crate, for tests that read data written by an earlier build.
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
/// Panics if the file is missing and `WRITE_GOLDEN` is not set, or if any byte differs.
pub fn check(crate_folder: &str, name: &str, actual: &[u8]) {
    let path = Path::new(crate_folder).join("tests/golden").join(name);
    if !path.exists() && std::env::var_os("WRITE_GOLDEN").is_some() {
        std::fs::create_dir_all(path.parent().expect("the path has a parent directory"))
            .expect("creating the directory of golden files");
        std::fs::write(&path, actual).expect("writing a golden file");
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
        "{} differs at byte {at} ({} bytes expected, {} actual)\n--- expected\n{}\n--- actual\n{}",
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
/// Panics if the file can't be read.
pub fn read(crate_folder: &str, name: &str) -> Vec<u8> {
    let path = Path::new(crate_folder).join("tests/golden").join(name);
    std::fs::read(&path).unwrap_or_else(|e| {
        panic!(
            "{}: {e}; run with WRITE_GOLDEN=1 to create it",
            path.display()
        )
    })
}

/// Number of bytes shown before and after the first difference.
const CONTEXT_BYTES: usize = 120;

fn around(bytes: &[u8], at: usize) -> String {
    let begin = at.saturating_sub(CONTEXT_BYTES);
    let end = bytes.len().min(at + CONTEXT_BYTES);
    bytes[begin.min(end)..end].escape_ascii().to_string()
}
