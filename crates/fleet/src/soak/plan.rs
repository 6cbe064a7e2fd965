//! The plan of a run of the soak: a fleet, and faults on a timeline, all drawn from a seed.

use super::extra_faults::SeriesSignal;
use crate::chance::stream;
use crate::harness::backend::Conduct;
use crate::harness::{ClusterConfig, DEFAULT_MEMORY_MB, OverloadKind};
use lotusmoor_faults::{Call, errno};
use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use serde_json::json;

/// Faults come in groups, so that they overlap: the number of groups in a run.
const FAULT_GROUPS: std::ops::RangeInclusive<usize> = 2..=3;
/// Faults of a group.
const FAULTS_PER_GROUP: std::ops::RangeInclusive<usize> = 2..=3;
/// When the first group begins, in milliseconds: one of these.
const FIRST_GROUP_AT_MS: [u64; 2] = [500, 4_000];
/// The time from one group to the next, in milliseconds.
const GROUP_INTERVAL_MS: std::ops::Range<u64> = 1_500..3_500;

/// A fault. One that has a duration ends with its [`FaultWindow`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Kills a sidecar, and starts it again at the end of the window.
    KillSidecar(usize),
    /// Stops a sidecar with SIGTERM, and starts it again once it has ended.
    StopSidecar(usize),
    /// Stops several sidecars like [`Self::StopSidecar`], one after the other.
    #[serde(rename = "roll_sidecars")]
    StopSidecars(Vec<usize>),
    /// Makes a sidecar reload a new configuration.
    ReloadSidecar {
        /// Which sidecar.
        sidecar: usize,
        /// Whether it reloads twice in a row.
        twice: bool,
        /// How long the file cannot be read, in milliseconds; 0 if it can.
        unreadable_ms: u64,
    },
    /// Pauses a sidecar with SIGSTOP.
    #[serde(rename = "hold_sidecar")]
    PauseSidecar(usize),
    /// Makes system calls of a sidecar fail.
    #[serde(rename = "calls")]
    FailSystemCalls {
        /// Which sidecar.
        sidecar: usize,
        /// The index of the call in [`Call::ALL`].
        call: usize,
        /// The error number; 0 for short reads and writes.
        errno: i32,
        /// One in this many calls fails.
        every: u64,
    },
    /// Steps the wall clock of a sidecar, and steps it back at the end of the window.
    #[serde(rename = "wall_clock")]
    StepWallClock {
        /// Which sidecar.
        sidecar: usize,
        /// How far the clock is ahead, in microseconds; negative if it is behind.
        ahead_us: i64,
    },
    /// Drains a server, and returns it to service at the end of the window.
    #[serde(rename = "drain")]
    DrainServer(usize),
    /// Kills a server, and starts it again, with its warm-up, at the end of the window.
    KillServer(usize),
    /// Pauses a server with SIGSTOP.
    #[serde(rename = "hold_server")]
    PauseServer(usize),
    /// A server misbehaves.
    Misbehaves {
        /// Which server.
        server: usize,
        /// How it behaves.
        conduct: Conduct,
    },
    /// Discovery answers nothing.
    #[serde(rename = "silence")]
    DiscoveryOutage,
    /// Impairs the link from a sidecar to a server.
    Link {
        /// Which sidecar.
        sidecar: usize,
        /// Which server.
        server: usize,
        /// How the link is impaired.
        kind: LinkKind,
    },
    /// Resets all connections of a sidecar to servers.
    #[serde(rename = "resets")]
    ResetConnections(usize),
    /// Hands a sidecar over to a new process.
    HandOver(usize),
    /// Operators cordon a server at a sidecar, and uncordon it at the end of the window.
    Cordon {
        /// Which sidecar.
        sidecar: usize,
        /// Which server.
        server: usize,
    },
    /// Operators drain a sidecar, and resume it at the end of the window.
    #[serde(rename = "quiesce")]
    DrainSidecar(usize),
    /// Clients send long bodies until the socket buffers are full, and close.
    #[serde(rename = "leaving_bodies")]
    AbortUploads {
        /// Which sidecar.
        sidecar: usize,
        /// How many clients.
        count: usize,
    },
    /// Sends a series of signals to a sidecar, and starts it again if one of them stopped it.
    SignalSeries {
        /// Which sidecar.
        sidecar: usize,
        /// The signals, ordered by time.
        signals: Vec<SeriesSignal>,
    },
    /// From its start on, a sidecar logs to a pipe whose reader is stalled.
    #[serde(rename = "unread_log")]
    StalledLogReader(usize),
    /// From its start on, a sidecar logs to a pipe whose reader is gone.
    #[serde(rename = "lost_log")]
    ClosedLogPipe(usize),
    /// Clients begin long uploads to a sidecar, send nothing more, and stay connected.
    UnfinishedUploads {
        /// Which sidecar.
        sidecar: usize,
        /// How many clients.
        count: usize,
    },
    /// Clients connect to a sidecar, send the start of a request, and the rest at some time until the sidecar would be
    /// killed if it were stopped at the start of this fault.
    SlowClients {
        /// Which sidecar.
        sidecar: usize,
        /// How many clients.
        count: usize,
    },
    /// Clients take more of a sidecar than their share, for this long in milliseconds.
    Overload {
        /// Which sidecar.
        sidecar: usize,
        /// How many clients.
        count: usize,
        /// What they do.
        kind: OverloadKind,
        /// For how long, in milliseconds.
        lasts_ms: u64,
    },
    /// Malformed clients connect to a sidecar, and stay connected.
    #[serde(rename = "strangers")]
    MalformedClients {
        /// Which sidecar.
        sidecar: usize,
        /// How many clients.
        count: usize,
    },
}

