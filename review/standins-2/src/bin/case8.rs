//! Case 8: a keyed job that came over Gearman runs twice at HTTP workers, since its key does not reach them.

use standins::gearman::*;
use standins::http::{self, Client, Message};
use standins::platform::{Case, wait_until};
use standins::record::Record;
use standins::worker::{Deed, Reporter};
use standins::{BROKEN, COULD_NOT_RUN, HELD, free_address, lock, trouble, worker};
use std::collections::HashMap;
use std::io;
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CLASS: &str = "stock-report";
/// Time for which all workers drop a repeat.
const REMEMBERED: Duration = Duration::from_secs(40);
/// Time that a job runs.
const RUN_MS: u64 = 400;

/// What all workers know: the group of the class is `all`.
#[derive(Default)]
struct Known {
    /// The keys that a worker has seen, with the time and the result.
    keys: HashMap<String, (Instant, String)>,
    /// How often each job (its body) has run.
    runs: HashMap<String, u32>,
}

fn main() {
    let case = Case::prepare().unwrap_or_else(|why| {
        println!("{why}");
        std::process::exit(COULD_NOT_RUN)
    });
    let record = case.record.clone();
    let (listen, gearman, management) = (free_address(), free_address(), free_address());
    let known = Arc::new(Mutex::new(Known::default()));
    let mut file = format!(
        r#"
name "appliance"
http listen="{listen}"
gearman listen="{gearman}" {{ kind "gearman" }}
operators listen="{management}"
workers {{ tells-start #false }}
class "stock-check" {{ aim "150ms"; stretch 2.5; give-up "5s"; worth 1.0; effect "safe" }}
class "{CLASS}" {{ aim "4s"; stretch 2.0; give-up "15s"; worth 2.0; effect "keyed"; remembered "40s" }}
function "{CLASS}" class="{CLASS}" on-http=#true
"#
    );
    for name in ["shelf-1", "shelf-2"] {
        let listen = Arc::new(Mutex::new(listen.clone()));
        let reporter = Reporter { name: name.to_owned(), listen, tells_start: false, record: record.clone() };
        let known = Arc::clone(&known);
        let address = worker::start(
            reporter,
            Arc::new(move |reporter, message, stream| take(&known, reporter, message, stream)),
        );
        file += &format!("http-worker \"{name}\" address=\"{address}\" kind=\"shelf\" lanes=2\n");
    }
    let file = case.write("operator.kdl", &file);
    let _scheduler = case.start("n1", &format!("serve --operator {file}"), &[], None);
    if !wait_until(Duration::from_secs(30), || Peer::connect(&gearman).is_ok())
        || !http::wait_up(&listen, Duration::from_secs(30))
    {
        case.finish(&["n1"], COULD_NOT_RUN);
    }
    let http_answer = over_http(&listen, "job-http");
    // The worker whose connection broke is used again, and what still runs ends.
    thread::sleep(Duration::from_secs(3));
    let gearman_answer = over_gearman(&gearman, "job-gearman", &record);
    let answers = [("over HTTP", http_answer), ("over Gearman", gearman_answer)];
    thread::sleep(Duration::from_millis(3 * RUN_MS));
    for (name, answer) in &answers {
        match answer {
            Ok(answer) => record.say(format!("the job {name} was answered: {answer}")),
            Err(error) => {
                record.say(format!("the job {name}: {error}"));
                case.finish(&["n1"], COULD_NOT_RUN);
            }
        }
    }
    let mut status = HELD;
    for job in ["job-http", "job-gearman"] {
        let runs = lock(&known).runs.get(job).copied().unwrap_or(0);
        record.say(format!("{job} ran {runs} times"));
        match runs {
            0 => case.finish(&["n1"], COULD_NOT_RUN),
            1 => {}
            _ => status = BROKEN,
        }
    }
    case.finish(&["n1"], status)
}

/// A worker gets an attempt. It drops a repeat: a job with a key that a worker has seen is answered with the result of the
/// first one and does not run again. With the disruption the connection of a job's first attempt ends before the 202, while
/// the job has begun; running work goes on when it is cancelled.
fn take(known: &Mutex<Known>, reporter: &Reporter, message: &Message, stream: &mut TcpStream) -> Deed {
    let id = message.header("request-id").unwrap_or("").to_owned();
    let key = message.header("idempotency-key");
    let body = String::from_utf8_lossy(&message.body).into_owned();
    let result = format!("result of {body}");
    let mut known = lock(known);
    reporter
        .record
        .line(format!("{}: got {} with id {id}, key {key:?}, body '{body}'", reporter.name, message.first));
    if let Some(key) = key {
        known.keys.retain(|_, (at, _)| at.elapsed() < REMEMBERED);
        if let Some((_, result)) = known.keys.get(key) {
            reporter.record.line(format!("{}: drops {id}, a repeat of key {key}", reporter.name));
            return Deed::Run { ms: 5, result: result.clone() };
        }
        known.keys.insert(key.to_owned(), (Instant::now(), result.clone()));
    }
    let runs = known.runs.entry(body.clone()).or_insert(0);
    *runs += 1;
    reporter.record.line(format!("{}: RUNS {body}, run {runs}", reporter.name));
    if *runs > 1 || !trouble() {
        return Deed::Run { ms: RUN_MS, result };
    }
    reporter.record.line(format!(
        "{}: the disruption: the connection of {id}, the first attempt of {body}, ends before the 202",
        reporter.name
    ));
    let _ = stream.shutdown(Shutdown::Both);
    let reporter = reporter.clone();
    thread::spawn(move || {
        thread::sleep(Duration::from_millis(RUN_MS));
        reporter.report(&id, &format!(r#""state":"done","result":"{result}""#));
    });
    Deed::Nothing
}

/// Sends a job of the class over HTTP, with its key.
fn over_http(listen: &str, job: &str) -> io::Result<String> {
    let mut client = Client::connect(listen)?;
    client.send(&http::job(CLASS, "9b1f03aa5c7e2d41", 15.0, "Idempotency-Key: key-http\r\n", job))?;
    let answer = client.answer(Duration::from_secs(16))?.ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok(format!("{} '{}'", answer.status(), String::from_utf8_lossy(&answer.body)))
}

/// Submits a job of the class over Gearman, under a unique id.
fn over_gearman(gearman: &str, job: &str, record: &Record) -> io::Result<String> {
    let mut client = Peer::connect(gearman)?;
    client.send(SUBMIT_JOB, &[CLASS, "key-gearman", job])?;
    loop {
        let packet = client.receive(Duration::from_secs(16))?;
        record.line(format!("client: packet {} '{}'", packet.kind, packet.text(1)));
        match packet.kind {
            WORK_COMPLETE => return Ok(format!("WORK_COMPLETE '{}'", packet.text(1))),
            WORK_FAIL => return Ok("WORK_FAIL".to_owned()),
            ERROR => return Err(io::Error::other(format!("refused: {}", packet.text(1)))),
            _ => {}
        }
    }
}
