use super::*;

#[test]
fn parses_only_known_calls_with_their_arguments() {
    assert_eq!(Call::parse(b"health"), Ok(Call::Health));
    assert_eq!(Call::parse(b" resume "), Ok(Call::Resume));
    assert_eq!(Call::parse(b"cordon s-1"), Ok(Call::Cordon("s-1".to_owned())));
    assert_eq!(Call::parse(b"uncordon s-1"), Ok(Call::Uncordon("s-1".to_owned())));
    for bad in [
        &b""[..],
        b" ",
        b"healthy",
        b"HEALTH",
        b"health now",
        b"quiesce s-1",
        b"\xff",
        b"health\0",
        b"cordon",
        b"uncordon ",
        b"cordon a b",
    ] {
        assert!(Call::parse(bad).is_err(), "{bad:?}");
    }
}
