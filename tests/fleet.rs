//! What one dispatcher of many may send a cold worker: the cohort's pool, and a fleet larger than its settings say.

mod common;

use calicolb::api::*;
use common::*;

/// Dispatchers that tell each other, with one worker of sixteen lanes that has just started.
fn fleet(instances: u32, rank: u32) -> (Bench, Member) {
    let mut settings = settings();
    (settings.instances, settings.rank, settings.limits.peers) = (instances, rank, true);
    let mut bench = Bench::new(settings);
    let cold = Member { started: Some(bench.now), lanes: Some(16), ..member(11) };
    bench.members(ListKind::Saved, vec![cold.clone()]);
    (bench, cold)
}

/// Jobs of 5 ms, one every millisecond from `first` on, each done at once; the work in milliseconds that went to the
/// cold worker.
fn offer(bench: &mut Bench, first: u32, count: u32) -> u64 {
    let mut sent = 0;
    for id in first..first + count {
        bench.now += MS;
        for (request, worker) in sends(&bench.arrive(id, 0, 5 * MS)) {
            bench.outcome(request, 0, worker, Ending::Ok);
            sent += 5;
        }
    }
    sent
}

/// What all senders may send it in a window: its budget with the module's margin of 0.4, as the settings make it.
fn budget_ms() -> f64 {
    let rules = settings().rules;
    0.4 * rules.fall_multiple * rules.start_capacity * 16.0 * rules.fall_window as f64 / MS as f64
}

#[test]
fn a_member_with_traffic_uses_what_the_others_of_its_cohort_leave_up_to_twice_its_part() {
    // Eight dispatchers, one cohort; only the first has jobs. Its even part is a ninth of the budget (eight members,
    // one warden): it may use up to twice that while the others say they sent nothing.
    let (mut busy, _) = fleet(8, 0);
    let part = budget_ms() / 9.0;
    let sent = offer(&mut busy, 1, 400) as f64;
    assert!(sent > part + 5.0, "{sent} ms sent, the even part is {part:.1}");
    assert!(sent <= 2.0 * part, "{sent} ms sent, twice the even part is {:.1}", 2.0 * part);
}

#[test]
fn what_the_other_members_told_they_sent_leaves_that_much_less() {
    // Another member tells that it has sent the cohort's whole pool: this one sends nothing more while that counts.
    let (mut busy, cold) = fleet(8, 0);
    let pool = (budget_ms() * 8.0 / 9.0).ceil() as u16;
    let [a, b, c, d] = cold.worker.0.to_le_bytes();
    let [low, high] = pool.to_le_bytes();
    busy.tell(Event::Peer { from: 1, body: vec![1, 1, a, b, c, d, 2, 2, low, high] });
    assert_eq!(offer(&mut busy, 1, 100), 0);
    // A window later it counts no more.
    busy.now += settings().rules.fall_window;
    assert!(offer(&mut busy, 200, 100) > 0);
}

#[test]
fn a_fleet_ten_times_larger_than_told_keeps_to_the_budget_once_it_is_heard() {
    // The settings say 30 dispatchers; there are 300, and each has heard from the highest rank. Together they send the
    // cold worker no more than it bears, however many of them have jobs for it.
    let bound = budget_ms() / 0.4;
    let mut all = 0;
    for rank in 0..300 {
        let (mut bench, _) = fleet(30, rank);
        bench.tell(Event::Peer { from: 299, body: vec![1, 0, 0] });
        all += offer(&mut bench, 1, 400);
    }
    assert!(all as f64 <= bound, "{all} ms sent by all, it bears {bound:.0}");
    assert!(all > 0, "nobody sent it anything");
}

/// Dispatchers that share twelve workers and hear each other, as far as `loss` of their datagrams, one in so many, are
/// not lost.
struct Tier {
    benches: Vec<Bench>,
    loss: usize,
    told: usize,
    next: u32,
    /// Jobs sent to each worker, and of these the ones that must not run twice.
    sent: std::collections::BTreeMap<u32, (u32, u32)>,
}

/// The worker of the tier that answers with errors.
const SICK: u32 = 15;

impl Tier {
    fn new(count: u32, loss: usize) -> Tier {
        let start = |rank| {
            let mut settings = settings();
            (settings.instances, settings.rank, settings.limits.peers) = (count, rank, true);
            Bench::with_workers(settings, &(10..22).collect::<Vec<_>>())
        };
        let benches = (0..count).map(start).collect();
        Tier { benches, loss, told: 0, next: 1, sent: Default::default() }
    }

