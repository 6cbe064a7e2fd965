//! The rules that every policy must keep. The simulation checks them on each action and counts violations by rule, so
//! that no result rests on undetected violations.

use crate::Micros;
use lotusmoor_balancer::{DedupScope, Idempotency};
use std::collections::BTreeMap;

/// An attempt as far as the rules need it.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    /// Zone of its server.
    pub zone: usize,
    /// Cell of its server.
    pub cell: u64,
    /// When it was sent.
    pub at: Micros,
    /// Whether it is still in flight.
    pub open: bool,
    /// Whether its server may have executed it.
    pub may_have_run: bool,
}

/// The inputs for the check of a send.
pub struct SendCheck<'a> {
    /// Idempotency of the request's class.
    pub idempotency: Idempotency,
    /// Earlier attempts of the same try.
    pub earlier: &'a [Sent],
    /// The attempt to send.
    pub to: Sent,
    /// Whether the request already has its final response.
    pub finished: bool,
    /// Whether the server was ever listed.
    pub listed: bool,
    /// When the sidecar learned, or is presumed to have learned, that the server is draining or removed.
    pub unavailable_since: Option<Micros>,
    /// How long sends are still allowed after that.
    pub drain_grace: Micros,
    /// Maximum number of attempts.
    pub max_attempts: u32,
    /// Whether two attempts may be in flight at once.
    pub may_hedge: bool,
}

/// The rule that a send violates.
pub fn check_send(c: &SendCheck) -> Option<&'static str> {
    let now = c.to.at;
    let ran = || c.earlier.iter().filter(|a| a.open || a.may_have_run);
    let repeat = match c.idempotency {
        Idempotency::Idempotent => false,
        Idempotency::NonIdempotent => ran().next().is_some(),
        Idempotency::WithKey { scope, ttl } => ran().any(|a| {
            let same_scope = match scope {
                DedupScope::All => true,
                DedupScope::Zone => a.zone == c.to.zone,
                DedupScope::Cell => a.cell == c.to.cell,
            };
            !same_scope || now - a.at >= ttl
        }),
    };
    [
        (c.finished, "a send for a request that is over"),
        (!c.listed, "a send to a server that was never listed"),
        (
            c.unavailable_since.is_some_and(|at| now > at + c.drain_grace),
            "a send to a server that drains or is gone",
        ),
        (c.earlier.len() as u32 >= c.max_attempts, "more attempts than allowed"),
        (!c.may_hedge && c.earlier.iter().any(|a| a.open), "a second attempt while one is out"),
        (repeat, "a repeat of what may have run"),
    ]
    .into_iter()
    .find(|(broken, _)| *broken)
    .map(|(_, rule)| rule)
}

/// The rule that a rejection violates: it tells the client that a retry is safe, which must be true.
pub fn check_rejection(now: Micros, idempotency: Idempotency, earlier: &[Sent]) -> Option<&'static str> {
    let first = earlier.iter().filter(|a| a.open || a.may_have_run).map(|a| a.at).min();
    let safe_to_retry = match (first, idempotency) {
        (None, _) | (_, Idempotency::Idempotent) => true,
        (Some(at), Idempotency::WithKey { scope: DedupScope::All, ttl }) => now - at < ttl,
        _ => false,
    };
    (!safe_to_retry).then_some("a refusal of what may have run")
}

/// The rule that the overload of a server that is warming up violates. `informed` is the share of its recent work
/// that came from sidecars that knew about its restart; up to two thirds is no violation.
pub fn check_overload(informed: f64) -> Option<&'static str> {
    (informed > 2.0 / 3.0).then_some("a cold server pushed over")
}

/// Number of violations of each rule.
#[derive(Default)]
pub struct Violations(pub BTreeMap<&'static str, u64>);

impl Violations {
    /// Counts a violation, if there is one.
    pub fn record(&mut self, rule: Option<&'static str>) {
        if let Some(rule) = rule {
            *self.0.entry(rule).or_default() += 1;
        }
    }
}

#[cfg(test)]
mod tests;
