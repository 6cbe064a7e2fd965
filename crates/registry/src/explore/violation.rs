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
    /// The replicas did not recover after the last fault.
    NotRecovered(RecoveryFailure),
}

/// How an order of changes contradicts an observation. Ranges are of indexes.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderViolation {
    /// A write has an index outside of the range that its start and end allow.
    Write {
        /// The endpoint's name.
        name: String,
        /// The write's index.
        index: u64,
        /// The lowest allowed index.
        least: u64,
        /// The highest allowed index.
        most: u64,
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
        least: u64,
        /// The highest allowed index.
        most: u64,
    },
    /// A write was refused as unknown although the endpoint was listed.
    WasListed {
        /// The endpoint's name.
        name: String,
        /// The lowest allowed index.
        least: u64,
        /// The highest allowed index.
        most: u64,
    },
    /// A linearizable read has a version outside of the allowed range.
    Read {
        /// The index read.
        index: u64,
        /// The lowest allowed index.
        least: u64,
        /// The highest allowed index.
        most: u64,
    },
    /// A read returned a change that was requested after the read had ended.
    ReadFuture {
        /// The index read.
        index: u64,
        /// The index requested later.
        requested: u64,
    },
}

/// Why a schedule is not well at its start or end.
#[derive(Clone, Debug, PartialEq)]
pub enum RecoveryFailure {
    /// A replica did not start; the text is the error.
    ReplicaStart {
        /// The replica's id.
        replica: u64,
        /// The error's text.
        error: String,
    },
    /// No runtime could be created; the text is the error.
    Runtime {
        /// The error's text.
        error: String,
    },
    /// The cluster was not bootstrapped in time.
    BootstrapTimeout,
    /// The bootstrap failed; the text is the error.
    Bootstrap {
        /// The error's text.
        error: String,
    },
    /// No write was answered.
    NoWriteAnswered,
    /// The replicas' lists differ.
    ReplicasDiffer(Vec<Observation>),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ContentsDiffer(version) => write!(f, "two contents of version {version}"),
            Self::ReadsWentBack { replica, from, to } => {
                write!(f, "replica {replica} went back from {from} to {to}")
            }
            Self::LostWrite { index, name } => {
                write!(f, "the acknowledged change {index} of {name} is lost")
            }
            Self::DuplicateIndex(index) => write!(f, "two writes were acknowledged at {index}"),
            Self::Order(order) => write!(f, "not in order: {order}"),
            Self::UnrequestedChange { index, name } => {
                write!(f, "nobody asked for change {index} of {name}")
            }
            Self::AgeExceeded { version, age } => {
                write!(f, "a read of {version} is older than the {age} steps that it says")
            }
            Self::ForeignEndpoint { version, name } => {
                write!(f, "{name} was told at {version} to a reader of other services")
            }
            Self::ReaderOutOfSync(version, services) => {
                write!(f, "a reader of {services:?} does not have the list's part of {version}")
            }
            Self::WrongWakeup(version, services) => {
                write!(f, "a reader of {services:?} was woken for nothing or not for news at {version}")
            }
            Self::ServiceContentsDiffer(version, services) => {
                write!(f, "two contents of version {version} for {services:?}")
            }
            Self::NotRecovered(failure) => write!(f, "not well after all faults: {failure}"),
        }
    }
}

impl fmt::Display for OrderViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Write { name, index, least, most } => {
                write!(f, "write of {name} at {index} in {least} to {most}")
            }
            Self::ConditionIgnored { name, expected, found } => {
                write!(f, "{name} was expected at {expected} and was at {found}")
            }
            Self::WrongMismatch { name, found, least, most } => {
                write!(f, "{name} was not at {found} in {least} to {most}")
            }
            Self::WasListed { name, least, most } => {
                write!(f, "{name} was always there in {least} to {most}")
            }
            Self::Read { index, least, most } => write!(f, "read of {index} in {least} to {most}"),
            Self::ReadFuture { index, requested } => {
                write!(f, "read of {index} before {requested} was asked for")
            }
        }
    }
}

impl fmt::Display for RecoveryFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ReplicaStart { replica, error } => write!(f, "replica {replica} does not start: {error}"),
            Self::Runtime { error } => write!(f, "no runtime: {error}"),
            Self::BootstrapTimeout => write!(f, "not founded"),
            Self::Bootstrap { error } => write!(f, "not founded: {error}"),
            Self::NoWriteAnswered => write!(f, "no write is answered"),
            Self::ReplicasDiffer(replicas) => {
                let versions: Vec<_> = replicas.iter().map(|r| (r.replica, r.version, r.digest)).collect();
                write!(f, "replicas differ: {versions:?}")
            }
        }
    }
}
