//! A replica: the log, the list, the leader's leases and what it knows of its own age, put together. It is driven by
//! tokio's clock, so that the explorer can run it on a paused one, and calls others through a [`Transport`].

use crate::core::flap::FlapDamping;
use crate::core::freshness::{Freshness, ReadConsistency};
use crate::core::lease::{self, LeaseTracker, Renewal};
use crate::core::{Command, Outcome, Refusal};
use crate::core::{Micros, SECOND};
use crate::raft::transport::Envelope;
use crate::raft::{CallError, LogEntry, Peers, Raft, Replica, Rpc, Target, Transport, Types};
use crate::store::{Machine, Shared, Store, StoreError};
use lotusmoor_registry_client::ListUpdate;
use openraft::error::{CheckIsLeaderError, ClientWriteError, Fatal, InitializeError, RaftError};
use openraft::raft::{AppendEntriesRequest, InstallSnapshotRequest, VoteRequest};
use openraft::{ChangeMembers, EntryPayload, ServerState, SnapshotPolicy};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};

/// How a replica behaves.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its number.
    pub id: u64,
    /// Where others reach it.
    pub address: String,
    /// Time between two heartbeats of a leader.
    pub heartbeat: Duration,
    /// A replica that has heard nothing for so long, drawn between the two, wants to lead.
    pub election: (Duration, Duration),
    /// How often leases are looked through.
    pub tick: Duration,
    /// How often the leader is asked how far the log is committed.
    pub refresh: Duration,
    /// A write, or a call to the leader, that takes longer has failed.
    pub patience: Duration,
    /// Leases.
    pub leases: lease::Settings,
    /// Lists older than the first are marked, older than the second refused.
    pub ages: (Micros, Micros),
    /// A snapshot is made after so many entries of the log, and so many before it are kept.
    pub snapshot_every: u64,
    /// Entries kept before a snapshot, for replicas that lag a little.
    pub keep: u64,
    /// How often this process has opened its store anew, as its disk had failed.
    pub reopened: u64,
}

impl Settings {
    /// For a replica of that number at that address.
    pub fn new(id: u64, address: String) -> Self {
        Self {
            id,
            address,
            heartbeat: Duration::from_millis(200),
            election: (Duration::from_millis(700), Duration::from_millis(1400)),
            tick: Duration::from_millis(250),
            refresh: Duration::from_millis(500),
            patience: Duration::from_secs(2),
            leases: lease::Settings::default(),
            ages: (3 * SECOND, 30 * SECOND),
            snapshot_every: 4000,
            keep: 1000,
            reopened: 0,
        }
    }
}

/// Why a replica can't be started.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// Its file.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// The log's own settings.
    #[error("{0}")]
    Settings(String),
    /// openraft has stopped.
    #[error("{0}")]
    Stopped(String),
}

/// Why a write did not come to hold, as far as is known.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Deserialize, Serialize)]
pub enum WriteError {
    /// Nobody leads, or nobody known here: it was not written.
    #[error("no leader")]
    NoLeader,
    /// It may have been written.
    #[error("it may have been written: {0}")]
    Unknown(String),
    /// That server changes the list too often: it was not written, and may be again after so many microseconds.
    #[error("this server changes the list too often")]
    TooOften(Micros),
    /// The replica has stopped, as its disk failed say.
    #[error("{0}")]
    Stopped(String),
}

/// What a replica gives to a reader.
pub struct Read {
    /// Whether and how it may be used.
    pub reading: ReadConsistency,
    /// The list, or changes.
    pub update: ListUpdate,
}

/// The leases, and for which term and up to which version they are kept.
struct Leading {
    leases: LeaseTracker,
    term: Option<u64>,
    seen: u64,
}

struct Inner<T> {
    settings: Settings,
    own: Replica,
    raft: Raft,
    store: Store,
    shared: Arc<Shared>,
    peers: Peers<T>,
    leading: Mutex<Leading>,
    flaps: Mutex<FlapDamping>,
    freshness: Mutex<Freshness>,
    began: Instant,
    /// Held by whoever changes who belongs.
    changing: tokio::sync::Mutex<()>,
    tasks: Mutex<JoinSet<()>>,
}

