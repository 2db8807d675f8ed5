//! The load: which jobs come when, of which class and with how much work. The same for the same seed.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use std::time::Duration;

/// A class as the rig plays it: the appliance's file says the same of it.
pub struct Class {
    /// Its name.
    pub name: &'static str,
    /// Its share of the jobs.
    share: f64,
    /// Its median work in milliseconds, and the spread of its logarithm.
    work: (f64, f64),
    /// An answer within this many milliseconds and `STRETCH` times the work is in time.
    aim_ms: u64,
    /// How long a client waits, in milliseconds.
    pub give_up_ms: u64,
    /// What a job in time is worth.
    pub worth: f64,
    /// It must not run twice.
    pub once: bool,
}

/// Multiple of a job's work that it may take on top of its aim.
pub const STRETCH: f64 = 4.0;

/// The appliance's classes.
pub const CLASSES: [Class; 4] = [
    Class {
        name: "stock-check",
        share: 0.5,
        work: (80.0, 0.8),
        aim_ms: 150,
        give_up_ms: 5_000,
        worth: 1.0,
        once: false,
    },
    Class {
        name: "stock-report",
        share: 0.2,
        work: (400.0, 0.8),
        aim_ms: 400,
        give_up_ms: 15_000,
        worth: 2.0,
        once: false,
    },
    Class {
        name: "issue-parcel",
        share: 0.18,
        work: (60.0, 0.8),
        aim_ms: 100,
        give_up_ms: 5_000,
        worth: 2.0,
        once: true,
    },
    Class {
        name: "pallet-transfer",
        share: 0.12,
        work: (300.0, 0.8),
        aim_ms: 750,
        give_up_ms: 10_000,
        worth: 8.0,
        once: true,
    },
];

/// One job.
pub struct Job {
    /// When it comes, from the beginning.
    pub at: Duration,
    /// Its class, by its place in [`CLASSES`].
    pub class: usize,
    /// Its work on a warm worker.
    pub work: Duration,
    /// Its name.
    pub id: String,
}

impl Job {
    /// An answer within this time is in time.
    pub fn aim(&self) -> Duration {
        Duration::from_millis(CLASSES[self.class].aim_ms) + self.work.mul_f64(STRETCH)
    }
}

/// All jobs of a run, in order.
pub struct Plan {
    /// The jobs.
    pub jobs: Vec<Job>,
}

impl Plan {
    /// Draws a plan: arrivals are independent, sizes lognormal.
    pub fn draw(seed: u64, rate: f64, span: Duration) -> Plan {
        let mut rng = StdRng::seed_from_u64(seed);
        let gaps = Exp::new(rate).expect("a rate above 0");
        let (mut at, mut jobs) = (0.0, Vec::new());
        loop {
            at += gaps.sample(&mut rng);
            if at >= span.as_secs_f64() {
                return Plan { jobs };
            }
            let mut draw = rng.random::<f64>();
            let class = CLASSES.iter().position(|class| {
                draw -= class.share;
                draw < 0.0
            });
            let class = class.unwrap_or(0);
            let (median, spread) = CLASSES[class].work;
            let work = LogNormal::new(median.ln(), spread).expect("a spread above 0").sample(&mut rng);
            let work = Duration::from_secs_f64(work.min(4_000.0) / 1e3);
            let id = format!("s{seed}-{}", jobs.len());
            jobs.push(Job { at: Duration::from_secs_f64(at), class, work, id });
        }
    }
}
