//! The file with the cluster's keys.

use driftfront_cluster::{Keyring, KeyringError};
use std::io;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

/// The permission bits of the group and of others.
const GROUP_AND_OTHER_PERMISSIONS: u32 = 0o077;

/// Why a key file cannot be used. The message never contains the keys.
#[derive(Debug, thiserror::Error)]
pub enum KeyFileError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// The underlying error.
        source: io::Error,
    },
    /// Users other than the owner have access to the file.
    #[error("{}: its mode is {mode:03o}: others can read it; chmod 600 it", path.display())]
    ReadableByOthers {
        /// The file.
        path: PathBuf,
        /// Its permission bits.
        mode: u32,
    },
    /// The file contains no key, or something other than keys.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The parse error, with its line.
        source: KeyringError,
    },
}

/// Reads a key file, which must be accessible to its owner only.
///
/// # Errors
///
/// The file cannot be read, is accessible to others, or contains no valid keys.
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
