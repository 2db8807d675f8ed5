//! A small calibration run: three scheduler processes and six simulated workers for a few seconds, compared with the
//! simulation of the same plan.

use calicolb_rig::calibrate::counts::{Flow, Traffic};
use calicolb_rig::calibrate::process::program;
use calicolb_rig::calibrate::replay::replay;
use calicolb_simulation::Plan;

/// Returns the plan of the run. `calicolb-rig calibrate` with these values repeats it.
fn test_plan() -> Plan {
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
fn three_processes_lose_and_repeat_no_job_and_the_relay_counts_every_datagram() {
    let plan = test_plan();
    println!("seed {}", plan.seed);
    let program = program(None).expect("locating the scheduler executable failed");
    let real = replay(&program, &plan, true).expect("running the plan with real processes failed");
    let simulated = calicolb_simulation::simulate(&plan);

    // Both runs have the same requests. Each request is answered once, and no request runs twice or at two workers.
    assert_eq!(real.jobs, simulated.jobs);
    assert!(real.jobs > 40, "not more than 40 jobs arrived: {real:?}");
    assert_eq!((real.lost, real.doubled, real.overlapping), (0, 0, 0), "{real:?}");
    assert_eq!(real.served + real.refused + real.failed, real.jobs, "{real:?}");
    assert!(real.served * 10 >= real.jobs * 9, "{real:?}");
    assert_eq!(real.callbacks_dropped, 0, "{real:?}");

    // Every datagram has a known length of under 256 bytes, and is counted once when received and once for each
    // receiver.
    let sum = |flows: &[Flow]| real.counts.sum(flows);
    let sent = sum(&[Flow::LoadsSent, Flow::HellosSent, Flow::FaultReportsSent, Flow::FreshnessSent]);
    let passed =
        sum(&[Flow::LoadsPassed, Flow::HellosPassed, Flow::FaultReportsPassed, Flow::FreshnessPassed]);
    assert_eq!((real.counts.relay_in, real.counts.relay_out), (sent, passed), "{real:?}");
    assert!(sent.messages > 0, "no datagram was sent: {real:?}");
    assert_eq!((real.datagrams_unknown, real.datagrams_dropped), (0, 0), "{real:?}");
    assert!((3..256).contains(&real.datagram_longest), "{real:?}");

    // The list does not change during the run: each watch carries only an empty line every 2 s.
    let watch = real.traffic["watch"];
    assert_eq!(watch, Traffic { messages: watch.messages, bytes: 6 * watch.messages });
    assert!((3..=9).contains(&watch.messages), "{real:?}");
    assert_eq!(real.traffic["list"], Traffic::default());

    let restart = real.restart.as_ref().expect("the result has no restart of a process");
    // The restarted process requests the list once and sends hello to all others.
    assert_eq!(restart.traffic["list"].messages, 1, "{real:?}");
    // 1 hello to both others and 2 replies are sent; 2 and 2 are passed on.
    assert_eq!(restart.traffic["greetings"].messages, 1 + 2 + 2 + 2, "{real:?}");
    assert!(real.resident_kib.min > 1_000.0, "{real:?}");
}
