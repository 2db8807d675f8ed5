//! Load generator: arrival time, class and work of each job. The same seed gives the same load.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use std::time::Duration;

/// Class of jobs. Its values must agree with the classes in the operator file deploy/appliance.kdl.
pub struct Class {
    /// Name of the class.
    pub name: &'static str,
    /// Share of all jobs, from 0 to 1.
    share: f64,
    /// Median work in milliseconds, and the standard deviation of the work's natural logarithm.
    work: (f64, f64),
    /// Fixed part of the aim, in milliseconds; [`AIM_WORK_FACTOR`] times the job's work is added.
    aim_ms: u64,
    /// Client timeout in milliseconds.
    pub client_timeout_ms: u64,
    /// Worth of a job that is answered in time.
    pub worth: f64,
    /// A job of this class must not run more than once.
    pub must_not_repeat: bool,
}

/// Multiple of a job's work that is added to the fixed part of its aim.
pub const AIM_WORK_FACTOR: f64 = 4.0;

/// Classes of the operator file deploy/appliance.kdl.
pub const CLASSES: [Class; 4] = [
    Class {
        name: "stock-check",
        share: 0.5,
        work: (80.0, 0.8),
        aim_ms: 150,
        client_timeout_ms: 5_000,
        worth: 1.0,
        must_not_repeat: false,
    },
    Class {
        name: "stock-report",
        share: 0.2,
        work: (400.0, 0.8),
        aim_ms: 400,
        client_timeout_ms: 15_000,
        worth: 2.0,
        must_not_repeat: false,
    },
    Class {
        name: "issue-parcel",
        share: 0.18,
        work: (60.0, 0.8),
        aim_ms: 100,
        client_timeout_ms: 5_000,
        worth: 2.0,
        must_not_repeat: true,
    },
    Class {
        name: "pallet-transfer",
        share: 0.12,
        work: (300.0, 0.8),
        aim_ms: 750,
        client_timeout_ms: 10_000,
        worth: 8.0,
        must_not_repeat: true,
    },
];

/// A job of the load.
pub struct Job {
    /// Arrival time, counted from the start of the load.
    pub arrival: Duration,
    /// Index of the job's class in [`CLASSES`].
    pub class: usize,
    /// Run time on a warm worker.
    pub work: Duration,
    /// Unique id of the job.
    pub id: String,
}

impl Job {
    /// Returns the time after the submission within which an answer counts as in time.
    pub fn aim(&self) -> Duration {
        Duration::from_millis(CLASSES[self.class].aim_ms) + self.work.mul_f64(AIM_WORK_FACTOR)
    }
}

/// All jobs of a run, ordered by arrival time.
pub struct Plan {
    /// Jobs ordered by arrival time.
    pub jobs: Vec<Job>,
}

impl Plan {
    /// Generates the jobs that arrive within `span`: a Poisson process of `rate` jobs a second with lognormal work, of
    /// 4 s at most.
    pub fn generate(seed: u64, rate: f64, span: Duration) -> Plan {
        let mut rng = StdRng::seed_from_u64(seed);
        let gaps = Exp::new(rate).expect("invalid arrival rate: must be above 0");
        let (mut arrival_s, mut jobs) = (0.0, Vec::new());
        loop {
            arrival_s += gaps.sample(&mut rng);
            if arrival_s >= span.as_secs_f64() {
                return Plan { jobs };
            }
            let mut class_draw = rng.random::<f64>();
            let class = CLASSES.iter().position(|class| {
                class_draw -= class.share;
                class_draw < 0.0
            });
            let class = class.unwrap_or(0);
            let (median, spread) = CLASSES[class].work;
            let work = LogNormal::new(median.ln(), spread)
                .expect("invalid standard deviation of the work's logarithm")
                .sample(&mut rng);
            let work = Duration::from_secs_f64(work.min(4_000.0) / 1e3);
            let id = format!("s{seed}-{}", jobs.len());
            jobs.push(Job { arrival: Duration::from_secs_f64(arrival_s), class, work, id });
        }
    }
}
