//! Interface of the decision module: settings, events and actions. This file holds types only.
//!
//! A host feeds one [`Event`](crate::api::Event) at a time to a
//! [`Dispatcher`](crate::rules::Dispatcher) and carries out the
//! [`Action`](crate::api::Action)s that it returns. The names of classes, tenants, zones and kinds
//! stay with the host: the module sees indices into the lists of [`Settings`](crate::api::Settings).

pub use crate::rejections::Rejection;
pub use calicolb_shutdown::AttemptState;
use serde::{Deserialize, Serialize};

/// A point in time on the host's clock, or a duration, in microseconds.
pub type Micros = u64;

/// Identifies a request. The host assigns the numbers.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u32);

/// Identifies a worker. Every dispatcher uses the same number for a worker; the number says nothing about the worker's
/// zone, kind or age.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct WorkerId(pub u32);

/// Index into [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct ClassIx(pub usize);

/// Index into [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantIx(pub usize);

/// Maximum number of skills: each skill is one bit of [`Member::refuses`].
pub const MAX_SKILLS: usize = u64::BITS as usize;

/// A zone, numbered from 0 by the host.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct ZoneIx(pub usize);

/// A kind of machine, numbered from 0 and below [`Settings::kinds`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct KindIx(pub usize);

/// Identifies a timer. The module chooses the number, and the host returns it unchanged when the timer is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerId(pub u64);

/// Group of workers within which a repeat of a request with an idempotency key is dropped.
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

/// Effect of running a request twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Repeats are harmless.
    Safe,
    /// A group of workers drops repeats for a time that starts with the first attempt that may have run.
    Keyed {
        /// Workers that share the record of the keys that ran.
        group: Group,
        /// Time for which the group keeps a key, in microseconds.
        span: Micros,
    },
    /// Repeats do harm: the request must never run twice. This is assumed where the effect is unknown.
    #[default]
    Unsafe,
}

impl Effect {
    /// Returns whether a repeat is harmless on every worker.
    pub fn repeatable(self) -> bool {
        matches!(self, Effect::Safe | Effect::Keyed { group: Group::All, .. })
    }
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time, plus `stretch` times the job's own work, earns the full worth.
    pub aim: Micros,
    /// Multiple of the job's work that is added to `aim`.
    pub stretch: f64,
    /// Time for which a client waits for an answer, over the first try and all retries.
    pub deadline: Micros,
    /// Share of the worth that an answer between aim and deadline earns.
    pub late_worth: f64,
    /// Worth of a request, or of each unit of its work (see [`Settings::worth_by_work`]).
    pub worth: f64,
    /// Effect of running a request of this class twice.
    pub effect: Effect,
    /// Kind of machine that the class needs; `None` if any kind will do.
    pub kind: Option<KindIx>,
    /// Priority in the workers' own queues, where they order by priority.
    pub priority: i64,
    /// Slots that a job takes if the request does not state a number.
    pub slots: u32,
}

/// A tenant and its agreed share of the service.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests per second, over all dispatchers, that count as within the tenant's share; 0 if no quota is stated.
    pub quota_per_s: f64,
    /// Share of the service.
    pub share: f64,
}

/// Source of load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSource {
    /// Every outcome and every probe result carries a report.
    Answers,
    /// Only probe results carry a report.
    Probes,
    /// There are no load reports.
    NoReports,
}

/// Order in which workers serve their own queues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueOrder {
    /// In order of arrival; the first job waits until it fits.
    Fifo,
    /// The first job that fits.
    Backfill,
    /// By the priority of the class.
    Priority,
}

/// Limits that the site sets for a dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// True if two attempts of one request may be outstanding at the same time.
    pub concurrent_attempts: bool,
    /// True if attempts may be cancelled.
    pub cancel: bool,
    /// True if workers may be probed.
    pub probes: bool,
    /// True if dispatchers may send each other messages.
    pub peers: bool,
    /// True if a refused client is told when to retry.
    pub retry_advice: bool,
    /// The longest retry time that clients respect, in microseconds.
    pub retry_advice_max: Micros,
    /// A connection that is not established within this time counts as failed.
    pub connect_timeout: Micros,
}

