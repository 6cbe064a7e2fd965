//! Histories in which a rule is violated on purpose, to test that the checker detects it.

use super::history::{
    Attempt, ClientRequest, ForwardedRequest, History, Idempotency, MalformedClient, Outcome,
};
use super::{DEADLINE_SLACK_US, DISCONNECT_GRACE_US, REJECTED_WITHIN_US, Rule, in_flight_span};

/// Returns a copy of a history without violations in which the given rule is violated; `None` if the history has no
/// request that this can be done with.
pub fn inject_violation(history: &History, rule: Rule, seed: u64) -> Option<History> {
    let mut changed = history.clone();
    let complete = |a: &&Attempt| {
        in_flight_span(history, a).is_some() && a.end.as_ref().is_some_and(|end| end.status == Some(200))
    };
    // A request that was served by its only attempt, at a sidecar that had no outage.
    let suitable = |request: &ClientRequest| {
        let attempts: Vec<&Attempt> =
            history.attempts.iter().filter(|a| a.request.id == request.id).collect();
        let no_outage = !history.sidecar_outages.iter().any(|outage| outage.instance == request.sidecar);
        let kind = match rule {
            Rule::NoUnsafeRetry | Rule::SafeRejection => request.idempotency == Idempotency::NonIdempotent,
            _ => true,
        };
        let served = matches!(request.outcome, Outcome::Answer { status: 200, .. });
        no_outage && kind && served && attempts.len() == 1 && attempts.iter().all(complete)
    };
    let all: Vec<usize> = (0..history.requests.len()).filter(|i| suitable(&history.requests[*i])).collect();
    let at = *all.get(crate::chance::mix(seed) as usize % all.len().max(1))?;
    let request = &mut changed.requests[at];
    let attempt = changed.attempts.iter().position(|a| a.request.id == request.id)?;
    let forwarded = changed.forwarded.iter().position(|f| f.request.id == request.id)?;
    let mut second = changed.attempts[attempt].clone();
    second.server += 1;
    second.request.number += 1;
    let shift = |a: &mut Attempt, by: i64| {
        a.request.received_at = (a.request.received_at.0 + by, a.request.received_at.1 + by);
        a.end.iter_mut().for_each(|end| end.at += by);
    };
    let duration = second.end.as_ref().map_or(0, |end| end.at - second.request.received_at.1);
    match rule {
        Rule::Answered => request.outcome = Outcome::TimedOut,
        Rule::WithinDeadline => {
            if let Outcome::Answer { at, .. } = &mut request.outcome {
                *at = request.sent_at + request.timeout + history.slack + 1;
            }
        }
        Rule::Genuine => {
            if let Outcome::Answer { body, .. } = &mut request.outcome {
                body.push('x');
            }
        }
        Rule::RequestedByClient => changed.attempts[attempt].request.id = "f".repeat(16),
        Rule::OneAtATime => {
            // The end of the first attempt is recorded long after the second has begun.
            changed.attempts[attempt].end.iter_mut().for_each(|end| end.at += history.slack + duration + 2);
            shift(&mut second, 1);
            changed.attempts.push(second);
        }
        Rule::NoUnsafeRetry => {
            shift(&mut second, duration + 1);
            changed.attempts.push(second);
        }
        Rule::SafeRejection => {
            if let Outcome::Answer { status, .. } = &mut request.outcome {
                *status = 503;
            }
        }
        Rule::RespectsDrain => {
            let ForwardedRequest { server, request: sent, .. } = &changed.forwarded[forwarded];
            let notified = sent.sent_at - history.drain_grace - history.slack - 1;
            changed.notified_available.retain(|n| !(n.0 == request.sidecar && n.1 == *server));
            changed.notified_unavailable.push((request.sidecar, *server, notified));
        }
        Rule::NotAfterDisconnect => {
            request.outcome = Outcome::Disconnected { at: request.sent_at };
            changed.forwarded[forwarded].request.sent_at =
                request.sent_at + DISCONNECT_GRACE_US + history.max_link_delay + 1;
        }
        Rule::DeadlineNotExtended => {
            let sent = &mut changed.forwarded[forwarded].request;
            sent.time_left = Some(
                request.sent_at + request.timeout - sent.sent_at
                    + DEADLINE_SLACK_US
                    + history.max_link_delay
                    + 1,
            );
        }
        Rule::MalformedClientRejected => {
            let (sidecar, connected_at) = (request.sidecar, request.sent_at);
            let at = connected_at + REJECTED_WITHIN_US + history.slack + 1;
            changed.malformed_clients.push(MalformedClient {
                sidecar,
                connected_at,
                rejected_at: Some(at),
                served: false,
            });
        }
        Rule::RespectsSlowStart => {
            // One request more than the limit, each abandoned before it was read so that no other rule is violated.
            let (at, server) =
                (changed.attempts[attempt].request.received_at.1, changed.attempts[attempt].server);
            let count = history.slow_start_limit?.max_requests(0)? as usize + 1;
            changed.server_starts = vec![(server, at)];
            changed.notified_available.push((request.sidecar, server, at));
            changed.attempts[attempt].request.stale = true;
            let again = changed.attempts[attempt].clone();
            changed.attempts.extend((0..count).map(|n| {
                let mut again = again.clone();
                again.request.number += 1 + n as u64;
                again
            }));
        }
    }
    Some(changed)
}
