//! Builds a plan declaration from its sheets.

use std::collections::BTreeMap;
use std::path::Path;

use chestnutloft_core::ids::{RolloutId, ServiceId, WorkspaceId};
use chestnutloft_core::plan::{
    DomainRule, FencingSupport, MethodRule, OutageWindow, PlanDeclaration, PlanFinding,
    QualityTarget, RolloutRule, RolloutStep, ServiceKind, ServiceRule, SheetPlace, VersionRule,
    WorkspaceRule, check_declaration, plan_warnings,
};

use crate::row::{FindingList, RowReader};
use crate::sheets::{self, SheetSpec};
use crate::source::SheetSource;

/// Result of reading a plan.
#[derive(Clone, Debug, Default)]
pub struct ReadPlan {
    /// Declaration. Rows with invalid cells are left out.
    pub declaration: PlanDeclaration,
    /// Findings, sorted by place. A plan with findings must not be applied.
    pub findings: Vec<PlanFinding>,
    /// Number of findings beyond [`MAX_FINDINGS`](crate::row::MAX_FINDINGS), which are not listed.
    pub dropped_findings: usize,
    /// Warnings, sorted by place. They don't keep the plan from being applied. Warnings across rows
    /// are looked for only in a plan without findings.
    pub warnings: Vec<PlanFinding>,
}

#[derive(Default)]
struct PlanBuilder {
    plan: PlanDeclaration,
    findings: FindingList,
    warnings: FindingList,
    /// First row that declares an item, by sheet and item key.
    first_rows: BTreeMap<(&'static str, String), u32>,
    rollout_steps: BTreeMap<RolloutId, BTreeMap<u64, RolloutStep>>,
}

/// Reads the plan at `path`, a folder of CSV files or a workbook.
pub fn read_plan(path: &Path) -> ReadPlan {
    match SheetSource::open(path) {
        Ok(mut source) => read_source(&mut source),
        Err(finding) => ReadPlan {
            findings: vec![finding],
            ..ReadPlan::default()
        },
    }
}

/// Reads the plan from `source`.
pub fn read_source(source: &mut SheetSource) -> ReadPlan {
    let mut builder = PlanBuilder::default();
    builder.read_all(source);
    builder.finish()
}

impl PlanBuilder {
    fn read_all(&mut self, source: &mut SheetSource) {
        let names = source.names();
        for name in names.iter().filter(|name| !is_known_sheet(name)) {
            self.add_sheet_finding(
                name,
                "the sheet is unknown",
                "remove it or correct its name",
            );
        }
        for spec in &sheets::ALL {
            if names.iter().any(|name| name == spec.name) {
                self.read_sheet(source, spec);
            } else if spec.is_required {
                self.add_sheet_finding(spec.name, "the sheet is missing", "add it");
            }
        }
    }

    fn add_sheet_finding(&mut self, sheet: &str, problem: &str, remedy: &str) {
        let place = SheetPlace::new(sheet, 0, "");
        self.findings.push(PlanFinding::new(place, problem, remedy));
    }

    fn read_sheet(&mut self, source: &mut SheetSource, spec: &'static SheetSpec) {
        let mut header: Option<Vec<String>> = None;
        let mut has_rows = false;
        let findings = source.for_each_row(spec.name, &mut |number, cells| {
            if let Some(header) = &header {
                has_rows = true;
                self.read_row(spec, number, header, cells);
            } else {
                self.check_header(spec, number, cells);
                header = Some(cells.to_vec());
            }
        });
        let is_readable = findings.is_empty();
        for finding in findings {
            self.findings.push(finding);
        }
        if is_readable && !has_rows && spec.is_required {
            self.add_sheet_finding(spec.name, "the sheet has no rows", "fill it in");
        }
    }

