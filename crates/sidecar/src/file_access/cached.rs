//! Reads of files that are in the page cache.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::fd::AsRawFd;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

/// Maximum number of bytes that one call reads.
const READ_BYTES: usize = 16 << 10;

/// Reads a regular file without waiting for its disk. Returns `None` if that is not possible, and for other kinds of
/// files.
pub(super) fn read(path: &Path) -> io::Result<Option<Vec<u8>>> {
    // Without `O_NONBLOCK`, opening a named pipe would wait for a writer.
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

/// Appends the next bytes of a file to `contents`, as far as they are in the page cache. Returns their number, which is
/// 0 at the end of the file.
fn read_nowait(file: &File, contents: &mut Vec<u8>) -> io::Result<usize> {
    let mut buffer = [0; READ_BYTES];
    let vector = libc::iovec { iov_base: buffer.as_mut_ptr().cast(), iov_len: READ_BYTES };
    let offset = libc::off_t::try_from(contents.len()).map_err(io::Error::other)?;
    // SAFETY: the descriptor is open for as long as `file` is, and the call writes at most the length of `buffer`.
    #[allow(unsafe_code)]
    let length = unsafe { libc::preadv2(file.as_raw_fd(), &raw const vector, 1, offset, libc::RWF_NOWAIT) };
    let length = usize::try_from(length).map_err(|_| io::Error::last_os_error())?;
    contents.extend_from_slice(&buffer[..length]);
    Ok(length)
}
