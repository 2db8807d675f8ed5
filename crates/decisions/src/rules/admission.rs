//! Admission: the EDF demand test, and the choice of a worker for a job.

use super::*;

impl Dispatcher {
    /// Runs the EDF demand test for a job at a worker: this job and the jobs planned there, taken in order of their
    /// deadlines, must each end by their deadlines. Returns the start and end of this job, or `None` if the test
    /// fails. `lane_ends` is a buffer that the call overwrites.
    pub(super) fn demand_test(
        &self,
        index: usize,
        now: Micros,
        id: RequestId,
        lane_ends: &mut LaneEnds,
    ) -> Option<JobInterval> {
        let request = &self.requests[&id];
        self.lane_end_times(index, now, lane_ends);
        if request.slots > lane_ends.len() {
            return None;
        }
        let mut place_job = |job: &Request| {
            lane_ends.sort_unstable();
            let slots = job.slots.min(lane_ends.len());
            // A job beyond its tenant's share leaves one lane free for jobs within their shares.
            let start = lane_ends[(slots - 1 + usize::from(job.over_share)).min(lane_ends.len() - 1)];
            let end = start + self.run_time(index, job.size, now);
            lane_ends[..slots].fill(end);
            (start, end)
        };
        // Under overload a planned job that still earns something when it is late yields to a job of much higher
        // worth per unit of work.
        let late_worth = |job: &Request| self.settings.classes[job.class].late_worth;
        let yields_to_this = |job: &Request| {
            job.worth_per_work * YIELD_WORTH_RATIO <= request.worth_per_work && late_worth(job) > 0.0
        };
        let mut placed = None;
        for &(queue_key, other) in self.workers[index].planned.iter().filter(|plan| plan.1 != id) {
            if placed.is_none() && (queue_key, other) > (request.queue_key, id) {
                placed = Some(place_job(request));
            }
            let job = &self.requests[&other];
            if yields_to_this(job) {
                continue;
            }
            let (start, end) = place_job(job);
            if placed.is_some()
                && !job.late
                && !self.meets_deadline(job, start, end)
                && self.can_meet_aim(index, now, job)
            {
                return None;
            }
        }
        let (start, end) = placed.unwrap_or_else(|| place_job(request));
        (self.meets_deadline(request, start, end)).then_some((start, end))
    }

    /// Returns true if the job would meet its aim by starting at once. A job that would miss the aim in any case loses
    /// nothing to other jobs.
    fn can_meet_aim(&self, index: usize, now: Micros, job: &Request) -> bool {
        self.meets_deadline(job, now, now + self.run_time(index, job.size, now))
    }

    /// Returns true if a job with this start and end meets its deadline. While a job can still meet its aim, the lower
    /// bound of its size counts, since a job that is smaller than its hint has less time until its aim.
    pub(super) fn meets_deadline(&self, job: &Request, start: Micros, end: Micros) -> bool {
        let run_time = (end - start) as f64 * if job.late { 1.0 } else { job.lower_bound_factor };
        start + run_time as Micros <= job.deadline
    }

    /// Returns true if nothing is sent to the worker for now: it is not in service, it has failed recently, or
    /// connections to its zone fail.
    pub(super) fn is_avoided(&self, now: Micros, index: usize) -> bool {
        let worker = &self.workers[index];
        let zone_unreachable = self.knowledge.zone_failures[worker.zone.0].1 > now;
        worker.status != WorkerStatus::On || worker.health.avoided(now) || zone_unreachable
    }

    /// Returns the number of listed workers that nothing is sent to for now.
    pub fn avoided_worker_count(&self, now: Micros) -> usize {
        let listed_and_avoided =
            |&index: &usize| self.workers[index].status != WorkerStatus::Gone && self.is_avoided(now, index);
        (0..self.workers.len()).filter(listed_and_avoided).count()
    }

    /// Returns true if the worker can run this request and may get it now.
    pub(super) fn is_usable(&self, index: usize, now: Micros, request: &Request) -> bool {
        // A job that must not run twice would be lost if a trial of a worker failed, so it is not used for a trial.
        // Only dispatchers with the worker in their own share try the worker again, each with one job at a time.
        let not_repeatable = request.effect == Effect::Unsafe;
        let worker = &self.workers[index];
        let trial_barred =
            worker.health.on_trial(now) && (not_repeatable || !worker.in_own_share || !worker.own.is_empty());
        let kind = self.settings.classes[request.class].kind;
        let kind_matches = kind.is_none_or(|kind| kind.0 == worker.kind);
        kind_matches && !trial_barred && !self.is_avoided(now, index) && self.may_send(now, request, index)
    }

