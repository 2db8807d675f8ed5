//! Dispatchers that exchange peer messages: the budget of a cold worker, fault reports, learned speed, cohorts and spill.

mod common;

use calicolb::api::*;
use common::*;

/// One dispatcher of a fleet with peer messages, and a worker with sixteen lanes that has just started.
fn fleet_member(instances: u32, rank: u32) -> (Bench, Member) {
    let mut settings = settings();
    (settings.instances, settings.rank, settings.limits.peers) = (instances, rank, true);
    let mut bench = Bench::new(settings);
    let cold = Member { started: Some(bench.now), lanes: Some(16), ..member(11) };
    bench.members(ListKind::Saved, vec![cold.clone()]);
    (bench, cold)
}

/// Sends `count` requests of 5 ms work, one every millisecond, with ids from `first_id` on; each attempt ends at once.
/// Returns the work in milliseconds that was sent to the cold worker.
fn send_requests(bench: &mut Bench, first_id: u32, count: u32) -> u64 {
    let mut sent = 0;
    for id in first_id..first_id + count {
        bench.now += MS;
        for (request, worker) in sends(&bench.arrive(id, 0, 5 * MS)) {
            bench.outcome(request, 0, worker, Ending::Ok);
            sent += 5;
        }
    }
    sent
}

/// Work in milliseconds that all senders together may send the cold worker in one window: the limit from the settings times
/// the decision module's margin of 0.4.
fn budget_ms() -> f64 {
    let rules = settings().rules;
    0.4 * rules.fall_multiple * rules.start_capacity * 16.0 * rules.fall_window as f64 / MS as f64
}

#[test]
fn busy_cohort_member_sends_up_to_twice_its_even_share_when_the_others_send_nothing() {
    // Eight dispatchers form one cohort, and only the first has jobs. Its even share is a ninth of the budget (eight members
    // and one designated sender); it may use up to twice the share while the others report no work sent.
    let (mut busy, _) = fleet_member(8, 0);
    let even_share = budget_ms() / 9.0;
    let sent = send_requests(&mut busy, 1, 400) as f64;
    assert!(sent > even_share + 5.0, "{sent} ms sent, the even share is {even_share:.1} ms");
    assert!(sent <= 2.0 * even_share, "{sent} ms sent, twice the even share is {:.1} ms", 2.0 * even_share);
}

#[test]
fn work_reported_by_other_cohort_members_is_deducted_from_the_shared_budget() {
    // Another member reports that it has sent the cohort's whole budget; this dispatcher sends nothing for one window.
    let (mut busy, cold) = fleet_member(8, 0);
    let cohort_budget = (budget_ms() * 8.0 / 9.0).ceil() as u16;
    let [a, b, c, d] = cold.worker.0.to_le_bytes();
    let [low, high] = cohort_budget.to_le_bytes();
    busy.tell(Event::Peer { from: 1, body: vec![1, 1, a, b, c, d, 2, 2, low, high] });
    assert_eq!(send_requests(&mut busy, 1, 100), 0);
    // One window later the report no longer counts.
    busy.now += settings().rules.fall_window;
    assert!(send_requests(&mut busy, 200, 100) > 0);
}

#[test]
fn fleet_ten_times_larger_than_configured_keeps_the_budget_after_hearing_the_highest_rank() {
    // The settings name 30 dispatchers, but there are 300, and each has received a message from the highest rank. Together
    // they send the cold worker no more than its limit even though all of them have jobs for it.
    let limit = budget_ms() / 0.4;
    let mut all = 0;
    for rank in 0..300 {
        let (mut bench, _) = fleet_member(30, rank);
        bench.tell(Event::Peer { from: 299, body: vec![1, 0, 0] });
        all += send_requests(&mut bench, 1, 400);
    }
    assert!(all as f64 <= limit, "{all} ms sent by all dispatchers, the limit is {limit:.0} ms");
    assert!(all > 0, "no dispatcher sent the cold worker any work");
}

