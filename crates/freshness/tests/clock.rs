//! The clock's states, caused one by one, and what must be so in any order of events.

use calicolb_freshness::{
    AGENT_TIMEOUT, KEEPALIVE_INTERVAL, ListLease, ListSource, MIN_CALL_INTERVAL, MISSED_CHANGE_DELAY,
    MOVE_DELAY, Micros, SERVICE_TIMEOUT, SILENCE_TIMEOUT, WRITE_DELAY_MARGIN, WatchAction, WatchState,
};
use proptest::prelude::*;

const SECOND: Micros = 1_000_000;
const GRACE: Micros = 2 * SECOND;
const START: Micros = 100 * SECOND;

/// Until when a list may be acted on whose news count as told at this time: a scheduler may be held up before it writes.
const fn lease(told: Micros) -> Micros {
    told + GRACE - WRITE_DELAY_MARGIN
}

fn pushed() -> ListLease {
    ListLease::new(ListSource::LocalAgent, GRACE, START)
}

/// Asks the clock at the time that it wants, and makes the call that it asks for; gives that time.
fn call(clock: &mut ListLease) -> Micros {
    let at = clock.due().expect("an agent is always asked again");
    assert_eq!(clock.poll(at), Some(WatchAction::Open));
    clock.watch_requested(at);
    at
}

#[test]
fn what_an_agent_holds_counts_from_the_first_moment_of_a_process() {
    let mut clock = pushed();
    assert_eq!((clock.due(), clock.lease_end()), (Some(START), Some(lease(START))));
    assert_eq!(call(&mut clock), START);
    assert_eq!(clock.lease_end(), Some(lease(START)), "a call alone tells nothing");
    clock.message_received(START + 1_000);
    assert_eq!(clock.lease_end(), Some(lease(START + 1_000 + MISSED_CHANGE_DELAY)));
}

#[test]
fn a_watch_that_falls_silent_is_begun_anew_and_the_list_ages_from_its_last_word() {
    let mut clock = pushed();
    call(&mut clock);
    clock.message_received(START);
    clock.message_received(START + KEEPALIVE_INTERVAL);
    let silent = START + KEEPALIVE_INTERVAL + SILENCE_TIMEOUT;
    assert_eq!(clock.poll(silent - 1), None);
    assert_eq!(call(&mut clock), silent);
    assert_eq!(clock.lease_end(), Some(lease(START + KEEPALIVE_INTERVAL + MISSED_CHANGE_DELAY)));
    // The new watch brings what was missed, long before it counts as told.
    assert!(silent + AGENT_TIMEOUT < START + KEEPALIVE_INTERVAL + MISSED_CHANGE_DELAY);
    clock.message_received(silent + 1);
    assert_eq!(clock.lease_end(), Some(lease(silent + 1 + MISSED_CHANGE_DELAY)));
    assert_eq!(clock.state(), WatchState::Open(silent + 1));
}

#[test]
fn an_agent_silent_for_8_s_is_called_each_second_and_its_list_grows_too_old() {
    let mut clock = pushed();
    call(&mut clock);
    clock.message_received(START);
    let (mut calls, mut at) = (0, START);
    while at < START + 8 * SECOND {
        at = call(&mut clock);
        calls += 1;
    }
    assert!((5..=7).contains(&calls), "{calls}");
    assert_eq!(
        clock.lease_end(),
        Some(lease(START + MISSED_CHANGE_DELAY)),
        "calls without an answer move nothing"
    );
    // What it got at its return counts at once: the call that is out by then is no older than its patience.
    clock.message_received(at + AGENT_TIMEOUT - 1);
    assert_eq!(clock.lease_end(), Some(lease(at + AGENT_TIMEOUT - 1 + MISSED_CHANGE_DELAY)));
}

