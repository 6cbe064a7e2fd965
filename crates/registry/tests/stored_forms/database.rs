//! A replica's folder: the database file, and the file with the number of its commits.

use crate::samples::{self, Recorder};
use crate::{fixtures, raft_calls};
use lotusmoor_registry::core::{List, Outcome};
use lotusmoor_registry::node::Node;
use lotusmoor_registry::raft::{LogEntry, LogId, Replica};
use lotusmoor_registry::store::{Format, StateMachineData, Store, StoreError};
use lotusmoor_registry_client::{Status, StatusReason};
use openraft::RaftLogReader;
use openraft::storage::RaftLogStorage;
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition, TableHandle};
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

/// Database and commit counter of a replica, and a database in format 2, of the previous release.
const DATABASE: &str = "folder/roster.redb";
const COMMIT_COUNTER: &str = "folder/roster.mark";
const FILE_FORMAT_2: &str = "folder-form2/roster.redb";
/// The list of that replica, with the whole log applied.
const LIST: &str = "database-list.json";
/// Vote, log IDs, identity and log entries in the database.
const STATE: &str = "database-state.jsonl";
/// Rows of the database's tables, with values in hexadecimal.
const ROWS: &str = "database-rows.txt";

/// Position of the last command in the snapshot; those after it are only in the log.
const LAST_IN_SNAPSHOT: usize = 8;
/// Index of the last entry that was purged from the log.
const PURGED: u64 = 6;

/// Creates a replica in that folder, with everything that a replica stores.
async fn create_replica(folder: &Path) {
    let node = samples::start(1, folder).await;
    assert!(node.bootstrap_cluster(samples::EPOCH, None).await.expect("the cluster is bootstrapped"));
    for (i, command) in samples::commands().into_iter().enumerate().skip(1) {
        let outcome = node.write(command).await.expect("the command is applied");
        assert!(matches!(outcome, Outcome::Applied { changed: true, .. }), "{outcome:?}");
        if i == LAST_IN_SNAPSHOT {
            take_snapshot_and_purge(&node).await;
        }
    }
    node.stop().await;
}

/// Takes a snapshot and purges log entries before it.
async fn take_snapshot_and_purge(node: &Node<Recorder>) {
    let wait = || node.raft().wait(Some(Duration::from_secs(10)));
    let applied = node.applied_state().state().applied.expect("a command was applied");
    node.raft().trigger().snapshot().await.expect("the snapshot is triggered");
    wait().snapshot(applied, "a snapshot").await.expect("the snapshot is taken");
    node.raft().trigger().purge_log(PURGED).await.expect("the purge is triggered");
    wait().purged(Some(samples::log_id(1, PURGED)), "a purge").await.expect("the entries are purged");
}

/// Rows of all tables: table name, key and value.
fn rows(file: &Path) -> Vec<String> {
    const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
    const SINGLE_VALUES: TableDefinition<&str, &[u8]> = TableDefinition::new("one");
    let hex = |bytes: &[u8]| bytes.iter().map(|b| format!("{b:02x}")).collect::<String>();
    let database = Database::open(file).expect("the database opens");
    let transaction = database.begin_read().expect("a read transaction");
    let mut tables: Vec<String> =
        transaction.list_tables().expect("the tables").map(|t| t.name().to_owned()).collect();
    tables.sort();
    let mut rows = vec![format!("tables {}", tables.join(" "))];
    for row in transaction.open_table(LOG).expect("the log").iter().expect("the rows") {
        let (key, value) = row.expect("a row");
        rows.push(format!("log {} {}", key.value(), hex(value.value())));
    }
    for row in transaction.open_table(SINGLE_VALUES).expect("the table").iter().expect("the rows") {
        let (key, value) = row.expect("a row");
        rows.push(format!("one {} {}", key.value(), hex(value.value())));
    }
    rows
}

/// Copies the fixture into a temporary folder.
pub fn copy() -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a temporary directory");
    for name in [DATABASE, COMMIT_COUNTER] {
        let to = folder.path().join(Path::new(name).file_name().expect("a file name"));
        std::fs::write(to, fixtures::read(name)).expect("the file is copied");
    }
    folder
}

/// The store's state, with each value as JSON.
async fn state(store: &mut Store) -> Vec<String> {
    let vote = store.read_vote().await.expect("the vote");
    let committed: Option<LogId> = store.read_committed().await.expect("the committed log ID");
    let log = store.get_log_state().await.expect("the log's state");
    let entries: Vec<LogEntry> = store.try_get_log_entries(..).await.expect("the entries");
    let head = [
        serde_json::to_string(&vote),
        serde_json::to_string(&committed),
        serde_json::to_string(&log.last_purged_log_id),
        serde_json::to_string(&log.last_log_id),
        serde_json::to_string(&store.identity(1, 0).expect("the store of this replica")),
    ];
    let entries = entries.iter().map(serde_json::to_string);
    head.into_iter().chain(entries).map(|text| text.expect("the value is encoded")).collect()
}

/// Creates a store in format 2, as the previous release does, which does not support services.
fn create_format_2(folder: &Path) {
    let store = Store::open(folder, Format::Checksummed).expect("the store opens");
    store.identity(1, samples::replica(1).identity).expect("the identity is stored");
    let list = samples::list(&samples::commands_without_services());
    store
        .save_snapshot(&StateMachineData { list, ..StateMachineData::default() })
        .expect("the snapshot is saved");
}

