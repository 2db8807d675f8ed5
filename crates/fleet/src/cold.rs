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

/// How many times its even part a member may send, where the other members leave room.
pub const POOL_CAP: f64 = 2.0;

/// Who sends to a cold worker, and what they may send it together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdShare {
    /// What all senders together may send it in a window, in microseconds of work at speed 1.
    pub budget: f64,
    /// Members of the cohort whose share holds it.
    pub members: usize,
    /// Wardens beside them.
    pub wardens: usize,
}

/// What this scheduler is to a cold worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    /// A member of the cohort whose share holds it.
    Member,
    /// A warden drawn by its id.
    Warden,
    /// Neither: it sends the worker nothing while it is cold.
    Neither,
}

/// Whether a job may go to a cold worker, and if not, what holds it back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Allowance {
    /// It may.
    Yes,
    /// This scheduler is no sender of the worker.
    NoSender,
    /// It would take this scheduler beyond its part (or beyond [`POOL_CAP`] parts, for a member).
    OverPart,
    /// It would take the cohort beyond its pool, as its members told.
    OverPool,
}

impl Sender {
    /// A member where it is one, else a warden where it is one.
    pub fn of(member: bool, warden: bool) -> Sender {
        match (member, warden) {
            (true, _) => Sender::Member,
            (false, true) => Sender::Warden,
            (false, false) => Sender::Neither,
        }
    }
}

impl ColdShare {
    /// The share of a worker that all senders may send `budget` in a window, where `members` are in the cohort that
    /// holds it and each of `schedulers` usually sends `usual` in a window (see [`wardens`]).
    pub fn new(budget: f64, members: usize, usual: f64, schedulers: u32) -> Self {
        ColdShare { budget, members, wardens: wardens(budget, usual, schedulers) }
    }

    /// Whether the scheduler of this rank is a warden of the worker whose id and start draw `draw`.
    pub fn warden(&self, draw: u64, rank: u32, schedulers: u32) -> bool {
        is_warden(draw, rank, schedulers, self.wardens)
    }

    /// A sender's even part of the budget.
    pub fn part(&self) -> f64 {
        self.budget / (self.members + self.wardens).max(1) as f64
    }

    /// What the members of the cohort may send together.
    pub fn pool(&self) -> f64 {
        self.part() * self.members as f64
    }

    /// Whether a job of `work` may go, where this scheduler has sent `mine` in the window and the other members told
    /// of `told` (both in microseconds of work at speed 1).
    pub fn allows(&self, sender: Sender, mine: f64, told: f64, work: f64) -> Allowance {
        let after = mine + work;
        match sender {
            Sender::Neither => Allowance::NoSender,
            Sender::Warden if after <= self.part() => Allowance::Yes,
            Sender::Warden => Allowance::OverPart,
            Sender::Member if after > POOL_CAP * self.part() => Allowance::OverPart,
            Sender::Member if after + told.max(0.0) > self.pool() => Allowance::OverPool,
            Sender::Member => Allowance::Yes,
        }
    }
}

/// How many wardens a cold worker has: as many as have a part that holds what one of them usually sends in a window,
/// one at least and no more than there are schedulers.
pub fn wardens(budget: f64, usual: f64, schedulers: u32) -> usize {
    let count = if usual > 0.0 { (budget / usual).floor() } else { 1.0 };
    count.clamp(1.0, f64::from(schedulers.max(1))) as usize
}

/// Whether the scheduler of this rank is one of the `wardens` of a worker whose id and start draw `draw`, among
/// `schedulers`.
pub fn is_warden(draw: u64, rank: u32, schedulers: u32, wardens: usize) -> bool {
    let schedulers = u64::from(schedulers.max(1));
    let place = (draw % schedulers + u64::from(rank)) % schedulers;
    place < wardens as u64
}

#[cfg(test)]
mod tests {
    use super::*;

    const COHORT: ColdShare = ColdShare { budget: 900.0, members: 8, wardens: 1 };

    #[test]
    fn a_member_uses_what_the_others_leave_up_to_twice_its_part() {
        assert_eq!(COHORT.part(), 100.0);
        assert_eq!(COHORT.pool(), 800.0);
        assert_eq!(COHORT.allows(Sender::Member, 0.0, 0.0, 150.0), Allowance::Yes);
        assert_eq!(COHORT.allows(Sender::Member, 150.0, 0.0, 60.0), Allowance::OverPart);
        assert_eq!(COHORT.allows(Sender::Member, 50.0, 700.0, 60.0), Allowance::OverPool);
        // What a confused peer tells cannot make room.
        assert_eq!(COHORT.allows(Sender::Member, 0.0, -1e9, 250.0), Allowance::OverPart);
    }

    #[test]
    fn a_warden_keeps_to_its_part_and_others_send_nothing() {
        assert_eq!(COHORT.allows(Sender::Warden, 50.0, 0.0, 50.0), Allowance::Yes);
        assert_eq!(COHORT.allows(Sender::Warden, 50.0, 0.0, 51.0), Allowance::OverPart);
        assert_eq!(COHORT.allows(Sender::Neither, 0.0, 0.0, 1.0), Allowance::NoSender);
    }

    #[test]
    fn wardens_are_as_many_as_parts_that_hold_a_window_of_sends_and_as_many_are_drawn() {
        assert_eq!(wardens(900.0, 1000.0, 300), 1);
        assert_eq!(wardens(900.0, 100.0, 300), 9);
        assert_eq!(wardens(900.0, 0.0, 300), 1);
        assert_eq!(wardens(900.0, 1.0, 4), 4);
        for draw in [0, 7, u64::MAX] {
            let drawn = (0..300).filter(|&rank| is_warden(draw, rank, 300, 9)).count();
            assert_eq!(drawn, 9);
        }
    }
}
