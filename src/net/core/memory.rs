//! Account of the memory that peers can make the process hold: buffers of connections, incomplete requests, and the payloads
//! of open requests. What holds such memory has a [`MemoryCharge`], which is released when it is dropped.
//!
//! A limit for one connection does not bound their sum. The account does: while it is over its limit, what was not accepted
//! is given up, and no request is accepted.

use std::cell::Cell;
use std::rc::Rc;

const MIB: usize = 1 << 20;
/// Processes that may run at the same time under one memory limit, in an upgrade. Each keeps to its part at all times,
/// because an allocator does not return all memory when the other process starts.
const PROCESSES: usize = 2;
/// Memory of a process without workers and peers, in bytes: its code, and its state at rest.
const BASE_BYTES: usize = 6 * MIB;
/// Memory for each worker on the list, in bytes: its entries in all tables, and its part of the messages of a handover.
const BYTES_PER_WORKER: usize = 3 * 1024;
/// Numerator and denominator of the part of the remaining memory that may be charged. The rest is for what the allocator
/// cannot use.
const CHARGEABLE_PART: (usize, usize) = (3, 4);
/// Limit of the account, in bytes, where the rest of the process needs all of the configured memory.
const MIN_LIMIT: usize = MIB;
/// Divisor of the limit: the part that the payloads of open requests may take. The rest is for requests that are being
/// received, for reports of workers and for answers.
const PAYLOAD_DIVISOR: usize = 2;
/// Size (bytes) up to which a payload is small. Some room is kept for these, so that a few clients with large requests do
/// not shut out all others.
const SMALL_PAYLOAD: usize = 4 * 1024;
/// Divisor of the room for payloads: the part that is kept for small ones.
const SMALL_PAYLOADS_DIVISOR: usize = 4;

/// Returns the limit of the account of one process, in bytes. `memory_bytes`: the configured limit for all memory;
/// `workers`: the number of listed workers.
pub fn account_limit(memory_bytes: usize, workers: usize) -> usize {
    let fixed = BASE_BYTES + workers * BYTES_PER_WORKER;
    let remaining = (memory_bytes / PROCESSES).saturating_sub(fixed);
    (remaining / CHARGEABLE_PART.1 * CHARGEABLE_PART.0).max(MIN_LIMIT)
}

/// The use that a charge is for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MemoryUse {
    /// Input and output of connections, and requests that are not complete.
    #[default]
    Connection,
    /// The payload of an open request.
    Payload,
}

#[derive(Debug)]
struct Totals {
    limit: Cell<usize>,
    used: Cell<usize>,
    payloads: Cell<usize>,
    /// Largest value of `used`.
    peak: Cell<usize>,
}

/// The account of a process. Clones refer to the same account.
#[derive(Clone, Debug)]
pub struct MemoryAccount(Rc<Totals>);

impl MemoryAccount {
    /// Creates an account with this limit, in bytes.
    pub fn new(limit: usize) -> Self {
        let totals = Totals {
            limit: Cell::new(limit),
            used: Cell::new(0),
            payloads: Cell::new(0),
            peak: Cell::new(0),
        };
        MemoryAccount(Rc::new(totals))
    }

    /// Changes the limit, in bytes.
    pub fn set_limit(&self, limit: usize) {
        self.0.limit.set(limit);
    }

    /// The limit, in bytes.
    pub fn limit(&self) -> usize {
        self.0.limit.get()
    }

    /// The sum of all charges, in bytes.
    pub fn used(&self) -> usize {
        self.0.used.get()
    }

    /// Returns true if the charges exceed the limit.
    pub fn is_exceeded(&self) -> bool {
        self.used() > self.limit()
    }

    /// Returns true if the payloads that are charged have room, the latest of which has this size, in bytes.
    pub fn admits_payload(&self, bytes: usize) -> bool {
        let room = self.limit() / PAYLOAD_DIVISOR;
        let kept = if bytes <= SMALL_PAYLOAD { 0 } else { room / SMALL_PAYLOADS_DIVISOR };
        self.0.payloads.get() <= room - kept
    }

    /// Metrics by name, in bytes.
    pub fn metrics(&self) -> [(&'static str, u64); 4] {
        [
            ("memory.limit", self.limit() as u64),
            ("memory.used", self.used() as u64),
            ("memory.payloads", self.0.payloads.get() as u64),
            ("memory.peak", self.0.peak.get() as u64),
        ]
    }

    /// Opens a charge of 0 bytes.
    pub fn charge(&self, memory_use: MemoryUse) -> MemoryCharge {
        MemoryCharge { account: Some(self.clone()), memory_use, bytes: 0 }
    }

    fn change(&self, memory_use: MemoryUse, from: usize, to: usize) {
        let totals = &*self.0;
        let used = totals.used.get() - from + to;
        totals.used.set(used);
        totals.peak.set(totals.peak.get().max(used));
        if memory_use == MemoryUse::Payload {
            totals.payloads.set(totals.payloads.get() - from + to);
        }
    }
}

/// A part of the account, for as long as something holds the memory. A charge that belongs to no account has no effect. A
/// clone charges the same number of bytes once more, for a copy of what holds the memory.
#[derive(Debug, Default)]
pub struct MemoryCharge {
    account: Option<MemoryAccount>,
    memory_use: MemoryUse,
    bytes: usize,
}

impl MemoryCharge {
    /// Changes the charge to this number of bytes.
    pub fn set(&mut self, bytes: usize) {
        if bytes == self.bytes {
            return;
        }
        if let Some(account) = &self.account {
            account.change(self.memory_use, self.bytes, bytes);
        }
        self.bytes = bytes;
    }
}

impl Clone for MemoryCharge {
    fn clone(&self) -> Self {
        let mut charge =
            MemoryCharge { account: self.account.clone(), memory_use: self.memory_use, bytes: 0 };
        charge.set(self.bytes);
        charge
    }
}

impl Drop for MemoryCharge {
    fn drop(&mut self) {
        self.set(0);
    }
}

#[cfg(test)]
mod tests;
