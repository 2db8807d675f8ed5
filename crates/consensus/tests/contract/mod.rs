//! What every store of a voter has to keep, as claims that any implementation can be put to. A claim returns what
//! broke it, so that broken implementations can be shown to break it.

use calicolb_consensus::store::{Store, StoreError};

/// One kind of store with the disk under it.
pub trait Rig {
    /// The kind of store.
    type Store: Store;
    /// Opens what is on the disk.
    fn open(&self) -> Result<Self::Store, StoreError>;
    /// What is on the disk.
    fn bytes(&self) -> Vec<u8>;
    /// Puts something else there.
    fn set_bytes(&self, bytes: &[u8]);
    /// Whether syncs fail from now on.
    fn fail_syncs(&self, fail: bool);
    /// How many bytes the disk takes.
    fn set_capacity(&self, bytes: Option<usize>);
    /// Loses what isn't durable but for some bytes of it. No store is open then.
    fn crash(&self, kept: usize);
}

pub type Verdict = Result<(), String>;
pub type Claim<R> = fn(&R) -> Verdict;

/// Every claim by its name.
pub fn claims<R: Rig>() -> Vec<(&'static str, Claim<R>)> {
    vec![
        ("reopen gives back all", reopen),
        ("durable at the return", durable),
        ("torn tail", torn),
        ("flipped bit", flipped),
        ("moved batch", moved),
        ("failed sync", failed_sync),
        ("disk full", disk_full),
        ("replacement is whole", replacement),
        ("unknown version", unknown_version),
        ("locked", locked),
    ]
}

/// Puts a kind of store to every claim; each gets a fresh disk.
pub fn uphold<R: Rig>(fresh: impl Fn() -> R) {
    let broken: Vec<_> =
        claims::<R>().into_iter().filter_map(|(name, claim)| Some((name, claim(&fresh()).err()?))).collect();
    assert!(broken.is_empty(), "{broken:?}");
}

fn batch(i: usize) -> Vec<u8> {
    format!("batch {i} {}", "x".repeat(i * 3)).into_bytes()
}

fn ok<T, E: std::fmt::Debug>(what: &str, result: Result<T, E>) -> Result<T, String> {
    result.map_err(|error| format!("{what}: {error:?}"))
}

fn ensure(holds: bool, what: impl FnOnce() -> String) -> Verdict {
    if holds { Ok(()) } else { Err(what()) }
}

fn write<R: Rig>(rig: &R, batches: std::ops::Range<usize>) -> Verdict {
    let mut store = ok("open", rig.open())?;
    ok("load", store.load())?;
    batches.into_iter().try_for_each(|i| ok("append", store.append(&batch(i))))
}

fn read<R: Rig>(rig: &R) -> Result<Vec<Vec<u8>>, String> {
    ok("load", ok("open", rig.open())?.load())
}

fn expect<R: Rig>(rig: &R, batches: std::ops::Range<usize>, when: &str) -> Verdict {
    let found = read(rig)?;
    let expected: Vec<_> = batches.map(batch).collect();
    ensure(found == expected, || format!("{when}: {} batches of {}, or others", found.len(), expected.len()))
}

fn reopen<R: Rig>(rig: &R) -> Verdict {
    expect(rig, 0..0, "new")?;
    write(rig, 0..3)?;
    expect(rig, 0..3, "reopened")?;
    write(rig, 3..5)?;
    expect(rig, 0..5, "reopened and gone on")
}

fn durable<R: Rig>(rig: &R) -> Verdict {
    write(rig, 0..3)?;
    rig.crash(0);
    expect(rig, 0..3, "after a crash")
}

fn torn<R: Rig>(rig: &R) -> Verdict {
    write(rig, 0..3)?;
    let before = rig.bytes();
    write(rig, 3..4)?;
    let whole = rig.bytes();
    for cut in 0..=whole.len() {
        rig.set_bytes(&whole[..cut]);
        let found = read(rig).map_err(|error| format!("cut at {cut}: {error}"))?;
        let all = (0..4).map(batch).collect::<Vec<_>>();
        ensure(all.starts_with(&found), || format!("cut at {cut}: something that was never written"))?;
        let least = if cut == whole.len() { 4 } else { 3 };
        ensure(cut < before.len() || found.len() == least, || {
            format!("cut at {cut}: {} batches", found.len())
        })?;
        write(rig, 4..5)?;
        let again = read(rig)?;
        let expected: Vec<_> = found.into_iter().chain([batch(4)]).collect();
        ensure(again == expected, || format!("cut at {cut}: what came after it isn't there"))?;
    }
    Ok(())
}

