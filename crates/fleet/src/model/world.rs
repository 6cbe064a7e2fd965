//! A world: one draw from a site and a scenario. Everything in it is fixed before the first event, and equal for
//! all policies under one seed.

use super::link::Links;
use super::server::Fall;
use crate::chance::{self, stream};
use crate::scenario::{Fault, FaultKind, Scenario};
use crate::site::{Conn, Kind, Range, Site};
use crate::{Micros, SECOND, millis, seconds};
use rand::RngExt;
use rand::seq::SliceRandom;
use serde_json::json;

/// A server as it is; what it does stands in `server`.
#[derive(Clone, Debug)]
pub struct ServerSpec {
    /// Its zone, by number.
    pub zone: usize,
    /// Its kind, by number.
    pub kind: usize,
    /// Its cell.
    pub cell: u64,
    /// Weight that the list tells.
    pub weight: f64,
    /// Cores.
    pub cores: f64,
    /// Work that a core does in a microsecond, in microseconds of the standard core.
    pub speed: f64,
    /// Requests in work.
    pub slots: usize,
    /// Requests that wait.
    pub queue: usize,
    /// Share of its capacity at its start ...
    pub cold_from: f64,
    /// ... and the time until it is warm.
    pub cold: Micros,
    /// It warms by its work as well: twice as fast as by time where it has as much as it can do.
    pub warms_by_work: bool,
    /// Time between two pauses; 0 for none.
    pub pause_every: Micros,
    /// Length of a pause.
    pub pause: Micros,
    /// Growth of a pause with the machine's use.
    pub pause_grow: f64,
    /// Share of requests answered with an error.
    pub error_rate: f64,
    /// Whether a cancel ends what runs.
    pub cancels_running: bool,
    /// Whether what is overdue is dropped before it is begun.
    pub drops_expired: bool,
    /// Connections that it holds ...
    pub connections: u32,
    /// ... each for so many attempts.
    pub streams: u32,
    /// Share of its capacity that a full table of them takes.
    pub full_tax: f64,
    /// Share of its capacity lost beyond so many requests a core.
    pub thrash: f64,
    /// Requests in hand for each core from which on it is.
    pub thrash_at: f64,
    /// How much longer its links are than others', as a factor.
    pub stretch: f64,
    /// Keys that it remembers.
    pub keys: usize,
    /// For how long.
    pub key_time: Micros,
    /// It starts later, as another's successor.
    pub later: bool,
}

impl ServerSpec {
    /// One core of speed 1 with no faults, for tests and small worlds.
    pub fn plain(zone: usize) -> Self {
        Self {
            zone,
            kind: 0,
            cell: 0,
            weight: 1.0,
            cores: 1.0,
            speed: 1.0,
            slots: 16,
            queue: 100,
            cold_from: 0.2,
            cold: 10 * SECOND,
            warms_by_work: false,
            pause_every: 0,
            pause: 0,
            pause_grow: 0.0,
            error_rate: 0.0,
            cancels_running: true,
            drops_expired: true,
            connections: 1000,
            streams: 1,
            full_tax: 0.0,
            thrash: 0.0,
            thrash_at: f64::INFINITY,
            stretch: 1.0,
            keys: 0,
            key_time: 0,
            later: false,
        }
    }
}

