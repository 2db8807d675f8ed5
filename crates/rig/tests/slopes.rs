//! `calicolb-rig slopes --quick`: the files that it writes, and the options that it rejects.

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};

fn run_slopes(out: &PathBuf, options: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_calicolb-rig"));
    command.args(["slopes", "--quick", "--seconds", "2", "--out"]).arg(out).args(options);
    command.output().expect("starting calicolb-rig slopes failed")
}

#[test]
fn quick_run_writes_the_table_a_csv_file_for_each_function_and_the_chart_of_the_axis() {
    let out = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("slopes");
    let _ = fs::remove_dir_all(&out);
    let output = run_slopes(&out, &["--axis", "schedulers"]);
    let (stdout, stderr) = (String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
    assert!(output.status.success(), "{stderr}");
    let table = fs::read_to_string(out.join("table.txt")).expect("reading table.txt failed");
    assert_eq!(table, stdout, "standard output differs from table.txt");
    let mass_start_row = table.lines().find(|line| {
        line.starts_with("greetings-all  schedulers messages")
            && line.split_whitespace().any(|word| word == "764")
    });
    assert!(
        mass_start_row.is_some(),
        "no row with 4 * (192 - 1) = 764 hello messages at 192 schedulers:\n{table}"
    );
    for verdict in ["confirmed: ", "not measured: SIGHUP"] {
        assert!(table.contains(verdict), "no finding '{verdict}' in:\n{table}");
    }
    let csv =
        fs::read_to_string(out.join("talk-schedulers.csv")).expect("reading talk-schedulers.csv failed");
    // A header, and a line for each of 6 sizes and 3 seeds. A quick run measures no CPU times.
    assert_eq!(csv.lines().count(), 1 + 6 * 3);
    assert!(csv.starts_with("size,seed,messages,bytes,cpu_us,state_bytes,"), "{csv}");
    let chart = fs::read_to_string(out.join("schedulers.svg")).expect("reading schedulers.svg failed");
    assert!(chart.starts_with("<svg") && chart.trim_end().ends_with("</svg>"));
    assert!(
        chart.contains("messages by the event") && chart.contains("greetings-all 1.0"),
        "the chart lacks a title or the legend"
    );
    assert!(!out.join("workers.svg").exists(), "a chart of an axis that was not selected");
}

#[test]
fn unknown_axis_and_fleet_without_schedulers_are_rejected() {
    let out = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("slopes-refused");
    for (options, reason) in [
        (["--axis", "cows"], "workers, schedulers"),
        (["--schedulers", "0"], "--workers, --schedulers, --zones and --starts must each be above 0"),
    ] {
        let output = run_slopes(&out, &options);
        assert!(!output.status.success());
        assert!(String::from_utf8_lossy(&output.stderr).contains(reason), "{options:?}");
    }
    assert!(!out.exists());
}
