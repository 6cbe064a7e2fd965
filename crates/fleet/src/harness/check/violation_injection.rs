//! Histories in which a rule is broken on purpose: what shows that the checker sees it.

use super::history::{
    Attempt, ClientRequest, ForwardedRequest, History, Idempotency, MalformedClient, Outcome,
};
use super::{DEADLINE_SLACK, LEFT_GRACE, Rule, TURNED_AWAY_WITHIN, out};

/// A history in which one rule is broken, made from one in which none is: what shows that the checker sees it. `None`
/// where the history has no request of the kind that it takes.
pub fn inject_violation(history: &History, rule: Rule, seed: u64) -> Option<History> {
    let mut spoilt = history.clone();
    let whole =
        |a: &&Attempt| out(history, a).is_some() && a.end.as_ref().is_some_and(|o| o.status == Some(200));
    // A request that was served by its only attempt, of a sidecar that was there all the time.
    let fits = |ask: &ClientRequest| {
        let own: Vec<&Attempt> = history.attempts.iter().filter(|a| a.request.id == ask.id).collect();
        let calm = !history.sidecar_outages.iter().any(|a| a.instance == ask.sidecar);
        let kind = match rule {
            Rule::NoUnsafeRetry | Rule::SafeRejection => ask.idempotency == Idempotency::NonIdempotent,
            _ => true,
        };
        let served = matches!(ask.outcome, Outcome::Answer { status: 200, .. });
        calm && kind && served && own.len() == 1 && own.iter().all(whole)
    };
    let all: Vec<usize> = (0..history.requests.len()).filter(|i| fits(&history.requests[*i])).collect();
    let at = *all.get(crate::chance::mix(seed) as usize % all.len().max(1))?;
    let ask = &mut spoilt.requests[at];
    let own = spoilt.attempts.iter().position(|a| a.request.id == ask.id)?;
    let send = spoilt.forwarded.iter().position(|s| s.request.id == ask.id)?;
    let mut again = spoilt.attempts[own].clone();
    again.server += 1;
    again.request.number += 1;
    let shift = |a: &mut Attempt, by: i64| {
        a.request.received_at = (a.request.received_at.0 + by, a.request.received_at.1 + by);
        a.end.iter_mut().for_each(|o| o.at += by);
    };
    let took = again.end.as_ref().map_or(0, |o| o.at - again.request.received_at.1);
    match rule {
        Rule::Answered => ask.outcome = Outcome::TimedOut,
        Rule::WithinDeadline => {
            if let Outcome::Answer { at, .. } = &mut ask.outcome {
                *at = ask.sent_at + ask.timeout + history.slack + 1;
            }
        }
        Rule::Genuine => {
            if let Outcome::Answer { body, .. } = &mut ask.outcome {
                body.push('x');
            }
        }
        Rule::RequestedByClient => spoilt.attempts[own].request.id = "f".repeat(16),
        Rule::OneAtATime => {
            // The first one's end is not seen until long after the second has begun.
            spoilt.attempts[own].end.iter_mut().for_each(|o| o.at += history.slack + took + 2);
            shift(&mut again, 1);
            spoilt.attempts.push(again);
        }
        Rule::NoUnsafeRetry => {
            shift(&mut again, took + 1);
            spoilt.attempts.push(again);
        }
        Rule::SafeRejection => {
            if let Outcome::Answer { status, .. } = &mut ask.outcome {
                *status = 503;
            }
        }
        Rule::RespectsDrain => {
            let ForwardedRequest { server, request, .. } = &spoilt.forwarded[send];
            let told = request.sent_at - history.drain_grace - history.slack - 1;
            spoilt.notified_available.retain(|t| !(t.0 == ask.sidecar && t.1 == *server));
            spoilt.notified_unavailable.push((ask.sidecar, *server, told));
        }
        Rule::NotAfterDisconnect => {
            ask.outcome = Outcome::Disconnected { at: ask.sent_at };
            spoilt.forwarded[send].request.sent_at = ask.sent_at + LEFT_GRACE + history.max_link_delay + 1;
        }
        Rule::DeadlineNotExtended => {
            let request = &mut spoilt.forwarded[send].request;
            request.time_left = Some(
                ask.sent_at + ask.timeout - request.sent_at + DEADLINE_SLACK + history.max_link_delay + 1,
            );
        }
        Rule::MalformedClientRejected => {
            let (sidecar, connected_at) = (ask.sidecar, ask.sent_at);
            let at = connected_at + TURNED_AWAY_WITHIN + history.slack + 1;
            spoilt.malformed_clients.push(MalformedClient {
                sidecar,
                connected_at,
                rejected_at: Some(at),
                served: false,
            });
        }
        Rule::RespectsSlowStart => {
            // All that a cold one bears and one more, given up before it was read: so no other rule is touched.
            let (at, server) = (spoilt.attempts[own].request.received_at.1, spoilt.attempts[own].server);
            let most = history.slow_start_limit?.max_requests(0)? as usize + 1;
            spoilt.server_starts = vec![(server, at)];
            spoilt.notified_available.push((ask.sidecar, server, at));
            spoilt.attempts[own].request.stale = true;
            let again = spoilt.attempts[own].clone();
            spoilt.attempts.extend((0..most).map(|n| {
                let mut again = again.clone();
                again.request.number += 1 + n as u64;
                again
            }));
        }
    }
    Some(spoilt)
}
