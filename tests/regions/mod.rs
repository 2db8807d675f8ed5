//! Two regions on loopback: control machines and schedulers as processes of the program, a stand-in worker, clients, and
//! relays on every way between them.

#[path = "../discovery/mod.rs"]
mod discovery;
mod figures;
pub mod http;
pub mod machines;
pub mod relay;
pub mod schedulers;

use http::{Watch, ask, call};
use machines::Machine;
use relay::Relay;
use schedulers::{Clients, Scheduler, Worker};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Control machines; those of this number and beyond are in the second region.
pub const MACHINES: usize = 5;
const SECOND_REGION: usize = 4;
/// No condition is waited for longer.
pub const LIMIT: Duration = Duration::from_secs(30);
/// What was accepted is in force everywhere within this time.
pub const WITHIN: Duration = Duration::from_secs(5);

/// A version: its number and the first half of its digest.
pub type Seen = (u64, String);

/// What the machines told as agreed, by number, and which of them told it.
type Told = Arc<Mutex<BTreeMap<Seen, BTreeSet<usize>>>>;

/// What was seen in force where, and since when.
type Sightings = Arc<Mutex<BTreeMap<usize, BTreeMap<Seen, Instant>>>>;

/// See the head of this file.
pub struct Regions {
    /// The seed of all that is drawn, and the test that draws.
    pub seed: u64,
    test: &'static str,
    setup: Setup,
    folder: PathBuf,
    pub machines: Vec<Machine>,
    pub schedulers: Vec<Scheduler>,
    /// From machine to machine.
    between: BTreeMap<(usize, usize), Relay>,
    /// From scheduler to machine.
    learn: BTreeMap<(usize, usize), Relay>,
    _worker: Worker,
    clients: Vec<Clients>,
    sightings: Sightings,
    told: Told,
    over: Arc<AtomicBool>,
    looking: Vec<JoinHandle<()>>,
    /// Versions that were acknowledged.
    accepted: Vec<Seen>,
    pub random: fastrand::Rng,
}

/// What is started.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Schedulers in each region.
    pub schedulers: [usize; 2],
    /// Between two requests of a client.
    pub pause: Duration,
    /// Each door is asked again and again what is in force there; else only the logs tell.
    pub looks: bool,
    /// Learners that may watch a machine at once.
    pub learners: usize,
    /// Who has heard nothing of a majority for so long is behind.
    pub silence: Duration,
}

impl Setup {
    /// What most tests start, with so many schedulers in each region.
    pub fn new(schedulers: [usize; 2]) -> Setup {
        Setup {
            schedulers,
            pause: Duration::from_millis(25),
            looks: true,
            learners: 400,
            silence: Duration::from_secs(3),
        }
    }
}

/// The region of a machine.
pub fn region(machine: usize) -> usize {
    usize::from(machine >= SECOND_REGION)
}

impl Regions {
    /// Five machines and so many schedulers in each region. A failure is played again with the seed that it tells.
    pub fn start(test: &'static str, schedulers: [usize; 2]) -> Regions {
        Regions::of(test, Setup::new(schedulers))
    }

