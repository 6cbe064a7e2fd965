use super::*;

// A fleet that replaces its machines for months would else grow every table that is kept by number.
#[test]
fn reuses_number_of_released_name() {
    let mut names = Interner::default();
    let (a, b) = (names.intern("a"), names.intern("b"));
    names.release(a);
    names.release(a);
    assert_eq!((names.find("a"), names.intern("b"), names.intern("c"), names.intern("a")), (None, b, a, 2));
    assert_eq!((names.name(a), names.ids().count()), ("c", 3));
}
