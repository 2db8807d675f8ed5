//! Changes of configuration in a small hollow fleet, with the control machine that leads killed on the way.

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
        let account = simulate(&plan(seed));
        let agreed = account.config.as_ref().expect("changes were played");
        assert_eq!(agreed.changes_accepted, 24, "seed {seed}");
        assert_eq!(
            (agreed.behind, agreed.unagreed, agreed.lost_versions),
            (0, 0, 0),
            "seed {seed}: {agreed:?}"
        );
        assert!(agreed.in_force_p99_ms <= agreed.in_force_max_ms, "seed {seed}: {agreed:?}");
        assert!((0.2..5_000.0).contains(&agreed.in_force_max_ms), "seed {seed}: {agreed:?}");
        assert_eq!((account.served, account.lost, account.doubled), (account.jobs, 0, 0), "seed {seed}");
        assert_eq!(account.extra.messages_through_cuts, 0, "seed {seed}");
        // Each change comes to each scheduler as one line, and is answered for once; and there are empty lines.
        let config = account.traffic["config"];
        let changes = 24 * 12;
        assert!((3 * changes..6 * changes).contains(&config.messages), "seed {seed}: {config:?}");
        assert!(config.bytes < 1_000 * config.messages, "seed {seed}: {config:?}");
    }
}

#[test]
fn changes_are_played_the_same_again() {
    let text = || serde_json::to_string(&simulate(&plan(7)).deterministic_counts()).expect("it is written");
    let first = text();
    assert_eq!(first, text());
    assert!(first.contains("\"in_force_p99_ms\":") && first.contains("\"lost_versions\":0"));
    // Where none were played nothing is told of them.
    let calm = simulate(&Plan { incident: Incident::None, ..plan(7) });
    assert!(!serde_json::to_string(&calm).expect("it is written").contains("in_force"));
}
