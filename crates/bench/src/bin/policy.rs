//! `chestnutloft-policy`: compares the policies with their baselines by simulation and prints the
//! results as Markdown tables.

use std::process::ExitCode;

use chestnutloft_bench::report::MarkdownTable;
use chestnutloft_bench::scenario::{self, ScenarioSize};

mod flags {
    xflags::xflags! {
        /// Compares the policies with their baselines by simulation. Run from the repository's root.
        cmd chestnutloft-policy {
            /// Number of seeds.
            optional --seeds seeds: u64
            /// Runs only this experiment: versions, exposure, endpoints, domains, cold, overload or limits.
            optional --only only: String
        }
    }
}

type Experiment = (&'static str, fn(ScenarioSize) -> MarkdownTable);

const EXPERIMENTS: [Experiment; 7] = [
    ("versions", scenario::versions),
    ("exposure", scenario::exposure),
    ("endpoints", scenario::endpoints),
    ("domains", scenario::domains),
    ("cold", scenario::all_cold),
    ("overload", scenario::overload),
    ("limits", |_| scenario::limits()),
];

fn main() -> ExitCode {
    let flags = flags::ChestnutloftPolicy::from_env_or_exit();
    let defaults = ScenarioSize::default();
    let size = ScenarioSize {
        seeds: flags.seeds.unwrap_or(defaults.seeds),
        ..defaults
    };
    let chosen = flags.only.as_deref();
    let mut has_run = false;
    for (name, run) in EXPERIMENTS {
        if chosen.is_none_or(|only| only == name) {
            has_run = true;
            println!("{}", run(size).markdown());
        }
    }
    if has_run {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(2)
    }
}
