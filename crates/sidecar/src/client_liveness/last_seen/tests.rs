use super::*;

const MS: Duration = Duration::from_millis(1);

fn is_seen(last_seen: &LastSeen, at: Instant) -> bool {
    last_seen.is_within(Duration::ZERO, at)
}

#[test]
fn new_connection_is_seen_when_its_first_bytes_arrived() {
    let (last_seen, now) = (LastSeen::default(), Instant::now());
    assert!(!last_seen.is_within(Duration::from_secs(3600), now));
    last_seen.record_bytes_read(2048, || Some(350 * MS), now);
    assert!(!last_seen.is_within(300 * MS, now));
    assert!(last_seen.is_within(351 * MS, now));
}

// Once a read has made room in the window, the bytes that arrive may have waited in the client's kernel.
#[test]
fn bytes_behind_a_full_window_do_not_prove_client_connected() {
    let (last_seen, start) = (LastSeen::default(), Instant::now());
    last_seen.record_bytes_read(2048, || Some(350 * MS), start);
    last_seen.record_bytes_read(65_536, || Some(Duration::ZERO), start + MS);
    last_seen.record_socket_empty(start + 2 * MS);
    last_seen.record_bytes_read(2048, || Some(Duration::ZERO), start + 3 * MS);
    last_seen.record_socket_empty(start + 4 * MS);
    assert!(!last_seen.is_within(300 * MS, start + 4 * MS));
}

#[test]
fn emptied_socket_proves_client_connected_only_after_quiet_span() {
    let (last_seen, start) = (LastSeen::default(), Instant::now());
    last_seen.record_bytes_read(65_536, || None, start);
    last_seen.record_socket_empty(start);
    assert!(!last_seen.is_within(Duration::from_secs(1), start));
    last_seen.record_bytes_read(2048, || None, start + MS);
    last_seen.record_socket_empty(start + MIN_QUIET_SPAN);
    assert!(is_seen(&last_seen, start + MIN_QUIET_SPAN));
}

#[test]
fn many_bytes_within_quiet_span_do_not_prove_client_connected() {
    let (last_seen, start) = (LastSeen::default(), Instant::now());
    last_seen.record_response_sent(start);
    last_seen.record_bytes_read(1, || None, start);
    last_seen.record_socket_empty(start);
    assert!(is_seen(&last_seen, start));
    last_seen.record_bytes_read(MIN_WINDOW_LIMITED_BYTES, || None, start + MS);
    last_seen.record_socket_empty(start + MIN_QUIET_SPAN);
    assert!(!is_seen(&last_seen, start + MIN_QUIET_SPAN));
    // In the next span, without such data, the client counts as seen again.
    last_seen.record_socket_empty(start + 2 * MIN_QUIET_SPAN);
    assert!(is_seen(&last_seen, start + 2 * MIN_QUIET_SPAN));
}

#[test]
fn bytes_after_a_pause_prove_client_connected_when_they_arrived() {
    let (last_seen, start) = (LastSeen::default(), Instant::now());
    last_seen.record_response_sent(start);
    last_seen.record_socket_empty(start);
    let now = start + 1000 * MS;
    last_seen.record_bytes_read(2048, || Some(150 * MS), now);
    assert!(!last_seen.is_within(149 * MS, now));
    assert!(last_seen.is_within(150 * MS, now));
}
