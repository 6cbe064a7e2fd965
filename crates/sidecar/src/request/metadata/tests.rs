use super::*;

#[test]
fn parses_time_with_unit() {
    let cases = [("480m", 480_000), ("480000u", 480_000), ("0.5m", 500), ("0m", 0), ("1e9m", -1)];
    for (text, us) in cases {
        assert_eq!(parse_time(text).unwrap_or(-1), us, "{text}");
    }
    assert_eq!(parse_time(&("9".repeat(400) + "m")), Some(Micros::MAX));
    for bad in ["", "m", "480", "480s", "-1m", "+1m", " 1m", "1 m", "infm", "NaNu", "1.2.3m", "."] {
        assert_eq!(parse_time(bad), None, "{bad}");
    }
}

#[test]
fn limits_time_left_to_deadline_of_class() {
    let classes = vec![TrafficClass {
        name: "look".to_owned(),
        idempotency: Idempotency::Idempotent,
        deadline: 4_000_000,
    }];
    let traffic_classes = TrafficClasses { classes, tenants: Vec::new() };
    let time_left = |left: &str| {
        let lines = format!("X-Correlation-Id: a\r\nX-Service-Class: look\r\nX-Time-Left: {left}\r\n");
        let head = RequestHead::parse(format!("GET /api HTTP/1.1\r\n{lines}\r\n").as_bytes());
        let (head, _) = head.expect("the head is valid").expect("the head is complete");
        RequestMetadata::parse(&traffic_classes, &head).map(|metadata| metadata.time_left)
    };
    assert_eq!(
        (time_left("3600000m"), time_left("300m"), time_left("soon")),
        (Some(4_000_000), Some(300_000), None)
    );
}
