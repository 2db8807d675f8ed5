//! Tests of the lease on the worker list: single sequences of events, and properties that hold for any order of events.

use calicolb_freshness::{
    AGENT_TIMEOUT, KEEPALIVE_INTERVAL, ListLease, ListSource, MIN_CALL_INTERVAL, MISSED_CHANGE_DELAY,
    MOVE_DELAY, Micros, SERVICE_TIMEOUT, SILENCE_TIMEOUT, WRITE_DELAY_MARGIN, WatchAction, WatchState,
};
use proptest::prelude::*;

const SECOND: Micros = 1_000_000;
const GRACE: Micros = 2 * SECOND;
const START: Micros = 100 * SECOND;

/// Returns the end of the lease if missed changes count as notified at this time: the grace period after it, minus the
/// margin for the delay of a scheduler before it writes.
const fn lease_end(notified_at: Micros) -> Micros {
    notified_at + GRACE - WRITE_DELAY_MARGIN
}

/// Returns the lease of a new process with a local agent.
fn local_agent_lease() -> ListLease {
    ListLease::new(ListSource::LocalAgent, GRACE, START)
}

/// Makes the call that the lease requests, at the time when it is due, and returns that time.
fn call(lease: &mut ListLease) -> Micros {
    let at = lease.due().expect("no call to the agent is due");
    assert_eq!(lease.poll(at), Some(WatchAction::Open));
    lease.watch_requested(at);
    at
}

#[test]
fn changes_at_the_agent_count_as_notified_from_the_start_of_the_process() {
    let mut lease = local_agent_lease();
    assert_eq!((lease.due(), lease.lease_end()), (Some(START), Some(lease_end(START))));
    assert_eq!(call(&mut lease), START);
    assert_eq!(lease.lease_end(), Some(lease_end(START)), "a call alone must not renew the lease");
    lease.message_received(START + 1_000);
    assert_eq!(lease.lease_end(), Some(lease_end(START + 1_000 + MISSED_CHANGE_DELAY)));
}

#[test]
fn silent_watch_is_reopened_and_the_lease_counts_from_its_last_message() {
    let mut lease = local_agent_lease();
    call(&mut lease);
    lease.message_received(START);
    lease.message_received(START + KEEPALIVE_INTERVAL);
    let silent = START + KEEPALIVE_INTERVAL + SILENCE_TIMEOUT;
    assert_eq!(lease.poll(silent - 1), None);
    assert_eq!(call(&mut lease), silent);
    assert_eq!(lease.lease_end(), Some(lease_end(START + KEEPALIVE_INTERVAL + MISSED_CHANGE_DELAY)));
    // The new watch brings the missed changes long before they count as notified.
    assert!(silent + AGENT_TIMEOUT < START + KEEPALIVE_INTERVAL + MISSED_CHANGE_DELAY);
    lease.message_received(silent + 1);
    assert_eq!(lease.lease_end(), Some(lease_end(silent + 1 + MISSED_CHANGE_DELAY)));
    assert_eq!(lease.state(), WatchState::Open(silent + 1));
}

#[test]
fn agent_silent_for_8_s_is_called_each_second_and_the_lease_is_not_renewed() {
    let mut lease = local_agent_lease();
    call(&mut lease);
    lease.message_received(START);
    let (mut calls, mut at) = (0, START);
    while at < START + 8 * SECOND {
        at = call(&mut lease);
        calls += 1;
    }
    assert!((5..=7).contains(&calls), "{calls}");
    assert_eq!(
        lease.lease_end(),
        Some(lease_end(START + MISSED_CHANGE_DELAY)),
        "calls without an answer must not renew the lease"
    );
    // After its return the agent answers the outstanding call, which is no older than the timeout of a call.
    lease.message_received(at + AGENT_TIMEOUT - 1);
    assert_eq!(lease.lease_end(), Some(lease_end(at + AGENT_TIMEOUT - 1 + MISSED_CHANGE_DELAY)));
}

#[test]
fn watches_that_end_at_once_are_reopened_at_the_minimum_interval() {
    let mut lease = local_agent_lease();
    let mut times = Vec::new();
    for _ in 0..20 {
        let at = call(&mut lease);
        times.push(at);
        lease.watch_failed(at + 10);
    }
    assert!(times.windows(2).all(|pair| pair[1] - pair[0] == MIN_CALL_INTERVAL), "{times:?}");
    assert_eq!(lease.lease_end(), Some(lease_end(START)));
}

