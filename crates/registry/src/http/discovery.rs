//! Lists and watches: in the platform's protocol, and in the project's own with epochs, digests and ages.

use super::answer::Refused;
use super::rendered::Rendered;
use super::serve::State;
use crate::core::admission::AdmissionDecision;
use crate::core::freshness::ReadConsistency;
use crate::core::parse_services;
use crate::core::{Micros, SECOND};
use crate::raft::Transport;
use axum::extract::{Query, State as Held};
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use serde::Deserialize;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Longest wait of a watch.
const LONGEST_WAIT: u64 = 60_000;

#[derive(Deserialize)]
pub(super) struct Asked {
    epoch: Option<u64>,
    after: Option<u64>,
    #[serde(default)]
    wait_ms: u64,
    #[serde(default)]
    consistent: bool,
    services: Option<String>,
}

/// The services that a call asks for. A replica whose format has none does not hear it, as in the version before.
fn services<T: Transport>(state: &State<T>, asked: &Asked) -> Result<Option<Arc<[String]>>, Refused> {
    let asked = asked.services.as_ref().filter(|_| state.node.store().format().has_services());
    let services = asked.map(|text| parse_services(text)).transpose();
    let services = services.map_err(|what| Refused::bad(StatusCode::BAD_REQUEST, what.to_string()))?;
    Ok(services.map(Arc::from))
}

/// What a reader is to be told, how old it can be, and how long it has waited.
struct Told {
    rendered: Arc<Rendered>,
    age: Micros,
    waited: Duration,
}

/// Waits for news where that is wanted, and gives what there is.
async fn told<T: Transport>(
    state: &State<T>,
    after: Option<u64>,
    wait_ms: u64,
    services: Option<&Arc<[String]>>,
) -> Result<Told, Refused> {
    let began = Instant::now();
    if let Some(after) = after {
        let deadline = began + Duration::from_millis(wait_ms.min(LONGEST_WAIT));
        let watching = state.watchers.fetch_add(1, Ordering::Relaxed);
        let _counted = Counted(state);
        if watching >= state.limits.watchers {
            return Err(Refused::later("too many watches", SECOND));
        }
        // One that is ahead of this list waits for it as well: it may be ahead of this replica alone.
        tokio::select! {
            news = timeout_at(deadline, news(state, after, services)) => if news.is_ok() {
                state.metrics.woken.inc();
            },
            // A replica that has lost touch must not hold on to its watchers.
            () = state.lost_touch() => {}
            () = state.closing() => return Err(Refused::later("this replica ends", 0)),
        }
    }
    let age = match state.node.reading() {
        ReadConsistency::Fresh(age) | ReadConsistency::Stale(age) => age,
        ReadConsistency::Unavailable => {
            state.metrics.refused_stale.inc();
            return Err(Refused::later("this replica can't tell how old its list is", SECOND));
        }
    };
    let rendered = match services {
        Some(services) => state.renderings.of(&state.node, after, services),
        None => state.renderings.after(&state.node, after),
    };
    if rendered.version.epoch == 0 {
        return Err(Refused::later("there is no list yet", SECOND));
    }
    if rendered.snapshot {
        if let AdmissionDecision::RetryAfter(wait) = state.admit() {
            state.metrics.turned_away.inc();
            return Err(Refused::later("too many whole lists at once", wait));
        }
        state.metrics.whole_lists.inc();
    }
    Ok(Told { rendered, age, waited: began.elapsed() })
}

struct Counted<'a, T: Transport>(&'a State<T>);

impl<T: Transport> Drop for Counted<'_, T> {
    fn drop(&mut self) {
        self.0.watchers.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Waits until there are changes after that index, of these services where some are named.
async fn news<T: Transport>(state: &State<T>, after: u64, services: Option<&Arc<[String]>>) {
    match services {
        Some(services) => state.node.shared().changed_of(after, services).await,
        None => drop(state.node.shared().version().wait_for(|index| *index > after).await),
    }
}

/// `GET /discovery/hosts`: the platform's protocol.
pub(super) async fn hosts<T: Transport>(
    Held(state): Held<Arc<State<T>>>,
    Query(asked): Query<Asked>,
) -> Result<Response, Refused> {
    let Told { rendered: r, .. } = told(&state, asked.after, asked.wait_ms, None).await?;
    let head = format!("{{\"index\":{},\"snapshot\":{},\"endpoints\":", r.version.index, r.snapshot);
    Ok(text([head.as_bytes(), &r.platform, b"}"].concat()))
}

/// `GET /v1/list` and `GET /v1/watch`: the same with epoch, digest and age.
pub(super) async fn list<T: Transport>(
    Held(state): Held<Arc<State<T>>>,
    Query(asked): Query<Asked>,
) -> Result<Response, Refused> {
    let services = services(&state, &asked)?;
    if asked.consistent {
        let update = state.node.read_latest_services(services.as_deref()).await?;
        let body = serde_json::to_vec(&update);
        let body = body.map_err(|e| Refused::bad(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()))?;
        return Ok(text(body));
    }
    // Indexes grow from epoch to epoch: one of an older epoch is too old for changes, whatever it is.
    let known = state.node.shared().state().list.version().epoch;
    let same = asked.epoch.is_none_or(|e| e == known);
    let after = asked.after.filter(|_| same);
    let Told { rendered: r, age, waited } = told(&state, after, asked.wait_ms, services.as_ref()).await?;
    let stale = matches!(state.node.reading(), ReadConsistency::Stale(_));
    let head = format!(
        "{{\"epoch\":{},\"index\":{},\"snapshot\":{},\"digest\":{},\"replica\":{},\"age_ms\":{},\"waited_ms\":{},\
         \"stale\":{stale},{}\"endpoints\":",
        r.version.epoch,
        r.version.index,
        r.snapshot,
        r.digest,
        state.node.settings().id,
        (age + 999) / 1000,
        waited.as_millis(),
        services.as_deref().map(echo).unwrap_or_default(),
    );
    Ok(text([head.as_bytes(), &r.own, b"}"].concat()))
}

/// The services that an answer tells of. Their names need no escapes.
fn echo(services: &[String]) -> String {
    format!("\"services\":[\"{}\"],", services.join("\",\""))
}

fn text(body: Vec<u8>) -> Response {
    ([(header::CONTENT_TYPE, "application/json")], body).into_response()
}
