//! Discovery: the list, its versions, and its watches, by the protocol page. One service for the whole fleet, which handles
//! calls in turn.

use crate::Micros;
use crate::encode::{self, Line, Listing};
use crate::plan::{MILLI, SECOND};
use calicolb::api::{KindIx, ListKind, Member, WorkerStatus, ZoneIx};
use calicolb::wire::worker_id;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Changes are told together at this interval.
pub(crate) const GATHER: Micros = 200 * MILLI;
/// A watch brings an empty line after so long without any other.
pub(crate) const BEAT: Micros = calicolb_freshness::KEEPALIVE_INTERVAL;
/// What a call takes, and what each line of its answer takes.
const CALL: Micros = MILLI;
const LINE: Micros = 6;
/// A call that would wait longer is refused.
const PATIENCE: Micros = 2 * SECOND;
/// Versions whose changes are remembered: who held an older one gets the whole list.
const REMEMBERED: usize = 64;

/// What discovery tells one scheduler.
pub(crate) struct Update {
    pub(crate) seq: u64,
    pub(crate) kind: ListKind,
    pub(crate) members: Vec<Member>,
    /// Its bytes on a watch.
    pub(crate) bytes: usize,
}

/// An open watch.
pub(crate) struct Watch {
    /// The call that opened it.
    pub(crate) call: u64,
    /// When something was last written on it, and when that arrives.
    wrote: Micros,
    arrives: Micros,
}

/// See the head of this file.
pub(crate) struct Discovery {
    pub(crate) zone: usize,
    seq: u64,
    lines: BTreeMap<u32, Line>,
    /// The zone and kind of each, as numbers.
    places: BTreeMap<u32, (usize, usize)>,
    /// Lines that have changed since the last version was told.
    changed: BTreeSet<u32>,
    /// The versions of late, and the lines that each changed.
    log: Vec<(u64, Vec<u32>)>,
    busy: Micros,
    /// Open watches, by process.
    pub(crate) watches: BTreeMap<u32, Watch>,
    whole: Option<Rc<Update>>,
}

impl Discovery {
    pub(crate) fn new(zone: usize) -> Self {
        Discovery {
            zone,
            seq: 1,
            lines: BTreeMap::new(),
            places: BTreeMap::new(),
            changed: BTreeSet::new(),
            log: Vec::new(),
            busy: 0,
            watches: BTreeMap::new(),
            whole: None,
        }
    }

    /// The line of a worker is this from now on.
    pub(crate) fn set(&mut self, worker: u32, line: Line, place: (usize, usize)) {
        self.lines.insert(worker, line);
        self.places.insert(worker, place);
        self.changed.insert(worker);
    }

    /// A worker's state changes in the list.
    pub(crate) fn health(&mut self, worker: u32, health: &'static str) {
        if let Some(line) = self.lines.get_mut(&worker).filter(|line| line.health != health) {
            line.health = health;
            self.changed.insert(worker);
        }
    }

    /// Changes wait to be told.
    pub(crate) fn stale(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Makes a version of what has changed; gives what all watches bring.
    pub(crate) fn flush(&mut self) -> Rc<Update> {
        self.seq += 1;
        let changed: Vec<u32> = std::mem::take(&mut self.changed).into_iter().collect();
        self.whole = None;
        self.log.push((self.seq, changed.clone()));
        if self.log.len() > REMEMBERED {
            self.log.remove(0);
        }
        let update = Rc::new(self.write(&changed, ListKind::Changes));
        for worker in changed {
            // It is told once that a worker has gone.
            if self.lines.get(&worker).is_some_and(|line| line.health == "terminated") {
                self.lines.remove(&worker);
            }
        }
        update
    }

    fn write(&self, workers: &[u32], kind: ListKind) -> Update {
        let lines: Vec<Line> = workers.iter().filter_map(|worker| self.lines.get(worker).cloned()).collect();
        let members = workers.iter().filter_map(|worker| {
            let (zone, kind) = self.places.get(worker)?;
            Some(member(self.lines.get(worker)?, *zone, *kind))
        });
        let listing = Listing { seq: self.seq, whole: kind == ListKind::Full, hosts: &lines };
        Update {
            seq: self.seq,
            kind,
            members: members.collect(),
            bytes: encode::chunk(&listing.text()).len(),
        }
    }

    /// The whole list.
    pub(crate) fn list(&mut self) -> Rc<Update> {
        if let Some(whole) = &self.whole {
            return Rc::clone(whole);
        }
        let all: Vec<u32> = self.lines.keys().copied().collect();
        let whole = Rc::new(self.write(&all, ListKind::Full));
        self.whole = Some(Rc::clone(&whole));
        whole
    }

    /// Lines that were changed after this version; `None` where that is not known any more, or some of them have gone.
    fn since(&self, from: u64) -> Option<Vec<u32>> {
        let remembered = from == self.seq || self.log.first().is_some_and(|first| first.0 <= from + 1);
        let later = self.log.iter().filter(|(seq, _)| *seq > from).flat_map(|(_, changed)| changed);
        let changed: BTreeSet<u32> = later.copied().collect();
        let sound =
            remembered && from <= self.seq && changed.iter().all(|worker| self.lines.contains_key(worker));
        sound.then(|| changed.into_iter().collect())
    }

    /// A call for a watch has come: when it is answered; `None`: too many wait.
    pub(crate) fn call(&mut self, now: Micros, from: u64) -> Option<Micros> {
        let begin = self.busy.max(now);
        if begin > now + PATIENCE {
            return None;
        }
        let lines = self.since(from).map_or(self.lines.len(), |changed| changed.len());
        self.busy = begin + CALL + LINE * lines as Micros;
        Some(self.busy)
    }

    /// What a watch from this version on begins with: the changes since, or else the whole list.
    pub(crate) fn answer(&mut self, from: u64) -> Rc<Update> {
        match self.since(from) {
            Some(changed) => Rc::new(self.write(&changed, ListKind::Changes)),
            None => self.list(),
        }
    }

    /// A watch is open from now on.
    pub(crate) fn open(&mut self, process: u32, call: u64, now: Micros) {
        self.watches.insert(process, Watch { call, wrote: now, arrives: 0 });
    }

    /// When something was last written on the watch of this call; `None`: it has ended.
    pub(crate) fn wrote(&self, process: u32, call: u64) -> Option<Micros> {
        self.watches.get(&process).filter(|watch| watch.call == call).map(|watch| watch.wrote)
    }

    /// Something is written on a watch, and is so long on its way: when it arrives, after all that was written before. With
    /// nobody there the watch ends.
    pub(crate) fn write_on(
        &mut self,
        process: u32,
        now: Micros,
        delay: Micros,
        there: bool,
    ) -> Option<Micros> {
        if !there {
            self.watches.remove(&process);
            return None;
        }
        let watch = self.watches.get_mut(&process)?;
        watch.wrote = now;
        watch.arrives = watch.arrives.max(now + delay);
        Some(watch.arrives)
    }
}

fn member(line: &Line, zone: usize, kind: usize) -> Member {
    Member {
        worker: worker_id(&line.host),
        zone: ZoneIx(zone),
        kind: KindIx(kind),
        cell: line.block,
        status: match line.health {
            "in_service" => WorkerStatus::On,
            "terminating" => WorkerStatus::Draining,
            _ => WorkerStatus::Gone,
        },
        weight: line.share,
        started: Some(line.born_ms * 1_000).filter(|&at| at > 0),
        lanes: None,
        refuses: 0,
    }
}