#[test]
fn watch_that_ends_after_one_message_renews_the_lease() {
    let mut lease = local_agent_lease();
    for _ in 0..20 {
        let at = call(&mut lease);
        lease.message_received(at + 1);
        lease.watch_failed(at + 2);
        assert_eq!(lease.lease_end(), Some(lease_end(at + 1 + MISSED_CHANGE_DELAY)));
    }
}

#[test]
fn move_of_discovery_does_not_extend_the_lease() {
    // Changes at the new agent count as notified 4 s after the move, and changes that were missed before still 6 s
    // after they were missed. The earlier of the two times applies.
    let mut lease = local_agent_lease();
    call(&mut lease);
    lease.message_received(START);
    // The old agent falls silent; half a second later the configuration names the new one.
    let moved = call(&mut lease) + SECOND / 2;
    assert!(moved + MOVE_DELAY > START + MISSED_CHANGE_DELAY);
    lease.discovery_moved(moved);
    assert_eq!((lease.due(), lease.lease_end()), (Some(moved), Some(lease_end(START + MISSED_CHANGE_DELAY))));
    assert_eq!(call(&mut lease), moved, "the new agent must be called at once, whenever the last call was");
    lease.watch_failed(moved + 5);
    assert_eq!(lease.lease_end(), Some(lease_end(START + MISSED_CHANGE_DELAY)));
    // If the move follows a message directly, the time after the move is the earlier one.
    let mut lease = local_agent_lease();
    call(&mut lease);
    lease.message_received(START);
    lease.discovery_moved(START + SECOND);
    assert_eq!(lease.lease_end(), Some(lease_end(START + SECOND + MOVE_DELAY)));
}

#[test]
fn lease_requests_no_calls_to_a_shared_service() {
    let mut lease = ListLease::new(ListSource::SharedService, GRACE, START);
    assert_eq!((lease.due(), lease.lease_end()), (None, Some(START)), "the list was never confirmed");
    lease.watch_requested(START);
    assert_eq!(lease.due(), Some(START + SERVICE_TIMEOUT));
    assert_eq!(lease.poll(START + SERVICE_TIMEOUT), Some(WatchAction::GiveUp));
    lease.watch_failed(START + SERVICE_TIMEOUT);
    assert_eq!((lease.due(), lease.poll(START + 100 * SECOND)), (None, None));
    assert_eq!(lease.lease_end(), Some(START), "a call that was given up must not renew the lease");
    lease.watch_requested(START + 100 * SECOND);
    lease.message_received(START + 101 * SECOND);
    // The silence is noticed early enough for another call, even one that is queued at the service, before the lease
    // ends.
    const { assert!(SILENCE_TIMEOUT + SERVICE_TIMEOUT + SECOND < MISSED_CHANGE_DELAY + GRACE) };
    assert_eq!(lease.poll(START + 101 * SECOND + SILENCE_TIMEOUT), Some(WatchAction::GiveUp));
}

/// Returns a lease with a shared service that has received a message at `START`.
fn shared_service_lease() -> ListLease {
    let mut lease = ListLease::new(ListSource::SharedService, GRACE, START);
    lease.watch_requested(START);
    lease.message_received(START);
    lease
}

#[test]
fn refused_calls_extend_the_lease_from_the_last_refused_call() {
    // The service is down from 1 s on. Changes that it has at its return count as notified 6 s later, and the last
    // refused call was made before its return.
    let mut lease = shared_service_lease();
    lease.watch_failed(START + SECOND);
    assert_eq!(lease.lease_end(), Some(lease_end(START + MISSED_CHANGE_DELAY)));
    let mut at = START + SECOND;
    for _ in 0..10 {
        at += SECOND;
        lease.watch_requested(at);
        lease.watch_failed(at + 2 * SECOND);
        assert_eq!(lease.lease_end(), Some(lease_end(at + MISSED_CHANGE_DELAY)));
        at += 2 * SECOND;
    }
    lease.watch_requested(at);
    assert_eq!(
        lease.lease_end(),
        Some(lease_end(at - 2 * SECOND + MISSED_CHANGE_DELAY)),
        "a call alone must not renew the lease"
    );
    lease.message_received(at + 1);
    assert_eq!(lease.lease_end(), Some(lease_end(at + 1 + MISSED_CHANGE_DELAY)));
}

