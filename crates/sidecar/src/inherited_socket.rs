//! The clients' listening socket where the platform holds it and passes it on, so that two versions of the sidecar
//! can serve beside each other. It is shared with them: it must never be shut down, and what waits in its queue
//! when this process ends is the other's to take.

use socket2::{Socket, Type};
use std::fs;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, OwnedFd, RawFd};

/// Names the descriptor.
const VARIABLE: &str = "LB_PASSED_SOCKET";

/// The socket that is passed on, if one is. To be asked once and before anything else is opened, so that what is
/// open at that number can only have been passed on. The text of a failure is one plain line.
pub fn passed() -> Result<Option<TcpListener>, String> {
    let Some(named) = std::env::var_os(VARIABLE) else { return Ok(None) };
    let named = named.to_string_lossy();
    let fd =
        named.trim().parse().map_err(|_| format!("{VARIABLE} is not the number of a descriptor: {named}"))?;
    adopt(fd).map(Some).map_err(|what| format!("{VARIABLE} {fd}: {what}"))
}

fn adopt(fd: RawFd) -> Result<TcpListener, String> {
    let open = fs::read_link(format!("/proc/self/fd/{fd}"));
    if fd < 3 || !open.is_ok_and(|target| target.to_string_lossy().starts_with("socket:")) {
        return Err("no socket is open there".to_owned());
    }
    // SAFETY: the descriptor is open, and as nothing else was opened yet nothing else owns it.
    #[allow(unsafe_code)]
    let socket = Socket::from(unsafe { OwnedFd::from_raw_fd(fd) });
    let tcp = socket.r#type().is_ok_and(|t| t == Type::STREAM)
        && socket.local_addr().is_ok_and(|address| address.as_socket().is_some());
    if !tcp || !socket.is_listener().unwrap_or(false) {
        return Err("it is no listening TCP socket".to_owned());
    }
    socket.set_nonblocking(true).map_err(|e| e.to_string())?;
    Ok(socket.into())
}
