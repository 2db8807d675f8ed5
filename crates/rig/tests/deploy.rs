//! Mixed traffic while nearly all workers are replaced, as the rig plays it: nothing may run twice or be lost.

use std::process::Command;

fn rig(args: &[&str]) -> String {
    let output =
        Command::new(env!("CARGO_BIN_EXE_calicolb-rig")).args(args).output().expect("the rig starts");
    let said = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{said}{}", String::from_utf8_lossy(&output.stderr));
    said
}

#[test]
fn mixed_traffic_outlives_a_rolling_deploy() {
    let said =
        rig(&["run", "--speak", "mixed", "--seconds", "6", "--rate", "20", "--workers", "6", "--roll"]);
    assert!(said.contains("twice 0, lost 0"), "{said}");
    let served: u64 = said
        .rsplit_once("in time ")
        .and_then(|(_, rest)| rest.split(',').next()?.parse().ok())
        .expect("it says how many were in time");
    assert!(served > 20, "hardly anything was served: {said}");
}