/// How a link is impaired.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkKind {
    /// Nothing passes in either direction.
    Cut,
    /// Nothing passes from the server to the sidecar.
    #[serde(rename = "cut_back")]
    CutResponses,
    /// Latency is higher.
    Slow,
    /// Bandwidth is low.
    Narrow,
    /// Closes and resets by the server are not passed on.
    HalfOpen,
    /// Responses stall partway.
    Stalls,
    /// The server stops reading in the middle of a request.
    StopsReading,
    /// The server reads slowly.
    ReadsSlowly,
}

/// The delay that a slow link adds at the most, in milliseconds.
pub const SLOW_LINK_DELAY_MS: u64 = 60;
/// The longest pause of a sidecar, in milliseconds.
const MAX_PAUSE_MS: u64 = 150;

/// The longest time for which all system calls of a kind fail, in milliseconds: a sidecar that cannot accept for longer
/// cannot answer in time.
const MAX_CALL_OUTAGE_MS: u64 = 500;

/// The share of plans in which listening sockets are passed from process to process (see [`Plan::socket_passing`]).
const SOCKET_PASSING_SHARE: f64 = 0.4;
/// The share of plans with small servers, which can be overloaded while they warm up.
const SMALL_SERVER_SHARE: f64 = 0.4;
/// The share of plans with many sidecars.
const LARGE_FLEET_SHARE: f64 = 0.05;
/// Requests that a small server works on at a time.
const SMALL_SERVER_CORES: usize = 2;
/// How long a small server works on a request, in microseconds.
const SMALL_SERVER_WORK_US: u64 = 30_000;
/// Sidecars of a large fleet.
const LARGE_FLEET_SIDECARS: usize = 40;
/// Requests a second to each sidecar of a large fleet.
const LARGE_FLEET_RATE: f64 = 4.0;

/// A fault and its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FaultWindow {
    /// When the fault begins, in milliseconds after the first request.
    pub at_ms: u64,
    /// How long it lasts, in milliseconds.
    pub lasts_ms: u64,
    /// The fault.
    #[serde(rename = "trouble")]
    pub fault: Fault,
}

impl FaultWindow {
    /// The window with hand-overs in place of stops: where listening sockets are passed on, a sidecar is never stopped
    /// without starting a new process.
    fn with_hand_overs(self) -> Vec<Self> {
        let sidecars = match &self.fault {
            Fault::StopSidecar(sidecar) => vec![*sidecar],
            Fault::StopSidecars(sidecars) => sidecars.clone(),
            _ => return vec![self],
        };
        let hand_over = |sidecar| Self { fault: Fault::HandOver(sidecar), ..self.clone() };
        sidecars.into_iter().map(hand_over).collect()
    }
}

