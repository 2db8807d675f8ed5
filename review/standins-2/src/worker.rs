//! Stock workers over HTTP: they take jobs, run them and call back.

use crate::http::{self, Message};
use crate::lock;
use crate::record::Record;
use std::collections::BTreeSet;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The ids of the requests that came to a worker.
static FORWARDED: Mutex<BTreeSet<String>> = Mutex::new(BTreeSet::new());

/// Whether the request of this id came to a worker.
pub fn was_forwarded(id: &str) -> bool {
    lock(&FORWARDED).contains(id)
}

/// What a worker does with an attempt, as decided by a case.
pub enum Deed {
    /// Takes the job with 202, runs it for this time and reports the result.
    Run { ms: u64, result: String },
    /// Nothing more: the case has done all itself.
    Nothing,
}

/// Where and as what a worker reports.
#[derive(Clone)]
pub struct Reporter {
    pub name: String,
    /// The schedulers' `listen` address.
    pub listen: Arc<Mutex<String>>,
    /// The settings say that workers report the start of a job.
    pub tells_start: bool,
    pub record: Record,
}

impl Reporter {
    /// Sends a report on a new connection and repeats it until it is answered, ten times at most. Returns whether it was.
    pub fn report(&self, id: &str, fields: &str) -> bool {
        let body = format!(r#"{{"id":"{id}","from":"{}",{fields}}}"#, self.name);
        let message = format!(
            "POST /_jobs/news HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        for attempt in 0..10 {
            let listen = lock(&self.listen).clone();
            let sent = http::Client::connect(&listen).and_then(|mut client| {
                client.send(&message)?;
                client.answer(Duration::from_secs(1))
            });
            if let Ok(Some(answer)) = sent
                && matches!(answer.status(), 200 | 204)
            {
                self.record.line(format!("{}: reported {body}, answered {}", self.name, answer.status()));
                return true;
            }
            self.record.line(format!("{}: report {body} was not answered (try {})", self.name, attempt + 1));
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

/// Decides what happens to an attempt. It gets the connection, so that it may break it.
pub type Decide = dyn Fn(&Reporter, &Message, &mut TcpStream) -> Deed + Send + Sync;

/// Starts a worker, and returns its address.
pub fn start(reporter: Reporter, decide: Arc<Decide>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binding a worker");
    let address = listener.local_addr().expect("the address of a worker").to_string();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (reporter, decide) = (reporter.clone(), Arc::clone(&decide));
            thread::spawn(move || serve(&reporter, &decide, stream));
        }
    });
    address
}

fn serve(reporter: &Reporter, decide: &Arc<Decide>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let Ok(mut out) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(message)) = http::read(&mut reader) {
        let (method, target) = message.target();
        if method != "POST" {
            reporter.record.line(format!("{}: got {method} {target}", reporter.name));
            let answer = if method == "DELETE" { "200 OK" } else { "404 Not Found" };
            if write!(out, "HTTP/1.1 {answer}\r\nContent-Length: 0\r\n\r\n").is_err() {
                return;
            }
            continue;
        }
        let id = message.header("request-id").unwrap_or("").to_owned();
        lock(&FORWARDED).insert(id.clone());
        match decide(reporter, &message, &mut out) {
            Deed::Run { ms, result } => {
                if out.write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n").is_err() {
                    return;
                }
                let reporter = reporter.clone();
                thread::spawn(move || {
                    reporter.record.line(format!("{}: runs {id}", reporter.name));
                    if reporter.tells_start {
                        reporter.report(&id, r#""state":"started""#);
                    }
                    thread::sleep(Duration::from_millis(ms));
                    reporter.report(&id, &format!(r#""state":"done","result":"{result}""#));
                });
            }
            Deed::Nothing => {}
        }
    }
}
