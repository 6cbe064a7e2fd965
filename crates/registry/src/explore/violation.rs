//! Violated invariants.

use super::clock::Step;
use super::history::Observation;
use lotusmoor_registry_client::Version;
use std::fmt;

/// A violated invariant.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// A version has two contents.
    ContentsDiffer(Version),
    /// A replica's reads went back.
    ReadsWentBack {
        /// The replica's id.
        replica: u64,
        /// The version read first.
        from: Version,
        /// The older version read later.
        to: Version,
    },
    /// An acknowledged write is missing from the changes, or differs there.
    LostWrite {
        /// The acknowledged index.
        index: u64,
        /// The endpoint's name.
        name: String,
    },
    /// Two writes were acknowledged with the same index.
    DuplicateIndex(u64),
    /// The order of changes contradicts what callers observed.
    Order(OrderViolation),
    /// Nobody requested this change.
    UnrequestedChange {
        /// The change's index.
        index: u64,
        /// The endpoint's name.
        name: String,
    },
    /// A read is older than its reported age.
    AgeExceeded {
        /// The version read.
        version: Version,
        /// The reported age.
        age: Step,
    },
    /// A reader got an endpoint of a service that it did not request.
    ForeignEndpoint {
        /// The update's version.
        version: Version,
        /// The endpoint's name.
        name: String,
    },
    /// A reader's list differs from the replica's entries of its services.
    ReaderOutOfSync(Version, Vec<String>),
    /// A reader was woken without a change, or a change did not wake it.
    WrongWakeup(Version, Vec<String>),
    /// A version has two contents for a set of services.
    ServiceContentsDiffer(Version, Vec<String>),
    /// The cluster was not set up, or did not recover after the last fault.
    ClusterFailed(ClusterFailure),
}

/// How an order of changes contradicts an observation. Ranges of indexes are from `lower` up to, but not including,
/// `upper`.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderViolation {
    /// A write has an index outside of the range that its start and end allow.
    Write {
        /// The endpoint's name.
        name: String,
        /// The write's index.
        index: u64,
        /// The lowest allowed index.
        lower: u64,
        /// The lowest index that was requested only after the call had ended.
        upper: u64,
    },
    /// A conditional write succeeded although its condition did not hold.
    ConditionIgnored {
        /// The endpoint's name.
        name: String,
        /// The expected index.
        expected: u64,
        /// The actual index.
        found: u64,
    },
    /// A conditional write was refused with an index that the endpoint did not have.
    WrongMismatch {
        /// The endpoint's name.
        name: String,
        /// The reported index.
        found: u64,
        /// The lowest allowed index.
        lower: u64,
        /// The lowest index that was requested only after the call had ended.
        upper: u64,
    },
    /// A write was refused as unknown although the endpoint was listed.
    WasListed {
        /// The endpoint's name.
        name: String,
        /// The lowest allowed index.
        lower: u64,
        /// The lowest index that was requested only after the call had ended.
        upper: u64,
    },
    /// A linearizable read has a version outside of the allowed range.
    Read {
        /// The index read.
        index: u64,
        /// The lowest allowed index.
        lower: u64,
        /// The lowest index that was requested only after the call had ended.
        upper: u64,
    },
    /// A read returned a change that was requested after the read had ended.
    ReadFuture {
        /// The index read.
        index: u64,
        /// The index requested later.
        requested: u64,
    },
}

/// Why the cluster was not set up, or did not recover after the last fault.
#[derive(Clone, Debug, PartialEq)]
pub enum ClusterFailure {
    /// A replica did not start.
    ReplicaStart {
        /// The replica's id.
        replica: u64,
        /// The error's text.
        error: String,
    },
    /// No runtime could be created.
    Runtime {
        /// The error's text.
        error: String,
    },
    /// The cluster was not bootstrapped in time.
    BootstrapTimeout,
    /// The bootstrap failed.
    Bootstrap {
        /// The error's text.
        error: String,
    },
    /// No write was answered during the recovery.
    NoWriteAnswered,
    /// The replicas' lists differ.
    ReplicasDiffer(Vec<Observation>),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ContentsDiffer(version) => write!(f, "version {version} has two contents"),
            Self::ReadsWentBack { replica, from, to } => {
                write!(f, "reads of replica {replica} went back from {from} to {to}")
            }
            Self::LostWrite { index, name } => {
                write!(f, "the acknowledged write of {name} at index {index} is lost")
            }
            Self::DuplicateIndex(index) => write!(f, "two writes were acknowledged at index {index}"),
            Self::Order(order) => write!(f, "not linearizable: {order}"),
            Self::UnrequestedChange { index, name } => {
                write!(f, "nobody requested the change of {name} at index {index}")
            }
            Self::AgeExceeded { version, age } => {
                write!(f, "a read of {version} is older than its reported age of {age} steps")
            }
            Self::ForeignEndpoint { version, name } => {
                write!(f, "{name} was sent at {version} to a reader of other services")
            }
            Self::ReaderOutOfSync(version, services) => {
                write!(f, "the list of a reader of {services:?} differs from the replica's at {version}")
            }
            Self::WrongWakeup(version, services) => {
                write!(
                    f,
                    "a reader of {services:?} was woken without a change, or not woken by one, at {version}"
                )
            }
            Self::ServiceContentsDiffer(version, services) => {
                write!(f, "version {version} has two contents for {services:?}")
            }
            Self::ClusterFailed(failure) => write!(f, "the cluster failed: {failure}"),
        }
    }
}

impl fmt::Display for OrderViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Write { name, index, lower, upper } => {
                write!(f, "write of {name} at {index}, outside of {lower}..{upper}")
            }
            Self::ConditionIgnored { name, expected, found } => {
                write!(f, "a write of {name} expected index {expected} and succeeded at {found}")
            }
            Self::WrongMismatch { name, found, lower, upper } => {
                write!(
                    f,
                    "a write was refused as {name} was at index {found}, which it was not within {lower}..{upper}"
                )
            }
            Self::WasListed { name, lower, upper } => {
                write!(
                    f,
                    "a write was refused as {name} was unknown, but it was listed throughout {lower}..{upper}"
                )
            }
            Self::Read { index, lower, upper } => write!(f, "read at {index}, outside of {lower}..{upper}"),
            Self::ReadFuture { index, requested } => {
                write!(f, "read at {index}, though {requested} was requested only later")
            }
        }
    }
}

impl fmt::Display for ClusterFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ReplicaStart { replica, error } => write!(f, "replica {replica} does not start: {error}"),
            Self::Runtime { error } => write!(f, "cannot create a runtime: {error}"),
            Self::BootstrapTimeout => write!(f, "not bootstrapped in time"),
            Self::Bootstrap { error } => write!(f, "bootstrap failed: {error}"),
            Self::NoWriteAnswered => write!(f, "no write was answered after the last fault"),
            Self::ReplicasDiffer(replicas) => {
                let versions: Vec<_> = replicas.iter().map(|r| (r.replica, r.version, r.digest)).collect();
                write!(f, "the replicas' lists differ: {versions:?}")
            }
        }
    }
}
