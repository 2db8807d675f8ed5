//! What schedulers of a play sent and received, counted by scheduler and second.

use std::collections::BTreeMap;
use std::ops::Add;

/// Bytes of the heads of UDP and IP round a datagram.
pub const HEADS: f64 = 28.0;

/// What is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Sort {
    /// Loads told within a cohort.
    Talk,
    /// Greetings.
    Greetings,
    /// News of workers' troubles.
    Troubles,
    /// Probes: requests and answers.
    Probes,
    /// Timers that came due; they have no bytes.
    Timers,
}

/// How many, and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// How many.
    pub messages: u64,
    /// Their bytes, without those of UDP and IP.
    pub bytes: u64,
}

impl Count {
    /// The bytes of datagrams with the heads of UDP and IP.
    pub fn with_heads(&self) -> f64 {
        self.bytes as f64 + HEADS * self.messages as f64
    }
}

impl Add for Count {
    type Output = Count;

    fn add(self, more: Count) -> Count {
        Count { messages: self.messages + more.messages, bytes: self.bytes + more.bytes }
    }
}

/// What was counted, by scheduler and second, in and out together.
#[derive(Debug)]
pub struct Counts {
    /// Of each scheduler; a second without any is not there.
    tallies: Vec<BTreeMap<(Sort, u64), Count>>,
    /// Jobs that arrived in the measured time.
    pub jobs: u64,
    /// Jobs of these that were refused or failed.
    pub unserved: u64,
    /// The first second that is measured, and the one after the last.
    span: (u64, u64),
}

impl Counts {
    /// Nothing yet, of so many schedulers, with what is measured from one second up to another.
    pub(crate) fn new(schedulers: usize, span: (u64, u64)) -> Self {
        Counts { tallies: vec![BTreeMap::new(); schedulers], jobs: 0, unserved: 0, span }
    }

    /// One more message at a scheduler.
    pub(crate) fn add(&mut self, at: usize, sort: Sort, second: u64, bytes: u64) {
        let count = self.tallies[at].entry((sort, second)).or_default();
        *count = *count + Count { messages: 1, bytes };
    }

    /// This second is measured.
    pub(crate) fn measures(&self, second: u64) -> bool {
        (self.span.0..self.span.1).contains(&second)
    }

    fn measured(&self, sort: Sort) -> impl Iterator<Item = Count> {
        let all = self.tallies.iter().flatten();
        all.filter(move |((of, second), _)| *of == sort && self.measures(*second)).map(|(_, count)| *count)
    }

    /// Of one sort in the measured time, over all schedulers: each message is counted where it is sent and where it is
    /// received.
    pub fn total(&self, sort: Sort) -> Count {
        self.measured(sort).fold(Count::default(), Count::add)
    }

    /// Of one sort, the worst second of the scheduler that was worst off in the measured time, by bytes.
    pub fn worst(&self, sort: Sort) -> Count {
        self.measured(sort).max_by_key(|count| (count.bytes, count.messages)).unwrap_or_default()
    }

    /// Greetings of the very beginning, when all schedulers start at once: the worst scheduler's, all in all.
    pub fn mass_restart(&self) -> Count {
        let early = |at: &(Sort, u64)| at.0 == Sort::Greetings && at.1 < self.span.0;
        let of = |tally: &BTreeMap<(Sort, u64), Count>| {
            tally
                .iter()
                .filter(|(at, _)| early(at))
                .map(|(_, count)| *count)
                .fold(Count::default(), Count::add)
        };
        self.tallies.iter().map(of).max_by_key(|count| count.bytes).unwrap_or_default()
    }
}

/// What a datagram is, by its length (see the module's table of messages).
pub(crate) fn sort(body: &[u8]) -> Sort {
    match body.len() {
        3 => Sort::Greetings,
        6 => Sort::Troubles,
        _ => Sort::Talk,
    }
}
