//! Clients of a cluster, and the end of a run: all records are collected into a history, which is checked.

use super::super::backend::BackendEvent;
use super::super::check::{
    Attempt, ClientRequest, ForwardedRequest, History, MalformedClient, Outage, Violation, check,
    count_by_rule,
};
use super::super::clients::{Clients, Traffic, count_by_outcome};
use super::super::discovery::DeliveredVersion;
use super::super::fault_proxy::FaultProxy;
use super::super::process::Process;
use super::fake_services::read_records;
use super::{Cluster, ClusterError, Sidecar};
use std::collections::HashMap;
use std::net::SocketAddr;

impl Cluster {
    /// Starts clients, which send requests to all sidecars.
    pub fn start_clients(&self, traffic: &Traffic) -> Clients {
        let sidecars: Vec<SocketAddr> = self.sidecars.iter().map(|s| s.address).collect();
        self.timeline.note(format!("clients send {} requests a second to each sidecar", traffic.rate));
        Clients::start(self.runtime.handle(), &sidecars, traffic)
    }

    /// Stops the clients, collects all records and checks them. Fails if a rule was violated or a sidecar ended by
    /// itself.
    pub fn finish(self, clients: Clients) -> Result<History, ClusterError> {
        self.finish_with(clients, Vec::new())
    }

    /// Like [`Self::finish_with`], with the results of malformed clients, for links that added a delay of up to
    /// `max_link_delay` microseconds.
    pub fn finish_soak(
        mut self,
        clients: Clients,
        others: Vec<ClientRequest>,
        malformed_clients: Vec<MalformedClient>,
        max_link_delay: i64,
    ) -> Result<History, ClusterError> {
        (self.history.malformed_clients, self.history.max_link_delay) = (malformed_clients, max_link_delay);
        self.finish_with(clients, others)
    }

    /// Like [`Self::finish`], with the requests of other clients that have stopped already.
    pub fn finish_with(self, clients: Clients, others: Vec<ClientRequest>) -> Result<History, ClusterError> {
        self.timeline.note("clients stop");
        let Some(mut requests) = clients.finish() else {
            return Err(self.failed("requests of clients never ended".into()));
        };
        requests.extend(others);
        self.finish_with_requests(requests)
    }

    /// Like [`Self::finish`], with all requests of clients that have stopped already.
    pub fn finish_with_requests(mut self, requests: Vec<ClientRequest>) -> Result<History, ClusterError> {
        let mut history = std::mem::take(&mut self.history);
        history.requests = requests;
        let open = self.sidecars.iter().enumerate().filter_map(|(i, s)| Some((i, s.unavailable_since?)));
        history
            .sidecar_outages
            .extend(open.map(|(instance, since)| Outage { instance, span: (since, i64::MAX / 2) }));
        let open = self.servers.iter().enumerate().filter_map(|(i, s)| Some((i, s.unavailable_since?)));
        history
            .server_outages
            .extend(open.map(|(instance, since)| Outage { instance, span: (since, i64::MAX / 2) }));
        // Servers may still be recording the requests that ended last.
        for i in 0..self.servers.len() {
            if self.servers[i].unavailable_since.is_none() {
                let records = self.servers[i].records.clone();
                self.wait(&format!("server {i} has recorded the end of each request"), || {
                    read_records::<BackendEvent>(&records).is_ok_and(|events| {
                        pair_starts_and_ends(i, events)
                            .iter()
                            .all(|a| a.end.is_some() || server_process_gone(&history, a))
                    })
                })?;
            }
            history.attempts.extend(pair_starts_and_ends(i, read_records(&self.servers[i].records)?));
        }
        if self.config.registry_replicas > 0 {
            history.use_attempts_as_forwarded();
        } else {
            history.forwarded = self.forwarded_requests();
        }
        let delivered: Vec<DeliveredVersion> = read_records(&self.discovery.records)?;
        let by_registry = self.notified.iter().map(|((sidecar, index), at)| DeliveredVersion {
            sidecar: *sidecar,
            index: *index,
            at: *at,
        });
        let delivered: Vec<DeliveredVersion> = delivered.into_iter().chain(by_registry).collect();
        for sidecar in 0..self.sidecars.len() {
            // A sidecar that was notified of a version counts as notified of all earlier ones.
            let mut earliest = i64::MAX;
            for (index, at, server, unavailable) in self.discovery.changes.iter().rev() {
                let first =
                    delivered.iter().filter(|d| d.sidecar == sidecar && d.index >= *index).map(|d| d.at);
                let expected =
                    self.config.fault_injection.then(|| self.interruptions.notified_by(sidecar, *at));
                let Some(at) = first.chain(expected).min() else { continue };
                earliest = earliest.min(at);
                let list = if *unavailable {
                    &mut history.notified_unavailable
                } else {
                    &mut history.notified_available
                };
                list.push((sidecar, *server, earliest));
            }
        }
        for i in 0..self.sidecars.len() {
            let ended = self.sidecars[i].process.as_mut().and_then(Process::exit_status);
            if let Some(status) = ended {
                return Err(self.failed(format!("sidecar {i} ended by itself: {status}")));
            }
        }
        let violations: Vec<Violation> = check(&history);
        if !violations.is_empty() {
            let first: Vec<String> = violations
                .iter()
                .take(12)
                .map(|v| format!("{v}\n{}", self.trace_of(&history, &v.id)))
                .collect();
            let counts = count_by_rule(&violations);
            return Err(self.failed(format!(
                "rules violated: {counts:?}\n{}\n{:?}",
                first.join("\n"),
                count_by_outcome(&history.requests)
            )));
        }
        Ok(history)
    }

