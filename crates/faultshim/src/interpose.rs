//! The functions that interpose those of the C library, and the mapped table. All unsafe code of the fault tests is in
//! this module. It relies on three properties:
//!
//! - the functions have the signatures of those of the C library, and pass their arguments to the kernel unchanged;
//! - the table is mapped once, is never unmapped, and is accessed through atomics only;
//! - nothing here allocates, takes a lock or calls an interposed function, so each function may be called at any time.
#![allow(clippy::missing_safety_doc, unsafe_code, unused_unsafe)]

use libc::{c_char, c_int, c_long, c_uint, c_void, iovec, mode_t, off64_t, size_t, ssize_t};
use lotusmoor_faults::{
    BYTES, CALLS_AT, Call, MAGIC, MAGIC_AT, MAX_RULES, RuleWord, SEND_BUFFER_VARIABLE, TABLE_VARIABLE,
    WALL_OFFSET_AT, errno, rule_word,
};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

/// Length of the buffer for the name of an environment variable, with the zero byte at its end.
const NAME_BYTES: usize = 64;

/// Makes a system call directly, without the C library's function.
macro_rules! kernel {
    ($number:ident $(, $argument:expr)*) => {
        // SAFETY: the arguments are the caller's own, as the C library would pass them to the kernel, or point to
        // writable memory of the type that the call fills.
        // Each is widened here: the kernel reads whole words, and the upper half of a narrower variadic argument is
        // undefined.
        unsafe { libc::syscall(libc::$number $(, ($argument) as c_long)*) }
    };
}

/// The words of the table.
type Words = [AtomicU64; BYTES / 8];

/// The outcome decided for an intercepted call.
enum Verdict {
    Pass,
    Fail(c_int),
    Short,
}

fn table() -> Option<&'static Words> {
    static TABLE: OnceLock<Option<&'static Words>> = OnceLock::new();
    *TABLE.get_or_init(map_table)
}

/// Maps the file that the environment names; `None` if it names none, or the file is not a fault table.
fn map_table() -> Option<&'static Words> {
    let name = zero_terminated(TABLE_VARIABLE);
    // SAFETY: `name` ends with a zero byte; the mapping is checked, as large as `Words`, aligned to a page and never
    // unmapped.
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
        let address = kernel!(SYS_mmap, 0, BYTES, protection, libc::MAP_SHARED, fd, 0);
        kernel!(SYS_close, fd);
        if address < 0 {
            return None;
        }
        let words = &*(address as *const Words);
        (words[MAGIC_AT].load(Ordering::Acquire) == MAGIC).then_some(words)
    }
}

/// The name of an environment variable as the C library expects it.
fn zero_terminated(variable: &str) -> [u8; NAME_BYTES] {
    let mut name = [0; NAME_BYTES];
    name[..variable.len()].copy_from_slice(variable.as_bytes());
    name
}

/// The size of send buffers that the environment gives, in bytes.
fn send_buffer_bytes() -> Option<c_int> {
    static BYTES: OnceLock<Option<c_int>> = OnceLock::new();
    *BYTES.get_or_init(|| {
        let name = zero_terminated(SEND_BUFFER_VARIABLE);
        // SAFETY: `name` ends with a zero byte, and so does the value of a variable.
        let bytes = unsafe {
            let value = libc::getenv(name.as_ptr().cast());
            if value.is_null() { 0 } else { libc::atoi(value) }
        };
        (bytes > 0).then_some(bytes)
    })
}

/// Limits the send buffer of a socket, if the environment says so.
fn limit_send_buffer(fd: c_int) {
    let Some(bytes) = send_buffer_bytes() else { return };
    let (level, option) = (libc::SOL_SOCKET, libc::SO_SNDBUF);
    kernel!(SYS_setsockopt, fd, level, option, &raw const bytes, size_of::<c_int>());
}

/// The monotonic time in microseconds, from the kernel itself.
fn monotonic_us() -> u64 {
    let mut now = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    kernel!(SYS_clock_gettime, libc::CLOCK_MONOTONIC, &raw mut now);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1000
}

