//! The platform's side: the list of ledger servers, ledger servers, the processes of a sidecar, and the record.

use crate::http;
use std::fs::File;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The record of a run: a line for each thing that was sent, answered or run, with the time since its start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn new(path: &Path) -> io::Result<Self> {
        Ok(Self(Arc::new((Instant::now(), Mutex::new(File::create(path)?)))))
    }

    pub fn seconds(&self) -> f64 {
        self.0.0.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl std::fmt::Display) {
        let mut file = self.0.1.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {text}", self.seconds());
    }

    /// A line that is shown as well.
    pub fn say(&self, text: impl std::fmt::Display) {
        println!("{text}");
        self.line(text);
    }
}

/// The Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// A loopback address that is free now, another with each call. Connections come from 127.0.0.1, so none of them takes it
/// meanwhile.
pub fn free_address() -> SocketAddr {
    static GIVEN: Mutex<Vec<SocketAddr>> = Mutex::new(Vec::new());
    let mut given = GIVEN.lock().unwrap();
    loop {
        let address = TcpListener::bind("127.0.1.1:0").unwrap().local_addr().unwrap();
        if !given.contains(&address) {
            given.push(address);
            return address;
        }
    }
}

/// An entry of the list.
#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub status: &'static str,
    pub since_ms: u64,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"porto","type":"twin-slow","group":1,"status":"{}","weight":1.0,"since_ms":{}}}"#,
            self.name, self.address, self.status, self.since_ms
        )
    }
}

struct List {
    index: u64,
    entries: Vec<(u64, Entry)>,
}

impl List {
    fn json(&self, after: Option<u64>) -> String {
        let changed = |at: &u64| after.is_none_or(|after| *at > after);
        let entries: Vec<_> =
            self.entries.iter().filter(|(at, _)| changed(at)).map(|(_, e)| e.json()).collect();
        let (index, whole) = (self.index, after.is_none());
        format!(r#"{{"index":{index},"snapshot":{whole},"endpoints":[{}]}}"#, entries.join(","))
    }
}

/// Discovery, by its page: the whole list at once, changes once there are any or the wait is over.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<(Mutex<List>, Condvar)>,
}

impl Discovery {
    pub fn start(entries: Vec<Entry>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let entries = entries.into_iter().map(|entry| (1, entry)).collect();
        let list = Arc::new((Mutex::new(List { index: 1, entries }), Condvar::new()));
        let this = Self { address: listener.local_addr().unwrap(), list };
        let shared = this.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || shared.serve(stream));
            }
        });
        this
    }

    /// The whole list as it is now.
    pub fn json(&self) -> String {
        self.list.0.lock().unwrap().json(None)
    }

    /// Changes entries, by name.
    pub fn change(&self, changed: Vec<Entry>) {
        let mut list = self.list.0.lock().unwrap();
        list.index += 1;
        let index = list.index;
        for entry in changed {
            list.entries.retain(|(_, e)| e.name != entry.name);
            list.entries.push((index, entry));
        }
        self.list.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut input = BufReader::new(stream.try_clone().ok()?);
        while let Ok(Some(call)) = http::read_head(&mut input) {
            let number = |name: &str| -> Option<u64> {
                let query = call.target().split_once('?')?.1;
                let pair = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
                pair.parse().ok()
            };
            let (after, wait) = (number("after"), number("wait_ms").unwrap_or(0));
            let until = Instant::now() + Duration::from_millis(wait);
            let mut list = self.list.0.lock().unwrap();
            while after.is_some_and(|after| list.index <= after) && Instant::now() < until {
                list = self.list.1.wait_timeout(list, until - Instant::now()).unwrap().0;
            }
            let body = list.json(after);
            drop(list);
            http::answer(&mut stream, 200, "Content-Type: application/json\r\n", body.as_bytes()).ok()?;
        }
        Some(())
    }
}

