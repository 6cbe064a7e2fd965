//! `lotusmoor registry`: the service registry, and calls to it.

use crate::Failure;
use hyper::{Method, StatusCode};
use lotusmoor_registry::config::Config;
use lotusmoor_registry::core::parse_services;
use lotusmoor_registry::explore::{explore, run_schedule};
use lotusmoor_registry::http::Client;
use lotusmoor_registry::node::unix_ms;
use lotusmoor_registry::process;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

#[derive(clap::Subcommand)]
pub enum Command {
    /// Run a replica: alone it founds a list, with --join it is taken into one
    #[command(after_help = "Examples:
  lotusmoor registry serve
  lotusmoor registry serve --id 2 --listen 127.0.0.1:7402 --folder roster-2 --join 127.0.0.1:7400
  lotusmoor registry serve --config roster.toml
  lotusmoor registry serve --folder fresh --restore roster.backup")]
    Serve {
        /// A configuration file; what is given beside it goes before it
        #[arg(long)]
        config: Option<PathBuf>,
        /// Its number
        #[arg(long)]
        id: Option<u64>,
        /// Where it listens
        #[arg(long)]
        listen: Option<SocketAddr>,
        /// Where other replicas reach it, if not where it listens
        #[arg(long)]
        address: Option<String>,
        /// Where its file lies
        #[arg(long)]
        folder: Option<PathBuf>,
        /// A replica of the list that it belongs to; may be given several times
        #[arg(long)]
        join: Vec<String>,
        /// Where it reaches another replica, as NUMBER=ADDRESS, if not at the address that that one gives
        #[arg(long, value_parser = way)]
        via: Vec<(String, String)>,
        /// How its file is written: 3, or 2 as the version before did, which has no services
        #[arg(long)]
        format: Option<u32>,
        /// Found the list anew from a backup, in an empty folder
        #[arg(long, conflicts_with = "join")]
        restore: Option<PathBuf>,
    },
    /// Who leads, who belongs, and how old what a replica knows can be
    Status(At),
    /// The list
    List {
        #[command(flatten)]
        at: At,
        /// With all that was acknowledged before this call
        #[arg(long)]
        consistent: bool,
        /// Servers of this service alone; several, separated by commas
        #[arg(long, value_delimiter = ',')]
        service: Vec<String>,
    },
    /// Changes, the oldest first
    History {
        #[command(flatten)]
        at: At,
        /// After this index
        #[arg(long, default_value_t = 0)]
        after: u64,
    },
    /// Register a server, or change it
    #[command(after_help = "Examples:
  lotusmoor registry register ledger-7 127.0.0.1:8443 --service ledger --zone porto --lease-ms 6000")]
    Register {
        #[command(flatten)]
        at: At,
        /// Its name
        name: String,
        /// Where sidecars reach it
        address: SocketAddr,
        /// The service that it is a server of
        #[arg(long)]
        service: Option<String>,
        /// Its zone
        #[arg(long)]
        zone: Option<String>,
        /// Its region
        #[arg(long)]
        region: Option<String>,
        /// Its kind of machine
        #[arg(long = "type")]
        kind: Option<String>,
        /// Its cell
        #[arg(long, default_value_t = 0)]
        group: u64,
        /// Its size
        #[arg(long, default_value_t = 1.0)]
        weight: f64,
        /// Unix time in milliseconds of its last start
        #[arg(long, default_value_t = 0)]
        since_ms: i64,
        /// It has to be renewed so often; 0: it stays until it is removed
        #[arg(long, default_value_t = 0)]
        lease_ms: u64,
        #[command(flatten)]
        expect: Expect,
    },
    /// Register a server and renew it until this is told to stop; then it is drained and removed
    #[command(after_help = "Examples:
  lotusmoor registry keep ledger-7 127.0.0.1:8443 --service ledger --zone porto")]
    Keep {
        #[command(flatten)]
        at: At,
        /// Its name
        name: String,
        /// Where sidecars reach it
        address: SocketAddr,
        /// The service that it is a server of
        #[arg(long)]
        service: Option<String>,
        /// Its zone
        #[arg(long)]
        zone: Option<String>,
        /// It is taken for gone when it was not heard of for so long
        #[arg(long, default_value_t = 6000)]
        lease_ms: u64,
        /// From the drain to the removal
        #[arg(long, default_value_t = 5000)]
        drain_ms: u64,
    },
    /// Say that a server is there
    Renew {
        #[command(flatten)]
        at: At,
        /// Its name
        name: String,
    },
    /// A server is to get nothing new
    Drain(ByName),
    /// A drained server may get requests again
    Resume(ByName),
    /// A server is gone
    Remove(ByName),
    /// Write the list into a file, from which `serve --restore` founds it anew
    Backup {
        #[command(flatten)]
        at: At,
        /// The file
        #[arg(long)]
        out: PathBuf,
    },
    /// Play drawn schedules of faults over three replicas in simulated time, and check what must hold
    #[command(after_help = "Examples:
  lotusmoor registry explore --schedules 3000
  lotusmoor registry explore --seed 4711 --schedules 1 --timeline")]
    Explore {
        /// The first seed
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many
        #[arg(long, default_value_t = 1000)]
        schedules: u64,
        /// How many at a time; 0 for as many as there are cores
        #[arg(long, default_value_t = 0)]
        cores: usize,
        /// Print what was done in the first of them
        #[arg(long)]
        timeline: bool,
    },
    /// Remove a replica for good; its number is not given out again
    PutOut {
        #[command(flatten)]
        at: At,
        /// Its number
        id: u64,
    },
}

