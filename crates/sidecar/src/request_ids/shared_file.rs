//! A file that two processes map into their memory, so that each knows the ids of the other: during an upgrade clients may
//! send a request again to the other process.

use crate::file_access;
use std::fs::{File, OpenOptions};
use std::io;
use std::os::fd::AsRawFd;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

/// Time limit to create and map the file.
const OPEN_TIMEOUT: Duration = Duration::from_millis(300);

/// Maps a file of entries, which is created with room for `entries` if there is none. The memory is never unmapped.
pub(super) fn map_at_startup(path: &Path, entries: usize) -> io::Result<&'static [AtomicU64]> {
    let path = path.to_owned();
    file_access::run_at_startup(OPEN_TIMEOUT, move || map(&path, entries))?
}

fn map(path: &Path, entries: usize) -> io::Result<&'static [AtomicU64]> {
    let file = open(path)?;
    let mut bytes = file.metadata()?.len();
    if bytes == 0 {
        bytes = (entries * size_of::<AtomicU64>()) as u64;
    }
    allocate(&file, bytes)?;
    let length = usize::try_from(bytes).map_err(io::Error::other)?;
    let entries = length / size_of::<AtomicU64>();
    if entries == 0 {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let (protection, flags) = (libc::PROT_READ | libc::PROT_WRITE, libc::MAP_SHARED | libc::MAP_POPULATE);
    // SAFETY: the kernel chooses the address, and the length is that of the file.
    #[allow(unsafe_code)]
    let address = unsafe { libc::mmap(std::ptr::null_mut(), length, protection, flags, file.as_raw_fd(), 0) };
    if address == libc::MAP_FAILED {
        return Err(io::Error::last_os_error());
    }
    // SAFETY: the mapping is aligned to a page, at least as long as the slice, and never unmapped. All processes access
    // it through atomics only.
    #[allow(unsafe_code)]
    let mapped = unsafe { std::slice::from_raw_parts(address.cast::<AtomicU64>(), entries) };
    Ok(mapped)
}

/// Opens the file. Without `O_NONBLOCK`, opening a named pipe would wait for its other end.
fn open(path: &Path) -> io::Result<File> {
    let mut options = OpenOptions::new();
    let file = options.read(true).write(true).create(true).truncate(false);
    let file = file.custom_flags(libc::O_NONBLOCK).open(path)?;
    if file.metadata()?.is_file() { Ok(file) } else { Err(io::ErrorKind::InvalidInput.into()) }
}

/// Allocates all of the file's blocks: on a full disk, a write to a mapped page without a block ends the process.
fn allocate(file: &File, bytes: u64) -> io::Result<()> {
    let length = libc::off_t::try_from(bytes).map_err(io::Error::other)?;
    // SAFETY: the descriptor is open for as long as `file` is.
    #[allow(unsafe_code)]
    match unsafe { libc::posix_fallocate(file.as_raw_fd(), 0, length) } {
        0 => Ok(()),
        error => Err(io::Error::from_raw_os_error(error)),
    }
}

/// The time since an epoch that all processes on this machine share: that of the monotonic clock.
pub(super) fn monotonic_time() -> Duration {
    let mut now = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: `now` is writable and of the type that the call fills.
    #[allow(unsafe_code)]
    unsafe {
        libc::clock_gettime(libc::CLOCK_MONOTONIC, &raw mut now);
    }
    Duration::new(now.tv_sec.max(0).unsigned_abs(), u32::try_from(now.tv_nsec).unwrap_or(0))
}

#[cfg(test)]
mod tests;
