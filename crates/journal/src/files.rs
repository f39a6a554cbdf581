//! The file-system abstraction: every operation that the journal needs, so that tests can inject a failure into each.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, Write};
use std::path::{Path, PathBuf};

/// A directory of append-only files.
pub trait Files {
    /// An open file.
    type Handle;

    /// Names and lengths in bytes of all files.
    ///
    /// # Errors
    /// If the directory can't be read.
    fn list(&self) -> io::Result<Vec<(String, u64)>>;

    /// Reads up to `max_bytes` bytes from an offset; fewer if the file ends earlier.
    ///
    /// # Errors
    /// If the file does not exist or can't be read.
    fn read(&self, name: &str, from: u64, max_bytes: usize) -> io::Result<Vec<u8>>;

    /// Creates a file and opens it for appending.
    ///
    /// # Errors
    /// If it already exists or can't be created.
    fn create(&self, name: &str) -> io::Result<Self::Handle>;

    /// Appends bytes and returns how many were written.
    ///
    /// # Errors
    /// If none were written.
    fn append(&self, handle: &mut Self::Handle, bytes: &[u8]) -> io::Result<usize>;

    /// Truncates a file to a length.
    ///
    /// # Errors
    /// If it can't be truncated; it is unchanged then.
    fn truncate(&self, handle: &mut Self::Handle, length: u64) -> io::Result<()>;

    /// Waits until the file's data is on disk (fdatasync).
    ///
    /// # Errors
    /// If that is not certain. Unsynced data may be lost then, even if a later call succeeds.
    fn sync(&self, handle: &Self::Handle) -> io::Result<()>;

    /// Waits until the directory's entries are on disk.
    ///
    /// # Errors
    /// If that is not certain.
    fn sync_directory(&self) -> io::Result<()>;

    /// Removes a file. Succeeds if the file does not exist.
    ///
    /// # Errors
    /// If the file still exists.
    fn remove(&self, name: &str) -> io::Result<()>;
}

/// A directory on disk.
#[derive(Clone, Debug)]
pub struct Disk {
    directory: PathBuf,
}

impl Disk {
    /// The files of an existing directory.
    pub fn new(directory: &Path) -> Disk {
        Disk { directory: directory.to_path_buf() }
    }
}

impl Files for Disk {
    type Handle = File;

    fn list(&self) -> io::Result<Vec<(String, u64)>> {
        let mut files = Vec::new();
        for entry in fs::read_dir(&self.directory)? {
            let entry = entry?;
            let metadata = entry.metadata()?;
            // Names that are not valid UTF-8 do not belong to the journal.
            if let (true, Ok(name)) = (metadata.is_file(), entry.file_name().into_string()) {
                files.push((name, metadata.len()));
            }
        }
        files.sort();
        Ok(files)
    }

    fn read(&self, name: &str, from: u64, max_bytes: usize) -> io::Result<Vec<u8>> {
        let (mut file, mut bytes) = (File::open(self.directory.join(name))?, Vec::new());
        file.seek(io::SeekFrom::Start(from))?;
        file.take(max_bytes as u64).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn create(&self, name: &str) -> io::Result<File> {
        OpenOptions::new().append(true).create_new(true).open(self.directory.join(name))
    }

    fn append(&self, handle: &mut File, bytes: &[u8]) -> io::Result<usize> {
        loop {
            match handle.write(bytes) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                written => return written,
            }
        }
    }

    fn truncate(&self, handle: &mut File, length: u64) -> io::Result<()> {
        handle.set_len(length)
    }

    fn sync(&self, handle: &File) -> io::Result<()> {
        handle.sync_data()
    }

    fn sync_directory(&self) -> io::Result<()> {
        File::open(&self.directory)?.sync_all()
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        match fs::remove_file(self.directory.join(name)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }
}
