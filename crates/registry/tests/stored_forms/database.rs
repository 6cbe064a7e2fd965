//! A replica's folder: the database file and the mark beside it.

use crate::samples::{self, Recorder};
use crate::{fixtures, raft_calls};
use lotusmoor_registry::core::{List, Outcome};
use lotusmoor_registry::node::Node;
use lotusmoor_registry::raft::{LogEntry, LogId, Replica};
use lotusmoor_registry::store::{Format, Snapshot, Store, StoreError};
use lotusmoor_registry_client::{Status, StatusReason};
use openraft::RaftLogReader;
use openraft::storage::RaftLogStorage;
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition, TableHandle};
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

/// The file and the mark, as they lie in a replica's folder, and the file as the version before wrote it.
const FILE: &str = "folder/roster.redb";
const MARK: &str = "folder/roster.mark";
const FILE_FORM_2: &str = "folder-form2/roster.redb";
/// The list that they hold, once the log is applied.
const LIST: &str = "database-list.json";
/// Votes, places in the log and entries that the file holds.
const STATE: &str = "database-state.jsonl";
/// What stands in the file's tables, in hexadecimal digits.
const ROWS: &str = "database-rows.txt";

/// Entries of the log that are in the snapshot; those after it are only in the log.
const IN_SNAPSHOT: usize = 8;
/// The last entry that was dropped from the log.
const PURGED: u64 = 6;

/// Makes a replica with all that it can store, in that folder.
async fn make(folder: &Path) {
    let node = samples::start(1, folder).await;
    assert!(node.bootstrap_cluster(samples::EPOCH, None).await.expect("the list is founded"));
    for (i, command) in samples::commands().into_iter().enumerate().skip(1) {
        let outcome = node.write(command).await.expect("it is written");
        assert!(matches!(outcome, Outcome::Applied { changed: true, .. }), "{outcome:?}");
        if i == IN_SNAPSHOT {
            keep_snapshot(&node).await;
        }
    }
    node.stop().await;
}

/// Takes a snapshot and drops entries before it.
async fn keep_snapshot(node: &Node<Recorder>) {
    let wait = || node.raft().wait(Some(Duration::from_secs(10)));
    let applied = node.applied_state().state().applied.expect("something is applied");
    node.raft().trigger().snapshot().await.expect("a snapshot is wanted");
    wait().snapshot(applied, "a snapshot").await.expect("it is made");
    node.raft().trigger().purge_log(PURGED).await.expect("entries are to go");
    wait().purged(Some(samples::log_id(1, PURGED)), "a purge").await.expect("they are gone");
}

/// Rows of all tables: name of the table, key and value.
fn rows(file: &Path) -> Vec<String> {
    const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
    const ONE: TableDefinition<&str, &[u8]> = TableDefinition::new("one");
    let hex = |bytes: &[u8]| bytes.iter().map(|b| format!("{b:02x}")).collect::<String>();
    let database = Database::open(file).expect("the file opens");
    let transaction = database.begin_read().expect("it is read");
    let mut tables: Vec<String> =
        transaction.list_tables().expect("its tables").map(|t| t.name().to_owned()).collect();
    tables.sort();
    let mut rows = vec![format!("tables {}", tables.join(" "))];
    for row in transaction.open_table(LOG).expect("the log").iter().expect("its rows") {
        let (key, value) = row.expect("a row");
        rows.push(format!("log {} {}", key.value(), hex(value.value())));
    }
    for row in transaction.open_table(ONE).expect("the table").iter().expect("its rows") {
        let (key, value) = row.expect("a row");
        rows.push(format!("one {} {}", key.value(), hex(value.value())));
    }
    rows
}

/// The fixture in a folder of its own.
pub fn copy() -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    for name in [FILE, MARK] {
        let to = folder.path().join(Path::new(name).file_name().expect("it has a name"));
        std::fs::write(to, fixtures::read(name)).expect("it is copied");
    }
    folder
}

async fn state(store: &mut Store) -> Vec<String> {
    let vote = store.read_vote().await.expect("the vote");
    let committed: Option<LogId> = store.read_committed().await.expect("the place");
    let log = store.get_log_state().await.expect("the log's state");
    let entries: Vec<LogEntry> = store.try_get_log_entries(..).await.expect("the entries");
    let head = [
        serde_json::to_string(&vote),
        serde_json::to_string(&committed),
        serde_json::to_string(&log.last_purged_log_id),
        serde_json::to_string(&log.last_log_id),
        serde_json::to_string(&store.identity(1, 0).expect("it is that replica's")),
    ];
    let entries = entries.iter().map(serde_json::to_string);
    head.into_iter().chain(entries).map(|text| text.expect("it is encoded")).collect()
}

/// The list of a replica of the version before: it has no services, and stands in form 2.
fn make_form_2(folder: &Path) {
    let store = Store::open(folder, Format::Checksummed).expect("the store opens");
    store.identity(1, samples::replica(1).identity).expect("it is written");
    let list = samples::list(&samples::commands_without_services());
    store.save_snapshot(&Snapshot { list, ..Snapshot::default() }).expect("it is kept");
}