    /// Carries messages to whom they are for.
    fn post(&mut self, from: usize, actions: &[Action]) {
        for action in actions {
            let Action::SendMessage { to, body } = action else { continue };
            for rank in (0..self.benches.len()).filter(|&rank| rank != from) {
                if to.is_none_or(|to| to as usize == rank) {
                    self.told += 1;
                    if self.loss == 0 || !self.told.is_multiple_of(self.loss) {
                        let body = body.clone();
                        self.benches[rank].tell(Event::Peer { from: from as u32, body });
                    }
                }
            }
        }
    }

    /// Notes what these actions of a dispatcher send, and gives it with the attempt.
    fn note(&mut self, rank: usize, actions: &[Action], attempt: u32) -> Vec<(usize, u32, u32, u32)> {
        self.post(rank, actions);
        let sent: Vec<_> = sends(actions).into_iter().map(|(id, hop)| (rank, id, attempt, hop.0)).collect();
        for &(_, id, _, hop) in &sent {
            let count = self.sent.entry(hop).or_default();
            (count.0, count.1) = (count.0 + 1, count.1 + id % 2);
        }
        sent
    }

    /// So many rounds, 200 ms apart, in which each dispatcher has three jobs, all out at once; those with odd numbers
    /// must not run twice. `sick` decides whether [`SICK`] fails them. Gives what it was sent, and of that what must
    /// not run twice.
    fn rounds(&mut self, rounds: usize, sick: bool) -> (u32, u32) {
        let before = self.sent.get(&SICK).copied().unwrap_or_default();
        for _ in 0..rounds {
            let mut out = Vec::new();
            let count = self.benches.len();
            for rank in (0..3 * count).map(|nr| nr % count) {
                let id = self.next;
                self.next += 1;
                let actions = self.benches[rank].arrive(id, (id % 2) as usize, 20 * MS);
                out.extend(self.note(rank, &actions, 0));
            }
            while let Some((rank, id, attempt, hop)) = out.pop() {
                // Every other job ends well even there.
                let ending = if sick && hop == SICK && id / 2 % 2 == 0 { Ending::Error } else { Ending::Ok };
                let mut actions = self.benches[rank].outcome(id, attempt, WorkerId(hop), ending);
                actions.extend(self.benches[rank].wait(10 * MS));
                out.extend(self.note(rank, &actions, attempt + 1).into_iter().filter(|sent| sent.1 == id));
            }
            let latest = self.benches.iter().map(|bench| bench.now).max().unwrap_or(0) + 200 * MS;
            self.benches.iter_mut().for_each(|bench| bench.now = latest);
        }
        let after = self.sent.get(&SICK).copied().unwrap_or_default();
        (after.0 - before.0, after.1 - before.1)
    }
}

#[test]
fn a_worker_that_answers_with_errors_is_found_out_once_for_all_of_them() {
    // In the first round all meet it at once; after that only who has not heard sends it more than trials.
    let play = |loss| {
        let mut tier = Tier::new(24, loss);
        tier.rounds(1, true);
        tier.rounds(80, true)
    };
    // With a tenth of the datagrams lost it is found out all the same.
    let (deaf, heard, lossy) = (play(1), play(0), play(10));
    assert!(heard.0 * 3 <= deaf.0, "sent to it: {heard:?} where they hear each other, {deaf:?} where not");
    assert!(lossy.0 * 2 <= deaf.0, "sent to it: {lossy:?} with a tenth lost, {deaf:?} with all");
    assert!(heard.1 * 4 <= deaf.1, "not to be run twice: {heard:?} where they hear each other, {deaf:?}");
}

#[test]
fn a_worker_that_is_well_again_is_used_again_by_all() {
    let mut tier = Tier::new(24, 0);
    tier.rounds(60, true);
    // The trials come once it has been left alone for up to sixteen seconds, and as much again by the draw.
    for bench in &mut tier.benches {
        bench.now += 33 * SECOND;
    }
    tier.rounds(30, false);
    let (all, once) = tier.rounds(60, false);
    let others: u32 = tier.sent.iter().filter(|(id, _)| **id != SICK).map(|(_, sent)| sent.0).sum();
    assert!(all > 0 && once > 0, "{all} jobs, {once} of them not to be run twice, of {others} elsewhere");
}

