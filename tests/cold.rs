//! Total number of jobs that 20 and 30 dispatchers send a worker that has just started, in every window of its warm-up.

mod common;

use calicolb::api::*;
use common::*;

/// Delivery of peer messages between the dispatchers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum PeerMessages {
    /// Peer messages are disabled in the settings.
    Disabled,
    /// Every message is lost.
    Lost,
    /// Every message arrives.
    Delivered,
}

/// Parameters of one run.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    /// Number of dispatchers.
    count: u32,
    peer_messages: PeerMessages,
    /// Lanes of the worker.
    lanes: u32,
    /// Mean work of a job in microseconds.
    work: Micros,
    /// Half of the dispatchers restart in the middle of the warm-up.
    restarts: bool,
}

/// Starts the dispatcher of this rank, whose list contains only the cold worker.
fn dispatcher(scenario: Scenario, rank: u32, now: Micros, cold: &Member) -> Bench {
    let mut settings = settings();
    (settings.instances, settings.rank, settings.zones) = (scenario.count, rank, 1);
    settings.limits.peers = scenario.peer_messages != PeerMessages::Disabled;
    let mut bench = Bench::new(settings);
    bench.now = now;
    bench.members(ListKind::Saved, vec![cold.clone()]);
    bench
}

/// Sends every dispatcher a request every 20 ms; each attempt ends at once, so that a lane is always free. Returns the times of
/// all attempts at the worker.
fn send_times(scenario: Scenario) -> Vec<Micros> {
    let cold = Member { started: Some(T0), lanes: Some(scenario.lanes), ..member(11) };
    let mut benches: Vec<Bench> =
        (0..scenario.count).map(|rank| dispatcher(scenario, rank, T0, &cold)).collect();
    let (mut times, mut id) = (Vec::new(), 0);
    for now in (T0..T0 + settings().rules.cold).step_by(20 * MS as usize) {
        for rank in 0..scenario.count {
            if scenario.restarts && rank % 2 == 0 && now == T0 + settings().rules.cold / 2 {
                benches[rank as usize] = dispatcher(scenario, rank, now, &cold);
            }
            id += 1;
            let bench = &mut benches[rank as usize];
            bench.now = now;
            let mut actions = bench.arrive(id, 0, scenario.work);
            for (request, worker) in sends(&actions) {
                times.push(now);
                actions.extend(bench.outcome(request, 0, worker, Ending::Ok));
            }
            if scenario.peer_messages == PeerMessages::Delivered {
                for (to, body) in actions.into_iter().filter_map(|action| match action {
                    Action::SendMessage { to, body } => Some((to, body)),
                    _ => None,
                }) {
                    for receiver in (0..scenario.count)
                        .filter(|&receiver| receiver != rank && to.is_none_or(|to| to == receiver))
                    {
                        benches[receiver as usize].now = now;
                        benches[receiver as usize].tell(Event::Peer { from: rank, body: body.clone() });
                    }
                }
            }
        }
    }
    times
}

/// Asserts that no window of the configured length has more than N + 2 * sqrt(N) + 2 jobs of mean work. N is the limit of the
/// worker at the start of the window; the excess allows for chance.
fn assert_limit(scenario: Scenario) {
    let (times, rules) = (send_times(scenario), settings().rules);
    assert!(!times.is_empty(), "no dispatcher sent a job: {scenario:?}");
    for (nr, &from) in times.iter().enumerate() {
        let age = (from - T0) as f64 / rules.cold as f64;
        let capacity =
            (rules.start_capacity + (1.0 - rules.start_capacity) * age) * f64::from(scenario.lanes);
        let limit = rules.fall_multiple * capacity * rules.fall_window as f64 / scenario.work as f64;
        let count = times[nr..].iter().take_while(|&&at| at < from + rules.fall_window).count() as f64;
        let bound = limit + 2.0 * limit.sqrt() + 2.0;
        assert!(
            count <= bound,
            "{count} jobs in the window from {} us, the bound is {bound:.1}: {scenario:?}",
            from - T0
        );
    }
}

/// Runs all combinations of fleet size, lanes, work and restarts.
fn run_all(peer_messages: PeerMessages) {
    for count in [20, 30] {
        for (lanes, work) in [(2, 400 * MS), (2, 100 * MS), (16, 400 * MS), (16, 50 * MS)] {
            for restarts in [false, true] {
                assert_limit(Scenario { count, peer_messages, lanes, work, restarts });
            }
        }
    }
}

#[test]
fn dispatchers_with_peer_messages_do_not_overload_a_cold_worker() {
    run_all(PeerMessages::Delivered);
}

#[test]
fn dispatchers_whose_peer_messages_are_lost_do_not_overload_a_cold_worker() {
    run_all(PeerMessages::Lost);
}

#[test]
fn dispatchers_without_peer_messages_do_not_overload_a_cold_worker() {
    run_all(PeerMessages::Disabled);
}
