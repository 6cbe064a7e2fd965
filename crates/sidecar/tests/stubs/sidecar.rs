//! The sidecar process under test and its configuration.

use super::*;
use lotusmoor_faults::{FaultTable, SEND_BUFFER_VARIABLE, TABLE_VARIABLE};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};

/// The settings of these tests. Classes: `look` (safe), `book` (not idempotent), `pay` (idempotent by key).
pub const SETTINGS: &str = r#"{"Balancers":1,"Discovery":"on_request","Index":0,
"Lanes":[{"AimUs":8000000,"DeadlineUs":20000000,"Effect":"pure","Name":"look"},
{"AimUs":8000000,"DeadlineUs":20000000,"Effect":"side_effect","Name":"book"},
{"AimUs":8000000,"DeadlineUs":20000000,"DedupScope":"all","Effect":"token","KeyTtlUs":5000000,"Name":"pay"}],
"Limits":{"DialTimeoutUs":5000000,"IdleCloseUs":2000000,"MaxAttempts":3,"MaxRetryAfterUs":2000000,"RetryAfter":true,"MayCancel":true,"MayDuplicate":true},
"Rules":{"AskWithinUs":2000000,"ColdShare":0.3,"OverloadFactor":3.0,"TipAfterUs":1500000,"WarmWithinUs":8900000},
"Tenants":[{"Name":"acme","QuotaPerS":98.0,"Share":1.0}],"TickUs":5000,"WeightSource":"nominal","Zone":"a","Zones":["a"]}"#;

/// The preloaded library that makes system calls fail, which the build puts beside this test binary.
fn fault_library() -> PathBuf {
    let test_binary = std::env::current_exe().expect("this test has a path");
    let mut folders = test_binary.ancestors().skip(1).take(2);
    folders
        .find_map(|f| Some(f.join("libfaultshim.so")).filter(|p| p.is_file()))
        .expect("libfaultshim.so is built")
}

/// A new, empty fault table.
pub fn fault_table() -> FaultTable {
    let number = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    let path =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{number}.faults", std::process::id()));
    FaultTable::create(&path).expect("a fault table")
}

/// A running sidecar process, killed on drop.
pub struct Sidecar {
    pub address: SocketAddr,
    /// The address for operators' calls.
    pub management: SocketAddr,
    pub process: Child,
    config: PathBuf,
}

/// The next number for addresses, files and request IDs, so that they are unique among the tests of this process.
pub static NEXT_ID: AtomicU64 = AtomicU64::new(0);

/// Writes this text to a new configuration file.
pub fn config_file(text: &str) -> PathBuf {
    let number = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    let path =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{number}.json", std::process::id()));
    std::fs::write(&path, text).expect("the file can be written");
    path
}

/// A sidecar configuration; `known` is the JSON of its initial endpoint list.
pub fn config(listen: SocketAddr, discovery: SocketAddr, known: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},"settings":{SETTINGS}}}"#
    )
}

impl Sidecar {
    /// Starts a sidecar whose configuration lists these endpoints as version 1.
    pub fn start(discovery: &Discovery, endpoints: &[(&str, &Endpoint)]) -> Self {
        Self::start_with_descriptors(discovery, endpoints, 1024, 1024)
    }

    /// The same with at most `descriptor_limit` file descriptors for the process, and `configured_limit` as the limit in
    /// its configuration.
    pub fn start_with_descriptors(
        discovery: &Discovery,
        endpoints: &[(&str, &Endpoint)],
        descriptor_limit: u32,
        configured_limit: u32,
    ) -> Self {
        let sockets = format!("\"sockets\":{configured_limit}");
        Self::start_with_config(discovery, endpoints, descriptor_limit, |config| {
            config.replace("\"sockets\":1024", &sockets)
        })
    }

    /// The same with at most `descriptor_limit` file descriptors for the process, and its configuration text changed by
    /// `change`.
    pub fn start_with_config(
        discovery: &Discovery,
        endpoints: &[(&str, &Endpoint)],
        descriptor_limit: u32,
        change: impl Fn(String) -> String,
    ) -> Self {
        let address = unused_address();
        let sidecar = Self::spawn(discovery, endpoints, address, change, |program| {
            let mut command = Command::new("/bin/sh");
            command
                .args(["-c", &format!("ulimit -n {descriptor_limit}; exec \"$0\""), program])
                .stdin(Stdio::null());
            command
        });
        sidecar.wait_until_serving();
        sidecar
    }

    /// Starts a sidecar whose system calls fail and whose wall clock is stepped according to the fault table.
    pub fn start_with_faults(
        discovery: &Discovery,
        endpoints: &[(&str, &Endpoint)],
        faults: &FaultTable,
        change: impl Fn(String) -> String,
    ) -> Self {
        Self::start_with_config_and_command(discovery, endpoints, change, |program| {
            let mut command = Command::new(program);
            command.env("LD_PRELOAD", fault_library()).env(TABLE_VARIABLE, faults.path());
            command.stdin(Stdio::null());
            command
        })
    }