/// What a ledger server does with a request: how long it works, and the length of its answer.
#[derive(Clone, Copy)]
pub struct Work {
    pub time: Duration,
    pub answer_bytes: usize,
}

/// A request as it arrived at a ledger server: when its last byte had come.
#[derive(Clone, Copy)]
pub struct Arrival {
    pub at: Instant,
}

/// A ledger server.
#[derive(Clone)]
pub struct Server {
    pub name: String,
    pub address: SocketAddr,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    work: fn(&http::Message) -> Work,
    record: Record,
}

impl Server {
    pub fn start(name: &str, record: &Record, work: fn(&http::Message) -> Work) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (name, record) = (name.to_owned(), record.clone());
        let this = Self { name, address, arrivals: Arc::default(), work, record };
        let shared = this.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || shared.serve(stream));
            }
        });
        this
    }

    pub fn entry(&self) -> Entry {
        Entry { name: self.name.clone(), address: self.address, status: "active", since_ms: 0 }
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut input = BufReader::new(stream.try_clone().ok()?);
        loop {
            let mut request = http::read_head(&mut input).ok()??;
            let id = request.header("x-correlation-id").unwrap_or("").to_owned();
            if let Err(e) = http::read_body(&mut input, &mut request, Duration::ZERO) {
                self.record.line(format_args!(
                    "server {} request {id} broken off: {}",
                    self.name,
                    http::why(&e)
                ));
                return None;
            }
            let arrival = Arrival { at: Instant::now() };
            self.arrivals.lock().unwrap().push(arrival);
            self.record.line(format_args!("server {} runs {id}, {} bytes", self.name, request.length));
            let work = (self.work)(&request);
            thread::sleep(work.time);
            let body = body_for(&id, work.answer_bytes);
            http::answer(&mut stream, 200, "X-Backend-Load: queue=0\r\n", &body).ok()?;
        }
    }
}

/// The body that a ledger server makes for a request.
pub fn body_for(id: &str, bytes: usize) -> Vec<u8> {
    id.bytes().cycle().take(bytes.max(id.len())).collect()
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn dup2(from: i32, to: i32) -> i32;
    fn prctl(option: i32, argument: usize) -> i32;
}

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;

/// prctl's option for the signal that a process gets once its parent has ended.
const PR_SET_PDEATHSIG: i32 = 1;

/// Number of the descriptor through which a listening socket is passed on, by the page.
const PASSED: i32 = 5;

/// A process of a sidecar, killed when this is dropped.
pub struct Process {
    child: Child,
    pub management: SocketAddr,
}

impl Process {
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the process is a child that has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// One operators' call.
    pub fn call(&self, line: &str) -> String {
        let limit = Duration::from_secs(1);
        let answer = || -> io::Result<String> {
            let mut stream = TcpStream::connect_timeout(&self.management, limit)?;
            stream.set_read_timeout(Some(limit))?;
            stream.write_all(format!("{line}\n").as_bytes())?;
            let mut text = String::new();
            io::BufRead::read_line(&mut BufReader::new(stream), &mut text)?;
            Ok(text.trim_end().to_owned())
        };
        answer().unwrap_or_else(|e| http::why(&e).to_owned())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.signal(SIGKILL);
        let _ = self.child.wait();
    }
}

/// What a sidecar is started with.
pub struct Deployment {
    pub root: PathBuf,
    pub run: String,
    pub folder: PathBuf,
    pub record: Record,
}

/// A sidecar: its addresses and configuration, for all of its processes.
pub struct Sidecar<'a> {
    deployment: &'a Deployment,
    name: String,
    folder: PathBuf,
    pub listen: SocketAddr,
    discovery: SocketAddr,
    /// The listening socket, if the platform holds it.
    passed: Option<TcpListener>,
}

static SEED: AtomicU64 = AtomicU64::new(1);

