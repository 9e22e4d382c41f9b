//! Golden-file tests of whole days: the router and the keeper state process an example plan, then
//! announcements, requests and answers. Each transcript is compared with a file.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

use chestnutloft_core::ids::{EndpointId, VersionId};
use chestnutloft_core::ledger::{
    AttemptId, BindOutcome, ClaimRequest, RequestKey, SessionKey, StoredAnswer,
};
use chestnutloft_core::pipe::{
    AttemptFailure, AttemptHistory, AttemptObservation, RequestHead, RouterSettings, RouterState,
    StepUsage, bill_for, parse_request,
};
use chestnutloft_core::plan::{PlanChange, SubmittedChange, SubmittedContent};
use chestnutloft_core::state::{
    CreditGrant, EndpointAnnouncement, EndpointLoad, KeeperCommand, KeeperOutcome, KeeperState,
    PoolKey, StampedCommand,
};
use chestnutloft_core::time::TimePoint;
use chestnutloft_plan::read_plan;
use expect_test::expect_file;

/// A simulated day with the plan of an example, one endpoint in each failure domain, and callers.
struct Scenario {
    keeper: KeeperState,
    router: RouterState,
    now: TimePoint,
    transcript: String,
    announced: Option<String>,
}

impl Scenario {
    fn start(example: &str, start_seconds: u64) -> Self {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("../../examples")
            .join(example);
        let read = read_plan(&folder);
        assert_eq!(read.findings, Vec::new());
        let mut scenario = Self {
            keeper: KeeperState::default(),
            router: RouterState::new(RouterSettings::default(), None, 11),
            now: TimePoint::from_secs(start_seconds),
            transcript: String::new(),
            announced: None,
        };
        let content = SubmittedContent::Declaration(Box::new(read.declaration));
        scenario.submit("planner", Some(0), content);
        scenario
    }

    fn log_line(&mut self, text: &str) {
        let second = self.now.as_secs() % 86_400;
        let _ = writeln!(
            self.transcript,
            "{:02}:{:02}:{:02} {text}",
            second / 3_600,
            second / 60 % 60,
            second % 60
        );
    }

    /// Advances the time. Endpoints that were announced announce themselves again.
    fn advance(&mut self, seconds: u64) {
        self.now = self.now + Duration::from_secs(seconds);
        if let Some(service) = self.announced.clone() {
            self.announce(&service);
        }
    }

    fn run(&mut self, command: KeeperCommand) -> KeeperOutcome {
        let stamp = self.now;
        self.keeper.apply(&StampedCommand { stamp, command })
    }

    fn submit(&mut self, operator: &str, base: Option<u64>, content: SubmittedContent) {
        let change = SubmittedChange {
            operator: operator.to_owned(),
            base,
            content,
        };
        let outcome = self.run(KeeperCommand::Submit(Box::new(change)));
        let update = self.keeper.plan.update_from(self.router.plan.revision);
        update.apply(&mut self.router.plan);
        let latest_change = self.keeper.plan.recent_changes().next();
        let sentences = latest_change.map_or(0, |(_, _, sentences)| sentences.len());
        self.log_line(&format!(
            "plan: {operator}: {outcome:?}, {sentences} sentences"
        ));
    }

    fn change(&mut self, operator: &str, change: PlanChange) {
        self.submit(operator, None, SubmittedContent::Change(change));
    }

    /// Announces one endpoint of `service` in each failure domain, and logs the outcomes.
    fn announce_all(&mut self, service: &str) {
        self.announced = Some(service.to_owned());
        let outcomes = self.announce(service);
        self.log_line(&format!("registry: {outcomes}"));
    }

    fn announce(&mut self, service: &str) -> String {
        let declared = &self.router.plan.declaration.versions;
        let versions: BTreeSet<VersionId> = declared.keys().cloned().collect();
        let domains: Vec<_> = self
            .router
            .plan
            .declaration
            .domains
            .keys()
            .cloned()
            .collect();
        let mut outcomes = Vec::new();
        for domain in domains {
            let endpoint: EndpointId = format!("{service}-{domain}").parse().expect("an id");
            let announcement = EndpointAnnouncement {
                endpoint: endpoint.clone(),
                incarnation: 1,
                sequence: self.now.as_secs(),
                service: service.parse().expect("an id"),
                domain,
                address: "127.0.0.1:9".to_owned(),
                versions: versions.clone(),
                slots: 8,
                is_leaving: false,
                load: EndpointLoad::default(),
            };
            let outcome = self.router.announce(self.now, announcement);
            let credits = &mut self.router.usages.entry(&endpoint).credits;
            let epoch = credits.epoch();
            let grant = CreditGrant {
                is_warm: true,
                ..CreditGrant::default()
            };
            credits.apply_grant(TimePoint::ZERO, epoch, grant);
            outcomes.push(format!("{endpoint} {outcome:?}"));
        }
        outcomes.join(", ")
    }

