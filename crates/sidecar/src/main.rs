//! A sidecar load balancer on real sockets. One thread; every task shares it.

mod body;
mod config;
mod connection;
mod connection_age;
mod counts;
mod discovery;
mod engine;
mod exchange;
mod fetch;
mod handover;
mod hosts;
mod idle;
mod ids;
mod inbound;
mod io_failure;
mod limits;
mod log;
mod management;
mod memory;
mod peers;
mod persistence;
mod presence;
mod registry_watch;
mod request;
mod room;
mod send_gate;
mod service;
mod start_times;
mod state_file;
mod upstream;
mod write_progress;

use config::{Config, ConfigError, Reread};
use engine::{Engine, Handle};
use log::log_line;
use management::Operators;
use persistence::{Backoff, at_start};
use registry_watch::ListStatus;
use service::Service;
use state_file::StateFile;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Mutex, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

/// How long new connections are accepted after SIGTERM: clients go on opening them for up to 400 ms.
const ACCEPT_AFTER_TERM: Duration = Duration::from_millis(500);
/// SIGKILL comes no sooner than the longest deadline, held to `LONGEST_GRACE`, and 700 ms more after SIGTERM:
/// what is unanswered this long after the deadline is failed, so that the answer is out before that.
const ANSWER_AFTER_TERM: Duration = Duration::from_millis(500);
const LONGEST_GRACE: Duration = Duration::from_secs(3);
/// From a reload that could not be read to the next try: at first, and at the longest.
const RELOAD_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_RELOAD_PAUSE: Duration = Duration::from_secs(1);
/// Time for the last answers to leave.
const LAST_WRITES: Duration = Duration::from_millis(80);

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            log_line!("{what}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), String> {
    let passed = handover::passed()?;
    let config = Config::from_env()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| format!("cannot start the runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, serve(config, passed))
}

/// Does as a new configuration says.
fn follow(reread: &Reread, engine: &Handle, list_status: Option<&ListStatus>) {
    let at = reread.discovery;
    log_line!("configuration read again, discovery at {at}");
    engine.move_discovery(at);
    // One that was not there at the start, or is not named any more, is the next process's.
    if let (Some(list_status), Some(services)) = (list_status, &reread.services) {
        list_status.watch_services(services.clone());
    }
}

async fn serve(config: Config, passed: Option<std::net::TcpListener>) -> Result<(), String> {
    // First of all, as unhandled it would end the process.
    let mut hup = signal(SignalKind::hangup()).map_err(|e| format!("cannot await SIGHUP: {e}"))?;
    let shared_socket = passed.is_some();
    let listener = match passed {
        Some(listener) => TcpListener::from_std(listener),
        None => at_start(|| inbound::bind(config.listen)),
    };
    let listener = listener.map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;
    let operators = match config.management {
        Some(at) => Some(management::bind(at)?),
        None => None,
    };
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("cannot await SIGTERM: {e}"))?;
    let mut int = signal(SignalKind::interrupt()).map_err(|e| format!("cannot await SIGINT: {e}"))?;
    let peers = match config.peer_listen {
        Some(at) => Some(
            at_start(|| peers::Peers::bind(at, &config.peers, config.peers_all))
                .map_err(|e| format!("cannot bind {at}: {e}"))?,
        ),
        None => None,
    };
    let longest = config.longest_deadline().min(LONGEST_GRACE);
    // With a socket that is passed on, the process before this one or after it may run beside it.
    let limits = config.limits(if shared_socket { 2 } else { 1 });
    let lanes = request::Lanes::of(&config);
    let kept = if shared_socket { StateFile::shared(config.listen) } else { StateFile::alone() };
    let (engine, handle, list) = Engine::new(config, limits, peers, kept.state().cordoned.clone())?;
    let (reloading, list_status) = (handle.clone(), list.clone());
    let at_first = if kept.state().drained { Service::Draining } else { Service::Serving };
    let (service, in_service) = watch::channel(at_first);
    let service = Rc::new(service);
    let mut running = spawn_local(engine.run());
    let shared = inbound::Shared {
        lanes,
        handle,
        memory: memory::Memory::new(limits.bodies),
        ids: ids::Ids::default(),
        service: in_service,
        stall: upstream::STALL,
    };
    let accepting = spawn_local(inbound::accept(listener, shared_socket, limits.clients, Rc::new(shared)));
    let told =
        Operators { kept: Mutex::new(kept), service: Rc::clone(&service), handle: reloading.clone(), list };
    let told = Rc::new(told);
    if shared_socket {
        spawn_local(Rc::clone(&told).follow());
    }
    if let Some(listener) = operators {
        spawn_local(management::serve(listener, told));
    }

    // A reload that was asked for and could not be read yet.
    let mut reload: Option<(Instant, Backoff)> = None;
    loop {
        let due = reload.as_ref().map_or_else(Instant::now, |(at, _)| *at);
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            _ = hup.recv() => reload = Some((Instant::now(), Backoff::new(RELOAD_PAUSE, LONGEST_RELOAD_PAUSE))),
            () = sleep_until(due), if reload.is_some() => match Config::read_again() {
                Ok(reread) => {
                    reload = None;
                    follow(&reread, &reloading, list_status.as_ref());
                }
                Err(ConfigError::Unusable(what)) => {
                    reload = None;
                    log_line!("the configuration stays as it was: {what}");
                }
                Err(ConfigError::Unreadable(what)) => {
                    if let Some((at, backoff)) = &mut reload {
                        let pause = backoff.pause();
                        log_line!("{what}: it is read again in {} ms", pause.as_millis());
                        *at = Instant::now() + pause;
                    }
                }
            },
            // Without its decisions a sidecar only fails requests: better to end, and be started anew.
            _ = &mut running => return Err("the engine has failed".to_owned()),
        }
    }
    let told = Instant::now();
    log_line!("told to stop");
    service.send_replace(Service::Stopping);
    // Who still connects to a socket that others hold as well is theirs to serve.
    if !shared_socket {
        sleep(ACCEPT_AFTER_TERM).await;
    }
    service.send_replace(Service::Closed);
    // Ends once every connection has.
    let all_closed = async {
        if accepting.await.is_ok() {
            service.closed().await;
        }
    };
    tokio::pin!(all_closed);
    tokio::select! {
        () = &mut all_closed => return Ok(()),
        () = sleep_until(told + longest + ANSWER_AFTER_TERM) => {}
    }
    service.send_replace(Service::Now);
    let _ = tokio::time::timeout(LAST_WRITES, all_closed).await;
    Ok(())
}
