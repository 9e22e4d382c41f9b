//! The data folder of a keeper.
//!
//! One journal is in use at a time. A snapshot starts a new journal that contains the snapshot and
//! the entries after it. The new journal is written and synced under a temporary name, then renamed,
//! and only after that is the old one removed.

use std::fmt;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use chestnutloft_core::consensus::journal::{self, JournalContent, JournalError};
use chestnutloft_core::consensus::{
    HardState, LogEntry, MemberConfig, ReplicaId, SaveBatch, SnapshotImage,
};

const IDENTITY_FILE: &str = "identity.json";
const JOURNAL_PREFIX: &str = "journal-";
const JOURNAL_SUFFIX: &str = ".log";
const TEMPORARY_SUFFIX: &str = ".tmp";

/// Error of a data folder.
#[derive(Debug)]
pub enum StorageError {
    /// The folder is not formatted.
    NotFormatted(PathBuf),
    /// The folder already contains a replica.
    AlreadyFormatted(PathBuf),
    /// The folder belongs to another replica.
    ReplicaMismatch {
        /// Replica in the folder's identity file.
        found: ReplicaId,
        /// Replica in the settings.
        expected: ReplicaId,
    },
    /// A journal's synced content has changed.
    Corrupt(PathBuf, JournalError),
    /// The identity file cannot be decoded.
    InvalidIdentity(String),
    /// Reading, writing or syncing failed.
    Io(PathBuf, io::Error),
}

impl fmt::Display for StorageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotFormatted(path) => write!(
                f,
                "data folder {} is not formatted; run `init` for an initial voter or `join` for a replica to be added",
                path.display()
            ),
            Self::AlreadyFormatted(path) => {
                write!(
                    f,
                    "data folder {} already contains a replica",
                    path.display()
                )
            }
            Self::ReplicaMismatch { found, expected } => write!(
                f,
                "the data folder belongs to replica {}, the settings name replica {}",
                found.0, expected.0
            ),
            Self::Corrupt(path, error) => write!(
                f,
                "journal {} is corrupt: {error}; this replica cannot take part in consensus and must be replaced",
                path.display()
            ),
            Self::InvalidIdentity(reason) => {
                write!(f, "the identity file cannot be decoded: {reason}")
            }
            Self::Io(path, error) => write!(f, "{}: {error}", path.display()),
        }
    }
}

impl std::error::Error for StorageError {}

#[derive(Debug, Serialize, Deserialize)]
struct FolderIdentity {
    replica: ReplicaId,
}

/// The data folder of one replica, open for writing.
#[derive(Debug)]
pub struct DataFolder {
    folder: PathBuf,
    journal: File,
    journal_number: u64,
    journal_bytes: u64,
}

fn io_at(path: &Path) -> impl FnOnce(io::Error) -> StorageError {
    let path = path.to_owned();
    move |error| StorageError::Io(path, error)
}

fn sync_folder(folder: &Path) -> Result<(), StorageError> {
    let handle = File::open(folder).map_err(io_at(folder))?;
    handle.sync_all().map_err(io_at(folder))
}

fn journal_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{JOURNAL_PREFIX}{number:08}{JOURNAL_SUFFIX}"))
}

fn journal_numbers(folder: &Path) -> Result<Vec<u64>, StorageError> {
    let mut numbers = Vec::new();
    for item in std::fs::read_dir(folder).map_err(io_at(folder))? {
        let name = item.map_err(io_at(folder))?.file_name();
        let number = name
            .to_str()
            .and_then(|name| name.strip_prefix(JOURNAL_PREFIX))
            .and_then(|name| name.strip_suffix(JOURNAL_SUFFIX))
            .and_then(|digits| digits.parse::<u64>().ok());
        numbers.extend(number);
    }
    numbers.sort_unstable();
    Ok(numbers)
}

/// Writes and syncs a file under a temporary name, then renames it to `path` and syncs the folder.
fn write_synced(folder: &Path, path: &Path, content: &[u8]) -> Result<File, StorageError> {
    let temporary = path.with_extension(TEMPORARY_SUFFIX.trim_start_matches('.'));
    let mut file = File::create(&temporary).map_err(io_at(&temporary))?;
    file.write_all(content).map_err(io_at(&temporary))?;
    file.sync_all().map_err(io_at(&temporary))?;
    std::fs::rename(&temporary, path).map_err(io_at(path))?;
    sync_folder(folder)?;
    Ok(file)
}

impl DataFolder {
    /// Formats `folder` for `replica`. With an empty `config`, the replica waits to be added.
    ///
    /// # Errors
    /// [`StorageError`] if the folder is already formatted or cannot be written.
    pub fn format(
        folder: &Path,
        replica: ReplicaId,
        config: &MemberConfig,
    ) -> Result<(), StorageError> {
        std::fs::create_dir_all(folder).map_err(io_at(folder))?;
        let identity_path = folder.join(IDENTITY_FILE);
        if identity_path.exists() || !journal_numbers(folder)?.is_empty() {
            return Err(StorageError::AlreadyFormatted(folder.to_owned()));
        }
        let first = SnapshotImage {
            config: config.clone(),
            ..SnapshotImage::default()
        };
        let content = journal::encode_new_journal(&first, HardState::default(), &[]);
        write_synced(folder, &journal_path(folder, 1), &content)?;
        let identity = serde_json::to_vec(&FolderIdentity { replica }).unwrap_or_default();
        write_synced(folder, &identity_path, &identity)?;
        Ok(())
    }

