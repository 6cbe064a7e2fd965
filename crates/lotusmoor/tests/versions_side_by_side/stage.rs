//! The programs of both builds.

use lotusmoor_fleet::harness::Programs;
use lotusmoor_fleet::harness::process_guard::ProcessGuard;
use lotusmoor_fleet::harness::registry_replicas::RegistryProgram;
use serde_json::Value;
use std::path::PathBuf;

/// The environment variable with the folder of the earlier build's programs.
const EARLIER_BUILD: &str = "EARLIER_BUILD";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Build {
    Earlier,
    Current,
}

/// The programs of both builds, and a folder for what they write.
pub struct BuildFixture {
    pub programs: Programs,
    earlier: PathBuf,
    pub folder: tempfile::TempDir,
    pub process_guard: ProcessGuard,
}

impl BuildFixture {
    pub fn new() -> Self {
        let earlier =
            std::env::var_os(EARLIER_BUILD).expect("EARLIER_BUILD names the folder of the earlier programs");
        let programs = Programs::find().expect("the programs are built");
        let process_guard = ProcessGuard::start(&programs.lotusmoor).expect("the process guard starts");
        Self {
            programs,
            earlier: earlier.into(),
            folder: tempfile::tempdir().expect("a temporary directory"),
            process_guard,
        }
    }

    /// The sidecar program of a build; in older builds it had another name.
    pub fn sidecar_program(&self, build: Build) -> PathBuf {
        match build {
            Build::Earlier => ["tinflow", "lotusmoor-sidecar"]
                .map(|name| self.earlier.join(name))
                .into_iter()
                .find(|path| path.is_file())
                .expect("the earlier sidecar is built"),
            Build::Current => self.programs.sidecar.clone(),
        }
    }

    pub fn registry_program(&self, build: Build) -> RegistryProgram {
        let (path, subcommand) = match build {
            Build::Earlier => (self.earlier.join("lotusmoor"), "roster"),
            Build::Current => (self.programs.lotusmoor.clone(), "registry"),
        };
        RegistryProgram { path, subcommand: subcommand.to_owned() }
    }

    pub fn write_config(&self, name: &str, config: &Value) -> PathBuf {
        let path = self.folder.path().join(name);
        std::fs::write(&path, config.to_string()).expect("the file is written");
        path
    }
}
