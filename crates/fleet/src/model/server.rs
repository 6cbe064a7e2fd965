//! A server: slots that share its cores, a waiting room, cold starts, pauses, and a table of connections. It knows
//! attempts by number and nothing of sidecars.

use super::world::ServerSpec;
use crate::{Micros, SECOND};
use std::collections::VecDeque;

/// Whether it can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Machine {
    /// Not yet, or no longer: connections are refused.
    Down,
    /// It runs.
    Up,
    /// It says nothing at all.
    Silent,
}

/// A request in hand.
#[derive(Clone, Copy, Debug)]
struct Job {
    attempt: u32,
    /// Work left when it waits; once begun, the running figure at which it is done.
    work: f64,
    due: Micros,
}

/// What becomes of a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Arrival {
    /// Taken.
    Accepted,
    /// Turned away unseen.
    Rejected,
    /// It was one too many for a cold server, which falls over; with the share of what it was sent that came from
    /// sidecars that knew of its start.
    Overloaded(f64),
}

/// A request that comes to a server.
#[derive(Clone, Copy, Debug)]
pub struct Arriving {
    /// Its attempt.
    pub attempt: u32,
    /// Its work, in microseconds of the standard core.
    pub work: f64,
    /// When its sidecar stops waiting.
    pub due: Micros,
    /// Whether its sidecar was told of this start of the server.
    pub informed: bool,
}

/// What a server that starts is allowed before it falls over.
#[derive(Clone, Copy, Debug)]
pub struct OverloadLimit {
    /// Multiple of what it can do.
    pub multiple: f64,
    /// Over any window of this length.
    pub window: Micros,
    /// Mean work of a request, in microseconds of the standard core.
    pub mean_work: f64,
}

impl OverloadLimit {
    /// Work beyond which a server that is allowed `allowed` falls: of N requests of mean work, two times the root of N
    /// and two more are its slack for chance, three times and three under 30, as the operators' page has it.
    pub fn max_work(&self, allowed: f64) -> f64 {
        const SMALL_SAMPLE: f64 = 30.0;
        let n = allowed / self.mean_work;
        let tolerance = if n < SMALL_SAMPLE { 3.0 * n.sqrt() + 3.0 } else { 2.0 * n.sqrt() + 2.0 };
        (n + tolerance) * self.mean_work
    }
}

/// A server's state.
pub struct Server {
    /// What it is.
    pub spec: ServerSpec,
    /// Whether it can be reached.
    pub machine: Machine,
    /// Counts its starts; what went to an earlier one is void.
    pub incarnation: u32,
    /// When its process started; `None` is long ago.
    pub started: Option<Micros>,
    /// When it began to drain.
    pub draining: Option<Micros>,
    /// It fell over and stays down.
    pub crashed_by_overload: bool,
    /// How many times slower it is than it should be.
    pub slow: f64,
    /// Share of requests that it answers with an error.
    pub errors: f64,
    /// The class that it turns away.
    pub rejected_class: Option<u8>,
    /// Connections that it holds, as the attempts that they can carry.
    pub connections: u32,
    /// Attempts whose answers it streams.
    pub streaming: Vec<u32>,
    /// Probes that it has in hand.
    pub probes: u32,
    /// Requests in hand when the list last looked.
    pub published_load: f64,
    /// Work that is on its way to it.
    pub in_transit: f64,
    /// Marks the completion that is still meant.
    pub stamp: u32,
    /// Work done in all.
    pub done: f64,
    /// Its last load report (waiting, in hand, use of the cores), and when it was read.
    pub report: ([f64; 3], Micros),
    /// Work done before its last start.
    done_before_start: f64,
    paused: u32,
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    /// Work done for each running request since the start of time.
    attained: f64,
    updated: Micros,
    /// What a cold one was sent of late.
    recent_arrivals: VecDeque<(Micros, f64, bool)>,
    recent_work: f64,
    keys: VecDeque<(u64, Micros)>,
}

