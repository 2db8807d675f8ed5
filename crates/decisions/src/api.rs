//! The interface of the decision module: settings, events and actions. Types only.
//!
//! A host feeds one [`Event`](crate::api::Event) at a time to a
//! [`Dispatcher`](crate::rules::Dispatcher) and carries out the
//! [`Action`](crate::api::Action)s that come back. Names of classes, tenants, zones and kinds stay
//! with the host: the module sees indices into the lists of [`Settings`](crate::api::Settings).

pub use crate::rejections::Rejection;
pub use calicolb_shutdown::AttemptState;
use serde::{Deserialize, Serialize};

/// A time or a span on the host's clock, in microseconds.
pub type Micros = u64;

/// A request, as numbered by the host.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u32);

/// A worker; the number tells nothing of zone, kind or age, but is the same for every dispatcher.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct WorkerId(pub u32);

/// Index into [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct ClassIx(pub usize);

/// Index into [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantIx(pub usize);

/// How many skills there can be: each is a bit of [`Member::refuses`].
pub const MAX_SKILLS: usize = u64::BITS as usize;

/// A zone, numbered from 0 by the host.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct ZoneIx(pub usize);

/// A kind of machine, below [`Settings::kinds`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct KindIx(pub usize);

/// What a host makes of a timer is its own business; the module gets the same number back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerId(pub u64);

/// Which workers drop a repeat of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Group {
    /// All workers together.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
}

/// What running a request twice would do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Nothing: repeats are harmless.
    Safe,
    /// Repeats are dropped within a group of workers, for a span from the first send that may have run.
    Keyed {
        /// The workers that share the memory of what ran.
        group: Group,
        /// How long they remember.
        span: Micros,
    },
    /// Harm: it must never run twice. What nothing is known of is taken to be so.
    #[default]
    Unsafe,
}

impl Effect {
    /// A repeat does no harm, wherever it runs.
    pub fn repeatable(self) -> bool {
        matches!(self, Effect::Safe | Effect::Keyed { group: Group::All, .. })
    }
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time, plus `stretch` times the job's own work, earns the full worth.
    pub aim: Micros,
    /// Multiple of the job's work that is added to `aim`.
    pub stretch: f64,
    /// How long a client waits over all its tries.
    pub deadline: Micros,
    /// Share of the worth that an answer between aim and deadline earns.
    pub late_worth: f64,
    /// Worth of a request (or of each unit of its work, see [`Settings::worth_by_work`]).
    pub worth: f64,
    /// What a repeat would do.
    pub effect: Effect,
    /// The kind of machine that the class needs; `None`: any.
    pub kind: Option<KindIx>,
    /// Priority in the workers' own queues, where they have one.
    pub priority: i64,
    /// Slots that a job takes where it does not say.
    pub slots: u32,
}

/// One tenant's agreed share.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second, over all dispatchers, that count as within its share; 0: not stated.
    pub quota_per_s: f64,
    /// Share of the service.
    pub share: f64,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSource {
    /// With every outcome and probe result.
    Answers,
    /// With probe results only.
    Probes,
    /// Nowhere.
    Nowhere,
}

/// How workers serve their queues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueOrder {
    /// In order of arrival; the head waits until it fits.
    Fifo,
    /// Whatever fits first.
    Backfill,
    /// By the classes' priority.
    Priority,
}

/// What the site allows a dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Attempts for one request at most.
    pub max_attempts: u32,
    /// Two attempts of one request may be out at once.
    pub concurrent_attempts: bool,
    /// Attempts may be called off.
    pub cancel: bool,
    /// Workers may be probed.
    pub probes: bool,
    /// Dispatchers may send each other messages.
    pub peers: bool,
    /// Clients are told when to come back after a refusal.
    pub retry_advice: bool,
    /// The longest such advice that clients heed.
    pub retry_advice_max: Micros,
    /// A connection that is not made within this time counts as failed.
    pub connect_timeout: Micros,
}

/// Figures of the four rules.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleParameters {
    /// Grace after the client's deadline in which a final answer still counts.
    pub answer_slack: Micros,
    /// Sends to a draining worker must have ended this long after the dispatcher was told.
    pub drain_grace: Micros,
    /// A started worker is warm after this time at the latest.
    pub cold: Micros,
    /// Share of its capacity that a worker has at least when it starts.
    pub start_capacity: f64,
    /// A cold worker sent more than this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... over this window falls over.
    pub fall_window: Micros,
    /// Without a subscription, a dispatcher is deemed told of what was listed this long ago.
    pub ask_every: Micros,
}

/// Prices, in shares of the result.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prices {
    /// Each attempt that leaves its zone, per first try.
    pub cross_zone: f64,
    /// Each probe, per first try.
    pub probe: f64,
    /// Each full peer message, per first try and receiver.
    pub peer: f64,
    /// Wasted work, per work offered.
    pub waste: f64,
}

