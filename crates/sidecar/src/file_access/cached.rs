//! Reads of files that the system has in memory.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::fd::AsRawFd;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

/// Bytes that are read at once.
const READ_BYTES: usize = 16 << 10;

/// Reads a regular file without waiting for its disk; `None` where that is not possible, and for other kinds of files.
pub(super) fn read(path: &Path) -> io::Result<Option<Vec<u8>>> {
    // Without the flag the open of a pipe waits for its writer.
    let file = OpenOptions::new().read(true).custom_flags(libc::O_NONBLOCK).open(path)?;
    if !file.metadata()?.is_file() {
        return Ok(None);
    }
    let mut contents = Vec::new();
    loop {
        match read_nowait(&file, &mut contents) {
            Ok(0) => return Ok(Some(contents)),
            Ok(_) => {}
            Err(e) => match e.raw_os_error() {
                Some(libc::EINTR) => {}
                Some(libc::EAGAIN | libc::EOPNOTSUPP | libc::ENOSYS | libc::EINVAL | libc::EPERM) => {
                    return Ok(None);
                }
                _ => return Err(e),
            },
        }
    }
}

/// Adds what follows `contents` in a file, as far as it is in memory; 0 at the end.
fn read_nowait(file: &File, contents: &mut Vec<u8>) -> io::Result<usize> {
    let mut buffer = [0; READ_BYTES];
    let vector = libc::iovec { iov_base: buffer.as_mut_ptr().cast(), iov_len: READ_BYTES };
    let offset = libc::off_t::try_from(contents.len()).map_err(io::Error::other)?;
    // SAFETY: the descriptor is open for as long as `file` is, and the call fills `buffer` at the most.
    #[allow(unsafe_code)]
    let length = unsafe { libc::preadv2(file.as_raw_fd(), &raw const vector, 1, offset, libc::RWF_NOWAIT) };
    let length = usize::try_from(length).map_err(|_| io::Error::last_os_error())?;
    contents.extend_from_slice(&buffer[..length]);
    Ok(length)
}