#[test]
fn one_confused_dispatcher_cannot_keep_the_workers_from_the_others() {
    let mut bench = fleet(8, 0).0;
    bench.members(ListKind::Full, (10..22).map(member).collect());
    // It says of every worker, again and again, that it is as bad as can be.
    for _ in 0..3 {
        for id in 10..22_u32 {
            let [a, b, c, d] = id.to_le_bytes();
            bench.tell(Event::Peer { from: 3, body: vec![1, a, b, c, d, 255] });
        }
        assert!(
            bench.dispatcher.avoided_worker_count(bench.now) <= 4,
            "{} avoided",
            bench.dispatcher.avoided_worker_count(bench.now)
        );
        bench.now += 2 * SECOND;
    }
    // Its word alone counts for a second, and twice that by the draw.
    assert_eq!(bench.dispatcher.avoided_worker_count(bench.now), 0);
    assert_eq!(sends(&bench.arrive(1, 1, 10 * MS)).len(), 1);
}

#[test]
fn a_worker_whose_own_reports_tell_of_errors_gets_no_job_that_must_not_run_twice() {
    let mut bench = Bench::with_workers(settings(), &[11]);
    assert_eq!(sends(&bench.arrive(1, 0, 10 * MS)).len(), 1);
    let report = Some(Report { errors_per_s: Some(3.0), ..Report::default() });
    let (request, worker, elapsed) = (RequestId(1), WorkerId(11), 100 * MS);
    let (attempt, ending, concluded) = (0, Ending::Ok, true);
    let running = false;
    let outcome = Outcome { request, attempt, worker, ending, elapsed, running, concluded, report };
    bench.tell(Event::Outcome(outcome));
    bench.now += 5 * SECOND;
    assert!(sends(&bench.arrive(2, 1, 10 * MS)).is_empty(), "it must not run twice");
    assert_eq!(sends(&bench.arrive(3, 0, 10 * MS)).len(), 1, "a trial");
    assert!(sends(&bench.arrive(4, 0, 10 * MS)).is_empty(), "one at a time");
}

#[test]
fn what_a_job_showed_of_a_workers_speed_is_known_to_the_cohort() {
    // One runs jobs at a worker that takes three times as long as hinted; another hears of it, a third does not.
    let start = |rank| {
        let mut bench = fleet(3, rank).0;
        bench.members(ListKind::Full, vec![member(12)]);
        bench
    };
    let (mut one, mut two, mut three) = (start(0), start(1), start(2));
    let estimate = |bench: &mut Bench| {
        let actions = bench.arrive(1, 0, 300 * MS);
        let told = actions.iter().find_map(|action| match action {
            // The end of what it has there, in units of 64 ms.
            Action::SendMessage { to: Some(_), body } if body.len() >= 8 => Some(body[7]),
            _ => None,
        });
        told.expect("the others are told")
    };
    for id in 10..30 {
        one.arrive(id, 0, 300 * MS);
        one.now += 900 * MS;
        let (request, worker, elapsed) = (RequestId(id), WorkerId(12), 900 * MS);
        let (attempt, ending, running, concluded, report) = (0, Ending::Ok, false, true, None);
        let outcome = Outcome { request, attempt, worker, ending, elapsed, running, concluded, report };
        for action in one.tell(Event::Outcome(outcome)) {
            if let Action::SendMessage { to: Some(1), body } = action {
                two.tell(Event::Peer { from: 0, body });
            }
        }
    }
    let (unheard, heard) = (estimate(&mut three), estimate(&mut two));
    assert!(heard >= unheard + 2, "{unheard} units where nothing was heard, {heard} where it was");
}

#[test]
fn dispatchers_agree_on_whose_a_worker_is_whatever_each_has_learned() {
    // Two of one rank: one has just started, the other has run hundreds of jobs of all sizes, and learned that the
    // machines of one kind are slow. Whom they tell of a worker is the cohort that it belongs to.
    let start = || {
        let mut settings = settings();
        (settings.instances, settings.rank, settings.limits.peers) = (48, 5, true);
        let mut bench = Bench::new(settings);
        let kind = |id: u32| Member { kind: KindIx(id as usize % 2), ..member(id) };
        bench.members(ListKind::Saved, (100..148).map(kind).collect());
        bench
    };
    let told = |bench: &mut Bench, first: u32, count: u32| {
        let mut cohorts = std::collections::BTreeMap::new();
        for id in first..first + count {
            bench.now += 5 * MS;
            let actions = bench.arrive(id, 0, Micros::from(1 + id % 40) * 10 * MS);
            let to: std::collections::BTreeSet<u32> = actions.iter().filter_map(told_to).collect();
            for (_, worker) in sends(&actions) {
                cohorts.insert(worker, to.clone());
            }
        }
        cohorts
    };
    let (mut fresh, mut veteran) = (start(), start());
    for id in 1..400 {
        let size = Micros::from(1 + id % 40) * 10 * MS;
        for (request, worker) in sends(&veteran.arrive(id, 0, size)) {
            let elapsed = if worker.0 % 2 == 0 { size / 2 } else { size * 2 };
            veteran.now += elapsed;
            let (request, attempt, ending) = (RequestId(request), 0, Ending::Ok);
            let (running, concluded, report) = (false, true, None);
            let outcome = Outcome { request, attempt, worker, ending, elapsed, running, concluded, report };
            veteran.tell(Event::Outcome(outcome));
        }
    }
    let (fresh, veteran) = (told(&mut fresh, 1, 100), told(&mut veteran, 1000, 100));
    let both: Vec<_> = fresh.keys().filter(|worker| veteran.contains_key(worker)).collect();
    assert!(both.len() >= 5, "both sent to {} workers", both.len());
    for worker in both {
        assert_eq!(fresh[worker], veteran[worker], "of worker {}", worker.0);
    }
}

