//! Polls discovery for the endpoint list and passes on its answers: when the balancer says so, or all the time where
//! the settings let changes be pushed, as discovery never calls by itself.

mod poll;

use crate::endpoint_list::ListMessage;
use crate::engine_input::{Input, Inputs};
use poll::{PollError, Polls, poll};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use tokio::task::{AbortHandle, JoinSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// Least time between the starts of two polls of a watch. Discovery keeps a watch only if the next poll comes within
/// 200 ms of the last answer; the pause keeps a discovery that answers at once from being polled in a tight loop.
const MIN_POLL_SPACING: Duration = Duration::from_millis(50);
/// Pause after a failed poll where the watch is kept on here. Discovery's agent is on the same machine, and a change
/// counts as notified once it has it, so the pause is short.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Longest time from the start of a failed poll to the next one, even where the settings let the balancer wait longer:
/// a change counts as notified 6 s after discovery had it and could be reached.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// What the task that polls discovery can be told to do.
#[derive(Clone, Copy)]
pub enum DiscoveryCommand {
    /// Watch for changes. After a failed poll this starts the next one, which would otherwise come later.
    Watch,
    /// Stop the watch.
    StopWatch,
    /// Fetch the complete list once.
    Fetch,
    /// Discovery has another address.
    Move(SocketAddr),
}

/// What to poll, and how.
pub struct Watch {
    /// The address of discovery.
    pub address: SocketAddr,
    /// The watch is on from the start and never waits for a command.
    pub pushed: bool,
    /// The version of the list that is known already.
    pub known_index: Option<u64>,
}

/// The version of the list that was received last.
type KnownIndex = Rc<Cell<Option<u64>>>;

/// Carries out commands, with one watch at most at a time. Ends with the sender of commands.
pub async fn run(watch: Watch, mut commands: mpsc::UnboundedReceiver<DiscoveryCommand>, inputs: Inputs) {
    let Watch { mut address, pushed, known_index } = watch;
    let retry_now = Rc::new(Notify::new());
    let start_watch = |address, index| {
        let (retry_now, inputs) = (Rc::clone(&retry_now), inputs.clone());
        spawn_local(keep_watching(address, pushed, index, retry_now, inputs)).abort_handle()
    };
    let mut index: KnownIndex = Rc::new(Cell::new(known_index));
    let mut watch: Option<AbortHandle> = pushed.then(|| start_watch(address, Rc::clone(&index)));
    let mut fetches = JoinSet::new();
    while let Some(command) = commands.recv().await {
        match command {
            // A poll in flight continues: a second one would only add to discovery's load.
            DiscoveryCommand::Watch if watch.is_some() => retry_now.notify_waiters(),
            DiscoveryCommand::Watch => watch = Some(start_watch(address, Rc::clone(&index))),
            DiscoveryCommand::StopWatch => stop(&mut watch),
            DiscoveryCommand::Fetch => {
                fetches.spawn_local(fetch(address, Rc::clone(&index), inputs.clone()));
            }
            DiscoveryCommand::Move(to) => {
                // Answers of the old address are ignored from now on, and its versions mean nothing at the new one,
                // which is polled for the complete list at once. Without a watch, the balancer takes that list as it
                // takes a fetched one.
                address = to;
                index = Rc::new(Cell::new(None));
                fetches.abort_all();
                stop(&mut watch);
                watch = Some(start_watch(address, Rc::clone(&index)));
            }
        }
        while fetches.try_join_next().is_some() {}
    }
}

fn stop(watch: &mut Option<AbortHandle>) {
    if let Some(watch) = watch.take() {
        watch.abort();
    }
}

async fn fetch(address: SocketAddr, index: KnownIndex, inputs: Inputs) {
    pass_on(poll(address, None, None, &Notify::new()).await.answer, &index, &inputs);
}

/// Polls again and again, for good. After a failure the next poll starts soon where changes are pushed; otherwise when
/// the balancer says so, and after a while at the latest.
async fn keep_watching(
    address: SocketAddr,
    pushed: bool,
    index: KnownIndex,
    retry_now: Rc<Notify>,
    inputs: Inputs,
) {
    let mut polls = Polls::default();
    loop {
        let started = Instant::now();
        polls.start(address, index.get());
        let answered = pass_on(polls.answer(index.get()).await, &index, &inputs);
        if answered {
            sleep_until(started + MIN_POLL_SPACING).await;
            continue;
        }
        let pause = async {
            if pushed {
                sleep(RETRY_PAUSE).await;
            } else {
                let latest = (started + MAX_RETRY_DELAY).max(Instant::now() + RETRY_PAUSE);
                let _ = timeout_at(latest, retry_now.notified()).await;
            }
        };
        tokio::select! {
            biased;
            list = polls.late_answer() => drop(pass_on(Ok(list), &index, &inputs)),
            () = pause => {}
        }
    }
}

/// Passes an answer or a failure to the engine; returns whether it was an answer.
fn pass_on(answer: Result<ListMessage, PollError>, index: &KnownIndex, inputs: &Inputs) -> bool {
    match answer {
        Ok(list) => {
            index.set(Some(list.index));
            inputs.send(Input::ListReceived(list));
            true
        }
        Err(error) => {
            inputs.send(Input::ListFailed(Box::new(error)));
            false
        }
    }
}
