//! Decides what happens to each open request while a process shuts down: it waits, moves to the successor or is answered.
//!
//! A process that receives SIGTERM may get SIGKILL [`Grace::kill_after`] microseconds later. By then each request that it
//! has accepted either has its final answer or has been transferred to the process that takes over (an upgrade). A transfer
//! carries the state of every attempt, so that the successor keeps the rules on repeats. One function, [`shutdown_action`],
//! decides this from the state of the request and the [`Phase`] of the process. It has no I/O and no clock, and both the
//! program and the fleet simulation call it.
//!
//! | request | [`Phase::Serving`] | [`Phase::Draining`] | [`Phase::HandingOver`] | [`Phase::Closing`] |
//! | --- | --- | --- | --- | --- |
//! | answered, or its client has left | wait | wait | wait | wait |
//! | transferable, no attempt in flight | wait | transfer | transfer | transfer |
//! | transferable, every attempt in flight is accepted by its worker | wait | wait | transfer | transfer |
//! | an attempt is not accepted yet, or is being cancelled | wait | wait | wait | answer |
//! | not transferable | wait | wait | wait | answer |
//!
//! A request is transferable if there is a successor that has not declined it, its client's connection can be passed on, and
//! no part of a result has been sent. [`final_answer`] decides which answer it gets otherwise.

use serde::{Deserialize, Serialize};

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// Minimum time from SIGTERM to SIGKILL beyond the longest deadline of the classes, in microseconds. The longest
/// deadline counts as at most [`MAX_COUNTED_DEADLINE`].
pub const KILL_MARGIN: Micros = 700_000;
/// Upper limit for the longest deadline of the classes, in microseconds, when the time from SIGTERM to SIGKILL is
/// computed.
pub const MAX_COUNTED_DEADLINE: Micros = 3_000_000;
/// Final answers are sent this long before the earliest SIGKILL, in microseconds.
pub const FINAL_ANSWER_MARGIN: Micros = 200_000;
/// Requests with attempts in flight are transferred to the successor this long before the earliest SIGKILL, in
/// microseconds. Most attempts have ended by that time.
pub const HANDOVER_MARGIN: Micros = 600_000;

/// State of an attempt, as the rules on repeats distinguish it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptState {
    /// The attempt has not ended.
    #[serde(rename = "out")]
    InFlight,
    /// The attempt has ended and certainly never ran.
    NeverRan,
    /// The attempt has ended and may have run.
    MayHaveRan,
    /// The process no longer waits for the attempt, which may still be running at its worker.
    MayRun,
}

/// Progress of an attempt at the process that sent it, finer than [`AttemptState`] while it is in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// The attempt has ended in this state.
    Ended(AttemptState),
    /// The connection is not established, or the last byte of the request is not written.
    Connecting,
    /// The request is written, and the worker has not confirmed that it accepted the job.
    Written,
    /// The worker has accepted the job and reports to whichever process listens.
    Accepted,
    /// The process is cancelling the attempt, and the worker has not confirmed the cancellation.
    Cancelling {
        /// True if the last byte of the request is written, so that the job may run.
        written: bool,
    },
}

impl Attempt {
    /// Returns the state that the rules on repeats use.
    pub fn state(self) -> AttemptState {
        match self {
            Attempt::Ended(state) => state,
            Attempt::Connecting | Attempt::Written | Attempt::Accepted | Attempt::Cancelling { .. } => {
                AttemptState::InFlight
            }
        }
    }

    /// Returns the state of the attempt if its process ends now.
    fn state_if_abandoned(self) -> AttemptState {
        match self {
            Attempt::Ended(state) => state,
            Attempt::Connecting | Attempt::Cancelling { written: false } => AttemptState::NeverRan,
            Attempt::Written | Attempt::Accepted | Attempt::Cancelling { written: true } => {
                AttemptState::MayRun
            }
        }
    }
}

/// The properties of an open request that decide what happens to it at shutdown.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// True if the request has its final answer or its client has left.
    pub answered: bool,
    /// True if the client's connection can be passed on and no part of a result has been sent.
    pub transferable: bool,
    /// True if a repeat is harmless at any worker.
    pub repeatable: bool,
    /// The attempts, in the order in which they were sent.
    pub attempts: &'a [Attempt],
}

/// Phase of a process on its way to shutdown, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The process has not received SIGTERM.
    Serving,
    /// The process has received SIGTERM, and attempts in flight have time to end in this process.
    Draining,
    /// Requests with attempts in flight are transferred to the successor, if there is one.
    HandingOver,
    /// Requests that are still open get their final answers.
    Closing,
}

/// Next step for a request in a process that is shutting down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownAction {
    /// Nothing is to be done: the request has time left, or it is already answered.
    Wait,
    /// Transfer the request to the successor, with all its attempts.
    Transfer,
    /// Send this final answer.
    Answer(FinalAnswer),
}

/// Final answer to a request that has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The request is refused; the client may safely retry.
    Refused,
    /// The request failed; it may have taken effect.
    Failed,
}

/// Returns the next step for a request in this phase. `successor` is true if another process has taken over and accepts
/// this request.
pub fn shutdown_action(request: Request<'_>, phase: Phase, successor: bool) -> ShutdownAction {
    if request.answered || phase == Phase::Serving {
        return ShutdownAction::Wait;
    }
    if successor && request.transferable && attempts_transferable(request.attempts, phase) {
        return ShutdownAction::Transfer;
    }
    if phase < Phase::Closing {
        return ShutdownAction::Wait;
    }
    ShutdownAction::Answer(final_answer(
        request.repeatable,
        request.attempts.iter().map(|attempt| attempt.state_if_abandoned()),
    ))
}

/// Returns true if a request with these attempts can be transferred in this phase: no attempt is in flight, or, from
/// [`Phase::HandingOver`] on, each attempt in flight is accepted by its worker.
fn attempts_transferable(attempts: &[Attempt], phase: Phase) -> bool {
    let in_flight = attempts.iter().filter(|attempt| attempt.state() == AttemptState::InFlight);
    let mut in_flight = in_flight.peekable();
    if in_flight.peek().is_none() {
        return true;
    }
    phase >= Phase::HandingOver && in_flight.all(|attempt| *attempt == Attempt::Accepted)
}

/// Returns the answer to a request that gets no result: a refusal only if a retry is harmless.
pub fn final_answer(repeatable: bool, attempts: impl IntoIterator<Item = AttemptState>) -> FinalAnswer {
    let never_ran = attempts.into_iter().all(|state| state == AttemptState::NeverRan);
    if repeatable || never_ran { FinalAnswer::Refused } else { FinalAnswer::Failed }
}

/// Timeline of a shutdown, from SIGTERM to the earliest SIGKILL.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grace {
    /// Time from SIGTERM to the earliest SIGKILL.
    pub kill_after: Micros,
}

impl Grace {
    /// Returns the timeline for a process whose classes have this longest deadline.
    pub fn new(longest_deadline: Micros) -> Self {
        Grace { kill_after: longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_MARGIN }
    }

    /// Time after SIGTERM at which requests with attempts in flight begin to be transferred.
    pub fn handover_at(self) -> Micros {
        self.kill_after - HANDOVER_MARGIN
    }

    /// Time after SIGTERM at which final answers are sent.
    pub fn final_answer_at(self) -> Micros {
        self.kill_after - FINAL_ANSWER_MARGIN
    }

    /// Returns the phase of a process that received SIGTERM `since_term` microseconds ago.
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
