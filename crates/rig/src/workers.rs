//! Simulated workers: each job sleeps for its work time, and for longer while the worker is cold.

use crate::run_counts::RunCounts;
use calicolb_gearman::packet::{PacketType, Parsed as ParsedPacket, Sender, encode, parse};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Number of jobs that a worker runs at the same time.
pub const LANES: usize = 3;
/// Time between the end of a worker process and the start of its replacement.
const RESTART_DELAY: Duration = Duration::from_millis(200);
/// Speed of a worker at its start, as a fraction of its speed when warm.
const COLD_SPEED: f64 = 0.3;
/// Maximum size of an HTTP message or a Gearman packet, in bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Interval at which waiting threads check the state, and the wait before the next connection attempt. Longer timeouts
/// are multiples of it.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Locks the mutex, also after a panic of another thread.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// State of a worker that both protocols share.
pub struct Worker {
    name: String,
    cold: Duration,
    started_at: Mutex<Instant>,
    run_counts: Arc<RunCounts>,
    /// The worker accepts no new jobs.
    draining: AtomicBool,
    /// The worker process does not run.
    stopped: AtomicBool,
    running_jobs: AtomicUsize,
}

impl Worker {
    /// Creates a worker whose speed rises linearly to its full value within `cold` after its start.
    pub fn new(name: String, cold: Duration, run_counts: Arc<RunCounts>) -> Worker {
        Worker {
            name,
            cold,
            started_at: Mutex::new(Instant::now()),
            run_counts,
            draining: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            running_jobs: AtomicUsize::new(0),
        }
    }

    /// Runs a job whose body is `id work`, with the work in microseconds, and returns the result.
    fn run(&self, body: &[u8]) -> Vec<u8> {
        let text = String::from_utf8_lossy(body);
        let mut words = text.split(' ');
        let (id, work) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        self.run_counts.record_start(id);
        let work = Duration::from_micros(work.parse().unwrap_or(0));
        if !work.is_zero() {
            let age = lock(&self.started_at).elapsed().as_secs_f64() / self.cold.as_secs_f64().max(1e-6);
            thread::sleep(work.div_f64((COLD_SPEED + (1.0 - COLD_SPEED) * age).min(1.0)));
        }
        format!("done {id}").into_bytes()
    }
}

/// A started worker.
pub struct RunningWorker {
    worker: Arc<Worker>,
    protocol: WorkerProtocol,
}

/// Protocol of a worker, with the state that only this protocol needs.
enum WorkerProtocol {
    Http(Arc<OnceLock<SocketAddr>>),
    Gearman { at: SocketAddr, lanes: usize, threads: Mutex<Vec<JoinHandle<()>>> },
}

impl RunningWorker {
    /// Starts an HTTP worker and returns it with its listen address.
    pub fn start_http(worker: Worker) -> Result<(RunningWorker, SocketAddr), String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let listen_address = listener.local_addr().map_err(|error| error.to_string())?;
        let (worker, callback_address) = (Arc::new(worker), Arc::new(OnceLock::new()));
        let callback =
            Arc::new(CallbackConnection { at: Arc::clone(&callback_address), stream: Mutex::new(None) });
        let shared_worker = Arc::clone(&worker);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (shared_worker, callback) = (Arc::clone(&shared_worker), Arc::clone(&callback));
                if !shared_worker.stopped.load(Ordering::Relaxed) {
                    thread::spawn(move || drop(serve_connection(&shared_worker, &callback, stream)));
                }
            }
        });
        Ok((RunningWorker { worker, protocol: WorkerProtocol::Http(callback_address) }, listen_address))
    }

    /// Sets the address at which the scheduler accepts callbacks. No effect for a Gearman worker.
    pub fn set_callback_address(&self, at: SocketAddr) {
        if let WorkerProtocol::Http(callback_address) = &self.protocol {
            let _ = callback_address.set(at);
        }
    }

    /// Starts a Gearman worker with [`LANES`] lanes that connects to the job server at `at`.
    pub fn start_gearman(worker: Worker, at: SocketAddr) -> RunningWorker {
        RunningWorker::start_gearman_with_lanes(worker, at, LANES)
    }

    /// Starts a Gearman worker with `lanes` lanes that connects to the job server at `at`.
    pub fn start_gearman_with_lanes(worker: Worker, at: SocketAddr, lanes: usize) -> RunningWorker {
        let worker = Arc::new(worker);
        let threads = Mutex::new(start_lanes(&worker, at, lanes));
        RunningWorker { worker, protocol: WorkerProtocol::Gearman { at, lanes, threads } }
    }

    /// Returns the name of the worker.
    pub fn name(&self) -> &str {
        &self.worker.name
    }

    /// Replaces the worker process as a deploy does: the worker drains, stops for [`RESTART_DELAY`], and starts again
    /// cold.
    pub fn restart(&self) {
        let worker = &self.worker;
        worker.draining.store(true, Ordering::Relaxed);
        if let WorkerProtocol::Gearman { threads, .. } = &self.protocol {
            lock(threads).drain(..).for_each(|thread| drop(thread.join()));
        }
        while worker.running_jobs.load(Ordering::Relaxed) > 0 {
            thread::sleep(POLL_INTERVAL);
        }
        worker.stopped.store(true, Ordering::Relaxed);
        thread::sleep(RESTART_DELAY);
        *lock(&worker.started_at) = Instant::now();
        worker.stopped.store(false, Ordering::Relaxed);
        worker.draining.store(false, Ordering::Relaxed);
        if let WorkerProtocol::Gearman { at, lanes, threads } = &self.protocol {
            *lock(threads) = start_lanes(worker, *at, *lanes);
        }
    }
}

