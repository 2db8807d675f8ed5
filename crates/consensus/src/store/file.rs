//! A journal in a folder: `journal` itself, `journal.new` while it is being replaced, and `lock`, which a process
//! holds as long as it has the store.

use super::journal::{Journal, Medium};
use super::{FileStore, StoreError};
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// A folder with a journal, held by a lock.
#[derive(Debug)]
pub struct FileMedium {
    folder: PathBuf,
    file: File,
    _lock: File,
}

impl FileStore {
    /// Opens the journal in a folder; both are made when they aren't there.
    ///
    /// # Errors
    /// When another process has it, the disk fails, or what is there isn't a sound journal of this version.
    pub fn open(folder: &Path) -> Result<FileStore, StoreError> {
        Journal::on(FileMedium::open(folder)?)
    }
}

impl FileMedium {
    /// Takes the lock of a folder and opens its journal's file; both are made when they aren't there.
    ///
    /// # Errors
    /// When another process has it or the disk fails.
    pub fn open(folder: &Path) -> Result<FileMedium, StoreError> {
        let disk = |what| move |error| StoreError::Disk { what, error };
        fs::create_dir_all(folder).map_err(disk("making the store's folder"))?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(folder.join("lock"));
        let lock = lock.map_err(disk("opening the store's lock"))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(StoreError::Locked),
            Err(TryLockError::Error(error)) => return Err(disk("locking the store")(error)),
        }
        match fs::remove_file(folder.join("journal.new")) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => {
                return Err(disk("removing a replacement that a crash left")(error));
            }
            _ => {}
        }
        let file = open(folder).map_err(disk("opening the journal"))?;
        Ok(FileMedium { folder: folder.to_owned(), file, _lock: lock })
    }
}

fn open(folder: &Path) -> io::Result<File> {
    OpenOptions::new().create(true).read(true).append(true).open(folder.join("journal"))
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
        let new = self.folder.join("journal.new");
        let mut file = File::create(&new)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&new, self.folder.join("journal"))?;
        File::open(&self.folder)?.sync_all()?;
        self.file = open(&self.folder)?;
        Ok(())
    }
}
