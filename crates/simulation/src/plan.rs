//! The plan: sizes, rates, what goes wrong, and the settings that follow from them.

use crate::Micros;
use calicolb::api::Settings;
use calicolb::wire;
use serde::Serialize;
use serde_json::json;

/// The first moment of a play, as Unix time: workers' starts are told in that.
pub(crate) const SIMULATION_START: Micros = 1_700_000_000_000_000;
pub(crate) const MILLI: Micros = 1_000;
pub(crate) const SECOND: Micros = 1_000_000;
/// Slots of a plain worker.
pub(crate) const WORKER_SLOTS: u32 = 12;
/// Accelerators of a worker that has some, each a slot.
pub(crate) const ACCELERATORS_PER_WORKER: u32 = 8;
/// Running tasks by worker, at the size of the letter.
const RUNNING_TASKS_PER_WORKER: f64 = 3_400.0 / 690.0;
/// Tenants ask for this part of their quota, ...
const MODERATE_DEMAND: f64 = 0.8;
/// ... but one in so many for this multiple.
const EXCESSIVE_DEMAND: f64 = 2.0;
const EXCESSIVE_DEMAND_INTERVAL: usize = 12;
/// A worker that starts is warm after this time.
pub(crate) const WARM_UP_TIME: Micros = 30 * SECOND;
/// What a worker can do at its start, as a part of all.
pub(crate) const START_CAPACITY: f64 = 0.3;
/// Notes of progress come at this interval.
pub(crate) const PROGRESS_INTERVAL: Micros = 5 * SECOND;

/// What goes wrong in a play.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Incident {
    /// Nothing.
    #[default]
    None,
    /// One worker's machine goes without a sign; another comes in its place under a new number.
    Worker,
    /// 38 schedulers and workers are restarted or replaced as planned, one after the other over the play.
    Restarts,
    /// A rack of some twenty workers goes without a sign, and returns cold 18 s later.
    Rack,
    /// The workers and schedulers of a zone go without a sign, and return cold 18 s later.
    Zone,
    /// The regions are cut off from each other, up to some time before the end.
    Regions,
    /// All schedulers and workers die at once and come back within seconds, cold and knowing nothing.
    AllRestart,
    /// The configuration is changed again and again, and the control machine that leads is killed for 10 s.
    Config,
}

/// What is played. The default is the size of the operators' letter.
#[derive(Clone, Debug)]
pub struct Plan {
    /// How many schedulers.
    pub schedulers: u32,
    /// How many workers.
    pub workers: u32,
    /// Accelerators, eight on a worker of a kind of its own; at most three in ten of the workers have some.
    pub accelerators: u32,
    /// How many tenants.
    pub tenants: u32,
    /// How many zones.
    pub zones: u32,
    /// How many regions the zones are in.
    pub regions: u32,
    /// Requests a second.
    pub requests_per_s: f64,
    /// Tasks that run at the same time; `None`: as many a worker as at the letter's size.
    pub running_tasks: Option<f64>,
    /// How many seconds count.
    pub measured_seconds: u64,
    /// Seconds before these, in which the fleet fills and learns.
    pub warm_up_seconds: u64,
    /// What goes wrong.
    pub incident: Incident,
    /// Changes of configuration, evenly over the time that counts, where they are what is played.
    pub config_changes: u32,
    /// The seed of every draw.
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

/// A class of jobs.
pub(crate) struct ClassPlan {
    pub(crate) name: &'static str,
    effect: &'static str,
    /// Its part of the requests.
    pub(crate) request_share: f64,
    /// Its work, as a multiple of the mean of all.
    relative_work: f64,
    aim: Micros,
    stretch: f64,
    /// How long its clients wait.
    pub(crate) client_timeout: Micros,
    late_worth: f64,
    worth: f64,
    priority: i64,
    /// It needs accelerators.
    pub(crate) accelerated: bool,
}

impl ClassPlan {
    /// An answer within this time of the request, for this much work, is in time.
    pub(crate) fn aim_for(&self, work: f64) -> Micros {
        self.aim + (self.stretch * work) as Micros
    }
}

/// The urgent class: what it waits for its start is looked at.
pub(crate) const URGENT_CLASS: usize = 0;
/// What an urgent job may wait for its start.
pub(crate) const URGENT_MAX_START_DELAY: Micros = 7_100 * MILLI;

const fn class(name: &'static str, effect: &'static str, part: f64, work: f64) -> ClassPlan {
    let (aim, client_timeout) = (30 * SECOND, 300 * SECOND);
    let (worth, late_worth, priority, accelerated) = (1.0, 0.5, 0, false);
    ClassPlan {
        name,
        effect,
        request_share: part,
        relative_work: work,
        aim,
        stretch: 1.5,
        client_timeout,
        late_worth,
        worth,
        priority,
        accelerated,
    }
}

/// The classes: all three effects, and one on accelerators.
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
    /// How many of the workers have accelerators: the last ones.
    pub(crate) fn accelerated_workers(&self) -> u32 {
        if self.accelerators == 0 {
            0
        } else {
            self.accelerators.div_ceil(ACCELERATORS_PER_WORKER).min(self.workers * 3 / 10).max(1)
        }
    }

