//! The random topology of a step: the service of each server, and the services that each sidecar calls. It depends on
//! the plan, the sizes of the step and the seed alone.

use super::plan::{Plan, Sizes};
use super::results::Mode;
use crate::chance::stream;
use rand::RngExt;
use rand::seq::SliceRandom;

/// The topology of one step. Services and servers are numbered from 0.
#[derive(Clone, Debug, PartialEq)]
pub struct Topology {
    /// The service of each server.
    pub service_of_server: Vec<usize>,
    /// The number of servers of each service, at least one.
    pub servers_per_service: Vec<usize>,
    /// The services that each hollow sidecar calls, in ascending order.
    pub hollow_calls: Vec<Vec<usize>>,
    /// The services that each real sidecar calls, in ascending order.
    pub sidecar_calls: Vec<Vec<usize>>,
    /// The servers in the order in which they change.
    pub change_order: Vec<usize>,
}

/// The estimated memory of an entry of the list in a sidecar.
const ENTRY_BYTES: u64 = 1000;

impl Topology {
    /// Draws the topology of one step.
    pub fn new(plan: &Plan, sizes: &Sizes) -> Self {
        let count = plan.services.min(sizes.listed);
        let weights: Vec<f64> = (1..=count).map(|rank| (rank as f64).powf(-plan.skew)).collect();
        let mut rng = stream(plan.seed, "scale servers", 0);
        let cumulative_weights = cumulative_sums(weights.into_iter());
        let mut servers_per_service = vec![0; count];
        // Each service gets one server; the other servers are distributed by the weights.
        let service_of_server: Vec<usize> = (0..sizes.listed)
            .map(|i| if i < count { i } else { pick(&cumulative_weights, rng.random()) })
            .collect();
        service_of_server.iter().for_each(|s| servers_per_service[*s] += 1);
        let call_weights =
            cumulative_sums(servers_per_service.iter().map(|n| if plan.by_size { *n as f64 } else { 1.0 }));
        let calls = |purpose: &str, sidecars: usize| -> Vec<Vec<usize>> {
            (0..sidecars)
                .map(|i| {
                    draw_services(
                        &call_weights,
                        plan.calls.min(count),
                        &mut stream(plan.seed, purpose, i as u64),
                    )
                })
                .collect()
        };
        let (hollow_calls, sidecar_calls) =
            (calls("scale hollow", sizes.hollow), calls("scale sidecars", plan.sidecars));
        let mut change_order: Vec<usize> = (0..sizes.listed).collect();
        change_order.shuffle(&mut stream(plan.seed, "scale changes", 0));
        Self { service_of_server, servers_per_service, hollow_calls, sidecar_calls, change_order }
    }

    /// The estimated memory of the lists of all hollow sidecars.
    pub fn list_bytes(&self, mode: Mode) -> u64 {
        let entries = |calls: &Vec<usize>| -> u64 {
            match mode {
                Mode::Whole => self.service_of_server.len() as u64,
                Mode::Services => calls.iter().map(|s| self.servers_per_service[*s] as u64).sum(),
            }
        };
        self.hollow_calls.iter().map(entries).sum::<u64>() * ENTRY_BYTES
    }

    /// Whether a sidecar that calls these services (ascending) receives the changes of that server.
    pub fn concerns(&self, mode: Mode, calls: &[usize], server: usize) -> bool {
        mode == Mode::Whole || calls.binary_search(&self.service_of_server[server]).is_ok()
    }
}

/// The name of a service.
pub fn service_name(number: usize) -> String {
    format!("svc-{number:05}")
}

fn cumulative_sums(weights: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sum = 0.0;
    weights
        .map(|w| {
            sum += w;
            sum
        })
        .collect()
}

/// The index at fraction `unit` (0 to 1) of the cumulative weights.
fn pick(sums: &[f64], unit: f64) -> usize {
    let at = unit * sums.last().copied().unwrap_or(0.0);
    sums.partition_point(|s| *s <= at).min(sums.len().saturating_sub(1))
}

/// Draws `count` distinct services by cumulative weights; returns them in ascending order.
fn draw_services(cumulative_weights: &[f64], count: usize, rng: &mut impl rand::Rng) -> Vec<usize> {
    let mut services = Vec::with_capacity(count);
    while services.len() < count {
        let service = pick(cumulative_weights, rng.random());
        if let Err(at) = services.binary_search(&service) {
            services.insert(at, service);
        }
    }
    services
}
