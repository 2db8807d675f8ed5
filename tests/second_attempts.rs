//! No second attempt at a worker at which an earlier one has neither ended nor surely been given up, copies allowed or not.

mod common;
#[allow(dead_code, reason = "each test program uses a part of the language")]
mod scenario;

use calicolb::api::*;
use common::*;
use scenario::Setup;

/// Ends the first attempt of a job that may run twice, with this, at the worker that alone has a lane free. Gives what is
/// sent while nothing more is known of that attempt, and what is sent once the worker has said that it is over.
fn again(ending: Ending, running: bool, copies: bool) -> (usize, usize) {
    let mut settings = settings();
    settings.limits.concurrent_attempts = copies;
    settings.classes[0].late_worth = 0.5;
    let mut bench = Bench::new(settings);
    let lanes = |id| Member { lanes: Some(1), ..member(id) };
    bench.members(ListKind::Saved, vec![lanes(11), lanes(12)]);
    let first = sends(&bench.arrive(1, 0, 100 * MS))[0].1;
    assert_eq!(sends(&bench.arrive(2, 0, 5 * SECOND)).len(), 1, "the other worker's only lane is taken");
    bench.now += 60 * MS;
    let (request, report) = (RequestId(1), None);
    let (attempt, worker, elapsed, concluded) = (0, first, 60 * MS, false);
    let outcome = Outcome { request, attempt, worker, ending, elapsed, running, concluded, report };
    let mut before = bench.tell(Event::Outcome(outcome));
    before.extend(bench.wait(2 * SECOND));
    assert!(sends(&before).iter().all(|&(_, to)| to == first), "the other worker has no lane");
    let mut after = bench.tell(Event::Note { request, attempt, note: AttemptNote::Over });
    after.extend(bench.wait(2 * SECOND));
    (sends(&before).len(), sends(&after).len())
}

#[test]
fn a_worker_gets_a_request_again_only_once_the_earlier_attempt_there_has_surely_ended() {
    for copies in [true, false] {
        for ending in [Ending::Cancelled, Ending::Broken] {
            assert_eq!(again(ending, true, copies), (0, 1), "{ending:?}, may run on, copies {copies}");
            assert_eq!(again(ending, false, copies), (1, 0), "{ending:?}, surely over, copies {copies}");
        }
    }
}

#[test]
fn word_that_an_attempt_is_over_changes_nothing_where_it_fits_nothing() {
    let mut bench = Bench::with_workers(settings(), &[11]);
    let over =
        |request, attempt| Event::Note { request: RequestId(request), attempt, note: AttemptNote::Over };
    assert_eq!(bench.tell(over(1, 0)), [], "nobody knows it");
    assert_eq!(sends(&bench.arrive(1, 1, 100 * MS)).len(), 1);
    assert_eq!(bench.tell(over(1, 0)), [], "it is still waited for");
    assert_eq!(bench.tell(over(1, 7)), [], "it has no such attempt");
    // Its only attempt may have run: no word makes that undone.
    let mut actions = bench.outcome(1, 0, WorkerId(11), Ending::Broken);
    actions.extend(bench.tell(over(1, 0)));
    actions.extend(bench.wait(SECOND));
    assert_eq!((sends(&actions), answers(&actions)), (vec![], vec![(1, false)]));
}

/// Workers tell of starts, copies are allowed, and nobody hears of the others' loads: a job that does not start moves on.
const MOVES: [(&str, &str); 2] =
    [("/settings/ceilings/peers", "false"), ("/settings/request_classes/0/aim_us", "15000000")];

#[test]
fn a_request_that_moves_on_does_not_come_back_while_the_word_that_ends_it_is_on_its_way() {
    // Neither worker says that it starts. The word that gives the first attempt up has come, and is never answered: the
    // request stays with the second worker, which alone may answer it.
    Setup { workers: 2, settings: &MOVES, ..Setup::default() }.run(
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