    /// Starts a sidecar whose connections to endpoints have send buffers of that many bytes.
    pub fn start_with_send_buffers(
        discovery: &Discovery,
        endpoints: &[(&str, &Endpoint)],
        bytes: usize,
        change: impl Fn(String) -> String,
    ) -> Self {
        Self::start_with_config_and_command(discovery, endpoints, change, |program| {
            let mut command = Command::new(program);
            command.env("LD_PRELOAD", fault_library()).env(SEND_BUFFER_VARIABLE, bytes.to_string());
            command.stdin(Stdio::null());
            command
        })
    }

    /// Starts a sidecar by a command of the caller's, which gets the path of the program.
    pub fn start_with_command(
        discovery: &Discovery,
        endpoints: &[(&str, &Endpoint)],
        command: impl FnOnce(&str) -> Command,
    ) -> Self {
        Self::start_with_config_and_command(discovery, endpoints, |config| config, command)
    }

    fn start_with_config_and_command(
        discovery: &Discovery,
        endpoints: &[(&str, &Endpoint)],
        change: impl Fn(String) -> String,
        command: impl FnOnce(&str) -> Command,
    ) -> Self {
        let sidecar = Self::spawn(discovery, endpoints, unused_address(), change, command);
        sidecar.wait_until_serving();
        sidecar
    }

    fn wait_until_serving(&self) {
        let response = || {
            let mut stream = TcpStream::connect(self.address).ok()?;
            stream.write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n").ok()?;
            read_message(&mut stream)
        };
        wait_until("the sidecar serves requests", || response().is_some_and(|m| m.status() == 200));
    }

    /// Starts a sidecar that inherits this listening socket, with this folder for its stored state.
    pub fn start_on_inherited_socket(
        discovery: &Discovery,
        endpoints: &[(&str, &Endpoint)],
        listener: &TcpListener,
        folder: &Path,
    ) -> Self {
        Self::start_on_inherited_socket_with_faults(discovery, endpoints, listener, folder, None)
    }

    /// The same, with system calls that fail according to the fault table.
    pub fn start_on_inherited_socket_with_faults(
        discovery: &Discovery,
        endpoints: &[(&str, &Endpoint)],
        listener: &TcpListener,
        folder: &Path,
        faults: Option<&FaultTable>,
    ) -> Self {
        let no_change = |config| config;
        Self::start_on_inherited_socket_with_config(
            discovery,
            endpoints,
            (listener, folder),
            faults,
            no_change,
        )
    }

    /// The same, with its configuration text changed by `change`.
    pub fn start_on_inherited_socket_with_config(
        discovery: &Discovery,
        endpoints: &[(&str, &Endpoint)],
        (listener, folder): (&TcpListener, &Path),
        faults: Option<&FaultTable>,
        change: impl Fn(String) -> String,
    ) -> Self {
        let inherited = OwnedFd::from(listener.try_clone().expect("a descriptor"));
        let address = listener.local_addr().expect("an address");
        let sidecar = Self::spawn(discovery, endpoints, address, change, |program| {
            let mut command = Command::new("/bin/sh");
            command.args(["-c", "exec 5<&0 </dev/null; exec \"$0\"", program]).stdin(inherited);
            command.env("LB_PASSED_SOCKET", "5").env("TMPDIR", folder);
            if let Some(faults) = faults {
                command.env("LD_PRELOAD", fault_library()).env(TABLE_VARIABLE, faults.path());
            }
            command
        });
        wait_until("the sidecar is ready", || sidecar.call("health") == "OK");
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

    /// Makes an operator's call; returns its answer.
    pub fn call(&self, line: &str) -> String {
        let Ok(mut stream) = TcpStream::connect(self.management) else { return "cannot connect".to_owned() };
        stream.write_all(format!("{line}\n").as_bytes()).expect("the write succeeds");
        read_answer(&mut stream)
    }

    /// Sends a request on a new connection; returns the response, or `None` if there is none.
    pub fn exchange(&self, request: &str) -> Option<Message> {
        let mut stream = self.connect();
        stream.write_all(request.as_bytes()).expect("the write succeeds");
        read_message(&mut stream)
    }

    pub fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).expect("the sidecar accepts")
    }

    /// Sends a signal, named as in `kill -TERM`.
    pub fn signal(&self, name: &str) {
        let id = self.process.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("kill runs").success());
    }

    /// Replaces the configuration file by a named pipe, and sends SIGHUP.
    pub fn reload_from_pipe(&self) {
        std::fs::remove_file(&self.config).expect("the file exists");
        make_named_pipe(&self.config);
        self.signal("-HUP");
    }

    /// Removes the configuration file, writes a new one, and sends SIGHUP.
    pub fn reload_from_new_file(&self, text: &str) {
        std::fs::remove_file(&self.config).expect("the file exists");
        self.reload(text);
    }

    /// Overwrites the configuration file, and sends SIGHUP.
    pub fn reload(&self, text: &str) {
        std::fs::write(&self.config, text).expect("the file can be written");
        self.signal("-HUP");
    }
}

/// Creates a named pipe. Opening it to read blocks until there is a writer, like a file on a disk that hangs.
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

/// A request of a class with a unique ID, additional header lines and a body.
pub fn request(class: &str, headers: &str, body: &str) -> String {
    let id = NEXT_ID.fetch_add(1, Ordering::SeqCst);
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
