//! The file in which orders outlast the process.

use crate::orders::{ORDERS_MOST, Orders};
use crate::protocol::ID_MOST;
use std::fs;
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};

/// Its name in the folder that lasts.
pub const FILE: &str = "orders.json";
const NEXT: &str = "orders.json.next";
/// Bytes of an order beside its id.
const ENTRY: usize = 64;

/// Bytes that the file may take on disk, with the one that is to replace it.
pub const BYTES_MOST: u64 = 2 * (ORDERS_MOST * (ID_MOST + ENTRY)) as u64;

/// The file of one dispatcher.
#[derive(Clone, Debug)]
pub struct File {
    folder: PathBuf,
}

impl File {
    /// The file in this folder.
    pub fn new(folder: &Path) -> File {
        File { folder: folder.to_path_buf() }
    }

    /// The orders on record; none where there is no file.
    ///
    /// # Errors
    /// Where it is there and can't be read: orders that hold would not be known.
    pub fn read(&self) -> Result<Orders, String> {
        let path = self.folder.join(FILE);
        match fs::read(&path) {
            Ok(bytes) => Orders::from_record(&bytes).map_err(|error| format!("{}: {error}", path.display())),
            Err(error) if error.kind() == ErrorKind::NotFound => Ok(Orders::default()),
            Err(error) => Err(format!("{}: {error}", path.display())),
        }
    }

    /// Replaces the file at one go. It outlasts the process, not the machine, as the journal does.
    ///
    /// # Errors
    /// Those of the folder; the file is as it was then.
    pub fn write(&self, orders: &Orders) -> io::Result<()> {
        let next = self.folder.join(NEXT);
        fs::write(&next, orders.record())?;
        fs::rename(next, self.folder.join(FILE))
    }
}
