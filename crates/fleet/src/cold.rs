//! Limits on the work that a scheduler may send to a cold worker.
//!
//! A worker that is still cold fails if it is sent too much work. All schedulers together may therefore send it at most
//! a budget of work in each window (rule 4 of the decision module); the caller sets the budget, with a margin. The
//! senders of a cold worker are the members of the cohort that the worker belongs to, who send to it first, and a few
//! *designated senders* chosen by the worker's id. Without designated senders, a small cohort could leave no more than
//! one sender with a share that is large enough for a job.
//!
//! Each sender has an equal share of the budget. A member of the cohort may exceed its share by the amount that the
//! other members report as unused, up to [`MAX_MEMBER_MULTIPLE`] times its share. The cohort as a whole then keeps to
//! its pool while the members' messages arrive, and the fleet keeps to [`MAX_MEMBER_MULTIPLE`] times the budget if all
//! messages are lost.

use crate::hash::mix;

/// Maximum work that a member may send in a window, as a multiple of its share, if the other members leave it unused.
pub const MAX_MEMBER_MULTIPLE: f64 = 2.0;

/// Budget of a cold worker, and the number of schedulers that share it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBudget {
    /// Work that all senders together may send in a window, in microseconds at speed 1.
    pub budget: f64,
    /// Number of members of the worker's cohort.
    pub members: usize,
    /// Number of designated senders in addition to the members.
    pub designated: usize,
}

/// Role of this scheduler towards a cold worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    /// A member of the worker's cohort.
    Member,
    /// A designated sender, chosen by the worker's id.
    Designated,
    /// Neither: it sends nothing to the worker while the worker is cold.
    Neither,
}

/// Decision on sending a job to a cold worker, with the reason if the job may not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Allowance {
    /// The job may be sent.
    Yes,
    /// This scheduler is not a sender for the worker.
    NotASender,
    /// The job would exceed this scheduler's share (for a member: [`MAX_MEMBER_MULTIPLE`] times its share).
    OverSenderShare,
    /// The job would exceed the cohort's pool, by the reports of its members.
    OverPool,
}

impl Sender {
    /// Returns the role of a scheduler. A scheduler that is both a member and a designated sender counts as a member.
    pub fn of(member: bool, designated: bool) -> Sender {
        match (member, designated) {
            (true, _) => Sender::Member,
            (false, true) => Sender::Designated,
            (false, false) => Sender::Neither,
        }
    }
}

impl ColdBudget {
    /// Creates the budget of a worker to which all senders together may send `budget` in a window. The worker's cohort
    /// has `members` members, and each of `schedulers` schedulers usually sends `usual_work` in a window to all workers
    /// (see [`designated_sender_count`]). Both amounts of work are in microseconds at speed 1.
    pub fn new(budget: f64, members: usize, usual_work: f64, schedulers: u32) -> Self {
        ColdBudget { budget, members, designated: designated_sender_count(budget, usual_work, schedulers) }
    }

    /// Returns whether the scheduler of this rank is a designated sender. `hash` is the hash of the worker's id and
    /// start.
    pub fn is_designated(&self, hash: u64, rank: u32, schedulers: u32) -> bool {
        is_designated_sender(hash, rank, schedulers, self.designated)
    }

    /// Returns the share of the budget that each sender has, in microseconds at speed 1.
    pub fn sender_share(&self) -> f64 {
        self.budget / (self.members + self.designated).max(1) as f64
    }

    /// Returns the work that the members of the cohort together may send in a window, in microseconds at speed 1.
    pub fn pool(&self) -> f64 {
        self.sender_share() * self.members as f64
    }

    /// Decides whether a job with `work` may be sent. In the current window this scheduler has sent `own_work`, and the
    /// other members report `peer_work`. All three are in microseconds at speed 1.
    pub fn allows(&self, sender: Sender, own_work: f64, peer_work: f64, work: f64) -> Allowance {
        let after = own_work + work;
        match sender {
            Sender::Neither => Allowance::NotASender,
            Sender::Designated if after <= self.sender_share() => Allowance::Yes,
            Sender::Designated => Allowance::OverSenderShare,
            Sender::Member if after > MAX_MEMBER_MULTIPLE * self.sender_share() => Allowance::OverSenderShare,
            Sender::Member if after + peer_work.max(0.0) > self.pool() => Allowance::OverPool,
            Sender::Member => Allowance::Yes,
        }
    }
}

