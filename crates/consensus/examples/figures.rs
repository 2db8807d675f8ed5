//! Prints what agreement costs: `cargo run --release -p calicolb-consensus --example figures [FOLDER]`. The folder is
//! where the stores are put whose syncs are timed; a temporary one by default.

use calicolb_consensus::store::{FileStore, MemoryDisk, MemoryStore, Store};
use calicolb_consensus::{
    CatchUp, Change, Digest, Document, Outcome, ValidationError, Version, Voter, document_size, limits,
};
use serde_json::json;
use std::collections::BTreeMap;
use std::error::Error;
use std::path::PathBuf;
use std::time::{Duration, Instant};

const IDS: [u64; 5] = [1, 2, 3, 4, 5];
/// Ticks a second that the figures are for.
const TICKS_PER_S: u64 = 10;

type Outcomes<T> = Result<T, Box<dyn Error>>;

fn anything(_: &Document) -> Result<(), ValidationError> {
    Ok(())
}

struct Five<S: Store> {
    voters: BTreeMap<u64, Voter<S>>,
    messages: u64,
    bytes: u64,
    worst: BTreeMap<u64, u64>,
}

impl<S: Store> Five<S> {
    fn new(store: impl Fn(u64) -> Outcomes<S>, seed: u64) -> Outcomes<Five<S>> {
        let mut voters = BTreeMap::new();
        for id in IDS {
            voters.insert(id, Voter::new(id, &IDS, store(id)?, seed)?);
        }
        let mut five = Five { voters, messages: 0, bytes: 0, worst: BTreeMap::new() };
        for _ in 0..100 {
            five.tick();
        }
        Ok(five)
    }

    fn deliver(&mut self) {
        loop {
            let taken = self
                .voters
                .iter_mut()
                .flat_map(|(id, v)| v.take_outgoing().into_iter().map(move |m| (*id, m)));
            let messages: Vec<_> = taken.collect();
            if messages.is_empty() {
                return;
            }
            for (from, (to, bytes)) in messages {
                self.messages += 1;
                self.bytes += bytes.len() as u64;
                *self.worst.entry(from).or_default() += bytes.len() as u64;
                *self.worst.entry(to).or_default() += bytes.len() as u64;
                if let Some(voter) = self.voters.get_mut(&to) {
                    voter.receive(from, &bytes);
                }
            }
        }
    }

    fn tick(&mut self) {
        self.voters.values_mut().for_each(Voter::tick);
        self.deliver();
    }

    fn leader(&self) -> Option<u64> {
        self.voters.values().find(|v| v.has_majority() && v.leader() == Some(v.id())).map(Voter::id)
    }

    fn clear(&mut self) {
        (self.messages, self.bytes) = (0, 0);
        self.worst.clear();
    }

    /// Proposes and delivers until it is agreed.
    fn change(&mut self, at: u64, change: Change) -> Outcomes<u64> {
        let voter = self.voters.get_mut(&at).ok_or("no such voter")?;
        voter.propose(change, &anything)?;
        self.deliver();
        let told = self.voters.get_mut(&at).map(|voter| voter.take_outcomes(&anything)).unwrap_or_default();
        match told.first() {
            Some((_, Outcome::Decided { seq, .. })) => Ok(*seq),
            other => Err(format!("{other:?}").into()),
        }
    }
}

/// 240 tenants with 10 keys each, 3 classes with 10.
fn letter() -> Document {
    let mut document = Document::new();
    for i in 0..240 {
        for key in 0..10 {
            document.insert(format!("tenants.team-{i:03}.setting_{key}_per_s"), json!(i * 10 + key));
        }
    }
    for class in ["interactive", "batch", "urgent"] {
        for key in 0..10 {
            document.insert(format!("classes.{class}.setting_{key}_us"), json!(1_000 * key));
        }
    }
    document
}

fn one(i: u64) -> Change {
    let key = format!("tenants.team-{:03}.setting_3_per_s", i % 240);
    Change { set: Document::from([(key, json!(i))]), ..Change::default() }
}

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|kib| kib.parse().ok()).unwrap_or(0)
}

fn memory(_: u64) -> Outcomes<MemoryStore> {
    Ok(MemoryDisk::default().open()?)
}

fn mean(times: &[Duration]) -> f64 {
    times.iter().sum::<Duration>().as_secs_f64() * 1e6 / times.len() as f64
}

fn row(what: &str, figure: impl std::fmt::Display) {
    println!("{what:<74} {figure}");
}

fn main() -> Outcomes<()> {
    println!("five voters, {TICKS_PER_S} ticks a second, messages without HTTP heads");
    document()?;
    traffic()?;
    deaths()?;
    stores()
}

fn document() -> Outcomes<()> {
    let before = resident_kib();
    let copies: Vec<Document> = (0..100).map(|_| letter()).collect();
    let each = (resident_kib() - before) as f64 / copies.len() as f64;
    drop(copies);
    let document = letter();
    row("document of 240 tenants and 3 classes with 10 keys each: keys", document.len());
    row("  bytes in canonical form (bound 262144)", document_size(&document));
    row("  resident KiB each, over 100 copies", format!("{each:.0}"));
    let version = Version::new(1, document);
    let change = one(7);
    let (mut whole, mut apply) = (Vec::new(), Vec::new());
    for i in 0..500 {
        let start = Instant::now();
        let next = change.applied_to(&version.document);
        whole.push(start.elapsed());
        let start = Instant::now();
        let next = Version::new(2 + i, next);
        apply.push(start.elapsed());
        std::hint::black_box(&next);
    }
    row("  microseconds to put a change on it (mean of 500)", format!("{:.0}", mean(&whole)));
    row("  microseconds for the digest of it (mean of 500)", format!("{:.0}", mean(&apply)));
    let mut five = Five::new(memory, 1)?;
    five.change(1, Change { set: letter(), ..Change::default() })?;
    let voter = five.voters.get_mut(&1).ok_or("no voter")?;
    let mut times = Vec::new();
    for i in 0..50 {
        let start = Instant::now();
        voter.propose(one(i), &anything)?;
        times.push(start.elapsed());
    }
    row(
        "  microseconds to check a proposal on it, bounds included (mean of 50)",
        format!("{:.0}", mean(&times[1..])),
    );
    Ok(())
}

