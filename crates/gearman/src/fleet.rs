//! Workers that pull. All connections under one client id are one *hop*, each that has asked for work one of its lanes.
//! Somebody else decides which hop gets an attempt; here is decided which of its connections is woken for it, and which
//! attempt a connection gets that asks.

use crate::ConnId;
use crate::packet::PacketType;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Functions that one connection may name.
pub const ABILITIES: usize = 128;
/// Hops that are remembered, those that have gone included.
pub const HOPS: usize = 1024;

/// A hop, by a number that is given again only when another has gone.
pub type HopNr = usize;

/// An attempt with a worker, or offered to one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment<B> {
    /// The attempt.
    pub attempt: B,
    /// The function that it is to be run as.
    pub function: String,
    /// The handle under which the worker speaks of it.
    pub handle: String,
    /// The worker's own limit, in seconds; 0: none.
    pub timeout: u32,
}

/// What an offer has led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offered {
    /// This connection sleeps: NOOP is to be sent, and it is expected to ask.
    Wake(ConnId),
    /// This connection is awake, and is expected to ask.
    Awaited(ConnId),
    /// This connection has asked already: it can be given the attempt at once.
    Asked(ConnId),
    /// No connection of the hop is free and can do it.
    Full,
}

/// What a connection that reports on a handle has at hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work<B> {
    /// This attempt.
    Attempt(B),
    /// An attempt that was given up: what is told of it meets nobody.
    Orphan,
    /// Nothing of this handle: it is another's, or long over.
    Strange,
}

/// What became of an attempt whose connection has gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lost<B> {
    /// It was only offered: it has never run.
    Offered(B),
    /// It was assigned.
    Assigned(B),
}

/// A hop as it is now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Its number.
    pub nr: HopNr,
    /// Its client id.
    pub name: String,
    /// It has connections.
    pub here: bool,
    /// Connections that can be given work, now or after what they have.
    pub lanes: usize,
    /// What it can do.
    pub functions: BTreeSet<String>,
    /// When its first connection asked for work, on the host's clock.
    pub since: u64,
}

/// A connection, for the list of workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed<'a> {
    /// Which.
    pub conn: ConnId,
    /// Its client id.
    pub id: Option<&'a str>,
    /// What it can do.
    pub functions: Vec<&'a str>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Pull<B> {
    /// It has not asked for work yet: no lane.
    Quiet,
    /// It asked, got nothing, and will ask again or go to sleep.
    Awake,
    /// It asks, and has no answer yet.
    Asking(PacketType),
    Asleep,
    /// It did not ask when it was woken, and gets nothing until it does.
    Stuck,
    /// It runs something; `None`: something that was given up.
    Busy(String, Option<B>),
}

struct Conn<B> {
    id: Option<String>,
    abilities: BTreeMap<String, u32>,
    pull: Pull<B>,
    hop: Option<String>,
    offer: Option<Assignment<B>>,
}

impl<B> Conn<B> {
    fn lane(&self) -> bool {
        !matches!(self.pull, Pull::Quiet | Pull::Stuck | Pull::Busy(_, None))
    }

    fn free(&self) -> bool {
        self.offer.is_none() && matches!(self.pull, Pull::Awake | Pull::Asking(_) | Pull::Asleep)
    }
}

struct Hop {
    nr: HopNr,
    conns: Vec<ConnId>,
    since: u64,
}

/// See the head of this file. `B` is what a host calls an attempt by.
pub struct Fleet<B> {
    conns: HashMap<ConnId, Conn<B>>,
    hops: HashMap<String, Hop>,
    names: HashMap<HopNr, String>,
    /// Numbers of hops that have gone, the longest ago first, and what they were called.
    gone: VecDeque<(HopNr, String)>,
    next: HopNr,
    /// Hops that have changed since they were last asked for.
    changed: BTreeMap<HopNr, String>,
}

impl<B> Default for Fleet<B> {
    fn default() -> Self {
        Fleet {
            conns: HashMap::new(),
            hops: HashMap::new(),
            names: HashMap::new(),
            gone: VecDeque::new(),
            next: 0,
            changed: BTreeMap::new(),
        }
    }
}

