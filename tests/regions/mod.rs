//! Two regions on loopback: control machines and schedulers as processes of the program, a stub worker, clients, and a relay
//! between each pair of machines and between each scheduler and each machine.

#[path = "../discovery/mod.rs"]
mod discovery;
pub mod http;
pub mod machines;
mod measurement;
pub mod relay;
pub mod schedulers;

use http::{Watch, call, management_command};
use machines::Machine;
use relay::Relay;
use schedulers::{Client, Scheduler, Worker};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Number of control machines; their ids are 1 to 5.
pub const MACHINES: usize = 5;
/// Lowest id of a control machine in the second region.
const SECOND_REGION_START: usize = 4;
/// Default timeout for a condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Time within which an accepted change has to be in force everywhere.
pub const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(5);

/// A version of the settings: its number and the first half of its digest.
pub type Version = (u64, String);

/// Ids of the machines that have sent each decided version to the watch of the test.
type DecidedVersions = Arc<Mutex<BTreeMap<Version, BTreeSet<usize>>>>;

/// Time at which each version was first seen in force, by the scheduler's rank.
type VersionsInForce = Arc<Mutex<BTreeMap<usize, BTreeMap<Version, Instant>>>>;

/// The running processes and the record of versions that they have accepted, decided and put into force.
pub struct Regions {
    /// Seed of all random numbers.
    pub seed: u64,
    test: &'static str,
    setup: Setup,
    folder: PathBuf,
    /// Control machines; the machine with id 1 is at index 0.
    pub machines: Vec<Machine>,
    /// Schedulers by rank.
    pub schedulers: Vec<Scheduler>,
    /// Relay from each machine (first id) to each machine (second id).
    machine_relays: BTreeMap<(usize, usize), Relay>,
    /// Relay from each scheduler (rank) to each machine (id).
    learner_relays: BTreeMap<(usize, usize), Relay>,
    /// The stub worker of all schedulers.
    worker: Worker,
    clients: Vec<Client>,
    versions_in_force: VersionsInForce,
    decided_versions: DecidedVersions,
    stopping: Arc<AtomicBool>,
    observers: Vec<JoinHandle<()>>,
    /// Versions acknowledged to the test.
    accepted: Vec<Version>,
    /// Random numbers for the test.
    pub random: fastrand::Rng,
}

/// The processes to start and their settings.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Number of schedulers in each region.
    pub schedulers: [usize; 2],
    /// Pause between two requests of a client.
    pub pause: Duration,
    /// Polls each scheduler's management port every 10 ms for the version in force. If false, the version is read from the logs.
    pub poll_versions: bool,
    /// Maximum number of learners that may watch one machine.
    pub learners: usize,
    /// Time without a message from a machine with a majority after which a scheduler counts itself as behind.
    pub silence: Duration,
}

impl Setup {
    /// The default setup with these numbers of schedulers in the two regions.
    pub fn new(schedulers: [usize; 2]) -> Setup {
        Setup {
            schedulers,
            pause: Duration::from_millis(25),
            poll_versions: true,
            learners: 400,
            silence: Duration::from_secs(3),
        }
    }
}

/// The region (0 or 1) of a machine.
pub fn machine_region(machine: usize) -> usize {
    usize::from(machine >= SECOND_REGION_START)
}

impl Regions {
    /// Starts five machines and these numbers of schedulers in the two regions. A failure prints the seed and the command that
    /// repeat the run.
    pub fn start(test: &'static str, schedulers: [usize; 2]) -> Regions {
        Regions::with_setup(test, Setup::new(schedulers))
    }

