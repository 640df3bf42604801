//! Command-line arguments.

use std::path::PathBuf;

use clap::Parser;

/// A controller of the marblewalk cluster scheduler.
#[derive(Debug, Parser)]
#[command(name = "marblewalk", version, about)]
pub struct Cli {
    /// Settings file provided by the platform
    #[arg(long, value_name = "FILE")]
    pub config: PathBuf,

    /// File with the operators' tuning parameters; without it, all have their defaults
    #[arg(long, value_name = "FILE")]
    pub tuning: Option<PathBuf>,

    /// Check the settings and exit
    #[arg(long)]
    pub check: bool,
}
