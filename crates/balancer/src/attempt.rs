//! Records of attempts, as their request and as their endpoint see them.

use crate::{AttemptNumber, ClassId, EndpointId, Micros, RequestId, ZoneId};

/// An attempt as its request sees it.
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointId,
    /// Zone and cell at the time of sending: they hold after the endpoint is removed.
    pub(crate) zone: Option<ZoneId>,
    pub(crate) cell: u64,
    pub(crate) sent_at: Micros,
    pub(crate) in_flight: bool,
    pub(crate) may_have_run: bool,
}

/// An attempt in flight as its endpoint sees it.
pub(crate) struct InFlightAttempt {
    pub(crate) request: RequestId,
    pub(crate) attempt: AttemptNumber,
    pub(crate) class: ClassId,
    pub(crate) expected_work: f64,
    pub(crate) streaming: bool,
    /// The endpoint waits for the client, and spends no capacity on it.
    pub(crate) body_incomplete: bool,
}

/// The attempts in flight at an endpoint.
#[derive(Default)]
pub(crate) struct InFlightAttempts(Vec<InFlightAttempt>);

impl InFlightAttempts {
    pub(crate) fn push(&mut self, attempt: InFlightAttempt) {
        self.0.push(attempt);
    }

    /// Takes out one that has ended.
    pub(crate) fn complete(&mut self, request: RequestId, attempt: AttemptNumber) -> Option<InFlightAttempt> {
        let at = self.0.iter().position(|f| f.request == request && f.attempt == attempt)?;
        Some(self.0.swap_remove(at))
    }

    /// Their number, without those whose body is incomplete.
    pub(crate) fn load(&self) -> f64 {
        self.0.iter().filter(|f| !f.body_incomplete).count() as f64
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn any_of_class(&self, class: ClassId) -> bool {
        self.0.iter().any(|f| f.class == class)
    }

    pub(crate) fn body_received(&mut self, request: RequestId) {
        let of_request = self.0.iter_mut().filter(|f| f.request == request);
        of_request.for_each(|f| f.body_incomplete = false);
    }

    /// The answer has begun to stream: its duration says nothing about latency from now on.
    pub(crate) fn stream_started(&mut self, request: RequestId, attempt: AttemptNumber) {
        let is_it = |f: &&mut InFlightAttempt| f.request == request && f.attempt == attempt;
        self.0.iter_mut().filter(is_it).for_each(|f| f.streaming = true);
    }
}
