//! A site file, in the operators' form: ranges from which a day is drawn. Units stand in the keys' names: `_s`
//! seconds, `_ms` milliseconds, `_us` microseconds; shares lie in 0 to 1.
//!
//! Keys of that form that the model has no use for yet are told, not refused: the operators add keys.

mod range;

pub use range::Range;

use serde::Deserialize;
use std::path::{Path, PathBuf};

/// Why a file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// It can't be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// It is not of the form; the text has line and key.
    #[error("{path}: {source}")]
    Parse {
        /// The file.
        path: PathBuf,
        /// Where and what.
        source: Box<toml::de::Error>,
    },
    /// A value can't be meant.
    #[error("{path}: {key}: {what}")]
    InvalidValue {
        /// The file.
        path: PathBuf,
        /// The key, with the tables that it stands in.
        key: String,
        /// What is wrong with it.
        what: String,
    },
}

/// Reads a file whole.
pub(crate) fn read_text(path: &Path) -> Result<String, FileError> {
    std::fs::read_to_string(path).map_err(|source| FileError::Read { path: path.to_owned(), source })
}

/// A site.
#[derive(Clone, Debug, Deserialize)]
pub struct Site {
    /// Its name.
    pub name: String,
    /// The day.
    #[serde(default)]
    pub day: Day,
    /// How many there are of each.
    pub scale: Scale,
    /// Traffic.
    pub load: Load,
    /// Links.
    pub net: Net,
    /// Clients' conduct.
    #[serde(default)]
    pub clients: Clients,
    /// The list service.
    #[serde(default)]
    pub discovery: Discovery,
    /// What a sidecar may do.
    pub allow: Allow,
    /// Figures of the rules.
    pub rules: Rules,
    /// Weights of the result.
    #[serde(default)]
    pub goal: Goal,
    /// Prices, in points of the result.
    #[serde(default)]
    pub prices: Prices,
    /// Tiers of servers; the model plays the first.
    pub tier: Vec<Tier>,
    /// Classes of requests.
    pub class: Vec<Class>,
    /// What may go wrong.
    #[serde(default)]
    pub trouble: Vec<Trouble>,
    /// Tenants; the operators' form for them is not published, this one is the project's own.
    #[serde(default)]
    pub tenant: Vec<Tenant>,
    /// What the kind of service adds.
    #[serde(default)]
    pub fam: Family,
    /// Keys of the file that the model has no use for.
    #[serde(skip)]
    pub unused: Vec<String>,
}

/// The day.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Day {
    /// Length.
    pub length_s: Range,
    /// Least time between two rounds of a sidecar; 0 for at once.
    pub tick_ms: f64,
    /// Whether all sidecars' rounds fall on the same instants.
    pub in_step: bool,
    /// Spread of the sidecars' starts.
    pub start_spread_ms: f64,
}

impl Default for Day {
    fn default() -> Self {
        Self { length_s: Range::of(45.0, 60.0), tick_ms: 5.0, in_step: true, start_spread_ms: 0.0 }
    }
}

/// How many there are of each.
#[derive(Clone, Debug, Deserialize)]
pub struct Scale {
    /// Servers.
    pub servers: Range,
    /// Sidecars.
    pub balancers: Range,
}

/// Traffic, as shares of what the servers can do.
#[derive(Clone, Debug, Deserialize)]
pub struct Load {
    /// On a quiet day.
    pub quiet: Range,
    /// On a day with trouble.
    #[serde(default)]
    pub trouble: Range,
    /// On a day of overload.
    #[serde(default)]
    pub overload: Range,
    /// `steady` or `wave`; one is drawn.
    #[serde(default)]
    pub shape: Vec<String>,
    /// Height of the wave, as a share of the mean.
    #[serde(default)]
    pub swing: Range,
    /// How unevenly zones ask, as a coefficient of variation.
    #[serde(default)]
    pub zone_skew: Range,
    /// Variation of the sidecars' shares of the traffic.
    #[serde(default)]
    pub stream_cv: Range,
    /// `none`, or else requests come with a rough figure of their work.
    #[serde(default)]
    pub hints: String,
    /// `request`, or `work`: a request is worth its class's worth times its work over the class's mean.
    #[serde(default)]
    pub worth_by: String,
    /// Worth of a request beyond its tenant's share, as a part of its class's worth.
    #[serde(default)]
    pub over_share_worth: f64,
    /// Distinct keys.
    #[serde(default = "few_keys")]
    pub keys: Range,
    /// Exponent of their popularity.
    #[serde(default)]
    pub key_zipf: Range,
}

