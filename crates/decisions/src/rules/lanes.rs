//! Lanes: how many a worker has, and when each comes free.

use super::*;

impl Dispatcher {
    pub(super) fn lanes(&self, at: usize) -> usize {
        let worker = &self.workers[at];
        let kind = &self.know.kinds[worker.kind];
        let seen = worker.lanes.or(kind.lanes).map_or(0, |lanes| lanes.round() as usize);
        let lanes = if self.counts_starts() { kind.lane_count.lanes() } else { seen };
        worker.exact_lanes.unwrap_or(lanes.max(self.know.max_slots))
    }

    /// Lanes are known by the starts that workers tell of: where these report no free slots.
    pub(super) fn counts_starts(&self) -> bool {
        self.settings.tells_start && !self.settings.reports_free_slots
    }

    /// A job has started there, after a wait, in which others had the lanes that ours had not, or at once.
    pub(super) fn count_start(&mut self, now: Micros, at: usize, waited: bool) {
        let (running, kind) = (self.workers[at].running(), self.workers[at].kind);
        self.know.kinds[kind].lane_count.record_start(running, waited);
        let others = self.lanes(at).saturating_sub(running) as f64;
        self.on_zone_load(at, if waited { others } else { 0.0 });
        let part = if waited { 1.0 } else { self.know.mean_foreign_share[self.workers[at].zone.0] };
        self.workers[at].foreign = Some((now, others * part));
        self.workers[at].load_known_at = now;
    }

    /// Lanes that others are taken to use there.
    pub(super) fn foreign(&self, at: usize, now: Micros) -> f64 {
        let worker = &self.workers[at];
        let told = worker.current_peer_loads(now).map(|peer| peer.lanes).sum::<usize>() as f64;
        // What others use of the own share they tell, as far as they speak; elsewhere it is as reports or starts show.
        let silent = if worker.in_own_cohort { 1.0 - self.company.confidence(now) } else { 1.0 };
        let share = if worker.exact_lanes.is_some() {
            0.0
        } else {
            self.know.mean_foreign_share[worker.zone.0] * silent
        };
        let prior = share * self.lanes(at) as f64;
        let seen = match worker.foreign {
            Some((then, lanes)) => {
                let age = now.saturating_sub(then) as f64;
                let keep = (-age / self.know.mean_run_time).exp();
                lanes * keep + prior * (1.0 - keep)
            }
            None => prior,
        };
        // A job of ours that waits to start tells that all lanes are taken.
        if worker.own.iter().any(|own| own.awaits_start && now > own.sent + START_NEWS) {
            return seen.max(told).max(self.lanes(at).saturating_sub(worker.running()) as f64);
        }
        seen.max(told)
    }

    /// Where no free-slot figure is given, lanes gain one after a finish at full model and lose one on 'full'.
    pub(super) fn step_lanes(&mut self, at: usize, slots: usize, clean: bool) {
        if self.settings.reports_free_slots || self.counts_starts() {
            return;
        }
        let lanes = self.lanes(at);
        let busy = slots + self.workers[at].busy();
        if clean && busy >= lanes {
            self.workers[at].lanes = Some(lanes as f64 + 1.0);
        } else if !clean {
            self.workers[at].lanes = Some((lanes as f64 - 1.0).max(1.0));
        }
    }

    /// When each lane of a worker comes free, by what is known to be there.
    pub(super) fn lane_ends(&self, at: usize, now: Micros, lanes: &mut Vec<Micros>) {
        let worker = &self.workers[at];
        let mut busy: Vec<Micros> = Vec::with_capacity(16);
        for own in &worker.own {
            // A job past its estimate is taken to run on for a part of what it has run already.
            let end = if own.end > now { own.end } else { now + (now - own.start.min(now)) / 4 + MILLI };
            busy.extend(std::iter::repeat_n(end, own.slots));
        }
        let foreign = self.foreign(at, now).round() as usize;
        let mut told = 0;
        for peer in worker.current_peer_loads(now) {
            busy.extend(peer.ends(now + MILLI));
            told += peer.lanes;
        }
        for nr in told..foreign {
            busy.push(
                now + (self.know.mean_run_time / 2.0) as Micros * (1 + (nr - told) as Micros) / 2 + MILLI,
            );
        }
        let count = self.lanes(at);
        lanes.clear();
        lanes.resize(count, now);
        busy.sort_unstable();
        for (nr, end) in busy.into_iter().enumerate() {
            lanes[nr % count] = end;
        }
    }
}
