//! The configuration: the only module that reads, validates and applies defaults to settings, either from the platform's
//! JSON file and environment variables or from a KDL operator file. Every error message names the invalid key.

pub mod agreed;
pub mod control;
pub mod document;
pub mod operator;
mod platform;
mod settings_reader;
pub mod worker_list;

use self::worker_list::ListUpdate;
use calicolb::api::{ClassIx, KindIx, Member, Micros, Settings, ZoneIx};
pub use calicolb::settings_update::SettingsError;
use calicolb::wire::Names;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The smallest descriptor limit with which the program can run.
pub const MIN_DESCRIPTORS: u64 = 64;
/// File name, in `$TMPDIR`, of the Unix socket over which predecessor and successor of an upgrade communicate.
const UPGRADE_SOCKET: &str = "calicolb.sock";
const DEFAULT_DESCRIPTORS: u64 = 1_024;
/// Limit of the memory where none is configured, in MiB.
const DEFAULT_MEMORY_MIB: u64 = 192;
const BYTES_PER_MIB: u64 = 1 << 20;
const DEFAULT_WORKER_IDLE_TIMEOUT: Micros = 5_000_000;
const DEFAULT_MAX_OPEN_REQUESTS: u64 = 20_000;

/// Addresses for the UDP messages between schedulers.
pub struct PeerConfig {
    /// The local address on which messages are received.
    pub listen: SocketAddr,
    /// The address of each scheduler, indexed by rank.
    pub by_rank: Vec<SocketAddr>,
    /// An address whose datagrams reach all schedulers, if there is one.
    pub broadcast: Option<SocketAddr>,
}

/// An HTTP worker with a fixed address, from the operator file.
pub struct StaticWorker {
    /// The worker as the decision module sees it.
    pub member: Member,
    /// The address on which the worker accepts connections.
    pub address: SocketAddr,
}

/// The class and the timeout of a Gearman function's jobs at one priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PriorityClass {
    /// The class of the jobs.
    pub class: ClassIx,
    /// The time in microseconds for which a client waits for the result, over all attempts.
    pub client_timeout: Micros,
}

/// A Gearman function that clients may submit jobs for.
#[derive(Clone, Debug)]
pub struct Function {
    /// The function's name.
    pub name: String,
    /// The index of the skill that a worker needs for the function.
    pub skill: u32,
    /// Class and timeout of the function's jobs by priority: low, normal, high.
    pub priority_classes: [PriorityClass; 3],
    /// The time in microseconds that a background job may take, over all attempts.
    pub background_timeout: Micros,
    /// True if workers of the function also run HTTP jobs of its class.
    pub takes_http_jobs: bool,
}

/// Settings of the Gearman listener.
#[derive(Clone, Debug)]
pub struct GearmanConfig {
    /// The address on which clients and workers connect.
    pub listen: SocketAddr,
    /// The functions, in the order of their skill indices.
    pub functions: Vec<Function>,
    /// The names of the classes. HTTP workers receive a class's name with each job.
    pub classes: Vec<String>,
    /// The zone of workers that connect to this listener.
    pub zone: ZoneIx,
    /// The kind of machine of workers that connect to this listener.
    pub kind: KindIx,
    /// True if admin commands that change state are carried out.
    pub admin_changes: bool,
    /// The largest number of finished background jobs whose status is remembered.
    pub max_remembered_jobs: usize,
    /// The largest workload of a job, in bytes.
    pub max_workload_bytes: usize,
    /// The scheduler's name; job handles start with it.
    pub name: String,
}

/// The settings that can change while the program runs.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsUpdate {
    /// The decision module's settings.
    pub settings: Settings,
    /// The names that belong to the indices in `settings`.
    pub names: Names,
    /// The time in microseconds after which a worker closes an idle connection.
    pub worker_idle_timeout: Micros,
    /// The largest number of requests that may be open at once.
    pub max_open_requests: usize,
}

/// Settings of a scheduler that follows the control machines as a learner.
pub struct LearnerConfig {
    /// The addresses of the control machines.
    pub machines: Vec<SocketAddr>,
    /// A learner counts as behind if no message of a control machine with a majority has arrived during this time, in
    /// microseconds.
    pub max_silence: Micros,
    /// The settings in force until an agreed version is received, without the keys of `local_settings`.
    pub initial_settings: document::Document,
    /// The settings that each scheduler has for itself; see [`agreed::LOCAL_KEYS`].
    pub local_settings: document::Document,
}

/// The complete configuration of a scheduler.
pub struct Config {
    /// The scheduler's name, for logs and job handles.
    pub name: String,
    /// The HTTP address on which clients connect, and workers with their callbacks.
    pub listen: SocketAddr,
    /// The address of the discovery service, if there is one.
    pub discovery: Option<SocketAddr>,
    /// The listen address of the management interface, if it is enabled.
    pub management: Option<SocketAddr>,
    /// The file descriptor of the HTTP listener that the platform passed; `None` if the program opens the listener itself.
    pub passed_socket: Option<i32>,
    /// The path of the Unix socket over which predecessor and successor of an upgrade communicate; `None` if upgrades are not
    /// possible.
    pub upgrade_socket: Option<PathBuf>,
    /// The seed of the random number generators.
    pub seed: u64,
    /// The largest number of descriptors that the process may hold.
    pub max_descriptors: usize,
    /// The memory, in bytes, that the process may take, together with the other process during an upgrade.
    pub memory_bytes: usize,
    /// The addresses of the other schedulers, if peer messages are enabled.
    pub peers: Option<PeerConfig>,
    /// The last known list of workers, used until discovery or the predecessor provides a newer one.
    pub known_workers: Option<ListUpdate>,
    /// HTTP workers with fixed addresses.
    pub static_workers: Vec<StaticWorker>,
    /// The Gearman listener, if it is enabled.
    pub gearman: Option<GearmanConfig>,
    /// The decision module's settings.
    pub settings: Settings,
    /// The names that belong to the indices in `settings`.
    pub names: Names,
    /// The time in microseconds after which a worker closes an idle connection.
    pub worker_idle_timeout: Micros,
    /// The largest number of requests that may be open at once.
    pub max_open_requests: usize,
    /// The learner's settings, if control machines are configured.
    pub control: Option<LearnerConfig>,
}

impl Config {
    /// The part of the configuration that can change while the program runs.
    pub fn settings_update(&self) -> SettingsUpdate {
        let (settings, names) = (self.settings.clone(), self.names.clone());
        SettingsUpdate {
            settings,
            names,
            worker_idle_timeout: self.worker_idle_timeout,
            max_open_requests: self.max_open_requests,
        }
    }
}
