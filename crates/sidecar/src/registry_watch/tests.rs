use super::report::ReportLog;
use super::*;
use lotusmoor_registry_client::{PollError, Report, UnreadableEntry};

fn config(text: &str) -> RegistryConfig {
    serde_json::from_str(text).expect("a configuration")
}

// Operators search the log for these texts.
#[test]
fn keeps_texts_of_log_lines() {
    let log = ReportLog::new(vec!["127.0.0.1:7400".parse().expect("an address")]);
    let version = Version { epoch: 2, index: 9 };
    let entry = UnreadableEntry { name: None, error: "bad".to_owned() };
    for (report, line) in [
        (Report::PollFailed { replica: 0, error: PollError::Status(503) }, "127.0.0.1:7400: status 503"),
        (
            Report::OlderVersion { replica: 0, version },
            "127.0.0.1:7400: list 2/9 is older than what is known",
        ),
        (
            Report::DigestMismatch { replica: 0, version },
            "127.0.0.1:7400: list 2/9 is not what others have as 2/9",
        ),
        (Report::UnreadableEntry(entry), "entry left out: one without a name: bad"),
        (
            Report::Withheld { replica: 0, version, removed: 3, active_before: 4 },
            "127.0.0.1:7400: list 2/9 takes away 3 of 4 servers, and is held back",
        ),
        (Report::Confirmed(0), "127.0.0.1:7400: what was held back is confirmed"),
        (Report::Unconfirmed(0), "127.0.0.1:7400: has another list than what was held back"),
        (Report::NoServers("a".to_owned()), "service a has no servers"),
        (Report::Stale(15_900_000), "the list is 15 s old, and stays in use"),
        (Report::Fresh, "the list is up to date again"),
    ] {
        assert_eq!(log.line(&report), line);
    }
}

#[test]
fn reports_invalid_configuration() {
    let address = r#""addresses":["127.0.0.1:7400"]"#;
    let check = |text: String| config(&text).check().map_err(|error| error.to_string());
    assert_eq!(check(format!("{{{address},\"hold_back\":1,\"services\":[\"a.b_c:d-1\"]}}")), Ok(()));
    for (text, error) in [
        (r#"{"addresses":[]}"#.to_owned(), "roster: addresses: at least one is required"),
        (format!("{{{address},\"hold_back\":0}}"), "roster: hold_back must be above 0 and at most 1"),
        (format!("{{{address},\"stale_after_ms\":0}}"), "roster: stale_after_ms must be above 0"),
        (
            format!("{{{address},\"services\":[\"a/b\"]}}"),
            "roster: services: a name has 1 to 64 letters, digits or . _ : -",
        ),
    ] {
        assert_eq!(check(text), Err(error.to_owned()));
    }
    let names: Vec<String> = (0..257).map(|i| format!("s{i}")).collect();
    let services = serde_json::to_string(&names).expect("text");
    let too_many = format!("{{{address},\"services\":{services}}}");
    assert_eq!(check(too_many), Err("roster: services: at most 256 are allowed".to_owned()));
}

#[test]
fn derives_watcher_settings_from_configuration() {
    let text = r#"{"addresses":["127.0.0.1:1","127.0.0.1:2"],"hold_back":0.25,"stale_after_ms":700,"services":["b","a"]}"#;
    let settings = config(text).settings();
    assert_eq!((settings.replicas, settings.max_removed_share, settings.stale_after), (2, 0.25, 700_000));
    assert_eq!(settings.services, ["a", "b"]);
}
