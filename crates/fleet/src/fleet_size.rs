//! How many schedulers there are: what the settings say, raised by the ranks heard from.
//!
//! The figure is what every share hangs on, and the settings may be wrong. What is heard can only raise it: a
//! datagram that is lost must never let a scheduler spend more. A figure that is too large makes each part smaller,
//! which costs service but keeps every worker within what it bears.

/// Ranks that are kept in mind at most: a peer that names ever higher ones must not fill the memory.
pub const MAX_RANKS: u32 = 4096;

/// Whom a scheduler has heard from, by rank, and so how many there are at least.
#[derive(Clone, Debug)]
pub struct FleetSize {
    heard: Vec<bool>,
    size: u32,
}

impl FleetSize {
    /// A census of `told` schedulers, as the settings say, of which this one has rank `own`.
    pub fn new(told: u32, own: u32) -> Self {
        FleetSize { heard: Vec::new(), size: told.max(own.saturating_add(1)).clamp(1, MAX_RANKS) }
    }

    /// A message came from this rank; tells whether the fleet is larger than was thought. Ranks from [`MOST_RANKS`]
    /// on are not counted.
    pub fn record_rank(&mut self, rank: u32) -> bool {
        if rank >= MAX_RANKS {
            return false;
        }
        if self.heard.len() <= rank as usize {
            self.heard.resize(rank as usize + 1, false);
        }
        self.heard[rank as usize] = true;
        let before = self.size;
        self.size = self.size.max(rank + 1);
        self.size > before
    }

    /// How many schedulers there are at least: as told, or as many as the highest rank heard says. Never less than one
    /// more than the own rank, and never less than before.
    pub fn size(&self) -> u32 {
        self.size
    }

    /// How many ranks have been heard from since the start.
    pub fn ranks_seen(&self) -> u32 {
        self.heard.iter().filter(|&&heard| heard).count() as u32
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_heard_raises_the_figure_and_nothing_lowers_it() {
        let mut census = FleetSize::new(30, 4);
        assert_eq!(census.size(), 30);
        // Told thirty, but rank 299 speaks: there are three hundred at least.
        assert!(census.record_rank(299));
        assert!(!census.record_rank(12));
        assert_eq!((census.size(), census.ranks_seen()), (300, 2));
        // Told three thousand, hearing ten: a figure too large costs service only, so it stays.
        let mut census = FleetSize::new(3000, 4);
        (0..10).for_each(|rank| assert!(!census.record_rank(rank)));
        assert_eq!(census.size(), 3000);
        // The own rank counts, whatever is told.
        assert_eq!(FleetSize::new(0, 41).size(), 42);
    }

    #[test]
    fn a_peer_that_names_any_rank_does_not_fill_the_memory() {
        let mut census = FleetSize::new(1, 0);
        assert!(!census.record_rank(u32::MAX) && !census.record_rank(MAX_RANKS));
        assert_eq!(census.size(), 1);
        assert!(census.record_rank(MAX_RANKS - 1));
        assert_eq!(census.size(), MAX_RANKS);
        assert_eq!(FleetSize::new(u32::MAX, u32::MAX).size(), MAX_RANKS);
    }
}
