//! The clock's states, caused one by one, and what must be so in any order of events.

use calicolb_freshness::{
    ANSWER, Act, BEAT, ListClock, MISSED, MOVED, Micros, Mode, PACE, SILENCE, State, TURN,
};
use proptest::prelude::*;

const SECOND: Micros = 1_000_000;
const GRACE: Micros = 2 * SECOND;
const START: Micros = 100 * SECOND;

fn pushed() -> ListClock {
    ListClock::new(Mode::Pushed, GRACE, START)
}

/// Asks the clock at the time that it wants, and makes the call that it asks for; gives that time.
fn call(clock: &mut ListClock) -> Micros {
    let at = clock.due().expect("an agent is always asked again");
    assert_eq!(clock.act(at), Some(Act::Open));
    clock.opened(at);
    at
}

#[test]
fn what_an_agent_holds_counts_from_the_first_moment_of_a_process() {
    let mut clock = pushed();
    assert_eq!((clock.due(), clock.until()), (Some(START), Some(START + GRACE)));
    assert_eq!(call(&mut clock), START);
    assert_eq!(clock.until(), Some(START + GRACE), "a call alone tells nothing");
    clock.heard(START + 1_000);
    assert_eq!(clock.until(), None);
}

#[test]
fn a_watch_that_falls_silent_is_begun_anew_and_the_list_ages_from_its_last_word() {
    let mut clock = pushed();
    call(&mut clock);
    clock.heard(START);
    clock.heard(START + BEAT);
    let silent = START + BEAT + SILENCE;
    assert_eq!(clock.act(silent - 1), None);
    assert_eq!(call(&mut clock), silent);
    assert_eq!(clock.until(), Some(START + BEAT + MISSED + GRACE));
    // The new watch brings what was missed, long before it counts as told.
    assert!(silent + ANSWER < START + BEAT + MISSED);
    clock.heard(silent + 1);
    assert_eq!((clock.until(), clock.state()), (None, State::Told(silent + 1)));
}

#[test]
fn an_agent_silent_for_8_s_is_called_each_second_and_its_list_grows_too_old() {
    let mut clock = pushed();
    call(&mut clock);
    clock.heard(START);
    let (mut calls, mut at) = (0, START);
    while at < START + 8 * SECOND {
        at = call(&mut clock);
        calls += 1;
    }
    assert!((5..=7).contains(&calls), "{calls}");
    assert_eq!(clock.until(), Some(START + MISSED + GRACE), "calls without an answer move nothing");
    // What it got at its return counts at once: the call that is out by then is no older than its patience.
    clock.heard(at + ANSWER - 1);
    assert_eq!(clock.until(), None);
}

#[test]
fn a_watch_that_ends_at_once_again_and_again_is_called_at_a_pace() {
    let mut clock = pushed();
    let mut times = Vec::new();
    for _ in 0..20 {
        let at = call(&mut clock);
        times.push(at);
        clock.broke(at + 10);
    }
    assert!(times.windows(2).all(|pair| pair[1] - pair[0] == PACE), "{times:?}");
    assert_eq!(clock.until(), Some(START + GRACE));
}

#[test]
fn a_watch_that_brings_a_word_and_ends_at_once_does_not_age_the_list() {
    let mut clock = pushed();
    for _ in 0..20 {
        let at = call(&mut clock);
        clock.heard(at + 1);
        clock.broke(at + 2);
        assert_eq!(clock.until(), Some(at + 1 + MISSED + GRACE));
    }
}

#[test]
fn after_a_move_the_new_agents_list_counts_4_s_later_in_an_outage_too() {
    let mut clock = pushed();
    call(&mut clock);
    clock.heard(START);
    // The agent of before falls silent; half a second later the configuration says where the new one is.
    let moved = call(&mut clock) + SECOND / 2;
    clock.moved(moved);
    assert_eq!((clock.due(), clock.until()), (Some(moved), Some(moved + MOVED + GRACE)));
    assert_eq!(call(&mut clock), moved, "it is called at once, whenever the last call was");
    clock.broke(moved + 5);
    assert_eq!(clock.until(), Some(moved + MOVED + GRACE));
}

#[test]
fn a_service_that_all_share_is_never_called_by_the_clock() {
    let mut clock = ListClock::new(Mode::Asked, GRACE, START);
    assert_eq!((clock.due(), clock.until()), (None, None));
    clock.opened(START);
    assert_eq!(clock.due(), Some(START + TURN));
    assert_eq!(clock.act(START + TURN), Some(Act::Lose));
    clock.broke(START + TURN);
    assert_eq!((clock.due(), clock.act(START + 100 * SECOND)), (None, None));
    assert_eq!(clock.until(), Some(START + MISSED + GRACE), "a call that was given up tells nothing");
    clock.opened(START + 100 * SECOND);
    clock.heard(START + 101 * SECOND);
    // Noticed in time to ask again: the call may wait its turn before what was missed has counted for too long.
    const { assert!(SILENCE + TURN + SECOND < MISSED + GRACE) };
    assert_eq!(clock.act(START + 101 * SECOND + SILENCE), Some(Act::Lose));
}

fn asked() -> ListClock {
    let mut clock = ListClock::new(Mode::Asked, GRACE, START);
    clock.opened(START);
    clock.heard(START);
    clock
}

