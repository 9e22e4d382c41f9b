//! On-disk format of the log.
//!
//! A journal is a sequence of frames. Each frame is a 12-byte header and a payload. The header
//! holds the payload's length, the CRC-32 of that length and the CRC-32 of the payload, each as a
//! little-endian `u32`. The length has its own checksum so that a flipped bit in it is not mistaken
//! for a torn write at the end of the file.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::message::{HardState, LogEntry, SnapshotImage};
use super::replica::SaveBatch;

/// Size of a frame header.
pub const HEADER_BYTES: usize = 12;

/// A record in a journal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum JournalRecord {
    /// A log entry; it replaces all earlier entries from its index on.
    Entry(LogEntry),
    /// Term and vote.
    Hard(HardState),
    /// A snapshot received from the leader; it replaces all earlier entries.
    Snapshot(SnapshotImage),
    /// The records of one save. They share a frame so that an interrupted save cannot leave a
    /// complete frame after a torn one.
    Batch(Vec<JournalRecord>),
}

/// Contents of a journal.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JournalContent {
    /// Last snapshot.
    pub snapshot: SnapshotImage,
    /// Last term and vote.
    pub hard_state: HardState,
    /// Entries after the snapshot, with consecutive indexes.
    pub entries: Vec<LogEntry>,
    /// Offset of the end of the last complete frame.
    pub valid_bytes: usize,
    /// Size of a torn last frame, which was never acknowledged.
    pub torn_bytes: usize,
}

/// Corruption found in a journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JournalError {
    /// The checksum of a header does not match.
    HeaderChecksum {
        /// Byte offset of the frame.
        offset: usize,
    },
    /// The checksum of a payload does not match.
    PayloadChecksum {
        /// Byte offset of the frame.
        offset: usize,
    },
    /// A payload cannot be decoded.
    Undecodable {
        /// Byte offset of the frame.
        offset: usize,
    },
    /// An entry leaves a gap after the one before it.
    Gap {
        /// Byte offset of the frame.
        offset: usize,
    },
}

impl fmt::Display for JournalError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::HeaderChecksum { offset } => {
                write!(f, "header checksum does not match at byte {offset}")
            }
            Self::PayloadChecksum { offset } => {
                write!(f, "payload checksum does not match at byte {offset}")
            }
            Self::Undecodable { offset } => write!(f, "record does not decode at byte {offset}"),
            Self::Gap { offset } => {
                write!(f, "entry does not follow its predecessor at byte {offset}")
            }
        }
    }
}

impl std::error::Error for JournalError {}

/// Appends `record` to `out` as a frame.
pub fn encode_record(record: &JournalRecord, out: &mut Vec<u8>) {
    let payload = postcard::to_stdvec(record).unwrap_or_default();
    let length = u32::try_from(payload.len())
        .unwrap_or(u32::MAX)
        .to_le_bytes();
    out.extend_from_slice(&length);
    out.extend_from_slice(&crc32fast::hash(&length).to_le_bytes());
    out.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    out.extend_from_slice(&payload);
}

/// Encodes a save as one frame.
pub fn encode_batch(batch: &SaveBatch) -> Vec<u8> {
    let snapshot = batch.snapshot.iter().cloned().map(JournalRecord::Snapshot);
    let entries = batch.entries.iter().cloned().map(JournalRecord::Entry);
    let hard_state = batch.hard_state.into_iter().map(JournalRecord::Hard);
    let records = snapshot.chain(entries).chain(hard_state).collect();
    let mut out = Vec::new();
    encode_record(&JournalRecord::Batch(records), &mut out);
    out
}

/// Encodes the only frame of a new journal.
pub fn encode_new_journal(
    snapshot: &SnapshotImage,
    hard_state: HardState,
    entries: &[LogEntry],
) -> Vec<u8> {
    encode_batch(&SaveBatch {
        snapshot: Some(snapshot.clone()),
        entries: entries.to_vec(),
        hard_state: Some(hard_state),
    })
}

enum FrameScan<'a> {
    /// Payload, and the offset of the next frame.
    Complete(&'a [u8], usize),
    Torn,
}

