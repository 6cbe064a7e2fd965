//! Where operators call: one line to a connection, one line back, or counts in many lines. Nothing is decided here.

use crate::counts;
use crate::engine::Handle;
use crate::io_failure::{IoFailure, RESOURCE_PAUSE};
use crate::persistence::at_start;
use crate::registry_watch::ListStatus;
use crate::service::Service;
use crate::state_file::StateFile;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, Notify, watch};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Callers at a time; each holds a descriptor of those in reserve. With all places taken the one that has kept its
/// line back the longest yields: a call that is whole is answered in the same turn.
const CALLERS: usize = 8;
/// A line, without its end.
const LONGEST_LINE: usize = 512;
/// A line has to be whole within this time, and its answer taken within the other.
const LINE_TIME: Duration = Duration::from_millis(2500);
const ANSWER_TIME: Duration = Duration::from_millis(500);
/// After the answer, for how long and how much is still read: closing on unread bytes would reset the connection,
/// and the caller might lose the answer.
const LINGER: Duration = Duration::from_millis(100);
const LINGER_BYTES: u64 = 16 << 10;
/// From one look at what another process was told to the next.
const LOOK: Duration = Duration::from_millis(50);
/// Why a process that is about to end says no.
const STOPPING: &str = "this process has been told to stop";

/// What operators may ask for.
#[derive(Debug, PartialEq, Eq)]
enum Call {
    /// Whether this process can serve.
    Health,
    /// Take that endpoint out.
    Cordon(String),
    /// It may serve again.
    Uncordon(String),
    /// Empty the sidecar.
    Quiesce,
    /// End of the drain.
    Resume,
    /// Status of the list from a registry.
    List,
    /// What this process has counted.
    Metrics,
}

impl Call {
    /// Reads a line; the text of a failure follows `ERR`.
    fn read(line: &[u8]) -> Result<Self, &'static str> {
        let line = std::str::from_utf8(line).map_err(|_| "not UTF-8")?;
        let mut words = line.split_ascii_whitespace();
        let call = words.next().ok_or("no call")?;
        let mut id = || words.next().map(str::to_owned).ok_or("no id");
        let call = match call {
            "cordon" => Self::Cordon(id()?),
            "uncordon" => Self::Uncordon(id()?),
            "health" => Self::Health,
            "quiesce" => Self::Quiesce,
            "resume" => Self::Resume,
            "list" => Self::List,
            "metrics" => Self::Metrics,
            _ => return Err("unknown call"),
        };
        words.next().map_or(Ok(call), |_| Err("too many arguments"))
    }
}

/// What the calls act on.
pub struct Operators {
    /// What was told so far. Held while a call takes effect: calls do so one after the other.
    pub kept: Mutex<StateFile>,
    /// Whether the sidecar is in service.
    pub service: Rc<watch::Sender<Service>>,
    /// The engine.
    pub handle: Handle,
    /// Status of the list from a registry, where one is configured.
    pub list: Option<ListStatus>,
}

impl Operators {
    /// Carries out a call, and gives what is to be said of it. Its effect holds, here and in the process after this
    /// one, once this returns well.
    async fn carry_out(&self, call: Call) -> Result<String, String> {
        let stopping = *self.service.borrow() >= Service::Stopping;
        // Whoever gets here has the engine and the clients' socket.
        if call == Call::Health {
            return if stopping { Err(STOPPING.to_owned()) } else { Ok(String::new()) };
        }
        if call == Call::List {
            let list = self.list.as_ref().map(ListStatus::summary);
            return list.ok_or_else(|| "no roster is configured".to_owned());
        }
        if call == Call::Metrics {
            return Ok(counts::text());
        }
        let kept = &mut *self.kept.lock().await;
        if stopping && call == Call::Resume && !kept.outlives() {
            return Err(STOPPING.to_owned());
        }
        match call {
            Call::Health | Call::List | Call::Metrics => {}
            Call::Quiesce => kept.change(|told| told.drained = true).await?,
            Call::Resume => kept.change(|told| told.drained = false).await?,
            Call::Cordon(id) => {
                self.known(kept, &id).await?;
                kept.change(|told| told.cordoned.extend([id])).await?;
            }
            Call::Uncordon(id) => {
                self.known(kept, &id).await?;
                kept.change(|told| told.cordoned.retain(|out| *out != id)).await?;
            }
        }
        self.take_effect(kept).await;
        Ok(String::new())
    }

    /// One that is out may be gone from the list for a while.
    async fn known(&self, kept: &StateFile, id: &str) -> Result<(), String> {
        let known = kept.state().cordoned.contains(id) || self.handle.knows(id).await;
        if known { Ok(()) } else { Err("unknown id".to_owned()) }
    }

