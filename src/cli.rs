//! The command line.

use std::path::PathBuf;

use clap::Parser;

/// A controller of the marblewalk cluster scheduler.
#[derive(Debug, Parser)]
#[command(name = "marblewalk", version, about)]
pub struct Cli {
    /// The platform's settings file
    #[arg(long, value_name = "FILE")]
    pub config: PathBuf,

    /// The operators' own settings; without it every value has its default
    #[arg(long, value_name = "FILE")]
    pub tuning: Option<PathBuf>,

    /// Check the settings and end without starting
    #[arg(long)]
    pub check: bool,
}