#[test]
fn refused_calls_after_a_silence_do_not_extend_the_lease() {
    let mut lease = shared_service_lease();
    assert_eq!(lease.poll(START + SILENCE_TIMEOUT), Some(WatchAction::GiveUp));
    let unextended = Some(lease_end(START + MISSED_CHANGE_DELAY));
    for at in [START + 3 * SECOND, START + 6 * SECOND] {
        lease.watch_requested(at);
        lease.watch_failed(at + SECOND);
        assert_eq!(lease.lease_end(), unextended);
    }
    // A call that was given up, or that could not be made because descriptors ran out, counts as such a silence too.
    for give_up in [true, false] {
        let mut lease = shared_service_lease();
        lease.watch_failed(START + SECOND);
        lease.watch_requested(START + 2 * SECOND);
        if give_up {
            assert_eq!(lease.poll(START + 2 * SECOND + SERVICE_TIMEOUT), Some(WatchAction::GiveUp));
        } else {
            lease.watch_closed(START + 2 * SECOND);
        }
        lease.watch_requested(START + 6 * SECOND);
        lease.watch_failed(START + 7 * SECOND);
        assert_eq!(lease.lease_end(), unextended);
    }
}

#[test]
fn refused_calls_after_a_move_extend_the_lease_only_without_an_earlier_silence() {
    // The old service fell silent and may have been reachable: changes that it had then count as notified after the
    // usual delay, in spite of the move.
    let mut lease = shared_service_lease();
    assert_eq!(lease.poll(START + SILENCE_TIMEOUT), Some(WatchAction::GiveUp));
    lease.discovery_moved(START + 5 * SECOND);
    lease.watch_requested(START + 5 * SECOND);
    lease.watch_failed(START + 7 * SECOND);
    assert_eq!(lease.lease_end(), Some(lease_end(START + MISSED_CHANGE_DELAY)));
    // The old service ended the watch, so it was down; the new one is down, too.
    let mut lease = shared_service_lease();
    lease.watch_failed(START + SECOND);
    lease.discovery_moved(START + 5 * SECOND);
    assert_eq!(lease.lease_end(), Some(lease_end(START + MISSED_CHANGE_DELAY)));
    lease.watch_requested(START + 5 * SECOND);
    lease.watch_failed(START + 7 * SECOND);
    assert_eq!(lease.lease_end(), Some(lease_end(START + 5 * SECOND + MISSED_CHANGE_DELAY)));
}

#[test]
fn unconfirmed_list_of_a_shared_service_has_no_lease() {
    let mut lease = ListLease::new(ListSource::SharedService, GRACE, START);
    for step in 0..10 {
        let at = START + step * 3 * SECOND;
        lease.watch_requested(at);
        lease.watch_failed(at + 2 * SECOND);
        assert_eq!(
            lease.lease_end(),
            Some(START),
            "a refused call must not extend the lease of an unconfirmed list"
        );
    }
    lease.discovery_moved(START + 40 * SECOND);
    assert_eq!(lease.lease_end(), Some(START));
    lease.message_received(START + 50 * SECOND);
    assert_eq!(lease.lease_end(), Some(lease_end(START + 50 * SECOND + MISSED_CHANGE_DELAY)));
}

#[test]
fn lease_without_discovery_has_no_end() {
    let lease = ListLease::new(ListSource::Fixed, GRACE, START);
    assert_eq!((lease.due(), lease.lease_end()), (None, None));
}

#[test]
fn incomplete_messages_keep_the_watch_open_for_a_limited_time_and_do_not_renew_the_lease() {
    let mut lease = shared_service_lease();
    let mut at = START;
    while lease.poll(at).is_none() {
        assert_eq!(lease.lease_end(), Some(lease_end(START + MISSED_CHANGE_DELAY)));
        lease.bytes_received(at);
        at += SECOND;
        assert!(at < START + 20 * SECOND, "the watch is not given up");
    }
    assert_eq!(at, START + MISSED_CHANGE_DELAY);
    // A long first answer may take longer than the timeout of a call, as long as bytes arrive.
    let mut lease = ListLease::new(ListSource::SharedService, GRACE, START);
    lease.watch_requested(START);
    lease.bytes_received(START + 2 * SECOND);
    assert_eq!(lease.poll(START + SERVICE_TIMEOUT), None);
    assert_eq!(lease.due(), Some(START + 2 * SECOND + SERVICE_TIMEOUT));
}

