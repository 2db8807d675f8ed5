//! Tests of a dispatcher with little information: no load reports and no peer messages, notes of starts but not of
//! progress. The settings allow no concurrent attempts, and late answers keep 0.3 of their worth. Some jobs are keyed
//! or need memory.

mod common;

use calicolb::api::*;
use common::*;

/// Settings in which class 0 is safe, class 1 unsafe, and class 2 keyed for 40 s and worth 8.
fn no_report_settings() -> Settings {
    let mut settings = settings();
    (settings.reports, settings.reports_free_slots, settings.tells_start) =
        (ReportSource::NoReports, false, true);
    (settings.limits.concurrent_attempts, settings.limits.probes) = (false, true);
    let keyed = Effect::Keyed { group: Group::All, span: 40 * SECOND };
    settings.classes.push(Class { worth: 8.0, ..class(keyed) });
    settings.classes.iter_mut().for_each(|class| class.late_worth = 0.3);
    settings
}

/// Notes that the attempt has started at its worker.
fn started(bench: &mut Bench, id: u32, attempt: u32) -> Vec<Action> {
    bench.tell(Event::Note { request: RequestId(id), attempt, note: AttemptNote::Started })
}

#[test]
fn lane_count_is_learned_from_starts_and_waiting_jobs() {
    let mut bench = Bench::with_workers(no_report_settings(), &[11]);
    assert_eq!(sends(&bench.arrive(1, 1, 2 * SECOND)).len(), 1);
    assert!(
        sends(&bench.arrive(2, 1, 100 * MS)).is_empty(),
        "no second lane is known before a job has started"
    );
    // Job 1 runs in the known lane. There may be another lane, so job 2 is sent to try it.
    assert_eq!(sends(&started(&mut bench, 1, 0)), []);
    let trial = bench.wait(50 * MS);
    assert_eq!(sends(&trial), [(2, WorkerId(11))]);
    // Job 2 starts only after job 1 has ended, which shows that there is no second lane.
    bench.at(2 * SECOND);
    bench.outcome(1, 0, WorkerId(11), Ending::Ok);
    started(&mut bench, 2, 0);
    bench.at(2 * SECOND + 10 * MS);
    assert!(sends(&bench.arrive(3, 1, 100 * MS)).is_empty());
    bench.at(2 * SECOND + 100 * MS);
    assert_eq!(sends(&bench.outcome(2, 0, WorkerId(11), Ending::Ok)), [(3, WorkerId(11))]);
}

/// The actions for a job of this class that does not start at its first worker, while another worker is free.
fn actions_for_unstarted_job(class: usize, max_attempts: u32) -> Vec<Action> {
    let mut settings = no_report_settings();
    settings.limits.max_attempts = max_attempts;
    let mut bench = Bench::with_workers(settings, &[11, 12]);
    let first = sends(&bench.arrive(1, class, 100 * MS))[0].1;
    let mut actions = bench.wait(300 * MS);
    if actions.contains(&Action::Cancel { request: RequestId(1), attempt: 0 }) {
        assert!(sends(&actions).is_empty(), "no second attempt before the first is confirmed cancelled");
        let mut after = bench.outcome(1, 0, first, Ending::Cancelled);
        after.extend(bench.wait(20 * MS));
        assert!(sends(&after).iter().all(|(_, worker)| *worker != first));
        actions.extend(after);
    }
    actions
}

#[test]
fn unstarted_job_is_resent_if_repeatable_and_another_attempt_remains() {
    assert_eq!(sends(&actions_for_unstarted_job(0, 4)).len(), 1);
    assert_eq!(sends(&actions_for_unstarted_job(2, 4)).len(), 1);
    assert!(
        actions_for_unstarted_job(1, 4)
            .iter()
            .all(|action| !matches!(action, Action::Cancel { .. } | Action::Send { .. }))
    );
    assert!(
        sends(&actions_for_unstarted_job(0, 2)).is_empty(),
        "the last attempt is kept for a later failure"
    );
}