/// Returns the minimum fraction of its full capacity that a worker has at `age` after its start. The fraction rises
/// linearly from `start_capacity` to 1 over the time `cold`. `age` and `cold` are in the same unit.
pub fn capacity_fraction(age: u64, cold: u64, start_capacity: f64) -> f64 {
    if age >= cold {
        return 1.0;
    }
    (start_capacity + (1.0 - start_capacity) * age as f64 / cold as f64).clamp(0.01, 1.0)
}

/// Returns the number of designated senders of a cold worker: the largest number for which `budget` divided by that
/// number is at least `usual_work`, the work that a scheduler usually sends in a window. The result is at least 1,
/// and at most the number of schedulers.
pub fn designated_sender_count(budget: f64, usual_work: f64, schedulers: u32) -> usize {
    let count = if usual_work > 0.0 { (budget / usual_work).floor() } else { 1.0 };
    count.clamp(1.0, f64::from(schedulers.max(1))) as usize
}

/// Returns whether the scheduler of this rank is one of `count` designated senders among `schedulers`. `hash` is the
/// hash of the worker's id and start.
pub fn is_designated_sender(hash: u64, rank: u32, schedulers: u32, count: usize) -> bool {
    let schedulers = u64::from(schedulers.max(1));
    let position = (hash % schedulers + u64::from(rank)) % schedulers;
    position < count as u64
}

/// Maximum size of a job that is the only one its scheduler sends to the cold worker in a window, as a multiple of the
/// budget.
pub const MAX_SINGLE_JOB_MULTIPLE: f64 = 1.25;

/// Rotation of the senders of a cold worker, for schedulers that send each other no messages. In each window the
/// schedulers that may send are chosen by a hash of the worker and the window, which all schedulers compute alike. The
/// budget of the fleet is kept on average over the windows. A scheduler sends at most its share, or a single job
/// of at most [`MAX_SINGLE_JOB_MULTIPLE`] times the budget.
///
/// With one zone, or fewer than 8 schedulers per zone, the senders are chosen among all schedulers, and their number is
/// exactly [`ColdBudget::designated`]. Otherwise only schedulers in the worker's zone are chosen. The number of
/// schedulers in a zone is not known, so they are assumed to be spread evenly over the zones, and each scheduler is
/// chosen independently of the others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRotation {
    budget: ColdBudget,
    /// Number of schedulers among which senders are chosen.
    candidates: u32,
    /// True if only schedulers in the worker's zone are chosen.
    by_zone: bool,
}

impl ColdRotation {
    /// Creates the rotation among `schedulers` schedulers in `zones` zones. `budget` and `usual_work` are as for
    /// [`ColdBudget::new`].
    pub fn new(budget: f64, usual_work: f64, schedulers: u32, zones: usize) -> Self {
        let zones = u32::try_from(zones.max(1)).unwrap_or(u32::MAX);
        let by_zone = zones > 1 && schedulers >= zones.saturating_mul(8);
        let candidates = if by_zone { schedulers / zones } else { schedulers };
        ColdRotation { budget: ColdBudget::new(budget, 0, usual_work, candidates), candidates, by_zone }
    }