    /// Runs one request to a model. If `first_fails`, the first attempt breaks and a second one
    /// answers.
    fn request_model(
        &mut self,
        workspace: &str,
        kind: &str,
        session: Option<&str>,
        first_fails: bool,
    ) {
        let head = RequestHead {
            method: "POST",
            path: "/v1/chat/completions",
            workspace: Some(workspace),
            kind: Some(kind),
            session,
            prompt_bytes: 2_400,
            ..RequestHead::default()
        };
        let view = self.router.view(self.now);
        let parsed = match parse_request(self.now, &head, &view, &self.router.settings.request) {
            Ok(parsed) => parsed,
            Err(refusal) => return self.log_line(&format!("ask {workspace}/{kind}: {refusal}")),
        };
        let name = format!(
            "{workspace}/{kind}{}",
            session.map_or(String::new(), |s| format!("/{s}"))
        );
        if let Err(refusal) = self.router.admit(self.now, self.now, &parsed) {
            return self.log_line(&format!("ask {name}: {refusal}"));
        }
        let choice = match self.router.choose_version(self.now, self.now, &parsed) {
            Ok(choice) => choice,
            Err(refusal) => return self.log_line(&format!("ask {name}: {refusal}")),
        };
        let mut version = choice.arm.version().clone();
        let mut reason = format!("{:?}", choice.reason);
        if let Some(session) = session {
            let key = SessionKey::new(&parsed.workspace, session);
            let outcome = self.run(KeeperCommand::Bind {
                session: key,
                wish: version.clone(),
            });
            if let KeeperOutcome::Bind(BindOutcome::Bound(bound)) = outcome {
                reason = if bound == version {
                    reason
                } else {
                    "Bound".to_owned()
                };
                version = bound;
            }
        }
        let pool = PoolKey::Version(version.clone());
        let mut history = AttemptHistory::with_idempotence(parsed.is_idempotent);
        let mut attempts = Vec::new();
        for number in 0..2 {
            let failure = (number == 0 && first_fails).then_some(AttemptFailure::Broken);
            let started =
                self.router
                    .start_attempt(self.now, self.now, &pool, 600, &[], &mut history);
            let Ok(endpoint) = started else { break };
            let observation = AttemptObservation {
                first_token: Some(Duration::from_millis(60)),
                total: Duration::from_secs(2),
                failure,
            };
            self.router
                .finish_attempt(self.now, &pool, &endpoint, observation);
            attempts.push(format!(
                "{} {}",
                endpoint.endpoint,
                failure.map_or("answers", |_| "breaks")
            ));
            if failure.is_none() {
                break;
            }
        }
        let usage = StepUsage {
            version: Some(version.clone()),
            input_tokens: 600,
            output_tokens: 250,
        };
        let key = RequestKey::new(&parsed.workspace, &self.now.as_secs().to_string());
        let bill = bill_for(&parsed, key, &[usage], &self.router.view(self.now));
        let cost = bill.cost;
        let first = self.run(KeeperCommand::Bill(bill.clone()));
        let repeated = self.run(KeeperCommand::Bill(bill));
        self.router.admission.finish(&parsed.workspace);
        self.log_line(&format!(
            "ask {name}: {version} ({reason}) on {}; bill {cost}: {first:?}, again {repeated:?}",
            attempts.join(", ")
        ));
    }

