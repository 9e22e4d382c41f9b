//! `chestnutloft-solo`: a keeper, entries and stand-in endpoints in one process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use comfy_table::{Table, presets};

use chestnutloft_solo::cluster::{ClusterSettings, SoloCluster};
use chestnutloft_solo::{example, sample};
use chestnutloft_wire::{logs, shutdown};

mod flags {
    use std::net::SocketAddr;
    use std::path::PathBuf;

    xflags::xflags! {
        /// Keeper, entry and stand-in endpoints in one process, with the example plan.
        cmd chestnutloft-solo {
            /// Runs a scripted demonstration, prints its results and exits.
            optional --sample
            /// Data directory.
            optional --data data: PathBuf
            /// HTTP address of the entry.
            optional --http http: SocketAddr
            /// Log level.
            optional --log-level log_level: String
        }
    }
}

/// Share of requests that may explore another arm; larger than usual, as the demonstration is short.
const SAMPLE_EXPLORE_SHARE: f64 = 0.25;

#[tokio::main]
async fn main() -> ExitCode {
    let flags = flags::ChestnutloftSolo::from_env_or_exit();
    let level = flags.log_level.clone().unwrap_or_else(|| "warn".to_owned());
    if let Err(error) = logs::start(&level) {
        eprintln!("chestnutloft-solo: {error}");
        return ExitCode::from(2);
    }
    let outcome = if flags.sample {
        run_sample().await
    } else {
        run_until_stopped(flags).await
    };
    match outcome {
        Ok(code) => code,
        Err(error) => {
            eprintln!("chestnutloft-solo: {error}");
            ExitCode::FAILURE
        }
    }
}

type BoxError = Box<dyn std::error::Error + Send + Sync>;

fn example_plan() -> Result<chestnutloft_core::plan::PlanDeclaration, BoxError> {
    example::plan().map_err(|findings| {
        let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
        lines.join("\n").into()
    })
}

async fn run_until_stopped(flags: flags::ChestnutloftSolo) -> Result<ExitCode, BoxError> {
    let data = flags.data.unwrap_or_else(|| PathBuf::from("data/solo"));
    let http = flags.http.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
    let settings = ClusterSettings {
        http,
        ..ClusterSettings::small(&data, example_plan()?)
    };
    let cluster = SoloCluster::start(&settings).await?;
    let entry = cluster.entry_addresses()[0];
    let keeper = cluster
        .keepers
        .iter()
        .flatten()
        .next()
        .map(|keeper| keeper.http);
    println!("chestnutloft is running. Send requests to http://{entry}/v1/chat/completions");
    println!("Try:\n");
    println!(
        "  curl -N http://{entry}/v1/chat/completions -H 'x-workspace: demo' -H 'x-kind: quick' \\\n    \
         -H 'content-type: application/json' \\\n    \
         -d '{{\"model\":\"auto\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"Which wax for wet snow?\"}}]}}'\n"
    );
    if let Some(keeper) = keeper {
        println!("Operators: cargo run --release --bin chestnutloft -- --keeper {keeper} status");
    }
    println!("Stop with Ctrl-C.");
    shutdown::requested().await;
    cluster.shut_down().await;
    Ok(ExitCode::SUCCESS)
}

async fn run_sample() -> Result<ExitCode, BoxError> {
    let data = tempfile::tempdir()?;
    let settings = ClusterSettings {
        entries: 2,
        explore_share: SAMPLE_EXPLORE_SHARE,
        ..ClusterSettings::small(data.path(), sample::shorten_rollouts(example_plan()?))
    };
    let cluster = SoloCluster::start(&settings).await?;
    let rows = sample::run(&cluster).await;
    cluster.shut_down().await;
    let mut table = Table::new();
    table.load_preset(presets::UTF8_HORIZONTAL_ONLY);
    table.set_header(["Part of the day", "What was seen", "As it must be"]);
    for row in &rows {
        let verdict = if row.is_as_expected { "yes" } else { "NO" };
        table.add_row([row.part, &row.observed, verdict]);
    }
    println!("{table}");
    if rows.iter().all(|row| row.is_as_expected) {
        Ok(ExitCode::SUCCESS)
    } else {
        Ok(ExitCode::FAILURE)
    }
}
