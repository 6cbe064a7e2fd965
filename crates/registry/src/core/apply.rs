//! Applying commands to the list.

mod register;

use super::command::{Command, ExpiredLease};
use super::list::{EPOCH_SHIFT, List};
use super::outcome::{Outcome, Refusal};
use super::record::EndpointRecord;
use super::validation::{INTEGER_BITS, InvalidCommand, MAX_ENTRIES, MAX_ENTRIES_WITHOUT_SERVICES};
use lotusmoor_registry_client::{Status, StatusReason, Version};

impl List {
    /// Applies a command. A refused command changes nothing.
    pub fn apply(&mut self, command: &Command) -> Outcome {
        let before = self.version();
        match self.execute(command) {
            Ok(()) => Outcome::Applied { version: self.version(), changed: self.version() != before },
            Err(refusal) => Outcome::Refused(refusal),
        }
    }

    /// Executes a command. One that is not wrapped in [`Command::WithServices`] has exactly the effect that it has in
    /// versions without services.
    fn execute(&mut self, command: &Command) -> Result<(), Refusal> {
        let (command, max_entries) = match command {
            Command::WithServices(inner) => (inner.as_ref(), MAX_ENTRIES),
            _ if command.has_services() => return Err(InvalidCommand::ServicesNotWrapped.into()),
            _ => (command, MAX_ENTRIES_WITHOUT_SERVICES),
        };
        if let Command::Bootstrap { epoch, backup } = command {
            return self.bootstrap(*epoch, backup.as_deref());
        }
        if self.version().epoch == 0 {
            return Err(Refusal::StaleEpoch(0));
        }
        match command {
            Command::Bootstrap { .. } => Ok(()),
            Command::WithServices(_) => Err(InvalidCommand::WrappedTwice.into()),
            Command::Register { servers, expect, at_ms } => {
                self.register(servers, *expect, *at_ms, max_entries)
            }
            Command::Drain { name, expect, at_ms } => self.drain(name, *expect, *at_ms),
            Command::Resume { name, expect, at_ms } => self.resume(name, *expect, *at_ms),
            Command::Remove { name, expect, at_ms } => self.remove(name, *expect, *at_ms),
            Command::Expire { leases, at_ms } => {
                let changed = leases.iter().filter_map(|lease| self.expired_record(lease)).collect();
                self.commit(changed, *at_ms);
                Ok(())
            }
        }
    }

    /// Starts an epoch, with the list of a backup if there is one.
    fn bootstrap(&mut self, epoch: u64, backup: Option<&List>) -> Result<(), Refusal> {
        let backup_version = backup.map_or(Version::default(), List::version);
        let last_epoch = self.version().epoch.max(backup_version.epoch);
        if epoch <= last_epoch || epoch >> (INTEGER_BITS - EPOCH_SHIFT) != 0 {
            return Err(Refusal::StaleEpoch(epoch));
        }
        let last_index = self.version().index.max(backup_version.index);
        if let Some(backup) = backup {
            *self = backup.clone();
        }
        self.start_epoch(Version { epoch, index: (epoch << EPOCH_SHIFT).max(last_index + 1) });
        Ok(())
    }

    fn drain(&mut self, name: &str, expect: Option<u64>, at_ms: u64) -> Result<(), Refusal> {
        let record = self.expected_record(name, expect)?;
        if record.entry.status == Status::Active || record.entry.status_reason != StatusReason::Drained {
            let drained = record.with_status(Status::Draining, StatusReason::Drained);
            self.commit(vec![drained], at_ms);
        }
        Ok(())
    }

    fn resume(&mut self, name: &str, expect: Option<u64>, at_ms: u64) -> Result<(), Refusal> {
        let record = self.expected_record(name, expect)?;
        if record.entry.status != Status::Active {
            let resumed = record.with_status(Status::Active, StatusReason::Registered);
            self.commit(vec![resumed], at_ms);
        }
        Ok(())
    }

    fn remove(&mut self, name: &str, expect: Option<u64>, at_ms: u64) -> Result<(), Refusal> {
        let record = self.expected_record(name, expect)?;
        let removed = record.with_status(Status::Removed, StatusReason::Removed);
        self.commit(vec![removed], at_ms);
        Ok(())
    }

    /// The endpoint's record, if it last changed at the expected index.
    fn expected_record(&self, name: &str, expect: Option<u64>) -> Result<&EndpointRecord, Refusal> {
        let record = self.entries().get(name).ok_or_else(|| Refusal::UnknownEndpoint(name.to_owned()))?;
        if expect.is_some_and(|index| index != record.changed_index) {
            return Err(Refusal::IndexMismatch { name: name.to_owned(), found: record.changed_index });
        }
        Ok(record)
    }

    /// The record after its lease expired; `None` if the endpoint was registered again since, or if nothing changes.
    fn expired_record(&self, lease: &ExpiredLease) -> Option<EndpointRecord> {
        let record = self.entries().get(&lease.name)?;
        if record.registered_index != lease.registered_index {
            return None;
        }
        let status = if lease.remove { Status::Removed } else { Status::Draining };
        // An endpoint that an operator drained keeps that reason until it is removed.
        let reason = match record.entry.status_reason {
            StatusReason::Drained => StatusReason::Drained,
            _ => StatusReason::Expired,
        };
        let expired = record.with_status(status, reason);
        (expired.entry != record.entry).then_some(expired)
    }
}
