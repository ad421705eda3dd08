//! The listeners for operators: a Unix socket with mode 0600, and a port on the loopback interface.

use super::connection::OperatorStream;
use std::io;
use std::net::TcpListener;
use std::os::unix::fs::{MetadataExt, PermissionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Only the user that runs the program may connect.
const SOCKET_MODE: u32 = 0o600;

/// A listening socket for operators.
#[derive(Clone)]
pub(super) enum OperatorListener {
    Unix(Rc<UnixListener>),
    Tcp(Rc<TcpListener>),
}

impl OperatorListener {
    /// Accepts the next connection.
    pub(super) fn accept(&self) -> io::Result<OperatorStream> {
        match self {
            OperatorListener::Unix(listener) => {
                let (stream, _) = listener.accept()?;
                Ok(OperatorStream::Unix(Rc::new(stream)))
            }
            OperatorListener::Tcp(listener) => {
                let (stream, _) = listener.accept()?;
                Ok(OperatorStream::Tcp(Rc::new(stream)))
            }
        }
    }
}

/// Why the control socket cannot be opened.
#[derive(Debug, thiserror::Error)]
pub enum ControlSocketError {
    /// Another running program listens on the socket.
    #[error("control {}: another program answers there", .0.display())]
    InUse(PathBuf),
    /// An I/O operation failed.
    #[error("control {}: {source}", path.display())]
    Io {
        /// The socket's path.
        path: PathBuf,
        /// The underlying error.
        source: io::Error,
    },
}

/// The path of a control socket that this process has bound. The socket is removed on drop, unless a successor has replaced
/// it.
pub(super) struct ControlSocketPath {
    path: PathBuf,
    inode: u64,
}

impl Drop for ControlSocketPath {
    fn drop(&mut self) {
        let metadata = std::fs::metadata(&self.path);
        if metadata.is_ok_and(|metadata| metadata.ino() == self.inode) {
            let _ = std::fs::remove_file(&self.path);
        }
    }
}

/// Opens a control socket. A stale socket of a dead process is replaced. A socket that accepts connections is replaced only if
/// this process is the successor of its owner (`is_successor`); new operator connections then come to this process.
pub(super) fn open_control_socket(
    path: &Path,
    is_successor: bool,
) -> Result<(UnixListener, ControlSocketPath), ControlSocketError> {
    if !is_successor && UnixStream::connect(path).is_ok() {
        return Err(ControlSocketError::InUse(path.into()));
    }
    bind_control_socket(path).map_err(|source| ControlSocketError::Io {
        path: path.into(),
        source,
    })
}

/// Binds to a temporary path and renames it, so that a client reaches either the old socket or the new one with its mode set.
fn bind_control_socket(path: &Path) -> io::Result<(UnixListener, ControlSocketPath)> {
    let temporary = path.with_extension(format!("{}.new", std::process::id()));
    let _ = std::fs::remove_file(&temporary);
    let listener = UnixListener::bind(&temporary)?;
    std::fs::set_permissions(&temporary, std::fs::Permissions::from_mode(SOCKET_MODE))?;
    listener.set_nonblocking(true)?;
    std::fs::rename(&temporary, path)?;
    let inode = std::fs::metadata(path)?.ino();
    let path = path.to_path_buf();
    Ok((listener, ControlSocketPath { path, inode }))
}
