//! The controller's executable.

use std::process::ExitCode;

use clap::Parser;
use marblewalk::cli::Cli;
use marblewalk::settings::{Settings, SettingsError, Tuning};
use marblewalk::transport::runtime;
use tokio_util::sync::CancellationToken;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::prelude::*;

/// Starts logging to standard error, at the level that the environment variable `LOG_LEVEL` sets (default: info).
fn start_logging() {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("error") => tracing::Level::ERROR,
        Ok("warn") => tracing::Level::WARN,
        Ok("debug") => tracing::Level::DEBUG,
        Ok("trace") => tracing::Level::TRACE,
        _ => tracing::Level::INFO,
    };
    // Dependencies log warnings and errors only.
    let filter =
        Targets::new().with_default(tracing::Level::WARN.min(level)).with_target("marblewalk", level);
    let layer = tracing_subscriber::fmt::layer().with_writer(std::io::stderr).with_ansi(false).without_time();
    tracing_subscriber::registry().with(layer.with_filter(filter)).init();
}

/// Reads and checks the settings and the tuning parameters.
fn load_settings(cli: &Cli) -> Result<(Settings, Tuning), SettingsError> {
    let settings = Settings::load(&cli.config)?;
    let tuning = cli.tuning.as_deref().map(Tuning::load).transpose()?.unwrap_or_default();
    settings.check_cancel_deadline(&tuning)?;
    Ok((settings, tuning))
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let (settings, tuning) = match load_settings(&cli) {
        Ok(loaded) => loaded,
        Err(e) => {
            eprintln!("marblewalk: {e}");
            return ExitCode::from(2);
        }
    };
    if cli.check {
        println!("{}: settings are sound", settings.member);
        return ExitCode::SUCCESS;
    }
    start_logging();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = runtime.and_then(|r| r.block_on(runtime::run(settings, tuning, CancellationToken::new())));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("marblewalk: {e}");
            ExitCode::FAILURE
        }
    }
}
