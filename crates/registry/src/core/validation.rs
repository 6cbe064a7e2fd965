//! Limits of the list, and validation of registrations and service names.

use super::command::Registration;
use std::collections::BTreeSet;
use std::ops::RangeInclusive;

/// Maximum number of endpoints in a list. The largest planned fleet has 21,000, and during replacements both old and
/// new ones are listed. A full list of usual names fits the 4 MiB that sidecars accept: 19,900 endpoints took 3.03 MB.
pub const MAX_ENTRIES: usize = 25_000;
/// Maximum number of endpoints in a list when a command without services adds some, as in versions without services.
pub(super) const MAX_ENTRIES_WITHOUT_SERVICES: usize = 20_000;
/// Longest endpoint name in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Longest zone, region, machine type or service name in bytes.
pub const MAX_LABEL_BYTES: usize = 64;
/// Maximum number of services that one query may name.
pub const MAX_SERVICES_PER_QUERY: usize = 256;
/// Valid lease durations in milliseconds, besides 0 for none.
const LEASE_RANGE_MS: RangeInclusive<u64> = 500..=3_600_000;
/// Largest valid weight.
const MAX_WEIGHT: f64 = 1e6;
/// Bits of the largest valid integers, which must be exact in JSON readers that use doubles.
pub(super) const INTEGER_BITS: u32 = 53;
/// Maximum number of characters of an invalid name that an error shows.
const SHOWN_NAME_CHARS: usize = 40;

/// What is wrong with a command.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum InvalidCommand {
    /// It names services without the wrapper that they need in the log.
    #[error("a command with services must be wrapped in WithServices")]
    ServicesNotWrapped,
    /// It is wrapped twice.
    #[error("WithServices must not be nested")]
    WrappedTwice,
    /// It registers nothing.
    #[error("no server is named")]
    NoEndpoints,
    /// It registers an endpoint twice.
    #[error("{0}: listed twice in the command")]
    DuplicateEndpoint(String),
    /// An endpoint's name is malformed; this is its beginning.
    #[error("name {0:?}: must be 1 to {MAX_NAME_BYTES} letters, digits or one of . _ : -")]
    EndpointName(String),
    /// A label is malformed.
    #[error("{name}: {field} must be 1 to {MAX_LABEL_BYTES} letters, digits or one of . _ : -")]
    Label {
        /// The endpoint's name.
        name: String,
        /// Which label.
        field: &'static str,
    },
    /// An endpoint's weight is out of range.
    #[error("{0}: weight must be above 0 and up to 1000000")]
    Weight(String),
    /// An endpoint's start time or cell is out of range.
    #[error("{0}: since_ms and group must be 0 or more, and below 2^53")]
    Integer(String),
    /// An endpoint's lease duration is out of range.
    #[error("{0}: lease_ms must be 0, or 500 to 3600000")]
    Lease(String),
}

/// What is wrong with the services of a query.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidServices {
    /// A name is malformed; this is its beginning.
    #[error("services: {0:?} must be 1 to {MAX_LABEL_BYTES} letters, digits or one of . _ : -")]
    Name(String),
    /// There are too many.
    #[error("services: at most {MAX_SERVICES_PER_QUERY} are allowed")]
    TooMany,
}

/// Parses the comma-separated services of a query into their names, sorted and without duplicates.
pub fn parse_services(text: &str) -> Result<Vec<String>, InvalidServices> {
    let mut services = BTreeSet::new();
    for name in text.split(',') {
        if !is_identifier(name, MAX_LABEL_BYTES) {
            return Err(InvalidServices::Name(beginning(name)));
        }
        services.insert(name.to_owned());
        if services.len() > MAX_SERVICES_PER_QUERY {
            return Err(InvalidServices::TooMany);
        }
    }
    Ok(services.into_iter().collect())
}

/// Checks whether an endpoint can be registered.
pub fn check_registration(registration: &Registration) -> Result<(), InvalidCommand> {
    let Registration { entry, lease_ms } = registration;
    let name = || entry.name.clone();
    if !is_identifier(&entry.name, MAX_NAME_BYTES) {
        return Err(InvalidCommand::EndpointName(beginning(&entry.name)));
    }
    let labels = [
        ("service", &entry.service),
        ("zone", &entry.zone),
        ("region", &entry.region),
        ("type", &entry.machine_type),
    ];
    for (field, label) in labels {
        if label.as_ref().is_some_and(|label| !is_identifier(label, MAX_LABEL_BYTES)) {
            return Err(InvalidCommand::Label { name: name(), field });
        }
    }
    if !(entry.weight > 0.0 && entry.weight <= MAX_WEIGHT) {
        return Err(InvalidCommand::Weight(name()));
    }
    if entry.started_ms < 0 || entry.started_ms >> INTEGER_BITS != 0 || entry.cell >> INTEGER_BITS != 0 {
        return Err(InvalidCommand::Integer(name()));
    }
    if *lease_ms != 0 && !LEASE_RANGE_MS.contains(lease_ms) {
        return Err(InvalidCommand::Lease(name()));
    }
    Ok(())
}

fn is_identifier(text: &str, max_bytes: usize) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._:-".contains(&byte);
    !text.is_empty() && text.len() <= max_bytes && text.bytes().all(allowed)
}

fn beginning(text: &str) -> String {
    text.chars().take(SHOWN_NAME_CHARS).collect()
}
