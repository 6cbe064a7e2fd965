//! A server: request slots that share its cores (processor sharing), a queue, slow start after a restart, pauses, and
//! a connection table. It identifies attempts by number and knows nothing about sidecars.

use super::world::ServerSpec;
use crate::{Micros, SECOND};
use std::collections::VecDeque;

/// Whether the server can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// Not started yet, or stopped: connections are refused.
    Down,
    /// Running.
    Up,
    /// Unresponsive: nothing it is sent is answered.
    Unresponsive,
}

/// A queued or running request.
#[derive(Clone, Copy, Debug)]
struct Job {
    attempt: u32,
    /// Remaining work while it is queued; once it runs, the value of `Server::attained` at which it completes.
    work: f64,
    due: Micros,
}

/// The result of a request's arrival.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Arrival {
    /// Queued or started.
    Accepted,
    /// Rejected without being executed.
    Rejected,
    /// The request overloaded a server that is still warming up, and the server crashes. Holds the share of its
    /// recent work that came from sidecars that knew about its restart.
    Overloaded(f64),
}

/// A request that arrives at a server.
#[derive(Clone, Copy, Debug)]
pub struct Arriving {
    /// Its attempt.
    pub attempt: u32,
    /// Its work, in microseconds of the standard core.
    pub work: f64,
    /// When its sidecar's timeout expires.
    pub due: Micros,
    /// Whether its sidecar knew about this start of the server.
    pub informed: bool,
}

/// How much work a server that is warming up accepts before it crashes.
#[derive(Clone, Copy, Debug)]
pub struct OverloadLimit {
    /// Multiple of its current capacity.
    pub multiple: f64,
    /// Over any window of this length.
    pub window: Micros,
    /// Mean work of a request, in microseconds of the standard core.
    pub mean_work: f64,
}

impl OverloadLimit {
    /// The work beyond which a server crashes whose nominal limit is `allowed`. With N = `allowed` in requests of
    /// mean work, the tolerance for random bursts is 2 √N + 2 requests, or 3 √N + 3 if N is under 30, as the
    /// operators' simulator defines it.
    pub fn max_work(&self, allowed: f64) -> f64 {
        const SMALL_SAMPLE: f64 = 30.0;
        let n = allowed / self.mean_work;
        let tolerance = if n < SMALL_SAMPLE { 3.0 * n.sqrt() + 3.0 } else { 2.0 * n.sqrt() + 2.0 };
        (n + tolerance) * self.mean_work
    }
}

/// A server's state.
pub struct Server {
    /// Its fixed properties.
    pub spec: ServerSpec,
    /// Whether the server can be reached.
    pub machine: MachineState,
    /// Number of its starts. Requests and connections to an earlier incarnation are reset.
    pub incarnation: u32,
    /// When its process started; `None` for one that was running before the simulation.
    pub started: Option<Micros>,
    /// When it started draining.
    pub draining: Option<Micros>,
    /// It crashed from overload and stays down.
    pub crashed_by_overload: bool,
    /// Factor by which it is slower than normal.
    pub slowdown: f64,
    /// Share of requests that fail with an error.
    pub error_share: f64,
    /// The request class that it rejects.
    pub rejected_class: Option<u8>,
    /// Open connections, counted in the concurrent attempts that they can carry.
    pub connections: u32,
    /// Attempts whose responses it is streaming.
    pub streaming: Vec<u32>,
    /// Health checks in flight.
    pub probes: u32,
    /// Queued and running requests for each core at discovery's last round.
    pub published_load: f64,
    /// Work of requests in transit to it.
    pub in_transit: f64,
    /// Generation of the scheduled completion event; events with an older stamp are ignored.
    pub stamp: u32,
    /// Total work done.
    pub done: f64,
    /// Its last load report (queued, queued and running, core utilization), and when it was taken.
    pub report: ([f64; 3], Micros),
    /// Total work done at the time of its last start.
    done_before_start: f64,
    paused: u32,
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    /// Cumulative work that processor sharing has given each running request since the simulation started.
    attained: f64,
    updated: Micros,
    /// While warming up, the arrivals within the window: time, work, and whether the sidecar knew about the restart.
    recent_arrivals: VecDeque<(Micros, f64, bool)>,
    recent_work: f64,
    keys: VecDeque<(u64, Micros)>,
}

