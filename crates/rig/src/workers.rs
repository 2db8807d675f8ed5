//! Stand-in workers: they sleep for as long as a job's work says, slower while they are cold.

use crate::ledger::Ledger;
use calicolb_gearman::packet::{PacketType, Parsed as Found, Sender, encode, parse};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// How many jobs a worker runs at once.
pub const LANES: usize = 3;
/// How long a worker is gone between two processes.
const AWAY: Duration = Duration::from_millis(200);
/// Speed of a worker that has just started.
const COLD: f64 = 0.3;
const LIMIT: usize = 1 << 20;
/// How often a thread looks whether it should end.
const LOOK: Duration = Duration::from_millis(20);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What makes a worker, whatever it speaks.
pub struct Worker {
    name: String,
    cold: Duration,
    born: Mutex<Instant>,
    ledger: Arc<Ledger>,
    /// It takes nothing new.
    leaving: AtomicBool,
    /// Its process is gone.
    away: AtomicBool,
    running: AtomicUsize,
}

impl Worker {
    /// A worker that is cold for this time after its start.
    pub fn new(name: String, cold: Duration, ledger: Arc<Ledger>) -> Worker {
        Worker {
            name,
            cold,
            born: Mutex::new(Instant::now()),
            ledger,
            leaving: AtomicBool::new(false),
            away: AtomicBool::new(false),
            running: AtomicUsize::new(0),
        }
    }

    /// Runs a job: `id work`, the work in microseconds.
    fn run(&self, body: &[u8]) -> Vec<u8> {
        let text = String::from_utf8_lossy(body);
        let mut words = text.split(' ');
        let (id, work) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        self.ledger.begun(id);
        let work = Duration::from_micros(work.parse().unwrap_or(0));
        if !work.is_zero() {
            let age = lock(&self.born).elapsed().as_secs_f64() / self.cold.as_secs_f64().max(1e-6);
            thread::sleep(work.div_f64((COLD + (1.0 - COLD) * age).min(1.0)));
        }
        format!("done {id}").into_bytes()
    }
}

/// A worker at work.
pub struct Crew {
    worker: Arc<Worker>,
    how: How,
}

enum How {
    Http(Arc<OnceLock<SocketAddr>>),
    Gearman { at: SocketAddr, lanes: usize, threads: Mutex<Vec<JoinHandle<()>>> },
}

impl Crew {
    /// Starts a worker that speaks HTTP; gives its address.
    pub fn http(worker: Worker) -> Result<(Crew, SocketAddr), String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let dial = listener.local_addr().map_err(|error| error.to_string())?;
        let (worker, calls) = (Arc::new(worker), Arc::new(OnceLock::new()));
        let back = Arc::new(CallBack { at: Arc::clone(&calls), stream: Mutex::new(None) });
        let host = Arc::clone(&worker);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (host, back) = (Arc::clone(&host), Arc::clone(&back));
                if !host.away.load(Ordering::Relaxed) {
                    thread::spawn(move || drop(serve(&host, &back, stream)));
                }
            }
        });
        Ok((Crew { worker, how: How::Http(calls) }, dial))
    }

    /// Says where the scheduler takes call-backs.
    pub fn calls(&self, at: SocketAddr) {
        if let How::Http(calls) = &self.how {
            let _ = calls.set(at);
        }
    }

    /// Starts a worker that speaks Gearman, with the usual lanes.
    pub fn gearman(worker: Worker, at: SocketAddr) -> Crew {
        Crew::gearman_of(worker, at, LANES)
    }

    /// The same with so many lanes.
    pub fn gearman_of(worker: Worker, at: SocketAddr, lanes: usize) -> Crew {
        let worker = Arc::new(worker);
        let threads = Mutex::new(lanes_of(&worker, at, lanes));
        Crew { worker, how: How::Gearman { at, lanes, threads } }
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.worker.name
    }

    /// Replaces the worker's process as a deploy does: it takes nothing new, ends what it has, is gone for a moment,
    /// and comes back cold.
    pub fn replace(&self) {
        let worker = &self.worker;
        worker.leaving.store(true, Ordering::Relaxed);
        if let How::Gearman { threads, .. } = &self.how {
            lock(threads).drain(..).for_each(|thread| drop(thread.join()));
        }
        while worker.running.load(Ordering::Relaxed) > 0 {
            thread::sleep(LOOK);
        }
        worker.away.store(true, Ordering::Relaxed);
        thread::sleep(AWAY);
        *lock(&worker.born) = Instant::now();
        worker.away.store(false, Ordering::Relaxed);
        worker.leaving.store(false, Ordering::Relaxed);
        if let How::Gearman { at, lanes, threads } = &self.how {
            *lock(threads) = lanes_of(worker, *at, *lanes);
        }
    }
}

