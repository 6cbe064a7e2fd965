//! Histories in which a rule is broken on purpose: what shows that the checker sees it.

use super::history::{Ask, Attempt, Came, History, Kind, Send, Stranger};
use super::{DEADLINE_SLACK, LEFT_GRACE, Rule, TURNED_AWAY_WITHIN, out};

/// A history in which one rule is broken, made from one in which none is: what shows that the checker sees it. `None`
/// where the history has no request of the kind that it takes.
pub fn spoil(history: &History, rule: Rule, seed: u64) -> Option<History> {
    let mut spoilt = history.clone();
    let whole =
        |a: &&Attempt| out(history, a).is_some() && a.over.as_ref().is_some_and(|o| o.status == Some(200));
    // A request that was served by its only attempt, of a sidecar that was there all the time.
    let fits = |ask: &Ask| {
        let own: Vec<&Attempt> = history.attempts.iter().filter(|a| a.seen.id == ask.id).collect();
        let calm = !history.sidecars_away.iter().any(|a| a.number == ask.sidecar);
        let kind = match rule {
            Rule::NoRepeat | Rule::Harmless => ask.kind == Kind::Unsafe,
            _ => true,
        };
        let served = matches!(ask.came, Came::Answer { status: 200, .. });
        calm && kind && served && own.len() == 1 && own.iter().all(whole)
    };
    let all: Vec<usize> = (0..history.asks.len()).filter(|i| fits(&history.asks[*i])).collect();
    let at = *all.get(crate::chance::mix(seed) as usize % all.len().max(1))?;
    let ask = &mut spoilt.asks[at];
    let own = spoilt.attempts.iter().position(|a| a.seen.id == ask.id)?;
    let send = spoilt.sends.iter().position(|s| s.sent.id == ask.id)?;
    let mut again = spoilt.attempts[own].clone();
    again.server += 1;
    again.seen.number += 1;
    let shift = |a: &mut Attempt, by: i64| {
        a.seen.came = (a.seen.came.0 + by, a.seen.came.1 + by);
        a.over.iter_mut().for_each(|o| o.at += by);
    };
    let took = again.over.as_ref().map_or(0, |o| o.at - again.seen.came.1);
    match rule {
        Rule::Answered => ask.came = Came::Nothing,
        Rule::InTime => {
            if let Came::Answer { at, .. } = &mut ask.came {
                *at = ask.sent + ask.wait + history.slack + 1;
            }
        }
        Rule::Genuine => {
            if let Came::Answer { body, .. } = &mut ask.came {
                body.push('x');
            }
        }
        Rule::Asked => spoilt.attempts[own].seen.id = "f".repeat(16),
        Rule::OneAtATime => {
            // The first one's end is not seen until long after the second has begun.
            spoilt.attempts[own].over.iter_mut().for_each(|o| o.at += history.slack + took + 2);
            shift(&mut again, 1);
            spoilt.attempts.push(again);
        }
        Rule::NoRepeat => {
            shift(&mut again, took + 1);
            spoilt.attempts.push(again);
        }
        Rule::Harmless => {
            if let Came::Answer { status, .. } = &mut ask.came {
                *status = 503;
            }
        }
        Rule::Drained => {
            let Send { server, sent, .. } = &spoilt.sends[send];
            let told = sent.at - history.grace - history.slack - 1;
            spoilt.told_back.retain(|t| !(t.0 == ask.sidecar && t.1 == *server));
            spoilt.told_gone.push((ask.sidecar, *server, told));
        }
        Rule::Left => {
            ask.came = Came::Left { at: ask.sent };
            spoilt.sends[send].sent.at = ask.sent + LEFT_GRACE + history.links + 1;
        }
        Rule::Deadline => {
            let sent = &mut spoilt.sends[send].sent;
            sent.told = Some(ask.sent + ask.wait - sent.at + DEADLINE_SLACK + history.links + 1);
        }
        Rule::TurnedAway => {
            let (sidecar, came) = (ask.sidecar, ask.sent);
            let at = came + TURNED_AWAY_WITHIN + history.slack + 1;
            spoilt.strangers.push(Stranger { sidecar, came, turned_away: Some(at), served: false });
        }
        Rule::Cold => {
            // All that a cold one bears and one more, given up before it was read: so no other rule is touched.
            let (at, server) = (spoilt.attempts[own].seen.came.1, spoilt.attempts[own].server);
            let most = history.cold?.most(0)? as usize + 1;
            spoilt.starts = vec![(server, at)];
            spoilt.told_back.push((ask.sidecar, server, at));
            spoilt.attempts[own].seen.stale = true;
            let again = spoilt.attempts[own].clone();
            spoilt.attempts.extend((0..most).map(|n| {
                let mut again = again.clone();
                again.seen.number += 1 + n as u64;
                again
            }));
        }
    }
    Some(spoilt)
}
