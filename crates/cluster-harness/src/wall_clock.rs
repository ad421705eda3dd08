//! A process's wall clock, in the hands of a test: the fault injection library is preloaded into the process and reads from a file by how much
//! its wall clock is off.

use std::fs::File;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The file that the `driftfront-fault-injection` crate is built as.
const LIBRARY: &str = "libdriftfront_fault_injection.so";
/// The variable that names the file with the offset.
const VARIABLE: &str = "DRIFTFRONT_WALL_CLOCK";

static CLOCKS: AtomicUsize = AtomicUsize::new(0);

/// The wall clock of the processes that are started under it.
pub struct WallClock {
    path: PathBuf,
    file: File,
    library: PathBuf,
}

impl WallClock {
    /// One that is right. `binary`: any program of the same build, beside which the library lies.
    pub fn new(binary: &Path) -> WallClock {
        let n = CLOCKS.fetch_add(1, Ordering::Relaxed);
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

    /// From now on the clock is off by so many microseconds; negative: it is behind.
    pub fn set(&self, offset: i64) {
        self.file
            .write_all_at(&offset.to_le_bytes(), 0)
            .expect("a temporary file");
    }

    /// A process that this command starts lives by this clock.
    pub fn give_to<'a>(&self, command: &'a mut Command) -> &'a mut Command {
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

/// Cargo lays a shared library beside the programs, or beside what they are linked of.
fn library(binary: &Path) -> PathBuf {
    let folder = binary.parent().expect("a program lies in a folder");
    let places = [folder.join(LIBRARY), folder.join("deps").join(LIBRARY)];
    let newest = |path: &PathBuf| path.metadata().and_then(|m| m.modified()).ok();
    let found = places.into_iter().filter(|p| p.exists()).max_by_key(newest);
    found.unwrap_or_else(|| panic!("{LIBRARY} is not built beside {}", binary.display()))
}
