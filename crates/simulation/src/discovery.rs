//! Discovery: the list of workers, its versions, and its watches. One service for the whole fleet handles the requests one
//! after the other.

use crate::Micros;
use crate::encode::{self, ListMessage, WorkerLine};
use crate::plan::{MILLI, SECOND};
use calicolb::api::{KindIx, ListKind, Member, WorkerStatus, ZoneIx};
use calicolb::wire::worker_id;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Changes within this interval are published together as one version.
pub(crate) const PUBLISH_INTERVAL: Micros = 200 * MILLI;
/// A watch gets a keepalive, an empty line, after this time without another line.
pub(crate) const WATCH_KEEPALIVE: Micros = calicolb_freshness::KEEPALIVE_INTERVAL;
/// Processing time of a watch request.
const CALL_TIME: Micros = MILLI;
/// Additional processing time for each line of the response.
const TIME_PER_LINE: Micros = 6;
/// A watch request that would wait longer than this is refused.
const MAX_CALL_WAIT: Micros = 2 * SECOND;
/// Number of versions whose changes are kept. A watch from an older version begins with the whole list.
const MAX_LOGGED_VERSIONS: usize = 64;

/// A message on a watch: a version of the list, or the changes to it.
pub(crate) struct Update {
    pub(crate) seq: u64,
    pub(crate) kind: ListKind,
    pub(crate) members: Vec<Member>,
    /// Length on the watch, in bytes.
    pub(crate) bytes: usize,
}

/// An open watch of a scheduler process.
pub(crate) struct Watch {
    /// Number of the watch request that opened it.
    pub(crate) call: u64,
    /// Time of the last write.
    last_written: Micros,
    /// Time at which the last write arrives at the scheduler.
    last_arrival: Micros,
}

/// The discovery service.
pub(crate) struct Discovery {
    pub(crate) zone: usize,
    seq: u64,
    lines: BTreeMap<u32, WorkerLine>,
    /// Zone and kind of each worker, as indices.
    locations: BTreeMap<u32, (usize, usize)>,
    /// Workers whose lines have changed since the last version.
    changed: BTreeSet<u32>,
    /// The last versions, each with the workers whose lines it changed.
    change_log: Vec<(u64, Vec<u32>)>,
    /// Time until which the waiting requests keep the service busy.
    busy_until: Micros,
    /// Open watches, by scheduler process.
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

    /// Sets the line of a worker, and its zone and kind.
    pub(crate) fn set_worker(&mut self, worker: u32, line: WorkerLine, location: (usize, usize)) {
        self.lines.insert(worker, line);
        self.locations.insert(worker, location);
        self.changed.insert(worker);
    }

    /// Changes the health of a worker in the list.
    pub(crate) fn set_health(&mut self, worker: u32, health: &'static str) {
        if let Some(line) = self.lines.get_mut(&worker).filter(|line| line.health != health) {
            line.health = health;
            self.changed.insert(worker);
        }
    }

    /// True if reachable are unpublished changes.
    pub(crate) fn has_changes(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Makes a new version of the unpublished changes. Returns the update for all watches.
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
            // A terminated worker is published once and then removed.
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

    /// The whole list at the last published version.
    pub(crate) fn whole_list(&mut self) -> Rc<Update> {
        if let Some(whole) = &self.full_list {
            return Rc::clone(whole);
        }
        let all: Vec<u32> = self.lines.keys().copied().collect();
        let whole = Rc::new(self.build_update(&all, ListKind::Full));
        self.full_list = Some(Rc::clone(&whole));
        whole
    }

    /// Workers whose lines changed after version `from`. `None` if the log does not reach back that far, or if a changed
    /// worker has been removed since.
    fn changed_since(&self, from: u64) -> Option<Vec<u32>> {
        let remembered = from == self.seq || self.change_log.first().is_some_and(|first| first.0 <= from + 1);
        let later = self.change_log.iter().filter(|(seq, _)| *seq > from).flat_map(|(_, changed)| changed);
        let changed: BTreeSet<u32> = later.copied().collect();
        let known =
            remembered && from <= self.seq && changed.iter().all(|worker| self.lines.contains_key(worker));
        known.then(|| changed.into_iter().collect())
    }

    /// Takes a watch request. Returns the time of its answer, or `None` if too many requests are waiting.
    pub(crate) fn schedule_call(&mut self, now: Micros, from: u64) -> Option<Micros> {
        let begin = self.busy_until.max(now);
        if begin > now + MAX_CALL_WAIT {
            return None;
        }
        let lines = self.changed_since(from).map_or(self.lines.len(), |changed| changed.len());
        self.busy_until = begin + CALL_TIME + TIME_PER_LINE * lines as Micros;
        Some(self.busy_until)
    }

    /// The first update of a watch from version `from` on: the changes since, or the whole list if they are not known.
    pub(crate) fn initial_update(&mut self, from: u64) -> Rc<Update> {
        match self.changed_since(from) {
            Some(changed) => Rc::new(self.build_update(&changed, ListKind::Changes)),
            None => self.whole_list(),
        }
    }

    /// Registers an open watch.
    pub(crate) fn open_watch(&mut self, process: u32, call: u64, now: Micros) {
        self.watches.insert(process, Watch { call, last_written: now, last_arrival: 0 });
    }

    /// Time of the last write on the watch that this request opened, or `None` if the watch has ended.
    pub(crate) fn last_written(&self, process: u32, call: u64) -> Option<Micros> {
        self.watches.get(&process).filter(|watch| watch.call == call).map(|watch| watch.last_written)
    }

    /// Writes on a watch with a transit time of `delay`. Returns the arrival time, which is never before that of an earlier
    /// write. The watch ends if `reachable` is false.
    pub(crate) fn write_to_watch(
        &mut self,
        process: u32,
        now: Micros,
        delay: Micros,
        reachable: bool,
    ) -> Option<Micros> {
        if !reachable {
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
