//! Queueing model of a model engine: slots, a FIFO queue and a prefix cache with FIFO eviction.

use std::collections::{HashSet, VecDeque};

use chestnutloft_core::ids::{DomainId, EndpointId};
use chestnutloft_core::state::CacheEvent;

/// Prompt tokens in one block of the prefix cache.
pub const BLOCK_TOKENS: f64 = 64.0;

/// Service time parameters of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceTimeParams {
    /// Time to the first token without prefill, in milliseconds.
    pub base_ms: f64,
    /// Prefill time per prompt token, in milliseconds.
    pub prefill_token_ms: f64,
    /// Decode time per completion token, in milliseconds.
    pub token_ms: f64,
    /// Relative increase of all times from an empty to a full batch.
    pub contention: f64,
}

impl Default for ServiceTimeParams {
    fn default() -> Self {
        Self {
            base_ms: 25.0,
            prefill_token_ms: 0.12,
            token_ms: 12.0,
            contention: 0.6,
        }
    }
}

/// A request as an endpoint sees it.
#[derive(Clone, Debug)]
pub struct ModelRequest {
    /// Index of the request in the workload.
    pub index: usize,
    /// Hashes of the prompt's prefix cache blocks.
    pub blocks: Vec<u64>,
    /// Prompt tokens.
    pub input_tokens: u64,
    /// Completion tokens.
    pub output_tokens: u64,
}

/// Latencies of a request, in milliseconds from its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestLatency {
    /// Time to the first token.
    pub first_token_ms: f64,
    /// Time to the last token.
    pub total_ms: f64,
    /// Share of the prompt's blocks that were cached.
    pub cached_share: f64,
}

/// State of one simulated endpoint.
#[derive(Clone, Debug)]
pub struct EndpointModel {
    /// Endpoint id.
    pub id: EndpointId,
    /// Failure domain.
    pub domain: DomainId,
    /// Service time parameters.
    pub times: ServiceTimeParams,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Factor on all times; above 1 for a slow instance.
    pub slowdown: f64,
    /// Incarnation; each restart increments it.
    pub incarnation: u64,
    /// Sequence number of the newest announcement.
    pub sequence: u64,
    /// Number of running requests.
    pub running: u32,
    /// Requests that wait for a slot.
    pub queue: VecDeque<ModelRequest>,
    /// Answers left until the endpoint is warm; 0 when warm.
    pub cold_answers: u32,
    /// Concurrent requests that it can handle while cold.
    pub cold_limit: u32,
    /// Maximum number of concurrent requests while cold.
    pub max_running_cold: u32,
    /// Requests that started above `cold_limit` while cold.
    pub starts_over_cold_limit: u64,
    /// Whether it sends announcements.
    pub is_up: bool,
    cache: HashSet<u64>,
    cache_order: VecDeque<u64>,
    cache_blocks: usize,
    cache_event_sequence: u64,
    stored: Vec<u64>,
    removed: Vec<u64>,
}

impl EndpointModel {
    /// A warm endpoint.
    pub fn new(id: EndpointId, domain: DomainId, slots: u32, cache_blocks: usize) -> Self {
        Self {
            id,
            domain,
            times: ServiceTimeParams::default(),
            slots,
            slowdown: 1.0,
            incarnation: 1,
            sequence: 0,
            running: 0,
            queue: VecDeque::new(),
            cold_answers: 0,
            cold_limit: 1,
            max_running_cold: 0,
            starts_over_cold_limit: 0,
            is_up: true,
            cache: HashSet::new(),
            cache_order: VecDeque::new(),
            cache_blocks,
            cache_event_sequence: 0,
            stored: Vec::new(),
            removed: Vec::new(),
        }
    }

    /// Returns the changes of the prefix cache since the previous event.
    pub fn take_cache_event(&mut self) -> CacheEvent {
        self.cache_event_sequence += 1;
        CacheEvent {
            endpoint: self.id.clone(),
            incarnation: self.incarnation,
            sequence: self.cache_event_sequence,
            stored: std::mem::take(&mut self.stored),
            removed: std::mem::take(&mut self.removed),
        }
    }

    /// Whether the endpoint is still warming up.
    pub fn is_cold(&self) -> bool {
        self.cold_answers > 0
    }

    /// Restarts the endpoint cold, with an empty cache and no requests. It is warm after `answers`
    /// requests.
    pub fn restart_cold(&mut self, answers: u32) {
        self.incarnation += 1;
        self.sequence = 0;
        self.running = 0;
        self.queue.clear();
        self.cold_answers = answers;
        self.cold_limit = 1;
        self.cache.clear();
        self.cache_order.clear();
    }

    /// Starts a request. The caller checks that a slot is free.
    pub fn start_request(&mut self, request: &ModelRequest) -> RequestLatency {
        self.running += 1;
        if self.is_cold() {
            self.max_running_cold = self.max_running_cold.max(self.running);
            if self.running > self.cold_limit {
                self.starts_over_cold_limit += 1;
            }
        }
        let hits = request
            .blocks
            .iter()
            .take_while(|b| self.cache.contains(b))
            .count();
        self.cache_prompt(&request.blocks);
        let uncached_tokens = (request.input_tokens as f64 - hits as f64 * BLOCK_TOKENS).max(0.0);
        let factor = self.factor();
        let first_token_ms =
            (self.times.base_ms + uncached_tokens * self.times.prefill_token_ms) * factor;
        let decode_ms = request.output_tokens as f64 * self.times.token_ms * factor;
        RequestLatency {
            first_token_ms,
            total_ms: first_token_ms + decode_ms,
            cached_share: hits as f64 / request.blocks.len().max(1) as f64,
        }
    }

    /// Factor on all times from slowness, batch size and cold start.
    fn factor(&self) -> f64 {
        let contention =
            1.0 + self.times.contention * f64::from(self.running) / f64::from(self.slots);
        // Overloading a cold engine degrades it badly: times grow with the square of the excess.
        let cold = if self.is_cold() {
            let excess = f64::from(self.running.saturating_sub(self.cold_limit));
            3.0 * (1.0 + excess * excess)
        } else {
            1.0
        };
        self.slowdown * contention * cold
    }

    /// Inserts blocks into the prefix cache and evicts the oldest ones above its capacity.
    fn cache_prompt(&mut self, blocks: &[u64]) {
        for block in blocks {
            if self.cache.insert(*block) {
                self.cache_order.push_back(*block);
                self.stored.push(*block);
            }
        }
        while self.cache_order.len() > self.cache_blocks {
            if let Some(oldest) = self.cache_order.pop_front() {
                self.cache.remove(&oldest);
                self.removed.push(oldest);
            }
        }
    }

    /// Completes a request.
    pub fn complete_request(&mut self) {
        self.running = self.running.saturating_sub(1);
        if self.cold_answers > 0 {
            self.cold_answers -= 1;
            // The load that a warming engine can handle grows by one per three answers.
            self.cold_limit += u32::from(self.cold_answers.is_multiple_of(3));
        }
    }
}
