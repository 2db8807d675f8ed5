//! Tests of the request table with the decision module, for every relevant order of the events of an iteration.

use super::*;
use calicolb::wire;

mod cancellations;
mod repeated_reports;

const WORKER: WorkerId = WorkerId(7);
const SECOND: Micros = 1_000_000;

/// A request table with its deadlines and a simulated clock.
struct Fixture {
    table: RequestTable<&'static str>,
    deadlines: Deadlines,
    now: Micros,
    connect_timeout: Micros,
}

impl Fixture {
    /// A table with one worker, where two attempts of a request may be in progress at once.
    fn new() -> Fixture {
        Fixture::with(true)
    }

    /// A table with one worker. `allow_duplicates`: two attempts of a request may be in progress at once.
    fn with(allow_duplicates: bool) -> Fixture {
        let info = r#"{"azs":["a"],"kinds":["k"],"ceilings":{"cancelling":true,"may_duplicate":true,"most_tries":4},
            "request_classes":[{"name":"look","aim_us":900000,"deadline_us":9000000,"effect":"read_like"},
            {"name":"book","aim_us":900000,"deadline_us":9000000,"effect":"non_idempotent"}],
            "extra":{"class_stretch":[2.0,2.0]}}"#;
        let (mut settings, _) = wire::parse_settings(info).expect("parse the test settings");
        settings.limits.concurrent_attempts = allow_duplicates;
        let (now, connect_timeout) = (50 * SECOND, settings.limits.connect_timeout);
        let mut fixture = Fixture {
            connect_timeout,
            table: RequestTable::new(settings, 1, now, 100),
            deadlines: Deadlines::default(),
            now,
        };
        let member = Member {
            worker: WORKER,
            zone: ZoneIx(0),
            kind: KindIx(0),
            cell: 0,
            status: WorkerStatus::On,
            weight: 1.0,
            ..Member::default()
        };
        fixture.table.update_workers(WorkerSource::Discovery, ListKind::Saved, vec![member]);
        fixture.process();
        fixture
    }

    /// Processes the pending events.
    fn process(&mut self) -> Vec<Command<&'static str>> {
        self.table.process_events(self.now, &mut self.deadlines)
    }

    /// Advances the clock, and handles deadlines, until there are commands.
    fn next_commands(&mut self) -> Vec<Command<&'static str>> {
        for _ in 0..10_000 {
            self.now += 1_000;
            while let Some(due) = self.deadlines.next_due(self.now) {
                match due {
                    Deadline::DispatcherTimer(timer, _) => self.table.timer_fired(timer),
                    Deadline::AttemptTimeout(request, attempt) => {
                        self.table.attempt_timed_out(self.now, AttemptId { request, number: attempt });
                    }
                    other => panic!("unexpected deadline of the request table: {other:?}"),
                }
            }
            let commands = self.process();
            if !commands.is_empty() {
                return commands;
            }
        }
        panic!("no command within 10 s of simulated time");
    }

    fn job(&self, class: usize, name: &str) -> Job<&'static str> {
        Job {
            payload_bytes: 0,
            name: name.to_owned(),
            class: ClassIx(class),
            tenant: None,
            hint: None,
            client_timeout: 9 * SECOND,
            slots: Some(1),
            memory: 0.0,
            key: None,
            retry: false,
            skill: 0,
            updates: ClientUpdates::Nothing,
            payload: "job",
        }
    }

    /// Adds a request named `a1`, and returns the attempt that is sent for it.
    fn add_request(&mut self, class: usize) -> AttemptId {
        self.table.add_request(self.now, 99, self.job(class, "a1")).expect("add request a1");
        sent_attempt(&self.process())
    }

    /// Delivers a callback of the worker about request `a1`.
    fn callback(&mut self, update: AttemptUpdate) -> bool {
        self.table.attempt_update(self.now, "a1", WORKER, update, None)
    }
}

/// The attempt that the commands send, which has to be the only command.
fn sent_attempt(commands: &[Command<&'static str>]) -> AttemptId {
    match commands {
        [Command::SendAttempt { attempt, worker: WORKER, payload: "job", .. }] => *attempt,
        other => panic!("expected one SendAttempt command, got {other:?}"),
    }
}

fn send_answer(answer: Answer) -> Command<&'static str> {
    Command::SendAnswer { client: 99, answer }
}

