//! A world: the input of one run, drawn from a site and a scenario. Everything in it is fixed before the first event,
//! and the same for all policies under one seed.

use super::link::Links;
use super::server::OverloadLimit;
use crate::chance::{self, stream};
use crate::scenario::{Fault, FaultKind, Scenario};
use crate::site::{Conn, Kind, Range, Site};
use crate::{Micros, SECOND, millis, seconds};
use rand::RngExt;
use rand::seq::SliceRandom;
use serde_json::json;

/// The fixed properties of a server; `server` simulates its behaviour.
#[derive(Clone, Debug)]
pub struct ServerSpec {
    /// Index of its zone.
    pub zone: usize,
    /// Index of its kind of machine.
    pub kind: usize,
    /// Its cell.
    pub cell: u64,
    /// Weight in the endpoint list.
    pub weight: f64,
    /// Cores.
    pub cores: f64,
    /// Work that a core does in a microsecond, in microseconds of the standard core.
    pub speed: f64,
    /// Requests that it executes at a time.
    pub slots: usize,
    /// Requests that it queues.
    pub queue: usize,
    /// Share of its capacity when its process has just started.
    pub initial_capacity: f64,
    /// Time from the start of its process until it has its full capacity.
    pub warm_up_time: Micros,
    /// The slow start also advances with the work done: under full load twice as fast as with time alone.
    pub warms_up_by_work: bool,
    /// Mean time between two pauses; 0 for none.
    pub pause_every: Micros,
    /// Length of a pause.
    pub pause: Micros,
    /// Relative growth of a pause at full utilization.
    pub pause_growth: f64,
    /// Share of requests answered with an error.
    pub error_rate: f64,
    /// Whether a cancellation ends a running request.
    pub cancels_running: bool,
    /// Whether queued requests whose sidecar has timed out are dropped.
    pub drops_expired: bool,
    /// Size of its connection table.
    pub connections: u32,
    /// Concurrent attempts on one connection.
    pub streams: u32,
    /// Share of its capacity that a full connection table takes.
    pub connection_overhead: f64,
    /// Share of its capacity lost while it is thrashing.
    pub thrash: f64,
    /// Queued and running requests for each core above which it is thrashing.
    pub thrash_at: f64,
    /// Factor on the delay of messages to and from it.
    pub latency_factor: f64,
    /// Number of keys that it remembers.
    pub keys: usize,
    /// How long it remembers a key.
    pub key_retention: Micros,
    /// It starts during the run, as the replacement of another server.
    pub starts_later: bool,
}

impl ServerSpec {
    /// One core of speed 1 without faults, for tests and small worlds.
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
            initial_capacity: 0.2,
            warm_up_time: 10 * SECOND,
            warms_up_by_work: false,
            pause_every: 0,
            pause: 0,
            pause_growth: 0.0,
            error_rate: 0.0,
            cancels_running: true,
            drops_expired: true,
            connections: 1000,
            streams: 1,
            connection_overhead: 0.0,
            thrash: 0.0,
            thrash_at: f64::INFINITY,
            latency_factor: 1.0,
            keys: 0,
            key_retention: 0,
            starts_later: false,
        }
    }
}

/// A sidecar with its clients.
#[derive(Clone, Debug)]
pub struct SidecarSpec {
    /// Index of its zone.
    pub zone: usize,
    /// Mean number of requests a second, retries not counted.
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
    /// Whether the work has a log-normal distribution instead of an exponential one.
    pub lognormal: bool,
    /// Coefficient of variation of the work, if it is log-normal.
    pub cv: f64,
    /// Coefficient of variation of the work between attempts at one request.
    pub noise: f64,
    /// Latency objective: responses within this time earn the full worth.
    pub latency_objective: Micros,
    /// Deadline of a request over all its tries.
    pub deadline: Micros,
    /// Worth of a request.
    pub worth: f64,
    /// Share of the worth that a late response earns.
    pub late_worth: f64,
    /// How long a response streams after its first byte; 0 for responses that are not streamed.
    pub stream: Micros,
    /// How long after the first attempt clients may retry a request that may have been executed; 0 for never.
    pub retry_window: Micros,
}

