//! A capacity plan: sizes, budgets and assumptions, each with its source, and the slopes to fit to recorded runs.

use super::target;
use crate::site::{FileError, read_text};
use serde::Deserialize;
use std::path::{Path, PathBuf};

/// Where a figure comes from.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Source {
    /// A requirement of the operators.
    #[serde(rename = "letter")]
    Requirement,
    /// A measurement by this project; the note names it.
    Measured,
    /// A design choice of this project, which can be changed.
    Chosen,
    /// A publication of somebody else; the note names it.
    Published,
    /// A guess without a source.
    Guessed,
}

impl Source {
    /// Its name in the plan's file.
    pub fn name(self) -> &'static str {
        match self {
            Self::Requirement => "letter",
            Self::Measured => "measured",
            Self::Chosen => "chosen",
            Self::Published => "published",
            Self::Guessed => "guessed",
        }
    }
}

/// A figure and its source.
#[derive(Clone, Debug, Deserialize)]
#[serde(try_from = "RawFigure")]
pub struct Figure {
    /// The value, above 0.
    pub value: f64,
    /// Its source.
    pub source: Source,
    /// An explanation; required for measured and published figures.
    pub note: String,
}

/// A figure as it is read, before validation.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawFigure {
    value: f64,
    source: Source,
    #[serde(default)]
    note: String,
}

impl TryFrom<RawFigure> for Figure {
    type Error = &'static str;

    fn try_from(RawFigure { value, source, note }: RawFigure) -> Result<Self, Self::Error> {
        if !(value > 0.0 && value <= 1e15) {
            return Err("value must be above 0, and no more than 1e15");
        }
        if note.is_empty() && matches!(source, Source::Measured | Source::Published) {
            return Err("a measured or published figure needs a note that names its source");
        }
        Ok(Self { value, source, note })
    }
}

/// Defines a struct of figures. The doc comments of its fields are their descriptions in the tables.
macro_rules! figures {
    ($(#[$attribute:meta])* $name:ident { $(#[doc = $description:literal] $field:ident,)* }) => {
        $(#[$attribute])*
        #[derive(Clone, Debug, Deserialize)]
        #[serde(deny_unknown_fields)]
        pub struct $name { $(#[doc = $description] pub $field: Figure,)* }

        impl $name {
            /// All figures with their descriptions, in the order of declaration.
            pub fn figures(&self) -> impl Iterator<Item = (&'static str, &Figure)> {
                [$(($description, &self.$field)),*].into_iter().map(|(description, figure)| (description.trim(), figure))
            }
        }
    };
}

figures! {
    /// The size of the fleet, and how often things change in it.
    Sizes {
        /// Servers, each with its sidecar
        servers,
        /// Services
        services,
        /// Calls per second in the whole fleet
        calls_per_s,
        /// Levels of a deep call chain
        depth,
        /// Regions
        regions,
        /// Zones
        zones,
        /// Configuration changes per day
        config_changes_per_day,
        /// Servers restarted or replaced per day
        restarts_per_day,
        /// Machines that fail on an ordinary day
        machine_failures_per_day,
        /// Machines reserved for the control plane
        control_machines,
    }
}

figures! {
    /// Limits on latency and on the use of resources.
    Budgets {
        /// Latency that a sidecar adds to a call, p99, ms
        added_ms,
        /// Time until a change is applied everywhere, s
        in_force_s,
        /// CPU of a sidecar's control plane, % of a core
        sidecar_core_percent,
        /// Memory of a sidecar's control plane, MB
        sidecar_memory_mb,
        /// Control plane traffic of a sidecar, bytes per second
        sidecar_bytes_per_s,
        /// CPU of a replica, % of a core
        replica_core_percent,
        /// Memory of a replica, MB
        replica_memory_mb,
        /// Maximum number of watches of a replica
        replica_watches,
        /// Maximum number of entries in the endpoint list
        list_entries,
        /// Maximum number of entries in the endpoint list if each entry names its service
        list_entries_by_service,
        /// Time until all sidecars have the endpoint list if all request it at once, s
        storm_s,
    }
}

figures! {
    /// Further assumptions.
    Assumptions {
        /// Services that one sidecar calls
        services_called,
        /// Share of the sidecars that are notified of a configuration change
        config_share,
        /// Servers per machine
        servers_per_machine,
        /// Servers per rack
        servers_per_rack,
        /// Writes to the endpoint list per restarted server (drained, removed, registered)
        writes_per_restart,
        /// Writes to the endpoint list per failed server (draining, removed, registered again)
        writes_per_failure,
        /// Replicas of the endpoint list
        replicas,
        /// Length of a lease, s
        lease_s,
        /// Renewals per length of a lease
        renewals_per_lease,
        /// Time after which a watch without changes is answered, s
        watch_wait_s,
        /// Pause of a reader between a response and its next watch request, s
        watch_spacing_s,
        /// Complete endpoint lists that a replica serves per second
        whole_lists_per_s,
        /// Time window of the limit on lease expiry, s
        expiry_window_s,
        /// Share of the endpoint list that may expire in a window
        expiry_share,
        /// Time without writes while a leader is replaced, s
        failover_s,
        /// Time in which returning servers register, s
        registration_s,
        /// Attempts per call at each level
        attempts,
        /// Retries that each first attempt adds to a sidecar's retry budget
        retry_share,
        /// Maximum of a sidecar's retry budget, retries
        retry_burst,
        /// Timeout of the client at the head of a deep call chain, ms
        deadline_ms,
        /// Messages per second from a sidecar to the shared state
        shared_messages_per_s,
        /// Size of the shared state per service and zone, bytes
        shared_bytes,
        /// Size of a configuration release per service, bytes
        release_bytes,
    }
}

/// Which part of the endpoint list readers watch.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// Every reader watches the complete list.
    Whole,
    /// Readers watch the servers of the services that they call.
    Services,
}

impl Mode {
    /// All modes.
    pub const ALL: [Self; 2] = [Self::Whole, Self::Services];

    /// Its name in plans and recorded runs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Services => "services",
        }
    }
}

/// The component to which a line of recorded results refers.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// The leader of the registry's replicas.
    Leader,
    /// A follower among the registry's replicas.
    Follower,
    /// A simulated sidecar that watches the list and serves no requests.
    Hollow,
    /// A real sidecar.
    Sidecar,
    /// The sidecar's decision module alone, which selects a server for each request.
    Module,
    /// The whole fleet.
    Fleet,
}

