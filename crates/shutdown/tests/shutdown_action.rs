//! Checks [`shutdown_action`] for every sequence of up to three attempts, and the timeline of a shutdown.

use calicolb_shutdown::{
    Attempt, AttemptState, FinalAnswer, Grace, HANDOVER_MARGIN, KILL_MARGIN, MAX_COUNTED_DEADLINE, Micros,
    Phase, Request, ShutdownAction, final_answer, shutdown_action,
};
use proptest::prelude::*;

const SECOND: Micros = 1_000_000;
const PHASES: [Phase; 4] = [Phase::Serving, Phase::Draining, Phase::HandingOver, Phase::Closing];
const ATTEMPTS: [Attempt; 8] = [
    Attempt::Ended(AttemptState::NeverRan),
    Attempt::Ended(AttemptState::MayHaveRan),
    Attempt::Ended(AttemptState::MayRun),
    Attempt::Connecting,
    Attempt::Written,
    Attempt::Accepted,
    Attempt::Cancelling { written: false },
    Attempt::Cancelling { written: true },
];

fn open_request(attempts: &[Attempt]) -> Request<'_> {
    Request { answered: false, transferable: true, repeatable: false, attempts }
}

/// Every sequence of up to three attempts.
fn attempt_sequences() -> Vec<Vec<Attempt>> {
    let mut all = vec![Vec::new()];
    for _ in 0..3 {
        let longer = all.iter().flat_map(|sequence: &Vec<Attempt>| {
            ATTEMPTS.map(|attempt| [sequence.as_slice(), &[attempt]].concat())
        });
        all = [all.clone(), longer.collect()].concat();
    }
    all
}

#[test]
fn in_the_closing_phase_only_answered_requests_wait() {
    for attempts in attempt_sequences() {
        for (transferable, repeatable, successor) in
            (0..8).map(|bits| (bits & 1 > 0, bits & 2 > 0, bits & 4 > 0))
        {
            let request = Request { answered: false, transferable, repeatable, attempts: &attempts };
            let action = shutdown_action(request, Phase::Closing, successor);
            assert_ne!(action, ShutdownAction::Wait, "{request:?}, successor {successor}");
            assert!(
                action != ShutdownAction::Transfer || (transferable && successor),
                "{request:?}, successor {successor}"
            );
            let answered = Request { answered: true, ..request };
            assert_eq!(shutdown_action(answered, Phase::Closing, successor), ShutdownAction::Wait);
        }
    }
}

#[test]
fn without_a_successor_requests_wait_until_the_closing_phase() {
    for attempts in attempt_sequences() {
        for phase in PHASES.into_iter().filter(|&phase| phase < Phase::Closing) {
            assert_eq!(
                shutdown_action(open_request(&attempts), phase, false),
                ShutdownAction::Wait,
                "{attempts:?}, {phase:?}"
            );
        }
    }
}

#[test]
fn a_transferable_request_stays_transferable_and_only_without_unconfirmed_attempts() {
    for attempts in attempt_sequences() {
        let transfers = PHASES
            .map(|phase| shutdown_action(open_request(&attempts), phase, true) == ShutdownAction::Transfer);
        assert!(transfers.is_sorted(), "{attempts:?}: {transfers:?}");
        let unconfirmed = |attempt: &Attempt| {
            matches!(attempt, Attempt::Connecting | Attempt::Written | Attempt::Cancelling { .. })
        };
        assert_eq!(transfers[3], !attempts.iter().any(unconfirmed), "{attempts:?}");
    }
}

#[test]
fn held_requests_transfer_while_draining_and_accepted_ones_when_handing_over() {
    let held = [Attempt::Ended(AttemptState::NeverRan)];
    for attempts in [&held[..], &[]] {
        assert_eq!(shutdown_action(open_request(attempts), Phase::Draining, true), ShutdownAction::Transfer);
        assert_eq!(shutdown_action(open_request(attempts), Phase::Serving, true), ShutdownAction::Wait);
    }
    let accepted_second = [Attempt::Ended(AttemptState::MayHaveRan), Attempt::Accepted];
    for attempts in [&accepted_second[..], &[Attempt::Accepted], &[Attempt::Accepted, Attempt::Accepted]] {
        assert_eq!(shutdown_action(open_request(attempts), Phase::Draining, true), ShutdownAction::Wait);
        assert_eq!(
            shutdown_action(open_request(attempts), Phase::HandingOver, true),
            ShutdownAction::Transfer
        );
    }
}

#[test]
fn a_request_is_refused_only_if_a_retry_is_harmless() {
    let may_have_run = [AttemptState::InFlight, AttemptState::MayHaveRan, AttemptState::MayRun];
    for state in may_have_run {
        assert_eq!(final_answer(false, [AttemptState::NeverRan, state]), FinalAnswer::Failed);
        assert_eq!(final_answer(true, [AttemptState::NeverRan, state]), FinalAnswer::Refused);
    }
    assert_eq!(final_answer(false, []), FinalAnswer::Refused);
    assert_eq!(final_answer(false, [AttemptState::NeverRan]), FinalAnswer::Refused);
    let action_at_closing = |attempt| shutdown_action(open_request(&[attempt]), Phase::Closing, false);
    for attempt in [Attempt::Written, Attempt::Accepted, Attempt::Cancelling { written: true }] {
        assert_eq!(action_at_closing(attempt), ShutdownAction::Answer(FinalAnswer::Failed), "{attempt:?}");
    }
    for attempt in [Attempt::Connecting, Attempt::Cancelling { written: false }] {
        assert_eq!(action_at_closing(attempt), ShutdownAction::Answer(FinalAnswer::Refused), "{attempt:?}");
    }
}

#[test]
fn the_time_to_kill_counts_a_deadline_up_to_three_seconds() {
    assert_eq!(Grace::new(25 * SECOND).kill_after, MAX_COUNTED_DEADLINE + KILL_MARGIN);
    assert_eq!(Grace::new(SECOND / 2).kill_after, SECOND / 2 + KILL_MARGIN);
    // The order of the phases holds for a deadline of zero too.
    let shortest = Grace::new(0);
    assert!(
        shortest.handover_at() == KILL_MARGIN - HANDOVER_MARGIN
            && shortest.handover_at() < shortest.final_answer_at()
    );
}

proptest! {
    #[test]
    fn later_times_are_in_the_same_or_a_later_phase(deadline in 0..60 * SECOND, first in 0..5 * SECOND, later in 0..5 * SECOND) {
        let grace = Grace::new(deadline);
        prop_assert!(grace.phase(first) <= grace.phase(first + later));
        prop_assert_eq!(grace.phase(grace.kill_after), Phase::Closing);
    }
}
