//! Shares of the free room, for many entries with waiting calls that read the same sums.

use chestnutloft_core::routing::{DemandShare, EntryDemand, RoomShare};
use chestnutloft_core::time::TimePoint;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(10_000 + millis)
}

/// Demand as each entry sees it.
fn demand(all: &[f64], index: usize) -> DemandShare {
    DemandShare {
        own: waiting(all[index]),
        peers: waiting(all.iter().sum::<f64>() - all[index]),
    }
}

fn waiting(calls: f64) -> EntryDemand {
    EntryDemand {
        waiting: calls,
        starts_per_s: 0.0,
    }
}

/// Calls that an entry with many waiting ones starts at once, of `room` that it knows of.
fn start_all(share: &mut RoomShare, now: TimePoint, room: f64, demand: DemandShare) -> f64 {
    let mut started = 0.0;
    while share.may_start(now, room - started, &demand) && started <= room {
        share.record_start(now);
        started += 1.0;
    }
    started
}

/// Mean starts of entries with a demand of 24, and of 40 with a demand of 4, after an exchange.
fn mean_starts(room: f64) -> (f64, f64) {
    let demands: Vec<f64> = (0..60).map(|i| if i < 20 { 24.0 } else { 4.0 }).collect();
    let mut starts = [0.0; 2];
    for index in 0..60 {
        let mut share = RoomShare::new(&format!("entry-{index}"));
        for round in 0..4_000 {
            share.renew(at(round * 30));
            let started = start_all(&mut share, at(round * 30), room, demand(&demands, index));
            starts[usize::from(index >= 20)] += started / 4_000.0;
        }
    }
    (starts[0], starts[1])
}

/// Guards against entries that together start many times the calls for which there is room or leave
/// room unused, and against equal parts, with which calls wait beside places of others.
#[test]
fn starts_add_up_to_the_room_and_follow_demand() {
    for room in [1.0, 7.0, 40.0, 150.0] {
        let (busy, quiet) = mean_starts(room);

        assert!(
            ((busy + quiet) / room - 1.0).abs() < 0.08,
            "{busy}, {quiet}"
        );
        assert!(
            (0.9..1.1).contains(&(busy / quiet / 3.0)),
            "{busy}, {quiet}"
        );
    }
}

/// Guards against room that is kept for entries without calls.
#[test]
fn entry_alone_may_take_all_of_the_room() {
    for own in [0.0, 30.0] {
        let mut share = RoomShare::new("entry");
        let demand = DemandShare {
            own: waiting(own),
            peers: waiting(0.0),
        };

        assert_eq!(start_all(&mut share, at(0), 25.0, demand) as u32, 25);
    }
}

/// Guards against entries that are cut off from the aggregator and take the same old room again and
/// again, against ones that then stop for good, and against demand that counts after its entries may
/// have ended.
#[test]
fn shares_are_renewed_more_rarely_with_old_data() {
    let demand = demand(&[2.0; 100], 0);
    let mut share = RoomShare::new("entry");
    share.renew(at(0));

    let starts: Vec<u64> = (0..1_600)
        .step_by(10)
        .filter(|millis| start_all(&mut share, at(*millis), 100.0, demand) > 0.0)
        .collect();

    assert_eq!(starts, [0, 30, 80, 180, 380, 780, 1_200, 1_400]);
    assert_eq!(start_all(&mut share, at(4_000), 100.0, demand) as u32, 100);
    share.renew(at(4_010));
    assert_eq!(start_all(&mut share, at(4_010), 100.0, demand) as u32, 1);
}

/// Guards against calls that wait in a pool with room for all that the others can start.
#[test]
fn no_call_waits_while_the_others_leave_room() {
    let mut share = RoomShare::new("entry");
    share.renew(at(0));
    let demand = DemandShare {
        own: waiting(0.0),
        peers: EntryDemand {
            waiting: 2.0,
            starts_per_s: 200.0,
        },
    };

    // 20 ms until the others hear of a start, in which they start four calls more.
    assert!(share.may_start(at(0), 7.0, &demand));
    let rarely = (0..200).filter(|round| {
        share.renew(at(round * 30));
        share.may_start(at(round * 30), 6.0, &demand)
    });
    assert!(rarely.count() < 20);
}

/// Guards against calls of many entries that all go to the endpoint that old sums show as best.
#[test]
fn spread_grows_with_the_age_of_the_data_and_the_demand_of_the_others() {
    let mut share = RoomShare::new("entry");
    share.renew(at(0));
    let spread = |ms, starts_per_s| {
        let demand = DemandShare {
            peers: EntryDemand {
                waiting: 50.0,
                starts_per_s,
            },
            ..DemandShare::default()
        };
        share.spread(at(ms), &demand)
    };

    assert_eq!(spread(400, 0.0), 1);
    assert_eq!(spread(0, 10.0), 1);
    assert!(spread(0, 400.0) >= 4 * spread(0, 100.0));
    assert!(spread(80, 400.0) >= 4 * spread(0, 400.0));
}
