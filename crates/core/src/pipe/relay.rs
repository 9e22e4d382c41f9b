//! Sixth filter: pieces of a streamed answer, each once and in order.

use std::collections::BTreeMap;
use std::fmt;

/// A piece of a streamed answer. Endpoints number pieces from 0.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamPiece<T> {
    /// Number.
    pub index: u64,
    /// Content.
    pub content: T,
}

/// Why a stream cannot go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamError {
    /// Pieces are missing and too many wait behind the gap.
    Gap {
        /// Number of the missing piece.
        missing: u64,
    },
    /// The stream ended before its last piece.
    Truncated {
        /// Number of the next piece.
        next: u64,
    },
    /// A piece has the number of an earlier one of the same attempt and other text.
    Conflict {
        /// Number of the piece.
        index: u64,
    },
}

impl fmt::Display for StreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gap { missing } => write!(f, "piece {missing} is missing"),
            Self::Truncated { next } => write!(f, "the stream ended before piece {next}"),
            Self::Conflict { index } => write!(f, "piece {index} came twice with different text"),
        }
    }
}

impl std::error::Error for StreamError {}

/// Pieces that may wait behind a gap.
const MAX_BUFFERED: usize = 64;

/// Puts the pieces of one answer in order over all attempts.
#[derive(Clone, Debug)]
pub struct StreamReassembler<T> {
    next: u64,
    attempt: u64,
    buffered: BTreeMap<u64, T>,
}

impl<T> Default for StreamReassembler<T> {
    fn default() -> Self {
        Self {
            next: 0,
            attempt: 0,
            buffered: BTreeMap::new(),
        }
    }
}

impl<T: PartialEq> StreamReassembler<T> {
    /// Number of the next piece that the caller needs; a resumed attempt starts there.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Starts another attempt. Pieces that wait are of the earlier one and go.
    pub fn start_attempt(&mut self) -> u64 {
        self.buffered.clear();
        self.attempt += 1;
        self.attempt
    }

    /// Takes a piece of `attempt`; calls `emit` with each piece that is next.
    ///
    /// Pieces of abandoned attempts and repeats are dropped.
    ///
    /// # Errors
    /// [`StreamError`] when the stream cannot go on.
    pub fn accept(
        &mut self,
        attempt: u64,
        piece: StreamPiece<T>,
        mut emit: impl FnMut(StreamPiece<T>),
    ) -> Result<(), StreamError> {
        if attempt != self.attempt || piece.index < self.next {
            return Ok(());
        }
        if piece.index > self.next {
            return self.buffer(piece);
        }
        self.next += 1;
        emit(piece);
        while let Some(content) = self.buffered.remove(&self.next) {
            let index = self.next;
            self.next += 1;
            emit(StreamPiece { index, content });
        }
        Ok(())
    }

    fn buffer(&mut self, piece: StreamPiece<T>) -> Result<(), StreamError> {
        let index = piece.index;
        if self
            .buffered
            .get(&index)
            .is_some_and(|content| *content != piece.content)
        {
            return Err(StreamError::Conflict { index });
        }
        self.buffered.insert(index, piece.content);
        if self.buffered.len() > MAX_BUFFERED {
            return Err(StreamError::Gap { missing: self.next });
        }
        Ok(())
    }

    /// Checks the end of `attempt`, which says that the answer has `total` pieces.
    ///
    /// # Errors
    /// [`StreamError::Cut`] when pieces are missing.
    pub fn finish(&self, attempt: u64, total: u64) -> Result<(), StreamError> {
        if attempt == self.attempt && self.next == total && self.buffered.is_empty() {
            return Ok(());
        }
        Err(StreamError::Truncated { next: self.next })
    }
}