#[test]
fn a_watch_that_ends_at_once_again_and_again_is_called_at_a_pace() {
    let mut clock = pushed();
    let mut times = Vec::new();
    for _ in 0..20 {
        let at = call(&mut clock);
        times.push(at);
        clock.watch_failed(at + 10);
    }
    assert!(times.windows(2).all(|pair| pair[1] - pair[0] == MIN_CALL_INTERVAL), "{times:?}");
    assert_eq!(clock.lease_end(), Some(lease(START)));
}

#[test]
fn a_watch_that_brings_a_word_and_ends_at_once_does_not_age_the_list() {
    let mut clock = pushed();
    for _ in 0..20 {
        let at = call(&mut clock);
        clock.message_received(at + 1);
        clock.watch_failed(at + 2);
        assert_eq!(clock.lease_end(), Some(lease(at + 1 + MISSED_CHANGE_DELAY)));
    }
}

#[test]
fn a_move_gives_an_old_list_no_more_time() {
    // After a move the new agent's list counts 4 s later, and what was missed before still 6 s after it was: the earlier
    // of the two.
    let mut clock = pushed();
    call(&mut clock);
    clock.message_received(START);
    // The agent of before falls silent; half a second later the configuration says where the new one is.
    let moved = call(&mut clock) + SECOND / 2;
    assert!(moved + MOVE_DELAY > START + MISSED_CHANGE_DELAY);
    clock.discovery_moved(moved);
    assert_eq!((clock.due(), clock.lease_end()), (Some(moved), Some(lease(START + MISSED_CHANGE_DELAY))));
    assert_eq!(call(&mut clock), moved, "it is called at once, whenever the last call was");
    clock.watch_failed(moved + 5);
    assert_eq!(clock.lease_end(), Some(lease(START + MISSED_CHANGE_DELAY)));
    // Right after a word the move sets the earlier time.
    let mut clock = pushed();
    call(&mut clock);
    clock.message_received(START);
    clock.discovery_moved(START + SECOND);
    assert_eq!(clock.lease_end(), Some(lease(START + SECOND + MOVE_DELAY)));
}

#[test]
fn a_service_that_all_share_is_never_called_by_the_clock() {
    let mut clock = ListLease::new(ListSource::SharedService, GRACE, START);
    assert_eq!((clock.due(), clock.lease_end()), (None, Some(START)), "nobody has confirmed the list yet");
    clock.watch_requested(START);
    assert_eq!(clock.due(), Some(START + SERVICE_TIMEOUT));
    assert_eq!(clock.poll(START + SERVICE_TIMEOUT), Some(WatchAction::GiveUp));
    clock.watch_failed(START + SERVICE_TIMEOUT);
    assert_eq!((clock.due(), clock.poll(START + 100 * SECOND)), (None, None));
    assert_eq!(clock.lease_end(), Some(START), "a call that was given up tells nothing");
    clock.watch_requested(START + 100 * SECOND);
    clock.message_received(START + 101 * SECOND);
    // Noticed in time to ask again: the call may wait its turn before what was missed has counted for too long.
    const { assert!(SILENCE_TIMEOUT + SERVICE_TIMEOUT + SECOND < MISSED_CHANGE_DELAY + GRACE) };
    assert_eq!(clock.poll(START + 101 * SECOND + SILENCE_TIMEOUT), Some(WatchAction::GiveUp));
}

fn asked() -> ListLease {
    let mut clock = ListLease::new(ListSource::SharedService, GRACE, START);
    clock.watch_requested(START);
    clock.message_received(START);
    clock
}

#[test]
fn while_a_service_refuses_each_call_the_time_runs_from_the_last_of_them() {
    // Down from 1 s on: what it has at its return counts 6 s after that, and the last refused call was made before it.
    let mut clock = asked();
    clock.watch_failed(START + SECOND);
    assert_eq!(clock.lease_end(), Some(lease(START + MISSED_CHANGE_DELAY)));
    let mut at = START + SECOND;
    for _ in 0..10 {
        at += SECOND;
        clock.watch_requested(at);
        clock.watch_failed(at + 2 * SECOND);
        assert_eq!(clock.lease_end(), Some(lease(at + MISSED_CHANGE_DELAY)));
        at += 2 * SECOND;
    }
    clock.watch_requested(at);
    assert_eq!(
        clock.lease_end(),
        Some(lease(at - 2 * SECOND + MISSED_CHANGE_DELAY)),
        "a call alone tells nothing"
    );
    clock.message_received(at + 1);
    assert_eq!(clock.lease_end(), Some(lease(at + 1 + MISSED_CHANGE_DELAY)));
}

