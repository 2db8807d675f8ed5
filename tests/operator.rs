//! Operator files: each error is reported with its position, a message and help; the shipped files are valid.

use std::fs;
use std::io::{BufRead, BufReader};
use std::process::{Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

const SOUND: &str = r#"http listen="127.0.0.1:0"
gearman listen="127.0.0.1:0"
class "look" aim="900ms" give-up="20s" effect="safe"
function "look" class="look"
"#;

fn check(path: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_calicolb"));
    command.args(["check", "--operator", path]).output().expect("the program starts")
}

/// Checks this text as a file; gives the exit code and what was said, in one line.
fn told(text: &str) -> (Option<i32>, String) {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let nr = NEXT.fetch_add(1, Ordering::Relaxed);
    let file = std::env::temp_dir().join(format!("calicolb-operator-{}-{nr}.kdl", std::process::id()));
    fs::write(&file, text).expect("the file is written");
    let output = check(&file.display().to_string());
    let _ = fs::remove_file(&file);
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    // Long lines are folded for the terminal.
    let words: Vec<&str> = said.split_whitespace().filter(|word| *word != "│").collect();
    (output.status.code(), words.join(" "))
}

/// One thing is changed in a sound file: where it is, what is wrong, and the mend must be told.
#[track_caller]
fn wrong(from: &str, to: &str, at: &str, what: &str, mend: &str) {
    assert!(SOUND.contains(from), "{from}");
    let (code, said) = told(&SOUND.replacen(from, to, 1));
    assert_eq!(code, Some(2), "{to}: {said}");
    for part in [&format!(".kdl:{at}"), what, mend] {
        assert!(said.contains(part), "{to}: '{part}' is not told: {said}");
    }
}

#[test]
fn the_shipped_file_is_sound() {
    let output = check(concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/appliance.kdl"));
    let said = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success() && said.contains("4 classes, 4 functions"), "{said}");
    assert_eq!(told(SOUND).0, Some(0));
}

#[test]
fn every_fault_is_told_with_its_place_and_mend() {
    wrong("900ms", "900", "3:14", "'aim' is \"900\"", "a time with its unit, from \"1ms\" to");
    wrong("\"900ms\"", "900", "3:14", "'aim' is 900", "a time with its unit");
    wrong("900ms", "900 parsecs", "3:14", "'aim' is", "a time with its unit");
    wrong("20s", "1ms", "3:26", "'give-up' is shorter than 'aim'", "at least as long");
    wrong(" aim=\"900ms\"", "", "3:1", "'class' has no 'aim'", "add aim=");
    wrong("aim=", "aims=", "3:14", "'class' has no setting 'aims'", "did you mean \"aim\"?");
    wrong("\"safe\"", "\"safely\"", "3:40", "'effect' is", "one of \"safe\", \"once\", \"keyed\"");
    wrong("\"safe\"", "\"keyed\"", "3:1", "no 'remembered'", "add remembered=");
    wrong("\"safe\"", "\"safe\" slots=0", "3:54", "'slots' is 0", "a whole number from 1 to");
    wrong("\"safe\"", "\"safe\" late-worth=2", "3:54", "'late-worth' is 2", "a number from 0 to 1");
    wrong("class=\"look\"", "class=\"lok\"", "4:17", "there is no class \"lok\"", "did you mean \"look\"?");
    wrong("class=\"look\"", "class=\"look\" on-http=1", "4:30", "'on-http' is 1", "#true or #false");
    wrong("127.0.0.1:0\"\ng", "localhost\"\ng", "1:6", "'listen' is", "an address with a port");
    wrong("gearman listen", "german listen", "2:1", "unknown node 'german'", "did you mean \"gearman\"?");
    wrong("http listen=\"127.0.0.1:0\"\n", "\n", "1:1", "the node 'http' is missing", "add: http listen=");
    wrong("\"look\" aim", "\"look it\" aim", "3:1", "'class' has no valid name", "1 to 64 letters");
    wrong("0\"\nclass", "0\" workload=64\nclass", "2:30", "'workload' is 64", "a size with its unit");
    wrong("0\"\nclass", "0\" workload=\"64\"\nclass", "2:30", "'workload' is", "a size with its unit");
    wrong("0\"\nclass", "0\" workload=\"1GiB\"\nclass", "2:30", "'workload' is", "to \"64");
    wrong("0\"\nclass", "0\"\nlimits tries=9\nclass", "3:8", "'tries' is 9", "from 1 to 6");
    wrong(
        "0\"\nclass",
        "0\"\nlimits open-jobs=999\nclass",
        "3:8",
        "'open-jobs' is 999",
        "set it to at most a third of 'descriptors'",
    );
    wrong("0\"\nclass", "0\"\nlimits descriptors=10\nclass", "3:8", "'descriptors' is 10", "from 64 to");
    wrong("0\"\nclass", "0\"\nlimits\nlimits\nclass", "4:1", "the node 'limits' appears twice", "keep one");
    wrong("0\"\nclass", "0\"\nhttp-worker \"a\"\nclass", "3:1", "no 'address'", "add address=");
    wrong(
        "function",
        "function \"look\" class=\"look\"\nfunction",
        "5:1",
        "two functions \"look\"",
        "rename",
    );
    wrong("gearman listen=\"127.0.0.1:0\"", "gearman listen=\"127.0.0.1:0", "2:", "quoted string", "help");
}

#[test]
fn all_faults_of_a_file_are_told_at_once_and_a_missing_file_too() {
    let (code, said) = told("http listen=\"x\"\nclass \"b\" aim=\"150\" give-up=\"1ms\" effect=\"none\"\n");
    assert_eq!(code, Some(2));
    assert!(said.contains("errors found: 3"), "{said}");
    // Each is told once, though two parts of the program go by it.
    let (_, said) = told(&format!("{SOUND}limits descriptors=10\nworkers idle=5\nworkers\n"));
    assert!(said.contains("errors found: 3"), "{said}");
    let output = check("/nowhere/at/all.kdl");
    assert!(String::from_utf8_lossy(&output.stderr).contains("/nowhere/at/all.kdl cannot be read"));
}

#[test]
fn flags_move_the_addresses_and_the_log_is_json_where_it_is_wanted() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/appliance.kdl");
    let mut command = Command::new(env!("CARGO_BIN_EXE_calicolb"));
    command.args(["serve", "--operator", file, "--log-format", "json", "--log-level", "debug"]);
    command.args(["--listen", "127.0.0.1:0", "--gearman", "127.0.0.1:0", "--mgmt", "127.0.0.1:0"]);
    let mut program = command.stderr(Stdio::piped()).spawn().expect("the program starts");
    let errors = BufReader::new(program.stderr.take().expect("its log is piped"));
    let mut told = Vec::new();
    for line in errors.lines().map_while(Result::ok) {
        let line: serde_json::Value = serde_json::from_str(&line).expect("each line is an object");
        assert_eq!(line["level"], "INFO");
        told.push(line["message"].as_str().expect("it has a text").to_owned());
        if told.len() == 3 {
            // All that it says at the start is said: now it can be ended.
            let killed = Command::new("kill").args(["-TERM", &program.id().to_string()]).status();
            assert!(killed.is_ok_and(|status| status.success()));
        }
    }
    assert!(program.wait().is_ok_and(|status| status.success()));
    for (line, (what, shipped)) in told.iter().zip([
        ("appliance listens for operators on 127.0.0.1:", "7000"),
        ("appliance speaks Gearman on 127.0.0.1:", "4730"),
        ("appliance serves on 127.0.0.1:", "8080"),
    ]) {
        let port = line.strip_prefix(what).unwrap_or_else(|| panic!("'{line}' is not '{what}'"));
        assert_ne!(port, shipped);
    }
}

