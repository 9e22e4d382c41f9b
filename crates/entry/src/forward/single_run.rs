//! Model of a call that may run only once, and what answers show about the models of a route.

use chestnutloft_core::hash::key_hash;
use chestnutloft_core::routing::{ModelOption, SingleRunCall, choose_single_model};
use chestnutloft_core::time::TimePoint;

use super::attempt::EndpointResponse;
use super::pipeline::CallExecution;

impl CallExecution {
    /// Chooses the model that runs the call, for which no second one may be asked.
    pub(super) fn choose_single_model(&mut self, now: TimePoint) {
        let options = self.model_options(now);
        let call = SingleRunCall {
            tokens: self.tokens(),
            target_latency: self.call.latency_target(),
            sample_key: key_hash(self.call.head.id.as_bytes()),
        };
        let settings = self.escalation_settings();
        let Some(choice) = choose_single_model(&settings, &call, &options) else {
            return;
        };
        let (smallest, chosen) = (&options[0], &options[choice.option]);
        spdlog::info!(
            "call {}: may run only once; model index {} is to run it ({:?}): expected chance of a wrong answer {:.2}, that of the smallest model {:.2}; pool load {:.2}, answer expected after {} ms.",
            self.call.head.id,
            chosen.model_index,
            choice.reason,
            chosen.error_chance,
            smallest.error_chance,
            chosen.pool.utilization,
            chosen.expected_delay.as_millis()
        );
        self.model_index = chosen.model_index;
        let metrics = &self.context.metrics;
        metrics.record_single_run(&self.call, chosen.model_index, choice.reason);
    }

    /// The models that endpoints run, smallest first.
    fn model_options(&self, now: TimePoint) -> Vec<ModelOption> {
        let indexes = 0..self.call.route.models.len();
        let is_run = |index: &usize| !self.model_order(now, [*index]).is_empty();
        let options = indexes.filter(is_run).map(|model_index| {
            let [pool] = self.model_loads(now, [model_index]);
            let model = self.call.sent_model(self.model_at(model_index).as_deref());
            let state = self.context.state();
            let errors = &state.answer_errors;
            let error_chance = errors.estimate(&self.call.route.name, model, self.tokens());
            drop(state);
            ModelOption {
                model_index,
                cost: self.model_cost(model_index),
                error_chance,
                expected_delay: self.expected_delay(model_index, pool),
                pool,
            }
        });
        options.collect()
    }

    /// Records how sure the current model is of its answer.
    pub(super) fn record_confidence(&self, response: &EndpointResponse) {
        let confidence = response.head.confidence;
        let Some(confidence) = confidence.filter(|_| self.has_model_choice()) else {
            return;
        };
        let error_chance = self.context.escalation.error_chance(confidence);
        let model = self.call.sent_model(self.model().as_deref());
        let mut state = self.context.state();
        let errors = &mut state.answer_errors;
        errors.record(&self.call.route.name, model, self.tokens(), error_chance);
    }
}