#[derive(clap::Args)]
pub struct At {
    /// A replica; several, separated by commas, are tried in turn
    #[arg(
        long,
        alias = "roster",
        env = "LOTUSMOOR_ROSTER",
        default_value = "127.0.0.1:7400",
        value_delimiter = ','
    )]
    registry: Vec<String>,
}

#[derive(clap::Args)]
pub struct Expect {
    /// Only where the server last changed at this index; 0: only where it is not listed
    #[arg(long)]
    expect: Option<u64>,
}

#[derive(clap::Args)]
pub struct ByName {
    #[command(flatten)]
    at: At,
    /// The server's name
    name: String,
    #[command(flatten)]
    expect: Expect,
}

/// Carries a command out.
pub fn run(command: Command) -> Result<(), Failure> {
    // It has runtimes of its own.
    if let Command::Explore { seed, schedules, cores, timeline } = command {
        return explored(seed, schedules, cores, timeline);
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .map_err(|e| Failure::Said(e.to_string()))?;
    runtime.block_on(carry_out(command))
}

async fn carry_out(command: Command) -> Result<(), Failure> {
    let none = Value::Null;
    match command {
        Command::Serve { config, id, listen, address, folder, join, via, format, restore } => {
            let path = config.clone().unwrap_or_else(|| "arguments".into());
            let mut c = config.as_deref().map_or_else(|| Ok(Config::default()), Config::read)?;
            c.id = id.unwrap_or(c.id);
            c.listen = listen.unwrap_or(c.listen);
            c.address = address.or(c.address);
            c.folder = folder.unwrap_or(c.folder);
            c.format = format.unwrap_or(c.format);
            if !join.is_empty() {
                c.join = join;
            }
            c.address_overrides.extend(via);
            c.check(Path::new(&path))?;
            process::run(c, restore).await?;
        }
        Command::Explore { .. } => {}
        Command::Status(at) => show(&at.ask(Method::GET, "/v1/status", &none).await?),
        Command::List { at, consistent, service } => {
            let mut path = format!("/v1/list?consistent={consistent}");
            if !service.is_empty() {
                let services =
                    parse_services(&service.join(",")).map_err(|e| Failure::Said(e.to_string()))?;
                path.push_str(&format!("&services={}", services.join(",")));
            }
            let list = at.ask(Method::GET, &path, &none).await?;
            if !service.is_empty() && !list["services"].is_array() {
                let what = "the replica does not know services, or runs with an older --format";
                return Err(Failure::Said(what.into()));
            }
            println!(
                "epoch {} index {} from replica {}, {} ms old",
                list["epoch"], list["index"], list["replica"], list["age_ms"]
            );
            for e in list["endpoints"].as_array().into_iter().flatten() {
                let text = |key: &str| e[key].as_str().unwrap_or("-").to_owned();
                println!(
                    "{:24} {:22} {:8} {:10} {:16} {:10} {:10} weight {}",
                    text("name"),
                    text("address"),
                    text("status"),
                    text("why"),
                    text("service"),
                    text("zone"),
                    text("type"),
                    e["weight"]
                );
            }
        }
        Command::History { at, after } => {
            let history = at.ask(Method::GET, &format!("/v1/history?after={after}"), &none).await?;
            for c in history["changes"].as_array().into_iter().flatten() {
                println!("{} {} {} {} {}", c["index"], c["at_ms"], c["name"], c["status"], c["why"]);
            }
        }
        Command::Register {
            at,
            name,
            address,
            service,
            zone,
            region,
            kind,
            group,
            weight,
            since_ms,
            lease_ms,
            expect,
        } => {
            let mut body = json!({"address": address, "zone": zone, "region": region, "type": kind, "group": group,
                "weight": weight, "since_ms": since_ms, "lease_ms": lease_ms, "expect": expect.expect});
            name_service(&mut body, service);
            show(&at.ask(Method::PUT, &format!("/v1/servers/{name}"), &body).await?);
        }
        Command::Keep { at, name, address, service, zone, lease_ms, drain_ms } => {
            let mut server =
                json!({"address": address, "zone": zone, "since_ms": unix_ms(), "lease_ms": lease_ms});
            name_service(&mut server, service);
            keep(&at, &name, &server, lease_ms, drain_ms).await?;
        }
        Command::Renew { at, name } => {
            show(&at.ask(Method::POST, &format!("/v1/servers/{name}/renew"), &none).await?)
        }
        Command::Drain(by) => by.ask(Method::POST, "/drain").await?,
        Command::Resume(by) => by.ask(Method::POST, "/resume").await?,
        Command::Remove(by) => by.ask(Method::DELETE, "").await?,
        Command::Backup { at, out } => {
            let bytes = at.call(Method::GET, "/v1/backup", Vec::new()).await?;
            // Beside it first: a backup that is cut off must not take the place of one that is whole.
            let beside = out.with_extension("new");
            let put = std::fs::write(&beside, &bytes).and_then(|()| std::fs::rename(&beside, &out));
            put.map_err(|e| Failure::Said(format!("{}: {e}", out.display())))?;
            let list = process::read_backup(&out)?;
            println!("{}: version {}, {} servers", out.display(), list.version(), list.entries().len());
        }
        Command::PutOut { at, id } => {
            show(&at.ask(Method::DELETE, &format!("/v1/replicas/{id}"), &none).await?)
        }
    }
    Ok(())
}

/// Where there is one: replicas of the version before do not know the key.
fn name_service(server: &mut Value, service: Option<String>) {
    if let Some(service) = service {
        server["service"] = service.into();
    }
}

fn explored(seed: u64, schedules: u64, cores: usize, timeline: bool) -> Result<(), Failure> {
    if timeline {
        run_schedule(seed, None).timeline.iter().for_each(|line| println!("{line}"));
    }
    let all = std::thread::available_parallelism().map_or(1, usize::from);
    let explored = explore(seed, schedules, if cores > 0 { cores } else { all }, None);
    let totals = explored.totals;
    println!(
        "{} schedules, {} faults, {} calls answered and {} not, {} rules broken",
        explored.schedules,
        totals.faults,
        totals.answered_calls,
        totals.unanswered_calls,
        explored.violations.len()
    );
    for violation in &explored.violations {
        println!("seed {}: {}", violation.seed, violation.description);
    }
    match explored.violations.first() {
        Some(first) => Err(Failure::Said(format!("seed {}: {}", first.seed, first.description))),
        None => Ok(()),
    }
}

fn way(text: &str) -> Result<(String, String), String> {
    let (id, at) = text.split_once('=').ok_or("not of the form NUMBER=ADDRESS")?;
    id.parse::<u64>().map_err(|e| format!("{id}: {e}"))?;
    Ok((id.to_owned(), at.to_owned()))
}

/// Registers and renews until told to stop, then drains and removes. What fails is tried again.
async fn keep(at: &At, name: &str, server: &Value, lease_ms: u64, drain_ms: u64) -> Result<(), Failure> {
    let mut term = signal(SignalKind::terminate()).map_err(|e| Failure::Said(e.to_string()))?;
    let mut int = signal(SignalKind::interrupt()).map_err(|e| Failure::Said(e.to_string()))?;
    let path = format!("/v1/servers/{name}");
    let every = Duration::from_millis((lease_ms / 3).max(50));
    let renewing = async {
        let mut listed = false;
        loop {
            let done = if listed {
                at.ask(Method::POST, &format!("{path}/renew"), &Value::Null).await
            } else {
                at.ask(Method::PUT, &path, server).await
            };
            // Whatever was wrong with a renewal, to register again is right; and soon.
            if let Err(why) = &done {
                tracing::warn!("{name}: {why}");
            }
            let pause = if done.is_ok() { every } else { every / 4 };
            listed = done.is_ok();
            tokio::time::sleep(pause).await;
        }
    };
    tokio::select! {
        () = renewing => {}
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    at.ask(Method::POST, &format!("{path}/drain"), &Value::Null).await?;
    tokio::time::sleep(Duration::from_millis(drain_ms)).await;
    at.ask(Method::DELETE, &path, &Value::Null).await?;
    Ok(())
}

fn show(answer: &Value) {
    println!("{answer:#}");
}

impl ByName {
    async fn ask(&self, method: Method, what: &str) -> Result<(), Failure> {
        let body = json!({"expect": self.expect.expect});
        show(&self.at.ask(method, &format!("/v1/servers/{}{what}", self.name), &body).await?);
        Ok(())
    }
}

impl At {
    async fn ask(&self, method: Method, path: &str, body: &Value) -> Result<Value, Failure> {
        let body = if body.is_null() { Vec::new() } else { body.to_string().into_bytes() };
        let bytes = self.call(method, path, body).await?;
        serde_json::from_slice(&bytes).map_err(|e| Failure::Said(format!("unreadable answer: {e}")))
    }

    /// The first answer that is none of a replica that can't.
    async fn call(&self, method: Method, path: &str, body: Vec<u8>) -> Result<Vec<u8>, Failure> {
        let client = Client::default();
        let mut last = String::new();
        for at in &self.registry {
            let patience = Duration::from_secs(10);
            match client.call(method.clone(), at, path, body.clone(), patience).await {
                Ok((StatusCode::OK, _, answer)) => return Ok(answer.to_vec()),
                Ok((status, _, answer)) => {
                    last = format!("{at}: {status}: {}", String::from_utf8_lossy(&answer));
                    if status.is_client_error() && status != StatusCode::MISDIRECTED_REQUEST {
                        break;
                    }
                }
                Err(error) => last = error.to_string(),
            }
        }
        Err(Failure::Said(last))
    }
}
