//! The seam to the file system: all that the journal asks of it, so that tests can let each call fail.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, Write};
use std::path::{Path, PathBuf};

/// A folder of files that are only appended to.
pub trait Files {
    /// An open file.
    type Handle;

    /// Names and lengths in bytes of all files.
    ///
    /// # Errors
    /// Where the folder can't be read.
    fn list(&self) -> io::Result<Vec<(String, u64)>>;

    /// Bytes of a file from an offset on, up to so many; fewer where it ends before.
    ///
    /// # Errors
    /// Where it is not there or can't be read.
    fn read(&self, name: &str, from: u64, most: usize) -> io::Result<Vec<u8>>;

    /// A new file that is open for appending.
    ///
    /// # Errors
    /// Where it is there already, or can't be made.
    fn create(&self, name: &str) -> io::Result<Self::Handle>;

    /// Appends bytes; tells how many were written.
    ///
    /// # Errors
    /// Where none were.
    fn append(&self, handle: &mut Self::Handle, bytes: &[u8]) -> io::Result<usize>;

    /// Cuts a file to a length.
    ///
    /// # Errors
    /// Where it can't be cut; it is as it was then.
    fn truncate(&self, handle: &mut Self::Handle, length: u64) -> io::Result<()>;

    /// Waits until the file's bytes outlast the machine (fdatasync).
    ///
    /// # Errors
    /// Where that is not sure. Bytes that were not synced may be lost then even if a later call succeeds.
    fn sync(&self, handle: &Self::Handle) -> io::Result<()>;

    /// Waits until the folder's entries outlast the machine.
    ///
    /// # Errors
    /// Where that is not sure.
    fn sync_folder(&self) -> io::Result<()>;

    /// Removes a file. One that is not there is removed already.
    ///
    /// # Errors
    /// Where it is there still.
    fn remove(&self, name: &str) -> io::Result<()>;
}

/// A folder on disk.
#[derive(Clone, Debug)]
pub struct Disk {
    folder: PathBuf,
}

impl Disk {
    /// The files of a folder that is there.
    pub fn new(folder: &Path) -> Disk {
        Disk { folder: folder.to_path_buf() }
    }
}

impl Files for Disk {
    type Handle = File;

    fn list(&self) -> io::Result<Vec<(String, u64)>> {
        let mut files = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            let entry = entry?;
            let about = entry.metadata()?;
            // A name that is no text is none of ours.
            if let (true, Ok(name)) = (about.is_file(), entry.file_name().into_string()) {
                files.push((name, about.len()));
            }
        }
        files.sort();
        Ok(files)
    }

    fn read(&self, name: &str, from: u64, most: usize) -> io::Result<Vec<u8>> {
        let (mut file, mut bytes) = (File::open(self.folder.join(name))?, Vec::new());
        file.seek(io::SeekFrom::Start(from))?;
        file.take(most as u64).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn create(&self, name: &str) -> io::Result<File> {
        OpenOptions::new().append(true).create_new(true).open(self.folder.join(name))
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

    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        match fs::remove_file(self.folder.join(name)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }
}
