//! Tests of the order of turns.

use super::*;

#[test]
fn ready_connections_come_first_and_the_backlog_gets_every_fourth_turn() {
    let mut queue = InputQueue::default();
    (1..=3).for_each(|token| queue.push_backlog(token));
    (11..=16).for_each(|token| queue.push_ready(token));
    let order: Vec<usize> = std::iter::from_fn(|| queue.pop()).collect();
    assert_eq!(order, [11, 12, 13, 1, 14, 15, 16, 2, 3]);
    assert!(queue.is_empty());
}

#[test]
fn a_connection_is_queued_once_and_can_be_removed() {
    let mut queue = InputQueue::default();
    queue.push_backlog(1);
    queue.push_ready(1);
    queue.push_ready(2);
    queue.remove(2);
    assert_eq!((queue.len(), queue.pop(), queue.pop()), (1, Some(1), None));
    queue.push_ready(2);
    assert_eq!((queue.pop(), queue.is_empty()), (Some(2), true));
}