fn flipped<R: Rig>(rig: &R) -> Verdict {
    write(rig, 0..3)?;
    let whole = rig.bytes();
    for (at, bit) in (0..whole.len()).flat_map(|at| (0..8).map(move |bit| (at, bit))) {
        let mut bytes = whole.clone();
        bytes[at] ^= 1 << bit;
        rig.set_bytes(&bytes);
        let opened = rig.open().map(drop);
        ensure(opened.is_err(), || format!("bit {bit} of byte {at} flipped, and it opens"))?;
        ensure(rig.bytes() == bytes, || format!("bit {bit} of byte {at}: it was touched"))?;
    }
    rig.set_bytes(&whole);
    expect(rig, 0..3, "mended")
}

/// Two batches of one length that have changed places.
fn moved<R: Rig>(rig: &R) -> Verdict {
    let head = {
        let mut store = ok("open", rig.open())?;
        ok("load", store.load())?;
        let head = rig.bytes().len();
        ok("append", store.append(b"first"))?;
        ok("append", store.append(b"after"))?;
        head
    };
    let whole = rig.bytes();
    let half = head + (whole.len() - head) / 2;
    let bytes = [&whole[..head], &whole[half..], &whole[head..half]].concat();
    rig.set_bytes(&bytes);
    ensure(rig.open().is_err(), || "two batches changed places, and it opens".to_owned())?;
    ensure(rig.bytes() == bytes, || "it was touched".to_owned())
}

/// After a failure the store refuses; what was there before is there, what it refused isn't.
fn refuses_after<R: Rig>(rig: &R, fail: impl Fn(bool), what: &str) -> Verdict {
    write(rig, 0..2)?;
    {
        let mut store = ok("open", rig.open())?;
        ok("load", store.load())?;
        fail(true);
        ensure(store.append(&batch(2)).is_err(), || format!("{what}, and the batch is said to be durable"))?;
        fail(false);
        ensure(store.append(&batch(3)).is_err(), || format!("{what}, and the store goes on"))?;
        ensure(store.replace(&batch(3)).is_err(), || format!("{what}, and the store takes a replacement"))?;
    }
    rig.crash(0);
    let found = read(rig)?;
    let (two, three) = ((0..2).map(batch).collect::<Vec<_>>(), (0..3).map(batch).collect::<Vec<_>>());
    ensure(found == two || found == three, || format!("{what}: {} batches afterwards", found.len()))?;
    write(rig, 9..10)
}

fn failed_sync<R: Rig>(rig: &R) -> Verdict {
    refuses_after(rig, |fail| rig.fail_syncs(fail), "a sync failed")
}

fn disk_full<R: Rig>(rig: &R) -> Verdict {
    let room = |full: bool| rig.set_capacity(full.then(|| rig.bytes().len() + 5));
    refuses_after(rig, room, "the disk is full")
}

fn replacement<R: Rig>(rig: &R) -> Verdict {
    write(rig, 0..3)?;
    {
        let mut store = ok("open", rig.open())?;
        rig.fail_syncs(true);
        ensure(store.replace(&batch(7)).is_err(), || {
            "a replacement failed and is said to be durable".to_owned()
        })?;
        rig.fail_syncs(false);
        ensure(store.append(&batch(3)).is_err(), || {
            "a replacement failed, and the store goes on".to_owned()
        })?;
    }
    rig.crash(0);
    expect(rig, 0..3, "after a replacement that failed")?;
    {
        let mut store = ok("open", rig.open())?;
        ok("replace", store.replace(&batch(7)))?;
        ok("append", store.append(&batch(8)))?;
    }
    rig.crash(0);
    expect(rig, 7..9, "after a replacement")
}

fn unknown_version<R: Rig>(rig: &R) -> Verdict {
    write(rig, 0..2)?;
    let mut bytes = rig.bytes();
    bytes[8..12].copy_from_slice(&2_u32.to_le_bytes());
    let sum = crc32c::crc32c(&bytes[..12]);
    bytes[12..16].copy_from_slice(&sum.to_le_bytes());
    rig.set_bytes(&bytes);
    let error = rig.open().map(drop).err();
    ensure(matches!(error, Some(StoreError::Version { found: 2, supported: 1 })), || {
        format!("opened: {error:?}")
    })?;
    ensure(rig.bytes() == bytes, || "it was touched".to_owned())
}

fn locked<R: Rig>(rig: &R) -> Verdict {
    let first = ok("open", rig.open())?;
    let second = rig.open().map(drop).err();
    ensure(matches!(second, Some(StoreError::Locked)), || format!("opened twice: {second:?}"))?;
    drop(first);
    ok("open after the first was closed", rig.open()).map(drop)
}
