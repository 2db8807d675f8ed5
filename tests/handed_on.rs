//! Requests that move from one process of a dispatcher to the next, and what is decided when a process ends.

mod common;

use calicolb::api::*;
use common::*;

const OUT: AttemptState = AttemptState::InFlight;

/// A request with this history, as a successor gets it.
fn handed_on(bench: &Bench, id: u32, effect: Effect, attempts: &[(u32, AttemptState)]) -> Arrival {
    let sent = bench.now - 100 * MS;
    let past =
        |&(worker, state): &(u32, AttemptState)| PriorAttempt { worker: WorkerId(worker), sent, state };
    let attempts = attempts.iter().map(past).collect();
    let history = TransferredRequest { arrived: bench.now - 200 * MS, effect, attempts };
    Arrival { transferred: Some(history), ..arrival(id, 0, bench.now, 50 * MS) }
}

/// Tells of the arrival and lets some time pass; gives what was decided.
fn take(bench: &mut Bench, arrival: Arrival) -> Vec<Action> {
    let mut actions = bench.tell(Event::Arrival(arrival));
    actions.extend(bench.wait(50 * MS));
    actions
}

fn cancels(actions: &[Action]) -> Vec<(u32, u32)> {
    let pick = |action: &Action| match action {
        Action::Cancel { request, attempt } => Some((request.0, *attempt)),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

#[test]
fn what_was_held_is_sent_by_the_successor_once_a_lane_is_free() {
    let mut bench = Bench::with_workers(settings(), &[11]);
    let held = handed_on(&bench, 1, Effect::Safe, &[(12, AttemptState::NeverRan)]);
    let actions = take(&mut bench, held);
    assert_eq!(sends(&actions), [(1, WorkerId(11))]);
}

#[test]
fn what_is_out_occupies_its_lane_and_is_not_sent_again() {
    let mut bench = Bench::with_workers(settings(), &[11]);
    let out = handed_on(&bench, 1, Effect::Safe, &[(11, OUT)]);
    assert_eq!(take(&mut bench, out), []);
    assert_eq!(sends(&bench.arrive(2, 0, 50 * MS)), [], "the lane is taken");
    assert_eq!(sends(&bench.outcome(1, 0, WorkerId(11), Ending::Ok)), [(2, WorkerId(11))]);
}

#[test]
fn where_an_attempt_may_still_run_no_other_one_goes() {
    let mut bench = Bench::with_workers(settings(), &[11]);
    let loose = handed_on(&bench, 1, Effect::Safe, &[(11, AttemptState::MayRun)]);
    let mut actions = take(&mut bench, loose);
    assert_eq!(sends(&actions), []);
    actions.extend(bench.tell(Event::Note { request: RequestId(1), attempt: 0, note: AttemptNote::Over }));
    assert_eq!(sends(&actions), []);
}

#[test]
fn what_must_not_run_twice_fails_if_it_may_have_run_by_either_configuration() {
    for (class, effect) in [(Effect::Unsafe, Effect::Safe), (Effect::Safe, Effect::Unsafe)] {
        let mut settings = settings();
        settings.classes[0].effect = class;
        let mut bench = Bench::with_workers(settings, &[11, 12]);
        let risky = handed_on(&bench, 1, effect, &[(11, AttemptState::MayHaveRan)]);
        let actions = take(&mut bench, risky);
        assert_eq!((sends(&actions), answers(&actions)), (vec![], vec![(1, false)]));
    }
}

#[test]
fn an_attempt_at_a_worker_that_is_on_no_list_may_bring_the_result_and_bars_repeats_that_count_on_its_place() {
    let mut settings = settings();
    settings.classes[0].effect = Effect::Keyed { group: Group::Zone, span: 10 * SECOND };
    let keyed = settings.classes[0].effect;
    let mut bench = Bench::with_workers(settings.clone(), &[11]);
    let out = handed_on(&bench, 1, keyed, &[(99, OUT)]);
    assert_eq!(take(&mut bench, out), []);
    let ended = bench.outcome(1, 0, WorkerId(99), Ending::Broken);
    assert_eq!((sends(&ended), answers(&ended)), (vec![], vec![(1, false)]));
    // At a listed worker of the same zone a repeat is dropped, so that it may go.
    let mut bench = Bench::with_workers(settings, &[11, 12]);
    let over = handed_on(&bench, 1, keyed, &[(12, AttemptState::MayHaveRan)]);
    assert_eq!(sends(&take(&mut bench, over)).len(), 1);
}

#[test]
fn attempts_of_the_predecessor_count_towards_the_limit() {
    let mut bench = Bench::with_workers(settings(), &[11]);
    let never = AttemptState::NeverRan;
    let spent = handed_on(&bench, 1, Effect::Safe, &[(12, never), (13, never), (14, never), (15, never)]);
    let actions = take(&mut bench, spent);
    assert_eq!((sends(&actions), answers(&actions)), (vec![], vec![(1, true)]));
}

#[test]
fn what_moves_away_frees_its_lane_and_is_decided_on_no_more() {
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
fn once_the_end_is_known_held_jobs_are_sent_or_refused_by_it() {
    let mut settings = settings();
    settings.classes[0].late_worth = 0.5;
    let mut bench = Bench::with_workers(settings, &[11]);
    bench.arrive(1, 0, SECOND);
    let mut actions = bench.arrive(2, 0, 5 * SECOND);
    actions.extend(bench.arrive(3, 0, 100 * MS));
    assert_eq!((sends(&actions), answers(&actions)), (vec![], vec![]), "both wait for the lane");
    let mut actions = bench.tell(Event::ShutdownAt(bench.now + 2 * SECOND));
    actions.extend(bench.wait(200 * MS));
    assert_eq!(answers(&actions), [(2, true)], "it cannot be done by then");
    assert_eq!(sends(&bench.outcome(1, 0, WorkerId(11), Ending::Ok)), [(3, WorkerId(11))]);
}

#[test]
fn no_held_job_is_left_without_an_answer_at_the_end() {
    let mut settings = settings();
    settings.classes[0].late_worth = 0.5;
    let mut bench = Bench::with_workers(settings, &[11]);
    bench.arrive(1, 0, 10 * MS);
    for id in 2..30 {
        bench.arrive(id, 0, 10 * MS);
    }
    let ends = bench.now + SECOND;
    let mut actions = bench.tell(Event::ShutdownAt(ends));
    actions.extend(bench.wait(SECOND));
    let answered: Vec<u32> = answers(&actions).into_iter().map(|(id, _)| id).collect();
    assert_eq!(answered.len(), 28, "{answered:?}");
}

#[test]
fn in_the_last_moment_each_request_is_answered_by_its_effect_and_called_off() {
    for (class, refused) in [(0, true), (1, false)] {
        let mut bench = Bench::with_workers(settings(), &[11]);
        bench.arrive(1, class, 5 * SECOND);
        let actions = bench.tell(Event::FinishRequest(RequestId(1)));
        assert_eq!((answers(&actions), cancels(&actions)), (vec![(1, refused)], vec![(1, 0)]));
        assert_eq!(answers(&bench.tell(Event::FinishRequest(RequestId(1)))), [], "once");
    }
    let mut bench = Bench::with_workers(settings(), &[11]);
    assert_eq!(
        answers(&bench.tell(Event::FinishRequest(RequestId(7)))),
        [(7, false)],
        "one that nothing is known of"
    );
}

#[test]
fn what_was_learned_is_told_on_the_successors_clock() {
    // The worker is avoided for a while after errors; the successor's clock is ahead, or behind.
    for ahead in [400 * SECOND.cast_signed(), -400 * SECOND.cast_signed()] {
        let mut predecessor = Bench::with_workers(settings(), &[11]);
        predecessor.arrive(1, 0, 50 * MS);
        predecessor.outcome(1, 0, WorkerId(11), Ending::Error);
        assert_eq!(predecessor.dispatcher.avoided_worker_count(predecessor.now), 1);
        let knowledge =
            calicolb::rules::Dispatcher::shift_knowledge(predecessor.dispatcher.knowledge(), ahead);
        let mut successor = Bench::with_workers(settings(), &[11]);
        let now = predecessor.now.saturating_add_signed(ahead);
        successor.dispatcher.on_event(now, Event::KnowledgeReceived(knowledge), &mut Vec::new());
        assert_eq!(successor.dispatcher.avoided_worker_count(now), 1, "{ahead} us ahead");
        assert_eq!(successor.dispatcher.avoided_worker_count(now + 10 * SECOND), 0, "{ahead} us ahead");
    }
    let odd = serde_json::json!("no knowledge");
    assert_eq!(calicolb::rules::Dispatcher::shift_knowledge(odd.clone(), 5), odd);
}
