//! Carries out operators' calls.

use super::call::Call;
use crate::engine::EngineHandle;
use crate::metrics;
use crate::registry_watch::ListStatus;
use crate::service_state::{self, ServiceState};
use crate::state_file::{StateFile, StoreError};
use std::error::Error;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Mutex, watch};
use tokio::time::sleep;

/// How often the state file is looked at for calls that another process has received.
const STATE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Why a call was refused.
#[derive(Debug)]
pub(super) enum CallError {
    /// This process is shutting down.
    Stopping,
    /// The list does not come from a registry.
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

/// What the calls act on.
pub struct Management {
    /// The operators' state. Locked while a call takes effect, so that calls do so one after the other.
    pub state: Mutex<StateFile>,
    /// Whether the sidecar is in service.
    pub service: Rc<watch::Sender<ServiceState>>,
    /// The engine.
    pub engine: EngineHandle,
    /// The status of the registry's list, where a registry is configured.
    pub list_status: Option<ListStatus>,
}

impl Management {
    /// Carries out a call. Its effect holds, here and in the process after this one, once this returns without error.
    pub(super) async fn carry_out(&self, call: Call) -> Result<Reply, CallError> {
        match call {
            // A process that answers has its engine and the clients' socket.
            Call::Health if self.is_stopping() => Err(CallError::Stopping),
            Call::Health => Ok(Reply::Done),
            Call::List => {
                let status = self.list_status.as_ref().ok_or(CallError::NoRegistry)?;
                Ok(Reply::Line(status.summary()))
            }
            Call::Metrics => Ok(Reply::Metrics(metrics::to_prometheus_text())),
            Call::Quiesce => self.set_drained(true).await,
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
        self.take_effect(state).await;
        Ok(Reply::Done)
    }

    async fn set_cordoned(&self, name: String, cordoned: bool) -> Result<Reply, CallError> {
        let state = &mut *self.state.lock().await;
        // A cordoned endpoint may be off the list for a while.
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
        self.take_effect(state).await;
        Ok(Reply::Done)
    }

    async fn take_effect(&self, state: &StateFile) {
        self.engine.set_cordoned(state.state().cordoned.clone()).await;
        service_state::set_drained(&self.service, state.state().drained);
    }

    /// Follows the calls that another process of this sidecar receives. Never returns.
    pub async fn follow_state_file(self: Rc<Self>) {
        loop {
            sleep(STATE_POLL_INTERVAL).await;
            let state = &mut *self.state.lock().await;
            // A file that can't be read now may be readable the next time.
            if state.refresh().await.unwrap_or(false) {
                self.take_effect(state).await;
            }
        }
    }
}
