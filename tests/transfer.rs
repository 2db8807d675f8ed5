//! Tests of the dispatcher in an upgrade and at process end: transferred requests, transferred knowledge, and the final
//! answers of held requests.

mod common;

use calicolb::api::*;
use common::*;

const IN_FLIGHT: AttemptState = AttemptState::InFlight;

/// A request with these prior attempts (worker and state), as a successor receives it.
fn transferred_request(bench: &Bench, id: u32, effect: Effect, attempts: &[(u32, AttemptState)]) -> Arrival {
    let sent = bench.now - 100 * MS;
    let prior_attempt =
        |&(worker, state): &(u32, AttemptState)| PriorAttempt { worker: WorkerId(worker), sent, state };
    let attempts = attempts.iter().map(prior_attempt).collect();
    let history = TransferredRequest { arrived: bench.now - 200 * MS, effect, attempts };
    Arrival { transferred: Some(history), ..arrival(id, 0, bench.now, 50 * MS) }
}

/// Delivers the arrival, waits 50 ms and returns the actions.
fn arrive_and_wait(bench: &mut Bench, arrival: Arrival) -> Vec<Action> {
    let mut actions = bench.tell(Event::Arrival(arrival));
    actions.extend(bench.wait(50 * MS));
    actions
}

/// The request and attempt number of each cancel action.
fn cancels(actions: &[Action]) -> Vec<(u32, u32)> {
    let cancelled = |action: &Action| match action {
        Action::Cancel { request, attempt } => Some((request.0, *attempt)),
        _ => None,
    };
    actions.iter().filter_map(cancelled).collect()
}

#[test]
fn transferred_held_request_is_sent_by_the_successor() {
    let mut bench = Bench::with_workers(settings(), &[11]);
    let held = transferred_request(&bench, 1, Effect::Safe, &[(12, AttemptState::NeverRan)]);
    let actions = arrive_and_wait(&mut bench, held);
    assert_eq!(sends(&actions), [(1, WorkerId(11))]);
}

#[test]
fn transferred_attempt_in_flight_occupies_its_lane_and_is_not_resent() {
    let mut bench = Bench::with_workers(settings(), &[11]);
    let in_flight = transferred_request(&bench, 1, Effect::Safe, &[(11, IN_FLIGHT)]);
    assert_eq!(arrive_and_wait(&mut bench, in_flight), []);
    assert_eq!(sends(&bench.arrive(2, 0, 50 * MS)), [], "the transferred attempt occupies the only lane");
    assert_eq!(sends(&bench.outcome(1, 0, WorkerId(11), Ending::Ok)), [(2, WorkerId(11))]);
}

#[test]
fn request_with_an_attempt_that_may_run_is_not_resent() {
    let mut bench = Bench::with_workers(settings(), &[11]);
    let may_run = transferred_request(&bench, 1, Effect::Safe, &[(11, AttemptState::MayRun)]);
    let mut actions = arrive_and_wait(&mut bench, may_run);
    assert_eq!(sends(&actions), []);
    actions.extend(bench.tell(Event::Note { request: RequestId(1), attempt: 0, note: AttemptNote::Over }));
    assert_eq!(sends(&actions), []);
}

#[test]
fn request_that_may_have_run_fails_if_either_configuration_calls_it_unsafe() {
    for (class_effect, transferred_effect) in [(Effect::Unsafe, Effect::Safe), (Effect::Safe, Effect::Unsafe)]
    {
        let mut settings = settings();
        settings.classes[0].effect = class_effect;
        let mut bench = Bench::with_workers(settings, &[11, 12]);
        let may_have_run =
            transferred_request(&bench, 1, transferred_effect, &[(11, AttemptState::MayHaveRan)]);
        let actions = arrive_and_wait(&mut bench, may_have_run);
        assert_eq!((sends(&actions), answers(&actions)), (vec![], vec![(1, false)]));
    }
}

#[test]
fn attempt_at_an_unlisted_worker_prevents_a_repeat_keyed_by_zone() {
    let mut settings = settings();
    settings.classes[0].effect = Effect::Keyed { group: Group::Zone, span: 10 * SECOND };
    let keyed = settings.classes[0].effect;
    let mut bench = Bench::with_workers(settings.clone(), &[11]);
    let in_flight = transferred_request(&bench, 1, keyed, &[(99, IN_FLIGHT)]);
    assert_eq!(arrive_and_wait(&mut bench, in_flight), []);
    let ended = bench.outcome(1, 0, WorkerId(99), Ending::Broken);
    assert_eq!((sends(&ended), answers(&ended)), (vec![], vec![(1, false)]));
    // With the prior attempt at a listed worker of the same zone, the zone drops a repeat, so that the request may be
    // resent.
    let mut bench = Bench::with_workers(settings, &[11, 12]);
    let ended_attempt = transferred_request(&bench, 1, keyed, &[(12, AttemptState::MayHaveRan)]);
    assert_eq!(sends(&arrive_and_wait(&mut bench, ended_attempt)).len(), 1);
}