    /// The mean work of a task, in microseconds at speed 1: by Little's law.
    pub(crate) fn mean_work(&self) -> f64 {
        let running = self.running_tasks.unwrap_or(RUNNING_TASKS_PER_WORKER * f64::from(self.workers));
        running / self.requests_per_s * SECOND as f64
    }

    /// The mean work of a task of a class.
    pub(crate) fn class_work(&self, class: usize) -> f64 {
        let all: f64 = CLASSES.iter().map(|class| class.request_share * class.relative_work).sum();
        self.mean_work() * CLASSES[class].relative_work / all
    }

    /// The zone of the scheduler or worker of this number.
    pub(crate) fn zone_of(&self, number: u32) -> usize {
        (number % self.zones) as usize
    }

    /// When what is counted begins and ends.
    pub(crate) fn measured_span(&self) -> (Micros, Micros) {
        let begin = SIMULATION_START + self.warm_up_seconds * SECOND;
        (begin, begin + self.measured_seconds * SECOND)
    }

    /// When it goes wrong, and for how long at most.
    pub(crate) fn incident_at(&self) -> Micros {
        self.measured_span().0 + (self.measured_seconds * SECOND / 3).min(20 * SECOND)
    }

    /// Quotas (requests a second) and what each tenant asks for, as a multiple of its quota.
    pub(crate) fn quotas_and_demand(&self) -> Vec<(f64, f64)> {
        let weight = |index: usize| 1.0 / (index as f64 + 5.0);
        let count = self.tenants as usize;
        let all: f64 = (0..count).map(|index| weight(index) * self.demand(index)).sum();
        (0..count).map(|index| (self.requests_per_s * weight(index) / all, self.demand(index))).collect()
    }

    /// What a tenant asks for, as a multiple of its quota.
    pub(crate) fn demand(&self, tenant: usize) -> f64 {
        if tenant % EXCESSIVE_DEMAND_INTERVAL == EXCESSIVE_DEMAND_INTERVAL / 2 {
            EXCESSIVE_DEMAND
        } else {
            MODERATE_DEMAND
        }
    }

    /// The settings of the scheduler of rank 0, in the program's own form.
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

    /// The same as the decision module has them.
    pub(crate) fn settings(&self) -> Settings {
        match wire::parse_settings(&self.settings_json().to_string()) {
            Ok((settings, _)) => settings,
            Err(error) => unreachable!("the plan's own settings are sound: {error}"),
        }
    }
}

/// The name of a zone.
pub(crate) fn zone_name(index: u32) -> String {
    format!("zone-{index}")
}