fn few_keys() -> Range {
    Range::of(200.0, 330.0)
}

/// Links.
#[derive(Clone, Debug, Deserialize)]
pub struct Net {
    /// Zones.
    pub zones: Vec<String>,
    /// One way within a zone.
    pub same_ms: Range,
    /// One way between two.
    pub cross_ms: Range,
    /// Between client and sidecar.
    #[serde(default)]
    pub client_ms: Range,
    /// Variation of a message's time, as a coefficient.
    #[serde(default)]
    pub jitter: Range,
    /// How much longer links to one server are than to the next, as a share.
    #[serde(default)]
    pub server_skew: Range,
}

/// Clients' conduct.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Clients {
    /// Retries of a request; a part is drawn as chance of one more.
    pub retries: Range,
    /// Part of the deadline after which a try is given up.
    pub try_share: Range,
    /// `exp` or `fixed`.
    pub backoff: String,
    /// Share of clients that heed `Retry-After`.
    pub honour: Range,
    /// First wait before a retry.
    pub backoff_ms: Range,
    /// Longest `Retry-After` that they heed.
    pub max_retry_after_ms: f64,
    /// Share of requests whose client leaves early.
    pub impatient: Range,
    /// Whether retries are marked.
    pub marks_retry: bool,
}

impl Default for Clients {
    fn default() -> Self {
        Self {
            retries: Range::of(1.0, 2.99),
            try_share: Range::of(0.4, 0.8),
            backoff: "exp".into(),
            honour: Range::of(0.7, 1.0),
            backoff_ms: Range::of(22.0, 180.0),
            max_retry_after_ms: 2500.0,
            impatient: Range::of(0.0, 0.02),
            marks_retry: true,
        }
    }
}

/// The list service.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Discovery {
    /// `push` or `ask`.
    pub mode: String,
    /// From a process's end, where its machine lives, to the list.
    pub notice_s: Range,
    /// The same where the machine is silent.
    pub silent_notice_s: Range,
    /// From a process's start to the list.
    pub add_s: Range,
    /// Between two changes of the list.
    pub period_ms: Range,
    /// From a change to the sidecars.
    pub spread_ms: Range,
}

impl Default for Discovery {
    fn default() -> Self {
        Self {
            mode: "push".into(),
            notice_s: Range::of(0.83, 4.8),
            silent_notice_s: Range::of(4.0, 9.8),
            add_s: Range::of(1.1, 2.4),
            period_ms: Range::of(210.0, 1200.0),
            spread_ms: Range::of(24.0, 84.0),
        }
    }
}

/// What a sidecar may do.
#[derive(Clone, Debug, Deserialize)]
pub struct Allow {
    /// Probe.
    #[serde(default)]
    pub probes: bool,
    /// Tell its peers.
    #[serde(default)]
    pub peers: bool,
    /// Call attempts back.
    #[serde(default)]
    pub cancel: bool,
    /// Have two attempts of a request out.
    #[serde(default)]
    pub second_copies: bool,
    /// Tell clients when to come back.
    #[serde(default)]
    pub retry_after: bool,
    /// Attempts of a request.
    pub max_attempts: u32,
    /// Processor time of a sidecar in a second, past which its requests are late; 0 for no such limit.
    #[serde(default)]
    pub cpu_ms_per_s: f64,
    /// Requests that a sidecar may have open; more are turned away before it. 0 for no such limit.
    #[serde(default)]
    pub most_held: u32,
}

/// Figures of the rules.
#[derive(Clone, Debug, Deserialize)]
pub struct Rules {
    /// How long sends to a draining server may go on.
    pub drain_grace_ms: f64,
    /// A cold server sent more than this multiple of what it can do ...
    pub fall_multiple: f64,
    /// ... for this long falls over.
    pub fall_ms: f64,
}

