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
pub enum RelayFault {
    /// Pieces are missing and too many wait behind the gap.
    Gap {
        /// Number of the missing piece.
        missing: u64,
    },
    /// The stream ended before its last piece.
    Cut {
        /// Number of the next piece.
        next: u64,
    },
    /// A piece has the number of an earlier one of the same attempt and other text.
    Mixed {
        /// Number of the piece.
        index: u64,
    },
}

impl fmt::Display for RelayFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gap { missing } => write!(f, "piece {missing} is missing"),
            Self::Cut { next } => write!(f, "the stream ended before piece {next}"),
            Self::Mixed { index } => write!(f, "piece {index} came twice with different text"),
        }
    }
}

impl std::error::Error for RelayFault {}

/// Pieces that may wait behind a gap.
const MAX_WAITING: usize = 64;

/// Puts the pieces of one answer in order over all attempts.
#[derive(Clone, Debug)]
pub struct PieceRelay<T> {
    next: u64,
    attempt: u64,
    waiting: BTreeMap<u64, T>,
}

impl<T> Default for PieceRelay<T> {
    fn default() -> Self {
        Self {
            next: 0,
            attempt: 0,
            waiting: BTreeMap::new(),
        }
    }
}

impl<T: PartialEq> PieceRelay<T> {
    /// Number of the next piece that the caller needs; a resumed attempt starts there.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Starts another attempt. Pieces that wait are of the earlier one and go.
    pub fn start_attempt(&mut self) -> u64 {
        self.waiting.clear();
        self.attempt += 1;
        self.attempt
    }

    /// Takes a piece of `attempt`; calls `emit` with each piece that is next.
    ///
    /// Pieces of abandoned attempts and repeats are dropped.
    ///
    /// # Errors
    /// [`RelayFault`] when the stream cannot go on.
    pub fn take(
        &mut self,
        attempt: u64,
        piece: StreamPiece<T>,
        mut emit: impl FnMut(StreamPiece<T>),
    ) -> Result<(), RelayFault> {
        if attempt != self.attempt || piece.index < self.next {
            return Ok(());
        }
        if piece.index > self.next {
            return self.keep(piece);
        }
        self.next += 1;
        emit(piece);
        while let Some(content) = self.waiting.remove(&self.next) {
            let index = self.next;
            self.next += 1;
            emit(StreamPiece { index, content });
        }
        Ok(())
    }

    fn keep(&mut self, piece: StreamPiece<T>) -> Result<(), RelayFault> {
        let index = piece.index;
        if self
            .waiting
            .get(&index)
            .is_some_and(|content| *content != piece.content)
        {
            return Err(RelayFault::Mixed { index });
        }
        self.waiting.insert(index, piece.content);
        if self.waiting.len() > MAX_WAITING {
            return Err(RelayFault::Gap { missing: self.next });
        }
        Ok(())
    }

    /// Checks the end of `attempt`, which says that the answer has `total` pieces.
    ///
    /// # Errors
    /// [`RelayFault::Cut`] when pieces are missing.
    pub fn finish(&self, attempt: u64, total: u64) -> Result<(), RelayFault> {
        if attempt == self.attempt && self.next == total && self.waiting.is_empty() {
            return Ok(());
        }
        Err(RelayFault::Cut { next: self.next })
    }
}