/// A line to fit to recorded runs. Of the slopes with the same mode, role and y, the first gives the base value. Each
/// other one corrects it for the difference between its x and the value that this x had in the first one's runs.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slope {
    /// Its name, unique within a mode.
    pub name: String,
    /// Name of the file in the results folder.
    pub file: String,
    /// Name of the sweep.
    pub sweep: String,
    /// Which part of the endpoint list readers watch.
    pub mode: Mode,
    /// The measured component.
    pub role: Role,
    /// What varies: the name of a size of the step, or of a measured value.
    pub x: String,
    /// The measured value's name.
    pub y: String,
    /// The unit of the rise, for display.
    pub unit: String,
    /// Whether estimates include it. False if another slope over the same steps includes its effect already.
    #[serde(default = "adds_by_default")]
    pub adds: bool,
}

fn adds_by_default() -> bool {
    true
}

/// A capacity plan as in its file; unknown keys are errors.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Name of the plan.
    pub name: String,
    /// The folder of recorded runs. In the file it is relative to the plan's folder.
    pub results: PathBuf,
    /// The size of the fleet.
    pub sizes: Sizes,
    /// Limits on latency and on the use of resources.
    pub budgets: Budgets,
    /// Further assumptions.
    pub assumptions: Assumptions,
    /// The slopes to fit.
    #[serde(default, rename = "slope")]
    pub slopes: Vec<Slope>,
}

impl Plan {
    /// Reads a plan from a file, and resolves the results folder relative to it.
    pub fn read(path: &Path) -> Result<Self, FileError> {
        Self::parse(path, &read_text(path)?)
    }

    /// Parses the text of a plan; `path` is used in errors and to resolve the results folder.
    pub fn parse(path: &Path, text: &str) -> Result<Self, FileError> {
        let mut plan: Self = toml::from_str(text)
            .map_err(|source| FileError::Parse { path: path.to_owned(), source: Box::new(source) })?;
        plan.check(path)?;
        plan.results = path.parent().unwrap_or(Path::new(".")).join(&plan.results);
        Ok(plan)
    }

    fn check(&self, path: &Path) -> Result<(), FileError> {
        let invalid =
            |key: String, what: String| Err(FileError::InvalidValue { path: path.to_owned(), key, what });
        let (s, a) = (&self.sizes, &self.assumptions);
        let integer = |f: &Figure, max: f64| f.value.fract() == 0.0 && f.value <= max;
        for (key, is_valid) in [
            ("sizes.depth", integer(&s.depth, 100.0)),
            ("sizes.regions", integer(&s.regions, 1000.0)),
            ("sizes.zones", integer(&s.zones, 1000.0) && s.zones.value >= s.regions.value),
            ("sizes.control_machines", integer(&s.control_machines, 1e5)),
            ("sizes.services", s.services.value <= s.servers.value),
            ("assumptions.services_called", a.services_called.value <= s.services.value),
            ("assumptions.config_share", a.config_share.value <= 1.0),
            ("assumptions.replicas", integer(&a.replicas, 9.0) && a.replicas.value <= s.zones.value),
            ("assumptions.expiry_share", a.expiry_share.value <= 1.0),
            ("assumptions.attempts", integer(&a.attempts, 100.0)),
            ("assumptions.retry_share", a.retry_share.value <= 1.0),
        ] {
            if !is_valid {
                return invalid(key.into(), "is out of range".into());
            }
        }
        for (i, slope) in self.slopes.iter().enumerate() {
            let key = |field: &str| format!("slope {}: {field}", slope.name);
            if !target::X_NAMES.contains(&slope.x.as_str()) {
                return invalid(
                    key("x"),
                    format!("{} is not one of {}", slope.x, target::X_NAMES.join(", ")),
                );
            }
            let file = Path::new(&slope.file);
            if file.file_name().is_none_or(|name| name != file.as_os_str()) {
                return invalid(key("file"), "must be a file name without a folder".into());
            }
            let is_duplicate = |o: &&Slope| {
                let axes = |s: &Slope| (s.mode, s.role, s.x.clone(), s.y.clone());
                (o.name == slope.name && o.mode == slope.mode) || axes(o) == axes(slope)
            };
            if let Some(other) = self.slopes[..i].iter().find(is_duplicate) {
                return invalid(key("name"), format!("duplicates slope {} of the same mode", other.name));
            }
        }
        Ok(())
    }
}
