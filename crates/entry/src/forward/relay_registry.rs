//! Streams that this process relays, and the memory that they have reserved for what their callers
//! have not read.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use tokio::sync::Semaphore;

use chestnutloft_core::routing::{BodyMemory, BodyPool, RELAY_POOLS, RelayMemory, RelayNumber};
use chestnutloft_core::time::TimePoint;

use super::body_memory::PERMIT_BYTES;
use super::relay_buffer::RelayBuffer;

/// Streams of a process.
#[derive(Debug)]
pub struct RelayRegistry {
    table: Mutex<RelayTable>,
    ended: Counter<u64>,
}

#[derive(Debug)]
struct RelayTable {
    memory: RelayMemory,
    buffers: HashMap<RelayNumber, Arc<RelayBuffer>>,
    /// Free memory of each of [`RELAY_POOLS`].
    free: [Arc<Semaphore>; RELAY_POOLS.len()],
    /// Permits taken from each of them.
    reserved: [usize; RELAY_POOLS.len()],
}

/// A call that is to be ended.
struct EndedCall {
    buffer: Arc<RelayBuffer>,
    held_bytes: usize,
    silent_time: Duration,
}

impl RelayTable {
    fn reserved_bytes(&self) -> usize {
        self.reserved.iter().sum::<usize>() * PERMIT_BYTES
    }

    /// Reserves memory for what is held, as far as there is some, and returns what is not needed
    /// any more.
    fn adjust_reservation(&mut self) {
        let needed = self.memory.held_bytes().div_ceil(PERMIT_BYTES);
        let limits = self.memory.limits();
        for (index, free) in self.free.iter().enumerate() {
            let missing = needed.saturating_sub(self.reserved.iter().sum());
            let limit = limits[index] / PERMIT_BYTES;
            let available = limit.saturating_sub(self.reserved[index]);
            let permits = missing.min(available).min(free.available_permits());
            if permits == 0 {
                continue;
            }
            let count = u32::try_from(permits).unwrap_or(u32::MAX);
            if let Ok(reservation) = free.try_acquire_many(count) {
                reservation.forget();
                self.reserved[index] += permits;
            }
        }
        // Small responses have less memory to share, so theirs is returned first.
        for (index, free) in self.free.iter().enumerate().rev() {
            let excess = self.reserved.iter().sum::<usize>().saturating_sub(needed);
            let permits = excess.min(self.reserved[index]);
            free.add_permits(permits);
            self.reserved[index] -= permits;
        }
    }

    /// Removes the call whose caller is slowest; `None` if all callers read.
    fn take_slowest(&mut self, now: TimePoint) -> Option<EndedCall> {
        let number = self.memory.next_to_end(now)?;
        self.take(now, number)
    }

    fn take(&mut self, now: TimePoint, number: RelayNumber) -> Option<EndedCall> {
        let silent_time = self.memory.silent_time(now, number);
        let held_bytes = self.memory.remove(number);
        self.adjust_reservation();
        Some(EndedCall {
            buffer: self.buffers.remove(&number)?,
            held_bytes,
            silent_time,
        })
    }

    fn forget_released(&mut self, number: RelayNumber) -> Option<Arc<RelayBuffer>> {
        self.adjust_reservation();
        let is_known = self.memory.contains(number);
        (!is_known).then(|| self.buffers.remove(&number)).flatten()
    }
}

impl RelayRegistry {
    /// Creates the registry of a process whose bodies share `memory`, of which `free` is what is left
    /// of each pool. Counts the calls that are ended for memory in `ended`.
    pub fn new(
        memory: BodyMemory,
        free: impl Fn(BodyPool) -> Arc<Semaphore>,
        ended: Counter<u64>,
    ) -> Self {
        Self {
            table: Mutex::new(RelayTable {
                memory: RelayMemory::new(memory),
                buffers: HashMap::new(),
                free: RELAY_POOLS.map(free),
                reserved: Default::default(),
            }),
            ended,
        }
    }

    fn table(&self) -> MutexGuard<'_, RelayTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Bytes that callers have not read.
    pub fn held_bytes(&self) -> usize {
        self.table().memory.held_bytes()
    }

    /// Adds a call; `create` makes its buffer.
    pub fn open(&self, create: impl FnOnce(RelayNumber) -> RelayBuffer) -> Arc<RelayBuffer> {
        let mut table = self.table();
        let number = table.memory.open();
        let buffer = Arc::new(create(number));
        table.buffers.insert(number, Arc::clone(&buffer));
        buffer
    }

    /// Records that `bytes` have arrived for a caller.
    pub fn hold(&self, now: TimePoint, number: RelayNumber, bytes: usize) {
        let mut table = self.table();
        table.memory.hold(now, number, bytes);
        table.adjust_reservation();
    }

    /// Records that a caller has read `bytes`.
    pub fn release(&self, now: TimePoint, number: RelayNumber, bytes: usize) {
        let mut table = self.table();
        table.memory.release(now, number, bytes);
        let released = table.forget_released(number);
        drop(table);
        drop(released);
    }

    /// Forgets a call once its caller's connection has written everything.
    pub fn close(&self, number: RelayNumber) {
        let mut table = self.table();
        table.memory.close(number);
        let released = table.forget_released(number);
        drop(table);
        drop(released);
    }

    /// Time for which a caller has read nothing.
    pub fn silent_time(&self, now: TimePoint, number: RelayNumber) -> Duration {
        self.table().memory.silent_time(now, number)
    }

    /// Whether a call may read on. Ends calls whose callers are slow if memory is short.
    pub fn make_room_for_call(&self, now: TimePoint, number: RelayNumber) -> bool {
        let mut ended = Vec::new();
        let mut table = self.table();
        table.adjust_reservation();
        while table.memory.held_bytes() > table.reserved_bytes()
            && let Some(call) = table.take_slowest(now)
        {
            ended.push(call);
        }
        let reserved_bytes = table.reserved_bytes();
        let may_read = table.memory.may_read(number, reserved_bytes);
        drop(table);
        self.end_calls(ended, "for memory that other calls need");
        may_read
    }

    /// Ends calls whose callers are slow until they have returned `permits` to `pool`, which a
    /// response that is not a stream waits for.
    pub fn make_room_for_body(&self, now: TimePoint, pool: BodyPool, permits: usize) {
        let Some(index) = RELAY_POOLS
            .iter()
            .position(|relay_pool| *relay_pool == pool)
        else {
            return;
        };
        let mut ended = Vec::new();
        let mut table = self.table();
        let target = table.reserved[index].saturating_sub(permits);
        while table.reserved[index] > target
            && let Some(call) = table.take_slowest(now)
        {
            ended.push(call);
        }
        drop(table);
        self.end_calls(ended, "for memory that other calls need");
    }

    /// Ends a call whose caller reads nothing while its endpoint waits.
    pub fn end_silent(&self, now: TimePoint, number: RelayNumber) {
        let ended = self.table().take(now, number);
        self.end_calls(ended, "since its endpoint waits for the caller");
    }

    fn end_calls(&self, calls: impl IntoIterator<Item = EndedCall>, reason: &str) {
        for ended in calls {
            let call = &ended.buffer.call;
            spdlog::warn!(
                "relay: call {} ended {reason}: its caller had not read {} bytes, and nothing for {} ms; its connection is closed with the response incomplete.",
                call.id,
                ended.held_bytes,
                ended.silent_time.as_millis()
            );
            let labels = [KeyValue::new("service", call.service.to_string())];
            self.ended.add(1, &labels);
            ended.buffer.cut(reason);
        }
    }
}
