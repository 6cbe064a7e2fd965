use super::*;

fn os_error(number: i32) -> io::Error {
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
    assert_eq!(IoFailure::of(&os_error(EAGAIN)), IoFailure::NotReady);
    assert_eq!(IoFailure::of(&os_error(EINTR)), IoFailure::Interrupted);
    for shortage in [ENOMEM, ENFILE, EMFILE, ENOBUFS] {
        assert_eq!(IoFailure::of(&os_error(shortage)), IoFailure::Shortage, "{shortage}");
    }
    for final_error in [EIO, ECONNRESET, ETIMEDOUT, EHOSTUNREACH] {
        assert_eq!(IoFailure::of(&os_error(final_error)), IoFailure::Final, "{final_error}");
    }
}

#[test]
fn disk_failures_are_transient_and_missing_files_are_final() {
    const ENOENT: i32 = 2;
    const EACCES: i32 = 13;
    for transient in [EIO, ENOSPC, EDQUOT, EMFILE] {
        assert!(IoFailure::of_file(&os_error(transient)).is_transient(), "{transient}");
    }
    for final_error in [ENOENT, EACCES] {
        assert!(!IoFailure::of_file(&os_error(final_error)).is_transient(), "{final_error}");
    }
}

#[test]
fn accept_failures_are_transient_and_address_shortage_is_local() {
    const ECONNABORTED: i32 = 103;
    const EPERM: i32 = 1;
    const ECONNREFUSED: i32 = 111;
    assert_eq!(IoFailure::of_accept(&os_error(ECONNABORTED)), IoFailure::Interrupted);
    assert!(IoFailure::of_accept(&os_error(EPERM)).is_transient());
    assert_eq!(IoFailure::of_connect(&os_error(EADDRNOTAVAIL)), IoFailure::Shortage);
    assert_eq!(IoFailure::of_connect(&os_error(ECONNREFUSED)), IoFailure::Final);
}
