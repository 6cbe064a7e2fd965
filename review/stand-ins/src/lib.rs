//! Stand-ins that speak the protocol page's HTTP/1.1: discovery, ledger servers, clients, and the start of a sidecar.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What a script ends with.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// The version of the list of ledger servers.
const LIST_INDEX: u64 = 1;

/// Whether the disruption is played: `TROUBLE=0` leaves it out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// The record of a run: what was sent, answered and run, each line with its time in seconds.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    /// Opens the record that the script has begun.
    pub fn open(path: &Path) -> io::Result<Self> {
        let file = File::options().append(true).create(true).open(path)?;
        Ok(Self(Arc::new((Instant::now(), Mutex::new(file)))))
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.0.0.elapsed().as_secs_f64();
        let _ = writeln!(self.0.1.lock().unwrap(), "{at:9.4} {}", text.as_ref());
    }
}

/// FNV-1a, to tell bodies apart in the record.
pub fn hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x100_0000_01b3))
}

/// Bytes that differ from place to place and from request to request, and hold no line ends.
pub fn body(seed: u64, length: usize) -> Vec<u8> {
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    (0..length)
        .map(|_| {
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            b'a' + (state % 26) as u8
        })
        .collect()
}

/// The head of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: HashMap<String, String>,
}

impl Head {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// One side of a connection, with what was read and not used.
pub struct Peer {
    pub stream: TcpStream,
    unread: Vec<u8>,
}

impl Peer {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, unread: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut piece = [0; 16 << 10];
        let length = self.stream.read(&mut piece)?;
        if length == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.unread.extend_from_slice(&piece[..length]);
        Ok(())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.unread.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.unread.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            self.fill()?;
        }
    }

    /// Reads a head.
    pub fn head(&mut self) -> io::Result<Head> {
        let mut head = Head { first_line: self.line()?, ..Head::default() };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(head);
            }
            if let Some((name, value)) = line.split_once(':') {
                head.headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
            }
        }
    }

    fn exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.unread.len() < length {
            self.fill()?;
        }
        Ok(self.unread.drain(..length).collect())
    }

    /// Reads the body that belongs to a head.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            let mut body = Vec::new();
            loop {
                let line = self.line()?;
                let size = line.split(';').next().unwrap_or("").trim();
                let size = usize::from_str_radix(size, 16).map_err(io::Error::other)?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    return Ok(body);
                }
                body.extend(self.exactly(size)?);
                self.line()?;
            }
        }
        let length = head.header("content-length").parse().unwrap_or(0);
        self.exactly(length)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// An answer with a status, further header lines and a body.
pub fn answer(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Serves every connection of a listener on a thread of its own, until the handler fails.
pub fn serve(listener: TcpListener, handler: impl Fn(&mut Peer) -> io::Result<()> + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let mut peer = Peer::new(stream);
                while handler(&mut peer).is_ok() {}
            });
        }
    });
}

pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

/// One entry of discovery's list.
#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub status: &'static str,
    pub since_ms: u64,
}

impl Entry {
    pub fn active(name: &str, address: SocketAddr) -> Self {
        Self { name: name.to_owned(), address, status: "active", since_ms: 0 }
    }

    fn json(&self) -> String {
        let Self { name, address, status, since_ms } = self;
        format!(
            r#"{{"name":"{name}","address":"{address}","zone":"porto","type":"fast-single","group":0,"status":"{status}","weight":1.0,"since_ms":{since_ms}}}"#
        )
    }
}

/// A list in discovery's form.
pub fn list(index: u64, snapshot: bool, entries: &[Entry]) -> String {
    let entries: Vec<_> = entries.iter().map(Entry::json).collect();
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(","))
}

/// Discovery with a list that does not change: it answers whole lists at once, and watches at the end of their wait.
pub struct Discovery {
    pub address: SocketAddr,
}

impl Discovery {
    pub fn start(entries: Vec<Entry>) -> io::Result<Self> {
        let listener = listen();
        let address = listener.local_addr()?;
        serve(listener, move |peer| {
            let head = peer.head()?;
            let target = head.first_line.split(' ').nth(1).unwrap_or("");
            let query = target.split_once('?').map_or("", |(_, query)| query);
            let number = |name: &str| -> Option<u64> {
                query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
            };
            let text = match number("after") {
                None => list(LIST_INDEX, true, &entries),
                Some(_) => {
                    thread::sleep(Duration::from_millis(number("wait_ms").unwrap_or(0).min(60_000)));
                    list(LIST_INDEX, false, &[])
                }
            };
            peer.write(&answer("200 OK", "Content-Type: application/json\r\n", text.as_bytes()))
        });
        Ok(Self { address })
    }
}

