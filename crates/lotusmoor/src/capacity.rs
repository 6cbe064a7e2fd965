//! `lotusmoor fleet capacity`: a capacity plan worked out from recorded runs.

use crate::Failure;
use lotusmoor_fleet::capacity::{self, Capacity, Plan};
use std::path::{Path, PathBuf};

#[derive(clap::Args)]
#[command(after_help = "Examples:
  lotusmoor fleet capacity experiments/scale/letter.toml
  lotusmoor fleet capacity experiments/scale/letter.toml --page docs/CAPACITY.md --plot docs/capacity.svg")]
pub struct Arguments {
    /// The plan; the folder of recorded runs that it names lies beside it
    plan: PathBuf,
    /// Put the tables into this page, each between `<!-- tables: NAME -->` and `<!-- end -->`
    #[arg(long)]
    page: Option<PathBuf>,
    /// Draw the slopes with their points into this file, as SVG
    #[arg(long)]
    plot: Option<PathBuf>,
}

pub fn run(arguments: &Arguments) -> Result<(), Failure> {
    let worked = Capacity::read(&arguments.plan)?;
    let tables = capacity::tables(&worked);
    if let Some(path) = &arguments.page {
        let failed = |e: String| Failure::Said(format!("{}: {e}", path.display()));
        let page = std::fs::read_to_string(path).map_err(|e| failed(e.to_string()))?;
        let page = capacity::rewrite(&page, &tables).map_err(|e| failed(e.to_string()))?;
        write(path, &page)?;
    }
    if let Some(path) = &arguments.plot {
        write(path, &capacity::plot(&worked).map_err(|e| Failure::Said(e.to_string()))?)?;
    }
    if arguments.page.is_none() {
        for (name, table) in tables {
            println!("## {name}\n\n{table}");
        }
    }
    Ok(())
}

/// Reads a plan and its recorded runs, and says what is wrong with them.
pub fn check(file: &Path) -> Result<(), Failure> {
    let plan = Plan::read(file)?;
    capacity::Runs::read(&plan.results).map_err(capacity::CapacityError::from)?;
    println!("{}: capacity plan {}, fine", file.display(), plan.name);
    Ok(())
}

/// A page or a plot is whole or as it was: it is written beside its place, then moved there.
fn write(path: &Path, text: &str) -> Result<(), Failure> {
    let mut beside = path.as_os_str().to_owned();
    beside.push(".new");
    let written = std::fs::write(&beside, text).and_then(|()| std::fs::rename(&beside, path));
    written.map_err(|e| Failure::Said(format!("{}: {e}", path.display())))
}
