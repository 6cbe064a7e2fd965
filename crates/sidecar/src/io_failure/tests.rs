use super::*;

fn raw(number: i32) -> io::Error {
    io::Error::from_raw_os_error(number)
}

#[test]
fn what_passes_is_told_from_what_is_final() {
    const EAGAIN: i32 = 11;
    const EINTR: i32 = 4;
    const ENOMEM: i32 = 12;
    const ECONNRESET: i32 = 104;
    const ETIMEDOUT: i32 = 110;
    const EHOSTUNREACH: i32 = 113;
    assert_eq!(IoFailure::of(&raw(EAGAIN)), IoFailure::NotReady);
    assert_eq!(IoFailure::of(&raw(EINTR)), IoFailure::Interrupted);
    for shortage in [ENOMEM, ENFILE, EMFILE, ENOBUFS] {
        assert_eq!(IoFailure::of(&raw(shortage)), IoFailure::Shortage, "{shortage}");
    }
    for end in [EIO, ECONNRESET, ETIMEDOUT, EHOSTUNREACH] {
        assert_eq!(IoFailure::of(&raw(end)), IoFailure::Final, "{end}");
    }
}

#[test]
fn a_disk_may_fail_for_a_while_and_a_file_that_is_not_there_is_not_there() {
    const ENOENT: i32 = 2;
    const EACCES: i32 = 13;
    for passing in [EIO, ENOSPC, EDQUOT, EMFILE] {
        assert!(IoFailure::of_file(&raw(passing)).is_transient(), "{passing}");
    }
    for lasting in [ENOENT, EACCES] {
        assert!(!IoFailure::of_file(&raw(lasting)).is_transient(), "{lasting}");
    }
}

#[test]
fn no_error_of_accept_ends_accepting_and_a_want_of_addresses_is_no_fault_of_the_peer() {
    const ECONNABORTED: i32 = 103;
    const EPERM: i32 = 1;
    const ECONNREFUSED: i32 = 111;
    assert_eq!(IoFailure::of_accept(&raw(ECONNABORTED)), IoFailure::Interrupted);
    assert!(IoFailure::of_accept(&raw(EPERM)).is_transient());
    assert_eq!(IoFailure::of_connect(&raw(EADDRNOTAVAIL)), IoFailure::Shortage);
    assert_eq!(IoFailure::of_connect(&raw(ECONNREFUSED)), IoFailure::Final);
}
