//! Connections whose input waits to be processed. Each gets a turn of bounded size, so that a peer that sends without
//! pause delays neither the other connections nor the deadlines.

use std::collections::{HashSet, VecDeque};

/// Every turn of this number goes to the backlog first, so that many new inputs do not delay it without limit.
const BACKLOG_INTERVAL: u32 = 4;

/// Tokens of the connections whose input waits, each of them once.
#[derive(Debug, Default)]
pub struct InputQueue {
    /// Connections that the poll reported as ready, in the order of the reports.
    ready: VecDeque<usize>,
    /// Connections that used up a turn and have more input. They follow the ready ones, so that a peer with a single
    /// request does not wait for peers that send without pause.
    backlog: VecDeque<usize>,
    queued: HashSet<usize>,
    turns: u32,
}

impl InputQueue {
    /// Adds a connection that became ready, unless it is queued.
    pub fn push_ready(&mut self, token: usize) {
        if self.queued.insert(token) {
            self.ready.push_back(token);
        }
    }

    /// Adds a connection that has used up its turn, unless it is queued. Edge-triggered readiness does not report its
    /// remaining input again.
    pub fn push_backlog(&mut self, token: usize) {
        if self.queued.insert(token) {
            self.backlog.push_back(token);
        }
    }

    /// Removes and returns the connection whose turn is next.
    pub fn pop(&mut self) -> Option<usize> {
        self.turns = self.turns.wrapping_add(1);
        let backlog_first = self.turns.is_multiple_of(BACKLOG_INTERVAL);
        let (first, second) = if backlog_first {
            (&mut self.backlog, &mut self.ready)
        } else {
            (&mut self.ready, &mut self.backlog)
        };
        let token = first.pop_front().or_else(|| second.pop_front())?;
        self.queued.remove(&token);
        Some(token)
    }

    /// Removes a connection.
    pub fn remove(&mut self, token: usize) {
        if self.queued.remove(&token) {
            self.ready.retain(|&queued| queued != token);
            self.backlog.retain(|&queued| queued != token);
        }
    }

    /// Returns true if the connection waits for a turn.
    pub fn contains(&self, token: usize) -> bool {
        self.queued.contains(&token)
    }

    /// Number of connections that wait for a turn.
    pub fn len(&self) -> usize {
        self.queued.len()
    }

    /// Returns true if no connection waits for a turn.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }
}

#[cfg(test)]
mod tests;
