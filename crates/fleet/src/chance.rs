//! Independent random streams and keyed random values, derived from a run's seed. Each purpose has a stream of its
//! own, so that the decisions of a policy don't change the requests of a run: all policies see the same ones.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The random stream of a purpose; `number` identifies the sidecar, server or fault that it is for.
pub fn stream(seed: u64, purpose: &str, number: u64) -> ChaCha8Rng {
    let purpose = purpose
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325, |h: u64, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
    let mut rng = ChaCha8Rng::seed_from_u64(mix(seed ^ purpose));
    rng.set_stream(number);
    rng
}

/// One step of SplitMix64: a stateless pseudo-random hash, for values that depend on a key instead of the order of
/// draws. Callers mix a constant into the key to get independent values for different purposes.
pub fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A value derived from a key, uniform in [0, 1).
pub fn unit(key: u64) -> f64 {
    (mix(key) >> 11) as f64 / (1u64 << 53) as f64
}

/// A standard normal value derived from a key (Box-Muller transform).
pub fn normal(key: u64) -> f64 {
    let (a, b) = (1.0 - unit(key), unit(!key));
    (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos()
}

/// A log-normal factor derived from a key, with mean 1 and coefficient of variation `cv`.
pub fn log_normal_factor(key: u64, cv: f64) -> f64 {
    let spread = (1.0 + cv * cv).ln();
    (normal(key) * spread.sqrt() - spread / 2.0).exp()
}

#[cfg(test)]
mod tests;
