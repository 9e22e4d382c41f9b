//! A disk that loses what was not synced, and worse on request.

use chestnutloft_core::consensus::journal::{self, JournalContent, JournalError};
use chestnutloft_core::consensus::{HardState, LogEntry, MemberConfig, SaveBatch, SnapshotImage};
use rand::Rng;

/// The disk of one replica.
#[derive(Clone, Debug, Default)]
pub struct FakeDisk {
    synced: Vec<u8>,
    under_way: Option<Vec<u8>>,
}

impl FakeDisk {
    /// A disk formatted for `config`.
    pub fn formatted(config: &MemberConfig) -> Self {
        let first = SnapshotImage {
            config: config.clone(),
            ..SnapshotImage::default()
        };
        Self {
            synced: journal::encode_new_journal(&first, HardState::default(), &[]),
            under_way: None,
        }
    }

    /// Begins to write a batch.
    pub fn begin(&mut self, batch: &SaveBatch) {
        self.under_way = Some(journal::encode_batch(batch));
    }

    /// Ends the write with a sync.
    pub fn sync(&mut self) {
        if let Some(bytes) = self.under_way.take() {
            self.synced.extend_from_slice(&bytes);
        }
    }

    /// Replaces the content, as a rotation of journals does.
    pub fn rotate(&mut self, image: &SnapshotImage, hard: HardState, entries: &[LogEntry]) {
        self.synced = journal::encode_new_journal(image, hard, entries);
    }

    /// Power is lost: of what was not synced, a part at random stays.
    pub fn crash(&mut self, rng: &mut impl Rng) {
        if let Some(bytes) = self.under_way.take() {
            let kept = rng.random_range(0..=bytes.len());
            self.synced.extend_from_slice(&bytes[..kept]);
        }
    }

    /// One bit of synced content flips.
    pub fn rot(&mut self, rng: &mut impl Rng) {
        let byte = rng.random_range(0..self.synced.len());
        self.synced[byte] ^= 1 << rng.random_range(0..8);
    }

    /// Reads the content, cutting a torn tail.
    pub fn open(&mut self) -> Result<JournalContent, JournalError> {
        let content = journal::scan(&self.synced)?;
        self.synced.truncate(content.valid_bytes);
        Ok(content)
    }
}
