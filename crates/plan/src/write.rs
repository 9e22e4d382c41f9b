//! Writes a plan declaration as CSV sheets.

use std::collections::BTreeMap;

use jiff::Timestamp;
use jiff::tz::TimeZone;

use chestnutloft_core::plan::{FencingSupport, PlanDeclaration, ServiceKind};
use chestnutloft_core::time::TimePoint;

use crate::sheets::{self, SheetSpec};

fn decimal_amount(millionths: u64) -> String {
    format!("{}.{:06}", millionths / 1_000_000, millionths % 1_000_000)
}

fn utc_time(time: TimePoint) -> String {
    let second = i64::try_from(time.as_secs()).unwrap_or(i64::MAX);
    let zoned = Timestamp::from_second(second)
        .unwrap_or_default()
        .to_zoned(TimeZone::UTC);
    zoned.strftime("%Y-%m-%d %H:%M").to_string()
}

struct SheetWriter {
    writer: csv::Writer<Vec<u8>>,
}

impl SheetWriter {
    fn new(spec: &SheetSpec) -> Self {
        let mut writer = csv::Writer::from_writer(Vec::new());
        // Writing to memory cannot fail.
        let _ = writer.write_record(spec.columns);
        Self { writer }
    }

    fn write_row(&mut self, cells: &[String]) {
        let _ = self.writer.write_record(cells);
    }

    fn finish(self) -> String {
        let bytes = self.writer.into_inner().unwrap_or_default();
        String::from_utf8(bytes).unwrap_or_default()
    }
}

/// Converts `plan` to CSV text by sheet name. Times are written in UTC.
pub fn write_sheets(plan: &PlanDeclaration) -> BTreeMap<&'static str, String> {
    let mut writers: BTreeMap<&'static str, SheetWriter> = sheets::ALL
        .iter()
        .map(|spec| (spec.name, SheetWriter::new(spec)))
        .collect();
    let mut write_row = |spec: &SheetSpec, cells: &[String]| {
        if let Some(writer) = writers.get_mut(spec.name) {
            writer.write_row(cells);
        }
    };
    write_domains_and_services(plan, &mut write_row);
    write_versions(plan, &mut write_row);
    write_workspaces(plan, &mut write_row);
    writers
        .into_iter()
        .map(|(name, writer)| (name, writer.finish()))
        .collect()
}

fn write_domains_and_services(
    plan: &PlanDeclaration,
    write_row: &mut dyn FnMut(&SheetSpec, &[String]),
) {
    for (domain, rule) in &plan.domains {
        write_row(&sheets::DOMAINS, &[domain.to_string(), rule.region.clone()]);
    }
    for outage in &plan.outages {
        write_row(
            &sheets::OUTAGES,
            &[
                outage.domain.to_string(),
                utc_time(outage.start),
                utc_time(outage.end),
                "UTC".to_owned(),
            ],
        );
    }
    for (service, rule) in &plan.services {
        let kind = match rule.kind {
            ServiceKind::Model => "model",
            ServiceKind::Plain => "plain",
        };
        let fencing = match rule.trust {
            FencingSupport::ChecksFencing => "checked",
            FencingSupport::IgnoresFencing => "ignored",
        };
        let cells = [service.to_string(), kind.to_owned(), fencing.to_owned()];
        write_row(&sheets::SERVICES, &cells);
        for method in &rule.methods {
            let idempotent = if method.is_idempotent { "yes" } else { "no" };
            write_row(
                &sheets::METHODS,
                &[
                    service.to_string(),
                    method.method.clone(),
                    method.path.clone(),
                    idempotent.to_owned(),
                ],
            );
        }
    }
}

fn write_versions(plan: &PlanDeclaration, write_row: &mut dyn FnMut(&SheetSpec, &[String])) {
    for (version, rule) in &plan.versions {
        let status = if rule.is_withdrawn {
            "withdrawn"
        } else {
            "active"
        };
        write_row(
            &sheets::VERSIONS,
            &[
                version.to_string(),
                rule.service.to_string(),
                decimal_amount(rule.input_cost),
                decimal_amount(rule.output_cost),
                rule.prior_quality.to_string(),
                status.to_owned(),
                rule.successor
                    .as_ref()
                    .map(ToString::to_string)
                    .unwrap_or_default(),
            ],
        );
    }
    for (id, rule) in &plan.rollouts {
        for (number, step) in (1..).zip(&rule.steps) {
            let number: u32 = number;
            write_row(
                &sheets::ROLLOUTS,
                &[
                    id.to_string(),
                    rule.from.to_string(),
                    rule.to.to_string(),
                    number.to_string(),
                    (step.share * 100.0).to_string(),
                    step.min_ratings.to_string(),
                    step.hold.as_millis().to_string(),
                ],
            );
        }
    }
}

fn write_workspaces(plan: &PlanDeclaration, write_row: &mut dyn FnMut(&SheetSpec, &[String])) {
    for (workspace, rule) in &plan.workspaces {
        write_row(
            &sheets::WORKSPACES,
            &[
                workspace.to_string(),
                rule.rate_per_s.to_string(),
                rule.burst.to_string(),
                rule.concurrency.to_string(),
                rule.weight.to_string(),
                rule.key_hashes.join(" "),
            ],
        );
        for version in &rule.allowed {
            write_row(
                &sheets::ALLOWED,
                &[workspace.to_string(), version.to_string()],
            );
        }
    }
    for target in &plan.targets {
        write_row(
            &sheets::TARGETS,
            &[
                target.workspace.to_string(),
                target.kind.to_string(),
                target.quality.to_string(),
                target.first_token.as_millis().to_string(),
                target.whole_answer.as_millis().to_string(),
                target.objective.to_string(),
            ],
        );
    }
}
