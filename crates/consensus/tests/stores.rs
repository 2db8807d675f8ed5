//! Every store fulfils the contract, and each requirement of the contract rejects a defective store.

mod store_contract;

use calicolb_consensus::store::{
    FileMedium, Journal, Medium, MemoryDisk, MemoryMedium, MemoryStore, Store, StoreError,
};
use std::cell::Cell;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use store_contract::{StoreFixture, assert_contract, requirements};

#[test]
fn memory_store_keeps_the_contract() {
    assert_contract(MemoryDisk::default);
}

#[test]
fn file_store_keeps_the_contract() {
    assert_contract(FileFixture::new);
}

impl StoreFixture for MemoryDisk {
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
    fn crash(&self, kept_bytes: usize) {
        MemoryDisk::crash(self, kept_bytes);
    }
}

/// A directory that is removed on drop.
struct TempDirectory(PathBuf);

impl TempDirectory {
    fn new() -> TempDirectory {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let name = format!("consensus-{}-{}", std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed));
        TempDirectory(std::env::temp_dir().join(name))
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// The injected faults of the disk under a file.
#[derive(Default)]
struct Faults {
    sync_fails: Cell<bool>,
    capacity: Cell<Option<usize>>,
    durable_length: Cell<usize>,
}

/// A file medium on a disk with injected faults.
struct FaultyMedium {
    file: FileMedium,
    directory: PathBuf,
    faults: Rc<Faults>,
}

fn journal(directory: &Path) -> PathBuf {
    directory.join("journal")
}

fn length(directory: &Path) -> usize {
    fs::metadata(journal(directory)).map_or(0, |metadata| metadata.len() as usize)
}

impl Medium for FaultyMedium {
    fn read(&mut self) -> io::Result<Vec<u8>> {
        self.file.read()
    }
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let available = self
            .faults
            .capacity
            .get()
            .map_or(usize::MAX, |capacity| capacity.saturating_sub(length(&self.directory)));
        self.file.append(&bytes[..bytes.len().min(available)])?;
        if bytes.len() > available { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }
    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.file.truncate(length)
    }
    fn sync(&mut self) -> io::Result<()> {
        if self.faults.sync_fails.get() {
            return Err(io::Error::other("injected sync failure"));
        }
        self.file.sync()?;
        self.faults.durable_length.set(length(&self.directory));
        Ok(())
    }
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.faults.sync_fails.get() {
            fs::write(self.directory.join("journal.new"), &bytes[..bytes.len() / 2])?;
            return Err(io::Error::other("injected sync failure"));
        }
        self.file.replace(bytes)?;
        self.faults.durable_length.set(length(&self.directory));
        Ok(())
    }
}

struct FileFixture {
    directory: TempDirectory,
    faults: Rc<Faults>,
}

impl FileFixture {
    fn new() -> FileFixture {
        FileFixture { directory: TempDirectory::new(), faults: Rc::default() }
    }
}

impl StoreFixture for FileFixture {
    type Store = Journal<FaultyMedium>;
    fn open(&self) -> Result<Journal<FaultyMedium>, StoreError> {
        let file = FileMedium::open(&self.directory.0)?;
        Journal::with_medium(FaultyMedium {
            file,
            directory: self.directory.0.clone(),
            faults: self.faults.clone(),
        })
    }
    fn bytes(&self) -> Vec<u8> {
        fs::read(journal(&self.directory.0)).unwrap()
    }
    fn set_bytes(&self, bytes: &[u8]) {
        fs::write(journal(&self.directory.0), bytes).unwrap();
        self.faults.durable_length.set(bytes.len());
    }
    fn fail_syncs(&self, fail: bool) {
        self.faults.sync_fails.set(fail);
    }
    fn set_capacity(&self, bytes: Option<usize>) {
        self.faults.capacity.set(bytes);
    }
    fn crash(&self, kept_bytes: usize) {
        let length = length(&self.directory.0).min(self.faults.durable_length.get() + kept_bytes);
        let bytes = self.bytes();
        self.set_bytes(&bytes[..length]);
    }
}

/// A defect of a store.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Defect {
    Forgets,
    NeverSyncs,
    IgnoresSyncError,
    IgnoresFullDisk,
    ContinuesAfterFailure,
    IgnoresChecksums,
    KeepsIncompleteFrame,
    PartialReplacement,
    OverwritesUnknownVersion,
    IgnoresLock,
}

/// A journal in memory with a defect.
#[derive(Clone)]
struct DefectiveFixture {
    disk: MemoryDisk,
    defect: Defect,
}

/// A medium with a defect. `medium` is `None` if the defect is to ignore the disk's lock.
struct DefectiveMedium {
    medium: Option<MemoryMedium>,
    fixture: DefectiveFixture,
}

struct DefectiveStore {
    journal: Journal<DefectiveMedium>,
    defect: Defect,
    failed: bool,
}