/// A connection that has asked for work and cannot be a lane: too many hops are there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{HOPS} workers are connected already")]
pub struct TooMany;

impl<B: Copy + PartialEq> Fleet<B> {
    fn conn(&mut self, conn: ConnId) -> &mut Conn<B> {
        self.conns.entry(conn).or_insert_with(|| Conn {
            id: None,
            abilities: BTreeMap::new(),
            pull: Pull::Quiet,
            hop: None,
            offer: None,
        })
    }

    /// The connection has behaved as a worker: a name alone makes none.
    pub fn knows(&self, conn: ConnId) -> bool {
        self.conns.get(&conn).is_some_and(|conn| conn.hop.is_some() || !conn.abilities.is_empty())
    }

    /// A connection can do a function, within so many seconds (0: in any time). Tells whether there was room for it.
    pub fn can_do(&mut self, conn: ConnId, function: &str, timeout: u32) -> bool {
        let abilities = &mut self.conn(conn).abilities;
        if abilities.len() >= ABILITIES && !abilities.contains_key(function) {
            return false;
        }
        abilities.insert(function.to_owned(), timeout);
        self.touch(conn);
        true
    }

    /// A connection can do a function no longer. Gives back an attempt that was offered to it and cannot go there now.
    pub fn cant_do(&mut self, conn: ConnId, function: &str) -> Option<B> {
        self.conns.get_mut(&conn)?.abilities.remove(function);
        self.touch(conn);
        self.withdraw(conn, |offer| offer.function == function)
    }

    /// A connection can do nothing any more. Gives back an attempt that was offered to it.
    pub fn reset(&mut self, conn: ConnId) -> Option<B> {
        self.conns.get_mut(&conn)?.abilities.clear();
        self.touch(conn);
        self.withdraw(conn, |_| true)
    }

    fn withdraw(&mut self, conn: ConnId, which: impl Fn(&Assignment<B>) -> bool) -> Option<B> {
        self.conns.get_mut(&conn)?.offer.take_if(|offer| which(offer)).map(|offer| offer.attempt)
    }

    /// A connection names itself. Tells whether it could: not while it has a job.
    pub fn name(&mut self, conn: ConnId, id: &str, now: u64) -> bool {
        let known = self.conn(conn);
        if matches!(known.pull, Pull::Busy(..)) || known.offer.is_some() {
            return known.id.as_deref() == Some(id);
        }
        known.id = Some(id.to_owned());
        let lane = known.hop.is_some();
        if lane {
            self.leave(conn);
            // The place that it left makes room, so there is one.
            let _ = self.join(conn, now);
        }
        true
    }

    /// A connection has asked for work or gone to sleep: it is a lane from now on.
    fn join(&mut self, conn: ConnId, now: u64) -> Result<(), TooMany> {
        let known = self.conn(conn);
        let stuck = known.pull == Pull::Stuck;
        if known.hop.is_none() {
            let name = known.id.clone().unwrap_or_else(|| format!("connection {conn}"));
            if !self.hops.contains_key(&name) {
                let nr = self.number(&name).ok_or(TooMany)?;
                self.names.insert(nr, name.clone());
                self.hops.insert(name.clone(), Hop { nr, conns: Vec::new(), since: now });
            }
            if let Some(hop) = self.hops.get_mut(&name) {
                hop.conns.push(conn);
            }
            self.conn(conn).hop = Some(name);
            self.touch(conn);
        } else if stuck {
            self.conn(conn).pull = Pull::Awake;
            self.touch(conn);
        }
        Ok(())
    }

    /// A number for a hop: the one that it had, a new one, or that of the one gone longest.
    fn number(&mut self, name: &str) -> Option<HopNr> {
        if let Some(at) = self.gone.iter().position(|(_, known)| known == name) {
            return self.gone.remove(at).map(|(nr, _)| nr);
        }
        if self.next < HOPS {
            self.next += 1;
            return Some(self.next - 1);
        }
        self.gone.pop_front().map(|(nr, _)| nr)
    }

