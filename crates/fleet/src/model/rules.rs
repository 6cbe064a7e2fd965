//! The rules that every decider must keep, checked on each action. What breaks one is counted by its name; a model
//! in which a rule could be broken unseen would prove nothing.

use crate::Micros;
use linenproxy::{DedupScope, Effect};
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
    pub effect: Effect,
    /// Earlier attempts of the try.
    pub earlier: &'a [Sent],
    /// The attempt.
    pub to: Sent,
    /// Whether the request has its final answer already.
    pub over: bool,
    /// Whether the sidecar's lists ever had that server.
    pub listed: bool,
    /// When the sidecar was told that it drains or is gone.
    pub told_gone: Option<Micros>,
    /// How long sends may go on after that.
    pub grace: Micros,
    /// Attempts that are allowed.
    pub most: u32,
    /// Whether two may be out at once.
    pub copies: bool,
}

/// The rule that a send breaks.
pub fn of_send(c: &SendCheck) -> Option<&'static str> {
    let now = c.to.at;
    let ran = || c.earlier.iter().filter(|a| a.open || a.may_have_run);
    let repeat = match c.effect {
        Effect::Safe => false,
        Effect::Unsafe => ran().next().is_some(),
        Effect::Keyed { scope, ttl } => ran().any(|a| {
            let alike = match scope {
                DedupScope::All => true,
                DedupScope::Zone => a.zone == c.to.zone,
                DedupScope::Cell => a.cell == c.to.cell,
            };
            !alike || now - a.at >= ttl
        }),
    };
    [
        (c.over, "a send for a request that is over"),
        (!c.listed, "a send to a server that was never listed"),
        (c.told_gone.is_some_and(|at| now > at + c.grace), "a send to a server that drains or is gone"),
        (c.earlier.len() as u32 >= c.most, "more attempts than allowed"),
        (!c.copies && c.earlier.iter().any(|a| a.open), "a second attempt while one is out"),
        (repeat, "a repeat of what may have run"),
    ]
    .into_iter()
    .find(|(broken, _)| *broken)
    .map(|(_, rule)| rule)
}

/// Whether a refusal, which says that a repeat is harmless, is true.
pub fn of_refusal(now: Micros, effect: Effect, earlier: &[Sent]) -> Option<&'static str> {
    let first = earlier.iter().filter(|a| a.open || a.may_have_run).map(|a| a.at).min();
    let harmless = match (first, effect) {
        (None, _) | (_, Effect::Safe) => true,
        (Some(at), Effect::Keyed { scope: DedupScope::All, ttl }) => now - at < ttl,
        _ => false,
    };
    (!harmless).then_some("a refusal of what may have run")
}

/// Broken rules by name.
#[derive(Default)]
pub struct Broken(pub BTreeMap<&'static str, u64>);

impl Broken {
    /// Counts one, if there is one.
    pub fn note(&mut self, rule: Option<&'static str>) {
        if let Some(rule) = rule {
            *self.0.entry(rule).or_default() += 1;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const KEYED: Effect = Effect::Keyed { scope: DedupScope::Zone, ttl: 1000 };

    fn sent(at: Micros, zone: usize, open: bool, may_have_run: bool) -> Sent {
        Sent { zone, cell: 0, at, open, may_have_run }
    }

    fn check(effect: Effect, earlier: &[Sent], change: impl Fn(&mut SendCheck)) -> Option<&'static str> {
        let to = sent(500, 1, true, true);
        let mut check = SendCheck {
            effect,
            earlier,
            to,
            over: false,
            listed: true,
            told_gone: None,
            grace: 100,
            most: 3,
            copies: false,
        };
        change(&mut check);
        of_send(&check)
    }

    #[test]
    fn each_rule_on_sends_is_seen_broken_and_kept() {
        let (out, ran, never) = (sent(0, 1, true, true), sent(0, 1, false, true), sent(0, 1, false, false));
        assert_eq!(check(Effect::Safe, &[ran], |_| {}), None);
        assert_eq!(check(Effect::Unsafe, &[never], |_| {}), None);
        assert_eq!(check(KEYED, &[ran], |_| {}), None);
        assert_eq!(check(Effect::Unsafe, &[ran], |_| {}), Some("a repeat of what may have run"));
        assert_eq!(check(KEYED, &[sent(0, 2, false, true)], |_| {}), Some("a repeat of what may have run"));
        assert_eq!(
            check(KEYED, &[sent(-600, 1, false, true)], |_| {}),
            Some("a repeat of what may have run")
        );
        assert_eq!(check(Effect::Safe, &[out], |_| {}), Some("a second attempt while one is out"));
        assert_eq!(check(Effect::Safe, &[ran; 3], |_| {}), Some("more attempts than allowed"));
        assert_eq!(
            check(Effect::Safe, &[], |c| c.listed = false),
            Some("a send to a server that was never listed")
        );
        assert_eq!(check(Effect::Safe, &[], |c| c.over = true), Some("a send for a request that is over"));
        assert_eq!(check(Effect::Safe, &[], |c| c.told_gone = Some(400)), None);
        let late = check(Effect::Safe, &[], |c| c.told_gone = Some(399));
        assert_eq!(late, Some("a send to a server that drains or is gone"));
    }

    #[test]
    fn a_refusal_must_be_harmless() {
        let all = Effect::Keyed { scope: DedupScope::All, ttl: 1000 };
        let (ran, never) = (sent(0, 1, false, true), sent(0, 1, false, false));
        assert_eq!(of_refusal(999, all, &[ran]), None);
        assert!(of_refusal(1000, all, &[ran]).is_some());
        assert!(of_refusal(1, KEYED, &[ran]).is_some());
        assert!(of_refusal(1, Effect::Unsafe, &[ran]).is_some());
        assert_eq!(of_refusal(1, Effect::Unsafe, &[never]), None);
    }
}