#[test]
fn confirmation_by_another_scheduler_renews_the_lease_and_reachable_discovery_limits_it() {
    let mut lease = shared_service_lease();
    lease.watch_failed(START + SECOND);
    lease.confirm(START + 3 * SECOND);
    assert_eq!(lease.lease_end(), Some(lease_end(START + 3 * SECOND + MISSED_CHANGE_DELAY)));
    lease.confirm(START + 2 * SECOND);
    assert_eq!(lease.confirmed(), Some(START + 3 * SECOND), "an older confirmation must have no effect");
    lease.watch_requested(START + 5 * SECOND);
    lease.watch_failed(START + 7 * SECOND);
    assert_eq!(lease.lease_end(), Some(lease_end(START + 5 * SECOND + MISSED_CHANGE_DELAY)));
    // Another scheduler reached the service before that call was refused: the service was overloaded, not down.
    lease.discovery_reachable(START + 4 * SECOND);
    assert_eq!(lease.lease_end(), Some(lease_end(START + 4 * SECOND + MISSED_CHANGE_DELAY)));
    lease.watch_requested(START + 8 * SECOND);
    lease.watch_failed(START + 9 * SECOND);
    assert_eq!(lease.lease_end(), Some(lease_end(START + 4 * SECOND + MISSED_CHANGE_DELAY)));
}

/// Guards against a confirmation that undoes the earlier lease end of a move. Discovery moves (on SIGHUP), and changes
/// at the new address count as notified 4 s later. A scheduler with a message from the old address confirms the same
/// list. In an earlier version, `ListLease::confirm` then moved the lease end to 6 s after that message: with a move at
/// 0 s and a message of the old address at 3 s, the list was used until 9 s plus the grace period, where 4 s plus the
/// grace period was allowed.
#[test]
fn witness_after_a_move_does_not_extend_the_lease_before_the_next_own_message() {
    for confirmed_at in [START + SECOND, START + 3 * SECOND] {
        let mut lease = shared_service_lease();
        lease.watch_failed(START + SECOND / 2);
        let moved = START + 2 * SECOND;
        lease.discovery_moved(moved);
        lease.watch_requested(moved);
        let unextended = Some(lease_end(START + MISSED_CHANGE_DELAY));
        assert_eq!(lease.lease_end(), unextended);
        lease.confirm(confirmed_at);
        assert_eq!(
            lease.lease_end(),
            unextended,
            "a confirmation as of {confirmed_at} may refer to the old address"
        );
        lease.message_received(START + 5 * SECOND);
        lease.confirm(START + 6 * SECOND);
        assert_eq!(
            lease.lease_end(),
            Some(lease_end(START + 6 * SECOND + MISSED_CHANGE_DELAY)),
            "confirmations must count again after an own message"
        );
    }
}

proptest! {
    /// In any order of moves, messages, confirmations, refused calls and silences, the lease ends no later than the
    /// earliest time that applies.
    #[test]
    fn lease_with_moves_and_confirmations_in_any_order_ends_in_time(
        steps in prop::collection::vec((0_u8..8, 0_u64..3 * SECOND, 0_u64..8 * SECOND), 1..200),
    ) {
        let mut lease = shared_service_lease();
        let (mut now, mut allowed, mut silent, mut moved) = (START, lease_end(START + MISSED_CHANGE_DELAY), false, false);
        for (event, delay, age) in steps {
            now += delay;
            let at = now.saturating_sub(age).max(START);
            match (event, lease.state()) {
                (0, WatchState::Opening(_) | WatchState::Open(_)) => {
                    lease.message_received(now);
                    (allowed, silent, moved) = (lease_end(now + MISSED_CHANGE_DELAY), false, false);
                }
                (1, state) => {
                    if let WatchState::Opening(called) = state && !silent {
                        allowed = allowed.max(lease_end(called + MISSED_CHANGE_DELAY));
                    }
                    lease.watch_failed(now);
                }
                (2, WatchState::Closed(_)) => lease.watch_requested(now),
                (3, WatchState::Opening(_) | WatchState::Open(_)) => {
                    lease.watch_closed(now);
                    silent = true;
                }
                (4, _) => {
                    lease.discovery_moved(now);
                    (allowed, moved) = (allowed.min(lease_end(now + MOVE_DELAY)), true);
                }
                (5, _) if lease.confirmed().is_some_and(|confirmed| at > confirmed) => {
                    lease.confirm(at);
                    if !moved {
                        (allowed, silent) = (allowed.max(lease_end(at + MISSED_CHANGE_DELAY)), false);
                    }
                }
                (6, _) if lease.confirmed().is_some_and(|confirmed| at > confirmed) => {
                    lease.discovery_reachable(at);
                    (allowed, silent) = (allowed.min(lease_end(at + MISSED_CHANGE_DELAY)), true);
                }
                _ => {
                    if let Some(due) = lease.due() {
                        now = now.max(due);
                        prop_assert_eq!(lease.poll(now), Some(WatchAction::GiveUp));
                        silent = true;
                    }
                }
            }
            prop_assert!(lease.lease_end().is_some_and(|end| end <= allowed));
        }
    }
}

