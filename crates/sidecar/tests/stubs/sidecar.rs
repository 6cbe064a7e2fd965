//! The sidecar's process and its configuration.

use super::*;
use lotusmoor_faults::{FaultTable, TABLE_VARIABLE};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};

/// The settings of these tests. Classes: `look` (safe), `book` (unsafe), `pay` (keyed).
pub const SETTINGS: &str = r#"{"Balancers":1,"Discovery":"on_request","Index":0,
"Lanes":[{"AimUs":8000000,"DeadlineUs":20000000,"Effect":"pure","Name":"look"},
{"AimUs":8000000,"DeadlineUs":20000000,"Effect":"side_effect","Name":"book"},
{"AimUs":8000000,"DeadlineUs":20000000,"DedupScope":"all","Effect":"token","KeyTtlUs":5000000,"Name":"pay"}],
"Limits":{"DialTimeoutUs":5000000,"IdleCloseUs":2000000,"MaxAttempts":3,"MaxRetryAfterUs":2000000,"RetryAfter":true,"MayCancel":true,"MayDuplicate":true},
"Rules":{"AskWithinUs":2000000,"ColdShare":0.3,"OverloadFactor":3.0,"TipAfterUs":1500000,"WarmWithinUs":8900000},
"Tenants":[{"Name":"acme","QuotaPerS":98.0,"Share":1.0}],"TickUs":5000,"WeightSource":"nominal","Zone":"a","Zones":["a"]}"#;

/// The library that makes system calls fail, as the build left it beside this test.
fn fault_library() -> PathBuf {
    let own = std::env::current_exe().expect("this test has a path");
    let mut folders = own.ancestors().skip(1).take(2);
    folders.find_map(|f| Some(f.join("libfaultshim.so")).filter(|p| p.is_file())).expect("it is built")
}

/// An empty fault table of its own.
pub fn fault_table() -> FaultTable {
    let number = STARTED.fetch_add(1, Ordering::SeqCst);
    let path =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{number}.faults", std::process::id()));
    FaultTable::create(&path).expect("a fault table")
}

/// A sidecar's process.
pub struct Sidecar {
    pub address: SocketAddr,
    /// Where operators call.
    pub management: SocketAddr,
    pub process: Child,
    config: PathBuf,
}

/// Numbers processes, files and requests.
pub static STARTED: AtomicU64 = AtomicU64::new(0);

/// Writes a configuration file of its own.
pub fn config_file(text: &str) -> PathBuf {
    let number = STARTED.fetch_add(1, Ordering::SeqCst);
    let path =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{number}.json", std::process::id()));
    std::fs::write(&path, text).expect("the file can be written");
    path
}

/// A sidecar's configuration.
pub fn config(listen: SocketAddr, discovery: SocketAddr, known: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},"settings":{SETTINGS}}}"#
    )
}

impl Sidecar {
    /// Starts one that knows these endpoints, as version 1 of the list.
    pub fn start(discovery: &Discovery, endpoints: &[(&str, &Endpoint)]) -> Self {
        Self::start_with(discovery, endpoints, 1024, 1024)
    }

    /// The same with so many file descriptors that the system grants it, and that it is told of.
    pub fn start_with(
        discovery: &Discovery,
        endpoints: &[(&str, &Endpoint)],
        granted: u32,
        reported: u32,
    ) -> Self {
        let sockets = format!("\"sockets\":{reported}");
        Self::start_as(discovery, endpoints, granted, |config| config.replace("\"sockets\":1024", &sockets))
    }

    /// The same with a configuration that is changed like this.
    pub fn start_as(
        discovery: &Discovery,
        endpoints: &[(&str, &Endpoint)],
        granted: u32,
        change: impl Fn(String) -> String,
    ) -> Self {
        let address = unused_address();
        let sidecar = Self::spawn(discovery, endpoints, address, change, |config| {
            let mut command = Command::new("/bin/sh");
            command.args(["-c", &format!("ulimit -n {granted}; exec \"$0\""), config]).stdin(Stdio::null());
            command
        });
        sidecar.await_up();
        sidecar
    }

    /// Starts one whose system calls fail, and whose wall clock steps, as the table says.
    pub fn start_with_faults(
        discovery: &Discovery,
        endpoints: &[(&str, &Endpoint)],
        faults: &FaultTable,
        change: impl Fn(String) -> String,
    ) -> Self {
        Self::start_by_with(discovery, endpoints, change, |program| {
            let mut command = Command::new(program);
            command.env("LD_PRELOAD", fault_library()).env(TABLE_VARIABLE, faults.path());
            command.stdin(Stdio::null());
            command
        })
    }

    /// Starts one by a command of the caller's.
    pub fn start_by(
        discovery: &Discovery,
        endpoints: &[(&str, &Endpoint)],
        command: impl FnOnce(&str) -> Command,
    ) -> Self {
        Self::start_by_with(discovery, endpoints, |config| config, command)
    }

    fn start_by_with(
        discovery: &Discovery,
        endpoints: &[(&str, &Endpoint)],
        change: impl Fn(String) -> String,
        command: impl FnOnce(&str) -> Command,
    ) -> Self {
        let sidecar = Self::spawn(discovery, endpoints, unused_address(), change, command);
        sidecar.await_up();
        sidecar
    }

