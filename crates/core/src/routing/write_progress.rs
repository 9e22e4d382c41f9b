//! How far a request has been written to an endpoint, and how long its response may take. Addresses
//! endpoints that read large bodies slowly.

use std::time::Duration;

use crate::time::TimePoint;

/// Time for which a request that the endpoint has begun to read may make no progress at least. The
/// operating system reports progress in lumps of 8 to 16 KB, which take 1.6 s at 10 KB/s.
const MIN_SILENCE: Duration = Duration::from_secs(2);
/// Multiple of the longest wait for progress so far after which an endpoint that reads slowly counts
/// as silent.
const SILENCE_FACTOR: u32 = 2;

/// Progress of writing one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WriteProgress {
    started_at: TimePoint,
    written_at: TimePoint,
    /// Whether the endpoint's side has made the writer wait.
    has_waited: bool,
    /// Whether it makes the writer wait at present.
    is_waiting: bool,
    longest_wait: Duration,
}

impl WriteProgress {
    /// The writing of a request begins.
    pub fn start(now: TimePoint) -> Self {
        Self {
            started_at: now,
            written_at: now,
            ..Self::default()
        }
    }

    /// Records that bytes were written.
    pub fn record_write(&mut self, now: TimePoint) {
        if std::mem::take(&mut self.is_waiting) {
            self.longest_wait = self.longest_wait.max(now.since(self.written_at));
        }
        self.written_at = now;
    }

    /// Records that the writer has to wait.
    pub fn record_wait(&mut self) {
        self.has_waited = true;
        self.is_waiting = true;
    }

    /// Time that is left until the attempt has taken too long, given the `timeout` of its response,
    /// which is over. For a request that the endpoint is slow to read, the timeout starts anew with
    /// each write. Once all is written, the endpoint gets at least as long as the writing took, since
    /// the last part still has to cross the network at the same pace.
    pub fn extra_time(&self, now: TimePoint, timeout: Duration) -> Duration {
        if !self.has_waited {
            return Duration::ZERO;
        }
        let writing_time = self.written_at.since(self.started_at);
        let max_silence = if self.is_waiting {
            let by_pace = self.longest_wait * SILENCE_FACTOR;
            timeout.max(by_pace).max(MIN_SILENCE)
        } else {
            timeout.max(writing_time)
        };
        (self.written_at + max_silence).since(now)
    }
}