/// Parameters of the four rules for sending to workers.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleParameters {
    /// Time after the client's deadline within which a final answer still counts.
    pub answer_slack: Micros,
    /// Attempts sent to a draining worker must have ended this long after the dispatcher was notified of the drain.
    pub drain_grace: Micros,
    /// Time after its start at which a worker is warm at the latest.
    pub cold: Micros,
    /// Minimum share of its capacity that a worker has when it starts.
    pub start_capacity: f64,
    /// A cold worker fails if it is sent more than this multiple of its present capacity within `fall_window`.
    pub fall_multiple: f64,
    /// Window over which `fall_multiple` is measured.
    pub fall_window: Micros,
    /// Without a subscription, a dispatcher counts as notified of every change that was listed this long ago.
    pub ask_every: Micros,
}

/// Costs, as shares of the result.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prices {
    /// Cost of each attempt that leaves its zone, per first try.
    pub cross_zone: f64,
    /// Cost of each probe, per first try.
    pub probe: f64,
    /// Cost of each peer message of full size, per first try and receiver.
    pub peer: f64,
    /// Cost of wasted work, per unit of work offered.
    pub waste: f64,
}

/// Configuration of a dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of this dispatcher, from 0.
    pub rank: u32,
    /// Number of dispatchers.
    pub instances: u32,
    /// Zone of this dispatcher.
    pub zone: ZoneIx,
    /// Number of zones.
    pub zones: usize,
    /// Number of kinds of machine.
    pub kinds: usize,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's share, as a fraction of the usual worth.
    pub over_share_worth: f64,
    /// True if worth counts per unit of work rather than per request.
    pub worth_by_work: bool,
    /// True if the worker list answers only when asked, instead of pushing changes.
    pub list_on_request: bool,
    /// Source of load reports.
    pub reports: ReportSource,
    /// True if reports carry the number of free slots.
    pub reports_free_slots: bool,
    /// True if jobs need memory too, and reports carry the free memory.
    pub reports_free_memory: bool,
    /// True if workers report the start of a job.
    pub tells_start: bool,
    /// Interval of progress notes; 0 if there are none.
    pub progress_every: Micros,
    /// Order in which workers serve their queues.
    pub queue_order: QueueOrder,
    /// True if the weights in the worker list are an indication of worker size.
    pub weights: bool,
    /// Limits set by the site.
    pub limits: Limits,
    /// Parameters of the four rules.
    pub rules: RuleParameters,
    /// Costs.
    pub prices: Prices,
    /// Shortest interval between two events.
    pub tick: Micros,
}

/// Status of a worker in the worker list.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerStatus {
    /// In service.
    #[default]
    On,
    /// Completing its work; receives nothing new.
    Draining,
    /// Removed from the list.
    Gone,
}

/// An entry of the worker list.
#[derive(Clone, Debug, Default)]
pub struct Member {
    /// The worker.
    pub worker: WorkerId,
    /// Zone of the worker.
    pub zone: ZoneIx,
    /// Kind of machine.
    pub kind: KindIx,
    /// Cell of the worker.
    pub cell: u32,
    /// Status of the worker.
    pub status: WorkerStatus,
    /// Relative size, for comparison between workers.
    pub weight: f64,
    /// Start time of the worker's process, if it started recently.
    pub started: Option<Micros>,
    /// Number of jobs that the worker runs at once, if it is known exactly and no other dispatcher sends to the worker.
    pub lanes: Option<u32>,
    /// Skills that the worker lacks or does not accept, one bit each (see [`Arrival::skill`]).
    pub refuses: u64,
}

/// Kind of a worker list event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that changed.
    Changes,
    /// The whole list.
    Full,
    /// The whole list as this dispatcher last stored it, possibly out of date.
    Saved,
    /// A call failed or the subscription broke; the current list stays in force.
    Lost,
}

