//! Settings that come into force between two events, whole or not at all. What was learned is kept.
//!
//! Requests that are open go on like this:
//!
//! | setting | an open request goes by |
//! | --- | --- |
//! | aim, stretch, deadline, worth, slots, its tenant's share | what was in force when it arrived |
//! | effect | the tightest of all that were in force since it arrived |
//! | tries, copies, cancelling, late worth, kind, rule figures, prices | what is in force now |
//!
//! Of effects, the one that lets a request be repeated in fewer places and for less time is the tighter; of two that
//! cannot be compared, neither holds, and the request must not be repeated. Where the effect was [`Effect::Safe`] and is no
//! longer, nobody had to remember what ran before: what may have run then is not repeated at all.

use crate::api::*;
use crate::rules::Dispatcher;
use crate::state::*;

/// Classes that there may be at most, retired ones counted.
const MOST_CLASSES: usize = 4_096;
/// The same of tenants.
const MOST_TENANTS: usize = 65_536;
/// More than any worker is sent in a window, in microseconds at speed 1.
const HAS_ITS_FILL: f64 = 1e15;

/// Why settings are not taken up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RejectedSetting {
    /// The field of [`Settings`].
    pub field: &'static str,
    /// What is wrong with it.
    pub reason: &'static str,
}

impl Settings {
    /// The first field that differs in `new` and cannot change while a dispatcher runs.
    pub fn fixed_change(&self, new: &Settings) -> Option<&'static str> {
        let same = [
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
        same.iter().find(|(_, same)| !same).map(|(field, _)| *field)
    }
}

/// The tighter of two effects.
fn tighter(before: Effect, now: Effect) -> Effect {
    match (before, now) {
        (Effect::Unsafe, _) | (_, Effect::Unsafe) => Effect::Unsafe,
        (Effect::Safe, keyed) | (keyed, Effect::Safe) => keyed,
        (Effect::Keyed { group: one, span: first }, Effect::Keyed { group: other, span: second }) => {
            let span = first.min(second);
            match (one, other) {
                (Group::All, group) | (group, Group::All) => Effect::Keyed { group, span },
                (one, other) if one == other => Effect::Keyed { group: one, span },
                // A cell need not lie in one zone.
                _ => Effect::Unsafe,
            }
        }
    }
}

/// What binds a request of this effect that goes on under settings with another one for its class. `ran_unnoted`: an attempt
/// may have run while repeats were harmless, so that no worker wrote down that it did.
pub(crate) fn effect_after_update(bound: Effect, now: Effect, ran_unnoted: bool) -> Effect {
    if ran_unnoted && now != Effect::Safe { Effect::Unsafe } else { tighter(bound, now) }
}

impl Dispatcher {
    /// The settings in force.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Whether these settings could be taken up now. Places in the lists of classes and tenants hold for good, so
    /// neither list may become shorter.
    ///
    /// # Errors
    /// Why not.
    pub fn check_settings(&self, new: &Settings) -> Result<(), RejectedSetting> {
        let refuse = |field, why| Err(RejectedSetting { field, reason: why });
        if let Some(field) = self.settings.fixed_change(new) {
            return refuse(field, "it cannot change without a restart");
        }
        // A worker's skills are bits, and a class is a skill where workers refuse any.
        let skills = self.workers.iter().any(|worker| worker.refuses != 0);
        let (classes, tenants) = (new.classes.len(), new.tenants.len());
        if classes < self.settings.classes.len() {
            refuse("classes", "there are fewer than before, and open requests hold their places")
        } else if classes > MOST_CLASSES || (skills && classes > MAX_SKILLS) {
            refuse("classes", "there are too many")
        } else if new.classes.iter().any(|class| class.kind.is_some_and(|kind| kind.0 >= new.kinds)) {
            refuse("classes", "one needs a kind of machine that there is not")
        } else if tenants < self.settings.tenants.len() {
            refuse("tenants", "there are fewer than before, and open requests hold their places")
        } else if tenants > MOST_TENANTS {
            refuse("tenants", "there are too many")
        } else {
            Ok(())
        }
    }

    /// Takes up new settings whole, or, with a line for the log, not at all.
    pub(crate) fn on_settings(&mut self, now: Micros, new: Settings) {
        if let Err(RejectedSetting { field, reason: why }) = self.check_settings(&new) {
            return self.out.push(Action::Log(format!("the settings stay as they are: '{field}': {why}")));
        }
        if new == self.settings {
            return;
        }
        self.renew_buckets(now, &new);
        self.renew_effects(&new);
        self.know.classes.resize_with(new.classes.len(), Default::default);
        let needs =
            |settings: &Settings| -> Vec<_> { settings.classes.iter().map(|class| class.kind).collect() };
        self.maps_stale |= needs(&new) != needs(&self.settings);
        let old = std::mem::replace(&mut self.settings, new);
        self.renew_warmth(now, &old.rules);
        self.renew_held(now);
        self.pump(now);
    }

    /// Tokens come by the old quotas up to now; what is saved is cut to what the new ones let be saved.
    fn renew_buckets(&mut self, now: Micros, new: &Settings) {
        let part = f64::from(self.company.size());
        let both = self.settings.tenants.iter().zip(&new.tenants);
        for (bucket, (old, new)) in self.know.buckets.iter_mut().zip(both) {
            bucket.set_rate(now, old.quota_per_s / part, new.quota_per_s / part);
        }
        self.know.buckets.resize_with(new.tenants.len(), || TokenBucket::new(now));
    }

    /// Open requests keep the tightest effect that was in force since they came.
    fn renew_effects(&mut self, new: &Settings) {
        let old = &self.settings.classes;
        if old.iter().zip(&new.classes).all(|(old, new)| old.effect == new.effect) {
            return;
        }
        for request in self.requests.values_mut() {
            let both = old.get(request.class).zip(new.classes.get(request.class));
            let Some((old, new)) = both.filter(|(old, new)| old.effect != new.effect) else { continue };
            let ran_unnoted = request.may_have_run() && old.effect == Effect::Safe;
            request.effect = effect_after_update(request.effect, new.effect, ran_unnoted);
        }
    }

    /// A worker that counts as cold only by the new figures was sent what nobody wrote down, and of a longer window the
    /// beginning may be forgotten: it gets nothing more for one window.
    fn renew_warmth(&mut self, now: Micros, old: &RuleParameters) {
        let new = &self.settings.rules;
        let longer = new.fall_window > old.fall_window;
        let since = now.saturating_sub(old.fall_window.max(new.fall_window));
        for worker in &mut self.workers {
            let age = worker.started.map(|start| now.saturating_sub(start));
            if age.is_some_and(|age| age < new.cold && (longer || age >= old.cold)) {
                worker.cold_sent.retain(|&(then, _)| then >= since);
                worker.cold_sent.push_back((now, HAS_ITS_FILL));
            }
        }
    }

    /// Held jobs that no worker may get any more are answered at once.
    fn renew_held(&mut self, now: Micros) {
        let tries = self.settings.limits.max_attempts as usize;
        let over = |request: &Request| {
            let risky = request.may_have_run();
            request.attempts.len() >= tries || (risky && request.effect == Effect::Unsafe)
        };
        let held = self.queue.held.iter().map(|&(_, id)| id);
        let over: Vec<RequestId> = held.filter(|id| self.requests.get(id).is_some_and(&over)).collect();
        over.into_iter().for_each(|id| self.finish(now, id, Rejection::SettingsChanged));
    }
}
