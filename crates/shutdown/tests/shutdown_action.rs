//! Every state of a request has an outcome at the end of its process, and none is left out.

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

fn open(attempts: &[Attempt]) -> Request<'_> {
    Request { answered: false, transferable: true, repeatable: false, attempts }
}

/// Every sequence of up to three attempts.
fn histories() -> Vec<Vec<Attempt>> {
    let mut all = vec![Vec::new()];
    for _ in 0..3 {
        let longer = all.iter().flat_map(|history: &Vec<Attempt>| {
            ATTEMPTS.map(|attempt| [history.as_slice(), &[attempt]].concat())
        });
        all = [all.clone(), longer.collect()].concat();
    }
    all
}

#[test]
fn at_the_last_moment_nothing_waits_but_what_is_answered() {
    for attempts in histories() {
        for (transferable, repeatable, successor) in
            (0..8).map(|bits| (bits & 1 > 0, bits & 2 > 0, bits & 4 > 0))
        {
            let request = Request { answered: false, transferable, repeatable, attempts: &attempts };
            let owed = shutdown_action(request, Phase::Closing, successor);
            assert_ne!(owed, ShutdownAction::Wait, "{request:?}, successor {successor}");
            assert!(
                owed != ShutdownAction::Transfer || (transferable && successor),
                "{request:?}, successor {successor}"
            );
            let answered = Request { answered: true, ..request };
            assert_eq!(shutdown_action(answered, Phase::Closing, successor), ShutdownAction::Wait);
        }
    }
}

#[test]
fn without_a_successor_nothing_is_answered_before_the_last_moment() {
    for attempts in histories() {
        for phase in PHASES.into_iter().filter(|&phase| phase < Phase::Closing) {
            assert_eq!(
                shutdown_action(open(&attempts), phase, false),
                ShutdownAction::Wait,
                "{attempts:?}, {phase:?}"
            );
        }
    }
}

#[test]
fn what_moves_early_moves_later_too_and_only_as_a_state_that_can_be_told() {
    for attempts in histories() {
        let moves =
            PHASES.map(|phase| shutdown_action(open(&attempts), phase, true) == ShutdownAction::Transfer);
        assert!(moves.is_sorted(), "{attempts:?}: {moves:?}");
        let untold = |attempt: &Attempt| {
            matches!(attempt, Attempt::Connecting | Attempt::Written | Attempt::Cancelling { .. })
        };
        assert_eq!(moves[3], !attempts.iter().any(untold), "{attempts:?}");
    }
}

#[test]
fn what_is_held_moves_at_once_and_what_is_taken_when_it_has_had_its_time() {
    let held = [Attempt::Ended(AttemptState::NeverRan)];
    for attempts in [&held[..], &[]] {
        assert_eq!(shutdown_action(open(attempts), Phase::Draining, true), ShutdownAction::Transfer);
        assert_eq!(shutdown_action(open(attempts), Phase::Serving, true), ShutdownAction::Wait);
    }
    let second = [Attempt::Ended(AttemptState::MayHaveRan), Attempt::Accepted];
    for attempts in [&second[..], &[Attempt::Accepted], &[Attempt::Accepted, Attempt::Accepted]] {
        assert_eq!(shutdown_action(open(attempts), Phase::Draining, true), ShutdownAction::Wait);
        assert_eq!(shutdown_action(open(attempts), Phase::HandingOver, true), ShutdownAction::Transfer);
    }
}

#[test]
fn a_request_is_refused_only_where_trying_again_is_harmless() {
    let may_have_run = [AttemptState::InFlight, AttemptState::MayHaveRan, AttemptState::MayRun];
    for state in may_have_run {
        assert_eq!(final_answer(false, [AttemptState::NeverRan, state]), FinalAnswer::Failed);
        assert_eq!(final_answer(true, [AttemptState::NeverRan, state]), FinalAnswer::Refused);
    }
    assert_eq!(final_answer(false, []), FinalAnswer::Refused);
    assert_eq!(final_answer(false, [AttemptState::NeverRan]), FinalAnswer::Refused);
    let abandoned = |attempt| shutdown_action(open(&[attempt]), Phase::Closing, false);
    for attempt in [Attempt::Written, Attempt::Accepted, Attempt::Cancelling { written: true }] {
        assert_eq!(abandoned(attempt), ShutdownAction::Answer(FinalAnswer::Failed), "{attempt:?}");
    }
    for attempt in [Attempt::Connecting, Attempt::Cancelling { written: false }] {
        assert_eq!(abandoned(attempt), ShutdownAction::Answer(FinalAnswer::Refused), "{attempt:?}");
    }
}

#[test]
fn the_grace_counts_three_seconds_of_a_deadline_at_most() {
    assert_eq!(Grace::new(25 * SECOND).kill_after, MAX_COUNTED_DEADLINE + KILL_MARGIN);
    assert_eq!(Grace::new(SECOND / 2).kill_after, SECOND / 2 + KILL_MARGIN);
    // Also with no deadline at all the moments come in their order.
    let least = Grace::new(0);
    assert!(
        least.handover_at() == KILL_MARGIN - HANDOVER_MARGIN && least.handover_at() < least.final_answer_at()
    );
}

proptest! {
    #[test]
    fn phases_come_in_their_order(deadline in 0..60 * SECOND, first in 0..5 * SECOND, later in 0..5 * SECOND) {
        let grace = Grace::new(deadline);
        prop_assert!(grace.phase(first) <= grace.phase(first + later));
        prop_assert_eq!(grace.phase(grace.kill_after), Phase::Closing);
    }
}