/// Weights of the result.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Goal {
    /// The whole day.
    pub whole: f64,
    /// The worst 10 s.
    pub worst_window: f64,
    /// The worst class.
    pub worst_class: f64,
    /// The worst tenant, within its share.
    pub worst_tenant: f64,
}

impl Default for Goal {
    fn default() -> Self {
        Self { whole: 0.7, worst_window: 0.1, worst_class: 0.2, worst_tenant: 0.0 }
    }
}

/// Prices, in points of the result.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Prices {
    /// For attempts across zones, as a share of first tries.
    pub cross_zone: f64,
    /// For work that served nobody, as a share of what was asked for.
    pub waste: f64,
    /// For probes, as a share of first tries.
    pub probe: f64,
    /// For worth that failed after its aim.
    pub late_fail: f64,
    /// For new connections, a first try.
    pub handshake: f64,
    /// For the mean of open connections, a hundred for each server being one.
    pub connection: f64,
    /// For lines of lists told, over a hundred times the first tries.
    pub discovery: f64,
}

/// A tier of servers.
#[derive(Clone, Debug, Deserialize)]
pub struct Tier {
    /// Its name.
    pub name: String,
    /// Servers that share which keys they have seen.
    #[serde(default)]
    pub cell_size: Range,
    /// What listed weights tell: `none`, `size`, `rough` or `live`.
    #[serde(default)]
    pub weights: String,
    /// Connections.
    pub conn: Conn,
    /// Load reports.
    #[serde(default)]
    pub report: Option<Report>,
    /// Probes.
    #[serde(default)]
    pub probe: Probe,
    /// Kinds of machine.
    pub kind: Vec<Kind>,
}

/// Connections to servers.
#[derive(Clone, Debug, Deserialize)]
pub struct Conn {
    /// Round trips before the first request on one.
    #[serde(default)]
    pub handshake_rtts: Range,
    /// What a new one costs the server.
    #[serde(default)]
    pub handshake_us: Range,
    /// Idle ones close after this.
    pub idle_s: f64,
    /// One not made within this has failed.
    pub connect_timeout_ms: f64,
    /// Attempts that one carries at a time.
    #[serde(default = "one_stream")]
    pub streams: u32,
    /// How many a server holds, for each core.
    pub cap_per_core: Range,
    /// Share of its capacity that a full table takes.
    #[serde(default)]
    pub full_tax: Range,
}

fn one_stream() -> u32 {
    1
}

/// Load reports.
#[derive(Clone, Debug, Deserialize)]
pub struct Report {
    /// Where they come from: `answers`, `ask` for probes alone, or `none`.
    pub how: String,
    /// What they tell: `queue`, `inflight` or `util`; the model knows no others.
    #[serde(default)]
    pub fields: Vec<String>,
    /// Between two readings.
    #[serde(default)]
    pub period_ms: Range,
    /// Age of a reading when it is told.
    #[serde(default)]
    pub delay_ms: Range,
    /// Its error, as a coefficient of variation.
    #[serde(default)]
    pub noise: Range,
}

/// Probes of a server.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Probe {
    /// What one costs the server.
    pub work_us: Range,
    /// How many it answers at a time, for each core.
    pub cap_per_core: Range,
    /// Whether one waits and is served like a request.
    pub deep: bool,
    /// One that is not answered within this has failed.
    pub timeout_ms: f64,
}

impl Default for Probe {
    fn default() -> Self {
        let (work_us, cap_per_core) = (Range::of(48.0, 96.0), Range::of(3.6, 9.8));
        Self { work_us, cap_per_core, deep: true, timeout_ms: 200.0 }
    }
}

