//! Linearizability: each call fits into the order of changes at a point between its start and its end.

use crate::explore::clock::Step;
use crate::explore::history::{Call, CallResult, Completion, History, ListedChange, Operation};
use crate::explore::violation::{OrderViolation, Violation};
use lotusmoor_registry_client::{Status, Version};

/// Steps by which a reported age may be too low, as clocks and calls are only as exact as steps.
const AGE_TOLERANCE: Step = 2;

pub(super) fn check(history: &History, violations: &mut Vec<Violation>) {
    let bounds = Bounds::of(history);
    for call in &history.calls {
        if let Some(completion) = &call.completion {
            CallCheck { history, bounds: &bounds, call, violations: &mut *violations }.check(completion);
        }
    }
}

/// An index with the start or end of a call that bounds when the index came to exist.
struct IndexAt {
    at: Step,
    index: u64,
}

/// Bounds on the indexes that existed at a time, as calls show them.
struct Bounds {
    first_index: u64,
    /// Indexes that calls returned, by the end of the call: from then on they existed for certain.
    reached: Vec<IndexAt>,
    /// Indexes of acknowledged changes, by the start of the call: before it they did not exist.
    requested: Vec<IndexAt>,
}

impl Bounds {
    fn of(history: &History) -> Self {
        let reached = |call: &Call| {
            let Completion { at, result } = call.completion.as_ref()?;
            match result {
                CallResult::Written { version, .. } => Some(IndexAt { at: *at, index: version.index }),
                CallResult::Read { version, .. } if call.operation == Operation::LinearizableRead => {
                    Some(IndexAt { at: *at, index: version.index })
                }
                _ => None,
            }
        };
        let requested = |call: &Call| match call.result() {
            Some(CallResult::Written { version, changed: true }) => {
                Some(IndexAt { at: call.started_at, index: version.index })
            }
            _ => None,
        };
        Self {
            first_index: history.first_index,
            reached: history.calls.iter().filter_map(reached).collect(),
            requested: history.calls.iter().filter_map(requested).collect(),
        }
    }

    /// The highest index that existed for certain before a step.
    fn lower(&self, step: Step) -> u64 {
        let before = self.reached.iter().filter(|seen| seen.at < step).map(|seen| seen.index);
        before.max().unwrap_or(self.first_index)
    }

    /// The lowest index that was requested only after a step; `u64::MAX` if there is none. Indexes that existed at the
    /// step are below it.
    fn upper(&self, step: Step) -> u64 {
        let after = self.requested.iter().filter(|seen| seen.at > step).map(|seen| seen.index);
        after.min().unwrap_or(u64::MAX)
    }
}

/// The check of one call.
struct CallCheck<'a> {
    history: &'a History,
    bounds: &'a Bounds,
    call: &'a Call,
    violations: &'a mut Vec<Violation>,
}

impl CallCheck<'_> {
    fn check(&mut self, completion: &Completion) {
        let lower = self.bounds.lower(self.call.started_at);
        let upper = self.bounds.upper(completion.at);
        match (&self.call.operation, &completion.result) {
            (Operation::Write { name, expect, .. }, CallResult::Written { version, changed }) => {
                let index = version.index;
                if index < lower || index >= upper && *changed || index > upper {
                    self.report(OrderViolation::Write { name: name.clone(), index, lower, upper });
                }
                self.check_condition(name, expect.filter(|_| *changed), index);
            }
            (Operation::Write { name, .. }, CallResult::IndexMismatch(found))
                if !was_at(self.history, name, lower, upper, *found) =>
            {
                let (name, found) = (name.clone(), *found);
                self.report(OrderViolation::WrongMismatch { name, found, lower, upper });
            }
            (Operation::Write { name, .. }, CallResult::NotListed)
                if !was_at(self.history, name, lower, upper, 0) =>
            {
                self.report(OrderViolation::WasListed { name: name.clone(), lower, upper });
            }
            (Operation::LinearizableRead, CallResult::Read { version, .. }) => {
                let index = version.index;
                if index < lower || index >= upper {
                    self.report(OrderViolation::Read { index, lower, upper });
                }
            }
            (Operation::LocalRead { .. }, CallResult::Read { version, age, .. }) => {
                self.check_local_read(*version, *age, upper);
            }
            _ => {}
        }
    }

    /// Checks that a conditional write that changed the list at an index had the expected endpoint before it.
    fn check_condition(&mut self, name: &str, expect: Option<u64>, index: u64) {
        let Some(expected) = expect else { return };
        let found = last_change(self.history, name, index - 1);
        if found != expected {
            self.report(OrderViolation::ConditionIgnored { name: name.to_owned(), expected, found });
        }
    }

    fn check_local_read(&mut self, version: Version, age: Step, upper: u64) {
        // The age is as of when the answer was made, which is no earlier than the start of the call.
        let complete_as_of = self.call.started_at.saturating_sub(age + AGE_TOLERANCE);
        if version.index < self.bounds.lower(complete_as_of) {
            self.violations.push(Violation::AgeExceeded { version, age });
        }
        if version.index >= upper {
            self.report(OrderViolation::ReadFuture { index: version.index, requested: upper });
        }
    }

    fn report(&mut self, violation: OrderViolation) {
        self.violations.push(Violation::Order(violation));
    }
}

/// The index of an endpoint's last change as of an index; 0 if it was not listed.
fn last_change(history: &History, name: &str, index: u64) -> u64 {
    let is_earlier = |change: &&ListedChange| change.name == name && change.index <= index;
    let last = history.changes.iter().filter(is_earlier).max_by_key(|change| change.index);
    last.filter(|change| change.status != Status::Removed).map_or(0, |change| change.index)
}

/// Whether an endpoint's last change was at `found` at some point in a range of indexes.
fn was_at(history: &History, name: &str, lower: u64, upper: u64, found: u64) -> bool {
    let is_within =
        |change: &&ListedChange| change.name == name && change.index > lower && change.index < upper;
    let points = history.changes.iter().filter(is_within).map(|change| change.index);
    std::iter::once(lower).chain(points).any(|point| last_change(history, name, point) == found)
}
