//! A replica of the registry that logs into a full pipe, which nobody reads.

use lotusmoor_fleet::harness::registry_replicas::call;
use lotusmoor_fleet::harness::{Programs, until, unused_address};
use serde_json::json;
use std::io::{PipeReader, Write};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// The smallest capacity of a pipe, in bytes.
const MIN_PIPE_BYTES: usize = 4096;
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The number of writes, each of which is logged.
const WRITES: usize = 30;

/// The process of a replica that logs into a full pipe.
struct Replica {
    process: Child,
    listen: SocketAddr,
    _log: PipeReader,
    _folder: tempfile::TempDir,
}

fn start(extra_arguments: &[&str]) -> Replica {
    let programs = Programs::find().expect("the programs are built");
    let folder = tempfile::tempdir().expect("a temporary directory");
    let listen = unused_address();
    let (log, mut writer) = std::io::pipe().expect("the pipe is created");
    rustix::pipe::fcntl_setpipe_size(&writer, MIN_PIPE_BYTES).expect("the pipe capacity can be set");
    writer.write_all(&[b'.'; MIN_PIPE_BYTES]).expect("the bytes fit into the pipe");
    let mut command = Command::new(&programs.lotusmoor);
    command.args(["--log", "debug", "registry", "serve", "--listen", &listen.to_string()]);
    command.arg("--folder").arg(folder.path()).args(extra_arguments);
    let process = command.stdin(Stdio::null()).stderr(writer).spawn().expect("the process starts");
    Replica { process, listen, _log: log, _folder: folder }
}

impl Replica {
    fn register(&self, name: &str) -> bool {
        let body = json!({"address": "127.0.0.1:9000", "since_ms": 1, "lease_ms": 0}).to_string();
        let answer = call(self.listen, "PUT", &format!("/v1/servers/{name}"), &body, CALL_TIMEOUT);
        answer.is_ok_and(|answer| answer.status == 200)
    }

    fn exits(&mut self) -> bool {
        until(|| self.process.try_wait().expect("the process can be waited for").is_some())
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

#[test]
fn replica_serves_and_stops_while_its_log_is_not_read() {
    let mut replica = start(&[]);
    assert!(until(|| replica.register("s-0")), "the replica accepts no write");
    for write in 1..WRITES {
        assert!(replica.register(&format!("s-{write}")), "write {write}");
    }
    let pid = replica.process.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &pid]).status().expect("kill runs").success());
    assert!(replica.exits(), "the replica did not exit while its log was not read");
}

#[test]
fn failed_start_exits_while_its_log_is_not_read() {
    let mut replica = start(&["--format", "99"]);
    assert!(replica.exits(), "the replica did not exit while its log was not read");
}
