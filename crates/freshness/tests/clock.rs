//! The clock's states, caused one by one, and what must be so in any order of events.

use calicolb_freshness::{
    ANSWER, Act, BEAT, HELD_UP, ListClock, MISSED, MOVED, Micros, Mode, PACE, SILENCE, State, TURN,
};
use proptest::prelude::*;

const SECOND: Micros = 1_000_000;
const GRACE: Micros = 2 * SECOND;
const START: Micros = 100 * SECOND;

/// Until when a list may be acted on whose news count as told at this time: a scheduler may be held up before it writes.
const fn lease(told: Micros) -> Micros {
    told + GRACE - HELD_UP
}

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
    assert_eq!((clock.due(), clock.until()), (Some(START), Some(lease(START))));
    assert_eq!(call(&mut clock), START);
    assert_eq!(clock.until(), Some(lease(START)), "a call alone tells nothing");
    clock.heard(START + 1_000);
    assert_eq!(clock.until(), Some(lease(START + 1_000 + MISSED)));
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
    assert_eq!(clock.until(), Some(lease(START + BEAT + MISSED)));
    // The new watch brings what was missed, long before it counts as told.
    assert!(silent + ANSWER < START + BEAT + MISSED);
    clock.heard(silent + 1);
    assert_eq!(clock.until(), Some(lease(silent + 1 + MISSED)));
    assert_eq!(clock.state(), State::Told(silent + 1));
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
    assert_eq!(clock.until(), Some(lease(START + MISSED)), "calls without an answer move nothing");
    // What it got at its return counts at once: the call that is out by then is no older than its patience.
    clock.heard(at + ANSWER - 1);
    assert_eq!(clock.until(), Some(lease(at + ANSWER - 1 + MISSED)));
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
    assert_eq!(clock.until(), Some(lease(START)));
}

#[test]
fn a_watch_that_brings_a_word_and_ends_at_once_does_not_age_the_list() {
    let mut clock = pushed();
    for _ in 0..20 {
        let at = call(&mut clock);
        clock.heard(at + 1);
        clock.broke(at + 2);
        assert_eq!(clock.until(), Some(lease(at + 1 + MISSED)));
    }
}

#[test]
fn a_move_gives_an_old_list_no_more_time() {
    // After a move the new agent's list counts 4 s later, and what was missed before still 6 s after it was: the earlier
    // of the two.
    let mut clock = pushed();
    call(&mut clock);
    clock.heard(START);
    // The agent of before falls silent; half a second later the configuration says where the new one is.
    let moved = call(&mut clock) + SECOND / 2;
    assert!(moved + MOVED > START + MISSED);
    clock.moved(moved);
    assert_eq!((clock.due(), clock.until()), (Some(moved), Some(lease(START + MISSED))));
    assert_eq!(call(&mut clock), moved, "it is called at once, whenever the last call was");
    clock.broke(moved + 5);
    assert_eq!(clock.until(), Some(lease(START + MISSED)));
    // Right after a word the move sets the earlier time.
    let mut clock = pushed();
    call(&mut clock);
    clock.heard(START);
    clock.moved(START + SECOND);
    assert_eq!(clock.until(), Some(lease(START + SECOND + MOVED)));
}

#[test]
fn a_service_that_all_share_is_never_called_by_the_clock() {
    let mut clock = ListClock::new(Mode::Asked, GRACE, START);
    assert_eq!((clock.due(), clock.until()), (None, Some(START)), "nobody has confirmed the list yet");
    clock.opened(START);
    assert_eq!(clock.due(), Some(START + TURN));
    assert_eq!(clock.act(START + TURN), Some(Act::Lose));
    clock.broke(START + TURN);
    assert_eq!((clock.due(), clock.act(START + 100 * SECOND)), (None, None));
    assert_eq!(clock.until(), Some(START), "a call that was given up tells nothing");
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
    assert_eq!(clock.until(), Some(lease(START + MISSED)));
    let mut at = START + SECOND;
    for _ in 0..10 {
        at += SECOND;
        clock.opened(at);
        clock.broke(at + 2 * SECOND);
        assert_eq!(clock.until(), Some(lease(at + MISSED)));
        at += 2 * SECOND;
    }
    clock.opened(at);
    assert_eq!(clock.until(), Some(lease(at - 2 * SECOND + MISSED)), "a call alone tells nothing");
    clock.heard(at + 1);
    assert_eq!(clock.until(), Some(lease(at + 1 + MISSED)));
}