/// Decodes a journal and ignores a torn last frame, which was never acknowledged.
///
/// # Errors
/// [`JournalError`] if synced content has changed. The replica must not take part in consensus
/// then.
pub fn scan(bytes: &[u8]) -> Result<JournalContent, JournalError> {
    let mut content = JournalContent::default();
    let mut offset = 0;
    while offset < bytes.len() {
        match next_frame(bytes, offset)? {
            FrameScan::Torn => {
                content.torn_bytes = bytes.len() - offset;
                break;
            }
            FrameScan::Complete(payload, end) => {
                let record = postcard::from_bytes(payload)
                    .map_err(|_| JournalError::Undecodable { offset })?;
                apply_record(&mut content, record, offset)?;
                offset = end;
            }
        }
    }
    content.valid_bytes = offset;
    Ok(content)
}

/// Decodes a journal after a possible power loss, which leaves the bytes written since the last
/// sync complete, missing or torn. A last frame whose checksum does not match therefore counts as
/// torn as well. A bad frame that is followed by an intact one had been synced, and is corruption.
///
/// # Errors
/// [`JournalError`] if synced content has changed. The replica must not take part in consensus
/// then.
pub fn recover(bytes: &[u8]) -> Result<JournalContent, JournalError> {
    let error = match scan(bytes) {
        Ok(content) => return Ok(content),
        Err(error) => error,
    };
    let (JournalError::HeaderChecksum { offset } | JournalError::PayloadChecksum { offset }) =
        error
    else {
        return Err(error);
    };
    let has_intact_frame =
        (offset + 1..bytes.len()).any(|start| starts_with_intact_frame(&bytes[start..]));
    if has_intact_frame {
        return Err(error);
    }
    let mut content = scan(&bytes[..offset])?;
    content.torn_bytes = bytes.len() - offset;
    Ok(content)
}

fn starts_with_intact_frame(bytes: &[u8]) -> bool {
    let has_header = bytes.len() >= HEADER_BYTES
        && crc32fast::hash(&bytes[..4]) == read_u32(bytes, 4)
        && read_u32(bytes, 0) > 0;
    has_header && matches!(next_frame(bytes, 0), Ok(FrameScan::Complete(..)))
}

fn next_frame(bytes: &[u8], offset: usize) -> Result<FrameScan<'_>, JournalError> {
    let rest = &bytes[offset..];
    // A file that was extended but never written reads as zeros.
    if rest.len() < HEADER_BYTES || rest.iter().all(|b| *b == 0) {
        return Ok(FrameScan::Torn);
    }
    let length = read_u32(rest, 0);
    if crc32fast::hash(&length.to_le_bytes()) != read_u32(rest, 4) {
        return Err(JournalError::HeaderChecksum { offset });
    }
    let end = HEADER_BYTES + usize::try_from(length).unwrap_or(usize::MAX - HEADER_BYTES);
    let Some(payload) = rest.get(HEADER_BYTES..end) else {
        return Ok(FrameScan::Torn);
    };
    if crc32fast::hash(payload) != read_u32(rest, 8) {
        return Err(JournalError::PayloadChecksum { offset });
    }
    Ok(FrameScan::Complete(payload, offset + end))
}

fn read_u32(bytes: &[u8], at: usize) -> u32 {
    let mut word = [0; 4];
    word.copy_from_slice(&bytes[at..at + 4]);
    u32::from_le_bytes(word)
}

fn apply_record(
    content: &mut JournalContent,
    record: JournalRecord,
    offset: usize,
) -> Result<(), JournalError> {
    match record {
        JournalRecord::Hard(hard_state) => content.hard_state = hard_state,
        JournalRecord::Snapshot(image) => {
            content.entries.clear();
            content.snapshot = image;
        }
        JournalRecord::Entry(entry) => push_entry(content, entry, offset)?,
        JournalRecord::Batch(records) => {
            for record in records {
                apply_record(content, record, offset)?;
            }
        }
    }
    Ok(())
}

fn push_entry(
    content: &mut JournalContent,
    entry: LogEntry,
    offset: usize,
) -> Result<(), JournalError> {
    let first = content.snapshot.index + 1;
    let Some(position) = entry.index.checked_sub(first) else {
        return Ok(());
    };
    let position = usize::try_from(position).unwrap_or(usize::MAX);
    if position > content.entries.len() {
        return Err(JournalError::Gap { offset });
    }
    content.entries.truncate(position);
    content.entries.push(entry);
    Ok(())
}
