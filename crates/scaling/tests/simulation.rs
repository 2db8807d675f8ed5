//! Tests of properties that hold for simulations of any size.

use calicolb_scaling::counts::MessageType;
use calicolb_scaling::scenario::FleetParameters;
use calicolb_scaling::simulation::{Incident, simulate};

const SMALL: FleetParameters = FleetParameters {
    workers: 60,
    schedulers: 30,
    tenants: 12,
    starts_per_s: 30.0,
    days: 1,
    zones: 6,
    tasks_per_worker: 5.0,
    replaced_per_day: 4,
};

#[test]
fn calm_fleet_serves_every_job_and_sends_load_messages_within_cohorts() {
    let counts = simulate(&SMALL, 7, &[(10, Incident::None)]);
    assert!(counts.jobs(0) > 200, "{} jobs at 30 a second", counts.jobs(0));
    assert_eq!(counts.unserved(0), 0);
    let load_messages = counts.total(0, MessageType::Load);
    // A load message is sent to the cohort when a job is sent and when it has ended; a cohort has four schedulers
    // here.
    let messages_per_job = load_messages.messages as f64 / counts.jobs(0) as f64;
    assert!(
        (2.0..=2.0 * 2.0 * 7.0).contains(&messages_per_job),
        "{messages_per_job} messages per job, sent and received"
    );
    assert!((8..=11).contains(&(load_messages.bytes / load_messages.messages)), "{load_messages:?}");
    assert_eq!(
        counts.total(0, MessageType::Hello).messages + counts.total(0, MessageType::FaultReport).messages,
        0
    );
}

#[test]
fn equal_seeds_give_equal_counts_and_different_seeds_differ() {
    let load_message_count =
        |seed| simulate(&SMALL, seed, &[(5, Incident::None)]).total(0, MessageType::Load);
    assert_eq!(load_message_count(3), load_message_count(3));
    assert_ne!(load_message_count(3), load_message_count(4));
}

#[test]
fn start_sends_a_hello_to_each_other_scheduler_and_receives_an_answer() {
    let counts = simulate(&SMALL, 7, &[(2, Incident::Restart)]);
    let others = u64::from(SMALL.schedulers - 1);
    // Each other scheduler receives a hello and answers it; a message counts at its sender and at its receiver.
    assert_eq!(counts.total(0, MessageType::Hello).messages, 4 * others);
    // If all schedulers start, each sends a hello to all others, receives one from each, answers all and is answered
    // by all.
    assert_eq!(counts.mass_restart().messages, 4 * others);
    assert_eq!(counts.mass_restart().bytes, 3 * 4 * others);
}

#[test]
fn phases_are_counted_separately() {
    let phases = [(5, Incident::None), (2, Incident::Restart), (5, Incident::ZoneLost)];
    let counts = simulate(&SMALL, 7, &phases);
    let messages_by_phase = |message_type| [0, 1, 2].map(|phase| counts.total(phase, message_type).messages);
    assert_eq!(messages_by_phase(MessageType::Hello), [0, 4 * u64::from(SMALL.schedulers - 1), 0]);
    let [calm, start, lost] = messages_by_phase(MessageType::FaultReport);
    assert!(calm + start == 0 && lost > 0, "{calm} {start} {lost}");
    // The phase before the incidents gives the same counts as a simulation without them.
    let alone = simulate(&SMALL, 7, &phases[..1]);
    assert_eq!(counts.total(0, MessageType::Load), alone.total(0, MessageType::Load));
}

#[test]
fn lost_zone_causes_fault_reports_and_fails_unsafe_jobs() {
    let counts = simulate(&SMALL, 7, &[(5, Incident::ZoneLost)]);
    let (all, worst) = (counts.total(0, MessageType::FaultReport), counts.worst(0, MessageType::FaultReport));
    assert!(all.messages > 0 && worst.messages > 0 && worst.messages < all.messages, "{all:?} {worst:?}");
    assert_eq!(all.bytes, 6 * all.messages);
    assert!(counts.unserved(0) > 0, "running jobs that must not run twice are lost");
}

#[test]
fn silent_zone_causes_fewer_fault_reports_and_failures_than_a_lost_zone() {
    let [lost, silent] =
        [Incident::ZoneLost, Incident::ZoneSilent].map(|how| simulate(&SMALL, 7, &[(5, how)]));
    let fault_report_count =
        |counts: &calicolb_scaling::counts::MessageCounts| counts.total(0, MessageType::FaultReport).messages;
    assert!(
        fault_report_count(&silent) < fault_report_count(&lost),
        "{} {}",
        fault_report_count(&silent),
        fault_report_count(&lost)
    );
    // The jobs in the silent zone have not ended; only jobs whose every attempt went to an unreachable worker are
    // refused.
    assert!(silent.unserved(0) < lost.unserved(0), "{} {}", silent.unserved(0), lost.unserved(0));
}
