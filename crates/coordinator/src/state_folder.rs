//! The state folder, which persists operators' orders across restarts. An order is acknowledged once its record is synced to
//! disk.
//!
//! The folder contains one file of records, `orders`, in the format of `driftfront_engine_registry::record`. Records are
//! appended; once the file exceeds a threshold, it is compacted, that is, replaced by a shorter file with the same state.

use crate::file_writer::{FileWriter, WriteCompleted, WriteJob, WriteMode};
use driftfront_engine_registry::record::{self, StateRecord, COMPACTION_THRESHOLD_BYTES, HEADER};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// The file's name in the folder.
const FILE_NAME: &str = "orders";
/// The id of compaction jobs; appends have higher ids.
const COMPACTION_JOB: u64 = 0;

/// Why the state folder cannot be opened.
#[derive(Debug, thiserror::Error)]
pub enum StateFolderError {
    /// An I/O operation failed.
    #[error("{}: {step}: {source}", folder.display())]
    Io {
        /// The state folder.
        folder: PathBuf,
        /// The operation that failed.
        step: OpenStep,
        /// The underlying error.
        source: io::Error,
    },
    /// The file was written by another program or a newer version; it is left unchanged.
    #[error("{}: {source}", path.display())]
    StateFile {
        /// The path of the file.
        path: PathBuf,
        /// Why its header is rejected.
        source: record::StateFileError,
    },
}

/// A step of opening the state folder that may fail. `Display` is the part of the error message that names the step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OpenStep {
    /// Creating the folder.
    #[error("cannot create the folder")]
    CreateFolder,
    /// Opening or creating the file.
    #[error("cannot open the file")]
    OpenFile,
    /// Reading the file.
    #[error("cannot read the file")]
    ReadFile,
    /// Truncating a damaged tail of the file.
    #[error("cannot truncate the file")]
    TruncateFile,
    /// Writing the header of a new file.
    #[error("cannot write the file")]
    WriteFile,
    /// Starting the writer thread.
    #[error("cannot start the writer thread")]
    StartWriter,
}

/// The state folder, open for writing.
pub struct StateFolder {
    writer: FileWriter,
    last_job: u64,
    file_bytes: usize,
}

/// The result of [`StateFolder::open`].
pub struct OpenedState {
    /// The folder, open for further records.
    pub folder: StateFolder,
    /// The records of earlier processes, in the order in which they were written.
    pub records: Vec<StateRecord>,
    /// Warnings for operators: a damaged tail that was truncated.
    pub warnings: Vec<String>,
}

impl StateFolder {
    /// Opens the folder, creating it if it does not exist. `on_written` is called on the writer thread when an
    /// [`StateFolder::append`] completes.
    ///
    /// # Errors
    ///
    /// The folder or file cannot be opened, read or written, or the file belongs to another program or version.
    pub fn open(
        folder: &Path,
        on_written: impl Fn(WriteCompleted) + Send + 'static,
    ) -> Result<OpenedState, StateFolderError> {
        let path = folder.join(FILE_NAME);
        let io_error = |step: OpenStep| {
            let folder = folder.to_path_buf();
            move |source| StateFolderError::Io {
                folder,
                step,
                source,
            }
        };
        std::fs::create_dir_all(folder).map_err(io_error(OpenStep::CreateFolder))?;
        let mut file = open_for_appending(&path).map_err(io_error(OpenStep::OpenFile))?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)
            .map_err(io_error(OpenStep::ReadFile))?;
        let read = record::decode_file(&bytes).map_err(|source| StateFolderError::StateFile {
            path: path.clone(),
            source,
        })?;
        let warnings = read.damage.iter().map(|reason| {
            let cut = bytes.len() - read.valid_bytes;
            let path = path.display();
            format!("{path}: {reason}; truncated {cut} bytes after the last complete record")
        });
        let warnings = warnings.collect();
        file.set_len(read.valid_bytes as u64)
            .map_err(io_error(OpenStep::TruncateFile))?;
        let file_bytes = prepare_for_appending(&mut file, read.valid_bytes)
            .map_err(io_error(OpenStep::WriteFile))?;
        let on_completed = skip_compactions(path.clone(), on_written);
        let writer = FileWriter::start(path, file, None, on_completed)
            .map_err(io_error(OpenStep::StartWriter))?;
        let folder = StateFolder {
            writer,
            last_job: COMPACTION_JOB,
            file_bytes,
        };
        Ok(OpenedState {
            folder,
            records: read.records,
            warnings,
        })
    }

    /// Queues records for writing and returns the job's id, which is reported once they are synced to disk. Returns `None` if
    /// the writer's queue is full.
    pub fn append(&mut self, records: &[StateRecord]) -> Option<u64> {
        let bytes: Vec<u8> = records.iter().flat_map(record::encode).collect();
        let size = bytes.len();
        self.last_job += 1;
        let job = WriteJob {
            id: self.last_job,
            mode: WriteMode::Append,
            bytes,
        };
        self.writer.submit(job).ok()?;
        self.file_bytes += size;
        Some(self.last_job)
    }

    /// Whether the file exceeds the compaction threshold.
    pub fn needs_compaction(&self) -> bool {
        self.file_bytes > COMPACTION_THRESHOLD_BYTES
    }

    /// Replaces the file by one with only these records. If the writer's queue is full, the next order tries again.
    pub fn compact(&mut self, records: &[StateRecord]) {
        let bytes = record::encode_file(records);
        let size = bytes.len();
        let job = WriteJob {
            id: COMPACTION_JOB,
            mode: WriteMode::Replace,
            bytes,
        };
        if self.writer.submit(job).is_ok() {
            self.file_bytes = size;
        }
    }
}

/// Opens the file in append mode: during an upgrade two processes write to it, and each record must be added whole at the
/// current end.
fn open_for_appending(path: &Path) -> io::Result<File> {
    OpenOptions::new()
        .read(true)
        .append(true)
        .create(true)
        .open(path)
}

/// Seeks to the end of the file, and writes the header if the file is empty. Returns the file's size.
fn prepare_for_appending(file: &mut File, valid_bytes: usize) -> io::Result<usize> {
    file.seek(SeekFrom::End(0))?;
    if valid_bytes > 0 {
        return Ok(valid_bytes);
    }
    file.write_all(HEADER)?;
    file.sync_all()?;
    Ok(HEADER.len())
}

/// Forwards the completions of appends. Nothing waits for a compaction, so its failure is only logged.
fn skip_compactions(
    path: PathBuf,
    on_written: impl Fn(WriteCompleted) + Send + 'static,
) -> impl Fn(WriteCompleted) + Send + 'static {
    move |completed| match completed {
        WriteCompleted {
            id: COMPACTION_JOB,
            result,
        } => {
            if let Err(error) = result {
                tracing::warn!("{}: compaction failed: {error}", path.display());
            }
        }
        completed => on_written(completed),
    }
}
