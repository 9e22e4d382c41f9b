use std::time::Duration;

use chestnutloft_core::routing::{
    AnswerErrors, CallTokens, EscalationSettings, ModelOption, PoolLoad, SentModel, SingleRunCall,
    SingleRunReason, choose_single_model,
};

const TARGET_LATENCY: Duration = Duration::from_secs(2);
/// A long answer to a short prompt.
const PLAN: CallTokens = CallTokens {
    prompt: 800.0,
    output: 280.0,
};
/// A few words on a long prompt: dear to read, and worth little.
const LABEL: CallTokens = CallTokens {
    prompt: 2_400.0,
    output: 20.0,
};
const ROUTE: &str = "plans";

/// A call that is not picked to run on a smaller model.
fn call(tokens: CallTokens) -> SingleRunCall {
    SingleRunCall {
        tokens,
        target_latency: TARGET_LATENCY,
        sample_key: 1,
    }
}

/// Three models with these chances of wrong answers, at idle endpoints.
fn models(error_chances: [f64; 3]) -> [ModelOption; 3] {
    let costs = [0.015, 0.12, 0.23];
    let mut model_index = 0;
    error_chances.map(|error_chance| {
        let option = ModelOption {
            model_index,
            cost: costs[model_index],
            error_chance,
            expected_delay: Duration::from_millis(100),
            pool: PoolLoad::default(),
        };
        model_index += 1;
        option
    })
}

fn choose(call: &SingleRunCall, options: &[ModelOption]) -> (usize, SingleRunReason) {
    let choice = choose_single_model(&EscalationSettings::default(), call, options);
    let choice = choice.expect("a choice");
    (choice.option, choice.reason)
}

/// Guards against calls of the largest model for all requests of a route, also the easy ones.
#[test]
fn smallest_model_is_chosen_while_nothing_speaks_for_a_larger_one() {
    let unknown = choose(&call(PLAN), &models([0.0; 3]));
    let sure = choose(&call(PLAN), &models([0.01, 0.0, 0.0]));
    let alone = choose(&call(PLAN), &models([0.9, 0.0, 0.0])[..1]);

    assert_eq!(unknown, (0, SingleRunReason::NothingToGain));
    assert_eq!(sure, (0, SingleRunReason::NothingToGain));
    assert_eq!(alone, (0, SingleRunReason::OnlyModel));
    assert_eq!(
        choose_single_model(&EscalationSettings::default(), &call(PLAN), &[]),
        None
    );
}

/// Guards against calls of the smallest model for all requests of a route, also the hard ones.
#[test]
fn larger_model_with_the_greatest_surplus_is_chosen() {
    let middle_is_enough = choose(&call(PLAN), &models([0.5, 0.02, 0.01]));
    let middle_is_unsure = choose(&call(PLAN), &models([0.5, 0.4, 0.01]));
    let middle_is_worse = choose(&call(PLAN), &models([0.5, 0.6, 0.01]));

    assert_eq!(middle_is_enough, (1, SingleRunReason::Gain));
    assert_eq!(middle_is_unsure, (2, SingleRunReason::Gain));
    assert_eq!(middle_is_worse, (2, SingleRunReason::Gain));
}

/// Guards against a larger model for a call whose answer is worth less than its price.
#[test]
fn gain_has_to_pay_for_the_price() {
    let options = models([0.2, 0.19, 0.0]);

    assert_eq!(choose(&call(PLAN), &options).0, 2);
    assert_eq!(
        choose(&call(LABEL), &options),
        (0, SingleRunReason::NothingToGain)
    );
}

/// Answers that come too late are worth less than those of the smallest model in time.
#[test]
fn model_that_would_answer_late_is_not_chosen() {
    let mut options = models([0.5, 0.1, 0.0]);
    options[1].expected_delay = Duration::from_millis(1_900);
    let only_largest_in_time = choose(&call(PLAN), &options);
    options[2].expected_delay = Duration::from_millis(1_900);
    let all_late = choose(&call(PLAN), &options);

    assert_eq!(only_largest_in_time, (2, SingleRunReason::Gain));
    assert_eq!(all_late, (0, SingleRunReason::TooSlow));
}