/// A sidecar with its clients.
#[derive(Clone, Debug)]
pub struct SidecarSpec {
    /// Its zone, by number.
    pub zone: usize,
    /// First tries a second, on the mean.
    pub rate: f64,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct ClassSpec {
    /// Its name.
    pub name: String,
    /// Its share of the requests.
    pub share: f64,
    /// Mean work, in microseconds of the standard core.
    pub work: f64,
    /// Whether work is spread like a log-normal figure instead of an exponential one.
    pub lognormal: bool,
    /// Variation of the work.
    pub cv: f64,
    /// Variation between attempts at one request.
    pub noise: f64,
    /// Answers within this earn the worth.
    pub aim: Micros,
    /// A client waits so long over all tries.
    pub deadline: Micros,
    /// Worth of a request.
    pub worth: f64,
    /// Share of it that a late answer earns.
    pub late_worth: f64,
    /// How long an answer streams after its first byte; 0 for whole answers.
    pub stream: Micros,
    /// Whether clients may repeat what may have run: 0 never, else for so long.
    pub repeat_for: Micros,
}

/// A tenant.
#[derive(Clone, Debug)]
pub struct TenantSpec {
    /// Its name.
    pub name: String,
    /// Its share of what the servers can do.
    pub share: f64,
    /// Its part of the traffic.
    pub traffic: f64,
    /// Requests a second within its share, over all sidecars.
    pub quota_per_s: f64,
}

/// A sidecar's processor.
#[derive(Clone, Copy, Debug)]
pub struct ProcessorSpec {
    /// What each message takes of it, in or out, as real time.
    pub message: f64,
    /// Use in a second, past which requests are late; infinite for no such limit.
    pub most_per_s: f64,
}

/// Load reports.
#[derive(Clone, Debug)]
pub struct ReportSpec {
    /// Between two readings, with the age at which one is told.
    pub period: Micros,
    /// Their error.
    pub noise: f64,
    /// Whether answers carry them, or probes alone.
    pub on_answers: bool,
    /// Whether they tell what waits, what is in hand, and the use of the cores.
    pub tells: [bool; 3],
}

/// Prices, in points of the result.
#[derive(Clone, Copy, Debug)]
pub struct PriceSpec {
    /// Across zones, waste, late failures, probes, handshakes, connections, lines of lists.
    pub each: [f64; 7],
}

/// Weights of the result.
#[derive(Clone, Copy, Debug)]
pub struct GoalSpec {
    /// The whole day.
    pub whole_run: f64,
    /// The worst 10 s.
    pub worst_window: f64,
    /// The worst class.
    pub worst_class: f64,
    /// The worst tenant, within its share.
    pub worst_tenant: f64,
}

/// Something that happens at an instant.
#[derive(Clone, Debug, PartialEq)]
pub enum Happening {
    /// A server drains.
    Drain(usize),
    /// A server's process ends; connections are reset.
    End(usize),
    /// A server's process starts, cold.
    Start(usize),
    /// A server's machine goes silent.
    Silent(usize),
    /// A server stands still, or goes on.
    Pause(usize, bool),
    /// A server's slowness is multiplied by this.
    Slow(usize, f64),
    /// A server answers such a share with errors.
    Errors(usize, f64),
    /// A server turns a class away, or none.
    TurnAway(usize, Option<u8>),
    /// Operators take a server out at every sidecar, or give it back.
    Cordon(usize, bool),
    /// A zone is cut off; whether in both directions, and whether it begins.
    Cut(usize, bool, bool),
    /// Traffic of a zone's sidecars, or of all, is multiplied by this.
    Traffic(Option<usize>, f64),
    /// A sidecar's process is killed.
    KillSidecar(usize),
    /// A sidecar is told to stop: it takes nothing new, ends what it has, and starts again so long after its end.
    StopSidecar(usize, Micros),
    /// A sidecar's process starts.
    StartSidecar(usize),
    /// A new process takes over while the old one ends what it has.
    UpgradeSidecar(usize),
    /// Discovery is away, or back.
    Discovery(bool),
    /// The replica of the roster at that place after its leader is away, silently or not; whether it begins.
    Roster(usize, bool, bool),
    /// Such a share of answers is lost.
    Resets(f64),
    /// Such a share of answers can't be read.
    Spoilt(f64),
    /// Such a share of new connections comes up so much later.
    LateConnects(f64, Micros),
    /// A sidecar gets a message that is no request so often; 0 for no more.
    BadClients(usize, Micros),
    /// Clients try so many times as often, and such a share leaves early.
    Eager(f64, f64),
}

/// When something happens.
#[derive(Clone, Debug)]
pub struct Planned {
    /// The instant.
    pub at: Micros,
    /// What.
    pub what: Happening,
}

/// Conduct of the clients.
#[derive(Clone, Debug)]
pub struct ClientSpec {
    /// Retries, a part being a chance.
    pub retries: f64,
    /// Part of the deadline after which a try is given up.
    pub try_share: f64,
    /// Whether waits double.
    pub doubling: bool,
    /// Share that heeds a time to come back.
    pub honour: f64,
    /// First wait.
    pub backoff: f64,
    /// Longest time to come back that is heeded.
    pub max_hold_off: Micros,
    /// Share that leaves early.
    pub impatient: f64,
}

/// Conduct of discovery.
#[derive(Clone, Debug)]
pub struct DiscoverySpec {
    /// Sidecars must ask for changes themselves.
    pub on_request: bool,
    /// From a process's end or drain to the list.
    pub notice: Range,
    /// From a machine's silence to the list.
    pub silent_notice: Range,
    /// From a start to the list.
    pub add: Range,
    /// Between two versions.
    pub period: Micros,
    /// From a version to the sidecars, at most.
    pub spread: Micros,
    /// Time that a call takes discovery.
    pub call: Micros,
    /// A call that waits longer fails.
    pub call_timeout: Micros,
    /// First wait before the next call.
    pub retry: Micros,
}

/// A roster, with what its log and its answers cost.
#[derive(Clone, Debug)]
pub struct RosterSpec {
    /// Replicas.
    pub replicas: usize,
    /// From a write to its being at a majority.
    pub commit_ms: Range,
    /// From the loss of a leader to the next one's first write.
    pub failover_s: Range,
    /// Leases of servers.
    pub lease_ms: u64,
    /// Whole lists that a replica tells in a second.
    pub whole_lists_per_s: f64,
    /// Time that an answer takes its replica ...
    pub answer: Micros,
    /// ... and each line of it.
    pub line: f64,
    /// Sidecars keep the last list over a restart.
    pub file: bool,
}

/// One day, drawn.
#[derive(Clone, Debug)]
pub struct World {
    /// What it is drawn from.
    pub seed: u64,
    /// How long clients ask.
    pub length: Micros,
    /// Sidecars handle what has come at multiples of this; 0 for at once.
    pub tick: Micros,
    /// What a sidecar adds to a request each way.
    pub sidecar_time: Micros,
    /// The settings object of a sidecar, without its own place in it.
    pub settings: serde_json::Value,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the kinds of machine.
    pub kinds: Vec<String>,
    /// Servers, those that come later at the end.
    pub servers: Vec<ServerSpec>,
    /// Sidecars.
    pub sidecars: Vec<SidecarSpec>,
    /// Classes.
    pub classes: Vec<ClassSpec>,
    /// Links.
    pub links: Links,
    /// Clients.
    pub clients: ClientSpec,
    /// Discovery.
    pub discovery: DiscoverySpec,
    /// A roster in discovery's place.
    pub roster: Option<RosterSpec>,
    /// Popularity of the keys, added up.
    pub keys: Vec<f64>,
    /// Height and length of the wave in the traffic.
    pub wave: (f64, Micros),
    /// Share of the work that a known key saves.
    pub key_gain: f64,
    /// Round trips before the first request on a connection, what one costs the server, when idle ones close, and
    /// when one that is not made has failed.
    pub handshake: (f64, f64),
    /// Idle connections close after this.
    pub idle: Micros,
    /// Connections not made within this have failed.
    pub dial_timeout: Micros,
    /// Load reports.
    pub report: Option<ReportSpec>,
    /// Requests come with a rough figure of their work.
    pub hints: bool,
    /// What a probe costs, whether it waits like a request, and when one that is not answered has failed.
    pub probe: (f64, bool, Micros),
    /// Drains are heeded within this.
    pub grace: Micros,
    /// What a cold server bears before it falls over.
    pub fall: Fall,
    /// Weights of the result.
    pub goal: GoalSpec,
    /// Prices.
    pub prices: PriceSpec,
    /// Tenants; none at most sites.
    pub tenants: Vec<TenantSpec>,
    /// Worth of a request beyond its tenant's share, as a part of its class's worth.
    pub over_share_worth: f64,
    /// A request's worth goes by its work.
    pub worth_by_work: bool,
    /// Listed weights are sizes over the load of a while ago.
    pub live_weights: bool,
    /// Sidecars' processors; `None`: never short.
    pub processor: Option<ProcessorSpec>,
    /// Requests that a sidecar may have open.
    pub seats: usize,
    /// Attempts that a connection carries at a time.
    pub streams: u32,
    /// Probes that a server answers at a time, for each core.
    pub probe_cap: f64,
    /// What happens, in order.
    pub plan: Vec<Planned>,
}

impl World {
    /// Draws one.
    pub fn draw(scenario: &Scenario, site: &Site, seed: u64) -> Self {
        let mut rng = stream(seed, "world", 0);
        let rng = &mut rng;
        let tier = &site.tier[0];
        let zones = site.net.zones.len();
        let conn = &tier.conn;
        let (handshake, full_tax) =
            ((conn.handshake_rtts.draw(rng).round(), conn.handshake_us.draw(rng)), conn.full_tax.draw(rng));
        let report = tier.report.as_ref().filter(|r| r.how != "none").map(|r| {
            let period = millis(r.period_ms.draw(rng) + r.delay_ms.draw(rng));
            let told = |field: &str| r.fields.iter().any(|f| f == field);
            let tells = [told("queue") || r.fields.is_empty(), told("inflight"), told("util")];
            ReportSpec { period, noise: r.noise.draw(rng), on_answers: r.how == "answers", tells }
        });
        let cell_size = tier.cell_size.draw(rng).max(1.0);
        let (key_gain, key_time) = (site.fam.affinity_gain.draw(rng), seconds(site.fam.affinity_s.draw(rng)));
        let keys_per_core = site.fam.affinity_keys_per_core.draw(rng);

        let classes = Self::classes(scenario, site, rng);
        let longest = classes.iter().map(|c| c.deadline).max().unwrap_or(SECOND);
        let servers = {
            let kinds: Vec<_> =
                tier.kind.iter().map(|k| (k, k.share.draw(rng), Drawn::of(k, conn, rng))).collect();
            let shares: f64 = kinds.iter().map(|k| k.1).sum();
            let skew = site.net.server_skew.draw(rng);
            let mut servers = Vec::with_capacity(scenario.servers);
            let mut start = stream(seed, "servers", 0);
            for i in 0..scenario.servers {
                let mut left = (i as f64 + 0.5) / scenario.servers as f64 * shares;
                let at = kinds.iter().position(|k| {
                    left -= k.1;
                    left <= 0.0
                });
                let (kind, _, drawn) = &kinds[at.unwrap_or(kinds.len() - 1)];
                let speed = drawn.speed * chance::factor(start.random(), kind.speed_cv.mid());
                let rough = if matches!(tier.weights.as_str(), "rough" | "live") {
                    chance::factor(start.random(), 0.1)
                } else {
                    1.0
                };
                servers.push(ServerSpec {
                    zone: 0,
                    kind: at.unwrap_or(kinds.len() - 1),
                    cell: 0,
                    weight: if tier.weights == "none" { 1.0 } else { kind.cores * speed * rough },
                    cores: kind.cores,
                    speed,
                    slots: (drawn.slots * kind.cores).ceil() as usize,
                    queue: (drawn.queue * kind.cores) as usize,
                    cold_from: kind.cold_from.draw(&mut start),
                    cold: seconds(kind.cold_s.draw(&mut start)),
                    warms_by_work: kind.warm_by == "work",
                    pause_every: seconds(kind.pause_every_s.draw(&mut start)),
                    pause: millis(kind.pause_ms.draw(&mut start)),
                    pause_grow: drawn.pause_grow,
                    error_rate: kind.error_rate.draw(&mut start),
                    cancels_running: drawn.cancels_running,
                    drops_expired: kind.drops_expired,
                    connections: (drawn.connections * kind.cores) as u32,
                    streams: conn.streams,
                    full_tax,
                    thrash: kind.thrash,
                    thrash_at: if kind.thrash > 0.0 { drawn.thrash_at } else { f64::INFINITY },
                    stretch: 1.0 + skew * start.random::<f64>(),
                    keys: (keys_per_core * kind.cores) as usize,
                    key_time,
                    later: false,
                });
            }
            // Kinds and zones must not go together.
            servers.shuffle(&mut start);
            for (i, server) in servers.iter_mut().enumerate() {
                (server.zone, server.cell) = (i % zones, (i as f64 / cell_size) as u64);
            }
            servers
        };

        let capacity: f64 = servers.iter().map(|s| s.cores * s.speed).sum();
        let mean_work: f64 = classes.iter().map(|c| c.work * c.share).sum();
        let rate = scenario.load.draw(rng) * capacity / mean_work * SECOND as f64;
        let sidecars = Self::sidecars(scenario, site, rate, seed);
        let tenants = Self::tenants(site, capacity / mean_work * SECOND as f64, seed);
        let wavy = site.load.shape.iter().any(|s| s == "wave") && rng.random_bool(0.5);
        let wave =
            (if wavy { site.load.swing.draw(rng) } else { 0.0 }, seconds(20.0 + 20.0 * rng.random::<f64>()));
        let zipf = site.load.key_zipf.draw(rng);
        let keys = (1..=site.load.keys.draw(rng).max(1.0) as u64)
            .scan(0.0, |sum, k| {
                *sum += (k as f64).powf(-zipf);
                Some(*sum)
            })
            .collect();
        let net = &site.net;
        let us = |range: Range, rng: &mut _| range.draw(rng) * 1000.0;
        let (same, cross, client) = (us(net.same_ms, rng), us(net.cross_ms, rng), us(net.client_ms, rng));
        let links = Links::new(zones, same, cross, client, net.jitter.draw(rng), chance::mix(seed));
        let (clients, d) = (&site.clients, &site.discovery);

        let mut world = Self {
            seed,
            length: seconds(scenario.length_s),
            tick: if scenario.ticked { millis(site.day.tick_ms) } else { 0 },
            sidecar_time: scenario.sidecar_us,
            settings: settings_of(site, &classes, &tenants, scenario),
            zones: net.zones.clone(),
            kinds: tier.kind.iter().map(|k| k.name.clone()).collect(),
            servers,
            sidecars,
            classes,
            links,
            clients: ClientSpec {
                retries: clients.retries.draw(rng),
                try_share: clients.try_share.draw(rng),
                doubling: clients.backoff == "exp",
                honour: clients.honour.draw(rng),
                backoff: clients.backoff_ms.draw(rng) * 1000.0 * scenario.pace,
                max_hold_off: millis(clients.max_retry_after_ms),
                impatient: clients.impatient.draw(rng),
            },
            discovery: DiscoverySpec {
                on_request: d.mode != "push",
                notice: d.notice_s,
                silent_notice: d.silent_notice_s,
                add: d.add_s,
                period: millis(d.period_ms.draw(rng)).max(1),
                spread: millis(d.spread_ms.draw(rng)).max(1),
                call: (SECOND as f64 / scenario.discovery.calls_per_s) as Micros,
                call_timeout: seconds(scenario.discovery.call_timeout_s),
                retry: millis(scenario.discovery.retry_ms).max(1000),
            },
            roster: scenario.roster.as_ref().map(|r| RosterSpec {
                replicas: r.replicas,
                commit_ms: r.commit_ms,
                failover_s: r.failover_s,
                lease_ms: (r.lease_s * 1000.0) as u64,
                whole_lists_per_s: r.whole_lists_per_s,
                answer: r.answer_us as Micros,
                line: r.line_us,
                file: r.file,
            }),
            keys,
            wave,
            key_gain,
            handshake,
            idle: seconds(conn.idle_s),
            dial_timeout: millis(conn.connect_timeout_ms),
            report,
            hints: !matches!(site.load.hints.as_str(), "" | "none"),
            probe: (tier.probe.work_us.draw(rng), tier.probe.deep, millis(tier.probe.timeout_ms)),
            grace: millis(site.rules.drain_grace_ms),
            fall: Fall {
                multiple: site.rules.fall_multiple,
                window: millis(site.rules.fall_ms),
                mean: mean_work,
            },
            goal: GoalSpec {
                whole_run: site.goal.whole,
                worst_window: site.goal.worst_window,
                worst_class: site.goal.worst_class,
                worst_tenant: site.goal.worst_tenant,
            },
            prices: {
                let p = &site.prices;
                let each =
                    [p.cross_zone, p.waste, p.late_fail, p.probe, p.handshake, p.connection, p.discovery];
                PriceSpec { each }
            },
            tenants,
            over_share_worth: site.load.over_share_worth,
            worth_by_work: site.load.worth_by == "work",
            live_weights: tier.weights == "live",
            processor: (scenario.message_us > 0.0).then(|| ProcessorSpec {
                message: scenario.message_us / scenario.sidecar_cores,
                // The operators' simulator has it, where all is in rounds; real sidecars have their share of a core.
                most_per_s: match site.allow.cpu_ms_per_s {
                    most if scenario.ticked && most > 0.0 => most * 1000.0,
                    _ => f64::INFINITY,
                },
            }),
            seats: match site.allow.most_held {
                0 => usize::MAX,
                most => most as usize,
            },
            streams: conn.streams,
            probe_cap: tier.probe.cap_per_core.mid(),
            plan: Vec::new(),
        };
        world.plan_faults(scenario, site, longest);
        world
    }