#[test]
fn after_a_silence_no_refused_call_gives_more_time() {
    let mut clock = asked();
    assert_eq!(clock.poll(START + SILENCE_TIMEOUT), Some(WatchAction::GiveUp));
    let strict = Some(lease(START + MISSED_CHANGE_DELAY));
    for at in [START + 3 * SECOND, START + 6 * SECOND] {
        clock.watch_requested(at);
        clock.watch_failed(at + SECOND);
        assert_eq!(clock.lease_end(), strict);
    }
    // One that was given up, or could not be made for want of a descriptor, is such a silence too.
    for give_up in [true, false] {
        let mut clock = asked();
        clock.watch_failed(START + SECOND);
        clock.watch_requested(START + 2 * SECOND);
        if give_up {
            assert_eq!(clock.poll(START + 2 * SECOND + SERVICE_TIMEOUT), Some(WatchAction::GiveUp));
        } else {
            clock.watch_closed(START + 2 * SECOND);
        }
        clock.watch_requested(START + 6 * SECOND);
        clock.watch_failed(START + 7 * SECOND);
        assert_eq!(clock.lease_end(), strict);
    }
}

#[test]
fn a_move_hides_no_silence_and_refusals_there_count_only_without_one() {
    // The old discovery had fallen silent, reachable perhaps: what it told then counts in its time, whatever is moved.
    let mut clock = asked();
    assert_eq!(clock.poll(START + SILENCE_TIMEOUT), Some(WatchAction::GiveUp));
    clock.discovery_moved(START + 5 * SECOND);
    clock.watch_requested(START + 5 * SECOND);
    clock.watch_failed(START + 7 * SECOND);
    assert_eq!(clock.lease_end(), Some(lease(START + MISSED_CHANGE_DELAY)));
    // One that had ended the watch was down; the new one is, too.
    let mut clock = asked();
    clock.watch_failed(START + SECOND);
    clock.discovery_moved(START + 5 * SECOND);
    assert_eq!(clock.lease_end(), Some(lease(START + MISSED_CHANGE_DELAY)));
    clock.watch_requested(START + 5 * SECOND);
    clock.watch_failed(START + 7 * SECOND);
    assert_eq!(clock.lease_end(), Some(lease(START + 5 * SECOND + MISSED_CHANGE_DELAY)));
}

#[test]
fn a_list_that_was_never_confirmed_is_never_acted_on_where_it_is_asked_for() {
    let mut clock = ListLease::new(ListSource::SharedService, GRACE, START);
    for step in 0..10 {
        let at = START + step * 3 * SECOND;
        clock.watch_requested(at);
        clock.watch_failed(at + 2 * SECOND);
        assert_eq!(clock.lease_end(), Some(START), "a refusal says nothing of the time before the process");
    }
    clock.discovery_moved(START + 40 * SECOND);
    assert_eq!(clock.lease_end(), Some(START));
    clock.message_received(START + 50 * SECOND);
    assert_eq!(clock.lease_end(), Some(lease(START + 50 * SECOND + MISSED_CHANGE_DELAY)));
}

#[test]
fn without_discovery_a_list_holds_without_a_limit() {
    let clock = ListLease::new(ListSource::Fixed, GRACE, START);
    assert_eq!((clock.due(), clock.lease_end()), (None, None));
}

