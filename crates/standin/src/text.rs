//! Deterministic answers of the stand-in engine: the same version and prompt always give the same
//! pieces.

use chestnutloft_core::hash::key_hash;

/// First piece of a good answer.
pub const GOOD_MARKER: &str = "[good]";
/// First piece of a poor answer.
pub const POOR_MARKER: &str = "[poor]";

/// An answer that is generated piece by piece from a seed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScriptedAnswer {
    seed: u64,
    is_good: bool,
    pieces: u64,
}

/// Hashes `text` to a uniformly distributed value in [0, 1].
fn unit_hash(text: &str) -> f64 {
    key_hash(text.as_bytes()) as f64 / u64::MAX as f64
}

impl ScriptedAnswer {
    /// The answer of `version` to `prompt`. A share `quality` of all prompts gets a good answer;
    /// `pieces` is raised to at least 1.
    pub fn new(version: &str, prompt: &str, quality: f64, pieces: u64) -> Self {
        let seed = key_hash(format!("{version}\u{0}{prompt}").as_bytes());
        Self {
            seed,
            is_good: unit_hash(&format!("quality {seed}")) < quality,
            pieces: pieces.max(1),
        }
    }

    /// Number of pieces, at least 1.
    pub fn pieces(&self) -> u64 {
        self.pieces
    }

    /// Text of piece `index`, counted from 0; the first one is the quality marker.
    pub fn piece(&self, index: u64) -> String {
        if index == 0 {
            let marker = if self.is_good {
                GOOD_MARKER
            } else {
                POOR_MARKER
            };
            return marker.to_owned();
        }
        format!(
            " {:04x}",
            (self.seed.rotate_left(7) ^ index.wrapping_mul(0x9e37)) & 0xffff
        )
    }

    /// All pieces, concatenated.
    pub fn full_text(&self) -> String {
        (0..self.pieces).map(|index| self.piece(index)).collect()
    }

    /// Confidence that the engine reports: 0.6 to 1 for good answers, 0 to 0.75 for poor ones.
    pub fn confidence(&self) -> f64 {
        let sample = unit_hash(&format!("confidence {}", self.seed));
        if self.is_good {
            0.6 + 0.4 * sample
        } else {
            0.75 * sample
        }
    }

    /// Whether the answer counts as good.
    pub fn is_good(&self) -> bool {
        self.is_good
    }
}
