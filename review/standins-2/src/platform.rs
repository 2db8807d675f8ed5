//! The platform: starts schedulers by the deploy file, signals them and ends them.

use crate::lock;
use crate::record::Record;
use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::net::TcpListener;
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A case takes no longer than this.
const LONGEST: Duration = Duration::from_secs(114);

/// Processes that were started and have not been waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
fn end_processes() {
    for process in lock(&RUNNING).drain(..) {
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -KILL {process} 2>/dev/null")).status();
    }
}

/// The frame of a case: the folders it uses, and its record.
pub struct Case {
    /// Root of the repository.
    pub root: PathBuf,
    /// A temporary folder.
    pub scratch: PathBuf,
    pub record: Record,
    /// The command of `run` in the deploy file.
    run: String,
}

impl Case {
    /// Prepares a case. The arguments of the program are the folder of the case and a temporary folder, in whose file `pids`
    /// the processes are named that are started.
    ///
    /// # Errors
    /// Fails if a folder or the scheduler's program is missing.
    pub fn prepare() -> Result<Case, String> {
        let folder = PathBuf::from(std::env::args().nth(1).ok_or("the folder of the case is missing")?);
        let folder = folder.canonicalize().map_err(|error| error.to_string())?;
        let root = folder.parent().and_then(Path::parent).ok_or("no root")?.to_path_buf();
        let deploy =
            fs::read_to_string(root.join("deploy/balancer.toml")).map_err(|error| error.to_string())?;
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.split('"').next());
        let run = run.ok_or("the deploy file has no 'run'")?.to_owned();
        if !root.join("target/release/calicolb").exists() {
            return Err("the scheduler is not built".to_owned());
        }
        let scratch = PathBuf::from(std::env::args().nth(2).ok_or("the temporary folder is missing")?);
        let record = Record::create(&folder).map_err(|error| error.to_string())?;
        let show = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |panic| {
            show(panic);
            end_processes();
            std::process::exit(crate::COULD_NOT_RUN)
        }));
        let late = record.clone();
        std::thread::spawn(move || {
            std::thread::sleep(LONGEST);
            late.say("the case took too long");
            end_processes();
            std::process::exit(crate::COULD_NOT_RUN)
        });
        Ok(Case { root, scratch, record, run })
    }

    /// Starts a scheduler by the deploy file's command, with `arguments` behind it and these variables. `name` names its
    /// log in the temporary folder. A `passed` socket is its descriptor 3.
    pub fn start(
        &self,
        name: &str,
        arguments: &str,
        variables: &[(&str, String)],
        passed: Option<&TcpListener>,
    ) -> Scheduler {
        let log = File::create(self.scratch.join(format!("{name}.log"))).expect("creating the log");
        let (redirect, input) = match passed {
            Some(listener) => {
                let socket: OwnedFd = listener.try_clone().expect("copying the socket").into();
                ("exec 3<&0 </dev/null; ", Stdio::from(socket))
            }
            None => ("", Stdio::null()),
        };
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("{redirect}{} {arguments}", self.run))
            .current_dir(&self.root)
            .envs(variables.iter().map(|(key, value)| (*key, value.as_str())))
            .stdin(input)
            .stdout(log.try_clone().expect("copying the log"))
            .stderr(log)
            .spawn()
            .expect("starting the scheduler");
        lock(&RUNNING).push(child.id());
        let pids = OpenOptions::new().create(true).append(true).open(self.scratch.join("pids"));
        writeln!(pids.expect("opening the file of processes"), "{}", child.id()).expect("noting a process");
        self.record.line(format!("platform: started {name}, process {}", child.id()));
        Scheduler { child, name: name.to_owned() }
    }

    /// The log of a scheduler.
    pub fn log(&self, name: &str) -> String {
        let bytes = fs::read(self.scratch.join(format!("{name}.log"))).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Waits until the log of a scheduler contains a text.
    pub fn wait_for_log(&self, name: &str, text: &str, limit: Duration) -> bool {
        wait_until(limit, || self.log(name).contains(text))
    }

    /// Writes a file into the temporary folder, and returns its path.
    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.scratch.join(name);
        fs::write(&path, text).expect("writing a file");
        path.display().to_string()
    }

    /// Ends all processes, and copies the end of the logs into the record.
    pub fn finish(&self, logs: &[&str], status: i32) -> ! {
        end_processes();
        for name in logs {
            let log = self.log(name);
            let lines: Vec<&str> = log.lines().collect();
            self.record.line(format!("the last lines of the log of {name}:"));
            lines[lines.len().saturating_sub(25)..]
                .iter()
                .for_each(|line| self.record.line(format!("  {line}")));
        }
        self.record.say(match status {
            crate::HELD => "the rule held",
            crate::BROKEN => "THE RULE WAS BROKEN",
            _ => "the case could not run",
        });
        std::process::exit(status)
    }
}