/// A tenant.
#[derive(Clone, Debug)]
pub struct TenantSpec {
    /// Its name.
    pub name: String,
    /// Its share of the servers' capacity.
    pub share: f64,
    /// Its share of the traffic.
    pub traffic: f64,
    /// Requests a second, over all sidecars, that are within its share of the capacity.
    pub quota_per_s: f64,
}

/// A sidecar's processor.
#[derive(Clone, Copy, Debug)]
pub struct ProcessorSpec {
    /// Time that it takes for each message, in or out, in microseconds.
    pub message: f64,
    /// Processor time in a second above which responses count as late, in microseconds; infinite for no limit.
    pub limit_us_per_s: f64,
}

/// Load reports.
#[derive(Clone, Debug)]
pub struct ReportSpec {
    /// Interval between load readings plus the delay until a reading is reported.
    pub period: Micros,
    /// Coefficient of variation of the reported values' error.
    pub noise: f64,
    /// Whether responses carry load reports, or health checks alone.
    pub on_answers: bool,
    /// Which values are reported: queued requests, queued and running requests, core utilization.
    pub fields: [bool; 3],
}

/// Prices, subtracted from the score.
#[derive(Clone, Copy, Debug)]
pub struct PriceSpec {
    /// For cross-zone attempts, wasted work, late failures, health checks, handshakes, connections, list entries.
    pub per_unit: [f64; 7],
}

/// Weights of the score's components.
#[derive(Clone, Copy, Debug)]
pub struct ScoreWeights {
    /// The whole run.
    pub whole_run: f64,
    /// The worst 10 s.
    pub worst_window: f64,
    /// The worst class.
    pub worst_class: f64,
    /// The worst tenant, for requests within its quota.
    pub worst_tenant: f64,
}

/// A fault or an operation that is planned for an instant.
#[derive(Clone, Debug, PartialEq)]
pub enum PlannedEvent {
    /// A server starts draining.
    Drain(usize),
    /// A server's process stops; its connections are reset.
    Stop(usize),
    /// A server's process starts, with a slow start.
    Start(usize),
    /// A server's machine stops responding.
    Unresponsive(usize),
    /// A server pauses (`true`) or resumes.
    Pause(usize, bool),
    /// A server's slowdown factor is multiplied by this.
    Slow(usize, f64),
    /// A server answers this share of requests with errors.
    Errors(usize, f64),
    /// A server rejects a class, or none.
    RejectClass(usize, Option<u8>),
    /// Operators cordon (`true`) or uncordon a server on every sidecar.
    Cordon(usize, bool),
    /// A zone is partitioned from the others: the zone, whether in both directions, and whether the partition begins
    /// or ends.
    Cut(usize, bool, bool),
    /// Traffic of the sidecars of a zone, or of all sidecars, is multiplied by this.
    Traffic(Option<usize>, f64),
    /// A sidecar's process is killed.
    KillSidecar(usize),
    /// A sidecar is stopped gracefully: it accepts no new requests, completes the open ones, exits, and starts again
    /// after this delay.
    StopSidecar(usize, Micros),
    /// A sidecar's process starts.
    StartSidecar(usize),
    /// A sidecar's new process takes over while the old one completes its open requests.
    UpgradeSidecar(usize),
    /// Discovery comes back (`true`) or goes down.
    Discovery(bool),
    /// A registry replica fails or comes back: its position after the leader, whether it is paused instead of killed,
    /// and whether the fault begins.
    RegistryReplica(usize, bool, bool),
    /// This share of responses is lost to connection resets.
    Resets(f64),
    /// This share of responses is corrupt.
    CorruptResponses(f64),
    /// This share of new connections takes this much longer to establish.
    LateConnects(f64, Micros),
    /// A sidecar receives a malformed message at this interval; 0 ends them.
    MalformedClients(usize, Micros),
    /// Clients' number of retries is multiplied by this, and this additional share of clients disconnects early.
    RetrySurge(f64, f64),
}

/// An entry of the plan.
#[derive(Clone, Debug)]
pub struct Planned {
    /// When it happens.
    pub at: Micros,
    /// What happens.
    pub what: PlannedEvent,
}