/// All that a dispatcher is told when it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This dispatcher's number, from 0.
    pub rank: u32,
    /// How many dispatchers there are.
    pub instances: u32,
    /// This dispatcher's zone.
    pub zone: ZoneIx,
    /// How many zones there are.
    pub zones: usize,
    /// How many kinds of machine there are.
    pub kinds: usize,
    /// The classes of request.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's share, as a part of the usual.
    pub over_share_worth: f64,
    /// Worth is counted for each unit of work rather than for each request.
    pub worth_by_work: bool,
    /// The worker list answers only when asked, instead of pushing changes.
    pub list_on_request: bool,
    /// Where load reports come from.
    pub reports: ReportSource,
    /// Reports carry the number of free slots.
    pub reports_free_slots: bool,
    /// Jobs need memory too; reports carry the free memory.
    pub reports_free_memory: bool,
    /// Workers tell when a job starts.
    pub tells_start: bool,
    /// Interval of progress notes; 0: none are given.
    pub progress_every: Micros,
    /// How workers serve their queues.
    pub queue_order: QueueOrder,
    /// Weights in the worker list say something about size.
    pub weights: bool,
    /// What is allowed.
    pub limits: Limits,
    /// Figures of the four rules.
    pub rules: RuleParameters,
    /// Prices.
    pub prices: Prices,
    /// Events arrive at this interval at the shortest.
    pub tick: Micros,
}

/// State of a worker in the list.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerStatus {
    /// In service.
    #[default]
    On,
    /// Completing its work; gets nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// One line of the worker list.
#[derive(Clone, Debug, Default)]
pub struct Member {
    /// The worker.
    pub worker: WorkerId,
    /// Its zone.
    pub zone: ZoneIx,
    /// Its kind of machine.
    pub kind: KindIx,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub status: WorkerStatus,
    /// A figure of its size, for comparison between workers.
    pub weight: f64,
    /// When its process started, if lately.
    pub started: Option<Micros>,
    /// How many jobs it runs at once, where that is known exactly and nobody else sends to it.
    pub lanes: Option<u32>,
    /// What it cannot do or does not take: a bit for each skill (see [`Arrival::skill`]).
    pub refuses: u64,
}

/// What a list event brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed lines only.
    Changes,
    /// The whole list.
    Full,
    /// The whole list as this dispatcher last held it, perhaps out of date.
    Saved,
    /// A call failed or the subscription broke; the list held stays in force.
    Lost,
}

/// A request as it arrives.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    /// The request.
    pub request: RequestId,
    /// Its class.
    pub class: ClassIx,
    /// Its tenant.
    pub tenant: Option<TenantIx>,
    /// Expected work, as time on a standard core.
    pub hint: Option<f64>,
    /// When the client gives up this try.
    pub expires: Micros,
    /// Slots that the job takes.
    pub slots: u32,
    /// Memory units that the job takes.
    pub memory: f64,
    /// What it is about; requests with the same key cost alike.
    pub key: Option<u64>,
    /// The client has tried before.
    pub retry: bool,
    /// What a worker must be able to do for it, below [`SKILLS`].
    pub skill: u32,
    /// Another process of this dispatcher hands it on.
    pub transferred: Option<TransferredRequest>,
}

/// What another process of this dispatcher has done for a request that it hands on.
#[derive(Clone, Debug, PartialEq)]
pub struct TransferredRequest {
    /// When the request came in.
    pub arrived: Micros,
    /// What a repeat would do, by the tightest word on that so far. The tighter of this and the class's binds.
    pub effect: Effect,
    /// Its attempts, in the order in which they were sent.
    pub attempts: Vec<PriorAttempt>,
}

/// An attempt that another process sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PriorAttempt {
    /// The worker.
    pub worker: WorkerId,
    /// When it was sent.
    pub sent: Micros,
    /// What is known of it.
    pub state: AttemptState,
}

/// A worker's load report; aged and noisy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests in hand.
    pub outstanding: Option<f64>,
    /// Requests waiting.
    pub backlog: Option<f64>,
    /// Share of CPU in use.
    pub utilization: Option<f64>,
    /// Recent service time, in milliseconds.
    pub recent_ms: Option<f64>,
    /// Requests served a second.
    pub throughput: Option<f64>,
    /// Errors a second.
    pub errors_per_s: Option<f64>,
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Free memory.
    pub free_memory: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// Served.
    Ok,
    /// The worker answered with an error; it may have run.
    Error,
    /// Turned away unseen; it never ran.
    Full,
    /// No answer in time; it may have run or be running.
    TimedOut,
    /// No connection was made; it never ran.
    Unreachable,
    /// The connection broke; it may have run.
    Broken,
    /// Called off; it may have run.
    Cancelled,
    /// Not sent; it never ran.
    #[serde(rename = "moot")]
    NotSent,
    /// Turned down as a request that no worker can use: the fault is the caller's, not the worker's.
    Unusable,
}

