//! Workers: slots, a queue, a cold ramp, load reports, and what becomes of the tasks when one ends.

use crate::Micros;
use crate::plan::{COLD, MILLI, START_CAPACITY};
use calicolb::api::Report;
use std::collections::{BTreeMap, VecDeque};

/// Waiting tasks, as a multiple of the slots: any more are turned away.
const QUEUE: usize = 2;

/// A report is made at this interval, and told from so long after that on.
const REPORT_EVERY: Micros = 700 * MILLI;
const REPORT_DELAY: Micros = 200 * MILLI;

/// Where an attempt came from: a process and its number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Origin {
    pub(crate) process: u32,
    pub(crate) request: u32,
    pub(crate) attempt: u32,
}

/// A task that a worker took.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(crate) origin: Origin,
    pub(crate) job: u32,
    pub(crate) slots: u32,
    pub(crate) work: f64,
    /// When it started, and when it will be done.
    pub(crate) runs: Option<(Micros, Micros)>,
}

/// Whether a worker can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Life {
    /// It serves.
    Up,
    /// Its process has gone; its machine says so.
    Ended,
    /// Its machine has gone, without a sign.
    Vanished,
}

/// See the head of this file.
pub(crate) struct Worker {
    /// Its number for the schedulers, and its name in the list.
    pub(crate) name: String,
    pub(crate) zone: usize,
    pub(crate) kind: usize,
    pub(crate) cell: u32,
    pub(crate) slots: u32,
    pub(crate) speed: f64,
    pub(crate) life: Life,
    pub(crate) draining: bool,
    pub(crate) born: Option<Micros>,
    /// Counts its processes: what was set for one before does not concern this one.
    pub(crate) incarnation: u32,
    pub(crate) tasks: BTreeMap<u64, Task>,
    waiting: VecDeque<u64>,
    busy: u32,
    /// Its load of late, from when on.
    loads: VecDeque<(Micros, Load)>,
}

/// Tasks in hand, those of them that wait, and free slots.
pub(crate) type Load = (usize, usize, usize);

impl Worker {
    pub(crate) fn new(name: String, zone: usize, kind: usize, cell: u32, slots: u32, speed: f64) -> Self {
        Worker {
            name,
            zone,
            kind,
            cell,
            slots,
            speed,
            life: Life::Up,
            draining: false,
            born: None,
            incarnation: 0,
            tasks: BTreeMap::new(),
            waiting: VecDeque::new(),
            busy: 0,
            loads: VecDeque::new(),
        }
    }

    /// The part of its capacity that it has so long after its start.
    pub(crate) fn warmth(&self, now: Micros) -> f64 {
        let age = self.born.map_or(COLD, |born| now.saturating_sub(born)).min(COLD);
        START_CAPACITY + (1.0 - START_CAPACITY) * age as f64 / COLD as f64
    }

    /// Takes a task, or turns it away.
    pub(crate) fn take(&mut self, now: Micros, number: u64, task: Task) -> bool {
        if self.draining || task.slots > self.slots || self.waiting.len() >= QUEUE * self.slots as usize {
            return false;
        }
        self.waiting.push_back(number);
        self.tasks.insert(number, task);
        self.note_load(now);
        true
    }

    /// Starts what fits, in order of arrival; gives what has started, and when it will be done.
    pub(crate) fn start(&mut self, now: Micros) -> Vec<(u64, Micros)> {
        let pace = self.speed * self.warmth(now);
        let mut started = Vec::new();
        while let Some(&number) = self.waiting.front() {
            let Some(task) = self.tasks.get_mut(&number) else { break };
            if self.busy + task.slots > self.slots {
                break;
            }
            let end = now + (task.work / pace).max(1.0) as Micros;
            task.runs = Some((now, end));
            self.busy += task.slots;
            self.waiting.pop_front();
            started.push((number, end));
        }
        self.note_load(now);
        started
    }

    /// A task is over: it is done, or given up.
    pub(crate) fn remove(&mut self, now: Micros, number: u64) -> Option<Task> {
        let task = self.tasks.remove(&number)?;
        if task.runs.is_some() {
            self.busy -= task.slots;
        } else {
            self.waiting.retain(|&waiting| waiting != number);
        }
        self.note_load(now);
        Some(task)
    }

    /// The task that came from there.
    pub(crate) fn find(&self, origin: Origin) -> Option<u64> {
        self.tasks.iter().find(|(_, task)| task.origin == origin).map(|(&number, _)| number)
    }

    /// It ends; gives its tasks and their numbers.
    pub(crate) fn end(&mut self, life: Life) -> BTreeMap<u64, Task> {
        self.life = life;
        self.incarnation += 1;
        self.busy = 0;
        self.waiting.clear();
        self.loads.clear();
        std::mem::take(&mut self.tasks)
    }

    /// It starts anew, cold.
    pub(crate) fn rise(&mut self, now: Micros) {
        self.life = Life::Up;
        self.draining = false;
        self.born = Some(now);
    }

    fn note_load(&mut self, now: Micros) {
        let load = (self.tasks.len(), self.waiting.len(), (self.slots - self.busy) as usize);
        match self.loads.back_mut() {
            Some(last) if last.0 == now => last.1 = load,
            _ => self.loads.push_back((now, load)),
        }
        let oldest = now.saturating_sub(REPORT_EVERY + REPORT_DELAY);
        while self.loads.get(1).is_some_and(|next| next.0 <= oldest) {
            self.loads.pop_front();
        }
    }

    /// Its load by its last report: as real ones it is of some time ago.
    pub(crate) fn load(&self, now: Micros) -> Load {
        let phase = u64::from(self.cell) * 37 * MILLI % REPORT_EVERY;
        let made = (now - REPORT_DELAY - phase) / REPORT_EVERY * REPORT_EVERY + phase;
        let then = self.loads.iter().rev().find(|load| load.0 <= made);
        then.map_or((0, 0, self.slots as usize), |load| load.1)
    }

    /// Its load report.
    pub(crate) fn report(&self, now: Micros) -> Report {
        let (inflight, queue, free) = self.load(now);
        Report {
            outstanding: Some(inflight as f64),
            backlog: Some(queue as f64),
            free_slots: Some(free as f64),
            ..Report::default()
        }
    }
}
