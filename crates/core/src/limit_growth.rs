//! Growth of a concurrency limit in rounds of answers, for endpoints that warm up.

/// When a limit grows or shrinks, and by how much.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrowthRule {
    /// Percent by which the limit grows after a round of sound answers.
    pub growth_percent: u32,
    /// Answers in a round, as a multiple of the limit.
    pub answers_per_slot: u32,
    /// Share of bad answers in a round that halves the limit.
    pub max_bad_share: f64,
}

/// A limit that changes after each round of answers.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitGrowth {
    rule: GrowthRule,
    limit: u32,
    full: u32,
    sound: u32,
    bad: u32,
}

impl LimitGrowth {
    /// A limit that starts at `initial` and grows up to `full`, which is at least 1.
    pub fn new(rule: GrowthRule, initial: u32, full: u32) -> Self {
        let full = full.max(1);
        Self {
            rule,
            limit: initial.min(full),
            full,
            sound: 0,
            bad: 0,
        }
    }

    /// The limit at present.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Whether the limit has reached its maximum.
    pub fn is_full(&self) -> bool {
        self.limit >= self.full
    }

    /// Adds answers to the round, and changes the limit if that completes it.
    pub fn observe(&mut self, sound: u32, bad: u32) {
        self.sound = self.sound.saturating_add(sound);
        self.bad = self.bad.saturating_add(bad);
        let seen = self.sound.saturating_add(self.bad);
        if seen < self.limit.saturating_mul(self.rule.answers_per_slot) {
            return;
        }
        let bad_share = f64::from(self.bad) / f64::from(seen.max(1));
        if bad_share >= self.rule.max_bad_share {
            self.limit = (self.limit / 2).max(1);
        } else {
            let growth = self.limit.saturating_mul(self.rule.growth_percent) / 100;
            self.limit = self.limit.saturating_add(growth.max(1)).min(self.full);
        }
        self.sound = 0;
        self.bad = 0;
    }

    /// Sets the limit back to `floor` and begins a new round.
    pub fn fall_to(&mut self, floor: u32) {
        *self = Self::new(self.rule, floor, self.full);
    }
}