/// A replica.
pub struct Node<T>(Arc<Inner<T>>);

impl<T> Clone for Node<T> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

fn lock<V>(of: &Mutex<V>) -> MutexGuard<'_, V> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<T: Transport> Node<T> {
    /// Starts one over its file. `drawn` is its identity where the file has none yet.
    pub async fn start(
        settings: Settings,
        store: Store,
        transport: T,
        drawn: u64,
    ) -> Result<Self, NodeError> {
        store.verify()?;
        let identity = store.identity(settings.id, drawn)?;
        let own = Replica { address: settings.address.clone(), identity };
        let ms = |d: Duration| u64::try_from(d.as_millis()).unwrap_or(u64::MAX);
        let config = openraft::Config {
            cluster_name: "roster".into(),
            heartbeat_interval: ms(settings.heartbeat),
            election_timeout_min: ms(settings.election.0),
            election_timeout_max: ms(settings.election.1),
            install_snapshot_timeout: ms(settings.patience),
            snapshot_policy: SnapshotPolicy::LogsSinceLast(settings.snapshot_every),
            max_in_snapshot_log_to_keep: settings.keep,
            max_payload_entries: 64,
            snapshot_max_chunk_size: 1 << 20,
            ..openraft::Config::default()
        };
        let config = config.validate().map_err(|e| NodeError::Settings(e.to_string()))?;
        let (machine, shared) = Machine::open(store.clone())?;
        let peers = Peers { transport, id: settings.id, own: own.clone() };
        let raft = Raft::new(settings.id, Arc::new(config), peers.clone(), store.clone(), machine);
        let raft = raft.await.map_err(|e| NodeError::Stopped(e.to_string()))?;
        let leading = Leading { leases: LeaseTracker::new(settings.leases.clone()), term: None, seen: 0 };
        let inner = Inner {
            freshness: Mutex::new(Freshness::new(settings.ages.0, settings.ages.1)),
            settings,
            own,
            raft,
            store,
            shared,
            peers,
            leading: Mutex::new(leading),
            flaps: Mutex::default(),
            began: Instant::now(),
            changing: tokio::sync::Mutex::default(),
            tasks: Mutex::default(),
        };
        let node = Self(Arc::new(inner));
        node.spawn_tasks();
        Ok(node)
    }

    fn spawn_tasks(&self) {
        let mut tasks = lock(&self.0.tasks);
        let node = self.clone();
        let mut applied = self.0.shared.applied();
        tasks.spawn(async move {
            loop {
                let index = *applied.borrow_and_update();
                lock(&node.0.freshness).record_applied(index);
                if applied.changed().await.is_err() {
                    return;
                }
            }
        });
        let every = |period| {
            let mut ticks = interval(period);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            ticks
        };
        let (node, mut ticks) = (self.clone(), every(self.0.settings.tick));
        tasks.spawn(async move {
            loop {
                ticks.tick().await;
                node.look_after_leases().await;
            }
        });
        let node = self.clone();
        tasks.spawn(async move {
            loop {
                node.refresh().await;
                // A replica that has just started tells nothing until it knows: it asks more often.
                let known = node.age().is_some();
                let pause = node.0.settings.refresh;
                tokio::time::sleep(if known { pause } else { pause / 10 }).await;
            }
        });
    }

    /// Whether it has stopped as its store failed.
    pub fn store_failed(&self) -> bool {
        let running = self.0.raft.metrics().borrow().running_state.clone();
        matches!(running, Err(Fatal::StorageError(_)))
    }

    /// Ends it, as a process's end would; what is on disk stays.
    pub async fn stop(&self) {
        lock(&self.0.tasks).abort_all();
        let _ = self.0.raft.shutdown().await;
    }

    /// Microseconds since it started.
    pub fn now(&self) -> Micros {
        Micros::try_from(self.0.began.elapsed().as_micros()).unwrap_or(Micros::MAX)
    }

    /// Its settings.
    pub fn settings(&self) -> &Settings {
        &self.0.settings
    }

    /// Who it is.
    pub fn own(&self) -> &Replica {
        &self.0.own
    }

    /// The list with its place in the log.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.0.shared
    }

    /// Its file.
    pub fn store(&self) -> &Store {
        &self.0.store
    }

    /// The log.
    pub fn raft(&self) -> &Raft {
        &self.0.raft
    }

    /// Servers whose lease ran out, and that stay as too many others go.
    pub fn waiting_to_expire(&self) -> usize {
        lock(&self.0.leading).leases.deferred()
    }

    /// The leader, as far as is known here.
    pub fn leader(&self) -> Option<u64> {
        self.0.raft.metrics().borrow().current_leader
    }

    fn leader_target(&self) -> Option<Target> {
        let metrics = self.0.raft.metrics();
        let metrics = metrics.borrow();
        let id = metrics.current_leader?;
        let replica = metrics.membership_config.membership().get_node(&id)?;
        Some(Target { id, address: replica.address.clone() })
    }

    // ---- Leases ----

    async fn look_after_leases(&self) {
        let (state, term, leader) = {
            let metrics = self.0.raft.metrics();
            let m = metrics.borrow();
            (m.state, m.current_term, m.current_leader)
        };
        let leads = state == ServerState::Leader && leader == Some(self.0.settings.id);
        let due = {
            let now = self.now();
            let state = self.0.shared.state();
            let mut leading = lock(&self.0.leading);
            if !leads {
                if leading.term.take().is_some() {
                    leading.leases.stop_leading();
                }
                return;
            }
            if leading.term != Some(term) {
                leading.term = Some(term);
                leading.leases.start_leading(now, state.list.entries().values());
            } else {
                let (changed, left) = state.list.changed_after(leading.seen);
                let left: Vec<String> = left.map(str::to_owned).collect();
                changed.for_each(|kept| leading.leases.update(now, kept));
                left.iter().for_each(|name| leading.leases.remove(name));
            }
            leading.seen = state.list.version().index;
            leading.leases.take_expired(now, state.list.active())
        };
        self.finish_change().await;
        if !due.is_empty() {
            tracing::info!("{} leases have run out", due.len());
            // One that is not written is proposed again later.
            let _ = self.write_here(Command::Expire { leases: due, at_ms: unix_ms() }).await;
        }
    }

    /// Ends a change of who belongs that a leader before this one has begun and not ended. Until then a majority of
    /// those before and one of those after are both wanted, and the one that was to be taken in may be all that is
    /// missing.
    async fn finish_change(&self) {
        let half_done = {
            let metrics = self.0.raft.metrics();
            let metrics = metrics.borrow();
            let joint = metrics.membership_config.membership().get_joint_config();
            joint.get(1).cloned()
        };
        let (Some(voters), Ok(_alone)) = (half_done, self.0.changing.try_lock()) else { return };
        tracing::warn!("a change of who belongs was left half done: replicas {voters:?} vote from now on");
        let change = ChangeMembers::ReplaceAllVoters(voters);
        let _ = timeout(self.0.settings.patience, self.0.raft.change_membership(change, true)).await;
    }

    /// A server says that it is there.
    pub async fn renew(&self, name: &str) -> Result<Renewal, WriteError> {
        let leader = self.leader_target().ok_or(WriteError::NoLeader)?;
        if leader.id == self.0.settings.id {
            return self.renew_here(name);
        }
        let answer: Result<Result<bool, WriteError>, CallError> =
            self.0.peers.call(&leader, Rpc::Renew, name, self.0.settings.patience).await;
        let held = answer.map_err(|e| WriteError::Unknown(e.to_string()))??;
        Ok(if held { Renewal::Renewed } else { Renewal::Unknown })
    }

    fn renew_here(&self, name: &str) -> Result<Renewal, WriteError> {
        // Before the leases are looked at: the list is always locked first.
        let for_good = self.0.shared.state().list.entries().get(name).is_some_and(|k| k.lease_ms == 0);
        let mut leading = lock(&self.0.leading);
        if leading.term.is_none() {
            return Err(WriteError::NoLeader);
        }
        let renewal = leading.leases.renew(self.now(), name);
        Ok(if for_good { Renewal::Renewed } else { renewal })
    }

    // ---- Writes ----

    /// Carries a command out: at the leader, wherever that is.
    pub async fn write(&self, command: Command) -> Result<Outcome, WriteError> {
        let command = command.into_log_form();
        let leader = self.leader_target().ok_or(WriteError::NoLeader)?;
        if leader.id == self.0.settings.id {
            return self.write_here(command).await;
        }
        let answer: Result<Result<Outcome, WriteError>, CallError> =
            self.0.peers.call(&leader, Rpc::Write, command, 2 * self.0.settings.patience).await;
        match answer {
            Ok(outcome) => outcome,
            Err(CallError::Unreached(_) | CallError::TurnedDown(_)) => Err(WriteError::NoLeader),
            Err(error) => Err(WriteError::Unknown(error.to_string())),
        }
    }

    async fn write_here(&self, command: Command) -> Result<Outcome, WriteError> {
        let command = command.into_log_form();
        if command.has_services() && !self.0.store.format().has_services() {
            let what = "services can't be written with this format: start all replicas without it first";
            return Ok(Outcome::Refused(Refusal::Invalid(what.into())));
        }
        let named = match command.unwrapped() {
            Command::Drain { name, .. } | Command::Resume { name, .. } | Command::Remove { name, .. } => {
                Some(name)
            }
            Command::Register { servers, .. } if servers.len() == 1 => servers.first().map(|s| &s.entry.name),
            _ => None,
        };
        if let Some(name) = named {
            lock(&self.0.flaps).try_change(self.now(), name).map_err(WriteError::TooOften)?;
        }
        let put: Vec<String> = match command.unwrapped() {
            Command::Register { servers, .. } => servers.iter().map(|s| s.entry.name.clone()).collect(),
            _ => Vec::new(),
        };
        let written = timeout(self.0.settings.patience, self.0.raft.client_write(command)).await;
        match written {
            Ok(Ok(response)) => {
                if matches!(response.data, Outcome::Applied { .. }) {
                    let (mut leading, now) = (lock(&self.0.leading), self.now());
                    for name in put {
                        leading.leases.renew(now, &name);
                    }
                }
                Ok(response.data)
            }
            // Also one that was proposed before the lead was lost is told to go elsewhere.
            Ok(Err(RaftError::APIError(ClientWriteError::ForwardToLeader(_)))) => {
                Err(WriteError::Unknown("the lead was lost".into()))
            }
            Ok(Err(RaftError::APIError(error))) => Err(WriteError::Unknown(error.to_string())),
            Ok(Err(RaftError::Fatal(fatal))) => Err(WriteError::Stopped(fatal.to_string())),
            Err(_) => Err(WriteError::Unknown("not at a majority in time".into())),
        }
    }

    // ---- Reads ----

    /// The list as this replica has it, or what changed since, with its age.
    pub fn read(&self, after: Option<u64>) -> Read {
        // The age first: what is applied meanwhile only makes the list newer.
        let reading = lock(&self.0.freshness).consistency(self.now());
        let update = self.0.shared.state().list.update(after);
        self.with_age(reading, update)
    }

    fn with_age(&self, reading: ReadConsistency, mut update: ListUpdate) -> Read {
        update.replica = self.0.settings.id;
        if let ReadConsistency::Fresh(age) | ReadConsistency::Stale(age) = reading {
            update.age_ms = u64::try_from(age / 1000).unwrap_or(0);
        }
        Read { reading, update }
    }

    /// The same of these services alone, which stand in order of their names.
    pub fn read_of(&self, after: Option<u64>, services: &[String]) -> Read {
        let reading = lock(&self.0.freshness).consistency(self.now());
        let update = self.0.shared.state().list.update_for_services(after, services);
        self.with_age(reading, update)
    }

    /// Whether and how the list may be used now.
    pub fn read_age(&self) -> ReadConsistency {
        lock(&self.0.freshness).consistency(self.now())
    }

    /// How old the list can be.
    pub fn age(&self) -> Option<Micros> {
        lock(&self.0.freshness).age(self.now())
    }

    /// The list with all that was acknowledged before this call.
    pub async fn read_latest(&self) -> Result<ListUpdate, WriteError> {
        self.read_latest_of(None).await
    }

    /// The same of these services alone, where some are named.
    pub async fn read_latest_of(&self, services: Option<&[String]>) -> Result<ListUpdate, WriteError> {
        let asked = self.now();
        let index = self.committed().await?;
        let mut applied = self.0.shared.applied();
        let caught_up = timeout(self.0.settings.patience, applied.wait_for(|at| *at >= index)).await;
        if !matches!(caught_up, Ok(Ok(_))) {
            return Err(WriteError::NoLeader);
        }
        lock(&self.0.freshness).record_committed(asked, index);
        let mut update = {
            let list = &self.0.shared.state().list;
            services.map_or_else(|| list.update(None), |s| list.update_for_services(None, s))
        };
        update.replica = self.0.settings.id;
        update.age_ms = u64::try_from((self.now() - asked) / 1000).unwrap_or(0);
        Ok(update)
    }

    /// Up to where the log is committed, as its leader says that still leads.
    async fn committed(&self) -> Result<u64, WriteError> {
        let leader = self.leader_target().ok_or(WriteError::NoLeader)?;
        if leader.id == self.0.settings.id {
            return self.committed_here().await;
        }
        let answer: Result<Result<u64, WriteError>, CallError> =
            self.0.peers.call(&leader, Rpc::Committed, (), self.0.settings.patience).await;
        answer.map_err(|_| WriteError::NoLeader)?
    }

    async fn committed_here(&self) -> Result<u64, WriteError> {
        match timeout(self.0.settings.patience, self.0.raft.get_read_log_id()).await {
            Ok(Ok((read, _))) => Ok(read.map_or(0, |l| l.index)),
            Ok(Err(RaftError::APIError(CheckIsLeaderError::ForwardToLeader(_)))) => Err(WriteError::NoLeader),
            Ok(Err(RaftError::Fatal(fatal))) => Err(WriteError::Stopped(fatal.to_string())),
            Ok(Err(_)) | Err(_) => Err(WriteError::NoLeader),
        }
    }

    async fn refresh(&self) {
        let asked = self.now();
        if let Ok(index) = self.committed().await {
            lock(&self.0.freshness).record_committed(asked, index);
        }
    }

    // ---- Other replicas ----

    /// Answers a call of another replica; the text of a failure goes back to it.
    pub async fn serve(&self, rpc: Rpc, bytes: &[u8]) -> Result<Vec<u8>, String> {
        let answer = match rpc {
            Rpc::Append => {
                let body: AppendEntriesRequest<Types> = self.open(bytes, false)?;
                let services =
                    |e: &LogEntry| matches!(&e.payload, EntryPayload::Normal(c) if c.has_services());
                if !self.0.store.format().has_services() && body.entries.iter().any(services) {
                    return Err("an entry has services, which this replica's format can't hold".into());
                }
                serde_json::to_vec(&self.0.raft.append_entries(body).await)
            }
            Rpc::Vote => {
                let body: VoteRequest<_> = self.open(bytes, true)?;
                serde_json::to_vec(&self.0.raft.vote(body).await)
            }
            Rpc::Snapshot => {
                let body: InstallSnapshotRequest<_> = self.open(bytes, false)?;
                serde_json::to_vec(&self.0.raft.install_snapshot(body).await)
            }
            Rpc::Committed => {
                let () = self.open(bytes, true)?;
                serde_json::to_vec(&self.committed_here().await)
            }
            Rpc::Write => {
                let command: Command = self.open(bytes, true)?;
                serde_json::to_vec(&self.write_here(command).await)
            }
            Rpc::Renew => {
                let name: String = self.open(bytes, true)?;
                serde_json::to_vec(&self.renew_here(&name).map(|r| r == Renewal::Renewed))
            }
        };
        answer.map_err(|e| e.to_string())
    }

    /// Takes a call out of its envelope, if it is for this replica and from who it says.
    fn open<B: DeserializeOwned>(&self, bytes: &[u8], member: bool) -> Result<B, String> {
        let envelope: Envelope<B> = serde_json::from_slice(bytes).map_err(|e| e.to_string())?;
        if envelope.to != self.0.settings.id {
            return Err(format!("this is replica {}, not {}", self.0.settings.id, envelope.to));
        }
        let state = self.0.shared.state();
        let membership = state.membership.membership();
        let caller = Replica { address: envelope.address, identity: envelope.identity };
        match membership.get_node(&envelope.from) {
            Some(known) if *known != caller => {
                let what = format!(
                    "two replicas have the number {}: the one at {} is not the one that belongs here, at {}",
                    envelope.from, caller.address, known.address
                );
                tracing::error!("{what}");
                Err(what)
            }
            // One that was removed may not know it. A replica that has just been made knows nobody.
            None if member && membership.nodes().next().is_some() => {
                Err(format!("replica {} does not belong here", envelope.from))
            }
            _ => Ok(envelope.body),
        }
    }

    // ---- Who belongs ----

    /// Founds a list with this replica alone, of an epoch that is new, where it is not founded yet; with the list of a
    /// backup where one is given. Whether it has.
    pub async fn found(&self, epoch: u64, from: Option<Box<crate::core::List>>) -> Result<bool, NodeError> {
        let stopped = |e: String| NodeError::Stopped(e);
        let only = BTreeMap::from([(self.0.settings.id, self.0.own.clone())]);
        match self.0.raft.initialize(only).await {
            Ok(()) | Err(RaftError::APIError(InitializeError::NotAllowed(_))) => {}
            Err(error) => return Err(stopped(error.to_string())),
        }
        let leads = self.0.raft.wait(Some(Duration::from_secs(30)));
        leads.state(ServerState::Leader, "founding").await.map_err(|e| stopped(e.to_string()))?;
        // What its log holds from before counts: it may have been founded, and not have heard of that.
        self.0.raft.ensure_linearizable().await.map_err(|e| stopped(e.to_string()))?;
        if self.0.shared.state().list.version().epoch > 0 {
            return Ok(false);
        }
        match self.write_here(Command::Bootstrap { epoch, backup: from }).await {
            Ok(Outcome::Applied { .. }) => Ok(true),
            other => Err(stopped(format!("the list could not be founded: {other:?}"))),
        }
    }

    /// Whether this replica belongs to a list.
    pub async fn belongs(&self) -> bool {
        self.0.raft.is_initialized().await.unwrap_or(false)
    }

    /// Whether this replica alone votes: it founds a list, or has founded one that nobody else was taken into yet.
    pub fn votes_alone(&self) -> bool {
        let metrics = self.0.raft.metrics();
        let membership = Arc::clone(&metrics.borrow().membership_config);
        let mut voters = membership.voter_ids();
        voters.next() == Some(self.0.settings.id) && voters.next().is_none()
    }

    /// Takes a replica in, at the leader: it gets the list first, and votes from then on.
    pub async fn take_in(&self, id: u64, replica: Replica) -> Result<(), String> {
        let known = self.0.shared.state().membership.membership().get_node(&id).cloned();
        if let Some(known) = known
            && known != replica
        {
            return Err(format!(
                "replica {id} is the one at {}: a new one needs a number of its own",
                known.address
            ));
        }
        let _alone = self.0.changing.lock().await;
        let learner = self.0.raft.add_learner(id, replica, true).await;
        learner.map_err(|e| e.to_string())?;
        let voters = ChangeMembers::AddVoterIds(BTreeSet::from([id]));
        self.0.raft.change_membership(voters, true).await.map(drop).map_err(|e| e.to_string())
    }

    /// Removes a replica for good, at the leader.
    pub async fn put_out(&self, id: u64) -> Result<(), String> {
        let voters = self.0.raft.metrics().borrow().membership_config.voter_ids().collect::<BTreeSet<_>>();
        if voters.len() < 2 && voters.contains(&id) {
            return Err("the last replica can't be removed".into());
        }
        let _alone = self.0.changing.lock().await;
        let change = ChangeMembers::RemoveVoters(BTreeSet::from([id]));
        self.0.raft.change_membership(change, false).await.map(drop).map_err(|e| e.to_string())
    }
}

/// Unix time in milliseconds, for the history that people read.
pub fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
