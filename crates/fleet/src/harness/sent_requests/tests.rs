use super::*;

fn request(id: &str, time_left: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /api HTTP/1.1\r\nx-correlation-id: {id}\r\nx-time-left: {time_left}\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

fn sent(id: &str, sent_at: i64, time_left: i64) -> SentRequest {
    SentRequest { id: id.to_owned(), sent_at, time_left: Some(time_left) }
}

#[test]
fn pipelined_requests_are_timed_by_their_first_bytes() {
    let mut parser = SentRequestParser::default();
    let (first, second) = (request("a", "480m", "body"), request("b", "7u", ""));
    assert_eq!(parser.read(first.as_bytes(), 5), [sent("a", 5, 480_000)]);
    assert_eq!(parser.read(second.as_bytes(), 9), [sent("b", 9, 7)]);
    let both = first + &second;
    assert_eq!(parser.read(both.as_bytes(), 11), [sent("a", 11, 480_000), sent("b", 11, 7)]);
}

#[test]
fn split_request_is_timed_by_its_first_piece_and_its_body_is_not_parsed() {
    let mut parser = SentRequestParser::default();
    let text =
        request("a", "480m", "POST /api HTTP/1.1\r\nx-correlation-id: c\r\n\r\n") + &request("b", "1m", "");
    let found: Vec<SentRequest> =
        (0..).zip(text.bytes()).flat_map(|(at, byte)| parser.read(&[byte], at)).collect();
    let second = i64::try_from(text.len() - request("b", "1m", "").len()).expect("the length fits");
    assert_eq!(found, [sent("a", 0, 480_000), sent("b", second, 1_000)]);
}

#[test]
fn ignores_requests_without_id_and_everything_after_invalid_bytes() {
    let mut parser = SentRequestParser::default();
    assert_eq!(parser.read(b"GET /alive HTTP/1.1\r\nhost: x\r\n\r\n", 1), []);
    assert_eq!(parser.read(b"\x16\x03\x01", 2), []);
    assert_eq!(parser.read(request("a", "1m", "").as_bytes(), 3), []);
}
