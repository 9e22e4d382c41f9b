//! Which endpoints hold which prompt prefixes in their cache.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::hash::key_hash;
use crate::ids::EndpointId;

/// Granularity and bounds of the prefix index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefixSettings {
    /// Bytes of prompt text in a block.
    pub block_bytes: usize,
    /// Blocks of a prompt that are looked at.
    pub max_blocks: usize,
    /// Blocks that the index remembers.
    pub capacity: usize,
    /// Endpoints remembered for a block.
    pub max_holders: usize,
    /// Missed events after which what was known of an endpoint before is not believed. One event
    /// tells of few blocks, so a block outlives several gaps.
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

/// Gaps that a new life counts for: more than any setting forgives.
const NEW_LIFE: u32 = 1_000_000;

/// What an endpoint reports about its prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its life.
    pub incarnation: u64,
    /// Number of the event within that life, without gaps at the source.
    pub sequence: u64,
    /// Blocks that it holds now.
    pub stored: Vec<u64>,
    /// Blocks that it dropped.
    pub removed: Vec<u64>,
}

/// Hashes of the blocks of `prompt`: each covers all text before it too.
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
    /// Events missed in this and earlier lives; a new life counts for many.
    generation: u32,
}

#[derive(Clone, Debug)]
struct BlockHolder {
    endpoint: EndpointId,
    generation: u32,
}

/// Index of prefixes. It may be wrong about a cache and never about an answer: a miss costs time.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    settings: PrefixSettings,
    blocks: HashMap<u64, Vec<BlockHolder>>,
    age: VecDeque<u64>,
    cursors: HashMap<EndpointId, EventCursor>,
}

impl PrefixIndex {
    /// An empty index.
    pub fn new(settings: PrefixSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Settings of the index.
    pub fn settings(&self) -> &PrefixSettings {
        &self.settings
    }

    /// Notes that `endpoint` was sent a prompt with these blocks.
    pub fn record_prompt(&mut self, endpoint: &EndpointId, blocks: &[u64]) {
        let generation = self.generation(endpoint);
        for block in blocks {
            self.store(*block, endpoint, generation);
        }
    }

    fn generation(&self, endpoint: &EndpointId) -> u32 {
        self.cursors.get(endpoint).map_or(0, |c| c.generation)
    }

    fn store(&mut self, block: u64, endpoint: &EndpointId, generation: u32) {
        let holders = self.blocks.entry(block).or_insert_with(|| {
            self.age.push_back(block);
            Vec::new()
        });
        holders.retain(|holder| holder.endpoint != *endpoint);
        holders.push(BlockHolder {
            endpoint: endpoint.clone(),
            generation,
        });
        if holders.len() > self.settings.max_holders {
            holders.remove(0);
        }
        if self.age.len() > self.settings.capacity
            && let Some(oldest) = self.age.pop_front()
        {
            self.blocks.remove(&oldest);
        }
    }
    /// Takes a cache event. Each gap in the numbers ages what was known of the endpoint, and a new
    /// life voids it. Returns whether the event was new.
    pub fn apply_event(&mut self, event: &CacheEvent) -> bool {
        let cursor = self.cursors.entry(event.endpoint.clone()).or_default();
        let position = (event.incarnation, event.sequence);
        if position <= (cursor.incarnation, cursor.sequence) {
            return false;
        }
        let is_next =
            cursor.incarnation == event.incarnation && cursor.sequence + 1 == event.sequence;
        if event.incarnation > cursor.incarnation {
            cursor.generation += NEW_LIFE;
        } else if !is_next {
            cursor.generation += 1;
        }
        cursor.incarnation = event.incarnation;
        cursor.sequence = event.sequence;
        let generation = cursor.generation;
        for block in &event.removed {
            if let Some(holders) = self.blocks.get_mut(block) {
                holders.retain(|holder| holder.endpoint != event.endpoint);
            }
        }
        for block in &event.stored {
            self.store(*block, &event.endpoint, generation);
        }
        true
    }

    /// Number of leading blocks that each endpoint holds, for endpoints that hold any.
    pub fn hits(&self, blocks: &[u64]) -> HashMap<EndpointId, u32> {
        let mut hits: HashMap<EndpointId, u32> = HashMap::new();
        for (depth, block) in (0_u32..).zip(blocks) {
            let Some(holders) = self.blocks.get(block) else {
                break;
            };
            for holder in holders {
                let missed = self.generation(&holder.endpoint) - holder.generation;
                let is_trusted = missed <= self.settings.max_gaps;
                let reached = hits.get(&holder.endpoint).copied().unwrap_or_default();
                if is_trusted && reached == depth {
                    hits.insert(holder.endpoint.clone(), depth + 1);
                }
            }
        }
        hits
    }

    /// Forgets an endpoint.
    pub fn forget(&mut self, endpoint: &EndpointId) {
        if let Some(cursor) = self.cursors.get_mut(endpoint) {
            cursor.generation += NEW_LIFE;
        }
    }

    /// Number of blocks.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }
}
