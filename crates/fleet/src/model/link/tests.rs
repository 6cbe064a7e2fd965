use super::*;

#[test]
fn overlapping_cuts_last_until_the_last_one_ends() {
    let mut links = Links::new(3, 100.0, 3000.0, 50.0, 0.0, 1);
    links.cut(0, true, true);
    links.cut(0, false, true);
    links.cut(0, true, false);
    assert_eq!((links.is_open(0, 1), links.is_open(1, 0), links.is_open(1, 2)), (false, true, true));
    links.cut(0, false, false);
    assert!(links.bidirectional(0, 1));
}
