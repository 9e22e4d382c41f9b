//! Reads bodies into memory that has been reserved for them.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use opentelemetry::metrics::Counter;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use chestnutloft_core::routing::{BodyDirection, BodyMemory, BodyPool, MAX_SMALL_BODY_BYTES};
use chestnutloft_wire::clock;

use super::relay_registry::RelayRegistry;

/// Bytes per permit of a pool.
pub const PERMIT_BYTES: usize = 1024;
/// Time for which the rest of a refused request's body is read and discarded. A connection that is
/// closed with unread bytes is reset, which may overtake the refusal.
const MAX_DISCARD_TIME: Duration = Duration::from_secs(2);

/// Why a body was not read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyReadError {
    /// The body exceeds the size limit.
    TooLarge,
    /// Other bodies took the memory for longer than the body may wait.
    NoMemory,
    /// The connection failed before the end of the body; holds the transport error.
    Cut(String),
}

/// Memory for the bodies that the process holds.
#[derive(Clone, Debug)]
pub struct BodyMemoryPools {
    memory: BodyMemory,
    /// Free memory of each of [`BodyPool::ALL`], in units of [`PERMIT_BYTES`].
    free: [Arc<Semaphore>; BodyPool::ALL.len()],
    /// Streams, which share the memory for responses.
    pub relays: Arc<RelayRegistry>,
}

/// A body together with the memory that is reserved for it.
struct ReservedBody {
    bytes: Bytes,
    _reservation: Option<OwnedSemaphorePermit>,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BodyMemoryPools {
    /// Creates the pools of a process that may use `process_bytes`. Counts the streams that are ended
    /// for memory in `ended_relays`.
    pub fn new(process_bytes: usize, ended_relays: Counter<u64>) -> Self {
        let memory = BodyMemory::of_process(process_bytes);
        let free = |pool| Arc::new(Semaphore::new(memory.size(pool) / PERMIT_BYTES));
        let free = BodyPool::ALL.map(free);
        let of_pool = |pool| Arc::clone(&free[pool as usize]);
        let relays = RelayRegistry::new(memory, of_pool, ended_relays);
        Self {
            memory,
            free,
            relays: Arc::new(relays),
        }
    }

    fn free(&self, pool: BodyPool) -> &Arc<Semaphore> {
        &self.free[pool as usize]
    }

    /// Bytes that are reserved at present.
    pub fn reserved_bytes(&self) -> usize {
        let reserved = |pool| {
            let size = self.memory.size(pool) / PERMIT_BYTES;
            let free = self.free(pool).available_permits();
            size.saturating_sub(free) * PERMIT_BYTES
        };
        BodyPool::ALL.into_iter().map(reserved).sum()
    }

    /// Reserves `bytes`, in the order of the waiting bodies of a pool.
    async fn reserve(
        &self,
        direction: BodyDirection,
        bytes: usize,
        max_wait: Duration,
    ) -> Result<Option<OwnedSemaphorePermit>, BodyReadError> {
        let pool = BodyPool::of(direction, bytes);
        let permits = self.memory.reservation(pool, bytes) / PERMIT_BYTES;
        if self.free(pool).available_permits() < permits {
            self.relays.make_room_for_body(clock::now(), pool, permits);
        }
        let permits = u32::try_from(permits).unwrap_or(u32::MAX);
        let reserving = Arc::clone(self.free(pool)).acquire_many_owned(permits);
        match tokio::time::timeout(max_wait, reserving).await {
            Ok(reservation) => Ok(reservation.ok()),
            Err(_) => Err(BodyReadError::NoMemory),
        }
    }

    /// Reads a body of at most `limit` bytes. A body without a length is read as a small one until
    /// it proves larger. Nothing is read before memory is reserved for it, for which the body waits
    /// up to `max_wait`; the memory is released with the last copy of the result.
    ///
    /// # Errors
    /// [`BodyReadError`].
    pub async fn read(
        &self,
        direction: BodyDirection,
        body: &mut Incoming,
        limit: usize,
        max_wait: Duration,
    ) -> Result<Bytes, BodyReadError> {
        let expected = body.size_hint().exact();
        let expected = expected.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
        if expected == Some(0) {
            return Ok(Bytes::new());
        }
        if expected.is_some_and(|bytes| bytes > limit) {
            return Err(BodyReadError::TooLarge);
        }
        let mut reserved_bytes = expected.unwrap_or_else(|| limit.min(MAX_SMALL_BODY_BYTES));
        let mut reservation = self.reserve(direction, reserved_bytes, max_wait).await?;
        let mut bytes = BytesMut::with_capacity(expected.unwrap_or_default());
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| BodyReadError::Cut(error.to_string()))?;
            let Some(data) = frame.data_ref() else {
                continue;
            };
            let needed_bytes = bytes.len() + data.len();
            if needed_bytes > limit {
                return Err(BodyReadError::TooLarge);
            }
            if needed_bytes > reserved_bytes {
                // The body states no length: it may take all that it is allowed.
                reserved_bytes = limit;
                reservation = self.reserve(direction, reserved_bytes, max_wait).await?;
            }
            bytes.extend_from_slice(data);
        }
        shrink(&mut reservation, bytes.capacity());
        Ok(Bytes::from_owner(ReservedBody {
            bytes: bytes.freeze(),
            _reservation: reservation,
        }))
    }
}

/// Releases what `reservation` holds beyond `bytes`.
fn shrink(reservation: &mut Option<OwnedSemaphorePermit>, bytes: usize) {
    if let Some(reservation) = reservation {
        let excess = reservation
            .num_permits()
            .saturating_sub(bytes.div_ceil(PERMIT_BYTES));
        drop(reservation.split(excess));
    }
}

/// Reads and discards the rest of a refused request's body in the background.
pub fn discard_rest(mut body: Incoming) {
    if body.is_end_stream() {
        return;
    }
    let discarding = async move { while let Some(Ok(_)) = body.frame().await {} };
    tokio::spawn(tokio::time::timeout(MAX_DISCARD_TIME, discarding));
}