pub fn write_fixtures() {
    let folder = tempfile::tempdir().expect("a folder");
    raft_calls::runtime().block_on(make(folder.path()));
    let file = folder.path().join("roster.redb");
    fixtures::write_lines(ROWS, &rows(&file));
    for (name, path) in [(FILE, file.clone()), (MARK, folder.path().join("roster.mark"))] {
        fixtures::write(name, &std::fs::read(path).expect("it is there"));
    }
    let list = serde_json::to_vec(&samples::list(&samples::commands())).expect("it is encoded");
    fixtures::write(LIST, &list);
    let mut store = Store::open(folder.path(), Format::NEWEST).expect("the store opens");
    fixtures::write_lines(STATE, &raft_calls::runtime().block_on(state(&mut store)));
    let before = tempfile::tempdir().expect("a folder");
    make_form_2(before.path());
    let file = before.path().join("roster.redb");
    fixtures::write(FILE_FORM_2, &std::fs::read(file).expect("it is there"));
}

#[test]
fn store_reads_votes_log_ids_and_entries_of_fixture() {
    let folder = copy();
    let mut store = Store::open(folder.path(), Format::NEWEST).expect("the store opens");
    store.verify().expect("all of it is read");
    assert_eq!(raft_calls::runtime().block_on(state(&mut store)), fixtures::read_lines(STATE));
    assert!(matches!(store.identity(2, 0), Err(StoreError::OtherReplica { found: 1, wanted: 2 })));
}

#[test]
fn stored_snapshot_matches_list_at_that_index() {
    let folder = copy();
    let store = Store::open(folder.path(), Format::NEWEST).expect("the store opens");
    let snapshot = store.load_snapshot().expect("it is read").expect("there is one");
    assert_eq!(snapshot.list, samples::list(&samples::commands()[..=IN_SNAPSHOT]));
    let nodes: BTreeMap<u64, Replica> =
        snapshot.membership.membership().nodes().map(|(id, node)| (*id, node.clone())).collect();
    assert_eq!(nodes, BTreeMap::from([(1, samples::replica(1))]));
}

#[test]
fn replica_restores_servers_services_leases_and_drain_from_fixture() {
    let folder = copy();
    let list: List = raft_calls::runtime().block_on(async {
        let node = samples::start(1, folder.path()).await;
        let mut applied = node.applied_state().applied_index();
        let last = samples::commands().len() as u64 + 1;
        let caught_up = applied.wait_for(|index| *index >= last);
        tokio::time::timeout(Duration::from_secs(5), caught_up).await.expect("in time").expect("it applies");
        assert_eq!(*node.own(), samples::replica(1));
        let list = node.applied_state().state().list.clone();
        node.stop().await;
        list
    });
    assert_eq!(list, samples::list(&samples::commands()));
    assert_eq!(serde_json::to_vec(&list).expect("it is encoded"), fixtures::read(LIST));
    assert_eq!(list.entries().keys().collect::<Vec<_>>(), ["a", "b", "c", "m", "w2"]);
    let standing = |name: &str| {
        let kept = &list.entries()[name];
        (kept.entry.status, kept.entry.status_reason, kept.lease_ms, kept.entry.service.as_deref())
    };
    assert_eq!(standing("a"), (Status::Active, StatusReason::Registered, 0, None));
    assert_eq!(standing("b"), (Status::Draining, StatusReason::Drained, samples::LEASE_MS, None));
    assert_eq!(standing("c"), (Status::Draining, StatusReason::Expired, samples::LEASE_MS, None));
    assert_eq!(standing("m"), (Status::Active, StatusReason::Registered, samples::LEASE_MS, Some("web")));
    assert_eq!(standing("w2"), (Status::Draining, StatusReason::Drained, samples::LEASE_MS, Some("web")));
}

/// In both directions: the fixture has the rows that it had, and a replica that does the same now writes these rows.
#[test]
fn replica_writes_tables_keys_and_values_of_fixture() {
    let expected = fixtures::read_lines(ROWS);
    assert_eq!(rows(&copy().path().join("roster.redb")), expected);
    let folder = tempfile::tempdir().expect("a folder");
    raft_calls::runtime().block_on(make(folder.path()));
    assert_eq!(rows(&folder.path().join("roster.redb")), expected);
    let mut names: Vec<_> = std::fs::read_dir(folder.path())
        .expect("the folder is read")
        .map(|entry| entry.expect("an entry").file_name())
        .collect();
    names.sort();
    assert_eq!(names, ["roster.mark", "roster.redb"]);
}

#[test]
fn rejects_database_with_fewer_commits_than_counted() {
    let folder = copy();
    let marked = u64::from_le_bytes(fixtures::read(MARK)[..8].try_into().expect("eight bytes"));
    std::fs::write(folder.path().join("roster.redb"), fixtures::read(FILE_FORM_2)).expect("it is replaced");
    let refused = Store::open(folder.path(), Format::NEWEST).err();
    assert!(matches!(refused, Some(StoreError::RolledBack { counted: m, .. }) if m == marked), "{refused:?}");
}

#[test]
fn converts_database_of_earlier_format() {
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::write(folder.path().join("roster.redb"), fixtures::read(FILE_FORM_2)).expect("it is copied");
    let store = Store::open(folder.path(), Format::NEWEST).expect("the store opens");
    assert_eq!(store.identity(1, 0).expect("it is that replica's"), samples::replica(1).identity);
    let snapshot = store.load_snapshot().expect("it is read").expect("there is one");
    assert_eq!(snapshot.list, samples::list(&samples::commands_without_services()));
}