    fn classes(scenario: &Scenario, site: &Site, rng: &mut impl RngExt) -> Vec<ClassSpec> {
        let mut classes: Vec<_> = site
            .class
            .iter()
            .map(|c| ClassSpec {
                name: c.name.clone(),
                share: c.share.draw(rng),
                work: c.work_ms.draw(rng) * 1000.0 * scenario.pace,
                lognormal: !c.dist.is_empty() && c.dist[rng.random_range(0..c.dist.len())] == "lognormal",
                cv: c.cv.draw(rng),
                noise: c.attempt_noise.draw(rng),
                aim: millis(c.aim_ms * scenario.pace),
                deadline: millis(c.deadline_ms * scenario.pace),
                worth: c.worth,
                late_worth: c.late_worth,
                // Drawn apart, so that classes of whole answers are what they were.
                stream: millis(c.stream_ms.mid() * scenario.pace),
                repeat_for: match (c.effect.as_str(), c.group.as_deref()) {
                    ("safe", _) => Micros::MAX / 4,
                    ("keyed", None | Some("all")) => millis(c.window_ms * scenario.pace),
                    _ => 0,
                },
            })
            .collect();
        let shares: f64 = classes.iter().map(|c| c.share).sum();
        classes.iter_mut().for_each(|c| c.share /= shares);
        classes
    }

