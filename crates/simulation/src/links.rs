//! Links between zones: transit delay, loss of datagrams, and cut paths.

use crate::Micros;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Minimum one-way delay within a zone, in microseconds.
const SAME_ZONE_DELAY: f64 = 250.0;
/// Minimum one-way delay between two zones of a region, in microseconds.
const SAME_REGION_DELAY: f64 = 1_000.0;
/// Minimum one-way delay between two regions, in microseconds.
const CROSS_REGION_DELAY: f64 = 20_000.0;
/// Largest random addition to a delay, as a fraction of it.
const MAX_JITTER: f64 = 0.25;
/// Upper bound of the transit time of a message, including the handshake of its connection, in microseconds.
const MAX_TRANSIT_TIME: Micros = 100_000;
/// Fraction of datagrams that are lost.
const DATAGRAM_LOSS: f64 = 0.001;

/// The paths between all pairs of zones, with their delays and cuts.
pub struct Links {
    regions: usize,
    zones: usize,
    /// For each path (index `from * zones + to`) the time at which it was cut, or `None` if it is not cut.
    cut_since: Vec<Option<Micros>>,
    rng: StdRng,
}

impl Links {
    /// Creates `zones` zones, evenly divided into `regions` regions, without any cut.
    pub fn new(zones: usize, regions: usize, seed: u64) -> Self {
        let (zones, regions) = (zones.max(1), regions.clamp(1, zones.max(1)));
        Links { regions, zones, cut_since: vec![None; zones * zones], rng: StdRng::seed_from_u64(seed) }
    }

    /// The region of a zone.
    pub fn region(&self, zone: usize) -> usize {
        zone * self.regions / self.zones
    }

    /// Cuts every path between two regions from now on, or restores them if `cut` is false.
    pub fn cut_regions(&mut self, now: Micros, cut: bool) {
        let zones = self.zones;
        for (a, b) in (0..zones).flat_map(|a| (0..zones).map(move |b| (a, b))) {
            if self.region(a) != self.region(b) {
                self.cut_path(now, a, b, cut);
            }
        }
    }

    /// Cuts the path from one zone to another from now on, or restores it if `cut` is false.
    pub fn cut_path(&mut self, now: Micros, from: usize, to: usize, cut: bool) {
        let path = &mut self.cut_since[from * self.zones + to];
        *path = cut.then(|| path.unwrap_or(now));
    }

    /// True if the path is not cut.
    pub fn is_open(&self, from: usize, to: usize) -> bool {
        self.cut_since[from * self.zones + to].is_none()
    }

    /// True if a message that arrives now was sent while the path was cut, which is a fault of the simulation.
    pub fn crossed_cut(&self, now: Micros, from: usize, to: usize) -> bool {
        self.cut_since[from * self.zones + to].is_some_and(|since| now > since + MAX_TRANSIT_TIME)
    }

    /// True if neither direction is cut, so that a request gets its answer.
    pub fn is_open_both_ways(&self, a: usize, b: usize) -> bool {
        self.is_open(a, b) && self.is_open(b, a)
    }

    /// One-way delay of a message that is sent now, in microseconds.
    pub fn delay(&mut self, from: usize, to: usize) -> Micros {
        let base = match (from == to, self.region(from) == self.region(to)) {
            (true, _) => SAME_ZONE_DELAY,
            (false, true) => SAME_REGION_DELAY,
            (false, false) => CROSS_REGION_DELAY,
        };
        (base * (1.0 + MAX_JITTER * self.rng.random::<f64>())) as Micros
    }

    /// One-way delay of a datagram that is sent now, in microseconds, or `None` if it is lost.
    pub fn datagram_delay(&mut self, from: usize, to: usize) -> Option<Micros> {
        let lost = self.rng.random::<f64>() < DATAGRAM_LOSS;
        (self.is_open(from, to) && !lost).then(|| self.delay(from, to))
    }
}
