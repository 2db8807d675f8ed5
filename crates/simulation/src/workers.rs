//! Workers: slots, a queue, warm-up after a start, load reports, and the end of the tasks when a worker stops.

use crate::Micros;
use crate::plan::{MILLI, START_CAPACITY, WARM_UP_TIME};
use calicolb::api::Report;
use std::collections::{BTreeMap, VecDeque};

/// Capacity of the queue, as a multiple of the slots. A worker refuses tasks beyond it.
const QUEUE_PER_SLOT: usize = 2;

/// Interval between two load reports.
const REPORT_INTERVAL: Micros = 700 * MILLI;
/// Time from the making of a load report until it is available.
const REPORT_DELAY: Micros = 200 * MILLI;

/// Origin of an attempt: the scheduler process, and the numbers of the request and attempt in that process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Origin {
    pub(crate) process: u32,
    pub(crate) request: u32,
    pub(crate) attempt: u32,
}

/// A task that a worker accepted.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(crate) origin: Origin,
    pub(crate) job: u32,
    pub(crate) slots: u32,
    /// Work in microseconds at speed 1.
    pub(crate) work: f64,
    /// Start and planned end, once the task has started.
    pub(crate) run_span: Option<(Micros, Micros)>,
}

/// State of a worker process and its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkerState {
    /// The process serves.
    Up,
    /// The process has stopped; its machine refuses connections.
    Stopped,
    /// The machine has vanished and does not respond.
    Vanished,
}

/// A simulated worker.
pub(crate) struct Worker {
    /// Name in the list; schedulers derive the worker id from it.
    pub(crate) name: String,
    pub(crate) zone: usize,
    pub(crate) kind: usize,
    pub(crate) cell: u32,
    pub(crate) slots: u32,
    /// Speed at full capacity: work done per microsecond.
    pub(crate) speed: f64,
    pub(crate) state: WorkerState,
    pub(crate) draining: bool,
    /// Start of the process, or `None` if it started long before the simulation.
    pub(crate) started_at: Option<Micros>,
    /// Number of the process at this worker. Events that were scheduled for an earlier process are ignored.
    pub(crate) incarnation: u32,
    pub(crate) tasks: BTreeMap<u64, Task>,
    queue: VecDeque<u64>,
    busy_slots: u32,
    /// Recent loads, each with the time since which it holds.
    load_history: VecDeque<(Micros, Load)>,
}

/// Accepted tasks, the waiting ones among them, and free slots.
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

    /// Fraction of the full capacity, which grows linearly from [`START_CAPACITY`] to 1 within [`WARM_UP_TIME`] of the start.
    pub(crate) fn capacity_fraction(&self, now: Micros) -> f64 {
        let age = self
            .started_at
            .map_or(WARM_UP_TIME, |started_at| now.saturating_sub(started_at))
            .min(WARM_UP_TIME);
        START_CAPACITY + (1.0 - START_CAPACITY) * age as f64 / WARM_UP_TIME as f64
    }

    /// Accepts a task into the queue, or returns `false` if the worker drains, the task is too large, or the queue is full.
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

    /// Starts queued tasks in order of arrival while slots are free. Returns the started tasks and their planned ends.
    pub(crate) fn start_tasks(&mut self, now: Micros) -> Vec<(u64, Micros)> {
        let speed = self.speed * self.capacity_fraction(now);
        let mut started = Vec::new();
        while let Some(&number) = self.queue.front() {
            let Some(task) = self.tasks.get_mut(&number) else { break };
            if self.busy_slots + task.slots > self.slots {
                break;
            }
            let end = now + (task.work / speed).max(1.0) as Micros;
            task.run_span = Some((now, end));
            self.busy_slots += task.slots;
            self.queue.pop_front();
            started.push((number, end));
        }
        self.record_load(now);
        started
    }

    /// Removes a task that is done or cancelled.
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

    /// Finds the task of an attempt.
    pub(crate) fn find_task(&self, origin: Origin) -> Option<u64> {
        self.tasks.iter().find(|(_, task)| task.origin == origin).map(|(&number, _)| number)
    }

    /// Stops the worker. Returns its tasks by number.
    pub(crate) fn stop(&mut self, state: WorkerState) -> BTreeMap<u64, Task> {
        self.state = state;
        self.incarnation += 1;
        self.busy_slots = 0;
        self.queue.clear();
        self.load_history.clear();
        std::mem::take(&mut self.tasks)
    }

    /// Starts a new process, with the capacity of a cold worker.
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

    /// The load by the last available report, which is up to [`REPORT_INTERVAL`] plus [`REPORT_DELAY`] old, as at real workers.
    pub(crate) fn reported_load(&self, now: Micros) -> Load {
        let phase = u64::from(self.cell) * 37 * MILLI % REPORT_INTERVAL;
        let made = (now - REPORT_DELAY - phase) / REPORT_INTERVAL * REPORT_INTERVAL + phase;
        let load = self.load_history.iter().rev().find(|load| load.0 <= made);
        load.map_or((0, 0, self.slots as usize), |load| load.1)
    }

    /// The last available load report.
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
