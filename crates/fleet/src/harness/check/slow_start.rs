//! Cold servers: what each bears, and whether all sidecars together have sent it more.

use super::history::History;
use super::{Rule, Violation};
use std::collections::HashMap;

/// What came to a server from one of its starts to the next, in order: when, and whether its sidecar had been told of
/// the start by then.
fn since_start(history: &History, server: usize, start: i64) -> Vec<(i64, bool, &str)> {
    let next = history.server_starts.iter().filter(|s| s.0 == server && s.1 > start).map(|s| s.1).min();
    let sidecars: HashMap<&str, usize> =
        history.requests.iter().map(|a| (a.id.as_str(), a.sidecar)).collect();
    let mut told: HashMap<usize, i64> = HashMap::new();
    for (sidecar, _, at) in history.notified_available.iter().filter(|t| t.1 == server && t.2 >= start) {
        told.entry(*sidecar).and_modify(|first| *first = (*at).min(*first)).or_insert(*at);
    }
    let own = history.attempts.iter().filter(|a| a.server == server);
    let mut came: Vec<_> = own
        .filter(|a| {
            a.request.received_at.1 >= start && next.is_none_or(|next| a.request.received_at.1 < next)
        })
        .map(|a| {
            let (at, id) = (a.request.received_at.1, a.request.id.as_str());
            let knew = sidecars.get(id).and_then(|s| told.get(s)).is_some_and(|told| *told <= at);
            (at, knew, id)
        })
        .collect();
    came.sort_by_key(|c| c.0);
    came
}

/// The first fall of a server after each of its starts of which over two thirds came from those who had been told. By
/// the operators' page there is no more slack in it than its own.
pub(super) fn slow_start_overloads(history: &History) -> Vec<Violation> {
    let Some(rule) = &history.slow_start_limit else { return Vec::new() };
    let fall = |(server, start): &(usize, i64)| {
        let came = since_start(history, *server, *start);
        let mut first = 0;
        came.iter().enumerate().find_map(|(last, (at, _, id))| {
            while came[first].0 <= at - rule.window {
                first += 1;
            }
            let window = &came[first..=last];
            let (n, most) = (window.len(), rule.max_requests(at - start)?);
            let knew = window.iter().filter(|c| c.1).count();
            (n as f64 > most && 3 * knew > 2 * n).then(|| Violation {
                rule: Rule::RespectsSlowStart,
                id: (*id).to_owned(),
                what: format!(
                    "the {n}th within {} us at server {server}, {} us after its start, where it bears {most:.1}; \
                     {knew} came from sidecars that had been told",
                    rule.window,
                    at - start
                ),
            })
        })
    };
    history.server_starts.iter().filter_map(fall).collect()
}

/// For each start of a server: its number, the most requests that came within one window while it was cold, and all
/// that came in that time.
pub fn slow_start_peaks(history: &History) -> Vec<(usize, usize, usize)> {
    let Some(rule) = &history.slow_start_limit else { return Vec::new() };
    let peak = |(server, start): &(usize, i64)| {
        let mut came = since_start(history, *server, *start);
        came.retain(|c| rule.max_requests(c.0 - start).is_some());
        let within = |to: i64| came.iter().filter(|c| c.0 <= to && c.0 > to - rule.window).count();
        (*server, came.iter().map(|c| within(c.0)).max().unwrap_or(0), came.len())
    };
    history.server_starts.iter().map(peak).collect()
}

/// How near cold servers came to their falls: the most that one was sent within a window, as a part of what it bears at
/// that age; none where no server was cold.
pub fn peak_slow_start_load(history: &History) -> Option<f64> {
    let rule = history.slow_start_limit.as_ref()?;
    let load = |(server, start): &(usize, i64)| {
        let came = since_start(history, *server, *start);
        let within = |to: i64| came.iter().filter(|c| c.0 <= to && c.0 > to - rule.window).count();
        let loads = came.iter().filter_map(|c| Some(within(c.0) as f64 / rule.max_requests(c.0 - start)?));
        loads.max_by(f64::total_cmp)
    };
    history.server_starts.iter().filter_map(load).max_by(f64::total_cmp)
}
