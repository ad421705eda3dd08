//! Golden files of the operators' interfaces: commands, the configuration file, the state folder, hand-over files, the control
//! socket, the management address and the counters.

mod commands;
mod control;
mod files;

use std::path::{Path, PathBuf};
use std::process::Command;

/// A temporary directory that is removed when it is dropped.
pub(crate) struct Folder(pub(crate) PathBuf);

impl Folder {
    pub(crate) fn new(name: &str) -> Folder {
        let path =
            std::env::temp_dir().join(format!("driftfront-golden-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("the directory is created");
        Folder(path)
    }

    pub(crate) fn write(&self, name: &str, text: &str) {
        std::fs::write(self.0.join(name), text).expect("the file is written");
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Runs the program in this directory and returns the command line, its exit code, standard output and standard error.
pub(crate) fn run_command(folder: &Path, args: &[&str]) -> String {
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
