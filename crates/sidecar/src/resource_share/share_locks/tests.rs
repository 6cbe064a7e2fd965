use super::*;
use std::sync::atomic::{AtomicU64, Ordering};

static NEXT_FILE: AtomicU64 = AtomicU64::new(0);

/// Opens a new file as several processes do: locks belong to the open file.
fn processes<const N: usize>() -> [ShareLocks; N] {
    let number = NEXT_FILE.fetch_add(1, Ordering::SeqCst);
    let path = std::env::temp_dir().join(format!("lotusmoor-{}-{number}.shares", std::process::id()));
    let locks = [(); N].map(|()| {
        let file = open(&path).expect("the file can be opened");
        ShareLocks::of(file).expect("the file can be locked")
    });
    std::fs::remove_file(&path).expect("the file can be removed");
    locks
}

#[test]
fn each_share_is_held_by_one_process_at_a_time() {
    let [mut old, mut new] = processes();
    old.acquire(60);
    new.acquire(SHARES);
    assert_eq!((old.held(), new.held()), (60, 4));
    old.release(32);
    new.acquire(SHARES);
    assert_eq!((old.held(), new.held()), (32, 32));
    old.acquire(SHARES);
    assert_eq!(old.held(), 32);
    drop(old);
    new.acquire(60);
    assert_eq!(new.held(), 60);
}

#[test]
fn processes_see_each_other_until_they_end() {
    let [mut old, new] = processes();
    assert!(old.other_is_present() && old.other_is_serving() && new.other_is_serving());
    old.end_service();
    assert!(new.other_is_present() && !new.other_is_serving() && old.other_is_serving());
    drop(old);
    assert!(!new.other_is_present() && !new.other_is_serving());
}

// A third process has nothing before one of the two has ended, whichever that is.
#[test]
fn third_process_waits_for_the_end_of_another() {
    for ended in [0, 1] {
        let [first, second, mut third] = processes();
        third.acquire(SHARES);
        assert_eq!((third.held(), third.other_is_serving()), (0, true));
        let mut others = [Some(first), Some(second)];
        others[ended].take();
        let mut left = others.into_iter().flatten().next().expect("one is left");
        left.acquire(32);
        third.acquire(SHARES);
        assert_eq!((left.held(), third.held()), (32, 32));
        assert!(left.other_is_serving());
    }
}
