//! The rules that every decider must keep, checked on each action. What breaks one is counted by its name; a model
//! in which a rule could be broken unseen would prove nothing.

use crate::Micros;
use lotusmoor_balancer::{DedupScope, Idempotency};
use std::collections::BTreeMap;

/// An attempt as the rules see it.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    /// Zone of its server.
    pub zone: usize,
    /// Cell of its server.
    pub cell: u64,
    /// When.
    pub at: Micros,
    /// Whether it is still out.
    pub open: bool,
    /// Whether it may have run.
    pub may_have_run: bool,
}

/// What a send is checked against.
pub struct SendCheck<'a> {
    /// What a repeat would do.
    pub idempotency: Idempotency,
    /// Earlier attempts of the try.
    pub earlier: &'a [Sent],
    /// The attempt.
    pub to: Sent,
    /// Whether the request has its final answer already.
    pub finished: bool,
    /// Whether the sidecar's lists ever had that server.
    pub listed: bool,
    /// When the sidecar was told that it drains or is gone.
    pub unavailable_since: Option<Micros>,
    /// How long sends may go on after that.
    pub drain_grace: Micros,
    /// Attempts that are allowed.
    pub max_attempts: u32,
    /// Whether two may be out at once.
    pub may_hedge: bool,
}

/// The rule that a send breaks.
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

/// Whether a refusal, which says that a repeat is harmless, is true.
pub fn check_rejection(now: Micros, idempotency: Idempotency, earlier: &[Sent]) -> Option<&'static str> {
    let first = earlier.iter().filter(|a| a.open || a.may_have_run).map(|a| a.at).min();
    let safe_to_retry = match (first, idempotency) {
        (None, _) | (_, Idempotency::Idempotent) => true,
        (Some(at), Idempotency::WithKey { scope: DedupScope::All, ttl }) => now - at < ttl,
        _ => false,
    };
    (!safe_to_retry).then_some("a refusal of what may have run")
}

/// Whether the fall of a cold server is a break, by the share of what it was sent that came from sidecars that had been
/// told of its start.
pub fn check_cold_overload(informed: f64) -> Option<&'static str> {
    (informed > 2.0 / 3.0).then_some("a cold server pushed over")
}

/// Broken rules by name.
#[derive(Default)]
pub struct Violations(pub BTreeMap<&'static str, u64>);

impl Violations {
    /// Counts one, if there is one.
    pub fn record(&mut self, rule: Option<&'static str>) {
        if let Some(rule) = rule {
            *self.0.entry(rule).or_default() += 1;
        }
    }
}

#[cfg(test)]
mod tests;
