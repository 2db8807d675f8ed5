//! `calicolb-rig slopes --quick`: what it writes, and what it refuses.

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};

fn rig(out: &PathBuf, more: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_calicolb-rig"));
    command.args(["slopes", "--quick", "--seconds", "2", "--out"]).arg(out).args(more);
    command.output().expect("the rig runs")
}

#[test]
fn a_quick_run_writes_a_table_a_file_for_each_function_and_a_chart_of_the_axis() {
    let out = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("slopes");
    let _ = fs::remove_dir_all(&out);
    let done = rig(&out, &["--axis", "schedulers"]);
    let (told, complaint) = (String::from_utf8_lossy(&done.stdout), String::from_utf8_lossy(&done.stderr));
    assert!(done.status.success(), "{complaint}");
    let table = fs::read_to_string(out.join("table.txt")).expect("the table is written");
    assert_eq!(table, told, "what is printed is what is written");
    let greetings = table.lines().find(|line| {
        line.starts_with("greetings-all  schedulers messages")
            && line.split_whitespace().any(|word| word == "764")
    });
    assert!(greetings.is_some(), "4 (S - 1) greetings at 192 schedulers:\n{table}");
    for verdict in ["confirmed: ", "not measured: SIGHUP"] {
        assert!(table.contains(verdict), "{verdict}");
    }
    let talk = fs::read_to_string(out.join("talk-schedulers.csv")).expect("the figures are written");
    // A head, and a line for each of six sizes and three seeds; quick runs have no times.
    assert_eq!(talk.lines().count(), 1 + 6 * 3);
    assert!(talk.starts_with("size,seed,messages,bytes,cpu_us,state_bytes,"), "{talk}");
    let chart = fs::read_to_string(out.join("schedulers.svg")).expect("the chart is drawn");
    assert!(chart.starts_with("<svg") && chart.trim_end().ends_with("</svg>"));
    assert!(chart.contains("messages by the event") && chart.contains("greetings-all 1.0"), "its legend");
    assert!(!out.join("workers.svg").exists(), "only the axis that was asked for");
}

#[test]
fn an_axis_that_is_none_and_a_fleet_of_nobody_are_refused() {
    let out = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("slopes-refused");
    for (more, why) in
        [(["--axis", "cows"], "workers, schedulers"), (["--schedulers", "0"], "a fleet has workers")]
    {
        let done = rig(&out, &more);
        assert!(!done.status.success());
        assert!(String::from_utf8_lossy(&done.stderr).contains(why), "{more:?}");
    }
    assert!(!out.exists());
}
