//! Polls discovery for the endpoint list and forwards the answers to the engine. Discovery never connects to the
//! sidecar, so if the settings say that changes are pushed, the sidecar long-polls continuously; otherwise it polls
//! when the balancer says so.

mod poll;

use crate::endpoint_list::ListMessage;
use crate::engine_input::{Input, InputSender};
use poll::{PollError, Polls, poll};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use tokio::task::{AbortHandle, JoinSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// Minimum time between the starts of two polls of a watch, which keeps a discovery that answers at once from being
/// polled in a tight loop. Discovery ends a watch unless the next poll arrives within 200 ms of the last answer.
const MIN_POLL_SPACING: Duration = Duration::from_millis(50);
/// Pause after a failed poll of a continuous watch. It is short: the agent of discovery that answers polls runs on the
/// same machine, and by the protocol the sidecar counts as notified of a change as soon as that agent has it.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Maximum time from the start of a failed poll to the next one, even where the settings let the balancer wait
/// longer: by the protocol, the sidecar has to know a change 6 s after discovery had it and was reachable.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// A command to the task that polls discovery.
#[derive(Clone, Copy)]
pub enum DiscoveryCommand {
    /// Watch for changes. After a failed poll, this starts the next one early.
    Watch,
    /// Stop the watch.
    StopWatch,
    /// Fetch the complete list once.
    Fetch,
    /// Poll discovery at another address.
    SetAddress(SocketAddr),
}

/// Which discovery to poll, from which version on, and whether continuously.
pub struct WatchConfig {
    /// The address of discovery.
    pub address: SocketAddr,
    /// The watch runs from the start and retries without a command.
    pub continuous: bool,
    /// The version of the cached list.
    pub known_index: Option<u64>,
}

/// The version of the list that was received last, shared by the watch and fetches.
type KnownIndex = Rc<Cell<Option<u64>>>;

/// Executes commands, with at most one watch at a time. Ends once the sender of commands is dropped.
pub async fn run(
    config: WatchConfig,
    mut commands: mpsc::UnboundedReceiver<DiscoveryCommand>,
    inputs: InputSender,
) {
    let WatchConfig { mut address, continuous, known_index } = config;
    let retry_now = Rc::new(Notify::new());
    let start_watch = |address, index| {
        let (retry_now, inputs) = (Rc::clone(&retry_now), inputs.clone());
        spawn_local(poll_in_loop(address, continuous, index, retry_now, inputs)).abort_handle()
    };
    let mut index: KnownIndex = Rc::new(Cell::new(known_index));
    let mut watch: Option<AbortHandle> = continuous.then(|| start_watch(address, Rc::clone(&index)));
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
            DiscoveryCommand::SetAddress(to) => {
                // Answers from the old address are ignored from now on. Its versions are meaningless at the new
                // address, so that is polled for the complete list at once, also if the balancer has not
                // subscribed: it then handles that list as a fetched one.
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

async fn fetch(address: SocketAddr, index: KnownIndex, inputs: InputSender) {
    forward(poll(address, None, None, &Notify::new()).await.answer, &index, &inputs);
}

/// Polls in an endless loop. After a failure, a continuous watch polls again after [`RETRY_PAUSE`]; any other when the
/// balancer says so, or else [`MAX_RETRY_DELAY`] after the start of the failed poll, but no sooner than [`RETRY_PAUSE`]
/// after its end.
async fn poll_in_loop(
    address: SocketAddr,
    continuous: bool,
    index: KnownIndex,
    retry_now: Rc<Notify>,
    inputs: InputSender,
) {
    let mut polls = Polls::default();
    loop {
        let started = Instant::now();
        polls.start(address, index.get());
        let answered = forward(polls.answer(index.get()).await, &index, &inputs);
        if answered {
            sleep_until(started + MIN_POLL_SPACING).await;
            continue;
        }
        let pause = async {
            if continuous {
                sleep(RETRY_PAUSE).await;
            } else {
                let latest = (started + MAX_RETRY_DELAY).max(Instant::now() + RETRY_PAUSE);
                let _ = timeout_at(latest, retry_now.notified()).await;
            }
        };
        tokio::select! {
            biased;
            list = polls.late_answer() => drop(forward(Ok(list), &index, &inputs)),
            () = pause => {}
        }
    }
}

/// Forwards an answer or a failure to the engine; returns whether it was an answer.
fn forward(answer: Result<ListMessage, PollError>, index: &KnownIndex, inputs: &InputSender) -> bool {
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
