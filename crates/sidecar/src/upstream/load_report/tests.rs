use super::*;

#[test]
fn parses_readable_parts_of_a_load_report() {
    let load = parse_load_report(&HeaderValue::from_static("inflight=7,queue=,util=0.61,eps=NaN,odd=1,="));
    assert_eq!(load, LoadReport { active: Some(7.0), cpu: Some(0.61), ..LoadReport::default() });
}
