//! Crashes of the simulated disk.

use super::*;
use rand::SeedableRng;

#[test]
fn crash_keeps_synced_data_and_may_lose_part_of_the_rest() {
    let mut retained = 0;
    for seed in 0..50 {
        let disk = Disk::default();
        let open = disk.open();
        open.write(0, b"synced").expect("it is written");
        open.sync_data().expect("it is synced");
        open.write(2, b"XXXX").expect("it is written");
        open.write(6, b"more").expect("it is written");
        disk.crash(&mut ChaCha8Rng::seed_from_u64(seed));
        assert!(open.write(0, b"late").is_err(), "the process has crashed");
        let bytes = disk.state().bytes.clone();
        assert_eq!(&bytes[..2], b"sy");
        assert!(bytes.len() >= 6 && (&bytes[2..6] == b"nced" || bytes[2] == b'X'), "{bytes:?}");
        retained += u32::from(bytes.len() == 10);
    }
    assert!(retained > 5 && retained < 45, "{retained}");
}
