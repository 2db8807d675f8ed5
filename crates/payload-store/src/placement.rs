//! Decides where each request payload is kept: in memory, in a file, or nowhere. [`PlacementPolicy`] is told when
//! payload bytes arrive, when an attempt is written from a payload and when a job ends. It answers with actions: move
//! a payload to a file, drop it, pass it through without keeping it, or pause and resume reading from its client. It
//! does no I/O and reads no clock.

use crate::PayloadId;
use std::collections::{BTreeMap, BTreeSet};

/// Upper limits on what is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of one payload in memory.
    pub max_memory_per_payload: u64,
    /// Bytes of all payloads in memory together.
    pub max_memory_total: u64,
    /// Bytes of all payloads in files together; 0 disables files.
    pub max_file_bytes_total: u64,
    /// Number of payloads in files at the same time.
    pub max_files: usize,
    /// Bytes of one payload, wherever it is kept.
    pub max_payload_size: u64,
}

/// Where a payload is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Location {
    /// In memory.
    Memory,
    /// Being written to a file; it counters as in memory until the write is confirmed.
    MovingToFile,
    /// In a file.
    File,
    /// Not kept: it is forwarded to the worker as it arrives, and can be sent only once.
    PassThrough,
    /// It was kept and has been discarded.
    Dropped,
}

/// An action that the caller carries out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementAction {
    /// Write this payload to a file, then report [`PlacementPolicy::moved_to_file`] or
    /// [`PlacementPolicy::write_failed`].
    MoveToFile(PayloadId),
    /// Free the memory of this payload.
    Drop(PayloadId),
    /// Stop keeping this payload and forward it as it arrives; its job can be sent only once.
    PassThrough(PayloadId),
    /// Stop reading this payload from its client.
    PauseReading(PayloadId),
    /// Continue reading this payload from its client.
    ResumeReading(PayloadId),
}

/// A payload is rejected because it exceeds a size limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("payload exceeds the maximum of {max_bytes} bytes")]
pub struct PayloadTooLarge {
    /// Maximum size of one payload, in bytes.
    pub max_bytes: u64,
}

/// State of the job that a payload belongs to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct JobState {
    /// The job must not run twice.
    runs_once: bool,
    /// The last byte of an attempt is written, so the job may have run.
    may_have_run: bool,
    /// The job has no attempt left.
    attempts_exhausted: bool,
    /// The job has its final answer.
    answered: bool,
    /// Attempts that are currently being written from this payload.
    active_readers: u32,
}

