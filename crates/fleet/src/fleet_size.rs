//! Number of schedulers in the fleet: the number in the settings, raised by the ranks of received messages.
//!
//! Every share is computed from this number, and the settings may be wrong. Received messages can only raise it, since
//! a lost datagram must never let a scheduler use more than its share. If the number is too large, each share is
//! smaller: this costs throughput, but no worker is overloaded.

/// Limit on ranks: ranks from this number on are not counted, so that a peer that sends high ranks cannot exhaust
/// memory.
pub const MAX_RANKS: u32 = 4096;

/// Minimum number of schedulers in the fleet, and the ranks from which messages were received.
#[derive(Clone, Debug)]
pub struct FleetSize {
    /// For each rank: true if a message was received from the scheduler of that rank.
    seen: Vec<bool>,
    /// Minimum number of schedulers.
    size: u32,
}

impl FleetSize {
    /// Creates the count from the number of schedulers in the settings and this scheduler's rank.
    pub fn new(configured: u32, own_rank: u32) -> Self {
        FleetSize { seen: Vec::new(), size: configured.max(own_rank.saturating_add(1)).clamp(1, MAX_RANKS) }
    }

    /// Records a message from this rank, and returns whether the fleet is larger than known before. Ranks from
    /// [`MAX_RANKS`] on are not counted.
    pub fn record_rank(&mut self, rank: u32) -> bool {
        if rank >= MAX_RANKS {
            return false;
        }
        if self.seen.len() <= rank as usize {
            self.seen.resize(rank as usize + 1, false);
        }
        self.seen[rank as usize] = true;
        let before = self.size;
        self.size = self.size.max(rank + 1);
        self.size > before
    }

    /// Returns the minimum number of schedulers: the largest of the number in the settings, the own rank plus 1, and
    /// the highest rank seen plus 1. It never decreases.
    pub fn size(&self) -> u32 {
        self.size
    }

    /// Returns the number of ranks from which messages were received since the start.
    pub fn ranks_seen(&self) -> u32 {
        self.seen.iter().filter(|&&seen| seen).count() as u32
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn received_ranks_raise_the_size_and_nothing_lowers_it() {
        let mut fleet = FleetSize::new(30, 4);
        assert_eq!(fleet.size(), 30);
        // The settings say 30, but a message from rank 299 shows that there are at least 300.
        assert!(fleet.record_rank(299));
        assert!(!fleet.record_rank(12));
        assert_eq!((fleet.size(), fleet.ranks_seen()), (300, 2));
        // The settings say 3000, and only ten send messages: the size stays, since one that is too large only costs
        // throughput.
        let mut fleet = FleetSize::new(3000, 4);
        (0..10).for_each(|rank| assert!(!fleet.record_rank(rank)));
        assert_eq!(fleet.size(), 3000);
        // The own rank counts, whatever the settings say.
        assert_eq!(FleetSize::new(0, 41).size(), 42);
    }

    #[test]
    fn ranks_above_the_limit_are_not_counted() {
        let mut fleet = FleetSize::new(1, 0);
        assert!(!fleet.record_rank(u32::MAX) && !fleet.record_rank(MAX_RANKS));
        assert_eq!(fleet.size(), 1);
        assert!(fleet.record_rank(MAX_RANKS - 1));
        assert_eq!(fleet.size(), MAX_RANKS);
        assert_eq!(FleetSize::new(u32::MAX, u32::MAX).size(), MAX_RANKS);
    }
}
