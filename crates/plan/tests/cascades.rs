//! Which requests two versions may run one after the other.

use std::path::Path;

use chestnutloft_core::pipe::{
    AttemptHistory, ParsedRequest, Refusal, RequestHead, RouterSettings, RouterState, parse_request,
};
use chestnutloft_core::plan::{SubmittedChange, SubmittedContent};
use chestnutloft_core::state::{KeeperCommand, KeeperState, RouteArm, StampedCommand};
use chestnutloft_core::time::TimePoint;
use chestnutloft_plan::read_plan;

const NOW: TimePoint = TimePoint::from_secs(1_000);

/// A router with the plan of an example.
fn router() -> RouterState {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/piso-vivo");
    let change = SubmittedChange {
        operator: "planner".to_owned(),
        base: Some(0),
        content: SubmittedContent::Declaration(Box::new(read_plan(&folder).declaration)),
    };
    let mut keeper = KeeperState::default();
    keeper.apply(&StampedCommand {
        stamp: NOW,
        command: KeeperCommand::Submit(Box::new(change)),
    });
    let mut router = RouterState::new(RouterSettings::default(), None, 11);
    let update = keeper.plan.update_from(router.plan.revision);
    update.apply(&mut router.plan);
    router
}

fn parse(router: &RouterState, service: &str, path: &str) -> Result<ParsedRequest, Refusal> {
    let head = RequestHead {
        method: "POST",
        path,
        service,
        workspace: Some("museo-norte"),
        prompt_bytes: 2_400,
        ..RequestHead::default()
    };
    parse_request(NOW, &head, &router.view(NOW), &router.settings.request)
}

fn cascade_count(router: &RouterState, request: &ParsedRequest) -> usize {
    let view = router.view(NOW);
    let selector = &router.version_selector;
    let candidates = selector.candidates(request, &view, &router.quality, &|_| true);
    let cascades = candidates.iter();
    let cascades = cascades.filter(|candidate| matches!(candidate.arm, RouteArm::Cascade { .. }));
    cascades.count()
}

/// Only requests without a plain service have a choice of versions, and those may be repeated: no
/// declaration can call a request to a model engine not idempotent.
#[test]
fn requests_to_model_engines_are_idempotent() {
    let router = router();

    let to_models = parse(&router, "", "/v1/chat/completions").expect("a request");
    let to_plain = parse(&router, "taller", "/confirmations").expect("a request");

    assert!(to_models.is_idempotent);
    assert!(!to_plain.is_idempotent);
    assert!(parse(&router, "redactor", "/confirmations").is_err());
}

/// Guards against a cascade, which has two versions run a request, for one that may run only once.
#[test]
fn request_that_may_run_once_takes_no_cascade() {
    let router = router();
    let request = parse(&router, "", "/v1/chat/completions").expect("a request");
    let single_run = ParsedRequest {
        is_idempotent: false,
        ..request.clone()
    };

    assert!(cascade_count(&router, &request) > 0);
    assert_eq!(cascade_count(&router, &single_run), 0);
}

/// Guards against a second attempt, at any version, at a request that may run only once.
#[test]
fn request_that_may_run_once_has_one_attempt() {
    let endpoint = "e1".parse().expect("an id");
    for (is_idempotent, attempts) in [(true, 2), (false, 1)] {
        let mut history = AttemptHistory::with_idempotence(is_idempotent);

        let first = history.start(&endpoint);
        history.record_answer();
        history.start_version();
        let second = history.start(&endpoint);

        let started = [first, second].into_iter().flatten().count();
        assert_eq!(started, attempts, "{is_idempotent}");
    }
}
