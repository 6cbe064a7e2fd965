//! How long ago a connection was established, and how long ago data was received on it, from the kernel's `TCP_INFO`
//! (see tcp(7)).

use std::mem::{MaybeUninit, size_of};
use std::os::fd::AsRawFd;
use std::time::Duration;
use tokio::net::TcpStream;

/// How long ago a connection was established on which nothing has been sent yet. This is `tcpi_last_data_sent`, which
/// counts from the handshake before the first send. `tcpi_last_data_recv` can't be used: if the receive buffer is full,
/// bytes are received late, although their client wrote them earlier and has been waiting since. `None` if the kernel
/// does not report it.
pub fn age_before_first_send(stream: &TcpStream) -> Option<Duration> {
    tcp_info(stream).map(|info| Duration::from_millis(u64::from(info.tcpi_last_data_sent)))
}

/// How long ago the kernel received the last data of a connection, in ticks of its clock. `None` if it does not report
/// that.
pub fn age_of_received_data(stream: &TcpStream) -> Option<Duration> {
    tcp_info(stream).map(|info| Duration::from_millis(u64::from(info.tcpi_last_data_recv)))
}

fn tcp_info(stream: &TcpStream) -> Option<libc::tcp_info> {
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
    Some(info)
}

#[cfg(test)]
mod tests;
