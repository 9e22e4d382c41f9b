//! Adapter for the rating service: samples answers, requests ratings at a limited rate and reports
//! them to the keepers.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use chestnutloft_core::ids::{KindId, VersionId, WorkspaceId};
use chestnutloft_core::state::{KeeperCommand, RatingRecord, RouteArm};
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::http::call_json;

use crate::context::EntryContext;
use crate::settings::EntrySettings;

/// Capacity of the queue of samples and of the queue of finished ratings.
const MAX_QUEUED_SAMPLES: usize = 64;
/// Timeout of one rating request.
const RATING_TIMEOUT: Duration = Duration::from_secs(20);
/// Time over which ratings are collected into one command for the keepers.
const BATCH_INTERVAL: Duration = Duration::from_millis(500);

/// An answer to be rated.
#[derive(Clone, Debug)]
pub struct AnswerSample {
    /// Workspace of the request.
    pub workspace: WorkspaceId,
    /// Kind of request.
    pub kind: KindId,
    /// Routing arm of the request.
    pub arm: RouteArm,
    /// Version whose answer the caller got.
    pub answered_by: VersionId,
    /// Prompt.
    pub prompt: String,
    /// Answer.
    pub answer: String,
}

#[derive(Serialize)]
struct RatingCall<'a> {
    kind: &'a KindId,
    prompt: &'a str,
    answer: &'a str,
}

#[derive(Deserialize)]
struct RatingReply {
    is_good: bool,
}

struct SamplerState {
    rng: rand::rngs::SmallRng,
    available_requests: f64,
    updated_at: TimePoint,
}

/// Selects answers for rating.
pub struct RatingSampler {
    is_enabled: bool,
    sample_share: f64,
    requests_per_s: f64,
    state: Mutex<SamplerState>,
    samples: mpsc::Sender<AnswerSample>,
    receiver: Mutex<Option<mpsc::Receiver<AnswerSample>>>,
}

impl RatingSampler {
    /// Creates a sampler; it is disabled if no rating service is configured.
    pub fn new(settings: &EntrySettings) -> Self {
        let (samples, receiver) = mpsc::channel(MAX_QUEUED_SAMPLES);
        Self {
            is_enabled: settings.rating_service.is_some(),
            sample_share: settings.rating_share,
            requests_per_s: settings.ratings_per_s,
            state: Mutex::new(SamplerState {
                rng: rand::rngs::SmallRng::seed_from_u64(0x7a11),
                available_requests: 1.0,
                updated_at: TimePoint::ZERO,
            }),
            samples,
            receiver: Mutex::new(Some(receiver)),
        }
    }

    /// Offers an answer for rating. `make_sample` is called only if the answer is selected and the
    /// rate limit permits a request.
    ///
    /// Required answers bypass the random sampling, but not the rate limit: answers of arms that
    /// were chosen for exploration, and of versions suspected of lower quality.
    pub fn offer(
        &self,
        now: TimePoint,
        is_required: bool,
        make_sample: impl FnOnce() -> AnswerSample,
    ) {
        if self.is_enabled && self.should_sample(now, is_required) {
            // A full queue means that the rating service is slow; the sample is dropped.
            let _ = self.samples.try_send(make_sample());
        }
    }

    fn should_sample(&self, now: TimePoint, is_required: bool) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let elapsed_s = now.since(state.updated_at).as_secs_f64();
        state.updated_at = now;
        state.available_requests = (state.available_requests + elapsed_s * self.requests_per_s)
            .min(self.requests_per_s.max(1.0));
        let is_selected = is_required || state.rng.random_range(0.0..1.0) < self.sample_share;
        let is_selected = is_selected && state.available_requests >= 1.0;
        if is_selected {
            state.available_requests -= 1.0;
        }
        is_selected
    }

    fn take_receiver(&self) -> Option<mpsc::Receiver<AnswerSample>> {
        self.receiver
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take()
    }
}

/// Sends samples to the rating service and ratings to the keepers until the process ends.
pub async fn run(context: Arc<EntryContext>) {
    let Some(mut receiver) = context.ratings.take_receiver() else {
        return;
    };
    let (rating_sender, mut ratings) = mpsc::channel::<RatingRecord>(MAX_QUEUED_SAMPLES);
    let request_context = Arc::clone(&context);
    tokio::spawn(async move {
        while let Some(sample) = receiver.recv().await {
            let context = Arc::clone(&request_context);
            let rating_sender = rating_sender.clone();
            tokio::spawn(async move {
                if let Some(rating) = request_rating(&context, sample).await {
                    let _ = rating_sender.send(rating).await;
                }
            });
        }
    });
    while let Some(first) = ratings.recv().await {
        tokio::time::sleep(BATCH_INTERVAL).await;
        let mut batch = vec![first];
        while let Ok(next) = ratings.try_recv() {
            batch.push(next);
        }
        let count = batch.len();
        if let Err(error) = context.keepers.run(KeeperCommand::Rate(batch)).await {
            spdlog::warn!("rating: {count} ratings were not stored and are dropped: {error}.");
        }
    }
}

async fn request_rating(context: &EntryContext, sample: AnswerSample) -> Option<RatingRecord> {
    let address = context.settings.rating_service?;
    let call = RatingCall {
        kind: &sample.kind,
        prompt: &sample.prompt,
        answer: &sample.answer,
    };
    let uri = format!("http://{address}/v1/rate");
    let http = &context.http;
    let reply = call_json(http, "POST", &uri, None, Some(&call), RATING_TIMEOUT).await;
    let reply: RatingReply = match reply {
        Ok(reply) => reply,
        Err(error) => {
            spdlog::debug!("rating: no rating from {address}; the sample is dropped: {error}.");
            return None;
        }
    };
    Some(RatingRecord {
        workspace: sample.workspace,
        kind: sample.kind,
        arm: sample.arm,
        answered_by: sample.answered_by,
        is_good: reply.is_good,
    })
}
