//! What a scheduler assumes of the others: how many there are, whether they speak, and so how far it may go by what they
//! tell. The one place where that is stated; the settings and what is heard both count.
//!
//! | others | what they have at a worker | who may send to a cold worker |
//! | --- | --- | --- |
//! | speak | what they told; nothing beside it at the workers of the own share | the cohort that has it in its share, from one pool |
//! | may speak, and fall silent | for [`SILENT`] the same; then, over [`FADES`], ever more what reports and starts show on average | the same: the pool is safe with every message lost |
//! | must not speak | what reports and starts show | a few, drawn by the worker and the time, in turn ([`crate::cold::Rota`]) |

use crate::fleet_size::FleetSize;

/// A time on the caller's clock, or a span, in microseconds.
pub type Micros = u64;

/// Others who may speak and have work do so several times a second: nothing for so long is silence.
pub const SILENCE_TIMEOUT: Micros = 1_000_000;
/// After that their word loses its weight over this time.
pub const FADE_TIME: Micros = 2_000_000;

/// See the head of this file.
#[derive(Clone, Debug)]
pub struct PeerSet {
    census: FleetSize,
    allowed: bool,
    heard: Option<Micros>,
}

impl PeerSet {
    /// `told` schedulers, as the settings say, of which this one has rank `own`; `allowed`: they may speak.
    pub fn new(told: u32, own: u32, allowed: bool) -> Self {
        PeerSet { census: FleetSize::new(told, own), allowed, heard: None }
    }

    /// How many there are (see [`Census::size`]).
    pub fn size(&self) -> u32 {
        self.census.size()
    }

    /// There are others, and they may be told something.
    pub fn sends_peer_messages(&self) -> bool {
        self.allowed && self.size() > 1
    }

    /// The scheduler of this rank has spoken; tells whether there are more than was thought.
    pub fn record_message(&mut self, now: Micros, rank: u32) -> bool {
        self.heard = self.heard.max(Some(now));
        self.census.record_rank(rank)
    }

    /// How far to go by what others tell, from 0 (nobody speaks) to 1.
    pub fn confidence(&self, now: Micros) -> f64 {
        let Some(heard) = self.heard.filter(|_| self.allowed) else { return 0.0 };
        let silent = now.saturating_sub(heard).saturating_sub(SILENCE_TIMEOUT);
        1.0 - (silent as f64 / FADE_TIME as f64).min(1.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Micros = 1_000_000;

    #[test]
    fn the_word_of_others_fades_smoothly_as_they_fall_silent_and_is_back_at_once() {
        let mut company = PeerSet::new(30, 2, true);
        assert!(company.sends_peer_messages());
        assert_eq!(company.confidence(SECOND), 0.0, "who was never heard is not gone by");
        company.record_message(10 * SECOND, 7);
        assert_eq!(company.confidence(10 * SECOND + SILENCE_TIMEOUT), 1.0);
        let mut last = 1.0;
        for at in (0..=FADE_TIME).step_by(100_000) {
            let trust = company.confidence(10 * SECOND + SILENCE_TIMEOUT + at);
            assert!(trust <= last && last - trust < 0.06, "no step");
            last = trust;
        }
        assert_eq!(last, 0.0);
        company.record_message(20 * SECOND, 7);
        assert_eq!(company.confidence(20 * SECOND), 1.0);
    }

    #[test]
    fn where_talk_is_barred_nothing_that_comes_is_gone_by() {
        let mut company = PeerSet::new(30, 2, false);
        company.record_message(SECOND, 7);
        assert!(!company.sends_peer_messages());
        assert_eq!(company.confidence(SECOND), 0.0);
        assert!(!PeerSet::new(1, 0, true).sends_peer_messages(), "one alone has nobody to tell");
    }
}
