use super::*;

const SECOND: i64 = 1_000_000;

/// What stands between discovery and the only sidecar; times are seconds.
fn obstacles(pushed: bool, all: &[(Obstacle, i64, i64)]) -> Obstacles {
    let of = |(why, from, to): &(Obstacle, i64, i64)| Obstructed {
        sidecar: 0,
        why: *why,
        span: (from * SECOND, to * SECOND),
    };
    Obstacles { pushed, all: all.iter().map(of).collect() }
}

fn told(obstacles: &Obstacles, at: i64) -> i64 {
    obstacles.told_at_the_latest(0, at * SECOND) / SECOND
}

#[test]
fn what_is_asked_for_counts_as_told_after_6_s_and_what_is_pushed_at_once() {
    assert_eq!(told(&obstacles(false, &[]), 10), 16);
    assert_eq!(told(&obstacles(true, &[]), 10), 10);
}

#[test]
fn a_process_that_was_away_is_told_from_its_first_moment_on() {
    let away = [(Obstacle::Away, 9, 12)];
    assert_eq!(told(&obstacles(true, &away), 10), 12);
    assert_eq!(told(&obstacles(false, &away), 10), 18);
    assert_eq!(told(&obstacles(true, &away), 13), 13);
    assert_eq!(told(&obstacles(true, &away), 8), 8);
}

#[test]
fn after_a_silence_watches_have_their_time_to_be_opened_anew() {
    let silence = [(Obstacle::Silence, 9, 20)];
    assert_eq!(told(&obstacles(true, &silence), 10), 26);
    assert_eq!(told(&obstacles(false, &silence), 10), 26);
    // One obstacle leads into the next.
    let then_away = [(Obstacle::Silence, 9, 20), (Obstacle::Away, 25, 30)];
    assert_eq!(told(&obstacles(false, &then_away), 10), 36);
}

#[test]
fn after_a_reload_all_counts_as_told_within_4_s() {
    let reload = [(Obstacle::Reload, 11, 11)];
    assert_eq!(told(&obstacles(false, &reload), 10), 15);
    assert_eq!(told(&obstacles(false, &[(Obstacle::Reload, 13, 13)]), 10), 16);
    // What was pushed before it was told; what comes as it asks anew has that time.
    assert_eq!(told(&obstacles(true, &reload), 10), 10);
    assert_eq!(told(&obstacles(true, &reload), 11), 15);
    // A silence that it meets holds it up.
    assert_eq!(told(&obstacles(false, &[(Obstacle::Reload, 11, 11), (Obstacle::Silence, 12, 20)]), 10), 26);
}

#[test]
fn what_befell_another_sidecar_says_nothing() {
    let mut others = obstacles(true, &[(Obstacle::Silence, 9, 20)]);
    others.all[0].sidecar = 1;
    assert_eq!(told(&others, 10), 10);
}