    async fn take_effect(&self, kept: &StateFile) {
        self.handle.cordon(kept.state().cordoned.clone()).await;
        Service::drain(&self.service, kept.state().drained);
    }

    /// Follows what another process of this sidecar is told. Runs for good.
    pub async fn follow(self: Rc<Self>) {
        loop {
            sleep(LOOK).await;
            let kept = &mut *self.kept.lock().await;
            // One that can't be read now may be at the next look.
            if kept.refresh().unwrap_or(false) {
                self.take_effect(kept).await;
            }
        }
    }
}

/// Callers whose line is not whole yet, the first to come first.
type Unfinished = RefCell<BTreeMap<u64, Rc<Notify>>>;

/// Binds the address that operators call.
pub fn bind(at: SocketAddr) -> Result<TcpListener, String> {
    let bound = at_start(|| std::net::TcpListener::bind(at)).and_then(|listener| {
        listener.set_nonblocking(true)?;
        TcpListener::from_std(listener)
    });
    bound.map_err(|e| format!("cannot listen for operators on {at}: {e}"))
}

/// Answers callers. Runs for good.
pub async fn serve(listener: TcpListener, operators: Rc<Operators>) {
    let unfinished = Rc::new(Unfinished::default());
    let (open, left) = (Rc::new(Cell::new(0)), Rc::new(Notify::new()));
    for number in 0.. {
        let stream = loop {
            match listener.accept().await {
                Ok((stream, _)) => break stream,
                Err(_) => sleep(RESOURCE_PAUSE).await,
            }
        };
        while open.get() >= CALLERS {
            if let Some((_, yields)) = unfinished.borrow_mut().pop_first() {
                yields.notify_one();
            }
            left.notified().await;
        }
        open.set(open.get() + 1);
        let (operators, unfinished) = (Rc::clone(&operators), Rc::clone(&unfinished));
        let (open, left) = (Rc::clone(&open), Rc::clone(&left));
        let yields = Rc::new(Notify::new());
        unfinished.borrow_mut().insert(number, Rc::clone(&yields));
        spawn_local(async move {
            caller(stream, &operators, || drop(unfinished.borrow_mut().remove(&number)), &yields).await;
            open.set(open.get() - 1);
            left.notify_one();
        });
    }
}

async fn caller(mut stream: TcpStream, operators: &Operators, finished: impl FnOnce(), yields: &Notify) {
    let line = tokio::select! {
        biased;
        line = timeout(LINE_TIME, read_line(&mut stream)) => line.unwrap_or(Err("no whole line in time")),
        () = yields.notified() => return,
    };
    finished();
    let answer = match line.and_then(|line| Call::read(&line)) {
        Ok(call) => operators.carry_out(call).await,
        Err(what) => Err(what.to_owned()),
    };
    let answer = match answer {
        // Many lines, in the form that Prometheus reads.
        Ok(said) if said.starts_with('#') => said,
        Ok(said) if said.is_empty() => "OK\n".to_owned(),
        Ok(said) => format!("OK {said}\n"),
        Err(what) => format!("ERR {what}\n"),
    };
    let last = async {
        write_all(&mut stream, answer.as_bytes()).await?;
        stream.shutdown().await
    };
    if matches!(timeout(ANSWER_TIME, last).await, Ok(Ok(()))) {
        let rest = async { tokio::io::copy(&mut stream.take(LINGER_BYTES), &mut tokio::io::sink()).await };
        let _ = timeout(LINGER, rest).await;
    }
}

/// Writes all of it, over interruptions: the call has taken effect, and its caller is owed the answer.
async fn write_all(stream: &mut TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match stream.write(bytes).await {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(length) => bytes = &bytes[length..],
            Err(e) if IoFailure::of(&e).passes() => sleep(RESOURCE_PAUSE).await,
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// Reads up to the end of the line. What ends without one may be cut off, and half an id is another id.
async fn read_line(stream: &mut TcpStream) -> Result<Vec<u8>, &'static str> {
    let mut line = Vec::new();
    loop {
        if let Some(end) = line.iter().position(|b| *b == b'\n') {
            line.truncate(end);
            if line.last() == Some(&b'\r') {
                line.pop();
            }
        } else if line.len() <= LONGEST_LINE + 1 {
            let read = stream.take((LONGEST_LINE + 2 - line.len()) as u64).read_buf(&mut line).await;
            match read {
                Ok(length) if length > 0 => continue,
                Err(e) if IoFailure::of(&e).passes() => {
                    sleep(RESOURCE_PAUSE).await;
                    continue;
                }
                _ => return Err("the line has no end"),
            }
        }
        return if line.len() > LONGEST_LINE { Err("the line is too long") } else { Ok(line) };
    }
}

#[cfg(test)]
mod tests;
