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
    // Here no request of this name is accepted before the end of the attempt is confirmed; the other process may have one.
    let again = fixture.table.add_request(fixture.now, 99, fixture.job(0, "a1"));
    assert_eq!(again, Err(IntakeError::MayRunTwice));
    fixture.table.set_open_elsewhere(fixture.now, "a1".to_owned(), true);
    assert_eq!(demand(&fixture), CancelDemand::Obsolete);
    fixture.table.set_open_elsewhere(fixture.now, "a1".to_owned(), false);
    fixture.table.cancel_confirmed(fixture.now, attempt);
    fixture.add_request(0);
    assert_eq!(demand(&fixture), CancelDemand::Obsolete);
}

// Guards picture (c): a request that comes again under its id after its client has left runs a second time, though its class
// forbids that, or beside its first attempt.
#[test]
fn a_name_that_comes_again_after_its_client_left_does_not_run_twice() {
    for (class, allow_duplicates, over_allowed) in
        [(0, true, true), (0, false, true), (1, true, false), (1, false, false)]
    {
        let mut fixture = Fixture::with(allow_duplicates);
        let attempt = fixture.add_request(class);
        fixture.table.attempt_written(fixture.now, attempt);
        fixture.table.attempt_accepted(attempt);
        fixture.table.client_left(99);
        fixture.process();
        fixture.process();
        let again =
            |fixture: &mut Fixture| fixture.table.add_request(fixture.now, 98, fixture.job(class, "a1"));
        let case = format!("class {class}, copies {allow_duplicates}");
        if class == 1 || !allow_duplicates {
            assert_eq!(
                again(&mut fixture),
                Err(IntakeError::MayRunTwice),
                "{case}, while the attempt may run"
            );
        }
        fixture.table.cancel_confirmed(fixture.now, attempt);
        fixture.process();
        assert_eq!(again(&mut fixture).is_ok(), over_allowed, "{case}, after the end of the attempt");
    }
}

// Guards against refusing a client that tries again under the same id where nothing has run.
#[test]
fn a_name_whose_request_never_ran_is_accepted_again() {
    let mut fixture = Fixture::new();
    let attempt = fixture.add_request(1);
    fixture.table.client_left(99);
    fixture.process();
    fixture.table.attempt_not_started(fixture.now, attempt, Ending::NotSent);
    fixture.process();
    assert!(fixture.table.requests.is_empty());
    fixture.add_request(1);
}

// Guards picture (c) at the other process of an upgrade: the name ended here, there, or with the other process.
#[test]
fn a_name_that_ended_at_the_other_process_does_not_run_again() {
    let mut predecessor = Fixture::new();
    let attempt = predecessor.add_request(1);
    predecessor.table.attempt_written(predecessor.now, attempt);
    assert!(predecessor.callback(AttemptUpdate::Served(b"r".to_vec())));
    predecessor.process();
    let mut successor = Fixture::new();
    let now = successor.now;
    successor.table.import_ended_names(now, predecessor.table.ended_names());
    for name in ["closed", "lost"] {
        successor.table.set_open_elsewhere(now, name.to_owned(), true);
        let open = successor.table.add_request(now, 98, successor.job(1, name));
        assert_eq!(open, Err(IntakeError::DuplicateName));
    }
    successor.table.set_open_elsewhere(now, "closed".to_owned(), false);
    successor.table.other_process_gone(now);
    for name in ["a1", "closed", "lost"] {
        let again = successor.table.add_request(now, 98, successor.job(1, name));
        assert_eq!(again, Err(IntakeError::MayRunTwice), "{name}");
    }
    assert!(successor.table.add_request(now, 98, successor.job(1, "new")).is_ok());
}