/// The plan of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The seed from which it was drawn.
    pub seed: u64,
    /// The number of sidecars.
    pub sidecars: usize,
    /// The number of servers.
    pub servers: usize,
    /// The number of replicas of a registry, which takes the place of discovery; 0 for none.
    #[serde(rename = "rosters")]
    pub registry_replicas: usize,
    /// The number of zones.
    pub zones: usize,
    /// Whether discovery pushes lists, rather than sidecars poll them; without effect with a registry.
    #[serde(rename = "pushed")]
    pub pushed_lists: bool,
    /// How long clients wait for an answer, in milliseconds.
    #[serde(rename = "wait_ms")]
    pub client_timeout_ms: u64,
    /// How long servers drop requests that repeat an idempotency key, in milliseconds.
    #[serde(rename = "window_ms")]
    pub dedup_window_ms: i64,
    /// Requests a second to each sidecar.
    pub rate: f64,
    /// The share of clients that close their connection early.
    #[serde(rename = "leaving")]
    pub early_close_share: f64,
    /// Of the requests that may have a body, the share that has one.
    #[serde(default)]
    #[serde(rename = "bodies")]
    pub body_share: f64,
    /// How long servers work on a request unless they misbehave, in microseconds.
    pub work_us: u64,
    /// When servers close an idle connection unless they misbehave, in microseconds; 0 for never.
    #[serde(default)]
    pub idle_us: u64,
    /// Requests that a server works on at a time.
    #[serde(default = "many_cores")]
    pub cores: usize,
    /// Whether the harness holds the listening sockets of sidecars and passes them from process to process, as the
    /// operators' deployment environment does.
    #[serde(default)]
    #[serde(rename = "passed")]
    pub socket_passing: bool,
    /// Memory limit of each sidecar, in MB.
    #[serde(default = "default_memory_mb", skip_serializing_if = "is_default_memory_mb")]
    pub memory_mb: u64,
    /// Whether connections from sidecars to servers have small socket buffers.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub small_buffers: bool,
    /// The faults, ordered by start.
    pub windows: Vec<FaultWindow>,
}

fn default_memory_mb() -> u64 {
    DEFAULT_MEMORY_MB
}

fn is_default_memory_mb(memory_mb: &u64) -> bool {
    *memory_mb == DEFAULT_MEMORY_MB
}

fn many_cores() -> usize {
    64
}

impl Plan {
    /// Draws a plan from a seed, without the additional faults.
    pub fn draw(seed: u64) -> Self {
        let mut rng = stream(seed, "soak", 0);
        let mut plan = Self {
            seed,
            sidecars: rng.random_range(10..=14),
            servers: rng.random_range(5..=9),
            registry_replicas: if rng.random_bool(0.15) { 3 } else { 0 },
            zones: rng.random_range(1..=3),
            pushed_lists: rng.random_bool(0.7),
            client_timeout_ms: *[800, 1_500, 2_000].choose(&mut rng).unwrap_or(&2_000),
            dedup_window_ms: *[1_300, 3_000, 7_500].choose(&mut rng).unwrap_or(&7_500),
            rate: f64::from(rng.random_range(8..20)),
            early_close_share: *[0.0, 0.1, 0.3].choose(&mut rng).unwrap_or(&0.1),
            work_us: *[2_000, 10_000, 30_000].choose(&mut rng).unwrap_or(&10_000),
            body_share: *[0.0, 0.3, 0.8].choose(&mut rng).unwrap_or(&0.3),
            idle_us: *[0, 30_000, 150_000, 700_000].choose(&mut rng).unwrap_or(&0),
            cores: many_cores(),
            socket_passing: false,
            memory_mb: DEFAULT_MEMORY_MB,
            small_buffers: false,
            windows: Vec::new(),
        };
        let mut at = *FIRST_GROUP_AT_MS.choose(&mut rng).unwrap_or(&FIRST_GROUP_AT_MS[0]);
        for _ in 0..rng.random_range(FAULT_GROUPS) {
            let mut targets = ExclusiveTargets::default();
            for _ in 0..rng.random_range(FAULTS_PER_GROUP) {
                let Some(fault) = plan.draw_fault(&mut rng, &mut targets) else { continue };
                // Most faults of a group begin within milliseconds of each other.
                let shift =
                    if rng.random_bool(0.7) { rng.random_range(0..15) } else { rng.random_range(0..400) };
                let lasts_ms = match fault {
                    Fault::PauseSidecar(_) => rng.random_range(20..=MAX_PAUSE_MS),
                    Fault::FailSystemCalls { every: 1, .. } => rng.random_range(20..=MAX_CALL_OUTAGE_MS),
                    _ => rng.random_range(200..2_500),
                };
                plan.windows.push(FaultWindow { at_ms: at + shift, lasts_ms, fault });
            }
            at += rng.random_range(GROUP_INTERVAL_MS);
        }
        plan.draw_fleet_and_operator_calls(at);
        plan.windows.sort_by_key(|w| w.at_ms);
        plan
    }

