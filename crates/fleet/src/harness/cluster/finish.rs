//! The end of a run: what everyone saw is read, and checked.

use super::super::check::{
    Ask, Attempt, Away, Broken, History, Send, Stranger, check, counts as broken_counts,
};
use super::super::clients::{Clients, Traffic, counts};
use super::super::ledger::Noted;
use super::super::list::Told;
use super::super::process::Process;
use super::super::relay::Relay;
use super::stand_in::lines;
use super::{Cluster, ClusterError, Sidecar};
use std::collections::HashMap;
use std::net::SocketAddr;

impl Cluster {
    /// Clients begin to ask.
    pub fn ask(&self, traffic: &Traffic) -> Clients {
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
        others: Vec<Ask>,
        strangers: Vec<Stranger>,
        links: i64,
    ) -> Result<History, ClusterError> {
        (self.history.strangers, self.history.links) = (strangers, links);
        self.finish_with(clients, others)
    }

    /// The same, with what other clients saw that have stopped already.
    pub fn finish_with(self, clients: Clients, others: Vec<Ask>) -> Result<History, ClusterError> {
        self.timeline.note("clients stop");
        let Some(mut asks) = clients.finish() else {
            return Err(self.failed("clients' requests never ended".into()));
        };
        asks.extend(others);
        self.finish_asked(asks)
    }

    /// The same, with all that clients saw.
    pub fn finish_asked(mut self, asks: Vec<Ask>) -> Result<History, ClusterError> {
        let mut history = std::mem::take(&mut self.history);
        history.asks = asks;
        let open = self.sidecars.iter().enumerate().filter_map(|(i, s)| Some((i, s.away_since?)));
        history
            .sidecars_away
            .extend(open.map(|(number, since)| Away { number, span: (since, i64::MAX / 2) }));
        let open = self.servers.iter().enumerate().filter_map(|(i, s)| Some((i, s.away_since?)));
        history.servers_away.extend(open.map(|(number, since)| Away { number, span: (since, i64::MAX / 2) }));
        // Servers may still be writing down what ended last.
        for i in 0..self.servers.len() {
            if self.servers[i].away_since.is_none() {
                let notes = self.servers[i].notes.clone();
                self.wait(&format!("server {i} is done"), || {
                    lines::<Noted>(&notes)
                        .is_ok_and(|n| pair(i, n).iter().all(|a| a.over.is_some() || dead(&history, a)))
                })?;
            }
            history.attempts.extend(pair(i, lines(&self.servers[i].notes)?));
        }
        if self.shape.rosters > 0 {
            history.take_reads_for_sends();
        } else {
            history.sends = self.sends();
        }
        let told: Vec<Told> = lines(&self.discovery.notes)?;
        let by_roster =
            self.told.iter().map(|((sidecar, index), at)| Told { sidecar: *sidecar, index: *index, at: *at });
        let told: Vec<Told> = told.into_iter().chain(by_roster).collect();
        for sidecar in 0..self.sidecars.len() {
            // Who counts as told of a version counts as told of those before it.
            let mut of_later = i64::MAX;
            for (index, at, server, gone) in self.discovery.changes.iter().rev() {
                let first = told.iter().filter(|t| t.sidecar == sidecar && t.index >= *index).map(|t| t.at);
                let latest = self.shape.faults.then(|| self.obstacles.told_at_the_latest(sidecar, *at));
                let Some(at) = first.chain(latest).min() else { continue };
                of_later = of_later.min(at);
                let list = if *gone { &mut history.told_gone } else { &mut history.told_back };
                list.push((sidecar, *server, of_later));
            }
        }
        for i in 0..self.sidecars.len() {
            let ended = self.sidecars[i].process.as_mut().and_then(Process::ended);
            if let Some(status) = ended {
                return Err(self.failed(format!("sidecar {i} ended by itself: {status}")));
            }
        }
        let broken: Vec<Broken> = check(&history);
        if !broken.is_empty() {
            let first: Vec<String> =
                broken.iter().take(12).map(|b| format!("{b}\n{}", self.path_of(&history, &b.id))).collect();
            let all = broken_counts(&broken);
            return Err(self.failed(format!(
                "rules broken: {all:?}\n{}\n{:?}",
                first.join("\n"),
                counts(&history.asks)
            )));
        }
        Ok(history)
    }

    /// Requests as they left sidecars, by the relays behind them.
    fn sends(&self) -> Vec<Send> {
        let of_relay = |sidecar: usize, server: usize, relay: &Relay| {
            relay.sent().into_iter().map(move |sent| Send { sidecar, server, sent })
        };
        let of_sidecar = |(sidecar, s): (usize, &Sidecar)| {
            let relays = s.to_servers.iter().enumerate();
            relays.flat_map(|(server, relay)| of_relay(sidecar, server, relay)).collect::<Vec<_>>()
        };
        self.sidecars.iter().enumerate().flat_map(of_sidecar).collect()
    }

    /// All that was seen of a request: its client's view, its attempts, and the lines of logs that name it.
    fn path_of(&self, history: &History, id: &str) -> String {
        let mut path = String::new();
        let began = self.timeline.began();
        for ask in history.asks.iter().filter(|a| a.id == id) {
            path.push_str(&format!("  at {:.3} s: {ask:?}\n", (ask.sent - began) as f64 / 1e6));
        }
        for send in history.sends.iter().filter(|s| s.sent.id == id) {
            path.push_str(&format!("  {send:?}\n"));
        }
        for attempt in history.attempts.iter().filter(|a| a.seen.id == id) {
            path.push_str(&format!("  {attempt:?}\n"));
        }
        for sidecar in 0..self.sidecars.len() {
            let said = self.sidecar_said(sidecar);
            for line in said.lines().filter(|line| line.contains(id)) {
                path.push_str(&format!("  sidecar {sidecar}: {line}\n"));
            }
        }
        path
    }
}

/// Whether an attempt belongs to a process of its server that is no more.
fn dead(history: &History, attempt: &Attempt) -> bool {
    let away = |a: &Away| a.number == attempt.server && attempt.seen.came.1 <= a.span.1;
    history.servers_away.iter().any(away)
}

/// What a server wrote down, each request with its end.
fn pair(server: usize, notes: Vec<Noted>) -> Vec<Attempt> {
    let mut attempts: Vec<Attempt> = Vec::new();
    let mut at = HashMap::new();
    for note in notes {
        match note {
            Noted::Seen(seen) => {
                at.insert(seen.number, attempts.len());
                attempts.push(Attempt { server, seen, over: None });
            }
            Noted::Over(over) => {
                if let Some(i) = at.get(&over.number) {
                    attempts[*i].over = Some(over);
                }
            }
        }
    }
    attempts
}
