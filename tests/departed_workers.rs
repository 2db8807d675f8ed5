//! Workers that have left the list: rolling deploys must not let the dispatcher's state grow, and what still counts of a
//! departed worker must not be lost.

mod common;

use calicolb::api::*;
use calicolb::departed::{DEPARTED_RETENTION, MAX_DEPARTED_WORKERS};
use common::*;

/// Workers of the fleet that rolling deploys replace.
const FLEET: u32 = 1_000;

fn gone(id: u32) -> Member {
    Member { status: WorkerStatus::Gone, ..member(id) }
}

/// Replaces the workers `old` by the same number of workers with ids from `first_new` on, as changes of the list.
fn replace(bench: &mut Bench, old: std::ops::Range<u32>, first_new: u32) {
    let new: Vec<Member> = (first_new..first_new + old.len() as u32).map(member).collect();
    bench.members(ListKind::Changes, old.map(gone).collect());
    bench.members(ListKind::Changes, new);
}

/// Number of workers that the dispatcher knows, listed or not.
fn known_workers(bench: &Bench) -> usize {
    bench.dispatcher.knowledge()[0].as_array().map_or(0, Vec::len)
}

/// The knowledge that a successor would receive.
fn handed_over(bench: &Bench) -> String {
    bench.dispatcher.knowledge_text(bench.now).expect("the knowledge can be serialized")
}

// Guards against a table of workers, and a handover, that grow with each worker ever seen.
#[test]
fn rolling_deploys_do_not_grow_the_table_of_workers_or_the_handover() {
    let mut bench = Bench::with_workers(settings(), &(0..FLEET).collect::<Vec<u32>>());
    let first_handover = handed_over(&bench).len();
    for deploy in 0..20 {
        bench.now += 7 * SECOND;
        replace(&mut bench, deploy * FLEET..(deploy + 1) * FLEET, (deploy + 1) * FLEET);
    }
    assert!(known_workers(&bench) <= FLEET as usize + MAX_DEPARTED_WORKERS, "{}", known_workers(&bench));
    let last_handover = handed_over(&bench).len();
    assert!(last_handover <= first_handover * 11 / 10, "{first_handover} bytes, then {last_handover}");
    bench.now += DEPARTED_RETENTION;
    bench.members(ListKind::Changes, vec![member(20 * FLEET)]);
    assert_eq!(known_workers(&bench), FLEET as usize);
}

// Guards against attempts that are counted at another worker once the entry of a departed worker is removed.
#[test]
fn attempts_keep_their_workers_when_departed_workers_are_forgotten() {
    let mut bench = Bench::with_workers(settings(), &[1, 2, 3]);
    for id in 1..=3 {
        assert_eq!(sends(&bench.arrive(id, 0, 100 * MS)).len(), 1);
    }
    // Worker 1 leaves with a job, and is kept; its job and those of the others end as before.
    bench.members(ListKind::Changes, vec![gone(1), member(4)]);
    bench.now += DEPARTED_RETENTION;
    bench.members(ListKind::Changes, vec![gone(4), member(5)]);
    bench.now += DEPARTED_RETENTION;
    bench.members(ListKind::Changes, vec![member(6)]);
    assert_eq!(known_workers(&bench), 5, "worker 1 has an attempt, worker 4 none");
    for id in 1..=3 {
        bench.now += MS;
        bench.outcome(id, 0, WorkerId(id), Ending::Ok);
    }
    bench.members(ListKind::Changes, vec![member(6)]);
    assert_eq!(known_workers(&bench), 4, "worker 1 is no longer needed");
    // All lanes are free again, at the workers of the list alone.
    let mut used: Vec<u32> =
        (10..14).flat_map(|id| sends(&bench.arrive(id, 0, 100 * MS))).map(|sent| sent.1.0).collect();
    used.sort_unstable();
    assert_eq!(used, [2, 3, 5, 6]);
}

// Guards against a planned job or a retry that refers to the entry of another worker after entries were removed.
#[test]
fn held_jobs_and_retries_go_to_listed_workers_after_departed_workers_are_forgotten() {
    let mut bench = Bench::with_workers(settings(), &[1, 2, 3]);
    bench.members(ListKind::Changes, vec![gone(1)]);
    let sent: Vec<(u32, WorkerId)> = (1..=2).flat_map(|id| sends(&bench.arrive(id, 1, 300 * MS))).collect();
    assert_eq!(sent.len(), 2);
    assert!(sends(&bench.arrive(3, 1, 100 * MS)).is_empty(), "no lane is free for the third job");
    bench.now += DEPARTED_RETENTION;
    bench.dispatcher.on_event(bench.now, Event::ListLease(None), &mut Vec::new());
    bench.members(ListKind::Changes, Vec::new());
    assert_eq!(known_workers(&bench), 2);
    let (id, worker) = sent[0];
    bench.outcome(id, 0, worker, Ending::Ok);
    let (id, worker) = sent[1];
    let retried = sends(&bench.outcome(id, 0, worker, Ending::Unreachable));
    assert!(retried.iter().all(|(_, at)| [WorkerId(2), WorkerId(3)].contains(at)), "{retried:?}");
}

// Guards against a cold worker that gets a full budget again because it left the list for a moment.
#[test]
fn cold_worker_that_returns_has_not_lost_the_work_sent_to_it() {
    let cold = |id| Member { started: Some(T0), lanes: Some(2), ..member(id) };
    let mut bench = Bench::new(settings());
    bench.members(ListKind::Saved, vec![cold(1)]);
    let send_until_refused = |bench: &mut Bench, first: u32| {
        let mut count = 0;
        for id in first..first + 200 {
            for (request, worker) in sends(&bench.arrive(id, 0, 50 * MS)) {
                count += 1;
                bench.outcome(request, 0, worker, Ending::Ok);
            }
        }
        count
    };
    let first = send_until_refused(&mut bench, 0);
    assert!(first > 0 && first < 200, "{first} jobs");
    // More workers leave than are kept without need.
    let others: Vec<u32> = (10..10 + 2 * MAX_DEPARTED_WORKERS as u32).collect();
    bench.members(ListKind::Changes, others.iter().map(|&id| member(id)).chain([gone(1)]).collect());
    bench.members(ListKind::Changes, others.iter().map(|&id| gone(id)).collect());
    bench.members(ListKind::Changes, vec![cold(1)]);
    assert_eq!(send_until_refused(&mut bench, 1_000), 0, "the budget of the window was used up before");
}

// Guards against the loss of what is known of workers that the list names again after a moment without them.
#[test]
fn worker_that_returns_soon_is_known_as_before() {
    let mut bench = Bench::with_workers(settings(), &[1, 2]);
    let (id, worker) = sends(&bench.arrive(1, 0, 50 * MS))[0];
    bench.outcome(id, 0, worker, Ending::Error);
    let avoided = bench.dispatcher.avoided_worker_count(bench.now);
    assert_eq!(avoided, 1);
    bench.members(ListKind::Full, Vec::new());
    bench.now += 100 * MS;
    bench.members(ListKind::Full, vec![member(1), member(2)]);
    assert_eq!(bench.dispatcher.avoided_worker_count(bench.now), avoided);
}
