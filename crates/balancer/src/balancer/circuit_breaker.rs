//! Circuit breakers of endpoints, and of classes at an endpoint. An open circuit admits nothing for a time,
//! which doubles with each opening, and then one trial attempt at a time.

use super::*;

const MAX_DOUBLINGS: u32 = 3;
/// The first opening lasts this many rounds of turns at the least.
const MIN_OPEN_ROUNDS: f64 = 2.0;
/// Share of requests that may be trials while other circuits are closed.
pub(super) const TRIALS_PER_REQUEST: f64 = 0.05;
pub(super) const MAX_TRIAL_BUDGET: f64 = 1.0;
const OPENINGS_FORGIVEN: u32 = 2;

impl Balancer {
    /// Whether the circuit that a request of that class meets there keeps it out.
    pub(super) fn circuit_blocks(&self, endpoint: &Endpoint, class: ClassId) -> bool {
        let circuit = endpoint.circuit_for(class);
        // Many open circuits must not make a trial of every other request.
        let others_serve = || self.endpoints.iter().any(|e| e.serves(class));
        let over_budget = || self.trial_budget < MAX_TRIAL_BUDGET && others_serve();
        circuit != Circuit::Closed
            && (circuit.is_open(self.now) || endpoint.has_trial_in_flight(class) || over_budget())
    }

    /// Opens the circuit of an endpoint, or of one class there: longer with each opening, and jittered.
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

    /// Closes the circuit of an endpoint, or of one class there, after a trial that succeeded.
    pub(super) fn close_circuit(&mut self, i: EndpointId, class: Option<ClassId>) {
        let health = self.endpoints[i].health_mut(self.now, class);
        let consecutive_openings = health.consecutive_openings.saturating_sub(OPENINGS_FORGIVEN);
        *health = Health { consecutive_openings, ..Health::unknown(self.now) };
        if class.is_none() {
            self.endpoints[i].class_health.clear();
            // It lost its connections, so it has likely restarted, whatever the list says so far.
            if self.endpoints[i].take_restart() {
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
