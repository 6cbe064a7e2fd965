use super::policy::MIN_SHARES;
use super::*;

/// Limits of a process with all shares: 96 connections on either side.
fn whole() -> ResourceLimits {
    ResourceLimits::new(128, 16).of_processes(2)
}

fn resources() -> LimitedResources {
    let limits = whole();
    LimitedResources {
        clients: ConnectionLimiter::new(limits.clients),
        upstream: Rc::new(Upstream::new(limits, 0, 0)),
        request_memory: Rc::new(MemoryBudget::new(limits.request_bytes, Held::RequestMemory)),
    }
}

#[test]
fn shares_are_half_beside_another_process_and_nearly_all_without() {
    let alone = Circumstances { stopping: false, other_is_serving: false, other_may_be_unseen: false };
    assert_eq!(target_shares(alone), SHARES - MIN_SHARES);
    assert_eq!(target_shares(Circumstances { other_is_serving: true, ..alone }), SHARES / 2);
    assert_eq!(target_shares(Circumstances { other_may_be_unseen: true, ..alone }), SHARES / 2);
    assert_eq!(target_shares(Circumstances { stopping: true, ..alone }), MIN_SHARES);
}

// Clients that carry requests may take a third of the descriptors, also where an upgrade is possible.
#[test]
fn process_alone_has_permits_for_a_third_of_the_descriptors() {
    for (descriptors, memory_mb) in [(256, 32), (256, 192), (1024, 32), (1024, 192)] {
        let half = ResourceLimits::new(descriptors / 2, memory_mb / 2);
        let alone = half.of_processes(2).part(SHARES - MIN_SHARES, SHARES);
        assert!(alone.clients >= descriptors / 3, "{descriptors}, {memory_mb}: {}", alone.clients);
    }
}

// What is in use is given to the other process only once it is free.
#[test]
fn shares_in_use_are_kept_until_they_are_free() {
    let resources = resources();
    let mut permits: Vec<_> = (0..72).map(|_| resources.clients.exceed()).collect();
    // 72 of 96 connections are 48 of 64 shares, and their requests may have as many connections to endpoints.
    assert_eq!(resources.limit_to(SHARES / 2, whole()), 48);
    assert_eq!(resources.upstream.connection_limit(), 72);
    permits.truncate(54);
    assert_eq!(resources.limit_to(SHARES / 2, whole()), 36);
    drop(permits);
    let memory =
        resources.request_memory.try_reserve(whole().request_bytes * 31 / SHARES).expect("it is free");
    assert!((31..=32).contains(&resources.limit_to(MIN_SHARES, whole())));
    drop(memory);
    assert_eq!(resources.limit_to(MIN_SHARES, whole()), MIN_SHARES);
    assert_eq!(resources.upstream.connection_limit(), 6);
}
