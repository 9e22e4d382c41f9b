//! Load: bodies of 4 MiB sent at once to an entry that may use 88 to 260 MB.

use chestnutloft_core::routing::{BodyDirection, BodyMemory, BodyPool, MAX_SMALL_BODY_BYTES};

const MEGABYTE: usize = 1024 * 1024;
const LARGE_BODY_BYTES: usize = 4 * MEGABYTE;

/// Guards against bodies that together take the memory of the process.
#[test]
fn pools_take_less_than_half_of_the_process() {
    for process_mb in [88, 110, 160, 260] {
        let memory = BodyMemory::of_process(process_mb * MEGABYTE);

        let sum: usize = BodyPool::ALL.iter().map(|pool| memory.size(*pool)).sum();
        assert!(sum * 2 < process_mb * MEGABYTE, "{memory:?}");
    }
}

/// Guards against small requests that wait for large ones.
#[test]
fn small_and_large_bodies_share_no_pool() {
    let of = |bytes| BodyPool::of(BodyDirection::Request, bytes);

    assert_eq!(of(MAX_SMALL_BODY_BYTES), BodyPool::SmallRequests);
    assert_eq!(of(MAX_SMALL_BODY_BYTES + 1), BodyPool::LargeRequests);
}

/// Guards against calls that wait for the memory of a response while they hold that of a request.
#[test]
fn requests_and_responses_share_no_pool() {
    for bytes in [MAX_SMALL_BODY_BYTES, LARGE_BODY_BYTES] {
        let request = BodyPool::of(BodyDirection::Request, bytes);
        let response = BodyPool::of(BodyDirection::Response, bytes);

        assert_ne!(request, response);
    }
}

/// Guards against a body that is allowed by the declaration and can never be read.
#[test]
fn body_larger_than_its_pool_takes_all_of_it() {
    let memory = BodyMemory::of_process(16 * MEGABYTE);
    let pool = BodyPool::LargeRequests;

    let reservation = memory.reservation(pool, LARGE_BODY_BYTES);

    assert_eq!(reservation, memory.size(pool));
}
