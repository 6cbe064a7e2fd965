use super::*;
use std::sync::atomic::Ordering;

fn path(name: &str) -> std::path::PathBuf {
    let path = std::env::temp_dir().join(format!("ids-{}-{name}", std::process::id()));
    let _ = std::fs::remove_file(&path);
    path
}

#[test]
fn both_mappings_of_a_file_have_its_entries() {
    let path = path("shared");
    let first = map(&path, 512).expect("the file is created");
    // The file's own size counts for the second.
    let second = map(&path, 1024).expect("the file is there");
    assert_eq!((first.len(), second.len()), (512, 512));
    first[511].store(7, Ordering::Release);
    assert_eq!(second[511].load(Ordering::Acquire), 7);
    std::fs::remove_file(&path).expect("the file exists");
}

#[test]
fn file_that_can_not_be_mapped_is_an_error() {
    assert!(map(Path::new("/nowhere/ids"), 512).is_err());
    assert!(map(&std::env::temp_dir(), 512).is_err());
    let path = path("short");
    std::fs::write(&path, b"abc").expect("the file can be written");
    assert!(map(&path, 512).is_err());
    std::fs::remove_file(&path).expect("the file exists");
}
