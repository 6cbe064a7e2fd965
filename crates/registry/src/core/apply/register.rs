//! Registration of endpoints.

use crate::core::List;
use crate::core::command::Registration;
use crate::core::outcome::Refusal;
use crate::core::record::EndpointRecord;
use crate::core::validation::{InvalidCommand, check_registration};
use lotusmoor_registry_client::{Entry, Status, StatusReason};
use std::collections::BTreeSet;

impl List {
    /// Registers all endpoints or none. `expect` is the index at which the first of them must last have changed.
    pub(super) fn register(
        &mut self,
        registrations: &[Registration],
        expect: Option<u64>,
        at_ms: u64,
        max_entries: usize,
    ) -> Result<(), Refusal> {
        self.check_expected_index(registrations, expect)?;
        self.check_batch(registrations, max_entries)?;
        let changed = registrations.iter().filter_map(|r| self.registered_record(r)).collect();
        self.commit(changed, at_ms);
        Ok(())
    }

    fn check_expected_index(
        &self,
        registrations: &[Registration],
        expect: Option<u64>,
    ) -> Result<(), Refusal> {
        let first = registrations.first().ok_or(InvalidCommand::NoEndpoints)?;
        let found = self.entries().get(&first.entry.name).map_or(0, |record| record.changed_index);
        if expect.is_some_and(|index| index != found) {
            return Err(Refusal::IndexMismatch { name: first.entry.name.clone(), found });
        }
        Ok(())
    }

    fn check_batch(&self, registrations: &[Registration], max_entries: usize) -> Result<(), Refusal> {
        let mut names = BTreeSet::new();
        for registration in registrations {
            check_registration(registration)?;
            let name = registration.entry.name.as_str();
            if !names.insert(name) {
                return Err(InvalidCommand::DuplicateEndpoint(name.to_owned()).into());
            }
        }
        let added = names.iter().filter(|name| !self.entries().contains_key(**name)).count();
        if added > 0 && self.entries().len() + added > max_entries {
            return Err(Refusal::ListFull);
        }
        Ok(())
    }

    /// The record of a registration; `None` if the endpoint is already listed with the same data.
    fn registered_record(&self, registration: &Registration) -> Option<EndpointRecord> {
        let mut entry = Entry {
            status: Status::Active,
            status_reason: StatusReason::Registered,
            ..registration.entry.clone()
        };
        let previous = self.entries().get(&entry.name);
        // A process that registers again does not undo an operator's drain; a restarted process does.
        if let Some(previous) = previous
            && previous.entry.status_reason == StatusReason::Drained
            && previous.entry.started_ms == entry.started_ms
        {
            entry.status = previous.entry.status;
            entry.status_reason = previous.entry.status_reason;
        }
        let lease_ms = registration.lease_ms;
        if previous.is_some_and(|p| p.entry == entry && p.lease_ms == lease_ms) {
            return None;
        }
        let next_index = self.version().index + 1;
        Some(EndpointRecord { entry, changed_index: next_index, registered_index: next_index, lease_ms })
    }
}
