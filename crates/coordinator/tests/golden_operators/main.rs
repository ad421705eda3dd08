//! Golden files of what operators write, read and type: commands, the operator's file, the state folder, hand-over files, the
//! control socket, the second address and the counters.

mod commands;
mod control;
mod files;

use std::path::{Path, PathBuf};
use std::process::Command;

/// A folder that goes with the test.
pub(crate) struct Folder(pub(crate) PathBuf);

impl Folder {
    pub(crate) fn new(name: &str) -> Folder {
        let path =
            std::env::temp_dir().join(format!("driftfront-golden-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    pub(crate) fn write(&self, name: &str, text: &str) {
        std::fs::write(self.0.join(name), text).expect("a file");
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// What one run of the program says, typed in this folder: its exit code, standard output and standard error.
pub(crate) fn type_in(folder: &Path, args: &[&str]) -> String {
    let out = Command::new(env!("CARGO_BIN_EXE_driftfront"))
        .args(args)
        .current_dir(folder)
        .env("COLUMNS", "100")
        .env_remove("LB_CONFIG")
        .env_remove("LB_MANAGEMENT")
        .env_remove("DRIFTFRONT_CONTROL")
        .output()
        .expect("the program runs");
    format!(
        "$ driftfront {}\n[{}]\n{}{}",
        args.join(" "),
        out.status.code().unwrap_or(-1),
        String::from_utf8_lossy(&out.stdout),
        String::from_utf8_lossy(&out.stderr)
    )
}
