//! What is to be done when: the soonest first, and of the same time the one that was set first.

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

/// See the head of this file.
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
    /// This is to be done at that time.
    pub fn set(&mut self, at: Instant, due: D) {
        self.number += 1;
        self.heap.push(Reverse(Timer { at, number: self.number, due }));
    }

    /// When the next thing is to be done.
    pub fn next(&self) -> Option<Instant> {
        self.heap.peek().map(|Reverse(timer)| timer.at)
    }

    /// The next thing that is to be done by now.
    pub fn pop_due(&mut self, now: Instant) -> Option<D> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse(timer)| timer.due)
    }
}
