//! Which body is where. The keeper hears how bodies grow, go out and are done with, and says what is to be moved, dropped
//! or passed through, and whose caller is to be read on.

use crate::BodyId;
use std::collections::{BTreeMap, BTreeSet};

/// How much may be kept, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Of one body in memory.
    pub one_in_memory: u64,
    /// Of all bodies in memory.
    pub all_in_memory: u64,
    /// Of all bodies in files; 0: there are no files.
    pub all_in_files: u64,
    /// Bodies in files at once.
    pub files: usize,
    /// Of one body, wherever it is.
    pub one: u64,
}

/// Where a body is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// In memory.
    Memory,
    /// On its way to a file, and in memory until it is there.
    Moving,
    /// In a file.
    File,
    /// Not kept: it goes to its next hop as it comes, once.
    Passing,
    /// It was kept, and is no more.
    Dropped,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Write this body to a file; then say [`Keeper::moved`] or [`Keeper::failed`].
    Move(BodyId),
    /// Give back what is held of this body.
    Drop(BodyId),
    /// This body is not kept from now on: its job can be sent once only.
    Pass(BodyId),
    /// Read no more of this body from its caller.
    Hold(BodyId),
    /// Read on.
    Resume(BodyId),
}

/// Why a body is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a body has {most} bytes at most")]
pub struct TooLarge {
    /// What one body may have.
    pub most: u64,
}

/// What is known of the job of a body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Job {
    /// It must never run twice.
    once: bool,
    /// The last byte of an attempt is written: it may have run.
    may_have_run: bool,
    /// No further try is allowed.
    spent: bool,
    /// It has its final answer.
    answered: bool,
    /// Attempts that are being written from this body.
    readers: u32,
}

