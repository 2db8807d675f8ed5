//! Forms cohorts of dispatchers, assigns workers to them and builds the size maps.

use super::*;

impl Dispatcher {
    /// Divides the dispatchers into cohorts that are large enough to share [`MIN_WORKERS_PER_COHORT`] workers, so that
    /// bursts even out. Sizes are powers of two, so that worker lists with small differences give the same cohorts.
    /// Large cohorts span all zones, small ones lie in one zone.
    pub(super) fn form_cohorts(&mut self) {
        let workers = self.workers.iter().filter(|worker| worker.status == WorkerStatus::On).count().max(1);
        let size = (MIN_WORKERS_PER_COHORT * self.peer_set.size() as usize / workers)
            .clamp(1, MAX_COHORT_SIZE)
            .next_power_of_two();
        self.cohorts.clear();
        let by_zone = size < 2 * self.settings.zones;
        let zones = (0..self.settings.zones).map(|zone| Some(zone as u8)).filter(|_| by_zone);
        for zone in zones.chain([None]) {
            let in_zone = |rank: &u32| !by_zone || self.knowledge.zones_by_rank[*rank as usize] == zone;
            let ranks: Vec<u32> = (0..self.peer_set.size()).filter(in_zone).collect();
            let count = (ranks.len() / size).max(usize::from(!ranks.is_empty()));
            let members_of = |number: usize| {
                ranks[number * ranks.len() / count..(number + 1) * ranks.len() / count].to_vec()
            };
            self.cohorts.extend((0..count).map(|number| (zone, members_of(number))));
        }
    }

    /// Assigns the workers to the cohorts by the worker list alone. If figures that each dispatcher learns by itself
    /// counted, the dispatchers would not agree on the cohort of a worker. Every cohort gets an equal part of the
    /// workers of each kind, and within a zone an equal part of the workers of that zone.
    pub(super) fn assign_workers(&mut self) {
        let in_service = (0..).zip(&self.workers).filter(|(_, worker)| worker.status == WorkerStatus::On);
        let mut sorted: Vec<_> = in_service.map(|(index, worker)| (worker.kind, worker.id, index)).collect();
        sorted.sort_unstable();
        let all_cohorts: Vec<usize> = (0..self.cohorts.len()).collect();
        let cohorts_of_zone = |zone: usize| {
            let in_zone = |&cohort: &usize| {
                self.cohorts[cohort].0.is_none_or(|cohort_zone| usize::from(cohort_zone) == zone)
            };
            all_cohorts.iter().copied().filter(in_zone).collect::<Vec<usize>>()
        };
        let cohorts_by_zone: Vec<Vec<usize>> = (0..self.settings.zones.max(1)).map(cohorts_of_zone).collect();
        let (mut taken, mut assigned) = (vec![0_usize; all_cohorts.len()], 0);
        let mut assigned_in_zone = vec![0_usize; cohorts_by_zone.len()];
        for kind in sorted.chunk_by(|a, b| a.0 == b.0) {
            assigned += kind.len();
            let max_per_cohort = assigned.div_ceil(all_cohorts.len());
            kind.iter().for_each(|&(_, _, index)| assigned_in_zone[self.workers[index].zone.0] += 1);
            for &(_, id, index) in kind {
                let zone = self.workers[index].zone.0;
                let zone_cohorts = &cohorts_by_zone[zone];
                let zone_part = assigned_in_zone[zone] as f64 / zone_cohorts.len().max(1) as f64;
                let bounds = [
                    (zone_cohorts, zone_part.floor() as usize),
                    (zone_cohorts, zone_part.ceil() as usize),
                    (&all_cohorts, max_per_cohort),
                ];
                let draw = mix(u64::from(id.0), 0) as usize;
                let find_cohort = |(cohorts, bound): (&Vec<usize>, usize)| {
                    next_cohort_with_room(cohorts, draw, &taken, bound.min(max_per_cohort))
                };
                let cohort = bounds.into_iter().find_map(find_cohort).unwrap_or(0);
                taken[cohort] += 1;
                self.workers[index].cohort = cohort;
                self.workers[index].in_own_share = self.cohorts[cohort].1.contains(&self.settings.rank);
            }
        }
    }

    /// Rebuilds the size maps. The ranges of a map divide the workers in the order of the speed of their kind, with
    /// small jobs on slow workers; every cohort has a share of each range.
    pub(super) fn rebuild_size_maps(&mut self) {
        self.size_maps_stale = false;
        if self.settings.limits.peers {
            self.form_cohorts();
            self.assign_workers();
        } else {
            // The zones of the other dispatchers are unknown. Each dispatcher begins with the workers of its own zone,
            // in its own order.
            let own_zone = self.settings.zone;
            self.workers.iter_mut().for_each(|worker| worker.in_own_share = worker.zone == own_zone);
        }
        if self.settings.weights {
            self.seed_speeds_from_weights();
        }
        for map_index in 0..self.size_maps.len() {
            let wanted_kind = map_index.checked_sub(1);
            let used = self.settings.classes.iter().any(|class| class.kind.map(|kind| kind.0) == wanted_kind);
            if used {
                self.rebuild_size_map(map_index, wanted_kind);
            }
        }
    }

