//! The play of a fleet: what must come out of it whatever the sizes.

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
fn a_calm_fleet_serves_every_job_and_talks_of_each_within_its_cohorts() {
    let counts = simulate(&SMALL, 7, &[(10, Incident::None)]);
    assert!(counts.jobs(0) > 200, "{} jobs at 30 a second", counts.jobs(0));
    assert_eq!(counts.unserved(0), 0);
    let talk = counts.total(0, MessageType::Load);
    // A job is told of when it is sent and when it has ended; a cohort has four here.
    let each = talk.messages as f64 / counts.jobs(0) as f64;
    assert!((2.0..=2.0 * 2.0 * 7.0).contains(&each), "{each} messages a job, in and out");
    assert!((8..=11).contains(&(talk.bytes / talk.messages)), "{talk:?}");
    assert_eq!(
        counts.total(0, MessageType::Hello).messages + counts.total(0, MessageType::FaultReport).messages,
        0
    );
}

#[test]
fn the_same_seed_plays_the_same_and_another_does_not() {
    let told = |seed| simulate(&SMALL, seed, &[(5, Incident::None)]).total(0, MessageType::Load);
    assert_eq!(told(3), told(3));
    assert_ne!(told(3), told(4));
}

#[test]
fn one_start_is_greeted_by_all_and_a_start_of_all_by_all_of_them() {
    let counts = simulate(&SMALL, 7, &[(2, Incident::Restart)]);
    let others = u64::from(SMALL.schedulers - 1);
    // Each of the others is greeted and answers; a message counts at both ends.
    assert_eq!(counts.total(0, MessageType::Hello).messages, 4 * others);
    // Where all start, each greets all, is greeted by all, answers all and is answered by all.
    assert_eq!(counts.mass_restart().messages, 4 * others);
    assert_eq!(counts.mass_restart().bytes, 3 * 4 * others);
}

#[test]
fn phases_are_counted_apart() {
    let phases = [(5, Incident::None), (2, Incident::Restart), (5, Incident::ZoneLost)];
    let counts = simulate(&SMALL, 7, &phases);
    let of = |sort| [0, 1, 2].map(|phase| counts.total(phase, sort).messages);
    assert_eq!(of(MessageType::Hello), [0, 4 * u64::from(SMALL.schedulers - 1), 0]);
    let [calm, start, lost] = of(MessageType::FaultReport);
    assert!(calm + start == 0 && lost > 0, "{calm} {start} {lost}");
    // What comes before the incidents is as without them.
    let alone = simulate(&SMALL, 7, &phases[..1]);
    assert_eq!(counts.total(0, MessageType::Load), alone.total(0, MessageType::Load));
}

#[test]
fn a_lost_zone_is_told_of_and_its_jobs_move() {
    let counts = simulate(&SMALL, 7, &[(5, Incident::ZoneLost)]);
    let (all, worst) = (counts.total(0, MessageType::FaultReport), counts.worst(0, MessageType::FaultReport));
    assert!(all.messages > 0 && worst.messages > 0 && worst.messages < all.messages, "{all:?} {worst:?}");
    assert_eq!(all.bytes, 6 * all.messages);
    assert!(counts.unserved(0) > 0, "what ran there and must not run twice is lost");
}

#[test]
fn a_zone_that_falls_silent_ends_nothing_and_is_found_by_connections_that_never_come_up() {
    let [lost, silent] =
        [Incident::ZoneLost, Incident::ZoneSilent].map(|how| simulate(&SMALL, 7, &[(5, how)]));
    let told =
        |counts: &calicolb_scaling::counts::MessageCounts| counts.total(0, MessageType::FaultReport).messages;
    assert!(told(&silent) < told(&lost), "{} {}", told(&silent), told(&lost));
    // What ran there has not ended for anybody; only jobs whose every try met a worker that is gone are refused.
    assert!(silent.unserved(0) < lost.unserved(0), "{} {}", silent.unserved(0), lost.unserved(0));
}
