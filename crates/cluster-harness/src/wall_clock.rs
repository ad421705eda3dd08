//! Controls the wall clock of a process. The fault injection library is preloaded into the process and reads the clock offset from
//! a file.

use std::fs::File;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};

/// File name of the library built from the `driftfront-fault-injection` crate.
const LIBRARY: &str = "libdriftfront_fault_injection.so";
/// Environment variable with the path of the offset file.
const VARIABLE: &str = "DRIFTFRONT_WALL_CLOCK";

/// Numbers the clocks of this process, since each has its own file.
static NEXT_CLOCK: AtomicUsize = AtomicUsize::new(0);

/// The wall clock of the processes started with it.
pub struct WallClock {
    path: PathBuf,
    file: File,
    library: PathBuf,
}

impl WallClock {
    /// Creates a clock with the correct time. `binary` is any program of the same build; the library is looked up next to it.
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
            file: open.expect("creating a temporary file"),
            path,
            library: library(binary),
        };
        clock.set(0);
        clock
    }

    /// Sets the offset of the clock in microseconds. A negative offset sets the clock back.
    pub fn set(&self, offset: i64) {
        self.file
            .write_all_at(&offset.to_le_bytes(), 0)
            .expect("writing a temporary file");
    }

    /// Makes the process started by `command` use this clock.
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

/// Finds the library. Cargo puts it in the directory of the programs or in `deps/` below it; the newest file is used.
fn library(binary: &Path) -> PathBuf {
    let folder = binary.parent().expect("the program has a parent directory");
    let places = [folder.join(LIBRARY), folder.join("deps").join(LIBRARY)];
    let newest = |path: &PathBuf| path.metadata().and_then(|m| m.modified()).ok();
    let found = places.into_iter().filter(|p| p.exists()).max_by_key(newest);
    found.unwrap_or_else(|| panic!("{LIBRARY} was not found next to {}", binary.display()))
}
