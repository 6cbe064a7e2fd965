//! A log that can't be written to costs its lines, and nothing else.

use super::served;
use crate::stubs::*;
use std::process::{Command, Stdio};

#[test]
fn log_on_full_disk_costs_no_answer() {
    let (discovery, endpoint) = (Discovery::start(), Endpoint::start(served));
    let mut sidecar = Sidecar::start_by(&discovery, &[("s-1", &endpoint)], |program| {
        let full = std::fs::File::options().write(true).open("/dev/full").expect("a device");
        let mut command = Command::new(program);
        command.stdin(Stdio::null()).stderr(full);
        command
    });
    // Each of these is a log line: a call to discovery that fails, two reloads, the stop.
    discovery.failing.store(true, std::sync::atomic::Ordering::SeqCst);
    sidecar.reload("{");
    sidecar.reload(&config(sidecar.address, discovery.address, &list(1, true, &[])));
    for turn in 0..20 {
        let answer = sidecar.exchange(&request("look", "", "")).map(|m| m.status());
        assert_eq!(answer, Some(200), "request {turn}");
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    sidecar.signal("-TERM");
    let status = sidecar.process.wait().expect("it ends");
    assert!(status.success(), "{status}");
}
