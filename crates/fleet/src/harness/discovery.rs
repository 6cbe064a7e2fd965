//! The stand-in discovery: serves PROTOCOL's list and watches, each sidecar at an address of its own, and writes down
//! what it told whom. It runs as a process of its own.

use super::http::{Message, Reader, answer};
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

/// A server as the list has it.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct ServerEntry {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// `active`, `leaving` or `left`.
    pub status: String,
    /// Unix time in milliseconds when it last started; 0 for long ago.
    pub since_ms: i64,
    /// Its address for each sidecar.
    pub addresses: Vec<SocketAddr>,
}

/// Something that was told to a sidecar.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct DeliveredVersion {
    /// The sidecar.
    pub sidecar: usize,
    /// The version.
    pub index: u64,
    /// When it had been written.
    pub at: i64,
}

/// Where operators of the stand-in put entries: a JSON list of [`Listed`], each in place of the one of its name.
pub const ENTRIES_PATH: &str = "/stand-in/list";
/// Where they make it silent (`true`) or not.
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
    notes: Mutex<File>,
}

impl Discovery {
    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn body(&self, sidecar: usize, after: Option<u64>) -> (u64, String) {
        let state = self.state();
        let entry = |(at, l): &(u64, ServerEntry)| -> Option<Value> {
            let wanted = after.map_or(l.status != "left", |after| *at > after);
            let address = l.addresses.get(sidecar).filter(|_| wanted)?;
            Some(json!({"name": l.name, "address": address, "zone": l.zone, "type": "m", "group": 1,
                "status": l.status, "weight": 1.0, "since_ms": l.since_ms}))
        };
        let entries: Vec<Value> = state.entries.values().filter_map(entry).collect();
        let body = json!({"index": state.index, "snapshot": after.is_none(), "endpoints": entries});
        (state.index, body.to_string())
    }
}

/// Serves for good: one address for each sidecar, and one for those who tell it what to list.
pub async fn serve(sidecars: Vec<SocketAddr>, control: SocketAddr, notes: &Path) -> io::Result<()> {
    let notes = Mutex::new(File::options().create(true).append(true).open(notes)?);
    let discovery = Arc::new(Discovery { state: Mutex::default(), changed: watch::Sender::new(0), notes });
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
                    // A connection that breaks is its caller's affair.
                    let _ = connection(&discovery, stream, sidecar).await;
                });
            }
        });
    }
    while serving.join_next().await.is_some() {}
    Ok(())
}

async fn connection(discovery: &Discovery, mut stream: TcpStream, sidecar: Option<usize>) -> io::Result<()> {
    let mut reader = Reader::default();
    while let Some(message) = reader.next(&mut stream, false).await? {
        let closes = message.header("connection") == Some("close");
        let reply = match sidecar {
            None => control(discovery, &message),
            Some(sidecar) => {
                let Some((index, body)) = told(discovery, &message, sidecar).await else {
                    std::future::pending::<()>().await;
                    return Ok(());
                };
                stream.write_all(&answer(200, "Content-Type: application/json\r\n", body.as_bytes())).await?;
                let mut text = serde_json::to_vec(&DeliveredVersion { sidecar, index, at: now_micros() })?;
                text.push(b'\n');
                discovery.notes.lock().unwrap_or_else(PoisonError::into_inner).write_all(&text)?;
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

fn control(discovery: &Discovery, message: &Message) -> Vec<u8> {
    let fault = |e: serde_json::Error| answer(400, "", e.to_string().as_bytes());
    match message.start.1.as_str() {
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
                answer(200, "", index.to_string().as_bytes())
            }
            Err(error) => fault(error),
        },
        SILENT_PATH => match serde_json::from_slice(&message.body) {
            Ok(silent) => {
                discovery.state().silent = silent;
                answer(200, "", b"")
            }
            Err(error) => fault(error),
        },
        _ => answer(404, "", b""),
    }
}

/// What a call is answered; nothing while discovery is silent.
async fn told(discovery: &Discovery, message: &Message, sidecar: usize) -> Option<(u64, String)> {
    let query = message.start.1.split_once('?').map_or("", |(_, q)| q);
    let figure = |name: &str| {
        query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
    };
    let after = figure("after");
    let wait = Duration::from_millis(figure("wait_ms").unwrap_or(0).min(60_000));
    if let Some(after) = after {
        let mut changed = discovery.changed.subscribe();
        // Nothing new in that time is an answer too.
        let _ = timeout(wait, changed.wait_for(|index| *index > after)).await;
    }
    if discovery.state().silent {
        return None;
    }
    Some(discovery.body(sidecar, after))
}
