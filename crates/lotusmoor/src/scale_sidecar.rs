//! `lotusmoor fleet sidecar-scale`: what the list's length and its changes cost one sidecar.

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
    /// Where results go, a line of JSON for each step; a new file
    #[arg(long)]
    out: PathBuf,
    /// What is measured: module_listed, sidecar_listed, sidecar_changes
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "module_listed,sidecar_listed,sidecar_changes",
        value_parser = sweep
    )]
    sweeps: Vec<Sweep>,
    /// Servers on the list, a step each
    #[arg(long, value_delimiter = ',', default_value = "100,2500,5000,10000,20000")]
    #[arg(value_parser = clap::value_parser!(u32).range(1..=1_000_000))]
    listed: Vec<u32>,
    /// Changes a second, a step each
    #[arg(long, value_delimiter = ',', default_value = "0.5,1,2,4,8", value_parser = positive)]
    changes: Vec<f64>,
    /// Servers on the list while the changes vary
    #[arg(long, default_value_t = 5000, value_parser = clap::value_parser!(u32).range(1..=1_000_000))]
    at_listed: u32,
    /// For how long each figure is taken
    #[arg(long, default_value_t = 10.0, value_parser = positive)]
    seconds: f64,
    /// What the sidecar is told: whole, or the servers of the services that it asks for
    #[arg(long, default_value = "whole", value_parser = mode)]
    mode: Mode,
    /// Requests a second through the sidecar; as many go past it
    #[arg(long, default_value_t = 200.0, value_parser = positive)]
    rate: f64,
    /// What is drawn is drawn from this
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

fn sweep(name: &str) -> Result<Sweep, String> {
    match name {
        "module_listed" => Ok(Sweep::ModuleListed),
        "sidecar_listed" => Ok(Sweep::SidecarListed),
        "sidecar_changes" => Ok(Sweep::SidecarChanges),
        _ => Err("one of module_listed, sidecar_listed, sidecar_changes".into()),
    }
}

fn mode(name: &str) -> Result<Mode, String> {
    match name {
        "whole" => Ok(Mode::Whole),
        "services" => Ok(Mode::Services),
        _ => Err("one of whole, services".into()),
    }
}

fn positive(text: &str) -> Result<f64, String> {
    let value: f64 = text.parse().map_err(|_| "not a number".to_owned())?;
    if value > 0.0 && value <= 1e6 { Ok(value) } else { Err("must be above 0 and up to a million".into()) }
}

pub fn run(arguments: Arguments) -> Result<(), Failure> {
    let Arguments { out, sweeps, listed, changes, at_listed, seconds, mode, rate, seed } = arguments;
    let length = Duration::from_secs_f64(seconds);
    let plan = Plan { sweeps, listed, changes, listed_for_changes: at_listed, length, mode, rate, seed };
    let said = |e: lotusmoor_fleet::scale::results::ResultFileError| Failure::Said(e.to_string());
    let mut lines = ResultFile::create(&out).map_err(said)?;
    sidecar::run(&plan, &mut lines).map_err(said)
}
