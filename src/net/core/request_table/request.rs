//! What the request table keeps and exchanges: requests, their attempts, answers, news and work.

use calicolb::api::*;

/// What a request came by, as whoever took it numbers that.
pub type ClientId = usize;

/// One attempt of one request, numbered as the module numbers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    pub request: u32,
    pub number: u32,
}

/// A request as a protocol hands it in; `P` is what that protocol needs to pass it on.
pub struct Job<P> {
    pub name: String,
    pub class: ClassIx,
    pub tenant: Option<TenantIx>,
    pub hint: Option<f64>,
    pub client_timeout: Micros,
    /// Slots that it takes; `None`: as many as its class says.
    pub slots: Option<u32>,
    pub memory: f64,
    pub key: Option<u64>,
    pub retry: bool,
    /// What a next hop must be able to do for it.
    pub skill: u32,
    /// What its client is told before the end.
    pub updates: ClientUpdates,
    pub payload: P,
}

/// What a client is told of a request before the end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ClientUpdates {
    /// Nothing: its protocol has no words for it.
    #[default]
    Nothing,
    /// How far it is.
    Progress,
    /// All, parts of the result too. Once it has one, the request cannot be sent again.
    All,
}

/// What a next hop tells of an attempt on the way to its end.
#[derive(Clone, Debug, PartialEq)]
pub enum PartialResult {
    /// The job has started.
    Started,
    /// A part of the result.
    Data(Vec<u8>),
    /// The same, of a kind that worries.
    Warning(Vec<u8>),
    /// So much is done, of so much.
    Progress(u64, u64),
    /// Why it is about to fail. Told with the end, if that is a failure.
    Exception(Vec<u8>),
}

/// Why a request is not taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntakeError {
    /// One of this name is still open.
    DuplicateName,
    /// As many are open as may be.
    TooManyOpen,
}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(Vec<u8>),
    Busy { retry_after: Option<Micros> },
    Failed,
}

impl Answer {
    pub(super) fn word(&self) -> &'static str {
        match self {
            Answer::Served(_) => "served",
            Answer::Busy { .. } => "refused",
            Answer::Failed => "failed",
        }
    }
}

/// What is told of an attempt, apart from the connection that it went out on.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptUpdate {
    Note(AttemptNote),
    Served(Vec<u8>),
    Ended(Ending),
}

/// What is to be done.
#[derive(Debug, PartialEq)]
pub enum Command<P> {
    SendPartialResult {
        client: ClientId,
        part: PartialResult,
    },
    SendAnswer {
        client: ClientId,
        answer: Answer,
    },
    SendAttempt {
        attempt: AttemptId,
        worker: WorkerId,
        payload: P,
        timeout: Micros,
    },
    /// An attempt was given up, and may be with its next hop. Who drives that tells when it has heard, with
    /// [`RequestTable::called_off`].
    Cancel {
        attempt: AttemptId,
        worker: WorkerId,
        name: String,
    },
    Probe(WorkerId),
    SendPeerMessage {
        to: Option<u32>,
        body: Vec<u8>,
    },
    FetchList,
    SetWatch(bool),
    CloseIdle(WorkerId),
}

pub(super) struct Attempt {
    pub(super) hop: WorkerId,
    pub(super) sent: Micros,
    /// When its last byte was written: from then on it may have run.
    pub(super) written_at: Option<Micros>,
    /// The next hop has said that it took the job.
    pub(super) taken: bool,
    /// It is to be given up, but what the next hop makes of it is not known yet.
    pub(super) unwanted: bool,
    /// The next hop is being told that it is given up.
    pub(super) told_off: bool,
    /// How it ended, once it has.
    pub(super) ending: Option<Ending>,
    /// It is over for the module, and may still be running at its next hop.
    pub(super) loose: bool,
    /// It was ended by news of this kind, which may yet be repeated.
    pub(super) ended_by: Option<Ending>,
}

impl Attempt {
    pub(super) fn new(hop: WorkerId, sent: Micros) -> Self {
        Attempt {
            hop,
            sent,
            written_at: None,
            taken: false,
            unwanted: false,
            told_off: false,
            ending: None,
            loose: false,
            ended_by: None,
        }
    }
}

pub(super) struct Entry<P> {
    pub(super) name: String,
    pub(super) client: ClientId,
    pub(super) class: ClassIx,
    /// When it came in, and when its client leaves.
    pub(super) arrived: Micros,
    pub(super) expires: Micros,
    pub(super) payload: P,
    /// The final answer is given, or nobody waits for it any more.
    pub(super) concluded: bool,
    pub(super) hears: ClientUpdates,
    /// Its client has a part of the result: it is not sent again, and the module has done with it.
    pub(super) streaming: bool,
    pub(super) attempts: Vec<Attempt>,
}