    /// Those of a site, with their parts of what its servers can do, in requests a second.
    fn tenants(site: &Site, served: f64, seed: u64) -> Vec<TenantSpec> {
        let mut rng = stream(seed, "tenants", 0);
        let draw = |t: &crate::site::Tenant| {
            let (share, traffic) = (t.share.draw(&mut rng), t.traffic.draw(&mut rng));
            TenantSpec { name: t.name.clone(), share, traffic, quota_per_s: 0.0 }
        };
        let mut tenants: Vec<_> = site.tenant.iter().map(draw).collect();
        let (shares, traffic) =
            tenants.iter().fold((0.0, 0.0), |(s, t), tenant| (s + tenant.share, t + tenant.traffic));
        for tenant in &mut tenants {
            tenant.share /= shares;
            tenant.traffic /= traffic;
            tenant.quota_per_s = served * tenant.share;
        }
        tenants
    }

    fn sidecars(scenario: &Scenario, site: &Site, rate: f64, seed: u64) -> Vec<SidecarSpec> {
        let mut rng = stream(seed, "sidecars", 0);
        let zones = site.net.zones.len();
        let (skew, cv) = (site.load.zone_skew.draw(&mut rng), site.load.stream_cv.draw(&mut rng));
        let by_zone: Vec<f64> = (0..zones).map(|_| chance::factor(rng.random(), skew)).collect();
        let shares: Vec<f64> =
            (0..scenario.sidecars).map(|i| by_zone[i % zones] * chance::factor(rng.random(), cv)).collect();
        let sum: f64 = shares.iter().sum();
        let spec = |(i, share): (usize, &f64)| SidecarSpec { zone: i % zones, rate: rate * share / sum };
        shares.iter().enumerate().map(spec).collect()
    }

