//! Links: how long what is sent between two zones is on its way, what of it is lost, and what is cut.

use crate::Micros;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// One way within a zone, between zones of a region, and between regions.
const SAME_ZONE_DELAY: f64 = 250.0;
const SAME_REGION_DELAY: f64 = 1_000.0;
const CROSS_REGION_DELAY: f64 = 20_000.0;
/// How much longer it may take, as a part.
const MAX_JITTER: f64 = 0.25;
/// What is sent is on its way for no longer than this, with the handshake of its connection.
const MAX_TRANSIT_TIME: Micros = 100_000;
/// Datagrams that are lost.
const DATAGRAM_LOSS: f64 = 0.001;

/// See the head of this file.
pub struct Links {
    regions: usize,
    zones: usize,
    /// Ways from zone to zone on which nothing arrives, and since when.
    cut_since: Vec<Option<Micros>>,
    rng: StdRng,
}

impl Links {
    /// `zones` zones, evenly in `regions` regions, nothing cut.
    pub fn new(zones: usize, regions: usize, seed: u64) -> Self {
        let (zones, regions) = (zones.max(1), regions.clamp(1, zones.max(1)));
        Links { regions, zones, cut_since: vec![None; zones * zones], rng: StdRng::seed_from_u64(seed) }
    }

    /// The region of a zone.
    pub fn region(&self, zone: usize) -> usize {
        zone * self.regions / self.zones
    }

    /// Cuts every link between two regions, from now on, or mends them.
    pub fn cut_regions(&mut self, now: Micros, cut: bool) {
        let zones = self.zones;
        for (a, b) in (0..zones).flat_map(|a| (0..zones).map(move |b| (a, b))) {
            if self.region(a) != self.region(b) {
                self.cut_path(now, a, b, cut);
            }
        }
    }

    /// Cuts the way from one zone to another from now on, or mends it.
    pub fn cut_path(&mut self, now: Micros, from: usize, to: usize, cut: bool) {
        let way = &mut self.cut_since[from * self.zones + to];
        *way = cut.then(|| way.unwrap_or(now));
    }

    /// What is sent now arrives.
    pub fn is_open(&self, from: usize, to: usize) -> bool {
        self.cut_since[from * self.zones + to].is_none()
    }

    /// What arrives now was sent while the way was cut: there should be no such thing.
    pub fn crossed_cut(&self, now: Micros, from: usize, to: usize) -> bool {
        self.cut_since[from * self.zones + to].is_some_and(|since| now > since + MAX_TRANSIT_TIME)
    }

    /// What is sent now and asks for an answer gets one.
    pub fn is_open_both_ways(&self, a: usize, b: usize) -> bool {
        self.is_open(a, b) && self.is_open(b, a)
    }

    /// How long what is sent now is on its way, in microseconds.
    pub fn delay(&mut self, from: usize, to: usize) -> Micros {
        let base = match (from == to, self.region(from) == self.region(to)) {
            (true, _) => SAME_ZONE_DELAY,
            (false, true) => SAME_REGION_DELAY,
            (false, false) => CROSS_REGION_DELAY,
        };
        (base * (1.0 + MAX_JITTER * self.rng.random::<f64>())) as Micros
    }

    /// The same for a datagram; `None`: it is lost.
    pub fn datagram_delay(&mut self, from: usize, to: usize) -> Option<Micros> {
        let lost = self.rng.random::<f64>() < DATAGRAM_LOSS;
        (self.is_open(from, to) && !lost).then(|| self.delay(from, to))
    }
}
