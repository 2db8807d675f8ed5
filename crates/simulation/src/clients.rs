//! Clients: requests in classes, of tenants with skew, that arrive at schedulers with uneven shares.

use crate::Micros;
use crate::plan::{CLASSES, Plan, SECOND};
use calicolb::api::{Arrival, ClassIx, TenantIx};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::weighted::WeightedAliasIndex;
use rand_distr::{Distribution, Exp, LogNormal};

/// Spread of the work about its class's mean, of hints about the work, and of the schedulers' shares, each as the standard
/// deviation of the natural logarithm.
const WORK_SPREAD: f64 = 0.6;
const HINT_SPREAD: f64 = 0.25;
const SHARE_SPREAD: f64 = 0.6;
/// Slots of a job, and how many of a hundred have so many.
const JOB_SLOTS: [(u32, f64); 4] = [(1, 70.0), (2, 15.0), (4, 10.0), (8, 5.0)];
/// The same of jobs on accelerators.
const JOB_ACCELERATORS: [(u32, f64); 3] = [(1, 80.0), (2, 15.0), (4, 5.0)];

/// A request as its client has it.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) class: usize,
    pub(crate) tenant: Option<usize>,
    pub(crate) work: f64,
    pub(crate) hint: f64,
    pub(crate) slots: u32,
    /// The scheduler that its client's front names first.
    pub(crate) rank: u32,
    /// It came in among the seconds that count.
    pub(crate) measured: bool,
    pub(crate) arrived: Micros,
    pub(crate) expires: Micros,
    pub(crate) answered: bool,
    /// Its first task has started.
    pub(crate) started: bool,
    /// Attempts that came to a worker whole: which, and whether it has ended there or been given up.
    pub(crate) task_records: Vec<TaskRecord>,
}

impl Job {
    /// What a scheduler is told of it.
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

/// An attempt that came to a worker.
#[derive(Clone, Debug)]
pub(crate) struct TaskRecord {
    pub(crate) task: u64,
    pub(crate) worker: u32,
    pub(crate) accepted_at: Micros,
    /// It has run, at least in part.
    pub(crate) has_started: bool,
    pub(crate) has_ended: bool,
}

/// See the head of this file.
pub(crate) struct Clients {
    rng: StdRng,
    request_gaps: Exp<f64>,
    classes: WeightedAliasIndex<f64>,
    tenants: Option<WeightedAliasIndex<f64>>,
    schedulers: WeightedAliasIndex<f64>,
    slots: WeightedAliasIndex<f64>,
    accelerators: WeightedAliasIndex<f64>,
    work: Vec<f64>,
}

fn weighted(weights: Vec<f64>) -> WeightedAliasIndex<f64> {
    // All weights of a plan are above zero and far from what a sum can hold.
    WeightedAliasIndex::new(weights)
        .unwrap_or_else(|error| unreachable!("the plan's weights are sound: {error}"))
}

fn lognormal(spread: f64) -> LogNormal<f64> {
    // Its mean is 1.
    LogNormal::new(-spread * spread / 2.0, spread)
        .unwrap_or_else(|error| unreachable!("a spread is finite: {error}"))
}

impl Clients {
    pub(crate) fn new(plan: &Plan, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let shares = lognormal(SHARE_SPREAD);
        let schedulers = (0..plan.schedulers).map(|_| shares.sample(&mut rng)).collect();
        let tenants: Vec<f64> = plan.quotas_and_demand().iter().map(|(quota, asks)| quota * asks).collect();
        let gaps = Exp::new(plan.requests_per_s / SECOND as f64);
        Clients {
            rng,
            request_gaps: gaps.unwrap_or_else(|error| unreachable!("a rate is above zero: {error}")),
            classes: weighted(CLASSES.iter().map(|class| class.request_share).collect()),
            tenants: (!tenants.is_empty()).then(|| weighted(tenants)),
            schedulers: weighted(schedulers),
            slots: weighted(JOB_SLOTS.iter().map(|slots| slots.1).collect()),
            accelerators: weighted(JOB_ACCELERATORS.iter().map(|slots| slots.1).collect()),
            work: (0..CLASSES.len()).map(|class| plan.class_work(class)).collect(),
        }
    }

    /// The time to the next request.
    pub(crate) fn next_gap(&mut self) -> Micros {
        self.request_gaps.sample(&mut self.rng) as Micros + 1
    }

    /// The next request. One that is `under way` is left of a job that began before.
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
            // A job that is met at some moment is longer than most, and some of it is done.
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

    /// An even draw below this.
    pub(crate) fn random_below(&mut self, count: u32) -> u32 {
        self.rng.random_range(0..count.max(1))
    }
}
