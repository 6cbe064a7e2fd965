use super::*;

#[test]
fn kills_only_registered_process_with_same_start_time() {
    let sleep = || Command::new("sleep").arg("600").spawn().expect("sleep starts");
    let (mut killed, mut other, mut unregistered) = (sleep(), sleep(), sleep());
    let ticks = start_ticks(killed.id()).expect("the process runs");
    // The second process is registered with a different start time, the third was unregistered.
    let lines = format!(
        "+{} {ticks}\n+{} {}\n+{} {ticks}\n-{}\n",
        killed.id(),
        other.id(),
        ticks + 12345,
        unregistered.id(),
        unregistered.id()
    );
    run(lines.as_bytes());
    assert!(!killed.wait().expect("the process ends").success());
    for spared in [&mut other, &mut unregistered] {
        assert_eq!(spared.try_wait().expect("the process can be polled"), None);
        spared.kill().expect("the process ends");
        spared.wait().expect("the process ends");
    }
}
