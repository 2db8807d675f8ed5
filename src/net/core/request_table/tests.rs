//! The desk with the decision module behind it, and a turn's facts in every order that matters.

use super::*;
use calicolb::wire;

const HOP: WorkerId = WorkerId(7);
const SECOND: Micros = 1_000_000;

struct Table {
    desk: RequestTable<&'static str>,
    deadlines: Deadlines,
    now: Micros,
    connect_timeout: Micros,
}

impl Table {
    /// A desk with one next hop, where two attempts of a request may be out at once.
    fn new() -> Table {
        Table::with(true)
    }

    fn with(copies: bool) -> Table {
        let info = r#"{"azs":["a"],"kinds":["k"],"ceilings":{"cancelling":true,"may_duplicate":true,"most_tries":4},
            "request_classes":[{"name":"look","aim_us":900000,"deadline_us":9000000,"effect":"read_like"},
            {"name":"book","aim_us":900000,"deadline_us":9000000,"effect":"non_idempotent"}],
            "extra":{"class_stretch":[2.0,2.0]}}"#;
        let (mut settings, _) = wire::parse_settings(info).expect("the settings are sound");
        settings.limits.concurrent_attempts = copies;
        let (now, connect_timeout) = (50 * SECOND, settings.limits.connect_timeout);
        let mut table = Table {
            connect_timeout,
            desk: RequestTable::new(settings, 1, now, 100),
            deadlines: Deadlines::default(),
            now,
        };
        let member = Member {
            worker: HOP,
            zone: ZoneIx(0),
            kind: KindIx(0),
            cell: 0,
            status: WorkerStatus::On,
            weight: 1.0,
            ..Member::default()
        };
        table.desk.update_workers(WorkerSource::Discovery, ListKind::Saved, vec![member]);
        table.turn();
        table
    }

    fn turn(&mut self) -> Vec<Command<&'static str>> {
        self.desk.process_events(self.now, &mut self.deadlines)
    }

    /// Lets time pass, timers and all, until there is something to do.
    fn later(&mut self) -> Vec<Command<&'static str>> {
        for _ in 0..10_000 {
            self.now += 1_000;
            while let Some(due) = self.deadlines.next_due(self.now) {
                match due {
                    Deadline::DispatcherTimer(timer, _) => self.desk.timer_fired(timer),
                    Deadline::AttemptTimeout(request, attempt) => {
                        self.desk.attempt_timed_out(self.now, AttemptId { request, number: attempt });
                    }
                    other => panic!("the desk never sets {other:?}"),
                }
            }
            let work = self.turn();
            if !work.is_empty() {
                return work;
            }
        }
        panic!("nothing is ever done");
    }

    fn job(&self, class: usize, name: &str) -> Job<&'static str> {
        Job {
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

    fn arrive(&mut self, class: usize) -> AttemptId {
        self.desk.add_request(self.now, 99, self.job(class, "a1")).expect("there is room");
        sent(&self.turn())
    }

    fn news(&mut self, news: AttemptUpdate) -> bool {
        self.desk.attempt_update(self.now, "a1", HOP, news, None)
    }
}

fn sent(work: &[Command<&'static str>]) -> AttemptId {
    match work {
        [Command::SendAttempt { attempt, worker: HOP, payload: "job", .. }] => *attempt,
        other => panic!("one attempt was due, not {other:?}"),
    }
}

fn answer(answer: Answer) -> Command<&'static str> {
    Command::SendAnswer { client: 99, answer }
}

#[test]
fn the_last_byte_decides_what_a_break_means() {
    // Not written: the job, which must not run twice, may be refused as never run ...
    let mut table = Table::new();
    let attempt = table.arrive(1);
    table.desk.connection_broken(table.now, attempt);
    assert_eq!(table.later(), [answer(Answer::Busy { retry_after: None })]);
    // ... written: it may have run, and no refusal may say otherwise.
    let mut table = Table::new();
    let attempt = table.arrive(1);
    table.desk.attempt_written(table.now, attempt);
    table.desk.connection_broken(table.now, attempt);
    assert_eq!(table.turn(), [answer(Answer::Failed)]);
}

