//! What schedulers make of each other's words on the list.

use calicolb_freshness::witness::{Inquiry, Message, Verdict};
use calicolb_freshness::{ListLease, ListSource, Micros};
use proptest::prelude::*;

const SECOND: Micros = 1_000_000;
const GRACE: Micros = 2 * SECOND;
const START: Micros = 100 * SECOND;
const LIST: u64 = 0x5eed;

fn new_process() -> ListLease {
    ListLease::new(ListSource::SharedService, GRACE, START)
}

fn ask(inquiry: &mut Inquiry, now: Micros) -> u16 {
    let Message::Question { number } = inquiry.ask(now) else { panic!("a question is asked") };
    number
}

#[test]
fn a_process_that_starts_asks_at_once_and_then_less_and_less_often() {
    let (clock, mut inquiry) = (new_process(), Inquiry::default());
    let mut rests = Vec::new();
    let mut now = inquiry.due(&clock).expect("a new process asks");
    assert_eq!(now, START);
    for _ in 0..6 {
        ask(&mut inquiry, now);
        let next = inquiry.due(&clock).expect("it goes on asking");
        rests.push((next - now) / 1_000);
        now = next;
    }
    assert_eq!(rests, [300, 600, 1_200, 2_400, 2_400, 2_400]);
}

#[test]
fn nobody_is_asked_while_discovery_speaks_or_where_there_is_nothing_to_ask() {
    let (mut clock, inquiry) = (new_process(), Inquiry::default());
    clock.watch_requested(START);
    clock.message_received(START + SECOND);
    assert_eq!(inquiry.due(&clock), Some(START + 5 * SECOND));
    for mode in [ListSource::LocalAgent, ListSource::Fixed] {
        assert_eq!(inquiry.due(&ListLease::new(mode, GRACE, START)), None);
    }
}

#[test]
fn the_same_list_is_vouched_for_as_of_the_question_less_the_age() {
    let (mut clock, mut inquiry) = (new_process(), Inquiry::default());
    let number = ask(&mut inquiry, START + 10);
    assert_eq!(inquiry.handle_answer(&mut clock, LIST, (number, LIST, 1_500)), Verdict::Confirmed);
    let confirmed = START + 10 - 1_500_000;
    assert_eq!(clock.confirmed(), Some(confirmed));
    let (older, same) = ((number, LIST, 1_600), (number, LIST, 1_500));
    assert_eq!(inquiry.handle_answer(&mut clock, LIST, older), Verdict::Nothing);
    assert_eq!(inquiry.handle_answer(&mut clock, LIST, same), Verdict::Nothing);
    assert_eq!(clock.confirmed(), Some(confirmed));
}

#[test]
fn another_list_confirms_nothing_and_ends_the_excuse_of_refused_calls() {
    let (mut clock, mut inquiry) = (new_process(), Inquiry::default());
    clock.watch_requested(START);
    clock.message_received(START);
    clock.watch_failed(START + SECOND);
    let lease = clock.lease_end();
    let number = ask(&mut inquiry, START + 6 * SECOND);
    // One that has had no word since either shows nothing.
    assert_eq!(inquiry.handle_answer(&mut clock, LIST, (number, 7, 6_000)), Verdict::Nothing);
    assert_eq!(inquiry.handle_answer(&mut clock, LIST, (number, 7, 100)), Verdict::Behind);
    clock.watch_requested(START + 6 * SECOND);
    clock.watch_failed(START + 8 * SECOND);
    assert_eq!(clock.lease_end(), lease, "discovery could be reached meanwhile");
}

#[test]
fn an_answer_to_an_earlier_question_or_to_none_counts_for_nothing() {
    let (mut clock, mut inquiry) = (new_process(), Inquiry::default());
    assert_eq!(inquiry.handle_answer(&mut clock, LIST, (0, LIST, 0)), Verdict::Nothing);
    let first = ask(&mut inquiry, START);
    let second = ask(&mut inquiry, START + SECOND);
    assert_eq!(inquiry.handle_answer(&mut clock, LIST, (first, LIST, 0)), Verdict::Nothing);
    inquiry.reset();
    assert_eq!(inquiry.handle_answer(&mut clock, LIST, (second, LIST, 0)), Verdict::Nothing);
    assert_eq!(clock.confirmed(), None);
}

#[test]
fn only_who_was_confirmed_answers_and_an_age_is_rounded_up() {
    let mut clock = new_process();
    assert_eq!(Inquiry::answer(1, &clock, LIST, START + SECOND), None);
    clock.message_received(START);
    let answer = Inquiry::answer(1, &clock, LIST, START + 1);
    assert_eq!(answer, Some(Message::Answer { number: 1, digest: LIST, age_ms: 1 }));
}

proptest! {
    /// What is written is read back, and any other bytes are read without a panic.
    #[test]
    fn messages_are_read_as_written(number: u16, digest: u64, age_ms: u32, noise: Vec<u8>, cut in 0_usize..17) {
        for message in [Message::Question { number }, Message::Answer { number, digest, age_ms }] {
            let body = message.encode();
            prop_assert!(body.len() <= 256);
            prop_assert_eq!(Message::decode(&body), Some(message));
            prop_assert_eq!(Message::decode(&body[..cut.min(body.len() - 1)]), None);
        }
        let _ = Message::decode(&noise);
    }

    /// Through a chain of schedulers that ask each other, over any delays, nobody believes the list to be fresher than
    /// discovery confirmed it to the first of them.
    #[test]
    fn a_chain_of_witnesses_makes_no_list_fresher(delays in prop::collection::vec((0_u64..3 * SECOND, 0_u64..SECOND, 0_u64..SECOND), 1..20)) {
        let mut first = new_process();
        first.message_received(START);
        let (mut witness, mut now) = (first, START);
        for (rest, there, back) in delays {
            let (mut clock, mut inquiry) = (new_process(), Inquiry::default());
            now += rest;
            let number = ask(&mut inquiry, now);
            now += there;
            let Some(Message::Answer { number: told, digest, age_ms }) = Inquiry::answer(number, &witness, LIST, now) else {
                panic!("a confirmed scheduler answers")
            };
            now += back;
            prop_assert_eq!(inquiry.handle_answer(&mut clock, LIST, (told, digest, age_ms)), Verdict::Confirmed);
            prop_assert!(clock.confirmed().is_some_and(|confirmed| confirmed <= START));
            witness = clock;
        }
    }
}
