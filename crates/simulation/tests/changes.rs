//! Settings changes in a small simulated fleet, in which the leader of the control machines is killed and restarted.

use calicolb_simulation::{Incident, Plan, simulate};

fn plan(seed: u64) -> Plan {
    Plan {
        schedulers: 12,
        workers: 24,
        accelerators: 24,
        tenants: 12,
        requests_per_s: 4.0,
        running_tasks: Some(20.0),
        measured_seconds: 24,
        warm_up_seconds: 10,
        incident: Incident::Config,
        config_changes: 24,
        seed,
        ..Plan::default()
    }
}

#[test]
fn every_change_is_in_force_everywhere_within_five_seconds_with_a_control_machine_killed() {
    for seed in [7, 1, 2] {
        let summary = simulate(&plan(seed));
        let outcome = summary
            .config
            .as_ref()
            .expect("a simulation with `Incident::Config` has a configuration outcome");
        assert_eq!(outcome.changes_accepted, 24, "seed {seed}");
        assert_eq!(
            (outcome.behind, outcome.unagreed, outcome.lost_versions),
            (0, 0, 0),
            "seed {seed}: {outcome:?}"
        );
        assert!(outcome.in_force_p99_ms <= outcome.in_force_max_ms, "seed {seed}: {outcome:?}");
        assert!((0.2..5_000.0).contains(&outcome.in_force_max_ms), "seed {seed}: {outcome:?}");
        assert_eq!((summary.served, summary.lost, summary.doubled), (summary.jobs, 0, 0), "seed {seed}");
        assert_eq!(summary.extra.messages_through_cuts, 0, "seed {seed}");
        // Each scheduler gets each change as one line and reports it once, with one response; keepalives come on top.
        let config = summary.traffic["config"];
        let changes = 24 * 12;
        assert!((3 * changes..6 * changes).contains(&config.messages), "seed {seed}: {config:?}");
        assert!(config.bytes < 1_000 * config.messages, "seed {seed}: {config:?}");
    }
}

#[test]
fn same_plan_with_settings_changes_gives_the_same_counts() {
    let text = || {
        serde_json::to_string(&simulate(&plan(7)).deterministic_counts())
            .expect("the summary is serialized to JSON")
    };
    let first = text();
    assert_eq!(first, text());
    assert!(first.contains("\"in_force_p99_ms\":") && first.contains("\"lost_versions\":0"));
    // Without settings changes the summary has no fields for them.
    let calm = simulate(&Plan { incident: Incident::None, ..plan(7) });
    assert!(!serde_json::to_string(&calm).expect("the summary is serialized to JSON").contains("in_force"));
}
