//! Settings updates while a dispatcher runs. An update takes effect between two events, completely or not at all, and
//! learned knowledge is kept.
//!
//! An open request follows these values:
//!
//! | setting | value for an open request |
//! | --- | --- |
//! | aim, stretch, deadline, worth, slots, tenant's share | the value when the request arrived |
//! | effect | the most restrictive value since the request arrived |
//! | attempts, concurrent attempts, cancelling, late worth, kind, rule parameters, prices | the current value |
//!
//! The more restrictive of two effects is the one that allows repeats in fewer places and for less time. If two effects
//! cannot be compared, the request must not be repeated. While the effect was [`Effect::Safe`], workers did not have to
//! record what ran, so if the effect changes from it, a request that may already have run is not repeated.

use crate::api::*;
use crate::rules::Dispatcher;
use crate::state::*;

/// Maximum number of classes, including retired ones.
const MAX_CLASSES: usize = 4_096;
/// Maximum number of tenants, including retired ones.
const MAX_TENANTS: usize = 65_536;
/// Amount of work that uses up the budget of any cold worker for one window, in microseconds at speed 1.
const FULL_COLD_BUDGET: f64 = 1e15;

/// A setting for which a settings update is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RejectedSetting {
    /// Name of the field of [`Settings`].
    pub field: &'static str,
    /// The fault of the field, phrased to follow the field's name in a sentence.
    pub reason: &'static str,
}

impl Settings {
    /// Returns the first field that differs in `new` and cannot change while a dispatcher runs.
    pub fn fixed_change(&self, new: &Settings) -> Option<&'static str> {
        let unchanged = [
            ("rank", self.rank == new.rank),
            ("instances", self.instances == new.instances),
            ("zone", self.zone == new.zone),
            ("zones", self.zones == new.zones),
            ("kinds", self.kinds == new.kinds),
            ("worth_by_work", self.worth_by_work == new.worth_by_work),
            ("list_on_request", self.list_on_request == new.list_on_request),
            ("reports", self.reports == new.reports),
            ("reports_free_slots", self.reports_free_slots == new.reports_free_slots),
            ("reports_free_memory", self.reports_free_memory == new.reports_free_memory),
            ("tells_start", self.tells_start == new.tells_start),
            ("progress_every", self.progress_every == new.progress_every),
            ("queue_order", self.queue_order == new.queue_order),
            ("weights", self.weights == new.weights),
            ("limits.peers", self.limits.peers == new.limits.peers),
            ("tick", self.tick == new.tick),
        ];
        unchanged.iter().find(|(_, unchanged)| !unchanged).map(|(field, _)| *field)
    }
}

/// Returns the more restrictive of two effects.
fn more_restrictive(before: Effect, now: Effect) -> Effect {
    match (before, now) {
        (Effect::Unsafe, _) | (_, Effect::Unsafe) => Effect::Unsafe,
        (Effect::Safe, keyed) | (keyed, Effect::Safe) => keyed,
        (Effect::Keyed { group: one, span: first }, Effect::Keyed { group: other, span: second }) => {
            let span = first.min(second);
            match (one, other) {
                (Group::All, group) | (group, Group::All) => Effect::Keyed { group, span },
                (one, other) if one == other => Effect::Keyed { group: one, span },
                // A cell may span zones, so a zone and a cell cannot be compared.
                _ => Effect::Unsafe,
            }
        }
    }
}

/// Returns the effect of an open request whose effect was `bound` and whose class has the effect `new` after a settings
/// update. `ran_unrecorded`: an attempt may have run while repeats were harmless, so workers may not have recorded it.
pub(crate) fn effect_after_update(bound: Effect, new: Effect, ran_unrecorded: bool) -> Effect {
    if ran_unrecorded && new != Effect::Safe { Effect::Unsafe } else { more_restrictive(bound, new) }
}

impl Dispatcher {
    /// Returns the current settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Checks whether the dispatcher can change to these settings. Indices into the lists of classes and tenants never
    /// change, so neither list may become shorter.
    ///
    /// # Errors
    /// Returns the first field that rules the change out, with the reason.
    pub fn check_settings(&self, new: &Settings) -> Result<(), RejectedSetting> {
        let reject = |field, reason| Err(RejectedSetting { field, reason });
        if let Some(field) = self.settings.fixed_change(new) {
            return reject(field, "cannot change without a restart");
        }
        // If any worker refuses a skill, each class is a skill, and the number of skills is bounded by the bits of a
        // mask.
        let skills_used = self.workers.iter().any(|worker| worker.refuses != 0);
        let (classes, tenants) = (new.classes.len(), new.tenants.len());
        if classes < self.settings.classes.len() {
            reject("classes", "has fewer entries than before, and open requests refer to entries by index")
        } else if classes > MAX_CLASSES || (skills_used && classes > MAX_SKILLS) {
            reject("classes", "has too many entries")
        } else if new.classes.iter().any(|class| class.kind.is_some_and(|kind| kind.0 >= new.kinds)) {
            reject("classes", "has an entry that needs an unknown kind of machine")
        } else if tenants < self.settings.tenants.len() {
            reject("tenants", "has fewer entries than before, and open requests refer to entries by index")
        } else if tenants > MAX_TENANTS {
            reject("tenants", "has too many entries")
        } else {
            Ok(())
        }
    }

