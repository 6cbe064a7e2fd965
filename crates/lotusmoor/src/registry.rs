//! `lotusmoor registry`: runs replicas of the service registry, and sends requests to them.

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
    /// Run a replica, which bootstraps a new registry, or joins an existing one with --join
    #[command(after_help = "Examples:
  lotusmoor registry serve
  lotusmoor registry serve --id 2 --listen 127.0.0.1:7402 --folder roster-2 --join 127.0.0.1:7400
  lotusmoor registry serve --config roster.toml
  lotusmoor registry serve --folder fresh --restore roster.backup")]
    Serve {
        /// Configuration file; other options override its values
        #[arg(long)]
        config: Option<PathBuf>,
        /// Replica ID, which no other replica may have or have had
        #[arg(long)]
        id: Option<u64>,
        /// Address on which it listens
        #[arg(long)]
        listen: Option<SocketAddr>,
        /// Address at which other replicas reach it, if not the one on which it listens
        #[arg(long)]
        address: Option<String>,
        /// Folder of its stored data
        #[arg(long)]
        folder: Option<PathBuf>,
        /// Address of a replica of the registry to join; may be given several times
        #[arg(long)]
        join: Vec<String>,
        /// Address at which this replica reaches another one, if not at the address that the other one advertises; may
        /// be given several times
        #[arg(long = "via", value_name = "ID=ADDRESS", value_parser = parse_address_override)]
        address_overrides: Vec<(String, String)>,
        /// Format in which data is stored: 3, or for older releases 2 or 1, which do not support services
        #[arg(long)]
        format: Option<u32>,
        /// Bootstrap a new registry from this backup; the folder must be empty
        #[arg(long, conflicts_with = "join")]
        restore: Option<PathBuf>,
    },
    /// Print a replica's status: the leader, the members, and how old its list may be
    Status(ReplicaAddresses),
    /// Print the list of servers
    List {
        #[command(flatten)]
        replicas: ReplicaAddresses,
        /// Include every write that was acknowledged before this request (linearizable read)
        #[arg(long)]
        consistent: bool,
        /// Only servers of this service, or of several, separated by commas
        #[arg(long, value_delimiter = ',')]
        service: Vec<String>,
    },
    /// Print the changes of the list, the oldest first
    History {
        #[command(flatten)]
        replicas: ReplicaAddresses,
        /// Only changes after this index
        #[arg(long, default_value_t = 0)]
        after: u64,
    },
    /// Register a server, or change its registration
    #[command(after_help = "Examples:
  lotusmoor registry register ledger-7 127.0.0.1:8443 --service ledger --zone porto --lease-ms 6000")]
    Register {
        #[command(flatten)]
        replicas: ReplicaAddresses,
        /// The server's name
        name: String,
        /// Address at which sidecars reach it
        address: SocketAddr,
        /// Its service
        #[arg(long)]
        service: Option<String>,
        /// Its zone
        #[arg(long)]
        zone: Option<String>,
        /// Its region
        #[arg(long)]
        region: Option<String>,
        /// Its machine type
        #[arg(long = "type")]
        machine_type: Option<String>,
        /// Its cell
        #[arg(long = "group", default_value_t = 0)]
        cell: u64,
        /// Its capacity, relative to other servers
        #[arg(long, default_value_t = 1.0)]
        weight: f64,
        /// Unix time in milliseconds of its last start; 0 if it has been running for long
        #[arg(long = "since-ms", default_value_t = 0)]
        started_ms: i64,
        /// Lease duration in milliseconds; 0: no lease, it stays until it is removed
        #[arg(long, default_value_t = 0)]
        lease_ms: u64,
        #[command(flatten)]
        precondition: Precondition,
    },
    /// Register a server and renew its lease until SIGTERM or SIGINT; then drain and remove it
    #[command(after_help = "Examples:
  lotusmoor registry keep ledger-7 127.0.0.1:8443 --service ledger --zone porto")]
    Keep {
        #[command(flatten)]
        replicas: ReplicaAddresses,
        /// The server's name
        name: String,
        /// Address at which sidecars reach it
        address: SocketAddr,
        /// Its service
        #[arg(long)]
        service: Option<String>,
        /// Its zone
        #[arg(long)]
        zone: Option<String>,
        /// Lease duration in milliseconds: the server is taken as gone if its lease is not renewed for this long
        #[arg(long, default_value_t = 6000)]
        lease_ms: u64,
        /// Time between the drain and the removal, in milliseconds
        #[arg(long, default_value_t = 5000)]
        drain_ms: u64,
    },
    /// Renew the lease of a server
    Renew {
        #[command(flatten)]
        replicas: ReplicaAddresses,
        /// The server's name
        name: String,
    },
    /// Drain a server, so that it gets no new requests
    Drain(ServerArguments),
    /// Let a drained server get requests again
    Resume(ServerArguments),
    /// Remove a server from the list
    Remove(ServerArguments),
    /// Write the list to a backup file, from which `serve --restore` bootstraps a new registry
    Backup {
        #[command(flatten)]
        replicas: ReplicaAddresses,
        /// Path of the backup
        #[arg(long)]
        out: PathBuf,
    },
    /// Run random schedules of faults on three simulated replicas, and check the registry's invariants
    #[command(after_help = "Examples:
  lotusmoor registry explore --schedules 3000
  lotusmoor registry explore --seed 4711 --schedules 1 --timeline")]
    Explore {
        /// The first seed
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of schedules, each with the next seed
        #[arg(long, default_value_t = 1000)]
        schedules: u64,
        /// Number of schedules in parallel; 0 for the number of cores
        #[arg(long, default_value_t = 0)]
        cores: usize,
        /// Print the events of the first schedule
        #[arg(long)]
        timeline: bool,
    },
    /// Remove a replica from the registry permanently; its ID can't be used again
    #[command(name = "put-out")]
    RemoveReplica {
        #[command(flatten)]
        replicas: ReplicaAddresses,
        /// Its ID
        id: u64,
    },
}