/// A request as it arrives.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    /// The request.
    pub request: RequestId,
    /// Class of the request.
    pub class: ClassIx,
    /// Tenant of the request.
    pub tenant: Option<TenantIx>,
    /// Expected work as the client stated it: run time on a standard core, in microseconds.
    pub hint: Option<f64>,
    /// Time at which the client stops waiting for an answer to this request.
    pub expires: Micros,
    /// Slots that the job takes.
    pub slots: u32,
    /// Memory units that the job takes.
    pub memory: f64,
    /// Subject of the request; requests with the same key cost about the same.
    pub key: Option<u64>,
    /// True if this is a retry: the client has sent the same request before.
    pub retry: bool,
    /// Skill that the worker needs for the request, below [`MAX_SKILLS`].
    pub skill: u32,
    /// History of the request, if another process of this dispatcher transfers it.
    pub transferred: Option<TransferredRequest>,
}

/// History of a request that another process of this dispatcher transfers to this one.
#[derive(Clone, Debug, PartialEq)]
pub struct TransferredRequest {
    /// Arrival time of the request.
    pub arrived: Micros,
    /// The most restrictive effect that has applied to the request so far. The more restrictive of this and the
    /// effect of the class applies.
    pub effect: Effect,
    /// Attempts for the request, in the order in which they were sent.
    pub attempts: Vec<PriorAttempt>,
}

/// An attempt that another process sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PriorAttempt {
    /// Worker that it was sent to.
    pub worker: WorkerId,
    /// Time at which it was sent.
    pub sent: Micros,
    /// Known state of the attempt.
    pub state: AttemptState,
}

/// Load report of a worker; its figures are delayed and noisy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests that the worker has, waiting or running.
    pub outstanding: Option<f64>,
    /// Requests that wait at the worker.
    pub backlog: Option<f64>,
    /// Share of the CPU in use.
    pub utilization: Option<f64>,
    /// Recent service time, in milliseconds.
    pub recent_ms: Option<f64>,
    /// Requests served per second.
    pub throughput: Option<f64>,
    /// Errors per second.
    pub errors_per_s: Option<f64>,
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Free memory units.
    pub free_memory: Option<f64>,
}

/// Result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// The worker answered with the result.
    Ok,
    /// The worker answered with an error; the attempt may have run.
    Error,
    /// The worker refused the attempt because the worker is full; the attempt never ran.
    Full,
    /// There was no answer in time; the attempt may have run or may still be running.
    TimedOut,
    /// No connection was established; the attempt never ran.
    Unreachable,
    /// The connection broke; the attempt may have run.
    Broken,
    /// The dispatcher cancelled the attempt; it may have run.
    Cancelled,
    /// The attempt was not sent; it never ran.
    #[serde(rename = "moot")]
    NotSent,
    /// The worker rejected the request as malformed for any worker: the client is at fault, not the worker.
    Unusable,
}

impl Ending {
    /// Returns whether the attempt is known not to have run.
    pub fn never_ran(self) -> bool {
        matches!(self, Ending::Full | Ending::Unreachable | Ending::NotSent)
    }

    /// Returns the known state of an attempt with this result. `running`: it may still be running at its worker.
    pub fn state(self, running: bool) -> AttemptState {
        match running {
            _ if self.never_ran() => AttemptState::NeverRan,
            true => AttemptState::MayRun,
            false => AttemptState::MayHaveRan,
        }
    }
}

/// A message about an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptNote {
    /// The job has started.
    Started,
    /// This fraction of the job (0 to 1) is done.
    Progress(f64),
    /// The worker has not confirmed in time that it accepted the job.
    Silent,
    /// The attempt was reported as ended while it might still be running (see [`Outcome::running`]); its worker has now
    /// confirmed that it is over.
    Over,
    /// The worker reported the end of an attempt with this result, and the report may belong to this attempt or to an
    /// earlier attempt of the request at the same worker, because workers repeat reports and do not number attempts.
    /// The attempt counts as in flight.
    UnattributedEnd(Ending),
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, in order of sending from 0.
    pub attempt: u32,
    /// The worker.
    pub worker: WorkerId,
    /// Result of the attempt.
    pub ending: Ending,
    /// Time since the attempt was sent.
    pub elapsed: Micros,
    /// True if the attempt may still be running: its worker has neither reported its end nor learned that it was given
    /// up.
    pub running: bool,
    /// True if the request has its final answer.
    pub concluded: bool,
    /// Load report of the worker, if one came with the result.
    pub report: Option<Report>,
}

