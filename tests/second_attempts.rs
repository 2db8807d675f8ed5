//! A worker gets no second attempt of a request until the earlier attempt there has certainly ended, whether concurrent attempts
//! are allowed or not.

mod common;
#[allow(dead_code, reason = "each test program uses only a part of this module")]
mod scenario;

use calicolb::api::*;
use common::*;
use scenario::Setup;

/// Ends the first attempt of a safe request with `ending`, at the only worker with a free lane. Returns the number of attempts
/// sent before and after the worker reports the end of the first attempt.
fn count_repeats(ending: Ending, running: bool, concurrent: bool) -> (usize, usize) {
    let mut settings = settings();
    settings.limits.concurrent_attempts = concurrent;
    settings.classes[0].late_worth = 0.5;
    let mut bench = Bench::new(settings);
    let lanes = |id| Member { lanes: Some(1), ..member(id) };
    bench.members(ListKind::Saved, vec![lanes(11), lanes(12)]);
    let first = sends(&bench.arrive(1, 0, 100 * MS))[0].1;
    assert_eq!(sends(&bench.arrive(2, 0, 5 * SECOND)).len(), 1, "the other worker's only lane is occupied");
    bench.now += 60 * MS;
    let (request, report) = (RequestId(1), None);
    let (attempt, worker, elapsed, concluded) = (0, first, 60 * MS, false);
    let outcome = Outcome { request, attempt, worker, ending, elapsed, running, concluded, report };
    let mut before = bench.tell(Event::Outcome(outcome));
    before.extend(bench.wait(2 * SECOND));
    assert!(
        sends(&before).iter().all(|&(_, to)| to == first),
        "an attempt went to the worker without a free lane"
    );
    let mut after = bench.tell(Event::Note { request, attempt, note: AttemptNote::Over });
    after.extend(bench.wait(2 * SECOND));
    (sends(&before).len(), sends(&after).len())
}

#[test]
fn worker_gets_a_request_again_only_after_its_earlier_attempt_has_ended() {
    for concurrent in [true, false] {
        for ending in [Ending::Cancelled, Ending::Broken] {
            assert_eq!(
                count_repeats(ending, true, concurrent),
                (0, 1),
                "{ending:?}, may still run, concurrent attempts {concurrent}"
            );
            assert_eq!(
                count_repeats(ending, false, concurrent),
                (1, 0),
                "{ending:?}, ended, concurrent attempts {concurrent}"
            );
        }
    }
}

#[test]
fn end_report_for_an_unknown_or_running_attempt_has_no_effect() {
    let mut bench = Bench::with_workers(settings(), &[11]);
    let end_note =
        |request, attempt| Event::Note { request: RequestId(request), attempt, note: AttemptNote::Over };
    assert_eq!(bench.tell(end_note(1, 0)), [], "the request is unknown");
    assert_eq!(sends(&bench.arrive(1, 1, 100 * MS)).len(), 1);
    assert_eq!(bench.tell(end_note(1, 0)), [], "the attempt is still in flight");
    assert_eq!(bench.tell(end_note(1, 7)), [], "the request has no attempt 7");
    // The only attempt of the unsafe request may have run, and the end report does not allow a repeat.
    let mut actions = bench.outcome(1, 0, WorkerId(11), Ending::Broken);
    actions.extend(bench.tell(end_note(1, 0)));
    actions.extend(bench.wait(SECOND));
    assert_eq!((sends(&actions), answers(&actions)), (vec![], vec![(1, false)]));
}

// Guards against a report that may be a repeat ending an attempt: a job that may run twice is cancelled first, any other waits.
#[test]
fn end_that_may_belong_to_an_earlier_attempt_cancels_only_a_job_that_may_run_twice() {
    for (class, cancel_allowed, cancelled) in [(0, true, true), (1, true, false), (0, false, false)] {
        for ending in [Ending::Full, Ending::Broken, Ending::Error] {
            let mut settings = settings();
            settings.limits.cancel = cancel_allowed;
            let mut bench = Bench::with_workers(settings, &[11]);
            assert_eq!(sends(&bench.arrive(1, class, 5 * SECOND)).len(), 1);
            let (request, note) = (RequestId(1), AttemptNote::UnattributedEnd(ending));
            let cancel = Action::Cancel { request, attempt: 0 };
            let actions = bench.tell(Event::Note { request, attempt: 0, note });
            assert_eq!(actions.contains(&cancel), cancelled, "class {class}, {ending:?}");
            assert_eq!((sends(&actions), answers(&actions)), (vec![], vec![]));
        }
    }
}

/// Settings under which a job that does not start is sent to another worker: workers report starts, concurrent attempts are
/// allowed, peer messages are disabled, and the aim is 15 s.
const MOVE_SETTINGS: [(&str, &str); 2] =
    [("/settings/ceilings/peers", "false"), ("/settings/request_classes/0/aim_us", "15000000")];

#[test]
fn moved_request_does_not_return_to_a_worker_whose_cancellation_is_unanswered() {
    // Neither worker reports a start. The first worker receives the cancellation and never answers it, so the request stays with
    // the second worker, which alone may answer it.
    Setup { workers: 2, settings: &MOVE_SETTINGS, ..Setup::default() }.run(
        r#"
        send c1 POST /look Request-Id:a1 Request-Timeout:20
        expect h1 POST /look Request-Id:a1
        send h1 202
        expect h2 POST /look Request-Id:a1
        send h2 202
        expect h1 DELETE /jobs/a1
        mark
        until 2000
        send n1 POST /_jobs/news | {"id":"a1","from":"h2","state":"done","result":"r"}
        expect c1 200 | r
        "#,
    );
}