pub fn write_fixtures() {
    let folder = tempfile::tempdir().expect("a temporary directory");
    raft_calls::runtime().block_on(create_replica(folder.path()));
    let file = folder.path().join("roster.redb");
    fixtures::write_lines(ROWS, &rows(&file));
    for (name, path) in [(DATABASE, file.clone()), (COMMIT_COUNTER, folder.path().join("roster.mark"))] {
        fixtures::write(name, &std::fs::read(path).expect("the file is readable"));
    }
    let list = serde_json::to_vec(&samples::list(&samples::commands())).expect("the list is encoded");
    fixtures::write(LIST, &list);
    let mut store = Store::open(folder.path(), Format::NEWEST).expect("the store opens");
    fixtures::write_lines(STATE, &raft_calls::runtime().block_on(state(&mut store)));
    let previous = tempfile::tempdir().expect("a temporary directory");
    create_format_2(previous.path());
    let file = previous.path().join("roster.redb");
    fixtures::write(FILE_FORMAT_2, &std::fs::read(file).expect("the file is readable"));
}

#[test]
fn store_reads_votes_log_ids_and_entries_of_fixture() {
    let folder = copy();
    let mut store = Store::open(folder.path(), Format::NEWEST).expect("the store opens");
    store.verify().expect("the store is intact");
    assert_eq!(raft_calls::runtime().block_on(state(&mut store)), fixtures::read_lines(STATE));
    assert!(matches!(store.identity(2, 0), Err(StoreError::OtherReplica { found: 1, wanted: 2 })));
}

#[test]
fn stored_snapshot_matches_list_at_that_index() {
    let folder = copy();
    let store = Store::open(folder.path(), Format::NEWEST).expect("the store opens");
    let snapshot = store.load_snapshot().expect("the store is readable").expect("there is a snapshot");
    assert_eq!(snapshot.list, samples::list(&samples::commands()[..=LAST_IN_SNAPSHOT]));
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
        tokio::time::timeout(Duration::from_secs(5), caught_up)
            .await
            .expect("the log is applied in time")
            .expect("the replica runs");
        assert_eq!(*node.own(), samples::replica(1));
        let list = node.applied_state().state().list.clone();
        node.stop().await;
        list
    });
    assert_eq!(list, samples::list(&samples::commands()));
    assert_eq!(serde_json::to_vec(&list).expect("the list is encoded"), fixtures::read(LIST));
    assert_eq!(list.entries().keys().collect::<Vec<_>>(), ["a", "b", "c", "m", "w2"]);
    let status_of = |name: &str| {
        let record = &list.entries()[name];
        (record.entry.status, record.entry.status_reason, record.lease_ms, record.entry.service.as_deref())
    };
    assert_eq!(status_of("a"), (Status::Active, StatusReason::Registered, 0, None));
    assert_eq!(status_of("b"), (Status::Draining, StatusReason::Drained, samples::LEASE_MS, None));
    assert_eq!(status_of("c"), (Status::Draining, StatusReason::Expired, samples::LEASE_MS, None));
    assert_eq!(status_of("m"), (Status::Active, StatusReason::Registered, samples::LEASE_MS, Some("web")));
    assert_eq!(status_of("w2"), (Status::Draining, StatusReason::Drained, samples::LEASE_MS, Some("web")));
}

/// Checks the rows of the fixture, and that a replica which handles the same commands now writes the same rows.
#[test]
fn replica_writes_tables_keys_and_values_of_fixture() {
    let expected = fixtures::read_lines(ROWS);
    assert_eq!(rows(&copy().path().join("roster.redb")), expected);
    let folder = tempfile::tempdir().expect("a temporary directory");
    raft_calls::runtime().block_on(create_replica(folder.path()));
    assert_eq!(rows(&folder.path().join("roster.redb")), expected);
    let mut names: Vec<_> = std::fs::read_dir(folder.path())
        .expect("the folder is readable")
        .map(|entry| entry.expect("an entry").file_name())
        .collect();
    names.sort();
    assert_eq!(names, ["roster.mark", "roster.redb"]);
}

#[test]
fn rejects_database_with_fewer_commits_than_commit_counter() {
    let folder = copy();
    let commits = u64::from_le_bytes(fixtures::read(COMMIT_COUNTER)[..8].try_into().expect("eight bytes"));
    std::fs::write(folder.path().join("roster.redb"), fixtures::read(FILE_FORMAT_2))
        .expect("the database is replaced");
    let rejected = Store::open(folder.path(), Format::NEWEST).err();
    assert!(
        matches!(rejected, Some(StoreError::RolledBack { counted, .. }) if counted == commits),
        "{rejected:?}"
    );
}

#[test]
fn converts_database_of_earlier_format() {
    let folder = tempfile::tempdir().expect("a temporary directory");
    std::fs::write(folder.path().join("roster.redb"), fixtures::read(FILE_FORMAT_2))
        .expect("the database is copied");
    let store = Store::open(folder.path(), Format::NEWEST).expect("the store opens");
    assert_eq!(store.identity(1, 0).expect("the store of this replica"), samples::replica(1).identity);
    let snapshot = store.load_snapshot().expect("the store is readable").expect("there is a snapshot");
    assert_eq!(snapshot.list, samples::list(&samples::commands_without_services()));
}
