//! `lotusmoor fleet sidecar-scale`: the cost of the endpoint list's length and rate of change for one sidecar.

use crate::Failure;
use lotusmoor_fleet::scale::results::{Mode, ResultFile, Sweep};
use lotusmoor_fleet::scale::sidecar::{self, Plan};
use std::path::PathBuf;
use std::time::Duration;

#[derive(clap::Args)]
#[command(after_help = "Examples:
  lotusmoor fleet sidecar-scale --out sidecar.jsonl
  lotusmoor fleet sidecar-scale --out short.jsonl --listed 100,500 --changes 1,4 --at-listed 500 --seconds 2")]
pub struct Arguments {
    /// Path of the results, which must not exist yet: a line of JSON for each step
    #[arg(long)]
    out: PathBuf,
    /// What is measured: module_listed and sidecar_listed (the balancing module alone and a sidecar, by list length),
    /// sidecar_changes (a sidecar, by rate of changes)
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "module_listed,sidecar_listed,sidecar_changes",
        value_parser = parse_sweep
    )]
    sweeps: Vec<Sweep>,
    /// Number of servers on the list, for each step
    #[arg(long, value_delimiter = ',', default_value = "100,2500,5000,10000,20000")]
    #[arg(value_parser = clap::value_parser!(u32).range(1..=1_000_000))]
    listed: Vec<u32>,
    /// Changes of the list per second, for each step
    #[arg(long, value_delimiter = ',', default_value = "0.5,1,2,4,8", value_parser = parse_positive)]
    changes: Vec<f64>,
    /// Number of servers on the list while the rate of changes varies
    #[arg(long, default_value_t = 5000, value_parser = clap::value_parser!(u32).range(1..=1_000_000))]
    at_listed: u32,
    /// Measuring time of each figure in seconds
    #[arg(long, default_value_t = 10.0, value_parser = parse_positive)]
    seconds: f64,
    /// Which list the sidecar watches: whole, or services (only the servers of the services that it calls)
    #[arg(long, default_value = "whole", value_parser = parse_mode)]
    mode: Mode,
    /// Requests per second through the sidecar; as many are sent directly to the server
    #[arg(long, default_value_t = 200.0, value_parser = parse_positive)]
    rate: f64,
    /// Random seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

fn parse_sweep(name: &str) -> Result<Sweep, String> {
    match name {
        "module_listed" => Ok(Sweep::ModuleListed),
        "sidecar_listed" => Ok(Sweep::SidecarListed),
        "sidecar_changes" => Ok(Sweep::SidecarChanges),
        _ => Err("must be one of module_listed, sidecar_listed, sidecar_changes".into()),
    }
}

fn parse_mode(name: &str) -> Result<Mode, String> {
    match name {
        "whole" => Ok(Mode::Whole),
        "services" => Ok(Mode::Services),
        _ => Err("must be one of whole, services".into()),
    }
}

fn parse_positive(text: &str) -> Result<f64, String> {
    let value: f64 = text.parse().map_err(|_| "not a number".to_owned())?;
    if value > 0.0 && value <= 1e6 { Ok(value) } else { Err("must be above 0 and up to a million".into()) }
}

pub fn run(arguments: Arguments) -> Result<(), Failure> {
    let Arguments { out, sweeps, listed, changes, at_listed, seconds, mode, rate, seed } = arguments;
    let length = Duration::from_secs_f64(seconds);
    let plan = Plan { sweeps, listed, changes, listed_for_changes: at_listed, length, mode, rate, seed };
    let to_failure = |e: lotusmoor_fleet::scale::results::ResultFileError| Failure::Message(e.to_string());
    let mut lines = ResultFile::create(&out).map_err(to_failure)?;
    sidecar::run(&plan, &mut lines).map_err(to_failure)
}
