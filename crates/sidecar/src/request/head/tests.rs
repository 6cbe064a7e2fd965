use super::*;

// A parser that interprets such a head differently finds a further request in the body.
#[test]
fn rejects_ambiguous_body_framing() {
    let parse = |lines: &str| {
        let head = format!("POST /api HTTP/1.1\r\nHost: x\r\n{lines}\r\n");
        RequestHead::parse(head.as_bytes()).map(|head| head.map(|(head, _)| head.body))
    };
    assert_eq!(parse(""), Ok(Some(Framing::Sized(0))));
    assert_eq!(parse("Content-Length: 17\r\n"), Ok(Some(Framing::Sized(17))));
    let (bad, large) = (StatusCode::BAD_REQUEST, StatusCode::PAYLOAD_TOO_LARGE);
    for value in ["", "-1", "+1", "1 1", "1,1", "0x1", "1.0", "one"] {
        assert_eq!(parse(&format!("Content-Length: {value}\r\n")), Err(bad), "{value}");
    }
    for value in ["33554433", "3000000000", "99999999999999999999999999"] {
        assert_eq!(parse(&format!("Content-Length: {value}\r\n")), Err(large), "{value}");
    }
    assert_eq!(parse("Content-Length: 4\r\nContent-Length: 4\r\n"), Err(bad));
    let encoded = "Transfer-Encoding: chunked\r\n";
    assert_eq!(parse(encoded), Ok(Some(Framing::Chunked)));
    assert_eq!(parse("Transfer-Encoding: Chunked\r\n"), Ok(Some(Framing::Chunked)));
    for lines in [
        "Transfer-Encoding: x\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked, chunked\r\n",
        "Transfer-Encoding: \r\n",
        &format!("Content-Length: 4\r\n{encoded}"),
        &format!("{encoded}Content-Length: 4\r\n"),
        &format!("{encoded}{encoded}"),
    ] {
        assert_eq!(parse(lines), Err(bad), "{lines}");
    }
    let http_1_0 = format!("POST /api HTTP/1.0\r\nHost: x\r\n{encoded}\r\n");
    assert_eq!(RequestHead::parse(http_1_0.as_bytes()).err(), Some(bad));
    assert_eq!(parse("Content-Length : 4\r\n"), Err(bad));
}

#[test]
fn rejects_head_without_end_at_size_limit() {
    let head = format!("GET / HTTP/1.1\r\nA: {}", "a".repeat(MAX_HEAD_BYTES));
    assert!(RequestHead::parse(&head.as_bytes()[..MAX_HEAD_BYTES - 1]).is_ok_and(|head| head.is_none()));
    assert!(RequestHead::parse(&head.as_bytes()[..MAX_HEAD_BYTES]).is_err());
}
