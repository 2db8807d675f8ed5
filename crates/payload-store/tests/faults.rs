//! A disk that fails in every way it can, and files that are changed behind the store's back.

use calicolb_payload_store::store::{Disk, Done, Fault, Folder, Plain, SEGMENT, Store, Task, Thread};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

/// A folder for a test, removed after it.
struct Base(PathBuf);

impl Base {
    fn new() -> Base {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let nr = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("calicolb-bodies-test-{}-{nr}", std::process::id()));
        fs::create_dir_all(&path).expect("a folder is made");
        Base(path)
    }

    fn store<D: Disk>(&self, disk: D) -> Store<D> {
        Store::new(Folder::open(&self.0).expect("the folder can be used").0, disk)
    }

    /// The files of bodies below it.
    fn files(&self) -> Vec<PathBuf> {
        let below =
            |path: &Path| fs::read_dir(path).into_iter().flatten().flatten().map(|entry| entry.path());
        let folders = below(&self.0).filter(|path| path.is_dir()).collect::<Vec<_>>();
        folders.iter().flat_map(|folder| below(folder)).filter(|path| !path.ends_with("lock")).collect()
    }
}

impl Drop for Base {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Fails from the n-th write on, after writing a part of it.
struct Full {
    left: usize,
    part: usize,
}

impl Disk for Full {
    fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        if self.left == 0 {
            file.write_all(&bytes[..self.part.min(bytes.len())])?;
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.left -= 1;
        file.write_all(bytes)
    }
}

fn body(length: usize) -> Vec<u8> {
    (0..length).map(|nr| (nr * 31 % 251) as u8).collect()
}

fn back<D: Disk>(store: &mut Store<D>, id: u64) -> Result<Vec<u8>, Fault> {
    let mut bytes = Vec::new();
    store.read(id, |part| bytes.extend_from_slice(part)).map(|()| bytes)
}

#[test]
fn a_body_comes_back_as_it_went_in_as_often_as_it_is_asked_for() {
    let base = Base::new();
    let mut store = base.store(Plain);
    for (id, length) in [(1, 0), (2, 1), (3, SEGMENT), (4, 3 * SEGMENT + 7)] {
        store.append(id, &body(length)).expect("the disk is sound");
        store.append(id, b"and more").expect("the disk is sound");
        let whole = [&body(length)[..], b"and more"].concat();
        assert_eq!(back(&mut store, id).expect("it is there"), whole);
        assert_eq!(back(&mut store, id).expect("it still is"), whole);
    }
    assert_eq!(base.files().len(), 4);
    store.remove(3);
    assert!(matches!(back(&mut store, 3), Err(Fault::Unknown(3))));
    assert_eq!((base.files().len(), store.len()), (3, 3));
    drop(store);
    assert!(base.files().is_empty());
}

#[test]
fn wherever_the_disk_is_full_a_body_is_whole_or_gone_and_the_others_stay() {
    for left in 0..6 {
        for part in [0, 5, 12, 4_000] {
            let base = Base::new();
            let mut store = base.store(Full { left, part });
            let mut failed = 0;
            for id in 1..=3 {
                if store.append(id, &body(2 * SEGMENT)).is_err() {
                    failed += 1;
                    assert!(matches!(back(&mut store, id), Err(Fault::Unknown(_))));
                } else {
                    assert_eq!(back(&mut store, id).expect("it is whole"), body(2 * SEGMENT));
                }
            }
            assert_eq!(failed, 3 - left / 2, "full at write {left}");
            assert_eq!(base.files().len(), left / 2, "nothing is left of what failed");
        }
    }
}

#[test]
fn what_was_changed_or_cut_behind_its_back_is_never_given_as_whole() {
    let whole = body(SEGMENT + 100);
    for at in [0, 3, 4, 8, 12, 5_000, SEGMENT + 12, SEGMENT + 20, SEGMENT + 40] {
        let base = Base::new();
        let mut store = base.store(Plain);
        store.append(7, &whole).expect("the disk is sound");
        let path = base.files().remove(0);
        let mut bytes = fs::read(&path).expect("it is there");
        bytes[at] ^= 1;
        fs::write(&path, &bytes).expect("it can be changed");
        assert!(matches!(back(&mut store, 7), Err(Fault::Changed { .. })), "changed at {at}");
    }
    for length in [0, 11, 12, SEGMENT, SEGMENT + 12, SEGMENT + 100] {
        let base = Base::new();
        let mut store = base.store(Plain);
        store.append(7, &whole).expect("the disk is sound");
        let file = fs::OpenOptions::new().write(true).open(base.files().remove(0)).expect("it is there");
        file.set_len(length as u64).expect("it can be cut");
        assert!(matches!(back(&mut store, 7), Err(Fault::Changed { .. })), "cut at {length}");
    }
    let base = Base::new();
    let mut store = base.store(Plain);
    store.append(7, &whole).expect("the disk is sound");
    let mut file = fs::OpenOptions::new().append(true).open(base.files().remove(0)).expect("it is there");
    file.write_all(b"more").expect("it can grow");
    assert!(matches!(back(&mut store, 7), Err(Fault::Changed { segment: 2, .. })));
}

#[test]
fn a_folder_that_is_not_there_or_goes_is_told_by_its_name() {
    let base = Base::new();
    let nowhere = base.0.join("nowhere");
    let told = Folder::open(&nowhere).expect_err("it is not there").to_string();
    assert!(told.contains("nowhere"), "{told}");
    let mut store = base.store(Plain);
    store.append(1, b"one").expect("the disk is sound");
    fs::remove_dir_all(&base.0).expect("it can go");
    assert!(matches!(store.append(2, b"two"), Err(Fault::Disk { .. })));
    // What is open is still there, and its space comes back when it is closed.
    assert_eq!(back(&mut store, 1).expect("it is open"), b"one");
    store.remove(1);
    assert!(store.is_empty());
}

#[test]
fn left_overs_of_who_has_gone_are_removed_and_the_living_are_left_alone() {
    let base = Base::new();
    let mut living = base.store(Plain);
    living.append(1, b"mine").expect("the disk is sound");
    let dead = base.0.join("bodies-1-0");
    fs::create_dir(&dead).expect("left-overs are made");
    fs::write(dead.join("0000000000000001"), b"old").expect("left-overs are made");
    fs::write(dead.join("lock"), b"").expect("left-overs are made");
    let other = base.0.join("not ours");
    fs::create_dir(&other).expect("a folder is made");
    let (_folder, removed) = Folder::open(&base.0).expect("the folder can be used");
    assert_eq!(removed, 1);
    assert!(!dead.exists() && other.exists());
    assert_eq!(back(&mut living, 1).expect("it is there"), b"mine");
}

#[test]
fn the_thread_does_what_it_is_told_and_takes_no_more_than_may_wait() {
    let base = Base::new();
    let thread = Thread::start(base.store(Full { left: 3, part: 1 }), 4, || ());
    thread.give(Task::Append(1, body(2 * SEGMENT))).expect("there is room");
    assert!(matches!(thread.wait(), Some(Done::Appended(1))));
    thread.give(Task::Read(1)).expect("there is room");
    let mut bytes = Vec::new();
    loop {
        match thread.wait() {
            Some(Done::Part(1, part)) => bytes.extend(part),
            Some(Done::Whole(1)) => break,
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(bytes, body(2 * SEGMENT));
    thread.give(Task::Append(2, body(2 * SEGMENT))).expect("there is room");
    assert!(matches!(thread.wait(), Some(Done::Failed(2, Fault::Disk { .. }))));
    thread.give(Task::Remove(1)).expect("there is room");
    thread.give(Task::Read(1)).expect("there is room");
    assert!(matches!(thread.wait(), Some(Done::Failed(1, Fault::Unknown(1)))));
    drop(thread);
    assert!(base.files().is_empty());
}
