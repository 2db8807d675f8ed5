//! What a scheduler may send a worker that is still cold.
//!
//! All schedulers together may send a cold worker at most a budget of work in each window (the fourth rule of the
//! protocol page, with a margin that the caller sets). Its senders are the members of the cohort whose share of the
//! workers holds it, who try it first, and a few *wardens* drawn by its id, so that where cohorts are small more than
//! one sender has a part that holds a job.
//!
//! Each sender has an even part. A member may go beyond its part into what the other members have left unused, as they
//! told, up to [`POOL_CAP`] times its part: the cohort as a whole keeps to its pool while their messages arrive, and the
//! fleet to [`POOL_CAP`] times the budget if none of them does.

use crate::hash::mix;

/// How many times its even part a member may send, where the other members leave room.
pub const MAX_MEMBER_MULTIPLE: f64 = 2.0;

/// Who sends to a cold worker, and what they may send it together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBudget {
    /// What all senders together may send it in a window, in microseconds of work at speed 1.
    pub budget: f64,
    /// Members of the cohort whose share holds it.
    pub members: usize,
    /// Wardens beside them.
    pub designated: usize,
}

/// What this scheduler is to a cold worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    /// A member of the cohort whose share holds it.
    Member,
    /// A warden drawn by its id.
    Designated,
    /// Neither: it sends the worker nothing while it is cold.
    Neither,
}

/// Whether a job may go to a cold worker, and if not, what holds it back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Allowance {
    /// It may.
    Yes,
    /// This scheduler is no sender of the worker.
    NotASender,
    /// It would take this scheduler beyond its part (or beyond [`POOL_CAP`] parts, for a member).
    OverSenderShare,
    /// It would take the cohort beyond its pool, as its members told.
    OverPool,
}

impl Sender {
    /// A member where it is one, else a warden where it is one.
    pub fn of(member: bool, warden: bool) -> Sender {
        match (member, warden) {
            (true, _) => Sender::Member,
            (false, true) => Sender::Designated,
            (false, false) => Sender::Neither,
        }
    }
}

impl ColdBudget {
    /// The share of a worker that all senders may send `budget` in a window, where `members` are in the cohort that
    /// holds it and each of `schedulers` usually sends `usual` in a window (see [`wardens`]).
    pub fn new(budget: f64, members: usize, usual: f64, schedulers: u32) -> Self {
        ColdBudget { budget, members, designated: designated_sender_count(budget, usual, schedulers) }
    }

    /// Whether the scheduler of this rank is a warden of the worker whose id and start draw `draw`.
    pub fn is_designated(&self, draw: u64, rank: u32, schedulers: u32) -> bool {
        is_designated_sender(draw, rank, schedulers, self.designated)
    }

    /// A sender's even part of the budget.
    pub fn sender_share(&self) -> f64 {
        self.budget / (self.members + self.designated).max(1) as f64
    }

    /// What the members of the cohort may send together.
    pub fn pool(&self) -> f64 {
        self.sender_share() * self.members as f64
    }

    /// Whether a job of `work` may go, where this scheduler has sent `mine` in the window and the other members told
    /// of `told` (both in microseconds of work at speed 1).
    pub fn allows(&self, sender: Sender, mine: f64, told: f64, work: f64) -> Allowance {
        let after = mine + work;
        match sender {
            Sender::Neither => Allowance::NotASender,
            Sender::Designated if after <= self.sender_share() => Allowance::Yes,
            Sender::Designated => Allowance::OverSenderShare,
            Sender::Member if after > MAX_MEMBER_MULTIPLE * self.sender_share() => Allowance::OverSenderShare,
            Sender::Member if after + told.max(0.0) > self.pool() => Allowance::OverPool,
            Sender::Member => Allowance::Yes,
        }
    }
}

/// The part of its full capacity that a worker has at least, so long (`age`) after its start: it rises evenly from
/// `start_capacity` to all of it, within `cold`. Both times in the same unit.
pub fn capacity_fraction(age: u64, cold: u64, start_capacity: f64) -> f64 {
    if age >= cold {
        return 1.0;
    }
    (start_capacity + (1.0 - start_capacity) * age as f64 / cold as f64).clamp(0.01, 1.0)
}

/// How many wardens a cold worker has: as many as have a part that holds what one of them usually sends in a window,
/// one at least and no more than there are schedulers.
pub fn designated_sender_count(budget: f64, usual: f64, schedulers: u32) -> usize {
    let count = if usual > 0.0 { (budget / usual).floor() } else { 1.0 };
    count.clamp(1.0, f64::from(schedulers.max(1))) as usize
}

/// Whether the scheduler of this rank is one of the `wardens` of a worker whose id and start draw `draw`, among
/// `schedulers`.
pub fn is_designated_sender(draw: u64, rank: u32, schedulers: u32, wardens: usize) -> bool {
    let schedulers = u64::from(schedulers.max(1));
    let place = (draw % schedulers + u64::from(rank)) % schedulers;
    place < wardens as u64
}

/// A job that is alone in its window may be this much larger than the budget.
pub const MAX_SINGLE_JOB_MULTIPLE: f64 = 1.25;

/// Who may send to a cold worker where nobody tells what it sends: in each turn a few schedulers, drawn by the worker and
/// the time, which all read alike. The sum over the fleet is kept on average, by the draw; none sends more than its part,
/// or one job that is alone in its window and at most [`ALONE`] times the budget.
///
/// With few schedulers, or one zone, exactly so many as have a part are drawn of all. With many, only those near the
/// worker (in its zone) count. How many these are is not known; the even part of a zone is taken for it, and each draws
/// for itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRotation {
    share: ColdBudget,
    /// Schedulers among which is drawn.
    among: u32,
    many: bool,
}

