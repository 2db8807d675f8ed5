//! Every store is put to the contract; and for each claim, an implementation that breaks it is caught.

mod contract;

use calicolb_consensus::store::{
    FileMedium, Journal, Medium, MemoryDisk, MemoryMedium, MemoryStore, Store, StoreError,
};
use contract::{Rig, claims, uphold};
use std::cell::Cell;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};

#[test]
fn memory_keeps_the_contract() {
    uphold(MemoryDisk::default);
}

#[test]
fn file_keeps_the_contract() {
    uphold(FileRig::new);
}

impl Rig for MemoryDisk {
    type Store = MemoryStore;
    fn open(&self) -> Result<MemoryStore, StoreError> {
        MemoryDisk::open(self)
    }
    fn bytes(&self) -> Vec<u8> {
        MemoryDisk::bytes(self)
    }
    fn set_bytes(&self, bytes: &[u8]) {
        MemoryDisk::set_bytes(self, bytes.to_vec());
    }
    fn fail_syncs(&self, fail: bool) {
        MemoryDisk::fail_syncs(self, fail);
    }
    fn set_capacity(&self, bytes: Option<usize>) {
        MemoryDisk::set_capacity(self, bytes);
    }
    fn crash(&self, kept: usize) {
        MemoryDisk::crash(self, kept);
    }
}

/// A folder that goes with its owner.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Folder {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let name = format!("agreed-{}-{}", std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed));
        Folder(std::env::temp_dir().join(name))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// What the disk under a file does.
#[derive(Default)]
struct Faults {
    sync_fails: Cell<bool>,
    capacity: Cell<Option<usize>>,
    durable: Cell<usize>,
}

/// The product's own file with a disk that may fail.
struct Faulty {
    file: FileMedium,
    folder: PathBuf,
    faults: Rc<Faults>,
}

fn journal(folder: &Path) -> PathBuf {
    folder.join("journal")
}

fn length(folder: &Path) -> usize {
    fs::metadata(journal(folder)).map_or(0, |data| data.len() as usize)
}

impl Medium for Faulty {
    fn read(&mut self) -> io::Result<Vec<u8>> {
        self.file.read()
    }
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let room =
            self.faults.capacity.get().map_or(usize::MAX, |all| all.saturating_sub(length(&self.folder)));
        self.file.append(&bytes[..bytes.len().min(room)])?;
        if bytes.len() > room { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }
    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.file.truncate(length)
    }
    fn sync(&mut self) -> io::Result<()> {
        if self.faults.sync_fails.get() {
            return Err(io::Error::other("the sync failed"));
        }
        self.file.sync()?;
        self.faults.durable.set(length(&self.folder));
        Ok(())
    }
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.faults.sync_fails.get() {
            fs::write(self.folder.join("journal.new"), &bytes[..bytes.len() / 2])?;
            return Err(io::Error::other("the sync failed"));
        }
        self.file.replace(bytes)?;
        self.faults.durable.set(length(&self.folder));
        Ok(())
    }
}

struct FileRig {
    folder: Folder,
    faults: Rc<Faults>,
}

impl FileRig {
    fn new() -> FileRig {
        FileRig { folder: Folder::new(), faults: Rc::default() }
    }
}

impl Rig for FileRig {
    type Store = Journal<Faulty>;
    fn open(&self) -> Result<Journal<Faulty>, StoreError> {
        let file = FileMedium::open(&self.folder.0)?;
        Journal::with_medium(Faulty { file, folder: self.folder.0.clone(), faults: self.faults.clone() })
    }
    fn bytes(&self) -> Vec<u8> {
        fs::read(journal(&self.folder.0)).unwrap()
    }
    fn set_bytes(&self, bytes: &[u8]) {
        fs::write(journal(&self.folder.0), bytes).unwrap();
        self.faults.durable.set(bytes.len());
    }
    fn fail_syncs(&self, fail: bool) {
        self.faults.sync_fails.set(fail);
    }
    fn set_capacity(&self, bytes: Option<usize>) {
        self.faults.capacity.set(bytes);
    }
    fn crash(&self, kept: usize) {
        let length = length(&self.folder.0).min(self.faults.durable.get() + kept);
        let bytes = self.bytes();
        self.set_bytes(&bytes[..length]);
    }
}

/// What is wrong with a store.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Defect {
    Forgets,
    NeverSyncs,
    SwallowsSync,
    SwallowsFull,
    GoesOn,
    NoSums,
    KeepsTorn,
    TearsReplacement,
    Overwrites,
    NoLock,
}

/// A journal in memory with a defect.
#[derive(Clone)]
struct Broken {
    disk: MemoryDisk,
    defect: Defect,
}

/// A medium with a defect; without the disk's lock when that is the defect.
struct Warped {
    held: Option<MemoryMedium>,
    rig: Broken,
}

struct Lax {
    journal: Journal<Warped>,
    defect: Defect,
    failed: bool,
}

