//! The operators' command line.

mod capacity;
mod fleet;
mod registry;
mod scale;
mod scale_sidecar;
mod soak;
mod sweep;

use clap::{CommandFactory, Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;
use tracing_subscriber::EnvFilter;

/// Runs and watches a fleet of sidecars, and asks questions of a model of it.
#[derive(Parser)]
#[command(name = "lotusmoor", version, after_help = EXAMPLES)]
struct Cli {
    /// What is logged to standard error: error, warn, info, debug or trace
    #[arg(long, global = true, env = "LOTUSMOOR_LOG", default_value = "info")]
    log: String,
    /// Log lines as JSON objects
    #[arg(long, global = true)]
    log_json: bool,
    #[command(subcommand)]
    command: Command,
}

const EXAMPLES: &str = "Examples:
  lotusmoor fleet run herd --seed 3 --policy module
  lotusmoor registry serve
  lotusmoor check my-scenario.toml
  lotusmoor completions bash > lotusmoor.bash

Exit codes: 0 done, 1 failed, 2 wrong use.";

#[derive(Subcommand)]
enum Command {
    /// Model and experiments
    Fleet {
        #[command(subcommand)]
        command: fleet::Command,
    },
    /// The service registry, and calls to it
    #[command(alias = "roster")]
    Registry {
        #[command(subcommand)]
        command: registry::Command,
    },
    /// Read a scenario, site, experiment, capacity plan or registry file and say what is wrong with it
    Check {
        /// The file
        file: PathBuf,
    },
    /// Print completions for a shell
    Completions {
        /// The shell
        shell: clap_complete::Shell,
    },
}

/// Why a command failed: a line for the operator.
#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error("{0}")]
    File(#[from] lotusmoor_fleet::site::FileError),
    #[error("{0}")]
    Registry(#[from] lotusmoor_registry::process::ProcessError),
    #[error("{0}")]
    Config(#[from] lotusmoor_registry::config::ConfigError),
    #[error("{0}")]
    Capacity(#[from] lotusmoor_fleet::capacity::CapacityError),
    #[error("{0}")]
    Said(String),
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    if let Err(why) = start_log(&cli) {
        eprintln!("lotusmoor: --log: {why}");
        return ExitCode::from(2);
    }
    let done = match cli.command {
        Command::Fleet { command } => fleet::run(command),
        Command::Registry { command } => registry::run(command),
        Command::Check { file } => fleet::check(&file),
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Cli::command(), "lotusmoor", &mut std::io::stdout());
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("lotusmoor: {why}");
            ExitCode::FAILURE
        }
    }
}

fn start_log(cli: &Cli) -> Result<(), tracing_subscriber::filter::ParseError> {
    let filter: EnvFilter = cli.log.parse()?;
    // A line that can't be written is lost; to say so on the same standard error would end the process.
    let log = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .log_internal_errors(false);
    if cli.log_json {
        log.json().init()
    } else {
        log.init()
    }
    Ok(())
}