impl Server {
    /// A server that has long been running, or one that is yet to start.
    pub fn new(spec: ServerSpec) -> Self {
        let machine = if spec.starts_later { MachineState::Down } else { MachineState::Up };
        Self {
            machine,
            incarnation: 0,
            started: None,
            draining: None,
            crashed_by_overload: false,
            slowdown: 1.0,
            error_share: spec.error_rate,
            rejected_class: None,
            connections: 0,
            streaming: Vec::new(),
            probes: 0,
            published_load: 0.0,
            in_transit: 0.0,
            stamp: 0,
            done_before_start: 0.0,
            done: 0.0,
            report: ([0.0; 3], -SECOND),
            paused: 0,
            running: Vec::new(),
            waiting: VecDeque::new(),
            attained: 0.0,
            updated: 0,
            recent_arrivals: VecDeque::new(),
            recent_work: 0.0,
            keys: VecDeque::new(),
            spec,
        }
    }

    /// Queued and running requests.
    pub fn in_flight(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Queued requests.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// The share of its capacity that it has reached in its slow start.
    pub fn slow_start_factor(&self, now: Micros) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let warm_up_time = (self.spec.warm_up_time as f64).max(1.0);
        let mut age = (now - started) as f64 / warm_up_time;
        if self.spec.warms_up_by_work {
            age = age.max(
                2.0 * (self.done - self.done_before_start)
                    / (warm_up_time * self.spec.cores * self.spec.speed),
            );
        }
        (self.spec.initial_capacity + (1.0 - self.spec.initial_capacity) * age).min(1.0)
    }

    /// Work that each core does in a microsecond.
    fn core_speed(&self, now: Micros) -> f64 {
        let table_use =
            f64::from(self.connections) / f64::from(self.spec.connections.max(1) * self.spec.streams);
        let load_per_core = self.in_flight() as f64 / self.spec.cores;
        let thrash = if load_per_core > self.spec.thrash_at { self.spec.thrash } else { 0.0 };
        self.spec.speed * self.slow_start_factor(now) / self.slowdown
            * (1.0 - self.spec.connection_overhead * table_use.min(1.0))
            * (1.0 - thrash)
    }

    /// Work that it does in a microsecond with all cores in use, ignoring pauses.
    pub fn capacity(&self, now: Micros) -> f64 {
        self.core_speed(now) * self.spec.cores
    }

    /// The nominal limit on the work that a server may be sent in the window while it is warming up. As the rule
    /// defines it, the limit depends on the time since the start only: sidecars can't know whether the server is slow
    /// or paused as well.
    fn overload_budget(&self, now: Micros, overload_limit: OverloadLimit) -> f64 {
        overload_limit.multiple
            * self.spec.cores
            * self.spec.speed
            * self.slow_start_factor(now)
            * overload_limit.window as f64
    }

    /// The work that it may still be sent while it is warming up, up to half of the nominal limit.
    pub fn overload_headroom(&self, now: Micros, overload_limit: OverloadLimit) -> f64 {
        if self.slow_start_factor(now) >= 1.0 {
            return f64::INFINITY;
        }
        let recent = self
            .recent_arrivals
            .iter()
            .filter(|s| s.0 > now - overload_limit.window)
            .map(|s| s.1)
            .sum::<f64>();
        0.5 * self.overload_budget(now, overload_limit) - recent - self.in_transit
    }

    /// Remaining work of running, queued and in-transit requests.
    pub fn backlog(&self) -> f64 {
        let running: f64 = self.running.iter().map(|j| (j.work - self.attained).max(0.0)).sum();
        self.in_transit + running + self.waiting.iter().map(|j| j.work).sum::<f64>()
    }

    fn rate(&self, now: Micros) -> f64 {
        if self.paused > 0 || self.machine == MachineState::Down {
            return 0.0;
        }
        self.core_speed(now) * (self.spec.cores / self.running.len().max(1) as f64).min(1.0)
    }

    /// Adds the work done since the last call to `attained` and `done`. Must be called before any change that affects
    /// the rate.
    pub fn advance(&mut self, now: Micros) {
        let gained = self.rate(self.updated) * (now - self.updated) as f64;
        self.done += gained * self.running.len() as f64;
        self.attained += gained;
        self.updated = now;
    }

    /// When the next request completes at the current rate, or when to recompute that while the server is warming up.
    pub fn next_completion(&self, now: Micros) -> Option<Micros> {
        let least = self.running.iter().map(|j| j.work).min_by(f64::total_cmp)?;
        let rate = self.rate(now);
        if rate <= 0.0 {
            return None;
        }
        let after = (((least - self.attained) / rate).ceil() as Micros).max(1);
        Some(now + if self.slow_start_factor(now) < 1.0 { after.min(SECOND / 5) } else { after })
    }

