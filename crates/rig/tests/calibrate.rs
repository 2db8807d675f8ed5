//! A small calibration: three processes of the program, six workers, a few seconds, and the hollow fleet beside them.

use calicolb_rig::calibrate::counts::{Flow, Traffic};
use calicolb_rig::calibrate::process::program;
use calicolb_rig::calibrate::replay::replay;
use calicolb_simulation::Plan;

/// Replays by `calicolb-rig calibrate` with these figures.
fn plan() -> Plan {
    Plan {
        schedulers: 3,
        workers: 6,
        accelerators: 8,
        tenants: 12,
        zones: 3,
        regions: 1,
        requests_per_s: 20.0,
        running_tasks: Some(12.0),
        measured_seconds: 4,
        warm_up_seconds: 9,
        seed: 7,
        ..Plan::default()
    }
}

#[test]
fn three_processes_lose_and_double_nothing_and_the_relay_counts_all_that_it_passes_on() {
    let plan = plan();
    println!("seed {}", plan.seed);
    let program = program(None).expect("the program is there");
    let real = replay(&program, &plan, true).expect("the processes start and serve");
    let hollow = calicolb_simulation::simulate(&plan);

    // The same requests came to both, and each was answered with the result of a worker that ran it once.
    assert_eq!(real.jobs, hollow.jobs);
    assert!(real.jobs > 40, "hardly anything came in: {real:?}");
    assert_eq!((real.lost, real.doubled, real.overlapping), (0, 0, 0), "{real:?}");
    assert_eq!(real.served + real.refused + real.failed, real.jobs, "{real:?}");
    assert!(real.served * 10 >= real.jobs * 9, "{real:?}");
    assert_eq!(real.callbacks_dropped, 0, "{real:?}");

    // Every datagram has one of the known shapes, is short, and is counted once on its way in and once a receiver.
    let sum = |flows: &[Flow]| real.counts.sum(flows);
    let sent = sum(&[Flow::LoadsSent, Flow::HellosSent, Flow::FaultReportsSent, Flow::FreshnessSent]);
    let passed =
        sum(&[Flow::LoadsPassed, Flow::HellosPassed, Flow::FaultReportsPassed, Flow::FreshnessPassed]);
    assert_eq!((real.counts.relay_in, real.counts.relay_out), (sent, passed), "{real:?}");
    assert!(sent.messages > 0, "nobody spoke: {real:?}");
    assert_eq!((real.datagrams_unknown, real.datagrams_dropped), (0, 0), "{real:?}");
    assert!((3..256).contains(&real.datagram_longest), "{real:?}");

    // Each watch brings an empty line each two seconds: nothing else is on the list.
    let watch = real.traffic["watch"];
    assert_eq!(watch, Traffic { messages: watch.messages, bytes: 6 * watch.messages });
    assert!((3..=9).contains(&watch.messages), "{real:?}");
    assert_eq!(real.traffic["list"], Traffic::default());

    let restart = real.restart.as_ref().expect("a process was started anew");
    // Who starts anew asks for the list once, and tells all where it stands.
    assert_eq!(restart.traffic["list"].messages, 1, "{real:?}");
    // One greeting to both others, and an answer from each: sent and passed on.
    assert_eq!(restart.traffic["greetings"].messages, 1 + 2 + 2 + 2, "{real:?}");
    assert!(real.resident_kib.min > 1_000.0, "{real:?}");
}
