//! Measures how long it takes to apply changed settings with 240 tenants, 10 classes, 690 workers and 3,400 open
//! requests.
//!
//! `cargo run --release --example settings_update` prints one line for each kind of change: the median and the
//! maximum of 200 updates in microseconds, for reading and checking the settings, for merging them with the settings
//! in force, and for the decision module.

use calicolb::api::*;
use calicolb::rules::Dispatcher;
use calicolb::settings_update::merge;
use calicolb::wire::{Names, settings_from_json};
use serde_json::{Value, json};
use std::time::Instant;

const TENANTS: usize = 240;
const CLASSES: usize = 10;
const WORKERS: u32 = 690;
const OPEN_REQUESTS: u32 = 3_400;
const UPDATES: usize = 200;
const SECOND: Micros = 1_000_000;

fn settings_json(tenants: usize) -> Value {
    let classes: Vec<Value> = (0..CLASSES)
        .map(|number| {
            json!({"name": format!("class-{number}"), "aim_us": 30_000_000, "deadline_us": 60_000_000, "effect": "read_like",
                "worth": 1.0, "late_worth": 0.5})
        })
        .collect();
    let orgs: Vec<Value> = (0..tenants)
        .map(|number| json!({"name": format!("team-{number}"), "quota_rps": 0.6, "share": 1.0 / tenants as f64}))
        .collect();
    json!({"azs": ["a", "b", "c", "d", "e", "f"], "kinds": ["plain", "fast"], "zone": "a", "n_instances": 300, "rank": 0,
        "ceilings": {"cancelling": true, "connect_timeout_us": 250_000, "max_retry_after_us": 2_000_000,
            "may_duplicate": true, "most_tries": 4, "peers": true, "probes": true},
        "counted_by": "work", "extra": {"class_kind": vec![-1; CLASSES], "report_x0": "free slots"},
        "orgs": orgs, "registry_mode": "subscribe", "report": {"fields": ["x0"], "how": "answers"},
        "request_classes": classes,
        "rules": {"answer_slack_us": 8000, "ask_every_us": 1000, "cold_us": 1_000_000, "drain_grace_us": 500_000,
            "fall_multiple": 3.0, "fall_us": 1_000_000, "start_capacity": 0.3}, "tick_us": 1000})
}

/// A dispatcher that knows all workers and has received all open requests.
fn dispatcher_with_open_requests(settings: Settings, now: Micros) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(settings, 7, now);
    let mut actions = Vec::new();
    let member = |id| Member {
        worker: WorkerId(id),
        zone: ZoneIx(id as usize % 6),
        kind: KindIx(id as usize % 2),
        weight: 1.0,
        lanes: Some(8),
        ..Member::default()
    };
    dispatcher.on_event(
        now,
        Event::Members(ListKind::Saved, (0..WORKERS).map(member).collect()),
        &mut actions,
    );
    for id in 0..OPEN_REQUESTS {
        let arrival = Arrival {
            request: RequestId(id),
            class: ClassIx(id as usize % CLASSES),
            tenant: Some(TenantIx(id as usize % TENANTS)),
            hint: Some(24.3e6),
            expires: now + 60 * SECOND,
            slots: 1,
            ..Arrival::default()
        };
        dispatcher.on_event(now, Event::Arrival(arrival), &mut actions);
    }
    let sent = actions.iter().filter(|action| matches!(action, Action::Send { .. })).count();
    let refused = actions.iter().filter(|action| matches!(action, Action::Refuse { .. })).count();
    println!(
        "{OPEN_REQUESTS} requests arrived: {sent} sent, {refused} refused, the others are in the hold queue"
    );
    dispatcher
}

fn main() {
    let now = 1_000 * SECOND;
    let parse =
        |json: &Value| settings_from_json(json).unwrap_or_else(|error| panic!("invalid settings: {error}"));
    let initial = settings_json(TENANTS);
    let text = initial.to_string();
    println!(
        "{TENANTS} tenants, {CLASSES} classes, {WORKERS} workers; the settings are {} bytes",
        text.len()
    );
    let effects = ["read_like", "non_idempotent"];
    type Change = fn(&mut Value, usize);
    let changes: [(&str, Change); 5] = [
        ("a tenant's quota", |json, number| {
            json["orgs"][number % TENANTS]["quota_rps"] = json!(number as f64 / 100.0)
        }),
        ("all tenants' quotas", |json, number| {
            for tenant in 0..TENANTS {
                json["orgs"][tenant]["quota_rps"] = json!(number as f64 / 100.0);
            }
        }),
        ("a class's aim", |json, number| json["request_classes"][3]["aim_us"] = json!(30_000_000 + number)),
        ("a class's kind", |json, number| json["extra"]["class_kind"][3] = json!(number % 2)),
        ("a class's effect", |_, _| ()),
    ];
    for (description, change) in changes {
        let (settings, names): (Settings, Names) = parse(&initial);
        let mut dispatcher = dispatcher_with_open_requests(settings.clone(), now);
        let (mut current, mut durations, mut actions) = ((settings, names), Vec::new(), Vec::new());
        for number in 0..UPDATES {
            let mut json = initial.clone();
            change(&mut json, number + 1);
            if description == "a class's effect" {
                json["request_classes"][3]["effect"] = json!(effects[(number + 1) % 2]);
            }
            let text = json.to_string();
            let started = Instant::now();
            let parsed = parse(&serde_json::from_str(&text).unwrap_or_default());
            let checked = Instant::now();
            current = merge((&current.0, &current.1), (&parsed.0, &parsed.1))
                .unwrap_or_else(|error| panic!("the settings cannot be merged: {error}"));
            let merged = Instant::now();
            dispatcher.on_event(now, Event::Settings(Box::new(current.0.clone())), &mut actions);
            let applied = Instant::now();
            assert_eq!(*dispatcher.settings(), current.0, "the merged settings are in force");
            durations.push(
                [checked - started, merged - checked, applied - merged]
                    .map(|duration| duration.as_secs_f64() * 1e6),
            );
        }
        let results =
            ["read and checked", "merged", "decision module"].iter().enumerate().map(|(step, name)| {
                let mut values: Vec<f64> = durations.iter().map(|duration| duration[step]).collect();
                values.sort_by(f64::total_cmp);
                format!("{name} {:.0} (maximum {:.0})", values[values.len() / 2], values[values.len() - 1])
            });
        println!("{description}: {} us", results.collect::<Vec<_>>().join(", "));
    }
}
