//! Runs the policy in an external program that speaks the operators' simulator protocol, such as an earlier version
//! of the project. One process hosts all sidecars of a run. Each event is sent as a batch of its own, so that the
//! order of events is the simulation's.

use super::{Decider, TrueView};
use crate::Micros;
use lotusmoor_balancer::{
    Action, EndpointEntry, EndpointListUpdate, EndpointStatus, Event, LoadReport, Outcome,
};
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};

/// Why an adapter program can't be used.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// The program could not be started.
    #[error("{program}: {source}")]
    Start {
        /// The program.
        program: String,
        /// The system's error.
        source: std::io::Error,
    },
}

/// A running program that speaks the protocol.
pub struct Adapter {
    child: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
    batch: u64,
    now: Micros,
    line: String,
    /// The program has exited or its pipe has failed; nothing more is sent to it.
    failed: bool,
}

impl Adapter {
    /// Starts the program.
    pub fn start(program: &Path) -> Result<Arc<Mutex<Self>>, AdapterError> {
        let failed = |source| AdapterError::Start { program: program.display().to_string(), source };
        let mut child =
            Command::new(program).stdin(Stdio::piped()).stdout(Stdio::piped()).spawn().map_err(failed)?;
        let pipes = child.stdin.take().zip(child.stdout.take());
        let (input, output) = pipes.ok_or_else(|| failed(std::io::ErrorKind::BrokenPipe.into()))?;
        let (output, line) = (BufReader::new(output), String::new());
        Ok(Arc::new(Mutex::new(Self { child, input, output, batch: 0, now: 0, line, failed: false })))
    }

    /// Sends a batch of lines and reads the actions in response.
    fn exchange(&mut self, now: Micros, lines: &str, out: &mut Vec<Action>) {
        self.batch += 1;
        self.now = now;
        let sent = write!(self.input, "mark WallUs={now} batch={}\n{lines}go\n", self.batch);
        if self.failed || sent.and_then(|()| self.input.flush()).is_err() {
            return self.mark_failed();
        }
        loop {
            self.line.clear();
            match self.output.read_line(&mut self.line) {
                Ok(n) if n > 0 => {}
                _ => return self.mark_failed(),
            }
            let line = self.line.trim_end();
            if line.starts_with("next") {
                return;
            }
            out.extend(parse_action(line));
        }
    }

    fn mark_failed(&mut self) {
        if !std::mem::replace(&mut self.failed, true) {
            tracing::error!("the adapter program has exited; its open requests get no response");
        }
    }
}

