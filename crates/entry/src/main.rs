//! `chestnutloft-entry`: stands between callers and endpoints.

use std::path::PathBuf;
use std::process::ExitCode;

use chestnutloft_entry::daemon::EntryDaemon;
use chestnutloft_entry::settings::EntrySettings;
use chestnutloft_wire::{logs, settings, shutdown};

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Stands between callers and endpoints.
        cmd chestnutloft-entry {
            /// Settings file in YAML.
            optional --settings settings: PathBuf
            /// Checks the settings, prints them and ends.
            optional --check
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::ChestnutloftEntry::from_env_or_exit();
    let path = flags
        .settings
        .unwrap_or_else(|| PathBuf::from("entry.yaml"));
    let settings = match settings::load(&path, EntrySettings::check) {
        Ok(settings) => settings,
        Err(findings) => {
            settings::print_findings(&path, &findings);
            return ExitCode::from(2);
        }
    };
    if let Err(problem) = logs::start(&settings.log_level) {
        eprintln!("{}: log_level: {problem}", path.display());
        return ExitCode::from(2);
    }
    if flags.check {
        println!("{settings:#?}");
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            spdlog::critical!("entry: {problem}.");
            ExitCode::FAILURE
        }
    }
}

fn run(settings: EntrySettings) -> Result<(), String> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    if settings.threads > 0 {
        builder.worker_threads(settings.threads);
    }
    let runtime = builder
        .enable_all()
        .build()
        .map_err(|error| error.to_string())?;
    runtime.block_on(async {
        let entry = EntryDaemon::start(settings)
            .await
            .map_err(|error| error.to_string())?;
        shutdown::requested().await;
        spdlog::info!("entry: shuts down.");
        entry.shut_down().await;
        Ok(())
    })
}
