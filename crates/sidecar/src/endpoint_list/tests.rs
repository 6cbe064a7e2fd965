use super::*;

#[test]
fn decodes_protocol_field_names() {
    let text = r#"{"index":7,"snapshot":true,"endpoints":[
        {"name":"s-1","address":"127.0.0.1:9","zone":"a","type":"m","group":3,"status":"leaving","weight":2.5,"since_ms":11},
        {"name":"s-2","status":"active"},
        {"name":"s-3","status":"left"}]}"#;
    let list: ListMessage = serde_json::from_str(text).expect("a list");
    assert_eq!((list.index, list.snapshot), (7, true));
    assert!(list.unreadable.is_none());
    let [first, second, third] = &list.endpoints[..] else { panic!("three entries") };
    assert_eq!((first.name.as_str(), first.status), ("s-1", ListedStatus::Draining));
    assert_eq!((first.zone.as_deref(), first.machine_type.as_deref()), (Some("a"), Some("m")));
    assert_eq!((first.cell, first.weight, first.started_ms), (3, 2.5, 11));
    assert_eq!((second.status, second.address), (ListedStatus::Active, None));
    assert_eq!((second.cell, second.weight, second.started_ms), (0, 1.0, 0));
    assert_eq!(third.status, ListedStatus::Removed);
}