/// Guards against larger models that take the time of a pool that fills up.
#[test]
fn busy_pool_runs_the_smallest_model() {
    let loaded = |utilization| {
        models([0.5, 0.1, 0.0]).map(|option| ModelOption {
            pool: PoolLoad {
                utilization,
                ..PoolLoad::default()
            },
            ..option
        })
    };

    let idle = choose(&call(PLAN), &loaded(0.1));
    let filling = choose(&call(PLAN), &loaded(0.8));
    let full = choose(&call(PLAN), &loaded(1.1));

    assert_eq!(idle, (2, SingleRunReason::Gain));
    assert_eq!(filling, (1, SingleRunReason::Gain));
    assert_eq!(full, (0, SingleRunReason::TooBusy));
}

/// Guards against estimates of the smaller models that never change once a larger one is chosen.
#[test]
fn some_calls_still_run_on_smaller_models() {
    let options = models([0.5, 0.4, 0.01]);
    let mut counts = [0; 3];
    for sample_key in 0..320 {
        let call = SingleRunCall {
            sample_key,
            ..call(PLAN)
        };
        let (option, reason) = choose(&call, &options);
        counts[option] += 1;
        assert_eq!(reason == SingleRunReason::Gain, option == 2);
    }

    assert_eq!(counts, [10, 10, 300]);
}

fn estimate_after(answers: &[(CallTokens, f64)], tokens: CallTokens) -> f64 {
    let model = SentModel::named("small");
    let mut errors = AnswerErrors::default();
    for (tokens, error_chance) in answers {
        errors.record(ROUTE, model, *tokens, *error_chance);
    }
    errors.estimate(ROUTE, model, tokens)
}

/// Guards against a single unsure answer that moves a whole route to a larger model.
#[test]
fn estimates_need_several_answers_and_follow_the_latest() {
    let none = estimate_after(&[], PLAN);
    let one = estimate_after(&[(PLAN, 1.0)], PLAN);
    let many = estimate_after(&[(PLAN, 0.5); 200], PLAN);
    let changed: Vec<_> = [(PLAN, 1.0); 100]
        .into_iter()
        .chain([(PLAN, 0.0); 300])
        .collect();

    assert!(none.abs() < f64::EPSILON);
    assert!(one < 0.25, "{one}");
    assert!((many - 0.5).abs() < 0.05, "{many}");
    let changed = estimate_after(&changed, PLAN);
    assert!(changed < 0.05, "{changed}");
}

/// Guards against easy calls that hide hard ones of another size.
#[test]
fn estimates_differ_by_size_and_start_from_those_of_the_route() {
    let answers: Vec<_> = (0..60).flat_map(|_| [(PLAN, 0.6), (LABEL, 0.0)]).collect();
    let other = CallTokens {
        prompt: 90_000.0,
        output: 10.0,
    };

    let (plan, label) = (
        estimate_after(&answers, PLAN),
        estimate_after(&answers, LABEL),
    );
    let unseen = estimate_after(&answers, other);

    assert!(plan > 0.5, "{plan}");
    assert!(label < 0.06, "{label}");
    assert!(label < unseen && unseen < plan, "{unseen}");
}

/// Guards against memory for routes that are gone.
#[test]
fn estimates_of_removed_routes_are_forgotten() {
    let model = SentModel::named("small");
    let mut errors = AnswerErrors::default();
    for route in [ROUTE, "labels"] {
        for _ in 0..20 {
            errors.record(route, model, PLAN, 1.0);
        }
    }

    errors.retain_routes([ROUTE]);

    assert!(errors.estimate(ROUTE, model, PLAN) > 0.5);
    assert!(errors.estimate("labels", model, PLAN).abs() < f64::EPSILON);
}