#[test]
fn second_attempt_has_its_own_start_timeout() {
    // The first attempt fails just before its start timeout. That timeout must not cancel the second attempt.
    let mut bench = Bench::with_workers(no_report_settings(), &[11, 12]);
    let first = sends(&bench.arrive(1, 0, 100 * MS))[0].1;
    bench.at(40 * MS);
    let mut resent = bench.outcome(1, 0, first, Ending::Error);
    resent.extend(bench.wait(10 * MS));
    assert_eq!(sends(&resent).len(), 1);
    let actions = bench.wait(30 * MS);
    assert!(actions.iter().all(|action| !matches!(action, Action::Cancel { .. })), "{actions:?}");
}

#[test]
fn job_keyed_for_40_s_is_repeated_at_19_s_but_not_at_39_or_41_s() {
    let run = |after| {
        let mut bench = Bench::with_workers(no_report_settings(), &[11, 12]);
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
    // The workers may forget the key before a repeat arrives, so the job is not resent. Until then each worker would
    // drop a repeat, so that a refusal is correct.
    assert_eq!(run(39 * SECOND).0, 0);
    assert_eq!(run(41 * SECOND).0, 0);
}

#[test]
fn planned_job_yields_to_a_job_of_much_higher_worth_and_runs_late() {
    let run = |worth: f64| {
        let mut settings = no_report_settings();
        settings.classes[2].worth = worth;
        settings.classes.iter_mut().for_each(|class| (class.aim, class.stretch) = (0, 2.5));
        let mut bench = Bench::new(settings);
        bench.members(ListKind::Saved, vec![Member { lanes: Some(1), ..member(11) }]);
        assert_eq!(sends(&bench.arrive(1, 1, 500 * MS)).len(), 1);
        bench.at(MS);
        started(&mut bench, 1, 0);
        // Job 2 is planned for the time when the lane is free and would be in time. Job 3 would be in time only in
        // place of job 2.
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
    // The job that yielded runs late, because a late answer still has some worth.
    assert_eq!(run(8.0), (3, vec![(2, WorkerId(11))]));
    assert_eq!(run(1.0), (2, vec![(3, WorkerId(11))]));
}

#[test]
fn requests_are_refused_after_the_list_lease_ends_and_sent_after_it_is_lifted() {
    let mut settings = no_report_settings();
    settings.classes.iter_mut().for_each(|class| class.late_worth = 0.0);
    let mut bench = Bench::with_workers(settings, &[11]);
    let lease_end = bench.now + SECOND;
    bench.tell(Event::ListLease(Some(lease_end)));
    assert_eq!(sends(&bench.arrive(1, 0, 10 * MS)).len(), 1, "the lease has not ended");
    bench.outcome(1, 0, WorkerId(11), Ending::Ok);
    bench.at(SECOND);
    assert_eq!(answers(&bench.arrive(2, 1, 10 * MS)), [(2, true)], "refused at once, as it never ran");
    bench.tell(Event::ListLease(None));
    assert_eq!(sends(&bench.arrive(3, 0, 10 * MS)).len(), 1);
}

#[test]
fn request_with_any_memory_value_is_sent_or_answered() {
    for (id, memory) in (1..).zip([0.4, 1.7, 64.0, 1e300, -1.0, f64::NAN, f64::INFINITY]) {
        let mut bench = Bench::with_workers(no_report_settings(), &[11, 12]);
        let job = Arrival { memory, ..arrival(id, 0, bench.now, 10 * MS) };
        let (request, worker) = sends(&bench.tell(Event::Arrival(job)))[0];
        // The worker refuses the job, which never ran: the job is sent to another worker or answered within 12 s.
        let mut actions = bench.outcome(request, 0, worker, Ending::Full);
        actions.extend(bench.wait(12 * SECOND));
        assert!(!sends(&actions).is_empty() || !answers(&actions).is_empty());
    }
}