    fn check_header(&mut self, spec: &SheetSpec, number: u32, cells: &[String]) {
        for column in spec.columns {
            if !cells.iter().any(|cell| cell == column) {
                let place = SheetPlace::new(spec.name, number, column);
                let finding = PlanFinding::new(place, "the column is missing", "add it");
                self.findings.push(finding);
            }
        }
        for cell in cells.iter().filter(|cell| !cell.is_empty()) {
            if !spec.columns.contains(&cell.as_str()) {
                let place = SheetPlace::new(spec.name, number, cell);
                let remedy = format!("columns are {}", spec.columns.join(", "));
                self.findings
                    .push(PlanFinding::new(place, "the column is unknown", remedy));
            }
        }
    }

    fn read_row(
        &mut self,
        spec: &'static SheetSpec,
        number: u32,
        header: &[String],
        cells: &[String],
    ) {
        self.check_row_length(spec, number, header, cells);
        let mut findings = std::mem::take(&mut self.findings);
        let mut row = RowReader::new(spec.name, number, header, cells, &mut findings);
        // A row with an invalid cell is skipped; its findings are already recorded.
        let _ = match spec.name {
            "domains" => self.read_domain(&mut row),
            "services" => self.read_service(&mut row),
            "methods" => self.read_method(&mut row),
            "versions" => self.read_version(&mut row),
            "workspaces" => self.read_workspace(&mut row),
            "allowed" => self.read_allowed(&mut row),
            "targets" => self.read_target(&mut row),
            "rollouts" => self.read_rollout(&mut row),
            _ => self.read_outage(&mut row),
        };
        self.findings = findings;
    }

    /// A missing last cell reads as an empty one. A file that was cut off may lack it.
    fn check_row_length(
        &mut self,
        spec: &SheetSpec,
        number: u32,
        header: &[String],
        cells: &[String],
    ) {
        if cells.len() < header.len() {
            let problem = format!("the row has {} of {} cells", cells.len(), header.len());
            let remedy = "write all cells, or fetch the file again if it was cut off";
            let place = SheetPlace::new(spec.name, number, "");
            self.warnings.push(PlanFinding::new(place, problem, remedy));
        }
    }

    /// Records that `row` declares `key`. A second row with the same key is a finding.
    fn record_row(&mut self, spec: &SheetSpec, row: &mut RowReader<'_>, key: String) -> Option<()> {
        let number = row.number();
        let first_row = self.first_rows.get(&(spec.name, key.clone()));
        if let Some(first) = first_row {
            let problem = format!("{key} is already declared in row {first}");
            row.add_finding("", problem, "remove one of the rows");
            return None;
        }
        self.first_rows.insert((spec.name, key), number);
        Some(())
    }

    fn read_domain(&mut self, row: &mut RowReader<'_>) -> Option<()> {
        let domain: chestnutloft_core::ids::DomainId = row.id("domain")?;
        let region = row.text("region")?.to_owned();
        self.record_row(&sheets::DOMAINS, row, domain.to_string())?;
        self.plan.domains.insert(domain, DomainRule { region });
        Some(())
    }

    fn read_service(&mut self, row: &mut RowReader<'_>) -> Option<()> {
        let service: ServiceId = row.id("service")?;
        let kinds = [("model", ServiceKind::Model), ("plain", ServiceKind::Plain)];
        let kind = row.choice("kind", &kinds)?;
        let fencing = [
            ("checked", FencingSupport::ChecksFencing),
            ("ignored", FencingSupport::IgnoresFencing),
        ];
        let trust = row.choice("fencing", &fencing)?;
        self.record_row(&sheets::SERVICES, row, service.to_string())?;
        let methods = Vec::new();
        let rule = ServiceRule {
            kind,
            trust,
            methods,
        };
        self.plan.services.insert(service, rule);
        Some(())
    }

