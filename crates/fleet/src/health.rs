//! Health of one worker: from the faults that a scheduler observes, from the errors that the worker itself reports, and
//! from the fault reports of other schedulers.
//!
//! In a fleet of hundreds, one scheduler uses a worker only every few seconds. Without fault reports, each scheduler
//! would lose a job there before it avoids the worker. A scheduler that observes a fault therefore reports it to all
//! others, and it also reports the recovery. The effect of reports is limited: the report of a single scheduler keeps a
//! worker idle for [`UNCONFIRMED_REPORT_SPAN`]; only a second scheduler's report or a direct observation does so for
//! longer.

use serde::{Deserialize, Serialize};

/// A point in time on the caller's clock, or a duration, in microseconds.
pub type Micros = u64;

/// From this number of strikes on, a worker is on trial: it gets one job at a time, and only jobs that may run twice.
pub const TRIAL_STRIKES: u32 = 3;
/// Maximum number of strikes.
pub const MAX_STRIKES: u32 = 6;
/// Time for which a worker is avoided after the fault report of a single other scheduler, in microseconds.
pub const UNCONFIRMED_REPORT_SPAN: Micros = 1_000_000;
/// A worker is unhealthy if it reports failures for at least this share of the jobs that it can run at once.
pub const UNHEALTHY_ERROR_SHARE: f64 = 0.05;
/// Time for which a worker without strikes would be avoided, in microseconds; each strike doubles it.
const BASE_AVOID_SPAN: Micros = 250_000;
/// Fault reports of two schedulers about the same worker within this time (microseconds) confirm each other.
const CONFIRM_WINDOW: Micros = 10_000_000;
/// Once a worker is no longer avoided, it loses one strike per this time (microseconds) without another fault.
const STRIKE_FADE_TIME: Micros = 30_000_000;
/// Time for which a direct observation takes precedence over the reports of other schedulers, in microseconds.
const OBSERVATION_PRECEDENCE: Micros = 2_000_000;
/// Minimum time from the last report about a worker, sent or received, until this scheduler reports another fault of
/// that worker, in microseconds. Recoveries are reported without delay.
const MIN_REPORT_INTERVAL: Micros = 1_000_000;

/// Health of one worker. All times are in microseconds on the caller's clock, which must be monotonic.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WorkerHealth {
    /// Strikes at the end of the avoidance.
    strikes: u32,
    /// End of the avoidance.
    #[serde(rename = "until")]
    avoided_until: Micros,
    /// Time of the last fault that this scheduler observed or that the worker reported; 0 if there was none.
    #[serde(rename = "seen")]
    last_fault: Micros,
    /// Time of the last report of the worker by which it is unhealthy; 0 if there was none.
    #[serde(rename = "sick")]
    last_unhealthy_report: Micros,
    /// Time of the last fault report that was sent or received; 0 if there was none.
    #[serde(rename = "told")]
    last_peer_report: Micros,
    /// Sender and time of the last fault report that was received.
    #[serde(rename = "word")]
    last_reporter: Option<(u32, Micros)>,
}

/// Returns the time for which a worker with this number of strikes is avoided.
fn avoid_span(strikes: u32) -> Micros {
    BASE_AVOID_SPAN << strikes.min(MAX_STRIKES)
}

impl WorkerHealth {
    /// Converts all times to a clock that is `by` microseconds ahead of the clock that they were taken from.
    pub fn shift(&mut self, by: i64) {
        let report = self.last_reporter.as_mut().map(|(_, at)| at);
        let times = [
            &mut self.avoided_until,
            &mut self.last_fault,
            &mut self.last_unhealthy_report,
            &mut self.last_peer_report,
        ];
        times.into_iter().chain(report).for_each(|at| *at = at.saturating_add_signed(by));
    }

    /// Returns whether nothing may be sent to the worker at `now`.
    pub fn avoided(&self, now: Micros) -> bool {
        self.avoided_until > now
    }

