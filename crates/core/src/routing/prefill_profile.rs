//! Time to process prompts, by model and length, as measured by all entries together.
//!
//! Addresses prompts of very unlike length: attention makes the time per token grow with the length,
//! and one entry of many sees a long prompt to a large model about once in half a minute. An entry
//! that has just started uses the means of the others.

use std::time::Duration;

use crate::hash::key_hash;

use super::endpoint_pace::{SpeedMeans, SpeedSample};
use super::load_aggregation::EndpointHash;

/// Fixed cost of a call, in equivalent prompt tokens.
const FIXED_COST_TOKENS: f64 = 400.0;
/// Time per token to which measurements are compared, in milliseconds.
const REFERENCE_MS_PER_TOKEN: f64 = 0.02;
/// Prompts up to this length form the first length class. Each further class is twice as long.
const FIRST_CLASS_TOKENS: f64 = 2_048.0;
/// Number of length classes. The longest prompts have 64,000 tokens and more.
const LENGTH_CLASSES: u32 = 6;
/// Measurements of a class from which its mean is used.
const MIN_COUNT: f64 = 3.0;
/// Largest factor by which a measurement may differ from the mean. Some include waiting, others cached
/// tokens that the entry did not know of.
const MAX_DEVIATION: f64 = 1.5;

/// Prompts of similar length for one model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PromptClass {
    model_hash: u64,
    length: u32,
}

impl PromptClass {
    fn new(model_hash: u64, tokens: f64) -> Self {
        let doublings = (tokens / FIRST_CLASS_TOKENS).max(1.0).log2();
        Self {
            model_hash,
            length: (doublings.ceil() as u32).min(LENGTH_CLASSES - 1),
        }
    }

    /// Key under which the class is reported.
    fn key(self) -> EndpointHash {
        let mut bytes = [0; 12];
        bytes[..8].copy_from_slice(&self.model_hash.to_le_bytes());
        bytes[8..].copy_from_slice(&self.length.to_le_bytes());
        key_hash(&bytes) as EndpointHash
    }
}

/// Mean times of all entries.
#[derive(Clone, Debug, Default)]
pub struct PrefillProfile {
    means: SpeedMeans,
}

impl PrefillProfile {
    /// Replaces the means that `means` contains.
    pub fn set(&mut self, means: &[SpeedSample]) {
        self.means.set(means);
    }

    /// Time to process `tokens` tokens, in milliseconds; `None` before it was measured. A length that
    /// was not measured takes at least the time per token of the next shorter one that was.
    pub fn prefill_ms(&self, model_hash: u64, tokens: f64) -> Option<f64> {
        let class = PromptClass::new(model_hash, tokens);
        let shorter = (0..=class.length).rev();
        let lengths = shorter.chain(class.length + 1..LENGTH_CLASSES);
        let mut ratios = lengths.filter_map(|length| {
            let class = PromptClass { length, ..class };
            self.means.ratio(class.key(), MIN_COUNT)
        });
        Some(reference_ms(tokens) * ratios.next()?)
    }

    /// The measurement for the other entries that the answer to a call with `tokens` tokens, which did
    /// not wait, began after `took`.
    pub fn sample(&self, model_hash: u64, tokens: f64, took: Duration) -> SpeedSample {
        let key = PromptClass::new(model_hash, tokens).key();
        let reference_ms = reference_ms(tokens);
        let measured_ms = (took.as_secs_f64() * 1_000.0).max(1.0);
        let mut ratio = measured_ms / reference_ms;
        if let Some(mean) = self.means.ratio(key, MIN_COUNT) {
            ratio = ratio.clamp(mean / MAX_DEVIATION, mean * MAX_DEVIATION);
        }
        SpeedSample::new(key, ratio.ln())
    }
}

fn reference_ms(tokens: f64) -> f64 {
    (tokens + FIXED_COST_TOKENS) * REFERENCE_MS_PER_TOKEN
}
