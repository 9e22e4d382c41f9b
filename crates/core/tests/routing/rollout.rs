use std::sync::Arc;

use chestnutloft_core::routing::{RolloutOrder, RolloutStage, RolloutTiming};

fn stages(duration_ms: u64) -> Vec<(u64, RolloutStage)> {
    let timing = RolloutTiming::default();
    let order = RolloutOrder {
        service: Arc::from("orders"),
        target: Arc::from("v2"),
        duration_ms,
    };
    let mut changes = Vec::new();
    for elapsed in (0..=duration_ms).step_by(50) {
        let stage = timing.stage_if_healthy(&order, elapsed);
        if changes.last().is_none_or(|(_, last)| *last != stage) {
            changes.push((elapsed, stage));
        }
    }
    changes
}

#[test]
fn the_roll_out_of_a_healthy_version_completes_before_its_deadline() {
    for duration_ms in [6_000, 12_000, 24_000, 120_000] {
        let changes = stages(duration_ms);

        let names: Vec<_> = changes.iter().map(|(_, stage)| *stage).collect();
        assert_eq!(
            names,
            [
                RolloutStage::Trial,
                RolloutStage::Shift,
                RolloutStage::Completed
            ],
            "{duration_ms} ms"
        );
        assert!(changes[2].0 < duration_ms, "{changes:?}");
    }
}

#[test]
fn the_old_version_has_time_to_finish_its_calls() {
    for duration_ms in [12_000, 24_000, 120_000] {
        let changes = stages(duration_ms);

        assert!(changes[2].0 - changes[1].0 >= 1_000, "{changes:?}");
    }
}

#[test]
fn the_trial_takes_most_of_the_duration() {
    for duration_ms in [6_000, 12_000, 24_000] {
        let changes = stages(duration_ms);

        assert!(changes[1].0 * 4 >= duration_ms * 3, "{changes:?}");
    }
}
