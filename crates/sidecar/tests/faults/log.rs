//! A log that can't be written to costs its lines, and nothing else.

use super::served;
use crate::stubs::*;
use rustix::fs::{Mode, OFlags};
use rustix::pty::OpenptFlags;
use std::io::{PipeReader, PipeWriter, Read, Write};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Bytes of the smallest pipe.
const SMALLEST_PIPE: usize = 4096;
/// Requests whose lines are too many for a pipe of that size, at over one line each.
const LOGGED_REQUESTS: usize = 200;
/// Over this time lines are counted, of which so many at the most are written.
const RATE_WINDOW: Duration = Duration::from_millis(1_100);

#[test]
fn log_on_full_disk_costs_no_answer() {
    let (discovery, endpoint) = (Discovery::start(), Endpoint::start(served));
    let mut sidecar = Sidecar::start_by(&discovery, &[("s-1", &endpoint)], |program| {
        let full = std::fs::File::options().write(true).open("/dev/full").expect("a device");
        let mut command = Command::new(program);
        command.stdin(Stdio::null()).stderr(full);
        command
    });
    // Each of these is a log line: a call to discovery that fails, two reloads, the stop.
    discovery.failing.store(true, std::sync::atomic::Ordering::SeqCst);
    sidecar.reload("{");
    sidecar.reload(&config(sidecar.address, discovery.address, &list(1, true, &[])));
    for turn in 0..20 {
        let answer = sidecar.exchange(&request("look", "", "")).map(|m| m.status());
        assert_eq!(answer, Some(200), "request {turn}");
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    sidecar.signal("-TERM");
    let status = sidecar.process.wait().expect("it ends");
    assert!(status.success(), "{status}");
}

/// A sidecar that logs each request to that descriptor.
fn logging_to(discovery: &Discovery, endpoint: &Endpoint, log: impl Into<Stdio>) -> Sidecar {
    Sidecar::start_by(discovery, &[("s-1", endpoint)], |program| {
        let mut command = Command::new(program);
        command.env("LB_LOG", "requests").stdin(Stdio::null()).stderr(log);
        command
    })
}

/// A pipe of the smallest size.
fn small_pipe() -> (PipeReader, PipeWriter) {
    let (reader, writer) = std::io::pipe().expect("a pipe");
    rustix::pipe::fcntl_setpipe_size(&writer, SMALLEST_PIPE).expect("a pipe may be small");
    (reader, writer)
}

/// Far more requests than their log lines fit into a small pipe, or pass the limit of lines in a second.
fn assert_serves(sidecar: &Sidecar) {
    for turn in 0..LOGGED_REQUESTS {
        let answer = sidecar.exchange(&request("look", "", "")).map(|m| m.status());
        assert_eq!(answer, Some(200), "request {turn}");
    }
}

/// How a process ends; `None` if it takes too long.
fn await_end(process: &mut Child) -> Option<ExitStatus> {
    let began = Instant::now();
    while began.elapsed() < LONG {
        if let Some(status) = process.try_wait().expect("it is a child") {
            return Some(status);
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    None
}

fn assert_stops(mut sidecar: Sidecar) {
    sidecar.signal("-TERM");
    let status = await_end(&mut sidecar.process);
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
}

/// How many lines the sidecar says that it could not write.
fn dropped_lines(sidecar: &Sidecar) -> u64 {
    let mut stream = std::net::TcpStream::connect(sidecar.management).expect("it listens");
    stream.write_all(b"metrics\n").expect("the sidecar takes it");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("metrics are text");
    let line = text.lines().find_map(|line| line.strip_prefix("lotusmoor_sidecar_log_lines_dropped_total "));
    line.expect("the metric is there").parse().expect("a number")
}

// A log line waited for its reader, and with it each request, the stop and the start.
#[test]
fn log_pipe_that_nobody_reads_costs_no_answer() {
    let (discovery, endpoint) = (Discovery::start(), Endpoint::start(served));
    let (mut reader, writer) = small_pipe();
    let sidecar = logging_to(&discovery, &endpoint, writer);
    assert_serves(&sidecar);
    let dropped = dropped_lines(&sidecar);
    assert!(dropped > 0, "no line was dropped");
    // Whoever reads on is told with the next line.
    let mut old_lines = [0; SMALLEST_PIPE];
    let _ = reader.read(&mut old_lines).expect("lines");
    std::thread::sleep(RATE_WINDOW);
    assert_eq!(sidecar.exchange(&request("look", "", "")).map(|m| m.status()), Some(200));
    let mut new_lines = vec![0; SMALLEST_PIPE];
    let length = reader.read(&mut new_lines).expect("lines");
    let new_lines = String::from_utf8_lossy(&new_lines[..length]);
    assert!(new_lines.contains("lines left out"), "{new_lines}");
    assert_stops(sidecar);
}

#[test]
fn full_log_pipe_delays_neither_start_nor_stop() {
    let (discovery, endpoint) = (Discovery::start(), Endpoint::start(served));
    let (_reader, mut writer) = small_pipe();
    writer.write_all(&[b'.'; SMALLEST_PIPE]).expect("it fits");
    let sidecar = logging_to(&discovery, &endpoint, writer);
    discovery.failing.store(true, std::sync::atomic::Ordering::SeqCst);
    sidecar.reload("{");
    assert_serves(&sidecar);
    assert_stops(sidecar);
}

// Of a failed start the log says why; it ends all the same.
#[test]
fn full_log_pipe_delays_no_failed_start() {
    let (_reader, mut writer) = small_pipe();
    writer.write_all(&[b'.'; SMALLEST_PIPE]).expect("it fits");
    let mut command = Command::new(env!("CARGO_BIN_EXE_lotusmoor-sidecar"));
    command.env_remove("LB_CONFIG").stdin(Stdio::null()).stderr(writer);
    let mut process = command.spawn().expect("the sidecar starts");
    let ended = await_end(&mut process).is_some();
    let _ = process.kill();
    let _ = process.wait();
    assert!(ended, "it waits for the reader of its log");
}

#[test]
fn log_socket_that_nobody_reads_costs_no_answer() {
    let (discovery, endpoint) = (Discovery::start(), Endpoint::start(served));
    let (_reader, writer) = UnixStream::pair().expect("a pair");
    let mut filler = writer.try_clone().expect("a descriptor");
    filler.set_nonblocking(true).expect("it can");
    while filler.write(&[b'.'; SMALLEST_PIPE]).is_ok() {}
    filler.set_nonblocking(false).expect("it can");
    let sidecar = logging_to(&discovery, &endpoint, OwnedFd::from(writer));
    assert_serves(&sidecar);
    assert!(dropped_lines(&sidecar) > 0, "no line was dropped");
    assert_stops(sidecar);
}

#[test]
fn log_terminal_that_nobody_reads_costs_no_answer() {
    let (discovery, endpoint) = (Discovery::start(), Endpoint::start(served));
    let (controller, terminal) = pseudo_terminal();
    fill(&terminal);
    let sidecar = logging_to(&discovery, &endpoint, terminal);
    assert_serves(&sidecar);
    assert!(dropped_lines(&sidecar) > 0, "no line was dropped");
    assert_stops(sidecar);
    drop(controller);
}

// The flags of the descriptor are shared with whoever else has it.
#[test]
fn log_pipe_keeps_its_flags() {
    let (discovery, endpoint) = (Discovery::start(), Endpoint::start(served));
    let (_reader, writer) = small_pipe();
    let own = writer.try_clone().expect("a descriptor");
    let before = rustix::fs::fcntl_getfl(&own).expect("flags");
    let sidecar = logging_to(&discovery, &endpoint, writer);
    assert_serves(&sidecar);
    assert_eq!(rustix::fs::fcntl_getfl(&own).expect("flags"), before);
}

/// A terminal that a program writes to, and the end of whoever shows it.
fn pseudo_terminal() -> (OwnedFd, OwnedFd) {
    let flags = OpenptFlags::RDWR | OpenptFlags::NOCTTY;
    let controller = rustix::pty::openpt(flags).expect("a terminal");
    rustix::pty::grantpt(&controller).and_then(|()| rustix::pty::unlockpt(&controller)).expect("it is ours");
    let name = rustix::pty::ptsname(&controller, Vec::new()).expect("it has a name");
    let flags = OFlags::RDWR | OFlags::NOCTTY;
    let terminal = rustix::fs::open(&*name, flags, Mode::empty()).expect("it can be opened");
    (controller, terminal)
}

/// Writes to a terminal until it takes nothing more.
fn fill(terminal: &OwnedFd) {
    let flags = rustix::fs::fcntl_getfl(terminal).expect("flags");
    rustix::fs::fcntl_setfl(terminal, flags | OFlags::NONBLOCK).expect("it can");
    while rustix::io::write(terminal, &[b'.'; SMALLEST_PIPE]).is_ok() {}
    rustix::fs::fcntl_setfl(terminal, flags).expect("it can");
}