#[test]
fn without_any_configuration_it_says_how_it_is_started() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_calicolb"));
    let output = command.env_remove("RELAY_CONFIG").output().expect("the program starts");
    let said = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2));
    assert!(said.contains("RELAY_CONFIG is not set") && said.contains("serve --operator FILE"), "{said}");
    let help = Command::new(env!("CARGO_BIN_EXE_calicolb")).arg("--help").output().expect("it starts");
    assert!(String::from_utf8_lossy(&help.stdout).contains("calicolb check --operator deploy/appliance.kdl"));
}

/// A control machine's file, checked; gives the exit code and what was said, in one line.
fn control_told(text: &str) -> (Option<i32>, String) {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let nr = NEXT.fetch_add(1, Ordering::Relaxed);
    let file = std::env::temp_dir().join(format!("calicolb-control-{}-{nr}.kdl", std::process::id()));
    fs::write(&file, text).expect("the file is written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_calicolb"));
    command.args(["control", "--check", "--operator"]).arg(&file);
    let output = command.output().expect("the program starts");
    let _ = fs::remove_file(&file);
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    let words: Vec<&str> = said.split_whitespace().filter(|word| *word != "│").collect();
    (output.status.code(), words.join(" "))
}

#[test]
fn the_shipped_file_of_a_control_machine_is_sound_and_faults_in_it_are_told() {
    let shipped = include_str!("../deploy/control.kdl");
    assert_eq!(control_told(shipped), (Some(0), String::new()));
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
        assert!(shipped.contains(from), "{from}");
        let (code, said) = control_told(&shipped.replacen(from, to, 1));
        assert_eq!(code, Some(2), "{to}: {said}");
        for part in parts {
            assert!(said.contains(part), "{to}: '{part}' is not told: {said}");
        }
    }
}