fn traffic() -> Outcomes<()> {
    let mut five = Five::new(memory, 1)?;
    five.clear();
    let seconds = 100;
    for _ in 0..seconds * TICKS_PER_S {
        five.tick();
    }
    row("idle: messages a second, all five", format!("{:.1}", five.messages as f64 / seconds as f64));
    row("idle: bytes a second, all five", five.bytes / seconds);
    let worst = five.worst.values().max().copied().unwrap_or(0);
    row("idle: bytes a second in and out of the voter worst off", worst / seconds);
    five.change(1, Change { set: letter(), ..Change::default() })?;
    let leader = five.leader().ok_or("no leader")?;
    let other = IDS.into_iter().find(|id| *id != leader).ok_or("no other")?;
    for (name, at) in [("leader", leader), ("another voter", other)] {
        five.clear();
        for i in 0..100 {
            five.change(at, one(i))?;
        }
        row(
            &format!("a change of one key at the {name}: messages"),
            format!("{:.1}", five.messages as f64 / 100.0),
        );
        row(&format!("a change of one key at the {name}: bytes, all five"), five.bytes / 100);
    }
    let digest = five.voters[&other].decided_version().digest;
    let seq = five.voters[&other].decided_version().seq;
    let start = Instant::now();
    let level = five.voters[&other].changes_since(seq, digest) == CatchUp::UpToDate;
    row("microseconds to answer a learner that is level", start.elapsed().as_micros());
    let start = Instant::now();
    let whole =
        matches!(five.voters[&other].changes_since(0, Digest::of(&Document::new())), CatchUp::FullVersion(_));
    row("microseconds to answer a learner that has nothing", start.elapsed().as_micros());
    if level && whole { Ok(()) } else { Err("answers".into()) }
}

fn deaths() -> Outcomes<()> {
    let (mut first, mut next) = (Vec::new(), Vec::new());
    for seed in 0..100 {
        let mut five = Five::new(memory, seed)?;
        let mut ticks = 0;
        let mut fresh = Five { voters: BTreeMap::new(), messages: 0, bytes: 0, worst: BTreeMap::new() };
        for id in IDS {
            fresh.voters.insert(id, Voter::new(id, &IDS, memory(id)?, seed)?);
        }
        while !fresh.voters.values().all(Voter::has_majority) {
            fresh.tick();
            ticks += 1;
        }
        first.push(ticks);
        for _ in 0..seed % 7 {
            five.tick();
        }
        let leader = five.leader().ok_or("no leader")?;
        five.voters.remove(&leader);
        let mut ticks = 0;
        while five.leader().is_none() || !five.voters.values().all(Voter::has_majority) {
            five.tick();
            ticks += 1;
        }
        next.push(ticks);
    }
    row("ticks from the start until all five have a majority (100 seeds): least, most", span(&first));
    row("ticks from a leader's death until all four have a majority (100 seeds)", span(&next));
    row("ticks after which a voter that is cut off says so, at most", limits::MAJORITY_LOSS_TICKS);
    Ok(())
}

fn span(ticks: &[u64]) -> String {
    let (least, most) = (ticks.iter().min().unwrap_or(&0), ticks.iter().max().unwrap_or(&0));
    format!("{least}, {most}")
}

fn stores() -> Outcomes<()> {
    let folder = std::env::args().nth(1).map_or_else(std::env::temp_dir, PathBuf::from);
    let folder = folder.join(format!("agreed-figures-{}", std::process::id()));
    let mut five = Five::new(|id| Ok(FileStore::open(&folder.join(id.to_string()))?), 1)?;
    five.change(1, Change { set: letter(), ..Change::default() })?;
    let start = Instant::now();
    for i in 0..490 {
        five.change(1 + i % 5, one(i))?;
    }
    let each = start.elapsed().as_secs_f64() * 1e3 / 490.0;
    row("490 changes on files: milliseconds each, all five in one thread", format!("{each:.2}"));
    row("490 changes on files: bytes of a store", five.voters[&1].store_bytes());
    drop(five);
    let start = Instant::now();
    let five = Five::new(|id| Ok(FileStore::open(&folder.join(id.to_string()))?), 1)?;
    row(
        "  milliseconds until five voters are back from them, 100 ticks included",
        start.elapsed().as_millis(),
    );
    drop(five);
    std::fs::remove_dir_all(folder)?;
    let disks: Vec<MemoryDisk> = IDS.iter().map(|_| MemoryDisk::default()).collect();
    let mut five = Five::new(|id| Ok(disks[id as usize - 1].open()?), 1)?;
    five.change(1, Change { set: letter(), ..Change::default() })?;
    let leader = five.leader().ok_or("no leader")?;
    let before: Vec<u64> = disks.iter().map(MemoryDisk::syncs).collect();
    for i in 0..100 {
        five.change(leader, one(i))?;
    }
    let syncs: Vec<String> = disks
        .iter()
        .zip(&before)
        .map(|(p, before)| format!("{:.1}", (p.syncs() - before) as f64 / 100.0))
        .collect();
    row(&format!("syncs a change at each voter (leader is {leader})"), syncs.join(" "));
    Ok(())
}
