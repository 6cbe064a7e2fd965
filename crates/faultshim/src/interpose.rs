//! The functions that stand in for those of the C library, and the mapped table. All unsafe code of the fault tests
//! is here. It rests on three things:
//!
//! - the functions have the signatures of the C library's, and pass their arguments on to the kernel as they came;
//! - the table is mapped once, is never unmapped, and is touched through atomics alone;
//! - nothing here allocates, takes a lock or calls a function that stands here, so each may be called at any time.
#![allow(clippy::missing_safety_doc, unsafe_code, unused_unsafe)]

use libc::{c_char, c_int, c_long, c_uint, c_void, iovec, mode_t, off64_t, size_t, ssize_t};
use lotusmoor_faults::{
    BYTES, CALLS_AT, Call, MAGIC, MAGIC_AT, MOST_RULES, RuleWord, TABLE_VARIABLE, WALL_OFFSET_AT, errno,
    rule_word,
};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

/// A system call.
macro_rules! kernel {
    ($number:ident $(, $argument:expr)*) => {
        // SAFETY: the arguments are the caller's own, as the C library would pass them on, or point to what is
        // writable and of the type that the call fills.
        // Each is widened here: the kernel reads whole words, and a narrower variadic one has no upper half.
        unsafe { libc::syscall(libc::$number $(, ($argument) as c_long)*) }
    };
}

/// The words of the table.
type Words = [AtomicU64; BYTES / 8];

/// What a call is to do.
enum Verdict {
    Pass,
    Fail(c_int),
    Short,
}

fn table() -> Option<&'static Words> {
    static TABLE: OnceLock<Option<&'static Words>> = OnceLock::new();
    *TABLE.get_or_init(map_table)
}

/// Maps the file that the environment names; none where there is none or it is no table.
fn map_table() -> Option<&'static Words> {
    let mut name = [0u8; 64];
    name[..TABLE_VARIABLE.len()].copy_from_slice(TABLE_VARIABLE.as_bytes());
    // SAFETY: `name` ends with a zero byte; the mapping is checked, as large as `Words`, aligned to a page and kept
    // for good.
    unsafe {
        let path = libc::getenv(name.as_ptr().cast());
        if path.is_null() {
            return None;
        }
        let fd = kernel!(SYS_openat, libc::AT_FDCWD, path, libc::O_RDWR | libc::O_CLOEXEC, 0);
        if fd < 0 {
            return None;
        }
        let protection = libc::PROT_READ | libc::PROT_WRITE;
        let at = kernel!(SYS_mmap, 0, BYTES, protection, libc::MAP_SHARED, fd, 0);
        kernel!(SYS_close, fd);
        if at < 0 {
            return None;
        }
        let words = &*(at as *const Words);
        (words[MAGIC_AT].load(Ordering::Acquire) == MAGIC).then_some(words)
    }
}

/// Monotonic microseconds, from the kernel itself.
fn monotonic() -> u64 {
    let mut now = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    kernel!(SYS_clock_gettime, libc::CLOCK_MONOTONIC, &raw mut now);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1000
}

/// Counts a call and looks for a rule that meets it.
fn judge(call: Call) -> Verdict {
    let Some(words) = table() else { return Verdict::Pass };
    let number = words[CALLS_AT + call as usize].fetch_add(1, Ordering::Relaxed) + 1;
    for rule in 0..MOST_RULES {
        let word = |word| &words[rule_word(rule, word)];
        if word(RuleWord::Call).load(Ordering::Acquire) != 1 + call as u64 {
            continue;
        }
        let get = |of| word(of).load(Ordering::Relaxed);
        let from = get(RuleWord::From);
        if number < from || (number - from) % get(RuleWord::Every).max(1) != 0 {
            continue;
        }
        let (now, lasts) = (monotonic(), get(RuleWord::Lasts));
        let first = word(RuleWord::FirstHit);
        let first =
            first.compare_exchange(0, now, Ordering::Relaxed, Ordering::Relaxed).unwrap_or_else(|f| f);
        if lasts > 0 && first > 0 && now > first + lasts {
            continue;
        }
        if word(RuleWord::Hits).fetch_add(1, Ordering::Relaxed) >= get(RuleWord::Most) {
            word(RuleWord::Hits).fetch_sub(1, Ordering::Relaxed);
            continue;
        }
        return match get(RuleWord::Errno) {
            0 => Verdict::Short,
            errno => Verdict::Fail(errno as c_int),
        };
    }
    Verdict::Pass
}

