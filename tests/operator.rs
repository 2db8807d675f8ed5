//! Operator files: each error is reported with its position, a message and help; the shipped files are valid.

use std::fs;
use std::io::{BufRead, BufReader};
use std::process::{Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

/// A minimal valid operator file.
const VALID_FILE: &str = r#"http listen="127.0.0.1:0"
gearman listen="127.0.0.1:0"
class "look" aim="900ms" give-up="20s" effect="safe"
function "look" class="look"
"#;

/// Runs the check command on a file.
fn check(path: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_calicolb"));
    command.args(["check", "--operator", path]).output().expect("the program could not be started")
}

/// Checks this text as an operator file; returns the exit code and the diagnostics as one line.
fn check_text(text: &str) -> (Option<i32>, String) {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let nr = NEXT.fetch_add(1, Ordering::Relaxed);
    let file = std::env::temp_dir().join(format!("calicolb-operator-{}-{nr}.kdl", std::process::id()));
    fs::write(&file, text).expect("the operator file could not be written");
    let output = check(&file.display().to_string());
    let _ = fs::remove_file(&file);
    let output_text = String::from_utf8_lossy(&output.stderr).into_owned();
    // Long lines are wrapped for the terminal; the words are joined again here.
    let words: Vec<&str> = output_text.split_whitespace().filter(|word| *word != "│").collect();
    (output.status.code(), words.join(" "))
}

/// Replaces `from` by `to` in the valid file and asserts that the check names the position, the error and the help.
#[track_caller]
fn assert_diagnostic(from: &str, to: &str, position: &str, message: &str, help: &str) {
    assert!(VALID_FILE.contains(from), "the valid file does not contain '{from}'");
    let (code, output_text) = check_text(&VALID_FILE.replacen(from, to, 1));
    assert_eq!(code, Some(2), "{to}: {output_text}");
    for part in [&format!(".kdl:{position}"), message, help] {
        assert!(output_text.contains(part), "{to}: '{part}' is not in the output: {output_text}");
    }
}

#[test]
fn shipped_file_is_valid() {
    let output = check(concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/appliance.kdl"));
    let output_text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success() && output_text.contains("4 classes, 4 functions"), "{output_text}");
    assert_eq!(check_text(VALID_FILE).0, Some(0));
}

#[test]
fn every_error_is_reported_with_position_message_and_help() {
    assert_diagnostic("900ms", "900", "3:14", "'aim' is \"900\"", "a time with its unit, from \"1ms\" to");
    assert_diagnostic("\"900ms\"", "900", "3:14", "'aim' is 900", "a time with its unit");
    assert_diagnostic("900ms", "900 parsecs", "3:14", "'aim' is", "a time with its unit");
    assert_diagnostic("20s", "1ms", "3:26", "'give-up' is shorter than 'aim'", "at least as long");
    assert_diagnostic(" aim=\"900ms\"", "", "3:1", "'class' has no 'aim'", "add aim=");
    assert_diagnostic("aim=", "aims=", "3:14", "'class' has no setting 'aims'", "did you mean \"aim\"?");
    assert_diagnostic(
        "\"safe\"",
        "\"safely\"",
        "3:40",
        "'effect' is",
        "one of \"safe\", \"once\", \"keyed\"",
    );
    assert_diagnostic("\"safe\"", "\"keyed\"", "3:1", "no 'remembered'", "add remembered=");
    assert_diagnostic("\"safe\"", "\"safe\" slots=0", "3:54", "'slots' is 0", "a whole number from 1 to");
    assert_diagnostic(
        "\"safe\"",
        "\"safe\" late-worth=2",
        "3:54",
        "'late-worth' is 2",
        "a number from 0 to 1",
    );
    assert_diagnostic(
        "class=\"look\"",
        "class=\"lok\"",
        "4:17",
        "there is no class \"lok\"",
        "did you mean \"look\"?",
    );
    assert_diagnostic(
        "class=\"look\"",
        "class=\"look\" on-http=1",
        "4:30",
        "'on-http' is 1",
        "#true or #false",
    );
    assert_diagnostic("127.0.0.1:0\"\ng", "localhost\"\ng", "1:6", "'listen' is", "an address with a port");
    assert_diagnostic(
        "gearman listen",
        "german listen",
        "2:1",
        "unknown node 'german'",
        "did you mean \"gearman\"?",
    );
    assert_diagnostic(
        "http listen=\"127.0.0.1:0\"\n",
        "\n",
        "1:1",
        "the node 'http' is missing",
        "add: http listen=",
    );
    assert_diagnostic(
        "\"look\" aim",
        "\"look it\" aim",
        "3:1",
        "'class' has no valid name",
        "1 to 64 letters",
    );
    assert_diagnostic(
        "0\"\nclass",
        "0\" workload=64\nclass",
        "2:30",
        "'workload' is 64",
        "a size with its unit",
    );
    assert_diagnostic(
        "0\"\nclass",
        "0\" workload=\"64\"\nclass",
        "2:30",
        "'workload' is",
        "a size with its unit",
    );
    assert_diagnostic("0\"\nclass", "0\" workload=\"1GiB\"\nclass", "2:30", "'workload' is", "to \"64");
    assert_diagnostic("0\"\nclass", "0\"\nlimits tries=9\nclass", "3:8", "'tries' is 9", "from 1 to 6");
    assert_diagnostic(
        "0\"\nclass",
        "0\"\nlimits open-jobs=999\nclass",
        "3:8",
        "'open-jobs' is 999",
        "set it to at most a third of 'descriptors'",
    );
    assert_diagnostic(
        "0\"\nclass",
        "0\"\nlimits descriptors=10\nclass",
        "3:8",
        "'descriptors' is 10",
        "from 64 to",
    );
    assert_diagnostic(
        "0\"\nclass",
        "0\"\nlimits\nlimits\nclass",
        "4:1",
        "the node 'limits' appears twice",
        "keep one",
    );
    assert_diagnostic("0\"\nclass", "0\"\nhttp-worker \"a\"\nclass", "3:1", "no 'address'", "add address=");
    assert_diagnostic(
        "function",
        "function \"look\" class=\"look\"\nfunction",
        "5:1",
        "two functions \"look\"",
        "rename",
    );
    assert_diagnostic(
        "gearman listen=\"127.0.0.1:0\"",
        "gearman listen=\"127.0.0.1:0",
        "2:",
        "quoted string",
        "help",
    );
}

#[test]
fn all_errors_of_a_file_are_reported_at_once_and_a_missing_file_is_an_error() {
    let (code, output_text) =
        check_text("http listen=\"x\"\nclass \"b\" aim=\"150\" give-up=\"1ms\" effect=\"none\"\n");
    assert_eq!(code, Some(2));
    assert!(output_text.contains("errors found: 3"), "{output_text}");
    // Each error is reported once even though two parts of the program read the setting.
    let (_, output_text) =
        check_text(&format!("{VALID_FILE}limits descriptors=10\nworkers idle=5\nworkers\n"));
    assert!(output_text.contains("errors found: 3"), "{output_text}");
    let output = check("/nowhere/at/all.kdl");
    assert!(String::from_utf8_lossy(&output.stderr).contains("/nowhere/at/all.kdl cannot be read"));
}

#[test]
fn flags_override_addresses_and_select_the_json_log_format() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/appliance.kdl");
    let mut command = Command::new(env!("CARGO_BIN_EXE_calicolb"));
    command.args(["serve", "--operator", file, "--log-format", "json", "--log-level", "debug"]);
    command.args(["--listen", "127.0.0.1:0", "--gearman", "127.0.0.1:0", "--mgmt", "127.0.0.1:0"]);
    let mut program = command.stderr(Stdio::piped()).spawn().expect("the program could not be started");
    let errors = BufReader::new(program.stderr.take().expect("the program's standard error is not piped"));
    let mut messages = Vec::new();
    for line in errors.lines().map_while(Result::ok) {
        let line: serde_json::Value = serde_json::from_str(&line).expect("a log line is no JSON");
        assert_eq!(line["level"], "INFO");
        messages.push(line["message"].as_str().expect("a log line has no message").to_owned());
        if messages.len() == 3 {
            // All three startup messages have been logged, so the program can be ended.
            let killed = Command::new("kill").args(["-TERM", &program.id().to_string()]).status();
            assert!(killed.is_ok_and(|status| status.success()));
        }
    }
    assert!(program.wait().is_ok_and(|status| status.success()));
    for (line, (prefix, shipped_port)) in messages.iter().zip([
        ("appliance listens for operators on 127.0.0.1:", "7000"),
        ("appliance speaks Gearman on 127.0.0.1:", "4730"),
        ("appliance serves on 127.0.0.1:", "8080"),
    ]) {
        let port = line
            .strip_prefix(prefix)
            .unwrap_or_else(|| panic!("log line '{line}' does not start with '{prefix}'"));
        assert_ne!(port, shipped_port);
    }
}

