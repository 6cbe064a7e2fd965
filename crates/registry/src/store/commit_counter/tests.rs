use super::*;
use crate::store::{Format, Store};

#[test]
fn a_file_that_came_back_with_less_than_it_had_is_not_used() {
    let folder = tempfile::tempdir().expect("a folder");
    let copy = folder.path().join("copy");
    let file = folder.path().join("roster.redb");
    Store::open(folder.path(), Format::NEWEST).expect("it is made");
    std::fs::copy(&file, &copy).expect("it is copied");
    let store = Store::open(folder.path(), Format::NEWEST).expect("it is opened");
    assert_eq!(store.identity(1, 77).expect("it is written"), 77);
    drop(store);
    std::fs::copy(&copy, &file).expect("it is put back");
    let error = Store::open(folder.path(), Format::NEWEST).err().expect("it lacks a commit");
    assert!(matches!(error, StoreError::RolledBack { .. }), "{error}");
}
