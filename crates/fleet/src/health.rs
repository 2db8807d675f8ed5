//! How far one worker is trusted: from what a scheduler saw of it, from the errors that the worker itself reports, and
//! from what others tell of it.
//!
//! A scheduler of hundreds sees a worker every few seconds, and finds out alone what all of them pay for: each has to
//! lose a job there first. So who sees trouble tells everybody, and who sees it end tells that too. What others tell is
//! bounded in its pull: the word of one alone keeps a worker idle for [`HEARSAY`], only a second one's, or what was
//! seen at first hand, for longer.

use serde::{Deserialize, Serialize};

/// A time or a span on the caller's clock, in microseconds.
pub type Micros = u64;

/// With so many strikes a worker is on trial: one job at a time, and none that must not run twice.
pub const TRIAL_STRIKES: u32 = 3;
/// Strikes at most.
pub const MAX_STRIKES: u32 = 6;
/// How long the word of a single other scheduler counts.
pub const UNCONFIRMED_REPORT_SPAN: Micros = 1_000_000;
/// A worker that fails this share of the jobs it could do at once, by its own report, is sick.
pub const UNHEALTHY_ERROR_SHARE: f64 = 0.05;
/// How long a worker is left alone at first; twice as long with each further strike.
const FIRST: Micros = 250_000;
/// Two schedulers that tell of the same worker within this time confirm each other.
const CONFIRMS: Micros = 10_000_000;
/// Once a worker may be tried again, a strike is forgotten after this time without news.
const FADES: Micros = 30_000_000;
/// What was seen at first hand stands for this long against others' word.
const FIRST_HAND: Micros = 2_000_000;
/// News of one worker are told at most this often, whoever tells them.
const TELL_EVERY: Micros = 1_000_000;

/// See the head of this file. All times are given in microseconds of the caller's clock, which must not go back.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WorkerHealth {
    strikes: u32,
    until: Micros,
    /// When trouble was last seen at first hand, or reported by the worker.
    seen: Micros,
    /// When its report last said that it is sick.
    sick: Micros,
    /// When news of it were last told or heard.
    told: Micros,
    /// Who told of trouble last, unconfirmed, and when.
    word: Option<(u32, Micros)>,
}

/// How long a worker with so many strikes is left alone.
fn span(strikes: u32) -> Micros {
    FIRST << strikes.min(MAX_STRIKES)
}

impl WorkerHealth {
    /// Its times are of a clock that is so far behind the one that counts from now on (microseconds).
    pub fn shift(&mut self, by: i64) {
        let word = self.word.as_mut().map(|(_, at)| at);
        let times = [&mut self.until, &mut self.seen, &mut self.sick, &mut self.told];
        times.into_iter().chain(word).for_each(|at| *at = at.saturating_add_signed(by));
    }

    /// Nothing is sent there for now.
    pub fn avoided(&self, now: Micros) -> bool {
        self.until > now
    }

    /// Strikes that count now: they fade while nothing is heard or seen of the worker.
    pub fn strikes(&self, now: Micros) -> u32 {
        self.strikes
            .saturating_sub((now.saturating_sub(self.until) / FADES).min(u64::from(MAX_STRIKES)) as u32)
    }

    /// It may be tried, with one job at a time that may run twice.
    pub fn on_trial(&self, now: Micros) -> bool {
        self.strikes(now) >= TRIAL_STRIKES
    }

    /// A job failed there, or it could not be reached: it is left alone for a while, longer each time.
    pub fn record_fault(&mut self, now: Micros, by: u32) {
        self.strikes = (self.strikes(now) + by).min(MAX_STRIKES);
        self.seen = now;
        self.until = now + span(self.strikes);
    }

    /// A job ended well there. Trust comes back by degrees, and not while the worker's own reports speak against it:
    /// most jobs end well even where every other one fails.
    pub fn record_success(&mut self, now: Micros) {
        if now >= self.sick + FIRST_HAND || self.sick == 0 {
            self.strikes = self.strikes(now).saturating_sub(1);
            if self.strikes == 0 {
                self.until = self.until.min(now);
            }
        }
    }

    /// Its report says that it fails this share of the jobs it could do at once.
    pub fn record_error_share(&mut self, now: Micros, share: f64) {
        if share.is_finite() && share >= UNHEALTHY_ERROR_SHARE {
            self.strikes = self.strikes(now).max(TRIAL_STRIKES);
            (self.seen, self.sick) = (now, now);
            self.until = self.until.max(now + span(self.strikes));
        }
    }

