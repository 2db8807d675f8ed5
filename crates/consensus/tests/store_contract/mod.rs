//! The contract that every store of a voter must fulfil, as requirements that any implementation can be tested for. A
//! requirement returns its violation, so that defective implementations can be shown to violate it.

use calicolb_consensus::store::{Store, StoreError};

/// A kind of store with the disk under it.
pub trait StoreFixture {
    /// The kind of store.
    type Store: Store;
    /// Opens the store on the disk.
    fn open(&self) -> Result<Self::Store, StoreError>;
    /// The content of the disk.
    fn bytes(&self) -> Vec<u8>;
    /// Replaces the content of the disk.
    fn set_bytes(&self, bytes: &[u8]);
    /// Sets whether syncs fail from now on.
    fn fail_syncs(&self, fail: bool);
    /// Sets the capacity of the disk in bytes, `None` for unlimited.
    fn set_capacity(&self, bytes: Option<usize>);
    /// Loses the bytes that are not durable, except for the first `kept`. No store may be open.
    fn crash(&self, kept: usize);
}

/// The violation of a requirement, if there is one.
pub type CheckResult = Result<(), String>;
/// A test of a store for one requirement.
pub type Requirement<R> = fn(&R) -> CheckResult;

/// All requirements with their names.
pub fn requirements<R: StoreFixture>() -> Vec<(&'static str, Requirement<R>)> {
    vec![
        ("a reopened store returns all batches", reopened_store_returns_all_batches),
        ("appended batches survive a crash", appended_batches_survive_a_crash),
        ("an incomplete frame is removed", incomplete_frame),
        ("a flipped bit is detected", flipped_bit),
        ("a moved batch is detected", moved_batch),
        ("a store rejects writes after a failed sync", failed_sync),
        ("a store rejects writes after the disk was full", disk_full),
        ("a replacement is atomic", replacement_is_atomic),
        ("an unknown version is rejected", unknown_version),
        ("a store in use is locked", locked),
    ]
}

/// Tests a kind of store for all requirements, each with a new disk.
pub fn assert_contract<R: StoreFixture>(fresh: impl Fn() -> R) {
    let broken: Vec<_> = requirements::<R>()
        .into_iter()
        .filter_map(|(name, requirement)| Some((name, requirement(&fresh()).err()?)))
        .collect();
    assert!(broken.is_empty(), "{broken:?}");
}

fn batch(i: usize) -> Vec<u8> {
    format!("batch {i} {}", "x".repeat(i * 3)).into_bytes()
}

fn with_context<T, E: std::fmt::Debug>(operation: &str, result: Result<T, E>) -> Result<T, String> {
    result.map_err(|error| format!("{operation}: {error:?}"))
}

fn check(condition: bool, message: impl FnOnce() -> String) -> CheckResult {
    if condition { Ok(()) } else { Err(message()) }
}

fn append_batches<R: StoreFixture>(fixture: &R, batches: std::ops::Range<usize>) -> CheckResult {
    let mut store = with_context("open", fixture.open())?;
    with_context("load", store.load())?;
    batches.into_iter().try_for_each(|i| with_context("append", store.append(&batch(i))))
}

fn load_batches<R: StoreFixture>(fixture: &R) -> Result<Vec<Vec<u8>>, String> {
    with_context("load", with_context("open", fixture.open())?.load())
}

fn expect_batches<R: StoreFixture>(
    fixture: &R,
    batches: std::ops::Range<usize>,
    context: &str,
) -> CheckResult {
    let found = load_batches(fixture)?;
    let expected: Vec<_> = batches.map(batch).collect();
    check(found == expected, || {
        format!("{context}: found {} batches instead of {}, or different ones", found.len(), expected.len())
    })
}

fn reopened_store_returns_all_batches<R: StoreFixture>(fixture: &R) -> CheckResult {
    expect_batches(fixture, 0..0, "new store")?;
    append_batches(fixture, 0..3)?;
    expect_batches(fixture, 0..3, "reopened store")?;
    append_batches(fixture, 3..5)?;
    expect_batches(fixture, 0..5, "store reopened twice")
}

fn appended_batches_survive_a_crash<R: StoreFixture>(fixture: &R) -> CheckResult {
    append_batches(fixture, 0..3)?;
    fixture.crash(0);
    expect_batches(fixture, 0..3, "after a crash")
}

fn incomplete_frame<R: StoreFixture>(fixture: &R) -> CheckResult {
    append_batches(fixture, 0..3)?;
    let before = fixture.bytes();
    append_batches(fixture, 3..4)?;
    let complete = fixture.bytes();
    for cut in 0..=complete.len() {
        fixture.set_bytes(&complete[..cut]);
        let found = load_batches(fixture).map_err(|error| format!("cut at {cut}: {error}"))?;
        let all = (0..4).map(batch).collect::<Vec<_>>();
        check(all.starts_with(&found), || format!("cut at {cut}: found a batch that was never written"))?;
        let expected_count = if cut == complete.len() { 4 } else { 3 };
        check(cut < before.len() || found.len() == expected_count, || {
            format!("cut at {cut}: found {} batches", found.len())
        })?;
        append_batches(fixture, 4..5)?;
        let reopened = load_batches(fixture)?;
        let expected: Vec<_> = found.into_iter().chain([batch(4)]).collect();
        check(reopened == expected, || format!("cut at {cut}: the batch appended afterwards is missing"))?;
    }
    Ok(())
}