    /// Decides whether the scheduler of this rank may send a job with `work` if it has sent `own_work` in the current
    /// window, both in microseconds at speed 1. `same_zone`: the scheduler is in the worker's zone. `hash` is the hash
    /// of the worker's id and start, and `window` the number of the window since a time on which all schedulers agree.
    pub fn allows(
        &self,
        same_zone: bool,
        (hash, window): (u64, u64),
        rank: u32,
        own_work: f64,
        work: f64,
    ) -> Allowance {
        let window_hash = mix(hash, window);
        let chosen = if self.by_zone {
            mix(window_hash, u64::from(rank)) % u64::from(self.candidates) < self.budget.designated as u64
        } else {
            self.budget.is_designated(window_hash, rank, self.candidates)
        };
        if !chosen || (self.by_zone && !same_zone) {
            Allowance::NotASender
        } else if own_work == 0.0 && work <= MAX_SINGLE_JOB_MULTIPLE * self.budget.budget {
            Allowance::Yes
        } else {
            self.budget.allows(Sender::Designated, own_work, 0.0, work)
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn rotation_keeps_the_budget_on_average_and_every_scheduler_sends() {
        // 300 schedulers in 4 zones, 75 of them in the worker's zone. Each has a job of the usual size in every window.
        let rotation = ColdRotation::new(3_000.0, 1_000.0, 300, 4);
        let (mut total, mut max, mut has_sent) = (0.0, 0.0_f64, [false; 75]);
        for window in 0..1_000_u64 {
            let mut sent = 0.0;
            for rank in 0..75_u32 {
                if rotation.allows(true, (7, window), rank, 0.0, 1_000.0) == Allowance::Yes {
                    sent += 1_000.0;
                    has_sent[rank as usize] = true;
                }
                assert_eq!(rotation.allows(false, (7, window), rank, 0.0, 1.0), Allowance::NotASender);
            }
            total += sent;
            max = max.max(sent);
        }
        assert!((2_500.0..3_500.0).contains(&(total / 1_000.0)), "{total}");
        // Random variation, in jobs of the usual size: the mean of 3, three times its square root, and 3 more.
        assert!(max <= 1_000.0 * (3.0 + 3.0 * 3.0_f64.sqrt() + 3.0), "{max}");
        assert!(has_sent.iter().all(|&has_sent| has_sent));
    }

    #[test]
    fn one_of_three_schedulers_may_send_in_each_window_one_job_or_its_share() {
        let rotation = ColdRotation::new(1_000.0, 1_000.0, 3, 2);
        for window in 0..30 {
            let allowed =
                |rank: &u32| rotation.allows(false, (7, window), *rank, 0.0, 1_250.0) == Allowance::Yes;
            assert_eq!((0..3).filter(allowed).count(), 1);
            assert!(
                (0..3).all(|rank| rotation.allows(true, (7, window), rank, 500.0, 600.0) != Allowance::Yes)
            );
            assert!(
                (0..3).all(|rank| rotation.allows(true, (7, window), rank, 0.0, 1_300.0) != Allowance::Yes)
            );
        }
    }

    const COHORT: ColdBudget = ColdBudget { budget: 900.0, members: 8, designated: 1 };

    #[test]
    fn member_uses_the_unused_pool_up_to_twice_its_share() {
        assert_eq!(COHORT.sender_share(), 100.0);
        assert_eq!(COHORT.pool(), 800.0);
        assert_eq!(COHORT.allows(Sender::Member, 0.0, 0.0, 150.0), Allowance::Yes);
        assert_eq!(COHORT.allows(Sender::Member, 150.0, 0.0, 60.0), Allowance::OverSenderShare);
        assert_eq!(COHORT.allows(Sender::Member, 50.0, 700.0, 60.0), Allowance::OverPool);
        // A negative report from a faulty peer does not raise the limit.
        assert_eq!(COHORT.allows(Sender::Member, 0.0, -1e9, 250.0), Allowance::OverSenderShare);
    }

    #[test]
    fn designated_sender_keeps_to_its_share_and_other_schedulers_send_nothing() {
        assert_eq!(COHORT.allows(Sender::Designated, 50.0, 0.0, 50.0), Allowance::Yes);
        assert_eq!(COHORT.allows(Sender::Designated, 50.0, 0.0, 51.0), Allowance::OverSenderShare);
        assert_eq!(COHORT.allows(Sender::Neither, 0.0, 0.0, 1.0), Allowance::NotASender);
    }

    #[test]
    fn each_designated_sender_has_a_share_of_the_usual_work_and_that_many_are_chosen() {
        assert_eq!(designated_sender_count(900.0, 1000.0, 300), 1);
        assert_eq!(designated_sender_count(900.0, 100.0, 300), 9);
        assert_eq!(designated_sender_count(900.0, 0.0, 300), 1);
        assert_eq!(designated_sender_count(900.0, 1.0, 4), 4);
        for hash in [0, 7, u64::MAX] {
            let chosen = (0..300).filter(|&rank| is_designated_sender(hash, rank, 300, 9)).count();
            assert_eq!(chosen, 9);
        }
    }
}
