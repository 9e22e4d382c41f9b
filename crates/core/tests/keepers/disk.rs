//! A simulated disk that loses unsynced writes in a crash and can flip bits.

use chestnutloft_core::consensus::journal::{self, JournalContent, JournalError};
use chestnutloft_core::consensus::{HardState, LogEntry, MemberConfig, SaveBatch, SnapshotImage};
use rand::Rng;

/// Disk of one replica.
#[derive(Clone, Debug, Default)]
pub struct FakeDisk {
    synced: Vec<u8>,
    unsynced: Option<Vec<u8>>,
}

impl FakeDisk {
    /// Creates a disk with a new journal whose members are `config`.
    pub fn formatted(config: &MemberConfig) -> Self {
        let first = SnapshotImage {
            config: config.clone(),
            ..SnapshotImage::default()
        };
        Self {
            synced: journal::encode_new_journal(&first, HardState::default(), &[]),
            unsynced: None,
        }
    }

    /// Starts to write a batch, which stays unsynced until [`Self::sync`].
    pub fn begin(&mut self, batch: &SaveBatch) {
        self.unsynced = Some(journal::encode_batch(batch));
    }

    /// Completes and syncs the write in progress.
    pub fn sync(&mut self) {
        if let Some(bytes) = self.unsynced.take() {
            self.synced.extend_from_slice(&bytes);
        }
    }

    /// Replaces the content with a new journal, synced.
    pub fn rotate(&mut self, image: &SnapshotImage, hard: HardState, entries: &[LogEntry]) {
        self.synced = journal::encode_new_journal(image, hard, entries);
    }

    /// Simulates a power loss, which keeps a random prefix of the unsynced bytes.
    pub fn crash(&mut self, rng: &mut impl Rng) {
        if let Some(bytes) = self.unsynced.take() {
            let kept = rng.random_range(0..=bytes.len());
            self.synced.extend_from_slice(&bytes[..kept]);
        }
    }

    /// Flips a random bit of the synced content.
    pub fn flip_bit(&mut self, rng: &mut impl Rng) {
        let byte = rng.random_range(0..self.synced.len());
        self.synced[byte] ^= 1 << rng.random_range(0..8);
    }

    /// Reads the content and truncates a torn tail.
    pub fn open(&mut self) -> Result<JournalContent, JournalError> {
        let content = journal::scan(&self.synced)?;
        self.synced.truncate(content.valid_bytes);
        Ok(content)
    }
}