    /// A connection goes to sleep. Tells whether it is to be woken at once: something waits for it.
    ///
    /// # Errors
    /// Too many workers are there.
    pub fn sleep(&mut self, conn: ConnId, now: u64) -> Result<bool, TooMany> {
        self.join(conn, now)?;
        let known = self.conn(conn);
        if !matches!(known.pull, Pull::Busy(..)) {
            known.pull = Pull::Asleep;
        }
        Ok(known.offer.is_some())
    }

    /// A connection asks for work. Tells whether it may have some: not while it has a job. Its answer is due once
    /// the attempts of this turn are offered (see [`Fleet::assign`]).
    ///
    /// # Errors
    /// Too many workers are there.
    pub fn ask(&mut self, conn: ConnId, how: PacketType, now: u64) -> Result<bool, TooMany> {
        self.join(conn, now)?;
        let known = self.conn(conn);
        if matches!(known.pull, Pull::Busy(..)) {
            return Ok(false);
        }
        known.pull = Pull::Asking(how);
        Ok(true)
    }

    /// Offers an attempt to a hop, as one of these functions. The connection that is expected to take it is the one that
    /// is nearest to asking.
    pub fn offer(&mut self, nr: HopNr, attempt: B, functions: &[&str], handle: &str) -> Offered {
        let Some(hop) = self.names.get(&nr).and_then(|name| self.hops.get(name)) else {
            return Offered::Full;
        };
        let can = |conn: &Conn<B>| functions.iter().find(|name| conn.abilities.contains_key(**name)).copied();
        let near = |conn: &Conn<B>| match conn.pull {
            Pull::Asking(_) => 0,
            Pull::Asleep => 1,
            _ => 2,
        };
        let fit = |id: &&ConnId| self.conns.get(id).is_some_and(|conn| conn.free() && can(conn).is_some());
        let Some(id) = hop.conns.iter().filter(fit).min_by_key(|id| near(&self.conns[id])).copied() else {
            return Offered::Full;
        };
        let conn = self.conn(id);
        let Some(function) = can(conn) else { return Offered::Full };
        let timeout = conn.abilities.get(function).copied().unwrap_or(0);
        let (function, handle) = (function.to_owned(), handle.to_owned());
        conn.offer = Some(Assignment { attempt, function, handle, timeout });
        match conn.pull {
            Pull::Asking(_) => Offered::Asked(id),
            Pull::Asleep => {
                conn.pull = Pull::Awake;
                Offered::Wake(id)
            }
            _ => Offered::Awaited(id),
        }
    }

    /// Answers a connection that asks: with what is offered to it, or to another of its hop that has not asked yet.
    /// `None`: it is told that there is nothing. Gives how it asked, and the connection that is expected no longer.
    pub fn assign(&mut self, conn: ConnId) -> Option<(PacketType, Assignment<B>, ConnId)> {
        let Pull::Asking(how) = self.conns.get(&conn)?.pull else { return None };
        let own = self.conns.get(&conn).is_some_and(|conn| conn.offer.is_some());
        let from = if own { Some(conn) } else { self.neighbour(conn) };
        let offer = from.and_then(|from| self.conns.get_mut(&from)?.offer.take());
        let known = self.conns.get_mut(&conn)?;
        let (Some(offer), Some(from)) = (offer, from) else {
            known.pull = Pull::Awake;
            return None;
        };
        known.pull = Pull::Busy(offer.handle.clone(), Some(offer.attempt));
        Some((how, offer, from))
    }

    /// A connection of the same hop whose offer this one could take.
    fn neighbour(&self, conn: ConnId) -> Option<ConnId> {
        let asking = self.conns.get(&conn)?;
        let hop = self.hops.get(asking.hop.as_ref()?)?;
        let fits = |other: &&ConnId| {
            let offer = self.conns.get(other).and_then(|other| other.offer.as_ref());
            offer.is_some_and(|offer| asking.abilities.contains_key(&offer.function))
        };
        hop.conns.iter().filter(|&&other| other != conn).find(fits).copied()
    }

    /// A connection that was woken has not asked. Gives back what was offered to it: it has never run.
    pub fn expire(&mut self, conn: ConnId) -> Option<B> {
        let known = self.conns.get_mut(&conn)?;
        let offer = known.offer.take()?;
        known.pull = Pull::Stuck;
        self.touch(conn);
        Some(offer.attempt)
    }

