//! System calls on a file descriptor whose flags must not be changed, as other processes share them. All unsafe code of
//! this crate is here.
#![allow(unsafe_code)]

use std::ffi::c_void;
use std::io;
use std::mem::MaybeUninit;
use std::os::fd::RawFd;

/// Maximum number of times that a system call is made if signals keep interrupting it.
const MAX_INTERRUPTIONS: usize = 16;
/// The offset that makes `pwritev2` write at the file's current position.
const CURRENT_POSITION: libc::off_t = -1;

/// A kind of file, as far as it matters for writes.
pub(crate) enum FileKind {
    /// A pipe, named or unnamed.
    Pipe,
    /// A socket.
    Socket,
    /// A terminal.
    Terminal,
    /// A regular file, another device, or a closed descriptor.
    Other,
}

/// How a write ended.
pub(crate) enum Outcome {
    /// This number of bytes was written.
    Written(usize),
    /// The kernel or the file does not support this kind of write.
    Unsupported,
    /// Nothing was written, for example because the buffer is full or the reader is gone.
    Failed,
}

/// The kind of file that a descriptor refers to.
pub(crate) fn kind(descriptor: RawFd) -> FileKind {
    let mut status = MaybeUninit::<libc::stat>::zeroed();
    // SAFETY: `status` is writable and of the type that the call fills; a bad descriptor is an error.
    if unsafe { libc::fstat(descriptor, status.as_mut_ptr()) } != 0 {
        return FileKind::Other;
    }
    // SAFETY: all of it was zeroed or filled by the call, and each of its fields is a plain number.
    let mode = unsafe { status.assume_init() }.st_mode;
    match mode & libc::S_IFMT {
        libc::S_IFIFO => FileKind::Pipe,
        libc::S_IFSOCK => FileKind::Socket,
        // SAFETY: the call accepts any descriptor number.
        libc::S_IFCHR if unsafe { libc::isatty(descriptor) } == 1 => FileKind::Terminal,
        _ => FileKind::Other,
    }
}

/// Writes, and blocks if the file blocks its writers.
pub(crate) fn write(descriptor: RawFd, bytes: &[u8]) -> Outcome {
    // SAFETY: the call reads as many bytes as `bytes` has.
    retry_interrupted(|| unsafe { libc::write(descriptor, as_void_pointer(bytes), bytes.len()) })
}

/// Writes as much as possible without blocking.
pub(crate) fn write_nowait(descriptor: RawFd, bytes: &[u8]) -> Outcome {
    let vector = libc::iovec { iov_base: as_void_pointer(bytes).cast_mut(), iov_len: bytes.len() };
    // SAFETY: the call reads one vector, and as many bytes as `bytes` has through it; it writes to neither.
    retry_interrupted(|| unsafe {
        libc::pwritev2(descriptor, &raw const vector, 1, CURRENT_POSITION, libc::RWF_NOWAIT)
    })
}

/// Sends as much as possible on a socket without blocking.
pub(crate) fn send_nowait(descriptor: RawFd, bytes: &[u8]) -> Outcome {
    let flags = libc::MSG_DONTWAIT | libc::MSG_NOSIGNAL;
    // SAFETY: the call reads as many bytes as `bytes` has.
    retry_interrupted(|| unsafe { libc::send(descriptor, as_void_pointer(bytes), bytes.len(), flags) })
}

/// Whether the descriptor polls writable now.
pub(crate) fn polls_writable(descriptor: RawFd) -> bool {
    let mut poll = libc::pollfd { fd: descriptor, events: libc::POLLOUT, revents: 0 };
    // SAFETY: the call reads and fills the one element.
    let ready = unsafe { libc::poll(&raw mut poll, 1, 0) };
    ready == 1 && poll.revents & libc::POLLOUT != 0
}

fn as_void_pointer(bytes: &[u8]) -> *const c_void {
    bytes.as_ptr().cast()
}

/// Makes a system call, and repeats it if a signal interrupts it.
fn retry_interrupted(call: impl Fn() -> libc::ssize_t) -> Outcome {
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
