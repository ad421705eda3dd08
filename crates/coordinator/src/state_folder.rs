//! The state folder: operators' orders that outlive a restart. An order counts as done once its record is on the disk.
//!
//! The folder holds one file of records, `orders`, in the form of `driftfront_engine_registry::record`. It is only appended to, and
//! replaced by a shorter one when it has grown.

use crate::file_writer::{FileWriter, WriteCompleted, WriteJob, WriteMode};
use driftfront_engine_registry::record::{self, StateRecord, COMPACTION_THRESHOLD_BYTES, HEADER};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// The file's name in the folder.
const FILE_NAME: &str = "orders";
/// The job that replaces the file by a shorter one; appends have higher numbers.
const COMPACTION_JOB: u64 = 0;

/// Why a state folder can't be used.
#[derive(Debug, thiserror::Error)]
pub enum StateFolderError {
    /// The system refuses a step.
    #[error("{}: {step}: {source}", folder.display())]
    Io {
        /// The folder.
        folder: PathBuf,
        /// What was tried.
        step: OpenStep,
        /// What the system says.
        source: io::Error,
    },
    /// The file is another program's, or a newer version's; it is left as it is.
    #[error("{}: {source}", path.display())]
    StateFile {
        /// The file.
        path: PathBuf,
        /// Why.
        source: record::StateFileError,
    },
}

/// A step of opening a state folder that the system may refuse. `Display` completes the error's text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OpenStep {
    /// The folder is created.
    #[error("can't be made")]
    CreateFolder,
    /// The file is opened, or created.
    #[error("can't be opened")]
    OpenFile,
    /// The file is read.
    #[error("can't be read")]
    ReadFile,
    /// A damaged end of the file is cut.
    #[error("can't be cut")]
    TruncateFile,
    /// The file's header is written.
    #[error("can't be written")]
    WriteFile,
    /// The writer's thread is started.
    #[error("no thread for it")]
    StartWriter,
}

/// The folder, open for writing.
pub struct StateFolder {
    writer: FileWriter,
    last_job: u64,
    file_bytes: usize,
}

/// What opening a folder gives.
pub struct OpenedState {
    /// For what is to be written from now on.
    pub folder: StateFolder,
    /// The records of earlier processes, in the order in which they were written.
    pub records: Vec<StateRecord>,
    /// What staff should know of the file: a damaged end that was cut.
    pub warnings: Vec<String>,
}

impl StateFolder {
    /// Opens the folder, which is made where it is missing. `on_written` is called on the writer's thread for each
    /// [`StateFolder::append`].
    ///
    /// # Errors
    ///
    /// A folder or file that can't be opened, read or written, and a file of another program or version.
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
            format!("{path}: {reason}; {cut} bytes behind the last whole record are cut")
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

    /// Queues records for the disk; the job's id is reported once they are there. `None`: too many jobs wait.
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

    /// Whether the file has grown so that it should be replaced.
    pub fn needs_compaction(&self) -> bool {
        self.file_bytes > COMPACTION_THRESHOLD_BYTES
    }

    /// Replaces the file by one of these records; where too many jobs wait it is tried with the next order.
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

/// Opens the file so that whole records are added behind whatever is there: in an upgrade two processes write.
fn open_for_appending(path: &Path) -> io::Result<File> {
    OpenOptions::new()
        .read(true)
        .append(true)
        .create(true)
        .open(path)
}

/// Prepares the file for appends behind its valid bytes; an empty one gets its header. Returns its size.
fn prepare_for_appending(file: &mut File, valid_bytes: usize) -> io::Result<usize> {
    file.seek(SeekFrom::End(0))?;
    if valid_bytes > 0 {
        return Ok(valid_bytes);
    }
    file.write_all(HEADER)?;
    file.sync_all()?;
    Ok(HEADER.len())
}

/// Passes on the ends of appends. Nobody waits for a compaction: its failure is logged.
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
                tracing::warn!("{}: not written anew: {error}", path.display());
            }
        }
        completed => on_written(completed),
    }
}
