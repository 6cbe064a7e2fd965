//! What servers and operators call: register, renew, drain, remove, look.

use super::answer::{Refused, of_outcome};
use super::serve::State;
use crate::core::lease::Renewal;
use crate::core::{Command, Registration, check_registration};
use crate::node::{MembershipError, unix_ms};
use crate::raft::{Replica, Transport};
use axum::Json;
use axum::body::Bytes;
use axum::extract::{Path, Query, State as Held};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use lotusmoor_registry_client::Entry;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use std::sync::Arc;

type Answer = Result<Response, Refused>;

fn read<B: DeserializeOwned>(body: &[u8]) -> Result<B, Refused> {
    serde_json::from_slice(body).map_err(|e| Refused::bad(StatusCode::BAD_REQUEST, format!("body: {e}")))
}

/// A server as it registers; its name stands in the path, or in the body of a batch.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Server {
    name: Option<String>,
    address: std::net::SocketAddr,
    service: Option<String>,
    zone: Option<String>,
    region: Option<String>,
    #[serde(rename = "type")]
    kind: Option<String>,
    #[serde(default)]
    group: u64,
    #[serde(default = "unit")]
    weight: f64,
    #[serde(default)]
    since_ms: i64,
    #[serde(default = "usual_lease")]
    lease_ms: u64,
    expect: Option<u64>,
}

fn unit() -> f64 {
    1.0
}

/// Three renewals may be lost.
fn usual_lease() -> u64 {
    6000
}

