//! How long the bytes that a connection holds have waited to be read, by the system's own account.

use std::mem::{MaybeUninit, size_of};
use std::os::fd::AsRawFd;
use std::time::Duration;
use tokio::net::TcpStream;

/// How long ago the last byte came that the system has taken for a connection; where none has, how long ago it was made.
/// `None` where the system does not say.
pub fn since_last_received(stream: &TcpStream) -> Option<Duration> {
    let mut info = MaybeUninit::<libc::tcp_info>::zeroed();
    let mut length = libc::socklen_t::try_from(size_of::<libc::tcp_info>()).ok()?;
    // SAFETY: the descriptor is open for as long as `stream` is, and the call fills `length` bytes of `info` at the
    // most, which are as many as it has.
    #[allow(unsafe_code)]
    let done = unsafe {
        let (level, option) = (libc::IPPROTO_TCP, libc::TCP_INFO);
        libc::getsockopt(stream.as_raw_fd(), level, option, info.as_mut_ptr().cast(), &raw mut length)
    };
    if done != 0 {
        return None;
    }
    // SAFETY: all of it is zeroes or was filled by the call, and each of its fields is a plain number.
    #[allow(unsafe_code)]
    let info = unsafe { info.assume_init() };
    Some(Duration::from_millis(u64::from(info.tcpi_last_data_recv)))
}

#[cfg(test)]
mod tests;
