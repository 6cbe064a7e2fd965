//! The end of a run: what everyone saw is read, and checked.

use super::super::backend::BackendEvent;
use super::super::check::{
    Attempt, ClientRequest, ForwardedRequest, History, MalformedClient, Outage, Violation, check,
    count_by_rule,
};
use super::super::clients::{Clients, Traffic, counts};
use super::super::discovery::DeliveredVersion;
use super::super::fault_proxy::FaultProxy;
use super::super::process::Process;
use super::fake_services::lines;
use super::{Cluster, ClusterError, Sidecar};
use std::collections::HashMap;
use std::net::SocketAddr;

impl Cluster {
    /// Clients begin to ask.
    pub fn start_clients(&self, traffic: &Traffic) -> Clients {
        let sidecars: Vec<SocketAddr> = self.sidecars.iter().map(|s| s.address).collect();
        self.timeline.note(format!("clients ask {} a second of each sidecar", traffic.rate));
        Clients::start(self.runtime.handle(), &sidecars, traffic)
    }

    /// Clients stop; what everyone saw is read, and checked. Fails if a rule was broken or a sidecar ended by itself.
    pub fn finish(self, clients: Clients) -> Result<History, ClusterError> {
        self.finish_with(clients, Vec::new())
    }

    /// The same, with what other clients and strangers saw, over links that were slow by up to so many microseconds.
    pub fn finish_soak(
        mut self,
        clients: Clients,
        others: Vec<ClientRequest>,
        strangers: Vec<MalformedClient>,
        links: i64,
    ) -> Result<History, ClusterError> {
        (self.history.malformed_clients, self.history.max_link_delay) = (strangers, links);
        self.finish_with(clients, others)
    }

    /// The same, with what other clients saw that have stopped already.
    pub fn finish_with(self, clients: Clients, others: Vec<ClientRequest>) -> Result<History, ClusterError> {
        self.timeline.note("clients stop");
        let Some(mut asks) = clients.finish() else {
            return Err(self.failed("clients' requests never ended".into()));
        };
        asks.extend(others);
        self.finish_with_requests(asks)
    }

    /// The same, with all that clients saw.
    pub fn finish_with_requests(mut self, asks: Vec<ClientRequest>) -> Result<History, ClusterError> {
        let mut history = std::mem::take(&mut self.history);
        history.requests = asks;
        let open = self.sidecars.iter().enumerate().filter_map(|(i, s)| Some((i, s.unavailable_since?)));
        history
            .sidecar_outages
            .extend(open.map(|(instance, since)| Outage { instance, span: (since, i64::MAX / 2) }));
        let open = self.servers.iter().enumerate().filter_map(|(i, s)| Some((i, s.unavailable_since?)));
        history
            .server_outages
            .extend(open.map(|(instance, since)| Outage { instance, span: (since, i64::MAX / 2) }));
        // Servers may still be writing down what ended last.
        for i in 0..self.servers.len() {
            if self.servers[i].unavailable_since.is_none() {
                let records = self.servers[i].records.clone();
                self.wait(&format!("server {i} is done"), || {
                    lines::<BackendEvent>(&records).is_ok_and(|n| {
                        pair_starts_and_ends(i, n)
                            .iter()
                            .all(|a| a.end.is_some() || server_process_gone(&history, a))
                    })
                })?;
            }
            history.attempts.extend(pair_starts_and_ends(i, lines(&self.servers[i].records)?));
        }
        if self.config.registry_replicas > 0 {
            history.use_attempts_as_forwarded();
        } else {
            history.forwarded = self.forwarded_requests();
        }
        let told: Vec<DeliveredVersion> = lines(&self.discovery.records)?;
        let by_roster = self.notified.iter().map(|((sidecar, index), at)| DeliveredVersion {
            sidecar: *sidecar,
            index: *index,
            at: *at,
        });
        let told: Vec<DeliveredVersion> = told.into_iter().chain(by_roster).collect();
        for sidecar in 0..self.sidecars.len() {
            // Who counts as told of a version counts as told of those before it.
            let mut of_later = i64::MAX;
            for (index, at, server, gone) in self.discovery.changes.iter().rev() {
                let first = told.iter().filter(|t| t.sidecar == sidecar && t.index >= *index).map(|t| t.at);
                let latest =
                    self.config.fault_injection.then(|| self.interruptions.notified_by(sidecar, *at));
                let Some(at) = first.chain(latest).min() else { continue };
                of_later = of_later.min(at);
                let list =
                    if *gone { &mut history.notified_unavailable } else { &mut history.notified_available };
                list.push((sidecar, *server, of_later));
            }
        }
        for i in 0..self.sidecars.len() {
            let ended = self.sidecars[i].process.as_mut().and_then(Process::exit_status);
            if let Some(status) = ended {
                return Err(self.failed(format!("sidecar {i} ended by itself: {status}")));
            }
        }
        let broken: Vec<Violation> = check(&history);
        if !broken.is_empty() {
            let first: Vec<String> =
                broken.iter().take(12).map(|b| format!("{b}\n{}", self.trace_of(&history, &b.id))).collect();
            let all = count_by_rule(&broken);
            return Err(self.failed(format!(
                "rules broken: {all:?}\n{}\n{:?}",
                first.join("\n"),
                counts(&history.requests)
            )));
        }
        Ok(history)
    }

