//! What schedulers of a play sent and received, counted by scheduler and second.

use std::collections::BTreeMap;
use std::ops::{Add, Range};

/// Bytes of the heads of UDP and IP round a datagram.
pub const HEADS: f64 = 28.0;

/// What is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MessageType {
    /// Loads told within a cohort.
    Load,
    /// Greetings.
    Hello,
    /// News of workers' troubles.
    FaultReport,
    /// Probes: requests and answers.
    Probe,
    /// Timers that came due; they have no bytes.
    Timer,
}

/// How many, and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MessageCount {
    /// How many.
    pub messages: u64,
    /// Their bytes, without those of UDP and IP.
    pub bytes: u64,
}

impl MessageCount {
    /// The bytes of datagrams with the heads of UDP and IP.
    pub fn with_heads(&self) -> f64 {
        self.bytes as f64 + HEADS * self.messages as f64
    }
}

impl Add for MessageCount {
    type Output = MessageCount;

    fn add(self, more: MessageCount) -> MessageCount {
        MessageCount { messages: self.messages + more.messages, bytes: self.bytes + more.bytes }
    }
}

/// What was counted, by scheduler and second, in and out together.
#[derive(Debug)]
pub struct MessageCounts {
    /// Of each scheduler; a second without any is not there.
    tallies: Vec<BTreeMap<(MessageType, u64), MessageCount>>,
    /// The phases that are measured, one after the other: from which second up to which, jobs that arrived, and jobs
    /// that were refused or failed.
    phases: Vec<(Range<u64>, u64, u64)>,
}

impl MessageCounts {
    /// Nothing yet, of so many schedulers, with phases of so many seconds from this second on.
    pub(crate) fn new(schedulers: usize, begin: u64, lengths: impl Iterator<Item = u64>) -> Self {
        let mut from = begin;
        let phase = |length: u64| {
            let span = from..from + length;
            from = span.end;
            (span, 0, 0)
        };
        MessageCounts { tallies: vec![BTreeMap::new(); schedulers], phases: lengths.map(phase).collect() }
    }

    /// One more message at a scheduler.
    pub(crate) fn add(&mut self, at: usize, sort: MessageType, second: u64, bytes: u64) {
        let count = self.tallies[at].entry((sort, second)).or_default();
        *count = *count + MessageCount { messages: 1, bytes };
    }

    /// Jobs that arrived in this second, and such that were refused or failed.
    pub(crate) fn jobs_in(&mut self, second: u64, arrived: u64, unserved: u64) {
        let phase = self.phases.iter_mut().find(|(span, ..)| span.contains(&second));
        if let Some((_, jobs, lost)) = phase {
            (*jobs, *lost) = (*jobs + arrived, *lost + unserved);
        }
    }

    /// Jobs that arrived in a phase.
    pub fn jobs(&self, phase: usize) -> u64 {
        self.phases[phase].1
    }

    /// Jobs that were refused or failed in a phase.
    pub fn unserved(&self, phase: usize) -> u64 {
        self.phases[phase].2
    }

    fn measured(&self, phase: usize, sort: MessageType) -> impl Iterator<Item = MessageCount> {
        let span = self.phases[phase].0.clone();
        let all = self.tallies.iter().flatten();
        all.filter(move |((of, second), _)| *of == sort && span.contains(second)).map(|(_, count)| *count)
    }

    /// Of one sort in a phase, over all schedulers: each message is counted where it is sent and where it is received.
    pub fn total(&self, phase: usize, sort: MessageType) -> MessageCount {
        self.measured(phase, sort).fold(MessageCount::default(), MessageCount::add)
    }

    /// Of one sort, the worst second of the scheduler that was worst off in a phase, by bytes.
    pub fn worst(&self, phase: usize, sort: MessageType) -> MessageCount {
        self.measured(phase, sort).max_by_key(|count| (count.bytes, count.messages)).unwrap_or_default()
    }

    /// Greetings of the very beginning, when all schedulers start at once: the worst scheduler's, all in all.
    pub fn mass_restart(&self) -> MessageCount {
        let begin = self.phases.first().map_or(u64::MAX, |(span, ..)| span.start);
        let early = |at: &(MessageType, u64)| at.0 == MessageType::Hello && at.1 < begin;
        let of = |tally: &BTreeMap<(MessageType, u64), MessageCount>| {
            tally
                .iter()
                .filter(|(at, _)| early(at))
                .map(|(_, count)| *count)
                .fold(MessageCount::default(), MessageCount::add)
        };
        self.tallies.iter().map(of).max_by_key(|count| count.bytes).unwrap_or_default()
    }
}

/// What a datagram is, by its length (see the module's table of messages).
pub(crate) fn message_type(body: &[u8]) -> MessageType {
    match body.len() {
        3 => MessageType::Hello,
        6 => MessageType::FaultReport,
        _ => MessageType::Load,
    }
}
