use super::*;

#[test]
fn sweep_covers_all_combinations() {
    let sweep = Sweep { load: vec![0.5, 0.9], sidecars: vec![3, 30], servers: vec![] };
    let parts: Vec<_> = sweep.points().iter().map(Point::to_string).collect();
    assert_eq!(
        parts,
        ["load 0.5, 3 sidecars", "load 0.5, 30 sidecars", "load 0.9, 3 sidecars", "load 0.9, 30 sidecars"]
    );
    assert_eq!(Sweep::default().points(), [Point::default()]);
}
