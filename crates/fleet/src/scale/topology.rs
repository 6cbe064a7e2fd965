//! Which server belongs to which service, and which services each sidecar calls: drawn from the seed alone.

use super::lines::Mode;
use super::plan::{Plan, Sizes};
use crate::chance::stream;
use rand::RngExt;
use rand::seq::SliceRandom;

/// What was drawn for one step.
#[derive(Clone, Debug, PartialEq)]
pub struct Topology {
    /// The service of each server, as its place among `services`.
    pub service_of_server: Vec<usize>,
    /// How many servers each service has; at least one.
    pub servers_per_service: Vec<usize>,
    /// The services that each hollow sidecar calls, in order of their places.
    pub hollow_calls: Vec<Vec<usize>>,
    /// Those of the real ones.
    pub sidecar_calls: Vec<Vec<usize>>,
    /// Servers in the order in which they change.
    pub change_order: Vec<usize>,
}

/// Bytes that an entry of the list is reckoned to take in a reader.
const ENTRY: u64 = 1000;

impl Topology {
    /// Draws for one step.
    pub fn new(plan: &Plan, sizes: &Sizes) -> Self {
        let count = plan.services.min(sizes.listed);
        let weights: Vec<f64> = (1..=count).map(|rank| (rank as f64).powf(-plan.skew)).collect();
        let mut rng = stream(plan.seed, "scale servers", 0);
        let sums = sums(weights.into_iter());
        let mut servers_per_service = vec![0; count];
        // None is left empty; what is beyond goes by the weights.
        let service_of_server: Vec<usize> =
            (0..sizes.listed).map(|i| if i < count { i } else { pick(&sums, rng.random()) }).collect();
        service_of_server.iter().for_each(|s| servers_per_service[*s] += 1);
        let by = self::sums(servers_per_service.iter().map(|n| if plan.by_size { *n as f64 } else { 1.0 }));
        let calls = |purpose: &str, of: usize| -> Vec<Vec<usize>> {
            (0..of)
                .map(|i| called(&by, plan.calls.min(count), &mut stream(plan.seed, purpose, i as u64)))
                .collect()
        };
        let (hollow_calls, sidecar_calls) =
            (calls("scale hollow", sizes.hollow), calls("scale sidecars", plan.sidecars));
        let mut change_order: Vec<usize> = (0..sizes.listed).collect();
        change_order.shuffle(&mut stream(plan.seed, "scale changes", 0));
        Self { service_of_server, servers_per_service, hollow_calls, sidecar_calls, change_order }
    }

    /// Bytes that all hollow readers' lists are reckoned to take.
    pub fn bytes(&self, mode: Mode) -> u64 {
        let entries = |calls: &Vec<usize>| -> u64 {
            match mode {
                Mode::Whole => self.service_of_server.len() as u64,
                Mode::Services => calls.iter().map(|s| self.servers_per_service[*s] as u64).sum(),
            }
        };
        self.hollow_calls.iter().map(entries).sum::<u64>() * ENTRY
    }

    /// Whether a reader of these services is concerned by a change of that server.
    pub fn concerns(&self, mode: Mode, calls: &[usize], server: usize) -> bool {
        mode == Mode::Whole || calls.binary_search(&self.service_of_server[server]).is_ok()
    }
}

/// The name of a service.
pub fn service(number: usize) -> String {
    format!("svc-{number:05}")
}

fn sums(weights: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sum = 0.0;
    weights
        .map(|w| {
            sum += w;
            sum
        })
        .collect()
}

fn pick(sums: &[f64], unit: f64) -> usize {
    let at = unit * sums.last().copied().unwrap_or(0.0);
    sums.partition_point(|s| *s <= at).min(sums.len().saturating_sub(1))
}

/// So many that differ.
fn called(by: &[f64], count: usize, rng: &mut impl rand::Rng) -> Vec<usize> {
    let mut all = Vec::with_capacity(count);
    while all.len() < count {
        let one = pick(by, rng.random());
        if let Err(at) = all.binary_search(&one) {
            all.insert(at, one);
        }
    }
    all
}
