//! Records of attempts: one kept with the request, one with the endpoint.

use crate::{AttemptNumber, ClassId, EndpointId, Micros, RequestId, ZoneId};

/// An attempt, as recorded with its request.
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointId,
    /// Zone and cell of the endpoint at the time of sending, which may be removed since.
    pub(crate) zone: Option<ZoneId>,
    pub(crate) cell: u64,
    pub(crate) sent_at: Micros,
    pub(crate) in_flight: bool,
    pub(crate) may_have_run: bool,
}

/// An attempt in flight, as recorded with its endpoint.
pub(crate) struct InFlightAttempt {
    pub(crate) request: RequestId,
    pub(crate) attempt: AttemptNumber,
    pub(crate) class: ClassId,
    pub(crate) expected_work: f64,
    pub(crate) streaming: bool,
    /// The client is still sending the request, so the attempt takes no capacity of the endpoint.
    pub(crate) body_incomplete: bool,
}

/// The attempts in flight at an endpoint.
#[derive(Default)]
pub(crate) struct InFlightAttempts(Vec<InFlightAttempt>);

impl InFlightAttempts {
    pub(crate) fn push(&mut self, attempt: InFlightAttempt) {
        self.0.push(attempt);
    }

    /// Removes an attempt that has ended.
    pub(crate) fn complete(&mut self, request: RequestId, attempt: AttemptNumber) -> Option<InFlightAttempt> {
        let at = self.0.iter().position(|a| a.request == request && a.attempt == attempt)?;
        Some(self.0.swap_remove(at))
    }

    /// Number of attempts, without those whose body is incomplete.
    pub(crate) fn load(&self) -> f64 {
        self.0.iter().filter(|a| !a.body_incomplete).count() as f64
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn any_of_class(&self, class: ClassId) -> bool {
        self.0.iter().any(|a| a.class == class)
    }

    pub(crate) fn body_received(&mut self, request: RequestId) {
        let of_request = self.0.iter_mut().filter(|a| a.request == request);
        of_request.for_each(|a| a.body_incomplete = false);
    }

    /// The answer has begun to stream, so the attempt's duration no longer says anything about latency.
    pub(crate) fn stream_started(&mut self, request: RequestId, attempt: AttemptNumber) {
        let matches = |a: &&mut InFlightAttempt| a.request == request && a.attempt == attempt;
        self.0.iter_mut().filter(matches).for_each(|a| a.streaming = true);
    }
}