#[test]
fn a_broken_connection_means_not_run_only_before_the_last_byte_is_written() {
    // Not written: a job that must not run twice may be refused as never run.
    let mut fixture = Fixture::new();
    let attempt = fixture.add_request(1);
    fixture.table.connection_broken(fixture.now, attempt);
    assert_eq!(fixture.next_commands(), [send_answer(Answer::Busy { retry_after: None })]);
    // Written: the job may have run, and must not be refused as never run.
    let mut fixture = Fixture::new();
    let attempt = fixture.add_request(1);
    fixture.table.attempt_written(fixture.now, attempt);
    fixture.table.connection_broken(fixture.now, attempt);
    assert_eq!(fixture.process(), [send_answer(Answer::Failed)]);
}

#[test]
fn a_broken_connection_is_ignored_once_the_job_is_accepted() {
    let mut fixture = Fixture::new();
    let attempt = fixture.add_request(1);
    fixture.table.attempt_written(fixture.now, attempt);
    fixture.table.attempt_accepted(attempt);
    fixture.table.connection_broken(fixture.now, attempt);
    assert_eq!(fixture.process(), []);
    assert!(fixture.callback(AttemptUpdate::Served(b"r".to_vec())));
    assert_eq!(fixture.process(), [send_answer(Answer::Served(b"r".to_vec()))]);
    assert!(
        !fixture.callback(AttemptUpdate::Served(b"r".to_vec())),
        "a repeated callback matched an open attempt"
    );
    assert_eq!((fixture.process(), fixture.table.unanswered_requests()), (vec![], 0));
}

#[test]
fn a_stale_callback_does_not_end_a_newer_attempt() {
    let mut fixture = Fixture::new();
    let first = fixture.add_request(1);
    assert!(
        !fixture.callback(AttemptUpdate::Ended(Ending::Full)),
        "a callback ended an attempt before its last byte was written"
    );
    fixture.table.attempt_written(fixture.now, first);
    assert!(!fixture.table.attempt_update(
        fixture.now,
        "a1",
        WorkerId(8),
        AttemptUpdate::Ended(Ending::Broken),
        None
    ));
    assert!(fixture.callback(AttemptUpdate::Ended(Ending::Full)));
    let second = sent_attempt(&fixture.next_commands());
    fixture.table.attempt_written(fixture.now, second);
    assert!(
        !fixture.callback(AttemptUpdate::Ended(Ending::Full)),
        "a repeated callback ended the new attempt before the worker accepted it"
    );
    fixture.table.attempt_accepted(second);
    assert!(fixture.callback(AttemptUpdate::Ended(Ending::Full)));
}

#[test]
fn an_attempt_at_its_time_limit_is_cancelled_and_its_request_answered() {
    let mut fixture = Fixture::new();
    let attempt = fixture.add_request(1);
    fixture.table.attempt_written(fixture.now, attempt);
    let cancel =
        Command::Cancel { attempt, worker: WORKER, name: "a1".to_owned(), receipt: Receipt::Unknown };
    assert_eq!(fixture.next_commands(), [cancel, send_answer(Answer::Failed)]);
}

