//! Range checks of the settings of an entry that forwards calls.

use chestnutloft_core::routing::TimedPlacementSettings;
use chestnutloft_entry::forward::settings::{CapacitySettings, ForwardSettings};
use chestnutloft_wire::settings::parse;

fn fields_of(settings: &ForwardSettings) -> Vec<String> {
    let findings = settings.check().into_iter();
    findings.map(|finding| finding.field).collect()
}

/// Guards against defaults that their own checks reject.
#[test]
fn defaults_have_no_findings() {
    let settings = ForwardSettings::default();

    assert_eq!(settings.check(), []);
    assert!(settings.capacity.has_slow_start);
}

/// Guards against weights that make the cost of an endpoint negative or not a number, so that the order of
/// endpoints means nothing, and against a check that stops at the first of them.
#[test]
fn weights_out_of_range_are_found_together() {
    let settings = ForwardSettings {
        capacity: CapacitySettings {
            placement: TimedPlacementSettings {
                full_ms: -1.0,
                waiting_ms: f64::INFINITY,
                equal_share: 1.01,
                ..TimedPlacementSettings::default()
            },
            plain_placement: TimedPlacementSettings {
                remote_ms: f64::NAN,
                pause_share: f64::NAN,
                delay_share: -0.1,
                ..TimedPlacementSettings::plain()
            },
            ..CapacitySettings::default()
        },
        ..ForwardSettings::default()
    };

    assert_eq!(
        fields_of(&settings),
        [
            "capacity.placement.full_ms",
            "capacity.placement.waiting_ms",
            "capacity.placement.equal_share",
            "capacity.plain_placement.remote_ms",
            "capacity.plain_placement.delay_share",
            "capacity.plain_placement.pause_share",
        ]
    );
}

/// Guards against a field that the settings file cannot set.
#[test]
fn slow_start_is_turned_off_in_the_settings_file() {
    let text = "capacity:\n  has_slow_start: false\n  placement:\n    equal_share: 1\n";

    let settings: ForwardSettings = parse(text, ForwardSettings::check).expect("valid settings");

    assert!(!settings.capacity.has_slow_start);
    assert!(!settings.capacity.is_ordered);
}

/// Guards against bounds that exclude their own end points.
#[test]
fn end_points_of_the_ranges_are_valid() {
    let settings = ForwardSettings {
        capacity: CapacitySettings {
            placement: TimedPlacementSettings {
                full_ms: 0.0,
                delay_share: 0.0,
                reread_share: 1.0,
                ..TimedPlacementSettings::default()
            },
            ..CapacitySettings::default()
        },
        ..ForwardSettings::default()
    };

    assert_eq!(settings.check(), []);
}
