//! Repeated reports of an end, and reports that several attempts at one worker may have sent.

use super::super::attribution::{Attribution, attribute_end};
use super::*;

/// Hands request `a1` of this class back once. Returns the second attempt, which is written.
fn handed_back_once(fixture: &mut Fixture, class: usize) -> AttemptId {
    let first = fixture.add_request(class);
    fixture.table.attempt_written(fixture.now, first);
    fixture.table.attempt_accepted(first);
    assert!(fixture.callback(AttemptUpdate::Ended(Ending::Full)));
    let second = sent_attempt(&fixture.next_commands());
    fixture.table.attempt_written(fixture.now, second);
    second
}

// Guards against a job that must not run twice being sent again while it runs, because its worker repeated a report.
#[test]
fn a_repeated_hand_back_leaves_an_attempt_open_that_must_not_run_twice() {
    for (accepted_before, started_before) in [(false, false), (true, false), (true, true)] {
        let mut fixture = Fixture::new();
        let second = handed_back_once(&mut fixture, 1);
        if accepted_before {
            fixture.table.attempt_accepted(second);
        }
        if started_before {
            assert!(fixture.callback(AttemptUpdate::Note(AttemptNote::Started)));
        }
        fixture.callback(AttemptUpdate::Ended(Ending::Full));
        assert_eq!(fixture.process(), [], "accepted {accepted_before}, started {started_before}");
        fixture.table.attempt_accepted(second);
        assert_eq!(fixture.process(), []);
        assert!(fixture.callback(AttemptUpdate::Served(b"r".to_vec())));
        assert_eq!(fixture.process(), [send_answer(Answer::Served(b"r".to_vec()))]);
    }
}

// Guards against a further attempt at the worker of a safe job while the job runs there, and the worker repeats a report.
#[test]
fn a_repeated_hand_back_does_not_show_that_a_cancelled_attempt_is_over() {
    let mut fixture = Fixture::new();
    let second = handed_back_once(&mut fixture, 0);
    fixture.table.attempt_accepted(second);
    fixture.callback(AttemptUpdate::Ended(Ending::Full));
    let cancel = Command::Cancel {
        attempt: second,
        worker: WORKER,
        name: "a1".to_owned(),
        receipt: Receipt::Confirmed,
    };
    assert_eq!(fixture.process(), [cancel]);
    fixture.process();
    fixture.callback(AttemptUpdate::Ended(Ending::Full));
    assert!(!fixture.table.has_pending(), "the repeat was taken for the end of the cancelled attempt");
    fixture.table.cancel_confirmed(fixture.now, second);
    assert_eq!(sent_attempt(&fixture.next_commands()).number, 2);
}

// Guards the true report: a hand-back that overtakes the confirmation of its job is applied when the confirmation comes.
#[test]
fn a_hand_back_before_the_confirmation_is_applied_with_the_confirmation() {
    let mut fixture = Fixture::new();
    let second = handed_back_once(&mut fixture, 0);
    fixture.callback(AttemptUpdate::Ended(Ending::Full));
    assert_eq!(fixture.process(), []);
    fixture.table.attempt_accepted(second);
    let cancel = Command::Cancel {
        attempt: second,
        worker: WORKER,
        name: "a1".to_owned(),
        receipt: Receipt::Confirmed,
    };
    assert_eq!(fixture.process(), [cancel]);
}

// Guards against a job being cancelled while it runs, because a repeat came before its start and both before its confirmation.
#[test]
fn a_repeated_hand_back_before_the_start_does_not_cancel_a_safe_job_at_its_confirmation() {
    let mut fixture = Fixture::new();
    let second = handed_back_once(&mut fixture, 0);
    fixture.callback(AttemptUpdate::Ended(Ending::Full));
    assert!(fixture.callback(AttemptUpdate::Note(AttemptNote::Started)));
    fixture.table.attempt_accepted(second);
    assert_eq!(fixture.process(), []);
    assert!(fixture.callback(AttemptUpdate::Served(b"r".to_vec())));
    assert_eq!(fixture.process(), [send_answer(Answer::Served(b"r".to_vec()))]);
}

// Guards against the hand-back of a started job being taken for proof that the job never ran.
#[test]
fn a_hand_back_after_the_start_is_no_proof_that_the_job_never_ran() {
    let mut fixture = Fixture::new();
    let attempt = fixture.add_request(1);
    fixture.table.attempt_written(fixture.now, attempt);
    fixture.table.attempt_accepted(attempt);
    assert!(fixture.callback(AttemptUpdate::Note(AttemptNote::Started)));
    fixture.callback(AttemptUpdate::Ended(Ending::Full));
    let cancel =
        Command::Cancel { attempt, worker: WORKER, name: "a1".to_owned(), receipt: Receipt::Confirmed };
    assert_eq!(fixture.next_commands(), [cancel, send_answer(Answer::Failed)]);
}

