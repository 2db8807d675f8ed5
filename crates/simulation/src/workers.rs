//! Workers: slots, a queue, a cold ramp, load reports, and what becomes of the tasks when one ends.

use crate::Micros;
use crate::plan::{MILLI, START_CAPACITY, WARM_UP_TIME};
use calicolb::api::Report;
use std::collections::{BTreeMap, VecDeque};

/// Waiting tasks, as a multiple of the slots: any more are turned away.
const QUEUE_PER_SLOT: usize = 2;

/// A report is made at this interval, and told from so long after that on.
const REPORT_INTERVAL: Micros = 700 * MILLI;
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
    pub(crate) run_span: Option<(Micros, Micros)>,
}

/// Whether a worker can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkerState {
    /// It serves.
    Up,
    /// Its process has gone; its machine says so.
    Stopped,
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
    pub(crate) state: WorkerState,
    pub(crate) draining: bool,
    pub(crate) started_at: Option<Micros>,
    /// Counts its processes: what was set for one before does not concern this one.
    pub(crate) incarnation: u32,
    pub(crate) tasks: BTreeMap<u64, Task>,
    queue: VecDeque<u64>,
    busy_slots: u32,
    /// Its load of late, from when on.
    load_history: VecDeque<(Micros, Load)>,
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
            state: WorkerState::Up,
            draining: false,
            started_at: None,
            incarnation: 0,
            tasks: BTreeMap::new(),
            queue: VecDeque::new(),
            busy_slots: 0,
            load_history: VecDeque::new(),
        }
    }

    /// The part of its capacity that it has so long after its start.
    pub(crate) fn capacity_fraction(&self, now: Micros) -> f64 {
        let age = self.started_at.map_or(WARM_UP_TIME, |born| now.saturating_sub(born)).min(WARM_UP_TIME);
        START_CAPACITY + (1.0 - START_CAPACITY) * age as f64 / WARM_UP_TIME as f64
    }

    /// Takes a task, or turns it away.
    pub(crate) fn accept(&mut self, now: Micros, number: u64, task: Task) -> bool {
        if self.draining
            || task.slots > self.slots
            || self.queue.len() >= QUEUE_PER_SLOT * self.slots as usize
        {
            return false;
        }
        self.queue.push_back(number);
        self.tasks.insert(number, task);
        self.record_load(now);
        true
    }

    /// Starts what fits, in order of arrival; gives what has started, and when it will be done.
    pub(crate) fn start_tasks(&mut self, now: Micros) -> Vec<(u64, Micros)> {
        let pace = self.speed * self.capacity_fraction(now);
        let mut started = Vec::new();
        while let Some(&number) = self.queue.front() {
            let Some(task) = self.tasks.get_mut(&number) else { break };
            if self.busy_slots + task.slots > self.slots {
                break;
            }
            let end = now + (task.work / pace).max(1.0) as Micros;
            task.run_span = Some((now, end));
            self.busy_slots += task.slots;
            self.queue.pop_front();
            started.push((number, end));
        }
        self.record_load(now);
        started
    }

    /// A task is over: it is done, or given up.
    pub(crate) fn remove_task(&mut self, now: Micros, number: u64) -> Option<Task> {
        let task = self.tasks.remove(&number)?;
        if task.run_span.is_some() {
            self.busy_slots -= task.slots;
        } else {
            self.queue.retain(|&waiting| waiting != number);
        }
        self.record_load(now);
        Some(task)
    }

    /// The task that came from there.
    pub(crate) fn find_task(&self, origin: Origin) -> Option<u64> {
        self.tasks.iter().find(|(_, task)| task.origin == origin).map(|(&number, _)| number)
    }

    /// It ends; gives its tasks and their numbers.
    pub(crate) fn stop(&mut self, life: WorkerState) -> BTreeMap<u64, Task> {
        self.state = life;
        self.incarnation += 1;
        self.busy_slots = 0;
        self.queue.clear();
        self.load_history.clear();
        std::mem::take(&mut self.tasks)
    }

    /// It starts anew, cold.
    pub(crate) fn restart(&mut self, now: Micros) {
        self.state = WorkerState::Up;
        self.draining = false;
        self.started_at = Some(now);
    }

    fn record_load(&mut self, now: Micros) {
        let load = (self.tasks.len(), self.queue.len(), (self.slots - self.busy_slots) as usize);
        match self.load_history.back_mut() {
            Some(last) if last.0 == now => last.1 = load,
            _ => self.load_history.push_back((now, load)),
        }
        let oldest = now.saturating_sub(REPORT_INTERVAL + REPORT_DELAY);
        while self.load_history.get(1).is_some_and(|next| next.0 <= oldest) {
            self.load_history.pop_front();
        }
    }

    /// Its load by its last report: as real ones it is of some time ago.
    pub(crate) fn reported_load(&self, now: Micros) -> Load {
        let phase = u64::from(self.cell) * 37 * MILLI % REPORT_INTERVAL;
        let made = (now - REPORT_DELAY - phase) / REPORT_INTERVAL * REPORT_INTERVAL + phase;
        let then = self.load_history.iter().rev().find(|load| load.0 <= made);
        then.map_or((0, 0, self.slots as usize), |load| load.1)
    }

    /// Its load report.
    pub(crate) fn load_report(&self, now: Micros) -> Report {
        let (inflight, queue, free) = self.reported_load(now);
        Report {
            outstanding: Some(inflight as f64),
            backlog: Some(queue as f64),
            free_slots: Some(free as f64),
            ..Report::default()
        }
    }
}
