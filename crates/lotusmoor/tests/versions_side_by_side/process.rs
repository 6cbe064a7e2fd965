//! A process of a sidecar of either build, and its configuration.

use crate::stage::{Build, BuildFixture};
use lotusmoor_fleet::harness::{Process, until, unused_address};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The time limit for a response.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

const SETTINGS: &str = r#"{"Balancers":1,"Discovery":"on_request","Index":0,
"Lanes":[{"AimUs":8000000,"DeadlineUs":20000000,"Effect":"pure","Name":"look"}],
"Limits":{"DialTimeoutUs":5000000,"IdleCloseUs":2000000,"MaxAttempts":3,"MaxRetryAfterUs":2000000,"RetryAfter":true,"MayCancel":true,"MayDuplicate":true},
"Rules":{"AskWithinUs":2000000,"ColdShare":0.3,"OverloadFactor":3.0,"TipAfterUs":1500000,"WarmWithinUs":8900000},
"Tenants":[{"Name":"acme","QuotaPerS":98.0,"Share":1.0}],"TickUs":5000,"WeightSource":"nominal","Zone":"a","Zones":["a"]}"#;

/// A process of a sidecar.
pub struct Sidecar {
    pub build: Build,
    pub listen: SocketAddr,
    management: SocketAddr,
    pub process: Process,
}

impl Sidecar {
    pub fn start(fixture: &BuildFixture, build: Build, listener: &TcpListener, config: &Path) -> Self {
        static STARTED: AtomicU64 = AtomicU64::new(0);
        let number = STARTED.fetch_add(1, Ordering::Relaxed);
        let management = unused_address();
        let mut command = Command::new("/bin/sh");
        command.args(["-c", "exec 5<&0 </dev/null; exec \"$0\""]).arg(fixture.sidecar_program(build));
        command.env("LB_PASSED_SOCKET", "5").env("TMPDIR", fixture.folder.path()).env("LB_CONFIG", config);
        command.env("LB_MANAGEMENT", management.to_string());
        let socket = Stdio::from(OwnedFd::from(listener.try_clone().expect("the descriptor is duplicated")));
        let log = fixture.folder.path().join(format!("sidecar-{number}.log"));
        let name = format!("sidecar {build:?}");
        let process = Process::start_with_input(command, socket, &name, &log, Some(&fixture.process_guard))
            .expect("the process starts");
        let listen = listener.local_addr().expect("an address");
        let sidecar = Self { build, listen, management, process };
        sidecar.wait("is ready", || sidecar.command("health") == "OK");
        sidecar
    }

    pub fn wait(&self, what: &str, condition: impl FnMut() -> bool) {
        assert!(
            until(condition),
            "{:?}: timed out waiting until it {what}\n{}",
            self.build,
            self.process.log_text()
        );
    }

    /// Sends a line to the management address and returns the answer, empty if there is no connection.
    pub fn command(&self, line: &str) -> String {
        let Ok(mut stream) = TcpStream::connect(self.management) else { return String::new() };
        let mut answer = String::new();
        let _ = stream.set_read_timeout(Some(RESPONSE_TIMEOUT));
        let _ = stream.write_all(format!("{line}\n").as_bytes());
        let _ = stream.read_to_string(&mut answer);
        answer.trim_end().to_owned()
    }

    /// Sends a command that must be answered with `OK`.
    pub fn expect_ok(&self, line: &str) {
        assert_eq!(self.command(line), "OK", "{:?}: {line}\n{}", self.build, self.process.log_text());
    }

    /// Sends SIGTERM and waits until the process has exited with success.
    pub fn stop(mut self) {
        self.process.terminate().expect("the signal is sent");
        let mut status = None;
        assert!(until(|| {
            status = self.process.exit_status();
            status.is_some()
        }));
        assert!(
            status.is_some_and(|s| s.success()),
            "{:?}: {status:?}\n{}",
            self.build,
            self.process.log_text()
        );
    }
}

pub fn sidecar_config(listen: SocketAddr, servers: &[(&str, SocketAddr)]) -> Value {
    let endpoint = |(name, address): &(&str, SocketAddr)| {
        json!({"name": name, "address": address, "zone": "a", "type": "m", "group": 1, "status": "active",
            "weight": 1.0, "since_ms": 0})
    };
    let endpoints: Vec<Value> = servers.iter().map(endpoint).collect();
    let settings: Value = serde_json::from_str(SETTINGS).expect("the settings are JSON");
    json!({"name": "n0", "listen": listen, "discovery": unused_address(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"index": 1, "snapshot": true, "endpoints": endpoints}, "settings": settings})
}
