//! The format of the log on disk.
//!
//! A journal is a run of frames. Each frame is a 12-byte header and a payload: the payload's
//! length, a checksum of that length, and a checksum of the payload, little-endian `u32` each.
//! The length has a checksum of its own so that a flipped bit in it is not taken for a torn tail.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::message::{HardState, LogEntry, SnapshotImage};
use super::replica::SaveBatch;

/// Bytes of a frame's header.
pub const HEADER_BYTES: usize = 12;

/// One record of a journal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum JournalRecord {
    /// A log entry; it voids all earlier entries from its index on.
    Entry(LogEntry),
    /// Term and vote.
    Hard(HardState),
    /// A snapshot that was received; it voids all earlier entries up to its index.
    Snapshot(SnapshotImage),
    /// The records of one save. They share a frame, so that a torn save leaves no whole frame
    /// behind a torn one.
    Batch(Vec<JournalRecord>),
}

/// What a journal held.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JournalContent {
    /// Newest snapshot.
    pub snapshot: SnapshotImage,
    /// Newest term and vote.
    pub hard: HardState,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<LogEntry>,
    /// Bytes up to the end of the last whole frame.
    pub valid_bytes: usize,
    /// Bytes of a torn last frame, which never was acknowledged.
    pub torn_bytes: usize,
}

/// Why a journal cannot be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JournalFault {
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
    /// A payload does not decode.
    Undecodable {
        /// Byte offset of the frame.
        offset: usize,
    },
    /// An entry does not follow the one before it.
    Gap {
        /// Byte offset of the frame.
        offset: usize,
    },
}

impl fmt::Display for JournalFault {
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

impl std::error::Error for JournalFault {}

/// Appends one frame to `out`.
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

/// The frame of one save.
pub fn encode_batch(batch: &SaveBatch) -> Vec<u8> {
    let snapshot = batch.snapshot.iter().cloned().map(JournalRecord::Snapshot);
    let entries = batch.entries.iter().cloned().map(JournalRecord::Entry);
    let hard = batch.hard_state.into_iter().map(JournalRecord::Hard);
    let records = snapshot.chain(entries).chain(hard).collect();
    let mut out = Vec::new();
    encode_record(&JournalRecord::Batch(records), &mut out);
    out
}

/// The frame of a fresh journal that holds `snapshot`, `hard` and `entries`.
pub fn encode_new_journal(
    snapshot: &SnapshotImage,
    hard: HardState,
    entries: &[LogEntry],
) -> Vec<u8> {
    encode_batch(&SaveBatch {
        snapshot: Some(snapshot.clone()),
        entries: entries.to_vec(),
        hard_state: Some(hard),
    })
}

enum FrameScan<'a> {
    Whole(&'a [u8], usize),
    Torn,
}

/// Reads a journal. A torn last frame is dropped: it was never acknowledged.
///
/// # Errors
/// [`JournalFault`] when synced content has changed; the replica must not take part then.
pub fn scan(bytes: &[u8]) -> Result<JournalContent, JournalFault> {
    let mut content = JournalContent::default();
    let mut offset = 0;
    while offset < bytes.len() {
        match next_frame(bytes, offset)? {
            FrameScan::Torn => {
                content.torn_bytes = bytes.len() - offset;
                break;
            }
            FrameScan::Whole(payload, end) => {
                let record = postcard::from_bytes(payload)
                    .map_err(|_| JournalFault::Undecodable { offset })?;
                replay(&mut content, record, offset)?;
                offset = end;
            }
        }
    }
    content.valid_bytes = offset;
    Ok(content)
}

/// Reads a journal after a loss of power, which leaves what was written after the last sync
/// whole, missing or torn. A last frame whose checksum does not match counts as torn too; one
/// with an intact frame behind it was synced once, and is a fault.
///
/// # Errors
/// [`JournalFault`] when synced content has changed; the replica must not take part then.
pub fn recover(bytes: &[u8]) -> Result<JournalContent, JournalFault> {
    let fault = match scan(bytes) {
        Ok(content) => return Ok(content),
        Err(fault) => fault,
    };
    let (JournalFault::HeaderChecksum { offset } | JournalFault::PayloadChecksum { offset }) =
        fault
    else {
        return Err(fault);
    };
    let has_intact_frame = (offset + 1..bytes.len()).any(|start| is_frame(&bytes[start..]));
    if has_intact_frame {
        return Err(fault);
    }
    let mut content = scan(&bytes[..offset])?;
    content.torn_bytes = bytes.len() - offset;
    Ok(content)
}

fn is_frame(bytes: &[u8]) -> bool {
    let has_header = bytes.len() >= HEADER_BYTES
        && crc32fast::hash(&bytes[..4]) == read_u32(bytes, 4)
        && read_u32(bytes, 0) > 0;
    has_header && matches!(next_frame(bytes, 0), Ok(FrameScan::Whole(..)))
}

fn next_frame(bytes: &[u8], offset: usize) -> Result<FrameScan<'_>, JournalFault> {
    let rest = &bytes[offset..];
    // A file that was extended and never written reads as zeros.
    if rest.len() < HEADER_BYTES || rest.iter().all(|b| *b == 0) {
        return Ok(FrameScan::Torn);
    }
    let length = read_u32(rest, 0);
    if crc32fast::hash(&length.to_le_bytes()) != read_u32(rest, 4) {
        return Err(JournalFault::HeaderChecksum { offset });
    }
    let end = HEADER_BYTES + usize::try_from(length).unwrap_or(usize::MAX - HEADER_BYTES);
    let Some(payload) = rest.get(HEADER_BYTES..end) else {
        return Ok(FrameScan::Torn);
    };
    if crc32fast::hash(payload) != read_u32(rest, 8) {
        return Err(JournalFault::PayloadChecksum { offset });
    }
    Ok(FrameScan::Whole(payload, offset + end))
}

fn read_u32(bytes: &[u8], at: usize) -> u32 {
    let mut word = [0; 4];
    word.copy_from_slice(&bytes[at..at + 4]);
    u32::from_le_bytes(word)
}

fn replay(
    content: &mut JournalContent,
    record: JournalRecord,
    offset: usize,
) -> Result<(), JournalFault> {
    match record {
        JournalRecord::Hard(hard) => content.hard = hard,
        JournalRecord::Snapshot(image) => {
            content.entries.clear();
            content.snapshot = image;
        }
        JournalRecord::Entry(entry) => push_entry(content, entry, offset)?,
        JournalRecord::Batch(records) => {
            for record in records {
                replay(content, record, offset)?;
            }
        }
    }
    Ok(())
}

fn push_entry(
    content: &mut JournalContent,
    entry: LogEntry,
    offset: usize,
) -> Result<(), JournalFault> {
    let first = content.snapshot.index + 1;
    let Some(position) = entry.index.checked_sub(first) else {
        return Ok(());
    };
    let position = usize::try_from(position).unwrap_or(usize::MAX);
    if position > content.entries.len() {
        return Err(JournalFault::Gap { offset });
    }
    content.entries.truncate(position);
    content.entries.push(entry);
    Ok(())
}
