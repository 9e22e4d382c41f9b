//! How long work takes at an endpoint at this moment, relative to its pool.
//!
//! Answers loads in which endpoints differ: machines of unlike speed, and machines shared with other
//! work that comes and goes within a second. An endpoint's reading says how long work takes there
//! now against its own usual time; what answers show says how its usual time compares with that of
//! the pool. Entries share both, since each one sees an endpoint only every few seconds.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::TimePoint;

use super::load_aggregation::EndpointHash;

/// Time in which a reading loses half of its weight against the endpoint's mean. The load of other
/// work on a machine changes about twice a second.
const READING_HALF_LIFE: Duration = Duration::from_millis(300);
/// Age at which a reading is no longer passed on.
const MAX_READING_AGE: Duration = Duration::from_millis(1_500);
/// Weight of a new reading in the mean of an endpoint's readings.
const MEAN_WEIGHT: f64 = 0.1;
/// Largest plausible reading, in percent.
const MAX_PERCENT: u32 = 10_000;
/// Number of answers over which the speed of an endpoint is averaged.
const SPEED_WINDOW: f64 = 40.0;
/// Bound on the log ratio of one answer, so that an outlier does not dominate the mean.
const MAX_LOG_RATIO: f64 = 1.5;
/// Units of the log ratio in a sample.
const RATIO_UNITS: f64 = 100.0;

/// What an endpoint said last of the time that work takes there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceReading {
    /// The endpoint.
    pub endpoint: EndpointHash,
    /// Time that work takes, in percent of the usual time.
    pub percent: u32,
    /// Time since the reading, in milliseconds.
    pub age_ms: u32,
}

/// How answers of an endpoint compared with what was expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedSample {
    /// The endpoint.
    pub endpoint: EndpointHash,
    /// Sum, or mean, of the natural logarithms of measured by expected time, in hundredths.
    pub log_ratio: i32,
    /// Number of answers.
    pub count: u32,
}

impl SpeedSample {
    /// One answer with this natural logarithm of measured by expected time.
    pub fn new(endpoint: EndpointHash, log_ratio: f64) -> Self {
        Self {
            endpoint,
            log_ratio: (log_ratio * RATIO_UNITS) as i32,
            count: 1,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct LatestReading {
    percent: f64,
    at: TimePoint,
    mean: f64,
}

/// What the estimate of an endpoint's pace mostly rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceSource {
    /// Its newest reading, of this age.
    Reading(Duration),
    /// The mean of its readings, since the newest one has this age.
    Mean(Duration),
    /// It has never said its pace.
    Unknown,
}

/// Number of readings taken since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadingCounts {
    /// From answers to this entry's own calls.
    pub own: u64,
    /// From other entries.
    pub peers: u64,
}

/// Newest reading of each endpoint, and the mean of its readings.
#[derive(Clone, Debug, Default)]
pub struct PaceReadings {
    latest: HashMap<EndpointHash, LatestReading>,
    counts: ReadingCounts,
}

impl PaceReadings {
    /// Records that `endpoint` said `percent` at `at`. Older readings than the latest and
    /// implausible ones are ignored. Returns whether the reading was taken.
    pub fn record(&mut self, at: TimePoint, endpoint: EndpointHash, percent: u32) -> bool {
        let is_taken = self.take(at, endpoint, percent);
        self.counts.own += u64::from(is_taken);
        is_taken
    }

    fn take(&mut self, at: TimePoint, endpoint: EndpointHash, percent: u32) -> bool {
        if percent == 0 || percent > MAX_PERCENT {
            return false;
        }
        let percent = f64::from(percent);
        let Some(latest) = self.latest.get_mut(&endpoint) else {
            let mean = percent;
            self.latest
                .insert(endpoint, LatestReading { percent, at, mean });
            return true;
        };
        if latest.at >= at {
            return false;
        }
        latest.mean += (percent - latest.mean) * MEAN_WEIGHT;
        latest.percent = percent;
        latest.at = at;
        true
    }

    /// Adds readings that are known elsewhere, as of `now`.
    pub fn merge(&mut self, now: TimePoint, readings: &[PaceReading]) {
        for reading in readings {
            let at = now - Duration::from_millis(u64::from(reading.age_ms));
            let is_taken = self.take(at, reading.endpoint, reading.percent);
            self.counts.peers += u64::from(is_taken);
        }
    }

