use super::*;

#[test]
fn parses_action_lines() {
    let send = parse_action("hand_off I=3 Ticket=7 Endpoint=10.0.0.1:12 TimeoutUs=80000");
    assert_eq!(
        send,
        Some(Action::Send { request: 7, endpoint: 12, timeout: 80_000, idempotency_window: None })
    );
    assert_eq!(parse_action("not_now I=3 Ticket=7"), Some(Action::Reject { request: 7, retry_after: 0 }));
    assert_eq!(parse_action("defer I=3 FromNowUs=5 Ctx=9"), Some(Action::SetTimer { after: 5, token: 9 }));
    assert_eq!(parse_action("say_log I=5 Text=two servers known"), None);
    assert_eq!(parse_action("hand_off I=3 Ticket=x"), None);
}
