//! A timer queue: the earliest timer first, and timers for the same time in the order in which they were set.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Instant;

struct Timer<D> {
    at: Instant,
    number: u64,
    due: D,
}

impl<D> PartialEq for Timer<D> {
    fn eq(&self, other: &Timer<D>) -> bool {
        self.number == other.number
    }
}

impl<D> Eq for Timer<D> {}

impl<D> PartialOrd for Timer<D> {
    fn partial_cmp(&self, other: &Timer<D>) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<D> Ord for Timer<D> {
    fn cmp(&self, other: &Timer<D>) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Pending timers, each with the value that it returns when it is due.
pub struct Timers<D> {
    heap: BinaryHeap<Reverse<Timer<D>>>,
    number: u64,
}

impl<D> Default for Timers<D> {
    fn default() -> Timers<D> {
        Timers { heap: BinaryHeap::new(), number: 0 }
    }
}

impl<D> Timers<D> {
    /// Sets a timer for the time `at`.
    pub fn set(&mut self, at: Instant, due: D) {
        self.number += 1;
        self.heap.push(Reverse(Timer { at, number: self.number, due }));
    }

    /// Returns the time of the earliest timer.
    pub fn next(&self) -> Option<Instant> {
        self.heap.peek().map(|Reverse(timer)| timer.at)
    }

    /// Removes and returns the earliest timer if it is due at `now`.
    pub fn pop_due(&mut self, now: Instant) -> Option<D> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse(timer)| timer.due)
    }
}
