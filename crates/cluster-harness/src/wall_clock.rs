//! A process's wall clock, set by a test: the fault injection library is preloaded into the process, and reads from a file by how
//! much its wall clock is off.

use std::fs::File;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The file that the `driftfront-fault-injection` crate is built as.
const LIBRARY: &str = "libdriftfront_fault_injection.so";
/// The variable that names the file with the offset.
const VARIABLE: &str = "DRIFTFRONT_WALL_CLOCK";

/// Numbers the clocks of this process: each has a file of its own.
static NEXT_CLOCK: AtomicUsize = AtomicUsize::new(0);

/// The wall clock of the processes that are started under it.
pub struct WallClock {
    path: PathBuf,
    file: File,
    library: PathBuf,
}

impl WallClock {
    /// A clock that shows the right time. `binary`: any program of the same build, beside which the library lies.
    pub fn new(binary: &Path) -> WallClock {
        let n = NEXT_CLOCK.fetch_add(1, Ordering::Relaxed);
        let path =
            std::env::temp_dir().join(format!("driftfront-clock-{}-{n}", std::process::id()));
        let open = File::options()
            .create(true)
            .truncate(true)
            .read(true)
            .write(true)
            .open(&path);
        let clock = WallClock {
            file: open.expect("a temporary file"),
            path,
            library: library(binary),
        };
        clock.set(0);
        clock
    }

    /// Sets the clock off by `offset` microseconds from now on; behind where that is negative.
    pub fn set(&self, offset: i64) {
        self.file
            .write_all_at(&offset.to_le_bytes(), 0)
            .expect("a temporary file");
    }

    /// Has the process that `command` starts read this clock.
    pub fn apply_to<'a>(&self, command: &'a mut Command) -> &'a mut Command {
        command
            .env("LD_PRELOAD", &self.library)
            .env(VARIABLE, &self.path)
    }
}

impl Drop for WallClock {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Finds the library: Cargo puts it beside the programs, or beside what they are linked from.
fn library(binary: &Path) -> PathBuf {
    let folder = binary.parent().expect("a program lies in a folder");
    let places = [folder.join(LIBRARY), folder.join("deps").join(LIBRARY)];
    let newest = |path: &PathBuf| path.metadata().and_then(|m| m.modified()).ok();
    let found = places.into_iter().filter(|p| p.exists()).max_by_key(newest);
    found.unwrap_or_else(|| panic!("{LIBRARY} is not built beside {}", binary.display()))
}
