//! The operators' command line.

mod capacity;
mod fleet;
mod registry;
mod scale;
mod scale_sidecar;
mod soak;
mod sweep;

use clap::{CommandFactory, Parser, Subcommand};
use lotusmoor_log_output::LineWriter;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::writer::BoxMakeWriter;

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

impl Cli {
    /// Whether it serves, so that it must not wait for whoever reads its log.
    fn is_service(&self) -> bool {
        matches!(self.command, Command::Registry { command: registry::Command::Serve { .. } })
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let is_service = cli.is_service();
    if is_service {
        lotusmoor_log_output::log_panics("lotusmoor");
    }
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
            report_failure(&why, is_service);
            ExitCode::FAILURE
        }
    }
}

fn report_failure(why: &Failure, is_service: bool) {
    if is_service {
        // Where it can't be written at once, the exit code has to do.
        let _ = lotusmoor_log_output::write_line(format!("lotusmoor: {why}\n").as_bytes());
    } else {
        eprintln!("lotusmoor: {why}");
    }
}

fn start_log(cli: &Cli) -> Result<(), tracing_subscriber::filter::ParseError> {
    let filter: EnvFilter = cli.log.parse()?;
    let writer = if cli.is_service() {
        BoxMakeWriter::new(LineWriter::default)
    } else {
        BoxMakeWriter::new(std::io::stderr)
    };
    // A line that can't be written is lost; to say so on the same standard error would end the process.
    let log =
        tracing_subscriber::fmt().with_env_filter(filter).with_writer(writer).log_internal_errors(false);
    if cli.log_json {
        log.json().init()
    } else {
        log.init()
    }
    Ok(())
}