#[test]
fn without_duplicates_a_cancelled_attempt_ends_only_when_its_worker_confirms() {
    let mut fixture = Fixture::with(false);
    let attempt = fixture.add_request(0);
    fixture.table.attempt_written(fixture.now, attempt);
    fixture.table.attempt_accepted(attempt);
    let action = Action::Cancel { request: RequestId(attempt.request), attempt: attempt.number };
    fixture.table.execute_action(fixture.now, action, &mut fixture.deadlines);
    // The cancellation is in transit and may be lost: the attempt has not ended, and no other attempt may be sent.
    let cancel =
        Command::Cancel { attempt, worker: WORKER, name: "a1".to_owned(), receipt: Receipt::Confirmed };
    assert_eq!(fixture.process(), [cancel]);
    assert!(!fixture.table.has_pending());
    fixture.table.cancel_confirmed(fixture.now, attempt);
    assert_eq!(sent_attempt(&fixture.next_commands()).number, 1);
    // Before its worker has confirmed the job, the attempt is not cancelled: the worker may be accepting it just then.
    let second = AttemptId { request: attempt.request, number: 1 };
    fixture.table.attempt_written(fixture.now, second);
    let action = Action::Cancel { request: RequestId(second.request), attempt: 1 };
    fixture.table.execute_action(fixture.now, action, &mut fixture.deadlines);
    assert_eq!(fixture.process(), []);
    fixture.table.attempt_accepted(second);
    assert!(matches!(fixture.process()[..], [Command::Cancel { .. }]));
    fixture.table.cancel_unaccepted(second);
    assert_eq!(fixture.process(), [], "a second cancellation was sent");
    // A result that arrives before the cancellation reaches the worker is the answer.
    assert!(fixture.callback(AttemptUpdate::Served(b"r".to_vec())));
    assert!(fixture.process().contains(&send_answer(Answer::Served(b"r".to_vec()))));
    fixture.table.cancel_confirmed(fixture.now, second);
    assert_eq!((fixture.process(), fixture.table.unanswered_requests()), (vec![], 0));
}

#[test]
fn a_client_that_has_left_gets_no_answer() {
    let mut fixture = Fixture::new();
    let attempt = fixture.add_request(0);
    fixture.table.attempt_written(fixture.now, attempt);
    fixture.table.client_left(99);
    assert!(fixture.callback(AttemptUpdate::Served(b"r".to_vec())));
    assert_eq!((fixture.process(), fixture.table.unanswered_requests()), (vec![], 0));
    assert!(fixture.table.requests.is_empty() && fixture.table.by_name.is_empty());
}

#[test]
fn a_client_that_arrives_and_leaves_in_one_batch_occupies_no_lane() {
    // The decision module sends on the arrival, before it processes the leaving. That attempt is never sent, and the
    // module must be told so; otherwise the only lane of the worker stays occupied.
    let mut fixture = Fixture::new();
    for _ in 0..5 {
        fixture.table.add_request(fixture.now, 98, fixture.job(0, "b1")).expect("add request b1");
        fixture.table.client_left(98);
        assert_eq!(fixture.process(), []);
        assert_eq!(fixture.process(), []);
    }
    assert_eq!(fixture.add_request(1).number, 0);
}

#[test]
fn an_attempt_that_was_not_accepted_is_cancelled_once() {
    // The end of the connection may be in transit when the decision module, told that the worker did not confirm the
    // job, cancels the attempt again.
    let mut fixture = Fixture::with(false);
    let attempt = fixture.add_request(0);
    fixture.table.attempt_written(fixture.now, attempt);
    let action = || Action::Cancel { request: RequestId(attempt.request), attempt: attempt.number };
    fixture.table.execute_action(fixture.now, action(), &mut fixture.deadlines);
    assert_eq!(fixture.process(), [], "the attempt was cancelled while the worker may still accept the job");
    fixture.now += network_delay::acceptance_timeout(fixture.connect_timeout);
    fixture.table.cancel_unaccepted(attempt);
    let cancel =
        Command::Cancel { attempt, worker: WORKER, name: "a1".to_owned(), receipt: Receipt::Unknown };
    assert_eq!(fixture.process(), [cancel]);
    fixture.table.execute_action(fixture.now, action(), &mut fixture.deadlines);
    assert_eq!(fixture.process(), []);
}

