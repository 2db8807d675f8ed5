//! What twenty and thirty dispatchers together send a worker that has just started: the sum, in any window, over the ramp.

mod common;

use calicolb::api::*;
use common::*;

/// How dispatchers hear of each other.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Talk {
    /// They may not speak.
    Barred,
    /// Every datagram is lost.
    Lost,
    /// Every datagram arrives.
    Heard,
}

/// One day: so many dispatchers, what they hear, the worker's lanes, the mean work of a job, and whether half of them start
/// anew in the middle of the ramp.
#[derive(Clone, Copy, Debug)]
struct Day {
    count: u32,
    talk: Talk,
    lanes: u32,
    work: Micros,
    restarts: bool,
}

fn dispatcher(day: Day, rank: u32, now: Micros, cold: &Member) -> Bench {
    let mut settings = settings();
    (settings.instances, settings.rank, settings.zones) = (day.count, rank, 1);
    settings.limits.peers = day.talk != Talk::Barred;
    let mut bench = Bench::new(settings);
    bench.now = now;
    bench.members(ListKind::Saved, vec![cold.clone()]);
    bench
}

/// Each of the dispatchers has a job every 20 ms, and each job ends at once, so that no lane ever holds one back: what they
/// send the worker, by time.
fn sent(day: Day) -> Vec<Micros> {
    let cold = Member { started: Some(T0), lanes: Some(day.lanes), ..member(11) };
    let mut all: Vec<Bench> = (0..day.count).map(|rank| dispatcher(day, rank, T0, &cold)).collect();
    let (mut sent, mut id) = (Vec::new(), 0);
    for now in (T0..T0 + settings().rules.cold).step_by(20 * MS as usize) {
        for rank in 0..day.count {
            if day.restarts && rank % 2 == 0 && now == T0 + settings().rules.cold / 2 {
                all[rank as usize] = dispatcher(day, rank, now, &cold);
            }
            id += 1;
            let bench = &mut all[rank as usize];
            bench.now = now;
            let mut actions = bench.arrive(id, 0, day.work);
            for (request, worker) in sends(&actions) {
                sent.push(now);
                actions.extend(bench.outcome(request, 0, worker, Ending::Ok));
            }
            if day.talk == Talk::Heard {
                for (to, body) in actions.into_iter().filter_map(|action| match action {
                    Action::SendMessage { to, body } => Some((to, body)),
                    _ => None,
                }) {
                    for hears in
                        (0..day.count).filter(|&hears| hears != rank && to.is_none_or(|to| to == hears))
                    {
                        all[hears as usize].now = now;
                        all[hears as usize].tell(Event::Peer { from: rank, body: body.clone() });
                    }
                }
            }
        }
    }
    sent
}

/// No window of the settings' length holds more than N jobs of mean work, twice the root of that and two: N is what the
/// worker bears then, and only so many are put down to chance.
fn kept(day: Day) {
    let (sent, rules) = (sent(day), settings().rules);
    assert!(!sent.is_empty(), "nobody sent anything: {day:?}");
    for (nr, &from) in sent.iter().enumerate() {
        let age = (from - T0) as f64 / rules.cold as f64;
        let capacity = (rules.start_capacity + (1.0 - rules.start_capacity) * age) * f64::from(day.lanes);
        let bears = rules.fall_multiple * capacity * rules.fall_window as f64 / day.work as f64;
        let count = sent[nr..].iter().take_while(|&&at| at < from + rules.fall_window).count() as f64;
        let bound = bears + 2.0 * bears.sqrt() + 2.0;
        assert!(count <= bound, "{count} in the window from {} us, {bound:.1} are borne: {day:?}", from - T0);
    }
}

fn days(talk: Talk) {
    for count in [20, 30] {
        for (lanes, work) in [(2, 400 * MS), (2, 100 * MS), (16, 400 * MS), (16, 50 * MS)] {
            for restarts in [false, true] {
                kept(Day { count, talk, lanes, work, restarts });
            }
        }
    }
}

#[test]
fn dispatchers_that_hear_each_other_do_not_push_a_cold_worker_over() {
    days(Talk::Heard);
}

#[test]
fn dispatchers_whose_every_datagram_is_lost_do_not_push_a_cold_worker_over() {
    days(Talk::Lost);
}

#[test]
fn dispatchers_that_may_not_speak_do_not_push_a_cold_worker_over() {
    days(Talk::Barred);
}
