//! Decodes messages into events. Apart from the encoder, this is the only module that knows the names on the wire.

use crate::error::{FieldError, LineError};
use crate::line::Line;
use crate::names::Names;
use base64::{Engine, engine::general_purpose::STANDARD};
use lotusmoor_balancer::{
    AttemptEnd, Balancer, EndpointEntry, EndpointListUpdate, EndpointStatus, Event, LoadReport, Micros,
    NewRequest, Outcome, RequestId, settings,
};
use std::collections::HashMap;

const REQUEST_ID_BITS: u32 = 52;
const TIMER_TOKEN_BITS: u32 = 63;
const FLAG_WORK_IS_KNOWN: u64 = 1;
const FLAG_CLIENT_RETRY: u64 = 2;

/// Endpoint lists by `RosterId`. Their names are still text, as each instance has its own ids for them.
pub(crate) type EndpointLists = HashMap<u64, Vec<Entry>>;

/// An entry of an endpoint list.
pub(crate) struct Entry {
    endpoint: String,
    zone: Option<String>,
    machine_type: Option<String>,
    cell: u64,
    status: EndpointStatus,
    size: f64,
    started_at: Option<Micros>,
}

impl Entry {
    pub(crate) fn decode(line: &Line) -> Result<Self, LineError> {
        let status = match line.require("Status")? {
            "1" => EndpointStatus::Ready,
            "2" => EndpointStatus::Draining,
            "0" => EndpointStatus::Removed,
            other => return Err(line.error("Status", FieldError::UnknownValue(other.to_owned()))),
        };
        Ok(Self {
            endpoint: line.require("Endpoint")?.to_owned(),
            zone: line.find("Campus").map(str::to_owned),
            machine_type: line.find("Model").map(str::to_owned),
            cell: line.optional("Group")?.unwrap_or(0),
            status,
            size: line.optional("Size")?.unwrap_or(1.0),
            started_at: line.optional("ReadyAtUs")?.filter(|at| *at != 0),
        })
    }

    fn intern(&self, names: &mut Names) -> EndpointEntry {
        EndpointEntry {
            endpoint: names.endpoints.intern(&self.endpoint),
            zone: self.zone.as_deref().map(|zone| names.zones.intern(zone)),
            cell: self.cell,
            machine_type: self.machine_type.as_deref().map(|name| names.machine_types.intern(name)),
            status: self.status,
            size: self.size,
            started_at: self.started_at,
        }
    }
}

/// Decodes the start of an instance: creates its balancer and its names.
pub(crate) fn start(line: &Line) -> Result<(Balancer, Names), LineError> {
    let seed: i128 = line.number("RandomSeed")?;
    let decoded = settings::decode(line.rest_of_line("Conf")?);
    let decoded = decoded.map_err(|e| line.error("Conf", FieldError::Settings(e)))?;
    let names = Names::new(decoded.classes, decoded.tenants, decoded.zones);
    let balancer = Balancer::new(decoded.settings, seed as u64);
    let balancer = balancer.map_err(|e| line.error("Conf", FieldError::UnusableSettings(e)))?;
    Ok((balancer, names))
}

/// Whether a message is an event for an instance.
pub(crate) fn is_event(name: &str) -> bool {
    matches!(
        name,
        "endpoints"
            | "demand"
            | "under_way"
            | "returned"
            | "health_result"
            | "withdrawn"
            | "peer_data"
            | "alarm"
    )
}

/// Decodes an event; `None` if it is about an endpoint that the instance does not know.
pub(crate) fn event(
    line: &Line,
    names: &mut Names,
    lists: &EndpointLists,
) -> Result<Option<Event>, LineError> {
    Ok(Some(match line.name {
        "endpoints" => Event::EndpointList(endpoint_list(line, names, lists)?),
        "demand" => Event::RequestReceived(new_request(line, names)?),
        "under_way" => Event::StreamStarted { request: request_id(line)?, attempt: line.number("Go")? },
        "returned" => return Ok(attempt_end(line, names)?.map(Event::AttemptEnded)),
        "health_result" => return health_check_end(line, names),
        "withdrawn" => Event::RequestAbandoned(request_id(line)?),
        "peer_data" => {
            let bytes = peer_message(line)?;
            Event::PeerMessage { from: line.number("By")?, bytes }
        }
        "alarm" => Event::Timer(line.bounded("Ctx", TIMER_TOKEN_BITS)?),
        _ => return Ok(None),
    }))
}

fn request_id(line: &Line) -> Result<RequestId, LineError> {
    line.bounded("Ticket", REQUEST_ID_BITS)
}

