//! A capacity plan: sizes, budgets and assumptions, each with where it comes from, and the slopes to work with.

use super::target;
use crate::site::{FileError, read_text};
use serde::Deserialize;
use std::path::{Path, PathBuf};

/// Where a figure comes from.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Source {
    /// The operators' letter.
    Letter,
    /// A run of the project; the note names it.
    Measured,
    /// A choice of the project, which can be made otherwise.
    Chosen,
    /// Somebody else's page; the note names it.
    Published,
    /// Nobody knows it.
    Guessed,
}

impl Source {
    /// Its name, as in the file.
    pub fn name(self) -> &'static str {
        match self {
            Self::Letter => "letter",
            Self::Measured => "measured",
            Self::Chosen => "chosen",
            Self::Published => "published",
            Self::Guessed => "guessed",
        }
    }
}

/// A figure and where it comes from.
#[derive(Clone, Debug, Deserialize)]
#[serde(try_from = "Told")]
pub struct Figure {
    /// The figure, above 0.
    pub value: f64,
    /// Where it comes from.
    pub source: Source,
    /// What is to be said of it.
    pub note: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Told {
    value: f64,
    source: Source,
    #[serde(default)]
    note: String,
}

impl TryFrom<Told> for Figure {
    type Error = &'static str;

    fn try_from(Told { value, source, note }: Told) -> Result<Self, Self::Error> {
        if !(value > 0.0 && value <= 1e15) {
            return Err("value must be above 0, and no more than 1e15");
        }
        if note.is_empty() && matches!(source, Source::Measured | Source::Published) {
            return Err("a figure that was measured or published wants a note that says where");
        }
        Ok(Self { value, source, note })
    }
}

/// A table of figures that can be gone through in order, each with its meaning.
macro_rules! figures {
    ($(#[$of:meta])* $name:ident { $(#[doc = $meaning:literal] $field:ident,)* }) => {
        $(#[$of])*
        #[derive(Clone, Debug, Deserialize)]
        #[serde(deny_unknown_fields)]
        pub struct $name { $(#[doc = $meaning] pub $field: Figure,)* }

        impl $name {
            /// Each with its meaning, in the order in which they are declared.
            pub fn each(&self) -> impl Iterator<Item = (&'static str, &Figure)> {
                [$(($meaning, &self.$field)),*].into_iter().map(|(meaning, figure)| (meaning.trim(), figure))
            }
        }
    };
}

figures! {
    /// How large the fleet is and what happens in it.
    Sizes {
        /// Servers, each with its sidecar
        servers,
        /// Services
        services,
        /// Calls a second, of the whole fleet
        calls_per_s,
        /// Levels of a deep call
        depth,
        /// Regions
        regions,
        /// Zones
        zones,
        /// Changes of configuration a day
        config_changes_per_day,
        /// Servers restarted or replaced a day
        restarts_per_day,
        /// Machines that fail on an ordinary day
        machine_failures_per_day,
        /// Machines set aside for control
        control_machines,
    }
}

figures! {
    /// What may be used.
    Budgets {
        /// Time that a sidecar adds to a call, for 99 in 100, ms
        added_ms,
        /// Time until a change is in force everywhere, s
        in_force_s,
        /// Share of a core that a sidecar spends on control, percent
        sidecar_core_percent,
        /// Memory that a sidecar spends on control, MB
        sidecar_memory_mb,
        /// Bytes a second that a sidecar exchanges for control
        sidecar_bytes_per_s,
        /// Share of a core of a replica, percent
        replica_core_percent,
        /// Memory of a replica, MB
        replica_memory_mb,
        /// Watches that a replica takes
        replica_watches,
        /// Entries that a list holds at most
        list_entries,
        /// The same of entries with services
        list_entries_by_service,
        /// Time until all sidecars have a list where all ask at once, s
        storm_s,
    }
}

figures! {
    /// What is taken for granted besides.
    Assumptions {
        /// Services that one sidecar calls
        services_called,
        /// Share of the sidecars that a change of configuration is told to
        config_share,
        /// Servers on a machine
        servers_per_machine,
        /// Servers in a rack
        servers_per_rack,
        /// Writes of the list for a server that is restarted (drained, removed, registered)
        writes_per_restart,
        /// Writes of the list for a server that fails (leaving, gone, registered anew)
        writes_per_failure,
        /// Replicas of the list
        replicas,
        /// Length of a lease, s
        lease_s,
        /// Renewals in a lease
        renewals_per_lease,
        /// A watch without news is answered after, s
        watch_wait_s,
        /// Between two calls of one reader, s
        watch_spacing_s,
        /// Whole lists that a replica tells in a second
        whole_lists_per_s,
        /// Window of the floor on expiry, s
        expiry_window_s,
        /// Share of the list that goes by expiry in a window
        expiry_share,
        /// Time without writes while a leader is replaced, s
        failover_s,
        /// Time in which those that come back register, s
        registration_s,
        /// Attempts of a call at one level
        attempts,
        /// What a first try adds to a sidecar's retry budget
        retry_share,
        /// Retries that a sidecar's budget holds at most
        retry_burst,
        /// Time that a deep call's first client waits, ms
        deadline_ms,
        /// What a sidecar tells the shared state, messages a second
        shared_messages_per_s,
        /// What the shared state holds for a service in a zone, bytes
        shared_bytes,
        /// What a release holds for a service, bytes
        release_bytes,
    }
}

/// What readers are told.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// Every reader is told the whole list.
    Whole,
    /// Readers are told the servers of the services that they call.
    Services,
}

impl Mode {
    /// Both.
    pub const ALL: [Self; 2] = [Self::Whole, Self::Services];

    /// Its name, as in files.
    pub fn name(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Services => "services",
        }
    }
}

/// Whose figures a line of results holds.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// The replica that leads.
    Leader,
    /// A replica that follows.
    Follower,
    /// One reader that only reads.
    Hollow,
    /// One real sidecar.
    Sidecar,
    /// The decision module.
    Module,
    /// What concerns all.
    Fleet,
}

/// A slope to be worked out of recorded runs. The first of those with one mode, role and y gives the value at 0 and the
/// first term; the others add what their x differs from what it was in the first one's runs.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slope {
    /// Its name, once for each mode.
    pub name: String,
    /// The file, in the folder of results.
    pub file: String,
    /// The sweep.
    pub sweep: String,
    /// What readers are told.
    pub mode: Mode,
    /// Whose figures.
    pub role: Role,
    /// What is varied: a size of the step, or a measured value.
    pub x: String,
    /// What is measured.
    pub y: String,
    /// Its unit, for a person.
    pub unit: String,
    /// Whether it adds to figures. Not where another slope of the same steps holds its part already.
    #[serde(default = "adds")]
    pub adds: bool,
}

fn adds() -> bool {
    true
}

/// A plan as its file has it; unknown keys are refused.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// The folder of recorded runs, from the plan's own.
    pub results: PathBuf,
    /// Sizes.
    pub sizes: Sizes,
    /// Budgets.
    pub budgets: Budgets,
    /// Assumptions.
    pub assumptions: Assumptions,
    /// Slopes.
    #[serde(default)]
    pub slope: Vec<Slope>,
}