impl JobState {
    /// Rank for dropping the payload, lowest first; `None` if an attempt is reading it or may still need it.
    fn drop_rank(&self) -> Option<u8> {
        match self {
            JobState { active_readers: 1.., .. } => None,
            JobState { answered: true, .. } => Some(0),
            JobState { runs_once: true, may_have_run: true, .. } => Some(1),
            JobState { attempts_exhausted: true, .. } => Some(2),
            _ => None,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Payload {
    /// Bytes received so far.
    received: u64,
    /// Announced total size in bytes; `None` if the client announced none.
    announced_size: Option<u64>,
    location: Location,
    job: JobState,
    /// Reading from the client is paused.
    reading_paused: bool,
}

/// Counters for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacementCounters {
    /// Bytes in memory, including payloads that are being written to files.
    pub memory_bytes: u64,
    /// Bytes in files, including reserved space.
    pub file_bytes: u64,
    /// Number of payloads in memory.
    pub payloads_in_memory: usize,
    /// Number of payloads in files, including those that are being written.
    pub payloads_in_files: usize,
    /// Total number of payloads moved to files.
    pub moved_to_files: u64,
    /// Total number of payloads dropped.
    pub dropped: u64,
    /// Total number of payloads passed through for lack of space.
    pub passed_through: u64,
    /// Total number of failed writes.
    pub failed_writes: u64,
}

/// Tracks all payloads and their jobs and keeps memory and files within [`Limits`].
#[derive(Debug)]
pub struct PlacementPolicy {
    limits: Limits,
    payloads: BTreeMap<PayloadId, Payload>,
    counters: PlacementCounters,
    /// A write has failed, and files are not used until a write succeeds or the caller reports them available.
    files_unavailable: bool,
}

impl PlacementPolicy {
    /// A policy that tracks no payload yet.
    pub fn new(limits: Limits) -> PlacementPolicy {
        PlacementPolicy {
            limits,
            payloads: BTreeMap::new(),
            counters: PlacementCounters::default(),
            files_unavailable: false,
        }
    }

    /// The current counters.
    pub fn counters(&self) -> PlacementCounters {
        self.counters
    }

    /// Where a payload is kept; `None` for an unknown payload.
    pub fn location(&self, id: PayloadId) -> Option<Location> {
        self.payloads.get(&id).map(|payload| payload.location)
    }

    /// Starts to track the payload of a job. `announced_size` is its announced size in bytes; `runs_once` is set for
    /// a job that must not run twice.
    ///
    /// # Errors
    /// The announced size exceeds the maximum size of one payload.
    pub fn add_payload(
        &mut self,
        id: PayloadId,
        announced_size: Option<u64>,
        runs_once: bool,
    ) -> Result<(), PayloadTooLarge> {
        if announced_size.is_some_and(|announced_size| announced_size > self.limits.max_payload_size) {
            return Err(PayloadTooLarge { max_bytes: self.limits.max_payload_size });
        }
        let job = JobState { runs_once, ..JobState::default() };
        self.payloads.insert(
            id,
            Payload { received: 0, announced_size, location: Location::Memory, job, reading_paused: false },
        );
        self.counters.payloads_in_memory += 1;
        Ok(())
    }

    /// Records `bytes` more bytes of a payload, which the caller holds in memory.
    ///
    /// # Errors
    /// The payload exceeds the maximum size of one payload or its announced size.
    pub fn bytes_received(
        &mut self,
        id: PayloadId,
        bytes: u64,
    ) -> Result<Vec<PlacementAction>, PayloadTooLarge> {
        let max_bytes = self.limits.max_payload_size;
        let Some(payload) = self.payloads.get_mut(&id) else { return Ok(Vec::new()) };
        if payload.received + bytes > payload.announced_size.unwrap_or(max_bytes).min(max_bytes) {
            return Err(PayloadTooLarge { max_bytes });
        }
        payload.received += bytes;
        match payload.location {
            Location::Memory | Location::MovingToFile => self.counters.memory_bytes += bytes,
            Location::File => self.counters.file_bytes += bytes,
            Location::PassThrough | Location::Dropped => {}
        }
        Ok(self.enforce_limits())
    }

    /// Records that an attempt starts (`reads`) or stops (`!reads`) being written from this payload.
    pub fn set_reading(&mut self, id: PayloadId, reads: bool) -> Vec<PlacementAction> {
        if let Some(payload) = self.payloads.get_mut(&id) {
            let active_readers = &mut payload.job.active_readers;
            *active_readers = if reads { *active_readers + 1 } else { active_readers.saturating_sub(1) };
        }
        self.enforce_limits()
    }

    /// Records that the last byte of an attempt is written: the job may have run.
    pub fn attempt_written(&mut self, id: PayloadId) -> Vec<PlacementAction> {
        self.update_job(id, |job| job.may_have_run = true)
    }

    /// Records that the job has no attempt left.
    pub fn attempts_exhausted(&mut self, id: PayloadId) -> Vec<PlacementAction> {
        self.update_job(id, |job| job.attempts_exhausted = true)
    }

    /// Records that the job has its final answer.
    pub fn job_answered(&mut self, id: PayloadId) -> Vec<PlacementAction> {
        self.update_job(id, |job| job.answered = true)
    }

    fn update_job(&mut self, id: PayloadId, update: impl Fn(&mut JobState)) -> Vec<PlacementAction> {
        if let Some(payload) = self.payloads.get_mut(&id) {
            update(&mut payload.job);
        }
        self.enforce_limits()
    }

    /// Removes a payload whose job has ended and releases its space.
    pub fn remove(&mut self, id: PayloadId) -> Vec<PlacementAction> {
        if let Some(payload) = self.payloads.remove(&id) {
            self.release_space(payload);
        }
        self.enforce_limits()
    }

    /// Records that a payload has been written to its file and no longer takes memory.
    pub fn moved_to_file(&mut self, id: PayloadId) -> Vec<PlacementAction> {
        self.files_unavailable = false;
        if let Some(payload) =
            self.payloads.get_mut(&id).filter(|payload| payload.location == Location::MovingToFile)
        {
            payload.location = Location::File;
            self.counters.memory_bytes -= payload.received;
            self.counters.payloads_in_memory -= 1;
            self.counters.moved_to_files += 1;
        }
        self.enforce_limits()
    }

    /// Records that a payload could not be written to a file. It stays in memory, and no other payload is moved until
    /// a write succeeds or [`PlacementPolicy::files_available`] is called.
    pub fn write_failed(&mut self, id: PayloadId) -> Vec<PlacementAction> {
        self.files_unavailable = true;
        self.counters.failed_writes += 1;
        if let Some(payload) =
            self.payloads.get_mut(&id).filter(|payload| payload.location == Location::MovingToFile)
        {
            payload.location = Location::Memory;
            self.counters.file_bytes -=
                payload.announced_size.unwrap_or(payload.received).max(payload.received);
            self.counters.payloads_in_files -= 1;
        }
        self.enforce_limits()
    }

    /// Allows writes to files again after a failure.
    pub fn files_available(&mut self) -> Vec<PlacementAction> {
        self.files_unavailable = false;
        self.enforce_limits()
    }

    fn release_space(&mut self, payload: Payload) {
        let reserved = payload.announced_size.unwrap_or(payload.received).max(payload.received);
        match payload.location {
            Location::Memory => {
                self.counters.memory_bytes -= payload.received;
                self.counters.payloads_in_memory -= 1;
            }
            Location::MovingToFile => {
                self.counters.memory_bytes -= payload.received;
                self.counters.payloads_in_memory -= 1;
                self.counters.file_bytes -= reserved;
                self.counters.payloads_in_files -= 1;
            }
            Location::File => {
                self.counters.file_bytes -= reserved;
                self.counters.payloads_in_files -= 1;
            }
            Location::PassThrough | Location::Dropped => {}
        }
    }

    /// Brings memory back within its limits, in this order: drops payloads that cannot be needed again, moves the
    /// largest payloads to files, and passes through payloads of which nothing has been sent yet. Pauses the clients
    /// of the remaining payloads while memory is full.
    fn enforce_limits(&mut self) -> Vec<PlacementAction> {
        let mut actions = Vec::new();
        let moving: u64 = self
            .payloads
            .values()
            .filter(|payload| payload.location == Location::MovingToFile)
            .map(|payload| payload.received)
            .sum();
        let mut excess = self.counters.memory_bytes.saturating_sub(moving + self.limits.max_memory_total);
        // A payload above the per-payload memory limit leaves memory regardless of the total.
        let oversized: BTreeSet<PayloadId> = self
            .payloads
            .iter()
            .filter(|(_, payload)| {
                payload.location == Location::Memory
                    && payload.announced_size.unwrap_or(0).max(payload.received)
                        > self.limits.max_memory_per_payload
            })
            .map(|(&id, _)| id)
            .collect();
        if excess > 0 || !oversized.is_empty() {
            excess -= self.drop_unneeded(excess, &mut actions).min(excess);
            let mut by_size: Vec<(u64, PayloadId)> = self
                .payloads
                .iter()
                .filter(|(_, payload)| payload.location == Location::Memory)
                .map(|(&id, payload)| (payload.received, id))
                .collect();
            by_size.sort_unstable_by(|a, b| b.cmp(a));
            for (size, id) in by_size {
                if excess == 0 && !oversized.contains(&id) {
                    continue;
                }
                if self.reserve_file_space(id) {
                    actions.push(PlacementAction::MoveToFile(id));
                    excess = excess.saturating_sub(size);
                } else if self.pass_through(id) {
                    actions.push(PlacementAction::PassThrough(id));
                    excess = excess.saturating_sub(size);
                }
            }
        }
        self.update_reading(&mut actions);
        actions
    }

    /// Drops payloads that cannot be needed again until `need` bytes of memory are free; returns the number of bytes
    /// freed.
    fn drop_unneeded(&mut self, need: u64, actions: &mut Vec<PlacementAction>) -> u64 {
        let mut droppable: Vec<(u8, std::cmp::Reverse<u64>, PayloadId)> = self
            .payloads
            .iter()
            .filter(|(_, payload)| payload.location == Location::Memory)
            .filter_map(|(&id, payload)| {
                Some((payload.job.drop_rank()?, std::cmp::Reverse(payload.received), id))
            })
            .collect();
        droppable.sort_unstable();
        let mut freed = 0;
        for (_, _, id) in droppable {
            if freed >= need {
                break;
            }
            let Some(payload) = self.payloads.get_mut(&id) else { continue };
            let before = *payload;
            payload.location = Location::Dropped;
            freed += before.received;
            self.release_space(before);
            self.counters.dropped += 1;
            actions.push(PlacementAction::Drop(id));
        }
        freed
    }

    /// Reserves file space for a payload; returns false if there is none.
    fn reserve_file_space(&mut self, id: PayloadId) -> bool {
        let Some(payload) = self.payloads.get_mut(&id) else { return false };
        let size = payload.announced_size.unwrap_or(payload.received).max(payload.received);
        let room = self.limits.max_file_bytes_total.saturating_sub(self.counters.file_bytes);
        // A payload that an attempt is being written from stays where the attempt reads it.
        if self.files_unavailable
            || size > room
            || self.counters.payloads_in_files >= self.limits.max_files
            || payload.job.active_readers > 0
        {
            return false;
        }
        payload.location = Location::MovingToFile;
        self.counters.file_bytes += size;
        self.counters.payloads_in_files += 1;
        true
    }

    /// Passes a payload through if nothing of it has been sent and it is still incomplete. A complete payload can be
    /// kept or sent from memory; only an incomplete one would take more memory.
    fn pass_through(&mut self, id: PayloadId) -> bool {
        let Some(payload) = self.payloads.get_mut(&id) else { return false };
        let complete =
            payload.announced_size.is_some_and(|announced_size| payload.received >= announced_size);
        if complete || payload.job.active_readers > 0 || payload.job.may_have_run {
            return false;
        }
        let before = *payload;
        payload.location = Location::PassThrough;
        self.release_space(before);
        self.counters.passed_through += 1;
        true
    }

    /// Pauses the clients of payloads that are in memory or being written to a file while memory is full, and resumes
    /// them afterwards. For payloads in files and payloads passed through, the writer paces the client itself.
    fn update_reading(&mut self, actions: &mut Vec<PlacementAction>) {
        let full = self.counters.memory_bytes >= self.limits.max_memory_total;
        for (&id, payload) in &mut self.payloads {
            let pause = full && matches!(payload.location, Location::Memory | Location::MovingToFile);
            if pause != payload.reading_paused {
                payload.reading_paused = pause;
                actions.push(if pause {
                    PlacementAction::PauseReading(id)
                } else {
                    PlacementAction::ResumeReading(id)
                });
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LIMITS: Limits = Limits {
        max_memory_per_payload: 100,
        max_memory_total: 250,
        max_file_bytes_total: 500,
        max_files: 3,
        max_payload_size: 400,
    };

    fn policy_with(sizes: &[(u64, bool)]) -> PlacementPolicy {
        let mut policy = PlacementPolicy::new(LIMITS);
        for (&(size, runs_once), id) in sizes.iter().zip(1..) {
            policy.add_payload(id, Some(size), runs_once).expect("the announced size is within the limit");
            policy.bytes_received(id, size).expect("the payload has its announced size");
        }
        policy
    }

    #[test]
    fn payload_above_the_memory_limit_moves_to_a_file_and_payload_above_the_size_limit_is_rejected() {
        let mut policy = PlacementPolicy::new(LIMITS);
        assert_eq!(policy.add_payload(1, Some(401), false), Err(PayloadTooLarge { max_bytes: 400 }));
        policy.add_payload(1, Some(300), false).expect("the payload is within the limits");
        assert_eq!(
            policy.bytes_received(1, 10),
            Ok(vec![PlacementAction::MoveToFile(1)]),
            "the announced size exceeds the memory limit of one payload"
        );
        assert_eq!(policy.moved_to_file(1), []);
        assert_eq!((policy.counters().memory_bytes, policy.counters().file_bytes), (0, 300));
        assert_eq!(
            policy.bytes_received(1, 291),
            Err(PayloadTooLarge { max_bytes: 400 }),
            "the payload exceeds its announced size"
        );
        policy.add_payload(2, None, false).expect("a payload without an announced size is accepted");
        assert!(policy.bytes_received(2, 50).expect("the payload is within the limits").is_empty());
        assert_eq!(policy.bytes_received(2, 60), Ok(vec![PlacementAction::MoveToFile(2)]));
        policy.remove(1);
        policy.remove(2);
        assert_eq!(
            (
                policy.counters().file_bytes,
                policy.counters().payloads_in_files,
                policy.counters().payloads_in_memory
            ),
            (0, 0, 0)
        );
    }

    #[test]
    fn payload_that_cannot_be_needed_again_is_dropped_first_when_memory_is_full() {
        let mut policy = policy_with(&[(80, false), (70, true), (60, false)]);
        assert!(policy.attempt_written(2).is_empty());
        policy.add_payload(4, Some(90), false).expect("the payload is within the limits");
        let actions = policy.bytes_received(4, 90).expect("the payload is within the limits");
        assert_eq!(
            actions[0],
            PlacementAction::Drop(2),
            "a job that may have run and must not run twice is dropped first"
        );
        assert_eq!(policy.location(2), Some(Location::Dropped));
        assert_eq!(
            policy.location(1),
            Some(Location::Memory),
            "a payload that may be needed again stays in memory"
        );
    }

    #[test]
    fn largest_payload_without_readers_is_moved_to_a_file() {
        let mut policy = policy_with(&[(90, false), (80, false), (70, false)]);
        policy.set_reading(1, true);
        policy.add_payload(4, Some(60), false).expect("the payload is within the limits");
        let actions = policy.bytes_received(4, 60).expect("the payload is within the limits");
        assert!(
            actions.contains(&PlacementAction::MoveToFile(2))
                && !actions.contains(&PlacementAction::MoveToFile(1))
        );
    }

    #[test]
    fn failed_write_stops_moves_and_new_payloads_are_kept_or_passed_through() {
        let mut policy = PlacementPolicy::new(LIMITS);
        policy.add_payload(1, Some(300), false).expect("the payload is within the limits");
        assert_eq!(policy.bytes_received(1, 10), Ok(vec![PlacementAction::MoveToFile(1)]));
        let actions = policy.write_failed(1);
        assert_eq!(actions, [PlacementAction::PassThrough(1)], "an incomplete payload is passed through");
        assert_eq!((policy.counters().file_bytes, policy.counters().memory_bytes), (0, 0));
        policy.add_payload(2, Some(90), false).expect("the payload is within the limits");
        assert!(policy.bytes_received(2, 90).expect("the payload is within the limits").is_empty());
        policy.add_payload(3, Some(90), false).expect("the payload is within the limits");
        assert!(policy.bytes_received(3, 90).expect("the payload is within the limits").is_empty());
        policy.add_payload(4, Some(90), false).expect("the payload is within the limits");
        let actions = policy.bytes_received(4, 80).expect("the payload is within the limits");
        assert!(actions.contains(&PlacementAction::PassThrough(4)), "{actions:?}");
        assert!(policy.files_available().is_empty());
        assert_eq!(policy.counters().failed_writes, 1);
    }

    #[test]
    fn reading_pauses_while_memory_is_full_and_resumes_when_space_is_freed() {
        let mut policy = PlacementPolicy::new(Limits { max_file_bytes_total: 0, ..LIMITS });
        for id in 1..=3 {
            policy.add_payload(id, Some(90), true).expect("the payload is within the limits");
        }
        policy.bytes_received(1, 90).expect("the payload is within the limits");
        policy.bytes_received(2, 90).expect("the payload is within the limits");
        let actions = policy.bytes_received(3, 70).expect("the payload is within the limits");
        assert_eq!(
            actions,
            [
                PlacementAction::PauseReading(1),
                PlacementAction::PauseReading(2),
                PlacementAction::PauseReading(3)
            ]
        );
        assert_eq!(policy.remove(1), [PlacementAction::ResumeReading(2), PlacementAction::ResumeReading(3)]);
    }
}
