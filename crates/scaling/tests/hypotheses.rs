//! Tests that the measurements behind the hypotheses detect the effects they are meant to detect.

use calicolb_scaling::hypotheses;
use calicolb_scaling::quota::{Spread, TenantFleet};
use calicolb_scaling::scenario::FleetParameters;

#[test]
fn one_scheduler_admits_a_tenant_up_to_its_quota() {
    let admitted_share = |load| TenantFleet::new(1, 13.0).admitted_share(load, Spread::Even, 5);
    assert!(admitted_share(0.8) > 0.99, "{}", admitted_share(0.8));
    // At twice the quota half of the requests are within it, except for what the token bucket smooths.
    assert!((admitted_share(2.0) - 0.5).abs() < 0.02, "{}", admitted_share(2.0));
    // The token bucket holds the quota of five seconds.
    assert_eq!(TenantFleet::new(1, 13.0).admitted_burst(), 65);
}

#[test]
fn many_schedulers_admit_a_larger_burst_and_the_quota_in_the_long_run() {
    // Each scheduler has a token bucket of at least 3, so the fleet admits a larger burst than one scheduler.
    assert_eq!(TenantFleet::new(40, 13.0).admitted_burst(), 120);
    // In the long run at twice the quota, the shares of the schedulers add up to the quota.
    let admitted_share = TenantFleet::new(40, 13.0).admitted_share(2.0, Spread::Even, 5);
    assert!((admitted_share - 0.5).abs() < 0.05, "{admitted_share}");
}

#[test]
fn finding_has_results_and_is_confirmed_only_beyond_the_threshold() {
    let fleet = FleetParameters {
        workers: 16,
        schedulers: 16,
        zones: 2,
        tenants: 2,
        starts_per_s: 20.0,
        ..FleetParameters::default()
    };
    let fault_reports = |budget| hypotheses::fault_reports(&fleet, 3, budget);
    assert!(fault_reports(10.0).confirmed && !fault_reports(1e9).confirmed);
    assert!(
        fault_reports(1e9).results[0].starts_with("8 workers of 16 schedulers fail"),
        "{:?}",
        fault_reports(1e9)
    );
    let departed_workers = hypotheses::departed_workers(&fleet, 3, &|| 0);
    assert_eq!(departed_workers.results.len(), 3, "one result each after 1, 73 and 365 days");
}