// Guards the true report: where the worker turned the first attempt down on its connection, no callback can be a repeat.
#[test]
fn a_hand_back_after_an_attempt_that_was_declined_on_its_connection_counts_at_once() {
    let mut fixture = Fixture::new();
    let first = fixture.add_request(1);
    fixture.table.attempt_written(fixture.now, first);
    fixture.table.attempt_failed(fixture.now, first, Ending::Full, None);
    let second = sent_attempt(&fixture.next_commands());
    fixture.table.attempt_written(fixture.now, second);
    fixture.table.attempt_accepted(second);
    assert!(fixture.callback(AttemptUpdate::Ended(Ending::Full)));
    assert_eq!(fixture.next_commands(), [send_answer(Answer::Busy { retry_after: None })]);
}

// Guards against a repeated hand-back ending a job at the process that has taken the request over.
#[test]
fn a_repeated_hand_back_leaves_an_adopted_attempt_open() {
    let mut predecessor = Fixture::new();
    let second = handed_back_once(&mut predecessor, 1);
    predecessor.table.attempt_accepted(second);
    let (_, _, history) = predecessor.table.history(second.request).expect("request a1 is open");
    let mut successor = Fixture::new();
    let job = successor.job(1, "a1");
    successor.table.adopt(successor.now, 99, job, &history, &mut successor.deadlines);
    successor.process();
    successor.callback(AttemptUpdate::Ended(Ending::Full));
    assert_eq!(successor.process(), []);
    assert!(successor.callback(AttemptUpdate::Served(b"r".to_vec())));
    assert_eq!(successor.process(), [send_answer(Answer::Served(b"r".to_vec()))]);
}

/// An attempt at the worker that was written, and has ended in this way if `ending` is given.
fn written(ending: Option<Ending>, ended_by: Option<Ending>) -> Attempt {
    Attempt { written_at: Some(SECOND), accepted: true, ending, ended_by, ..Attempt::new(WORKER, SECOND) }
}

// Guards against a repeat of any end report that an earlier attempt at the worker may have sent, for every report.
#[test]
fn only_an_end_that_no_earlier_attempt_may_have_reported_is_attributed_to_the_current_one() {
    let open = written(None, None);
    for reported in [Ending::Full, Ending::Broken, Ending::Error] {
        let by_callback = [written(Some(reported), Some(reported))];
        let cancelled = [written(Some(Ending::Cancelled), None)];
        let declined = [Attempt { declined: true, ..written(Some(Ending::Error), None) }];
        let unreachable = [Attempt { written_at: None, ..written(Some(Ending::Unreachable), None) }];
        let elsewhere = [Attempt { worker: WorkerId(8), ..written(Some(reported), Some(reported)) }];
        for ending in [Ending::Full, Ending::Broken, Ending::Error] {
            let repeated = if ending == reported { Attribution::Uncertain } else { Attribution::Current };
            assert_eq!(
                attribute_end(by_callback.iter(), &open, ending),
                repeated,
                "{reported:?}, then {ending:?}"
            );
            assert_eq!(attribute_end(cancelled.iter(), &open, ending), Attribution::Uncertain);
            for earlier in [&declined, &unreachable, &elsewhere] {
                assert_eq!(attribute_end(earlier.iter(), &open, ending), Attribution::Current);
            }
        }
    }
    // The start of a job is proof only if no earlier attempt there may have reported one.
    let started = Attempt { started: true, ..open };
    let handed_back = written(Some(Ending::Full), Some(Ending::Full));
    let lost = written(Some(Ending::Broken), Some(Ending::Broken));
    assert_eq!(attribute_end([handed_back].iter(), &started, Ending::Full), Attribution::Earlier);
    let handed_back = written(Some(Ending::Full), Some(Ending::Full));
    assert_eq!(attribute_end([lost, handed_back].iter(), &started, Ending::Full), Attribution::Uncertain);
}

// Guards against a repeated hand-back ending a job that the client has sent again under the same name after a refusal.
#[test]
fn a_repeated_hand_back_does_not_end_a_request_that_came_again_under_the_same_name() {
    let mut fixture = Fixture::new();
    let first = fixture.add_request(1);
    fixture.table.attempt_written(fixture.now, first);
    fixture.table.attempt_accepted(first);
    assert!(fixture.callback(AttemptUpdate::Ended(Ending::Full)));
    fixture.table.answer_at_process_end(first.request);
    assert_eq!(fixture.process(), [send_answer(Answer::Busy { retry_after: None })]);
    fixture.table.add_request(fixture.now, 99, fixture.job(1, "a1")).expect("add request a1 again");
    let again = sent_attempt(&fixture.next_commands());
    fixture.table.attempt_written(fixture.now, again);
    fixture.table.attempt_accepted(again);
    fixture.callback(AttemptUpdate::Ended(Ending::Full));
    assert_eq!(fixture.process(), []);
    assert!(fixture.callback(AttemptUpdate::Served(b"r".to_vec())));
    assert_eq!(fixture.process(), [send_answer(Answer::Served(b"r".to_vec()))]);
}