#[test]
fn start_without_configuration_prints_usage() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_calicolb"));
    let output = command.env_remove("RELAY_CONFIG").output().expect("the program could not be started");
    let output_text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        output_text.contains("RELAY_CONFIG is not set") && output_text.contains("serve --operator FILE"),
        "{output_text}"
    );
    let help = Command::new(env!("CARGO_BIN_EXE_calicolb"))
        .arg("--help")
        .output()
        .expect("the program could not be started");
    assert!(String::from_utf8_lossy(&help.stdout).contains("calicolb check --operator deploy/appliance.kdl"));
}

/// Checks this text as a control machine's file; returns the exit code and the diagnostics as one line.
fn check_control_text(text: &str) -> (Option<i32>, String) {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let nr = NEXT.fetch_add(1, Ordering::Relaxed);
    let file = std::env::temp_dir().join(format!("calicolb-control-{}-{nr}.kdl", std::process::id()));
    fs::write(&file, text).expect("the operator file could not be written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_calicolb"));
    command.args(["control", "--check", "--operator"]).arg(&file);
    let output = command.output().expect("the program could not be started");
    let _ = fs::remove_file(&file);
    let output_text = String::from_utf8_lossy(&output.stderr).into_owned();
    let words: Vec<&str> = output_text.split_whitespace().filter(|word| *word != "│").collect();
    (output.status.code(), words.join(" "))
}