    /// The same, with more to say.
    pub fn of(test: &'static str, setup: Setup) -> Regions {
        let count: usize = setup.schedulers.iter().sum();
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let seed = std::env::var("CONTROL_SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(7);
        let nr = NEXT.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("calicolb-regions-{}-{nr}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder is made");
        let mut random = fastrand::Rng::with_seed(seed);
        let between: BTreeMap<(usize, usize), Relay> = (1..=MACHINES)
            .flat_map(|from| (1..=MACHINES).map(move |to| (from, to)))
            .map(|way| (way, Relay::new(random.u64(..))))
            .collect();
        let learn: BTreeMap<(usize, usize), Relay> = (0..count)
            .flat_map(|from| (1..=MACHINES).map(move |to| (from, to)))
            .map(|way| (way, Relay::new(random.u64(..))))
            .collect();
        let worker = Worker::start();
        let first = folder.join("settings.json");
        std::fs::write(&first, schedulers::settings(0, 1).to_string()).expect("the settings are written");
        let machines = (1..=MACHINES).map(|id| {
            let ways = (1..=MACHINES).map(|to| between[&(id, to)].at).collect::<Vec<_>>();
            Machine::new(&folder, id, &ways, setup.learners)
        });
        let mut regions = Regions {
            seed,
            test,
            setup,
            machines: machines.collect(),
            schedulers: Vec::new(),
            between,
            learn,
            clients: Vec::new(),
            sightings: Arc::default(),
            told: Arc::default(),
            over: Arc::default(),
            looking: Vec::new(),
            accepted: Vec::new(),
            random,
            folder,
            _worker: worker,
        };
        for id in 1..=MACHINES {
            regions.boot(id);
            regions.witness(id);
        }
        for rank in 0..count {
            let control: Vec<_> = (1..=MACHINES).map(|id| regions.learn[&(rank, id)].at).collect();
            let scheduler =
                Scheduler::start(&regions.folder, rank, count, &control, setup.silence, regions._worker.at);
            regions._worker.learn(rank, scheduler.at);
            regions.clients.push(Clients::start(rank, scheduler.at, setup.pause));
            if setup.looks {
                regions.look(rank, scheduler.door);
            }
            regions.schedulers.push(scheduler);
        }
        let first = regions.agreed_at(1);
        regions.accepted.push(first);
        regions.level("the first settings");
        regions
    }

    /// Starts a machine, or starts it again.
    pub fn boot(&mut self, id: usize) {
        let at = self.machines[id - 1].boot();
        self.lead(id, Some(at));
    }

    /// Kills a machine.
    pub fn kill(&mut self, id: usize) {
        self.machines[id - 1].kill();
        self.lead(id, None);
    }

    fn lead(&self, id: usize, at: Option<std::net::SocketAddr>) {
        let ways = self.between.iter().filter(|((_, to), _)| *to == id).map(|(_, relay)| relay);
        ways.chain(self.learn.iter().filter(|((_, to), _)| *to == id).map(|(_, relay)| relay))
            .for_each(|relay| relay.lead(at));
    }

    /// The region of a scheduler.
    pub fn home(&self, rank: usize) -> usize {
        usize::from(rank >= self.setup.schedulers[0])
    }

    /// Cuts the regions apart, or joins them.
    pub fn part(&self, cut: bool) {
        for ((from, to), relay) in &self.between {
            if region(*from) != region(*to) {
                relay.cut(cut);
            }
        }
        for ((rank, to), relay) in &self.learn {
            if self.home(*rank) != region(*to) {
                relay.cut(cut);
            }
        }
    }

    /// The ways between machines, with who is at their ends.
    pub fn ways(&self) -> impl Iterator<Item = (&(usize, usize), &Relay)> {
        self.between.iter()
    }

    /// The ways from schedulers to machines, with who is at their ends.
    pub fn learning(&self) -> impl Iterator<Item = (&(usize, usize), &Relay)> {
        self.learn.iter()
    }

    /// Fails, and says how to play it again.
    pub fn fail(&self, why: &str) -> ! {
        let logs: Vec<String> = self.machines.iter().map(Machine::log).collect();
        let told: Vec<String> = self.schedulers.iter().map(Scheduler::log).collect();
        panic!("{why}\n{}\n{}", logs.join("\n"), told.join("\n"))
    }

    /// Waits until this is so; gives how long that took.
    pub fn wait(&self, what: &str, limit: Duration, mut so: impl FnMut() -> bool) -> Duration {
        let since = Instant::now();
        while !so() {
            if since.elapsed() > limit {
                self.fail(&format!("not within {limit:?}: {what}"));
            }
            thread::sleep(Duration::from_millis(10));
        }
        since.elapsed()
    }

    /// What a machine says of itself.
    pub fn state(&self, id: usize) -> Option<Value> {
        let at = self.machines[id - 1].at?;
        let (status, _, body) = call(at, "GET", "/control/state", "", b"").ok()?;
        (status == 200).then(|| serde_json::from_slice(&body).ok()).flatten()
    }

    /// The machine that leads, as those that run and have a majority see it.
    pub fn leader(&self) -> usize {
        let mut found = None;
        self.wait("somebody leads", LIMIT, || {
            let states: Vec<Value> = (1..=MACHINES).filter_map(|id| self.state(id)).collect();
            let with = states.iter().filter(|state| state["majority"] == json!(true));
            let leaders: BTreeSet<u64> = with.filter_map(|state| state["leader"].as_u64()).collect();
            found = leaders.first().filter(|_| leaders.len() == 1).map(|id| *id as usize);
            found.is_some_and(|id| self.machines[id - 1].at.is_some())
        });
        found.unwrap_or(1)
    }

    /// The folder of a machine's store.
    pub fn store(&self, id: usize) -> PathBuf {
        self.folder.join(format!("store-{id}"))
    }

    /// The learners that have told a machine of late what they have in force.
    pub fn learners(&self, id: usize) -> Vec<String> {
        let state = self.state(id).unwrap_or(Value::Null);
        state["learners"].as_object().into_iter().flat_map(|all| all.keys().cloned()).collect()
    }

    /// Waits until a machine speaks with a majority.
    pub fn with_majority(&self, id: usize) {
        self.wait("a machine has a majority", LIMIT, || {
            self.state(id).is_some_and(|state| state["majority"] == json!(true))
        });
    }

    /// The version that a machine says is agreed, once there is one.
    fn agreed_at(&self, id: usize) -> Seen {
        let mut seen = (0, String::new());
        self.wait("there is a first version", LIMIT, || {
            let Some(state) = self.state(id) else { return false };
            seen = (state["seq"].as_u64().unwrap_or(0), short(state["digest"].as_str().unwrap_or("")));
            seen.0 > 0
        });
        seen
    }

    /// Asks a machine for a change; gives the status and what it said.
    pub fn ask(&self, id: usize, body: &Value) -> (u16, String, Value) {
        let Some(at) = self.machines[id - 1].at else { return (0, String::new(), Value::Null) };
        match call(at, "POST", "/control/changes", "", body.to_string().as_bytes()) {
            Ok((status, head, body)) => (status, head, serde_json::from_slice(&body).unwrap_or(Value::Null)),
            Err(error) => (0, error.to_string(), Value::Null),
        }
    }

    /// Two keys get a value at once, at a machine; gives when it was accepted. Whether a change that was not
    /// acknowledged took place nobody knows: it is asked for again.
    pub fn change(&mut self, id: usize, value: u32) -> Instant {
        let since = Instant::now();
        loop {
            let (status, head, told) = self.ask(id, &both(value));
            if status == 200 {
                let seen = (told["seq"].as_u64().unwrap_or(0), short(told["digest"].as_str().unwrap_or("")));
                self.accepted.push(seen);
                return Instant::now();
            }
            if ![0, 503].contains(&status) || since.elapsed() > LIMIT {
                self.fail(&format!("a change is answered {status}: {head} {told}"));
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// A change at a machine that has to be acknowledged at once or not at all; gives the status.
    pub fn attempt(&mut self, id: usize, value: u32) -> u16 {
        let (status, _, told) = self.ask(id, &both(value));
        if status == 200 {
            let seen = (told["seq"].as_u64().unwrap_or(0), short(told["digest"].as_str().unwrap_or("")));
            self.accepted.push(seen);
        }
        status
    }

    /// The last version that was accepted.
    pub fn last(&self) -> Seen {
        self.accepted.iter().max().cloned().unwrap_or_default()
    }

    /// Watches a machine without a relay, and notes each version that it tells.
    fn witness(&mut self, id: usize) {
        let (over, told) = (Arc::clone(&self.over), Arc::clone(&self.told));
        let place = Arc::clone(&self.machines[id - 1].place);
        self.looking.push(thread::spawn(move || {
            let (mut seq, mut digest) = (0, String::new());
            while !over.load(Ordering::Relaxed) {
                let at = *place.lock().expect("nobody panicked");
                let target =
                    format!("/control/versions?watch=1&from={seq}&digest={digest}&name=witness-{id}");
                let Some(Ok(mut watch)) = at.map(|at| Watch::open(at, &target)) else {
                    thread::sleep(Duration::from_millis(10));
                    continue;
                };
                while !over.load(Ordering::Relaxed) {
                    let Ok(lines) = watch.lines() else { break };
                    for line in lines.iter().filter_map(|line| serde_json::from_str::<Value>(line).ok()) {
                        let Some(whole) = line["digest"].as_str() else { continue };
                        seq = line["seq"].as_u64().unwrap_or(0);
                        digest = whole.to_owned();
                        let mut told = told.lock().expect("nobody panicked");
                        told.entry((seq, short(whole))).or_default().insert(id);
                    }
                }
            }
        }));
    }

    /// Looks again and again at which version a scheduler has in force.
    fn look(&mut self, rank: usize, door: std::net::SocketAddr) {
        let (over, sightings) = (Arc::clone(&self.over), Arc::clone(&self.sightings));
        self.looking.push(thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                if let Some(seen) = in_force(door) {
                    let mut sightings = sightings.lock().expect("nobody panicked");
                    sightings.entry(rank).or_default().entry(seen).or_insert_with(Instant::now);
                }
                thread::sleep(Duration::from_millis(10));
            }
        }));
    }

    /// When a scheduler first had a version of this number or a later one in force, by its door or its log.
    pub fn seen_at(&self, rank: usize, seq: u64) -> Option<Instant> {
        if !self.setup.looks {
            return self.schedulers[rank].in_force_at(seq);
        }
        let sightings = self.sightings.lock().expect("nobody panicked");
        sightings.get(&rank)?.iter().filter(|(seen, _)| seen.0 >= seq).map(|(_, at)| *at).min()
    }

    /// Waits until the last version that was accepted, or one that followed, is in force at these schedulers.
    pub fn level_at(&self, ranks: &[usize], what: &str) -> Duration {
        let since = Instant::now();
        let last = self.last();
        let mut seen = BTreeMap::new();
        while !ranks.iter().all(|rank| self.seen_at(*rank, last.0).is_some()) {
            if since.elapsed() > WITHIN {
                let sightings = self.sightings.lock().expect("nobody panicked");
                seen = sightings.iter().map(|(rank, all)| (*rank, all.keys().last().cloned())).collect();
            }
            if !seen.is_empty() {
                self.fail(&format!("{last:?} is not in force within {WITHIN:?} ({what}): {seen:?}"));
            }
            thread::sleep(Duration::from_millis(5));
        }
        since.elapsed()
    }

    /// Waits until the last version is in force everywhere.
    pub fn level(&self, what: &str) -> Duration {
        let all: Vec<usize> = (0..self.schedulers.len()).collect();
        self.level_at(&all, what)
    }

    /// A figure of a scheduler.
    pub fn figure(&self, rank: usize, name: &str) -> Option<String> {
        let told = ask(self.schedulers[rank].door, "INFO").ok()?;
        figure(&told, name)
    }

    /// The claims that hold after anything: no version that was acknowledged is lost, all machines tell the same
    /// history, nothing was in force that does not stand in it, and no request was lost.
    pub fn check(mut self) {
        let ids: Vec<usize> = (1..=MACHINES).filter(|id| self.machines[id - 1].at.is_some()).collect();
        let last = self.last();
        self.wait("the machines are level", LIMIT, || {
            let level =
                |id: &usize| self.state(*id).is_some_and(|state| state["seq"].as_u64() >= Some(last.0));
            ids.iter().all(level)
        });
        self.over.store(true, Ordering::Relaxed);
        self.looking.drain(..).for_each(|look| look.join().expect("a look ends"));
        let told = self.told.lock().expect("nobody panicked").clone();
        for ((one, by), (other, too)) in told.iter().zip(told.iter().skip(1)) {
            if one.0 == other.0 {
                self.fail(&format!("{by:?} tell {one:?}, and {too:?} tell {other:?}"));
            }
        }
        if let Some(lost) = self.accepted.iter().find(|seen| !told.contains_key(seen)) {
            self.fail(&format!("{lost:?} was acknowledged, and is lost: {told:?}"));
        }
        let sightings = self.sightings.lock().expect("nobody panicked").clone();
        for (rank, seen) in &sightings {
            if let Some((wrong, _)) = seen.iter().find(|(seen, _)| seen.0 > 0 && !told.contains_key(seen)) {
                self.fail(&format!("{wrong:?} was in force at {rank}, and was never agreed: {told:?}"));
            }
        }
        let ends: Vec<(u64, Vec<String>)> = self.clients.drain(..).map(Clients::end).collect();
        for (rank, (served, lost)) in ends.iter().enumerate() {
            if *served == 0 || !lost.is_empty() {
                self.fail(&format!("scheduler {rank} served {served} requests and lost {lost:?}"));
            }
        }
    }
}

impl Drop for Regions {
    fn drop(&mut self) {
        if thread::panicking() {
            let (seed, test) = (self.seed, self.test);
            eprintln!(
                "play it again: CONTROL_SEED={seed} cargo test --test control {test} -- --exact --nocapture"
            );
        }
        self.over.store(true, Ordering::Relaxed);
        self.machines.clear();
        self.schedulers.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The first half of a digest.
fn short(digest: &str) -> String {
    digest.chars().take(16).collect()
}

/// A change of two keys, which belong together.
pub fn both(value: u32) -> Value {
    json!({"set": {"orgs.acme.quota_rps": value, "orgs.bolt.quota_rps": value}})
}

fn figure(told: &str, name: &str) -> Option<String> {
    let line = told.lines().find_map(|line| line.strip_prefix(&format!("scheduler.{name}=")))?;
    Some(line.to_owned())
}

/// The version that is in force behind a door.
pub fn in_force(door: std::net::SocketAddr) -> Option<Seen> {
    let told = ask(door, "INFO").ok()?;
    let seq = figure(&told, "control.seq")?.parse().ok()?;
    Some((seq, short(&figure(&told, "control.digest")?)))
}
