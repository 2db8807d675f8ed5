//! A dispatcher that nobody tells anything: no reports of load, no word from the others, starts told and no progress, jobs
//! that need memory, keyed jobs, late answers that still earn a share, and no two attempts at once.

mod common;

use calicolb::api::*;
use common::*;

/// Class 0 is safe, class 1 unsafe, class 2 keyed for 40 s and worth eight times as much.
fn alone() -> Settings {
    let mut settings = settings();
    (settings.reports, settings.reports_free_slots, settings.tells_start) =
        (ReportSource::NoReports, false, true);
    (settings.limits.concurrent_attempts, settings.limits.probes) = (false, true);
    let keyed = Effect::Keyed { group: Group::All, span: 40 * SECOND };
    settings.classes.push(Class { worth: 8.0, ..class(keyed) });
    settings.classes.iter_mut().for_each(|class| class.late_worth = 0.3);
    settings
}

fn started(bench: &mut Bench, id: u32, attempt: u32) -> Vec<Action> {
    bench.tell(Event::Note { request: RequestId(id), attempt, note: AttemptNote::Started })
}

#[test]
fn lanes_are_counted_by_what_starts_and_a_wait_shows_that_there_are_no_more() {
    let mut bench = Bench::with_workers(alone(), &[11]);
    assert_eq!(sends(&bench.arrive(1, 1, 2 * SECOND)).len(), 1);
    assert!(sends(&bench.arrive(2, 1, 100 * MS)).is_empty(), "nothing is known of a second lane yet");
    // One runs: there may be another lane, which is tried.
    assert_eq!(sends(&started(&mut bench, 1, 0)), []);
    let tried = bench.wait(50 * MS);
    assert_eq!(sends(&tried), [(2, WorkerId(11))]);
    // It does not start until the first has ended: there is none.
    bench.at(2 * SECOND);
    bench.outcome(1, 0, WorkerId(11), Ending::Ok);
    started(&mut bench, 2, 0);
    bench.at(2 * SECOND + 10 * MS);
    assert!(sends(&bench.arrive(3, 1, 100 * MS)).is_empty());
    bench.at(2 * SECOND + 100 * MS);
    assert_eq!(sends(&bench.outcome(2, 0, WorkerId(11), Ending::Ok)), [(3, WorkerId(11))]);
}

/// What becomes of a job of this class that does not start, while another worker is free.
fn stuck(class: usize, tries: u32) -> Vec<Action> {
    let mut settings = alone();
    settings.limits.max_attempts = tries;
    let mut bench = Bench::with_workers(settings, &[11, 12]);
    let first = sends(&bench.arrive(1, class, 100 * MS))[0].1;
    let mut actions = bench.wait(300 * MS);
    if actions.contains(&Action::Cancel { request: RequestId(1), attempt: 0 }) {
        assert!(sends(&actions).is_empty(), "not before it is known that the first has ended");
        let mut after = bench.outcome(1, 0, first, Ending::Cancelled);
        after.extend(bench.wait(20 * MS));
        assert!(sends(&after).iter().all(|(_, worker)| *worker != first));
        actions.extend(after);
    }
    actions
}

#[test]
fn a_job_that_does_not_start_moves_on_if_it_may_run_twice_and_a_try_is_left_after_that() {
    assert_eq!(sends(&stuck(0, 4)).len(), 1);
    assert_eq!(sends(&stuck(2, 4)).len(), 1);
    assert!(stuck(1, 4).iter().all(|action| !matches!(action, Action::Cancel { .. } | Action::Send { .. })));
    assert!(sends(&stuck(0, 2)).is_empty(), "the last try is kept for what may go wrong");
}

#[test]
fn a_second_try_has_its_own_time_to_start() {
    // The first fails just before its start was due to be told: what was set for it must not move the second.
    let mut bench = Bench::with_workers(alone(), &[11, 12]);
    let first = sends(&bench.arrive(1, 0, 100 * MS))[0].1;
    bench.at(40 * MS);
    let mut again = bench.outcome(1, 0, first, Ending::Error);
    again.extend(bench.wait(10 * MS));
    assert_eq!(sends(&again).len(), 1);
    let soon = bench.wait(30 * MS);
    assert!(soon.iter().all(|action| !matches!(action, Action::Cancel { .. })), "{soon:?}");
}

