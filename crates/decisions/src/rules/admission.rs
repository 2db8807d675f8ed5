//! Admission: the demand test, and the worker that a job's size names.

use super::*;

impl Dispatcher {
    /// The EDF demand test: with the jobs planned for the worker and this one, in deadline order, each ends
    /// by its deadline. Gives the job's start, and its end.
    pub(super) fn demand(&self, at: usize, now: Micros, id: RequestId, scratch: &mut Ends) -> Option<Span> {
        let request = &self.requests[&id];
        self.lane_ends(at, now, scratch);
        if request.slots > scratch.len() {
            return None;
        }
        let mut place = |job: &Request| {
            scratch.sort_unstable();
            let slots = job.slots.min(scratch.len());
            // Work beyond its tenant's share leaves a lane for work within.
            let start = scratch[(slots - 1 + usize::from(job.over_share)).min(scratch.len() - 1)];
            let end = start + self.run_time(at, job.size, now);
            scratch[..slots].fill(end);
            (start, end)
        };
        // In overload work that still earns something when it is late gives way to what is worth much more.
        let late_worth = |job: &Request| self.settings.classes[job.class].late_worth;
        let gives_way =
            |job: &Request| job.worth_per_work * GIVES_WAY <= request.worth_per_work && late_worth(job) > 0.0;
        let mut mine = None;
        for &(order, other) in self.workers[at].planned.iter().filter(|plan| plan.1 != id) {
            if mine.is_none() && (order, other) > (request.queue_key, id) {
                mine = Some(place(request));
            }
            let job = &self.requests[&other];
            if gives_way(job) {
                continue;
            }
            let (start, end) = place(job);
            if mine.is_some()
                && !job.late
                && !self.in_time(job, start, end)
                && self.can_meet_aim(at, now, job)
            {
                return None;
            }
        }
        let (start, end) = mine.unwrap_or_else(|| place(request));
        (self.in_time(request, start, end)).then_some((start, end))
    }

    /// The job would meet its aim if it began at once. One that would not loses nothing to others.
    fn can_meet_aim(&self, at: usize, now: Micros, job: &Request) -> bool {
        self.in_time(job, now, now + self.run_time(at, job.size, now))
    }

    pub(super) fn in_time(&self, job: &Request, start: Micros, end: Micros) -> bool {
        let run = (end - start) as f64 * if job.late { 1.0 } else { job.lower_bound_factor };
        start + run as Micros <= job.deadline
    }

    /// Nothing is sent there for now: it does not run, failed lately, or the way to its zone is cut.
    pub(super) fn avoids(&self, now: Micros, at: usize) -> bool {
        let worker = &self.workers[at];
        let cut = self.know.zone_failures[worker.zone.0].1 > now;
        worker.status != WorkerStatus::On || worker.health.avoided(now) || cut
    }

    /// Listed workers that nothing is sent to for now.
    pub fn avoided(&self, now: Micros) -> usize {
        let shunned = |&at: &usize| self.workers[at].status != WorkerStatus::Gone && self.avoids(now, at);
        (0..self.workers.len()).filter(shunned).count()
    }

    pub(super) fn usable(&self, at: usize, now: Micros, request: &Request) -> bool {
        // A job that must not run twice is lost if a trial goes wrong. Those that try a worker first try it again.
        let once = request.effect == Effect::Unsafe;
        let worker = &self.workers[at];
        let barred = worker.health.on_trial(now) && (once || !worker.in_own_cohort || !worker.own.is_empty());
        let kind = self.settings.classes[request.class].kind;
        let able = kind.is_none_or(|kind| kind.0 == worker.kind);
        able && !barred && !self.avoids(now, at) && self.may_send(now, request, at)
    }

