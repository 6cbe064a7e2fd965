use super::*;

// An endpoint runs a request once its last byte has arrived: without that byte it has certainly not run.
#[test]
fn request_is_complete_only_with_its_last_byte() {
    let request = b"POST /api HTTP/1.1\r\nA: b\r\n\r\n{\r\n\r\n}";
    for cut in 1..request.len() {
        let progress = WriteProgress::new(Some(6));
        assert!(!progress.has_begun());
        progress.record_written(&request[..cut]);
        assert!(progress.has_begun() && !progress.is_complete(), "after {cut}");
        progress.record_written(&request[cut..]);
        assert!(progress.is_complete());
    }
    let progress = WriteProgress::new(Some(0));
    progress.record_written(b"GET / HTTP/1.1\r\n\r");
    assert!(!progress.is_complete());
    progress.record_written(b"\n");
    assert!(progress.is_complete());
}
