use super::*;

const MAX_IDS: usize = 8192;

#[test]
fn request_id_is_reusable_only_after_retention() {
    let (ids, now) = (RequestIds::new(MAX_IDS), Instant::now());
    let open = ids.open(b"a", now).expect("it is new");
    assert!(ids.open(b"a", now + 2 * RETENTION).is_err() && ids.open(b"b", now).is_ok());
    open.set_may_have_run(true);
    drop(open);
    assert_eq!(ids.open(b"a", now).err(), Some(OpenIdError::Known));
    assert!(ids.open(b"a", now + 2 * RETENTION).is_ok());
}

#[test]
fn id_of_request_that_never_ran_is_reusable_at_once() {
    let (ids, now) = (RequestIds::new(MAX_IDS), Instant::now());
    drop(ids.open(b"a", now));
    assert!(ids.open(b"a", now).is_ok());
}

// Memory is limited, and no id that matters is forgotten for it.
#[test]
fn more_ids_than_there_is_memory_for_are_refused() {
    let (ids, now) = (RequestIds::new(MAX_IDS), Instant::now());
    let open = |number: usize| ids.open(&number.to_be_bytes(), now);
    let mut accepted = Vec::new();
    for number in 0..2 * MAX_IDS {
        match open(number) {
            Ok(id) => {
                id.set_may_have_run(true);
                accepted.push(number);
            }
            Err(e) => assert_eq!(e, OpenIdError::Full),
        }
    }
    assert!(accepted.len() <= MAX_IDS && accepted.len() > MAX_IDS / 2, "{}", accepted.len());
    assert!(accepted.into_iter().all(|number| open(number).err() == Some(OpenIdError::Known)));
}
