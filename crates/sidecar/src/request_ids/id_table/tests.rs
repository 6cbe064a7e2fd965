use super::*;

fn at(seconds: u64) -> Tick {
    Tick::after(Duration::from_secs(seconds))
}

#[test]
fn id_is_known_until_it_expires_or_is_removed() {
    let (table, id) = (IdTable::new(1024), IdHash::of(b"a"));
    let slot = table.insert(id, at(1), at(3)).expect("it is new");
    assert_eq!(table.insert(id, at(2), at(4)), Err(InsertError::Known));
    table.set_expiry(slot, id, at(8));
    assert_eq!(table.insert(id, at(7), at(9)), Err(InsertError::Known));
    let slot = table.insert(id, at(8), at(9)).expect("it has expired");
    table.remove(slot);
    assert!(table.insert(id, at(8), at(9)).is_ok());
}

// An id that made room by driving out another could run twice.
#[test]
fn full_table_refuses_ids_and_forgets_none() {
    let table = IdTable::new(512);
    let insert = |number: u32, now| table.insert(IdHash::of(&number.to_be_bytes()), now, at(6));
    let inserted: Vec<_> = (0..2000).filter(|number| insert(*number, at(1)).is_ok()).collect();
    assert!((400..=512).contains(&inserted.len()), "{}", inserted.len());
    assert!(inserted.iter().all(|number| insert(*number, at(5)) == Err(InsertError::Known)));
    assert!(inserted.iter().all(|number| insert(*number, at(6)).is_ok()), "there is room again");
}

#[test]
fn half_full_table_has_room() {
    let table = IdTable::new(1 << 16);
    let refused = (0..1 << 15).filter(|number: &u32| {
        table.insert(IdHash::of(format!("{number:016x}").as_bytes()), at(1), at(6)).is_err()
    });
    assert_eq!(refused.count(), 0);
}

#[test]
fn tables_on_shared_memory_know_each_others_ids() {
    let memory: &'static [AtomicU64] = Box::leak((0..512).map(|_| AtomicU64::new(0)).collect());
    let (first, second, id) = (IdTable::shared(memory), IdTable::shared(memory), IdHash::of(b"a"));
    let slot = first.insert(id, at(1), at(9)).expect("it is new");
    assert_eq!(second.insert(id, at(2), at(9)), Err(InsertError::Known));
    first.remove(slot);
    assert!(second.insert(id, at(2), at(9)).is_ok());
    assert_eq!(first.insert(id, at(2), at(9)), Err(InsertError::Known));
}
