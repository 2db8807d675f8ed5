//! Dealing: dispatchers into cohorts, workers to cohorts, and the size map over them.

use super::*;

impl Dispatcher {
    /// Deals the dispatchers into cohorts of as many as it takes to share enough workers to even out their bursts, in
    /// powers of two so that lists which differ a little give the same: large ones over all zones, small ones in one.
    pub(super) fn deal_cohorts(&mut self) {
        let workers = self.workers.iter().filter(|worker| worker.status == WorkerStatus::On).count().max(1);
        let size = (SHARE * self.company.size() as usize / workers).clamp(1, COHORT).next_power_of_two();
        self.cohorts.clear();
        let apart = size < 2 * self.settings.zones;
        let zones = (0..self.settings.zones).map(|zone| Some(zone as u8)).filter(|_| apart);
        for zone in zones.chain([None]) {
            let here = |rank: &u32| !apart || self.know.zones_by_rank[*rank as usize] == zone;
            let ranks: Vec<u32> = (0..self.company.size()).filter(here).collect();
            let count = (ranks.len() / size).max(usize::from(!ranks.is_empty()));
            let part = |nr: usize| ranks[nr * ranks.len() / count..(nr + 1) * ranks.len() / count].to_vec();
            self.cohorts.extend((0..count).map(|nr| (zone, part(nr))));
        }
    }

    /// Deals the workers out to the cohorts, by the list alone: what each dispatcher has learned by itself must not
    /// count, or they would not agree on whose a worker is. Every cohort gets an even part of every kind, and within a zone
    /// an even part of the zone's.
    pub(super) fn deal_workers(&mut self) {
        let on = (0..).zip(&self.workers).filter(|(_, worker)| worker.status == WorkerStatus::On);
        let mut order: Vec<_> = on.map(|(at, worker)| (worker.kind, worker.id, at)).collect();
        order.sort_unstable();
        let all: Vec<usize> = (0..self.cohorts.len()).collect();
        let of_zone = |zone: usize| {
            let near =
                |&cohort: &usize| self.cohorts[cohort].0.is_none_or(|there| usize::from(there) == zone);
            all.iter().copied().filter(near).collect::<Vec<usize>>()
        };
        let near: Vec<Vec<usize>> = (0..self.settings.zones.max(1)).map(of_zone).collect();
        let (mut taken, mut dealt) = (vec![0_usize; all.len()], 0);
        let mut dealt_near = vec![0_usize; near.len()];
        for kind in order.chunk_by(|a, b| a.0 == b.0) {
            dealt += kind.len();
            let most = dealt.div_ceil(all.len());
            kind.iter().for_each(|&(_, _, at)| dealt_near[self.workers[at].zone.0] += 1);
            for &(_, id, at) in kind {
                let zone = self.workers[at].zone.0;
                let here = &near[zone];
                let part = dealt_near[zone] as f64 / here.len().max(1) as f64;
                let bounds = [(here, part.floor() as usize), (here, part.ceil() as usize), (&all, most)];
                let draw = mix(u64::from(id.0), 0) as usize;
                let place =
                    |(list, bound): (&Vec<usize>, usize)| next_with_room(list, draw, &taken, bound.min(most));
                let to = bounds.into_iter().find_map(place).unwrap_or(0);
                taken[to] += 1;
                self.workers[at].cohort = to;
                self.workers[at].in_own_cohort = self.cohorts[to].1.contains(&self.settings.rank);
            }
        }
    }

    /// Ranges over the workers by (speed of their kind, id), small jobs to the slow; in each every cohort has a share.
    pub(super) fn rebuild_maps(&mut self) {
        self.maps_stale = false;
        if self.settings.limits.peers {
            self.deal_cohorts();
            self.deal_workers();
        } else {
            // Nobody knows who is in which zone: each begins with its own zone's, in an order of its own.
            let here = self.settings.zone;
            self.workers.iter_mut().for_each(|worker| worker.in_own_cohort = worker.zone == here);
        }
        if self.settings.weights {
            self.seed_speeds();
        }
        for need in 0..self.maps.len() {
            let wanted = need.checked_sub(1);
            let used = self.settings.classes.iter().any(|class| class.kind.map(|kind| kind.0) == wanted);
            if used {
                self.rebuild_map(need, wanted);
            }
        }
    }