fn flipped_bit<R: StoreFixture>(fixture: &R) -> CheckResult {
    append_batches(fixture, 0..3)?;
    let complete = fixture.bytes();
    for (offset, bit) in (0..complete.len()).flat_map(|offset| (0..8).map(move |bit| (offset, bit))) {
        let mut bytes = complete.clone();
        bytes[offset] ^= 1 << bit;
        fixture.set_bytes(&bytes);
        let opened = fixture.open().map(drop);
        check(opened.is_err(), || format!("the store opened with bit {bit} of byte {offset} flipped"))?;
        check(fixture.bytes() == bytes, || {
            format!("the store was modified although bit {bit} of byte {offset} was flipped")
        })?;
    }
    fixture.set_bytes(&complete);
    expect_batches(fixture, 0..3, "bits restored")
}

/// Exchanges two batches of the same length.
fn moved_batch<R: StoreFixture>(fixture: &R) -> CheckResult {
    let header_length = {
        let mut store = with_context("open", fixture.open())?;
        with_context("load", store.load())?;
        let header_length = fixture.bytes().len();
        with_context("append", store.append(b"first"))?;
        with_context("append", store.append(b"after"))?;
        header_length
    };
    let complete = fixture.bytes();
    let second_batch = header_length + (complete.len() - header_length) / 2;
    let bytes =
        [&complete[..header_length], &complete[second_batch..], &complete[header_length..second_batch]]
            .concat();
    fixture.set_bytes(&bytes);
    check(fixture.open().is_err(), || "the store opened with two batches exchanged".to_owned())?;
    check(fixture.bytes() == bytes, || "the store with exchanged batches was modified".to_owned())
}

/// After a failure, the store rejects writes. The batches before it are still there, rejected ones are not.
fn rejects_writes_after<R: StoreFixture>(fixture: &R, set_fault: impl Fn(bool), fault: &str) -> CheckResult {
    append_batches(fixture, 0..2)?;
    {
        let mut store = with_context("open", fixture.open())?;
        with_context("load", store.load())?;
        set_fault(true);
        check(store.append(&batch(2)).is_err(), || format!("{fault}, but the append succeeded"))?;
        set_fault(false);
        check(store.append(&batch(3)).is_err(), || format!("{fault}, but a later append succeeded"))?;
        check(store.replace(&batch(3)).is_err(), || format!("{fault}, but a later replacement succeeded"))?;
    }
    fixture.crash(0);
    let found = load_batches(fixture)?;
    let (two, three) = ((0..2).map(batch).collect::<Vec<_>>(), (0..3).map(batch).collect::<Vec<_>>());
    check(found == two || found == three, || format!("{fault}: {} batches after reopening", found.len()))?;
    append_batches(fixture, 9..10)
}

fn failed_sync<R: StoreFixture>(fixture: &R) -> CheckResult {
    rejects_writes_after(fixture, |fail| fixture.fail_syncs(fail), "a sync failed")
}

fn disk_full<R: StoreFixture>(fixture: &R) -> CheckResult {
    let set_full = |full: bool| fixture.set_capacity(full.then(|| fixture.bytes().len() + 5));
    rejects_writes_after(fixture, set_full, "the disk is full")
}

fn replacement_is_atomic<R: StoreFixture>(fixture: &R) -> CheckResult {
    append_batches(fixture, 0..3)?;
    {
        let mut store = with_context("open", fixture.open())?;
        fixture.fail_syncs(true);
        check(store.replace(&batch(7)).is_err(), || {
            "a replacement succeeded although syncs fail".to_owned()
        })?;
        fixture.fail_syncs(false);
        check(store.append(&batch(3)).is_err(), || {
            "an append succeeded after a failed replacement".to_owned()
        })?;
    }
    fixture.crash(0);
    expect_batches(fixture, 0..3, "after a failed replacement")?;
    {
        let mut store = with_context("open", fixture.open())?;
        with_context("replace", store.replace(&batch(7)))?;
        with_context("append", store.append(&batch(8)))?;
    }
    fixture.crash(0);
    expect_batches(fixture, 7..9, "after a replacement")
}

fn unknown_version<R: StoreFixture>(fixture: &R) -> CheckResult {
    append_batches(fixture, 0..2)?;
    let mut bytes = fixture.bytes();
    bytes[8..12].copy_from_slice(&2_u32.to_le_bytes());
    let sum = crc32c::crc32c(&bytes[..12]);
    bytes[12..16].copy_from_slice(&sum.to_le_bytes());
    fixture.set_bytes(&bytes);
    let error = fixture.open().map(drop).err();
    check(matches!(error, Some(StoreError::Version { found: 2, supported: 1 })), || {
        format!("opening returned {error:?}")
    })?;
    check(fixture.bytes() == bytes, || "the store of an unknown version was modified".to_owned())
}

fn locked<R: StoreFixture>(fixture: &R) -> CheckResult {
    let first = with_context("open", fixture.open())?;
    let second = fixture.open().map(drop).err();
    check(matches!(second, Some(StoreError::Locked)), || {
        format!("opening a second time returned {second:?}")
    })?;
    drop(first);
    with_context("open after closing the first", fixture.open()).map(drop)
}