proptest! {
    /// In any order of events, the lease with a shared service ends no later than the last message, or the last refused
    /// call without a silence before it, allows; and it always has an end.
    #[test]
    fn lease_with_a_shared_service_ends_in_time(steps in prop::collection::vec((0_u8..6, 0_u64..3 * SECOND), 1..200)) {
        let mut lease = shared_service_lease();
        let (mut now, mut allowed, mut silent) = (START, lease_end(START + MISSED_CHANGE_DELAY), false);
        for (event, delay) in steps {
            now += delay;
            match (event, lease.state()) {
                (0, WatchState::Opening(_) | WatchState::Open(_)) => {
                    lease.message_received(now);
                    (allowed, silent) = (lease_end(now + MISSED_CHANGE_DELAY), false);
                }
                (1, state) => {
                    if let WatchState::Opening(called) = state && !silent {
                        allowed = allowed.max(lease_end(called + MISSED_CHANGE_DELAY));
                    }
                    lease.watch_failed(now);
                }
                (2, WatchState::Closed(_)) => lease.watch_requested(now),
                (3, WatchState::Opening(_) | WatchState::Open(_)) => {
                    lease.watch_closed(now);
                    silent = true;
                }
                (4, _) => {
                    lease.discovery_moved(now);
                    allowed = allowed.min(lease_end(now + MOVE_DELAY));
                }
                _ => {
                    if let Some(due) = lease.due() {
                        now = now.max(due);
                        prop_assert_eq!(lease.poll(now), Some(WatchAction::GiveUp));
                        silent = true;
                    }
                }
            }
            prop_assert!(lease.lease_end().is_some_and(|end| end <= allowed));
        }
    }
}

proptest! {
    /// In any order of events, a local agent is always called again, calls keep the minimum interval, and the lease
    /// ends no later than the last message allows.
    #[test]
    fn local_agent_is_always_called_again_at_the_minimum_interval(steps in prop::collection::vec((0_u8..5, 0_u64..3 * SECOND), 1..200)) {
        let mut lease = local_agent_lease();
        let (mut now, mut last_call, mut allowed) = (START, None::<Micros>, lease_end(START));
        for (event, delay) in steps {
            now += delay;
            match event {
                0 => {
                    lease.message_received(now);
                    allowed = lease_end(now + MISSED_CHANGE_DELAY);
                }
                1 => lease.watch_failed(now),
                2 => lease.watch_closed(now),
                3 => {
                    lease.discovery_moved(now);
                    (last_call, allowed) = (None, allowed.min(lease_end(now + MOVE_DELAY)));
                }
                _ => {
                    let due = lease.due().expect("no call to the agent is due");
                    now = now.max(due);
                    prop_assert_eq!(lease.poll(now), Some(WatchAction::Open));
                    prop_assert!(last_call.is_none_or(|last| now >= last + MIN_CALL_INTERVAL));
                    lease.watch_requested(now);
                    last_call = Some(now);
                    prop_assert!(lease.due().is_some_and(|due| due > now), "the next call is due without an interval");
                }
            }
            prop_assert!(lease.lease_end().is_some_and(|end| end <= allowed));
        }
    }
}
