//! Witnesses: schedulers that confirm the freshness of each other's worker lists.
//!
//! A scheduler that has received no message from discovery for some time, or none since it started, asks a few others.
//! A scheduler whose list has the same digest, and which has received a message from discovery, confirms the list: the
//! list was complete at the time of the question minus the age in the answer, or later. A scheduler that has another
//! list and a later message than the asker shows that discovery can be reached, so the asker's refused calls do not
//! mean an outage.
//!
//! Clocks are never compared: an age counts from the time at which the asker sent the question, and the answer was made
//! no earlier than that.
//!
//! | message | bytes (little-endian) |
//! | --- | --- |
//! | question | version, 1, number of the question (2) |
//! | answer | version, 2, number of the question (2), digest of the list (8), age of its last confirmation in ms (4) |

use crate::{ListLease, ListSource, Micros};

/// Version of the messages. No message of the decision module begins with this byte.
pub const VERSION: u8 = 0xf1;
/// Number of other schedulers that get each question.
pub const PEERS_PER_QUESTION: usize = 3;
/// Age of the last confirmation, in microseconds, from which on a scheduler asks other schedulers. Before that age, a
/// message of discovery itself may still arrive in time.
const MIN_AGE_TO_ASK: Micros = 4_000_000;
/// Interval between the first two questions, in microseconds. Each further interval is twice the previous one.
const FIRST_INTERVAL: Micros = 300_000;
/// Maximum interval between two questions, in microseconds.
const MAX_INTERVAL: Micros = 2_400_000;

/// Type byte of a question.
const QUESTION: u8 = 1;
/// Type byte of an answer.
const ANSWER: u8 = 2;

/// A message between two schedulers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Message {
    /// Asks for the age of the receiver's last confirmation.
    Question {
        /// Number that the answer returns.
        number: u16,
    },
    /// States that the list with this digest was complete at this age.
    Answer {
        /// Number of the question.
        number: u16,
        /// Digest of the answering scheduler's list.
        digest: u64,
        /// Time since the list was confirmed, in milliseconds, rounded up.
        age_ms: u32,
    },
}

impl Message {
    /// Encodes the message.
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

    /// Decodes a message. Returns `None` for any other bytes.
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

/// Effect of an answer on the asker's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No effect: the answer is outdated or not newer than what the asker knows.
    Nothing,
    /// The same list was complete at a later time than the asker knew.
    Confirmed,
    /// Discovery could be reached at a later time than the asker knew, and has another list.
    Behind,
}

/// State of the questions of one scheduler.
#[derive(Clone, Debug)]
pub struct Inquiry {
    /// Number of the last question.
    number: u16,
    /// Time of the last question; `None` if there was none since the last message of discovery.
    asked_at: Option<Micros>,
    /// Interval until the next question.
    interval: Micros,
}

impl Default for Inquiry {
    fn default() -> Self {
        Inquiry { number: 0, asked_at: None, interval: FIRST_INTERVAL }
    }
}

impl Inquiry {
    /// Returns the time at which the next question is due; `None` if the list does not come from a shared service.
    pub fn due(&self, lease: &ListLease) -> Option<Micros> {
        if lease.source() != ListSource::SharedService {
            return None;
        }
        let needed = lease.confirmed().map_or(lease.started(), |confirmed| confirmed + MIN_AGE_TO_ASK);
        Some(self.asked_at.map_or(needed, |asked_at| needed.max(asked_at + self.interval)))
    }

    /// Returns a question to send at `now`.
    pub fn ask(&mut self, now: Micros) -> Message {
        self.interval =
            if self.asked_at.is_some() { (self.interval * 2).min(MAX_INTERVAL) } else { FIRST_INTERVAL };
        self.asked_at = Some(now);
        self.number = self.number.wrapping_add(1);
        Message::Question { number: self.number }
    }

    /// Records that discovery has sent a message: the next questions start at the shortest interval again.
    pub fn reset(&mut self) {
        self.asked_at = None;
    }

    /// Returns the answer to a question, for a list with this digest; `None` if the list was never confirmed.
    pub fn answer(number: u16, lease: &ListLease, digest: u64, now: Micros) -> Option<Message> {
        let age = now.saturating_sub(lease.confirmed()?);
        let age_ms = u32::try_from(age.div_ceil(1_000)).unwrap_or(u32::MAX);
        Some(Message::Answer { number, digest, age_ms })
    }

    /// Applies an answer to the lease. `own_digest` is the digest of this scheduler's list.
    pub fn handle_answer(
        &self,
        lease: &mut ListLease,
        own_digest: u64,
        (number, digest, age_ms): (u16, u64, u32),
    ) -> Verdict {
        let Some(asked_at) = self.asked_at.filter(|_| number == self.number) else { return Verdict::Nothing };
        let at = asked_at.saturating_sub(Micros::from(age_ms) * 1_000);
        if lease.confirmed().is_some_and(|confirmed| at <= confirmed) {
            return Verdict::Nothing;
        }
        if digest == own_digest {
            return if lease.confirm(at) { Verdict::Confirmed } else { Verdict::Nothing };
        }
        lease.discovery_reachable(at);
        Verdict::Behind
    }
}
