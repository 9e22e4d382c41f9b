//! Sixth stage: reassembles a streamed answer, so that the caller gets each piece once and in
//! order.

use std::collections::BTreeMap;
use std::fmt;

/// A piece of a streamed answer. Endpoints number the pieces of an answer from 0.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamPiece<T> {
    /// Index within the answer.
    pub index: u64,
    /// Content.
    pub content: T,
}

/// Why a stream cannot continue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamError {
    /// A piece is missing and the buffer for later pieces is full.
    Gap {
        /// Index of the missing piece.
        missing: u64,
    },
    /// The stream ended before its last piece.
    Truncated {
        /// Index of the next expected piece.
        next: u64,
    },
    /// Two pieces of the same attempt have the same index but different content.
    Conflict {
        /// Index of the pieces.
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

/// Maximum number of buffered pieces that arrived ahead of a missing one.
const MAX_BUFFERED: usize = 64;

/// Reassembles the pieces of one answer across several attempts.
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
    /// Index of the next piece that the caller needs. A resumed attempt starts there.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Starts a new attempt, discards the buffered pieces of the previous one, and returns the
    /// number of the attempt.
    pub fn start_attempt(&mut self) -> u64 {
        self.buffered.clear();
        self.attempt += 1;
        self.attempt
    }

    /// Accepts a piece of `attempt` and calls `emit` with each piece that is now in order.
    ///
    /// Duplicates and pieces of abandoned attempts are discarded.
    ///
    /// # Errors
    /// [`StreamError`] if the stream cannot continue.
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

    /// Checks that the answer is complete at the end of `attempt`, which reports `total` pieces.
    ///
    /// # Errors
    /// [`StreamError::Truncated`] if pieces are missing.
    pub fn finish(&self, attempt: u64, total: u64) -> Result<(), StreamError> {
        if attempt == self.attempt && self.next == total && self.buffered.is_empty() {
            return Ok(());
        }
        Err(StreamError::Truncated { next: self.next })
    }
}
