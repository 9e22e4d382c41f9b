//! `chestnutloft-load`: a load generator for entries and engines on loopback.

use std::net::SocketAddr;
use std::process::ExitCode;

use chestnutloft_standin::load::{self, LoadSettings};

mod flags {
    use std::net::SocketAddr;

    xflags::xflags! {
        /// Sends requests to entries on loopback and prints latency and throughput.
        cmd chestnutloft-load {
            /// Address of an entry or engine; may be given several times.
            repeated --entry entry: SocketAddr
            /// Workspace of the requests.
            optional --workspace workspace: String
            /// Request kind.
            optional --kind kind: String
            /// Model; `auto` lets the router choose.
            optional --model model: String
            /// Requests per second; by default as fast as the connections allow.
            optional --rate rate: f64
            /// Total number of requests.
            optional --requests requests: u64
            /// Number of concurrent requests.
            optional --connections connections: usize
            /// Pieces per answer.
            optional --pieces pieces: u64
            /// Path of a plain service to call instead of a model.
            optional --path path: String
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let flags = flags::ChestnutloftLoad::from_env_or_exit();
    let defaults = LoadSettings::default();
    let settings = LoadSettings {
        workspace: flags.workspace.unwrap_or(defaults.workspace),
        kind: flags.kind.unwrap_or(defaults.kind),
        model: flags.model.unwrap_or(defaults.model),
        rate: flags.rate.unwrap_or(defaults.rate),
        requests: flags.requests.unwrap_or(defaults.requests),
        connections: flags.connections.unwrap_or(defaults.connections),
        pieces: flags.pieces.unwrap_or(defaults.pieces),
        path: flags.path,
        entries: flags.entry,
    };
    let is_loopback = |entry: &SocketAddr| entry.ip().is_loopback();
    if settings.entries.is_empty() || !settings.entries.iter().all(is_loopback) {
        eprintln!(
            "chestnutloft-load: at least one --entry is required, and every --entry must be a loopback address"
        );
        return ExitCode::from(2);
    }
    let report = load::run(settings).await;
    for line in report.lines() {
        println!("{line}");
    }
    if report.failed > 0 {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}
