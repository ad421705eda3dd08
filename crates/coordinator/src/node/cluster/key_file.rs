//! The file with the cluster's keys.

use driftfront_cluster::{Keyring, KeyringError};
use std::io;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

/// Permissions of the group and of others.
const GROUP_AND_OTHER_PERMISSIONS: u32 = 0o077;

/// Why a key file can't be used. The keys themselves are never part of the message.
#[derive(Debug, thiserror::Error)]
pub enum KeyFileError {
    /// The system refuses to read it.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// Others than its owner may read it.
    #[error("{}: its mode is {mode:03o}: others can read it; chmod 600 it", path.display())]
    ReadableByOthers {
        /// The file.
        path: PathBuf,
        /// Its permissions.
        mode: u32,
    },
    /// It holds no key, or something else than keys.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong, with the line.
        source: KeyringError,
    },
}

/// Reads a key file that nobody but its owner can read.
///
/// # Errors
///
/// A file that can't be read, that others can read, or that holds no keys.
pub fn read_keys(path: &Path) -> Result<Keyring, KeyFileError> {
    let io_error = |source| KeyFileError::Io {
        path: path.into(),
        source,
    };
    let mode = std::fs::metadata(path)
        .map_err(io_error)?
        .permissions()
        .mode();
    if mode & GROUP_AND_OTHER_PERMISSIONS != 0 {
        return Err(KeyFileError::ReadableByOthers {
            path: path.into(),
            mode: mode & 0o777,
        });
    }
    let text = std::fs::read_to_string(path).map_err(io_error)?;
    Keyring::parse(&text).map_err(|source| KeyFileError::Invalid {
        path: path.into(),
        source,
    })
}