    /// Handles a fully received request. A draining server rejects requests that arrive more than `grace` after the
    /// drain.
    pub fn arrive(
        &mut self,
        now: Micros,
        new: Arriving,
        overload_limit: OverloadLimit,
        grace: Micros,
    ) -> Arrival {
        let Arriving { attempt, work, due, informed } = new;
        if self.slow_start_factor(now) < 1.0 {
            self.recent_arrivals.push_back((now, work, informed));
            self.recent_work += work;
            while let Some((_, old, _)) =
                self.recent_arrivals.front().copied().filter(|s| s.0 <= now - overload_limit.window)
            {
                self.recent_work -= old;
                self.recent_arrivals.pop_front();
            }
            if self.recent_work > overload_limit.max_work(self.overload_budget(now, overload_limit)) {
                self.crashed_by_overload = true;
                let informed_work: f64 = self.recent_arrivals.iter().filter(|s| s.2).map(|s| s.1).sum();
                return Arrival::Overloaded(informed_work / self.recent_work);
            }
        }
        if self.draining.is_some_and(|since| now > since + grace) {
            return Arrival::Rejected;
        }
        self.advance(now);
        let job = Job { attempt, work, due };
        if self.running.len() < self.spec.slots {
            self.start_job(job);
        } else if self.waiting.len() < self.spec.queue {
            self.waiting.push_back(job);
        } else {
            return Arrival::Rejected;
        }
        Arrival::Accepted
    }

    fn start_job(&mut self, job: Job) {
        self.running.push(Job { work: self.attained + job.work, ..job });
    }

    /// Removes completed requests, appends their attempts to `done`, and starts queued requests in the free slots.
    pub fn finish(&mut self, now: Micros, done: &mut Vec<u32>) {
        self.advance(now);
        let (attained, first) = (self.attained + 1e-6, done.len());
        self.running.retain(|job| {
            let completed = job.work <= attained;
            if completed {
                done.push(job.attempt);
            }
            !completed
        });
        done[first..].sort_unstable();
        self.start_queued(now);
    }

    fn start_queued(&mut self, now: Micros) {
        while self.running.len() < self.spec.slots {
            let Some(job) = self.waiting.pop_front() else { return };
            if !(self.spec.drops_expired && job.due <= now) {
                self.start_job(job);
            }
        }
    }

    /// Handles a cancelled attempt. A queued one is removed; a running one only if the server
    /// is configured to cancel running requests (`cancels_running`).
    pub fn cancel(&mut self, now: Micros, attempt: u32) {
        self.advance(now);
        if let Some(at) = self.waiting.iter().position(|j| j.attempt == attempt) {
            self.waiting.remove(at);
        } else if self.spec.cancels_running
            && let Some(at) = self.running.iter().position(|j| j.attempt == attempt)
        {
            self.running.swap_remove(at);
            self.start_queued(now);
        }
    }

    /// Drops all requests, connections and remembered keys; returns the affected attempts.
    pub fn reset_all(&mut self, now: Micros) -> Vec<u32> {
        self.advance(now);
        let running = self.running.drain(..).map(|j| j.attempt);
        let in_flight = running.chain(self.waiting.drain(..).map(|j| j.attempt));
        let mut lost: Vec<u32> = in_flight.chain(self.streaming.drain(..)).collect();
        lost.sort_unstable();
        (self.connections, self.probes, self.stamp) = (0, 0, self.stamp + 1);
        self.keys.clear();
        lost
    }

    /// Starts its process, with a slow start.
    pub fn start(&mut self, now: Micros) {
        self.updated = now;
        (self.machine, self.started, self.draining, self.crashed_by_overload) =
            (MachineState::Up, Some(now), None, false);
        self.incarnation += 1;
        self.done_before_start = self.done;
        self.recent_arrivals.clear();
        (self.recent_work, self.paused) = (0.0, 0);
    }

    /// Begins or ends a pause; pauses may overlap.
    pub fn pause(&mut self, now: Micros, begin: bool) {
        self.advance(now);
        self.paused = if begin { self.paused + 1 } else { self.paused.saturating_sub(1) };
    }

    /// Takes work away from the running requests for something else, such as a health check. With idle cores this has
    /// no effect.
    pub fn consume_capacity(&mut self, now: Micros, work: f64) {
        self.advance(now);
        let n = self.running.len() as f64;
        if n >= self.spec.cores {
            self.attained -= work / n;
            self.done -= work;
        }
    }

    /// Share of the cores in use.
    pub fn utilization(&self) -> f64 {
        (self.running.len() as f64 / self.spec.cores).min(1.0)
    }

    /// Whether the key is remembered and not expired; remembers it from now on, evicting the oldest.
    pub fn touch_key(&mut self, now: Micros, key: u64) -> bool {
        let known = self.keys.iter().position(|(k, _)| *k == key);
        let fresh = known
            .and_then(|at| self.keys.remove(at))
            .is_some_and(|(_, at)| now - at < self.spec.key_retention);
        self.keys.push_back((key, now));
        while self.keys.len() > self.spec.keys {
            self.keys.pop_front();
        }
        fresh
    }
}

#[cfg(test)]
mod tests;
