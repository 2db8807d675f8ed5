//! Lanes: the number that a worker has, and when each becomes free.

use super::*;

impl Dispatcher {
    /// Returns the number of lanes of a worker: the exact number from the worker list, or else an estimate that is at
    /// least the largest number of slots of any job so far.
    pub(super) fn lane_count(&self, index: usize) -> usize {
        let worker = &self.workers[index];
        let kind = &self.knowledge.kinds[worker.kind];
        let estimated = worker.lanes.or(kind.lanes).map_or(0, |lanes| lanes.round() as usize);
        let lanes = if self.counts_lanes_by_starts() { kind.lane_count.lanes() } else { estimated };
        worker.exact_lanes.unwrap_or(lanes.max(self.knowledge.max_slots))
    }

    /// Returns true if lanes are counted by the start notices of workers, because these send them and report no free
    /// slots.
    pub(super) fn counts_lanes_by_starts(&self) -> bool {
        self.settings.tells_start && !self.settings.reports_free_slots
    }

    /// Learns from a start notice. If the job had waited, other dispatchers held all lanes that the own jobs did not.
    /// If it started at once, they held their usual share.
    pub(super) fn record_start(&mut self, now: Micros, index: usize, waited: bool) {
        let (running, kind) = (self.workers[index].running(), self.workers[index].kind);
        self.knowledge.kinds[kind].lane_count.record_start(running, waited);
        let other_lanes = self.lane_count(index).saturating_sub(running) as f64;
        self.learn_zone_load(index, if waited { other_lanes } else { 0.0 });
        let share = if waited { 1.0 } else { self.knowledge.mean_foreign_share[self.workers[index].zone.0] };
        self.workers[index].foreign = Some((now, other_lanes * share));
        self.workers[index].load_known_at = now;
    }

    /// Returns the estimated number of lanes that other dispatchers use at the worker.
    pub(super) fn foreign_lanes(&self, index: usize, now: Micros) -> f64 {
        let worker = &self.workers[index];
        let reported = worker.current_peer_loads(now).map(|peer| peer.lanes).sum::<usize>() as f64;
        // Other dispatchers report their use of the own share, as far as they send messages. Elsewhere it is estimated
        // from load reports or start notices.
        let unreported = if worker.in_own_share { 1.0 - self.peer_set.confidence(now) } else { 1.0 };
        let share = if worker.exact_lanes.is_some() {
            0.0
        } else {
            self.knowledge.mean_foreign_share[worker.zone.0] * unreported
        };
        let prior = share * self.lane_count(index) as f64;
        let estimated = match worker.foreign {
            Some((known_at, lanes)) => {
                let age = now.saturating_sub(known_at) as f64;
                let weight = (-age / self.knowledge.mean_run_time).exp();
                lanes * weight + prior * (1.0 - weight)
            }
            None => prior,
        };
        // An own job that waits to start shows that all lanes are taken.
        if worker.own.iter().any(|own| own.awaits_start && now > own.sent + START_NOTICE_TIMEOUT) {
            return estimated
                .max(reported)
                .max(self.lane_count(index).saturating_sub(worker.running()) as f64);
        }
        estimated.max(reported)
    }

    /// Adjusts the estimate where no free slots are reported: one lane more after a job ended with all estimated lanes
    /// in use, and one lane less after the worker refused a job as full.
    pub(super) fn adjust_lanes(&mut self, index: usize, slots: usize, completed: bool) {
        if self.settings.reports_free_slots || self.counts_lanes_by_starts() {
            return;
        }
        let lanes = self.lane_count(index);
        let busy = slots + self.workers[index].busy();
        if completed && busy >= lanes {
            self.workers[index].lanes = Some(lanes as f64 + 1.0);
        } else if !completed {
            self.workers[index].lanes = Some((lanes as f64 - 1.0).max(1.0));
        }
    }

    /// Writes to `lanes` the times at which the lanes of the worker become free, as far as its load is known.
    pub(super) fn lane_end_times(&self, index: usize, now: Micros, lanes: &mut Vec<Micros>) {
        let worker = &self.workers[index];
        let mut busy: Vec<Micros> = Vec::with_capacity(16);
        for own in &worker.own {
            // A job past its estimated end is assumed to run on for a quarter of the time that it has run so far.
            let end =
                if own.end > now { own.end } else { now + (now - own.start.min(now)) / 4 + MILLISECOND };
            busy.extend(std::iter::repeat_n(end, own.slots));
        }
        let foreign = self.foreign_lanes(index, now).round() as usize;
        let mut reported = 0;
        for peer in worker.current_peer_loads(now) {
            busy.extend(peer.ends(now + MILLISECOND));
            reported += peer.lanes;
        }
        for number in reported..foreign {
            busy.push(
                now + (self.knowledge.mean_run_time / 2.0) as Micros * (1 + (number - reported) as Micros)
                    / 2
                    + MILLISECOND,
            );
        }
        let count = self.lane_count(index);
        lanes.clear();
        lanes.resize(count, now);
        busy.sort_unstable();
        for (number, end) in busy.into_iter().enumerate() {
            lanes[number % count] = end;
        }
    }
}