    /// Number of the replica that `folder` belongs to; `None` if it is not formatted.
    ///
    /// # Errors
    /// [`StorageError`] if the identity file cannot be read.
    pub fn identity(folder: &Path) -> Result<Option<ReplicaId>, StorageError> {
        if !Self::is_formatted(folder) {
            return Ok(None);
        }
        read_identity(folder).map(Some)
    }

    /// Creates the folder if needed, and removes the journals of an interrupted formatting. Without
    /// an identity file, nothing in the folder was ever acknowledged.
    ///
    /// # Errors
    /// [`StorageError`] if the folder cannot be created or changed.
    pub fn clear_unformatted(folder: &Path) -> Result<(), StorageError> {
        std::fs::create_dir_all(folder).map_err(io_at(folder))?;
        if Self::is_formatted(folder) {
            return Ok(());
        }
        for number in journal_numbers(folder)? {
            let path = journal_path(folder, number);
            std::fs::remove_file(&path).map_err(io_at(&path))?;
        }
        Ok(())
    }

    /// Whether `folder` has an identity file, which formatting writes last.
    pub fn is_formatted(folder: &Path) -> bool {
        folder.join(IDENTITY_FILE).exists()
    }

    /// Opens a formatted folder and recovers its content. A torn write at the end is truncated, and
    /// older journals are removed.
    ///
    /// # Errors
    /// [`StorageError`] if the folder cannot be read, is corrupt or belongs to another replica. The
    /// replica must not take part in consensus then.
    pub fn open(folder: &Path, replica: ReplicaId) -> Result<(Self, JournalContent), StorageError> {
        check_identity(folder, replica)?;
        let numbers = journal_numbers(folder)?;
        let number = *numbers
            .last()
            .ok_or_else(|| StorageError::NotFormatted(folder.to_owned()))?;
        for old in numbers.iter().filter(|other| **other < number) {
            let path = journal_path(folder, *old);
            std::fs::remove_file(&path).map_err(io_at(&path))?;
        }
        let path = journal_path(folder, number);
        let mut journal = OpenOptions::new()
            .read(true)
            .append(true)
            .open(&path)
            .map_err(io_at(&path))?;
        let mut bytes = Vec::new();
        journal.read_to_end(&mut bytes).map_err(io_at(&path))?;
        let content =
            journal::recover(&bytes).map_err(|error| StorageError::Corrupt(path.clone(), error))?;
        if content.torn_bytes > 0 {
            spdlog::warn!(
                "storage: truncating {} bytes of a torn write at the end of the journal.",
                content.torn_bytes
            );
            journal
                .set_len(content.valid_bytes as u64)
                .map_err(io_at(&path))?;
            journal.sync_all().map_err(io_at(&path))?;
        }
        let opened = Self {
            folder: folder.to_owned(),
            journal,
            journal_number: number,
            journal_bytes: content.valid_bytes as u64,
        };
        Ok((opened, content))
    }

    /// Appends `batch` to the journal and syncs it.
    ///
    /// # Errors
    /// [`StorageError`] if writing or syncing failed. The content of the journal is unknown then,
    /// and a later successful sync does not prove that it is complete. The replica must stop or
    /// start a new journal with [`Self::rotate`].
    pub fn save(&mut self, batch: &SaveBatch) -> Result<(), StorageError> {
        let frame = journal::encode_batch(batch);
        let path = journal_path(&self.folder, self.journal_number);
        self.journal.write_all(&frame).map_err(io_at(&path))?;
        self.journal.sync_data().map_err(io_at(&path))?;
        self.journal_bytes += frame.len() as u64;
        Ok(())
    }

    /// Starts a new journal that contains only `snapshot`, `hard_state` and `entries`, and removes
    /// the old one.
    ///
    /// # Errors
    /// [`StorageError`] if writing or syncing the new journal or removing the old one failed.
    pub fn rotate(
        &mut self,
        snapshot: &SnapshotImage,
        hard_state: HardState,
        entries: &[LogEntry],
    ) -> Result<(), StorageError> {
        let content = journal::encode_new_journal(snapshot, hard_state, entries);
        let next = self.journal_number + 1;
        let path = journal_path(&self.folder, next);
        self.journal = write_synced(&self.folder, &path, &content)?;
        let old = journal_path(&self.folder, self.journal_number);
        self.journal_number = next;
        self.journal_bytes = content.len() as u64;
        std::fs::remove_file(&old).map_err(io_at(&old))?;
        Ok(())
    }

    /// Size of the current journal in bytes.
    pub fn journal_bytes(&self) -> u64 {
        self.journal_bytes
    }
}

fn read_identity(folder: &Path) -> Result<ReplicaId, StorageError> {
    let path = folder.join(IDENTITY_FILE);
    let text = match std::fs::read(&path) {
        Ok(text) => text,
        Err(error) if error.kind() == io::ErrorKind::NotFound => {
            return Err(StorageError::NotFormatted(folder.to_owned()));
        }
        Err(error) => return Err(StorageError::Io(path, error)),
    };
    let identity: FolderIdentity =
        serde_json::from_slice(&text).map_err(|e| StorageError::InvalidIdentity(e.to_string()))?;
    Ok(identity.replica)
}

fn check_identity(folder: &Path, expected: ReplicaId) -> Result<(), StorageError> {
    let found = read_identity(folder)?;
    if found != expected {
        return Err(StorageError::ReplicaMismatch { found, expected });
    }
    Ok(())
}
