//! Assumptions of a scheduler about its peers: how many there are, whether they send messages, and how much weight
//! their messages have. Both the settings and the received messages count.
//!
//! | peers | assumed load of the peers at a worker | senders to a cold worker |
//! | --- | --- | --- |
//! | send messages | the reported load; no other load at workers of the own cohort | the worker's cohort, from one pool |
//! | may send messages, but have stopped | for [`SILENCE_TIMEOUT`] the same; then, over [`FADE_TIME`], increasingly the average from reports and job starts | the same: the pool is safe even if every message is lost |
//! | must not send messages | the load from reports and job starts | a few schedulers in each window, chosen by the worker and the time ([`crate::cold::ColdRotation`]) |

use crate::fleet_size::FleetSize;

/// A point in time on the caller's clock, or a duration, in microseconds.
pub type Micros = u64;

/// The peers count as silent if no message from any of them arrived for this time, in microseconds. Peers that may send
/// messages and have work send several a second.
pub const SILENCE_TIMEOUT: Micros = 1_000_000;
/// After [`SILENCE_TIMEOUT`], the weight of the peers' messages falls to 0 over this time (microseconds).
pub const FADE_TIME: Micros = 2_000_000;

/// The other schedulers, as far as they are known. The module documentation describes the assumptions.
#[derive(Clone, Debug)]
pub struct PeerSet {
    fleet: FleetSize,
    /// True if peers may send each other messages.
    allowed: bool,
    /// Time of the last message from any peer.
    last_message: Option<Micros>,
}

impl PeerSet {
    /// Creates the set from the number of schedulers in the settings and this scheduler's rank. `allowed`: schedulers
    /// may send each other messages.
    pub fn new(configured: u32, own_rank: u32, allowed: bool) -> Self {
        PeerSet { fleet: FleetSize::new(configured, own_rank), allowed, last_message: None }
    }

    /// Returns the minimum number of schedulers, this one included (see [`FleetSize::size`]).
    pub fn size(&self) -> u32 {
        self.fleet.size()
    }

    /// Returns whether this scheduler sends messages: there are peers, and messages are allowed.
    pub fn sends_peer_messages(&self) -> bool {
        self.allowed && self.size() > 1
    }

    /// Records a message from the scheduler of this rank, and returns whether the fleet is larger than known before.
    pub fn record_message(&mut self, now: Micros, rank: u32) -> bool {
        self.last_message = self.last_message.max(Some(now));
        self.fleet.record_rank(rank)
    }

    /// Returns the weight of the peers' messages, from 0 (no peer sends any) to 1.
    pub fn confidence(&self, now: Micros) -> f64 {
        let Some(last_message) = self.last_message.filter(|_| self.allowed) else { return 0.0 };
        let silent = now.saturating_sub(last_message).saturating_sub(SILENCE_TIMEOUT);
        1.0 - (silent as f64 / FADE_TIME as f64).min(1.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Micros = 1_000_000;

    #[test]
    fn confidence_fades_gradually_in_silence_and_returns_with_a_message() {
        let mut peers = PeerSet::new(30, 2, true);
        assert!(peers.sends_peer_messages());
        assert_eq!(peers.confidence(SECOND), 0.0, "confidence must be 0 before the first message");
        peers.record_message(10 * SECOND, 7);
        assert_eq!(peers.confidence(10 * SECOND + SILENCE_TIMEOUT), 1.0);
        let mut last = 1.0;
        for at in (0..=FADE_TIME).step_by(100_000) {
            let confidence = peers.confidence(10 * SECOND + SILENCE_TIMEOUT + at);
            assert!(
                confidence <= last && last - confidence < 0.06,
                "a step from {last} to {confidence} at {at} us"
            );
            last = confidence;
        }
        assert_eq!(last, 0.0);
        peers.record_message(20 * SECOND, 7);
        assert_eq!(peers.confidence(20 * SECOND), 1.0);
    }

    #[test]
    fn messages_are_ignored_where_they_are_not_allowed() {
        let mut peers = PeerSet::new(30, 2, false);
        peers.record_message(SECOND, 7);
        assert!(!peers.sends_peer_messages());
        assert_eq!(peers.confidence(SECOND), 0.0);
        assert!(!PeerSet::new(1, 0, true).sends_peer_messages(), "a single scheduler has no peers");
    }
}