impl Server {
    /// One that has run for long, or one that is still to start.
    pub fn new(spec: ServerSpec) -> Self {
        let machine = if spec.starts_later { Machine::Down } else { Machine::Up };
        Self {
            machine,
            incarnation: 0,
            started: None,
            draining: None,
            crashed_by_overload: false,
            slow: 1.0,
            errors: spec.error_rate,
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

    /// Requests in hand.
    pub fn in_flight(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Requests that wait.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Share of its capacity that it has by its age.
    pub fn warmth(&self, now: Micros) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let whole = (self.spec.warm_up_time as f64).max(1.0);
        let mut age = (now - started) as f64 / whole;
        if self.spec.warms_by_work {
            age = age.max(
                2.0 * (self.done - self.done_before_start) / (whole * self.spec.cores * self.spec.speed),
            );
        }
        (self.spec.cold_from + (1.0 - self.spec.cold_from) * age).min(1.0)
    }

    /// Work that each core does in a microsecond.
    fn core(&self, now: Micros) -> f64 {
        let table = f64::from(self.connections) / f64::from(self.spec.connections.max(1) * self.spec.streams);
        let load_per_core = self.in_flight() as f64 / self.spec.cores;
        let thrash = if load_per_core > self.spec.thrash_at { self.spec.thrash } else { 0.0 };
        self.spec.speed * self.warmth(now) / self.slow
            * (1.0 - self.spec.connection_overhead * table.min(1.0))
            * (1.0 - thrash)
    }

    /// Work that it does in a microsecond with all cores in use, pauses left out.
    pub fn capacity(&self, now: Micros) -> f64 {
        self.core(now) * self.spec.cores
    }

    /// Work that a cold one bears in the window: by its age alone, as the rule has it; that it is slow or in a pause
    /// besides is told to nobody.
    fn overload_budget(&self, now: Micros, overload_limit: OverloadLimit) -> f64 {
        overload_limit.multiple
            * self.spec.cores
            * self.spec.speed
            * self.warmth(now)
            * overload_limit.window as f64
    }

    /// Work that it may still be sent, while it is cold, at half of what it bears.
    pub fn overload_headroom(&self, now: Micros, overload_limit: OverloadLimit) -> f64 {
        if self.warmth(now) >= 1.0 {
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

    /// Work that is left in hand, or on its way.
    pub fn backlog(&self) -> f64 {
        let running: f64 = self.running.iter().map(|j| (j.work - self.attained).max(0.0)).sum();
        self.in_transit + running + self.waiting.iter().map(|j| j.work).sum::<f64>()
    }

    fn rate(&self, now: Micros) -> f64 {
        if self.paused > 0 || self.machine == Machine::Down {
            return 0.0;
        }
        self.core(now) * (self.spec.cores / self.running.len().max(1) as f64).min(1.0)
    }

    /// Brings the running figure up to now. Call it before anything that changes the rate.
    pub fn advance(&mut self, now: Micros) {
        let gained = self.rate(self.updated) * (now - self.updated) as f64;
        self.done += gained * self.running.len() as f64;
        self.attained += gained;
        self.updated = now;
    }

    /// When the next request is done, as things stand; or when to look again, as a cold server warms.
    pub fn next_done(&self, now: Micros) -> Option<Micros> {
        let least = self.running.iter().map(|j| j.work).min_by(f64::total_cmp)?;
        let rate = self.rate(now);
        if rate <= 0.0 {
            return None;
        }
        let after = (((least - self.attained) / rate).ceil() as Micros).max(1);
        Some(now + if self.warmth(now) < 1.0 { after.min(SECOND / 5) } else { after })
    }

    /// A request's last byte has come. A server that drains turns away what comes more than `grace` later.
    pub fn arrive(
        &mut self,
        now: Micros,
        new: Arriving,
        overload_limit: OverloadLimit,
        grace: Micros,
    ) -> Arrival {
        let Arriving { attempt, work, due, informed } = new;
        if self.warmth(now) < 1.0 {
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
            self.begin(job);
        } else if self.waiting.len() < self.spec.queue {
            self.waiting.push_back(job);
        } else {
            return Arrival::Rejected;
        }
        Arrival::Accepted
    }

    fn begin(&mut self, job: Job) {
        self.running.push(Job { work: self.attained + job.work, ..job });
    }

    /// Takes what is done by now out of work, and lets the next begin; gives the attempts that are done.
    pub fn finish(&mut self, now: Micros, done: &mut Vec<u32>) {
        self.advance(now);
        let (attained, first) = (self.attained + 1e-6, done.len());
        self.running.retain(|job| {
            let over = job.work <= attained;
            if over {
                done.push(job.attempt);
            }
            !over
        });
        done[first..].sort_unstable();
        self.fill(now);
    }

    fn fill(&mut self, now: Micros) {
        while self.running.len() < self.spec.slots {
            let Some(job) = self.waiting.pop_front() else { return };
            if !(self.spec.drops_expired && job.due <= now) {
                self.begin(job);
            }
        }
    }

    /// Its sidecar has given up an attempt; whether that ends it depends on the machine.
    pub fn cancel(&mut self, now: Micros, attempt: u32) {
        self.advance(now);
        if let Some(at) = self.waiting.iter().position(|j| j.attempt == attempt) {
            self.waiting.remove(at);
        } else if self.spec.cancels_running
            && let Some(at) = self.running.iter().position(|j| j.attempt == attempt)
        {
            self.running.swap_remove(at);
            self.fill(now);
        }
    }

    /// All that is in hand is lost; gives the attempts.
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

    /// Its process starts, cold.
    pub fn start(&mut self, now: Micros) {
        self.updated = now;
        (self.machine, self.started, self.draining, self.crashed_by_overload) =
            (Machine::Up, Some(now), None, false);
        self.incarnation += 1;
        self.done_before_start = self.done;
        self.recent_arrivals.clear();
        (self.recent_work, self.paused) = (0.0, 0);
    }

    /// A pause begins or ends; they may overlap.
    pub fn pause(&mut self, now: Micros, begin: bool) {
        self.advance(now);
        self.paused = if begin { self.paused + 1 } else { self.paused.saturating_sub(1) };
    }

    /// Something beside the requests takes so much work of its cores; where some stand idle, nobody feels it.
    pub fn consume_capacity(&mut self, now: Micros, work: f64) {
        self.advance(now);
        let n = self.running.len() as f64;
        if n >= self.spec.cores {
            self.attained -= work / n;
            self.done -= work;
        }
    }

    /// Share of its cores in use.
    pub fn utilization(&self) -> f64 {
        (self.running.len() as f64 / self.spec.cores).min(1.0)
    }

    /// Whether it knows a key already; from now on it does.
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