    /// Requests as they left sidecars, by the relays behind them.
    fn forwarded_requests(&self) -> Vec<ForwardedRequest> {
        let of_relay = |sidecar: usize, server: usize, relay: &FaultProxy| {
            relay.sent_requests().into_iter().map(move |request| ForwardedRequest {
                sidecar,
                server,
                request,
            })
        };
        let of_sidecar = |(sidecar, s): (usize, &Sidecar)| {
            let relays = s.server_proxies.iter().enumerate();
            relays.flat_map(|(server, relay)| of_relay(sidecar, server, relay)).collect::<Vec<_>>()
        };
        self.sidecars.iter().enumerate().flat_map(of_sidecar).collect()
    }

    /// All that was seen of a request: its client's view, its attempts, and the lines of logs that name it.
    fn trace_of(&self, history: &History, id: &str) -> String {
        let mut path = String::new();
        let began = self.timeline.started_at();
        for ask in history.requests.iter().filter(|a| a.id == id) {
            path.push_str(&format!("  at {:.3} s: {ask:?}\n", (ask.sent_at - began) as f64 / 1e6));
        }
        for send in history.forwarded.iter().filter(|s| s.request.id == id) {
            path.push_str(&format!("  {send:?}\n"));
        }
        for attempt in history.attempts.iter().filter(|a| a.request.id == id) {
            path.push_str(&format!("  {attempt:?}\n"));
        }
        for sidecar in 0..self.sidecars.len() {
            let said = self.sidecar_log(sidecar);
            for line in said.lines().filter(|line| line.contains(id)) {
                path.push_str(&format!("  sidecar {sidecar}: {line}\n"));
            }
        }
        path
    }
}

/// Whether an attempt belongs to a process of its server that is no more.
fn server_process_gone(history: &History, attempt: &Attempt) -> bool {
    let away = |a: &Outage| a.instance == attempt.server && attempt.request.received_at.1 <= a.span.1;
    history.server_outages.iter().any(away)
}

/// What a server wrote down, each request with its end.
fn pair_starts_and_ends(server: usize, notes: Vec<BackendEvent>) -> Vec<Attempt> {
    let mut attempts: Vec<Attempt> = Vec::new();
    let mut at = HashMap::new();
    for note in notes {
        match note {
            BackendEvent::Received(request) => {
                at.insert(request.number, attempts.len());
                attempts.push(Attempt { server, request, end: None });
            }
            BackendEvent::Ended(end) => {
                if let Some(i) = at.get(&end.number) {
                    attempts[*i].end = Some(end);
                }
            }
        }
    }
    attempts
}
