//! A replica of the registry whose log nobody reads.

use lotusmoor_fleet::harness::registry_replicas::call;
use lotusmoor_fleet::harness::{Programs, until, unused_address};
use serde_json::json;
use std::io::{PipeReader, Write};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// Bytes of the smallest pipe.
const SMALLEST_PIPE: usize = 4096;
/// How long a call may take.
const CALL_TIME: Duration = Duration::from_secs(2);
/// Writes, of which each has log lines of its own.
const WRITES: usize = 30;

/// A replica's process, which logs into a full pipe.
struct Replica {
    process: Child,
    listen: SocketAddr,
    _log: PipeReader,
    _folder: tempfile::TempDir,
}

fn start(further: &[&str]) -> Replica {
    let programs = Programs::find().expect("the programs are built");
    let folder = tempfile::tempdir().expect("a folder");
    let listen = unused_address();
    let (log, mut writer) = std::io::pipe().expect("a pipe");
    rustix::pipe::fcntl_setpipe_size(&writer, SMALLEST_PIPE).expect("a pipe may be small");
    writer.write_all(&[b'.'; SMALLEST_PIPE]).expect("it fits");
    let mut command = Command::new(&programs.lotusmoor);
    command.args(["--log", "debug", "registry", "serve", "--listen", &listen.to_string()]);
    command.arg("--folder").arg(folder.path()).args(further);
    let process = command.stdin(Stdio::null()).stderr(writer).spawn().expect("it starts");
    Replica { process, listen, _log: log, _folder: folder }
}

impl Replica {
    fn register(&self, name: &str) -> bool {
        let body = json!({"address": "127.0.0.1:9000", "since_ms": 1, "lease_ms": 0}).to_string();
        let answer = call(self.listen, "PUT", &format!("/v1/servers/{name}"), &body, CALL_TIME);
        answer.is_ok_and(|answer| answer.status == 200)
    }

    fn ends(&mut self) -> bool {
        until(|| self.process.try_wait().expect("it is a child").is_some())
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

#[test]
fn replica_serves_and_stops_while_nobody_reads_its_log() {
    let mut replica = start(&[]);
    assert!(until(|| replica.register("s-0")), "it takes a write");
    for write in 1..WRITES {
        assert!(replica.register(&format!("s-{write}")), "write {write}");
    }
    let pid = replica.process.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &pid]).status().expect("kill runs").success());
    assert!(replica.ends(), "it waits for the reader of its log");
}

#[test]
fn failed_start_ends_while_nobody_reads_its_log() {
    let mut replica = start(&["--format", "99"]);
    assert!(replica.ends(), "it waits for the reader of its log");
}
