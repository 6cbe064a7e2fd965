//! The sidecar's configuration: the file that `LB_CONFIG` names, and the environment variables that override it.

mod error;

pub use error::{ConfigError, InvalidConfig};

use crate::endpoint_list::ListMessage;
use crate::file_access;
use crate::registry_watch::RegistryConfig;
use crate::resource_limits::ResourceLimits;
use crate::retry::retry_at_startup;
use lotusmoor_balancer::settings::{self, DecodedSettings};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::collections::BTreeSet;
use std::ffi::OsString;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// The environment variable that names the configuration file.
const FILE_VARIABLE: &str = "LB_CONFIG";
/// The environment variable for the address that clients connect to.
const LISTEN_VARIABLE: &str = "LB_LISTEN";
/// The environment variable for the address of discovery.
const DISCOVERY_VARIABLE: &str = "LB_DISCOVERY";
/// The environment variable for the address that operators connect to.
const MANAGEMENT_VARIABLE: &str = "LB_MANAGEMENT";
/// Time limit for reading the file at a reload. A read that times out is retried.
const RELOAD_READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Minimum number of file descriptors with which requests can be served at all.
const MIN_FILE_DESCRIPTORS: usize = 32;
/// Minimum amount of memory, as the program itself takes a few MB.
const MIN_MEMORY_MB: usize = 16;
/// Limit on file descriptors if the file sets none.
const DEFAULT_FILE_DESCRIPTORS: usize = 1024;
/// Limit on memory if the file sets none.
const DEFAULT_MEMORY_MB: usize = 192;

/// The configuration of a sidecar.
pub struct Config {
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The address that operators connect to.
    pub management: Option<SocketAddr>,
    /// Seed for random numbers; each start is given a new one.
    pub seed: u64,
    /// Maximum number of file descriptors that the process may hold.
    pub max_file_descriptors: usize,
    /// Maximum amount of memory that the process may take, in MB.
    pub memory_mb: usize,
    /// The address that receives gossip datagrams from peers.
    pub peer_listen: Option<SocketAddr>,
    /// The gossip addresses of all sidecars of the tier (those of one service's clients), indexed by sidecar number.
    pub peers: Vec<SocketAddr>,
    /// The broadcast address that reaches all of `peers`.
    pub peers_broadcast: Option<SocketAddr>,
    /// The cached endpoint list, used until a newer one arrives.
    pub cached_list: Option<ListMessage>,
    /// The registry that replaces discovery, if one is configured.
    pub registry: Option<RegistryConfig>,
    /// The decoded settings object.
    pub decoded_settings: DecodedSettings,
}

#[derive(Deserialize)]
struct File {
    listen: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    management: Option<SocketAddr>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: FileLimits,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    known: Option<ListMessage>,
    #[serde(alias = "roster")]
    registry: Option<RegistryConfig>,
    settings: Box<RawValue>,
}

#[derive(Deserialize)]
#[serde(default)]
struct FileLimits {
    sockets: usize,
    memory_mb: usize,
}

impl Default for FileLimits {
    fn default() -> Self {
        Self { sockets: DEFAULT_FILE_DESCRIPTORS, memory_mb: DEFAULT_MEMORY_MB }
    }
}

/// The part of the configuration that may change while the sidecar runs.
pub struct ReloadedConfig {
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The services whose servers are watched; `None` if no registry is configured.
    pub services: Option<BTreeSet<String>>,
}

impl Config {
    /// Reads the configuration at startup.
    pub fn from_env() -> Result<Self, ConfigError> {
        let path = file_path()?;
        let text = match retry_at_startup(|| std::fs::read_to_string(&path)) {
            Ok(text) => text,
            Err(source) => return Err(ConfigError::Read { path: path.into(), source }),
        };
        let listen = address_variable(LISTEN_VARIABLE)?;
        let discovery = address_variable(DISCOVERY_VARIABLE)?;
        let mut config = Self::parse(&text, listen, discovery)
            .map_err(|reason| ConfigError::Invalid { path: path.into(), reason })?;
        config.management = address_variable(MANAGEMENT_VARIABLE)?.or(config.management);
        Ok(config)
    }