    /// The requests that left sidecars, as recorded by the fault proxies behind them.
    fn forwarded_requests(&self) -> Vec<ForwardedRequest> {
        let of_proxy = |sidecar: usize, server: usize, proxy: &FaultProxy| {
            proxy.sent_requests().into_iter().map(move |request| ForwardedRequest {
                sidecar,
                server,
                request,
            })
        };
        let of_sidecar = |(sidecar, s): (usize, &Sidecar)| {
            let proxies = s.server_proxies.iter().enumerate();
            proxies.flat_map(|(server, proxy)| of_proxy(sidecar, server, proxy)).collect::<Vec<_>>()
        };
        self.sidecars.iter().enumerate().flat_map(of_sidecar).collect()
    }

    /// Everything that was recorded of a request: its client's record, its attempts, and the log lines with its id.
    fn trace_of(&self, history: &History, id: &str) -> String {
        let mut trace = String::new();
        let started_at = self.timeline.started_at();
        for request in history.requests.iter().filter(|r| r.id == id) {
            trace.push_str(&format!(
                "  at {:.3} s: {request:?}\n",
                (request.sent_at - started_at) as f64 / 1e6
            ));
        }
        for forwarded in history.forwarded.iter().filter(|f| f.request.id == id) {
            trace.push_str(&format!("  {forwarded:?}\n"));
        }
        for attempt in history.attempts.iter().filter(|a| a.request.id == id) {
            trace.push_str(&format!("  {attempt:?}\n"));
        }
        for sidecar in 0..self.sidecars.len() {
            let log = self.sidecar_log(sidecar);
            for line in log.lines().filter(|line| line.contains(id)) {
                trace.push_str(&format!("  sidecar {sidecar}: {line}\n"));
            }
        }
        trace
    }
}

/// Whether the server process that received an attempt may have been killed since, so that its end is not recorded.
fn server_process_gone(history: &History, attempt: &Attempt) -> bool {
    let outage = |o: &Outage| o.instance == attempt.server && attempt.request.received_at.1 <= o.span.1;
    history.server_outages.iter().any(outage)
}

/// Combines the events that a server recorded into attempts, each with its end.
fn pair_starts_and_ends(server: usize, events: Vec<BackendEvent>) -> Vec<Attempt> {
    let mut attempts: Vec<Attempt> = Vec::new();
    let mut positions = HashMap::new();
    for event in events {
        match event {
            BackendEvent::Received(request) => {
                positions.insert(request.number, attempts.len());
                attempts.push(Attempt { server, request, end: None });
            }
            BackendEvent::Ended(end) => {
                if let Some(i) = positions.get(&end.number) {
                    attempts[*i].end = Some(end);
                }
            }
        }
    }
    attempts
}