/// Waits until a condition holds. Returns whether it did within `limit`.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let since = Instant::now();
    while !condition() {
        if since.elapsed() > limit {
            return false;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    true
}

/// A started scheduler. It is killed when this is dropped.
pub struct Scheduler {
    child: Child,
    pub name: String,
}

impl Scheduler {
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal: `TERM`, `HUP`, `STOP`, `CONT` or `KILL`.
    pub fn signal(&self, signal: &str) {
        let _ = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("kill -{signal} {} 2>/dev/null", self.child.id()))
            .status();
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Resident memory of the process in KiB.
    pub fn memory_kib(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        lock(&RUNNING).retain(|process| *process != self.child.id());
    }
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A class of the settings: name, aim, deadline, effect, window for repeats, multiple of its own work.
pub struct Class {
    pub name: &'static str,
    pub aim_ms: u64,
    pub deadline_ms: u64,
    pub effect: &'static str,
    pub window_ms: u64,
    pub stretch: f64,
    pub worth: f64,
    pub late_worth: f64,
}

/// The settings of a small deployment, as the platform writes them.
pub struct Settings {
    pub classes: Vec<Class>,
    pub zones: Vec<&'static str>,
    pub kinds: Vec<&'static str>,
    pub copies: bool,
    pub tries: u32,
    pub pushed: bool,
    pub tells_start: bool,
    pub connect_timeout_ms: u64,
    pub conn_idle_ms: u64,
    pub cold_ms: u64,
    pub fall_multiple: f64,
    pub fall_ms: u64,
    pub drain_grace_ms: u64,
}

impl Settings {
    pub fn json(&self) -> String {
        let list = |items: Vec<String>| format!("[{}]", items.join(","));
        let names = |names: &[&str]| list(names.iter().map(|name| format!("\"{name}\"")).collect());
        let each = |value: &dyn Fn(&Class) -> String| list(self.classes.iter().map(value).collect());
        let classes = each(&|class| {
            format!(
                r#"{{"name":"{}","aim_us":{},"deadline_us":{},"effect":"{}","group":"all","late_worth":{},"memory_span_us":{},"stream":false,"worth":{}}}"#,
                class.name,
                class.aim_ms * 1000,
                class.deadline_ms * 1000,
                class.effect,
                class.late_worth,
                class.window_ms * 1000,
                class.worth
            )
        });
        format!(
            r#"{{"azs":{},"kinds":{},"zone":"{}","rank":0,"n_instances":1,"layer":0,"tiers":["stock-workers"],
            "callers":{{"marks_retry":false}},"counted_by":"work","workload":"jobs","weight_source":"nominal",
            "ceilings":{{"cancelling":true,"conn_idle_us":{},"connect_timeout_us":{},"cpu_us_per_request":0.0,"cpu_us_per_s":8000,
              "max_open":20000,"max_retry_after_us":2000000,"may_duplicate":{},"most_tries":{},"peers":false,"probes":false,
              "retry_after":true,"streams_per_conn":1}},
            "costs":{{}},"orgs":[],"over_share_worth":0.2,"registry_mode":"{}","report":{{"fields":[],"how":"none"}},
            "extra":{{"class_kind":{},"class_priority":{},"class_stretch":{},"memory_unit":"","notes":"","progress_us":0,
              "queue_order":"fifo","report_x0":"free slots","report_x1":"free memory","tells_start":{}}},
            "request_classes":{classes},
            "rules":{{"answer_slack_us":8000,"ask_every_us":10000000,"cold_us":{},"drain_grace_us":{},"fall_multiple":{},
              "fall_us":{},"start_capacity":0.3}},
            "tick_us":2000}}"#,
            names(&self.zones),
            names(&self.kinds),
            self.zones[0],
            self.conn_idle_ms * 1000,
            self.connect_timeout_ms * 1000,
            self.copies,
            self.tries,
            if self.pushed { "automatic" } else { "subscribe" },
            each(&|_| "-1".to_owned()),
            each(&|_| "0".to_owned()),
            each(&|class| class.stretch.to_string()),
            self.tells_start,
            self.cold_ms * 1000,
            self.drain_grace_ms * 1000,
            self.fall_multiple,
            self.fall_ms * 1000,
        )
    }
}

