//! The plan of a simulation: sizes, rates, the incident, and the settings that follow from them.

use crate::Micros;
use calicolb::api::Settings;
use calicolb::wire;
use serde::Serialize;
use serde_json::json;

/// Start of the simulation, as Unix time in microseconds. The list gives workers' start times as Unix time.
pub(crate) const SIMULATION_START: Micros = 1_700_000_000_000_000;
pub(crate) const MILLI: Micros = 1_000;
pub(crate) const SECOND: Micros = 1_000_000;
/// Slots of a worker without accelerators.
pub(crate) const WORKER_SLOTS: u32 = 12;
/// Accelerators of a worker of the accelerated kind; each is a slot.
pub(crate) const ACCELERATORS_PER_WORKER: u32 = 8;
/// Running tasks per worker at the default size: the operators stated 3,400 running tasks on 690 workers.
const RUNNING_TASKS_PER_WORKER: f64 = 3_400.0 / 690.0;
/// Demand of most tenants, as a fraction of their quota.
const MODERATE_DEMAND: f64 = 0.8;
/// Demand of every [`EXCESSIVE_DEMAND_INTERVAL`]th tenant, as a multiple of its quota.
const EXCESSIVE_DEMAND: f64 = 2.0;
/// One tenant in this number exceeds its quota.
const EXCESSIVE_DEMAND_INTERVAL: usize = 12;
/// Time from the start of a worker until it has its full capacity.
pub(crate) const WARM_UP_TIME: Micros = 30 * SECOND;
/// Capacity of a worker at its start, as a fraction of its full capacity.
pub(crate) const START_CAPACITY: f64 = 0.3;
/// Interval at which a worker reports the progress of a running task.
pub(crate) const PROGRESS_INTERVAL: Micros = 5 * SECOND;

/// The incident of a simulation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Incident {
    /// No incident.
    #[default]
    None,
    /// The machine of one worker vanishes without closing its connections; a new worker replaces it.
    Worker,
    /// 38 schedulers and workers are restarted or replaced as planned, one after the other over the measured time.
    Restarts,
    /// A rack of about twenty workers vanishes without closing its connections, and returns cold 18 s later.
    Rack,
    /// The workers and schedulers of a zone vanish without closing their connections, and return cold 18 s later.
    Zone,
    /// The regions are cut off from each other from the incident on. The cut ends before the end of the measured time, by the same interval that lies between the
    /// begin of the measured time and the incident.
    Regions,
    /// All schedulers and workers are killed at the same time and return within 6 s, cold and without any learned state.
    AllRestart,
    /// The settings change repeatedly, and the leader of the control machines is down for 10 s.
    Config,
}

/// Sizes, rates, incident and seed of a simulation. The default has the sizes that the operators stated for their fleet.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Number of schedulers.
    pub schedulers: u32,
    /// Number of workers.
    pub workers: u32,
    /// Number of accelerators, eight on each worker of a separate kind. At most three in ten of the workers are of that kind.
    pub accelerators: u32,
    /// Number of tenants.
    pub tenants: u32,
    /// Number of zones.
    pub zones: u32,
    /// Number of regions that the zones are divided into.
    pub regions: u32,
    /// Requests per second.
    pub requests_per_s: f64,
    /// Mean number of concurrently running tasks; `None` means 3,400 / 690 for each worker, as at the default size.
    pub running_tasks: Option<f64>,
    /// Length of the measured time, in seconds.
    pub measured_seconds: u64,
    /// Length of the warm-up before the measured time, in seconds, in which the schedulers get their usual load and learn.
    pub warm_up_seconds: u64,
    /// The incident to simulate.
    pub incident: Incident,
    /// Number of settings changes, evenly spread over the measured time, with [`Incident::Config`].
    pub config_changes: u32,
    /// Seed of all random draws.
    pub seed: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            schedulers: 300,
            workers: 690,
            accelerators: 760,
            tenants: 240,
            zones: 6,
            regions: 2,
            requests_per_s: 140.0,
            running_tasks: None,
            measured_seconds: 60,
            warm_up_seconds: 40,
            incident: Incident::None,
            config_changes: 60,
            seed: 7,
        }
    }
}