/// Dispatchers that share twelve workers and exchange messages, of which a set part is lost.
struct Fleet {
    benches: Vec<Bench>,
    /// Each message whose number is a multiple of `loss_interval` is lost: none at 0, all at 1.
    loss_interval: usize,
    /// Messages sent so far, counted once for each receiver.
    message_count: usize,
    next_request: u32,
    /// Number of attempts sent to each worker, and number of those of the unsafe class.
    sent: std::collections::BTreeMap<u32, (u32, u32)>,
}

/// The worker of the fleet that answers with errors.
const FAULTY: u32 = 15;

impl Fleet {
    fn new(count: u32, loss_interval: usize) -> Fleet {
        let start = |rank| {
            let mut settings = settings();
            (settings.instances, settings.rank, settings.limits.peers) = (count, rank, true);
            Bench::with_workers(settings, &(10..22).collect::<Vec<_>>())
        };
        let benches = (0..count).map(start).collect();
        Fleet { benches, loss_interval, message_count: 0, next_request: 1, sent: Default::default() }
    }

    /// Delivers the messages among these actions to their receivers.
    fn deliver(&mut self, from: usize, actions: &[Action]) {
        for action in actions {
            let Action::SendMessage { to, body } = action else { continue };
            for rank in (0..self.benches.len()).filter(|&rank| rank != from) {
                if to.is_none_or(|to| to as usize == rank) {
                    self.message_count += 1;
                    if self.loss_interval == 0 || !self.message_count.is_multiple_of(self.loss_interval) {
                        let body = body.clone();
                        self.benches[rank].tell(Event::Peer { from: from as u32, body });
                    }
                }
            }
        }
    }

    /// Delivers the messages and counts the attempts among these actions. Returns rank, request, attempt number and worker of
    /// each attempt.
    fn record(&mut self, rank: usize, actions: &[Action], attempt: u32) -> Vec<(usize, u32, u32, u32)> {
        self.deliver(rank, actions);
        let sent: Vec<_> =
            sends(actions).into_iter().map(|(id, worker)| (rank, id, attempt, worker.0)).collect();
        for &(_, id, _, worker) in &sent {
            let count = self.sent.entry(worker).or_default();
            (count.0, count.1) = (count.0 + 1, count.1 + id % 2);
        }
        sent
    }

    /// Runs `rounds` rounds, 200 ms apart, in which each dispatcher gets three requests at once; those with odd numbers are of
    /// the unsafe class. If `faulty`, the worker [`FAULTY`] answers half of the requests with errors. Returns the number of
    /// attempts sent to that worker, and how many of them were of the unsafe class.
    fn run_rounds(&mut self, rounds: usize, faulty: bool) -> (u32, u32) {
        let before = self.sent.get(&FAULTY).copied().unwrap_or_default();
        for _ in 0..rounds {
            let mut in_flight = Vec::new();
            let count = self.benches.len();
            for rank in (0..3 * count).map(|nr| nr % count) {
                let id = self.next_request;
                self.next_request += 1;
                let actions = self.benches[rank].arrive(id, (id % 2) as usize, 20 * MS);
                in_flight.extend(self.record(rank, &actions, 0));
            }
            while let Some((rank, id, attempt, worker)) = in_flight.pop() {
                // Half of the requests succeed even at the faulty worker.
                let ending =
                    if faulty && worker == FAULTY && id / 2 % 2 == 0 { Ending::Error } else { Ending::Ok };
                let mut actions = self.benches[rank].outcome(id, attempt, WorkerId(worker), ending);
                actions.extend(self.benches[rank].wait(10 * MS));
                in_flight
                    .extend(self.record(rank, &actions, attempt + 1).into_iter().filter(|sent| sent.1 == id));
            }
            let latest = self.benches.iter().map(|bench| bench.now).max().unwrap_or(0) + 200 * MS;
            self.benches.iter_mut().for_each(|bench| bench.now = latest);
        }
        let after = self.sent.get(&FAULTY).copied().unwrap_or_default();
        (after.0 - before.0, after.1 - before.1)
    }
}

