use super::*;

// The old and the new process of an upgrade read each other's file.
#[test]
fn keeps_stored_format_of_earlier_versions() {
    let stored = br#"{"version":1,"cordoned":["s-1","s-2"],"drained":true}"#;
    let state = OperatorState::decode(stored).expect("it is readable");
    assert_eq!(state.cordoned, ["s-1", "s-2"].map(str::to_owned).into());
    assert!(state.drained);
    assert_eq!(serde_json::to_vec(&state).expect("it can be written"), stored);
}

#[test]
fn rejects_other_format_versions() {
    let newer = br#"{"version":2,"cordoned":[],"drained":false}"#;
    let error = OperatorState::decode(newer).expect_err("it is another format");
    assert_eq!(error.to_string(), "unsupported format version 2");
}