/// Behaviour of the clients.
#[derive(Clone, Debug)]
pub struct ClientSpec {
    /// Mean number of retries; a fraction is the probability of one more.
    pub retries: f64,
    /// Timeout of a try, as a share of the deadline.
    pub try_timeout_share: f64,
    /// Whether the backoff doubles with each retry.
    pub doubling: bool,
    /// Share of clients that honour `Retry-After`.
    pub honours_retry_after: f64,
    /// Initial backoff.
    pub backoff: f64,
    /// Longest `Retry-After` that is honoured.
    pub max_retry_after: Micros,
    /// Share of clients that disconnect early.
    pub leaves_early: f64,
}

/// Behaviour of discovery.
#[derive(Clone, Debug)]
pub struct DiscoverySpec {
    /// Sidecars must fetch the list; changes are not pushed.
    pub on_request: bool,
    /// Delay from a process's end, or the start of its drain, until the list shows it.
    pub end_detection_delay: Range,
    /// Delay from a machine's failure until the list shows it.
    pub failure_detection_delay: Range,
    /// Delay from a process's start until the list shows it.
    pub start_detection_delay: Range,
    /// Interval between two published versions.
    pub period: Micros,
    /// Maximum delay from a published version to a sidecar.
    pub spread: Micros,
    /// Time that discovery takes for a fetch.
    pub fetch_time: Micros,
    /// A fetch that waits longer fails.
    pub fetch_timeout: Micros,
    /// Delay before a failed fetch is retried.
    pub retry: Micros,
}

/// The project's own registry, with the cost of its commits and responses.
#[derive(Clone, Debug)]
pub struct RegistrySpec {
    /// Replicas.
    pub replicas: usize,
    /// Commit latency of a write.
    pub commit_ms: Range,
    /// Failover time, from the loss of a leader to the next one's first write.
    pub failover_s: Range,
    /// Lease duration of servers.
    pub lease_ms: u64,
    /// Full lists that a replica sends in a second.
    pub full_lists_per_s: f64,
    /// Time that a replica takes for a response.
    pub response_time: Micros,
    /// Additional time for each entry of a response, in microseconds.
    pub time_per_entry: f64,
    /// Sidecars save their last list over a restart.
    pub saves_list: bool,
}

/// The input of one run.
#[derive(Clone, Debug)]
pub struct World {
    /// The seed that it is drawn from.
    pub seed: u64,
    /// How long clients send requests.
    pub length: Micros,
    /// Sidecars handle events at multiples of this; 0 for immediately.
    pub tick: Micros,
    /// Latency that a sidecar adds to a request in each direction.
    pub sidecar_time: Micros,
    /// The settings object of the sidecars, without the fields that depend on the sidecar: index and zone.
    pub settings: serde_json::Value,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the kinds of machine.
    pub kinds: Vec<String>,
    /// Servers; those that start during the run are at the end.
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
    /// The project's own registry in place of discovery.
    pub registry: Option<RegistrySpec>,
    /// Cumulative popularity weights of the partition keys.
    pub key_popularity: Vec<f64>,
    /// Amplitude and period of a sine wave in the traffic.
    pub wave: (f64, Micros),
    /// Share of the work saved at a server that remembers the key.
    pub key_gain: f64,
    /// Round trips before the first request on a new connection, and the work that the handshake costs the server.
    pub handshake: (f64, f64),
    /// Idle timeout of connections.
    pub idle_timeout: Micros,
    /// Connect timeout.
    pub dial_timeout: Micros,
    /// Load reports.
    pub report: Option<ReportSpec>,
    /// Requests carry an estimate of their work.
    pub work_estimates: bool,
    /// Health checks: the work of one, whether it queues like a request, and its timeout.
    pub probe: (f64, bool, Micros),
    /// How long sends to a draining server are allowed.
    pub drain_grace: Micros,
    /// How much work a server that is warming up accepts before it crashes.
    pub overload_limit: OverloadLimit,
    /// Weights of the score's components.
    pub score_weights: ScoreWeights,
    /// Prices.
    pub prices: PriceSpec,
    /// Tenants; most sites have none.
    pub tenants: Vec<TenantSpec>,
    /// Worth of a request beyond its tenant's quota, as a share of its class's worth.
    pub over_quota_worth: f64,
    /// A request's worth is proportional to its work.
    pub worth_by_work: bool,
    /// Listed weights are sizes divided by the load at the last discovery round.
    pub live_weights: bool,
    /// The sidecars' processors; `None` for unlimited capacity.
    pub processor: Option<ProcessorSpec>,
    /// Maximum number of open requests of a sidecar.
    pub max_open_requests: usize,
    /// Concurrent attempts on one connection.
    pub streams: u32,
    /// Health checks that a server handles at a time, for each core.
    pub probe_cap: f64,
    /// Planned faults and operations, in order of time.
    pub plan: Vec<Planned>,
}

