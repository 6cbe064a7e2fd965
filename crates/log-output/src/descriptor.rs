//! System calls on a descriptor that is not ours to change. All unsafe code of this crate is here.
#![allow(unsafe_code)]

use std::ffi::c_void;
use std::io;
use std::mem::MaybeUninit;
use std::os::fd::RawFd;

/// How often an interrupted call is made again.
const MAX_INTERRUPTIONS: usize = 16;
/// The offset by which `pwritev2` writes at the file's own position.
const CURRENT_POSITION: libc::off_t = -1;

/// A kind of file, as far as writes to it differ.
pub(crate) enum FileKind {
    /// A pipe, with a name or without.
    Pipe,
    /// A socket.
    Socket,
    /// A terminal.
    Terminal,
    /// A regular file, another device, or nothing at all.
    Other,
}

/// How a write ended.
pub(crate) enum Outcome {
    /// So many bytes were taken.
    Written(usize),
    /// The system or the file does not know this kind of write.
    Unsupported,
    /// Nothing was taken: for want of room, or as the reader is gone.
    Failed,
}

/// The kind of file that a descriptor refers to.
pub(crate) fn kind(descriptor: RawFd) -> FileKind {
    let mut status = MaybeUninit::<libc::stat>::zeroed();
    // SAFETY: `status` is writable and of the type that the call fills; a bad descriptor is an error.
    if unsafe { libc::fstat(descriptor, status.as_mut_ptr()) } != 0 {
        return FileKind::Other;
    }
    // SAFETY: all of it is zeroes or was filled by the call, and each of its fields is a plain number.
    let mode = unsafe { status.assume_init() }.st_mode;
    match mode & libc::S_IFMT {
        libc::S_IFIFO => FileKind::Pipe,
        libc::S_IFSOCK => FileKind::Socket,
        // SAFETY: the call takes any number.
        libc::S_IFCHR if unsafe { libc::isatty(descriptor) } == 1 => FileKind::Terminal,
        _ => FileKind::Other,
    }
}

/// Writes, and waits where the file makes a writer wait.
pub(crate) fn write(descriptor: RawFd, bytes: &[u8]) -> Outcome {
    // SAFETY: the call reads as many bytes as `bytes` has.
    outcome(|| unsafe { libc::write(descriptor, start(bytes), bytes.len()) })
}

/// Writes at once or not at all.
pub(crate) fn write_nowait(descriptor: RawFd, bytes: &[u8]) -> Outcome {
    let vector = libc::iovec { iov_base: start(bytes).cast_mut(), iov_len: bytes.len() };
    // SAFETY: the call reads one vector, and as many bytes as `bytes` has through it; it writes to neither.
    outcome(|| unsafe {
        libc::pwritev2(descriptor, &raw const vector, 1, CURRENT_POSITION, libc::RWF_NOWAIT)
    })
}

/// Sends on a socket at once or not at all.
pub(crate) fn send_nowait(descriptor: RawFd, bytes: &[u8]) -> Outcome {
    let flags = libc::MSG_DONTWAIT | libc::MSG_NOSIGNAL;
    // SAFETY: the call reads as many bytes as `bytes` has.
    outcome(|| unsafe { libc::send(descriptor, start(bytes), bytes.len(), flags) })
}

/// Whether a write would find room now.
pub(crate) fn polls_writable(descriptor: RawFd) -> bool {
    let mut poll = libc::pollfd { fd: descriptor, events: libc::POLLOUT, revents: 0 };
    // SAFETY: the call reads and fills the one element.
    let ready = unsafe { libc::poll(&raw mut poll, 1, 0) };
    ready == 1 && poll.revents & libc::POLLOUT != 0
}

fn start(bytes: &[u8]) -> *const c_void {
    bytes.as_ptr().cast()
}

/// Makes a call until it is not interrupted.
fn outcome(call: impl Fn() -> libc::ssize_t) -> Outcome {
    for _ in 0..MAX_INTERRUPTIONS {
        if let Ok(length) = usize::try_from(call()) {
            return Outcome::Written(length);
        }
        match io::Error::last_os_error().raw_os_error() {
            Some(libc::EINTR) => {}
            Some(libc::EOPNOTSUPP | libc::ENOSYS | libc::EINVAL | libc::EPERM) => {
                return Outcome::Unsupported;
            }
            _ => return Outcome::Failed,
        }
    }
    Outcome::Failed
}