    /// What a connection has at hand under this handle.
    pub fn work(&self, conn: ConnId, handle: &[u8]) -> Work<B> {
        match self.conns.get(&conn).map(|conn| &conn.pull) {
            Some(Pull::Busy(own, attempt)) if own.as_bytes() == handle => match attempt {
                Some(attempt) => Work::Attempt(*attempt),
                None => Work::Orphan,
            },
            _ => Work::Strange,
        }
    }

    /// The attempt that a connection runs.
    pub fn running(&self, conn: ConnId) -> Option<B> {
        match self.conns.get(&conn)?.pull {
            Pull::Busy(_, attempt) => attempt,
            _ => None,
        }
    }

    /// A connection has done with what it has at hand.
    pub fn done(&mut self, conn: ConnId) {
        let Some(known) = self.conns.get_mut(&conn) else { return };
        let orphan = matches!(known.pull, Pull::Busy(_, None));
        if matches!(known.pull, Pull::Busy(..)) {
            known.pull = Pull::Awake;
        }
        if orphan {
            self.touch(conn);
        }
    }

    /// An attempt is given up. Its connection, if it was assigned, stays busy until it says that it is done, for there
    /// is no word to call it off; gives that connection, or the one that it was offered to.
    pub fn give_up(&mut self, attempt: B) -> Option<ConnId> {
        let has = |conn: &Conn<B>| {
            conn.offer.as_ref().is_some_and(|offer| offer.attempt == attempt)
                || matches!(&conn.pull, Pull::Busy(_, Some(own)) if *own == attempt)
        };
        let id = self.conns.iter().find(|(_, conn)| has(conn)).map(|(&id, _)| id)?;
        let conn = self.conns.get_mut(&id)?;
        if conn.offer.take_if(|offer| offer.attempt == attempt).is_none()
            && let Pull::Busy(_, own) = &mut conn.pull
        {
            *own = None;
            self.touch(id);
        }
        Some(id)
    }

    /// A connection has gone. Gives what it leaves behind.
    pub fn close(&mut self, conn: ConnId) -> Option<Lost<B>> {
        self.leave(conn);
        let known = self.conns.remove(&conn)?;
        match (known.offer, known.pull) {
            (Some(offer), _) => Some(Lost::Offered(offer.attempt)),
            (None, Pull::Busy(_, Some(attempt))) => Some(Lost::Assigned(attempt)),
            _ => None,
        }
    }

    fn leave(&mut self, conn: ConnId) {
        self.touch(conn);
        let Some(name) = self.conns.get_mut(&conn).and_then(|conn| conn.hop.take()) else { return };
        let Some(hop) = self.hops.get_mut(&name) else { return };
        hop.conns.retain(|&other| other != conn);
        if hop.conns.is_empty() {
            let nr = hop.nr;
            self.hops.remove(&name);
            self.names.remove(&nr);
            self.gone.push_back((nr, name));
        }
    }

    fn touch(&mut self, conn: ConnId) {
        let name = self.conns.get(&conn).and_then(|conn| conn.hop.as_ref());
        if let Some((name, hop)) = name.and_then(|name| Some((name, self.hops.get(name)?))) {
            self.changed.insert(hop.nr, name.clone());
        }
    }

    /// The hops that have changed since the last time.
    pub fn changes(&mut self) -> Vec<Change> {
        let changed = std::mem::take(&mut self.changed);
        changed.into_iter().map(|(nr, name)| self.describe(nr, name)).collect()
    }

    fn describe(&self, nr: HopNr, name: String) -> Change {
        // The number may be another's by now: then this one has gone, and the other is told of by itself.
        let hop = self.hops.get(&name).filter(|hop| hop.nr == nr);
        let conns = || hop.into_iter().flat_map(|hop| &hop.conns).filter_map(|conn| self.conns.get(conn));
        Change {
            nr,
            here: hop.is_some(),
            lanes: conns().filter(|conn| conn.lane()).count(),
            functions: conns().flat_map(|conn| conn.abilities.keys().cloned()).collect(),
            since: hop.map_or(0, |hop| hop.since),
            name,
        }
    }

