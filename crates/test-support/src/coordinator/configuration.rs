//! The example configuration, temporary files, and engine list entries.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Returns the example configuration of a site with one coordinator, in the platform's format.
pub fn example_configuration() -> String {
    crate::EXAMPLE_CONFIGURATION.to_string()
}

/// Numbers the temporary files of this process.
static NEXT_FILE: AtomicUsize = AtomicUsize::new(0);

/// Writes a temporary file with a unique name, and returns its path.
pub fn write_temp_file(text: &str) -> PathBuf {
    let n = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
    let path =
        std::env::temp_dir().join(format!("driftfront-test-{}-{n}.json", std::process::id()));
    std::fs::write(&path, text).expect("writing a temporary file");
    path
}

/// Returns an engine's entry in the platform's engine list.
pub fn instance(name: &str, addr: SocketAddr, lifecycle: &str) -> String {
    format!(
        "{{\"instanceId\":\"{name}\",\"hostPort\":\"{addr}\",\"zone\":\"building-a\",\
         \"machineType\":\"std-8\",\"cell\":0,\"lifecycle\":\"{lifecycle}\",\"startedAtMs\":0}}"
    )
}
