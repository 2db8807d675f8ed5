//! The configuration: the one place where anything is read, checked and given defaults, from the platform's JSON and
//! variables or from an operator file. Every message names the key at fault.

pub mod agreed;
pub mod control;
pub mod document;
pub mod operator;
mod platform;
mod sheet;
pub mod worker_list;

use self::worker_list::ListUpdate;
use calicolb::api::{ClassIx, KindIx, Member, Micros, Settings, ZoneIx};
pub use calicolb::renewal::Fault;
use calicolb::wire::Names;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Descriptors that the program needs at least.
pub const MIN_DESCRIPTORS: u64 = 64;
/// The name under which two processes on one socket meet, in `$TMPDIR`.
const MEETING: &str = "calicolb.sock";
const DEFAULT_DESCRIPTORS: u64 = 1_024;
const DEFAULT_WORKER_IDLE_TIMEOUT: Micros = 5_000_000;
const DEFAULT_MAX_OPEN_REQUESTS: u64 = 20_000;

/// What the schedulers' messages to each other need.
pub struct PeerConfig {
    /// Where they arrive.
    pub listen: SocketAddr,
    /// One address for each scheduler, by rank.
    pub by_rank: Vec<SocketAddr>,
    /// The address that reaches all of them.
    pub broadcast: Option<SocketAddr>,
}

/// A next hop that speaks HTTP and is at a fixed address.
pub struct StaticWorker {
    /// What the module is told of it.
    pub member: Member,
    /// Its address.
    pub address: SocketAddr,
}

/// A class as a submission of some priority gets it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PriorityClass {
    /// The class.
    pub class: ClassIx,
    /// How long a caller waits over all tries.
    pub client_timeout: Micros,
}

/// A Gearman function.
#[derive(Clone, Debug)]
pub struct Function {
    /// Its name.
    pub name: String,
    /// What a worker must be able to do for it.
    pub skill: u32,
    /// What its jobs are by priority: low, normal, high.
    pub priority_classes: [PriorityClass; 3],
    /// How long a background job may take over all tries.
    pub background_timeout: Micros,
    /// Its workers take the HTTP jobs of its class as well.
    pub takes_http_jobs: bool,
}

/// What the Gearman side is told.
#[derive(Clone, Debug)]
pub struct GearmanConfig {
    /// Where clients and workers connect.
    pub listen: SocketAddr,
    /// The functions, in the order of their skills.
    pub functions: Vec<Function>,
    /// The names of the classes: what an HTTP next hop knows a job by.
    pub classes: Vec<String>,
    /// The zone of workers that connect here.
    pub zone: ZoneIx,
    /// Their kind of machine.
    pub kind: KindIx,
    /// Admin commands that change something are carried out.
    pub admin_changes: bool,
    /// How many ends of background jobs are remembered.
    pub max_remembered_jobs: usize,
    /// The largest workload, in bytes.
    pub max_workload_bytes: usize,
    /// What handles begin with.
    pub name: String,
}

/// What can come into force while the program runs.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsUpdate {
    /// The module's settings.
    pub settings: Settings,
    /// The names behind the settings' indices.
    pub names: Names,
    /// When a next hop closes an idle connection.
    pub worker_idle_timeout: Micros,
    /// Requests that may be open at once.
    pub max_open_requests: usize,
}

/// What a scheduler that learns agreed settings is told.
pub struct LearnerConfig {
    /// The control machines.
    pub machines: Vec<SocketAddr>,
    /// Who has heard nothing of a majority for so long is behind.
    pub max_silence: Micros,
    /// The settings to begin with, without the keys that are each scheduler's own, ...
    pub initial_settings: document::Document,
    /// ... and those keys.
    pub local_settings: document::Document,
}

/// All that the program is told.
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect, and next hops with their call-backs.
    pub listen: SocketAddr,
    /// Where discovery is, if there is any.
    pub discovery: Option<SocketAddr>,
    /// Where operators call, if they may.
    pub management: Option<SocketAddr>,
    /// The descriptor under which the platform passed the clients' socket, if it did.
    pub passed_socket: Option<i32>,
    /// Where two processes that share that socket meet.
    pub upgrade_socket: Option<PathBuf>,
    /// For random numbers.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub max_descriptors: usize,
    /// Where other schedulers are, if there may be messages between them.
    pub peers: Option<PeerConfig>,
    /// The list of next hops as last known.
    pub known_workers: Option<ListUpdate>,
    /// Next hops at fixed addresses.
    pub static_workers: Vec<StaticWorker>,
    /// The Gearman side, if there is one.
    pub gearman: Option<GearmanConfig>,
    /// The module's settings.
    pub settings: Settings,
    /// The names behind the settings' indices.
    pub names: Names,
    /// When a next hop closes an idle connection.
    pub worker_idle_timeout: Micros,
    /// Requests that may be open at once.
    pub max_open_requests: usize,
    /// The control machines, if settings are agreed.
    pub control: Option<LearnerConfig>,
}

impl Config {
    /// What of it can come into force while the program runs.
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
