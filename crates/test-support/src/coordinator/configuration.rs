//! The example site's configuration, files for it, and engines as a list names them.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A configuration in the platform's form, for a site of one coordinator.
pub fn example_configuration() -> String {
    crate::EXAMPLE_CONFIGURATION.to_string()
}

/// Numbers the files of this process.
static NEXT_FILE: AtomicUsize = AtomicUsize::new(0);

/// Writes a temporary file that no other test uses.
pub fn write_temp_file(text: &str) -> PathBuf {
    let n = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
    let path =
        std::env::temp_dir().join(format!("driftfront-test-{}-{n}.json", std::process::id()));
    std::fs::write(&path, text).expect("a temporary file");
    path
}

/// An engine as the platform's list names it.
pub fn instance(name: &str, addr: SocketAddr, lifecycle: &str) -> String {
    format!(
        "{{\"instanceId\":\"{name}\",\"hostPort\":\"{addr}\",\"zone\":\"building-a\",\
         \"machineType\":\"std-8\",\"cell\":0,\"lifecycle\":\"{lifecycle}\",\"startedAtMs\":0}}"
    )
}
