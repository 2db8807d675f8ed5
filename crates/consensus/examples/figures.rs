//! Measures the cost of the agreement: `cargo run --release -p calicolb-consensus --example figures [DIRECTORY]`. The
//! stores whose syncs are measured are created in the directory, by default a temporary one.

use calicolb_consensus::store::{FileStore, MemoryDisk, MemoryStore, Store};
use calicolb_consensus::{
    CatchUp, Change, Digest, Document, Outcome, ValidationError, Version, Voter, document_size, limits,
};
use serde_json::json;
use std::collections::BTreeMap;
use std::error::Error;
use std::path::PathBuf;
use std::time::{Duration, Instant};

const VOTER_IDS: [u64; 5] = [1, 2, 3, 4, 5];
/// The number of ticks per second that the results are computed for.
const TICKS_PER_S: u64 = 10;

type MeasurementResult<T> = Result<T, Box<dyn Error>>;

fn accept_all(_: &Document) -> Result<(), ValidationError> {
    Ok(())
}

struct Cluster<S: Store> {
    voters: BTreeMap<u64, Voter<S>>,
    messages: u64,
    bytes: u64,
    bytes_by_voter: BTreeMap<u64, u64>,
}

impl<S: Store> Cluster<S> {
    fn new(store: impl Fn(u64) -> MeasurementResult<S>, seed: u64) -> MeasurementResult<Cluster<S>> {
        let mut voters = BTreeMap::new();
        for id in VOTER_IDS {
            voters.insert(id, Voter::new(id, &VOTER_IDS, store(id)?, seed)?);
        }
        let mut cluster = Cluster { voters, messages: 0, bytes: 0, bytes_by_voter: BTreeMap::new() };
        for _ in 0..100 {
            cluster.tick();
        }
        Ok(cluster)
    }

