//! Messages that simulated schedulers sent and received, counted per scheduler and second.

use std::collections::BTreeMap;
use std::ops::{Add, Range};

/// Size of the UDP and IP headers of a datagram, in bytes.
pub const UDP_IP_HEADER_BYTES: f64 = 28.0;

/// The kind of message or event that is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MessageType {
    /// Worker load sent to the schedulers of a cohort.
    Load,
    /// Hello messages.
    Hello,
    /// Fault reports about workers.
    FaultReport,
    /// Probe requests and probe answers.
    Probe,
    /// Expired timers; they have no bytes.
    Timer,
}

/// Number of messages and their size.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MessageCount {
    /// Number of messages.
    pub messages: u64,
    /// Bytes without the UDP and IP headers.
    pub bytes: u64,
}

impl MessageCount {
    /// Bytes including the UDP and IP headers of each datagram.
    pub fn bytes_with_headers(&self) -> f64 {
        self.bytes as f64 + UDP_IP_HEADER_BYTES * self.messages as f64
    }
}

impl Add for MessageCount {
    type Output = MessageCount;

    fn add(self, other: MessageCount) -> MessageCount {
        MessageCount { messages: self.messages + other.messages, bytes: self.bytes + other.bytes }
    }
}

/// Counts of messages sent and received, per scheduler and second.
#[derive(Debug)]
pub struct MessageCounts {
    /// Counts of each scheduler by message type and second; a second without messages has no entry.
    by_scheduler: Vec<BTreeMap<(MessageType, u64), MessageCount>>,
    /// Measured phases in order: the range of seconds, the number of jobs that arrived, and the number of jobs that
    /// were refused or failed.
    phases: Vec<(Range<u64>, u64, u64)>,
}

impl MessageCounts {
    /// Empty counts for `schedulers` schedulers. The phases start at second `begin` and last `lengths` seconds each.
    pub(crate) fn new(schedulers: usize, begin: u64, lengths: impl Iterator<Item = u64>) -> Self {
        let mut start = begin;
        let phase = |length: u64| {
            let span = start..start + length;
            start = span.end;
            (span, 0, 0)
        };
        MessageCounts {
            by_scheduler: vec![BTreeMap::new(); schedulers],
            phases: lengths.map(phase).collect(),
        }
    }

    /// Counts one message at a scheduler.
    pub(crate) fn add(&mut self, scheduler: usize, message_type: MessageType, second: u64, bytes: u64) {
        let count = self.by_scheduler[scheduler].entry((message_type, second)).or_default();
        *count = *count + MessageCount { messages: 1, bytes };
    }

    /// Counts jobs that arrived in this second, and jobs that were refused or failed.
    pub(crate) fn count_jobs(&mut self, second: u64, arrived: u64, unserved: u64) {
        let phase = self.phases.iter_mut().find(|(span, ..)| span.contains(&second));
        if let Some((_, jobs, unserved_jobs)) = phase {
            (*jobs, *unserved_jobs) = (*jobs + arrived, *unserved_jobs + unserved);
        }
    }

    /// Number of jobs that arrived in a phase.
    pub fn jobs(&self, phase: usize) -> u64 {
        self.phases[phase].1
    }

    /// Number of jobs that were refused or failed in a phase.
    pub fn unserved(&self, phase: usize) -> u64 {
        self.phases[phase].2
    }

    fn counts_in_phase(&self, phase: usize, message_type: MessageType) -> impl Iterator<Item = MessageCount> {
        let span = self.phases[phase].0.clone();
        let counts = self.by_scheduler.iter().flatten();
        counts
            .filter(move |((counted_type, second), _)| *counted_type == message_type && span.contains(second))
            .map(|(_, count)| *count)
    }

    /// Messages of one type in a phase over all schedulers. A message counts twice, at its sender and at its
    /// receiver.
    pub fn total(&self, phase: usize, message_type: MessageType) -> MessageCount {
        self.counts_in_phase(phase, message_type).fold(MessageCount::default(), MessageCount::add)
    }

    /// The largest count of one type in one second of one scheduler within a phase, by bytes.
    pub fn worst(&self, phase: usize, message_type: MessageType) -> MessageCount {
        self.counts_in_phase(phase, message_type)
            .max_by_key(|count| (count.bytes, count.messages))
            .unwrap_or_default()
    }

    /// Hello messages of the scheduler with the most bytes before the first phase, when all schedulers start at once.
    pub fn mass_restart(&self) -> MessageCount {
        let first_phase = self.phases.first().map_or(u64::MAX, |(span, ..)| span.start);
        let before_phases = |key: &(MessageType, u64)| key.0 == MessageType::Hello && key.1 < first_phase;
        let hello_total = |counts: &BTreeMap<(MessageType, u64), MessageCount>| {
            counts
                .iter()
                .filter(|(key, _)| before_phases(key))
                .map(|(_, count)| *count)
                .fold(MessageCount::default(), MessageCount::add)
        };
        self.by_scheduler.iter().map(hello_total).max_by_key(|count| count.bytes).unwrap_or_default()
    }
}

/// The type of a peer datagram, told by its length: 3 bytes for hello, 6 for a fault report, otherwise a load
/// message.
pub(crate) fn message_type(body: &[u8]) -> MessageType {
    match body.len() {
        3 => MessageType::Hello,
        6 => MessageType::FaultReport,
        _ => MessageType::Load,
    }
}
