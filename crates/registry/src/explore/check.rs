//! Checks a history against the registry's invariants. The list's index is the total order of changes that the registry
//! claims; the checks test whether it agrees with what callers observed, and when.

mod changes;
mod contents;
mod order;
mod readers;

use super::history::History;
use super::violation::Violation;

/// All violations in a history.
pub(super) fn check(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    contents::check(history, &mut violations);
    changes::check(history, &mut violations);
    order::check(history, &mut violations);
    readers::check(history, &mut violations);
    violations
}

#[cfg(test)]
mod tests;
