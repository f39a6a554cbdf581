//! File locks on the state directory.
//!
//! The exclusive owner lock makes its holder the owner of the directory's contents. The calls lock is shared by all
//! processes that may have calls in flight. The kernel releases both when a process exits.

use rustix::fs::{FlockOperation, flock};
use rustix::io::Errno;
use std::fs::{File, OpenOptions};
use std::io;
use std::path::Path;

/// File of the owner lock; always empty.
pub const OWNER_FILE: &str = "lock";
/// File of the calls lock; always empty.
pub const CALLS_FILE: &str = "calls";

/// A lock that is held until it is dropped.
#[derive(Debug)]
pub struct Lock {
    _file: File,
}

/// Tries to acquire the owner lock; `None` where another process holds it.
///
/// # Errors
/// I/O errors of the file, also where the file system has no locks (see [`is_unsupported`]).
pub fn try_lock(state_dir: &Path) -> io::Result<Option<Lock>> {
    acquire(open(state_dir, OWNER_FILE)?, FlockOperation::NonBlockingLockExclusive)
}

/// Acquires the calls lock shared with other processes; `None` while a process holds it exclusively, which
/// [`lock_calls_if_idle`] does for a moment.
///
/// # Errors
/// As for [`try_lock`].
pub fn share_calls_lock(state_dir: &Path) -> io::Result<Option<Lock>> {
    acquire(open(state_dir, CALLS_FILE)?, FlockOperation::NonBlockingLockShared)
}

/// Acquires the calls lock if no other process holds it, which shows that no other process has calls in flight; `None`
/// otherwise. The lock is tried for exclusively, then kept shared.
///
/// # Errors
/// As for [`try_lock`].
pub fn lock_calls_if_idle(state_dir: &Path) -> io::Result<Option<Lock>> {
    let exclusive = acquire(open(state_dir, CALLS_FILE)?, FlockOperation::NonBlockingLockExclusive)?;
    exclusive.map_or(Ok(None), |lock| acquire(lock._file, FlockOperation::NonBlockingLockShared))
}

/// Whether an error means that the file system does not support locks; any other error may be transient.
pub fn is_unsupported(error: &io::Error) -> bool {
    let code = error.raw_os_error().map(Errno::from_raw_os_error);
    matches!(code, Some(Errno::NOLCK | Errno::NOTSUP | Errno::NOSYS | Errno::INVAL))
}

/// Opens a lock file, creating it only if it is missing: an existing file can be opened on a full disk as well.
fn open(state_dir: &Path, name: &str) -> io::Result<File> {
    let path = state_dir.join(name);
    match OpenOptions::new().write(true).open(&path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => {
            OpenOptions::new().create(true).truncate(false).write(true).open(&path)
        }
        result => result,
    }
}

fn acquire(file: File, operation: FlockOperation) -> io::Result<Option<Lock>> {
    match flock(&file, operation) {
        Ok(()) => Ok(Some(Lock { _file: file })),
        Err(Errno::WOULDBLOCK) => Ok(None),
        Err(error) => Err(error.into()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_lock_is_held_until_it_is_dropped() {
        let state_dir = std::env::temp_dir().join(format!("fawnspoke-lock-{}", std::process::id()));
        std::fs::create_dir_all(&state_dir).unwrap();
        let owner_lock = try_lock(&state_dir).unwrap();
        assert!(owner_lock.is_some());
        assert!(try_lock(&state_dir).unwrap().is_none());
        drop(owner_lock);
        assert!(try_lock(&state_dir).unwrap().is_some());
        let first_calls_lock = lock_calls_if_idle(&state_dir).unwrap();
        assert!(first_calls_lock.is_some() && lock_calls_if_idle(&state_dir).unwrap().is_none());
        let second_calls_lock = share_calls_lock(&state_dir).unwrap();
        drop(first_calls_lock);
        assert!(second_calls_lock.is_some() && lock_calls_if_idle(&state_dir).unwrap().is_none());
        drop(second_calls_lock);
        assert!(lock_calls_if_idle(&state_dir).unwrap().is_some());
        std::fs::remove_dir_all(state_dir).unwrap();
    }
}
