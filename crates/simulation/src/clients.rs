//! Clients: random requests by class and by tenants of unequal demand, sent to schedulers in unequal shares.

use crate::Micros;
use crate::plan::{CLASSES, Plan, SECOND};
use calicolb::api::{Arrival, ClassIx, TenantIx};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::weighted::WeightedAliasIndex;
use rand_distr::{Distribution, Exp, LogNormal};

/// Spread of the work around the mean of its class, as the standard deviation of the natural logarithm.
const WORK_SPREAD: f64 = 0.6;
/// Spread of a work hint around the work, as the standard deviation of the natural logarithm.
const HINT_SPREAD: f64 = 0.25;
/// Spread of the schedulers' shares of the requests, as the standard deviation of the natural logarithm.
const SHARE_SPREAD: f64 = 0.6;
/// Slots of a job, and the percentage of jobs with that number.
const JOB_SLOTS: [(u32, f64); 4] = [(1, 70.0), (2, 15.0), (4, 10.0), (8, 5.0)];
/// Accelerators of a job that needs them, and the percentage of such jobs with that number.
const JOB_ACCELERATORS: [(u32, f64); 3] = [(1, 80.0), (2, 15.0), (4, 5.0)];

/// A request as its client sent it, and its state in the simulation.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) class: usize,
    pub(crate) tenant: Option<usize>,
    /// Work in microseconds at speed 1.
    pub(crate) work: f64,
    /// Hint of the client about the work, in microseconds at speed 1.
    pub(crate) hint: f64,
    pub(crate) slots: u32,
    /// Rank of the scheduler that the client sends the request to.
    pub(crate) rank: u32,
    /// True if the request came in during the measured time.
    pub(crate) measured: bool,
    pub(crate) arrived: Micros,
    pub(crate) expires: Micros,
    pub(crate) answered: bool,
    /// True once its first task has started.
    pub(crate) started: bool,
    /// The tasks that workers accepted for this request.
    pub(crate) task_records: Vec<TaskRecord>,
}

impl Job {
    /// The arrival event of this request for a scheduler.
    pub(crate) fn arrival(&self) -> Arrival {
        Arrival {
            class: ClassIx(self.class),
            tenant: self.tenant.map(TenantIx),
            hint: Some(self.hint),
            expires: self.expires,
            slots: self.slots,
            ..Arrival::default()
        }
    }
}

/// A task that a worker accepted for an attempt.
#[derive(Clone, Debug)]
pub(crate) struct TaskRecord {
    /// Number of the task in the simulation.
    pub(crate) task: u64,
    pub(crate) worker: u32,
    pub(crate) accepted_at: Micros,
    /// True once the task has started.
    pub(crate) has_started: bool,
    /// True once the task has ended or was cancelled at its worker.
    pub(crate) has_ended: bool,
}

/// Random source of requests, with the distributions that the plan sets.
pub(crate) struct Clients {
    rng: StdRng,
    /// Times between requests, in microseconds.
    request_gaps: Exp<f64>,
    classes: WeightedAliasIndex<f64>,
    tenants: Option<WeightedAliasIndex<f64>>,
    schedulers: WeightedAliasIndex<f64>,
    slots: WeightedAliasIndex<f64>,
    accelerators: WeightedAliasIndex<f64>,
    /// Mean work of each class, in microseconds at speed 1.
    work: Vec<f64>,
}

fn weighted(weights: Vec<f64>) -> WeightedAliasIndex<f64> {
    // All weights of a plan are positive, and their sum does not overflow.
    WeightedAliasIndex::new(weights)
        .unwrap_or_else(|error| unreachable!("the weights of the plan are invalid: {error}"))
}

fn lognormal(spread: f64) -> LogNormal<f64> {
    // With this location the mean is 1.
    LogNormal::new(-spread * spread / 2.0, spread)
        .unwrap_or_else(|error| unreachable!("the spread {spread} is invalid: {error}"))
}

impl Clients {
    pub(crate) fn new(plan: &Plan, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let share = lognormal(SHARE_SPREAD);
        let schedulers = (0..plan.schedulers).map(|_| share.sample(&mut rng)).collect();
        let tenants: Vec<f64> =
            plan.quotas_and_demand().iter().map(|(quota, demand)| quota * demand).collect();
        let gaps = Exp::new(plan.requests_per_s / SECOND as f64);
        Clients {
            rng,
            request_gaps: gaps
                .unwrap_or_else(|error| unreachable!("the request rate of the plan is invalid: {error}")),
            classes: weighted(CLASSES.iter().map(|class| class.request_share).collect()),
            tenants: (!tenants.is_empty()).then(|| weighted(tenants)),
            schedulers: weighted(schedulers),
            slots: weighted(JOB_SLOTS.iter().map(|slots| slots.1).collect()),
            accelerators: weighted(JOB_ACCELERATORS.iter().map(|slots| slots.1).collect()),
            work: (0..CLASSES.len()).map(|class| plan.class_work(class)).collect(),
        }
    }

    /// Draws the time to the next request, in microseconds.
    pub(crate) fn next_gap(&mut self) -> Micros {
        self.request_gaps.sample(&mut self.rng) as Micros + 1
    }

    /// Draws a request. With `under_way` the request is the rest of a job that began before the simulation.
    pub(crate) fn draw_request(&mut self, now: Micros, measured: bool, under_way: bool) -> Job {
        let class = self.classes.sample(&mut self.rng);
        let plan = &CLASSES[class];
        let slots = if plan.accelerated {
            JOB_ACCELERATORS[self.accelerators.sample(&mut self.rng)].0
        } else {
            JOB_SLOTS[self.slots.sample(&mut self.rng)].0
        };
        let mut work = self.work[class] * lognormal(WORK_SPREAD).sample(&mut self.rng);
        if under_way {
            // A job that is running at a random moment is longer than the mean, and part of it is done.
            work *= (WORK_SPREAD * WORK_SPREAD).exp() * self.rng.random::<f64>();
        }
        let work = work.max(1_000.0);
        Job {
            class,
            tenant: self.tenants.as_ref().map(|tenants| tenants.sample(&mut self.rng)),
            work,
            hint: work * lognormal(HINT_SPREAD).sample(&mut self.rng),
            slots,
            rank: self.schedulers.sample(&mut self.rng) as u32,
            measured,
            arrived: now,
            expires: now + plan.client_timeout,
            answered: false,
            started: false,
            task_records: Vec::new(),
        }
    }

    /// Draws a number below `count`, uniformly.
    pub(crate) fn random_below(&mut self, count: u32) -> u32 {
        self.rng.random_range(0..count.max(1))
    }
}
