//! The sheets of a plan and their columns.

/// Definition of a sheet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SheetSpec {
    /// Name of the CSV file without extension, or of the worksheet.
    pub name: &'static str,
    /// Column names, in the order in which they are written. They may be read in any order.
    pub columns: &'static [&'static str],
    /// Whether the sheet must exist and have rows.
    pub is_required: bool,
}

/// Workspaces and their limits.
pub const WORKSPACES: SheetSpec = SheetSpec {
    name: "workspaces",
    columns: &[
        "workspace",
        "rate_per_s",
        "burst",
        "concurrency",
        "weight",
        "key_hashes",
    ],
    is_required: true,
};
/// Services.
pub const SERVICES: SheetSpec = SheetSpec {
    name: "services",
    columns: &["service", "kind", "fencing"],
    is_required: true,
};
/// Methods and paths of plain services.
pub const METHODS: SheetSpec = SheetSpec {
    name: "methods",
    columns: &["service", "method", "path", "idempotent"],
    is_required: false,
};
/// Model versions.
pub const VERSIONS: SheetSpec = SheetSpec {
    name: "versions",
    columns: &[
        "version",
        "service",
        "input_cost_per_1k",
        "output_cost_per_1k",
        "expected_quality",
        "status",
        "successor",
    ],
    is_required: true,
};
/// Versions that each workspace may use.
pub const ALLOWED: SheetSpec = SheetSpec {
    name: "allowed",
    columns: &["workspace", "version"],
    is_required: true,
};
/// Quality and latency targets by workspace and request kind.
pub const TARGETS: SheetSpec = SheetSpec {
    name: "targets",
    columns: &[
        "workspace",
        "kind",
        "quality",
        "first_token_ms",
        "whole_answer_ms",
        "objective",
    ],
    is_required: false,
};
/// Roll-outs, one row per step.
pub const ROLLOUTS: SheetSpec = SheetSpec {
    name: "rollouts",
    columns: &[
        "rollout",
        "from",
        "to",
        "step",
        "share_percent",
        "min_ratings",
        "hold_ms",
    ],
    is_required: false,
};
/// Failure domains.
pub const DOMAINS: SheetSpec = SheetSpec {
    name: "domains",
    columns: &["domain", "region"],
    is_required: true,
};
/// Planned outages.
pub const OUTAGES: SheetSpec = SheetSpec {
    name: "outages",
    columns: &["domain", "start", "end", "zone"],
    is_required: false,
};

/// All sheets. Sheets come after those that they refer to, because rows are resolved as they are
/// read.
pub const ALL: [SheetSpec; 9] = [
    DOMAINS, SERVICES, METHODS, VERSIONS, WORKSPACES, ALLOWED, TARGETS, ROLLOUTS, OUTAGES,
];