    /// Takes the speeds of kinds from the weights in the worker list until run times have been measured.
    pub(super) fn seed_speeds_from_weights(&mut self) {
        let mean = |wanted_kind: Option<usize>| {
            let in_service = |worker: &&Worker| {
                worker.status == WorkerStatus::On && wanted_kind.is_none_or(|kind| kind == worker.kind)
            };
            let weights = self.workers.iter().filter(in_service).map(|worker| worker.weight);
            weights.clone().sum::<f64>() / weights.count() as f64
        };
        let overall = mean(None);
        let means: Vec<f64> = (0..self.knowledge.kinds.len()).map(|kind| mean(Some(kind))).collect();
        let kinds = self.knowledge.kinds.iter_mut().zip(means);
        for (kind, mean) in kinds.filter(|(kind, mean)| kind.speed.seen == 0.0 && !mean.is_nan()) {
            kind.speed.ln = (mean / overall).ln();
        }
    }

    /// Rebuilds one size map. `wanted_kind` is the only kind of machine that the map covers, or `None` for all kinds.
    pub(super) fn rebuild_size_map(&mut self, map_index: usize, wanted_kind: Option<usize>) {
        let in_service = |worker: &Worker| {
            worker.status == WorkerStatus::On && wanted_kind.is_none_or(|kind| kind == worker.kind)
        };
        let mut sorted: Vec<usize> =
            (0..self.workers.len()).filter(|&index| in_service(&self.workers[index])).collect();
        let speed = |index: usize| self.knowledge.kinds[self.workers[index].kind].speed.ln;
        let tie_key = |index: usize| (self.workers[index].kind, self.workers[index].id);
        sorted.sort_by(|&a, &b| speed(a).total_cmp(&speed(b)).then(tie_key(a).cmp(&tie_key(b))));
        let max_known = self.size_maps[map_index].sizes.len() / MIN_SIZES_PER_RANGE;
        let count = (sorted.len() / MIN_WORKERS_PER_RANGE).min(max_known).clamp(1, MAX_RANGES);
        let workers_of =
            |number: usize| &sorted[number * sorted.len() / count..(number + 1) * sorted.len() / count];
        let speed_sum = |number: usize| workers_of(number).iter().map(|&index| speed(index).exp()).sum();
        let bounds = self.size_maps[map_index].sizes.bounds(&(0..count).map(speed_sum).collect::<Vec<f64>>());
        let rank = self.settings.rank;
        let mut ranges = Vec::with_capacity(count);
        for (number, &upper) in bounds.iter().enumerate() {
            let (mut own_share, others): (Vec<usize>, Vec<usize>) =
                workers_of(number).iter().partition(|&&index| self.workers[index].in_own_share);
            let own_zone = |&index: &usize| self.workers[index].zone == self.settings.zone;
            let (mut same_zone, mut other_zones): (Vec<usize>, Vec<usize>) =
                others.into_iter().partition(own_zone);
            let draw_key = |&index: &usize| mix(u64::from(rank), u64::from(self.workers[index].id.0));
            if !self.settings.limits.peers {
                own_share.sort_by_key(draw_key);
            } else if let Some(&first) = own_share.first() {
                // Each member of the cohort begins at another worker of the share.
                let cohort = &self.cohorts[self.workers[first].cohort].1;
                let place = cohort.iter().position(|&member| member == rank).unwrap_or(0);
                let offset = place * own_share.len() / cohort.len();
                own_share.rotate_left(offset);
                own_share.sort_by_key(|&index| self.workers[index].zone != self.settings.zone);
            }
            same_zone.sort_by_key(draw_key);
            other_zones.sort_by_key(draw_key);
            ranges.push(SizeRange { upper, own_share, same_zone, other_zones });
        }
        self.size_maps[map_index].ranges = ranges;
    }
}

/// Returns the first of these cohorts that has fewer than `bound` workers, starting at a position drawn from the id of
/// the worker. Shares stay equal, and few workers change their cohort as others come and go.
fn next_cohort_with_room(cohorts: &[usize], draw: usize, taken: &[usize], bound: usize) -> Option<usize> {
    let start = draw % cohorts.len().max(1);
    let rotated = cohorts.iter().cycle().skip(start).take(cohorts.len());
    rotated.copied().find(|&cohort| taken[cohort] < bound)
}
