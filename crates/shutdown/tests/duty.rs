//! Every state of a request has an outcome at the end of its process, and none is left out.

use calicolb_shutdown::{
    Attempt, AttemptState, Duty, FinalAnswer, Grace, HAND_OVER, KILL_DEADLINE, KILL_MARGIN, Micros, Phase,
    Request, duty, final_answer,
};
use proptest::prelude::*;

const SECOND: Micros = 1_000_000;
const PHASES: [Phase; 4] = [Phase::Serving, Phase::Draining, Phase::HandingOver, Phase::Closing];
const ATTEMPTS: [Attempt; 8] = [
    Attempt::Over(AttemptState::NeverRan),
    Attempt::Over(AttemptState::MayHaveRan),
    Attempt::Over(AttemptState::MayRun),
    Attempt::Connecting,
    Attempt::Written,
    Attempt::Taken,
    Attempt::CallingOff { written: false },
    Attempt::CallingOff { written: true },
];

fn open(attempts: &[Attempt]) -> Request<'_> {
    Request { answered: false, movable: true, repeatable: false, attempts }
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
        for (movable, repeatable, successor) in (0..8).map(|bits| (bits & 1 > 0, bits & 2 > 0, bits & 4 > 0))
        {
            let request = Request { answered: false, movable, repeatable, attempts: &attempts };
            let owed = duty(request, Phase::Closing, successor);
            assert_ne!(owed, Duty::Wait, "{request:?}, successor {successor}");
            assert!(owed != Duty::Move || (movable && successor), "{request:?}, successor {successor}");
            let answered = Request { answered: true, ..request };
            assert_eq!(duty(answered, Phase::Closing, successor), Duty::Wait);
        }
    }
}

#[test]
fn without_a_successor_nothing_is_answered_before_the_last_moment() {
    for attempts in histories() {
        for phase in PHASES.into_iter().filter(|&phase| phase < Phase::Closing) {
            assert_eq!(duty(open(&attempts), phase, false), Duty::Wait, "{attempts:?}, {phase:?}");
        }
    }
}

#[test]
fn what_moves_early_moves_later_too_and_only_as_a_state_that_can_be_told() {
    for attempts in histories() {
        let moves = PHASES.map(|phase| duty(open(&attempts), phase, true) == Duty::Move);
        assert!(moves.is_sorted(), "{attempts:?}: {moves:?}");
        let untold = |attempt: &Attempt| {
            matches!(attempt, Attempt::Connecting | Attempt::Written | Attempt::CallingOff { .. })
        };
        assert_eq!(moves[3], !attempts.iter().any(untold), "{attempts:?}");
    }
}

#[test]
fn what_is_held_moves_at_once_and_what_is_taken_when_it_has_had_its_time() {
    let held = [Attempt::Over(AttemptState::NeverRan)];
    for attempts in [&held[..], &[]] {
        assert_eq!(duty(open(attempts), Phase::Draining, true), Duty::Move);
        assert_eq!(duty(open(attempts), Phase::Serving, true), Duty::Wait);
    }
    let second = [Attempt::Over(AttemptState::MayHaveRan), Attempt::Taken];
    for attempts in [&second[..], &[Attempt::Taken], &[Attempt::Taken, Attempt::Taken]] {
        assert_eq!(duty(open(attempts), Phase::Draining, true), Duty::Wait);
        assert_eq!(duty(open(attempts), Phase::HandingOver, true), Duty::Move);
    }
}

#[test]
fn a_request_is_refused_only_where_trying_again_is_harmless() {
    let may_have_run = [AttemptState::Out, AttemptState::MayHaveRan, AttemptState::MayRun];
    for state in may_have_run {
        assert_eq!(final_answer(false, [AttemptState::NeverRan, state]), FinalAnswer::Failed);
        assert_eq!(final_answer(true, [AttemptState::NeverRan, state]), FinalAnswer::Refused);
    }
    assert_eq!(final_answer(false, []), FinalAnswer::Refused);
    assert_eq!(final_answer(false, [AttemptState::NeverRan]), FinalAnswer::Refused);
    let abandoned = |attempt| duty(open(&[attempt]), Phase::Closing, false);
    for attempt in [Attempt::Written, Attempt::Taken, Attempt::CallingOff { written: true }] {
        assert_eq!(abandoned(attempt), Duty::Answer(FinalAnswer::Failed), "{attempt:?}");
    }
    for attempt in [Attempt::Connecting, Attempt::CallingOff { written: false }] {
        assert_eq!(abandoned(attempt), Duty::Answer(FinalAnswer::Refused), "{attempt:?}");
    }
}

#[test]
fn the_grace_counts_three_seconds_of_a_deadline_at_most() {
    assert_eq!(Grace::new(25 * SECOND).kill, KILL_DEADLINE + KILL_MARGIN);
    assert_eq!(Grace::new(SECOND / 2).kill, SECOND / 2 + KILL_MARGIN);
    // Also with no deadline at all the moments come in their order.
    let least = Grace::new(0);
    assert!(least.hand_over() == KILL_MARGIN - HAND_OVER && least.hand_over() < least.last_answer());
}

proptest! {
    #[test]
    fn phases_come_in_their_order(deadline in 0..60 * SECOND, first in 0..5 * SECOND, later in 0..5 * SECOND) {
        let grace = Grace::new(deadline);
        prop_assert!(grace.phase(first) <= grace.phase(first + later));
        prop_assert_eq!(grace.phase(grace.kill), Phase::Closing);
    }
}