/// The classes of the deployment `head-office-stock`, with the figures of its brief.
pub fn head_office_classes() -> Vec<Class> {
    let class = |name, aim_ms, deadline_ms, effect, stretch, worth| Class {
        name,
        aim_ms,
        deadline_ms,
        effect,
        window_ms: 5_000,
        stretch,
        worth,
        late_worth: 0.0,
    };
    vec![
        class("stock-check", 150, 5_000, "read_like", 2.5, 1.0),
        class("stock-report", 400, 15_000, "read_like", 2.0, 2.0),
        class("issue-parcel", 100, 5_000, "non_idempotent", 2.5, 2.0),
        class("pallet-transfer", 750, 10_000, "non_idempotent", 2.5, 8.0),
    ]
}

/// Settings of one scheduler of `head-office-stock`, with the figures of its brief.
pub fn head_office() -> Settings {
    Settings {
        classes: head_office_classes(),
        zones: vec!["windhoek", "walvis-bay"],
        kinds: vec!["small-fast", "mid-std", "mid-slow"],
        copies: true,
        tries: 6,
        pushed: false,
        tells_start: true,
        connect_timeout_ms: 250,
        conn_idle_ms: 5_000,
        cold_ms: 8_600,
        fall_multiple: 4.0,
        fall_ms: 1_500,
        drain_grace_ms: 2_000,
    }
}

/// Settings of one scheduler of `kirkpinar-onarim`, with the figures of its account.
pub fn kirkpinar() -> Settings {
    let class = |name, aim_ms, deadline_ms, effect, window_ms, stretch, worth, late_worth| Class {
        name,
        aim_ms,
        deadline_ms,
        effect,
        window_ms,
        stretch,
        worth,
        late_worth,
    };
    Settings {
        classes: vec![
            class("durum-sorgu", 150, 5_000, "read_like", 40_000, 2.0, 1.0, 0.3),
            class("parca-ayir", 600, 25_000, "idempotency_key", 40_000, 2.0, 8.0, 0.25),
            class("fatura-kes", 600, 8_000, "non_idempotent", 40_000, 2.5, 8.0, 0.25),
        ],
        zones: vec!["merkez", "sanayi"],
        kinds: vec!["cift-cekirdek", "uc-cekirdek"],
        copies: false,
        tries: 4,
        pushed: true,
        tells_start: true,
        connect_timeout_ms: 250,
        conn_idle_ms: 10_000,
        cold_ms: 9_000,
        fall_multiple: 3.0,
        fall_ms: 1_000,
        drain_grace_ms: 2_000,
    }
}

/// The configuration file of a scheduler.
pub struct Config<'a> {
    pub listen: &'a str,
    pub discovery: &'a str,
    pub memory_mb: u64,
    pub sockets: u64,
    /// The list that the scheduler last had, in discovery's form.
    pub known: &'a str,
    pub settings: &'a Settings,
}

impl Config<'_> {
    pub fn json(&self) -> String {
        format!(
            r#"{{"name":"n1","listen":"{}","discovery":"{}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"known":{},"settings":{}}}"#,
            self.listen,
            self.discovery,
            self.memory_mb,
            self.sockets,
            self.known,
            self.settings.json()
        )
    }
}