    /// Returns the strikes that count at `now`. They decrease while there are no further faults.
    pub fn strikes(&self, now: Micros) -> u32 {
        self.strikes.saturating_sub(
            (now.saturating_sub(self.avoided_until) / STRIKE_FADE_TIME).min(u64::from(MAX_STRIKES)) as u32,
        )
    }

    /// Returns whether the worker is on trial (see [`TRIAL_STRIKES`]).
    pub fn on_trial(&self, now: Micros) -> bool {
        self.strikes(now) >= TRIAL_STRIKES
    }

    /// Records that a job failed at the worker or that it could not be reached, with `by` strikes. The worker is
    /// avoided for a time that doubles with each strike.
    pub fn record_fault(&mut self, now: Micros, by: u32) {
        self.strikes = (self.strikes(now) + by).min(MAX_STRIKES);
        self.last_fault = now;
        self.avoided_until = now + avoid_span(self.strikes);
    }

    /// Records that a job succeeded at the worker, which removes one strike. Successes do not count soon after the
    /// worker reported that it is unhealthy, since many jobs succeed even at a worker where every other one fails.
    pub fn record_success(&mut self, now: Micros) {
        if now >= self.last_unhealthy_report + OBSERVATION_PRECEDENCE || self.last_unhealthy_report == 0 {
            self.strikes = self.strikes(now).saturating_sub(1);
            if self.strikes == 0 {
                self.avoided_until = self.avoided_until.min(now);
            }
        }
    }

    /// Records a report of the worker: the rate of failures as a share of the jobs that it can run at once.
    pub fn record_error_share(&mut self, now: Micros, share: f64) {
        if share.is_finite() && share >= UNHEALTHY_ERROR_SHARE {
            self.strikes = self.strikes(now).max(TRIAL_STRIKES);
            (self.last_fault, self.last_unhealthy_report) = (now, now);
            self.avoided_until = self.avoided_until.max(now + avoid_span(self.strikes));
        }
    }

    /// Records a fault report of another scheduler: its strikes against the worker, or 0 if the worker has recovered.
    /// `random` is uniformly distributed from 0 to 1. It extends the avoidance, so that the schedulers that received
    /// the same report do not all try the worker again at the same time.
    pub fn record_peer_report(&mut self, now: Micros, from: u32, strikes: u32, random: f64) {
        self.last_peer_report = now;
        let observed = self.last_fault > 0 && now < self.last_fault + OBSERVATION_PRECEDENCE;
        if strikes == 0 {
            if !observed {
                (self.strikes, self.avoided_until, self.last_reporter) = (0, 0, None);
            }
            return;
        }
        let confirmed =
            self.last_reporter.is_some_and(|(rank, then)| rank != from && now < then + CONFIRM_WINDOW);
        let span = if confirmed || self.strikes(now) > 0 {
            self.strikes = self.strikes(now).max(strikes.min(MAX_STRIKES));
            avoid_span(self.strikes)
        } else {
            UNCONFIRMED_REPORT_SPAN
        };
        let extension = (span as f64 * random.clamp(0.0, 1.0)) as Micros;
        self.avoided_until = self.avoided_until.max(now + span + extension);
        self.last_reporter = Some((from, now));
    }