// ---- HTTP ----------------------------------------------------------------------------------------

struct CallBack {
    at: Arc<OnceLock<SocketAddr>>,
    stream: Mutex<Option<TcpStream>>,
}

impl CallBack {
    fn tell(&self, body: &str) {
        let Some(at) = self.at.get() else { return };
        let request =
            format!("POST /_jobs/news HTTP/1.1\r\nHost: s\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let mut held = lock(&self.stream);
        // As the protocol says: until it is answered, ten times at most.
        for _ in 0..10 {
            let stream = match held.take().map(Ok).unwrap_or_else(|| TcpStream::connect(at)) {
                Ok(stream) => stream,
                Err(_) => {
                    thread::sleep(LOOK);
                    continue;
                }
            };
            let _ = stream.set_nodelay(true);
            if exchange(&stream, request.as_bytes()).is_ok() {
                *held = Some(stream);
                return;
            }
        }
    }
}

/// Sends a request and reads the whole answer: its head and body.
pub fn exchange(mut stream: &TcpStream, request: &[u8]) -> io::Result<(String, Vec<u8>)> {
    stream.write_all(request)?;
    message(stream, &mut Vec::new())
}

/// Reads one HTTP message; what comes after it stays in `held`.
fn message(mut stream: &TcpStream, held: &mut Vec<u8>) -> io::Result<(String, Vec<u8>)> {
    loop {
        if let Some(head) = held.windows(4).position(|four| four == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&held[..head]).into_owned();
            let length = text.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
            });
            let end = head + 4 + length.unwrap_or(0);
            if held.len() >= end {
                let body = held[head + 4..end].to_vec();
                held.drain(..end);
                return Ok((text, body));
            }
        }
        let mut part = [0; 8192];
        match stream.read(&mut part)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => held.extend_from_slice(&part[..count]),
        }
        if held.len() > LIMIT {
            return Err(io::ErrorKind::InvalidData.into());
        }
    }
}

