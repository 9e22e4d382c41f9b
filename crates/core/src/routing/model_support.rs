//! Which models an endpoint can run: those that it announces, less those that it rejected lately.

use std::sync::Arc;
use std::time::Duration;

use crate::hash::key_hash;
use crate::time::TimePoint;

use super::misdirection::{MisdirectedModels, ModelHash};

/// The model that a call is sent for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SentModel {
    /// A model, by the hash of its name.
    Named(ModelHash),
    /// None. Such calls are told apart by the hash of their route.
    Unnamed(u64),
}

impl SentModel {
    /// The model called `name`.
    pub fn named(name: &str) -> Self {
        Self::Named(key_hash(name.as_bytes()))
    }

    fn hash(self) -> u64 {
        match self {
            Self::Named(hash) | Self::Unnamed(hash) => hash,
        }
    }
}

/// What is known of the models that the process of one endpoint runs. An endpoint that announces
/// none may run any. A rejection counts more than an announcement, unless the endpoint has announced
/// the model since.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ModelSupport {
    announced: Option<Box<[ModelHash]>>,
    /// When the announced models were last seen to change.
    changed_at: Option<TimePoint>,
    rejected: MisdirectedModels,
}

impl ModelSupport {
    /// Applies an announcement with the names of the endpoint's models, if it names any. Rejections
    /// of models that are new in it are forgotten.
    pub fn announce(&mut self, now: TimePoint, names: Option<&[Arc<str>]>) {
        let hashes = names.map(|names| names.iter().map(|name| key_hash(name.as_bytes())));
        let announced: Option<Box<[ModelHash]>> = hashes.map(Iterator::collect);
        if announced == self.announced {
            return;
        }
        for model in announced.iter().flatten() {
            if !self.announces(*model) {
                self.rejected.forget(*model);
            }
        }
        self.announced = announced;
        self.changed_at = Some(now);
    }

    /// Records that a call for `model`, sent at `sent_at`, was rejected as misdirected. A call that
    /// was sent before the endpoint was seen to announce the model says nothing about it. Returns
    /// when the rejection is forgotten.
    pub fn record_rejection(
        &mut self,
        now: TimePoint,
        sent_at: TimePoint,
        model: SentModel,
    ) -> Option<TimePoint> {
        let is_outdated = self.changed_at.is_some_and(|at| sent_at < at);
        if is_outdated && self.announces(model.hash()) {
            return None;
        }
        Some(self.rejected.record(now, model.hash()))
    }

    /// Whether calls for `model` may be sent to the endpoint.
    pub fn accepts(&self, now: TimePoint, model: SentModel) -> bool {
        let is_run = match model {
            SentModel::Named(hash) => self.may_run(hash),
            SentModel::Unnamed(_) => true,
        };
        is_run && self.rejected.accepts(now, model.hash())
    }

    /// Time until the endpoint may be sent calls for `model` again which it would take but for a
    /// rejection. `None` if it takes them now, or does not announce the model.
    pub fn rejection_left(&self, now: TimePoint, model: SentModel) -> Option<Duration> {
        let is_run = self.may_run(model.hash());
        let left = self.rejected.left(now, model.hash());
        left.filter(|_| is_run)
    }

    /// Whether the endpoint has rejected no call lately.
    pub fn accepts_all(&self, now: TimePoint) -> bool {
        self.rejected.accepts_all(now)
    }

    /// Whether the endpoint's announcement allows it to run `model`.
    pub fn may_run(&self, model: ModelHash) -> bool {
        self.announced.is_none() || self.announces(model)
    }

    /// Whether the endpoint's announcement names `model`.
    fn announces(&self, model: ModelHash) -> bool {
        let announced = self.announced.as_deref().unwrap_or_default();
        announced.contains(&model)
    }

    /// Whether the endpoint announces which models it runs.
    pub fn is_announced(&self) -> bool {
        self.announced.is_some()
    }
}