    /// Connections of a hop that are free now.
    pub fn free(&self, nr: HopNr) -> usize {
        let hop = self.names.get(&nr).and_then(|name| self.hops.get(name));
        let conns = hop.into_iter().flat_map(|hop| &hop.conns).filter_map(|conn| self.conns.get(conn));
        conns.filter(|conn| conn.free()).count()
    }

    /// How many connections can do a function.
    pub fn able(&self, function: &str) -> usize {
        self.conns.values().filter(|conn| conn.abilities.contains_key(function)).count()
    }

    /// All connections that have behaved as workers, in order.
    pub fn list(&self) -> Vec<Listed<'_>> {
        let mut all: Vec<Listed<'_>> = self
            .conns
            .iter()
            .map(|(&conn, known)| Listed {
                conn,
                id: known.id.as_deref(),
                functions: known.abilities.keys().map(String::as_str).collect(),
            })
            .collect();
        all.sort_by_key(|listed| listed.conn);
        all
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A hop of two connections that can look, both asleep.
    fn pair() -> Fleet<u32> {
        let mut fleet = Fleet::default();
        for conn in [1, 2] {
            assert!(fleet.name(conn, "w", 1) && fleet.can_do(conn, "look", 0));
            assert_eq!(fleet.sleep(conn, 50), Ok(false));
        }
        fleet
    }

    fn give(fleet: &mut Fleet<u32>, attempt: u32) -> ConnId {
        let Offered::Wake(conn) = fleet.offer(0, attempt, &["look"], &format!("H:{attempt}")) else {
            panic!("one sleeps")
        };
        assert_eq!(fleet.ask(conn, PacketType::GrabJob, 60), Ok(true));
        let (_, given, _) = fleet.assign(conn).expect("it was offered");
        assert_eq!(given.attempt, attempt);
        conn
    }

    fn lanes(fleet: &mut Fleet<u32>) -> Vec<(bool, usize, usize)> {
        fleet.changes().iter().map(|hop| (hop.here, hop.lanes, hop.functions.len())).collect()
    }

    #[test]
    fn connections_under_one_id_are_lanes_of_one_hop() {
        let mut fleet = pair();
        let changes = fleet.changes();
        assert_eq!((changes.len(), changes[0].lanes, changes[0].since), (1, 2, 50));
        assert_eq!(give(&mut fleet, 7), 1);
        assert_eq!(fleet.free(0), 1);
        assert!(matches!(fleet.offer(0, 8, &["look"], "H:8"), Offered::Wake(2)));
        assert_eq!(fleet.offer(0, 9, &["look"], "H:9"), Offered::Full);
        assert_eq!(fleet.close(2), Some(Lost::Offered(8)));
        assert_eq!(fleet.close(1), Some(Lost::Assigned(7)));
        assert_eq!(lanes(&mut fleet), [(false, 0, 0)]);
    }

    #[test]
    fn whichever_connection_asks_first_gets_what_the_hop_was_offered() {
        let mut fleet = pair();
        assert_eq!(fleet.offer(0, 7, &["look"], "H:7"), Offered::Wake(1));
        assert_eq!(fleet.ask(2, PacketType::GrabJobUniq, 60), Ok(true));
        let (how, given, from) = fleet.assign(2).expect("the other was offered it");
        assert_eq!((how, given.attempt, from), (PacketType::GrabJobUniq, 7, 1));
        assert_eq!(fleet.ask(1, PacketType::GrabJob, 60), Ok(true));
        assert_eq!(fleet.assign(1), None);
        assert_eq!(fleet.expire(1), None, "nothing is owed any more");
    }

    #[test]
    fn who_does_not_ask_when_woken_gets_nothing_until_it_does() {
        let mut fleet = pair();
        fleet.changes();
        assert_eq!(fleet.offer(0, 7, &["look"], "H:7"), Offered::Wake(1));
        assert_eq!(fleet.expire(1), Some(7));
        assert_eq!(lanes(&mut fleet), [(true, 1, 1)]);
        assert_eq!(fleet.offer(0, 8, &["look"], "H:8"), Offered::Wake(2));
        assert_eq!(fleet.offer(0, 9, &["look"], "H:9"), Offered::Full);
        assert_eq!(fleet.ask(1, PacketType::GrabJob, 60), Ok(true));
        assert_eq!(lanes(&mut fleet), [(true, 2, 1)]);
    }

