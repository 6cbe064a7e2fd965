//! Makes a replica a member of a cluster: bootstraps a new one, or asks the members of an existing one to add it.

use super::ProcessError;
use crate::config::Config;
use crate::core::List;
use crate::http::{Client, HttpTransport};
use crate::node::{Node, unix_ms};
use hyper::{Method, StatusCode};
use serde_json::json;
use std::convert::Infallible;
use std::time::Duration;

/// Timeout of a request to join.
const JOIN_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between two requests to join.
const JOIN_PAUSE: Duration = Duration::from_millis(500);
/// Milliseconds in a second: epochs are Unix times in seconds.
const MILLIS_PER_SECOND: u64 = 1000;
/// Part of the error message of a member if another replica has the same ID, which is permanent. Other conflicts, for
/// example with a membership change in progress, are temporary.
const ID_TAKEN: &str = "a number of its own";

/// Makes the replica a member if it is none, and then never returns. `backup` becomes `None` once it has been restored.
pub(super) async fn ensure_member(
    config: &Config,
    node: &Node<HttpTransport>,
    backup: &mut Option<List>,
) -> Result<Infallible, ProcessError> {
    let is_member = node.is_initialized().await;
    // A bootstrap may have been interrupted after the replica became a voter and before the first epoch.
    let bootstraps = if is_member { node.is_sole_voter() } else { config.join.is_empty() };
    if !is_member || bootstraps || backup.is_some() {
        if bootstraps || config.join.is_empty() {
            bootstrap(node, backup).await?;
        } else {
            join(config, node.own().identity).await?;
        }
    }
    std::future::pending().await
}

async fn bootstrap(node: &Node<HttpTransport>, backup: &mut Option<List>) -> Result<(), ProcessError> {
    let now = unix_ms() / MILLIS_PER_SECOND;
    let epoch = now.max(backup.as_ref().map_or(0, |list| list.version().epoch + 1));
    let is_new_epoch = node.bootstrap_cluster(epoch, backup.clone().map(Box::new)).await?;
    *backup = None;
    if is_new_epoch {
        tracing::info!("bootstrapped epoch {epoch}");
    }
    Ok(())
}

/// Asks the members in turn to add this replica, until one of them does.
async fn join(config: &Config, identity: u64) -> Result<(), ProcessError> {
    let client = Client::default();
    let body = json!({"id": config.id, "address": config.own_address(), "identity": identity}).to_string();
    for address in config.join.iter().cycle() {
        let request = body.clone().into_bytes();
        match client.call(Method::POST, address, "/v1/replicas", request, JOIN_TIMEOUT).await {
            Ok((StatusCode::OK, ..)) => {
                tracing::info!("added to the cluster by {address}");
                return Ok(());
            }
            Ok((StatusCode::CONFLICT, _, response)) => {
                let response = String::from_utf8_lossy(&response).into_owned();
                if response.contains(ID_TAKEN) {
                    return Err(ProcessError::JoinRefused { response });
                }
                tracing::warn!("{address}: {response}");
            }
            Ok((status, _, response)) => {
                tracing::info!("{address}: {status}: {}", String::from_utf8_lossy(&response));
            }
            Err(error) => tracing::warn!("{error}"),
        }
        tokio::time::sleep(JOIN_PAUSE).await;
    }
    Ok(())
}