    /// Until run times tell more, kinds are as fast as their listed weights say.
    pub(super) fn seed_speeds(&mut self) {
        let mean = |wanted: Option<usize>| {
            let on =
                |of: &&Worker| of.status == WorkerStatus::On && wanted.is_none_or(|kind| kind == of.kind);
            let weights = self.workers.iter().filter(on).map(|worker| worker.weight);
            weights.clone().sum::<f64>() / weights.count() as f64
        };
        let all = mean(None);
        let means: Vec<f64> = (0..self.know.kinds.len()).map(|kind| mean(Some(kind))).collect();
        let kinds = self.know.kinds.iter_mut().zip(means);
        for (kind, mean) in kinds.filter(|(kind, mean)| kind.speed.seen == 0.0 && !mean.is_nan()) {
            kind.speed.ln = (mean / all).ln();
        }
    }

    pub(super) fn rebuild_map(&mut self, need: usize, wanted: Option<usize>) {
        let on = |of: &Worker| of.status == WorkerStatus::On && wanted.is_none_or(|kind| kind == of.kind);
        let mut order: Vec<usize> = (0..self.workers.len()).filter(|&at| on(&self.workers[at])).collect();
        let speed = |at: usize| self.know.kinds[self.workers[at].kind].speed.ln;
        let key = |at: usize| (self.workers[at].kind, self.workers[at].id);
        order.sort_by(|&a, &b| speed(a).total_cmp(&speed(b)).then(key(a).cmp(&key(b))));
        let known = self.maps[need].sizes.len() / RANGE_SIZES;
        let count = (order.len() / RANGE_WORKERS).min(known).clamp(1, RANGES);
        let part = |nr: usize| &order[nr * order.len() / count..(nr + 1) * order.len() / count];
        let power = |nr: usize| part(nr).iter().map(|&at| speed(at).exp()).sum();
        let bounds = self.maps[need].sizes.bounds(&(0..count).map(power).collect::<Vec<f64>>());
        let rank = self.settings.rank;
        let mut ranges = Vec::with_capacity(count);
        for (nr, &upper) in bounds.iter().enumerate() {
            let (mut home, others): (Vec<usize>, Vec<usize>) =
                part(nr).iter().partition(|&&at| self.workers[at].in_own_cohort);
            let here = |&at: &usize| self.workers[at].zone == self.settings.zone;
            let (mut near, mut far): (Vec<usize>, Vec<usize>) = others.into_iter().partition(here);
            let draw = |&at: &usize| mix(u64::from(rank), u64::from(self.workers[at].id.0));
            if !self.settings.limits.peers {
                home.sort_by_key(draw);
            } else if let Some(&first) = home.first() {
                // Each member begins at another place of the share.
                let cohort = &self.cohorts[self.workers[first].cohort].1;
                let turn = cohort.iter().position(|&member| member == rank).unwrap_or(0);
                let by = turn * home.len() / cohort.len();
                home.rotate_left(by);
                home.sort_by_key(|&at| self.workers[at].zone != self.settings.zone);
            }
            near.sort_by_key(draw);
            far.sort_by_key(draw);
            ranges.push(SizeRange { upper, own_cohort: home, same_zone: near, other_zones: far });
        }
        self.maps[need].ranges = ranges;
    }
}

/// From a place drawn by the id, the next of these cohorts that has taken less than `bound`: shares are even, and little moves
/// as workers come and go.
fn next_with_room(cohorts: &[usize], draw: usize, taken: &[usize], bound: usize) -> Option<usize> {
    let first = draw % cohorts.len().max(1);
    let ring = cohorts.iter().cycle().skip(first).take(cohorts.len());
    ring.copied().find(|&cohort| taken[cohort] < bound)
}