#[test]
fn fault_reports_reduce_the_jobs_that_all_dispatchers_send_a_failing_worker() {
    // In the first round all dispatchers use the faulty worker; later only those without a fault report send it more than
    // trial requests.
    let attempts_at_faulty = |loss_interval| {
        let mut fleet = Fleet::new(24, loss_interval);
        fleet.run_rounds(1, true);
        fleet.run_rounds(80, true)
    };
    // Fault reports also work with a tenth of the messages lost.
    let (all_lost, none_lost, tenth_lost) =
        (attempts_at_faulty(1), attempts_at_faulty(0), attempts_at_faulty(10));
    assert!(
        none_lost.0 * 3 <= all_lost.0,
        "attempts at the faulty worker: {none_lost:?} without loss, {all_lost:?} with all messages lost"
    );
    assert!(
        tenth_lost.0 * 2 <= all_lost.0,
        "attempts at the faulty worker: {tenth_lost:?} with a tenth lost, {all_lost:?} with all messages lost"
    );
    assert!(
        none_lost.1 * 4 <= all_lost.1,
        "unsafe attempts (second number): {none_lost:?} without loss, {all_lost:?} with all messages lost"
    );
}

#[test]
fn worker_that_has_recovered_is_used_again_for_both_classes() {
    let mut fleet = Fleet::new(24, 0);
    fleet.run_rounds(60, true);
    // Trial requests start after a pause of up to 16 s, which a random factor can double.
    for bench in &mut fleet.benches {
        bench.now += 33 * SECOND;
    }
    fleet.run_rounds(30, false);
    let (all, unsafe_ones) = fleet.run_rounds(60, false);
    let others: u32 = fleet.sent.iter().filter(|(id, _)| **id != FAULTY).map(|(_, sent)| sent.0).sum();
    assert!(
        all > 0 && unsafe_ones > 0,
        "{all} attempts at the recovered worker, {unsafe_ones} of them unsafe; {others} at the other workers"
    );
}

#[test]
fn fault_reports_of_one_peer_about_all_workers_exclude_few_and_expire() {
    let mut bench = fleet_member(8, 0).0;
    bench.members(ListKind::Full, (10..22).map(member).collect());
    // The peer reports the highest error share for every worker, three times.
    for _ in 0..3 {
        for id in 10..22_u32 {
            let [a, b, c, d] = id.to_le_bytes();
            bench.tell(Event::Peer { from: 3, body: vec![1, a, b, c, d, 255] });
        }
        assert!(
            bench.dispatcher.avoided_worker_count(bench.now) <= 4,
            "{} workers are excluded",
            bench.dispatcher.avoided_worker_count(bench.now)
        );
        bench.now += 2 * SECOND;
    }
    // An unconfirmed report counts for 1 s, which a random factor can double.
    assert_eq!(bench.dispatcher.avoided_worker_count(bench.now), 0);
    assert_eq!(sends(&bench.arrive(1, 1, 10 * MS)).len(), 1);
}

#[test]
fn worker_that_reports_errors_gets_single_trials_and_no_unsafe_job() {
    let mut bench = Bench::with_workers(settings(), &[11]);
    assert_eq!(sends(&bench.arrive(1, 0, 10 * MS)).len(), 1);
    let report = Some(Report { errors_per_s: Some(3.0), ..Report::default() });
    let (request, worker, elapsed) = (RequestId(1), WorkerId(11), 100 * MS);
    let (attempt, ending, concluded) = (0, Ending::Ok, true);
    let running = false;
    let outcome = Outcome { request, attempt, worker, ending, elapsed, running, concluded, report };
    bench.tell(Event::Outcome(outcome));
    bench.now += 5 * SECOND;
    assert!(sends(&bench.arrive(2, 1, 10 * MS)).is_empty(), "the unsafe job is not sent");
    assert_eq!(sends(&bench.arrive(3, 0, 10 * MS)).len(), 1, "the safe job is sent as a trial");
    assert!(sends(&bench.arrive(4, 0, 10 * MS)).is_empty(), "only one trial is sent at a time");
}

