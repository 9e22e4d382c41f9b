//! The data folder of a keeper.
//!
//! One journal is in use at a time. A snapshot starts a new journal that holds the snapshot and
//! what follows it; the new journal is complete and synced before it takes its name, and the old
//! one goes only after that.

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

/// Why a data folder cannot be used.
#[derive(Debug)]
pub enum StorageError {
    /// The folder was never formatted.
    NotFormatted(PathBuf),
    /// The folder holds the data of a replica already.
    AlreadyFormatted(PathBuf),
    /// The folder belongs to another replica.
    OtherReplica {
        /// Replica that the folder belongs to.
        found: ReplicaId,
        /// Replica of the settings.
        expected: ReplicaId,
    },
    /// Synced content has changed.
    Corrupt(PathBuf, JournalError),
    /// The identity file does not decode.
    BadIdentity(String),
    /// Reading, writing or syncing failed.
    Io(PathBuf, io::Error),
}

impl fmt::Display for StorageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotFormatted(path) => write!(
                f,
                "data folder {} is not formatted; run `init` for a first voter or `join` for a replacement",
                path.display()
            ),
            Self::AlreadyFormatted(path) => {
                write!(f, "data folder {} holds a replica already", path.display())
            }
            Self::OtherReplica { found, expected } => write!(
                f,
                "the data folder belongs to replica {}, the settings name replica {}",
                found.0, expected.0
            ),
            Self::Corrupt(path, fault) => write!(
                f,
                "{} cannot be trusted: {fault}; this replica takes no part, replace it",
                path.display()
            ),
            Self::BadIdentity(why) => write!(f, "the identity file does not decode: {why}"),
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
    number: u64,
    bytes: u64,
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

/// Writes a file under a temporary name, syncs it, and gives it its name.
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
    /// Formats `folder` for `replica`. An empty `config` makes a replica that waits to be added.
    ///
    /// # Errors
    /// [`StorageError`] when the folder is in use or cannot be written.
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

    /// Number of the replica that `folder` belongs to; `None` where it is not formatted.
    ///
    /// # Errors
    /// [`StorageError`] when the identity cannot be read.
    pub fn identity(folder: &Path) -> Result<Option<ReplicaId>, StorageError> {
        if !Self::is_formatted(folder) {
            return Ok(None);
        }
        read_identity(folder).map(Some)
    }

    /// Makes the folder, and removes what an interrupted formatting left behind: without an
    /// identity, nothing in the folder was ever acknowledged.
    ///
    /// # Errors
    /// [`StorageError`] when the folder cannot be made or changed.
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

    /// Whether `folder` is formatted.
    pub fn is_formatted(folder: &Path) -> bool {
        folder.join(IDENTITY_FILE).exists()
    }

    /// Opens a formatted folder and reads what it holds. A torn tail is cut off.
    ///
    /// # Errors
    /// [`StorageError`] when the folder cannot be trusted; the replica must not take part then.
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
            journal::recover(&bytes).map_err(|fault| StorageError::Corrupt(path.clone(), fault))?;
        if content.torn_bytes > 0 {
            spdlog::warn!("storage: cut {} bytes of a torn tail.", content.torn_bytes);
            journal
                .set_len(content.valid_bytes as u64)
                .map_err(io_at(&path))?;
            journal.sync_all().map_err(io_at(&path))?;
        }
        let opened = Self {
            folder: folder.to_owned(),
            journal,
            number,
            bytes: content.valid_bytes as u64,
        };
        Ok((opened, content))
    }

    /// Appends `batch` and syncs.
    ///
    /// # Errors
    /// [`StorageError`] when writing or syncing failed. What the disk holds is unknown then, so
    /// the replica must stop: a second sync that succeeds proves nothing.
    pub fn save(&mut self, batch: &SaveBatch) -> Result<(), StorageError> {
        let frames = journal::encode_batch(batch);
        let path = journal_path(&self.folder, self.number);
        self.journal.write_all(&frames).map_err(io_at(&path))?;
        self.journal.sync_data().map_err(io_at(&path))?;
        self.bytes += frames.len() as u64;
        Ok(())
    }

    /// Starts a new journal that holds `snapshot`, `hard` and `entries` alone.
    ///
    /// # Errors
    /// [`StorageError`] when writing or syncing failed.
    pub fn rotate(
        &mut self,
        snapshot: &SnapshotImage,
        hard: HardState,
        entries: &[LogEntry],
    ) -> Result<(), StorageError> {
        let content = journal::encode_new_journal(snapshot, hard, entries);
        let next = self.number + 1;
        let path = journal_path(&self.folder, next);
        self.journal = write_synced(&self.folder, &path, &content)?;
        let old = journal_path(&self.folder, self.number);
        self.number = next;
        self.bytes = content.len() as u64;
        std::fs::remove_file(&old).map_err(io_at(&old))?;
        Ok(())
    }

    /// Bytes of the journal in use.
    pub fn bytes(&self) -> u64 {
        self.bytes
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
        serde_json::from_slice(&text).map_err(|e| StorageError::BadIdentity(e.to_string()))?;
    Ok(identity.replica)
}

fn check_identity(folder: &Path, expected: ReplicaId) -> Result<(), StorageError> {
    let found = read_identity(folder)?;
    if found != expected {
        return Err(StorageError::OtherReplica { found, expected });
    }
    Ok(())
}
