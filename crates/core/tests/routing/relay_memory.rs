use std::time::Duration;

use chestnutloft_core::routing::{BodyMemory, RelayMemory};
use chestnutloft_core::time::TimePoint;

const KB: usize = 1024;

fn memory() -> RelayMemory {
    RelayMemory::new(BodyMemory::of_process(120 * KB * KB))
}

fn at(ms: u64) -> TimePoint {
    TimePoint::from_millis(ms)
}

/// Guards against a caller that loses its call although it reads, while others do not.
#[test]
fn silent_callers_are_ended_before_slow_ones_and_large_before_small() {
    let mut memory = memory();
    let [slow, silent, large_silent] = [0; 3].map(|_| memory.open());
    memory.hold(at(0), slow, 900 * KB);
    memory.hold(at(0), silent, 100 * KB);
    memory.hold(at(0), large_silent, 200 * KB);
    for second in 1..=4 {
        memory.release(at(second * 1_000), slow, KB);
    }

    let mut ended = Vec::new();
    while let Some(number) = memory.next_to_end(at(4_000)) {
        ended.push(number);
        memory.remove(number);
    }

    assert_eq!(ended, [large_silent, silent, slow]);
    assert_eq!(memory.held_bytes(), 0);
}

/// Guards against an ordinary call that is ended in the moment between an event and its reading.
#[test]
fn a_caller_that_reads_is_never_ended() {
    let mut memory = memory();
    let caller = memory.open();
    for event in 0..100 {
        let now = at(event * 40);
        memory.hold(now, caller, 4 * KB);

        assert_eq!(memory.next_to_end(now + Duration::from_millis(30)), None);
        memory.release(now + Duration::from_millis(30), caller, 4 * KB);
    }
}

/// Guards against events of ordinary calls that wait for memory that others hold.
#[test]
fn a_call_reads_on_while_its_caller_has_read_everything() {
    let mut memory = memory();
    let [silent, ordinary] = [0; 2].map(|_| memory.open());
    let limit: usize = memory.limits().iter().sum();
    memory.hold(at(0), silent, limit);

    assert!(memory.may_read(ordinary, 0));
    assert!(!memory.may_read(silent, limit));
    memory.hold(at(0), ordinary, KB);
    assert!(!memory.may_read(ordinary, limit));
    assert!(memory.may_read(ordinary, limit + KB));
}

/// Guards against bytes that stay counted for calls that are over, or are taken off twice.
#[test]
fn what_a_closed_call_holds_counts_until_it_is_released() {
    let mut memory = memory();
    let caller = memory.open();
    memory.hold(at(0), caller, 8 * KB);

    memory.close(caller);
    assert_eq!(memory.held_bytes(), 8 * KB);
    memory.release(at(1), caller, 8 * KB);
    memory.release(at(2), caller, 8 * KB);

    assert_eq!(memory.held_bytes(), 0);
    assert_eq!(memory.remove(caller), 0);
}