    /// Tries the workers of the job's range, its cohort's first, then the neighbouring ranges' and a few others: the first
    /// that can start it now and passes the demand test, else the one that ends it first. Where nobody speaks it is the one
    /// with most lanes free by what is known here: of a few where that are reports, which draw all alike, else of all.
    pub(super) fn choose(&self, now: Micros, id: RequestId) -> Option<Choice> {
        let request = &self.requests[&id];
        let (need, range) = self.range_of(request)?;
        let ranges = &self.maps[need].ranges;
        let (mut scratch, mut most, mut seen) = (Vec::new(), f64::NEG_INFINITY, 0);
        let (mut best, mut soonest): (Option<Choice>, Option<Choice>) = (None, None);
        let alone = if self.settings.reports == ReportSource::Nowhere { usize::MAX } else { PROBES };
        let few = if self.settings.limits.peers { 1 } else { alone };
        let free = |at| self.lanes(at) as f64 - self.workers[at].busy() as f64 - self.foreign(at, now);
        let neighbours = (1..ranges.len()).flat_map(|by| [range + by, range.wrapping_sub(by)]);
        let homes = std::iter::once(range).chain(neighbours.filter(|&nr| nr < ranges.len()));
        let homes = homes.flat_map(|nr| ranges[nr].own_cohort.iter());
        for &at in homes.filter(|&&at| self.usable(at, now, request)) {
            let Some((start, end)) = self.demand(at, now, id, &mut scratch) else { continue };
            if start <= now {
                if free(at) > most {
                    (most, best) = (free(at), Some((at, start, end)));
                }
                seen += 1;
                if seen == few {
                    break;
                }
            } else if soonest.is_none_or(|(_, _, least)| end < least) {
                soonest = Some((at, start, end));
            }
        }
        if best.is_some() {
            return best;
        }
        // Of the others' workers the one with most lanes free: what is known of them is old.
        most = 0.0;
        for at in self.window(&ranges[range]) {
            let cross = if self.workers[at].zone == self.settings.zone { 0.0 } else { CROSSING };
            let unknown = self.asks() && now > self.workers[at].load_known_at + SECOND;
            if unknown || free(at) - cross <= most || !self.usable(at, now, request) {
                continue;
            }
            let Some((start, end)) = self.demand(at, now, id, &mut scratch) else { continue };
            if start <= now {
                (most, best) = (free(at) - cross, Some((at, start, end)));
            }
        }
        best.or(soonest)
    }

    /// The few of the others' workers that this job may look at; another few for the next. Near ones count double, and
    /// no more: all the dispatchers of a crowded zone would look at its few workers, and send on the same aged report.
    pub(super) fn window(&self, range: &SizeRange) -> Vec<usize> {
        let (near, far) = (range.same_zone.len(), range.other_zones.len());
        let nearby = (PROBES * 2 * near).div_ceil((2 * near + far).max(1)).min(near);
        let pick = |list: &[usize], count: usize| {
            let from = self.spill_from % list.len().max(1);
            list.iter().cycle().skip(from).take(count.min(list.len())).copied().collect::<Vec<_>>()
        };
        [pick(&range.same_zone, nearby), pick(&range.other_zones, PROBES - nearby)].concat()
    }

    /// The map and the range in it that a job's size names.
    pub(super) fn range_of(&self, request: &Request) -> Option<(usize, usize)> {
        let need = self.settings.classes[request.class].kind.map_or(0, |kind| kind.0 + 1);
        let ranges = &self.maps[need].ranges;
        let size = request.size * request.slots as f64;
        let range = ranges.iter().position(|range| size <= range.upper);
        Some((need, range.or(ranges.len().checked_sub(1))?))
    }

    /// Whether this request is beyond its tenant's share, by this dispatcher's part of the quota.
    pub(super) fn over_share(&mut self, now: Micros, tenant: Option<TenantIx>) -> bool {
        let quota = tenant.and_then(|TenantIx(nr)| Some((nr, self.settings.tenants.get(nr)?.quota_per_s)));
        let Some((nr, quota)) = quota.filter(|of| of.1 > 0.0) else { return false };
        !self.know.buckets[nr].take(now, quota / f64::from(self.company.size()))
    }
}
