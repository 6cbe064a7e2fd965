//! Reloads the configuration on SIGHUP.

use crate::config::{Config, ConfigError, ReloadedConfig};
use crate::engine::EngineHandle;
use crate::log::log_line;
use crate::registry_watch::RegistryHandle;
use crate::retry::Backoff;
use std::future::pending;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Pause after the first failed read of a file that can't be read now.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Maximum pause between two reads.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Reloads the configuration, with retries while its file can't be read.
pub struct Reloader {
    engine: EngineHandle,
    registry_handle: Option<RegistryHandle>,
    requested: Option<RequestedReload>,
}

/// A requested reload that has not succeeded yet.
struct RequestedReload {
    due: Instant,
    backoff: Backoff,
}

impl Reloader {
    /// Creates a reloader that applies changes to the engine and, if a registry is configured, to its watch.
    pub fn new(engine: EngineHandle, registry_handle: Option<RegistryHandle>) -> Self {
        Self { engine, registry_handle, requested: None }
    }

    /// Requests a reload.
    pub fn request(&mut self) {
        let backoff = Backoff::new(FIRST_RETRY_PAUSE, MAX_RETRY_PAUSE);
        self.requested = Some(RequestedReload { due: Instant::now(), backoff });
    }

    /// Waits until a requested reload is due, and reads the configuration. Cancel safe: if the future is dropped, as
    /// for another request, the call can be repeated.
    pub async fn read(&self) -> Result<ReloadedConfig, ConfigError> {
        match &self.requested {
            Some(requested) => sleep_until(requested.due).await,
            None => pending().await,
        }
        Config::reload().await
    }

    /// Applies the configuration that was read, or schedules a retry if the file can't be read now.
    pub fn finish(&mut self, read: Result<ReloadedConfig, ConfigError>) {
        match read {
            Ok(config) => {
                self.requested = None;
                self.apply(config);
            }
            Err(e) if e.is_transient() => {
                if let Some(requested) = &mut self.requested {
                    let pause = requested.backoff.next_pause();
                    log_line!("{e}: retrying in {} ms", pause.as_millis());
                    requested.due = Instant::now() + pause;
                }
            }
            Err(e) => {
                self.requested = None;
                log_line!("the configuration stays as it was: {e}");
            }
        }
    }

    fn apply(&self, config: ReloadedConfig) {
        let address = config.discovery;
        log_line!("configuration read again, discovery at {address}");
        self.engine.set_discovery_address(address);
        // Adding or removing the registry takes effect with the next process.
        if let (Some(registry_handle), Some(services)) = (&self.registry_handle, config.services) {
            registry_handle.watch_services(services);
        }
    }
}