/// A kind of machine.
#[derive(Clone, Debug, Deserialize)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Its share of the servers.
    pub share: Range,
    /// Its cores.
    pub cores: f64,
    /// Work that a core does, the standard one being 1.
    pub speed: Range,
    /// Variation of that between machines of the kind.
    #[serde(default)]
    pub speed_cv: Range,
    /// Requests in work, for each core.
    pub slots_per_core: Range,
    /// Requests that wait, for each core.
    pub queue_per_core: Range,
    /// Share of its capacity lost when full; 0 for none.
    #[serde(default)]
    pub thrash: f64,
    /// Requests in hand for each core from which on it is.
    #[serde(default)]
    pub thrash_at: Range,
    /// Share of its capacity with which it starts ...
    pub cold_from: Range,
    /// ... and the time until it is warm.
    pub cold_s: Range,
    /// `time`, or `work`: it warms by what it has done as well.
    #[serde(default)]
    pub warm_by: String,
    /// Time between two pauses, each with its length, and how much longer it grows with use.
    #[serde(default)]
    pub pause_every_s: Range,
    /// Length of a pause.
    #[serde(default)]
    pub pause_ms: Range,
    /// Growth of a pause with the machine's use.
    #[serde(default)]
    pub pause_grow: Range,
    /// Share of requests answered with an error.
    #[serde(default)]
    pub error_rate: Range,
    /// What a cancel ends: `queued` what waits, `all` what runs as well; one is drawn.
    #[serde(default)]
    pub cancel: Vec<String>,
    /// Whether what is overdue is dropped before it is begun.
    #[serde(default)]
    pub drops_expired: bool,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its share of the requests.
    pub share: Range,
    /// Mean work on a standard core.
    pub work_ms: Range,
    /// `exp` or `lognormal`; one is drawn.
    #[serde(default)]
    pub dist: Vec<String>,
    /// Variation of the work.
    #[serde(default)]
    pub cv: Range,
    /// Variation between attempts at one request.
    #[serde(default)]
    pub attempt_noise: Range,
    /// Answers within this earn the worth.
    pub aim_ms: f64,
    /// A client waits so long over all tries.
    pub deadline_ms: f64,
    /// Worth of a request.
    pub worth: f64,
    /// Share of it that a late answer earns.
    #[serde(default)]
    pub late_worth: f64,
    /// `safe`, `keyed` or `unsafe`.
    pub effect: String,
    /// How long an answer streams after its first byte; 0 for whole answers.
    #[serde(default)]
    pub stream_ms: Range,
    /// Keyed: who drops repeats, `all`, `zone` or `cell`.
    #[serde(default)]
    pub group: Option<String>,
    /// Keyed: for how long.
    #[serde(default)]
    pub window_ms: f64,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its share of what the servers can do.
    pub share: Range,
    /// Its part of the traffic.
    pub traffic: Range,
}

/// Something that may go wrong; what the figures mean depends on the name.
#[derive(Clone, Debug, Deserialize)]
pub struct Trouble {
    /// Its name.
    pub name: String,
    /// How long it lasts.
    pub len_s: Range,
    /// Share of the servers that it strikes.
    #[serde(default)]
    pub part: Range,
    /// Its strength.
    #[serde(default)]
    pub size: Range,
    /// A further figure.
    #[serde(default)]
    pub extra: Range,
}

/// What the kind of service adds: servers that remember keys.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Family {
    /// Share of the work saved at a server that knows the key.
    pub affinity_gain: Range,
    /// How long it knows one.
    pub affinity_s: Range,
    /// How many, for each core.
    pub affinity_keys_per_core: Range,
}

impl Site {
    /// The site that comes with the tool.
    pub fn builtin() -> Self {
        let text = include_str!("../../scenarios/site.toml");
        Self::parse(Path::new("builtin"), text).expect("a test reads the site that comes with the tool")
    }

    /// Reads a site file.
    pub fn read(path: &Path) -> Result<Self, FileError> {
        Self::parse(path, &read_text(path)?)
    }

    /// Reads the text of one; `path` is for messages.
    pub fn parse(path: &Path, text: &str) -> Result<Self, FileError> {
        let form = |source| FileError::Parse { path: path.to_owned(), source: Box::new(source) };
        let mut unused = Vec::new();
        let de = toml::Deserializer::parse(text).map_err(form)?;
        let mut site: Site = serde_ignored::deserialize(de, |key| unused.push(key.to_string()))
            .map_err(|e: toml::de::Error| form(located(e, text)))?;
        site.unused = unused;
        site.check(path)?;
        Ok(site)
    }