#[test]
fn measured_speed_of_a_worker_is_shared_within_the_cohort() {
    // The first dispatcher measures a worker that takes three times the hinted time. The second receives its messages, the
    // third does not.
    let start = |rank| {
        let mut bench = fleet_member(3, rank).0;
        bench.members(ListKind::Full, vec![member(12)]);
        bench
    };
    let (mut measuring, mut informed, mut uninformed) = (start(0), start(1), start(2));
    let estimate = |bench: &mut Bench| {
        let actions = bench.arrive(1, 0, 300 * MS);
        let load_end = actions.iter().find_map(|action| match action {
            // Byte 7 is the end of the dispatcher's work at the worker, in units of 64 ms.
            Action::SendMessage { to: Some(_), body } if body.len() >= 8 => Some(body[7]),
            _ => None,
        });
        load_end.expect("the dispatcher sends no load message")
    };
    for id in 10..30 {
        measuring.arrive(id, 0, 300 * MS);
        measuring.now += 900 * MS;
        let (request, worker, elapsed) = (RequestId(id), WorkerId(12), 900 * MS);
        let (attempt, ending, running, concluded, report) = (0, Ending::Ok, false, true, None);
        let outcome = Outcome { request, attempt, worker, ending, elapsed, running, concluded, report };
        for action in measuring.tell(Event::Outcome(outcome)) {
            if let Action::SendMessage { to: Some(1), body } = action {
                informed.tell(Event::Peer { from: 0, body });
            }
        }
    }
    let (without_messages, with_messages) = (estimate(&mut uninformed), estimate(&mut informed));
    assert!(
        with_messages >= without_messages + 2,
        "{without_messages} units without messages, {with_messages} units with messages"
    );
}

#[test]
fn learned_data_does_not_change_the_cohort_of_a_worker() {
    // Two dispatchers of one rank: the first has just started; the second has run hundreds of jobs of all sizes and learned
    // that the machines of one kind are slow. The peers to which each sends the load of a worker are the worker's cohort.
    let start = || {
        let mut settings = settings();
        (settings.instances, settings.rank, settings.limits.peers) = (48, 5, true);
        let mut bench = Bench::new(settings);
        let kind = |id: u32| Member { kind: KindIx(id as usize % 2), ..member(id) };
        bench.members(ListKind::Saved, (100..148).map(kind).collect());
        bench
    };
    let cohorts_of = |bench: &mut Bench, first_id: u32, count: u32| {
        let mut cohorts = std::collections::BTreeMap::new();
        for id in first_id..first_id + count {
            bench.now += 5 * MS;
            let actions = bench.arrive(id, 0, Micros::from(1 + id % 40) * 10 * MS);
            let to: std::collections::BTreeSet<u32> = actions.iter().filter_map(message_receiver).collect();
            for (_, worker) in sends(&actions) {
                cohorts.insert(worker, to.clone());
            }
        }
        cohorts
    };
    let (mut fresh, mut experienced) = (start(), start());
    for id in 1..400 {
        let size = Micros::from(1 + id % 40) * 10 * MS;
        for (request, worker) in sends(&experienced.arrive(id, 0, size)) {
            let elapsed = if worker.0 % 2 == 0 { size / 2 } else { size * 2 };
            experienced.now += elapsed;
            let (request, attempt, ending) = (RequestId(request), 0, Ending::Ok);
            let (running, concluded, report) = (false, true, None);
            let outcome = Outcome { request, attempt, worker, ending, elapsed, running, concluded, report };
            experienced.tell(Event::Outcome(outcome));
        }
    }
    let (fresh, experienced) = (cohorts_of(&mut fresh, 1, 100), cohorts_of(&mut experienced, 1000, 100));
    let both: Vec<_> = fresh.keys().filter(|worker| experienced.contains_key(worker)).collect();
    assert!(both.len() >= 5, "both dispatchers sent to only {} workers", both.len());
    for worker in both {
        assert_eq!(fresh[worker], experienced[worker], "cohort of worker {}", worker.0);
    }
}

/// The receiver of the message that an action sends, if the message has a single receiver.
fn message_receiver(action: &Action) -> Option<u32> {
    match action {
        Action::SendMessage { to, .. } => *to,
        _ => None,
    }
}