    /// Another scheduler tells how many strikes it has against the worker; none: it is well again. `draw`, drawn evenly
    /// from 0 to 1, spreads the time at which those who heard the same news try the worker again.
    pub fn record_peer_report(&mut self, now: Micros, from: u32, strikes: u32, draw: f64) {
        self.told = now;
        let first_hand = self.seen > 0 && now < self.seen + FIRST_HAND;
        if strikes == 0 {
            if !first_hand {
                (self.strikes, self.until, self.word) = (0, 0, None);
            }
            return;
        }
        let other = self.word.is_some_and(|(who, then)| who != from && now < then + CONFIRMS);
        let span = if other || self.strikes(now) > 0 {
            self.strikes = self.strikes(now).max(strikes.min(MAX_STRIKES));
            span(self.strikes)
        } else {
            UNCONFIRMED_REPORT_SPAN
        };
        let lag = (span as f64 * draw.clamp(0.0, 1.0)) as Micros;
        self.until = self.until.max(now + span + lag);
        self.word = Some((from, now));
    }

    /// What the others are to hear of the worker, if anything: trouble once it is more than a single failed connect,
    /// and its end, where `before` strikes counted before what was just seen.
    pub fn take_report(&mut self, now: Micros, before: u32) -> Option<u32> {
        let strikes = self.strikes(now);
        let ended = before >= TRIAL_STRIKES && strikes < TRIAL_STRIKES;
        let trouble = strikes >= 2 && self.seen == now && (now >= self.told + TELL_EVERY || self.told == 0);
        if !ended && !trouble {
            return None;
        }
        self.told = now;
        Some(if ended { 0 } else { strikes })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;

    #[test]
    fn trouble_seen_is_left_alone_longer_each_time_and_fades() {
        let mut trust = WorkerHealth::default();
        trust.record_fault(S, 2);
        assert!(trust.avoided(2 * S - 1) && !trust.avoided(2 * S) && !trust.on_trial(2 * S));
        trust.record_fault(2 * S, 2);
        assert!(trust.avoided(6 * S - 1) && !trust.avoided(6 * S) && trust.on_trial(6 * S));
        // Nothing more is heard: the four strikes are forgotten one by one.
        assert_eq!((trust.strikes(6 * S), trust.strikes(36 * S), trust.strikes(126 * S)), (4, 3, 0));
    }

    #[test]
    fn the_word_of_one_keeps_a_worker_idle_for_a_second_and_that_of_two_for_as_long_as_they_say() {
        let mut trust = WorkerHealth::default();
        for at in 0..4 {
            // However often one alone says so, and however loud: nothing adds up.
            trust.record_peer_report(20 * S * (at + 1), 7, MAX_STRIKES, 0.0);
            assert_eq!(trust.strikes(20 * S * (at + 1)), 0);
            assert!(!trust.avoided(20 * S * (at + 1) + UNCONFIRMED_REPORT_SPAN));
        }
        trust.record_peer_report(81 * S, 8, 5, 0.0);
        assert!(trust.on_trial(82 * S) && trust.avoided(88 * S) && !trust.avoided(89 * S));
        // Taken back as fast.
        trust.record_peer_report(90 * S, 9, 0, 0.0);
        assert!(!trust.on_trial(90 * S) && !trust.avoided(90 * S));
    }

    #[test]
    fn what_is_seen_at_first_hand_stands_against_others_word() {
        let mut trust = WorkerHealth::default();
        trust.record_fault(S, 4);
        trust.record_peer_report(S + 1, 3, 0, 0.0);
        assert!(trust.avoided(2 * S));
        trust.record_peer_report(4 * S, 3, 0, 0.0);
        assert!(!trust.avoided(4 * S));
    }

    #[test]
    fn a_worker_that_reports_errors_is_on_trial_though_jobs_end_well() {
        let mut trust = WorkerHealth::default();
        trust.record_error_share(S, UNHEALTHY_ERROR_SHARE / 2.0);
        trust.record_error_share(S, f64::NAN);
        assert_eq!(trust.strikes(S), 0);
        trust.record_error_share(S, UNHEALTHY_ERROR_SHARE);
        trust.record_success(S);
        trust.record_success(2 * S);
        assert!(trust.on_trial(2 * S));
        // Its reports are clean again: each job that ends well counts.
        trust.record_success(4 * S);
        assert!(!trust.on_trial(4 * S));
    }

    #[test]
    fn news_are_told_once_a_second_and_their_end_at_once() {
        let mut trust = WorkerHealth::default();
        trust.record_fault(S, 1);
        assert_eq!(trust.take_report(S, 0), None, "one failed connect is no news");
        trust.record_fault(S, 2);
        assert_eq!(trust.take_report(S, 1), Some(3));
        trust.record_fault(S + 1, 1);
        assert_eq!(trust.take_report(S + 1, 3), None);
        trust.record_success(2 * S);
        trust.record_success(2 * S);
        assert_eq!(trust.take_report(2 * S, 4), Some(0));
        // Who has just heard the same says nothing.
        let mut other = WorkerHealth::default();
        other.record_peer_report(S, 1, 3, 0.0);
        other.record_fault(S + S / 2, 2);
        assert_eq!(other.take_report(S + S / 2, 0), None);
    }
}
