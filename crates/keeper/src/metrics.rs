//! Metrics of a keeper.

use opentelemetry::metrics::Gauge;

use chestnutloft_wire::metrics::MetricsPage;

use crate::status::ClusterStatus;

/// Time without an answer from which a member counts as silent, in milliseconds.
const SILENT_MS: u64 = 1_000;

/// Metric instruments of a keeper.
#[derive(Clone, Debug)]
pub struct KeeperMetrics {
    page: MetricsPage,
    term: Gauge<u64>,
    commit: Gauge<u64>,
    snapshot: Gauge<u64>,
    journal: Gauge<u64>,
    log: Gauge<u64>,
    silent_members: Gauge<u64>,
    serving: Gauge<u64>,
    accepted: Gauge<u64>,
    in_force: Gauge<u64>,
    claims: Gauge<u64>,
    bindings: Gauge<u64>,
    live_entries: Gauge<u64>,
}

impl Default for KeeperMetrics {
    fn default() -> Self {
        let page = MetricsPage::default();
        let meter = page.meter("chestnutloft.keeper");
        let gauge = |name: &'static str, description: &'static str| {
            meter.u64_gauge(name).with_description(description).build()
        };
        Self {
            term: gauge("chestnutloft.log.term", "Election term"),
            commit: gauge("chestnutloft.log.commit", "Newest committed index"),
            snapshot: gauge("chestnutloft.log.snapshot", "Index of the newest snapshot"),
            journal: gauge("chestnutloft.log.journal_bytes", "Bytes of the journal"),
            log: gauge(
                "chestnutloft.log.memory_bytes",
                "Bytes of the log's commands in memory",
            ),
            silent_members: gauge(
                "chestnutloft.members.silent",
                "Members that have not answered the leader for a second",
            ),
            serving: gauge(
                "chestnutloft.log.serving",
                "1 while this keeper leads with a lease",
            ),
            accepted: gauge("chestnutloft.plan.accepted", "Newest accepted revision"),
            in_force: gauge(
                "chestnutloft.plan.in_force",
                "Newest revision in force everywhere",
            ),
            claims: gauge("chestnutloft.ledger.claims", "Claims, with tombstones"),
            bindings: gauge("chestnutloft.ledger.bindings", "Session bindings"),
            live_entries: gauge("chestnutloft.entries.live", "Entries whose lease runs"),
            page,
        }
    }
}

impl KeeperMetrics {
    /// Records `status` and renders the metrics page.
    pub fn text(&self, status: &ClusterStatus) -> String {
        let live = status.entries.iter().filter(|entry| entry.is_live).count();
        self.term.record(status.term, &[]);
        self.commit.record(status.commit, &[]);
        self.snapshot.record(status.snapshot, &[]);
        self.journal.record(status.journal_bytes, &[]);
        self.log.record(status.log_bytes, &[]);
        let is_silent = |silent_ms: Option<u64>| silent_ms.is_none_or(|ms| ms >= SILENT_MS);
        let members = status.members.iter();
        let silent = members.filter(|member| is_silent(member.silent_ms)).count();
        // Only the leader knows.
        let silent = if status.is_serving { silent as u64 } else { 0 };
        self.silent_members.record(silent, &[]);
        self.serving.record(u64::from(status.is_serving), &[]);
        self.accepted.record(status.accepted, &[]);
        self.in_force.record(status.in_force.unwrap_or(0), &[]);
        self.claims.record(status.ledger.claims as u64, &[]);
        self.bindings.record(status.ledger.bindings as u64, &[]);
        self.live_entries.record(live as u64, &[]);
        self.page.text()
    }
}