#[test]
fn bytes_that_are_no_whole_word_keep_a_watch_open_for_a_while_and_renew_nothing() {
    let mut clock = asked();
    let mut at = START;
    while clock.poll(at).is_none() {
        assert_eq!(clock.lease_end(), Some(lease(START + MISSED_CHANGE_DELAY)));
        clock.bytes_received(at);
        at += SECOND;
        assert!(at < START + 20 * SECOND, "the watch is never given up");
    }
    assert_eq!(at, START + MISSED_CHANGE_DELAY);
    // The rest of a long first answer may take longer than one that waits its turn.
    let mut clock = ListLease::new(ListSource::SharedService, GRACE, START);
    clock.watch_requested(START);
    clock.bytes_received(START + 2 * SECOND);
    assert_eq!(clock.poll(START + SERVICE_TIMEOUT), None);
    assert_eq!(clock.due(), Some(START + 2 * SECOND + SERVICE_TIMEOUT));
}

#[test]
fn whoever_has_the_same_list_confirms_it_and_who_got_through_ends_the_excuse_of_refusals() {
    let mut clock = asked();
    clock.watch_failed(START + SECOND);
    clock.confirm(START + 3 * SECOND);
    assert_eq!(clock.lease_end(), Some(lease(START + 3 * SECOND + MISSED_CHANGE_DELAY)));
    clock.confirm(START + 2 * SECOND);
    assert_eq!(clock.confirmed(), Some(START + 3 * SECOND), "an older word changes nothing");
    clock.watch_requested(START + 5 * SECOND);
    clock.watch_failed(START + 7 * SECOND);
    assert_eq!(clock.lease_end(), Some(lease(START + 5 * SECOND + MISSED_CHANGE_DELAY)));
    // Somebody got through before that call was refused: it was crowded, not down.
    clock.discovery_reachable(START + 4 * SECOND);
    assert_eq!(clock.lease_end(), Some(lease(START + 4 * SECOND + MISSED_CHANGE_DELAY)));
    clock.watch_requested(START + 8 * SECOND);
    clock.watch_failed(START + 9 * SECOND);
    assert_eq!(clock.lease_end(), Some(lease(START + 4 * SECOND + MISSED_CHANGE_DELAY)));
}