impl Job {
    /// How little it can be needed again: the least first; `None`: it may be.
    fn idle(&self) -> Option<u8> {
        match self {
            Job { readers: 1.., .. } => None,
            Job { answered: true, .. } => Some(0),
            Job { once: true, may_have_run: true, .. } => Some(1),
            Job { spent: true, .. } => Some(2),
            _ => None,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Body {
    /// Bytes that have come.
    size: u64,
    /// Bytes that were announced.
    due: Option<u64>,
    place: Place,
    job: Job,
    /// Its caller is not read.
    held: bool,
}

/// Counts for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Bytes in memory, those on their way to files included.
    pub memory: u64,
    /// Bytes in files, and reserved there.
    pub files: u64,
    /// Bodies in memory.
    pub in_memory: usize,
    /// Bodies in files, or on their way.
    pub in_files: usize,
    /// Bodies that were moved to files so far.
    pub moved: u64,
    /// Bodies that were dropped so far.
    pub dropped: u64,
    /// Bodies that were not kept for want of room so far.
    pub passed: u64,
    /// Writes that failed so far.
    pub failed: u64,
}

/// See the head of this file.
#[derive(Debug)]
pub struct Keeper {
    limits: Limits,
    bodies: BTreeMap<BodyId, Body>,
    counts: Counts,
    /// Files cannot be written for now.
    broken: bool,
}

impl Keeper {
    /// A keeper of nothing yet.
    pub fn new(limits: Limits) -> Keeper {
        Keeper { limits, bodies: BTreeMap::new(), counts: Counts::default(), broken: false }
    }

    /// What is kept, and what was done so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Where a body is.
    pub fn place(&self, id: BodyId) -> Option<Place> {
        self.bodies.get(&id).map(|body| body.place)
    }

    /// A job's body begins to come. `due`: its announced size; `once`: the job must never run twice.
    ///
    /// # Errors
    /// What is announced is more than one body may have.
    pub fn begin(&mut self, id: BodyId, due: Option<u64>, once: bool) -> Result<(), TooLarge> {
        if due.is_some_and(|due| due > self.limits.one) {
            return Err(TooLarge { most: self.limits.one });
        }
        let job = Job { once, ..Job::default() };
        self.bodies.insert(id, Body { size: 0, due, place: Place::Memory, job, held: false });
        self.counts.in_memory += 1;
        Ok(())
    }

    /// So many bytes more of a body have come, and are in memory.
    ///
    /// # Errors
    /// It is larger than one body may be, or than was announced.
    pub fn grow(&mut self, id: BodyId, bytes: u64) -> Result<Vec<Order>, TooLarge> {
        let most = self.limits.one;
        let Some(body) = self.bodies.get_mut(&id) else { return Ok(Vec::new()) };
        if body.size + bytes > body.due.unwrap_or(most).min(most) {
            return Err(TooLarge { most });
        }
        body.size += bytes;
        match body.place {
            Place::Memory | Place::Moving => self.counts.memory += bytes,
            Place::File => self.counts.files += bytes,
            Place::Passing | Place::Dropped => {}
        }
        Ok(self.settle())
    }

    /// An attempt begins to be written from this body, or (`false`) no longer is.
    pub fn reading(&mut self, id: BodyId, reads: bool) -> Vec<Order> {
        if let Some(body) = self.bodies.get_mut(&id) {
            let readers = &mut body.job.readers;
            *readers = if reads { *readers + 1 } else { readers.saturating_sub(1) };
        }
        self.settle()
    }

    /// The last byte of an attempt is written: the job may have run.
    pub fn written(&mut self, id: BodyId) -> Vec<Order> {
        self.change(id, |job| job.may_have_run = true)
    }

    /// The job has no try left.
    pub fn spent(&mut self, id: BodyId) -> Vec<Order> {
        self.change(id, |job| job.spent = true)
    }

    /// The job has its final answer.
    pub fn answered(&mut self, id: BodyId) -> Vec<Order> {
        self.change(id, |job| job.answered = true)
    }

    fn change(&mut self, id: BodyId, change: impl Fn(&mut Job)) -> Vec<Order> {
        if let Some(body) = self.bodies.get_mut(&id) {
            change(&mut body.job);
        }
        self.settle()
    }

    /// A job is over and its body is given back.
    pub fn end(&mut self, id: BodyId) -> Vec<Order> {
        if let Some(body) = self.bodies.remove(&id) {
            self.release(body);
        }
        self.settle()
    }

    /// A body is in its file now, and no longer in memory.
    pub fn moved(&mut self, id: BodyId) -> Vec<Order> {
        self.broken = false;
        if let Some(body) = self.bodies.get_mut(&id).filter(|body| body.place == Place::Moving) {
            body.place = Place::File;
            self.counts.memory -= body.size;
            self.counts.in_memory -= 1;
            self.counts.moved += 1;
        }
        self.settle()
    }

    /// A body could not be written to a file. It stays in memory, and no other is moved until [`Keeper::mended`].
    pub fn failed(&mut self, id: BodyId) -> Vec<Order> {
        self.broken = true;
        self.counts.failed += 1;
        if let Some(body) = self.bodies.get_mut(&id).filter(|body| body.place == Place::Moving) {
            body.place = Place::Memory;
            self.counts.files -= body.due.unwrap_or(body.size).max(body.size);
            self.counts.in_files -= 1;
        }
        self.settle()
    }

    /// Files can be tried again.
    pub fn mended(&mut self) -> Vec<Order> {
        self.broken = false;
        self.settle()
    }

    fn release(&mut self, body: Body) {
        let reserved = body.due.unwrap_or(body.size).max(body.size);
        match body.place {
            Place::Memory => {
                self.counts.memory -= body.size;
                self.counts.in_memory -= 1;
            }
            Place::Moving => {
                self.counts.memory -= body.size;
                self.counts.in_memory -= 1;
                self.counts.files -= reserved;
                self.counts.in_files -= 1;
            }
            Place::File => {
                self.counts.files -= reserved;
                self.counts.in_files -= 1;
            }
            Place::Passing | Place::Dropped => {}
        }
    }

    /// Brings what is kept within its bounds: drops what cannot be needed again, moves the largest to files, passes
    /// through what has not begun to go out, and holds the callers of the rest.
    fn settle(&mut self) -> Vec<Order> {
        let mut orders = Vec::new();
        let moving: u64 =
            self.bodies.values().filter(|body| body.place == Place::Moving).map(|body| body.size).sum();
        let mut over = self.counts.memory.saturating_sub(moving + self.limits.all_in_memory);
        // What one body has beyond its bound goes whatever the others have.
        let large: BTreeSet<BodyId> = self
            .bodies
            .iter()
            .filter(|(_, body)| {
                body.place == Place::Memory
                    && body.due.unwrap_or(0).max(body.size) > self.limits.one_in_memory
            })
            .map(|(&id, _)| id)
            .collect();
        if over > 0 || !large.is_empty() {
            over -= self.drop_idle(over, &mut orders).min(over);
            let mut by_size: Vec<(u64, BodyId)> = self
                .bodies
                .iter()
                .filter(|(_, body)| body.place == Place::Memory)
                .map(|(&id, body)| (body.size, id))
                .collect();
            by_size.sort_unstable_by(|a, b| b.cmp(a));
            for (size, id) in by_size {
                if over == 0 && !large.contains(&id) {
                    continue;
                }
                if self.reserve(id) {
                    orders.push(Order::Move(id));
                    over = over.saturating_sub(size);
                } else if self.pass(id) {
                    orders.push(Order::Pass(id));
                    over = over.saturating_sub(size);
                }
            }
        }
        self.hold(&mut orders);
        orders
    }

    /// Drops bodies that cannot be needed again, until so many bytes of memory are free; tells how many became so.
    fn drop_idle(&mut self, need: u64, orders: &mut Vec<Order>) -> u64 {
        let mut idle: Vec<(u8, std::cmp::Reverse<u64>, BodyId)> = self
            .bodies
            .iter()
            .filter(|(_, body)| body.place == Place::Memory)
            .filter_map(|(&id, body)| Some((body.job.idle()?, std::cmp::Reverse(body.size), id)))
            .collect();
        idle.sort_unstable();
        let mut freed = 0;
        for (_, _, id) in idle {
            if freed >= need {
                break;
            }
            let Some(body) = self.bodies.get_mut(&id) else { continue };
            let before = *body;
            body.place = Place::Dropped;
            freed += before.size;
            self.release(before);
            self.counts.dropped += 1;
            orders.push(Order::Drop(id));
        }
        freed
    }

    /// Reserves room in files for a body; tells whether there is any.
    fn reserve(&mut self, id: BodyId) -> bool {
        let Some(body) = self.bodies.get_mut(&id) else { return false };
        let size = body.due.unwrap_or(body.size).max(body.size);
        let room = self.limits.all_in_files.saturating_sub(self.counts.files);
        // A body that an attempt is written from stays where that reads it.
        if self.broken || size > room || self.counts.in_files >= self.limits.files || body.job.readers > 0 {
            return false;
        }
        body.place = Place::Moving;
        self.counts.files += size;
        self.counts.in_files += 1;
        true
    }

    /// Passes a body through, if nothing of it went out yet and it has not come whole: what is whole can be kept or
    /// sent from memory, but what still comes would only make it worse.
    fn pass(&mut self, id: BodyId) -> bool {
        let Some(body) = self.bodies.get_mut(&id) else { return false };
        let whole = body.due.is_some_and(|due| body.size >= due);
        if whole || body.job.readers > 0 || body.job.may_have_run {
            return false;
        }
        let before = *body;
        body.place = Place::Passing;
        self.release(before);
        self.counts.passed += 1;
        true
    }

    /// Callers are read while memory has room; those of bodies in files, on their way there, or passed through are held
    /// by who writes them.
    fn hold(&mut self, orders: &mut Vec<Order>) {
        let full = self.counts.memory >= self.limits.all_in_memory;
        for (&id, body) in &mut self.bodies {
            let hold = full && matches!(body.place, Place::Memory | Place::Moving);
            if hold != body.held {
                body.held = hold;
                orders.push(if hold { Order::Hold(id) } else { Order::Resume(id) });
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LIMITS: Limits =
        Limits { one_in_memory: 100, all_in_memory: 250, all_in_files: 500, files: 3, one: 400 };

    fn keeper(sizes: &[(u64, bool)]) -> Keeper {
        let mut keeper = Keeper::new(LIMITS);
        for (&(size, once), id) in sizes.iter().zip(1..) {
            keeper.begin(id, Some(size), once).expect("it is not too large");
            keeper.grow(id, size).expect("nor than announced");
        }
        keeper
    }

    #[test]
    fn a_large_body_goes_to_a_file_and_a_larger_one_is_not_taken() {
        let mut keeper = Keeper::new(LIMITS);
        assert_eq!(keeper.begin(1, Some(401), false), Err(TooLarge { most: 400 }));
        keeper.begin(1, Some(300), false).expect("it fits");
        assert_eq!(keeper.grow(1, 10), Ok(vec![Order::Move(1)]), "its announced size tells");
        assert_eq!(keeper.moved(1), []);
        assert_eq!((keeper.counts().memory, keeper.counts().files), (0, 300));
        assert_eq!(keeper.grow(1, 291), Err(TooLarge { most: 400 }), "more than announced");
        keeper.begin(2, None, false).expect("it may fit");
        assert!(keeper.grow(2, 50).expect("it fits").is_empty());
        assert_eq!(keeper.grow(2, 60), Ok(vec![Order::Move(2)]));
        keeper.end(1);
        keeper.end(2);
        assert_eq!((keeper.counts().files, keeper.counts().in_files, keeper.counts().in_memory), (0, 0, 0));
    }

    #[test]
    fn under_pressure_goes_first_what_can_least_be_needed_again() {
        let mut keeper = keeper(&[(80, false), (70, true), (60, false)]);
        assert!(keeper.written(2).is_empty());
        keeper.begin(4, Some(90), false).expect("it fits");
        let orders = keeper.grow(4, 90).expect("it fits");
        assert_eq!(orders[0], Order::Drop(2), "it must not run twice and may have run");
        assert_eq!(keeper.place(2), Some(Place::Dropped));
        assert_eq!(keeper.place(1), Some(Place::Memory), "it may be needed again");
    }

    #[test]
    fn what_may_be_needed_is_moved_the_largest_first_and_never_what_is_read() {
        let mut keeper = keeper(&[(90, false), (80, false), (70, false)]);
        keeper.reading(1, true);
        keeper.begin(4, Some(60), false).expect("it fits");
        let orders = keeper.grow(4, 60).expect("it fits");
        assert!(orders.contains(&Order::Move(2)) && !orders.contains(&Order::Move(1)));
    }

    #[test]
    fn a_broken_disk_stops_moving_and_newcomers_are_passed_through_or_wait() {
        let mut keeper = Keeper::new(LIMITS);
        keeper.begin(1, Some(300), false).expect("it fits");
        assert_eq!(keeper.grow(1, 10), Ok(vec![Order::Move(1)]));
        let orders = keeper.failed(1);
        assert_eq!(orders, [Order::Pass(1)], "it has not come whole: it is sent as it comes, once");
        assert_eq!((keeper.counts().files, keeper.counts().memory), (0, 0));
        keeper.begin(2, Some(90), false).expect("it fits");
        assert!(keeper.grow(2, 90).expect("it fits").is_empty());
        keeper.begin(3, Some(90), false).expect("it fits");
        assert!(keeper.grow(3, 90).expect("it fits").is_empty());
        keeper.begin(4, Some(90), false).expect("it fits");
        let orders = keeper.grow(4, 80).expect("it fits");
        assert!(orders.contains(&Order::Pass(4)), "{orders:?}");
        assert!(keeper.mended().is_empty());
        assert_eq!(keeper.counts().failed, 1);
    }

    #[test]
    fn callers_wait_while_memory_is_full_and_are_read_on_after() {
        let mut keeper = Keeper::new(Limits { all_in_files: 0, ..LIMITS });
        for id in 1..=3 {
            keeper.begin(id, Some(90), true).expect("it fits");
        }
        keeper.grow(1, 90).expect("it fits");
        keeper.grow(2, 90).expect("it fits");
        let orders = keeper.grow(3, 70).expect("it fits");
        assert_eq!(orders, [Order::Hold(1), Order::Hold(2), Order::Hold(3)]);
        assert_eq!(keeper.end(1), [Order::Resume(2), Order::Resume(3)]);
    }
}
