//! Lists and watches, in two protocols: the registry's own (`/v1/list` and `/v1/watch`), which has epochs, digests and
//! ages, and the discovery protocol of the platform (`/discovery/hosts`). The platform is the deployment environment;
//! sidecars without a registry client use its protocol.

use super::error_response::ErrorResponse;
use super::rendered::RenderedList;
use super::state::ServerState;
use crate::core::admission::AdmissionDecision;
use crate::core::freshness::ReadConsistency;
use crate::core::parse_services;
use crate::core::{Micros, SECOND};
use crate::raft::Transport;
use axum::extract::{Query, State};
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use serde::Deserialize;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Maximum wait of a watch.
const MAX_WAIT_MS: u64 = 60_000;
/// Microseconds in a millisecond.
const MICROS_PER_MILLI: Micros = 1000;

/// Parameters of a list request.
#[derive(Deserialize)]
pub(super) struct ListQuery {
    epoch: Option<u64>,
    after: Option<u64>,
    #[serde(default)]
    wait_ms: u64,
    #[serde(default)]
    consistent: bool,
    services: Option<String>,
}

/// `GET /discovery/hosts`: the list in the platform's discovery protocol.
pub(super) async fn hosts<T: Transport>(
    State(state): State<Arc<ServerState<T>>>,
    Query(query): Query<ListQuery>,
) -> Result<Response, ErrorResponse> {
    let served = list_after(&state, query.after, query.wait_ms, None).await?;
    let list = &served.list;
    let head = format!("{{\"index\":{},\"snapshot\":{},\"endpoints\":", list.version.index, list.snapshot);
    Ok(json_response([head.as_bytes(), &list.platform_entries, b"}"].concat()))
}

/// `GET /v1/list` and `GET /v1/watch`: the registry's own protocol, with epoch, digest and age.
pub(super) async fn list<T: Transport>(
    State(state): State<Arc<ServerState<T>>>,
    Query(query): Query<ListQuery>,
) -> Result<Response, ErrorResponse> {
    let services = requested_services(&state, &query)?;
    if query.consistent {
        let update = state.node.read_latest_services(services.as_deref()).await?;
        let body = serde_json::to_vec(&update);
        let body = body.map_err(|e| ErrorResponse::new(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()))?;
        return Ok(json_response(body));
    }
    // Indexes continue from one epoch to the next, so an index does not show of which epoch it is. A reader with an
    // index of another epoch needs the full list.
    let epoch = state.node.applied_state().state().list.version().epoch;
    let is_same_epoch = query.epoch.is_none_or(|known| known == epoch);
    let after = query.after.filter(|_| is_same_epoch);
    let served = list_after(&state, after, query.wait_ms, services.as_ref()).await?;
    let head = list_head(&state, &served, services.as_deref());
    Ok(json_response([head.as_bytes(), &served.list.native_entries, b"}"].concat()))
}