#[test]
fn with_duplicates_an_accepted_attempt_is_reported_over_when_its_worker_confirms_the_cancellation() {
    let mut fixture = Fixture::new();
    let attempt = fixture.add_request(0);
    fixture.table.attempt_written(fixture.now, attempt);
    fixture.table.attempt_accepted(attempt);
    let action = Action::Cancel { request: RequestId(attempt.request), attempt: attempt.number };
    fixture.table.execute_action(fixture.now, action, &mut fixture.deadlines);
    let running = |fixture: &mut Fixture| match fixture.table.events.pop_front() {
        Some(Event::Outcome(outcome)) => outcome.running,
        other => panic!("expected the outcome of the cancelled attempt, got {other:?}"),
    };
    assert!(running(&mut fixture), "the attempt was reported as over while the cancellation is in transit");
    let over = |fixture: &mut Fixture| {
        matches!(fixture.table.events.pop_front(), Some(Event::Note { note: AttemptNote::Over, .. }))
    };
    fixture.table.cancel_confirmed(fixture.now, attempt);
    assert!(over(&mut fixture));
    fixture.table.cancel_confirmed(fixture.now, attempt);
    assert!(fixture.table.events.is_empty(), "the end of the attempt was reported twice");
}

#[test]
fn a_cancelled_attempt_that_was_not_accepted_is_over_only_when_its_worker_says_so() {
    let is_over = |fixture: &mut Fixture| {
        matches!(fixture.table.events.pop_front(), Some(Event::Note { note: AttemptNote::Over, .. }))
    };
    let cancelled = || {
        let mut fixture = Fixture::new();
        let attempt = fixture.add_request(0);
        fixture.table.attempt_written(fixture.now, attempt);
        let action = Action::Cancel { request: RequestId(attempt.request), attempt: attempt.number };
        fixture.table.execute_action(fixture.now, action, &mut fixture.deadlines);
        assert!(matches!(
            fixture.table.events.pop_front(),
            Some(Event::Outcome(Outcome { running: true, .. }))
        ));
        // The end of the connection is no proof: the worker may have accepted the job before.
        fixture.table.connection_broken(fixture.now, attempt);
        assert!(
            fixture.table.events.is_empty(),
            "the attempt was reported as over without a word of its worker"
        );
        (fixture, attempt)
    };
    // The worker's own report of the end of the job counts, and gives no answer to the client.
    for update in [AttemptUpdate::Served(b"r".to_vec()), AttemptUpdate::Ended(Ending::Broken)] {
        let (mut fixture, _) = cancelled();
        assert!(!fixture.callback(update));
        assert!(is_over(&mut fixture));
    }
    // So does its answer to the cancellation.
    let (mut fixture, attempt) = cancelled();
    fixture.table.cancel_confirmed(fixture.now, attempt);
    assert!(is_over(&mut fixture));
    assert!(!fixture.callback(AttemptUpdate::Ended(Ending::Broken)));
    assert!(fixture.table.events.is_empty(), "the end of the attempt was reported twice");
}

#[test]
fn a_job_may_run_on_after_a_broken_connection_but_not_after_its_worker_reports_the_break() {
    let outcome = |connection_broke: bool| {
        let mut fixture = Fixture::new();
        let attempt = fixture.add_request(0);
        fixture.table.attempt_written(fixture.now, attempt);
        if connection_broke {
            fixture.table.connection_broken(fixture.now, attempt);
        } else {
            fixture.callback(AttemptUpdate::Ended(Ending::Broken));
        }
        match fixture.table.events.pop_front() {
            Some(Event::Outcome(Outcome { ending: Ending::Broken, running, .. })) => running,
            other => panic!("expected the outcome of the broken attempt, got {other:?}"),
        }
    };
    assert_eq!((outcome(true), outcome(false)), (true, false));
}

// Guards against memory that grows with each request for the whole time that its client stated, however soon it is answered.
#[test]
fn ended_attempts_leave_no_deadline_for_the_whole_time_of_their_clients() {
    let mut fixture = Fixture::new();
    for _ in 0..100 {
        let job = Job { client_timeout: 3_600 * SECOND, ..fixture.job(0, "a1") };
        fixture.table.add_request(fixture.now, 99, job).expect("add request a1");
        let attempt = sent_attempt(&fixture.process());
        fixture.table.attempt_written(fixture.now, attempt);
        fixture.table.attempt_accepted(attempt);
        fixture.callback(AttemptUpdate::Served(b"r".to_vec()));
        fixture.process();
    }
    fixture.now += 10 * SECOND;
    while fixture.deadlines.next_due(fixture.now).is_some() {}
    assert_eq!(fixture.deadlines.len(), 0);
}