    /// Chooses a worker for a held job. The candidates are, in this order: the own share of the job's size range, the
    /// own shares of the neighbouring ranges, and a sample of other workers of the job's size range. A worker that
    /// passes the demand test and can start the job now is preferred. If there is none, the worker that would end the
    /// job first is returned.
    ///
    /// If several workers of own shares can start the job now and dispatchers exchange messages, the first of these
    /// workers is taken. Without messages the one with most free lanes is taken: of all these workers if there are no
    /// load reports, and of the first [`MAX_SAMPLED_WORKERS`] if there are, because all dispatchers react to the same
    /// reports in the same way.
    pub(super) fn choose_worker(&self, now: Micros, id: RequestId) -> Option<Placement> {
        let request = &self.requests[&id];
        let (map_index, range) = self.size_range(request)?;
        let ranges = &self.size_maps[map_index].ranges;
        let (mut lane_ends, mut most_free, mut candidates) = (Vec::new(), f64::NEG_INFINITY, 0);
        let (mut best, mut soonest): (Option<Placement>, Option<Placement>) = (None, None);
        let max_without_peers =
            if self.settings.reports == ReportSource::NoReports { usize::MAX } else { MAX_SAMPLED_WORKERS };
        let max_candidates = if self.settings.limits.peers { 1 } else { max_without_peers };
        let free_lanes = |index| {
            self.lane_count(index) as f64 - self.workers[index].busy() as f64 - self.foreign_lanes(index, now)
        };
        let neighbours =
            (1..ranges.len()).flat_map(|distance| [range + distance, range.wrapping_sub(distance)]);
        let own_share_workers =
            std::iter::once(range).chain(neighbours.filter(|&number| number < ranges.len()));
        let own_share_workers = own_share_workers.flat_map(|number| ranges[number].own_share.iter());
        for &index in own_share_workers.filter(|&&index| self.is_usable(index, now, request)) {
            let Some((start, end)) = self.demand_test(index, now, id, &mut lane_ends) else { continue };
            if start <= now {
                if free_lanes(index) > most_free {
                    (most_free, best) = (free_lanes(index), Some((index, start, end)));
                }
                candidates += 1;
                if candidates == max_candidates {
                    break;
                }
            } else if soonest.is_none_or(|(_, _, earliest)| end < earliest) {
                soonest = Some((index, start, end));
            }
        }
        if best.is_some() {
            return best;
        }
        // Of the workers outside the own share, the one with most free lanes is chosen, because information
        // about these workers is old.
        most_free = 0.0;
        for index in self.sample_outside_workers(&ranges[range]) {
            let zone_margin =
                if self.workers[index].zone == self.settings.zone { 0.0 } else { CROSS_ZONE_MARGIN };
            let unknown = self.uses_probes() && now > self.workers[index].load_known_at + SECOND;
            if unknown || free_lanes(index) - zone_margin <= most_free || !self.is_usable(index, now, request)
            {
                continue;
            }
            let Some((start, end)) = self.demand_test(index, now, id, &mut lane_ends) else { continue };
            if start <= now {
                (most_free, best) = (free_lanes(index) - zone_margin, Some((index, start, end)));
            }
        }
        best.or(soonest)
    }

    /// Returns a sample of the range's workers outside the own share (see the module documentation of `rules`);
    /// successive jobs get different samples. Workers of the own zone count double. With more weight, all dispatchers
    /// of a crowded zone would examine the same few workers there and send jobs because of the same old report.
    pub(super) fn sample_outside_workers(&self, range: &SizeRange) -> Vec<usize> {
        let (same_zone, other_zones) = (range.same_zone.len(), range.other_zones.len());
        let near_count = (MAX_SAMPLED_WORKERS * 2 * same_zone)
            .div_ceil((2 * same_zone + other_zones).max(1))
            .min(same_zone);
        let sample = |workers: &[usize], count: usize| {
            let offset = self.sample_offset % workers.len().max(1);
            workers.iter().cycle().skip(offset).take(count.min(workers.len())).copied().collect::<Vec<_>>()
        };
        [sample(&range.same_zone, near_count), sample(&range.other_zones, MAX_SAMPLED_WORKERS - near_count)]
            .concat()
    }

    /// Returns the index of the size map for the kind of machine that the request needs, and the number of the range
    /// for its size in that map.
    pub(super) fn size_range(&self, request: &Request) -> Option<(usize, usize)> {
        let map_index = self.settings.classes[request.class].kind.map_or(0, |kind| kind.0 + 1);
        let ranges = &self.size_maps[map_index].ranges;
        let size = request.size * request.slots as f64;
        let range = ranges.iter().position(|range| size <= range.upper);
        Some((map_index, range.or(ranges.len().checked_sub(1))?))
    }

    /// Takes a token of the tenant's quota and returns whether the request is beyond the tenant's share. Each
    /// dispatcher enforces an equal part of the quota.
    pub(super) fn exceeds_tenant_share(&mut self, now: Micros, tenant: Option<TenantIx>) -> bool {
        let quota = tenant.and_then(|TenantIx(tenant_index)| {
            Some((tenant_index, self.settings.tenants.get(tenant_index)?.quota_per_s))
        });
        let Some((tenant_index, quota)) = quota.filter(|entry| entry.1 > 0.0) else { return false };
        !self.knowledge.buckets[tenant_index].take(now, quota / f64::from(self.peer_set.size()))
    }
}