#[derive(clap::Args)]
pub struct ReplicaAddresses {
    /// Address of a replica; several, separated by commas, are tried in turn
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
pub struct Precondition {
    /// Apply the change only if the server last changed at this index; 0: only if it is not listed
    #[arg(long)]
    expect: Option<u64>,
}

#[derive(clap::Args)]
pub struct ServerArguments {
    #[command(flatten)]
    replicas: ReplicaAddresses,
    /// The server's name
    name: String,
    #[command(flatten)]
    precondition: Precondition,
}

pub fn run(command: Command) -> Result<(), Failure> {
    // Exploration creates runtimes of its own.
    if let Command::Explore { seed, schedules, cores, timeline } = command {
        return run_explore(seed, schedules, cores, timeline);
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .map_err(|e| Failure::Message(e.to_string()))?;
    runtime.block_on(run_async(command))
}

async fn run_async(command: Command) -> Result<(), Failure> {
    let no_body = Value::Null;
    match command {
        Command::Serve { config, id, listen, address, folder, join, address_overrides, format, restore } => {
            let path = config.clone().unwrap_or_else(|| "arguments".into());
            let mut replica_config = config.as_deref().map_or_else(|| Ok(Config::default()), Config::read)?;
            replica_config.id = id.unwrap_or(replica_config.id);
            replica_config.listen = listen.unwrap_or(replica_config.listen);
            replica_config.address = address.or(replica_config.address);
            replica_config.folder = folder.unwrap_or(replica_config.folder);
            replica_config.format = format.unwrap_or(replica_config.format);
            if !join.is_empty() {
                replica_config.join = join;
            }
            replica_config.address_overrides.extend(address_overrides);
            replica_config.check(Path::new(&path))?;
            process::run(replica_config, restore).await?;
        }
        Command::Explore { .. } => {}
        Command::Status(replicas) => {
            print_json(&replicas.request(Method::GET, "/v1/status", &no_body).await?)
        }
        Command::List { replicas, consistent, service } => {
            let mut path = format!("/v1/list?consistent={consistent}");
            if !service.is_empty() {
                let services =
                    parse_services(&service.join(",")).map_err(|e| Failure::Message(e.to_string()))?;
                path.push_str(&format!("&services={}", services.join(",")));
            }
            let list = replicas.request(Method::GET, &path, &no_body).await?;
            if !service.is_empty() && !list["services"].is_array() {
                let message = "the replica does not support services, or runs with an older --format";
                return Err(Failure::Message(message.into()));
            }
            println!(
                "epoch {} index {} from replica {}, {} ms old",
                list["epoch"], list["index"], list["replica"], list["age_ms"]
            );
            for endpoint in list["endpoints"].as_array().into_iter().flatten() {
                let text = |key: &str| endpoint[key].as_str().unwrap_or("-").to_owned();
                println!(
                    "{:24} {:22} {:8} {:10} {:16} {:10} {:10} weight {}",
                    text("name"),
                    text("address"),
                    text("status"),
                    text("why"),
                    text("service"),
                    text("zone"),
                    text("type"),
                    endpoint["weight"]
                );
            }
        }
        Command::History { replicas, after } => {
            let history =
                replicas.request(Method::GET, &format!("/v1/history?after={after}"), &no_body).await?;
            for change in history["changes"].as_array().into_iter().flatten() {
                println!(
                    "{} {} {} {} {}",
                    change["index"], change["at_ms"], change["name"], change["status"], change["why"]
                );
            }
        }
        Command::Register {
            replicas,
            name,
            address,
            service,
            zone,
            region,
            machine_type,
            cell,
            weight,
            started_ms,
            lease_ms,
            precondition,
        } => {
            let mut body = json!({"address": address, "zone": zone, "region": region, "type": machine_type, "group": cell,
                "weight": weight, "since_ms": started_ms, "lease_ms": lease_ms, "expect": precondition.expect});
            set_service(&mut body, service);
            print_json(&replicas.request(Method::PUT, &format!("/v1/servers/{name}"), &body).await?);
        }
        Command::Keep { replicas, name, address, service, zone, lease_ms, drain_ms } => {
            let mut server =
                json!({"address": address, "zone": zone, "since_ms": unix_ms(), "lease_ms": lease_ms});
            set_service(&mut server, service);
            keep_registered(&replicas, &name, &server, lease_ms, drain_ms).await?;
        }
        Command::Renew { replicas, name } => {
            print_json(&replicas.request(Method::POST, &format!("/v1/servers/{name}/renew"), &no_body).await?)
        }
        Command::Drain(arguments) => arguments.request(Method::POST, "/drain").await?,
        Command::Resume(arguments) => arguments.request(Method::POST, "/resume").await?,
        Command::Remove(arguments) => arguments.request(Method::DELETE, "").await?,
        Command::Backup { replicas, out } => {
            let bytes = replicas.request_bytes(Method::GET, "/v1/backup", Vec::new()).await?;
            // Written to a temporary file first, so that an incomplete backup does not replace a complete one.
            let temporary = out.with_extension("new");
            let written = std::fs::write(&temporary, &bytes).and_then(|()| std::fs::rename(&temporary, &out));
            written.map_err(|e| Failure::Message(format!("{}: {e}", out.display())))?;
            let list = process::read_backup(&out)?;
            println!("{}: version {}, {} servers", out.display(), list.version(), list.entries().len());
        }
        Command::RemoveReplica { replicas, id } => {
            print_json(&replicas.request(Method::DELETE, &format!("/v1/replicas/{id}"), &no_body).await?)
        }
    }
    Ok(())
}

/// Sets the service if there is one; otherwise the key is left out, as older releases do not know it.
fn set_service(server: &mut Value, service: Option<String>) {
    if let Some(service) = service {
        server["service"] = service.into();
    }
}

fn run_explore(seed: u64, schedules: u64, cores: usize, timeline: bool) -> Result<(), Failure> {
    if timeline {
        run_schedule(seed, None).timeline.iter().for_each(|line| println!("{line}"));
    }
    let all_cores = std::thread::available_parallelism().map_or(1, usize::from);
    let exploration = explore(seed, schedules, if cores > 0 { cores } else { all_cores }, None);
    let totals = exploration.totals;
    println!(
        "{} schedules, {} faults, {} calls answered and {} not, {} invariant violations",
        exploration.schedules,
        totals.faults,
        totals.answered_calls,
        totals.unanswered_calls,
        exploration.violations.len()
    );
    for violation in &exploration.violations {
        println!("seed {}: {}", violation.seed, violation.description);
    }
    match exploration.violations.first() {
        Some(first) => Err(Failure::Message(format!("seed {}: {}", first.seed, first.description))),
        None => Ok(()),
    }
}

fn parse_address_override(text: &str) -> Result<(String, String), String> {
    let (id, address) = text.split_once('=').ok_or("not of the form ID=ADDRESS")?;
    id.parse::<u64>().map_err(|e| format!("{id}: {e}"))?;
    Ok((id.to_owned(), address.to_owned()))
}

/// Registers the server and renews its lease until SIGTERM or SIGINT, then drains and removes it. A failed registration
/// or renewal is retried.
async fn keep_registered(
    replicas: &ReplicaAddresses,
    name: &str,
    server: &Value,
    lease_ms: u64,
    drain_ms: u64,
) -> Result<(), Failure> {
    let mut term = signal(SignalKind::terminate()).map_err(|e| Failure::Message(e.to_string()))?;
    let mut int = signal(SignalKind::interrupt()).map_err(|e| Failure::Message(e.to_string()))?;
    let path = format!("/v1/servers/{name}");
    let renewal_interval = Duration::from_millis((lease_ms / 3).max(50));
    let renewing = async {
        let mut is_registered = false;
        loop {
            let result = if is_registered {
                replicas.request(Method::POST, &format!("{path}/renew"), &Value::Null).await
            } else {
                replicas.request(Method::PUT, &path, server).await
            };
            // Whatever made a renewal fail, registering again is right, after a shorter pause.
            if let Err(error) = &result {
                tracing::warn!("cannot register {name} or renew its lease, retrying: {error}");
            }
            let pause = if result.is_ok() { renewal_interval } else { renewal_interval / 4 };
            is_registered = result.is_ok();
            tokio::time::sleep(pause).await;
        }
    };
    tokio::select! {
        () = renewing => {}
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    replicas.request(Method::POST, &format!("{path}/drain"), &Value::Null).await?;
    tokio::time::sleep(Duration::from_millis(drain_ms)).await;
    replicas.request(Method::DELETE, &path, &Value::Null).await?;
    Ok(())
}

fn print_json(response: &Value) {
    println!("{response:#}");
}

impl ServerArguments {
    async fn request(&self, method: Method, path_suffix: &str) -> Result<(), Failure> {
        let body = json!({"expect": self.precondition.expect});
        print_json(
            &self.replicas.request(method, &format!("/v1/servers/{}{path_suffix}", self.name), &body).await?,
        );
        Ok(())
    }
}

impl ReplicaAddresses {
    async fn request(&self, method: Method, path: &str, body: &Value) -> Result<Value, Failure> {
        let body = if body.is_null() { Vec::new() } else { body.to_string().into_bytes() };
        let bytes = self.request_bytes(method, path, body).await?;
        serde_json::from_slice(&bytes).map_err(|e| Failure::Message(format!("invalid response: {e}")))
    }

    /// Tries the replicas in turn until one answers with status 200, or with a client error, which the others would
    /// answer with too. Status 421 is the exception: a follower answers with it when only the leader can handle the
    /// request.
    async fn request_bytes(&self, method: Method, path: &str, body: Vec<u8>) -> Result<Vec<u8>, Failure> {
        let client = Client::default();
        let mut last_error = String::new();
        for address in &self.registry {
            let timeout = Duration::from_secs(10);
            match client.call(method.clone(), address, path, body.clone(), timeout).await {
                Ok((StatusCode::OK, _, response)) => return Ok(response.to_vec()),
                Ok((status, _, response)) => {
                    last_error = format!("{address}: {status}: {}", String::from_utf8_lossy(&response));
                    if status.is_client_error() && status != StatusCode::MISDIRECTED_REQUEST {
                        break;
                    }
                }
                Err(error) => last_error = error.to_string(),
            }
        }
        Err(Failure::Message(last_error))
    }
}