    /// Changes to new settings, or writes a log line and keeps all current settings if one of the new ones is rejected.
    pub(crate) fn on_settings(&mut self, now: Micros, new: Settings) {
        if let Err(RejectedSetting { field, reason }) = self.check_settings(&new) {
            return self.actions.push(Action::Log(format!("settings update rejected: '{field}' {reason}")));
        }
        if new == self.settings {
            return;
        }
        self.update_buckets(now, &new);
        self.update_effects(&new);
        self.knowledge.classes.resize_with(new.classes.len(), Default::default);
        let kinds =
            |settings: &Settings| -> Vec<_> { settings.classes.iter().map(|class| class.kind).collect() };
        self.size_maps_stale |= kinds(&new) != kinds(&self.settings);
        let old = std::mem::replace(&mut self.settings, new);
        self.block_newly_cold_workers(now, &old.rules);
        self.reject_held_jobs(now);
        self.process_hold_queue(now);
    }

    /// Adds tokens at the old quotas up to now, then cuts the saved tokens to the capacity at the new quotas. Each
    /// dispatcher gets an equal share of a quota.
    fn update_buckets(&mut self, now: Micros, new: &Settings) {
        let schedulers = f64::from(self.peer_set.size());
        let quotas = self.settings.tenants.iter().zip(&new.tenants);
        for (bucket, (old, new)) in self.knowledge.buckets.iter_mut().zip(quotas) {
            bucket.set_rate(now, old.quota_per_s / schedulers, new.quota_per_s / schedulers);
        }
        self.knowledge.buckets.resize_with(new.tenants.len(), || TokenBucket::new(now));
    }

    /// Gives open requests the most restrictive effect since they arrived.
    fn update_effects(&mut self, new: &Settings) {
        let old = &self.settings.classes;
        if old.iter().zip(&new.classes).all(|(old, new)| old.effect == new.effect) {
            return;
        }
        for request in self.requests.values_mut() {
            let classes = old.get(request.class).zip(new.classes.get(request.class));
            let Some((old, new)) = classes.filter(|(old, new)| old.effect != new.effect) else { continue };
            let ran_unrecorded = request.may_have_run() && old.effect == Effect::Safe;
            request.effect = effect_after_update(request.effect, new.effect, ran_unrecorded);
        }
    }

    /// Blocks cold workers for one window if the work sent to them in it is not fully known. This is the case for a
    /// worker that counts as cold only by the new parameters, since work for warm workers is not recorded, and for each
    /// cold worker if the window becomes longer, since older records may have been dropped.
    fn block_newly_cold_workers(&mut self, now: Micros, old: &RuleParameters) {
        let new = &self.settings.rules;
        let window_longer = new.fall_window > old.fall_window;
        let since = now.saturating_sub(old.fall_window.max(new.fall_window));
        for worker in &mut self.workers {
            let age = worker.started.map(|start| now.saturating_sub(start));
            if age.is_some_and(|age| age < new.cold && (window_longer || age >= old.cold)) {
                worker.cold_sent.retain(|&(sent, _)| sent >= since);
                worker.cold_sent.push_back((now, FULL_COLD_BUDGET));
            }
        }
    }

    /// Rejects held jobs for which the new settings allow no further attempt.
    fn reject_held_jobs(&mut self, now: Micros) {
        let max_attempts = self.settings.limits.max_attempts as usize;
        let not_allowed = |request: &Request| {
            let may_have_run = request.may_have_run();
            request.attempts.len() >= max_attempts || (may_have_run && request.effect == Effect::Unsafe)
        };
        let held = self.hold_queue.held.iter().map(|&(_, id)| id);
        let rejected: Vec<RequestId> =
            held.filter(|id| self.requests.get(id).is_some_and(&not_allowed)).collect();
        rejected.into_iter().for_each(|id| self.finish(now, id, Rejection::SettingsChanged));
    }
}
