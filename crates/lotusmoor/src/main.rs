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

/// Runs the service registry, and simulates, tests and measures fleets of sidecars.
#[derive(Parser)]
#[command(name = "lotusmoor", version, after_help = EXAMPLES)]
struct Cli {
    /// Log level on standard error: error, warn, info, debug or trace
    #[arg(long, global = true, env = "LOTUSMOOR_LOG", default_value = "info")]
    log: String,
    /// Write log lines as JSON objects
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

Exit codes: 0 success, 1 failure, 2 usage error.";

#[derive(Subcommand)]
enum Command {
    /// Simulations, experiments, and measurements and tests with real processes
    Fleet {
        #[command(subcommand)]
        command: fleet::Command,
    },
    /// Run a replica of the service registry, or send it requests
    #[command(alias = "roster")]
    Registry {
        #[command(subcommand)]
        command: registry::Command,
    },
    /// Validate a scenario, site, experiment, scale plan, capacity plan or registry configuration file
    Check {
        /// The file
        file: PathBuf,
    },
    /// Print a shell's completion script
    Completions {
        /// The shell
        shell: clap_complete::Shell,
    },
}

/// Why a command failed, as a message for the operator.
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
    Message(String),
}

impl Cli {
    /// Whether the command is a long-running service, which must not block if its log is read slowly.
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
    if let Err(error) = start_log(&cli) {
        eprintln!("lotusmoor: --log: {error}");
        return ExitCode::from(2);
    }
    let result = match cli.command {
        Command::Fleet { command } => fleet::run(command),
        Command::Registry { command } => registry::run(command),
        Command::Check { file } => fleet::check(&file),
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Cli::command(), "lotusmoor", &mut std::io::stdout());
            Ok(())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            report_failure(&failure, is_service);
            ExitCode::FAILURE
        }
    }
}

fn report_failure(failure: &Failure, is_service: bool) {
    if is_service {
        // If the line can't be written without blocking, only the exit code reports the failure.
        let _ = lotusmoor_log_output::write_line(format!("lotusmoor: {failure}\n").as_bytes());
    } else {
        eprintln!("lotusmoor: {failure}");
    }
}

fn start_log(cli: &Cli) -> Result<(), tracing_subscriber::filter::ParseError> {
    let filter: EnvFilter = cli.log.parse()?;
    let writer = if cli.is_service() {
        BoxMakeWriter::new(LineWriter::default)
    } else {
        BoxMakeWriter::new(std::io::stderr)
    };
    // A line that can't be written is dropped. The subscriber must not report that: it would use `eprintln!`, which
    // panics when standard error can't be written, and the panic can end the process.
    let log =
        tracing_subscriber::fmt().with_env_filter(filter).with_writer(writer).log_internal_errors(false);
    if cli.log_json {
        log.json().init()
    } else {
        log.init()
    }
    Ok(())
}
