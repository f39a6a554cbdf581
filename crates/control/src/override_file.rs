//! The file that persists the operator overrides.

use crate::overrides::{MAX_OVERRIDES, Overrides};
use crate::protocol::MAX_ID_BYTES;
use std::fs;
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};

/// The file's name in the state directory.
pub const FILE_NAME: &str = "orders.json";
const TEMPORARY_NAME: &str = "orders.json.next";
/// Bytes of an override in the file beside its id.
const ENTRY_OVERHEAD_BYTES: usize = 64;

/// Largest size on disk, in bytes, of the file together with its replacement during a save.
pub const MAX_DISK_BYTES: u64 = 2 * (MAX_OVERRIDES * (MAX_ID_BYTES + ENTRY_OVERHEAD_BYTES)) as u64;

/// The override file of one dispatcher.
#[derive(Clone, Debug)]
pub struct OverrideFile {
    state_dir: PathBuf,
}

impl OverrideFile {
    /// The file in the given state directory.
    pub fn new(state_dir: &Path) -> OverrideFile {
        OverrideFile { state_dir: state_dir.to_path_buf() }
    }

    /// Loads the overrides; none where there is no file.
    ///
    /// # Errors
    /// Where the file exists and can't be read. Taking it for empty would lose overrides in force without notice.
    pub fn load(&self) -> Result<Overrides, String> {
        let path = self.state_dir.join(FILE_NAME);
        match fs::read(&path) {
            Ok(bytes) => Overrides::from_json(&bytes).map_err(|error| format!("{}: {error}", path.display())),
            Err(error) if error.kind() == ErrorKind::NotFound => Ok(Overrides::default()),
            Err(error) => Err(format!("{}: {error}", path.display())),
        }
    }

    /// Replaces the file atomically. Like the journal, it is written to outlast the process, not a crash of the
    /// machine.
    ///
    /// # Errors
    /// I/O errors of the directory; the file is unchanged then.
    pub fn save(&self, overrides: &Overrides) -> io::Result<()> {
        let temporary = self.state_dir.join(TEMPORARY_NAME);
        fs::write(&temporary, overrides.to_json())?;
        fs::rename(temporary, self.state_dir.join(FILE_NAME))
    }
}
