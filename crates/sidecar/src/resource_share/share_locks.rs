//! Shares of the limits as locks on the bytes of a file (`F_OFD_SETLK`, see fcntl(2)).
//!
//! The first of two processes takes shares from the low end of the file upwards, the other one from the high end
//! downwards, so that each may take all that the other does not hold. The bytes after the shares tell which ends are
//! taken, and whether the process there is in service.

use super::policy::SHARES;
use crate::file_access;
use std::fs::{File, OpenOptions};
use std::io;
use std::os::fd::AsRawFd;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;
use std::time::Duration;

/// Time limit to open the file.
const OPEN_TIMEOUT: Duration = Duration::from_millis(300);

/// The end of the file from which a process takes shares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Low,
    High,
}

impl End {
    fn other(self) -> Self {
        match self {
            Self::Low => Self::High,
            Self::High => Self::Low,
        }
    }

    /// The byte of a share, counted from this end.
    fn share(self, number: usize) -> usize {
        match self {
            Self::Low => number,
            Self::High => SHARES - 1 - number,
        }
    }

    /// The byte that the process at this end holds until it ends.
    fn presence(self) -> usize {
        SHARES + self as usize
    }

    /// The byte that the process at this end holds while it is in service.
    fn service(self) -> usize {
        SHARES + 2 + self as usize
    }
}

/// The locks of this process.
pub(super) struct ShareLocks {
    file: File,
    /// Its end of the file; `None` while two other processes hold both.
    end: Option<End>,
    in_service: bool,
    /// Number of shares that it holds.
    held: usize,
}

impl ShareLocks {
    /// Opens the file, which is created if there is none. Also returns whether `other_path` exists.
    pub(super) fn open(path: &Path, other_path: &Path) -> io::Result<(Self, bool)> {
        let (path, other_path) = (path.to_owned(), other_path.to_owned());
        let opened = move || (open(&path), other_path.exists());
        let (file, other_exists) = file_access::run_at_startup(OPEN_TIMEOUT, opened)?;
        Ok((Self::of(file?)?, other_exists))
    }

    /// The locks of a process that has opened the file.
    fn of(file: File) -> io::Result<Self> {
        let mut locks = Self { file, end: None, in_service: true, held: 0 };
        locks.take_end()?;
        Ok(locks)
    }

    /// Number of shares that are held.
    pub(super) fn held(&self) -> usize {
        self.held
    }

    /// Takes an end of the file, if one is free.
    fn take_end(&mut self) -> io::Result<()> {
        for end in [End::Low, End::High] {
            if try_lock(&self.file, end.presence())? {
                self.end = Some(end);
                if self.in_service {
                    try_lock(&self.file, end.service())?;
                }
                return Ok(());
            }
        }
        Ok(())
    }

    /// Whether another process takes part.
    pub(super) fn other_is_present(&self) -> bool {
        self.end.is_none_or(|end| is_locked_by_other(&self.file, end.other().presence()))
    }

    /// Whether another process is in service.
    pub(super) fn other_is_serving(&self) -> bool {
        self.end.is_none_or(|end| is_locked_by_other(&self.file, end.other().service()))
    }

    /// Tells the other process that this one is no longer in service.
    pub(super) fn end_service(&mut self) {
        if std::mem::replace(&mut self.in_service, false)
            && let Some(end) = self.end
        {
            unlock(&self.file, end.service());
        }
    }

    /// Takes up to that many shares, as far as they are free.
    pub(super) fn acquire(&mut self, shares: usize) {
        if self.end.is_none() {
            // Tried again with the next adjustment.
            let _ = self.take_end();
        }
        let Some(end) = self.end else { return };
        while self.held < shares && try_lock(&self.file, end.share(self.held)).unwrap_or(false) {
            self.held += 1;
        }
    }

    /// Gives up all shares beyond that many.
    pub(super) fn release(&mut self, shares: usize) {
        let Some(end) = self.end else { return };
        while self.held > shares {
            self.held -= 1;
            unlock(&self.file, end.share(self.held));
        }
    }
}

/// Opens the file. Without `O_NONBLOCK`, opening a named pipe would wait for its other end.
fn open(path: &Path) -> io::Result<File> {
    let mut options = OpenOptions::new();
    options.read(true).write(true).create(true).truncate(false);
    let file = options.custom_flags(libc::O_NONBLOCK).open(path)?;
    if file.metadata()?.is_file() { Ok(file) } else { Err(io::ErrorKind::InvalidInput.into()) }
}

/// Locks a byte of the file; returns whether no other process holds it.
fn try_lock(file: &File, byte: usize) -> io::Result<bool> {
    match lock_call(file, libc::F_OFD_SETLK, libc::F_WRLCK, byte) {
        Ok(_) => Ok(true),
        Err(e) if matches!(e.raw_os_error(), Some(libc::EAGAIN | libc::EACCES)) => Ok(false),
        Err(e) => Err(e),
    }
}

fn unlock(file: &File, byte: usize) {
    // A lock that is not released is held until the process ends.
    let _ = lock_call(file, libc::F_OFD_SETLK, libc::F_UNLCK, byte);
}

/// Whether another process holds a byte. One that can't be looked at counts as held.
fn is_locked_by_other(file: &File, byte: usize) -> bool {
    let found = lock_call(file, libc::F_OFD_GETLK, libc::F_WRLCK, byte);
    !found.is_ok_and(|lock| i32::from(lock.l_type) == libc::F_UNLCK)
}

/// Calls fcntl(2) for the lock of one byte, again if it is interrupted; returns what it made of its argument.
fn lock_call(file: &File, command: i32, lock_type: i32, byte: usize) -> io::Result<libc::flock> {
    loop {
        // SAFETY: all fields are plain numbers, and 0 is a value of each.
        #[allow(unsafe_code)]
        let mut lock: libc::flock = unsafe { std::mem::zeroed() };
        lock.l_type = lock_type as libc::c_short;
        lock.l_whence = libc::SEEK_SET as libc::c_short;
        lock.l_start = byte as libc::off_t;
        lock.l_len = 1;
        // SAFETY: the descriptor is open for as long as `file` is, and `lock` is of the type that these commands take.
        #[allow(unsafe_code)]
        let result = unsafe { libc::fcntl(file.as_raw_fd(), command, &raw mut lock) };
        if result == 0 {
            return Ok(lock);
        }
        let error = io::Error::last_os_error();
        if error.kind() != io::ErrorKind::Interrupted {
            return Err(error);
        }
    }
}

#[cfg(test)]
mod tests;
