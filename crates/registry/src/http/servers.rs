//! Requests that register, renew, drain, resume, remove or show servers.

use super::error_response::{ErrorResponse, outcome_response};
use super::state::ServerState;
use crate::core::lease::Renewal;
use crate::core::{Command, Registration, check_registration};
use crate::node::unix_ms;
use crate::raft::Transport;
use axum::Json;
use axum::body::Bytes;
use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use lotusmoor_registry_client::Entry;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use std::sync::Arc;

/// Lease of a registration that sets none; it allows for three lost renewals.
const DEFAULT_LEASE_MS: u64 = 6000;

type HandlerResult = Result<Response, ErrorResponse>;

/// Decodes the JSON body of a request.
pub(super) fn decode<B: DeserializeOwned>(body: &[u8]) -> Result<B, ErrorResponse> {
    serde_json::from_slice(body)
        .map_err(|e| ErrorResponse::new(StatusCode::BAD_REQUEST, format!("body: {e}")))
}

/// The body of a registration. The server's name is in the path, or for a batch in the body.
///
/// The names of the body types are renamed for serde, as its errors quote them to clients.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename = "Server")]
struct ServerBody {
    name: Option<String>,
    address: std::net::SocketAddr,
    service: Option<String>,
    zone: Option<String>,
    region: Option<String>,
    #[serde(rename = "type")]
    machine_type: Option<String>,
    #[serde(default, rename = "group")]
    cell: u64,
    #[serde(default = "default_weight")]
    weight: f64,
    #[serde(default, rename = "since_ms")]
    started_ms: i64,
    #[serde(default = "default_lease_ms")]
    lease_ms: u64,
    expect: Option<u64>,
}

fn default_weight() -> f64 {
    1.0
}

fn default_lease_ms() -> u64 {
    DEFAULT_LEASE_MS
}

impl ServerBody {
    fn registration(self, name: String) -> Registration {
        let entry = Entry {
            name,
            address: self.address,
            service: self.service,
            zone: self.zone,
            region: self.region,
            machine_type: self.machine_type,
            cell: self.cell,
            status: Default::default(),
            weight: self.weight,
            started_ms: self.started_ms,
            status_reason: Default::default(),
        };
        Registration { entry, lease_ms: self.lease_ms }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename = "Batch")]
struct BatchBody {
    servers: Vec<ServerBody>,
}

async fn write_registrations<T: Transport>(
    state: &ServerState<T>,
    servers: Vec<Registration>,
    expect: Option<u64>,
) -> HandlerResult {
    // The list checks registrations as well; with this check, an invalid one is not written to the log.
    for server in &servers {
        check_registration(server)
            .map_err(|e| ErrorResponse::new(StatusCode::UNPROCESSABLE_ENTITY, e.to_string()))?;
    }
    let command = Command::Register { servers, expect, at_ms: unix_ms() };
    outcome_response(state.node.write(command).await?)
}

/// `PUT /v1/servers/{name}`
pub(super) async fn register<T: Transport>(
    State(state): State<Arc<ServerState<T>>>,
    Path(name): Path<String>,
    body: Bytes,
) -> HandlerResult {
    let server: ServerBody = decode(&body)?;
    if server.name.as_ref().is_some_and(|n| *n != name) {
        return Err(ErrorResponse::new(
            StatusCode::BAD_REQUEST,
            "the body names another server than the path",
        ));
    }
    let expect = server.expect;
    write_registrations(&state, vec![server.registration(name)], expect).await
}

/// `POST /v1/servers`
pub(super) async fn register_batch<T: Transport>(
    State(state): State<Arc<ServerState<T>>>,
    body: Bytes,
) -> HandlerResult {
    let batch: BatchBody = decode(&body)?;
    let mut servers = Vec::with_capacity(batch.servers.len());
    for (i, server) in batch.servers.into_iter().enumerate() {
        let bad_request =
            |message: &str| ErrorResponse::new(StatusCode::BAD_REQUEST, format!("server {i}: {message}"));
        if server.expect.is_some() {
            return Err(bad_request("expect goes with a single server"));
        }
        let name = server.name.clone().ok_or_else(|| bad_request("no name"))?;
        servers.push(server.registration(name));
    }
    write_registrations(&state, servers, None).await
}

/// `POST /v1/servers/{name}/renew`
pub(super) async fn renew<T: Transport>(
    State(state): State<Arc<ServerState<T>>>,
    Path(name): Path<String>,
) -> HandlerResult {
    match state.node.renew(&name).await? {
        Renewal::Renewed => Ok(Json(json!({"held": true})).into_response()),
        Renewal::Unknown => Err(ErrorResponse::new(
            StatusCode::NOT_FOUND,
            format!("{name}: not listed, or its lease ran out: register"),
        )),
    }
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, rename = "Expecting")]
struct ExpectBody {
    expect: Option<u64>,
}

impl ExpectBody {
    fn decode(body: &[u8]) -> Result<Option<u64>, ErrorResponse> {
        if body.is_empty() { Ok(None) } else { decode::<Self>(body).map(|e| e.expect) }
    }
}

/// Defines handlers that run a command for the server in the path, with the optional `expect` of the body.
macro_rules! commands_by_name {
    ($($call:ident $command:ident),*) => {$(
        pub(super) async fn $call<T: Transport>(
            State(state): State<Arc<ServerState<T>>>,
            Path(name): Path<String>,
            body: Bytes,
        ) -> HandlerResult {
            let expect = ExpectBody::decode(&body)?;
            let command = Command::$command { name, expect, at_ms: unix_ms() };
            outcome_response(state.node.write(command).await?)
        }
    )*};
}
commands_by_name!(drain Drain, resume Resume, remove Remove);

/// `GET /v1/servers/{name}`
pub(super) async fn show<T: Transport>(
    State(state): State<Arc<ServerState<T>>>,
    Path(name): Path<String>,
) -> HandlerResult {
    let entry = state.node.applied_state().state().list.entries().get(&name).cloned();
    let entry =
        entry.ok_or_else(|| ErrorResponse::new(StatusCode::NOT_FOUND, format!("{name}: no such server")))?;
    Ok(Json(entry).into_response())
}
