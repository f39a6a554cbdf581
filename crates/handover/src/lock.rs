//! The locks on the folder that lasts. Who holds the one owns what is in it; the other is shared by all that may have
//! calls out. The kernel frees them with their process.

use rustix::fs::{FlockOperation, flock};
use rustix::io::Errno;
use std::fs::{File, OpenOptions};
use std::io;
use std::path::Path;

/// The owner's file in the folder; always empty.
pub const OWNER_FILE: &str = "lock";
/// The file of those that may have calls out; always empty.
pub const CALLS_FILE: &str = "calls";

/// A lock that is held until it is dropped.
#[derive(Debug)]
pub struct Lock {
    _file: File,
}

/// Tries for the lock of a folder; none where another process holds it.
///
/// # Errors
/// Those of the file, and of a file system that knows no locks.
pub fn try_lock(folder: &Path) -> io::Result<Option<Lock>> {
    held(open(folder, OWNER_FILE)?, FlockOperation::NonBlockingLockExclusive)
}

/// Shares the calls' lock with whoever has calls out already; none where one is just looking whether anybody has.
///
/// # Errors
/// As for [`try_lock`].
pub fn share_calls_lock(folder: &Path) -> io::Result<Option<Lock>> {
    held(open(folder, CALLS_FILE)?, FlockOperation::NonBlockingLockShared)
}

/// The calls' lock where no other process may have calls out; none where one may.
///
/// # Errors
/// As for [`try_lock`].
pub fn lock_calls_if_idle(folder: &Path) -> io::Result<Option<Lock>> {
    let alone = held(open(folder, CALLS_FILE)?, FlockOperation::NonBlockingLockExclusive)?;
    alone.map_or(Ok(None), |lock| held(lock._file, FlockOperation::NonBlockingLockShared))
}

/// Whether an error tells that the file system knows no locks; any other may pass.
pub fn is_unsupported(error: &io::Error) -> bool {
    let code = error.raw_os_error().map(Errno::from_raw_os_error);
    matches!(code, Some(Errno::NOLCK | Errno::NOTSUP | Errno::NOSYS | Errno::INVAL))
}

/// Opens the file of a lock. One that is there is opened on a disk without room too.
fn open(folder: &Path, name: &str) -> io::Result<File> {
    let path = folder.join(name);
    match OpenOptions::new().write(true).open(&path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => {
            OpenOptions::new().create(true).truncate(false).write(true).open(&path)
        }
        opened => opened,
    }
}

fn held(file: File, how: FlockOperation) -> io::Result<Option<Lock>> {
    match flock(&file, how) {
        Ok(()) => Ok(Some(Lock { _file: file })),
        Err(Errno::WOULDBLOCK) => Ok(None),
        Err(error) => Err(error.into()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_holds_it_until_it_is_dropped() {
        let folder = std::env::temp_dir().join(format!("fawnspoke-lock-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let held = try_lock(&folder).unwrap();
        assert!(held.is_some());
        assert!(try_lock(&folder).unwrap().is_none());
        drop(held);
        assert!(try_lock(&folder).unwrap().is_some());
        let first = lock_calls_if_idle(&folder).unwrap();
        assert!(first.is_some() && lock_calls_if_idle(&folder).unwrap().is_none());
        let second = share_calls_lock(&folder).unwrap();
        drop(first);
        assert!(second.is_some() && lock_calls_if_idle(&folder).unwrap().is_none());
        drop(second);
        assert!(lock_calls_if_idle(&folder).unwrap().is_some());
        std::fs::remove_dir_all(folder).unwrap();
    }
}
