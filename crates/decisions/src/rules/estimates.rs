//! Estimates: how large a job is, how fast and warm a worker, and what its reports say.

use super::*;

impl Dispatcher {
    pub(super) fn speed(&self, at: usize) -> f64 {
        let worker = &self.workers[at];
        (self.know.kinds[worker.kind].speed.ln + worker.speed.ln).exp()
    }

    /// How long a job of this size would run there.
    pub(super) fn run_time(&self, at: usize, size: f64, now: Micros) -> Micros {
        (size / (self.speed(at) * self.warmth(at, now))).min(3600.0 * SECOND as f64) as Micros
    }

    /// Learns from a job's measured time: its class's ratio to the hint, and the worker's and kind's speed. Gives the
    /// logarithm of the worker's speed as this job shows it.
    pub(super) fn learn(&mut self, now: Micros, at: usize, of: Told, time: Micros) -> Option<f64> {
        if self.warmth(at, now) < 1.0 || time == 0 {
            return None;
        }
        let speed = self.speed(at);
        self.know.mean_run_time += (time as f64 - self.know.mean_run_time) * 0.05;
        let error = self.know.classes[of.0].learn(time as f64 * speed, of.1)?;
        self.learn_speed(at, error);
        Some(speed.ln() - error)
    }

    /// A worker took so much longer, in logarithms, than its speed says.
    pub(super) fn learn_speed(&mut self, at: usize, error: f64) {
        let worker = &mut self.workers[at];
        self.know.kinds[worker.kind].speed.learn(error, 6.0, 50.0);
        worker.speed.learn(error, 4.0, 10.0);
        worker.speed.ln = worker.speed.ln.clamp(-0.7, 0.7);
    }

    pub(super) fn warmth(&self, at: usize, now: Micros) -> f64 {
        let (rules, started) = (&self.settings.rules, self.workers[at].started);
        started.map_or(1.0, |start| {
            capacity_fraction(now.saturating_sub(start), rules.cold, rules.start_capacity)
        })
    }

    pub(super) fn on_report(&mut self, now: Micros, at: usize, report: Option<Report>) {
        let Some(report) = report else { return };
        let errors = report.errors_per_s.unwrap_or(0.0) * self.know.mean_run_time / SECOND as f64;
        let share = errors / self.lanes(at) as f64;
        self.workers[at].health.record_error_share(now, share);
        let guessed = self.workers[at].exact_lanes.is_none();
        let Some(free) = report.free_slots.filter(|free| free.is_finite() && guessed) else { return };
        let free = free.clamp(0.0, 1024.0);
        let then = now.saturating_sub(REPORT_AGE);
        let worker = &mut self.workers[at];
        let own: usize = worker.own.iter().filter(|own| own.start < then).map(|own| own.slots).sum();
        let seen = free + own as f64;
        // A worker is seldom seen idle: without what runs there of ours, one of two lanes would seem to be all.
        let ran = |own: &&OwnAttempt| !own.awaits_start && own.start + REPORT_OLDEST < now;
        let ours: usize = worker.own.iter().filter(ran).map(|own| own.slots).sum();
        let kind = &mut self.know.kinds[worker.kind];
        let lanes = kind.lanes.unwrap_or(0.0).max((free + ours as f64).round());
        kind.lanes = Some(lanes);
        worker.lanes = Some(lanes);
        let waiting = report.backlog.filter(|backlog| backlog.is_finite()).unwrap_or(0.0).clamp(0.0, lanes);
        let others = (lanes - seen).max(0.0) + waiting;
        worker.foreign = Some((now, others));
        worker.load_known_at = now;
        self.on_zone_load(at, others);
    }

    pub(super) fn on_zone_load(&mut self, at: usize, lanes: f64) {
        // In shares: lanes of large workers, taken for those of a small one, would make it seem full for ever.
        let (zone, share) = (self.workers[at].zone.0, lanes / self.lanes(at) as f64);
        self.know.mean_foreign_share[zone] += (share - self.know.mean_foreign_share[zone]) * 0.1;
    }
}
