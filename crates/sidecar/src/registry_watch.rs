//! The list from a roster, where one is configured: carries out what the rider wants. Nothing is decided here.

use crate::connection::Connection;
use crate::exchange::{Input, Inputs};
use crate::fetch;
use crate::hosts::{Host, HostList, HostStatus};
use crate::log::log_line;
use hyper::StatusCode;
use hyper::header::RETRY_AFTER;
use lotusmoor_registry_client::{
    Action, EndpointList, Entry, Event, ListUpdate, Micros, PollError, RegistryWatcher, Report, Settings,
    Status, cache_file,
};
use serde::Deserialize;
use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, sleep_until};

/// Log lines about failed calls: one in this time.
const COMPLAINT_SPACING: Duration = Duration::from_secs(5);
/// Services that can be asked for at once, and the length of each one's name.
const MOST_SERVICES: usize = 256;
const LONGEST_SERVICE: usize = 64;

/// A roster, as the configuration names it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Its replicas.
    pub addresses: Vec<SocketAddr>,
    /// Where the last good list is kept.
    pub file: Option<PathBuf>,
    /// A list that takes away more than this share is held back until it is confirmed.
    pub hold_back: Option<f64>,
    /// A list is told to be stale once it is so old.
    pub stale_after_ms: Option<u32>,
    /// The services whose servers are asked for; none for all servers.
    #[serde(default)]
    pub services: BTreeSet<String>,
}

impl Config {
    /// What can't be meant about it.
    pub fn wrong(&self) -> Option<&'static str> {
        let share = self.hold_back.is_none_or(|s| s > 0.0 && s <= 1.0);
        [
            (!self.addresses.is_empty(), "roster: addresses: at least one is wanted"),
            (share, "roster: hold_back must lie above 0 and up to 1"),
            (self.stale_after_ms != Some(0), "roster: stale_after_ms must be above 0"),
            (self.services.len() <= MOST_SERVICES, "roster: services: at most 256 can be asked for"),
            (
                self.services.iter().all(|name| is_service(name)),
                "roster: services: a name has 1 to 64 letters, digits or . _ : -",
            ),
        ]
        .into_iter()
        .find(|(fine, _)| !fine)
        .map(|(_, what)| what)
    }

    fn settings(&self) -> Settings {
        let mut settings = Settings::new(self.addresses.len());
        settings.max_removed_share = self.hold_back.unwrap_or(settings.max_removed_share);
        if let Some(ms) = self.stale_after_ms {
            settings.stale_after = Micros::from(ms) * 1000;
        }
        settings.services = self.services.iter().cloned().collect();
        settings
    }
}

/// Whether that can be a service's name. It stands in the path of calls, where nothing is escaped.
fn is_service(name: &str) -> bool {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"._:-".contains(&byte);
    (1..=LONGEST_SERVICE).contains(&name.len()) && name.bytes().all(plain)
}

/// How the list stands, for operators.
#[derive(Clone)]
pub struct Standing {
    rider: Rc<RefCell<RegistryWatcher>>,
    began: Instant,
    /// The services that are asked for.
    services: Rc<watch::Sender<BTreeSet<String>>>,
}

impl Standing {
    /// Asks for the servers of these services from now on; none for all servers.
    pub fn ask_for(&self, services: BTreeSet<String>) {
        if *self.services.borrow() != services {
            let names: Vec<&str> = services.iter().map(String::as_str).collect();
            let named = if names.is_empty() { "all".to_owned() } else { names.join(", ") };
            log_line!("roster: services asked for from now on: {named}");
            self.services.send_replace(services);
        }
    }

    /// One line: version, age, servers, whether a list is held back, and how many services are asked for, where not all
    /// servers are.
    pub fn line(&self) -> String {
        let rider = self.rider.borrow();
        let (version, servers) = rider
            .list()
            .map_or_else(|| ("none".to_owned(), 0), |known| (known.version.to_string(), known.entries.len()));
        let age = rider.age(micros(self.began)) / 1000;
        let held = u8::from(rider.withholds_list());
        let services = match self.services.borrow().len() {
            0 => String::new(),
            number => format!(" services={number}"),
        };
        format!("version={version} age_ms={age} servers={servers} held={held}{services}")
    }
}

fn micros(began: Instant) -> Micros {
    Micros::try_from(began.elapsed().as_micros()).unwrap_or(Micros::MAX)
}

/// One that has not started, and how it stands from then on.
pub fn new(config: Config, seed: u64, inputs: Inputs) -> (Riding, Standing) {
    let rider = Rc::new(RefCell::new(RegistryWatcher::new(config.settings(), seed)));
    let (services, moved) = watch::channel(config.services.clone());
    let standing = Standing { rider, began: Instant::now(), services: Rc::new(services) };
    let links = config.addresses.iter().map(|_| Rc::default()).collect();
    let (answers, answered) = mpsc::unbounded_channel();
    let riding = Riding {
        config,
        standing: standing.clone(),
        inputs,
        links,
        calls: HashMap::new(),
        answers,
        answered,
        services: moved,
        complained: None,
    };
    (riding, standing)
}

/// A connection that is kept for the next call to the same replica.
type Link = Rc<RefCell<Option<Connection>>>;

/// What carries a rider's actions out.
pub struct Riding {
    config: Config,
    standing: Standing,
    inputs: Inputs,
    links: Vec<Link>,
    calls: HashMap<u64, AbortHandle>,
    answers: mpsc::UnboundedSender<Event>,
    answered: mpsc::UnboundedReceiver<Event>,
    services: watch::Receiver<BTreeSet<String>>,
    complained: Option<Instant>,
}

