use super::*;
use std::io;

// Operators search the log for these texts.
#[test]
fn keeps_texts_of_log_lines() {
    let refused = io::Error::from_raw_os_error(111);
    let invalid = serde_json::from_str::<u64>("x").expect_err("not a number");
    for (error, text) in [
        (PollError::Timeout, "no answer"),
        (PollError::connection(refused), "Connection refused (os error 111)"),
        (PollError::connection("connection lost"), "connection lost"),
        (PollError::Status(503), "status 503"),
        (invalid.into(), "unreadable list: expected value at line 1 column 1"),
        (PollError::ServicesUnsupported, "does not know services"),
        (PollError::OtherServices, "response is for other services than polled"),
    ] {
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn compares_kind_and_text() {
    assert_eq!(PollError::connection("lost"), PollError::connection("lost".to_owned()));
    assert_ne!(PollError::connection("lost"), PollError::connection("refused"));
    assert_ne!(PollError::connection("no answer"), PollError::Timeout);
}