// ---- HTTP ----------------------------------------------------------------------------------------

/// Connection over which an HTTP worker reports job states to the scheduler.
struct CallbackConnection {
    at: Arc<OnceLock<SocketAddr>>,
    stream: Mutex<Option<TcpStream>>,
}

impl CallbackConnection {
    /// Sends one report with the JSON `body`. Does nothing until the callback address is set.
    fn report(&self, body: &str) {
        let Some(at) = self.at.get() else { return };
        let request =
            format!("POST /_jobs/news HTTP/1.1\r\nHost: s\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let mut buffer = lock(&self.stream);
        // The worker protocol requires a report to be repeated until it is answered; 10 attempts at most.
        for _ in 0..10 {
            let stream = match buffer.take().map(Ok).unwrap_or_else(|| TcpStream::connect(at)) {
                Ok(stream) => stream,
                Err(_) => {
                    thread::sleep(POLL_INTERVAL);
                    continue;
                }
            };
            let _ = stream.set_nodelay(true);
            if exchange(&stream, request.as_bytes()).is_ok() {
                *buffer = Some(stream);
                return;
            }
        }
    }
}

/// Sends an HTTP request and reads the response. Returns its head and its body.
pub fn exchange(mut stream: &TcpStream, request: &[u8]) -> io::Result<(String, Vec<u8>)> {
    stream.write_all(request)?;
    read_message(stream, &mut Vec::new())
}

/// Reads one HTTP message. Bytes received after its end stay in `buffer`.
fn read_message(mut stream: &TcpStream, buffer: &mut Vec<u8>) -> io::Result<(String, Vec<u8>)> {
    loop {
        if let Some(head) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&buffer[..head]).into_owned();
            let length = text.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
            });
            let end = head + 4 + length.unwrap_or(0);
            if buffer.len() >= end {
                let body = buffer[head + 4..end].to_vec();
                buffer.drain(..end);
                return Ok((text, body));
            }
        }
        let mut chunk = [0; 8192];
        match stream.read(&mut chunk)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => buffer.extend_from_slice(&chunk[..count]),
        }
        if buffer.len() > MAX_MESSAGE_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
    }
}

