//! How long it takes until other settings are in force: 240 tenants, 10 classes, 690 workers, 3,400 open requests.
//!
//! `cargo run --release --example settings_update` prints one line for each kind of change: the median and the longest of 200
//! take-ups in microseconds, for reading and checking the settings, placing their names, and the module.

use calicolb::api::*;
use calicolb::rules::Dispatcher;
use calicolb::settings_update::merge;
use calicolb::wire::{Names, settings_from_json};
use serde_json::{Value, json};
use std::time::Instant;

const TENANTS: usize = 240;
const CLASSES: usize = 10;
const WORKERS: u32 = 690;
const OPEN: u32 = 3_400;
const TIMES: usize = 200;
const SECOND: Micros = 1_000_000;

fn site(tenants: usize) -> Value {
    let classes: Vec<Value> = (0..CLASSES)
        .map(|nr| {
            json!({"name": format!("class-{nr}"), "aim_us": 30_000_000, "deadline_us": 60_000_000, "effect": "read_like",
                "worth": 1.0, "late_worth": 0.5})
        })
        .collect();
    let orgs: Vec<Value> = (0..tenants)
        .map(|nr| json!({"name": format!("team-{nr}"), "quota_rps": 0.6, "share": 1.0 / tenants as f64}))
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

/// A dispatcher with all workers and as many open requests as it takes.
fn busy(settings: Settings, now: Micros) -> Dispatcher {
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
    for id in 0..OPEN {
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
    println!("{OPEN} requests came: {sent} are out, {refused} were refused, the others are held");
    dispatcher
}

fn main() {
    let now = 1_000 * SECOND;
    let read = |site: &Value| settings_from_json(site).unwrap_or_else(|fault| panic!("{fault}"));
    let first = site(TENANTS);
    let text = first.to_string();
    println!(
        "{TENANTS} tenants, {CLASSES} classes, {WORKERS} workers; the settings are {} bytes",
        text.len()
    );
    let effects = ["read_like", "non_idempotent"];
    type Change = fn(&mut Value, usize);
    let changes: [(&str, Change); 5] = [
        ("a tenant's quota", |site, nr| site["orgs"][nr % TENANTS]["quota_rps"] = json!(nr as f64 / 100.0)),
        ("all tenants' quotas", |site, nr| {
            for at in 0..TENANTS {
                site["orgs"][at]["quota_rps"] = json!(nr as f64 / 100.0);
            }
        }),
        ("a class's aim", |site, nr| site["request_classes"][3]["aim_us"] = json!(30_000_000 + nr)),
        ("a class's kind", |site, nr| site["extra"]["class_kind"][3] = json!(nr % 2)),
        ("a class's effect", |_, _| ()),
    ];
    for (what, change) in changes {
        let (settings, names): (Settings, Names) = read(&first);
        let mut dispatcher = busy(settings.clone(), now);
        let (mut held, mut spans, mut actions) = ((settings, names), Vec::new(), Vec::new());
        for nr in 0..TIMES {
            let mut site = first.clone();
            change(&mut site, nr + 1);
            if what == "a class's effect" {
                site["request_classes"][3]["effect"] = json!(effects[(nr + 1) % 2]);
            }
            let text = site.to_string();
            let begun = Instant::now();
            let told = read(&serde_json::from_str(&text).unwrap_or_default());
            let checked = Instant::now();
            held = merge((&held.0, &held.1), (&told.0, &told.1)).unwrap_or_else(|fault| panic!("{fault}"));
            let placed = Instant::now();
            dispatcher.on_event(now, Event::Settings(Box::new(held.0.clone())), &mut actions);
            let ended = Instant::now();
            assert_eq!(*dispatcher.settings(), held.0, "they are in force");
            spans.push(
                [checked - begun, placed - checked, ended - placed].map(|span| span.as_secs_f64() * 1e6),
            );
        }
        let figures = ["read and checked", "placed", "module"].iter().enumerate().map(|(part, name)| {
            let mut of: Vec<f64> = spans.iter().map(|span| span[part]).collect();
            of.sort_by(f64::total_cmp);
            format!("{name} {:.0} ({:.0} at most)", of[of.len() / 2], of[of.len() - 1])
        });
        println!("{what}: {} us", figures.collect::<Vec<_>>().join(", "));
    }
}
