use super::*;

const SECOND: Micros = 1_000_000;
/// A stamp in lists: Unix time in milliseconds, independent of this process's clock.
const STAMP_MS: i64 = 1_796_000_000_000;

/// Applies a first list of endpoint ids and stamps; returns the estimated starts.
fn first_list(now: Micros, endpoints: &[(usize, i64)]) -> (StartTimes, Vec<Option<Micros>>) {
    let mut times = StartTimes::default();
    let starts = apply_list(&mut times, now, endpoints);
    (times, starts)
}

fn apply_list(times: &mut StartTimes, now: Micros, endpoints: &[(usize, i64)]) -> Vec<Option<Micros>> {
    times.observe(now, endpoints.iter().map(|(_, stamp)| *stamp));
    let starts = endpoints.iter().map(|(endpoint, stamp)| times.started(now, *endpoint, *stamp)).collect();
    times.list_applied(now);
    starts
}

#[test]
fn newest_endpoint_of_first_list_counts_as_just_started_under_wrong_clock() {
    for now in [5 * SECOND, STAMP_MS * 1000 - 3600 * SECOND, STAMP_MS * 1000 + 3600 * SECOND] {
        let (_, starts) = first_list(now, &[(0, STAMP_MS), (1, 0), (2, STAMP_MS - 60_000)]);
        assert_eq!(starts, [Some(now), None, Some(now - 60 * SECOND)]);
    }
}

#[test]
fn plausible_clock_gives_ages_minus_tolerance() {
    let now = STAMP_MS * 1000 + 40 * SECOND;
    let (_, starts) = first_list(now, &[(0, STAMP_MS), (1, STAMP_MS - 60_000)]);
    assert_eq!(starts, [Some(now - 30 * SECOND), Some(now - 90 * SECOND)]);
    // Too far ahead of the latest stamp to be trusted.
    let now = STAMP_MS * 1000 + 400 * SECOND;
    let (_, starts) = first_list(now, &[(0, STAMP_MS), (1, STAMP_MS - 60_000)]);
    assert_eq!(starts, [Some(now), Some(now - 60 * SECOND)]);
    // A clock behind the latest stamp is wrong.
    let now = STAMP_MS * 1000 - SECOND;
    let (_, starts) = first_list(now, &[(0, STAMP_MS), (1, STAMP_MS - 60_000)]);
    assert_eq!(starts, [Some(now), Some(now - 60 * SECOND)]);
}

// A clock that is ahead by seconds can't be told from a correct one.
#[test]
fn clock_stepped_forward_by_seconds_does_not_age_endpoints() {
    for ahead in [1, 5, 9] {
        let now = STAMP_MS * 1000 + ahead * SECOND;
        let (_, starts) = first_list(now, &[(0, STAMP_MS)]);
        assert_eq!(starts, [Some(now)], "ahead by {ahead} s");
    }
}

#[test]
fn estimated_start_does_not_change() {
    let (mut times, starts) = first_list(SECOND, &[(0, STAMP_MS)]);
    assert_eq!(apply_list(&mut times, 9 * SECOND, &[(0, STAMP_MS)]), starts);
    // A later stamp of another endpoint does not change the estimate.
    assert_eq!(apply_list(&mut times, 10 * SECOND, &[(0, STAMP_MS), (1, STAMP_MS + 500_000)])[0], starts[0]);
}

#[test]
fn changed_stamp_means_start_after_last_list() {
    let (mut times, _) = first_list(SECOND, &[(0, STAMP_MS), (1, STAMP_MS)]);
    // The clock of its machine was stepped back by an hour.
    let starts = apply_list(&mut times, 3 * SECOND, &[(0, STAMP_MS - 3_600_000)]);
    assert_eq!(starts, [Some(SECOND)]);
    // Stepped forward by an hour: a start can't lie in the future.
    let starts = apply_list(&mut times, 5 * SECOND, &[(1, STAMP_MS + 3_600_000)]);
    assert_eq!(starts, [Some(5 * SECOND)]);
}

#[test]
fn list_clock_advances_with_process_clock() {
    let (mut times, _) = first_list(SECOND, &[(0, STAMP_MS)]);
    // 30 s later, a list names an endpoint that started 10 s after the first; there was no list in between.
    times.observe(31 * SECOND, [STAMP_MS + 10_000].into_iter());
    assert_eq!(times.started(31 * SECOND, 1, STAMP_MS + 10_000), Some(11 * SECOND));
}

#[test]
fn forgotten_endpoint_is_estimated_anew() {
    let (mut times, _) = first_list(SECOND, &[(0, STAMP_MS)]);
    times.forget(0);
    assert_eq!(apply_list(&mut times, 4 * SECOND, &[(0, STAMP_MS)]), [Some(SECOND)]);
}