    /// Reads the file again. The address of discovery is taken from the file alone, as the environment still has the
    /// value from the start of the process. Settings that are not returned take effect only after a restart, but a
    /// file that a startup would reject is rejected here too.
    pub async fn reload() -> Result<ReloadedConfig, ConfigError> {
        let path = file_path()?;
        let contents = file_access::read(Path::new(&path), RELOAD_READ_TIMEOUT).await;
        let text = contents.and_then(|contents| String::from_utf8(contents).map_err(io::Error::other));
        let text = match text {
            Ok(text) => text,
            Err(source) => return Err(ConfigError::Read { path: path.into(), source }),
        };
        let listen = std::env::var(LISTEN_VARIABLE).ok().and_then(|value| value.parse().ok());
        let config = Self::parse(&text, listen, None)
            .map_err(|reason| ConfigError::Invalid { path: path.into(), reason })?;
        let services = config.registry.map(|registry| registry.services);
        Ok(ReloadedConfig { discovery: config.discovery, services })
    }

    /// Parses the text of the file. The addresses `listen` and `discovery` override those in the file.
    fn parse(
        text: &str,
        listen: Option<SocketAddr>,
        discovery: Option<SocketAddr>,
    ) -> Result<Self, InvalidConfig> {
        let file: File = serde_json::from_str(text).map_err(InvalidConfig::Json)?;
        let decoded_settings = settings::decode(file.settings.get()).map_err(InvalidConfig::Settings)?;
        decoded_settings.settings.check().map_err(InvalidConfig::SettingsCheck)?;
        if file.limits.sockets < MIN_FILE_DESCRIPTORS {
            return Err(InvalidConfig::TooFewFileDescriptors { min: MIN_FILE_DESCRIPTORS });
        }
        if file.limits.memory_mb < MIN_MEMORY_MB {
            return Err(InvalidConfig::TooLittleMemory { min_mb: MIN_MEMORY_MB });
        }
        if let Some(registry) = &file.registry {
            registry.check().map_err(InvalidConfig::Registry)?;
        }
        Ok(Self {
            listen: listen.or(file.listen).ok_or(InvalidConfig::NoListenAddress)?,
            discovery: discovery.or(file.discovery).ok_or(InvalidConfig::NoDiscoveryAddress)?,
            management: file.management,
            seed: seed(&file.seed),
            max_file_descriptors: file.limits.sockets,
            memory_mb: file.limits.memory_mb,
            peer_listen: file.peer_listen,
            peers: file.peers,
            peers_broadcast: file.peers_all,
            cached_list: file.known,
            registry: file.registry,
            decoded_settings,
        })
    }

    /// The resource limits of one of `processes` processes that share the limits of this sidecar.
    pub fn limits(&self, processes: usize) -> ResourceLimits {
        ResourceLimits::new(self.max_file_descriptors / processes, self.memory_mb / processes)
    }

    /// The longest deadline of all classes.
    pub fn longest_deadline(&self) -> Duration {
        let deadlines = self.decoded_settings.settings.classes.iter().map(|class| class.deadline);
        Duration::from_micros(deadlines.max().unwrap_or(0).unsigned_abs())
    }
}

fn file_path() -> Result<OsString, ConfigError> {
    std::env::var_os(FILE_VARIABLE).ok_or(ConfigError::FileVariableNotSet)
}

fn address_variable(variable: &'static str) -> Result<Option<SocketAddr>, ConfigError> {
    let Ok(value) = std::env::var(variable) else { return Ok(None) };
    match value.parse() {
        Ok(address) => Ok(Some(address)),
        Err(_) => Err(ConfigError::Address { variable, value }),
    }
}

/// The seed is usually 16 hexadecimal digits; any other text is folded into a seed.
fn seed(text: &str) -> u64 {
    u64::from_str_radix(text, 16)
        .unwrap_or_else(|_| text.bytes().fold(0, |sum, byte| sum.rotate_left(8) ^ u64::from(byte)))
}

#[cfg(test)]
mod tests;
