use super::*;

#[test]
fn request_id_is_reusable_only_after_retention() {
    let (ids, now) = (RequestIds::default(), Instant::now());
    let open = ids.open(b"a", now).expect("it is new");
    assert!(ids.open(b"a", now + 2 * RETENTION).is_none() && ids.open(b"b", now).is_some());
    drop(open);
    assert!(ids.open(b"a", now).is_none());
    assert!(ids.open(b"a", now + 2 * RETENTION).is_some());
    for number in 0..2 * MAX_RETAINED {
        assert!(ids.open(&number.to_be_bytes(), now).is_some());
    }
    assert!(ids.0.borrow().ids.len() <= MAX_RETAINED + 2, "the ids of completed requests exceed their limit");
}