#[test]
fn job_spills_to_another_cohorts_worker_only_after_a_report_of_a_free_lane() {
    let mut settings = settings();
    (settings.instances, settings.rank, settings.limits.peers) = (48, 5, true);
    settings.limits.probes = true;
    let mut bench = Bench::with_workers(settings, &(100..148).collect::<Vec<_>>());
    let probed = |action: &Action| match action {
        Action::Probe(worker) => Some(*worker),
        _ => None,
    };
    // Each worker of the dispatcher's own share takes one job; the next job is held until another worker reports a free lane.
    let mut last_request = 0;
    let probed_workers = loop {
        last_request += 1;
        let actions = bench.arrive(last_request, 0, 400 * MS);
        if sends(&actions).is_empty() {
            break actions.iter().filter_map(probed).collect::<Vec<_>>();
        }
        assert!(last_request <= 48, "jobs were sent to all 48 workers without a report");
    };
    assert!((2..20).contains(&last_request), "the own share took {} jobs", last_request - 1);
    assert!(!probed_workers.is_empty(), "no worker is probed");
    bench.now += 10 * MS;
    let report = Some(Report { free_slots: Some(2.0), ..Report::default() });
    let (worker, ending, elapsed) = (probed_workers[0], Ending::Ok, 10 * MS);
    let actions = bench.tell(Event::Probed { worker, ending, elapsed, report });
    assert_eq!(sends(&actions), [(last_request, worker)]);
}

#[test]
fn dispatcher_with_a_rank_above_the_counted_maximum_starts_and_serves() {
    let mut settings = settings();
    (settings.instances, settings.rank, settings.limits.peers) = (10_000, 7_000, true);
    let mut bench = Bench::with_workers(settings, &[11]);
    assert_eq!(sends(&bench.arrive(1, 0, 10 * MS)).len(), 1);
}

/// Guards against a cohort without workers. To assign a worker, a position was drawn among the cohorts of all zones, and the
/// worker got the first cohort of its own zone after this position that was not full. The last cohort of a zone could so get no
/// worker. Its schedulers then refused most requests from the start although workers were idle. In the simulated incident
/// zone+mass on the plan head-office-stock with seed 4, the schedulers n274, n275 and n280 refused 64 of 77, 70 of 90 and 262
/// of 343 requests with `NoCapacity`. At its first refusal, n280 had 0 workers in its own share, 22 others in its zone and 170
/// in other zones. A scheduler sends a job to a worker of another cohort only after a report of that worker, and the report is
/// outdated by the next job.
#[test]
fn every_scheduler_can_send_to_a_worker_of_its_zone_even_if_the_zone_has_few() {
    const ZONES: u32 = 6;
    const RANKS: u32 = 300;
    let zone_of = |rank: u32| rank * ZONES / RANKS;
    // There are 192 workers, 6 to 50 of them in the last zone.
    for few in [6, 13, 22, 50] {
        let zone_of_worker = |nr: u32| if nr < few { ZONES - 1 } else { nr % (ZONES - 1) };
        let listed_member = |nr: u32| Member {
            zone: ZoneIx(zone_of_worker(nr) as usize),
            ..member((nr + 1).wrapping_mul(2_654_435_761))
        };
        let workers: Vec<Member> = (0..192).map(listed_member).collect();
        for rank in 0..RANKS {
            let mut settings = settings();
            (settings.instances, settings.rank, settings.limits.peers) = (RANKS, rank, true);
            (settings.zones, settings.zone) = (ZONES as usize, ZoneIx(zone_of(rank) as usize));
            settings.limits.probes = true;
            let mut bench = Bench::new(settings);
            for other in (0..RANKS).filter(|&other| other != rank) {
                bench.tell(Event::Peer { from: other, body: vec![1, zone_of(other) as u8, 0] });
            }
            bench.members(ListKind::Saved, workers.clone());
            let sent = sends(&bench.arrive(1, 0, 10 * MS));
            assert_eq!(
                sent.len(),
                1,
                "rank {rank} in zone {}, with {few} workers in the last zone, sent",
                zone_of(rank)
            );
        }
    }
}