/// The fields of a list response before its entries.
fn list_head<T: Transport>(
    state: &ServerState<T>,
    served: &ServedList,
    services: Option<&[String]>,
) -> String {
    let ServedList { list, age, waited } = served;
    let stale = matches!(state.node.read_consistency(), ReadConsistency::Stale(_));
    format!(
        "{{\"epoch\":{},\"index\":{},\"snapshot\":{},\"digest\":{},\"replica\":{},\"age_ms\":{},\"waited_ms\":{},\
         \"stale\":{stale},{}\"endpoints\":",
        list.version.epoch,
        list.version.index,
        list.snapshot,
        list.digest,
        state.node.settings().id,
        (age + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI,
        waited.as_millis(),
        services.map(services_field).unwrap_or_default(),
    )
}

/// The `services` field of a response. Service names have no characters that JSON escapes.
fn services_field(services: &[String]) -> String {
    format!("\"services\":[\"{}\"],", services.join("\",\""))
}

fn json_response(body: Vec<u8>) -> Response {
    ([(header::CONTENT_TYPE, "application/json")], body).into_response()
}

/// The services of a request. They are ignored if the store's format does not support services, as releases without
/// support for services do.
fn requested_services<T: Transport>(
    state: &ServerState<T>,
    query: &ListQuery,
) -> Result<Option<Arc<[String]>>, ErrorResponse> {
    let services = query.services.as_ref().filter(|_| state.node.store().format().has_services());
    let services = services.map(|text| parse_services(text)).transpose();
    let services =
        services.map_err(|error| ErrorResponse::new(StatusCode::BAD_REQUEST, error.to_string()))?;
    Ok(services.map(Arc::from))
}

/// The list to send to a reader.
struct ServedList {
    list: Arc<RenderedList>,
    /// Upper bound of the list's age.
    age: Micros,
    /// How long the request was held open.
    waited: Duration,
}

/// Returns the changes after an index, waiting up to `wait_ms` for them, or the full list.
async fn list_after<T: Transport>(
    state: &ServerState<T>,
    after: Option<u64>,
    wait_ms: u64,
    services: Option<&Arc<[String]>>,
) -> Result<ServedList, ErrorResponse> {
    let began = Instant::now();
    if let Some(after) = after {
        let deadline = began + Duration::from_millis(wait_ms.min(MAX_WAIT_MS));
        watch(state, after, deadline, services).await?;
    }
    let (ReadConsistency::Fresh(age) | ReadConsistency::Stale(age)) = state.node.read_consistency() else {
        state.metrics.too_stale.inc();
        return Err(ErrorResponse::unavailable("this replica can't tell how old its list is", SECOND));
    };
    let list = match services {
        Some(services) => state.rendered_lists.some_services(&state.node, after, services),
        None => state.rendered_lists.all_services(&state.node, after),
    };
    if list.version.epoch == 0 {
        return Err(ErrorResponse::unavailable("there is no list yet", SECOND));
    }
    if list.snapshot {
        if let AdmissionDecision::RetryAfter(wait) = state.admit_full_list() {
            state.metrics.full_lists_deferred.inc();
            return Err(ErrorResponse::unavailable("too many whole lists at once", wait));
        }
        state.metrics.full_lists.inc();
    }
    Ok(ServedList { list, age, waited: began.elapsed() })
}

/// Waits for a change after an index. A reader may be ahead of this list, as it read from another replica; it waits as
/// well.
async fn watch<T: Transport>(
    state: &ServerState<T>,
    after: u64,
    deadline: Instant,
    services: Option<&Arc<[String]>>,
) -> Result<(), ErrorResponse> {
    let watchers_before = state.watchers.fetch_add(1, Ordering::Relaxed);
    let _guard = WatcherGuard(state);
    if watchers_before >= state.limits.watchers {
        return Err(ErrorResponse::unavailable("too many watches", SECOND));
    }
    tokio::select! {
        changed = timeout_at(deadline, changed_after(state, after, services)) => if changed.is_ok() {
            state.metrics.watches_answered.inc();
        },
        // Without contact to a quorum, watches end at once, so that their clients go to another replica.
        () = state.quorum_lost() => {}
        () = state.closing() => return Err(ErrorResponse::unavailable("this replica ends", 0)),
    }
    Ok(())
}

/// Counts a watch for as long as the guard exists.
struct WatcherGuard<'a, T: Transport>(&'a ServerState<T>);

impl<T: Transport> Drop for WatcherGuard<'_, T> {
    fn drop(&mut self) {
        self.0.watchers.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Waits for a change after an index, in some services or in any.
async fn changed_after<T: Transport>(state: &ServerState<T>, after: u64, services: Option<&Arc<[String]>>) {
    let applied_state = state.node.applied_state();
    match services {
        Some(services) => applied_state.services_changed(after, services).await,
        None => drop(applied_state.list_index().wait_for(|index| *index > after).await),
    }
}