impl World {
    /// Draws a world.
    pub fn draw(scenario: &Scenario, site: &Site, seed: u64) -> Self {
        let mut rng = stream(seed, "world", 0);
        let rng = &mut rng;
        let tier = &site.tier[0];
        let zones = site.net.zones.len();
        let conn = &tier.conn;
        let (handshake, connection_overhead) = (
            (conn.handshake_rtts.draw(rng).round(), conn.handshake_us.draw(rng)),
            conn.connection_overhead.draw(rng),
        );
        let report = tier.report.as_ref().filter(|r| r.how != "none").map(|r| {
            let period = millis(r.period_ms.draw(rng) + r.delay_ms.draw(rng));
            let reported = |field: &str| r.fields.iter().any(|f| f == field);
            let fields = [reported("queue") || r.fields.is_empty(), reported("inflight"), reported("util")];
            ReportSpec { period, noise: r.noise.draw(rng), on_answers: r.how == "answers", fields }
        });
        let cell_size = tier.cell_size.draw(rng).max(1.0);
        let (key_gain, key_retention) =
            (site.key_affinity.affinity_gain.draw(rng), seconds(site.key_affinity.affinity_s.draw(rng)));
        let keys_per_core = site.key_affinity.affinity_keys_per_core.draw(rng);

        let classes = Self::classes(scenario, site, rng);
        let longest_deadline = classes.iter().map(|c| c.deadline).max().unwrap_or(SECOND);
        let servers = {
            let kinds: Vec<_> = tier
                .kind
                .iter()
                .map(|k| (k, k.share.draw(rng), KindParameters::draw(k, conn, rng)))
                .collect();
            let shares: f64 = kinds.iter().map(|k| k.1).sum();
            let skew = site.net.server_skew.draw(rng);
            let mut servers = Vec::with_capacity(scenario.servers);
            let mut server_rng = stream(seed, "servers", 0);
            for i in 0..scenario.servers {
                let mut remaining = (i as f64 + 0.5) / scenario.servers as f64 * shares;
                let at = kinds.iter().position(|k| {
                    remaining -= k.1;
                    remaining <= 0.0
                });
                let (kind, _, parameters) = &kinds[at.unwrap_or(kinds.len() - 1)];
                let speed =
                    parameters.speed * chance::log_normal_factor(server_rng.random(), kind.speed_cv.mid());
                let error = if matches!(tier.weights.as_str(), "rough" | "live") {
                    chance::log_normal_factor(server_rng.random(), 0.1)
                } else {
                    1.0
                };
                servers.push(ServerSpec {
                    zone: 0,
                    kind: at.unwrap_or(kinds.len() - 1),
                    cell: 0,
                    weight: if tier.weights == "none" { 1.0 } else { kind.cores * speed * error },
                    cores: kind.cores,
                    speed,
                    slots: (parameters.slots * kind.cores).ceil() as usize,
                    queue: (parameters.queue * kind.cores) as usize,
                    initial_capacity: kind.cold_from.draw(&mut server_rng),
                    warm_up_time: seconds(kind.cold_s.draw(&mut server_rng)),
                    warms_up_by_work: kind.warm_by == "work",
                    pause_every: seconds(kind.pause_every_s.draw(&mut server_rng)),
                    pause: millis(kind.pause_ms.draw(&mut server_rng)),
                    pause_growth: parameters.pause_growth,
                    error_rate: kind.error_rate.draw(&mut server_rng),
                    cancels_running: parameters.cancels_running,
                    drops_expired: kind.drops_expired,
                    connections: (parameters.connections * kind.cores) as u32,
                    streams: conn.streams,
                    connection_overhead,
                    thrash: kind.thrash,
                    thrash_at: if kind.thrash > 0.0 { parameters.thrash_at } else { f64::INFINITY },
                    latency_factor: 1.0 + skew * server_rng.random::<f64>(),
                    keys: (keys_per_core * kind.cores) as usize,
                    key_retention,
                    starts_later: false,
                });
            }
            // Shuffled so that a server's zone does not depend on its kind.
            servers.shuffle(&mut server_rng);
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
        let has_wave = site.load.shape.iter().any(|s| s == "wave") && rng.random_bool(0.5);
        let wave = (
            if has_wave { site.load.swing.draw(rng) } else { 0.0 },
            seconds(20.0 + 20.0 * rng.random::<f64>()),
        );
        let zipf = site.load.key_zipf.draw(rng);
        let key_popularity = (1..=site.load.keys.draw(rng).max(1.0) as u64)
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
            tick: if scenario.ticked { millis(site.run.tick_ms) } else { 0 },
            sidecar_time: scenario.sidecar_us,
            settings: sidecar_settings(site, &classes, &tenants, scenario),
            zones: net.zones.clone(),
            kinds: tier.kind.iter().map(|k| k.name.clone()).collect(),
            servers,
            sidecars,
            classes,
            links,
            clients: ClientSpec {
                retries: clients.retries.draw(rng),
                try_timeout_share: clients.try_share.draw(rng),
                doubling: clients.backoff == "exp",
                honours_retry_after: clients.honour.draw(rng),
                backoff: clients.backoff_ms.draw(rng) * 1000.0 * scenario.pace,
                max_retry_after: millis(clients.max_retry_after_ms),
                leaves_early: clients.impatient.draw(rng),
            },
            discovery: DiscoverySpec {
                on_request: d.mode != "push",
                end_detection_delay: d.notice_s,
                failure_detection_delay: d.silent_notice_s,
                start_detection_delay: d.add_s,
                period: millis(d.period_ms.draw(rng)).max(1),
                spread: millis(d.spread_ms.draw(rng)).max(1),
                fetch_time: (SECOND as f64 / scenario.discovery.calls_per_s) as Micros,
                fetch_timeout: seconds(scenario.discovery.call_timeout_s),
                retry: millis(scenario.discovery.retry_ms).max(1000),
            },
            registry: scenario.registry.as_ref().map(|r| RegistrySpec {
                replicas: r.replicas,
                commit_ms: r.commit_ms,
                failover_s: r.failover_s,
                lease_ms: (r.lease_s * 1000.0) as u64,
                full_lists_per_s: r.whole_lists_per_s,
                response_time: r.answer_us as Micros,
                time_per_entry: r.line_us,
                saves_list: r.file,
            }),
            key_popularity,
            wave,
            key_gain,
            handshake,
            idle_timeout: seconds(conn.idle_s),
            dial_timeout: millis(conn.connect_timeout_ms),
            report,
            work_estimates: !matches!(site.load.hints.as_str(), "" | "none"),
            probe: (tier.probe.work_us.draw(rng), tier.probe.deep, millis(tier.probe.timeout_ms)),
            drain_grace: millis(site.rules.drain_grace_ms),
            overload_limit: OverloadLimit {
                multiple: site.rules.overload_multiple,
                window: millis(site.rules.overload_window_ms),
                mean_work,
            },
            score_weights: ScoreWeights {
                whole_run: site.goal.whole,
                worst_window: site.goal.worst_window,
                worst_class: site.goal.worst_class,
                worst_tenant: site.goal.worst_tenant,
            },
            prices: {
                let p = &site.prices;
                let per_unit =
                    [p.cross_zone, p.waste, p.late_fail, p.probe, p.handshake, p.connection, p.discovery];
                PriceSpec { per_unit }
            },
            tenants,
            over_quota_worth: site.load.over_share_worth,
            worth_by_work: site.load.worth_by == "work",
            live_weights: tier.weights == "live",
            processor: (scenario.message_us > 0.0).then(|| ProcessorSpec {
                message: scenario.message_us / scenario.sidecar_cores,
                // The limit applies only with ticks, as in the operators' simulator; real sidecars are limited by
                // their share of a core.
                limit_us_per_s: match site.allow.cpu_ms_per_s {
                    limit if scenario.ticked && limit > 0.0 => limit * 1000.0,
                    _ => f64::INFINITY,
                },
            }),
            max_open_requests: match site.allow.max_open_requests {
                0 => usize::MAX,
                limit => limit as usize,
            },
            streams: conn.streams,
            probe_cap: tier.probe.cap_per_core.mid(),
            plan: Vec::new(),
        };
        world.plan_faults(scenario, site, longest_deadline);
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
                latency_objective: millis(c.aim_ms * scenario.pace),
                deadline: millis(c.deadline_ms * scenario.pace),
                worth: c.worth,
                late_worth: c.late_worth,
                // The middle of the range instead of a draw, so that classes without streaming keep their random
                // sequences.
                stream: millis(c.stream_ms.mid() * scenario.pace),
                retry_window: match (c.effect.as_str(), c.group.as_deref()) {
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

    /// The site's tenants. `served` is the servers' capacity in requests a second, from which their quotas follow.
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
        let by_zone: Vec<f64> = (0..zones).map(|_| chance::log_normal_factor(rng.random(), skew)).collect();
        let shares: Vec<f64> = (0..scenario.sidecars)
            .map(|i| by_zone[i % zones] * chance::log_normal_factor(rng.random(), cv))
            .collect();
        let sum: f64 = shares.iter().sum();
        let spec = |(i, share): (usize, &f64)| SidecarSpec { zone: i % zones, rate: rate * share / sum };
        shares.iter().enumerate().map(spec).collect()
    }

    fn plan_faults(&mut self, scenario: &Scenario, site: &Site, longest_deadline: Micros) {
        let mut faults = scenario.fault.clone();
        let mut rng = stream(self.seed, "troubles", 0);
        let known: Vec<_> =
            site.faults.iter().filter_map(|t| Some((t, FaultKind::from_site_fault(&t.name)?))).collect();
        for _ in 0..if known.is_empty() { 0 } else { scenario.site_troubles } {
            let (site_fault, kind) = known[rng.random_range(0..known.len())];
            let at_s = scenario.length_s * (0.1 + 0.5 * rng.random::<f64>());
            let size =
                if site_fault.size == Range::default() { Range::new(1.0, 1.0) } else { site_fault.size };
            let (for_s, part, extra) = (site_fault.len_s, site_fault.part, site_fault.extra);
            faults.push(Fault { kind, at_s, for_s, part, size, extra, zone: None });
        }
        for (i, fault) in faults.iter().enumerate() {
            self.plan_fault(fault, i as u64, longest_deadline);
        }
        self.plan.sort_by_key(|p| p.at);
    }

    fn plan_fault(&mut self, fault: &Fault, number: u64, longest_deadline: Micros) {
        let mut rng = stream(self.seed, "faults", number);
        let rng = &mut rng;
        let (at, len) = (seconds(fault.at_s), seconds(fault.for_s.draw(rng)));
        let (part, size, extra) = (fault.part.draw(rng), fault.size.draw(rng), fault.extra.draw(rng));
        let zone = rng.random_range(0..self.zones.len());
        let zone = fault.zone.map_or(zone, |z| z % self.zones.len());
        let mut pick_targets = |n: usize| {
            let mut all: Vec<usize> = (0..n).collect();
            all.shuffle(rng);
            all.truncate((part * n as f64).round() as usize);
            all
        };
        let initial: Vec<usize> =
            (0..self.servers.len()).filter(|s| !self.servers[*s].starts_later).collect();
        let servers: Vec<usize> = pick_targets(initial.len()).into_iter().map(|i| initial[i]).collect();
        let sidecars = pick_targets(self.sidecars.len());
        let step = |i: usize, n: usize| at + len * i as Micros / n.max(1) as Micros;
        use PlannedEvent as Event;
        let mut plan = Vec::new();
        match fault.kind {
            FaultKind::Pauses => {
                let every = seconds(extra).max(1000);
                for s in servers {
                    let mut t = at + rng.random_range(0..every);
                    while t < at + len {
                        plan.extend([(t, Event::Pause(s, true)), (t + millis(size), Event::Pause(s, false))]);
                        t += every;
                    }
                }
            }
            FaultKind::MachinesUnresponsive => plan.extend(
                servers.iter().flat_map(|s| [(at, Event::Unresponsive(*s)), (at + len, Event::Start(*s))]),
            ),
            FaultKind::Crash => plan
                .extend(servers.iter().flat_map(|s| [(at, Event::Stop(*s)), (at + len, Event::Start(*s))])),
            FaultKind::Slow => plan.extend(
                servers
                    .iter()
                    .flat_map(|s| [(at, Event::Slow(*s, size)), (at + len, Event::Slow(*s, 1.0 / size))]),
            ),
            FaultKind::Errors => plan.extend(servers.iter().flat_map(|s| {
                let normal = self.servers[*s].error_rate;
                [(at, Event::Errors(*s, size)), (at + len, Event::Errors(*s, normal))]
            })),
            FaultKind::RejectClass => plan.extend(servers.iter().flat_map(|s| {
                let class = (extra as usize).min(self.classes.len() - 1) as u8;
                [(at, Event::RejectClass(*s, Some(class))), (at + len, Event::RejectClass(*s, None))]
            })),
            FaultKind::ZoneLost => {
                let lost = initial.iter().filter(|s| self.servers[**s].zone == zone);
                plan.extend(lost.flat_map(|s| [(at, Event::Unresponsive(*s)), (at + len, Event::Start(*s))]));
            }
            FaultKind::ZoneCut | FaultKind::ZoneCutOut => {
                let both = fault.kind == FaultKind::ZoneCut;
                plan.extend([(at, Event::Cut(zone, both, true)), (at + len, Event::Cut(zone, both, false))]);
            }
            FaultKind::Burst => {
                // Ramps up and down in ten geometric steps.
                let (rise, root) = (seconds(extra).min(len / 2), size.powf(0.1));
                for k in 0..10 {
                    plan.push((at + rise * k / 10, Event::Traffic(None, root)));
                    plan.push((at + len - rise * k / 10, Event::Traffic(None, 1.0 / root)));
                }
            }
            FaultKind::ZoneTraffic => {
                plan.extend([
                    (at, Event::Traffic(Some(zone), size)),
                    (at + len, Event::Traffic(Some(zone), 1.0 / size)),
                ]);
            }
            FaultKind::Replace => {
                let n = servers.len();
                for (i, s) in servers.into_iter().enumerate() {
                    let new = self.servers.len();
                    self.servers.push(ServerSpec { starts_later: true, ..self.servers[s].clone() });
                    let t = step(i, n);
                    plan.extend([
                        (t, Event::Start(new)),
                        (t, Event::Drain(s)),
                        (t + 2 * self.drain_grace + longest_deadline, Event::Stop(s)),
                    ]);
                }
            }
            FaultKind::Restart => {
                let n = servers.len();
                for (i, s) in servers.into_iter().enumerate() {
                    let (t, end) = (step(i, n), step(i, n) + 2 * self.drain_grace + longest_deadline);
                    plan.extend([
                        (t, Event::Drain(s)),
                        (end, Event::Stop(s)),
                        (end + SECOND, Event::Start(s)),
                    ]);
                }
            }
            FaultKind::RestartByHand => {
                let n = servers.len();
                for (i, s) in servers.into_iter().enumerate() {
                    let (t, end) = (step(i, n), step(i, n) + self.drain_grace + longest_deadline);
                    let back = end + seconds(extra);
                    let listed = back
                        + seconds(self.discovery.start_detection_delay.high())
                        + 2 * self.discovery.period;
                    plan.extend([(t, Event::Cordon(s, true)), (end, Event::Stop(s))]);
                    plan.extend([(back, Event::Start(s)), (listed, Event::Cordon(s, false))]);
                }
            }
            FaultKind::SidecarsKilled => {
                for s in sidecars {
                    let back = seconds(fault.for_s.draw(rng));
                    plan.extend([(at, Event::KillSidecar(s)), (at + back, Event::StartSidecar(s))]);
                }
            }
            FaultKind::SidecarsRestarted => {
                let (n, away) = (sidecars.len(), seconds(extra));
                plan.extend(
                    sidecars.into_iter().enumerate().map(|(i, s)| (step(i, n), Event::StopSidecar(s, away))),
                );
            }
            FaultKind::SidecarsUpgraded => {
                let n = sidecars.len();
                plan.extend(
                    sidecars.into_iter().enumerate().map(|(i, s)| (step(i, n), Event::UpgradeSidecar(s))),
                );
            }
            FaultKind::DiscoveryDown => {
                plan.extend([(at, Event::Discovery(false)), (at + len, Event::Discovery(true))])
            }
            FaultKind::RegistryKilled | FaultKind::RegistryPaused => {
                let paused = fault.kind == FaultKind::RegistryPaused;
                let position = extra as usize;
                plan.extend([
                    (at, Event::RegistryReplica(position, paused, true)),
                    (at + len, Event::RegistryReplica(position, paused, false)),
                ])
            }
            FaultKind::Resets => plan.extend([(at, Event::Resets(size)), (at + len, Event::Resets(0.0))]),
            FaultKind::CorruptResponses => {
                plan.extend([(at, Event::CorruptResponses(size)), (at + len, Event::CorruptResponses(0.0))])
            }
            FaultKind::LateConnects => plan.extend([
                (at, Event::LateConnects(size, seconds(extra))),
                (at + len, Event::LateConnects(0.0, 0)),
            ]),
            FaultKind::MalformedClients => {
                let every = (SECOND as f64 / size).max(1.0) as Micros;
                let each =
                    |s| [(at, Event::MalformedClients(s, every)), (at + len, Event::MalformedClients(s, 0))];
                plan.extend(sidecars.into_iter().flat_map(each));
            }
            FaultKind::RetrySurge => {
                plan.extend([(at, Event::RetrySurge(size, extra)), (at + len, Event::RetrySurge(1.0, 0.0))])
            }
        }
        self.plan.extend(plan.into_iter().map(|(at, what)| Planned { at, what }));
    }

    /// The settings object of one sidecar, in the platform's format.
    pub fn settings_for(&self, sidecar: usize) -> serde_json::Value {
        let mut settings = self.settings.clone();
        settings["Index"] = json!(sidecar);
        settings["Zone"] = json!(self.zones[self.sidecars[sidecar].zone]);
        settings
    }

    /// Mean number of requests a second, retries not counted.
    pub fn rate(&self) -> f64 {
        self.sidecars.iter().map(|s| s.rate).sum()
    }
}

/// Parameters that are drawn once for a kind of machine.
struct KindParameters {
    speed: f64,
    slots: f64,
    queue: f64,
    pause_growth: f64,
    connections: f64,
    thrash_at: f64,
    cancels_running: bool,
}

impl KindParameters {
    fn draw(kind: &Kind, conn: &Conn, rng: &mut impl RngExt) -> Self {
        Self {
            speed: kind.speed.draw(rng),
            slots: kind.slots_per_core.draw(rng),
            queue: kind.queue_per_core.draw(rng),
            pause_growth: kind.pause_grow.draw(rng),
            connections: conn.cap_per_core.draw(rng),
            thrash_at: kind.thrash_at.draw(rng),
            cancels_running: !kind.cancel.is_empty()
                && kind.cancel[rng.random_range(0..kind.cancel.len())] == "all",
        }
    }
}

/// The settings object, in the format of the simulator protocol and the sidecar's configuration.
fn sidecar_settings(
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
            let idempotency = match c.effect.as_str() {
                "safe" => "pure",
                "keyed" => "token",
                _ => "side_effect",
            };
            json!({"Name": c.name, "AimUs": drawn.latency_objective, "DeadlineUs": drawn.deadline, "Effect": idempotency,
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
            "MayDuplicate": site.allow.second_copies, "MostHeld": site.allow.max_open_requests, "Peers": site.allow.peers, "Probes": site.allow.probes,
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
            "DrainGraceUs": millis(site.rules.drain_grace_ms), "OverloadFactor": site.rules.overload_multiple,
            "TipAfterUs": millis(site.rules.overload_window_ms), "WarmWithinUs": seconds(warm_within)},
        "Tenants": tenants,
        // Without ticks, events are handled immediately and deadlines need almost no margin for them.
        "TickUs": if scenario.ticked { millis(site.run.tick_ms) } else { 1000 },
        "WeightSource": match tier.weights.as_str() { "none" => "silent", "live" => "live", _ => "rough" },
        "Zone": site.net.zones[0],
        "Zones": site.net.zones,
    })
}

#[cfg(test)]
mod tests;