/// Whom one action tells something, if it is one dispatcher.
fn told_to(action: &Action) -> Option<u32> {
    match action {
        Action::SendMessage { to, .. } => *to,
        _ => None,
    }
}

#[test]
fn a_job_spills_to_another_cohorts_worker_only_once_that_has_reported_a_free_lane() {
    let mut settings = settings();
    (settings.instances, settings.rank, settings.limits.peers) = (48, 5, true);
    settings.limits.probes = true;
    let mut bench = Bench::with_workers(settings, &(100..148).collect::<Vec<_>>());
    let probed = |action: &Action| match action {
        Action::Probe(worker) => Some(*worker),
        _ => None,
    };
    // The own share takes one job a worker; the first beyond it goes nowhere on a guess.
    let mut home = 0;
    let asked = loop {
        home += 1;
        let actions = bench.arrive(home, 0, 400 * MS);
        if sends(&actions).is_empty() {
            break actions.iter().filter_map(probed).collect::<Vec<_>>();
        }
        assert!(home <= 48, "every worker was sent to without a word from it");
    };
    assert!((2..20).contains(&home), "the own share took {} jobs", home - 1);
    assert!(!asked.is_empty(), "nobody is asked");
    bench.now += 10 * MS;
    let report = Some(Report { free_slots: Some(2.0), ..Report::default() });
    let (worker, ending, elapsed) = (asked[0], Ending::Ok, 10 * MS);
    let actions = bench.tell(Event::Probed { worker, ending, elapsed, report });
    assert_eq!(sends(&actions), [(home, worker)]);
}

#[test]
fn a_rank_beyond_those_that_are_counted_starts_and_serves() {
    let mut settings = settings();
    (settings.instances, settings.rank, settings.limits.peers) = (10_000, 7_000, true);
    let mut bench = Bench::with_workers(settings, &[11]);
    assert_eq!(sends(&bench.arrive(1, 0, 10 * MS)).len(), 1);
}

/// What happens: a few schedulers refuse nearly all that they get, from their first request on and with idle workers all
/// around (zone+mass, head-office-stock, seed 4: n274, n275 and n280 refuse 64 of 77, 70 of 90 and 262 of 343, `NoCapacity`).
/// Why: their cohort holds no worker. Workers of a zone were dealt to the first of its cohorts, in their order, behind a place
/// that was drawn among the cohorts of all zones; those before were filled up, and none was left for the last one. The log line
/// that showed it, at the first refusal of n280: `REF zone 5 … ["home 0 near 22 far 170"] HOMES [] … cohort Some(37)`; the
/// workers of others are sent to only after a report, which is old by the next job.
#[test]
fn every_scheduler_has_a_share_of_the_workers_of_its_zone_however_few_these_are() {
    const ZONES: u32 = 6;
    const RANKS: u32 = 300;
    let zone_of = |rank: u32| rank * ZONES / RANKS;
    // 192 workers, with 6 to 50 of them in the last zone.
    for few in [6, 13, 22, 50] {
        let place = |nr: u32| if nr < few { ZONES - 1 } else { nr % (ZONES - 1) };
        let listed = |nr: u32| Member {
            zone: ZoneIx(place(nr) as usize),
            ..member((nr + 1).wrapping_mul(2_654_435_761))
        };
        let workers: Vec<Member> = (0..192).map(listed).collect();
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
            assert_eq!(sent.len(), 1, "rank {rank} in zone {} of {few} workers", zone_of(rank));
        }
    }
}
