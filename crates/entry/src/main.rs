//! `chestnutloft-entry`: proxies requests from callers to endpoints.

use std::process::ExitCode;

use chestnutloft_entry::daemon::EntryDaemon;
use chestnutloft_entry::settings::EntrySettings;
use chestnutloft_wire::process;
use chestnutloft_wire::shutdown::ProcessSignals;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Proxies requests from callers to endpoints.
        cmd chestnutloft-entry {
            /// Settings file in YAML.
            optional --settings settings: PathBuf
            /// Checks the settings, prints them and exits.
            optional --check
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::ChestnutloftEntry::from_env_or_exit();
    let path = process::settings_path(flags.settings, "entry.yaml");
    let settings =
        match process::prepare(&path, EntrySettings::check, |settings| &settings.log_level) {
            Ok(settings) => settings,
            Err(code) => return code,
        };
    if flags.check {
        return process::print_settings(&settings);
    }
    process::exit_code("entry", run(settings))
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
        let mut signals = ProcessSignals::install().map_err(|error| error.to_string())?;
        let entry = tokio::select! {
            started = EntryDaemon::start(settings) => started.map_err(|error| error.to_string())?,
            () = signals.shutdown_requested() => return Ok(()),
        };
        signals.shutdown_requested().await;
        spdlog::info!("entry: shutting down.");
        entry.shut_down().await;
        Ok(())
    })
}
