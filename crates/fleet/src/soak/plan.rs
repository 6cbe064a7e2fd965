//! What a run of the soak is: a fleet, and troubles on one timeline, all drawn from a seed.

use super::extra_faults::SeriesSignal;
use crate::chance::stream;
use crate::harness::Shape;
use crate::harness::ledger::Conduct;
use lotusmoor_faults::{Call, errno};
use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use serde_json::json;

/// Troubles meet at some moments of a run: so many, and so many troubles at each.
const MEETINGS: std::ops::RangeInclusive<usize> = 2..=3;
const AT_EACH: std::ops::RangeInclusive<usize> = 2..=3;
/// The first meeting, in milliseconds, and the time from one to the next.
const QUIET_MS: [u64; 2] = [500, 4_000];
const BETWEEN_MS: std::ops::Range<u64> = 1_500..3_500;

/// One trouble.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// A sidecar is killed, and starts again at its end.
    KillSidecar(usize),
    /// A sidecar is told to stop, and starts again once it has ended.
    StopSidecar(usize),
    /// Sidecars are told to stop, one after the other.
    #[serde(rename = "roll_sidecars")]
    StopSidecars(Vec<usize>),
    /// A sidecar reads a new configuration, twice in a row where that is said, with a file that can't be read for a
    /// while where that is said.
    ReloadSidecar {
        /// Which.
        sidecar: usize,
        /// Twice in a row.
        twice: bool,
        /// The file can't be read for so long, in milliseconds.
        unreadable_ms: u64,
    },
    /// A sidecar stands still.
    #[serde(rename = "hold_sidecar")]
    PauseSidecar(usize),
    /// Calls of a sidecar to the system fail.
    #[serde(rename = "calls")]
    FailSystemCalls {
        /// Which sidecar.
        sidecar: usize,
        /// The place of the call in [`Call::ALL`].
        call: usize,
        /// The error; 0 for short counts.
        errno: i32,
        /// One in so many.
        every: u64,
    },
    /// The wall clock of a sidecar steps, and back at its end.
    #[serde(rename = "wall_clock")]
    StepWallClock {
        /// Which sidecar.
        sidecar: usize,
        /// By how much it is ahead.
        ahead_us: i64,
    },
    /// A server drains, and is back at its end.
    #[serde(rename = "drain")]
    DrainServer(usize),
    /// A server is killed, and back cold at its end.
    KillServer(usize),
    /// A server stands still.
    #[serde(rename = "hold_server")]
    PauseServer(usize),
    /// A server misbehaves.
    Misbehaves {
        /// Which.
        server: usize,
        /// How.
        conduct: Conduct,
    },
    /// Discovery says nothing.
    #[serde(rename = "silence")]
    DiscoveryOutage,
    /// The link of a sidecar to a server is bad.
    Link {
        /// Which sidecar.
        sidecar: usize,
        /// Which server.
        server: usize,
        /// How.
        kind: LinkKind,
    },
    /// All connections of a sidecar to servers are reset.
    #[serde(rename = "resets")]
    ResetConnections(usize),
    /// A new process of a sidecar takes over.
    HandOver(usize),
    /// Operators take a server out at a sidecar, and give it back at its end.
    Cordon {
        /// Which sidecar.
        sidecar: usize,
        /// Which server.
        server: usize,
    },
    /// Operators drain a sidecar, which serves again at its end.
    #[serde(rename = "quiesce")]
    DrainSidecar(usize),
    /// Clients write long bodies as far as the system takes them, and close.
    LeavingBodies {
        /// Which sidecar.
        sidecar: usize,
        /// How many.
        count: usize,
    },
    /// A sidecar gets signals in series, and starts again if it was to stop.
    SignalSeries {
        /// Which sidecar.
        sidecar: usize,
        /// The signals, by their time.
        signals: Vec<SeriesSignal>,
    },
    /// From its start on, a sidecar logs to a pipe whose reader stands still.
    UnreadLog(usize),
    /// The same with a reader that is gone.
    LostLog(usize),
    /// Peers that are no clients connect to a sidecar, and stay.
    #[serde(rename = "strangers")]
    MalformedClients {
        /// Which sidecar.
        sidecar: usize,
        /// How many.
        count: usize,
    },
}

/// How a link is bad.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkKind {
    /// Nothing passes.
    Cut,
    /// Nothing comes back.
    #[serde(rename = "cut_back")]
    CutResponses,
    /// All takes a while longer.
    Slow,
    /// Few bytes a second pass.
    Narrow,
    /// Ends are not passed on.
    HalfOpen,
    /// Answers stand still in their midst.
    Stalls,
}

/// The most that a slow link delays what is sent, in milliseconds.
pub const SLOW_MS: u64 = 60;
/// A held sidecar stands still for no longer than this.
const LONGEST_HOLD_MS: u64 = 150;

