//! Detection of a database that was rolled back.

use super::*;
use crate::store::{Format, Store};

#[test]
fn rolled_back_database_is_rejected() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let copy = folder.path().join("copy");
    let file = folder.path().join("roster.redb");
    Store::open(folder.path(), Format::NEWEST).expect("the store is created");
    std::fs::copy(&file, &copy).expect("the database is copied");
    let store = Store::open(folder.path(), Format::NEWEST).expect("the store opens");
    assert_eq!(store.identity(1, 77).expect("the identity is stored"), 77);
    drop(store);
    std::fs::copy(&copy, &file).expect("the copy is restored");
    let error = Store::open(folder.path(), Format::NEWEST).err().expect("the missing commit is detected");
    assert!(matches!(error, StoreError::RolledBack { .. }), "{error}");
}
