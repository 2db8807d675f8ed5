//! Translates a plan of the hollow fleet into settings, workers and requests for real processes and stand-ins.

use super::discovery::Host;
use super::submitters::Submission;
use super::worker_pool::{WorkerSettings, WorkerSpec};
use calicolb_simulation::{Plan, Workload};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

/// Time after which a worker closes an idle connection, in microseconds; the same as in the hollow fleet.
const CONNECTION_IDLE_US: u64 = 10_000_000;

/// Returns the settings common to all schedulers; rank and zone are added for each.
pub fn settings(plan: &Plan) -> Value {
    let mut settings = plan.settings_json();
    settings["ceilings"]["conn_idle_us"] = json!(CONNECTION_IDLE_US);
    settings
}

/// Returns the workers and their lines on the list. The harness fills in the address of each.
pub fn workers(outline: &Workload, settings: &Value) -> (Vec<WorkerSpec>, Vec<Host>) {
    let class = |kind: usize| settings["kinds"][kind].as_str().unwrap_or_default().to_owned();
    let specs = outline.workers.iter().map(|worker| WorkerSpec {
        name: worker.name.clone(),
        slots: worker.slots,
        memory: 0.0,
        speed: worker.speed,
        phase: Duration::from_millis(u64::from(worker.cell) * 37 % 700),
        started_at: None,
    });
    let hosts = outline.workers.iter().map(|worker| Host {
        host: worker.name.clone(),
        dial: SocketAddr::from(([127, 0, 0, 1], 0)),
        site: worker.zone.clone(),
        class: class(worker.kind),
        block: worker.cell,
        health: "in_service",
        share: 1.0,
        born_ms: 0,
    });
    (specs.collect(), hosts.collect())
}

/// Returns the behavior of the workers as the settings define it.
pub fn worker_settings(settings: &Value) -> WorkerSettings {
    let micros = |value: &Value| Duration::from_micros(value.as_u64().unwrap_or(0));
    let fields = settings["report"]["fields"].as_array().cloned().unwrap_or_default();
    let in_answers = settings["report"]["how"] == "answers";
    WorkerSettings {
        warm_up: micros(&settings["rules"]["cold_us"]),
        start_speed: settings["rules"]["start_capacity"].as_f64().unwrap_or(1.0),
        reports_start: settings["extra"]["tells_start"] == true,
        progress_interval: micros(&settings["extra"]["progress_us"]),
        report_fields: fields
            .iter()
            .filter(|_| in_answers)
            .filter_map(|field| field.as_str().map(str::to_owned))
            .collect(),
    }
}

/// Returns the requests as clients submit them, and for each whether it is sent in the measured span.
pub fn submissions(outline: &Workload, settings: &Value) -> (Vec<Submission>, Vec<bool>) {
    let submission = |(index, request): (usize, &calicolb_simulation::WorkloadRequest)| {
        let tenant = request.tenant.and_then(|tenant| settings["orgs"][tenant]["name"].as_str());
        let mut headers = vec![
            ("Request-Class", request.class_name.to_owned()),
            ("Request-Timeout", format!("{:.3}", request.client_timeout as f64 / 1e6)),
            ("Work-Hint", format!("{:.0}", request.hint)),
            ("Request-Info", format!("needs={}", request.slots)),
        ];
        headers.extend(tenant.map(|name| ("Tenant", name.to_owned())));
        Submission {
            offset: Duration::from_micros(request.sent_at),
            rank: request.rank as usize,
            id: format!("r{index:08x}"),
            target: format!("/{}", request.class_name),
            headers,
            body: format!("work={:.0} slots={}", request.work, request.slots),
            aim: Duration::from_micros(request.aim),
            client_timeout: Duration::from_micros(request.client_timeout),
        }
    };
    let jobs = outline.requests.iter().enumerate().map(submission).collect();
    (jobs, outline.requests.iter().map(|request| request.measured).collect())
}