/// Calls that always fail do so for a moment: who can't accept for longer can't answer in time.
const LONGEST_OUTAGE_MS: u64 = 500;

/// Share of plans in which the platform holds clients' sockets and passes them on, of those with servers that can be pushed
/// over when they are cold, and of those with many sidecars.
const PASSED: f64 = 0.4;
const FEW_CORES: f64 = 0.4;
const LARGE: f64 = 0.05;
/// What a server of few cores works on at a time, how long it takes, and what such a fleet asks of it.
const CORES: usize = 2;
const SLOW_WORK_US: u64 = 30_000;
/// Sidecars of a large fleet, and requests a second to each.
const MOST_SIDECARS: usize = 40;
const LITTLE_TRAFFIC: f64 = 4.0;

/// A trouble and its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FaultWindow {
    /// When it begins, in milliseconds from the first request on.
    pub at_ms: u64,
    /// How long it lasts.
    pub lasts_ms: u64,
    /// What it is.
    #[serde(rename = "trouble")]
    pub fault: Fault,
}

impl FaultWindow {
    /// The same with new versions in place of stops: a platform that holds the sockets stops no sidecar without one.
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

/// A run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// What it was drawn from.
    pub seed: u64,
    /// Sidecars.
    pub sidecars: usize,
    /// Servers.
    pub servers: usize,
    /// Replicas of a roster, which takes discovery's place; 0 for none.
    #[serde(rename = "rosters")]
    pub registry_replicas: usize,
    /// Zones.
    pub zones: usize,
    /// Lists are pushed, or asked for.
    #[serde(rename = "pushed")]
    pub pushed_lists: bool,
    /// How long clients wait, in milliseconds.
    #[serde(rename = "wait_ms")]
    pub client_timeout_ms: u64,
    /// For how long servers drop repeats of a key, in milliseconds.
    #[serde(rename = "window_ms")]
    pub dedup_window_ms: i64,
    /// Requests a second to each sidecar.
    pub rate: f64,
    /// Share of clients that close early.
    #[serde(rename = "leaving")]
    pub early_close_share: f64,
    /// Share of requests that may have one that come with a body.
    #[serde(default)]
    #[serde(rename = "bodies")]
    pub body_share: f64,
    /// How servers behave at first: time for a request ...
    pub work_us: u64,
    /// ... and after which they close idle connections; 0 for never.
    #[serde(default)]
    pub idle_us: u64,
    /// Requests that a server works on at a time.
    #[serde(default = "many_cores")]
    pub cores: usize,
    /// The platform holds clients' sockets, and passes them on from process to process.
    #[serde(default)]
    #[serde(rename = "passed")]
    pub socket_passing: bool,
    /// The troubles, by their beginning.
    pub windows: Vec<FaultWindow>,
}

fn many_cores() -> usize {
    64
}