/// The settings of a small deployment: those of the wire page.
pub const SETTINGS: &str = r#"{"Balancers":4,"Clients":{"MarksRetry":true},"CountedBy":"request","Discovery":"pushed",
"Family":"mesh","FamilyInfo":{"WarmKeys":true},
"Goal":{"Whole":0.7,"WorstClass":0.2,"WorstTenant":0.0,"WorstWindow":0.1},"Index":0,
"Kinds":["fast-single","twin-slow","small-single"],
"Lanes":[
{"AimUs":400000,"DeadlineUs":2000000,"DedupScope":"all","Effect":"pure","KeyTtlUs":5000000,"LateShare":0.0,"Name":"ledger-read","Streaming":false,"Worth":2.0},
{"AimUs":1000000,"DeadlineUs":3000000,"DedupScope":"all","Effect":"token","KeyTtlUs":7500000,"LateShare":0.0,"Name":"entry-post","Streaming":false,"Worth":5.0},
{"AimUs":1000000,"DeadlineUs":3000000,"DedupScope":"all","Effect":"token","KeyTtlUs":2000000,"LateShare":0.0,"Name":"invoice-issue","Streaming":false,"Worth":5.0}],
"Limits":{"CpuUsPerRequest":0.0,"CpuUsPerS":8816,"DialTimeoutUs":150000,"IdleCloseUs":10000000,"MaxAttempts":5,"MaxRetryAfterUs":2500000,"MayCancel":true,"MayDuplicate":false,"MostHeld":22042,"Peers":false,"Probes":true,"RetryAfter":true,"StreamsPerConn":1},
"OverShareWorth":0.1,
"Prices":{"Connection":0.0,"CrossZone":0.03,"Discovery":0.0,"Handshake":0.0,"LateFail":0.033,"Moves":0.0,"Origin":0.0,"Peer":0.0,"Probe":0.0091,"Waste":0.023},
"Report":{"Fields":["waiting"],"Source":"piggyback"},
"Rules":{"AnswerSlackUs":20000,"AskWithinUs":10000000,"ColdShare":0.12,"DrainGraceUs":2000000,"OverloadFactor":3.0,"TipAfterUs":3000000,"WarmWithinUs":23000000},
"Tenants":[],"TickUs":5000,"Tier":0,"Tiers":["ledger"],"WeightSource":"rough","Zone":"porto","Zones":["porto","coimbra","lisboa"]}"#;

/// A running sidecar; it is killed when this is dropped.
pub struct Sidecar {
    pub address: SocketAddr,
    pub process: Child,
    _folder: TemporaryFolder,
}

/// The command that the deploy file gives for `run`.
fn run_command() -> io::Result<String> {
    let text = fs::read_to_string("deploy/balancer.toml")?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
    line.map(str::to_owned).ok_or_else(|| io::Error::other("the deploy file has no run"))
}

/// A new folder for temporary files, removed when this is dropped.
pub struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    pub fn create() -> io::Result<Self> {
        static NUMBER: AtomicU64 = AtomicU64::new(0);
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let name = format!("review-{}-{}-{number}", std::process::id(), nanos());
        let folder = Self(std::env::temp_dir().join(name));
        fs::create_dir_all(folder.path())?;
        Ok(folder)
    }

    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn nanos() -> u32 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().subsec_nanos()
}

/// The limits in a sidecar's configuration.
#[derive(Clone, Copy)]
pub struct Limits {
    pub sockets: usize,
    pub memory_mb: u64,
}

/// The most that the pages name.
pub const MOST: Limits = Limits { sockets: 1024, memory_mb: 192 };

impl Sidecar {
    /// Starts a sidecar from the project's root, and waits until it is ready.
    pub fn start(discovery: SocketAddr, known: &[Entry], limits: Limits, log: &Path) -> io::Result<Self> {
        let folder = TemporaryFolder::create()?;
        fs::create_dir(folder.path().join("tmp"))?;
        let address = listen().local_addr()?;
        let Limits { sockets, memory_mb } = limits;
        let config = format!(
            r#"{{"name":"n1","listen":"{address}","discovery":"{discovery}","seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"known":{},"settings":{SETTINGS}}}"#,
            nanos(),
            list(LIST_INDEX, true, known)
        );
        let file = folder.path().join("config.json");
        fs::write(&file, config)?;
        let process = Command::new("/bin/sh")
            .args(["-c", &run_command()?])
            .env("LB_NAME", "n1")
            .env("LB_LISTEN", address.to_string())
            .env("LB_DISCOVERY", discovery.to_string())
            .env("LB_CONFIG", &file)
            .env("LB_LOG", "requests")
            .env("TMPDIR", folder.path().join("tmp"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(log)?)
            .spawn()?;
        let sidecar = Self { address, process, _folder: folder };
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            let ready = TcpStream::connect(address).and_then(|stream| {
                let mut peer = Peer::new(stream);
                peer.write(b"GET /up HTTP/1.1\r\nHost: api.internal\r\n\r\n")?;
                Ok(peer.head()?.status() == 200)
            });
            if matches!(ready, Ok(true)) {
                return Ok(sidecar);
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(io::Error::other("the sidecar did not get ready"))
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// The head of a client's request.
pub fn request_head(class: &str, id: &str, time_left_ms: u64, key: &str, framing: &str) -> String {
    let (method, key) = match class {
        "ledger-read" => ("GET", String::new()),
        _ => ("POST", format!("Idempotency-Key: {key}\r\n")),
    };
    format!(
        "{method} /api HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {class}\r\n\
         X-Time-Left: {time_left_ms}m\r\n{key}{framing}\r\n"
    )
}

/// Runs a case, whose record is the first argument, and ends the process with its result.
pub fn run_case(case: impl FnOnce(&Record, &Path) -> io::Result<bool>) -> ! {
    let path = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned()));
    let folder = path.parent().unwrap_or(Path::new("")).to_owned();
    let result = Record::open(&path).and_then(|record| {
        let held = case(&record, &folder).inspect_err(|e| record.line(format!("could not run: {e}")))?;
        record.line(if held { "RULE HELD" } else { "RULE BROKEN" });
        Ok(held)
    });
    let code = match result {
        Ok(true) => HELD,
        Ok(false) => BROKEN,
        Err(e) => {
            eprintln!("the case could not run: {e}");
            COULD_NOT_RUN
        }
    };
    println!("{}", ["the rule held", "the rule was broken", "the case could not run"][code as usize]);
    std::process::exit(code);
}
