//! Circuit breakers per endpoint, and per request class at an endpoint. An open circuit admits no attempts
//! for a period, which doubles with each opening, and then one trial attempt at a time (half-open).

use super::*;

const MAX_DOUBLINGS: u32 = 3;
/// The first opening lasts at least this many round-robin passes over the subset.
const MIN_OPEN_ROUNDS: f64 = 2.0;
/// Share of requests that may be trials while other circuits are closed.
pub(super) const TRIALS_PER_REQUEST: f64 = 0.05;
pub(super) const MAX_TRIAL_BUDGET: f64 = 1.0;
const OPENINGS_DEDUCTED_ON_CLOSE: u32 = 2;

impl Balancer {
    /// Whether a circuit bars requests of the class from the endpoint.
    pub(super) fn circuit_blocks(&self, endpoint: &Endpoint, class: ClassId) -> bool {
        let circuit = endpoint.circuit_for(class);
        // However many circuits are open, trials must remain a small share of the requests.
        let others_available = || self.endpoints.iter().any(|e| e.serves(class));
        let over_budget = || self.trial_budget < MAX_TRIAL_BUDGET && others_available();
        circuit != Circuit::Closed
            && (circuit.is_open(self.now) || endpoint.has_trial_in_flight(class) || over_budget())
    }

    /// Opens the circuit of an endpoint, or of a class there, for a jittered time, doubled with each opening.
    pub(super) fn open_circuit(&mut self, i: EndpointId, class: Option<ClassId>) {
        let round = self.subset_size() / self.shedding.request_rate(self.now);
        let first = (self.settings.longest_latency_objective() as f64).max(MIN_OPEN_ROUNDS * round);
        let health = self.endpoints[i].health_mut(self.now, class);
        if health.circuit.is_open(self.now) {
            return;
        }
        let factor = f64::from(1u32 << health.consecutive_openings.min(MAX_DOUBLINGS));
        let until = after(self.now, first * factor * (0.75 + 0.5 * self.rng.f64()));
        let was_closed = health.circuit == Circuit::Closed;
        health.circuit = Circuit::Open(until);
        health.consecutive_openings += 1;
        if was_closed {
            self.log_circuit(i, "open", class);
        }
    }

    /// Closes the circuit of an endpoint, or of a class there, after a successful trial.
    pub(super) fn close_circuit(&mut self, i: EndpointId, class: Option<ClassId>) {
        let health = self.endpoints[i].health_mut(self.now, class);
        let consecutive_openings = health.consecutive_openings.saturating_sub(OPENINGS_DEDUCTED_ON_CLOSE);
        *health = Health { consecutive_openings, ..Health::unknown(self.now) };
        if class.is_none() {
            self.endpoints[i].class_health.clear();
            // Failed connections indicate a restart that the endpoint list may not report yet.
            if self.endpoints[i].take_inferred_restart() {
                self.begin_slow_start(i, self.now);
            }
        }
        self.log_circuit(i, "closed", class);
    }

    fn log_circuit(&mut self, i: EndpointId, state: &str, class: Option<ClassId>) {
        let class = class.map_or(String::new(), |class| format!(" for class {class}"));
        self.log.write(self.now, format!("circuit of endpoint {i} {state}{class}"), &mut self.actions);
    }
}