impl ColdRotation {
    /// `budget` and `usual` as for [`ColdShare::new`], among `schedulers` spread over `zones`.
    pub fn new(budget: f64, usual: f64, schedulers: u32, zones: usize) -> Self {
        let zones = u32::try_from(zones.max(1)).unwrap_or(u32::MAX);
        let many = zones > 1 && schedulers >= zones.saturating_mul(8);
        let among = if many { schedulers / zones } else { schedulers };
        ColdRotation { share: ColdBudget::new(budget, 0, usual, among), among, many }
    }

    /// Whether a job of `work` may go, where this scheduler has sent `mine` in the window. The worker's id and start draw
    /// `draw`, and `window` is the number of the window since any time that all agree on; `rank` is the scheduler's, and
    /// `near` that it is in the worker's zone.
    pub fn allows(
        &self,
        near: bool,
        (draw, window): (u64, u64),
        rank: u32,
        mine: f64,
        work: f64,
    ) -> Allowance {
        let turn = mix(draw, window);
        let drawn = if self.many {
            mix(turn, u64::from(rank)) % u64::from(self.among) < self.share.designated as u64
        } else {
            self.share.is_designated(turn, rank, self.among)
        };
        if !drawn || (self.many && !near) {
            Allowance::NotASender
        } else if mine == 0.0 && work <= MAX_SINGLE_JOB_MULTIPLE * self.share.budget {
            Allowance::Yes
        } else {
            self.share.allows(Sender::Designated, mine, 0.0, work)
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn in_turn_the_fleet_keeps_to_the_budget_on_average_and_everybody_has_a_turn() {
        // 300 schedulers in 4 zones, 75 of them near, each with a job of the usual size at hand in every window.
        let rota = ColdRotation::new(3_000.0, 1_000.0, 300, 4);
        let (mut sum, mut most, mut had) = (0.0, 0.0_f64, [false; 75]);
        for turn in 0..1_000_u64 {
            let mut window = 0.0;
            for rank in 0..75_u32 {
                if rota.allows(true, (7, turn), rank, 0.0, 1_000.0) == Allowance::Yes {
                    window += 1_000.0;
                    had[rank as usize] = true;
                }
                assert_eq!(rota.allows(false, (7, turn), rank, 0.0, 1.0), Allowance::NotASender);
            }
            sum += window;
            most = most.max(window);
        }
        assert!((2_500.0..3_500.0).contains(&(sum / 1_000.0)), "{sum}");
        // Chance: N and three of its roots and three, in jobs of the usual size.
        assert!(most <= 1_000.0 * (3.0 + 3.0 * 3.0_f64.sqrt() + 3.0), "{most}");
        assert!(had.iter().all(|&had| had));
    }

    #[test]
    fn of_a_few_exactly_one_has_the_turn_and_sends_one_job_or_its_part() {
        let rota = ColdRotation::new(1_000.0, 1_000.0, 3, 2);
        for turn in 0..30 {
            let yes = |rank: &u32| rota.allows(false, (7, turn), *rank, 0.0, 1_250.0) == Allowance::Yes;
            assert_eq!((0..3).filter(yes).count(), 1);
            assert!((0..3).all(|rank| rota.allows(true, (7, turn), rank, 500.0, 600.0) != Allowance::Yes));
            assert!((0..3).all(|rank| rota.allows(true, (7, turn), rank, 0.0, 1_300.0) != Allowance::Yes));
        }
    }

    const COHORT: ColdBudget = ColdBudget { budget: 900.0, members: 8, designated: 1 };

    #[test]
    fn a_member_uses_what_the_others_leave_up_to_twice_its_part() {
        assert_eq!(COHORT.sender_share(), 100.0);
        assert_eq!(COHORT.pool(), 800.0);
        assert_eq!(COHORT.allows(Sender::Member, 0.0, 0.0, 150.0), Allowance::Yes);
        assert_eq!(COHORT.allows(Sender::Member, 150.0, 0.0, 60.0), Allowance::OverSenderShare);
        assert_eq!(COHORT.allows(Sender::Member, 50.0, 700.0, 60.0), Allowance::OverPool);
        // What a confused peer tells cannot make room.
        assert_eq!(COHORT.allows(Sender::Member, 0.0, -1e9, 250.0), Allowance::OverSenderShare);
    }

    #[test]
    fn a_warden_keeps_to_its_part_and_others_send_nothing() {
        assert_eq!(COHORT.allows(Sender::Designated, 50.0, 0.0, 50.0), Allowance::Yes);
        assert_eq!(COHORT.allows(Sender::Designated, 50.0, 0.0, 51.0), Allowance::OverSenderShare);
        assert_eq!(COHORT.allows(Sender::Neither, 0.0, 0.0, 1.0), Allowance::NotASender);
    }

    #[test]
    fn wardens_are_as_many_as_parts_that_hold_a_window_of_sends_and_as_many_are_drawn() {
        assert_eq!(designated_sender_count(900.0, 1000.0, 300), 1);
        assert_eq!(designated_sender_count(900.0, 100.0, 300), 9);
        assert_eq!(designated_sender_count(900.0, 0.0, 300), 1);
        assert_eq!(designated_sender_count(900.0, 1.0, 4), 4);
        for draw in [0, 7, u64::MAX] {
            let drawn = (0..300).filter(|&rank| is_designated_sender(draw, rank, 300, 9)).count();
            assert_eq!(drawn, 9);
        }
    }
}