/// A class of jobs and its share of the load.
pub(crate) struct ClassPlan {
    pub(crate) name: &'static str,
    effect: &'static str,
    /// Share of this class in the requests, from 0 to 1.
    pub(crate) request_share: f64,
    /// Mean work of the class, as a multiple of the mean work of all classes.
    relative_work: f64,
    /// Constant part of the aim.
    aim: Micros,
    /// Part of the aim that grows with the work, as a multiple of the work.
    stretch: f64,
    /// Time after which clients of this class give up, in microseconds.
    pub(crate) client_timeout: Micros,
    /// Worth of an answer after the aim, as a fraction of `worth`.
    late_worth: f64,
    worth: f64,
    priority: i64,
    /// True if jobs of this class need accelerators.
    pub(crate) accelerated: bool,
}

impl ClassPlan {
    /// Aim of a request with `work` microseconds of work: an answer is in time if it comes within the aim after the arrival. In microseconds.
    pub(crate) fn aim_for(&self, work: f64) -> Micros {
        self.aim + (self.stretch * work) as Micros
    }
}

/// Index of the urgent class, whose start delays are recorded.
pub(crate) const URGENT_CLASS: usize = 0;
/// Time within which an urgent job has to start.
pub(crate) const URGENT_MAX_START_DELAY: Micros = 7_100 * MILLI;

/// A class with default values for the fields that most classes share.
const fn class(
    name: &'static str,
    effect: &'static str,
    request_share: f64,
    relative_work: f64,
) -> ClassPlan {
    let (aim, client_timeout) = (30 * SECOND, 300 * SECOND);
    let (worth, late_worth, priority, accelerated) = (1.0, 0.5, 0, false);
    ClassPlan {
        name,
        effect,
        request_share,
        relative_work,
        aim,
        stretch: 1.5,
        client_timeout,
        late_worth,
        worth,
        priority,
        accelerated,
    }
}

/// The classes: one or more of each of the three effects, and one that needs accelerators.
pub(crate) const CLASSES: [ClassPlan; 5] = [
    ClassPlan {
        aim: URGENT_MAX_START_DELAY,
        stretch: 1.0,
        worth: 4.0,
        priority: 10,
        ..class("urgent", "read_like", 0.1, 0.4)
    },
    class("batch", "read_like", 0.43, 1.1),
    class("ledger", "idempotency_key", 0.2, 1.0),
    class("publish", "non_idempotent", 0.15, 0.9),
    ClassPlan { accelerated: true, ..class("train", "read_like", 0.12, 1.1) },
];

impl Plan {
    /// Number of workers with accelerators. They are the last ones by number.
    pub(crate) fn accelerated_workers(&self) -> u32 {
        if self.accelerators == 0 {
            0
        } else {
            self.accelerators.div_ceil(ACCELERATORS_PER_WORKER).min(self.workers * 3 / 10).max(1)
        }
    }

    /// The mean work of a task, in microseconds at speed 1, by Little's law.
    pub(crate) fn mean_work(&self) -> f64 {
        let running = self.running_tasks.unwrap_or(RUNNING_TASKS_PER_WORKER * f64::from(self.workers));
        running / self.requests_per_s * SECOND as f64
    }

    /// The mean work of a task of a class, in microseconds at speed 1.
    pub(crate) fn class_work(&self, class: usize) -> f64 {
        let mean: f64 = CLASSES.iter().map(|class| class.request_share * class.relative_work).sum();
        self.mean_work() * CLASSES[class].relative_work / mean
    }

    /// The zone of the scheduler or worker with this number.
    pub(crate) fn zone_of(&self, number: u32) -> usize {
        (number % self.zones) as usize
    }

    /// Begin and end of the measured time.
    pub(crate) fn measured_span(&self) -> (Micros, Micros) {
        let begin = SIMULATION_START + self.warm_up_seconds * SECOND;
        (begin, begin + self.measured_seconds * SECOND)
    }

