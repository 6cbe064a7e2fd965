//! When the log cannot be written to, only log lines are lost: requests, start and shutdown are not affected.

use super::reply_ok;
use crate::stubs::*;
use rustix::fs::{Mode, OFlags};
use rustix::pty::OpenptFlags;
use std::io::{PipeReader, PipeWriter, Read, Write};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Capacity of the smallest pipe.
const SMALLEST_PIPE_BYTES: usize = 4096;
/// Number of requests whose log lines, more than one each, overflow a pipe of that size.
const LOGGED_REQUESTS: usize = 200;
/// A little longer than the window in which the sidecar counts log lines, to write a limited number of them.
const RATE_WINDOW: Duration = Duration::from_millis(1_100);

#[test]
fn log_on_full_disk_does_not_fail_requests() {
    let (discovery, endpoint) = (Discovery::start(), Endpoint::start(reply_ok));
    let mut sidecar = Sidecar::start_with_command(&discovery, &[("s-1", &endpoint)], |program| {
        let full = std::fs::File::options().write(true).open("/dev/full").expect("a device");
        let mut command = Command::new(program);
        command.stdin(Stdio::null()).stderr(full);
        command
    });
    // Each of these writes a log line: a failed poll of discovery, two reloads, the shutdown.
    discovery.failing.store(true, std::sync::atomic::Ordering::SeqCst);
    sidecar.reload("{");
    sidecar.reload(&config(sidecar.address, discovery.address, &list(1, true, &[])));
    for number in 0..20 {
        let status = sidecar.exchange(&request("look", "", "")).map(|m| m.status());
        assert_eq!(status, Some(200), "request {number}");
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    sidecar.signal("-TERM");
    let status = sidecar.process.wait().expect("the process exits");
    assert!(status.success(), "{status}");
}

/// Starts a sidecar that logs each request to this descriptor.
fn start_logging_to(discovery: &Discovery, endpoint: &Endpoint, log: impl Into<Stdio>) -> Sidecar {
    Sidecar::start_with_command(discovery, &[("s-1", endpoint)], |program| {
        let mut command = Command::new(program);
        command.env("LB_LOG", "requests").stdin(Stdio::null()).stderr(log);
        command
    })
}

/// A pipe of the smallest size.
fn small_pipe() -> (PipeReader, PipeWriter) {
    let (reader, writer) = std::io::pipe().expect("a pipe");
    rustix::pipe::fcntl_setpipe_size(&writer, SMALLEST_PIPE_BYTES).expect("the pipe size can be set");
    (reader, writer)
}

/// Sends requests whose log lines exceed both the capacity of a small pipe and the limit of lines per second.
fn assert_serves(sidecar: &Sidecar) {
    for number in 0..LOGGED_REQUESTS {
        let status = sidecar.exchange(&request("look", "", "")).map(|m| m.status());
        assert_eq!(status, Some(200), "request {number}");
    }
}

/// Waits for a process to exit; `None` if it has not within [`TEST_TIMEOUT`].
fn await_exit(process: &mut Child) -> Option<ExitStatus> {
    let began = Instant::now();
    while began.elapsed() < TEST_TIMEOUT {
        if let Some(status) = process.try_wait().expect("a child process") {
            return Some(status);
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    None
}

fn assert_shuts_down(mut sidecar: Sidecar) {
    sidecar.signal("-TERM");
    let status = await_exit(&mut sidecar.process);
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
}

/// The number of log lines that the sidecar reports as dropped.
fn dropped_lines(sidecar: &Sidecar) -> u64 {
    let mut stream =
        std::net::TcpStream::connect(sidecar.management).expect("the management address accepts");
    stream.write_all(b"metrics\n").expect("the write succeeds");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("metrics are text");
    let line = text.lines().find_map(|line| line.strip_prefix("lotusmoor_sidecar_log_lines_dropped_total "));
    line.expect("the metric is there").parse().expect("a number")
}

// A log line must not wait for its reader: each request, the shutdown and the start would wait with it.
#[test]
fn unread_log_pipe_does_not_fail_requests() {
    let (discovery, endpoint) = (Discovery::start(), Endpoint::start(reply_ok));
    let (mut reader, writer) = small_pipe();
    let sidecar = start_logging_to(&discovery, &endpoint, writer);
    assert_serves(&sidecar);
    let dropped = dropped_lines(&sidecar);
    assert!(dropped > 0, "no line was dropped");
    // A reader that continues gets the number of dropped lines with the next line.
    let mut old_lines = [0; SMALLEST_PIPE_BYTES];
    let _ = reader.read(&mut old_lines).expect("lines");
    std::thread::sleep(RATE_WINDOW);
    assert_eq!(sidecar.exchange(&request("look", "", "")).map(|m| m.status()), Some(200));
    let mut new_lines = vec![0; SMALLEST_PIPE_BYTES];
    let length = reader.read(&mut new_lines).expect("lines");
    let new_lines = String::from_utf8_lossy(&new_lines[..length]);
    assert!(new_lines.contains("lines left out"), "{new_lines}");
    assert_shuts_down(sidecar);
}

#[test]
fn full_log_pipe_delays_neither_start_nor_shutdown() {
    let (discovery, endpoint) = (Discovery::start(), Endpoint::start(reply_ok));
    let (_reader, mut writer) = small_pipe();
    writer.write_all(&[b'.'; SMALLEST_PIPE_BYTES]).expect("the bytes fit");
    let sidecar = start_logging_to(&discovery, &endpoint, writer);
    discovery.failing.store(true, std::sync::atomic::Ordering::SeqCst);
    sidecar.reload("{");
    assert_serves(&sidecar);
    assert_shuts_down(sidecar);
}

// A failed start writes its reason to the log. The process exits even if the log cannot be written to.
#[test]
fn full_log_pipe_does_not_delay_failed_start() {
    let (_reader, mut writer) = small_pipe();
    writer.write_all(&[b'.'; SMALLEST_PIPE_BYTES]).expect("the bytes fit");
    let mut command = Command::new(env!("CARGO_BIN_EXE_lotusmoor-sidecar"));
    command.env_remove("LB_CONFIG").stdin(Stdio::null()).stderr(writer);
    let mut process = command.spawn().expect("the sidecar starts");
    let exited = await_exit(&mut process).is_some();
    let _ = process.kill();
    let _ = process.wait();
    assert!(exited, "the process waits for the reader of its log");
}

#[test]
fn unread_log_socket_does_not_fail_requests() {
    let (discovery, endpoint) = (Discovery::start(), Endpoint::start(reply_ok));
    let (_reader, writer) = UnixStream::pair().expect("a pair");
    let mut filler = writer.try_clone().expect("a descriptor");
    filler.set_nonblocking(true).expect("the mode can be set");
    while filler.write(&[b'.'; SMALLEST_PIPE_BYTES]).is_ok() {}
    filler.set_nonblocking(false).expect("the mode can be set");
    let sidecar = start_logging_to(&discovery, &endpoint, OwnedFd::from(writer));
    assert_serves(&sidecar);
    assert!(dropped_lines(&sidecar) > 0, "no line was dropped");
    assert_shuts_down(sidecar);
}

#[test]
fn unread_log_terminal_does_not_fail_requests() {
    let (discovery, endpoint) = (Discovery::start(), Endpoint::start(reply_ok));
    let (controller, terminal) = pseudo_terminal();
    fill(&terminal);
    let sidecar = start_logging_to(&discovery, &endpoint, terminal);
    assert_serves(&sidecar);
    assert!(dropped_lines(&sidecar) > 0, "no line was dropped");
    assert_shuts_down(sidecar);
    drop(controller);
}

// Other processes that have the same pipe share its descriptor flags, so the sidecar must not change them.
#[test]
fn log_pipe_keeps_its_flags() {
    let (discovery, endpoint) = (Discovery::start(), Endpoint::start(reply_ok));
    let (_reader, writer) = small_pipe();
    let writer_copy = writer.try_clone().expect("a descriptor");
    let flags_before = rustix::fs::fcntl_getfl(&writer_copy).expect("flags");
    let sidecar = start_logging_to(&discovery, &endpoint, writer);
    assert_serves(&sidecar);
    assert_eq!(rustix::fs::fcntl_getfl(&writer_copy).expect("flags"), flags_before);
}

/// A pseudo-terminal: the controlling end, and the end that a program writes to.
fn pseudo_terminal() -> (OwnedFd, OwnedFd) {
    let flags = OpenptFlags::RDWR | OpenptFlags::NOCTTY;
    let controller = rustix::pty::openpt(flags).expect("a terminal");
    rustix::pty::grantpt(&controller)
        .and_then(|()| rustix::pty::unlockpt(&controller))
        .expect("the terminal can be unlocked");
    let name = rustix::pty::ptsname(&controller, Vec::new()).expect("the terminal has a name");
    let flags = OFlags::RDWR | OFlags::NOCTTY;
    let terminal = rustix::fs::open(&*name, flags, Mode::empty()).expect("the terminal can be opened");
    (controller, terminal)
}

/// Writes to a terminal until its buffer is full.
fn fill(terminal: &OwnedFd) {
    let flags = rustix::fs::fcntl_getfl(terminal).expect("flags");
    rustix::fs::fcntl_setfl(terminal, flags | OFlags::NONBLOCK).expect("flags can be set");
    while rustix::io::write(terminal, &[b'.'; SMALLEST_PIPE_BYTES]).is_ok() {}
    rustix::fs::fcntl_setfl(terminal, flags).expect("flags can be set");
}