    /// Draws large fleets, small servers, socket passing with hand-overs in place of stops, and operators' calls. They
    /// come from a random stream of their own, so that the other faults of a seed do not depend on them.
    fn draw_fleet_and_operator_calls(&mut self, ends_ms: u64) {
        let mut rng = stream(self.seed, "soak operation", 0);
        if rng.random_bool(LARGE_FLEET_SHARE) {
            (self.sidecars, self.rate) = (LARGE_FLEET_SIDECARS, LARGE_FLEET_RATE);
        }
        if rng.random_bool(SMALL_SERVER_SHARE) {
            (self.cores, self.work_us) = (SMALL_SERVER_CORES, SMALL_SERVER_WORK_US);
        }
        self.socket_passing = self.registry_replicas == 0 && rng.random_bool(SOCKET_PASSING_SHARE);
        if self.socket_passing {
            let windows = std::mem::take(&mut self.windows);
            self.windows = windows.into_iter().flat_map(FaultWindow::with_hand_overs).collect();
        }
        for _ in 0..rng.random_range(1..=2) {
            let sidecar = rng.random_range(0..self.sidecars);
            let fault = match rng.random_range(0..3) {
                0 if self.socket_passing => Fault::HandOver(sidecar),
                1 => Fault::DrainSidecar(sidecar),
                _ => Fault::Cordon { sidecar, server: rng.random_range(0..self.servers) },
            };
            // At the time of another fault, if there is one.
            let fault_at_ms = self.windows.choose(&mut rng).map_or(ends_ms, |w| w.at_ms);
            let at_ms = fault_at_ms + rng.random_range(0..15);
            self.windows.push(FaultWindow { at_ms, lasts_ms: rng.random_range(200..2_500), fault });
        }
    }

    fn draw_fault(&self, rng: &mut ChaCha8Rng, targets: &mut ExclusiveTargets) -> Option<Fault> {
        let sidecar = rng.random_range(0..self.sidecars);
        let server = rng.random_range(0..self.servers);
        let fault = match rng.random_range(0..22) {
            0 => Fault::KillSidecar(targets.reserve_sidecar(sidecar)?),
            1 | 2 => Fault::StopSidecar(targets.reserve_sidecar(sidecar)?),
            3 => {
                let in_turn = (0..3).map(|n| (sidecar + n) % self.sidecars);
                Fault::StopSidecars(in_turn.filter_map(|s| targets.reserve_sidecar(s)).collect())
            }
            4 | 5 if self.registry_replicas == 0 => Fault::ReloadSidecar {
                sidecar: targets.reserve_sidecar(sidecar)?,
                twice: rng.random_bool(0.5),
                unreadable_ms: if rng.random_bool(0.3) { 300 } else { 0 },
            },
            6 => Fault::PauseSidecar(sidecar),
            7..=10 => {
                let (call, errno, every) = draw_failing_calls(rng)?;
                Fault::FailSystemCalls { sidecar, call, errno, every }
            }
            11 => {
                let steps = [3_600_000_000, -3_600_000_000, 5_000_000, -5_000_000];
                Fault::StepWallClock { sidecar, ahead_us: *steps.choose(rng)? }
            }
            12 | 13 => Fault::DrainServer(targets.reserve_server(server)?),
            14 => Fault::KillServer(targets.reserve_server(server)?),
            15 => Fault::PauseServer(targets.reserve_server(server)?),
            16 | 17 => {
                let normal = self.normal_conduct();
                let conduct = match rng.random_range(0..6) {
                    0 => Conduct { errors: 0.7, ..normal },
                    1 => Conduct { silent: true, ..normal },
                    2 => Conduct { resets: 0.6, ..normal },
                    3 => Conduct { halves: 0.6, ..normal },
                    4 => Conduct { turns_away: true, ..normal },
                    _ => Conduct { first_byte_us: 400_000, ..normal },
                };
                Fault::Misbehaves { server: targets.reserve_server(server)?, conduct }
            }
            18 if self.registry_replicas == 0 => Fault::DiscoveryOutage,
            19 => {
                let kinds = [
                    LinkKind::Cut,
                    LinkKind::CutResponses,
                    LinkKind::Slow,
                    LinkKind::Narrow,
                    LinkKind::HalfOpen,
                    LinkKind::Stalls,
                ];
                let kind = match *kinds.choose(rng)? {
                    // The time that an upload takes on a narrow link has no bound that the checker could allow for.
                    LinkKind::Narrow if self.body_share > 0.0 => LinkKind::Slow,
                    kind => kind,
                };
                Fault::Link { sidecar, server, kind }
            }
            20 => Fault::ResetConnections(sidecar),
            _ => Fault::MalformedClients { sidecar, count: rng.random_range(3..30) },
        };
        Some(fault)
    }

