//! Estimates of job sizes, of the speed and warm-up of workers, and of the load in their reports.

use super::*;

impl Dispatcher {
    /// Returns the estimated speed of a worker relative to a standard core.
    pub(super) fn speed(&self, index: usize) -> f64 {
        let worker = &self.workers[index];
        (self.knowledge.kinds[worker.kind].speed.ln + worker.speed.ln).exp()
    }

    /// Returns the estimated run time of a job of this size at the worker, one hour at most.
    pub(super) fn run_time(&self, index: usize, size: f64, now: Micros) -> Micros {
        (size / (self.speed(index) * self.warmth(index, now))).min(3600.0 * SECOND as f64) as Micros
    }

    /// Learns from the measured run time of a job: the ratio of its class to the hint, and the speed of the worker and
    /// its kind. Returns the natural logarithm of the worker's speed according to this job.
    pub(super) fn learn_run_time(
        &mut self,
        now: Micros,
        index: usize,
        class_and_hint: ClassAndHint,
        time: Micros,
    ) -> Option<f64> {
        if self.warmth(index, now) < 1.0 || time == 0 {
            return None;
        }
        let speed = self.speed(index);
        self.knowledge.mean_run_time += (time as f64 - self.knowledge.mean_run_time) * 0.05;
        let error = self.knowledge.classes[class_and_hint.0].learn(time as f64 * speed, class_and_hint.1)?;
        self.learn_speed(index, error);
        Some(speed.ln() - error)
    }

    /// Corrects the speed of a worker and its kind by the natural logarithm of the ratio of measured to expected run
    /// time.
    pub(super) fn learn_speed(&mut self, index: usize, error: f64) {
        let worker = &mut self.workers[index];
        self.knowledge.kinds[worker.kind].speed.learn(error, 6.0, 50.0);
        worker.speed.learn(error, 4.0, 10.0);
        worker.speed.ln = worker.speed.ln.clamp(-0.7, 0.7);
    }

    /// Returns the share of its full capacity that the worker has reached since its start, 1 if it is warm.
    pub(super) fn warmth(&self, index: usize, now: Micros) -> f64 {
        let (rules, started) = (&self.settings.rules, self.workers[index].started);
        started.map_or(1.0, |started_at| {
            capacity_fraction(now.saturating_sub(started_at), rules.cold, rules.start_capacity)
        })
    }

    /// Takes the error rate, lane count and foreign load of a worker from its load report.
    pub(super) fn on_report(&mut self, now: Micros, index: usize, report: Option<Report>) {
        let Some(report) = report else { return };
        let errors = report.errors_per_s.unwrap_or(0.0) * self.knowledge.mean_run_time / SECOND as f64;
        let error_share = errors / self.lane_count(index) as f64;
        self.workers[index].health.record_error_share(now, error_share);
        let lanes_estimated = self.workers[index].exact_lanes.is_none();
        let Some(free) = report.free_slots.filter(|free| free.is_finite() && lanes_estimated) else { return };
        let free = free.clamp(0.0, 1024.0);
        let made_at = now.saturating_sub(ASSUMED_REPORT_AGE);
        let worker = &mut self.workers[index];
        let own: usize = worker.own.iter().filter(|own| own.start < made_at).map(|own| own.slots).sum();
        let visible = free + own as f64;
        // A worker is seldom idle. Without the own jobs that run there, one free lane of two would look like the only
        // lane.
        let ran_at_report = |own: &&OwnAttempt| !own.awaits_start && own.start + MAX_REPORT_AGE < now;
        let own_running: usize = worker.own.iter().filter(ran_at_report).map(|own| own.slots).sum();
        let kind = &mut self.knowledge.kinds[worker.kind];
        let lanes = kind.lanes.unwrap_or(0.0).max((free + own_running as f64).round());
        kind.lanes = Some(lanes);
        worker.lanes = Some(lanes);
        let waiting = report.backlog.filter(|backlog| backlog.is_finite()).unwrap_or(0.0).clamp(0.0, lanes);
        let foreign = (lanes - visible).max(0.0) + waiting;
        worker.foreign = Some((now, foreign));
        worker.load_known_at = now;
        self.learn_zone_load(index, foreign);
    }

    /// Updates the mean share of lanes that others use in the zone of the worker, given the number of such lanes at
    /// it.
    pub(super) fn learn_zone_load(&mut self, index: usize, lanes: f64) {
        // The mean is kept as a share of lanes. Absolute lane counts of large workers would make a small worker look
        // full for ever.
        let (zone, share) = (self.workers[index].zone.0, lanes / self.lane_count(index) as f64);
        self.knowledge.mean_foreign_share[zone] += (share - self.knowledge.mean_foreign_share[zone]) * 0.1;
    }
}