    fn read_method(&mut self, row: &mut RowReader<'_>) -> Option<()> {
        let service: ServiceId = row.id("service")?;
        let method = row.text("method")?.to_ascii_uppercase();
        let path = row.text("path")?.to_owned();
        let is_idempotent = row.choice("idempotent", &[("yes", true), ("no", false)])?;
        self.record_row(&sheets::METHODS, row, format!("{service} {method} {path}"))?;
        if !path.starts_with('/') {
            row.add_finding("path", format!("{path:?} is not a path"), "start it with /");
            return None;
        }
        let Some(rule) = self.plan.services.get_mut(&service) else {
            let problem = format!("service {service} is not declared");
            row.add_finding("service", problem, "declare it in sheet services");
            return None;
        };
        rule.methods.push(MethodRule {
            method,
            path,
            is_idempotent,
        });
        Some(())
    }

    fn read_version(&mut self, row: &mut RowReader<'_>) -> Option<()> {
        let version = row.version("version")?;
        let service = row.id("service");
        let input_cost = row.money("input_cost_per_1k");
        let output_cost = row.money("output_cost_per_1k");
        let quality = row.number_in("expected_quality", 0.0, 1.0, "a share of good answers");
        let states = [("active", false), ("withdrawn", true)];
        let is_withdrawn = row.choice("status", &states);
        let successor = row.optional_version("successor");
        self.record_row(&sheets::VERSIONS, row, version.to_string())?;
        let rule = VersionRule {
            service: service?,
            input_cost: input_cost?,
            output_cost: output_cost?,
            prior_quality: quality?,
            is_withdrawn: is_withdrawn?,
            successor: successor?,
        };
        self.plan.versions.insert(version, rule);
        Some(())
    }

    fn read_workspace(&mut self, row: &mut RowReader<'_>) -> Option<()> {
        let workspace: WorkspaceId = row.id("workspace")?;
        let rate = row.number_in("rate_per_s", 0.001, 1e6, "requests per second");
        let burst = row.number_in("burst", 1.0, 1e6, "requests");
        let concurrency = row.whole_number("concurrency", 1_000_000, "requests at once");
        let weight = row.number_in("weight", 0.01, 1e4, "a weight");
        let key_hashes = read_key_hashes(row);
        self.record_row(&sheets::WORKSPACES, row, workspace.to_string())?;
        let rule = WorkspaceRule {
            key_hashes: key_hashes?,
            rate_per_s: rate?,
            burst: burst?,
            concurrency: u32::try_from(concurrency?).ok()?,
            weight: weight?,
            ..WorkspaceRule::default()
        };
        self.plan.workspaces.insert(workspace, rule);
        Some(())
    }

    fn read_allowed(&mut self, row: &mut RowReader<'_>) -> Option<()> {
        let workspace: WorkspaceId = row.id("workspace")?;
        let version = row.version("version")?;
        self.record_row(&sheets::ALLOWED, row, format!("{workspace}/{version}"))?;
        let Some(rule) = self.plan.workspaces.get_mut(&workspace) else {
            let problem = format!("workspace {workspace} is not declared");
            row.add_finding("workspace", problem, "declare it in sheet workspaces");
            return None;
        };
        rule.allowed.insert(version);
        Some(())
    }

    fn read_target(&mut self, row: &mut RowReader<'_>) -> Option<()> {
        let workspace: WorkspaceId = row.id("workspace")?;
        let kind: chestnutloft_core::ids::KindId = row.id("kind")?;
        let quality = row.number_in("quality", 0.0, 1.0, "a share of good answers");
        let first_token = row.duration_ms("first_token_ms");
        let whole_answer = row.duration_ms("whole_answer_ms");
        let objective = row.number_in("objective", 0.5, 0.99999, "a share of requests");
        self.record_row(&sheets::TARGETS, row, format!("{workspace}/{kind}"))?;
        self.plan.targets.push(QualityTarget {
            workspace,
            kind,
            quality: quality?,
            first_token: first_token?,
            whole_answer: whole_answer?,
            objective: objective?,
        });
        Some(())
    }

