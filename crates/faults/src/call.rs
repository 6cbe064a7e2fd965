//! The system calls that can be made to fail.

use std::fmt;

/// A kind of system call. Calls on sockets are those on TCP sockets only, calls on files those on regular files only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[repr(usize)]
pub enum Call {
    /// `accept4` and `accept`.
    Accept,
    /// `socket`.
    Socket,
    /// `connect`.
    Connect,
    /// `recv` and `recvfrom`.
    Receive,
    /// `recv` and `recvfrom` with `MSG_PEEK`.
    Peek,
    /// `send`, `sendto` and `writev` on a socket.
    Send,
    /// `epoll_wait`.
    Poll,
    /// `open` and `openat`.
    Open,
    /// `read` and `pread` of a file.
    Read,
    /// `write` and `pwrite` of a file.
    Write,
    /// `fsync` and `fdatasync`.
    Sync,
    /// `rename`.
    Rename,
}

impl Call {
    /// All kinds, in their order in the table.
    pub const ALL: [Self; 12] = [
        Self::Accept,
        Self::Socket,
        Self::Connect,
        Self::Receive,
        Self::Peek,
        Self::Send,
        Self::Poll,
        Self::Open,
        Self::Read,
        Self::Write,
        Self::Sync,
        Self::Rename,
    ];

    /// The transient error numbers that Linux documents for the call: a correct program survives them.
    pub fn transient_errors(self) -> &'static [i32] {
        match self {
            Self::Accept => {
                &[errno::ECONNABORTED, errno::EMFILE, errno::ENFILE, errno::ENOBUFS, errno::EINTR]
            }
            Self::Socket => &[errno::EMFILE, errno::ENFILE, errno::ENOBUFS, errno::ENOMEM],
            Self::Connect => {
                &[errno::EADDRNOTAVAIL, errno::ENETUNREACH, errno::ECONNREFUSED, errno::ETIMEDOUT]
            }
            Self::Receive | Self::Peek => &[errno::EINTR, errno::ETIMEDOUT, errno::EHOSTUNREACH],
            Self::Send => &[errno::EINTR, errno::EHOSTUNREACH, errno::EPIPE],
            Self::Poll => &[errno::EINTR],
            Self::Open => &[errno::EMFILE, errno::ENFILE, errno::EIO],
            Self::Read => &[errno::EINTR, errno::EIO],
            Self::Write => &[errno::EINTR, errno::ENOSPC, errno::EIO],
            Self::Sync => &[errno::EIO, errno::ENOSPC],
            Self::Rename => &[errno::EIO, errno::ENOSPC],
        }
    }
}

impl fmt::Display for Call {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", format!("{self:?}").to_lowercase())
    }
}

/// Error numbers of Linux on the supported architectures.
#[allow(missing_docs)]
pub mod errno {
    pub const EINTR: i32 = 4;
    pub const EIO: i32 = 5;
    pub const ENOMEM: i32 = 12;
    pub const ENFILE: i32 = 23;
    pub const EMFILE: i32 = 24;
    pub const ENOSPC: i32 = 28;
    pub const EPIPE: i32 = 32;
    pub const EADDRNOTAVAIL: i32 = 99;
    pub const ENETUNREACH: i32 = 101;
    pub const ECONNABORTED: i32 = 103;
    pub const ECONNRESET: i32 = 104;
    pub const ENOBUFS: i32 = 105;
    pub const ETIMEDOUT: i32 = 110;
    pub const ECONNREFUSED: i32 = 111;
    pub const EHOSTUNREACH: i32 = 113;

    /// The errors of a call on a connection that mean that the connection is gone.
    pub const ENDS_CONNECTION: [i32; 4] = [EPIPE, ECONNRESET, ETIMEDOUT, EHOSTUNREACH];
}
