//! The file in which overrides outlast the process.

use crate::overrides::{MAX_OVERRIDES, Overrides};
use crate::protocol::MAX_ID_BYTES;
use std::fs;
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};

/// Its name in the folder that lasts.
pub const FILE_NAME: &str = "orders.json";
const NEXT: &str = "orders.json.next";
/// Bytes of an order beside its id.
const ENTRY: usize = 64;

/// Bytes that the file may take on disk, with the one that is to replace it.
pub const MAX_DISK_BYTES: u64 = 2 * (MAX_OVERRIDES * (MAX_ID_BYTES + ENTRY)) as u64;

/// The file of one dispatcher.
#[derive(Clone, Debug)]
pub struct OverrideFile {
    folder: PathBuf,
}

impl OverrideFile {
    /// The file in this folder.
    pub fn new(folder: &Path) -> OverrideFile {
        OverrideFile { folder: folder.to_path_buf() }
    }

    /// The overrides on record; none where there is no file.
    ///
    /// # Errors
    /// Where it is there and can't be read: overrides that hold would not be known.
    pub fn load(&self) -> Result<Overrides, String> {
        let path = self.folder.join(FILE_NAME);
        match fs::read(&path) {
            Ok(bytes) => Overrides::from_json(&bytes).map_err(|error| format!("{}: {error}", path.display())),
            Err(error) if error.kind() == ErrorKind::NotFound => Ok(Overrides::default()),
            Err(error) => Err(format!("{}: {error}", path.display())),
        }
    }

    /// Replaces the file at one go. It outlasts the process, not the machine, as the journal does.
    ///
    /// # Errors
    /// Those of the folder; the file is as it was then.
    pub fn save(&self, overrides: &Overrides) -> io::Result<()> {
        let next = self.folder.join(NEXT);
        fs::write(&next, overrides.to_json())?;
        fs::rename(next, self.folder.join(FILE_NAME))
    }
}