impl Plan {
    /// Draws one.
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
            windows: Vec::new(),
        };
        let mut at = *QUIET_MS.choose(&mut rng).unwrap_or(&QUIET_MS[0]);
        for _ in 0..rng.random_range(MEETINGS) {
            let mut busy = Busy::default();
            for _ in 0..rng.random_range(AT_EACH) {
                let Some(fault) = plan.draw_trouble(&mut rng, &mut busy) else { continue };
                // Within milliseconds of each other, most of them.
                let shift =
                    if rng.random_bool(0.7) { rng.random_range(0..15) } else { rng.random_range(0..400) };
                let lasts_ms = match fault {
                    Fault::PauseSidecar(_) => rng.random_range(20..=LONGEST_HOLD_MS),
                    Fault::FailSystemCalls { every: 1, .. } => rng.random_range(20..=LONGEST_OUTAGE_MS),
                    _ => rng.random_range(200..2_500),
                };
                plan.windows.push(FaultWindow { at_ms: at + shift, lasts_ms, fault });
            }
            at += rng.random_range(BETWEEN_MS);
        }
        plan.draw_operation(at);
        plan.windows.sort_by_key(|w| w.at_ms);
        plan
    }

    /// What came to the soak later, from chances of its own, so that a seed draws the same troubles as before beside it:
    /// passed sockets with new versions in place of stops, operators' calls, servers that can be pushed over, large fleets.
    fn draw_operation(&mut self, ends_ms: u64) {
        let mut rng = stream(self.seed, "soak operation", 0);
        if rng.random_bool(LARGE) {
            (self.sidecars, self.rate) = (MOST_SIDECARS, LITTLE_TRAFFIC);
        }
        if rng.random_bool(FEW_CORES) {
            (self.cores, self.work_us) = (CORES, SLOW_WORK_US);
        }
        self.socket_passing = self.registry_replicas == 0 && rng.random_bool(PASSED);
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
            // Beside another trouble, where there is one.
            let beside = self.windows.choose(&mut rng).map_or(ends_ms, |w| w.at_ms);
            let at_ms = beside + rng.random_range(0..15);
            self.windows.push(FaultWindow { at_ms, lasts_ms: rng.random_range(200..2_500), fault });
        }
    }

    fn draw_trouble(&self, rng: &mut ChaCha8Rng, busy: &mut Busy) -> Option<Fault> {
        let sidecar = rng.random_range(0..self.sidecars);
        let server = rng.random_range(0..self.servers);
        let fault = match rng.random_range(0..22) {
            0 => Fault::KillSidecar(busy.sidecar(sidecar)?),
            1 | 2 => Fault::StopSidecar(busy.sidecar(sidecar)?),
            3 => {
                let three = (0..3).map(|n| (sidecar + n) % self.sidecars);
                Fault::StopSidecars(three.filter_map(|s| busy.sidecar(s)).collect())
            }
            4 | 5 if self.registry_replicas == 0 => Fault::ReloadSidecar {
                sidecar: busy.sidecar(sidecar)?,
                twice: rng.random_bool(0.5),
                unreadable_ms: if rng.random_bool(0.3) { 300 } else { 0 },
            },
            6 => Fault::PauseSidecar(sidecar),
            7..=10 => {
                let (call, errno, every) = draw_calls(rng)?;
                Fault::FailSystemCalls { sidecar, call, errno, every }
            }
            11 => {
                let steps = [3_600_000_000, -3_600_000_000, 5_000_000, -5_000_000];
                Fault::StepWallClock { sidecar, ahead_us: *steps.choose(rng)? }
            }
            12 | 13 => Fault::DrainServer(busy.server(server)?),
            14 => Fault::KillServer(busy.server(server)?),
            15 => Fault::PauseServer(busy.server(server)?),
            16 | 17 => {
                let usual = self.conduct();
                let conduct = match rng.random_range(0..6) {
                    0 => Conduct { errors: 0.7, ..usual },
                    1 => Conduct { silent: true, ..usual },
                    2 => Conduct { resets: 0.6, ..usual },
                    3 => Conduct { halves: 0.6, ..usual },
                    4 => Conduct { turns_away: true, ..usual },
                    _ => Conduct { first_byte_us: 400_000, ..usual },
                };
                Fault::Misbehaves { server: busy.server(server)?, conduct }
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
                    // What a body waits for on a narrow link has no bound that the checker could allow for.
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

    /// How servers behave when all is well.
    pub fn conduct(&self) -> Conduct {
        Conduct { work_us: self.work_us, idle_us: self.idle_us, ..Conduct::default() }
    }

    /// When the last trouble is over, in milliseconds.
    pub fn ends_ms(&self) -> u64 {
        self.windows.iter().map(|w| w.at_ms + w.lasts_ms).max().unwrap_or(0)
    }

    /// The fleet that it is played on.
    pub fn shape(&self) -> Shape {
        let mut shape = Shape::plain(self.sidecars, self.servers, self.registry_replicas, self.seed);
        shape.faults = true;
        shape.passed = self.socket_passing;
        shape.cores = self.cores;
        shape.unread_logs = self.unread_logs();
        shape.slack = SLACK_US;
        shape.conduct = self.conduct();
        shape.zones = ["a", "b", "c"][..self.zones].iter().map(|z| (*z).to_owned()).collect();
        let settings = &mut shape.settings;
        if !self.pushed_lists && self.registry_replicas == 0 {
            settings["Discovery"] = json!("on_request");
            settings["Rules"]["AskWithinUs"] = json!(3_000_000);
        }
        for lane in settings["Lanes"].as_array_mut().into_iter().flatten() {
            lane["DeadlineUs"] = json!(self.client_timeout_ms * 1000);
            lane["AimUs"] = json!(self.client_timeout_ms * 500);
            lane["KeyTtlUs"] = json!(self.dedup_window_ms * 1000);
        }
        shape
    }
}

/// What eight fleets of real processes on one machine may add to a rule's figure, in microseconds.
const SLACK_US: i64 = 400_000;

/// Sidecars and servers that have a trouble of their own at a meeting: one that is killed is not stopped as well.
#[derive(Default)]
struct Busy {
    sidecars: Vec<usize>,
    servers: Vec<usize>,
}

impl Busy {
    fn sidecar(&mut self, sidecar: usize) -> Option<usize> {
        Self::first(&mut self.sidecars, sidecar)
    }

    fn server(&mut self, server: usize) -> Option<usize> {
        Self::first(&mut self.servers, server)
    }

    fn first(busy: &mut Vec<usize>, number: usize) -> Option<usize> {
        (!busy.contains(&number)).then(|| {
            busy.push(number);
            number
        })
    }
}

/// Calls that fail in ways that pass: an error that is the end of a connection has to come with its end.
fn draw_calls(rng: &mut ChaCha8Rng) -> Option<(usize, i32, u64)> {
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