/// Recomputes all checksums. With `pad_incomplete`, an incomplete frame is completed with zeros.
fn recompute_checksums(mut bytes: Vec<u8>, pad_incomplete: bool) -> Vec<u8> {
    if bytes.len() < 16 {
        return bytes;
    }
    let checksum = crc32c::crc32c(&bytes[..12]);
    bytes[12..16].copy_from_slice(&checksum.to_le_bytes());
    let mut offset = 16;
    while bytes.len() >= offset + 12 {
        let batch = u32::from_le_bytes(bytes[offset..offset + 4].try_into().unwrap()) as usize;
        let end = offset + 12 + batch;
        if end > bytes.len() {
            if !pad_incomplete || batch > 1_000 {
                break;
            }
            bytes.resize(end, 0);
        }
        let checksum = crc32c::crc32c(&bytes[offset + 12..end]);
        bytes[offset + 4..offset + 8].copy_from_slice(&checksum.to_le_bytes());
        let checksum =
            crc32c::crc32c_append(crc32c::crc32c(&(offset as u64).to_le_bytes()), &bytes[offset..offset + 8]);
        bytes[offset + 8..offset + 12].copy_from_slice(&checksum.to_le_bytes());
        offset = end;
    }
    bytes
}

impl Medium for DefectiveMedium {
    fn read(&mut self) -> io::Result<Vec<u8>> {
        let bytes = self.fixture.disk.bytes();
        Ok(match self.fixture.defect {
            Defect::IgnoresChecksums => recompute_checksums(bytes, false),
            Defect::KeepsIncompleteFrame => recompute_checksums(bytes, true),
            Defect::OverwritesUnknownVersion if bytes.len() > 8 && bytes[8] != 1 => Vec::new(),
            _ => bytes,
        })
    }
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let Some(medium) = &mut self.medium else { return Ok(()) };
        let appended = medium.append(bytes);
        if self.fixture.defect == Defect::IgnoresFullDisk { Ok(()) } else { appended }
    }
    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.medium.as_mut().map_or(Ok(()), |medium| medium.truncate(length))
    }
    fn sync(&mut self) -> io::Result<()> {
        let Some(medium) = self.medium.as_mut().filter(|_| self.fixture.defect != Defect::NeverSyncs) else {
            return Ok(());
        };
        let synced = medium.sync();
        if self.fixture.defect == Defect::IgnoresSyncError { Ok(()) } else { synced }
    }
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        let Some(medium) = &mut self.medium else { return Ok(()) };
        let replaced = medium.replace(bytes);
        if replaced.is_err() && self.fixture.defect == Defect::PartialReplacement {
            self.fixture.disk.set_bytes(bytes[..bytes.len() / 2].to_vec());
        }
        replaced
    }
}

impl Store for DefectiveStore {
    fn load(&mut self) -> Result<Vec<Vec<u8>>, StoreError> {
        let batches = self.journal.load()?;
        Ok(if self.defect == Defect::Forgets { Vec::new() } else { batches })
    }
    fn append(&mut self, batch: &[u8]) -> Result<(), StoreError> {
        if self.failed && self.defect == Defect::ContinuesAfterFailure {
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

impl StoreFixture for DefectiveFixture {
    type Store = DefectiveStore;
    fn open(&self) -> Result<DefectiveStore, StoreError> {
        let medium = match MemoryMedium::open(&self.disk) {
            Err(StoreError::Locked) if self.defect == Defect::IgnoresLock => None,
            medium => Some(medium?),
        };
        let journal = Journal::with_medium(DefectiveMedium { medium, fixture: self.clone() })?;
        Ok(DefectiveStore { journal, defect: self.defect, failed: false })
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
    fn crash(&self, kept_bytes: usize) {
        self.disk.crash(kept_bytes);
    }
}

#[test]
fn each_requirement_rejects_a_store_that_violates_it() {
    let defects = [
        ("a reopened store returns all batches", Defect::Forgets),
        ("appended batches survive a crash", Defect::NeverSyncs),
        ("an incomplete frame is removed", Defect::KeepsIncompleteFrame),
        ("a flipped bit is detected", Defect::IgnoresChecksums),
        ("a moved batch is detected", Defect::IgnoresChecksums),
        ("a store rejects writes after a failed sync", Defect::IgnoresSyncError),
        ("a store rejects writes after a failed sync", Defect::ContinuesAfterFailure),
        ("a store rejects writes after the disk was full", Defect::IgnoresFullDisk),
        ("a replacement is atomic", Defect::PartialReplacement),
        ("an unknown version is rejected", Defect::OverwritesUnknownVersion),
        ("a store in use is locked", Defect::IgnoresLock),
    ];
    for (name, requirement) in requirements::<DefectiveFixture>() {
        let matching_defects: Vec<_> =
            defects.iter().filter(|(requirement, _)| *requirement == name).collect();
        assert!(!matching_defects.is_empty(), "no defect violates '{name}'");
        for (_, defect) in matching_defects {
            let broken = requirement(&DefectiveFixture { disk: MemoryDisk::default(), defect: *defect });
            assert!(broken.is_err(), "'{name}' does not detect {defect:?}");
        }
    }
}
