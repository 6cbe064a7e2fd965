use super::*;

fn request(id: &str, told: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /api HTTP/1.1\r\nx-correlation-id: {id}\r\nx-time-left: {told}\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

fn sent(id: &str, sent_at: i64, time_left: i64) -> SentRequest {
    SentRequest { id: id.to_owned(), sent_at, time_left: Some(time_left) }
}

#[test]
fn requests_behind_each_other_are_found_at_their_first_bytes() {
    let mut reader = SentRequestParser::default();
    let (first, second) = (request("a", "480m", "body"), request("b", "7u", ""));
    assert_eq!(reader.read(first.as_bytes(), 5), [sent("a", 5, 480_000)]);
    assert_eq!(reader.read(second.as_bytes(), 9), [sent("b", 9, 7)]);
    let both = first + &second;
    assert_eq!(reader.read(both.as_bytes(), 11), [sent("a", 11, 480_000), sent("b", 11, 7)]);
}

#[test]
fn a_request_in_pieces_began_with_its_first_one_and_its_body_is_none_of_the_next() {
    let mut reader = SentRequestParser::default();
    let whole =
        request("a", "480m", "POST /api HTTP/1.1\r\nx-correlation-id: c\r\n\r\n") + &request("b", "1m", "");
    let found: Vec<SentRequest> =
        (0..).zip(whole.bytes()).flat_map(|(at, byte)| reader.read(&[byte], at)).collect();
    let second = i64::try_from(whole.len() - request("b", "1m", "").len()).expect("it is short");
    assert_eq!(found, [sent("a", 0, 480_000), sent("b", second, 1_000)]);
}

#[test]
fn what_has_no_id_or_is_no_request_is_none() {
    let mut reader = SentRequestParser::default();
    assert_eq!(reader.read(b"GET /alive HTTP/1.1\r\nhost: x\r\n\r\n", 1), []);
    assert_eq!(reader.read(b"\x16\x03\x01", 2), []);
    assert_eq!(reader.read(request("a", "1m", "").as_bytes(), 3), []);
}