/// Counts a call and decides its outcome by the first rule that applies to it.
fn decide(call: Call) -> Verdict {
    let Some(words) = table() else { return Verdict::Pass };
    let number = words[CALLS_AT + call as usize].fetch_add(1, Ordering::Relaxed) + 1;
    for rule in 0..MAX_RULES {
        let word = |word| &words[rule_word(rule, word)];
        if word(RuleWord::Call).load(Ordering::Acquire) != 1 + call as u64 {
            continue;
        }
        let get = |of| word(of).load(Ordering::Relaxed);
        let first_call = get(RuleWord::FirstCall);
        if number < first_call || (number - first_call) % get(RuleWord::Every).max(1) != 0 {
            continue;
        }
        let (now, duration_us) = (monotonic_us(), get(RuleWord::DurationUs));
        let first_hit = word(RuleWord::FirstHit);
        let first_hit =
            first_hit.compare_exchange(0, now, Ordering::Relaxed, Ordering::Relaxed).unwrap_or_else(|f| f);
        if duration_us > 0 && first_hit > 0 && now > first_hit + duration_us {
            continue;
        }
        if word(RuleWord::Hits).fetch_add(1, Ordering::Relaxed) >= get(RuleWord::MaxHits) {
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

/// Whether a descriptor is a socket over IP, which is taken as TCP. The runtime's own pairs of Unix sockets are left
/// alone.
fn is_tcp(fd: c_int) -> bool {
    let (mut domain, mut length) = (0 as c_int, size_of::<c_int>() as libc::socklen_t);
    // SAFETY: both arguments that the call fills are writable and of the given type and size. The error number, which
    // the call may set, is restored.
    unsafe {
        let errno = *libc::__errno_location();
        let level = libc::SOL_SOCKET;
        let status = kernel!(SYS_getsockopt, fd, level, libc::SO_DOMAIN, &raw mut domain, &raw mut length);
        *libc::__errno_location() = errno;
        status == 0 && (domain == libc::AF_INET || domain == libc::AF_INET6)
    }
}

fn is_file(fd: c_int) -> bool {
    // SAFETY: the call fills `stat`, which is writable and of its type; the error number is restored.
    unsafe {
        let errno = *libc::__errno_location();
        let mut stat: libc::stat = std::mem::zeroed();
        let status = kernel!(SYS_fstat, fd, &raw mut stat);
        *libc::__errno_location() = errno;
        status == 0 && stat.st_mode & libc::S_IFMT == libc::S_IFREG
    }
}

/// Decides the outcome of a call that transfers data; returns how many bytes it may transfer.
fn allowed_length(call: Call, length: size_t) -> Result<size_t, c_int> {
    match decide(call) {
        Verdict::Pass => Ok(length),
        Verdict::Short => Ok(length.min(1)),
        Verdict::Fail(errno) => Err(fail(errno)),
    }
}

/// Like [`allowed_length`], for a call on a connection, which is ended if the error means that it is gone.
fn allowed_length_on_socket(fd: c_int, call: Call, length: size_t) -> Result<size_t, c_int> {
    let allowed = allowed_length(call, length);
    if allowed.is_err() {
        // SAFETY: the address of this thread's error number is always readable.
        disconnect_if_fatal(fd, unsafe { *libc::__errno_location() });
    }
    allowed
}

/// Ends a connection if the error means that it is gone, as the kernel never reports such an error on a live
/// connection.
fn disconnect_if_fatal(fd: c_int, error: c_int) {
    if !errno::ENDS_CONNECTION.contains(&error) {
        return;
    }
    // Connecting to an address of no family disconnects a TCP socket.
    let unspecified = libc::sockaddr { sa_family: libc::AF_UNSPEC as libc::sa_family_t, sa_data: [0; 14] };
    kernel!(SYS_connect, fd, &raw const unspecified, size_of::<libc::sockaddr>());
    fail(error);
}

/// Decides the outcome of a call that transfers no data.
fn check_allowed(call: Call) -> Result<(), c_int> {
    match decide(call) {
        Verdict::Fail(errno) => Err(fail(errno)),
        Verdict::Pass | Verdict::Short => Ok(()),
    }
}

/// The value of a result, or returns its error from the interposing function.
macro_rules! or_fail {
    ($result:expr) => {
        match $result {
            Ok(value) => value,
            Err(code) => return code as _,
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
    or_fail!(check_allowed(Call::Accept));
    kernel!(SYS_accept4, fd, address, length, flags) as c_int
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept(fd: c_int, address: *mut c_void, length: *mut c_void) -> c_int {
    or_fail!(check_allowed(Call::Accept));
    kernel!(SYS_accept4, fd, address, length, 0) as c_int
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if domain == libc::AF_INET || domain == libc::AF_INET6 {
        or_fail!(check_allowed(Call::Socket));
    }
    kernel!(SYS_socket, domain, kind, protocol) as c_int
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(fd: c_int, address: *const c_void, length: c_uint) -> c_int {
    if is_tcp(fd) {
        or_fail!(check_allowed(Call::Connect));
        limit_send_buffer(fd);
    }
    kernel!(SYS_connect, fd, address, length) as c_int
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(fd: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    let call = if flags & libc::MSG_PEEK == 0 { Call::Receive } else { Call::Peek };
    let length = if is_tcp(fd) { or_fail!(allowed_length_on_socket(fd, call, length)) } else { length };
    kernel!(SYS_recvfrom, fd, buffer, length, flags, 0, 0) as ssize_t
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(fd: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    let length = if is_tcp(fd) { or_fail!(allowed_length_on_socket(fd, Call::Send, length)) } else { length };
    kernel!(SYS_sendto, fd, buffer, length, flags, 0, 0) as ssize_t
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn writev(fd: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    if is_tcp(fd) && count > 0 {
        match decide(Call::Send) {
            Verdict::Pass => {}
            Verdict::Fail(errno) => {
                disconnect_if_fatal(fd, errno);
                return fail(errno) as ssize_t;
            }
            Verdict::Short => {
                // SAFETY: by `count`, there is at least one part.
                let first_part = unsafe { &*parts };
                return kernel!(SYS_write, fd, first_part.iov_base, first_part.iov_len.min(1)) as ssize_t;
            }
        }
    }
    kernel!(SYS_writev, fd, parts, count) as ssize_t
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    fd: c_int,
    events: *mut c_void,
    max_events: c_int,
    timeout_ms: c_int,
) -> c_int {
    or_fail!(check_allowed(Call::Poll));
    kernel!(SYS_epoll_pwait, fd, events, max_events, timeout_ms, 0, 8) as c_int
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    or_fail!(check_allowed(Call::Open));
    kernel!(SYS_openat, libc::AT_FDCWD, path, flags, mode) as c_int
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn read(fd: c_int, buffer: *mut c_void, length: size_t) -> ssize_t {
    let length = if is_file(fd) { or_fail!(allowed_length(Call::Read, length)) } else { length };
    kernel!(SYS_read, fd, buffer, length) as ssize_t
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn pread64(fd: c_int, buffer: *mut c_void, length: size_t, offset: off64_t) -> ssize_t {
    let length = or_fail!(allowed_length(Call::Read, length));
    kernel!(SYS_pread64, fd, buffer, length, offset) as ssize_t
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn preadv2(
    fd: c_int,
    parts: *const iovec,
    count: c_int,
    offset: off64_t,
    flags: c_int,
) -> ssize_t {
    // A short read is simulated by EINTR: the caller makes the call again, as after a short one.
    let length = or_fail!(allowed_length(Call::Read, size_t::MAX));
    if length != size_t::MAX {
        return fail(errno::EINTR) as ssize_t;
    }
    kernel!(SYS_preadv2, fd, parts, count, offset, 0, flags) as ssize_t
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(fd: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    let length = if is_file(fd) && fd > 2 { or_fail!(allowed_length(Call::Write, length)) } else { length };
    kernel!(SYS_write, fd, buffer, length) as ssize_t
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn pwrite64(
    fd: c_int,
    buffer: *const c_void,
    length: size_t,
    offset: off64_t,
) -> ssize_t {
    let length = or_fail!(allowed_length(Call::Write, length));
    kernel!(SYS_pwrite64, fd, buffer, length, offset) as ssize_t
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    or_fail!(check_allowed(Call::Sync));
    kernel!(SYS_fsync, fd) as c_int
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn fdatasync(fd: c_int) -> c_int {
    or_fail!(check_allowed(Call::Sync));
    kernel!(SYS_fdatasync, fd) as c_int
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    or_fail!(check_allowed(Call::Rename));
    kernel!(SYS_renameat2, libc::AT_FDCWD, from, libc::AT_FDCWD, to, 0) as c_int
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: c_int, now: *mut libc::timespec) -> c_int {
    let status = kernel!(SYS_clock_gettime, clock, now) as c_int;
    if status == 0
        && clock == libc::CLOCK_REALTIME
        && let Some(words) = table()
    {
        let ahead = words[WALL_OFFSET_AT].load(Ordering::Relaxed).cast_signed();
        // SAFETY: the kernel has just filled it, so it is valid.
        let now = unsafe { &mut *now };
        let nanoseconds = now.tv_sec * 1_000_000_000 + now.tv_nsec + 1000 * ahead;
        (now.tv_sec, now.tv_nsec) =
            (nanoseconds.div_euclid(1_000_000_000), nanoseconds.rem_euclid(1_000_000_000) as c_long);
    }
    status
}