impl Plan {
    /// Reads a plan; the folder of results is then where it lies.
    pub fn read(path: &Path) -> Result<Self, FileError> {
        Self::parse(path, &read_text(path)?)
    }

    /// Reads the text of one; `path` is for messages and for the folder of results.
    pub fn parse(path: &Path, text: &str) -> Result<Self, FileError> {
        let mut plan: Self = toml::from_str(text)
            .map_err(|source| FileError::Parse { path: path.to_owned(), source: Box::new(source) })?;
        plan.check(path)?;
        plan.results = path.parent().unwrap_or(Path::new(".")).join(&plan.results);
        Ok(plan)
    }

    fn check(&self, path: &Path) -> Result<(), FileError> {
        let wrong =
            |key: String, what: String| Err(FileError::InvalidValue { path: path.to_owned(), key, what });
        let (s, a) = (&self.sizes, &self.assumptions);
        let whole = |f: &Figure, most: f64| f.value.fract() == 0.0 && f.value <= most;
        for (key, fine) in [
            ("sizes.depth", whole(&s.depth, 100.0)),
            ("sizes.regions", whole(&s.regions, 1000.0)),
            ("sizes.zones", whole(&s.zones, 1000.0) && s.zones.value >= s.regions.value),
            ("sizes.control_machines", whole(&s.control_machines, 1e5)),
            ("sizes.services", s.services.value <= s.servers.value),
            ("assumptions.services_called", a.services_called.value <= s.services.value),
            ("assumptions.config_share", a.config_share.value <= 1.0),
            ("assumptions.replicas", whole(&a.replicas, 9.0) && a.replicas.value <= s.zones.value),
            ("assumptions.expiry_share", a.expiry_share.value <= 1.0),
            ("assumptions.attempts", whole(&a.attempts, 100.0)),
            ("assumptions.retry_share", a.retry_share.value <= 1.0),
        ] {
            if !fine {
                return wrong(key.into(), "is out of range".into());
            }
        }
        for (i, slope) in self.slope.iter().enumerate() {
            let key = |of: &str| format!("slope {}: {of}", slope.name);
            if !target::KNOWN.contains(&slope.x.as_str()) {
                return wrong(key("x"), format!("{} is none of {}", slope.x, target::KNOWN.join(", ")));
            }
            let file = Path::new(&slope.file);
            if file.file_name().is_none_or(|name| name != file.as_os_str()) {
                return wrong(key("file"), "is to be a name, without a folder".into());
            }
            let same = |o: &&Slope| {
                let of = |s: &Slope| (s.mode, s.role, s.x.clone(), s.y.clone());
                (o.name == slope.name && o.mode == slope.mode) || of(o) == of(slope)
            };
            if let Some(other) = self.slope[..i].iter().find(same) {
                return wrong(key("name"), format!("{} is the same in this mode", other.name));
            }
        }
        Ok(())
    }
}
