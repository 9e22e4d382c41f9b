//! Adapter for the rating service: samples answers, asks for ratings at a limited rate, and
//! hands them to the keepers.

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

/// Samples that wait for the rating service at most.
const WAITING_SAMPLES: usize = 64;
/// Time for one rating.
const RATING_TIMEOUT: Duration = Duration::from_secs(20);
/// Time over which ratings are gathered for the keepers.
const BATCH_TIME: Duration = Duration::from_millis(500);

/// An answer to be rated.
#[derive(Clone, Debug)]
pub struct AnswerSample {
    /// Workspace that asked.
    pub workspace: WorkspaceId,
    /// Kind of request.
    pub kind: KindId,
    /// How it was answered.
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
    allowed: f64,
    updated_at: TimePoint,
}

/// Draws answers for rating.
pub struct RatingSampler {
    is_on: bool,
    share: f64,
    per_second: f64,
    state: Mutex<SamplerState>,
    samples: mpsc::Sender<AnswerSample>,
    inbox: Mutex<Option<mpsc::Receiver<AnswerSample>>>,
}

impl RatingSampler {
    /// A sampler; off where the settings name no rating service.
    pub fn new(settings: &EntrySettings) -> Self {
        let (samples, inbox) = mpsc::channel(WAITING_SAMPLES);
        Self {
            is_on: settings.rating_service.is_some(),
            share: settings.rating_share,
            per_second: settings.ratings_per_s,
            state: Mutex::new(SamplerState {
                rng: rand::rngs::SmallRng::seed_from_u64(0x7a11),
                allowed: 1.0,
                updated_at: TimePoint::ZERO,
            }),
            samples,
            inbox: Mutex::new(Some(inbox)),
        }
    }

    /// Offers an answer; it is made only when it is drawn and the rate allows it.
    ///
    /// A wanted answer is always drawn: one that was tried to be rated, or one of a version under
    /// suspicion.
    pub fn offer(&self, now: TimePoint, is_wanted: bool, make: impl FnOnce() -> AnswerSample) {
        if self.is_on && self.draws(now, is_wanted) {
            // A full line means that the service is slow: the sample is dropped.
            let _ = self.samples.try_send(make());
        }
    }

    fn draws(&self, now: TimePoint, is_wanted: bool) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let passed = now.since(state.updated_at).as_secs_f64();
        state.updated_at = now;
        state.allowed = (state.allowed + passed * self.per_second).min(self.per_second.max(1.0));
        let is_drawn = is_wanted || state.rng.random_range(0.0..1.0) < self.share;
        let is_drawn = is_drawn && state.allowed >= 1.0;
        if is_drawn {
            state.allowed -= 1.0;
        }
        is_drawn
    }

    fn take_inbox(&self) -> Option<mpsc::Receiver<AnswerSample>> {
        self.inbox
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take()
    }
}

/// Sends samples to the rating service and ratings to the keepers, until the process ends.
pub async fn run(context: Arc<EntryContext>) {
    let Some(mut inbox) = context.ratings.take_inbox() else {
        return;
    };
    let (rated, mut ratings) = mpsc::channel::<RatingRecord>(WAITING_SAMPLES);
    let asker = Arc::clone(&context);
    tokio::spawn(async move {
        while let Some(sample) = inbox.recv().await {
            let context = Arc::clone(&asker);
            let rated = rated.clone();
            tokio::spawn(async move {
                if let Some(rating) = ask(&context, sample).await {
                    let _ = rated.send(rating).await;
                }
            });
        }
    });
    while let Some(first) = ratings.recv().await {
        tokio::time::sleep(BATCH_TIME).await;
        let mut batch = vec![first];
        while let Ok(next) = ratings.try_recv() {
            batch.push(next);
        }
        if let Err(error) = context.keepers.run(KeeperCommand::Rate(batch)).await {
            spdlog::warn!("rating: ratings were lost: {error}.");
        }
    }
}

async fn ask(context: &EntryContext, sample: AnswerSample) -> Option<RatingRecord> {
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
            spdlog::debug!("rating: {error}.");
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