    fn deliver(&mut self) {
        loop {
            let outgoing = self
                .voters
                .iter_mut()
                .flat_map(|(id, voter)| voter.take_outgoing().into_iter().map(move |message| (*id, message)));
            let messages: Vec<_> = outgoing.collect();
            if messages.is_empty() {
                return;
            }
            for (from, (to, bytes)) in messages {
                self.messages += 1;
                self.bytes += bytes.len() as u64;
                *self.bytes_by_voter.entry(from).or_default() += bytes.len() as u64;
                *self.bytes_by_voter.entry(to).or_default() += bytes.len() as u64;
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
        self.voters
            .values()
            .find(|voter| voter.has_majority() && voter.leader() == Some(voter.id()))
            .map(Voter::id)
    }

    fn clear(&mut self) {
        (self.messages, self.bytes) = (0, 0);
        self.bytes_by_voter.clear();
    }

    /// Proposes a change and delivers messages until it is decided.
    fn change(&mut self, voter_id: u64, change: Change) -> MeasurementResult<u64> {
        let voter = self.voters.get_mut(&voter_id).ok_or("no such voter")?;
        voter.propose(change, &accept_all)?;
        self.deliver();
        let outcomes =
            self.voters.get_mut(&voter_id).map(|voter| voter.take_outcomes(&accept_all)).unwrap_or_default();
        match outcomes.first() {
            Some((_, Outcome::Decided { seq, .. })) => Ok(*seq),
            other => Err(format!("{other:?}").into()),
        }
    }
}

/// A document of 240 tenants with 10 keys each and 3 classes with 10 keys each.
fn sample_document() -> Document {
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

fn set_tenant_key(i: u64) -> Change {
    let key = format!("tenants.team-{:03}.setting_3_per_s", i % 240);
    Change { set: Document::from([(key, json!(i))]), ..Change::default() }
}

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|kib| kib.parse().ok()).unwrap_or(0)
}

fn memory_store(_: u64) -> MeasurementResult<MemoryStore> {
    Ok(MemoryDisk::default().open()?)
}

fn mean(times: &[Duration]) -> f64 {
    times.iter().sum::<Duration>().as_secs_f64() * 1e6 / times.len() as f64
}

fn print_row(what: &str, value: impl std::fmt::Display) {
    println!("{what:<74} {value}");
}

fn main() -> MeasurementResult<()> {
    println!("five voters, {TICKS_PER_S} ticks per second, message sizes without HTTP headers");
    measure_document()?;
    measure_traffic()?;
    measure_failover()?;
    measure_stores()
}

fn measure_document() -> MeasurementResult<()> {
    let before = resident_kib();
    let copies: Vec<Document> = (0..100).map(|_| sample_document()).collect();
    let kib_per_copy = (resident_kib() - before) as f64 / copies.len() as f64;
    drop(copies);
    let document = sample_document();
    print_row("document of 240 tenants and 3 classes with 10 keys each: keys", document.len());
    print_row("  bytes in canonical form (maximum 262144)", document_size(&document));
    print_row("  resident KiB per copy (mean of 100 copies)", format!("{kib_per_copy:.0}"));
    let version = Version::new(1, document);
    let change = set_tenant_key(7);
    let (mut apply_times, mut digest_times) = (Vec::new(), Vec::new());
    for i in 0..500 {
        let start = Instant::now();
        let next = change.applied_to(&version.document);
        apply_times.push(start.elapsed());
        let start = Instant::now();
        let next = Version::new(2 + i, next);
        digest_times.push(start.elapsed());
        std::hint::black_box(&next);
    }
    print_row("  microseconds to apply a change (mean of 500)", format!("{:.0}", mean(&apply_times)));
    print_row("  microseconds to compute the digest (mean of 500)", format!("{:.0}", mean(&digest_times)));
    let mut cluster = Cluster::new(memory_store, 1)?;
    cluster.change(1, Change { set: sample_document(), ..Change::default() })?;
    let voter = cluster.voters.get_mut(&1).ok_or("voter 1 is missing")?;
    let mut times = Vec::new();
    for i in 0..50 {
        let start = Instant::now();
        voter.propose(set_tenant_key(i), &accept_all)?;
        times.push(start.elapsed());
    }
    print_row(
        "  microseconds to check a proposal, limits included (mean of 50)",
        format!("{:.0}", mean(&times[1..])),
    );
    Ok(())
}

fn measure_traffic() -> MeasurementResult<()> {
    let mut cluster = Cluster::new(memory_store, 1)?;
    cluster.clear();
    let seconds = 100;
    for _ in 0..seconds * TICKS_PER_S {
        cluster.tick();
    }
    print_row(
        "idle: messages per second, all voters",
        format!("{:.1}", cluster.messages as f64 / seconds as f64),
    );
    print_row("idle: bytes per second, all voters", cluster.bytes / seconds);
    let max_bytes = cluster.bytes_by_voter.values().max().copied().unwrap_or(0);
    print_row("idle: bytes per second in and out of the busiest voter", max_bytes / seconds);
    cluster.change(1, Change { set: sample_document(), ..Change::default() })?;
    let leader = cluster.leader().ok_or("there is no leader")?;
    let other = VOTER_IDS.into_iter().find(|id| *id != leader).ok_or("there is no other voter")?;
    for (name, voter_id) in [("leader", leader), ("another voter", other)] {
        cluster.clear();
        for i in 0..100 {
            cluster.change(voter_id, set_tenant_key(i))?;
        }
        print_row(
            &format!("a change of one key at the {name}: messages"),
            format!("{:.1}", cluster.messages as f64 / 100.0),
        );
        print_row(&format!("a change of one key at the {name}: bytes, all voters"), cluster.bytes / 100);
    }
    let digest = cluster.voters[&other].decided_version().digest;
    let seq = cluster.voters[&other].decided_version().seq;
    let start = Instant::now();
    let is_up_to_date = cluster.voters[&other].changes_since(seq, digest) == CatchUp::UpToDate;
    print_row("microseconds to answer an up-to-date learner", start.elapsed().as_micros());
    let start = Instant::now();
    let is_full = matches!(
        cluster.voters[&other].changes_since(0, Digest::of(&Document::new())),
        CatchUp::FullVersion(_)
    );
    print_row("microseconds to answer a learner without a version", start.elapsed().as_micros());
    if is_up_to_date && is_full { Ok(()) } else { Err("a voter returned a wrong answer to a learner".into()) }
}

fn measure_failover() -> MeasurementResult<()> {
    let (mut first, mut next) = (Vec::new(), Vec::new());
    for seed in 0..100 {
        let mut cluster = Cluster::new(memory_store, seed)?;
        let mut ticks = 0;
        let mut fresh =
            Cluster { voters: BTreeMap::new(), messages: 0, bytes: 0, bytes_by_voter: BTreeMap::new() };
        for id in VOTER_IDS {
            fresh.voters.insert(id, Voter::new(id, &VOTER_IDS, memory_store(id)?, seed)?);
        }
        while !fresh.voters.values().all(Voter::has_majority) {
            fresh.tick();
            ticks += 1;
        }
        first.push(ticks);
        for _ in 0..seed % 7 {
            cluster.tick();
        }
        let leader = cluster.leader().ok_or("there is no leader")?;
        cluster.voters.remove(&leader);
        let mut ticks = 0;
        while cluster.leader().is_none() || !cluster.voters.values().all(Voter::has_majority) {
            cluster.tick();
            ticks += 1;
        }
        next.push(ticks);
    }
    print_row("ticks from the start until all five have a majority (100 seeds): min, max", range(&first));
    print_row("ticks from a leader's failure until the others have a majority (100 seeds)", range(&next));
    print_row("maximum ticks until a disconnected voter reports no majority", limits::MAJORITY_LOSS_TICKS);
    Ok(())
}

fn range(ticks: &[u64]) -> String {
    let (min, max) = (ticks.iter().min().unwrap_or(&0), ticks.iter().max().unwrap_or(&0));
    format!("{min}, {max}")
}

fn measure_stores() -> MeasurementResult<()> {
    let directory = std::env::args().nth(1).map_or_else(std::env::temp_dir, PathBuf::from);
    let directory = directory.join(format!("consensus-figures-{}", std::process::id()));
    let mut cluster = Cluster::new(|id| Ok(FileStore::open(&directory.join(id.to_string()))?), 1)?;
    cluster.change(1, Change { set: sample_document(), ..Change::default() })?;
    let start = Instant::now();
    for i in 0..490 {
        cluster.change(1 + i % 5, set_tenant_key(i))?;
    }
    let per_change = start.elapsed().as_secs_f64() * 1e3 / 490.0;
    print_row("490 changes in file stores: milliseconds per change, one thread", format!("{per_change:.2}"));
    print_row("490 changes in file stores: bytes per store", cluster.voters[&1].store_bytes());
    drop(cluster);
    let start = Instant::now();
    let cluster = Cluster::new(|id| Ok(FileStore::open(&directory.join(id.to_string()))?), 1)?;
    print_row("  milliseconds to restart five voters, including 100 ticks", start.elapsed().as_millis());
    drop(cluster);
    std::fs::remove_dir_all(directory)?;
    let disks: Vec<MemoryDisk> = VOTER_IDS.iter().map(|_| MemoryDisk::default()).collect();
    let mut cluster = Cluster::new(|id| Ok(disks[id as usize - 1].open()?), 1)?;
    cluster.change(1, Change { set: sample_document(), ..Change::default() })?;
    let leader = cluster.leader().ok_or("there is no leader")?;
    let before: Vec<u64> = disks.iter().map(MemoryDisk::syncs).collect();
    for i in 0..100 {
        cluster.change(leader, set_tenant_key(i))?;
    }
    let syncs: Vec<String> = disks
        .iter()
        .zip(&before)
        .map(|(disk, before)| format!("{:.1}", (disk.syncs() - before) as f64 / 100.0))
        .collect();
    print_row(&format!("syncs per change at each voter (the leader is {leader})"), syncs.join(" "));
    Ok(())
}
