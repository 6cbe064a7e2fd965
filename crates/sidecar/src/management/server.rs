//! Serves the connections of operators.

use super::call::{Call, LineError};
use super::operations::{Management, Reply};
use crate::io_failure::{IoFailure, RESOURCE_PAUSE};
use crate::retry::retry_at_startup;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Maximum number of open connections; each takes one of the file descriptors in reserve. When another caller
/// connects, the one that has been sending its line for the longest time is closed; if its line is complete by then,
/// it is answered.
const MAX_CALLERS: usize = 8;
/// Maximum length of a line, without its line end.
const MAX_LINE_BYTES: usize = 512;
/// Time limit for receiving a complete line.
const LINE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time limit for sending the answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a connection is still read after the answer: closing it with unread bytes would reset it, and the caller
/// might lose the answer.
const LINGER_TIME: Duration = Duration::from_millis(100);
/// Maximum number of bytes that are still read then.
const LINGER_BYTES: u64 = 16 << 10;

/// Callers whose line is not complete yet, by connection number, which is the order of arrival.
type UnfinishedCallers = RefCell<BTreeMap<u64, Rc<Notify>>>;

/// Binds the address that operators call.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = retry_at_startup(|| std::net::TcpListener::bind(address))?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Accepts and answers callers. Never returns.
pub async fn serve(listener: TcpListener, management: Rc<Management>) {
    let unfinished = Rc::new(UnfinishedCallers::default());
    let (open, closed) = (Rc::new(Cell::new(0)), Rc::new(Notify::new()));
    for number in 0.. {
        let stream = accept(&listener).await;
        while open.get() >= MAX_CALLERS {
            if let Some((_, evict)) = unfinished.borrow_mut().pop_first() {
                evict.notify_one();
            }
            closed.notified().await;
        }
        open.set(open.get() + 1);
        let (management, unfinished) = (Rc::clone(&management), Rc::clone(&unfinished));
        let (open, closed) = (Rc::clone(&open), Rc::clone(&closed));
        let evict = Rc::new(Notify::new());
        unfinished.borrow_mut().insert(number, Rc::clone(&evict));
        spawn_local(async move {
            let line_read = || drop(unfinished.borrow_mut().remove(&number));
            serve_caller(stream, &management, line_read, &evict).await;
            open.set(open.get() - 1);
            closed.notify_one();
        });
    }
}

async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(_) => sleep(RESOURCE_PAUSE).await,
        }
    }
}

async fn serve_caller(
    mut stream: TcpStream,
    management: &Management,
    line_read: impl FnOnce(),
    evict: &Notify,
) {
    let line = tokio::select! {
        biased;
        line = timeout(LINE_TIMEOUT, read_line(&mut stream)) => line.unwrap_or(Err(LineError::TimedOut)),
        () = evict.notified() => return,
    };
    line_read();
    let answer = match line.and_then(|line| Call::parse(&line)) {
        Ok(call) => match management.execute(call).await {
            Ok(Reply::Done) => "OK\n".to_owned(),
            Ok(Reply::Line(text)) => format!("OK {text}\n"),
            Ok(Reply::Metrics(text)) => text,
            Err(e) => format!("ERR {e}\n"),
        },
        Err(e) => format!("ERR {e}\n"),
    };
    let sent = async {
        write_all(&mut stream, answer.as_bytes()).await?;
        stream.shutdown().await
    };
    if matches!(timeout(ANSWER_TIMEOUT, sent).await, Ok(Ok(()))) {
        let rest = async { tokio::io::copy(&mut stream.take(LINGER_BYTES), &mut tokio::io::sink()).await };
        let _ = timeout(LINGER_TIME, rest).await;
    }
}

/// Writes all bytes, retrying after transient failures: the call has taken effect, and its caller needs the answer.
async fn write_all(stream: &mut TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match stream.write(bytes).await {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(length) => bytes = &bytes[length..],
            Err(e) if IoFailure::of(&e).is_transient() => sleep(RESOURCE_PAUSE).await,
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// Reads one line. A line without a line end is an error: it may be truncated, and a truncated id may be the id of
/// another endpoint.
async fn read_line(stream: &mut TcpStream) -> Result<Vec<u8>, LineError> {
    let mut line = Vec::new();
    loop {
        if let Some(end) = line.iter().position(|byte| *byte == b'\n') {
            line.truncate(end);
            if line.last() == Some(&b'\r') {
                line.pop();
            }
            break;
        }
        // The line end takes at most two bytes.
        let wanted = (MAX_LINE_BYTES + 2).saturating_sub(line.len());
        if wanted == 0 {
            break;
        }
        match stream.take(wanted as u64).read_buf(&mut line).await {
            Ok(length) if length > 0 => {}
            Err(e) if IoFailure::of(&e).is_transient() => sleep(RESOURCE_PAUSE).await,
            _ => return Err(LineError::Unterminated),
        }
    }
    if line.len() > MAX_LINE_BYTES { Err(LineError::TooLong) } else { Ok(line) }
}