/// Works out all checksums anew; `pad` makes a torn batch whole.
fn resum(mut bytes: Vec<u8>, pad: bool) -> Vec<u8> {
    if bytes.len() < 16 {
        return bytes;
    }
    let sum = crc32c::crc32c(&bytes[..12]);
    bytes[12..16].copy_from_slice(&sum.to_le_bytes());
    let mut at = 16;
    while bytes.len() >= at + 12 {
        let batch = u32::from_le_bytes(bytes[at..at + 4].try_into().unwrap()) as usize;
        let end = at + 12 + batch;
        if end > bytes.len() {
            if !pad || batch > 1_000 {
                break;
            }
            bytes.resize(end, 0);
        }
        let sum = crc32c::crc32c(&bytes[at + 12..end]);
        bytes[at + 4..at + 8].copy_from_slice(&sum.to_le_bytes());
        let sum = crc32c::crc32c_append(crc32c::crc32c(&(at as u64).to_le_bytes()), &bytes[at..at + 8]);
        bytes[at + 8..at + 12].copy_from_slice(&sum.to_le_bytes());
        at = end;
    }
    bytes
}

impl Medium for Warped {
    fn read(&mut self) -> io::Result<Vec<u8>> {
        let bytes = self.rig.disk.bytes();
        Ok(match self.rig.defect {
            Defect::NoSums => resum(bytes, false),
            Defect::KeepsTorn => resum(bytes, true),
            Defect::Overwrites if bytes.len() > 8 && bytes[8] != 1 => Vec::new(),
            _ => bytes,
        })
    }
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let Some(held) = &mut self.held else { return Ok(()) };
        let appended = held.append(bytes);
        if self.rig.defect == Defect::SwallowsFull { Ok(()) } else { appended }
    }
    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.held.as_mut().map_or(Ok(()), |held| held.truncate(length))
    }
    fn sync(&mut self) -> io::Result<()> {
        let Some(held) = self.held.as_mut().filter(|_| self.rig.defect != Defect::NeverSyncs) else {
            return Ok(());
        };
        let synced = held.sync();
        if self.rig.defect == Defect::SwallowsSync { Ok(()) } else { synced }
    }
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        let Some(held) = &mut self.held else { return Ok(()) };
        let replaced = held.replace(bytes);
        if replaced.is_err() && self.rig.defect == Defect::TearsReplacement {
            self.rig.disk.set_bytes(bytes[..bytes.len() / 2].to_vec());
        }
        replaced
    }
}

impl Store for Lax {
    fn load(&mut self) -> Result<Vec<Vec<u8>>, StoreError> {
        let batches = self.journal.load()?;
        Ok(if self.defect == Defect::Forgets { Vec::new() } else { batches })
    }
    fn append(&mut self, batch: &[u8]) -> Result<(), StoreError> {
        if self.failed && self.defect == Defect::GoesOn {
            return Ok(());
        }
        self.journal.append(batch).inspect_err(|_| self.failed = true)
    }
    fn replace(&mut self, batch: &[u8]) -> Result<(), StoreError> {
        self.journal.replace(batch)
    }
    fn bytes(&self) -> u64 {
        self.journal.bytes()
    }
}

impl Rig for Broken {
    type Store = Lax;
    fn open(&self) -> Result<Lax, StoreError> {
        let held = match MemoryMedium::open(&self.disk) {
            Err(StoreError::Locked) if self.defect == Defect::NoLock => None,
            held => Some(held?),
        };
        let journal = Journal::with_medium(Warped { held, rig: self.clone() })?;
        Ok(Lax { journal, defect: self.defect, failed: false })
    }
    fn bytes(&self) -> Vec<u8> {
        self.disk.bytes()
    }
    fn set_bytes(&self, bytes: &[u8]) {
        self.disk.set_bytes(bytes.to_vec());
    }
    fn fail_syncs(&self, fail: bool) {
        self.disk.fail_syncs(fail);
    }
    fn set_capacity(&self, bytes: Option<usize>) {
        self.disk.set_capacity(bytes);
    }
    fn crash(&self, kept: usize) {
        self.disk.crash(kept);
    }
}

#[test]
fn every_claim_catches_a_store_that_breaks_it() {
    let defects = [
        ("reopen gives back all", Defect::Forgets),
        ("durable at the return", Defect::NeverSyncs),
        ("torn tail", Defect::KeepsTorn),
        ("flipped bit", Defect::NoSums),
        ("moved batch", Defect::NoSums),
        ("failed sync", Defect::SwallowsSync),
        ("failed sync", Defect::GoesOn),
        ("disk full", Defect::SwallowsFull),
        ("replacement is whole", Defect::TearsReplacement),
        ("unknown version", Defect::Overwrites),
        ("locked", Defect::NoLock),
    ];
    for (name, claim) in claims::<Broken>() {
        let breakers: Vec<_> = defects.iter().filter(|(claim, _)| *claim == name).collect();
        assert!(!breakers.is_empty(), "nothing breaks '{name}'");
        for (_, defect) in breakers {
            let broken = claim(&Broken { disk: MemoryDisk::default(), defect: *defect });
            assert!(broken.is_err(), "'{name}' doesn't catch {defect:?}");
        }
    }
}