#[test]
fn after_a_silence_no_refused_call_gives_more_time() {
    let mut clock = asked();
    assert_eq!(clock.act(START + SILENCE), Some(Act::Lose));
    let strict = Some(lease(START + MISSED));
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
fn a_move_hides_no_silence_and_refusals_there_count_only_without_one() {
    // The old discovery had fallen silent, reachable perhaps: what it told then counts in its time, whatever is moved.
    let mut clock = asked();
    assert_eq!(clock.act(START + SILENCE), Some(Act::Lose));
    clock.moved(START + 5 * SECOND);
    clock.opened(START + 5 * SECOND);
    clock.broke(START + 7 * SECOND);
    assert_eq!(clock.until(), Some(lease(START + MISSED)));
    // One that had ended the watch was down; the new one is, too.
    let mut clock = asked();
    clock.broke(START + SECOND);
    clock.moved(START + 5 * SECOND);
    assert_eq!(clock.until(), Some(lease(START + MISSED)));
    clock.opened(START + 5 * SECOND);
    clock.broke(START + 7 * SECOND);
    assert_eq!(clock.until(), Some(lease(START + 5 * SECOND + MISSED)));
}

#[test]
fn a_list_that_was_never_confirmed_is_never_acted_on_where_it_is_asked_for() {
    let mut clock = ListClock::new(Mode::Asked, GRACE, START);
    for step in 0..10 {
        let at = START + step * 3 * SECOND;
        clock.opened(at);
        clock.broke(at + 2 * SECOND);
        assert_eq!(clock.until(), Some(START), "a refusal says nothing of the time before the process");
    }
    clock.moved(START + 40 * SECOND);
    assert_eq!(clock.until(), Some(START));
    clock.heard(START + 50 * SECOND);
    assert_eq!(clock.until(), Some(lease(START + 50 * SECOND + MISSED)));
}

#[test]
fn without_discovery_a_list_holds_without_a_limit() {
    let clock = ListClock::new(Mode::Fixed, GRACE, START);
    assert_eq!((clock.due(), clock.until()), (None, None));
}

#[test]
fn bytes_that_are_no_whole_word_keep_a_watch_open_for_a_while_and_renew_nothing() {
    let mut clock = asked();
    let mut at = START;
    while clock.act(at).is_none() {
        assert_eq!(clock.until(), Some(lease(START + MISSED)));
        clock.received(at);
        at += SECOND;
        assert!(at < START + 20 * SECOND, "the watch is never given up");
    }
    assert_eq!(at, START + MISSED);
    // The rest of a long first answer may take longer than one that waits its turn.
    let mut clock = ListClock::new(Mode::Asked, GRACE, START);
    clock.opened(START);
    clock.received(START + 2 * SECOND);
    assert_eq!(clock.act(START + TURN), None);
    assert_eq!(clock.due(), Some(START + 2 * SECOND + TURN));
}

#[test]
fn whoever_has_the_same_list_confirms_it_and_who_got_through_ends_the_excuse_of_refusals() {
    let mut clock = asked();
    clock.broke(START + SECOND);
    clock.confirm(START + 3 * SECOND);
    assert_eq!(clock.until(), Some(lease(START + 3 * SECOND + MISSED)));
    clock.confirm(START + 2 * SECOND);
    assert_eq!(clock.confirmed(), Some(START + 3 * SECOND), "an older word changes nothing");
    clock.opened(START + 5 * SECOND);
    clock.broke(START + 7 * SECOND);
    assert_eq!(clock.until(), Some(lease(START + 5 * SECOND + MISSED)));
    // Somebody got through before that call was refused: it was crowded, not down.
    clock.reachable(START + 4 * SECOND);
    assert_eq!(clock.until(), Some(lease(START + 4 * SECOND + MISSED)));
    clock.opened(START + 8 * SECOND);
    clock.broke(START + 9 * SECOND);
    assert_eq!(clock.until(), Some(lease(START + 4 * SECOND + MISSED)));
}

/// What happens: discovery moves (SIGHUP), and what is to be had at the new place counts 4 s later. A scheduler that had its
/// word from the old place vouches for the same list, and the end of the lease moves to 6 s after that word. Why:
/// `ListClock::confirm` lifted `told` whatever `moved` had cut it to. The figures: a move at 0 s, a word of the old place at
/// 3 s, and the list was acted on until 9 s and the grace, where 4 s and the grace were allowed.
#[test]
fn after_a_move_no_witness_gives_a_list_more_time_before_the_next_own_word() {
    for witnessed in [START + SECOND, START + 3 * SECOND] {
        let mut clock = asked();
        clock.broke(START + SECOND / 2);
        let moved = START + 2 * SECOND;
        clock.moved(moved);
        clock.opened(moved);
        let strict = Some(lease(START + MISSED));
        assert_eq!(clock.until(), strict);
        clock.confirm(witnessed);
        assert_eq!(clock.until(), strict, "a word at {witnessed} may be of the old discovery");
        clock.heard(START + 5 * SECOND);
        clock.confirm(START + 6 * SECOND);
        assert_eq!(
            clock.until(),
            Some(lease(START + 6 * SECOND + MISSED)),
            "after an own word witnesses count"
        );
    }
}

proptest! {
    /// Any order of moves, words, witnesses, refusals and silences: never longer in force than the earliest term that binds.
    #[test]
    fn moves_and_witnesses_in_any_order_give_no_more_time_than_is_known(
        steps in prop::collection::vec((0_u8..8, 0_u64..3 * SECOND, 0_u64..8 * SECOND), 1..200),
    ) {
        let mut clock = asked();
        let (mut now, mut allowed, mut silent, mut moved) = (START, lease(START + MISSED), false, false);
        for (what, later, ago) in steps {
            now += later;
            let at = now.saturating_sub(ago).max(START);
            match (what, clock.state()) {
                (0, State::Anew(_) | State::Told(_)) => {
                    clock.heard(now);
                    (allowed, silent, moved) = (lease(now + MISSED), false, false);
                }
                (1, state) => {
                    if let State::Anew(called) = state && !silent {
                        allowed = allowed.max(lease(called + MISSED));
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
                    (allowed, moved) = (allowed.min(lease(now + MOVED)), true);
                }
                (5, _) if clock.confirmed().is_some_and(|confirmed| at > confirmed) => {
                    clock.confirm(at);
                    if !moved {
                        (allowed, silent) = (allowed.max(lease(at + MISSED)), false);
                    }
                }
                (6, _) if clock.confirmed().is_some_and(|confirmed| at > confirmed) => {
                    clock.reachable(at);
                    (allowed, silent) = (allowed.min(lease(at + MISSED)), true);
                }
                _ => {
                    if let Some(due) = clock.due() {
                        now = now.max(due);
                        prop_assert_eq!(clock.act(now), Some(Act::Lose));
                        silent = true;
                    }
                }
            }
            prop_assert!(clock.until().is_some_and(|until| until <= allowed));
        }
    }
}

proptest! {
    /// Whatever happens, in any order: where the list is asked for, nothing is acted on for longer than the last word, or
    /// the last call that was refused with no silence before it, allows; and never without a bound once a word is missing.
    #[test]
    fn an_asked_list_is_held_no_longer_than_is_known(steps in prop::collection::vec((0_u8..6, 0_u64..3 * SECOND), 1..200)) {
        let mut clock = asked();
        let (mut now, mut allowed, mut silent) = (START, lease(START + MISSED), false);
        for (what, later) in steps {
            now += later;
            match (what, clock.state()) {
                (0, State::Anew(_) | State::Told(_)) => {
                    clock.heard(now);
                    (allowed, silent) = (lease(now + MISSED), false);
                }
                (1, state) => {
                    if let State::Anew(called) = state && !silent {
                        allowed = allowed.max(lease(called + MISSED));
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
                    allowed = allowed.min(lease(now + MOVED));
                }
                _ => {
                    if let Some(due) = clock.due() {
                        now = now.max(due);
                        prop_assert_eq!(clock.act(now), Some(Act::Lose));
                        silent = true;
                    }
                }
            }
            prop_assert!(clock.until().is_some_and(|until| until <= allowed));
        }
    }
}

proptest! {
    /// Whatever happens, in any order: an agent is always asked again, never faster than the pace, and the list is held
    /// to no later time than its last word allows.
    #[test]
    fn an_agent_is_always_asked_again_at_a_pace(steps in prop::collection::vec((0_u8..5, 0_u64..3 * SECOND), 1..200)) {
        let mut clock = pushed();
        let (mut now, mut last_call, mut allowed) = (START, None::<Micros>, lease(START));
        for (what, later) in steps {
            now += later;
            match what {
                0 => {
                    clock.heard(now);
                    allowed = lease(now + MISSED);
                }
                1 => clock.broke(now),
                2 => clock.closed(now),
                3 => {
                    clock.moved(now);
                    (last_call, allowed) = (None, allowed.min(lease(now + MOVED)));
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
            prop_assert!(clock.until().is_some_and(|until| until <= allowed));
        }
    }
}