    /// How servers behave unless they misbehave.
    pub fn normal_conduct(&self) -> Conduct {
        Conduct { work_us: self.work_us, idle_us: self.idle_us, ..Conduct::default() }
    }

    /// When the last fault ends, in milliseconds.
    pub fn ends_ms(&self) -> u64 {
        self.windows.iter().map(|w| w.at_ms + w.lasts_ms).max().unwrap_or(0)
    }

    /// The configuration of the cluster that the plan runs on.
    pub fn cluster_config(&self) -> ClusterConfig {
        let mut config = ClusterConfig::plain(self.sidecars, self.servers, self.registry_replicas, self.seed);
        config.fault_injection = true;
        config.inherited_sockets = self.socket_passing;
        config.cores = self.cores;
        config.unread_logs = self.unread_logs();
        config.memory_mb = self.memory_mb;
        config.small_buffers = self.small_buffers;
        config.slack = TIMING_TOLERANCE_US;
        config.conduct = self.normal_conduct();
        config.zones = ["a", "b", "c"][..self.zones].iter().map(|z| (*z).to_owned()).collect();
        let settings = &mut config.settings;
        if !self.pushed_lists && self.registry_replicas == 0 {
            settings["Discovery"] = json!("on_request");
            settings["Rules"]["AskWithinUs"] = json!(3_000_000);
        }
        for class in settings["Lanes"].as_array_mut().into_iter().flatten() {
            class["DeadlineUs"] = json!(self.client_timeout_ms * 1000);
            class["AimUs"] = json!(self.client_timeout_ms * 500);
            class["KeyTtlUs"] = json!(self.dedup_window_ms * 1000);
        }
        config
    }
}

/// Tolerance of the rules' time limits, in microseconds: up to eight fleets of real processes run on one machine.
const TIMING_TOLERANCE_US: i64 = 400_000;

/// Sidecars and servers that already have an exclusive fault in a group: one that is killed is not stopped as well.
#[derive(Default)]
struct ExclusiveTargets {
    sidecars: Vec<usize>,
    servers: Vec<usize>,
}

impl ExclusiveTargets {
    fn reserve_sidecar(&mut self, sidecar: usize) -> Option<usize> {
        Self::reserve(&mut self.sidecars, sidecar)
    }

    fn reserve_server(&mut self, server: usize) -> Option<usize> {
        Self::reserve(&mut self.servers, server)
    }

    fn reserve(targets: &mut Vec<usize>, number: usize) -> Option<usize> {
        (!targets.contains(&number)).then(|| {
            targets.push(number);
            number
        })
    }
}

/// Draws a system call, its transient error, and how often it fails. Errors that end a connection are left out, as the
/// connection would have to end with them.
fn draw_failing_calls(rng: &mut ChaCha8Rng) -> Option<(usize, i32, u64)> {
    let failing: [(Call, i32, u64); 14] = [
        (Call::Accept, errno::ECONNABORTED, 2),
        (Call::Accept, errno::EMFILE, 1),
        (Call::Accept, errno::ENOBUFS, 1),
        (Call::Accept, errno::EINTR, 2),
        (Call::Socket, errno::EMFILE, 1),
        (Call::Socket, errno::ENOBUFS, 2),
        (Call::Connect, errno::EADDRNOTAVAIL, 2),
        (Call::Connect, errno::ENETUNREACH, 2),
        (Call::Receive, errno::EINTR, 4),
        (Call::Receive, 0, 2),
        (Call::Peek, errno::EINTR, 3),
        (Call::Send, errno::EINTR, 4),
        (Call::Send, 0, 2),
        (Call::Poll, errno::EINTR, 5),
    ];
    let (call, errno, every) = *failing.choose(rng)?;
    Some((Call::ALL.iter().position(|c| *c == call)?, errno, every))
}
