//! Asks discovery for the list of endpoints and passes on what it answers: when the module says so, or all the
//! time where changes are to come unasked. On sockets nothing does.

use crate::connection::Connection;
use crate::endpoint_list::HostList;
use crate::exchange::{Input, Inputs};
use crate::http_get;
use hyper::StatusCode;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use tokio::task::{AbortHandle, JoinSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// How long a watch lets discovery wait for news. A watch whose answer never comes, of a discovery that was cut
/// off or has lost it, looks like one without news; until it is given up, endpoints that leave are still sent to
/// and new ones get nothing, so it is short. Each wait without news costs discovery a call: with many sidecars
/// and a list that hardly ever changes, that is the most it has to do.
const WATCH: Duration = Duration::from_secs(4);
/// How much longer than that, or than a plain call, an answer may take before another call is made beside it: nothing may
/// come back at all to the first one.
const PATIENCE: Duration = Duration::from_secs(2);
/// How long it may take at the most. A slow or crowded discovery answers the calls that wait for it, and none at all where
/// each is given up too soon.
const LONGEST: Duration = Duration::from_secs(6);
/// Least time from one watch call to the next. A watch is only kept when the next call goes within 200 ms of
/// the last answer; less than that keeps a discovery that answers at once from being called in a tight loop.
const SPACING: Duration = Duration::from_millis(50);
/// Pause after a failed call of a watch that is kept on here. The agent that answers is on the same machine, and
/// what it has to tell counts as told, so it is asked again soon.
const AGAIN: Duration = Duration::from_millis(250);
/// The longest from the beginning of a failed call to the next one, though settings that let a sidecar go long without
/// asking make the module wait longer: a change counts as told 6 s after discovery had it and could be reached. A call
/// that takes longer than this to fail is followed by the next one after a short pause.
const LATEST: Duration = Duration::from_secs(5);
/// What may be asked of discovery.
#[derive(Clone, Copy)]
pub enum Ask {
    /// Changes from now on. After a failed call this begins the next one, which else comes by itself a while later.
    Watch,
    /// No more changes.
    StopWatch,
    /// The whole list once.
    Fetch,
    /// Discovery is at another address from now on.
    Move(SocketAddr),
}

/// Carries out what is asked, one watch at most at a time. Where changes are `pushed` the module asks for none:
/// the watch is on from the start, and is kept on.
pub async fn run(
    mut at: SocketAddr,
    pushed: bool,
    known: Option<u64>,
    mut asks: mpsc::UnboundedReceiver<Ask>,
    inputs: Inputs,
) {
    let again = Rc::new(Notify::new());
    let start_watch = |at, index| {
        spawn_local(keep_watching(at, pushed, index, Rc::clone(&again), inputs.clone())).abort_handle()
    };
    let mut index = Rc::new(Cell::new(known));
    let mut watch: Option<AbortHandle> = pushed.then(|| start_watch(at, Rc::clone(&index)));
    let mut fetches = JoinSet::new();
    while let Some(ask) = asks.recv().await {
        match ask {
            // A call under way goes on: a second would only put more load on discovery.
            Ask::Watch if watch.is_some() => again.notify_waiters(),
            Ask::Watch => watch = Some(start_watch(at, Rc::clone(&index))),
            Ask::StopWatch => {
                if let Some(watch) = watch.take() {
                    watch.abort();
                }
            }
            Ask::Fetch => {
                let (index, inputs) = (Rc::clone(&index), inputs.clone());
                fetches.spawn_local(async move { tell(call(at, None, None).await.0, &index, &inputs) });
            }
            Ask::Move(to) => {
                // What the old address would still bring is not heard any more, and its versions mean nothing
                // at the new one, which is asked for the whole list at once. Where no watch is on, the module
                // takes that list as it takes a fetched one.
                at = to;
                index = Rc::new(Cell::new(None));
                fetches.abort_all();
                if let Some(watch) = watch.take() {
                    watch.abort();
                }
                watch = Some(start_watch(at, Rc::clone(&index)));
            }
        }
        while fetches.try_join_next().is_some() {}
    }
}

/// Call after call, for good. After one that fails, the next one begins soon where changes are pushed; else when the
/// module asks for it, and at the latest a while after the failed one began.
async fn keep_watching(
    at: SocketAddr,
    pushed: bool,
    index: Rc<Cell<Option<u64>>>,
    again: Rc<Notify>,
    inputs: Inputs,
) {
    let mut calls = Calls::default();
    loop {
        let began = Instant::now();
        calls.begin(at, index.get());
        if tell(calls.answer(patience(index.get())).await, &index, &inputs) {
            sleep_until(began + SPACING).await;
            continue;
        }
        let pause = async {
            if pushed {
                sleep(AGAIN).await;
            } else {
                let latest = (began + LATEST).max(Instant::now() + AGAIN);
                // Not asked for by then, it begins all the same.
                let _ = timeout_at(latest, again.notified()).await;
            }
        };
        tokio::select! {
            biased;
            list = calls.late_answer() => drop(tell(Ok(list), &index, &inputs)),
            () = pause => {}
        }
    }
}

/// How long an answer to a call for what comes after that version is waited for with nothing else done.
fn patience(after: Option<u64>) -> Duration {
    wait(after) + PATIENCE
}

/// How long discovery may wait for news before it answers such a call.
fn wait(after: Option<u64>) -> Duration {
    if after.is_some() { WATCH } else { Duration::ZERO }
}

/// What comes of a call: the list, and the connection where it is still good.
type Called = (Result<HostList, String>, Option<Connection>);

/// Calls for the same news: the one that was begun last, and earlier ones that may still be answered. The first answer
/// ends them all.
#[derive(Default)]
struct Calls {
    under_way: JoinSet<(u64, Called)>,
    last: u64,
    link: Option<Connection>,
}

impl Calls {
    /// Begins one.
    fn begin(&mut self, at: SocketAddr, after: Option<u64>) {
        self.last += 1;
        let (number, link) = (self.last, self.link.take());
        self.under_way.spawn_local(async move { (number, call(at, link, after).await) });
    }

    /// Waits so long for an answer to any of them, or for the last one to fail.
    async fn answer(&mut self, patience: Duration) -> Result<HostList, String> {
        let last = self.last;
        let ended = async {
            while let Some(ended) = self.under_way.join_next().await {
                match ended {
                    Ok((_, (Ok(list), link))) => return Ok((list, link)),
                    Ok((number, (Err(what), _))) if number == last => return Err(what),
                    _ => {}
                }
            }
            Err("no answer".to_owned())
        };
        let (list, link) = timeout(patience, ended).await.unwrap_or_else(|_| Err("no answer".to_owned()))?;
        self.under_way.abort_all();
        self.link = link;
        Ok(list)
    }

    /// Waits for an answer to one of them, for as long as there is none.
    async fn late_answer(&mut self) -> HostList {
        loop {
            match self.under_way.join_next().await {
                Some(Ok((_, (Ok(list), link)))) => {
                    self.under_way.abort_all();
                    self.link = link;
                    return list;
                }
                Some(_) => {}
                None => std::future::pending().await,
            }
        }
    }
}

/// Passes on an answer or a failure; whether it was an answer.
fn tell(answer: Result<HostList, String>, index: &Cell<Option<u64>>, inputs: &Inputs) -> bool {
    match answer {
        Ok(list) => {
            index.set(Some(list.index));
            inputs.send(Input::Hosts(list));
            true
        }
        Err(what) => {
            inputs.send(Input::HostsFailed(what));
            false
        }
    }
}

/// One call, over the connection of the last one where that is still good. Bounded in time and in size: a
/// discovery that is cut off says nothing at all.
async fn call(at: SocketAddr, mut link: Option<Connection>, after: Option<u64>) -> Called {
    let path = match after {
        Some(index) => format!("/discovery/hosts?after={index}&wait_ms={}", WATCH.as_millis()),
        None => "/discovery/hosts".to_owned(),
    };
    match timeout(wait(after) + LONGEST, exchange(at, &mut link, &path)).await {
        Ok(answer) => (answer, link),
        Err(_) => (Err("no answer".to_owned()), None),
    }
}

async fn exchange(at: SocketAddr, link: &mut Option<Connection>, path: &str) -> Result<HostList, String> {
    let (status, _, body) = http_get::get(at, link, path).await?;
    if status != StatusCode::OK {
        return Err(format!("status {}", status.as_u16()));
    }
    serde_json::from_slice(&body).map_err(|e| format!("unreadable list: {e}"))
}