    fn plan_faults(&mut self, scenario: &Scenario, site: &Site, longest: Micros) {
        let mut faults = scenario.fault.clone();
        let mut rng = stream(self.seed, "troubles", 0);
        let known: Vec<_> =
            site.trouble.iter().filter_map(|t| Some((t, FaultKind::of_trouble(&t.name)?))).collect();
        for _ in 0..if known.is_empty() { 0 } else { scenario.site_troubles } {
            let (trouble, kind) = known[rng.random_range(0..known.len())];
            let at_s = scenario.length_s * (0.1 + 0.5 * rng.random::<f64>());
            let size = if trouble.size == Range::default() { Range::of(1.0, 1.0) } else { trouble.size };
            let (for_s, part, extra) = (trouble.len_s, trouble.part, trouble.extra);
            faults.push(Fault { kind, at_s, for_s, part, size, extra, zone: None });
        }
        for (i, fault) in faults.iter().enumerate() {
            self.plan_fault(fault, i as u64, longest);
        }
        self.plan.sort_by_key(|p| p.at);
    }

    fn plan_fault(&mut self, fault: &Fault, number: u64, longest: Micros) {
        let mut rng = stream(self.seed, "faults", number);
        let rng = &mut rng;
        let (at, len) = (seconds(fault.at_s), seconds(fault.for_s.draw(rng)));
        let (part, size, extra) = (fault.part.draw(rng), fault.size.draw(rng), fault.extra.draw(rng));
        let zone = rng.random_range(0..self.zones.len());
        let zone = fault.zone.map_or(zone, |z| z % self.zones.len());
        let mut struck = |n: usize| {
            let mut all: Vec<usize> = (0..n).collect();
            all.shuffle(rng);
            all.truncate((part * n as f64).round() as usize);
            all
        };
        let first: Vec<usize> = (0..self.servers.len()).filter(|s| !self.servers[*s].later).collect();
        let servers: Vec<usize> = struck(first.len()).into_iter().map(|i| first[i]).collect();
        let sidecars = struck(self.sidecars.len());
        let step = |i: usize, n: usize| at + len * i as Micros / n.max(1) as Micros;
        use Happening as H;
        let mut plan = Vec::new();
        match fault.kind {
            FaultKind::Pauses => {
                let every = seconds(extra).max(1000);
                for s in servers {
                    let mut t = at + rng.random_range(0..every);
                    while t < at + len {
                        plan.extend([(t, H::Pause(s, true)), (t + millis(size), H::Pause(s, false))]);
                        t += every;
                    }
                }
            }
            FaultKind::Vanish => {
                plan.extend(servers.iter().flat_map(|s| [(at, H::Silent(*s)), (at + len, H::Start(*s))]))
            }
            FaultKind::Crash => {
                plan.extend(servers.iter().flat_map(|s| [(at, H::End(*s)), (at + len, H::Start(*s))]))
            }
            FaultKind::Slow => plan.extend(
                servers.iter().flat_map(|s| [(at, H::Slow(*s, size)), (at + len, H::Slow(*s, 1.0 / size))]),
            ),
            FaultKind::Errors => plan.extend(servers.iter().flat_map(|s| {
                let usual = self.servers[*s].error_rate;
                [(at, H::Errors(*s, size)), (at + len, H::Errors(*s, usual))]
            })),
            FaultKind::TurnAwayClass => plan.extend(servers.iter().flat_map(|s| {
                let class = (extra as usize).min(self.classes.len() - 1) as u8;
                [(at, H::TurnAway(*s, Some(class))), (at + len, H::TurnAway(*s, None))]
            })),
            FaultKind::ZoneLost => {
                let lost = first.iter().filter(|s| self.servers[**s].zone == zone);
                plan.extend(lost.flat_map(|s| [(at, H::Silent(*s)), (at + len, H::Start(*s))]));
            }
            FaultKind::ZoneCut | FaultKind::ZoneCutOut => {
                let both = fault.kind == FaultKind::ZoneCut;
                plan.extend([(at, H::Cut(zone, both, true)), (at + len, H::Cut(zone, both, false))]);
            }
            FaultKind::Burst => {
                // Up and down in steps of a tenth.
                let (rise, root) = (seconds(extra).min(len / 2), size.powf(0.1));
                for k in 0..10 {
                    plan.push((at + rise * k / 10, H::Traffic(None, root)));
                    plan.push((at + len - rise * k / 10, H::Traffic(None, 1.0 / root)));
                }
            }
            FaultKind::Shift => {
                plan.extend([
                    (at, H::Traffic(Some(zone), size)),
                    (at + len, H::Traffic(Some(zone), 1.0 / size)),
                ]);
            }
            FaultKind::Replace => {
                let n = servers.len();
                for (i, s) in servers.into_iter().enumerate() {
                    let new = self.servers.len();
                    self.servers.push(ServerSpec { later: true, ..self.servers[s].clone() });
                    let t = step(i, n);
                    plan.extend([
                        (t, H::Start(new)),
                        (t, H::Drain(s)),
                        (t + 2 * self.grace + longest, H::End(s)),
                    ]);
                }
            }
            FaultKind::Restart => {
                let n = servers.len();
                for (i, s) in servers.into_iter().enumerate() {
                    let (t, end) = (step(i, n), step(i, n) + 2 * self.grace + longest);
                    plan.extend([(t, H::Drain(s)), (end, H::End(s)), (end + SECOND, H::Start(s))]);
                }
            }
            FaultKind::RestartByHand => {
                let n = servers.len();
                for (i, s) in servers.into_iter().enumerate() {
                    let (t, end) = (step(i, n), step(i, n) + self.grace + longest);
                    let back = end + seconds(extra);
                    let listed = back + seconds(self.discovery.add.high()) + 2 * self.discovery.period;
                    plan.extend([(t, H::Cordon(s, true)), (end, H::End(s))]);
                    plan.extend([(back, H::Start(s)), (listed, H::Cordon(s, false))]);
                }
            }
            FaultKind::SidecarsKilled => {
                for s in sidecars {
                    let back = seconds(fault.for_s.draw(rng));
                    plan.extend([(at, H::KillSidecar(s)), (at + back, H::StartSidecar(s))]);
                }
            }
            FaultKind::SidecarsRestarted => {
                let (n, away) = (sidecars.len(), seconds(extra));
                plan.extend(
                    sidecars.into_iter().enumerate().map(|(i, s)| (step(i, n), H::StopSidecar(s, away))),
                );
            }
            FaultKind::SidecarsUpgraded => {
                let n = sidecars.len();
                plan.extend(
                    sidecars.into_iter().enumerate().map(|(i, s)| (step(i, n), H::UpgradeSidecar(s))),
                );
            }
            FaultKind::DiscoveryDown => {
                plan.extend([(at, H::Discovery(false)), (at + len, H::Discovery(true))])
            }
            FaultKind::RosterKilled | FaultKind::RosterHeld => {
                let silent = fault.kind == FaultKind::RosterHeld;
                let place = extra as usize;
                plan.extend([
                    (at, H::Roster(place, silent, true)),
                    (at + len, H::Roster(place, silent, false)),
                ])
            }
            FaultKind::Resets => plan.extend([(at, H::Resets(size)), (at + len, H::Resets(0.0))]),
            FaultKind::Spoilt => plan.extend([(at, H::Spoilt(size)), (at + len, H::Spoilt(0.0))]),
            FaultKind::LateConnects => plan
                .extend([(at, H::LateConnects(size, seconds(extra))), (at + len, H::LateConnects(0.0, 0))]),
            FaultKind::BadClients => {
                let every = (SECOND as f64 / size).max(1.0) as Micros;
                let each = |s| [(at, H::BadClients(s, every)), (at + len, H::BadClients(s, 0))];
                plan.extend(sidecars.into_iter().flat_map(each));
            }
            FaultKind::Eager => plan.extend([(at, H::Eager(size, extra)), (at + len, H::Eager(1.0, 0.0))]),
        }
        self.plan.extend(plan.into_iter().map(|(at, what)| Planned { at, what }));
    }

