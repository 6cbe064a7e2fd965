//! The fake discovery service: it serves the protocol's endpoint list and watches, to each sidecar at an address of its
//! own, and records which version it delivered to which sidecar. It runs as a process of its own (`lotusmoor fleet
//! stand-in discovery`).

use super::http::{Message, Reader, encode_response};
use super::now_micros;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

/// A server in the list.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct ServerEntry {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// `active`, `leaving` or `left`.
    pub status: String,
    /// When it last started, in milliseconds of Unix time; 0 for long ago.
    pub since_ms: i64,
    /// Its address, as given to each sidecar.
    pub addresses: Vec<SocketAddr>,
}

/// A version of the list that was delivered to a sidecar.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct DeliveredVersion {
    /// The sidecar.
    pub sidecar: usize,
    /// The version of the list.
    pub index: u64,
    /// When the answer had been written.
    pub at: i64,
}

/// Path of the control call that updates entries: a JSON list of [`ServerEntry`], each of which replaces the entry of
/// the same name.
pub const ENTRIES_PATH: &str = "/stand-in/list";
/// Path of the control call that makes the service stop answering (`true`) or answer again (`false`).
pub const SILENT_PATH: &str = "/stand-in/silent";

#[derive(Default)]
struct State {
    index: u64,
    entries: BTreeMap<String, (u64, ServerEntry)>,
    silent: bool,
}

struct Discovery {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
    records: Mutex<File>,
}

impl Discovery {
    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn body(&self, sidecar: usize, after: Option<u64>) -> (u64, String) {
        let state = self.state();
        let entry = |(index, server): &(u64, ServerEntry)| -> Option<Value> {
            let wanted = after.map_or(server.status != "left", |after| *index > after);
            let address = server.addresses.get(sidecar).filter(|_| wanted)?;
            Some(json!({"name": server.name, "address": address, "zone": server.zone, "type": "m",
                "group": 1, "status": server.status, "weight": 1.0, "since_ms": server.since_ms}))
        };
        let entries: Vec<Value> = state.entries.values().filter_map(entry).collect();
        let body = json!({"index": state.index, "snapshot": after.is_none(), "endpoints": entries});
        (state.index, body.to_string())
    }
}

/// Serves until the process ends: at one address for each sidecar, and at `control` for control calls. Delivered
/// versions are recorded in the file `records`.
pub async fn serve(sidecars: Vec<SocketAddr>, control: SocketAddr, records: &Path) -> io::Result<()> {
    let records = Mutex::new(File::options().create(true).append(true).open(records)?);
    let discovery = Arc::new(Discovery { state: Mutex::default(), changed: watch::Sender::new(0), records });
    let mut listeners = Vec::new();
    for (i, at) in sidecars.iter().enumerate() {
        listeners.push((Some(i), TcpListener::bind(at).await?));
    }
    listeners.push((None, TcpListener::bind(control).await?));
    let mut serving = tokio::task::JoinSet::new();
    for (sidecar, listener) in listeners {
        let discovery = discovery.clone();
        serving.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let discovery = discovery.clone();
                tokio::spawn(async move {
                    let _ = stream.set_nodelay(true);
                    // Errors on a connection are for its client to handle.
                    let _ = serve_connection(&discovery, stream, sidecar).await;
                });
            }
        });
    }
    while serving.join_next().await.is_some() {}
    Ok(())
}

async fn serve_connection(
    discovery: &Discovery,
    mut stream: TcpStream,
    sidecar: Option<usize>,
) -> io::Result<()> {
    let mut reader = Reader::default();
    while let Some(message) = reader.next(&mut stream, false).await? {
        let closes = message.header("connection") == Some("close");
        let reply = match sidecar {
            None => handle_control_call(discovery, &message),
            Some(sidecar) => {
                let Some((index, body)) = poll(discovery, &message, sidecar).await else {
                    std::future::pending::<()>().await;
                    return Ok(());
                };
                stream
                    .write_all(&encode_response(200, "Content-Type: application/json\r\n", body.as_bytes()))
                    .await?;
                let mut line = serde_json::to_vec(&DeliveredVersion { sidecar, index, at: now_micros() })?;
                line.push(b'\n');
                discovery.records.lock().unwrap_or_else(PoisonError::into_inner).write_all(&line)?;
                continue;
            }
        };
        stream.write_all(&reply).await?;
        if closes {
            return Ok(());
        }
    }
    Ok(())
}

fn handle_control_call(discovery: &Discovery, message: &Message) -> Vec<u8> {
    let bad_request = |e: serde_json::Error| encode_response(400, "", e.to_string().as_bytes());
    match message.start_line.1.as_str() {
        ENTRIES_PATH => match serde_json::from_slice::<Vec<ServerEntry>>(&message.body) {
            Ok(entries) => {
                let index = {
                    let mut state = discovery.state();
                    state.index += 1;
                    let index = state.index;
                    state.entries.extend(entries.into_iter().map(|e| (e.name.clone(), (index, e))));
                    index
                };
                discovery.changed.send_replace(index);
                encode_response(200, "", index.to_string().as_bytes())
            }
            Err(error) => bad_request(error),
        },
        SILENT_PATH => match serde_json::from_slice(&message.body) {
            Ok(silent) => {
                discovery.state().silent = silent;
                encode_response(200, "", b"")
            }
            Err(error) => bad_request(error),
        },
        _ => encode_response(404, "", b""),
    }
}

/// Answers a poll or a watch, with the version and the body; `None` while discovery is silent.
async fn poll(discovery: &Discovery, message: &Message, sidecar: usize) -> Option<(u64, String)> {
    let query = message.start_line.1.split_once('?').map_or("", |(_, q)| q);
    let parameter = |name: &str| {
        query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
    };
    let after = parameter("after");
    let wait = Duration::from_millis(parameter("wait_ms").unwrap_or(0).min(60_000));
    if let Some(after) = after {
        let mut changed = discovery.changed.subscribe();
        // A timeout is no error: the answer then has no changes.
        let _ = timeout(wait, changed.wait_for(|index| *index > after)).await;
    }
    if discovery.state().silent {
        return None;
    }
    Some(discovery.body(sidecar, after))
}
