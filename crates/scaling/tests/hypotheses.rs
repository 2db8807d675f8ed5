//! The probes behind the suspicions: that they tell apart what they are asked about.

use calicolb_scaling::hypotheses;
use calicolb_scaling::quota::{Spread, Tenancy};
use calicolb_scaling::scenario::FleetParameters;

#[test]
fn one_scheduler_counts_a_tenant_within_its_quota_and_no_more_than_that() {
    let within = |load| Tenancy::new(1, 13.0).within(load, Spread::Even, 5);
    assert!(within(0.8) > 0.99, "{}", within(0.8));
    // At twice the quota half is within, give or take what the bucket smooths.
    assert!((within(2.0) - 0.5).abs() < 0.02, "{}", within(2.0));
    // Five seconds' worth are saved.
    assert_eq!(Tenancy::new(1, 13.0).burst(), 65);
}

#[test]
fn the_probe_sees_what_each_scheduler_of_many_counts() {
    // Whole buckets of three at each: the fleet lets through more at once than one scheduler.
    assert_eq!(Tenancy::new(40, 13.0).burst(), 120);
    // At twice the quota, over long, the parts add up to the quota.
    let within = Tenancy::new(40, 13.0).within(2.0, Spread::Even, 5);
    assert!((within - 0.5).abs() < 0.05, "{within}");
}

#[test]
fn a_finding_states_its_figures_its_line_and_on_which_side_of_it_they_are() {
    let size = FleetParameters {
        workers: 16,
        schedulers: 16,
        zones: 2,
        tenants: 2,
        starts_per_s: 20.0,
        ..FleetParameters::default()
    };
    let troubles = |budget| hypotheses::fault_reports(&size, 3, budget);
    assert!(troubles(10.0).confirmed && !troubles(1e9).confirmed);
    assert!(troubles(1e9).results[0].starts_with("8 workers of 16 schedulers die"), "{:?}", troubles(1e9));
    let gone = hypotheses::departed_workers(&size, 3, &|| 0);
    assert_eq!(gone.results.len(), 3, "after 1, 73 and 365 days");
}