/// Answers the requests of one scheduler connection and runs the accepted jobs on threads of their own.
fn serve_connection(
    worker: &Arc<Worker>,
    callback: &Arc<CallbackConnection>,
    mut stream: TcpStream,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    loop {
        let (head, body) = read_message(&stream, &mut buffer)?;
        if worker.stopped.load(Ordering::Relaxed) {
            return Ok(());
        }
        let id = head.lines().find_map(|line| {
            let (name, value) = line.split_once(':')?;
            name.eq_ignore_ascii_case("request-id").then(|| value.trim().to_owned())
        });
        // A worker without a cold time takes 64 jobs at a time: it serves the closed load of `rush`.
        let previously_running = worker.running_jobs.fetch_add(1, Ordering::Relaxed);
        if worker.draining.load(Ordering::Relaxed)
            || previously_running >= LANES.max(64 * usize::from(worker.cold.is_zero()))
        {
            worker.running_jobs.fetch_sub(1, Ordering::Relaxed);
            stream.write_all(b"HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        stream.write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")?;
        let (worker, callback) = (Arc::clone(worker), Arc::clone(callback));
        thread::spawn(move || {
            let (id, from) = (id.unwrap_or_default(), &worker.name);
            callback.report(&format!(r#"{{"id":"{id}","from":"{from}","state":"started"}}"#));
            let result = worker.run(&body);
            // The lane is freed before the report is sent: a job that the scheduler sends upon this report must find
            // it free.
            worker.running_jobs.fetch_sub(1, Ordering::Relaxed);
            let result = String::from_utf8_lossy(&result).into_owned();
            callback
                .report(&format!(r#"{{"id":"{id}","from":"{from}","state":"done","result":"{result}"}}"#));
        });
    }
}

// ---- Gearman -------------------------------------------------------------------------------------

/// Client or worker end of a Gearman connection.
pub struct GearmanConnection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl GearmanConnection {
    /// Connects to the Gearman job server at `at`.
    pub fn connect(at: SocketAddr) -> io::Result<GearmanConnection> {
        let stream = TcpStream::connect(at)?;
        stream.set_nodelay(true)?;
        Ok(GearmanConnection { stream, buffer: Vec::new() })
    }

    /// Sends a packet with the arguments `fields`.
    pub fn send(&mut self, kind: PacketType, fields: &[&[u8]]) -> io::Result<()> {
        self.stream.write_all(&encode(Sender::Peer, kind, fields))
    }

    /// Waits up to `wait` (without limit for `None`) for a packet. Returns its type and its first `N` arguments; the
    /// last of these contains all remaining bytes.
    pub fn receive<const N: usize>(
        &mut self,
        wait: Option<Duration>,
    ) -> io::Result<(PacketType, [Vec<u8>; N])> {
        self.stream.set_read_timeout(wait)?;
        loop {
            match parse(&self.buffer, Sender::Server, MAX_MESSAGE_BYTES) {
                Ok(ParsedPacket::Complete(packet, length)) => {
                    let received = (packet.packet_type, packet.arguments::<N>().map(<[u8]>::to_vec));
                    self.buffer.drain(..length);
                    return Ok(received);
                }
                Ok(ParsedPacket::Incomplete) => {}
                _ => return Err(io::ErrorKind::InvalidData.into()),
            }
            let mut chunk = [0; 8192];
            match self.stream.read(&mut chunk)? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                count => self.buffer.extend_from_slice(&chunk[..count]),
            }
        }
    }
}

/// Starts one thread and one connection for each lane.
fn start_lanes(worker: &Arc<Worker>, at: SocketAddr, lanes: usize) -> Vec<JoinHandle<()>> {
    let start_lane = |_| {
        let worker = Arc::clone(worker);
        thread::spawn(move || drop(run_lane(&worker, at)))
    };
    (0..lanes).map(start_lane).collect()
}

/// Registers the worker name and all classes of the load on the connection.
fn register_abilities(connection: &mut GearmanConnection, name: &str) -> io::Result<()> {
    connection.send(PacketType::SetClientId, &[name.as_bytes()])?;
    for class in &crate::load::CLASSES {
        connection.send(PacketType::CanDo, &[class.name.as_bytes()])?;
    }
    Ok(())
}

/// Runs the jobs of one lane until the worker drains or the connection fails.
fn run_lane(worker: &Worker, at: SocketAddr) -> io::Result<()> {
    let mut connection = GearmanConnection::connect(at)?;
    register_abilities(&mut connection, &worker.name)?;
    connection.send(PacketType::GrabJobUniq, &[])?;
    // Set while a GRAB_JOB_UNIQ packet has no answer yet.
    let mut grab_pending = true;
    loop {
        if worker.draining.load(Ordering::Relaxed) {
            // A job may be in flight already. It is completed before the lane ends.
            connection.send(PacketType::ResetAbilities, &[])?;
            connection.send(PacketType::GrabJobUniq, &[])?;
            return loop {
                match connection.receive::<4>(Some(POLL_INTERVAL * 50))? {
                    (PacketType::JobAssignUniq, [handle, _, _, body]) => {
                        break complete_job(worker, &mut connection, &handle, &body);
                    }
                    // The first NO_JOB may answer an earlier GRAB_JOB_UNIQ. After the NO_JOB for the last one, no job
                    // is in flight.
                    (PacketType::NoJob, _) if grab_pending => grab_pending = false,
                    (PacketType::NoJob, _) => break Ok(()),
                    _ => {}
                }
            };
        }
        match connection.receive::<4>(Some(POLL_INTERVAL)) {
            Ok((PacketType::JobAssignUniq, [handle, _, _, body])) => {
                complete_job(worker, &mut connection, &handle, &body)?;
                connection.send(PacketType::GrabJobUniq, &[])?;
                grab_pending = true;
            }
            Ok((PacketType::NoJob, _)) => {
                connection.send(PacketType::PreSleep, &[])?;
                grab_pending = false;
            }
            Ok((PacketType::Noop, _)) => {
                connection.send(PacketType::GrabJobUniq, &[])?;
                grab_pending = true;
            }
            Ok(_) => {}
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
            Err(error) => return Err(error),
        }
    }
}

/// Runs a job and sends its result.
fn complete_job(
    worker: &Worker,
    connection: &mut GearmanConnection,
    handle: &[u8],
    body: &[u8],
) -> io::Result<()> {
    let result = worker.run(body);
    connection.send(PacketType::WorkComplete, &[handle, &result])
}

/// Opens `count` connections of sleeping Gearman workers; 4 connections share a worker name.
pub fn open_sleeping_connections(at: SocketAddr, count: usize) -> Result<Vec<GearmanConnection>, String> {
    let open_one = |index: usize| {
        let mut connection = GearmanConnection::connect(at)?;
        register_abilities(&mut connection, &format!("sleeper-{}", index / 4))?;
        connection.send(PacketType::PreSleep, &[])?;
        // The echo shows that the scheduler accepted the connection, and that it is not just in the listen backlog.
        connection.send(PacketType::EchoReq, &[b"here"])?;
        while connection.receive::<1>(Some(POLL_INTERVAL * 100))?.0 != PacketType::EchoRes {}
        Ok(connection)
    };
    (0..count)
        .map(open_one)
        .collect::<io::Result<_>>()
        .map_err(|error| format!("connecting a Gearman worker failed: {error}"))
}
