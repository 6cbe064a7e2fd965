//! `lotusmoor fleet capacity`: capacity estimates for a plan, from recorded measurement runs.

use crate::Failure;
use lotusmoor_fleet::capacity::{self, Capacity, Plan};
use std::path::{Path, PathBuf};

#[derive(clap::Args)]
#[command(after_help = "Examples:
  lotusmoor fleet capacity experiments/scale/letter.toml
  lotusmoor fleet capacity experiments/scale/letter.toml --page docs/CAPACITY.md --plot docs/capacity.svg")]
pub struct Arguments {
    /// The plan's file; the folder of recorded runs that it names is relative to it
    plan: PathBuf,
    /// Update the tables in this Markdown file, each between `<!-- tables: NAME -->` and `<!-- end -->`
    #[arg(long)]
    page: Option<PathBuf>,
    /// Plot the fitted lines and the measured points into this file, as SVG
    #[arg(long)]
    plot: Option<PathBuf>,
}

pub fn run(arguments: &Arguments) -> Result<(), Failure> {
    let capacity = Capacity::read(&arguments.plan)?;
    let tables = capacity::tables(&capacity);
    if let Some(path) = &arguments.page {
        let to_failure = |e: String| Failure::Message(format!("{}: {e}", path.display()));
        let page = std::fs::read_to_string(path).map_err(|e| to_failure(e.to_string()))?;
        let page = capacity::rewrite(&page, &tables).map_err(|e| to_failure(e.to_string()))?;
        write(path, &page)?;
    }
    if let Some(path) = &arguments.plot {
        write(path, &capacity::plot(&capacity).map_err(|e| Failure::Message(e.to_string()))?)?;
    }
    if arguments.page.is_none() {
        for (name, table) in tables {
            println!("## {name}\n\n{table}");
        }
    }
    Ok(())
}

/// Validates a plan and its recorded runs.
pub fn check(file: &Path) -> Result<(), Failure> {
    let plan = Plan::read(file)?;
    capacity::Runs::read(&plan.results).map_err(capacity::CapacityError::from)?;
    println!("{}: capacity plan {}, fine", file.display(), plan.name);
    Ok(())
}

/// Writes a file by renaming a temporary one, so that an interrupted write leaves the previous contents.
fn write(path: &Path, text: &str) -> Result<(), Failure> {
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(".new");
    let written = std::fs::write(&temporary, text).and_then(|()| std::fs::rename(&temporary, path));
    written.map_err(|e| Failure::Message(format!("{}: {e}", path.display())))
}
