//! The lock on the folder that lasts: who holds it owns what is in it. The kernel frees it with its process.

use rustix::fs::{FlockOperation, flock};
use rustix::io::Errno;
use std::fs::{File, OpenOptions};
use std::io;
use std::path::Path;

/// Its file in the folder; always empty.
pub const FILE: &str = "lock";

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
    let file = OpenOptions::new().create(true).truncate(false).write(true).open(folder.join(FILE))?;
    match flock(&file, FlockOperation::NonBlockingLockExclusive) {
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
        std::fs::remove_dir_all(folder).unwrap();
    }
}