fn fail(errno: c_int) -> c_int {
    // SAFETY: the address of this thread's error number is always writable.
    unsafe { *libc::__errno_location() = errno };
    -1
}

/// Whether a descriptor is a TCP socket over IP. The runtime's own pairs of Unix sockets are left alone.
fn is_tcp(fd: c_int) -> bool {
    let (mut domain, mut length) = (0 as c_int, size_of::<c_int>() as libc::socklen_t);
    // SAFETY: both arguments that the call fills are writable and of the type and size said. The error number that
    // the call may set is given back.
    unsafe {
        let errno = *libc::__errno_location();
        let level = libc::SOL_SOCKET;
        let done = kernel!(SYS_getsockopt, fd, level, libc::SO_DOMAIN, &raw mut domain, &raw mut length);
        *libc::__errno_location() = errno;
        done == 0 && (domain == libc::AF_INET || domain == libc::AF_INET6)
    }
}

fn is_file(fd: c_int) -> bool {
    // SAFETY: the call fills `stat`, which is writable and of its type; the error number is given back.
    unsafe {
        let errno = *libc::__errno_location();
        let mut stat: libc::stat = std::mem::zeroed();
        let done = kernel!(SYS_fstat, fd, &raw mut stat);
        *libc::__errno_location() = errno;
        done == 0 && stat.st_mode & libc::S_IFMT == libc::S_IFREG
    }
}

/// Judges a call that moves bytes; gives how many of them it may move.
fn moved(call: Call, length: size_t) -> Result<size_t, c_int> {
    match judge(call) {
        Verdict::Pass => Ok(length),
        Verdict::Short => Ok(length.min(1)),
        Verdict::Fail(errno) => Err(fail(errno)),
    }
}

/// The same on a connection, which ends with an error that says so.
fn moved_on(fd: c_int, call: Call, length: size_t) -> Result<size_t, c_int> {
    let moved = moved(call, length);
    if moved.is_err() {
        // SAFETY: the address of this thread's error number is always readable.
        end_by(fd, unsafe { *libc::__errno_location() });
    }
    moved
}

/// Ends a connection where that error means its end: a system does not report it of one that goes on.
fn end_by(fd: c_int, error: c_int) {
    if !errno::ENDS_CONNECTION.contains(&error) {
        return;
    }
    let nowhere = libc::sockaddr { sa_family: libc::AF_UNSPEC as libc::sa_family_t, sa_data: [0; 14] };
    kernel!(SYS_connect, fd, &raw const nowhere, size_of::<libc::sockaddr>());
    fail(error);
}

/// Judges a call that moves none.
fn allowed(call: Call) -> Result<(), c_int> {
    match judge(call) {
        Verdict::Fail(errno) => Err(fail(errno)),
        Verdict::Pass | Verdict::Short => Ok(()),
    }
}