impl Ending {
    /// The attempt is known not to have run.
    pub fn never_ran(self) -> bool {
        matches!(self, Ending::Full | Ending::Unreachable | Ending::NotSent)
    }

    /// What is known of an attempt that ended so. `running`: it may still be running at its worker.
    pub fn state(self, running: bool) -> AttemptState {
        match running {
            _ if self.never_ran() => AttemptState::NeverRan,
            true => AttemptState::MayRun,
            false => AttemptState::MayHaveRan,
        }
    }
}

/// News of an attempt that is still out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptNote {
    /// The job has started.
    Started,
    /// This share of it is done.
    Progress(f64),
    /// The worker has not said that it took the job, though it would have done so long since.
    Silent,
    /// The attempt has ended as one that may still be running (see [`Outcome::running`]); now its worker has said that it
    /// is over there.
    Over,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The request.
    pub request: RequestId,
    /// The attempt, in order of sending from 0.
    pub attempt: u32,
    /// The worker.
    pub worker: WorkerId,
    /// How it ended.
    pub ending: Ending,
    /// Time since it was sent.
    pub elapsed: Micros,
    /// It may still be running there: its worker has neither said that it ended nor heard that it is given up.
    pub running: bool,
    /// The request has its final answer.
    pub concluded: bool,
    /// The worker's load report, if one came along.
    pub report: Option<Report>,
}

/// What a dispatcher can be told.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the worker list.
    Members(ListKind, Vec<Member>),
    /// A request.
    Arrival(Arrival),
    /// A timer is due.
    Timer(TimerId),
    /// The answer of a streamed request has begun; it belongs to the client from here on.
    Streaming {
        /// The request.
        request: RequestId,
        /// The attempt, in order of sending from 0.
        attempt: u32,
    },
    /// News of an attempt that is out.
    Note {
        /// The request.
        request: RequestId,
        /// The attempt, in order of sending from 0.
        attempt: u32,
        /// What is told.
        note: AttemptNote,
    },
    /// An attempt has ended.
    Outcome(Outcome),
    /// A probe has ended.
    Probed {
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        ending: Ending,
        /// Time since it was sent.
        elapsed: Micros,
        /// The worker's load report, if one came along.
        report: Option<Report>,
    },
    /// Another process of this same dispatcher hands on what it has learned (see
    /// [`Dispatcher::knowledge`](crate::rules::Dispatcher::knowledge)), and ends when its work is done.
    KnowledgeReceived(serde_json::Value),
    /// Another process of this same dispatcher has taken over, or, with `false`, has gone again.
    SuccessorActive(bool),
    /// The worker list is to be had elsewhere from now on; the subscription, if any, will end.
    ListMoved,
    /// The list may be acted on until this time: what may have been missed of it counts as told for too long from then
    /// on. `None`: nothing has been missed.
    ListLease(Option<Micros>),
    /// Other settings are in force from now on, whole; or, where one of them cannot change, none. Classes and tenants keep
    /// their places: what is no longer wanted stays in its list, and nothing new arrives for it.
    Settings(Box<Settings>),
    /// The client has left, or the answer is overdue; the request is over.
    RequestAbandoned(RequestId),
    /// The process ends: nobody is answered after this time, so that whoever waits longer counts as leaving then.
    ShutdownAt(Micros),
    /// The request goes on at another process of this same dispatcher.
    RequestTransferred(RequestId),
    /// The process ends now: the request gets its final answer, and what is out for it is called off.
    FinishRequest(RequestId),
    /// A message from another dispatcher.
    Peer {
        /// Its number.
        from: u32,
        /// What it says.
        body: Vec<u8>,
    },
}

/// What a dispatcher can ask for. Doing nothing about a request means holding it.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt to a worker.
    Send {
        /// The request.
        request: RequestId,
        /// The worker.
        worker: WorkerId,
        /// Give the attempt up after this time; `None`: when the client gives up.
        timeout: Option<Micros>,
    },
    /// Final answer: refused, a further try is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should stay away.
        retry_after: Option<Micros>,
        /// Why it is refused.
        reason: Rejection,
    },
    /// Final answer: failed, nothing is promised about its effect.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt, in order of sending from 0.
        attempt: u32,
    },
    /// Ask a worker for its load report.
    Probe(WorkerId),
    /// Send a message to one dispatcher, or to all others.
    SendMessage {
        /// Its number; `None`: all. The own one: the process that has taken over.
        to: Option<u32>,
        /// What is said; 256 bytes at most.
        body: Vec<u8>,
    },
    /// Bring [`Event::Timer`] after this time.
    SetTimer {
        /// Comes back with the event.
        timer: TimerId,
        /// From now.
        after: Micros,
    },
    /// Ask for the whole worker list once.
    FetchList,
    /// Ask to be told of list changes from now on, or no longer.
    Subscribe(bool),
    /// Close idle connections to a worker.
    CloseIdle(WorkerId),
    /// A line for the log.
    Log(String),
}