    /// Starts five machines and the schedulers of `setup`.
    pub fn with_setup(test: &'static str, setup: Setup) -> Regions {
        let count: usize = setup.schedulers.iter().sum();
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let seed = std::env::var("CONTROL_SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(7);
        let nr = NEXT.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("calicolb-regions-{}-{nr}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the test folder could not be created");
        let mut random = fastrand::Rng::with_seed(seed);
        let machine_relays: BTreeMap<(usize, usize), Relay> = (1..=MACHINES)
            .flat_map(|from| (1..=MACHINES).map(move |to| (from, to)))
            .map(|ends| (ends, Relay::new(random.u64(..))))
            .collect();
        let learner_relays: BTreeMap<(usize, usize), Relay> = (0..count)
            .flat_map(|from| (1..=MACHINES).map(move |to| (from, to)))
            .map(|ends| (ends, Relay::new(random.u64(..))))
            .collect();
        let worker = Worker::start();
        let first_settings = folder.join("settings.json");
        std::fs::write(&first_settings, schedulers::settings(0, 1).to_string())
            .expect("the first settings could not be written");
        let machines = (1..=MACHINES).map(|id| {
            let addresses = (1..=MACHINES).map(|to| machine_relays[&(id, to)].address).collect::<Vec<_>>();
            Machine::new(&folder, id, &addresses, setup.learners)
        });
        let mut regions = Regions {
            seed,
            test,
            setup,
            machines: machines.collect(),
            schedulers: Vec::new(),
            machine_relays,
            learner_relays,
            clients: Vec::new(),
            versions_in_force: Arc::default(),
            decided_versions: Arc::default(),
            stopping: Arc::default(),
            observers: Vec::new(),
            accepted: Vec::new(),
            random,
            folder,
            worker,
        };
        for id in 1..=MACHINES {
            regions.boot(id);
            regions.observe_machine(id);
        }
        for rank in 0..count {
            let control: Vec<_> =
                (1..=MACHINES).map(|id| regions.learner_relays[&(rank, id)].address).collect();
            let scheduler = Scheduler::start(
                &regions.folder,
                rank,
                count,
                &control,
                setup.silence,
                regions.worker.address,
            );
            regions.worker.set_scheduler(rank, scheduler.address);
            regions.clients.push(Client::start(rank, scheduler.address, setup.pause));
            if setup.poll_versions {
                regions.observe_scheduler(rank, scheduler.management);
            }
            regions.schedulers.push(scheduler);
        }
        let first = regions.first_version_at(1);
        regions.accepted.push(first);
        regions.wait_in_force("the first settings");
        regions
    }

    /// Starts or restarts a machine and points the relays to it.
    pub fn boot(&mut self, id: usize) {
        let at = self.machines[id - 1].boot();
        self.set_relay_target(id, Some(at));
    }

    /// Kills a machine and removes it as target of the relays.
    pub fn kill(&mut self, id: usize) {
        self.machines[id - 1].kill();
        self.set_relay_target(id, None);
    }

    /// Sets the target of all relays to a machine.
    fn set_relay_target(&self, id: usize, at: Option<std::net::SocketAddr>) {
        let relays = self.machine_relays.iter().filter(|((_, to), _)| *to == id).map(|(_, relay)| relay);
        relays
            .chain(self.learner_relays.iter().filter(|((_, to), _)| *to == id).map(|(_, relay)| relay))
            .for_each(|relay| relay.set_target(at));
    }

    /// The region (0 or 1) of a scheduler.
    pub fn scheduler_region(&self, rank: usize) -> usize {
        usize::from(rank >= self.setup.schedulers[0])
    }

    /// Separates the regions, or joins them again.
    pub fn set_partitioned(&self, partitioned: bool) {
        for ((from, to), relay) in &self.machine_relays {
            if machine_region(*from) != machine_region(*to) {
                relay.set_blocked(partitioned);
            }
        }
        for ((rank, to), relay) in &self.learner_relays {
            if self.scheduler_region(*rank) != machine_region(*to) {
                relay.set_blocked(partitioned);
            }
        }
    }

    /// The relays between machines, with the ids of both machines.
    pub fn machine_relays(&self) -> impl Iterator<Item = (&(usize, usize), &Relay)> {
        self.machine_relays.iter()
    }

    /// The relays from schedulers to machines, with rank and machine id.
    pub fn learner_relays(&self) -> impl Iterator<Item = (&(usize, usize), &Relay)> {
        self.learner_relays.iter()
    }

    /// Panics with the reason and the last log lines of all processes.
    pub fn fail(&self, reason: &str) -> ! {
        let logs: Vec<String> = self.machines.iter().map(Machine::log).collect();
        let scheduler_logs: Vec<String> = self.schedulers.iter().map(Scheduler::log).collect();
        panic!("{reason}\n{}\n{}", logs.join("\n"), scheduler_logs.join("\n"))
    }

    /// Waits until the condition holds and returns the time taken. Fails after the timeout; the failure contains the
    /// description of the condition.
    pub fn wait(
        &self,
        description: &str,
        timeout: Duration,
        mut condition: impl FnMut() -> bool,
    ) -> Duration {
        let since = Instant::now();
        while !condition() {
            if since.elapsed() > timeout {
                self.fail(&format!("not within {timeout:?}: {description}"));
            }
            thread::sleep(Duration::from_millis(10));
        }
        since.elapsed()
    }

    /// The state that a machine reports; `None` if the machine does not answer.
    pub fn state(&self, id: usize) -> Option<Value> {
        let at = self.machines[id - 1].address?;
        let (status, _, body) = call(at, "GET", "/control/state", "", b"").ok()?;
        (status == 200).then(|| serde_json::from_slice(&body).ok()).flatten()
    }

    /// Waits until all machines with a majority name the same running leader, and returns the leader's id.
    pub fn leader(&self) -> usize {
        let mut found = None;
        self.wait("the machines with a majority agree on a running leader", WAIT_TIMEOUT, || {
            let states: Vec<Value> = (1..=MACHINES).filter_map(|id| self.state(id)).collect();
            let with_majority = states.iter().filter(|state| state["majority"] == json!(true));
            let leaders: BTreeSet<u64> = with_majority.filter_map(|state| state["leader"].as_u64()).collect();
            found = leaders.first().filter(|_| leaders.len() == 1).map(|id| *id as usize);
            found.is_some_and(|id| self.machines[id - 1].address.is_some())
        });
        found.unwrap_or(1)
    }

    /// Folder of a machine's store.
    pub fn store(&self, id: usize) -> PathBuf {
        self.folder.join(format!("store-{id}"))
    }

    /// Names of the learners that have recently reported their version in force to a machine.
    pub fn learners(&self, id: usize) -> Vec<String> {
        let state = self.state(id).unwrap_or(Value::Null);
        state["learners"].as_object().into_iter().flat_map(|all| all.keys().cloned()).collect()
    }

    /// Waits until a machine reports a majority.
    pub fn wait_for_majority(&self, id: usize) {
        self.wait("a machine has a majority", WAIT_TIMEOUT, || {
            self.state(id).is_some_and(|state| state["majority"] == json!(true))
        });
    }

    /// Waits until a machine has a decided version, and returns the version.
    fn first_version_at(&self, id: usize) -> Version {
        let mut version = (0, String::new());
        self.wait("a machine has a first version", WAIT_TIMEOUT, || {
            let Some(state) = self.state(id) else { return false };
            version = (state["seq"].as_u64().unwrap_or(0), short(state["digest"].as_str().unwrap_or("")));
            version.0 > 0
        });
        version
    }

    /// Sends a change to a machine; returns status, head and JSON body. Status 0 means that there was no answer.
    pub fn request_change(&self, id: usize, body: &Value) -> (u16, String, Value) {
        let Some(at) = self.machines[id - 1].address else { return (0, String::new(), Value::Null) };
        match call(at, "POST", "/control/changes", "", body.to_string().as_bytes()) {
            Ok((status, head, body)) => (status, head, serde_json::from_slice(&body).unwrap_or(Value::Null)),
            Err(error) => (0, error.to_string(), Value::Null),
        }
    }

    /// Sends [`quota_change`] with `value` to a machine; returns the time of acceptance. If there is no
    /// answer or the status is 503, the change is sent again, since it may or may not have taken effect.
    pub fn change(&mut self, id: usize, value: u32) -> Instant {
        let since = Instant::now();
        loop {
            let (status, head, answer) = self.request_change(id, &quota_change(value));
            if status == 200 {
                let version =
                    (answer["seq"].as_u64().unwrap_or(0), short(answer["digest"].as_str().unwrap_or("")));
                self.accepted.push(version);
                return Instant::now();
            }
            if ![0, 503].contains(&status) || since.elapsed() > WAIT_TIMEOUT {
                self.fail(&format!("a change at machine {id} is answered with {status}: {head} {answer}"));
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Sends a change to a machine without retry; returns the status.
    pub fn try_change(&mut self, id: usize, value: u32) -> u16 {
        let (status, _, answer) = self.request_change(id, &quota_change(value));
        if status == 200 {
            let version =
                (answer["seq"].as_u64().unwrap_or(0), short(answer["digest"].as_str().unwrap_or("")));
            self.accepted.push(version);
        }
        status
    }

    /// The highest version acknowledged to the test.
    pub fn last_accepted(&self) -> Version {
        self.accepted.iter().max().cloned().unwrap_or_default()
    }

    /// Watches a machine without a relay and records each version that it sends.
    fn observe_machine(&mut self, id: usize) {
        let (stopping, decided) = (Arc::clone(&self.stopping), Arc::clone(&self.decided_versions));
        let shared_address = Arc::clone(&self.machines[id - 1].shared_address);
        self.observers.push(thread::spawn(move || {
            let (mut seq, mut digest) = (0, String::new());
            while !stopping.load(Ordering::Relaxed) {
                let at = *shared_address.lock().expect("a thread panicked while it held the lock");
                let target =
                    format!("/control/versions?watch=1&from={seq}&digest={digest}&name=witness-{id}");
                let Some(Ok(mut watch)) = at.map(|at| Watch::open(at, &target)) else {
                    thread::sleep(Duration::from_millis(10));
                    continue;
                };
                while !stopping.load(Ordering::Relaxed) {
                    let Ok(lines) = watch.lines() else { break };
                    for line in lines.iter().filter_map(|line| serde_json::from_str::<Value>(line).ok()) {
                        let Some(full_digest) = line["digest"].as_str() else { continue };
                        seq = line["seq"].as_u64().unwrap_or(0);
                        digest = full_digest.to_owned();
                        let mut decided = decided.lock().expect("a thread panicked while it held the lock");
                        decided.entry((seq, short(full_digest))).or_default().insert(id);
                    }
                }
            }
        }));
    }

    /// Records every 10 ms the version that a scheduler has in force.
    fn observe_scheduler(&mut self, rank: usize, management: std::net::SocketAddr) {
        let (stopping, versions_in_force) = (Arc::clone(&self.stopping), Arc::clone(&self.versions_in_force));
        self.observers.push(thread::spawn(move || {
            while !stopping.load(Ordering::Relaxed) {
                if let Some(seen) = in_force(management) {
                    let mut versions_in_force =
                        versions_in_force.lock().expect("a thread panicked while it held the lock");
                    versions_in_force.entry(rank).or_default().entry(seen).or_insert_with(Instant::now);
                }
                thread::sleep(Duration::from_millis(10));
            }
        }));
    }

    /// Time at which a scheduler first had version `seq` or a later one in force, by its management port or its log.
    pub fn first_in_force(&self, rank: usize, seq: u64) -> Option<Instant> {
        if !self.setup.poll_versions {
            return self.schedulers[rank].in_force_at(seq);
        }
        let versions_in_force =
            self.versions_in_force.lock().expect("a thread panicked while it held the lock");
        versions_in_force.get(&rank)?.iter().filter(|(seen, _)| seen.0 >= seq).map(|(_, at)| *at).min()
    }

    /// Waits until the last accepted version or a later one is in force at these schedulers; returns the time taken.
    pub fn wait_in_force_at(&self, ranks: &[usize], description: &str) -> Duration {
        let since = Instant::now();
        let last = self.last_accepted();
        let mut seen = BTreeMap::new();
        while !ranks.iter().all(|rank| self.first_in_force(*rank, last.0).is_some()) {
            if since.elapsed() > IN_FORCE_TIMEOUT {
                let versions_in_force =
                    self.versions_in_force.lock().expect("a thread panicked while it held the lock");
                seen =
                    versions_in_force.iter().map(|(rank, all)| (*rank, all.keys().last().cloned())).collect();
            }
            if !seen.is_empty() {
                self.fail(&format!(
                    "{last:?} is not in force within {IN_FORCE_TIMEOUT:?} ({description}): {seen:?}"
                ));
            }
            thread::sleep(Duration::from_millis(5));
        }
        since.elapsed()
    }

    /// Waits until the last accepted version or a later one is in force at all schedulers; returns the time taken.
    pub fn wait_in_force(&self, description: &str) -> Duration {
        let all: Vec<usize> = (0..self.schedulers.len()).collect();
        self.wait_in_force_at(&all, description)
    }

    /// The value of a scheduler's metric.
    pub fn metric(&self, rank: usize, name: &str) -> Option<String> {
        let info = management_command(self.schedulers[rank].management, "INFO").ok()?;
        metric(&info, name)
    }

    /// Stops the observers and clients and asserts that no acknowledged version is lost, all machines sent the same history,
    /// only versions of this history were in force, and no request was lost.
    pub fn check(mut self) {
        let ids: Vec<usize> = (1..=MACHINES).filter(|id| self.machines[id - 1].address.is_some()).collect();
        let last = self.last_accepted();
        self.wait("all running machines have the last accepted version", WAIT_TIMEOUT, || {
            let has_last =
                |id: &usize| self.state(*id).is_some_and(|state| state["seq"].as_u64() >= Some(last.0));
            ids.iter().all(has_last)
        });
        self.stopping.store(true, Ordering::Relaxed);
        self.observers.drain(..).for_each(|observer| observer.join().expect("an observer thread panicked"));
        let decided = self.decided_versions.lock().expect("a thread panicked while it held the lock").clone();
        for ((one, one_machines), (other, other_machines)) in decided.iter().zip(decided.iter().skip(1)) {
            if one.0 == other.0 {
                self.fail(&format!(
                    "machines {one_machines:?} sent {one:?}, machines {other_machines:?} sent {other:?}"
                ));
            }
        }
        if let Some(lost) = self.accepted.iter().find(|seen| !decided.contains_key(seen)) {
            self.fail(&format!("version {lost:?} was acknowledged and is lost: {decided:?}"));
        }
        let versions_in_force =
            self.versions_in_force.lock().expect("a thread panicked while it held the lock").clone();
        for (rank, seen) in &versions_in_force {
            if let Some((wrong, _)) = seen.iter().find(|(seen, _)| seen.0 > 0 && !decided.contains_key(seen))
            {
                self.fail(&format!(
                    "version {wrong:?} was in force at scheduler {rank} and never decided: {decided:?}"
                ));
            }
        }
        let client_results: Vec<(u64, Vec<String>)> = self.clients.drain(..).map(Client::finish).collect();
        for (rank, (served, lost)) in client_results.iter().enumerate() {
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
                "repeat with: CONTROL_SEED={seed} cargo test --test control {test} -- --exact --nocapture"
            );
        }
        self.stopping.store(true, Ordering::Relaxed);
        self.machines.clear();
        self.schedulers.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The first half of a digest.
fn short(digest: &str) -> String {
    digest.chars().take(16).collect()
}

/// A change that sets the quotas of both tenants to the same value.
pub fn quota_change(value: u32) -> Value {
    json!({"set": {"orgs.acme.quota_rps": value, "orgs.bolt.quota_rps": value}})
}

/// The value of a metric in the answer to INFO.
fn metric(info: &str, name: &str) -> Option<String> {
    let line = info.lines().find_map(|line| line.strip_prefix(&format!("scheduler.{name}=")))?;
    Some(line.to_owned())
}

/// The version in force at the scheduler with this management address.
pub fn in_force(management: std::net::SocketAddr) -> Option<Version> {
    let info = management_command(management, "INFO").ok()?;
    let seq = metric(&info, "control.seq")?.parse().ok()?;
    Some((seq, short(&metric(&info, "control.digest")?)))
}
