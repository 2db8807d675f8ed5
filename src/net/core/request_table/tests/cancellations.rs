//! Cancellations of attempts, and what shows that a worker has accepted a job.

use super::*;

// Guards against a lost confirmation: a job whose start its worker reports is accepted, so the end of its connection is no end.
#[test]
fn a_reported_start_shows_that_the_job_is_accepted() {
    for update in [AttemptNote::Started, AttemptNote::Progress(0.5)] {
        let mut fixture = Fixture::with(false);
        let attempt = fixture.add_request(0);
        fixture.table.attempt_written(fixture.now, attempt);
        assert!(fixture.callback(AttemptUpdate::Note(update)));
        fixture.table.connection_broken(fixture.now, attempt);
        assert_eq!(fixture.process(), [], "the job was given up");
        assert!(fixture.callback(AttemptUpdate::Served(b"r".to_vec())));
        assert_eq!(fixture.process(), [send_answer(Answer::Served(b"r".to_vec()))]);
    }
}

// Guards against a repeated report of a start that belongs to an earlier attempt at the worker being taken for a confirmation.
#[test]
fn a_start_that_an_earlier_attempt_may_have_reported_shows_no_acceptance() {
    let mut fixture = Fixture::with(false);
    let first = fixture.add_request(0);
    fixture.table.attempt_written(fixture.now, first);
    assert!(fixture.callback(AttemptUpdate::Note(AttemptNote::Started)));
    let action = Action::Cancel { request: RequestId(first.request), attempt: first.number };
    fixture.table.execute_action(fixture.now, action, &mut fixture.deadlines);
    fixture.process();
    fixture.table.cancel_confirmed(fixture.now, first);
    let second = sent_attempt(&fixture.next_commands());
    fixture.table.attempt_written(fixture.now, second);
    assert!(fixture.callback(AttemptUpdate::Note(AttemptNote::Started)));
    fixture.process();
    fixture.table.connection_broken(fixture.now, second);
    assert!(fixture.table.has_pending(), "the attempt of a worker that has confirmed nothing was kept open");
}

// Guards a job that has begun: a cancellation that waits for the job's confirmation is withdrawn when the job starts.
#[test]
fn a_pending_cancellation_is_withdrawn_when_the_job_starts() {
    let mut fixture = Fixture::with(false);
    let attempt = fixture.add_request(0);
    fixture.table.attempt_written(fixture.now, attempt);
    let action = Action::Cancel { request: RequestId(attempt.request), attempt: attempt.number };
    fixture.table.execute_action(fixture.now, action, &mut fixture.deadlines);
    assert!(fixture.callback(AttemptUpdate::Note(AttemptNote::Started)));
    fixture.now += network_delay::acceptance_timeout(fixture.connect_timeout);
    fixture.table.cancel_unaccepted(attempt);
    fixture.table.attempt_accepted(attempt);
    assert_eq!(fixture.process(), [], "a job that runs was cancelled");
    assert!(fixture.callback(AttemptUpdate::Served(b"r".to_vec())));
    assert_eq!(fixture.process(), [send_answer(Answer::Served(b"r".to_vec()))]);
}

// Guards a later job of the same name, which a repeated cancellation of an earlier attempt would end at the same worker.
#[test]
fn a_cancellation_is_obsolete_once_its_name_is_in_use_again() {
    let mut fixture = Fixture::with(false);
    let attempt = fixture.add_request(0);
    fixture.table.attempt_written(fixture.now, attempt);
    let demand = |fixture: &Fixture| fixture.table.cancel_demand(attempt, "a1");
    let action = Action::Cancel { request: RequestId(attempt.request), attempt: attempt.number };
    fixture.table.execute_action(fixture.now, action, &mut fixture.deadlines);
    assert_eq!(demand(&fixture), CancelDemand::Awaited);
    fixture.table.client_left(99);
    fixture.process();
    fixture.process();
    fixture.process();
    assert!(fixture.table.requests.is_empty());
    assert_eq!(demand(&fixture), CancelDemand::Optional);
    fixture.add_request(0);
    assert_eq!(demand(&fixture), CancelDemand::Obsolete);
}
