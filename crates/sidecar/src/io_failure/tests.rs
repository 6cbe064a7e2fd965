use super::*;

fn raw(number: i32) -> io::Error {
    io::Error::from_raw_os_error(number)
}

#[test]
fn distinguishes_transient_from_final_failures() {
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
fn disk_failures_are_transient_and_missing_files_are_final() {
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
fn accept_failures_are_transient_and_address_shortage_is_local() {
    const ECONNABORTED: i32 = 103;
    const EPERM: i32 = 1;
    const ECONNREFUSED: i32 = 111;
    assert_eq!(IoFailure::of_accept(&raw(ECONNABORTED)), IoFailure::Interrupted);
    assert!(IoFailure::of_accept(&raw(EPERM)).is_transient());
    assert_eq!(IoFailure::of_connect(&raw(EADDRNOTAVAIL)), IoFailure::Shortage);
    assert_eq!(IoFailure::of_connect(&raw(ECONNREFUSED)), IoFailure::Final);
}
