//! Executes operators' calls.

use super::call::Call;
use crate::engine::EngineHandle;
use crate::metrics;
use crate::registry_watch::RegistryHandle;
use crate::service_state::{self, ServiceState};
use crate::state_file::{StateFile, StoreError};
use std::error::Error;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Mutex, watch};
use tokio::time::sleep;

/// How often the state file is polled for changes by another process.
const STATE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Why a call was rejected.
#[derive(Debug)]
pub(super) enum CallError {
    /// This process is shutting down.
    Stopping,
    /// The endpoint list does not come from a registry.
    NoRegistry,
    /// No endpoint has that name.
    UnknownEndpoint,
    /// The change could not be stored.
    Store(StoreError),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Stopping => f.write_str("this process has been told to stop"),
            Self::NoRegistry => f.write_str("no roster is configured"),
            Self::UnknownEndpoint => f.write_str("unknown id"),
            Self::Store(e) => e.fmt(f),
        }
    }
}

impl Error for CallError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Store(e) => e.source(),
            Self::Stopping | Self::NoRegistry | Self::UnknownEndpoint => None,
        }
    }
}

impl From<StoreError> for CallError {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

/// The answer to a call that succeeded.
pub(super) enum Reply {
    /// The call is in effect.
    Done,
    /// One line of text.
    Line(String),
    /// Metrics in Prometheus' text format.
    Metrics(String),
}

/// The components that calls act on.
pub struct Management {
    /// The operators' state. Locked while a call takes effect, so that calls take effect one after the other.
    pub state: Mutex<StateFile>,
    /// Whether the sidecar is in service.
    pub service: Rc<watch::Sender<ServiceState>>,
    /// The engine.
    pub engine: EngineHandle,
    /// The handle to the registry's list, if a registry is configured.
    pub registry_handle: Option<RegistryHandle>,
}

impl Management {
    /// Executes a call. Once this returns without error, its effect holds, both here and in the process that replaces
    /// this one.
    pub(super) async fn execute(&self, call: Call) -> Result<Reply, CallError> {
        match call {
            // A process that answers here has a running engine and the clients' socket, so it can serve.
            Call::Health if self.is_stopping() => Err(CallError::Stopping),
            Call::Health => Ok(Reply::Done),
            Call::List => {
                let status = self.registry_handle.as_ref().ok_or(CallError::NoRegistry)?;
                Ok(Reply::Line(status.summary()))
            }
            Call::Metrics => Ok(Reply::Metrics(metrics::to_prometheus_text())),
            Call::Drain => self.set_drained(true).await,
            Call::Resume => self.set_drained(false).await,
            Call::Cordon(name) => self.set_cordoned(name, true).await,
            Call::Uncordon(name) => self.set_cordoned(name, false).await,
        }
    }

    fn is_stopping(&self) -> bool {
        *self.service.borrow() >= ServiceState::Stopping
    }

    async fn set_drained(&self, drained: bool) -> Result<Reply, CallError> {
        let stopping = self.is_stopping();
        let state = &mut *self.state.lock().await;
        if stopping && !drained && !state.is_shared() {
            return Err(CallError::Stopping);
        }
        state.change(move |state| state.drained = drained).await?;
        self.apply_state(state).await;
        Ok(Reply::Done)
    }

    async fn set_cordoned(&self, name: String, cordoned: bool) -> Result<Reply, CallError> {
        let state = &mut *self.state.lock().await;
        // A cordoned endpoint may be temporarily absent from the list.
        if !state.state().cordoned.contains(&name) && !self.engine.is_known(&name).await {
            return Err(CallError::UnknownEndpoint);
        }
        let change = state.change(move |state| {
            if cordoned {
                state.cordoned.insert(name);
            } else {
                state.cordoned.remove(&name);
            }
        });
        change.await?;
        self.apply_state(state).await;
        Ok(Reply::Done)
    }

    async fn apply_state(&self, state: &StateFile) {
        self.engine.set_cordoned(state.state().cordoned.clone()).await;
        service_state::set_drained(&self.service, state.state().drained);
    }

    /// Applies changes of the state by another process of this sidecar. Never returns.
    pub async fn follow_state_file(self: Rc<Self>) {
        loop {
            sleep(STATE_POLL_INTERVAL).await;
            let state = &mut *self.state.lock().await;
            // A file that can't be read now is tried again after the next interval.
            if state.refresh().await.unwrap_or(false) {
                self.apply_state(state).await;
            }
        }
    }
}
