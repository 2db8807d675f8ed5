//! Tests of the confirmation of worker lists by other schedulers.

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
    let Message::Question { number } = inquiry.ask(now) else { panic!("ask() did not return a question") };
    number
}

#[test]
fn new_process_asks_at_once_and_then_at_growing_intervals() {
    let (lease, mut inquiry) = (new_process(), Inquiry::default());
    let mut intervals = Vec::new();
    let mut now = inquiry.due(&lease).expect("no question is due in a new process");
    assert_eq!(now, START);
    for _ in 0..6 {
        ask(&mut inquiry, now);
        let next = inquiry.due(&lease).expect("no further question is due");
        intervals.push((next - now) / 1_000);
        now = next;
    }
    assert_eq!(intervals, [300, 600, 1_200, 2_400, 2_400, 2_400]);
}

#[test]
fn no_question_is_due_while_discovery_sends_messages_or_without_a_shared_service() {
    let (mut lease, inquiry) = (new_process(), Inquiry::default());
    lease.watch_requested(START);
    lease.message_received(START + SECOND);
    assert_eq!(inquiry.due(&lease), Some(START + 5 * SECOND));
    for mode in [ListSource::LocalAgent, ListSource::Fixed] {
        assert_eq!(inquiry.due(&ListLease::new(mode, GRACE, START)), None);
    }
}

#[test]
fn same_list_is_confirmed_as_of_the_question_minus_the_age() {
    let (mut lease, mut inquiry) = (new_process(), Inquiry::default());
    let number = ask(&mut inquiry, START + 10);
    assert_eq!(inquiry.handle_answer(&mut lease, LIST, (number, LIST, 1_500)), Verdict::Confirmed);
    let confirmed = START + 10 - 1_500_000;
    assert_eq!(lease.confirmed(), Some(confirmed));
    let (older, same) = ((number, LIST, 1_600), (number, LIST, 1_500));
    assert_eq!(inquiry.handle_answer(&mut lease, LIST, older), Verdict::Nothing);
    assert_eq!(inquiry.handle_answer(&mut lease, LIST, same), Verdict::Nothing);
    assert_eq!(lease.confirmed(), Some(confirmed));
}

#[test]
fn another_list_confirms_nothing_and_stops_refused_calls_from_extending_the_lease() {
    let (mut lease, mut inquiry) = (new_process(), Inquiry::default());
    lease.watch_requested(START);
    lease.message_received(START);
    lease.watch_failed(START + SECOND);
    let lease_end = lease.lease_end();
    let number = ask(&mut inquiry, START + 6 * SECOND);
    // An answer from a scheduler without a later message has no effect.
    assert_eq!(inquiry.handle_answer(&mut lease, LIST, (number, 7, 6_000)), Verdict::Nothing);
    assert_eq!(inquiry.handle_answer(&mut lease, LIST, (number, 7, 100)), Verdict::Behind);
    lease.watch_requested(START + 6 * SECOND);
    lease.watch_failed(START + 8 * SECOND);
    assert_eq!(
        lease.lease_end(),
        lease_end,
        "a refused call extended the lease although discovery could be reached"
    );
}

#[test]
fn answers_to_earlier_or_no_questions_have_no_effect() {
    let (mut lease, mut inquiry) = (new_process(), Inquiry::default());
    assert_eq!(inquiry.handle_answer(&mut lease, LIST, (0, LIST, 0)), Verdict::Nothing);
    let first = ask(&mut inquiry, START);
    let second = ask(&mut inquiry, START + SECOND);
    assert_eq!(inquiry.handle_answer(&mut lease, LIST, (first, LIST, 0)), Verdict::Nothing);
    inquiry.reset();
    assert_eq!(inquiry.handle_answer(&mut lease, LIST, (second, LIST, 0)), Verdict::Nothing);
    assert_eq!(lease.confirmed(), None);
}

#[test]
fn scheduler_without_confirmation_does_not_answer_and_the_age_is_rounded_up() {
    let mut lease = new_process();
    assert_eq!(Inquiry::answer(1, &lease, LIST, START + SECOND), None);
    lease.message_received(START);
    let answer = Inquiry::answer(1, &lease, LIST, START + 1);
    assert_eq!(answer, Some(Message::Answer { number: 1, digest: LIST, age_ms: 1 }));
}

proptest! {
    /// Encoded messages are decoded to the same values, and decoding other bytes does not panic.
    #[test]
    fn encoded_messages_are_decoded(number: u16, digest: u64, age_ms: u32, noise: Vec<u8>, cut in 0_usize..17) {
        for message in [Message::Question { number }, Message::Answer { number, digest, age_ms }] {
            let body = message.encode();
            prop_assert!(body.len() <= 256);
            prop_assert_eq!(Message::decode(&body), Some(message));
            prop_assert_eq!(Message::decode(&body[..cut.min(body.len() - 1)]), None);
        }
        let _ = Message::decode(&noise);
    }

    /// In a chain of schedulers that ask each other, with any delays, no scheduler takes the list for fresher than
    /// discovery confirmed it to the first one.
    #[test]
    fn chain_of_witnesses_does_not_make_a_list_fresher(delays in prop::collection::vec((0_u64..3 * SECOND, 0_u64..SECOND, 0_u64..SECOND), 1..20)) {
        let mut first = new_process();
        first.message_received(START);
        let (mut witness, mut now) = (first, START);
        for (pause, question_delay, answer_delay) in delays {
            let (mut lease, mut inquiry) = (new_process(), Inquiry::default());
            now += pause;
            let number = ask(&mut inquiry, now);
            now += question_delay;
            let Some(Message::Answer { number: answered, digest, age_ms }) = Inquiry::answer(number, &witness, LIST, now) else {
                panic!("a scheduler with a confirmed list did not answer")
            };
            now += answer_delay;
            prop_assert_eq!(inquiry.handle_answer(&mut lease, LIST, (answered, digest, age_ms)), Verdict::Confirmed);
            prop_assert!(lease.confirmed().is_some_and(|confirmed| confirmed <= START));
            witness = lease;
        }
    }
}
