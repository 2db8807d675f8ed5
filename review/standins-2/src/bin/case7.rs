//! Case 7: a client that repeats its Gearman submission gets a result that no worker gave.

use standins::gearman::*;
use standins::platform::{Case, wait_until};
use standins::record::Record;
use standins::{BROKEN, COULD_NOT_RUN, HELD, free_address, trouble};
use std::io;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

/// What the worker gives for each job: two parts, and the end with the rest.
const PARTS: [&str; 3] = ["one,", "two,", "three"];
const FUNCTION: &str = "stock-report";
const LIMIT: Duration = Duration::from_secs(12);

/// The operator file: the classes of `head-office-stock`, one function.
const OPERATOR: &str = r#"
name "appliance"
http listen="127.0.0.1:8080"
gearman listen="127.0.0.1:4730" { kind "gearman"; workload "64KiB" }
workers { cold "8600ms"; start-capacity 0.3; fall-multiple 4.0; fall-window "1500ms" }
class "stock-check" { aim "150ms"; stretch 2.5; give-up "5s"; worth 1.0; effect "safe" }
class "stock-report" { aim "4s"; stretch 2.0; give-up "15s"; worth 2.0; effect "safe" }
function "stock-report" class="stock-report"
"#;

fn main() {
    let case = Case::prepare().unwrap_or_else(|why| {
        println!("{why}");
        std::process::exit(COULD_NOT_RUN)
    });
    let record = case.record.clone();
    let (http, gearman, management) = (free_address(), free_address(), free_address());
    let file = case.write("operator.kdl", OPERATOR);
    let arguments =
        format!("serve --operator {file} --listen {http} --gearman {gearman} --mgmt {management}");
    let _scheduler = case.start("n1", &arguments, &[], None);
    if !wait_until(Duration::from_secs(30), || Peer::connect(&gearman).is_ok()) {
        case.finish(&["n1"], COULD_NOT_RUN);
    }
    let (begun, has_begun) = channel();
    let (go, may_go) = channel();
    let (at, worker_record) = (gearman.clone(), record.clone());
    thread::spawn(move || run_worker(&at, &begun, &may_go, &worker_record));
    thread::sleep(Duration::from_millis(300));
    let run = Run { gearman, record: record.clone(), has_begun, go };
    let jobs = [("background, then again", true), ("again on another connection", false)];
    let mut status = HELD;
    for (name, background) in jobs {
        let result = run.job(name, background);
        let expected = PARTS.concat();
        match result {
            Ok(Some(served)) if served == expected => record.say(format!("{name}: served '{served}'")),
            Ok(Some(served)) => {
                status = BROKEN;
                record.say(format!("{name}: served '{served}', and the worker gave '{expected}'"));
            }
            Ok(None) => record.say(format!("{name}: failed, which the rule allows")),
            Err(error) => {
                record.say(format!("{name}: {error}"));
                case.finish(&["n1"], COULD_NOT_RUN);
            }
        }
    }
    case.finish(&["n1"], status)
}

struct Run {
    gearman: String,
    record: Record,
    has_begun: Receiver<()>,
    go: Sender<()>,
}

impl Run {
    /// One job. With the disruption its client submits it a second time, under the same unique id, while it runs: after a
    /// background submission, or on another connection, whereupon it leaves the first one. Returns what the client was
    /// served, in the order in which it came; `None` if the job failed.
    fn job(&self, name: &str, background: bool) -> io::Result<Option<String>> {
        self.record.line(format!("job '{name}'"));
        let mut client = self.connect()?;
        let kind = if background && trouble() { SUBMIT_JOB_BG } else { SUBMIT_JOB };
        self.submit(&mut client, kind, name)?;
        self.has_begun.recv_timeout(LIMIT).map_err(|_| io::Error::other("the worker did not get the job"))?;
        thread::sleep(Duration::from_millis(200));
        if trouble() {
            let mut second = self.connect()?;
            self.submit(&mut second, SUBMIT_JOB, name)?;
            client = second;
            thread::sleep(Duration::from_millis(200));
        }
        self.go.send(()).map_err(|_| io::Error::other("the worker has gone"))?;
        let mut served = String::new();
        loop {
            let packet = client.receive(LIMIT)?;
            self.record.line(format!("client: packet {} '{}'", packet.kind, packet.text(1)));
            match packet.kind {
                WORK_DATA => served += &packet.text(1),
                WORK_COMPLETE => return Ok(Some(served + &packet.text(1))),
                WORK_FAIL | ERROR => return Ok(None),
                _ => {}
            }
        }
    }

    fn connect(&self) -> io::Result<Peer> {
        Peer::connect(&self.gearman)
    }

    /// Submits a job until it is accepted: a refused client comes back.
    fn submit(&self, client: &mut Peer, kind: u32, unique: &str) -> io::Result<()> {
        let since = Instant::now();
        loop {
            client.send(kind, &[FUNCTION, unique, "the workload"])?;
            let answer = client.receive(LIMIT)?;
            self.record.line(format!(
                "client: submitted '{unique}' (packet {kind}), answered by packet {} '{}'",
                answer.kind,
                answer.text(0)
            ));
            if answer.kind == JOB_CREATED {
                return Ok(());
            }
            if answer.kind != ERROR || since.elapsed() > 2 * LIMIT {
                return Err(io::Error::other("the job was not accepted"));
            }
            thread::sleep(Duration::from_millis(400));
        }
    }
}

/// A worker with one connection. It gives the first part of a job's result, waits, and gives the rest.
fn run_worker(gearman: &str, begun: &Sender<()>, may_go: &Receiver<()>, record: &Record) {
    let mut worker = Peer::connect(gearman).expect("connecting a worker");
    worker.send(SET_CLIENT_ID, &["worker-1"]).expect("sending");
    worker.send(CAN_DO, &[FUNCTION]).expect("sending");
    worker.send(PRE_SLEEP, &[]).expect("sending");
    while let Ok(packet) = worker.receive(Duration::from_secs(100)) {
        match packet.kind {
            NOOP => worker.send(GRAB_JOB, &[]).expect("sending"),
            JOB_ASSIGN => {
                let handle = packet.text(0);
                record.line(format!("worker: runs {handle}"));
                worker.send(WORK_DATA, &[&handle, PARTS[0]]).expect("sending");
                let _ = begun.send(());
                let _ = may_go.recv_timeout(LIMIT);
                worker.send(WORK_DATA, &[&handle, PARTS[1]]).expect("sending");
                thread::sleep(Duration::from_millis(100));
                worker.send(WORK_COMPLETE, &[&handle, PARTS[2]]).expect("sending");
                record.line(format!("worker: gave '{}' for {handle}", PARTS.concat()));
                worker.send(PRE_SLEEP, &[]).expect("sending");
            }
            NO_JOB => worker.send(PRE_SLEEP, &[]).expect("sending"),
            _ => {}
        }
    }
}