    /// Returns the strikes to send to the other schedulers in a fault report, if one is due. A fault is reported from
    /// two strikes on, so a single failed connect is not; 0 strikes report that the worker is no longer on trial.
    /// `before` is the number of strikes before the last observation.
    pub fn take_report(&mut self, now: Micros, before: u32) -> Option<u32> {
        let strikes = self.strikes(now);
        let recovered = before >= TRIAL_STRIKES && strikes < TRIAL_STRIKES;
        let faulty = strikes >= 2
            && self.last_fault == now
            && (now >= self.last_peer_report + MIN_REPORT_INTERVAL || self.last_peer_report == 0);
        if !recovered && !faulty {
            return None;
        }
        self.last_peer_report = now;
        Some(if recovered { 0 } else { strikes })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Micros = 1_000_000;

    #[test]
    fn each_fault_extends_the_avoidance_and_strikes_fade() {
        let mut health = WorkerHealth::default();
        health.record_fault(SECOND, 2);
        assert!(
            health.avoided(2 * SECOND - 1) && !health.avoided(2 * SECOND) && !health.on_trial(2 * SECOND)
        );
        health.record_fault(2 * SECOND, 2);
        assert!(health.avoided(6 * SECOND - 1) && !health.avoided(6 * SECOND) && health.on_trial(6 * SECOND));
        // Without further faults the four strikes fade one by one.
        assert_eq!(
            (health.strikes(6 * SECOND), health.strikes(36 * SECOND), health.strikes(126 * SECOND)),
            (4, 3, 0)
        );
    }

    #[test]
    fn report_of_one_scheduler_counts_for_a_second_and_two_reports_give_their_strikes() {
        let mut health = WorkerHealth::default();
        for at in 0..4 {
            // Repeated reports of a single scheduler add no strikes, whatever number they name.
            health.record_peer_report(20 * SECOND * (at + 1), 7, MAX_STRIKES, 0.0);
            assert_eq!(health.strikes(20 * SECOND * (at + 1)), 0);
            assert!(!health.avoided(20 * SECOND * (at + 1) + UNCONFIRMED_REPORT_SPAN));
        }
        health.record_peer_report(81 * SECOND, 8, 5, 0.0);
        assert!(health.on_trial(82 * SECOND) && health.avoided(88 * SECOND) && !health.avoided(89 * SECOND));
        // A report of the recovery takes effect at once.
        health.record_peer_report(90 * SECOND, 9, 0, 0.0);
        assert!(!health.on_trial(90 * SECOND) && !health.avoided(90 * SECOND));
    }

    #[test]
    fn recent_observation_takes_precedence_over_a_recovery_report() {
        let mut health = WorkerHealth::default();
        health.record_fault(SECOND, 4);
        health.record_peer_report(SECOND + 1, 3, 0, 0.0);
        assert!(health.avoided(2 * SECOND));
        health.record_peer_report(4 * SECOND, 3, 0, 0.0);
        assert!(!health.avoided(4 * SECOND));
    }

    #[test]
    fn worker_that_reports_errors_is_on_trial_even_if_jobs_succeed() {
        let mut health = WorkerHealth::default();
        health.record_error_share(SECOND, UNHEALTHY_ERROR_SHARE / 2.0);
        health.record_error_share(SECOND, f64::NAN);
        assert_eq!(health.strikes(SECOND), 0);
        health.record_error_share(SECOND, UNHEALTHY_ERROR_SHARE);
        health.record_success(SECOND);
        health.record_success(2 * SECOND);
        assert!(health.on_trial(2 * SECOND));
        // There was no further report of errors for 3 s, so a success counts.
        health.record_success(4 * SECOND);
        assert!(!health.on_trial(4 * SECOND));
    }

    #[test]
    fn faults_are_reported_once_a_second_and_recovery_at_once() {
        let mut health = WorkerHealth::default();
        health.record_fault(SECOND, 1);
        assert_eq!(health.take_report(SECOND, 0), None, "a single failed connect must not be reported");
        health.record_fault(SECOND, 2);
        assert_eq!(health.take_report(SECOND, 1), Some(3));
        health.record_fault(SECOND + 1, 1);
        assert_eq!(health.take_report(SECOND + 1, 3), None);
        health.record_success(2 * SECOND);
        health.record_success(2 * SECOND);
        assert_eq!(health.take_report(2 * SECOND, 4), Some(0));
        // A scheduler that has just received a report of the same fault sends none.
        let mut other = WorkerHealth::default();
        other.record_peer_report(SECOND, 1, 3, 0.0);
        other.record_fault(SECOND + SECOND / 2, 2);
        assert_eq!(other.take_report(SECOND + SECOND / 2, 0), None);
    }
}
