//! Witnesses: what schedulers tell each other of how fresh their lists are.
//!
//! A scheduler that has had no word of discovery for a while, or none at all since it started, asks a few others. One
//! that has the same list (by its digest) and has had a word of discovery vouches for it: the list was complete at least
//! as late as the question was asked, less the age that is told. One that has had a word later than the asker, and has
//! another list, shows that discovery can be reached, so that the asker's refused calls are no sign of an outage.
//!
//! Clocks are never compared: an age counts from the time at which the asker put the question, which is no later than
//! the answer was made.
//!
//! | message | bytes (little-endian) |
//! | --- | --- |
//! | question | version, 1, number of the question (2) |
//! | answer | version, 2, number of the question (2), digest of the list (8), age of its last confirmation in ms (4) |

use crate::{ListLease, ListSource, Micros};

/// The version of the messages: no message of the decision module begins so.
pub const VERSION: u8 = 0xf1;
/// So many others are asked at once.
pub const PEERS_PER_QUESTION: usize = 3;
/// A list that was confirmed so lately needs no witness: discovery itself has time to speak.
const RECENT: Micros = 4_000_000;
/// Questions follow each other at this distance at first, and at twice the last one after each.
const FIRST_REST: Micros = 300_000;
/// The longest distance between two questions.
const LONGEST_REST: Micros = 2_400_000;

const QUESTION: u8 = 1;
const ANSWER: u8 = 2;

/// A message between two schedulers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Message {
    /// How fresh is your list?
    Question {
        /// Comes back with the answer.
        number: u16,
    },
    /// The list with this digest was complete so long ago.
    Answer {
        /// The number of the question.
        number: u16,
        /// The digest of the answering scheduler's list.
        digest: u64,
        /// Milliseconds since it was confirmed, rounded up.
        age_ms: u32,
    },
}

impl Message {
    /// Writes the message.
    pub fn encode(self) -> Vec<u8> {
        match self {
            Message::Question { number } => {
                let mut body = vec![VERSION, QUESTION];
                body.extend_from_slice(&number.to_le_bytes());
                body
            }
            Message::Answer { number, digest, age_ms } => {
                let mut body = vec![VERSION, ANSWER];
                body.extend_from_slice(&number.to_le_bytes());
                body.extend_from_slice(&digest.to_le_bytes());
                body.extend_from_slice(&age_ms.to_le_bytes());
                body
            }
        }
    }

    /// Reads a message; `None` for any other bytes.
    pub fn decode(body: &[u8]) -> Option<Self> {
        let (&[VERSION, kind, low, high], rest) = body.split_first_chunk::<4>()? else { return None };
        let number = u16::from_le_bytes([low, high]);
        match kind {
            QUESTION if rest.is_empty() => Some(Message::Question { number }),
            ANSWER => {
                let (digest, age) = rest.split_first_chunk::<8>()?;
                let age_ms = u32::from_le_bytes(age.try_into().ok()?);
                Some(Message::Answer { number, digest: u64::from_le_bytes(*digest), age_ms })
            }
            _ => None,
        }
    }
}

/// What an answer meant for the asker's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing: it is old, or tells nothing new.
    Nothing,
    /// The same list was complete later than was known here.
    Confirmed,
    /// Discovery could be reached later than was known here, and has another list.
    Behind,
}

/// The questions of one scheduler.
#[derive(Clone, Debug)]
pub struct Inquiry {
    number: u16,
    asked: Option<Micros>,
    rest: Micros,
}

impl Default for Inquiry {
    fn default() -> Self {
        Inquiry { number: 0, asked: None, rest: FIRST_REST }
    }
}

impl Inquiry {
    /// When the next question is due; `None` where nobody needs to be asked.
    pub fn due(&self, clock: &ListLease) -> Option<Micros> {
        if clock.source() != ListSource::SharedService {
            return None;
        }
        let needed = clock.confirmed().map_or(clock.started(), |confirmed| confirmed + RECENT);
        Some(self.asked.map_or(needed, |asked| needed.max(asked + self.rest)))
    }

    /// A question goes out now.
    pub fn ask(&mut self, now: Micros) -> Message {
        self.rest = if self.asked.is_some() { (self.rest * 2).min(LONGEST_REST) } else { FIRST_REST };
        self.asked = Some(now);
        self.number = self.number.wrapping_add(1);
        Message::Question { number: self.number }
    }

    /// Discovery has spoken itself: the next time of doubt begins with quick questions again.
    pub fn reset(&mut self) {
        self.asked = None;
    }

    /// The answer to a question, for a list of this digest.
    pub fn answer(number: u16, clock: &ListLease, digest: u64, now: Micros) -> Option<Message> {
        let age = now.saturating_sub(clock.confirmed()?);
        let age_ms = u32::try_from(age.div_ceil(1_000)).unwrap_or(u32::MAX);
        Some(Message::Answer { number, digest, age_ms })
    }

    /// Takes in an answer, for a list of this digest.
    pub fn handle_answer(
        &self,
        clock: &mut ListLease,
        own: u64,
        (number, digest, age_ms): (u16, u64, u32),
    ) -> Verdict {
        let Some(asked) = self.asked.filter(|_| number == self.number) else { return Verdict::Nothing };
        let at = asked.saturating_sub(Micros::from(age_ms) * 1_000);
        if clock.confirmed().is_some_and(|confirmed| at <= confirmed) {
            return Verdict::Nothing;
        }
        if digest == own {
            return if clock.confirm(at) { Verdict::Confirmed } else { Verdict::Nothing };
        }
        clock.discovery_reachable(at);
        Verdict::Behind
    }
}