#[test]
fn once_the_job_is_taken_its_connection_says_nothing_of_it() {
    let mut table = Table::new();
    let attempt = table.arrive(1);
    table.desk.attempt_written(table.now, attempt);
    table.desk.attempt_accepted(attempt);
    table.desk.connection_broken(table.now, attempt);
    assert_eq!(table.turn(), []);
    assert!(table.news(AttemptUpdate::Served(b"r".to_vec())));
    assert_eq!(table.turn(), [answer(Answer::Served(b"r".to_vec()))]);
    assert!(!table.news(AttemptUpdate::Served(b"r".to_vec())), "a repeat meets nothing");
    assert_eq!((table.turn(), table.desk.unanswered_requests()), (vec![], 0));
}

#[test]
fn stale_news_does_not_end_a_newer_attempt() {
    let mut table = Table::new();
    let first = table.arrive(1);
    assert!(!table.news(AttemptUpdate::Ended(Ending::Full)), "its last byte is not written yet");
    table.desk.attempt_written(table.now, first);
    assert!(!table.desk.attempt_update(
        table.now,
        "a1",
        WorkerId(8),
        AttemptUpdate::Ended(Ending::Broken),
        None
    ));
    assert!(table.news(AttemptUpdate::Ended(Ending::Full)));
    let second = sent(&table.later());
    table.desk.attempt_written(table.now, second);
    assert!(
        !table.news(AttemptUpdate::Ended(Ending::Full)),
        "the same again, before the hop took the new one"
    );
    table.desk.attempt_accepted(second);
    assert!(table.news(AttemptUpdate::Ended(Ending::Full)));
}

#[test]
fn an_attempt_whose_time_is_up_is_given_up_and_answered_for() {
    let mut table = Table::new();
    let attempt = table.arrive(1);
    table.desk.attempt_written(table.now, attempt);
    let given_up = Command::Cancel { attempt, worker: HOP, name: "a1".to_owned() };
    assert_eq!(table.later(), [given_up, answer(Answer::Failed)]);
}

#[test]
fn where_copies_are_barred_an_attempt_ends_only_once_its_hop_has_heard_that_it_is_given_up() {
    let mut table = Table::with(false);
    let attempt = table.arrive(0);
    table.desk.attempt_written(table.now, attempt);
    table.desk.attempt_accepted(attempt);
    let cancel = Action::Cancel { request: RequestId(attempt.request), attempt: attempt.number };
    table.desk.carry_out(table.now, cancel, &mut table.deadlines);
    // The word is on its way, and may be lost: nothing has ended, and no other attempt may go out.
    let given_up = Command::Cancel { attempt, worker: HOP, name: "a1".to_owned() };
    assert_eq!(table.turn(), [given_up]);
    assert!(!table.desk.has_pending());
    table.desk.cancel_delivered(table.now, attempt);
    assert_eq!(sent(&table.later()).number, 1);
    // Before its hop has said that it took the job nothing is ended: it may just have taken it.
    let second = AttemptId { request: attempt.request, number: 1 };
    table.desk.attempt_written(table.now, second);
    let cancel = Action::Cancel { request: RequestId(second.request), attempt: 1 };
    table.desk.carry_out(table.now, cancel, &mut table.deadlines);
    assert_eq!(table.turn(), []);
    table.desk.attempt_accepted(second);
    assert!(matches!(table.turn()[..], [Command::Cancel { .. }]));
    table.desk.cancel_unaccepted(second);
    assert_eq!(table.turn(), [], "it was told in words");
    // Where its result comes before the word has got there, that is the answer.
    assert!(table.news(AttemptUpdate::Served(b"r".to_vec())));
    assert!(table.turn().contains(&answer(Answer::Served(b"r".to_vec()))));
    table.desk.cancel_delivered(table.now, second);
    assert_eq!((table.turn(), table.desk.unanswered_requests()), (vec![], 0));
}

#[test]
fn who_has_left_is_owed_nothing() {
    let mut table = Table::new();
    let attempt = table.arrive(0);
    table.desk.attempt_written(table.now, attempt);
    table.desk.client_left(99);
    assert!(table.news(AttemptUpdate::Served(b"r".to_vec())));
    assert_eq!((table.turn(), table.desk.unanswered_requests()), (vec![], 0));
    assert!(table.desk.entries.is_empty() && table.desk.names.is_empty());
}

