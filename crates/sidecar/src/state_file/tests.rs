use super::*;

// The process before an upgrade and the one after it read each other's file.
#[test]
fn stored_form_is_that_of_earlier_versions() {
    let stored = br#"{"version":1,"cordoned":["s-1","s-2"],"drained":true}"#;
    let state = OperatorState::decode(stored).expect("it is readable");
    assert_eq!(state.cordoned, ["s-1", "s-2"].map(str::to_owned).into());
    assert!(state.drained);
    assert_eq!(serde_json::to_vec(&state).expect("it can be written"), stored);
}

#[test]
fn rejects_other_versions_of_the_format() {
    let newer = br#"{"version":2,"cordoned":[],"drained":false}"#;
    let error = OperatorState::decode(newer).expect_err("it is another format");
    assert_eq!(error.to_string(), "version 2");
}