fn endpoint_list(
    line: &Line,
    names: &mut Names,
    lists: &EndpointLists,
) -> Result<EndpointListUpdate, LineError> {
    line.number::<i64>("Epoch")?;
    let kind: u8 = line.number("Kind")?;
    if kind == 0 {
        return Ok(EndpointListUpdate::Failed);
    }
    let id: u64 = line.number("RosterId")?;
    let list = lists.get(&id).ok_or_else(|| line.error("RosterId", FieldError::UnknownList(id)))?;
    let entries = list.iter().map(|entry| entry.intern(names)).collect();
    match kind {
        1 => Ok(EndpointListUpdate::Delta(entries)),
        2 => Ok(EndpointListUpdate::Cached(entries)),
        3 => Ok(EndpointListUpdate::Full(entries)),
        _ => Err(line.error("Kind", FieldError::UnknownValue(kind.to_string()))),
    }
}

fn new_request(line: &Line, names: &Names) -> Result<NewRequest, LineError> {
    let class = line.require("Profile")?;
    let flags: u64 = line.optional("Flags")?.unwrap_or(0);
    Ok(NewRequest {
        id: request_id(line)?,
        class: names
            .class(class)
            .ok_or_else(|| line.error("Profile", FieldError::UnknownValue(class.to_owned())))?,
        tenant: line.find("Project").and_then(|tenant| names.tenant(tenant)),
        partition_key: line.optional("PartitionKey")?,
        deadline: line.number("DueUs")?,
        expected_work: line.optional("WorkHintUs")?.filter(|_| flags & FLAG_WORK_IS_KNOWN != 0),
        is_client_retry: flags & FLAG_CLIENT_RETRY != 0,
        body_incomplete: false,
    })
}

fn attempt_end(line: &Line, names: &Names) -> Result<Option<AttemptEnd>, LineError> {
    let request = request_id(line)?;
    let (attempt, outcome) = (line.number("Go")?, outcome(line)?);
    let (duration, load_report) = (line.number("TookUs")?, load_report(line)?);
    let request_completed = line.find("Settled") == Some("1");
    let endpoint = names.endpoints.find(line.require("Endpoint")?);
    Ok(endpoint.map(|endpoint| AttemptEnd {
        request,
        attempt,
        endpoint,
        outcome,
        duration,
        request_completed,
        body_consumed: false,
        load_report,
    }))
}

fn health_check_end(line: &Line, names: &Names) -> Result<Option<Event>, LineError> {
    let (outcome, duration, load_report) = (outcome(line)?, line.number("TookUs")?, load_report(line)?);
    let endpoint = names.endpoints.find(line.require("Endpoint")?);
    Ok(endpoint.map(|endpoint| Event::HealthCheckEnded { endpoint, outcome, duration, load_report }))
}

fn outcome(line: &Line) -> Result<Outcome, LineError> {
    Ok(match line.require("Disposition")? {
        "OK" => Outcome::Ok,
        "INTERNAL" => Outcome::Error,
        "RESOURCE_EXHAUSTED" => Outcome::Rejected,
        "DEADLINE_EXCEEDED" => Outcome::TimedOut,
        "UNAVAILABLE" => Outcome::ConnectFailed,
        "ABORTED" => Outcome::Reset,
        "CANCELLED" => Outcome::Cancelled,
        "TOO_LATE" => Outcome::NotSent,
        other => return Err(line.error("Disposition", FieldError::UnknownValue(other.to_owned()))),
    })
}

fn load_report(line: &Line) -> Result<LoadReport, LineError> {
    let mut report = LoadReport::default();
    for pair in line.find("Load").unwrap_or("").split(',').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once(':').ok_or(LineError::MalformedLoadReport)?;
        let slot = match name {
            "active" => &mut report.active,
            "waiting" => &mut report.waiting,
            "cpu" => &mut report.cpu,
            "avg_ms" => &mut report.avg_ms,
            "rps" => &mut report.rps,
            "err_rps" => &mut report.err_rps,
            _ => continue,
        };
        let value: f64 = value.parse().map_err(|_| LineError::LoadReportValue { name: name.to_owned() })?;
        *slot = Some(value).filter(|value| value.is_finite());
    }
    Ok(report)
}

fn peer_message(line: &Line) -> Result<Vec<u8>, LineError> {
    match line.require("Bytes")? {
        "-" => Ok(Vec::new()),
        text => STANDARD.decode(text).map_err(|e| line.error("Bytes", FieldError::Base64(e))),
    }
}
