use super::*;

// Otherwise tables indexed by id grow without bound in a fleet that replaces its machines for months.
#[test]
fn reuses_id_of_released_name() {
    let mut names = Interner::default();
    let (a, b) = (names.intern("a"), names.intern("b"));
    names.release(a);
    names.release(a);
    assert_eq!((names.find("a"), names.intern("b"), names.intern("c"), names.intern("a")), (None, b, a, 2));
    assert_eq!((names.name(a), names.ids().count()), ("c", 3));
}
