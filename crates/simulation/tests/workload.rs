//! The workload of a plan has the requests and workers of its simulation.

use calicolb_simulation::{Plan, simulate, workload};

#[test]
fn workload_has_the_requests_and_workers_of_the_simulation() {
    for seed in [1, 2, 3] {
        let plan = Plan {
            schedulers: 4,
            workers: 9,
            accelerators: 8,
            tenants: 5,
            zones: 3,
            regions: 1,
            requests_per_s: 10.0,
            running_tasks: Some(15.0),
            measured_seconds: 6,
            warm_up_seconds: 10,
            seed,
            ..Plan::default()
        };
        println!("seed {seed}");
        let drawn = workload(&plan);
        let measured = drawn.requests.iter().filter(|request| request.measured).count() as u64;
        assert_eq!(measured, simulate(&plan).jobs);
        assert!(measured > 20, "only {measured} measured requests were drawn");
        // First the requests that are under way at the start, then the arrivals up to the end of the measured time.
        assert!(drawn.requests.len() as u64 > measured + 15);
        assert!(drawn.requests.is_sorted_by_key(|request| request.sent_at));
        assert!(
            drawn
                .requests
                .iter()
                .all(|request| request.measured == (request.sent_at >= drawn.measured_span.0))
        );
        assert!(
            drawn.requests.iter().all(|request| request.sent_at < drawn.measured_span.1 && request.rank < 4)
        );
        // Every scheduler, class and tenant has requests.
        let distinct = |field: fn(&calicolb_simulation::WorkloadRequest) -> usize| {
            drawn.requests.iter().map(field).collect::<std::collections::BTreeSet<_>>().len()
        };
        assert_eq!(distinct(|request| request.rank as usize), 4);
        assert_eq!(distinct(|request| request.class), 5);
        assert_eq!(distinct(|request| request.tenant.unwrap_or(99)), 5);
        // Eight accelerators are one of the nine workers.
        assert_eq!(drawn.workers.iter().map(|worker| worker.slots).sum::<u32>(), 8 * 12 + 8);
        assert_eq!(drawn, workload(&plan));
    }
}
