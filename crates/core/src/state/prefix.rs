//! Index of the prompt prefixes that endpoints hold in their KV caches.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::hash::key_hash;
use crate::ids::EndpointId;

/// Block size and bounds of the prefix index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefixSettings {
    /// Size of a block of prompt text, in bytes.
    pub block_bytes: usize,
    /// Maximum number of leading blocks of a prompt that are indexed.
    pub max_blocks: usize,
    /// Maximum number of blocks in the index.
    pub capacity: usize,
    /// Maximum number of endpoints recorded for a block.
    pub max_holders: usize,
    /// Maximum number of gaps in an endpoint's event sequence since a block was recorded; beyond
    /// it the block no longer counts as cached. One event covers only few blocks, so a block
    /// survives several gaps.
    pub max_gaps: u32,
}

impl Default for PrefixSettings {
    fn default() -> Self {
        Self {
            block_bytes: 256,
            max_blocks: 64,
            capacity: 65_536,
            max_holders: 4,
            max_gaps: 12,
        }
    }
}

/// Number of gaps that a restart of the endpoint counts for: more than any [`max_gaps`] allows, so
/// that all blocks become invalid.
///
/// [`max_gaps`]: PrefixSettings::max_gaps
const RESTART_GAPS: u32 = 1_000_000;

/// Change of an endpoint's prefix cache, as reported by the endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Incarnation of the endpoint.
    pub incarnation: u64,
    /// Sequence number of the event within that incarnation; the endpoint skips none.
    pub sequence: u64,
    /// Hashes of blocks added to the cache.
    pub stored: Vec<u64>,
    /// Hashes of blocks removed from the cache.
    pub removed: Vec<u64>,
}

/// Hashes of the leading blocks of `prompt`. Each hash also covers all preceding blocks.
pub fn block_hashes(prompt: &[u8], settings: &PrefixSettings) -> Vec<u64> {
    let mut chain = 0_u64;
    prompt
        .chunks_exact(settings.block_bytes)
        .take(settings.max_blocks)
        .map(|block| {
            chain = key_hash(&[chain.to_le_bytes(), key_hash(block).to_le_bytes()].concat());
            chain
        })
        .collect()
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct EventCursor {
    incarnation: u64,
    sequence: u64,
    /// Gaps in the event sequence so far, over all incarnations; a restart counts for
    /// [`RESTART_GAPS`].
    gaps: u32,
}

#[derive(Clone, Debug)]
struct BlockHolder {
    endpoint: EndpointId,
    /// The endpoint's number of gaps when the block was recorded.
    gaps: u32,
}

/// Index of the endpoints that hold each block.
///
/// The index may be out of date. It only affects which endpoint is chosen: a block that is not in
/// the cache after all costs time and leaves the answer correct.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    settings: PrefixSettings,
    blocks: HashMap<u64, Vec<BlockHolder>>,
    /// Blocks in the order in which they were added; the oldest is evicted first.
    insertion_order: VecDeque<u64>,
    cursors: HashMap<EndpointId, EventCursor>,
}

impl PrefixIndex {
    /// Creates an empty index.
    pub fn new(settings: PrefixSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// The settings that the index was created with.
    pub fn settings(&self) -> &PrefixSettings {
        &self.settings
    }

    /// Records that `endpoint` was sent a prompt with these blocks, which it therefore caches.
    pub fn record_prompt(&mut self, endpoint: &EndpointId, blocks: &[u64]) {
        let gaps = self.gaps(endpoint);
        for block in blocks {
            self.store(*block, endpoint, gaps);
        }
    }

    fn gaps(&self, endpoint: &EndpointId) -> u32 {
        self.cursors.get(endpoint).map_or(0, |c| c.gaps)
    }

    fn store(&mut self, block: u64, endpoint: &EndpointId, gaps: u32) {
        let holders = self.blocks.entry(block).or_insert_with(|| {
            self.insertion_order.push_back(block);
            Vec::new()
        });
        holders.retain(|holder| holder.endpoint != *endpoint);
        holders.push(BlockHolder {
            endpoint: endpoint.clone(),
            gaps,
        });
        if holders.len() > self.settings.max_holders {
            holders.remove(0);
        }
        if self.insertion_order.len() > self.settings.capacity
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.blocks.remove(&oldest);
        }
    }

    /// Applies a cache event. Returns whether the event was new.
    ///
    /// Each gap in the sequence numbers brings the blocks recorded for the endpoint closer to
    /// [`PrefixSettings::max_gaps`], and a restart invalidates them.
    pub fn apply_event(&mut self, event: &CacheEvent) -> bool {
        let cursor = self.cursors.entry(event.endpoint.clone()).or_default();
        let position = (event.incarnation, event.sequence);
        if position <= (cursor.incarnation, cursor.sequence) {
            return false;
        }
        let is_next =
            cursor.incarnation == event.incarnation && cursor.sequence + 1 == event.sequence;
        if event.incarnation > cursor.incarnation {
            cursor.gaps += RESTART_GAPS;
        } else if !is_next {
            cursor.gaps += 1;
        }
        cursor.incarnation = event.incarnation;
        cursor.sequence = event.sequence;
        let gaps = cursor.gaps;
        for block in &event.removed {
            if let Some(holders) = self.blocks.get_mut(block) {
                holders.retain(|holder| holder.endpoint != event.endpoint);
            }
        }
        for block in &event.stored {
            self.store(*block, &event.endpoint, gaps);
        }
        true
    }

    /// Number of leading blocks that each endpoint holds, for endpoints that hold at least one.
    pub fn hits(&self, blocks: &[u64]) -> HashMap<EndpointId, u32> {
        let mut hits: HashMap<EndpointId, u32> = HashMap::new();
        for (depth, block) in (0_u32..).zip(blocks) {
            let Some(holders) = self.blocks.get(block) else {
                break;
            };
            for holder in holders {
                let gaps_since = self.gaps(&holder.endpoint) - holder.gaps;
                let is_trusted = gaps_since <= self.settings.max_gaps;
                let matched = hits.get(&holder.endpoint).copied().unwrap_or_default();
                if is_trusted && matched == depth {
                    hits.insert(holder.endpoint.clone(), depth + 1);
                }
            }
        }
        hits
    }

    /// Invalidates all blocks recorded for an endpoint.
    pub fn forget(&mut self, endpoint: &EndpointId) {
        if let Some(cursor) = self.cursors.get_mut(endpoint) {
            cursor.gaps += RESTART_GAPS;
        }
    }

    /// Number of blocks in the index.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether the index holds no blocks.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }
}
