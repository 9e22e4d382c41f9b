//! Shares of a process's memory for the bodies that it holds.

/// Share of the process's memory for bodies. The rest is for connections, the routing state and
/// memory that the allocator has not returned.
const BODY_SHARE: f64 = 0.45;
/// Shares of the memory for bodies that the pools take.
const SMALL_REQUEST_SHARE: f64 = 0.2;
const SMALL_RESPONSE_SHARE: f64 = 0.1;
const LARGE_REQUEST_SHARE: f64 = 0.45;
const LARGE_RESPONSE_SHARE: f64 = 0.25;
/// Largest body that counts as small.
pub const MAX_SMALL_BODY_BYTES: usize = 64 * 1024;

/// Direction of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyDirection {
    /// From a caller to an endpoint.
    Request,
    /// From an endpoint to a caller.
    Response,
}

/// Pool of memory that a body is taken from. Small bodies pass beside large ones, and responses never
/// wait for requests, whose calls they end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyPool {
    /// Request bodies of at most [`MAX_SMALL_BODY_BYTES`].
    SmallRequests,
    /// Response bodies of at most [`MAX_SMALL_BODY_BYTES`].
    SmallResponses,
    /// Larger request bodies.
    LargeRequests,
    /// Larger response bodies.
    LargeResponses,
}

impl BodyPool {
    /// All pools.
    pub const ALL: [Self; 4] = [
        Self::SmallRequests,
        Self::SmallResponses,
        Self::LargeRequests,
        Self::LargeResponses,
    ];

    /// Pool for a body of `bytes`.
    pub fn of(direction: BodyDirection, bytes: usize) -> Self {
        match (direction, bytes <= MAX_SMALL_BODY_BYTES) {
            (BodyDirection::Request, true) => Self::SmallRequests,
            (BodyDirection::Response, true) => Self::SmallResponses,
            (BodyDirection::Request, false) => Self::LargeRequests,
            (BodyDirection::Response, false) => Self::LargeResponses,
        }
    }
}

/// Memory for the bodies that a process holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyMemory {
    bytes: usize,
}

impl BodyMemory {
    /// Memory for the bodies of a process that may use `process_bytes`.
    pub fn of_process(process_bytes: usize) -> Self {
        Self {
            bytes: (process_bytes as f64 * BODY_SHARE) as usize,
        }
    }

    /// Size of `pool`, in bytes.
    pub fn size(&self, pool: BodyPool) -> usize {
        let share = match pool {
            BodyPool::SmallRequests => SMALL_REQUEST_SHARE,
            BodyPool::SmallResponses => SMALL_RESPONSE_SHARE,
            BodyPool::LargeRequests => LARGE_REQUEST_SHARE,
            BodyPool::LargeResponses => LARGE_RESPONSE_SHARE,
        };
        (self.bytes as f64 * share) as usize
    }

    /// Bytes that a body of `bytes` takes from `pool`. A body larger than the pool takes all of it,
    /// so that it is read while no other one is.
    pub fn reservation(&self, pool: BodyPool, bytes: usize) -> usize {
        bytes.min(self.size(pool))
    }
}