impl Server {
    fn registration(self, name: String) -> Registration {
        let entry = Entry {
            name,
            address: self.address,
            service: self.service,
            zone: self.zone,
            region: self.region,
            machine_type: self.kind,
            cell: self.group,
            status: Default::default(),
            weight: self.weight,
            started_ms: self.since_ms,
            status_reason: Default::default(),
        };
        Registration { entry, lease_ms: self.lease_ms }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Batch {
    servers: Vec<Server>,
}

async fn put<T: Transport>(state: &State<T>, servers: Vec<Registration>, expect: Option<u64>) -> Answer {
    // Looked at here as well, so that what can't be meant costs the log nothing.
    for server in &servers {
        check_registration(server)
            .map_err(|e| Refused::bad(StatusCode::UNPROCESSABLE_ENTITY, e.to_string()))?;
    }
    let command = Command::Register { servers, expect, at_ms: unix_ms() };
    of_outcome(state.node.write(command).await?)
}

pub(super) async fn register<T: Transport>(
    Held(state): Held<Arc<State<T>>>,
    Path(name): Path<String>,
    body: Bytes,
) -> Answer {
    let server: Server = read(&body)?;
    if server.name.as_ref().is_some_and(|n| *n != name) {
        return Err(Refused::bad(StatusCode::BAD_REQUEST, "the body names another server than the path"));
    }
    let expect = server.expect;
    put(&state, vec![server.registration(name)], expect).await
}

pub(super) async fn register_all<T: Transport>(Held(state): Held<Arc<State<T>>>, body: Bytes) -> Answer {
    let batch: Batch = read(&body)?;
    let mut servers = Vec::with_capacity(batch.servers.len());
    for (i, server) in batch.servers.into_iter().enumerate() {
        let bad = |what: &str| Refused::bad(StatusCode::BAD_REQUEST, format!("server {i}: {what}"));
        if server.expect.is_some() {
            return Err(bad("expect goes with a single server"));
        }
        let name = server.name.clone().ok_or_else(|| bad("no name"))?;
        servers.push(server.registration(name));
    }
    put(&state, servers, None).await
}

pub(super) async fn renew<T: Transport>(
    Held(state): Held<Arc<State<T>>>,
    Path(name): Path<String>,
) -> Answer {
    match state.node.renew(&name).await? {
        Renewal::Renewed => Ok(Json(json!({"held": true})).into_response()),
        Renewal::Unknown => Err(Refused::bad(
            StatusCode::NOT_FOUND,
            format!("{name}: not listed, or its lease ran out: register"),
        )),
    }
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Expecting {
    expect: Option<u64>,
}

impl Expecting {
    fn read(body: &[u8]) -> Result<Option<u64>, Refused> {
        if body.is_empty() { Ok(None) } else { read::<Self>(body).map(|e| e.expect) }
    }
}

macro_rules! by_name {
    ($($call:ident $command:ident),*) => {$(
        pub(super) async fn $call<T: Transport>(
            Held(state): Held<Arc<State<T>>>,
            Path(name): Path<String>,
            body: Bytes,
        ) -> Answer {
            let expect = Expecting::read(&body)?;
            let command = Command::$command { name, expect, at_ms: unix_ms() };
            of_outcome(state.node.write(command).await?)
        }
    )*};
}
by_name!(drain Drain, resume Resume, remove Remove);

pub(super) async fn show<T: Transport>(Held(state): Held<Arc<State<T>>>, Path(name): Path<String>) -> Answer {
    let kept = state.node.shared().state().list.entries().get(&name).cloned();
    let kept = kept.ok_or_else(|| Refused::bad(StatusCode::NOT_FOUND, format!("{name}: no such server")))?;
    Ok(Json(kept).into_response())
}

#[derive(Deserialize)]
pub(super) struct Since {
    #[serde(default)]
    after: u64,
    #[serde(default = "usual_limit")]
    limit: usize,
}

fn usual_limit() -> usize {
    100
}

pub(super) async fn history<T: Transport>(
    Held(state): Held<Arc<State<T>>>,
    Query(since): Query<Since>,
) -> Response {
    let list = &state.node.shared().state().list;
    let changes: Vec<_> = list.history(since.after).take(since.limit.min(1000)).cloned().collect();
    Json(json!({"index": list.version().index, "changes": changes})).into_response()
}

pub(super) async fn status<T: Transport>(Held(state): Held<Arc<State<T>>>) -> Json<Value> {
    let node = &state.node;
    let metrics = node.raft().metrics().borrow().clone();
    let shared = node.shared().state();
    let replicas: Vec<Value> = metrics
        .membership_config
        .nodes()
        .map(|(id, r)| {
            let votes = metrics.membership_config.voter_ids().any(|v| v == *id);
            json!({"id": id, "address": r.address, "identity": r.identity, "votes": votes})
        })
        .collect();
    Json(json!({
        "id": node.settings().id,
        "identity": node.own().identity,
        "leader": metrics.current_leader,
        "term": metrics.current_term,
        "epoch": shared.list.version().epoch,
        "index": shared.list.version().index,
        "digest": shared.list.digest(),
        "servers": shared.list.entries().len(),
        "active": shared.list.active(),
        "waiting_to_expire": node.pending_expirations(),
        "applied": shared.applied.map(|l| l.index),
        "last_log": metrics.last_log_index,
        "snapshot": metrics.snapshot.map(|l| l.index),
        "age_ms": node.age().map(|a| a / 1000),
        "joint": metrics.membership_config.membership().get_joint_config().len() > 1,
        "replicas": replicas,
    }))
}

pub(super) async fn backup<T: Transport>(Held(state): Held<Arc<State<T>>>) -> Answer {
    let snapshot = state.node.shared().state().clone();
    // In the replica's own format: while one can go back to the version before, its backups can be read there as well.
    let sealed = state.node.store().seal(&snapshot);
    let sealed = sealed.map_err(|e| Refused::bad(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()))?;
    Ok(sealed.into_response())
}

/// A replica that wants to be taken in.
#[derive(Deserialize)]
struct Newcomer {
    id: u64,
    address: String,
    identity: u64,
}

pub(super) async fn take_in<T: Transport>(Held(state): Held<Arc<State<T>>>, body: Bytes) -> Answer {
    let Newcomer { id, address, identity } = read(&body)?;
    let taken = state.node.add_member(id, Replica { address, identity }).await;
    taken.map_err(|error| at_leader(&state, &error))?;
    Ok(Json(json!({"votes": true})).into_response())
}

pub(super) async fn put_out<T: Transport>(Held(state): Held<Arc<State<T>>>, Path(id): Path<u64>) -> Answer {
    state.node.remove_member(id).await.map_err(|error| at_leader(&state, &error))?;
    Ok(Json(json!({"votes": false})).into_response())
}

/// Who belongs is for the leader to change; others name it.
fn at_leader<T: Transport>(state: &State<T>, error: &MembershipError) -> Refused {
    let leader = state.node.leader();
    if leader.is_some() && leader != Some(state.node.settings().id) {
        let metrics = state.node.raft().metrics();
        let metrics = metrics.borrow();
        let address =
            leader.and_then(|l| Some(metrics.membership_config.membership().get_node(&l)?.address.clone()));
        return Refused::bad(
            StatusCode::MISDIRECTED_REQUEST,
            format!("ask the leader, replica {} at {}", leader.unwrap_or(0), address.unwrap_or_default()),
        );
    }
    Refused::bad(StatusCode::CONFLICT, error.to_string())
}
