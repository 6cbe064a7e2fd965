//! The clients' listening socket, if the platform owns it and passes it to the sidecar's processes, so that two
//! versions can serve side by side during an upgrade. As it is shared, it must never be shut down, and connections
//! that are in its accept queue when this process ends are left to the other process.

use socket2::{Socket, Type};
use std::error::Error;
use std::fmt;
use std::fs;
use std::io;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, OwnedFd, RawFd};

/// The environment variable that holds the number of the file descriptor.
const VARIABLE: &str = "LB_PASSED_SOCKET";
/// Descriptors below this are standard input, output and error.
const FIRST_DESCRIPTOR: RawFd = 3;

/// Why the inherited socket can't be used.
#[derive(Debug)]
pub enum InheritError {
    /// The variable's value is not a number.
    NotANumber(String),
    /// The descriptor of that number can't be used.
    Unusable(RawFd, UnusableSocket),
}

/// What is wrong with a descriptor.
#[derive(Debug)]
pub enum UnusableSocket {
    /// It is not an open socket.
    NotASocket,
    /// It is a socket, but not a listening TCP socket.
    NotAListener,
    /// It can't be made non-blocking.
    Blocking(io::Error),
}

impl fmt::Display for InheritError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotANumber(value) => write!(f, "{VARIABLE} is not the number of a descriptor: {value}"),
            Self::Unusable(descriptor, reason) => write!(f, "{VARIABLE} {descriptor}: {reason}"),
        }
    }
}

impl fmt::Display for UnusableSocket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotASocket => f.write_str("no socket is open there"),
            Self::NotAListener => f.write_str("it is no listening TCP socket"),
            Self::Blocking(e) => e.fmt(f),
        }
    }
}

impl Error for InheritError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::NotANumber(_) => None,
            Self::Unusable(_, reason) => reason.source(),
        }
    }
}

impl Error for UnusableSocket {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Blocking(e) => Some(e),
            Self::NotASocket | Self::NotAListener => None,
        }
    }
}

/// The inherited listener, if there is one. Must be called once and before anything else is opened, so that the
/// descriptor of that number can only be an inherited one.
pub fn inherited_listener() -> Result<Option<TcpListener>, InheritError> {
    let Some(value) = std::env::var_os(VARIABLE) else { return Ok(None) };
    let value = value.to_string_lossy();
    let descriptor = value.trim().parse().map_err(|_| InheritError::NotANumber(value.to_string()))?;
    let listener = adopt(descriptor).map_err(|reason| InheritError::Unusable(descriptor, reason))?;
    Ok(Some(listener))
}

fn adopt(descriptor: RawFd) -> Result<TcpListener, UnusableSocket> {
    let target = fs::read_link(format!("/proc/self/fd/{descriptor}"));
    let is_socket = target.is_ok_and(|target| target.to_string_lossy().starts_with("socket:"));
    if descriptor < FIRST_DESCRIPTOR || !is_socket {
        return Err(UnusableSocket::NotASocket);
    }
    // SAFETY: the descriptor is open, and nothing else owns it, as this process has not opened anything else yet.
    #[allow(unsafe_code)]
    let socket = Socket::from(unsafe { OwnedFd::from_raw_fd(descriptor) });
    let is_tcp = socket.r#type().is_ok_and(|t| t == Type::STREAM)
        && socket.local_addr().is_ok_and(|address| address.as_socket().is_some());
    if !is_tcp || !socket.is_listener().unwrap_or(false) {
        return Err(UnusableSocket::NotAListener);
    }
    socket.set_nonblocking(true).map_err(UnusableSocket::Blocking)?;
    Ok(socket.into())
}
