//! Answers of the stand-in engine: the same prompt and version always give the same pieces.

use chestnutloft_core::hash::key_hash;

/// First word of a good answer.
pub const GOOD_MARK: &str = "[good]";
/// First word of a poor answer.
pub const POOR_MARK: &str = "[poor]";

/// An answer in pieces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScriptedAnswer {
    seed: u64,
    is_good: bool,
    pieces: u64,
}

/// A point between 0 and 1 that follows from `text`.
fn unit_point(text: &str) -> f64 {
    key_hash(text.as_bytes()) as f64 / u64::MAX as f64
}

impl ScriptedAnswer {
    /// The answer of `version`, whose share of good answers is `quality`, to `prompt`.
    pub fn new(version: &str, prompt: &str, quality: f64, pieces: u64) -> Self {
        let seed = key_hash(format!("{version}\u{0}{prompt}").as_bytes());
        Self {
            seed,
            is_good: unit_point(&format!("quality {seed}")) < quality,
            pieces: pieces.max(1),
        }
    }

    /// Number of pieces.
    pub fn pieces(&self) -> u64 {
        self.pieces
    }

    /// Text of piece `index`.
    pub fn piece(&self, index: u64) -> String {
        if index == 0 {
            let mark = if self.is_good { GOOD_MARK } else { POOR_MARK };
            return mark.to_owned();
        }
        format!(
            " {:04x}",
            (self.seed.rotate_left(7) ^ index.wrapping_mul(0x9e37)) & 0xffff
        )
    }

    /// The whole text.
    pub fn whole(&self) -> String {
        (0..self.pieces).map(|index| self.piece(index)).collect()
    }

    /// Confidence of the engine: high for most good answers, low for most poor ones.
    pub fn confidence(&self) -> f64 {
        let point = unit_point(&format!("confidence {}", self.seed));
        if self.is_good {
            0.6 + 0.4 * point
        } else {
            0.75 * point
        }
    }

    /// Whether the answer is good.
    pub fn is_good(&self) -> bool {
        self.is_good
    }
}
