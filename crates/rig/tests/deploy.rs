//! Rolling deploy under mixed HTTP and Gearman traffic: no job may be lost, and none that must not repeat may run
//! twice.

use std::process::Command;

fn run_rig(args: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_calicolb-rig"))
        .args(args)
        .output()
        .expect("starting calicolb-rig failed");
    let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{stdout}{}", String::from_utf8_lossy(&output.stderr));
    stdout
}

#[test]
fn rolling_deploy_under_mixed_traffic_loses_and_repeats_no_job() {
    let stdout =
        run_rig(&["run", "--speak", "mixed", "--seconds", "6", "--rate", "20", "--workers", "6", "--roll"]);
    assert!(stdout.contains("twice 0, lost 0"), "{stdout}");
    let served: u64 = stdout
        .rsplit_once("in time ")
        .and_then(|(_, rest)| rest.split(',').next()?.parse().ok())
        .expect("no count after 'in time' in the output");
    assert!(served > 20, "only {served} jobs were served in time: {stdout}");
}
