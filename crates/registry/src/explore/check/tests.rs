//! The checks, on a valid history and on altered copies of it.

use super::*;
use crate::explore::clock::Step;
use crate::explore::history::{Call, CallResult, Completion, ListedChange, Observation, Operation};
use lotusmoor_registry_client::{Status, Version};

fn version(index: u64) -> Version {
    Version { epoch: 1, index }
}

fn write(name: &str, started_at: Step, at: Step, result: CallResult) -> Call {
    let operation = Operation::Write { name: name.into(), status: Status::Active, expect: None };
    Call { operation, started_at, completion: Some(Completion { at, result }) }
}

fn written(name: &str, started_at: Step, at: Step, index: u64) -> Call {
    write(name, started_at, at, CallResult::Written { version: version(index), changed: true })
}

fn read(operation: Operation, started_at: Step, at: Step, index: u64, age: Step) -> Call {
    let result = CallResult::Read { version: version(index), digest: index, age };
    Call { operation, started_at, completion: Some(Completion { at, result }) }
}

fn change(index: u64, name: &str) -> ListedChange {
    ListedChange { index, name: name.into(), status: Status::Active, expired: false }
}

fn valid_history() -> History {
    History {
        calls: vec![
            written("a", 1, 5, 101),
            written("b", 6, 9, 102),
            read(Operation::LinearizableRead, 10, 11, 102, 0),
            read(Operation::LocalRead { replica: 2 }, 12, 13, 101, 5),
            read(Operation::LocalRead { replica: 2 }, 14, 15, 102, 1),
        ],
        changes: vec![change(101, "a"), change(102, "b")],
        first_index: 100,
        observations: vec![Observation { replica: 1, at: 20, version: version(102), digest: 102 }],
        reader_updates: Vec::new(),
    }
}

#[test]
fn valid_history_passes_and_each_altered_one_violates_its_invariant() {
    assert_eq!(check(&valid_history()), []);
    let altered = |change: fn(&mut History)| {
        let mut history = valid_history();
        change(&mut history);
        check(&history)
    };
    assert_eq!(
        altered(|h| h.observations.push(Observation {
            replica: 3,
            at: 21,
            version: version(102),
            digest: 7
        })),
        [Violation::ContentsDiffer(version(102))]
    );
    assert_eq!(altered(|h| drop(h.changes.pop())), [Violation::LostWrite { index: 102, name: "b".into() }]);
    assert_eq!(
        altered(|h| h.changes.push(change(103, "c"))),
        [Violation::UnrequestedChange { index: 103, name: "c".into() }]
    );
    assert_eq!(
        altered(|h| h.calls.push(read(Operation::LocalRead { replica: 2 }, 30, 31, 101, 25))),
        [Violation::ReadsWentBack { replica: 2, from: version(102), to: version(101) }]
    );
    assert_eq!(
        altered(|h| h.calls.push(read(Operation::LocalRead { replica: 3 }, 30, 31, 101, 5))),
        [Violation::AgeExceeded { version: version(101), age: 5 }]
    );
    let stale_read = altered(|h| h.calls.push(read(Operation::LinearizableRead, 30, 31, 101, 0)));
    assert!(matches!(&stale_read[..], [Violation::Order(_)]), "{stale_read:?}");
    let duplicate = altered(|h| h.calls.push(written("b", 6, 9, 102)));
    assert!(duplicate.contains(&Violation::DuplicateIndex(102)), "{duplicate:?}");
    // A write that was requested after another one had completed cannot be ordered before it.
    let reversed = altered(|h| {
        h.calls[0] = written("a", 10, 12, 101);
        h.calls[1] = written("b", 1, 3, 102);
    });
    assert!(reversed.iter().any(|b| matches!(b, Violation::Order(_))), "{reversed:?}");
    let wrong_mismatch = altered(|h| h.calls.push(write("a", 20, 21, CallResult::IndexMismatch(99))));
    assert!(matches!(&wrong_mismatch[..], [Violation::Order(_)]), "{wrong_mismatch:?}");
    let wrong_not_listed = altered(|h| h.calls.push(write("a", 20, 21, CallResult::NotListed)));
    assert!(matches!(&wrong_not_listed[..], [Violation::Order(_)]), "{wrong_not_listed:?}");
    // A result that was true at some point during the call is valid.
    assert_eq!(altered(|h| h.calls.push(write("a", 0, 2, CallResult::NotListed))), []);
}