impl Drop for Adapter {
    fn drop(&mut self) {
        // The program exits when its input closes; it is killed in case it doesn't.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// One sidecar process hosted by the program.
pub struct Instance {
    adapter: Arc<Mutex<Adapter>>,
    number: u64,
    classes: Vec<String>,
    zones: Vec<String>,
    kinds: Vec<String>,
    tenants: Vec<String>,
    pending: String,
}

impl Instance {
    /// Starts a sidecar with that settings object; `number` must be unused in the program.
    pub fn start(adapter: Arc<Mutex<Adapter>>, number: u64, settings: &serde_json::Value, seed: u64) -> Self {
        let names = |key: &str, of: &dyn Fn(&serde_json::Value) -> Option<String>| {
            settings[key].as_array().map(|all| all.iter().filter_map(of).collect()).unwrap_or_default()
        };
        let text_value = |v: &serde_json::Value| v.as_str().map(str::to_owned);
        let (zones, kinds) = (names("Zones", &text_value), names("Kinds", &text_value));
        let [classes, tenants] = ["Lanes", "Tenants"].map(|key| names(key, &|v| text_value(&v["Name"])));
        let pending = format!("start I={number} RandomSeed={seed} Conf={settings}\n");
        Self { adapter, number, classes, zones, kinds, tenants, pending }
    }

    fn write_list(&mut self, kind: u8, list: &[EndpointEntry]) {
        use std::fmt::Write;
        // List numbers may be reused immediately, so all lists use 0.
        let _ = writeln!(self.pending, "catalog RosterId=0 Hosts={}", list.len());
        for l in list {
            let status = match l.status {
                EndpointStatus::Ready => 1,
                EndpointStatus::Draining => 2,
                EndpointStatus::Removed => 0,
            };
            let zone = l.zone.and_then(|z| self.zones.get(z)).map_or("-", String::as_str);
            let kind = l.machine_type.and_then(|k| self.kinds.get(k)).map_or("-", String::as_str);
            let _ = write!(
                self.pending,
                "m Endpoint=10.0.0.1:{} Campus={zone} Model={kind} Group={} Status={status} Size={}",
                l.endpoint, l.cell, l.size
            );
            let _ = match l.started_at {
                Some(at) => writeln!(self.pending, " ReadyAtUs={}", at.max(1)),
                None => writeln!(self.pending),
            };
        }
        let _ = writeln!(self.pending, "endpoints I={} Epoch=1 Kind={kind} RosterId=0", self.number);
    }

    fn write_event(&mut self, event: &Event) {
        use std::fmt::Write;
        let i = self.number;
        let _ = match event {
            Event::EndpointList(EndpointListUpdate::Failed) => {
                writeln!(self.pending, "endpoints I={i} Epoch=1 Kind=0")
            }
            Event::EndpointList(EndpointListUpdate::Delta(list)) => return self.write_list(1, list),
            Event::EndpointList(EndpointListUpdate::Cached(list)) => return self.write_list(2, list),
            Event::EndpointList(EndpointListUpdate::Full(list)) => return self.write_list(3, list),
            Event::RequestReceived(new) => {
                let class = self.classes.get(new.class).map_or("-", String::as_str);
                let flags = u8::from(new.expected_work.is_some()) + if new.is_client_retry { 2 } else { 0 };
                let hint = new.expected_work.map(|w| format!(" WorkHintUs={w}")).unwrap_or_default();
                let key = new.partition_key.unwrap_or(0);
                let tenant = new.tenant.and_then(|t| self.tenants.get(t));
                let tenant = tenant.map(|t| format!(" Project={t}")).unwrap_or_default();
                let (id, due) = (new.id, new.deadline);
                writeln!(
                    self.pending,
                    "demand I={i} Ticket={id} Profile={class}{tenant} PartitionKey={key} DueUs={due}{hint} Flags={flags}"
                )
            }
            Event::StreamStarted { request, attempt } => {
                writeln!(self.pending, "under_way I={i} Ticket={request} Go={attempt}")
            }
            Event::AttemptEnded(end) => {
                let (outcome, load, settled) = (
                    outcome_name(end.outcome),
                    load_field(&end.load_report),
                    u8::from(end.request_completed),
                );
                writeln!(
                    self.pending,
                    "returned I={i} Ticket={} Disposition={outcome} Endpoint=10.0.0.1:{} TookUs={} Go={} Settled={settled}{load}",
                    end.request, end.endpoint, end.duration, end.attempt
                )
            }
            Event::HealthCheckEnded { endpoint, outcome, duration: took, load_report: load } => {
                let (outcome, load) = (outcome_name(*outcome), load_field(load));
                writeln!(
                    self.pending,
                    "health_result I={i} Endpoint=10.0.0.1:{endpoint} Disposition={outcome} TookUs={took}{load}"
                )
            }
            Event::RequestAbandoned(id) => writeln!(self.pending, "withdrawn I={i} Ticket={id}"),
            Event::Timer(token) => writeln!(self.pending, "alarm I={i} Ctx={token}"),
            // Not part of the simulator protocol: programs built by `experiments/versions` understand these lines,
            // others ignore them.
            Event::Cordoned(server) => writeln!(self.pending, "cordon I={i} Endpoint=10.0.0.1:{server}"),
            Event::Uncordoned(server) => writeln!(self.pending, "uncordon I={i} Endpoint=10.0.0.1:{server}"),
            // The simulation sends a policy no other events.
            _ => Ok(()),
        };
    }
}

impl Decider for Instance {
    fn handle(&mut self, now: Micros, event: Event, _: &TrueView, out: &mut Vec<Action>) {
        self.write_event(&event);
        let mut adapter = self.adapter.lock().unwrap_or_else(PoisonError::into_inner);
        adapter.exchange(now, &self.pending, out);
        self.pending.clear();
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        let mut adapter = self.adapter.lock().unwrap_or_else(PoisonError::into_inner);
        if !adapter.failed {
            let text = format!("kill I={}\n", self.number);
            let now = adapter.now;
            adapter.exchange(now, &text, &mut Vec::new());
        }
    }
}

/// The protocol's name of an outcome; both kinds of reset share one.
fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "OK",
        Outcome::Error | Outcome::BadRequest => "INTERNAL",
        Outcome::Rejected => "RESOURCE_EXHAUSTED",
        Outcome::TimedOut => "DEADLINE_EXCEEDED",
        Outcome::ConnectFailed => "UNAVAILABLE",
        Outcome::Reset | Outcome::ReusedConnectionReset => "ABORTED",
        Outcome::Cancelled => "CANCELLED",
        Outcome::NotSent => "TOO_LATE",
    }
}

/// A load report as a field of a protocol line; empty if nothing is reported.
fn load_field(load: &LoadReport) -> String {
    let all = [("waiting", load.waiting), ("active", load.active), ("cpu", load.cpu)];
    let fields: Vec<_> = all.iter().filter_map(|(name, v)| Some(format!("{name}:{}", (*v)?))).collect();
    if fields.is_empty() { String::new() } else { format!(" Load={}", fields.join(",")) }
}

/// Parses an action line; `None` for lines that the simulation ignores.
fn parse_action(line: &str) -> Option<Action> {
    let (name, rest) = line.split_once(' ')?;
    let field = |key: &str| rest.split(' ').find_map(|part| part.strip_prefix(key)?.strip_prefix('='));
    let number = |key: &str| field(key).and_then(|v| v.parse::<i64>().ok());
    let endpoint = || field("Endpoint").and_then(|e| e.rsplit(':').next()?.parse().ok());
    let request = || number("Ticket").map(i64::unsigned_abs);
    Some(match name {
        "hand_off" => Action::Send {
            request: request()?,
            endpoint: endpoint()?,
            timeout: number("TimeoutUs").filter(|t| *t != 0).unwrap_or(Micros::MAX / 4),
            idempotency_window: None,
        },
        "not_now" => Action::Reject { request: request()?, retry_after: number("HoldOffUs").unwrap_or(0) },
        "error" => Action::Fail(request()?),
        "recall" => Action::Cancel { request: request()?, attempt: number("Go")?.try_into().ok()? },
        "defer" => Action::SetTimer { after: number("FromNowUs")?, token: number("Ctx")?.unsigned_abs() },
        "tail" => Action::Subscribe(number("Active") == Some(1)),
        "health_check" => Action::HealthCheck(endpoint()?),
        "read_list" => Action::FetchEndpointList,
        "free_links" => Action::CloseIdleConnections(endpoint()?),
        _ => return None,
    })
}

#[cfg(test)]
mod tests;