/// An input of a dispatcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// The worker list, or a change of it.
    Members(ListKind, Vec<Member>),
    /// A request arrives.
    Arrival(Arrival),
    /// A timer is due.
    Timer(TimerId),
    /// The answer of a streamed request has begun; from now on it goes straight to the client.
    Streaming {
        /// The request.
        request: RequestId,
        /// Number of the attempt, in order of sending from 0.
        attempt: u32,
    },
    /// A message about an attempt.
    Note {
        /// The request.
        request: RequestId,
        /// Number of the attempt, in order of sending from 0.
        attempt: u32,
        /// Content of the message.
        note: AttemptNote,
    },
    /// An attempt has ended.
    Outcome(Outcome),
    /// A probe has ended.
    Probed {
        /// The worker.
        worker: WorkerId,
        /// Result of the probe.
        ending: Ending,
        /// Time since the probe was sent.
        elapsed: Micros,
        /// Load report of the worker, if one came with the result.
        report: Option<Report>,
    },
    /// Knowledge of the predecessor, which ends when its own requests are done (see
    /// [`Dispatcher::knowledge_text`](crate::rules::Dispatcher::knowledge_text)).
    KnowledgeReceived(String),
    /// `true`: a successor of this process has taken over; `false`: that successor has ended.
    SuccessorActive(bool),
    /// The worker list has moved to another address; the subscription, if any, will end.
    ListMoved,
    /// End of the lease on the worker list: after this time, changes that this dispatcher may have missed count as
    /// notified for longer than the grace, and the list must not be used. `None`: no change can have been missed.
    ListLease(Option<Micros>),
    /// New settings take effect, all of them or, if one of them cannot change, none. Classes and tenants keep their
    /// indices: an entry that is no longer used stays in its list, and no new request arrives for it.
    Settings(Box<Settings>),
    /// The client has left or the answer is overdue; the request is over.
    RequestAbandoned(RequestId),
    /// The process ends at this time. No client is answered later, so clients with a later deadline count as leaving at
    /// this time.
    ShutdownAt(Micros),
    /// The request continues at another process of this dispatcher.
    RequestTransferred(RequestId),
    /// The process ends now: the request gets its final answer, and its outstanding attempts are cancelled.
    FinishRequest(RequestId),
    /// A message from another dispatcher.
    Peer {
        /// Rank of the sender.
        from: u32,
        /// Bytes of the message.
        body: Vec<u8>,
    },
}

/// An output of a dispatcher, for the host to carry out. A request without an action is held.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt to a worker.
    Send {
        /// The request.
        request: RequestId,
        /// The worker.
        worker: WorkerId,
        /// Give up the attempt after this time; `None`: when the client gives up.
        timeout: Option<Micros>,
    },
    /// Final answer: the request is refused, and a retry is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// Time after which the client may retry.
        retry_after: Option<Micros>,
        /// Reason for the refusal.
        reason: Rejection,
    },
    /// Final answer: the request failed, and it may or may not have had an effect.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt, in order of sending from 0.
        attempt: u32,
    },
    /// Ask a worker for its load report.
    Probe(WorkerId),
    /// Send a message to one dispatcher, or to all others.
    SendMessage {
        /// Rank of the receiver; `None`: all others. The sender's own rank: the successor of this process.
        to: Option<u32>,
        /// Bytes of the message, at most 256.
        body: Vec<u8>,
    },
    /// Deliver [`Event::Timer`] after this time.
    SetTimer {
        /// Number that the event returns.
        timer: TimerId,
        /// Delay from now.
        after: Micros,
    },
    /// Ask for the whole worker list once.
    FetchList,
    /// Subscribe to changes of the worker list, or end the subscription.
    Subscribe(bool),
    /// Close idle connections to a worker.
    CloseIdle(WorkerId),
    /// Write a line to the log.
    Log(String),
}