#[test]
fn shipped_control_machine_file_is_valid_and_its_errors_are_reported() {
    let shipped = include_str!("../deploy/control.kdl");
    assert_eq!(check_control_text(shipped), (Some(0), String::new()));
    for (from, to, parts) in [
        ("id 1", "id 6", &["'id' is 6", "a whole number from 1 to 5"][..]),
        ("id 1", "", &["'control' has no 'id'", "add id="]),
        ("127.0.0.1:7103\"", "here\"", &["'here' is not an address with a port"]),
        ("127.0.0.1:7103\"", "127.0.0.1:7102\"", &["'127.0.0.1:7102' is listed twice"]),
        (
            "learners 400",
            "learner 400",
            &["'control' has no setting 'learner'", "did you mean \"learners\"?"],
        ),
        ("store \"control-1\"", "", &["'control' has no 'store'"]),
        ("// settings \"settings.json\"", "settings \"nowhere.json\"", &["nowhere.json cannot be read"]),
        (
            "name \"control-1\"",
            "http listen=\"127.0.0.1:1\"",
            &["a control machine's file cannot contain 'http'"],
        ),
        ("control {", "controls {", &["the node 'control' is missing"]),
    ] {
        assert!(shipped.contains(from), "the shipped file does not contain '{from}'");
        let (code, output_text) = check_control_text(&shipped.replacen(from, to, 1));
        assert_eq!(code, Some(2), "{to}: {output_text}");
        for part in parts {
            assert!(output_text.contains(part), "{to}: '{part}' is not in the output: {output_text}");
        }
    }
}