#[test]
fn attempts_of_the_predecessor_count_towards_max_attempts() {
    let mut bench = Bench::with_workers(settings(), &[11]);
    let never_ran = AttemptState::NeverRan;
    let exhausted = transferred_request(
        &bench,
        1,
        Effect::Safe,
        &[(12, never_ran), (13, never_ran), (14, never_ran), (15, never_ran)],
    );
    let actions = arrive_and_wait(&mut bench, exhausted);
    assert_eq!((sends(&actions), answers(&actions)), (vec![], vec![(1, true)]));
}

#[test]
fn request_transferred_away_frees_its_lane_and_is_not_sent() {
    let mut bench = Bench::with_workers(settings(), &[11]);
    bench.arrive(1, 0, 5 * SECOND);
    bench.arrive(2, 0, 50 * MS);
    assert_eq!(bench.tell(Event::RequestTransferred(RequestId(2))), []);
    assert_eq!(sends(&bench.outcome(1, 0, WorkerId(11), Ending::Ok)), []);
    let mut bench = Bench::with_workers(settings(), &[11]);
    bench.arrive(1, 0, 5 * SECOND);
    bench.tell(Event::RequestTransferred(RequestId(1)));
    assert_eq!(sends(&bench.arrive(2, 0, 50 * MS)), [(2, WorkerId(11))]);
}

#[test]
fn held_jobs_that_cannot_end_before_shutdown_are_refused() {
    let mut settings = settings();
    settings.classes[0].late_worth = 0.5;
    let mut bench = Bench::with_workers(settings, &[11]);
    bench.arrive(1, 0, SECOND);
    let mut actions = bench.arrive(2, 0, 5 * SECOND);
    actions.extend(bench.arrive(3, 0, 100 * MS));
    assert_eq!(
        (sends(&actions), answers(&actions)),
        (vec![], vec![]),
        "requests 2 and 3 wait for the only lane"
    );
    let mut actions = bench.tell(Event::ShutdownAt(bench.now + 2 * SECOND));
    actions.extend(bench.wait(200 * MS));
    assert_eq!(answers(&actions), [(2, true)], "request 2 needs 5 s and shutdown is in 2 s");
    assert_eq!(sends(&bench.outcome(1, 0, WorkerId(11), Ending::Ok)), [(3, WorkerId(11))]);
}

#[test]
fn all_held_jobs_are_answered_before_shutdown() {
    let mut settings = settings();
    settings.classes[0].late_worth = 0.5;
    let mut bench = Bench::with_workers(settings, &[11]);
    bench.arrive(1, 0, 10 * MS);
    for id in 2..30 {
        bench.arrive(id, 0, 10 * MS);
    }
    let shutdown_at = bench.now + SECOND;
    let mut actions = bench.tell(Event::ShutdownAt(shutdown_at));
    actions.extend(bench.wait(SECOND));
    let answered: Vec<u32> = answers(&actions).into_iter().map(|(id, _)| id).collect();
    assert_eq!(answered.len(), 28, "answered requests: {answered:?}");
}

#[test]
fn finish_request_answers_by_effect_and_cancels_the_attempt() {
    for (class, refused) in [(0, true), (1, false)] {
        let mut bench = Bench::with_workers(settings(), &[11]);
        bench.arrive(1, class, 5 * SECOND);
        let actions = bench.tell(Event::FinishRequest(RequestId(1)));
        assert_eq!((answers(&actions), cancels(&actions)), (vec![(1, refused)], vec![(1, 0)]));
        assert_eq!(
            answers(&bench.tell(Event::FinishRequest(RequestId(1)))),
            [],
            "a request is finished once"
        );
    }
    let mut bench = Bench::with_workers(settings(), &[11]);
    assert_eq!(
        answers(&bench.tell(Event::FinishRequest(RequestId(7)))),
        [(7, false)],
        "a request unknown to the dispatcher fails"
    );
}

#[test]
fn transferred_knowledge_is_shifted_to_the_successors_clock() {
    // A worker is avoided for some seconds after an error. The successor's clock is 400 s ahead or 400 s behind.
    for clock_offset in [400 * SECOND.cast_signed(), -400 * SECOND.cast_signed()] {
        let mut predecessor = Bench::with_workers(settings(), &[11]);
        predecessor.arrive(1, 0, 50 * MS);
        predecessor.outcome(1, 0, WorkerId(11), Ending::Error);
        assert_eq!(predecessor.dispatcher.avoided_worker_count(predecessor.now), 1);
        let knowledge = predecessor.dispatcher.knowledge().to_string();
        let knowledge = calicolb::rules::Dispatcher::shift_knowledge(knowledge, clock_offset);
        let mut successor = Bench::with_workers(settings(), &[11]);
        let now = predecessor.now.saturating_add_signed(clock_offset);
        successor.dispatcher.on_event(now, Event::KnowledgeReceived(knowledge), &mut Vec::new());
        assert_eq!(successor.dispatcher.avoided_worker_count(now), 1, "clock offset {clock_offset} us");
        assert_eq!(
            successor.dispatcher.avoided_worker_count(now + 10 * SECOND),
            0,
            "clock offset {clock_offset} us"
        );
    }
    let unknown = serde_json::json!("no knowledge").to_string();
    assert_eq!(calicolb::rules::Dispatcher::shift_knowledge(unknown.clone(), 5), unknown);
}
