//! The file store with a failing disk, and with files that another process changes, truncates or removes.

use calicolb_payload_store::file_store::{
    Disk, FileStore, ProcessDirectory, RealDisk, SEGMENT_SIZE, StoreError, StoreResult, StoreTask,
    StoreThread,
};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

/// A temporary directory that is removed when the test ends.
struct TestDirectory(PathBuf);

impl TestDirectory {
    fn new() -> TestDirectory {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let path =
            std::env::temp_dir().join(format!("calicolb-payload-store-test-{}-{number}", std::process::id()));
        fs::create_dir_all(&path).expect("the directory can be created");
        TestDirectory(path)
    }

    fn store<D: Disk>(&self, disk: D) -> FileStore<D> {
        FileStore::new(ProcessDirectory::open(&self.0).expect("the process directory can be opened").0, disk)
    }

    /// The payload files in all process directories below it.
    fn payload_files(&self) -> Vec<PathBuf> {
        let entries_of =
            |path: &Path| fs::read_dir(path).into_iter().flatten().flatten().map(|entry| entry.path());
        let directories = entries_of(&self.0).filter(|path| path.is_dir()).collect::<Vec<_>>();
        directories
            .iter()
            .flat_map(|directory| entries_of(directory))
            .filter(|path| !path.ends_with("lock"))
            .collect()
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A disk that is full after `writes_left` writes; the failing write still writes up to `partial_bytes` bytes.
struct FullDisk {
    writes_left: usize,
    partial_bytes: usize,
}

impl Disk for FullDisk {
    fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        if self.writes_left == 0 {
            file.write_all(&bytes[..self.partial_bytes.min(bytes.len())])?;
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.writes_left -= 1;
        file.write_all(bytes)
    }
}

fn payload_bytes(length: usize) -> Vec<u8> {
    (0..length).map(|index| (index * 31 % 251) as u8).collect()
}

fn read_payload<D: Disk>(store: &mut FileStore<D>, id: u64) -> Result<Vec<u8>, StoreError> {
    let mut bytes = Vec::new();
    store.read(id, |segment| bytes.extend_from_slice(segment)).map(|()| bytes)
}

#[test]
fn payload_can_be_read_back_repeatedly_and_is_removed_on_request() {
    let directory = TestDirectory::new();
    let mut store = directory.store(RealDisk);
    for (id, length) in [(1, 0), (2, 1), (3, SEGMENT_SIZE), (4, 3 * SEGMENT_SIZE + 7)] {
        store.append(id, &payload_bytes(length)).expect("the payload can be written");
        store.append(id, b"and more").expect("the payload can be written");
        let expected = [&payload_bytes(length)[..], b"and more"].concat();
        assert_eq!(read_payload(&mut store, id).expect("the payload can be read"), expected);
        assert_eq!(read_payload(&mut store, id).expect("the payload can be read again"), expected);
    }
    assert_eq!(directory.payload_files().len(), 4);
    store.remove(3);
    assert!(matches!(read_payload(&mut store, 3), Err(StoreError::NotFound(3))));
    assert_eq!((directory.payload_files().len(), store.len()), (3, 3));
    drop(store);
    assert!(directory.payload_files().is_empty());
}

#[test]
fn full_disk_removes_the_failed_payload_and_keeps_the_others() {
    for writes_left in 0..6 {
        for partial_bytes in [0, 5, 12, 4_000] {
            let directory = TestDirectory::new();
            let mut store = directory.store(FullDisk { writes_left, partial_bytes });
            let mut failed = 0;
            for id in 1..=3 {
                if store.append(id, &payload_bytes(2 * SEGMENT_SIZE)).is_err() {
                    failed += 1;
                    assert!(matches!(read_payload(&mut store, id), Err(StoreError::NotFound(_))));
                } else {
                    assert_eq!(
                        read_payload(&mut store, id).expect("the payload is complete"),
                        payload_bytes(2 * SEGMENT_SIZE)
                    );
                }
            }
            assert_eq!(failed, 3 - writes_left / 2, "disk full at write {writes_left}");
            assert_eq!(directory.payload_files().len(), writes_left / 2, "failed payloads leave no files");
        }
    }
}

#[test]
fn changed_truncated_or_extended_file_is_reported_as_corrupt() {
    let expected = payload_bytes(SEGMENT_SIZE + 100);
    for at in [0, 3, 4, 8, 12, 5_000, SEGMENT_SIZE + 12, SEGMENT_SIZE + 20, SEGMENT_SIZE + 40] {
        let directory = TestDirectory::new();
        let mut store = directory.store(RealDisk);
        store.append(7, &expected).expect("the payload can be written");
        let path = directory.payload_files().remove(0);
        let mut bytes = fs::read(&path).expect("the payload file can be read");
        bytes[at] ^= 1;
        fs::write(&path, &bytes).expect("the payload file can be changed");
        assert!(matches!(read_payload(&mut store, 7), Err(StoreError::Corrupt { .. })), "byte {at} changed");
    }
    for length in [0, 11, 12, SEGMENT_SIZE, SEGMENT_SIZE + 12, SEGMENT_SIZE + 100] {
        let directory = TestDirectory::new();
        let mut store = directory.store(RealDisk);
        store.append(7, &expected).expect("the payload can be written");
        let file = fs::OpenOptions::new()
            .write(true)
            .open(directory.payload_files().remove(0))
            .expect("the payload file can be opened");
        file.set_len(length as u64).expect("the payload file can be truncated");
        assert!(
            matches!(read_payload(&mut store, 7), Err(StoreError::Corrupt { .. })),
            "truncated to {length} bytes"
        );
    }
    let directory = TestDirectory::new();
    let mut store = directory.store(RealDisk);
    store.append(7, &expected).expect("the payload can be written");
    let mut file = fs::OpenOptions::new()
        .append(true)
        .open(directory.payload_files().remove(0))
        .expect("the payload file can be opened");
    file.write_all(b"more").expect("bytes can be appended");
    assert!(matches!(read_payload(&mut store, 7), Err(StoreError::Corrupt { segment: 2, .. })));
}

#[test]
fn missing_base_directory_is_named_in_the_error_and_removal_keeps_open_files_readable() {
    let directory = TestDirectory::new();
    let nowhere = directory.0.join("nowhere");
    let message =
        ProcessDirectory::open(&nowhere).expect_err("the base directory does not exist").to_string();
    assert!(message.contains("nowhere"), "{message}");
    let mut store = directory.store(RealDisk);
    store.append(1, b"one").expect("the payload can be written");
    fs::remove_dir_all(&directory.0).expect("the base directory can be removed");
    assert!(matches!(store.append(2, b"two"), Err(StoreError::Io { .. })));
    // The file is still open, so its contents stay readable; its space is freed when it is closed.
    assert_eq!(read_payload(&mut store, 1).expect("the file is still open"), b"one");
    store.remove(1);
    assert!(store.is_empty());
}

#[test]
fn directories_of_ended_processes_are_removed_and_those_of_running_processes_stay() {
    let directory = TestDirectory::new();
    let mut running = directory.store(RealDisk);
    running.append(1, b"mine").expect("the payload can be written");
    let leftover = directory.0.join("bodies-1-0");
    fs::create_dir(&leftover).expect("the leftover directory can be created");
    fs::write(leftover.join("0000000000000001"), b"old").expect("the leftover directory can be created");
    fs::write(leftover.join("lock"), b"").expect("the leftover directory can be created");
    let other = directory.0.join("not ours");
    fs::create_dir(&other).expect("the directory can be created");
    let (_directory, removed) =
        ProcessDirectory::open(&directory.0).expect("the process directory can be opened");
    assert_eq!(removed, 1);
    assert!(!leftover.exists() && other.exists());
    assert_eq!(read_payload(&mut running, 1).expect("the payload can be read"), b"mine");
}

#[test]
fn thread_reports_each_result_and_removes_its_files_on_drop() {
    let directory = TestDirectory::new();
    let thread = StoreThread::start(directory.store(FullDisk { writes_left: 3, partial_bytes: 1 }), 4, || ());
    thread
        .try_submit(StoreTask::Append(1, payload_bytes(2 * SEGMENT_SIZE)))
        .expect("the task queue has room");
    assert!(matches!(thread.wait_for_result(), Some(StoreResult::Appended(1))));
    thread.try_submit(StoreTask::Read(1)).expect("the task queue has room");
    let mut bytes = Vec::new();
    loop {
        match thread.wait_for_result() {
            Some(StoreResult::Segment(1, segment)) => bytes.extend(segment),
            Some(StoreResult::ReadComplete(1)) => break,
            other => panic!("unexpected result of the read: {other:?}"),
        }
    }
    assert_eq!(bytes, payload_bytes(2 * SEGMENT_SIZE));
    thread
        .try_submit(StoreTask::Append(2, payload_bytes(2 * SEGMENT_SIZE)))
        .expect("the task queue has room");
    assert!(matches!(thread.wait_for_result(), Some(StoreResult::Failed(2, StoreError::Io { .. }))));
    thread.try_submit(StoreTask::Remove(1)).expect("the task queue has room");
    thread.try_submit(StoreTask::Read(1)).expect("the task queue has room");
    assert!(matches!(thread.wait_for_result(), Some(StoreResult::Failed(1, StoreError::NotFound(1)))));
    drop(thread);
    assert!(directory.payload_files().is_empty());
}
