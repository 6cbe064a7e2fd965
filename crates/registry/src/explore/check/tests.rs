//! The invariants, on a history that holds and on altered ones.

use super::*;
use crate::explore::clock::Step;
use crate::explore::history::{Call, CallResult, Completion, ListedChange, Observation, Operation};
use lotusmoor_registry_client::{Status, Version};

fn v(index: u64) -> Version {
    Version { epoch: 1, index }
}

fn write(name: &str, started_at: Step, at: Step, result: CallResult) -> Call {
    let operation = Operation::Write { name: name.into(), status: Status::Active, expect: None };
    Call { operation, started_at, completion: Some(Completion { at, result }) }
}

fn written(name: &str, started_at: Step, at: Step, index: u64) -> Call {
    write(name, started_at, at, CallResult::Written { version: v(index), changed: true })
}

fn read(operation: Operation, started_at: Step, at: Step, index: u64, age: Step) -> Call {
    let result = CallResult::Read { version: v(index), digest: index, age };
    Call { operation, started_at, completion: Some(Completion { at, result }) }
}

fn change(index: u64, name: &str) -> ListedChange {
    ListedChange { index, name: name.into(), status: Status::Active, expired: false }
}

fn good() -> History {
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
        observations: vec![Observation { replica: 1, at: 20, version: v(102), digest: 102 }],
        reader_updates: Vec::new(),
    }
}

#[test]
fn valid_history_passes_and_each_altered_one_violates_its_invariant() {
    assert_eq!(check(&good()), []);
    let altered = |change: fn(&mut History)| {
        let mut history = good();
        change(&mut history);
        check(&history)
    };
    assert_eq!(
        altered(|h| h.observations.push(Observation { replica: 3, at: 21, version: v(102), digest: 7 })),
        [Violation::ContentsDiffer(v(102))]
    );
    assert_eq!(altered(|h| drop(h.changes.pop())), [Violation::LostWrite { index: 102, name: "b".into() }]);
    assert_eq!(
        altered(|h| h.changes.push(change(103, "c"))),
        [Violation::UnrequestedChange { index: 103, name: "c".into() }]
    );
    assert_eq!(
        altered(|h| h.calls.push(read(Operation::LocalRead { replica: 2 }, 30, 31, 101, 25))),
        [Violation::ReadsWentBack { replica: 2, from: v(102), to: v(101) }]
    );
    assert_eq!(
        altered(|h| h.calls.push(read(Operation::LocalRead { replica: 3 }, 30, 31, 101, 5))),
        [Violation::AgeExceeded { version: v(101), age: 5 }]
    );
    let stale = altered(|h| h.calls.push(read(Operation::LinearizableRead, 30, 31, 101, 0)));
    assert!(matches!(&stale[..], [Violation::Order(_)]), "{stale:?}");
    let twice = altered(|h| h.calls.push(written("b", 6, 9, 102)));
    assert!(twice.contains(&Violation::DuplicateIndex(102)), "{twice:?}");
    // A write that was asked for after another had ended can't come before it.
    let order = altered(|h| {
        h.calls[0] = written("a", 10, 12, 101);
        h.calls[1] = written("b", 1, 3, 102);
    });
    assert!(order.iter().any(|b| matches!(b, Violation::Order(_))), "{order:?}");
    let expected = altered(|h| h.calls.push(write("a", 20, 21, CallResult::IndexMismatch(99))));
    assert!(matches!(&expected[..], [Violation::Order(_)]), "{expected:?}");
    let absent = altered(|h| h.calls.push(write("a", 20, 21, CallResult::NotListed)));
    assert!(matches!(&absent[..], [Violation::Order(_)]), "{absent:?}");
    // What was true while the call was under way is fine.
    assert_eq!(altered(|h| h.calls.push(write("a", 0, 2, CallResult::NotListed))), []);
}