macro_rules! or_fail {
    ($judged:expr) => {
        match $judged {
            Ok(value) => value,
            Err(failed) => return failed as _,
        }
    };
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut c_void,
    length: *mut c_void,
    flags: c_int,
) -> c_int {
    or_fail!(allowed(Call::Accept));
    kernel!(SYS_accept4, fd, address, length, flags) as c_int
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept(fd: c_int, address: *mut c_void, length: *mut c_void) -> c_int {
    or_fail!(allowed(Call::Accept));
    kernel!(SYS_accept4, fd, address, length, 0) as c_int
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if domain == libc::AF_INET || domain == libc::AF_INET6 {
        or_fail!(allowed(Call::Socket));
    }
    kernel!(SYS_socket, domain, kind, protocol) as c_int
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(fd: c_int, address: *const c_void, length: c_uint) -> c_int {
    if is_tcp(fd) {
        or_fail!(allowed(Call::Connect));
    }
    kernel!(SYS_connect, fd, address, length) as c_int
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(fd: c_int, to: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    let call = if flags & libc::MSG_PEEK == 0 { Call::Receive } else { Call::Peek };
    let length = if is_tcp(fd) { or_fail!(moved_on(fd, call, length)) } else { length };
    kernel!(SYS_recvfrom, fd, to, length, flags, 0, 0) as ssize_t
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(fd: c_int, from: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    let length = if is_tcp(fd) { or_fail!(moved_on(fd, Call::Send, length)) } else { length };
    kernel!(SYS_sendto, fd, from, length, flags, 0, 0) as ssize_t
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn writev(fd: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    if is_tcp(fd) && count > 0 {
        match judge(Call::Send) {
            Verdict::Pass => {}
            Verdict::Fail(errno) => {
                end_by(fd, errno);
                return fail(errno) as ssize_t;
            }
            Verdict::Short => {
                // SAFETY: there is at least one part, as the caller says.
                let first = unsafe { &*parts };
                return kernel!(SYS_write, fd, first.iov_base, first.iov_len.min(1)) as ssize_t;
            }
        }
    }
    kernel!(SYS_writev, fd, parts, count) as ssize_t
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(fd: c_int, events: *mut c_void, most: c_int, wait: c_int) -> c_int {
    or_fail!(allowed(Call::Poll));
    kernel!(SYS_epoll_pwait, fd, events, most, wait, 0, 8) as c_int
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    or_fail!(allowed(Call::Open));
    kernel!(SYS_openat, libc::AT_FDCWD, path, flags, mode) as c_int
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn read(fd: c_int, to: *mut c_void, length: size_t) -> ssize_t {
    let length = if is_file(fd) { or_fail!(moved(Call::Read, length)) } else { length };
    kernel!(SYS_read, fd, to, length) as ssize_t
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn pread64(fd: c_int, to: *mut c_void, length: size_t, at: off64_t) -> ssize_t {
    let length = or_fail!(moved(Call::Read, length));
    kernel!(SYS_pread64, fd, to, length, at) as ssize_t
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn preadv2(
    fd: c_int,
    parts: *const iovec,
    count: c_int,
    at: off64_t,
    flags: c_int,
) -> ssize_t {
    // One that is to be short is as good as one that is interrupted, and is made again.
    let length = or_fail!(moved(Call::Read, size_t::MAX));
    if length != size_t::MAX {
        return fail(errno::EINTR) as ssize_t;
    }
    kernel!(SYS_preadv2, fd, parts, count, at, 0, flags) as ssize_t
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(fd: c_int, from: *const c_void, length: size_t) -> ssize_t {
    let length = if is_file(fd) && fd > 2 { or_fail!(moved(Call::Write, length)) } else { length };
    kernel!(SYS_write, fd, from, length) as ssize_t
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn pwrite64(fd: c_int, from: *const c_void, length: size_t, at: off64_t) -> ssize_t {
    let length = or_fail!(moved(Call::Write, length));
    kernel!(SYS_pwrite64, fd, from, length, at) as ssize_t
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    or_fail!(allowed(Call::Sync));
    kernel!(SYS_fsync, fd) as c_int
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn fdatasync(fd: c_int) -> c_int {
    or_fail!(allowed(Call::Sync));
    kernel!(SYS_fdatasync, fd) as c_int
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    or_fail!(allowed(Call::Rename));
    kernel!(SYS_renameat2, libc::AT_FDCWD, from, libc::AT_FDCWD, to, 0) as c_int
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: c_int, now: *mut libc::timespec) -> c_int {
    let done = kernel!(SYS_clock_gettime, clock, now) as c_int;
    if done == 0
        && clock == libc::CLOCK_REALTIME
        && let Some(words) = table()
    {
        let ahead = words[WALL_OFFSET_AT].load(Ordering::Relaxed).cast_signed();
        // SAFETY: the kernel has just filled it.
        let now = unsafe { &mut *now };
        let at = now.tv_sec * 1_000_000_000 + now.tv_nsec + 1000 * ahead;
        (now.tv_sec, now.tv_nsec) = (at.div_euclid(1_000_000_000), at.rem_euclid(1_000_000_000) as c_long);
    }
    done
}