impl Riding {
    /// Runs for good. What stands in the file is in use at once.
    pub async fn run(mut self) {
        let known = self.load();
        self.handle(Event::Start(known));
        loop {
            let next = self.standing.rider.borrow().next_timer();
            let timer = async {
                match next {
                    Some(at) => {
                        sleep_until(self.standing.began + Duration::from_micros(at.max(0).unsigned_abs()))
                            .await;
                    }
                    None => std::future::pending().await,
                }
            };
            let event = tokio::select! {
                event = self.answered.recv() => event.unwrap_or(Event::Timer),
                Ok(()) = self.services.changed() => {
                    Event::ServicesChanged(self.services.borrow_and_update().iter().cloned().collect())
                }
                () = timer => Event::Timer,
            };
            self.handle(event);
        }
    }

    fn load(&self) -> Option<EndpointList> {
        match cache_file::load(self.config.file.as_ref()?) {
            Ok(Some((known, age))) => {
                let (version, servers, age) = (known.version, known.entries.len(), age.as_secs());
                log_line!("roster: list {version} of {servers} servers from the file, {age} s old");
                Some(known)
            }
            Ok(None) => None,
            Err(what) => {
                log_line!("roster: the file can't be used: {what}");
                None
            }
        }
    }

    fn handle(&mut self, event: Event) {
        if let Event::Response { poll: ask, .. } | Event::PollFailed { poll: ask, .. } = &event {
            self.calls.remove(ask);
        }
        let mut actions = Vec::new();
        self.standing.rider.borrow_mut().handle(micros(self.standing.began), event, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Poll { poll: ask, replica: roster, after, wait } => {
                let path = self.standing.rider.borrow().poll_path(after, wait);
                let (at, link) = (self.config.addresses[roster], Rc::clone(&self.links[roster]));
                let answers = self.answers.clone();
                let call = spawn_local(async move {
                    // The loop that takes it ends only with the process.
                    let _ = answers.send(call(ask, at, link, &path).await);
                });
                self.calls.insert(ask, call.abort_handle());
            }
            Action::CancelPoll(ask) => {
                if let Some(call) = self.calls.remove(&ask) {
                    call.abort();
                }
            }
            Action::Apply(applied) => {
                let endpoints = applied.entries.into_iter().map(host).collect();
                let (index, snapshot) = (applied.version.index, applied.full);
                self.inputs.send(Input::Hosts(HostList { index, snapshot, endpoints, unreadable: None }));
            }
            Action::Save => self.save(),
            Action::Report(report) => self.report(report),
        }
    }

    /// On a thread of its own, as a disk may take its time.
    fn save(&self) {
        let known = self.standing.rider.borrow().list().cloned();
        if let (Some(path), Some(known)) = (self.config.file.clone(), known) {
            tokio::task::spawn_blocking(move || {
                if let Err(what) = cache_file::save(&path, &known) {
                    log_line!("roster: the list can't be kept: {what}");
                }
            });
        }
    }

    fn report(&mut self, report: Report) {
        let at = |roster: usize| self.config.addresses[roster];
        let line = match report {
            Report::PollFailed { replica: roster, error: what } => {
                if self.complained.is_some_and(|last| last.elapsed() < COMPLAINT_SPACING) {
                    return;
                }
                self.complained = Some(Instant::now());
                format!("{}: {what}", at(roster))
            }
            Report::OlderVersion { replica: roster, version: told } => {
                format!("{}: list {told} is older than what is known", at(roster))
            }
            Report::DigestMismatch { replica: roster, version: told } => {
                format!("{}: list {told} is not what others have as {told}", at(roster))
            }
            Report::UnreadableEntry(what) => format!("entry left out: {what}"),
            Report::Withheld { replica: roster, version: told, removed: lost, of } => {
                format!("{}: list {told} takes away {lost} of {of} servers, and is held back", at(roster))
            }
            Report::Confirmed(roster) => format!("{}: what was held back is confirmed", at(roster)),
            Report::Unconfirmed(roster) => {
                format!("{}: has another list than what was held back", at(roster))
            }
            Report::NoServers(service) => format!("service {service} has no servers"),
            Report::Stale(age) => format!("the list is {} s old, and stays in use", age / 1_000_000),
            Report::Fresh => "the list is up to date again".to_owned(),
        };
        log_line!("roster: {line}");
    }
}

async fn call(ask: u64, at: SocketAddr, link: Link, path: &str) -> Event {
    let failed = |error, retry_after| Event::PollFailed { poll: ask, retry_after, error };
    // One call of a pair that is hedged may go to a replica whose link is in use; it opens one of its own.
    let mut kept = link.borrow_mut().take();
    let answer = fetch::get(at, &mut kept, path).await;
    if kept.is_some() {
        *link.borrow_mut() = kept;
    }
    match answer {
        Ok((StatusCode::OK, _, body)) => match ListUpdate::from_json(&body) {
            Ok(update) => Event::Response { poll: ask, update },
            Err(e) => failed(e.into(), None),
        },
        Ok((status, headers, _)) => {
            let told = headers.get(RETRY_AFTER).and_then(|v| v.to_str().ok()?.parse::<f64>().ok());
            let told = told.filter(|s| s.is_finite() && *s >= 0.0).map(|s| (s.min(60.0) * 1e6) as Micros);
            failed(PollError::Status(status.as_u16()), told)
        }
        Err(what) => failed(PollError::connection(what), None),
    }
}

fn host(entry: Entry) -> Host {
    Host {
        name: entry.name,
        address: Some(entry.address),
        zone: entry.zone,
        kind: entry.machine_type,
        group: entry.cell,
        status: match entry.status {
            Status::Active => HostStatus::Active,
            Status::Draining => HostStatus::Leaving,
            Status::Removed => HostStatus::Left,
        },
        weight: entry.weight,
        since_ms: entry.started_ms,
    }
}