    /// Readings that are recent enough to be passed on.
    pub fn recent(&self, now: TimePoint) -> Vec<PaceReading> {
        let reading = |(endpoint, latest): (&EndpointHash, &LatestReading)| {
            let age = now.since(latest.at);
            (age < MAX_READING_AGE).then_some(PaceReading {
                endpoint: *endpoint,
                percent: latest.percent as u32,
                age_ms: age.as_millis() as u32,
            })
        };
        self.latest.iter().filter_map(reading).collect()
    }

    /// Time that work takes at `endpoint` now, as a multiple of its usual time; 1 if it has never
    /// said so. Goes back to the mean of its readings as the newest one ages.
    pub fn factor(&self, now: TimePoint, endpoint: EndpointHash) -> f64 {
        let Some(latest) = self.latest.get(&endpoint) else {
            return 1.0;
        };
        let half_lives = now.since(latest.at).as_secs_f64() / READING_HALF_LIFE.as_secs_f64();
        let weight = 0.5_f64.powf(half_lives);
        (latest.percent * weight + latest.mean * (1.0 - weight)) / 100.0
    }

    /// Numbers of readings taken.
    pub fn counts(&self) -> ReadingCounts {
        self.counts
    }

    /// What [`Self::factor`] mostly rests on: the newest reading for one half-life, then the mean.
    pub fn source(&self, now: TimePoint, endpoint: EndpointHash) -> PaceSource {
        match self.age(now, endpoint) {
            Some(age) if age < READING_HALF_LIFE => PaceSource::Reading(age),
            Some(age) => PaceSource::Mean(age),
            None => PaceSource::Unknown,
        }
    }

    /// Time since the newest reading of `endpoint`.
    pub fn age(&self, now: TimePoint, endpoint: EndpointHash) -> Option<Duration> {
        self.latest
            .get(&endpoint)
            .map(|latest| now.since(latest.at))
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct SpeedMean {
    log_ratio: f64,
    count: f64,
}

/// Mean speed of each endpoint against expectation, from the answers of all entries.
#[derive(Clone, Debug, Default)]
pub struct SpeedMeans {
    means: HashMap<EndpointHash, SpeedMean>,
}

impl SpeedMeans {
    /// Adds samples, each the sum over some answers.
    pub fn add(&mut self, samples: &[SpeedSample]) {
        for sample in samples {
            let count = f64::from(sample.count);
            if count < 1.0 {
                continue;
            }
            let sum = f64::from(sample.log_ratio) / RATIO_UNITS;
            let mean = self.means.entry(sample.endpoint).or_default();
            mean.count = (mean.count + count).min(SPEED_WINDOW.max(count));
            mean.log_ratio += (sum - mean.log_ratio * count) / mean.count;
        }
    }

    /// Replaces the mean of each endpoint in `means`.
    pub fn set(&mut self, means: &[SpeedSample]) {
        for mean in means {
            let mean_of = SpeedMean {
                log_ratio: f64::from(mean.log_ratio) / RATIO_UNITS,
                count: f64::from(mean.count),
            };
            self.means.insert(mean.endpoint, mean_of);
        }
    }

    /// The mean of each endpoint with the number of answers behind it.
    pub fn report(&self) -> Vec<SpeedSample> {
        let sample = |(endpoint, mean): (&EndpointHash, &SpeedMean)| SpeedSample {
            endpoint: *endpoint,
            log_ratio: (mean.log_ratio * RATIO_UNITS) as i32,
            count: mean.count as u32,
        };
        self.means.iter().map(sample).collect()
    }

    /// Ratio of measured to expected time; `None` with less than `min_count` answers.
    pub fn ratio(&self, key: EndpointHash, min_count: f64) -> Option<f64> {
        let mean = self.means.get(&key)?;
        (mean.count >= min_count).then(|| mean.log_ratio.exp())
    }

    /// Usual time that work takes at `endpoint`, as a multiple of the expected time. Endpoints with
    /// few answers count as usual.
    pub fn factor(&self, endpoint: EndpointHash) -> f64 {
        self.means.get(&endpoint).map_or(1.0, |mean| {
            let trust = mean.count / (mean.count + PRIOR_COUNT);
            (mean.log_ratio * trust).exp()
        })
    }
}

/// Number of answers at which an endpoint's mean counts half: prompts vary widely in cost.
const PRIOR_COUNT: f64 = 6.0;

/// Comparison of one answer's time with what was expected.
pub fn speed_sample(endpoint: EndpointHash, measured_ms: f64, expected_ms: f64) -> SpeedSample {
    let ratio = (measured_ms.max(1.0) / expected_ms.max(1.0)).ln();
    SpeedSample::new(endpoint, ratio.clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO))
}
