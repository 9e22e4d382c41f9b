//! Places that less urgent classes leave free, for calls that arrive while every endpoint fills up.

use chestnutloft_core::admission::{ClassRank, ClassReserve, PriorityClass, ServiceClasses};

fn rank(classes: &ServiceClasses, workspace: u32, route: u32) -> ClassRank {
    classes.rank(PriorityClass { workspace, route })
}

fn position(classes: &ServiceClasses, workspace: u32, route: u32) -> f64 {
    rank(classes, workspace, route).interpolate(0.0, 1.0)
}

/// Guards against one workspace with precedence that makes the urgent calls of all others rank as
/// less urgent ones, so that these find no place in a full pool.
#[test]
fn workspace_with_precedence_hardly_changes_the_rank_of_the_others() {
    let without = ServiceClasses::new(&[1; 20], &[2, 0, 1]);
    let mut workspaces = vec![1; 20];
    workspaces.push(0);

    let with = ServiceClasses::new(&workspaces, &[2, 0, 1]);

    assert_eq!(rank(&with, 0, 0), ClassRank::MOST_URGENT);
    assert!(rank(&with, 0, 2) < rank(&with, 1, 0));
    for route in 0..3 {
        let change = position(&with, 1, route) - position(&without, 1, route);
        assert!(change.abs() < 0.1, "{change}");
    }
}

/// Guards against a reserve that a service of one class leaves unused, and against a call whose class
/// is no longer declared and that gets fewer places than the least urgent class.
#[test]
fn only_class_and_classes_that_are_not_declared_have_a_rank() {
    let one = ServiceClasses::new(&[3, 3, 3], &[5, 5]);
    let classes = ServiceClasses::new(&[1, 1], &[0, 4, 9]);

    assert_eq!(rank(&one, 3, 5), ClassRank::MOST_URGENT);
    assert_eq!(rank(&classes, 7, 7), ClassRank::LEAST_URGENT);
    assert!(rank(&classes, 1, 6) > rank(&classes, 1, 4));
    assert_eq!(
        rank(&ServiceClasses::default(), 7, 7),
        ClassRank::MOST_URGENT
    );
}

/// Guards against calls to larger models that take all places of an endpoint for seconds, while calls
/// to the smallest model, of tens of milliseconds, wait; and against a reserve that closes a small
/// endpoint to them.
#[test]
fn calls_to_larger_models_leave_places_free_by_class() {
    let ranks = [ClassRank::MOST_URGENT, ClassRank::LEAST_URGENT];
    let reserve = ClassReserve::default();

    let large_places = |slots| ranks.map(|rank| reserve.large_places(slots, rank) as u32);

    assert_eq!(large_places(12.0), [9, 6]);
    assert_eq!(large_places(48.0), [36, 24]);
    assert_eq!(large_places(1.0), [1, 1]);
    assert_eq!(
        [12.0, 48.0].map(|slots| reserve.places(slots) as u32),
        [14, 54]
    );
}