    #[test]
    fn what_is_given_up_keeps_its_connection_busy_and_ends_nothing_newer() {
        let mut fleet = pair();
        assert_eq!(give(&mut fleet, 7), 1);
        fleet.changes();
        assert_eq!(fleet.give_up(7), Some(1));
        assert_eq!(lanes(&mut fleet), [(true, 1, 1)], "its lane is not dealt twice");
        assert_eq!(fleet.work(1, b"H:7"), Work::Orphan);
        assert_eq!(fleet.ask(1, PacketType::GrabJob, 60), Ok(false), "it has a job");
        fleet.done(1);
        assert_eq!(lanes(&mut fleet), [(true, 2, 1)]);
        assert_eq!(fleet.ask(1, PacketType::GrabJob, 60), Ok(true));
        assert_eq!(fleet.offer(0, 8, &["look"], "H:8"), Offered::Asked(1));
        assert!(fleet.assign(1).is_some());
        assert_eq!(fleet.work(1, b"H:7"), Work::Strange);
        assert_eq!(fleet.work(2, b"H:8"), Work::Strange, "it is another's");
        assert_eq!(fleet.work(1, b"H:8"), Work::Attempt(8));
    }

    #[test]
    fn abilities_that_are_taken_back_take_their_offers_along() {
        let mut fleet = pair();
        assert_eq!(fleet.offer(0, 7, &["look"], "H:7"), Offered::Wake(1));
        assert_eq!(fleet.cant_do(1, "look"), Some(7));
        assert_eq!(fleet.offer(0, 7, &["look"], "H:7"), Offered::Wake(2));
        assert_eq!(fleet.reset(2), Some(7));
        assert_eq!(fleet.offer(0, 7, &["look"], "H:7"), Offered::Full);
        assert_eq!(lanes(&mut fleet), [(true, 2, 0)]);
        assert!((0..ABILITIES).all(|nr| fleet.can_do(1, &nr.to_string(), 0)));
        assert!(!fleet.can_do(1, "one more", 0) && fleet.can_do(1, "5", 9));
    }

    #[test]
    fn an_id_that_returns_is_a_new_hop_under_its_old_number() {
        let mut fleet = pair();
        fleet.close(1);
        fleet.close(2);
        assert!(fleet.name(3, "other", 1));
        assert_eq!(fleet.sleep(3, 70), Ok(false));
        assert!(fleet.name(4, "w", 1));
        assert_eq!(fleet.sleep(4, 80), Ok(false));
        let numbers: Vec<_> = fleet.changes().iter().map(|hop| (hop.nr, hop.here, hop.since)).collect();
        assert_eq!(numbers, [(0, true, 80), (1, true, 70)]);
    }

    #[test]
    fn a_lane_that_names_itself_goes_over_to_its_new_hop_asleep_or_not() {
        let mut fleet: Fleet<u32> = Fleet::default();
        assert!(fleet.can_do(1, "look", 0));
        assert_eq!(fleet.sleep(1, 50), Ok(false));
        fleet.changes();
        assert!(fleet.name(1, "w", 60));
        let told: Vec<_> = fleet.changes().into_iter().map(|hop| (hop.nr, hop.name, hop.here)).collect();
        assert_eq!(told.last(), Some(&(1, "w".to_owned(), true)));
        assert!(matches!(fleet.offer(1, 7, &["look"], "H:7"), Offered::Wake(1)));
        assert!(!fleet.name(1, "v", 70), "it has a job");
    }

    #[test]
    fn numbers_are_bounded_however_many_come_and_go() {
        let mut fleet: Fleet<u32> = Fleet::default();
        for conn in 0..3 * HOPS {
            assert_eq!(fleet.sleep(conn, 1), Ok(false));
            fleet.close(conn);
        }
        assert!(fleet.changes().iter().all(|hop| hop.nr < HOPS));
        assert!((0..HOPS).all(|conn| fleet.sleep(conn, 1).is_ok()));
        assert_eq!(fleet.sleep(HOPS, 1), Err(TooMany));
    }
}