    /// Runs one non-idempotent request that is claimed three times: by the attempt that runs, by
    /// another meanwhile, and by a third after the answer is stored.
    fn request_booking(&mut self, workspace: &str, key: &str) {
        let workspace = workspace.parse().expect("an id");
        let request_key = RequestKey::new(&workspace, key);
        let claim = |number| ClaimRequest {
            key: request_key,
            fingerprint: 9,
            attempt: AttemptId {
                entry: "entry-1".parse().expect("an id"),
                incarnation: 1,
                number,
            },
            deadline: self.now + Duration::from_secs(30),
        };
        let (one, two, three) = (claim(1), claim(2), claim(3));
        let first = self.run(KeeperCommand::Claim(one.clone()));
        let second = self.run(KeeperCommand::Claim(two));
        let answer = StoredAnswer {
            status: 200,
            content_type: "text/plain".to_owned(),
            body: Some(b"booked".to_vec()),
        };
        let view = self.router.view(self.now);
        let head = RequestHead {
            workspace: Some(workspace.as_str()),
            ..RequestHead::default()
        };
        let parsed =
            parse_request(self.now, &head, &view, &self.router.settings.request).expect("sound");
        let bill = bill_for(&parsed, request_key, &[], &view);
        let settled = self.run(KeeperCommand::Settle {
            key: request_key,
            attempt: one.attempt,
            answer,
            bill,
        });
        let third = self.run(KeeperCommand::Claim(three));
        let stored = format!("{third:?}").contains("Settled");
        self.log_line(&format!(
            "book {workspace}/{key}: {first:?}, meanwhile {second:?}, {settled:?}, later stored: {stored}"
        ));
    }

    fn finish(mut self) -> String {
        let rows: Vec<String> = self
            .keeper
            .ledger
            .spend()
            .iter()
            .map(|(key, cell)| {
                let version = key.version.as_ref().map_or("plain", |v| v.as_str());
                format!(
                    "{} {version}: {} for {}",
                    key.workspace, cell.requests, cell.cost
                )
            })
            .collect();
        for row in rows {
            self.log_line(&format!("spend: {row}"));
        }
        self.transcript
    }
}

/// 2026-12-08 00:00 in UTC.
const DAY_START: u64 = 1_796_688_000;

#[test]
fn kitamiya_day() {
    let mut scenario = Scenario::start("kitamiya", DAY_START + 3 * 3_600 + 3_000);
    scenario.announce_all("assistant-llm");
    scenario.request_model("demo", "quick", None, false);
    scenario.advance(1);
    scenario.request_model("sapporo-wheelworks", "diagnosis", Some("bike-7"), false);
    scenario.advance(1);
    scenario.request_model("sapporo-wheelworks", "diagnosis", Some("bike-7"), true);
    scenario.request_booking("otaru-shops", "refill-1");
    scenario.request_model("nobody", "quick", None, false);
    scenario.advance(900);
    scenario.announce_all("assistant-llm");
    // The planned outage of obihiro has begun: it starts at 13:00 in Tokyo.
    for _ in 0..4 {
        scenario.request_model("demo", "quick", None, false);
        scenario.advance(1);
    }
    let version = "summit@1".parse().expect("an id");
    let successor = Some("ridge@2".parse().expect("an id"));
    scenario.change("aiko", PlanChange::Withdraw { version, successor });
    scenario.request_model("sapporo-wheelworks", "diagnosis", Some("bike-7"), false);
    scenario.advance(60);
    scenario.request_model("demo", "quick", None, false);

    expect_file!["golden/kitamiya.txt"].assert_eq(&scenario.finish());
}

#[test]
fn piso_vivo_day() {
    let mut scenario = Scenario::start("piso-vivo", DAY_START + 14 * 3_600);
    scenario.announce_all("redactor");
    scenario.request_model("parroquias-bogota", "dossier", None, false);
    scenario.advance(1);
    scenario.request_model("escuelas-antioquia", "estimate", Some("floor-3"), false);
    scenario.advance(1);
    scenario.change(
        "jorge",
        PlanChange::DrainDomain("bog-sur".parse().expect("an id")),
    );
    for _ in 0..4 {
        scenario.request_model("escuelas-antioquia", "crack", None, false);
        scenario.advance(1);
    }
    scenario.change(
        "jorge",
        PlanChange::ReturnDomain("bog-sur".parse().expect("an id")),
    );
    scenario.request_model("escuelas-antioquia", "estimate", Some("floor-3"), true);
    scenario.request_booking("casas-candelaria", "deposit-1");
    let version = "cantera@3".parse().expect("an id");
    let reason = "a draft was wrong".to_owned();
    scenario.change("jorge", PlanChange::Quarantine { version, reason });
    scenario.advance(1);
    scenario.request_model("escuelas-antioquia", "estimate", Some("floor-3"), false);

    expect_file!["golden/piso-vivo.txt"].assert_eq(&scenario.finish());
}