    fn check(&self, path: &Path) -> Result<(), FileError> {
        let wrong = |key: &str, what: &str| {
            Err(FileError::InvalidValue { path: path.to_owned(), key: key.to_owned(), what: what.to_owned() })
        };
        if self.net.zones.is_empty() {
            return wrong("net.zones", "at least one zone is wanted");
        }
        let Some(tier) = self.tier.first() else { return wrong("tier", "at least one tier is wanted") };
        if tier.kind.is_empty() || self.class.is_empty() {
            return wrong("tier.kind, class", "at least one kind of machine and one class are wanted");
        }
        for kind in &tier.kind {
            let key = format!("tier.kind {}", kind.name);
            if !(kind.cores > 0.0 && kind.speed.low() > 0.0 && kind.slots_per_core.low() > 0.0) {
                return wrong(&key, "cores, speed and slots_per_core must be above 0");
            }
            if !(kind.cold_from.low() > 0.0 && kind.cold_from.high() <= 1.0) {
                return wrong(&key, "cold_from must lie above 0 and up to 1");
            }
        }
        for class in &self.class {
            let key = format!("class {}", class.name);
            if !(class.work_ms.low() > 0.0 && class.aim_ms > 0.0 && class.deadline_ms >= class.aim_ms) {
                return wrong(
                    &key,
                    "work_ms and aim_ms must be above 0, and deadline_ms no less than aim_ms",
                );
            }
            if class.stream_ms.low() < 0.0 {
                return wrong(&format!("{key}: stream_ms"), "must not be negative");
            }
            if !["safe", "keyed", "unsafe"].contains(&class.effect.as_str()) {
                return wrong(&format!("{key}: effect"), "is none of safe, keyed, unsafe");
            }
        }
        for tenant in &self.tenant {
            if !(tenant.share.low() > 0.0 && tenant.traffic.low() > 0.0) {
                return wrong(&format!("tenant {}", tenant.name), "share and traffic must be above 0");
            }
        }
        if !["", "request", "work"].contains(&self.load.worth_by.as_str()) {
            return wrong("load.worth_by", "is neither request nor work");
        }
        if tier.conn.streams == 0 {
            return wrong("tier.conn.streams", "must be above 0");
        }
        let known = ["queue", "inflight", "util"];
        let fields = tier.report.iter().flat_map(|r| &r.fields);
        if let Some(other) = fields.into_iter().find(|f| !known.contains(&f.as_str())) {
            return wrong("tier.report.fields", &format!("{other} is none of {}", known.join(", ")));
        }
        Ok(())
    }
}

/// The error with its place in the text, which reading a tree of keys loses.
fn located(mut error: toml::de::Error, text: &str) -> toml::de::Error {
    error.set_input(Some(text));
    error
}

#[cfg(test)]
mod tests {
    use super::*;

    fn parse(text: &str) -> Result<Site, FileError> {
        Site::parse(Path::new("s.toml"), text)
    }

    #[test]
    fn the_site_that_comes_with_the_tool_is_read_whole() {
        let site = Site::builtin();
        assert_eq!(site.unused, Vec::<String>::new());
        assert_eq!((site.tier[0].kind.len(), site.class.len(), site.net.zones.len()), (3, 3, 3));
    }

    #[test]
    fn an_unknown_key_is_told_and_a_wrong_value_names_line_and_key() {
        let text = include_str!("../../scenarios/site.toml");
        let more = text.replace("[net]", "[net]\nmtu = 1500");
        assert_eq!(parse(&more).expect("it is read").unused, ["net.mtu"]);
        let wrong =
            parse(&text.replace("max_attempts = 5", "max_attempts = \"five\"")).expect_err("no number");
        let said = wrong.to_string();
        assert!(said.contains("s.toml") && said.contains("max_attempts") && said.contains("line"), "{said}");
        let cold =
            parse(&text.replace("cold_from = [0.12, 0.27]", "cold_from = 0")).expect_err("no capacity");
        assert!(cold.to_string().contains("tier.kind fast-single: cold_from"), "{cold}");
    }
}
