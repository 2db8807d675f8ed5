//! What a process owes each of its open requests when it ends.
//!
//! A process that was told to end (SIGTERM) may be killed [`Grace::kill_after`] later. By then each request that it has taken has
//! its final answer, or goes on at the process that takes over (an upgrade), whole: with the state of every attempt, so that
//! the successor keeps the rules on repeats. The rule is one function, [`shutdown_action`], of the request's state and of the phase
//! that the process is in; it has no I/O and no clock, and the program and the simulated fleet both ask it.
//!
//! | request | [`Phase::Serving`] | [`Phase::Draining`] | [`Phase::HandingOver`] | [`Phase::Closing`] |
//! | --- | --- | --- | --- | --- |
//! | answered, or its client has left | wait | wait | wait | wait |
//! | no attempt out, can move | wait | move | move | move |
//! | each attempt that is out is taken, can move | wait | wait | move | move |
//! | an attempt is not taken yet, or is being called off | wait | wait | wait | answer |
//! | cannot move | wait | wait | wait | answer |
//!
//! A request can move where there is a successor that has not declined it, where its client's connection can be passed on,
//! and where no part of a result has been sent. The answer is [`final_answer`]'s.

use serde::{Deserialize, Serialize};

/// A time or a span, in microseconds.
pub type Micros = u64;

/// SIGKILL comes so long after SIGTERM at the soonest, beyond the longest deadline of the classes, ...
pub const KILL_MARGIN: Micros = 700_000;
/// ... of which no more than this counts.
pub const MAX_COUNTED_DEADLINE: Micros = 3_000_000;
/// The last answers are given this long before SIGKILL may come.
pub const FINAL_ANSWER_MARGIN: Micros = 200_000;
/// Attempts that are out move to the successor this long before SIGKILL may come: most have ended by then.
pub const HANDOVER_MARGIN: Micros = 600_000;

/// What is known of an attempt, for the rules on repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptState {
    /// It has not ended.
    #[serde(rename = "out")]
    InFlight,
    /// It has ended, and surely never ran.
    NeverRan,
    /// It has ended, and may have run.
    MayHaveRan,
    /// It is not waited for any more, and may still be running at its worker.
    MayRun,
}

/// How far an attempt that is out has come, beyond its [`AttemptState`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// It is over, in this state.
    Ended(AttemptState),
    /// Its connection is not up, or its last byte is not written.
    Connecting,
    /// It is written, and its worker has not said that it took the job.
    Written,
    /// Its worker has taken the job and reports to whichever process listens.
    Accepted,
    /// It is to be called off, and its worker has not confirmed that.
    Cancelling {
        /// Its last byte is written, so that it may run.
        written: bool,
    },
}

impl Attempt {
    /// What the rules on repeats need to know of it.
    pub fn state(self) -> AttemptState {
        match self {
            Attempt::Ended(state) => state,
            Attempt::Connecting | Attempt::Written | Attempt::Accepted | Attempt::Cancelling { .. } => {
                AttemptState::InFlight
            }
        }
    }

    /// What is known of it if its process ends now.
    fn abandoned(self) -> AttemptState {
        match self {
            Attempt::Ended(state) => state,
            Attempt::Connecting | Attempt::Cancelling { written: false } => AttemptState::NeverRan,
            Attempt::Written | Attempt::Accepted | Attempt::Cancelling { written: true } => {
                AttemptState::MayRun
            }
        }
    }
}

/// An open request.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// It has its final answer, or its client has left.
    pub answered: bool,
    /// Its client's connection can be passed on, and no part of a result has been sent.
    pub transferable: bool,
    /// A repeat does no harm, wherever it runs.
    pub repeatable: bool,
    /// Its attempts, in the order in which they were sent.
    pub attempts: &'a [Attempt],
}

/// How near the end of the process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It has not been told to end.
    Serving,
    /// It has been told to end, and what is out has time to end here.
    Draining,
    /// What is out moves to the successor, if there is one.
    HandingOver,
    /// Last answers are given.
    Closing,
}

/// What is owed to a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownAction {
    /// Nothing yet, or nothing any more.
    Wait,
    /// It moves to the successor, with all its attempts.
    Transfer,
    /// It gets this answer.
    Answer(FinalAnswer),
}

/// The answer to a request that has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// Trying again is harmless.
    Refused,
    /// Nothing is promised of its effect.
    Failed,
}

/// What is owed to a request in this phase. `successor`: another process has taken over, and takes this request.
pub fn shutdown_action(request: Request<'_>, phase: Phase, successor: bool) -> ShutdownAction {
    if request.answered || phase == Phase::Serving {
        return ShutdownAction::Wait;
    }
    if successor && request.transferable && moves(request.attempts, phase) {
        return ShutdownAction::Transfer;
    }
    if phase < Phase::Closing {
        return ShutdownAction::Wait;
    }
    ShutdownAction::Answer(final_answer(
        request.repeatable,
        request.attempts.iter().map(|attempt| attempt.abandoned()),
    ))
}

/// All that is known of these attempts can be told to a successor in this phase.
fn moves(attempts: &[Attempt], phase: Phase) -> bool {
    let open = attempts.iter().filter(|attempt| attempt.state() == AttemptState::InFlight);
    let mut open = open.peekable();
    if open.peek().is_none() {
        return true;
    }
    phase >= Phase::HandingOver && open.all(|attempt| *attempt == Attempt::Accepted)
}

/// The answer to a request that gets no result: it is refused only where trying again is harmless.
pub fn final_answer(repeatable: bool, attempts: impl IntoIterator<Item = AttemptState>) -> FinalAnswer {
    let never_ran = attempts.into_iter().all(|state| state == AttemptState::NeverRan);
    if repeatable || never_ran { FinalAnswer::Refused } else { FinalAnswer::Failed }
}

/// From SIGTERM to the earliest SIGKILL, and the moments between.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grace {
    /// From SIGTERM to the earliest SIGKILL.
    pub kill_after: Micros,
}

impl Grace {
    /// The grace of a process whose classes have this longest deadline.
    pub fn new(longest_deadline: Micros) -> Self {
        Grace { kill_after: longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_MARGIN }
    }

    /// When what is out begins to move to a successor, after SIGTERM.
    pub fn handover_at(self) -> Micros {
        self.kill_after - HANDOVER_MARGIN
    }

    /// When the last answers are given, after SIGTERM.
    pub fn final_answer_at(self) -> Micros {
        self.kill_after - FINAL_ANSWER_MARGIN
    }

    /// The phase of a process that was told to end so long ago.
    pub fn phase(self, since_term: Micros) -> Phase {
        if since_term >= self.final_answer_at() {
            Phase::Closing
        } else if since_term >= self.handover_at() {
            Phase::HandingOver
        } else {
            Phase::Draining
        }
    }
}