    fn await_up(&self) {
        let up = || {
            let mut stream = TcpStream::connect(self.address).ok()?;
            stream.write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n").ok()?;
            read_message(&mut stream)
        };
        wait_until("the sidecar is up", || up().is_some_and(|m| m.status() == 200));
    }

    /// Starts one on a listening socket that is passed on to it, with that folder for what outlives it.
    pub fn start_passed(
        discovery: &Discovery,
        endpoints: &[(&str, &Endpoint)],
        listener: &TcpListener,
        folder: &Path,
    ) -> Self {
        Self::start_passed_with(discovery, endpoints, listener, folder, None)
    }

    /// The same, with system calls that fail as the table says.
    pub fn start_passed_with(
        discovery: &Discovery,
        endpoints: &[(&str, &Endpoint)],
        listener: &TcpListener,
        folder: &Path,
        faults: Option<&FaultTable>,
    ) -> Self {
        let passed = OwnedFd::from(listener.try_clone().expect("a descriptor"));
        let address = listener.local_addr().expect("an address");
        let sidecar = Self::spawn(
            discovery,
            endpoints,
            address,
            |config| config,
            |config| {
                let mut command = Command::new("/bin/sh");
                command.args(["-c", "exec 5<&0 </dev/null; exec \"$0\"", config]).stdin(passed);
                command.env("LB_PASSED_SOCKET", "5").env("TMPDIR", folder);
                if let Some(faults) = faults {
                    command.env("LD_PRELOAD", fault_library()).env(TABLE_VARIABLE, faults.path());
                }
                command
            },
        );
        wait_until("the sidecar can serve", || sidecar.call("health") == "OK");
        sidecar
    }

    fn spawn(
        discovery: &Discovery,
        endpoints: &[(&str, &Endpoint)],
        address: SocketAddr,
        change: impl Fn(String) -> String,
        command: impl FnOnce(&str) -> Command,
    ) -> Self {
        let known: Vec<_> = endpoints.iter().map(|(name, e)| (*name, e.address, "active")).collect();
        let management = unused_address();
        let config = config_file(&change(config(address, discovery.address, &list(1, true, &known))));
        let process = command(env!("CARGO_BIN_EXE_lotusmoor-sidecar"))
            .env("LB_CONFIG", &config)
            .env_remove("LB_LISTEN")
            .env("LB_DISCOVERY", discovery.address.to_string())
            .env("LB_MANAGEMENT", management.to_string())
            .spawn()
            .expect("the sidecar starts");
        Self { address, management, process, config }
    }

    /// What an operator's call is answered.
    pub fn call(&self, line: &str) -> String {
        let Ok(mut stream) = TcpStream::connect(self.management) else { return "nobody listens".to_owned() };
        stream.write_all(format!("{line}\n").as_bytes()).expect("the sidecar takes it");
        read_line(&mut stream)
    }

    /// One request on a connection of its own.
    pub fn exchange(&self, request: &str) -> Option<Message> {
        let mut stream = self.connect();
        stream.write_all(request.as_bytes()).expect("the sidecar takes it");
        read_message(&mut stream)
    }

    pub fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).expect("the sidecar accepts")
    }

    pub fn signal(&self, name: &str) {
        let id = self.process.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("kill runs").success());
    }

    /// Puts a pipe in the place of the configuration file, and tells the sidecar.
    pub fn reload_from_pipe(&self) {
        std::fs::remove_file(&self.config).expect("it is there");
        make_named_pipe(&self.config);
        self.signal("-HUP");
    }

    /// Replaces the configuration file by a new one, and tells the sidecar.
    pub fn reload_from_new_file(&self, text: &str) {
        std::fs::remove_file(&self.config).expect("it is there");
        self.reload(text);
    }

    /// Replaces the configuration file and tells the sidecar.
    pub fn reload(&self, text: &str) {
        std::fs::write(&self.config, text).expect("the file can be written");
        self.signal("-HUP");
    }
}

/// Makes a pipe with a name. Whoever opens it to read waits for a writer, as with a file on a disk that hangs.
pub fn make_named_pipe(path: &Path) {
    let mode = rustix::fs::Mode::RUSR | rustix::fs::Mode::WUSR;
    rustix::fs::mknodat(rustix::fs::CWD, path, rustix::fs::FileType::Fifo, mode, 0).expect("a pipe");
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

/// A request of a class, with further header lines and a body, under an id of its own.
pub fn request(class: &str, headers: &str, body: &str) -> String {
    let id = STARTED.fetch_add(1, Ordering::SeqCst);
    let (method, key) = match class {
        "look" => ("GET", ""),
        "pay" => ("POST", "Idempotency-Key: 5c0f6e1a\r\n"),
        _ => ("POST", ""),
    };
    format!(
        "{method} /api?site=4 HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: {id}\r\n\
         X-Service-Class: {class}\r\nX-Account: acme\r\nX-Time-Left: 19000m\r\n{key}{headers}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
