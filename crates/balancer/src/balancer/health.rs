//! Updates an endpoint's latency, concurrency limit and circuit breakers when an attempt ends.

use super::*;

/// Error rate that opens a circuit: three errors in a row, as two may be chance.
const ERROR_RATE_THRESHOLD: f64 = 0.6;
/// Another class with an error rate below this shows that the fault is the failing class's own.
const HEALTHY_ERROR_RATE: f64 = 0.3;

impl Balancer {
    pub(super) fn record_outcome(&mut self, end: AttemptEnd, attempt: &InFlightAttempt) {
        // A network fault breaks all idle connections, which must not open circuits of healthy endpoints. A
        // fault that breaks each connection after its first answer is missed, and costs an attempt each time.
        if matches!(
            end.outcome,
            Outcome::Cancelled | Outcome::BadRequest | Outcome::NotSent | Outcome::ReusedConnectionReset
        ) {
            return;
        }
        let duration = end.duration.clamp(1, MAX_DURATION_US) as f64;
        // The duration of a stream depends on its content, and that of an unfinished request on its client.
        let depends_on_endpoint = !attempt.streaming && !attempt.body_incomplete;
        if depends_on_endpoint && matches!(end.outcome, Outcome::Ok | Outcome::TimedOut) {
            self.record_latency(end, attempt, duration);
        }
        self.record_health(end, attempt.class, duration);
    }

    fn record_latency(&mut self, end: AttemptEnd, attempt: &InFlightAttempt, duration: f64) {
        let e = &mut self.endpoints[end.endpoint];
        let target = self.latency.target(e);
        let sample = self.latency.sample(duration, attempt.expected_work);
        self.latency.record_sample(self.now, e, sample);
        if end.outcome == Outcome::Ok {
            let objective = self.settings.classes[attempt.class].latency_objective as f64;
            self.latency.record_answer(sample, duration, attempt.class, objective);
            e.update_unloaded_latency();
            self.record_throughput(end.endpoint, attempt.expected_work);
            self.adjust_limit(end.endpoint, target);
        }
    }

    fn record_health(&mut self, end: AttemptEnd, class: ClassId, duration: f64) {
        let (i, is_error) = (end.endpoint, end.outcome != Outcome::Ok);
        let e = &mut self.endpoints[i];
        let gain = e.health.gain(self.now, self.longest_deadline);
        let is_trial = e.health.circuit != Circuit::Closed;
        e.count_connect_failure(self.now, end.outcome, duration);
        e.health.last_outcome_at = self.now;
        // A failed connection is not related to the request's class.
        let may_be_class_fault = !is_trial && end.outcome != Outcome::ConnectFailed;
        if may_be_class_fault && self.record_class_health(i, class, is_error) {
            return;
        }
        let health = &mut self.endpoints[i].health;
        health.update_error_rate(gain, is_error);
        if is_error && (is_trial || health.error_rate > ERROR_RATE_THRESHOLD) {
            self.open_circuit(i, None);
        } else if is_trial && !is_error {
            self.close_circuit(i, None);
        }
    }

    /// Tracks each class by itself, so that its errors neither open the circuit for all classes nor are
    /// outweighed by the successes of others. Returns whether the class alone is at fault.
    fn record_class_health(&mut self, i: EndpointId, class: ClassId, is_error: bool) -> bool {
        let since = self.now - self.latency.stale_after as Micros;
        let classes = &mut self.endpoints[i].class_health;
        let is_healthy = |h: &Health| h.last_outcome_at >= since && h.error_rate < HEALTHY_ERROR_RATE;
        let others_succeed = classes.iter().any(|(other, health)| *other != class && is_healthy(health));
        let health = classes.entry(class).or_insert(Health::unknown(self.now));
        let gain = health.gain(self.now, self.longest_deadline);
        health.update_error_rate(gain, is_error);
        health.last_outcome_at = self.now;
        let is_trial = health.circuit != Circuit::Closed;
        let at_fault = is_error && (is_trial || others_succeed && health.error_rate > ERROR_RATE_THRESHOLD);
        if is_trial && !is_error {
            self.close_circuit(i, Some(class));
        }
        if at_fault {
            self.open_circuit(i, Some(class));
        }
        at_fault
    }
}
