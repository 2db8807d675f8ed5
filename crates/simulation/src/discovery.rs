//! Discovery: the list, its versions, and its watches, by the protocol page. One service for the whole fleet, which handles
//! calls in turn.

use crate::Micros;
use crate::encode::{self, ListMessage, WorkerLine};
use crate::plan::{MILLI, SECOND};
use calicolb::api::{KindIx, ListKind, Member, WorkerStatus, ZoneIx};
use calicolb::wire::worker_id;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Changes are told together at this interval.
pub(crate) const PUBLISH_INTERVAL: Micros = 200 * MILLI;
/// A watch brings an empty line after so long without any other.
pub(crate) const WATCH_KEEPALIVE: Micros = calicolb_freshness::KEEPALIVE_INTERVAL;
/// What a call takes, and what each line of its answer takes.
const CALL_TIME: Micros = MILLI;
const TIME_PER_LINE: Micros = 6;
/// A call that would wait longer is refused.
const MAX_CALL_WAIT: Micros = 2 * SECOND;
/// Versions whose changes are remembered: who held an older one gets the whole list.
const MAX_LOGGED_VERSIONS: usize = 64;

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
    last_written: Micros,
    last_arrival: Micros,
}

/// See the head of this file.
pub(crate) struct Discovery {
    pub(crate) zone: usize,
    seq: u64,
    lines: BTreeMap<u32, WorkerLine>,
    /// The zone and kind of each, as numbers.
    locations: BTreeMap<u32, (usize, usize)>,
    /// Lines that have changed since the last version was told.
    changed: BTreeSet<u32>,
    /// The versions of late, and the lines that each changed.
    change_log: Vec<(u64, Vec<u32>)>,
    busy_until: Micros,
    /// Open watches, by process.
    pub(crate) watches: BTreeMap<u32, Watch>,
    full_list: Option<Rc<Update>>,
}

impl Discovery {
    pub(crate) fn new(zone: usize) -> Self {
        Discovery {
            zone,
            seq: 1,
            lines: BTreeMap::new(),
            locations: BTreeMap::new(),
            changed: BTreeSet::new(),
            change_log: Vec::new(),
            busy_until: 0,
            watches: BTreeMap::new(),
            full_list: None,
        }
    }

    /// The line of a worker is this from now on.
    pub(crate) fn set_worker(&mut self, worker: u32, line: WorkerLine, place: (usize, usize)) {
        self.lines.insert(worker, line);
        self.locations.insert(worker, place);
        self.changed.insert(worker);
    }

    /// A worker's state changes in the list.
    pub(crate) fn set_health(&mut self, worker: u32, health: &'static str) {
        if let Some(line) = self.lines.get_mut(&worker).filter(|line| line.health != health) {
            line.health = health;
            self.changed.insert(worker);
        }
    }

    /// Changes wait to be told.
    pub(crate) fn has_changes(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Makes a version of what has changed; gives what all watches bring.
    pub(crate) fn publish(&mut self) -> Rc<Update> {
        self.seq += 1;
        let changed: Vec<u32> = std::mem::take(&mut self.changed).into_iter().collect();
        self.full_list = None;
        self.change_log.push((self.seq, changed.clone()));
        if self.change_log.len() > MAX_LOGGED_VERSIONS {
            self.change_log.remove(0);
        }
        let update = Rc::new(self.build_update(&changed, ListKind::Changes));
        for worker in changed {
            // It is told once that a worker has gone.
            if self.lines.get(&worker).is_some_and(|line| line.health == "terminated") {
                self.lines.remove(&worker);
            }
        }
        update
    }

    fn build_update(&self, workers: &[u32], kind: ListKind) -> Update {
        let lines: Vec<WorkerLine> =
            workers.iter().filter_map(|worker| self.lines.get(worker).cloned()).collect();
        let members = workers.iter().filter_map(|worker| {
            let (zone, kind) = self.locations.get(worker)?;
            Some(member(self.lines.get(worker)?, *zone, *kind))
        });
        let listing = ListMessage { seq: self.seq, whole: kind == ListKind::Full, hosts: &lines };
        Update {
            seq: self.seq,
            kind,
            members: members.collect(),
            bytes: encode::chunk(&listing.text()).len(),
        }
    }

    /// The whole list.
    pub(crate) fn whole_list(&mut self) -> Rc<Update> {
        if let Some(whole) = &self.full_list {
            return Rc::clone(whole);
        }
        let all: Vec<u32> = self.lines.keys().copied().collect();
        let whole = Rc::new(self.build_update(&all, ListKind::Full));
        self.full_list = Some(Rc::clone(&whole));
        whole
    }

    /// Lines that were changed after this version; `None` where that is not known any more, or some of them have gone.
    fn changed_since(&self, from: u64) -> Option<Vec<u32>> {
        let remembered = from == self.seq || self.change_log.first().is_some_and(|first| first.0 <= from + 1);
        let later = self.change_log.iter().filter(|(seq, _)| *seq > from).flat_map(|(_, changed)| changed);
        let changed: BTreeSet<u32> = later.copied().collect();
        let sound =
            remembered && from <= self.seq && changed.iter().all(|worker| self.lines.contains_key(worker));
        sound.then(|| changed.into_iter().collect())
    }

    /// A call for a watch has come: when it is answered; `None`: too many wait.
    pub(crate) fn schedule_call(&mut self, now: Micros, from: u64) -> Option<Micros> {
        let begin = self.busy_until.max(now);
        if begin > now + MAX_CALL_WAIT {
            return None;
        }
        let lines = self.changed_since(from).map_or(self.lines.len(), |changed| changed.len());
        self.busy_until = begin + CALL_TIME + TIME_PER_LINE * lines as Micros;
        Some(self.busy_until)
    }

    /// What a watch from this version on begins with: the changes since, or else the whole list.
    pub(crate) fn initial_update(&mut self, from: u64) -> Rc<Update> {
        match self.changed_since(from) {
            Some(changed) => Rc::new(self.build_update(&changed, ListKind::Changes)),
            None => self.whole_list(),
        }
    }

    /// A watch is open from now on.
    pub(crate) fn open_watch(&mut self, process: u32, call: u64, now: Micros) {
        self.watches.insert(process, Watch { call, last_written: now, last_arrival: 0 });
    }

    /// When something was last written on the watch of this call; `None`: it has ended.
    pub(crate) fn last_written(&self, process: u32, call: u64) -> Option<Micros> {
        self.watches.get(&process).filter(|watch| watch.call == call).map(|watch| watch.last_written)
    }

    /// Something is written on a watch, and is so long on its way: when it arrives, after all that was written before. With
    /// nobody there the watch ends.
    pub(crate) fn write_to_watch(
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
        watch.last_written = now;
        watch.last_arrival = watch.last_arrival.max(now + delay);
        Some(watch.last_arrival)
    }
}

fn member(line: &WorkerLine, zone: usize, kind: usize) -> Member {
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