impl Deployment {
    /// Reads where the project is and how it is started, and makes a temporary folder.
    pub fn new(record: &Record) -> io::Result<Self> {
        let root =
            PathBuf::from(std::env::var_os("REVIEW_ROOT").expect("REVIEW_ROOT names the project's root"));
        let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml"))?;
        let run = deploy.lines().find_map(|l| l.strip_prefix("run = \"")?.strip_suffix('"'));
        let run = run.expect("the deploy file has a line `run`").to_owned();
        let folder = PathBuf::from(std::env::var_os("REVIEW_FOLDER").expect("REVIEW_FOLDER names a folder"));
        Ok(Self { root, run, folder, record: record.clone() })
    }

    /// A sidecar with that configuration: the fields beside the addresses, `name` and `seed`.
    pub fn sidecar(&self, name: &str, discovery: &Discovery, passed: bool, fields: &str) -> Sidecar<'_> {
        let folder = self.folder.join(name);
        std::fs::create_dir_all(folder.join("tmp")).unwrap();
        let passed = passed.then(|| TcpListener::bind("127.0.0.1:0").unwrap());
        let listen = passed.as_ref().map_or_else(free_address, |l| l.local_addr().unwrap());
        let known = discovery.json();
        let config = format!(
            r#"{{"name":"{name}","listen":"{listen}","discovery":"{}","seed":"{:016x}","known":{known},{fields}}}"#,
            discovery.address,
            SEED.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed)
        );
        std::fs::write(folder.join("config.json"), config).unwrap();
        Sidecar {
            deployment: self,
            name: name.to_owned(),
            folder,
            listen,
            discovery: discovery.address,
            passed,
        }
    }
}

impl Sidecar<'_> {
    /// Starts a process as the deploy file says.
    pub fn start(&self) -> Process {
        use std::os::fd::AsRawFd;
        use std::os::unix::process::CommandExt;
        let management = free_address();
        let mut command = Command::new("/bin/sh");
        let log = self.folder.join(format!("log-{}", management.port()));
        command.arg("-c").arg(&self.deployment.run).current_dir(&self.deployment.root);
        command.env("LB_NAME", &self.name).env("LB_LISTEN", self.listen.to_string());
        command.env("LB_DISCOVERY", self.discovery.to_string());
        command.env("LB_MANAGEMENT", management.to_string());
        command.env("LB_CONFIG", self.folder.join("config.json")).env("TMPDIR", self.folder.join("tmp"));
        command.env("LB_LOG", std::env::var("LB_LOG").unwrap_or_default());
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(File::create(&log).unwrap());
        let passed = self.passed.as_ref().map(|listener| listener.as_raw_fd());
        if passed.is_some() {
            command.env("LB_PASSED_SOCKET", PASSED.to_string());
        }
        // SAFETY: both calls may be made between fork and exec. The copy of the descriptor stays open over exec, and the
        // process ends with this one, however this one ends.
        unsafe {
            command.pre_exec(move || match passed {
                _ if prctl(PR_SET_PDEATHSIG, SIGKILL as usize) != 0 => Err(io::Error::last_os_error()),
                Some(from) if dup2(from, PASSED) != PASSED => Err(io::Error::last_os_error()),
                _ => Ok(()),
            });
        }
        let process = Process { child: command.spawn().unwrap(), management };
        self.deployment.record.line(format_args!(
            "platform starts {} as process {}",
            self.name,
            process.id()
        ));
        process
    }

    /// Waits until the operators' address and `GET /up` say yes.
    pub fn wait_ready(&self, process: &Process) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            let up =
                || http::get(self.listen, "/up", Duration::from_secs(1)).is_ok_and(|a| a.status() == 200);
            if process.call("health") == "OK" && up() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

/// Whether the disruption is played: it is, unless `TROUBLE` is 0.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A flag that threads share.
#[derive(Clone, Default)]
pub struct Flag(Arc<AtomicBool>);

impl Flag {
    pub fn set(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}
