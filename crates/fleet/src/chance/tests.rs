use super::*;
use rand::Rng;

#[test]
fn streams_are_reproducible_and_differ_by_seed_purpose_and_number() {
    let first = |seed, purpose, number| stream(seed, purpose, number).next_u64();
    assert_eq!(first(1, "arrivals", 3), first(1, "arrivals", 3));
    let others = [first(2, "arrivals", 3), first(1, "servers", 3), first(1, "arrivals", 4)];
    assert!(!others.contains(&first(1, "arrivals", 3)));
}

#[test]
fn log_normal_factors_have_mean_one_and_the_given_variation() {
    let n = 200_000;
    let all: Vec<f64> = (0..n).map(|i| log_normal_factor(mix(i), 0.5)).collect();
    let mean = all.iter().sum::<f64>() / n as f64;
    let var = all.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / n as f64;
    assert!((mean - 1.0).abs() < 0.01, "{mean}");
    assert!((var.sqrt() - 0.5).abs() < 0.02, "{}", var.sqrt());
}