/// What happens: discovery moves (SIGHUP), and what is to be had at the new place counts 4 s later. A scheduler that had its
/// word from the old place vouches for the same list, and the end of the lease moves to 6 s after that word. Why:
/// `ListLease::confirm` lifted `told` whatever `moved` had cut it to. The figures: a move at 0 s, a word of the old place at
/// 3 s, and the list was acted on until 9 s and the grace, where 4 s and the grace were allowed.
#[test]
fn after_a_move_no_witness_gives_a_list_more_time_before_the_next_own_word() {
    for witnessed in [START + SECOND, START + 3 * SECOND] {
        let mut clock = asked();
        clock.watch_failed(START + SECOND / 2);
        let moved = START + 2 * SECOND;
        clock.discovery_moved(moved);
        clock.watch_requested(moved);
        let strict = Some(lease(START + MISSED_CHANGE_DELAY));
        assert_eq!(clock.lease_end(), strict);
        clock.confirm(witnessed);
        assert_eq!(clock.lease_end(), strict, "a word at {witnessed} may be of the old discovery");
        clock.message_received(START + 5 * SECOND);
        clock.confirm(START + 6 * SECOND);
        assert_eq!(
            clock.lease_end(),
            Some(lease(START + 6 * SECOND + MISSED_CHANGE_DELAY)),
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
        let (mut now, mut allowed, mut silent, mut moved) = (START, lease(START + MISSED_CHANGE_DELAY), false, false);
        for (what, later, ago) in steps {
            now += later;
            let at = now.saturating_sub(ago).max(START);
            match (what, clock.state()) {
                (0, WatchState::Opening(_) | WatchState::Open(_)) => {
                    clock.message_received(now);
                    (allowed, silent, moved) = (lease(now + MISSED_CHANGE_DELAY), false, false);
                }
                (1, state) => {
                    if let WatchState::Opening(called) = state && !silent {
                        allowed = allowed.max(lease(called + MISSED_CHANGE_DELAY));
                    }
                    clock.watch_failed(now);
                }
                (2, WatchState::Closed(_)) => clock.watch_requested(now),
                (3, WatchState::Opening(_) | WatchState::Open(_)) => {
                    clock.watch_closed(now);
                    silent = true;
                }
                (4, _) => {
                    clock.discovery_moved(now);
                    (allowed, moved) = (allowed.min(lease(now + MOVE_DELAY)), true);
                }
                (5, _) if clock.confirmed().is_some_and(|confirmed| at > confirmed) => {
                    clock.confirm(at);
                    if !moved {
                        (allowed, silent) = (allowed.max(lease(at + MISSED_CHANGE_DELAY)), false);
                    }
                }
                (6, _) if clock.confirmed().is_some_and(|confirmed| at > confirmed) => {
                    clock.discovery_reachable(at);
                    (allowed, silent) = (allowed.min(lease(at + MISSED_CHANGE_DELAY)), true);
                }
                _ => {
                    if let Some(due) = clock.due() {
                        now = now.max(due);
                        prop_assert_eq!(clock.poll(now), Some(WatchAction::GiveUp));
                        silent = true;
                    }
                }
            }
            prop_assert!(clock.lease_end().is_some_and(|until| until <= allowed));
        }
    }
}

proptest! {
    /// Whatever happens, in any order: where the list is asked for, nothing is acted on for longer than the last word, or
    /// the last call that was refused with no silence before it, allows; and never without a bound once a word is missing.
    #[test]
    fn an_asked_list_is_held_no_longer_than_is_known(steps in prop::collection::vec((0_u8..6, 0_u64..3 * SECOND), 1..200)) {
        let mut clock = asked();
        let (mut now, mut allowed, mut silent) = (START, lease(START + MISSED_CHANGE_DELAY), false);
        for (what, later) in steps {
            now += later;
            match (what, clock.state()) {
                (0, WatchState::Opening(_) | WatchState::Open(_)) => {
                    clock.message_received(now);
                    (allowed, silent) = (lease(now + MISSED_CHANGE_DELAY), false);
                }
                (1, state) => {
                    if let WatchState::Opening(called) = state && !silent {
                        allowed = allowed.max(lease(called + MISSED_CHANGE_DELAY));
                    }
                    clock.watch_failed(now);
                }
                (2, WatchState::Closed(_)) => clock.watch_requested(now),
                (3, WatchState::Opening(_) | WatchState::Open(_)) => {
                    clock.watch_closed(now);
                    silent = true;
                }
                (4, _) => {
                    clock.discovery_moved(now);
                    allowed = allowed.min(lease(now + MOVE_DELAY));
                }
                _ => {
                    if let Some(due) = clock.due() {
                        now = now.max(due);
                        prop_assert_eq!(clock.poll(now), Some(WatchAction::GiveUp));
                        silent = true;
                    }
                }
            }
            prop_assert!(clock.lease_end().is_some_and(|until| until <= allowed));
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
                    clock.message_received(now);
                    allowed = lease(now + MISSED_CHANGE_DELAY);
                }
                1 => clock.watch_failed(now),
                2 => clock.watch_closed(now),
                3 => {
                    clock.discovery_moved(now);
                    (last_call, allowed) = (None, allowed.min(lease(now + MOVE_DELAY)));
                }
                _ => {
                    let due = clock.due().expect("an agent is always asked again");
                    now = now.max(due);
                    prop_assert_eq!(clock.poll(now), Some(WatchAction::Open));
                    prop_assert!(last_call.is_none_or(|last| now >= last + MIN_CALL_INTERVAL));
                    clock.watch_requested(now);
                    last_call = Some(now);
                    prop_assert!(clock.due().is_some_and(|due| due > now), "no call without a rest after it");
                }
            }
            prop_assert!(clock.lease_end().is_some_and(|until| until <= allowed));
        }
    }
}
