//! A journal in a directory: the file `journal`, the file `journal.new` during a replacement, and the file `lock`,
//! which the process that uses the store keeps locked.

use super::journal::{Journal, Medium};
use super::{FileStore, StoreError};
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// A directory with a journal, held by a lock.
#[derive(Debug)]
pub struct FileMedium {
    directory: PathBuf,
    file: File,
    _lock: File,
}

impl FileStore {
    /// Opens the journal in a directory. Both are created if they do not exist.
    ///
    /// # Errors
    /// If another process uses the store, the disk fails, or the content is not a valid journal of the supported
    /// version.
    pub fn open(directory: &Path) -> Result<FileStore, StoreError> {
        Journal::with_medium(FileMedium::open(directory)?)
    }
}

impl FileMedium {
    /// Locks a directory and opens the journal file in it. Both are created if they do not exist.
    ///
    /// # Errors
    /// If another process uses the store, or the disk fails.
    pub fn open(directory: &Path) -> Result<FileMedium, StoreError> {
        let disk_error = |operation| move |error| StoreError::Disk { operation, error };
        fs::create_dir_all(directory).map_err(disk_error("creating the store's directory"))?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(directory.join("lock"));
        let lock = lock.map_err(disk_error("opening the store's lock file"))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(StoreError::Locked),
            Err(TryLockError::Error(error)) => return Err(disk_error("locking the store")(error)),
        }
        match fs::remove_file(directory.join("journal.new")) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => {
                return Err(disk_error("removing the journal.new file of an interrupted replacement")(error));
            }
            _ => {}
        }
        let file = open(directory).map_err(disk_error("opening the journal"))?;
        Ok(FileMedium { directory: directory.to_owned(), file, _lock: lock })
    }
}

fn open(directory: &Path) -> io::Result<File> {
    OpenOptions::new().create(true).read(true).append(true).open(directory.join("journal"))
}

impl Medium for FileMedium {
    fn read(&mut self) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        self.file.read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.write_all(bytes)
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.file.set_len(length)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.file.sync_data()
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        let new = self.directory.join("journal.new");
        let mut file = File::create(&new)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&new, self.directory.join("journal"))?;
        File::open(&self.directory)?.sync_all()?;
        self.file = open(&self.directory)?;
        Ok(())
    }
}