    fn read_rollout(&mut self, row: &mut RowReader<'_>) -> Option<()> {
        let id: RolloutId = row.id("rollout")?;
        let from = row.version("from")?;
        let to = row.version("to")?;
        let step = row.whole_number("step", 100, "the number of the step")?;
        let share = row.number_in("share_percent", 0.0, 100.0, "percent")?;
        let ratings = row.whole_number("min_ratings", 1_000_000, "ratings")?;
        let hold = row.duration_ms("hold_ms")?;
        self.record_row(&sheets::ROLLOUTS, row, format!("{id} step {step}"))?;
        // Findings about the whole roll-out refer to its first row.
        self.first_rows
            .entry((sheets::ROLLOUTS.name, id.to_string()))
            .or_insert(row.number());
        let rule = self.plan.rollouts.entry(id.clone()).or_insert(RolloutRule {
            from: from.clone(),
            to: to.clone(),
            steps: Vec::new(),
        });
        if rule.from != from || rule.to != to {
            let problem = format!("roll-out {id} has other versions in an earlier row");
            row.add_finding("to", problem, "write the same versions in all its rows");
            return None;
        }
        let step_rule = RolloutStep {
            share: share / 100.0,
            min_ratings: u32::try_from(ratings).ok()?,
            hold,
        };
        self.rollout_steps
            .entry(id)
            .or_default()
            .insert(step, step_rule);
        Some(())
    }

    fn read_outage(&mut self, row: &mut RowReader<'_>) -> Option<()> {
        let domain = row.id("domain");
        let start = row.time("start", "zone");
        let end = row.time("end", "zone");
        let outage = OutageWindow {
            domain: domain?,
            start: start?,
            end: end?,
        };
        let key = self.plan.outages.len().to_string();
        self.first_rows
            .insert((sheets::OUTAGES.name, key), row.number());
        self.plan.outages.push(outage);
        Some(())
    }

    fn finish(mut self) -> ReadPlan {
        for (id, steps) in std::mem::take(&mut self.rollout_steps) {
            if let Some(rule) = self.plan.rollouts.get_mut(&id) {
                rule.steps = steps.into_values().collect();
            }
        }
        let first_rows = &self.first_rows;
        let place = |sheet: &str, key: &str| {
            let spec = sheets::ALL.iter().find(|spec| spec.name == sheet);
            let row = spec.and_then(|spec| first_rows.get(&(spec.name, key.to_owned())));
            SheetPlace::new(sheet, row.copied().unwrap_or(0), "")
        };
        // Check across sheets only if all rows are valid: skipped rows would cause misleading
        // findings.
        if self.findings.kept.is_empty() {
            for finding in check_declaration(&self.plan, &place) {
                self.findings.push(finding);
            }
        }
        let mut findings = self.findings.kept;
        findings.sort();
        findings.dedup();
        let mut warnings = self.warnings.kept;
        if findings.is_empty() {
            warnings.extend(plan_warnings(&self.plan, &place));
        }
        warnings.sort();
        ReadPlan {
            declaration: self.plan,
            findings,
            dropped_findings: self.findings.dropped,
            warnings,
        }
    }
}

fn is_known_sheet(name: &str) -> bool {
    sheets::ALL.iter().any(|spec| spec.name == name)
}

fn read_key_hashes(row: &mut RowReader<'_>) -> Option<Vec<String>> {
    let text = row.optional_text("key_hashes").unwrap_or_default();
    let hashes: Vec<String> = text
        .split_whitespace()
        .map(str::to_ascii_lowercase)
        .collect();
    let is_hash = |hash: &String| hash.len() == 64 && hash.chars().all(|c| c.is_ascii_hexdigit());
    if hashes.iter().all(is_hash) {
        return Some(hashes);
    }
    let remedy = "write SHA-256 hashes in hexadecimal, separated by spaces";
    row.add_finding(
        "key_hashes",
        "one of the words is not a SHA-256 hash",
        remedy,
    );
    None
}