#[test]
fn who_comes_and_goes_in_one_batch_holds_no_lane() {
    // The module sends on the arrival, before it hears of the leaving: that attempt is never sent, and the
    // module must be told so, or the hop's only lane stays taken.
    let mut table = Table::new();
    for _ in 0..5 {
        table.desk.add_request(table.now, 98, table.job(0, "b1")).expect("there is room");
        table.desk.client_left(98);
        assert_eq!(table.turn(), []);
        assert_eq!(table.turn(), []);
    }
    assert_eq!(table.arrive(1).number, 0);
}

#[test]
fn an_attempt_that_was_not_taken_is_called_off_by_one_word_only() {
    // The end of its connection may be on its way when the module, told of the silence, calls it off once more.
    let mut table = Table::with(false);
    let attempt = table.arrive(0);
    table.desk.attempt_written(table.now, attempt);
    let cancel = || Action::Cancel { request: RequestId(attempt.request), attempt: attempt.number };
    table.desk.carry_out(table.now, cancel(), &mut table.deadlines);
    assert_eq!(table.turn(), [], "it may yet be taken");
    table.now += network_delay::acceptance_timeout(table.connect_timeout);
    table.desk.cancel_unaccepted(attempt);
    let given_up = Command::Cancel { attempt, worker: HOP, name: "a1".to_owned() };
    assert_eq!(table.turn(), [given_up]);
    table.desk.carry_out(table.now, cancel(), &mut table.deadlines);
    assert_eq!(table.turn(), []);
}

#[test]
fn where_copies_are_allowed_a_hop_that_was_told_in_words_is_free_for_the_request_once_it_has_heard() {
    let mut table = Table::new();
    let attempt = table.arrive(0);
    table.desk.attempt_written(table.now, attempt);
    table.desk.attempt_accepted(attempt);
    let cancel = Action::Cancel { request: RequestId(attempt.request), attempt: attempt.number };
    table.desk.carry_out(table.now, cancel, &mut table.deadlines);
    let running = |table: &mut Table| match table.desk.events.pop_front() {
        Some(Event::Outcome(outcome)) => outcome.running,
        other => panic!("the module is told the end, not {other:?}"),
    };
    assert!(running(&mut table), "the word is on its way");
    let over = |table: &mut Table| {
        matches!(table.desk.events.pop_front(), Some(Event::Note { note: AttemptNote::Over, .. }))
    };
    table.desk.cancel_delivered(table.now, attempt);
    assert!(over(&mut table));
    table.desk.cancel_delivered(table.now, attempt);
    assert!(table.desk.events.is_empty(), "it is told once");
}

#[test]
fn what_the_end_of_a_connection_meant_to_a_hop_that_was_just_taking_the_job_is_not_known() {
    for tells in [true, false] {
        let mut table = Table::new();
        let attempt = table.arrive(0);
        table.desk.attempt_written(table.now, attempt);
        let cancel = Action::Cancel { request: RequestId(attempt.request), attempt: attempt.number };
        table.desk.carry_out(table.now, cancel, &mut table.deadlines);
        assert!(matches!(table.desk.events.pop_front(), Some(Event::Outcome(Outcome { running: true, .. }))));
        table.desk.cancel_delivered(table.now, attempt);
        assert!(
            table.desk.events.is_empty(),
            "its connection was ended, and it may have taken the job before"
        );
        // What the hop itself tells of the job's end is believed, and answers nobody.
        let news =
            if tells { AttemptUpdate::Served(b"r".to_vec()) } else { AttemptUpdate::Ended(Ending::Broken) };
        assert!(!table.news(news));
        assert!(matches!(table.desk.events.pop_front(), Some(Event::Note { note: AttemptNote::Over, .. })));
    }
}

#[test]
fn a_connection_that_breaks_leaves_a_job_that_may_run_on_and_one_that_the_hop_ends_does_not() {
    let outcome = |broke: bool| {
        let mut table = Table::new();
        let attempt = table.arrive(0);
        table.desk.attempt_written(table.now, attempt);
        if broke {
            table.desk.connection_broken(table.now, attempt);
        } else {
            table.news(AttemptUpdate::Ended(Ending::Broken));
        }
        match table.desk.events.pop_front() {
            Some(Event::Outcome(Outcome { ending: Ending::Broken, running, .. })) => running,
            other => panic!("the module is told the end, not {other:?}"),
        }
    };
    assert_eq!((outcome(true), outcome(false)), (true, false));
}
