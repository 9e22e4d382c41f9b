//! Memory that streams take between endpoints and callers, and which calls are ended when it is short.
//! Addresses loads where callers read more slowly than endpoints send.

use std::collections::HashMap;
use std::time::Duration;

use crate::time::TimePoint;

use super::body_memory::{BodyMemory, BodyPool};

/// Share of the pools for responses that streams may take. The rest stays free for responses that
/// are not streams.
const RELAY_SHARE: f64 = 0.75;
/// Number of calls that may share the memory for streams evenly at their limits. Enough that a
/// few callers which stop reading don't end others, and few enough that a pause of one caller doesn't
/// reach its endpoint.
const CALLS_AT_LIMIT: usize = 4;
/// Time after which a caller that has not read everything counts as slow. A caller that reads takes
/// an event within a round trip.
const MIN_UNREAD_TIME: Duration = Duration::from_millis(500);
/// Time constant of the mean rate at which a caller reads. Covers the lumps of some KB in which a
/// slow connection takes bytes.
const RATE_TIME_S: f64 = 5.0;

/// Number of a call among those that the process relays.
pub type RelayNumber = u64;

/// What one call holds.
#[derive(Clone, Copy, Debug, Default)]
struct RelayUsage {
    held_bytes: usize,
    /// Since when the caller has not read everything.
    unread_since: TimePoint,
    /// Mean rate at which the caller reads, as of `read_at`.
    bytes_per_s: f64,
    read_at: TimePoint,
    is_closed: bool,
}

impl RelayUsage {
    fn rate(&self, now: TimePoint) -> f64 {
        let age_s = now.since(self.read_at).as_secs_f64();
        self.bytes_per_s * (-age_s / RATE_TIME_S).exp()
    }

    /// Time in seconds that the caller takes for what is held; infinite if it has read nothing.
    fn drain_time_s(&self, now: TimePoint) -> f64 {
        self.held_bytes as f64 / self.rate(now)
    }
}

/// What the streams of a process hold.
#[derive(Clone, Debug)]
pub struct RelayMemory {
    call_limit: usize,
    limits: [usize; 2],
    calls: HashMap<RelayNumber, RelayUsage>,
    held_bytes: usize,
    next_number: RelayNumber,
}

/// Pools that streams take memory from, in this order.
pub const RELAY_POOLS: [BodyPool; 2] = [BodyPool::LargeResponses, BodyPool::SmallResponses];

impl RelayMemory {
    /// Memory of the streams of a process whose bodies share `memory`.
    pub fn new(memory: BodyMemory) -> Self {
        let limits = RELAY_POOLS.map(|pool| (memory.size(pool) as f64 * RELAY_SHARE) as usize);
        Self {
            call_limit: limits.iter().sum::<usize>() / CALLS_AT_LIMIT,
            limits,
            calls: HashMap::new(),
            held_bytes: 0,
            next_number: 0,
        }
    }

    /// Bytes that all calls hold.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Bytes that all calls may take from each of [`RELAY_POOLS`].
    pub fn limits(&self) -> [usize; 2] {
        self.limits
    }

    /// Adds a call that holds nothing yet.
    pub fn open(&mut self) -> RelayNumber {
        self.next_number += 1;
        let usage = RelayUsage::default();
        self.calls.insert(self.next_number, usage);
        self.next_number
    }

    /// Records that `bytes` have arrived for the caller.
    pub fn hold(&mut self, now: TimePoint, number: RelayNumber, bytes: usize) {
        let Some(usage) = self.calls.get_mut(&number) else {
            return;
        };
        if usage.held_bytes == 0 {
            usage.unread_since = now;
        }
        usage.held_bytes += bytes;
        self.held_bytes += bytes;
    }

    /// Records that the caller has read `bytes`.
    pub fn release(&mut self, now: TimePoint, number: RelayNumber, bytes: usize) {
        let Some(usage) = self.calls.get_mut(&number) else {
            return;
        };
        usage.bytes_per_s = usage.rate(now) + bytes as f64 / RATE_TIME_S;
        usage.read_at = now;
        let released = bytes.min(usage.held_bytes);
        usage.held_bytes -= released;
        self.held_bytes -= released;
        if usage.is_closed && usage.held_bytes == 0 {
            self.calls.remove(&number);
        }
    }

    /// Forgets a call once it holds nothing: no more bytes arrive for it.
    pub fn close(&mut self, number: RelayNumber) {
        let Some(usage) = self.calls.get_mut(&number) else {
            return;
        };
        usage.is_closed = true;
        if usage.held_bytes == 0 {
            self.calls.remove(&number);
        }
    }

    /// Forgets a call and all that it holds; returns how many bytes it held.
    pub fn remove(&mut self, number: RelayNumber) -> usize {
        let usage = self.calls.remove(&number).unwrap_or_default();
        self.held_bytes -= usage.held_bytes;
        usage.held_bytes
    }

    /// Whether more may be read for a call, where `reserved_bytes` have been reserved for all
    /// calls. A call whose caller has read everything may always read on, so that the events of
    /// ordinary calls never wait for others.
    pub fn may_read(&self, number: RelayNumber, reserved_bytes: usize) -> bool {
        let usage = self.calls.get(&number).copied().unwrap_or_default();
        let is_within = usage.held_bytes < self.call_limit && self.held_bytes <= reserved_bytes;
        usage.held_bytes == 0 || is_within
    }

    /// The call to end in order to free memory: the one whose caller takes longest for what is held
    /// for it, the largest of those that read nothing. `None` if all callers read.
    pub fn next_to_end(&self, now: TimePoint) -> Option<RelayNumber> {
        let is_slow = |usage: &RelayUsage| {
            usage.held_bytes > 0 && now.since(usage.unread_since) >= MIN_UNREAD_TIME
        };
        let slow = self.calls.iter().filter(|(_, usage)| is_slow(usage));
        let slowest = slow.max_by(|(_, a), (_, b)| {
            let by_time = a.drain_time_s(now).total_cmp(&b.drain_time_s(now));
            by_time.then(a.held_bytes.cmp(&b.held_bytes))
        });
        slowest.map(|(number, _)| *number)
    }

    /// Whether the call is known: it is not closed, or holds something.
    pub fn contains(&self, number: RelayNumber) -> bool {
        self.calls.contains_key(&number)
    }

    /// Time for which the caller has read nothing of what is held for it.
    pub fn silent_time(&self, now: TimePoint, number: RelayNumber) -> Duration {
        let silent_time = |usage: &RelayUsage| {
            let is_waiting = usage.held_bytes > 0;
            is_waiting.then(|| now.since(usage.unread_since.max(usage.read_at)))
        };
        self.calls
            .get(&number)
            .and_then(silent_time)
            .unwrap_or_default()
    }
}
