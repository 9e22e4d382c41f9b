//! Times for which an endpoint has asked for no calls.
//!
//! Answers loads in which an overloaded endpoint rejects calls and says when it takes some again.

use std::time::Duration;

use crate::time::TimePoint;

/// Longest time that is granted: an endpoint that has recovered must not stay unused because of one
/// absurd value.
const MAX_REST: Duration = Duration::from_mins(5);

/// Time until which one endpoint gets no calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointRest {
    until: Option<TimePoint>,
}

impl EndpointRest {
    /// Grants `rest` from `now` on. A rest never ends earlier because of a later, shorter one.
    /// Returns whether the endpoint was not at rest before.
    pub fn grant(&mut self, now: TimePoint, rest: Duration) -> bool {
        let is_new = self.left(now).is_none();
        self.until = self.until.max(Some(now + rest.min(MAX_REST)));
        is_new && self.left(now).is_some()
    }

    /// Time until the end of the rest; `None` if the endpoint takes calls.
    pub fn left(&self, now: TimePoint) -> Option<Duration> {
        let until = self.until?;
        (now < until).then(|| until.since(now))
    }
}