#[test]
fn while_a_service_refuses_each_call_the_time_runs_from_the_last_of_them() {
    // Down from 1 s on: what it has at its return counts 6 s after that, and the last refused call was made before it.
    let mut clock = asked();
    clock.broke(START + SECOND);
    assert_eq!(clock.until(), Some(START + MISSED + GRACE));
    let mut at = START + SECOND;
    for _ in 0..10 {
        at += SECOND;
        clock.opened(at);
        clock.broke(at + 2 * SECOND);
        assert_eq!(clock.until(), Some(at + MISSED + GRACE));
        at += 2 * SECOND;
    }
    clock.opened(at);
    assert_eq!(clock.until(), Some(at - 2 * SECOND + MISSED + GRACE), "a call alone tells nothing");
    clock.heard(at + 1);
    assert_eq!(clock.until(), None);
}

#[test]
fn after_a_silence_no_refused_call_gives_more_time() {
    let mut clock = asked();
    assert_eq!(clock.act(START + SILENCE), Some(Act::Lose));
    let strict = Some(START + MISSED + GRACE);
    for at in [START + 3 * SECOND, START + 6 * SECOND] {
        clock.opened(at);
        clock.broke(at + SECOND);
        assert_eq!(clock.until(), strict);
    }
    // One that was given up, or could not be made for want of a descriptor, is such a silence too.
    for give_up in [true, false] {
        let mut clock = asked();
        clock.broke(START + SECOND);
        clock.opened(START + 2 * SECOND);
        if give_up {
            assert_eq!(clock.act(START + 2 * SECOND + TURN), Some(Act::Lose));
        } else {
            clock.closed(START + 2 * SECOND);
        }
        clock.opened(START + 6 * SECOND);
        clock.broke(START + 7 * SECOND);
        assert_eq!(clock.until(), strict);
    }
}

#[test]
fn a_move_begins_a_new_time_and_refusals_there_count_again() {
    let mut clock = asked();
    assert_eq!(clock.act(START + SILENCE), Some(Act::Lose));
    clock.moved(START + 5 * SECOND);
    assert_eq!(clock.until(), Some(START + 5 * SECOND + MOVED + GRACE));
    clock.opened(START + 5 * SECOND);
    clock.broke(START + 7 * SECOND);
    assert_eq!(clock.until(), Some(START + 5 * SECOND + MISSED + GRACE));
}

proptest! {
    /// Whatever happens, in any order: where the list is asked for, nothing is acted on for longer than the last word, or
    /// the last call that was refused with no silence before it, allows; and never without a bound once a word is missing.
    #[test]
    fn an_asked_list_is_held_no_longer_than_is_known(steps in prop::collection::vec((0_u8..6, 0_u64..3 * SECOND), 1..200)) {
        let mut clock = asked();
        let (mut now, mut allowed, mut silent) = (START, START + MISSED + GRACE, false);
        for (what, later) in steps {
            now += later;
            match (what, clock.state()) {
                (0, State::Anew(_) | State::Told(_)) => {
                    clock.heard(now);
                    (allowed, silent) = (now + MISSED + GRACE, false);
                }
                (1, state) => {
                    if let State::Anew(called) = state && !silent {
                        allowed = allowed.max(called + MISSED + GRACE);
                    }
                    clock.broke(now);
                }
                (2, State::Broken(_)) => clock.opened(now),
                (3, State::Anew(_) | State::Told(_)) => {
                    clock.closed(now);
                    silent = true;
                }
                (4, _) => {
                    clock.moved(now);
                    (allowed, silent) = (now + MOVED + GRACE, false);
                }
                _ => {
                    if let Some(due) = clock.due() {
                        now = now.max(due);
                        prop_assert_eq!(clock.act(now), Some(Act::Lose));
                        silent = true;
                    }
                }
            }
            prop_assert!(clock.until().is_none_or(|until| until <= allowed));
            let told = matches!(clock.state(), State::Told(_));
            prop_assert!(clock.until().is_some() || told || matches!(clock.state(), State::Anew(_)));
        }
    }
}

proptest! {
    /// Whatever happens, in any order: an agent is always asked again, never faster than the pace, and the list is held
    /// to no later time than its last word allows.
    #[test]
    fn an_agent_is_always_asked_again_at_a_pace(steps in prop::collection::vec((0_u8..5, 0_u64..3 * SECOND), 1..200)) {
        let mut clock = pushed();
        let (mut now, mut last_call, mut allowed) = (START, None::<Micros>, START + GRACE);
        for (what, later) in steps {
            now += later;
            match what {
                0 => {
                    clock.heard(now);
                    allowed = now + MISSED + GRACE;
                }
                1 => clock.broke(now),
                2 => clock.closed(now),
                3 => {
                    clock.moved(now);
                    (last_call, allowed) = (None, now + MOVED + GRACE);
                }
                _ => {
                    let due = clock.due().expect("an agent is always asked again");
                    now = now.max(due);
                    prop_assert_eq!(clock.act(now), Some(Act::Open));
                    prop_assert!(last_call.is_none_or(|last| now >= last + PACE));
                    clock.opened(now);
                    last_call = Some(now);
                    prop_assert!(clock.due().is_some_and(|due| due > now), "no call without a rest after it");
                }
            }
            prop_assert!(clock.until().is_none_or(|until| until <= allowed));
        }
    }
}