    /// The settings object of one sidecar, as the platform writes it.
    pub fn settings_for(&self, sidecar: usize) -> serde_json::Value {
        let mut settings = self.settings.clone();
        settings["Index"] = json!(sidecar);
        settings["Zone"] = json!(self.zones[self.sidecars[sidecar].zone]);
        settings
    }

    /// First tries a second, on the mean.
    pub fn rate(&self) -> f64 {
        self.sidecars.iter().map(|s| s.rate).sum()
    }
}

/// What is drawn once for a kind.
struct Drawn {
    speed: f64,
    slots: f64,
    queue: f64,
    pause_grow: f64,
    connections: f64,
    thrash_at: f64,
    cancels_running: bool,
}

impl Drawn {
    fn of(kind: &Kind, conn: &Conn, rng: &mut impl RngExt) -> Self {
        Self {
            speed: kind.speed.draw(rng),
            slots: kind.slots_per_core.draw(rng),
            queue: kind.queue_per_core.draw(rng),
            pause_grow: kind.pause_grow.draw(rng),
            connections: conn.cap_per_core.draw(rng),
            thrash_at: kind.thrash_at.draw(rng),
            cancels_running: !kind.cancel.is_empty()
                && kind.cancel[rng.random_range(0..kind.cancel.len())] == "all",
        }
    }
}

/// The settings object, as the simulator's wire and the sidecar's configuration have it.
fn settings_of(
    site: &Site,
    classes: &[ClassSpec],
    tenants: &[TenantSpec],
    scenario: &Scenario,
) -> serde_json::Value {
    let (tier, kinds) = (&site.tier[0], site.tier[0].kind.iter());
    let report = tier.report.as_ref();
    let fields = report.map_or(&[][..], |r| &r.fields).iter().map(|f| match f.as_str() {
        "inflight" => "active",
        "util" => "cpu",
        _ => "waiting",
    });
    let fields: Vec<_> =
        if report.is_some_and(|r| r.fields.is_empty()) { vec!["waiting"] } else { fields.collect() };
    let tenants: Vec<_> = tenants
        .iter()
        .map(|t| json!({"Name": t.name, "QuotaPerS": t.quota_per_s, "Share": t.share}))
        .collect();
    let cold_share = kinds.clone().map(|k| k.cold_from.low()).fold(1.0, f64::min);
    let warm_within = kinds.clone().map(|k| k.cold_s.high()).fold(0.0, f64::max);
    let lanes: Vec<_> = site
        .class
        .iter()
        .zip(classes)
        .map(|(c, drawn)| {
            let effect = match c.effect.as_str() {
                "safe" => "pure",
                "keyed" => "token",
                _ => "side_effect",
            };
            json!({"Name": c.name, "AimUs": drawn.aim, "DeadlineUs": drawn.deadline, "Effect": effect,
                "DedupScope": c.group.as_deref().unwrap_or("all"), "KeyTtlUs": millis(c.window_ms * scenario.pace),
                "LateShare": c.late_worth, "Worth": c.worth, "Streaming": drawn.stream > 0})
        })
        .collect();
    json!({
        "Balancers": scenario.sidecars,
        "Clients": {"MarksRetry": site.clients.marks_retry},
        "CountedBy": if site.load.worth_by == "work" { "work" } else { "request" },
        "Discovery": if site.discovery.mode == "push" { "pushed" } else { "on_request" },
        "Family": "mesh",
        "Goal": {"Whole": site.goal.whole, "WorstClass": site.goal.worst_class, "WorstTenant": site.goal.worst_tenant,
            "WorstWindow": site.goal.worst_window},
        "Kinds": kinds.map(|k| k.name.clone()).collect::<Vec<_>>(),
        "Lanes": lanes,
        "Limits": {"CpuUsPerS": millis(site.allow.cpu_ms_per_s), "DialTimeoutUs": millis(site.tier[0].conn.connect_timeout_ms),
            "IdleCloseUs": seconds(site.tier[0].conn.idle_s), "MaxAttempts": site.allow.max_attempts,
            "MaxRetryAfterUs": millis(site.clients.max_retry_after_ms), "MayCancel": site.allow.cancel,
            "MayDuplicate": site.allow.second_copies, "MostHeld": site.allow.most_held, "Peers": site.allow.peers, "Probes": site.allow.probes,
            "RetryAfter": site.allow.retry_after, "StreamsPerConn": tier.conn.streams},
        "OverShareWorth": site.load.over_share_worth,
        "Prices": {"Connection": site.prices.connection, "CrossZone": site.prices.cross_zone,
            "Discovery": site.prices.discovery, "Handshake": site.prices.handshake, "LateFail": site.prices.late_fail,
            "Probe": site.prices.probe, "Waste": site.prices.waste},
        "Report": {"Fields": fields, "Source": match report.map(|r| r.how.as_str()) {
            Some("answers") => "piggyback",
            Some("ask") => "pull",
            _ => "silent",
        }},
        "Rules": {"AnswerSlackUs": 20_000, "AskWithinUs": 10 * SECOND, "ColdShare": cold_share,
            "DrainGraceUs": millis(site.rules.drain_grace_ms), "OverloadFactor": site.rules.fall_multiple,
            "TipAfterUs": millis(site.rules.fall_ms), "WarmWithinUs": seconds(warm_within)},
        "Tenants": tenants,
        // What is handled at once needs hardly any allowance for rounds.
        "TickUs": if scenario.ticked { millis(site.day.tick_ms) } else { 1000 },
        "WeightSource": match tier.weights.as_str() { "none" => "silent", "live" => "live", _ => "rough" },
        "Zone": site.net.zones[0],
        "Zones": site.net.zones,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn world(text: &str, seed: u64) -> World {
        let (scenario, site) = Scenario::parse(std::path::Path::new("t"), text).expect("it is read");
        World::draw(&scenario, &site, seed)
    }

    const SMALL: &str = "name = \"t\"\nlength_s = 20\nsidecars = 9\nservers = 30\nload = 0.5\n";

    #[test]
    fn a_world_follows_its_seed_and_spreads_servers_over_zones() {
        let (a, b, c) = (world(SMALL, 1), world(SMALL, 1), world(SMALL, 2));
        assert_eq!(format!("{a:?}"), format!("{b:?}"));
        assert_ne!(format!("{:?}", a.servers), format!("{:?}", c.servers));
        for zone in 0..3 {
            assert_eq!(a.servers.iter().filter(|s| s.zone == zone).count(), 10);
        }
    }

    #[test]
    fn the_settings_are_read_by_the_decision_module() {
        let world = world(SMALL, 3);
        let decoded =
            lotusmoor_balancer::settings::decode(&world.settings_for(4).to_string()).expect("it is read");
        assert_eq!((decoded.settings.index, decoded.settings.instances), (4, 9));
        assert_eq!(decoded.settings.check(), Ok(()));
    }

    #[test]
    fn replaced_servers_have_successors_that_start_when_they_drain() {
        let text = format!("{SMALL}[[fault]]\nkind = \"replace\"\nat_s = 5\nfor_s = 4\npart = 0.2\n");
        let world = world(&text, 1);
        assert_eq!(world.servers.iter().filter(|s| s.later).count(), 6);
        let starts = world.plan.iter().filter(|p| matches!(p.what, Happening::Start(s) if s >= 30));
        assert!(starts.clone().all(|p| (5 * SECOND..9 * SECOND).contains(&p.at)));
        assert_eq!(starts.count(), 6);
    }
}
