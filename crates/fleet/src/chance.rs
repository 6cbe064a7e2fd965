//! Random numbers by purpose. Each purpose has a stream of its own from the run's one seed: what one policy does
//! must not change which requests the next one meets.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The stream of one purpose; `number` tells the sidecar, server or fault that it is for.
pub fn stream(seed: u64, purpose: &str, number: u64) -> ChaCha8Rng {
    let purpose = purpose
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325, |h: u64, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
    let mut rng = ChaCha8Rng::seed_from_u64(mix(seed ^ purpose));
    rng.set_stream(number);
    rng
}

/// One step of SplitMix64: a number that looks drawn, for things that are named rather than drawn in order.
pub fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Evenly in 0 to 1 (1 left out) by name alone.
pub fn unit(key: u64) -> f64 {
    (mix(key) >> 11) as f64 / (1u64 << 53) as f64
}

/// A standard normal figure by name alone (Box and Muller).
pub fn normal(key: u64) -> f64 {
    let (a, b) = (1.0 - unit(key), unit(!key));
    (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos()
}

/// A log-normal factor of mean 1 with that coefficient of variation, by name alone.
pub fn log_normal_factor(key: u64, cv: f64) -> f64 {
    let spread = (1.0 + cv * cv).ln();
    (normal(key) * spread.sqrt() - spread / 2.0).exp()
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::Rng;

    #[test]
    fn streams_repeat_by_name_and_differ_between_names() {
        let first = |seed, purpose, number| stream(seed, purpose, number).next_u64();
        assert_eq!(first(1, "arrivals", 3), first(1, "arrivals", 3));
        let others = [first(2, "arrivals", 3), first(1, "servers", 3), first(1, "arrivals", 4)];
        assert!(!others.contains(&first(1, "arrivals", 3)));
    }

    #[test]
    fn factors_have_mean_one_and_the_spread_asked_for() {
        let n = 200_000;
        let all: Vec<f64> = (0..n).map(|i| log_normal_factor(mix(i), 0.5)).collect();
        let mean = all.iter().sum::<f64>() / n as f64;
        let var = all.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / n as f64;
        assert!((mean - 1.0).abs() < 0.01, "{mean}");
        assert!((var.sqrt() - 0.5).abs() < 0.02, "{}", var.sqrt());
    }
}