#[test]
fn a_keyed_job_is_repeated_at_19_s_and_never_at_39_or_41() {
    let run = |after| {
        let mut bench = Bench::with_workers(alone(), &[11, 12]);
        let expires = bench.now + 60 * SECOND;
        let job = Arrival { expires, ..arrival(1, 2, bench.now, 100 * MS) };
        let first = sends(&bench.tell(Event::Arrival(job)))[0].1;
        started(&mut bench, 1, 0);
        bench.at(after);
        let mut actions = bench.outcome(1, 0, first, Ending::Broken);
        actions.extend(bench.wait(100 * MS));
        (sends(&actions).len(), answers(&actions))
    };
    assert_eq!(run(19 * SECOND), (1, vec![]));
    // The workers may have forgotten it before a repeat has got there; all of them would drop one, so a refusal is true.
    assert_eq!(run(39 * SECOND).0, 0);
    assert_eq!(run(41 * SECOND).0, 0);
}

#[test]
fn planned_work_gives_way_to_what_is_worth_much_more_and_is_done_late() {
    let run = |worth: f64| {
        let mut settings = alone();
        settings.classes[2].worth = worth;
        settings.classes.iter_mut().for_each(|class| (class.aim, class.stretch) = (0, 2.5));
        let mut bench = Bench::new(settings);
        bench.members(ListKind::Saved, vec![Member { lanes: Some(1), ..member(11) }]);
        assert_eq!(sends(&bench.arrive(1, 1, 500 * MS)).len(), 1);
        bench.at(MS);
        started(&mut bench, 1, 0);
        // Planned for when the lane is free, and in time then; the other one would be in time only in its place.
        assert!(sends(&bench.arrive(2, 0, 400 * MS)).is_empty());
        assert!(sends(&bench.arrive(3, 2, 380 * MS)).is_empty());
        bench.at(501 * MS);
        let first = sends(&bench.outcome(1, 0, WorkerId(11), Ending::Ok));
        started(&mut bench, first[0].0, 0);
        bench.at(1_000 * MS);
        let mut actions = bench.outcome(first[0].0, 0, WorkerId(11), Ending::Ok);
        actions.extend(bench.wait(100 * MS));
        (first[0].0, sends(&actions))
    };
    // Late, but done: it still earns something.
    assert_eq!(run(8.0), (3, vec![(2, WorkerId(11))]));
    assert_eq!(run(1.0), (2, vec![(3, WorkerId(11))]));
}

#[test]
fn nothing_is_sent_on_a_list_that_is_too_old_and_all_again_once_it_is_fresh() {
    let mut settings = alone();
    settings.classes.iter_mut().for_each(|class| class.late_worth = 0.0);
    let mut bench = Bench::with_workers(settings, &[11]);
    let until = bench.now + SECOND;
    bench.tell(Event::ListLease(Some(until)));
    assert_eq!(sends(&bench.arrive(1, 0, 10 * MS)).len(), 1, "there is time");
    bench.outcome(1, 0, WorkerId(11), Ending::Ok);
    bench.at(SECOND);
    assert_eq!(answers(&bench.arrive(2, 1, 10 * MS)), [(2, true)], "refused at once: it never ran");
    bench.tell(Event::ListLease(None));
    assert_eq!(sends(&bench.arrive(3, 0, 10 * MS)).len(), 1);
}

#[test]
fn memory_of_any_size_stalls_nothing() {
    for (id, memory) in (1..).zip([0.4, 1.7, 64.0, 1e300, -1.0, f64::NAN, f64::INFINITY]) {
        let mut bench = Bench::with_workers(alone(), &[11, 12]);
        let job = Arrival { memory, ..arrival(id, 0, bench.now, 10 * MS) };
        let (sent, at) = sends(&bench.tell(Event::Arrival(job)))[0];
        // A worker that cannot run it says so, and it never ran: the job goes on, and is answered in the end.
        let mut actions = bench.outcome(sent, 0, at, Ending::Full);
        actions.extend(bench.wait(12 * SECOND));
        assert!(!sends(&actions).is_empty() || !answers(&actions).is_empty());
    }
}
