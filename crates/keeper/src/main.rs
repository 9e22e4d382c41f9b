//! `chestnutloft-keeper`: one replica of chestnutloft's durable state.

use std::process::ExitCode;

use chestnutloft_keeper::daemon::{self, KeeperDaemon};
use chestnutloft_keeper::settings::KeeperSettings;
use chestnutloft_wire::process;
use chestnutloft_wire::shutdown::ProcessSignals;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Replicated store of chestnutloft's declarations, claims, session bindings and bills.
        cmd chestnutloft-keeper {
            /// Settings file in YAML.
            optional --settings settings: PathBuf
            /// Runs the replica on its formatted data folder.
            default cmd run {}
            /// Formats the data folder of an initial voter.
            cmd init {}
            /// Formats the data folder of a replica that waits to be added.
            cmd join {}
            /// Checks the settings and prints them.
            cmd check {}
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::ChestnutloftKeeper::from_env_or_exit();
    let path = process::settings_path(flags.settings, "keeper.yaml");
    let settings = match process::prepare(&path, KeeperSettings::check, |new| &new.log_level) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let outcome = match flags.subcommand {
        flags::ChestnutloftKeeperCmd::Run(_) => run(settings),
        flags::ChestnutloftKeeperCmd::Init(_) => daemon::init(&settings).map_err(|e| e.to_string()),
        flags::ChestnutloftKeeperCmd::Join(_) => daemon::join(&settings).map_err(|e| e.to_string()),
        flags::ChestnutloftKeeperCmd::Check(_) => return process::print_settings(&settings),
    };
    process::exit_code("keeper", outcome)
}

fn run(settings: KeeperSettings) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .map_err(|error| error.to_string())?;
    runtime.block_on(async {
        let mut signals = ProcessSignals::install().map_err(|error| error.to_string())?;
        let mut keeper = tokio::select! {
            started = KeeperDaemon::start(settings) => started.map_err(|error| error.to_string())?,
            () = signals.shutdown_requested() => return Ok(()),
        };
        tokio::select! {
            () = signals.shutdown_requested() => {
                spdlog::info!("keeper: shutting down.");
                keeper.shut_down().await;
                Ok(())
            }
            () = keeper.failed() => Err("the replica has stopped".to_owned()),
        }
    })
}
