//! Commands of the replicated log: the changes that can be made to the endpoint list.
//!
//! Commands are stored in the log and sent between replicas, so their serialized names are fixed.

use super::list::List;
use lotusmoor_registry_client::Entry;
use serde::{Deserialize, Serialize};

/// A change to the endpoint list.
///
/// `expect` makes a command conditional: it is the index at which the endpoint must last have changed, or 0 if it must
/// not be listed. `at_ms` is the caller's Unix time, which is only recorded in the history.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum Command {
    /// Starts a new epoch of the list, which must be higher than the previous one. An epoch lasts from one bootstrap of
    /// the list to the next; unlike a Raft term, it does not change with the leader.
    #[serde(rename = "Found")]
    Bootstrap {
        /// The epoch, as Unix time in seconds.
        epoch: u64,
        /// The list to restore, if any; its version is older than all versions of the new epoch.
        #[serde(default, rename = "from", skip_serializing_if = "Option::is_none")]
        backup: Option<Box<List>>,
    },
    /// Registers endpoints atomically: all of them or none.
    #[serde(rename = "Put")]
    Register {
        /// The endpoints.
        servers: Vec<Registration>,
        /// Expected index of the first endpoint.
        expect: Option<u64>,
        /// Unix time in milliseconds.
        at_ms: u64,
    },
    /// Marks an endpoint as draining: it gets no new requests.
    Drain {
        /// The endpoint's name.
        name: String,
        /// Expected index.
        expect: Option<u64>,
        /// Unix time in milliseconds.
        at_ms: u64,
    },
    /// Makes a drained endpoint active again.
    Resume {
        /// The endpoint's name.
        name: String,
        /// Expected index.
        expect: Option<u64>,
        /// Unix time in milliseconds.
        at_ms: u64,
    },
    /// Removes an endpoint.
    Remove {
        /// The endpoint's name.
        name: String,
        /// Expected index.
        expect: Option<u64>,
        /// Unix time in milliseconds.
        at_ms: u64,
    },
    /// Ends leases that were not renewed in time.
    Expire {
        /// The expired leases.
        #[serde(rename = "due")]
        leases: Vec<ExpiredLease>,
        /// Unix time in milliseconds.
        at_ms: u64,
    },
    /// Wraps a command whose endpoints name services. Replicas of versions without services would silently ignore
    /// the names; they reject this unknown variant instead.
    #[serde(rename = "Services")]
    WithServices(Box<Command>),
}

impl Command {
    /// Wraps the command in [`Command::WithServices`] if the log requires it.
    pub fn into_log_form(self) -> Self {
        if !matches!(self, Self::WithServices(_)) && self.has_services() {
            return Self::WithServices(Box::new(self));
        }
        self
    }

    /// The command without its [`Command::WithServices`] wrapper.
    pub fn unwrapped(&self) -> &Self {
        if let Self::WithServices(command) = self { command } else { self }
    }

    /// Whether the command names services.
    pub fn has_services(&self) -> bool {
        match self {
            Self::Bootstrap { backup, .. } => backup.as_ref().is_some_and(|list| list.has_services()),
            Self::Register { servers, .. } => servers.iter().any(|s| s.entry.service.is_some()),
            Self::WithServices(_) => true,
            _ => false,
        }
    }
}

/// An endpoint to register, with its lease.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Registration {
    /// The endpoint.
    pub entry: Entry,
    /// Lease duration in milliseconds; 0: the endpoint stays until it is removed.
    pub lease_ms: u64,
}

/// A lease that was not renewed in time.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct ExpiredLease {
    /// The endpoint's name.
    pub name: String,
    /// Index of the registration that the lease belongs to. A later registration is not affected.
    #[serde(rename = "registered")]
    pub registered_index: u64,
    /// Whether the endpoint is removed; otherwise it starts draining.
    #[serde(rename = "left")]
    pub remove: bool,
}