fn serve(worker: &Arc<Worker>, back: &Arc<CallBack>, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut held = Vec::new();
    loop {
        let (head, body) = message(&stream, &mut held)?;
        if worker.away.load(Ordering::Relaxed) {
            return Ok(());
        }
        let id = head.lines().find_map(|line| {
            let (name, value) = line.split_once(':')?;
            name.eq_ignore_ascii_case("request-id").then(|| value.trim().to_owned())
        });
        let taken = worker.running.fetch_add(1, Ordering::Relaxed);
        if worker.leaving.load(Ordering::Relaxed)
            || taken >= LANES.max(64 * usize::from(worker.cold.is_zero()))
        {
            worker.running.fetch_sub(1, Ordering::Relaxed);
            stream.write_all(b"HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        stream.write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")?;
        let (worker, back) = (Arc::clone(worker), Arc::clone(back));
        thread::spawn(move || {
            let (id, from) = (id.unwrap_or_default(), &worker.name);
            back.tell(&format!(r#"{{"id":"{id}","from":"{from}","state":"started"}}"#));
            let result = worker.run(&body);
            // Free before it says so: what is sent in answer must find the lane.
            worker.running.fetch_sub(1, Ordering::Relaxed);
            let result = String::from_utf8_lossy(&result).into_owned();
            back.tell(&format!(r#"{{"id":"{id}","from":"{from}","state":"done","result":"{result}"}}"#));
        });
    }
}

// ---- Gearman -------------------------------------------------------------------------------------

/// One end of a Gearman connection.
pub struct Line {
    stream: TcpStream,
    held: Vec<u8>,
}

impl Line {
    /// Connects to a job server.
    pub fn connect(at: SocketAddr) -> io::Result<Line> {
        let stream = TcpStream::connect(at)?;
        stream.set_nodelay(true)?;
        Ok(Line { stream, held: Vec::new() })
    }

    /// Sends a packet.
    pub fn send(&mut self, kind: PacketType, fields: &[&[u8]]) -> io::Result<()> {
        self.stream.write_all(&encode(Sender::Peer, kind, fields))
    }

    /// Waits for a packet: its kind and its first `N` arguments, the last of which holds the rest.
    pub fn next<const N: usize>(&mut self, wait: Option<Duration>) -> io::Result<(PacketType, [Vec<u8>; N])> {
        self.stream.set_read_timeout(wait)?;
        loop {
            match parse(&self.held, Sender::Server, LIMIT) {
                Ok(Found::Complete(packet, length)) => {
                    let found = (packet.packet_type, packet.arguments::<N>().map(<[u8]>::to_vec));
                    self.held.drain(..length);
                    return Ok(found);
                }
                Ok(Found::Incomplete) => {}
                _ => return Err(io::ErrorKind::InvalidData.into()),
            }
            let mut part = [0; 8192];
            match self.stream.read(&mut part)? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                count => self.held.extend_from_slice(&part[..count]),
            }
        }
    }
}

fn lanes_of(worker: &Arc<Worker>, at: SocketAddr, lanes: usize) -> Vec<JoinHandle<()>> {
    let lane = |_| {
        let worker = Arc::clone(worker);
        thread::spawn(move || drop(lane(&worker, at)))
    };
    (0..lanes).map(lane).collect()
}

fn able(line: &mut Line, name: &str) -> io::Result<()> {
    line.send(PacketType::SetClientId, &[name.as_bytes()])?;
    for class in &crate::load::CLASSES {
        line.send(PacketType::CanDo, &[class.name.as_bytes()])?;
    }
    Ok(())
}

fn lane(worker: &Worker, at: SocketAddr) -> io::Result<()> {
    let mut line = Line::connect(at)?;
    able(&mut line, &worker.name)?;
    line.send(PacketType::GrabJobUniq, &[])?;
    // It has asked, and has no answer yet.
    let mut asked = true;
    loop {
        if worker.leaving.load(Ordering::Relaxed) {
            // Something may be on its way already: it is done, then the worker goes.
            line.send(PacketType::ResetAbilities, &[])?;
            line.send(PacketType::GrabJobUniq, &[])?;
            return loop {
                match line.next::<4>(Some(LOOK * 50))? {
                    (PacketType::JobAssignUniq, [handle, _, _, body]) => {
                        break complete(worker, &mut line, &handle, &body);
                    }
                    // The answer to an earlier one may come first: the second has nothing on its way behind it.
                    (PacketType::NoJob, _) if asked => asked = false,
                    (PacketType::NoJob, _) => break Ok(()),
                    _ => {}
                }
            };
        }
        match line.next::<4>(Some(LOOK)) {
            Ok((PacketType::JobAssignUniq, [handle, _, _, body])) => {
                complete(worker, &mut line, &handle, &body)?;
                line.send(PacketType::GrabJobUniq, &[])?;
                asked = true;
            }
            Ok((PacketType::NoJob, _)) => {
                line.send(PacketType::PreSleep, &[])?;
                asked = false;
            }
            Ok((PacketType::Noop, _)) => {
                line.send(PacketType::GrabJobUniq, &[])?;
                asked = true;
            }
            Ok(_) => {}
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
            Err(error) => return Err(error),
        }
    }
}

fn complete(worker: &Worker, line: &mut Line, handle: &[u8], body: &[u8]) -> io::Result<()> {
    let result = worker.run(body);
    line.send(PacketType::WorkComplete, &[handle, &result])
}

/// Connections of workers that sleep, and are never woken.
pub fn sleepers(at: SocketAddr, count: usize) -> Result<Vec<Line>, String> {
    let one = |nr: usize| {
        let mut line = Line::connect(at)?;
        able(&mut line, &format!("sleeper-{}", nr / 4))?;
        line.send(PacketType::PreSleep, &[])?;
        // Its answer says that the connection was taken, and does not only wait to be.
        line.send(PacketType::EchoReq, &[b"here"])?;
        while line.next::<1>(Some(LOOK * 100))?.0 != PacketType::EchoRes {}
        Ok(line)
    };
    (0..count)
        .map(one)
        .collect::<io::Result<_>>()
        .map_err(|error| format!("a worker cannot connect: {error}"))
}