    /// Time of the incident: a third into the measured time, but at most 20 s after its begin.
    pub(crate) fn incident_at(&self) -> Micros {
        self.measured_span().0 + (self.measured_seconds * SECOND / 3).min(20 * SECOND)
    }

    /// For each tenant its quota in requests per second, and its demand as a multiple of the quota.
    pub(crate) fn quotas_and_demand(&self) -> Vec<(f64, f64)> {
        let weight = |index: usize| 1.0 / (index as f64 + 5.0);
        let count = self.tenants as usize;
        let all: f64 = (0..count).map(|index| weight(index) * self.demand(index)).sum();
        (0..count).map(|index| (self.requests_per_s * weight(index) / all, self.demand(index))).collect()
    }

    /// Demand of a tenant, as a multiple of its quota.
    pub(crate) fn demand(&self, tenant: usize) -> f64 {
        if tenant % EXCESSIVE_DEMAND_INTERVAL == EXCESSIVE_DEMAND_INTERVAL / 2 {
            EXCESSIVE_DEMAND
        } else {
            MODERATE_DEMAND
        }
    }

    /// The settings of the scheduler of rank 0, in the program's JSON format.
    pub fn settings_json(&self) -> serde_json::Value {
        let classes: Vec<_> = CLASSES
            .iter()
            .map(|class| {
                json!({"name": class.name, "effect": class.effect, "group": "zone", "aim_us": class.aim,
                    "aim_stretch": class.stretch, "deadline_us": class.client_timeout, "late_worth": class.late_worth,
                    "memory_span_us": 600 * SECOND, "worth": class.worth})
            })
            .collect();
        let quotas = self.quotas_and_demand();
        let orgs: Vec<_> = quotas
            .iter()
            .enumerate()
            .map(|(index, quota)| json!({"name": format!("tenant-{index}"), "quota_rps": quota.0, "share": 1.0}))
            .collect();
        let kinds: Vec<i64> = CLASSES.iter().map(|class| i64::from(class.accelerated)).collect();
        let priorities: Vec<i64> = CLASSES.iter().map(|class| class.priority).collect();
        json!({
            "rank": 0, "n_instances": self.schedulers, "tick_us": 4_000,
            "azs": (0..self.zones).map(zone_name).collect::<Vec<_>>(), "zone": zone_name(0),
            "kinds": ["plain", "accelerated"], "request_classes": classes, "orgs": orgs,
            "over_share_worth": 0.1, "counted_by": "work", "registry_mode": "subscribe", "weight_source": "none",
            "report": {"how": "answers", "fields": ["inflight", "queue", "x0"]},
            "extra": {"class_kind": kinds, "class_priority": priorities, "progress_us": PROGRESS_INTERVAL,
                "queue_order": "fifo", "report_x0": "free slots", "tells_start": true},
            "ceilings": {"cancelling": true, "connect_timeout_us": 200 * MILLI, "max_retry_after_us": 2 * SECOND,
                "may_duplicate": false, "most_tries": 3, "peers": true, "probes": true, "retry_after": true},
            "rules": {"answer_slack_us": 500 * MILLI, "ask_every_us": 8 * SECOND, "cold_us": WARM_UP_TIME,
                "drain_grace_us": 2_500 * MILLI, "fall_multiple": 3.0, "fall_us": 30 * SECOND,
                "start_capacity": START_CAPACITY},
            "costs": {"cross_zone": 0.03, "peer": 0.0, "probe": 0.002, "waste": 0.03}
        })
    }

    /// The settings of the scheduler of rank 0, as the decision module takes them.
    pub(crate) fn settings(&self) -> Settings {
        match wire::parse_settings(&self.settings_json().to_string()) {
            Ok((settings, _)) => settings,
            Err(error) => unreachable!("the settings of the plan are invalid: {error}"),
        }
    }
}

/// The name of a zone.
pub(crate) fn zone_name(index: u32) -> String {
    format!("zone-{index}")
}
