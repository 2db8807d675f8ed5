//! Runs the program as a child process and drives it with a script of one step per line.
//!
//! # Names of connections
//!
//! The first letter of a name selects the kind of connection. The first use of a name opens or accepts the connection.
//!
//! * `c…`: a client's connection to the program's HTTP port.
//! * `n…`: a worker's connection to the same port, over which it sends callbacks.
//! * `g…` and `w…`: a client's and a worker's connection to the Gearman port (only with an operator file).
//! * `o…`: a connection to the management port.
//! * `h1`, `h1.2`: the next connection that the program makes to worker `h1`.
//! * `d`, `d.2`, `d2`: the next connection that the program makes to the discovery listener `d` or `d2`.
//! * `p`: the UDP socket of the scheduler of rank 1.
//! * `program`: the child process; `predecessor`: the process that ran before the last `start successor`.
//!
//! # Steps
//!
//! * `send NAME MESSAGE` writes a message, or a datagram where the name is `p`.
//! * `expect NAME MESSAGE` reads one message and compares it. `expect program TEXT` waits for a log line that contains
//!   the text. `expect o… LINE` skips lines of the management port until one equals `LINE`; `expect p BYTES` skips
//!   other datagrams.
//! * `send program SIGNAL` and `send predecessor SIGNAL` send `TERM`, `HUP`, `STOP`, `CONT` or `KILL`.
//! * `send file d2` rewrites the configuration with discovery at the listener `d2`; `send file raw TEXT` replaces it
//!   with the text. `set POINTER JSON` sets the value at a JSON pointer in every configuration written after it.
//! * `close NAME` closes a connection, or the listener of this name where no connection has the name.
//! * `take NAME` opens or accepts a connection without reading from it.
//! * `ends NAME` waits until a connection is closed in order; a reset fails. `wait NAME` accepts a reset too. `wait
//!   program` waits until the process has exited with status 0.
//! * `none h1` checks that no connection to `h1` waits to be accepted.
//! * `up c1` sends `GET /up` until the answer is 200.
//! * `info LINE` polls the management port's `INFO` until it contains this line.
//! * `mark` records the time. `after MS` and `within MS` check that at least, or at most, `MS` milliseconds have passed
//!   since the last `mark`; `until MS` sleeps until `MS` milliseconds have passed since it.
//! * `fill_backlog h1` fills the accept queue of worker `h1`, so that no connection to it completes until `free_backlog h1`.
//!   A connection attempt made meanwhile completes when the kernel repeats it, about 1 s after `free_backlog`.
//! * `stall COUNT MESSAGE` connects `COUNT` clients, each of which sends the message once and stays until the end of the
//!   script (see `stall`). `$CLIENT` in the message stands for the number of the client.
//! * `memory_peak KIB` checks that the largest resident memory of the program, together with that of its predecessors, has
//!   been at most `KIB` KiB.
//! * `flood COUNT MESSAGE` lets `COUNT` clients send the message to the HTTP port again and again at full speed, until the
//!   end of the script (see `flood`). The messages may be up to 900 at once on each connection.
//! * `restart program` kills the process with SIGKILL and starts it again. Only the configuration file remains.
//! * `start successor` starts a second process that inherits the clients' socket: `program` and `o…` mean the new
//!   process from then on. `start successor 3600` sets the new process's wall clock 3600 seconds ahead; a negative
//!   number, behind.
//! * `never TEXT` checks that no log line so far contains the text.
//! * `record_memory program` records the program's resident memory; `memory_growth KIB` checks that it has grown by at most
//!   `KIB` KiB since then.
//! * `ready NAME FUNCTION` registers a Gearman worker for a function and puts it to sleep; `pull NAME MESSAGE` expects
//!   that it is woken, grabs a job and expects the message.
//!
//! If the program watches the list (no pushed list, no operator file) and the script uses neither `d` nor `d2`, both
//! listeners answer each watch and confirm the list without steps of the script. The script then starts once the program
//! has logged that the list is confirmed. Each step that waits for a condition fails after [`WAIT_LIMIT`].
//!
//! # Messages
//!
//! An HTTP message is `METHOD TARGET` or `STATUS`, then `Header:value` words, then `| body`. In an expectation `*`
//! stands for any value, and headers and bodies that are not named are not compared. `watch` is the response head of a
//! list watch. `raw TEXT` is written as it is and `chunk TEXT` as one chunk of a chunked body; `\r`, `\n`, `\t`, `\0`
//! and `\xHH` in them stand for those bytes. `#N` is `N` bytes of padding.
//!
//! A Gearman message is `PACKET_TYPE FIELD … | LAST_FIELD`. `~` is an empty field and `*` any. The first `$NAME` in an expectation
//! assigns the received value to the variable `NAME`; each later `$NAME` means that value. `times N MESSAGE` is the message `N`
//! times, sent in one write. `text LINE` is a line of the text protocol; `expect` skips other lines before it.

#[path = "../discovery/mod.rs"]
mod discovery;
mod flood;
mod stall;

use calicolb_gearman::packet::{PacketType, Parsed as ParseResult, Sender, encode, parse};
use rustix::net::{AddressFamily, SocketType};
use std::collections::HashMap;
use std::fs;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

/// The longest time that a step waits for its condition.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// A TCP connection and the bytes that were read from it and not consumed yet.
struct Connection {
    stream: TcpStream,
    unread: Vec<u8>,
}

/// A running program and the test's sockets around it.
pub struct TestRun {
    program: Child,
    /// Processes that ran before `program`, the latest one last.
    predecessors: Vec<Child>,
    log: Receiver<String>,
    /// Log lines read so far.
    log_lines: Vec<String>,
    client_address: SocketAddr,
    management_address: SocketAddr,
    peer_address: SocketAddr,
    gearman_address: SocketAddr,
    /// Values of `$NAME` fields.
    variables: HashMap<String, Vec<u8>>,
    /// The program runs with an operator file instead of a JSON configuration.
    has_operator_file: bool,
    /// The list is pushed: `d` is the agent on the program's own machine.
    pushed_list: bool,
    /// The listeners `d` and `d2` confirm the list by themselves.
    auto_confirmed: bool,
    listeners: HashMap<String, TcpListener>,
    connections: HashMap<String, Connection>,
    peer_socket: UdpSocket,
    config_file: PathBuf,
    /// Workers of the list, by name and address.
    listed_workers: Vec<(String, SocketAddr)>,
    /// The clients' socket, where it is passed to the program, and the folder of the upgrade socket.
    passed_socket: Option<(TcpListener, PathBuf)>,
    /// JSON pointers and the JSON values that replace the default configuration's.
    settings: Vec<(String, String)>,
    /// Time of the last `mark`.
    marked_at: Instant,
    /// The program's resident memory at the last `record_memory`, in KiB.
    recorded_memory_kib: u64,
    /// The program was stopped with SIGSTOP and not continued.
    stopped: bool,
    /// Writes and closes made while the program was stopped: the connection's local address as /proc/net/tcp prints it,
    /// true if the connection was closed, and the number of lookups in which it was missing.
    pending_deliveries: Vec<(String, bool, u32)>,
    /// Clients that send at full speed.
    floods: Vec<flood::Flood>,
    /// Clients that stopped after a message.
    stalled: Vec<stall::StalledClients>,
    /// Sockets that keep the addresses of closed listeners bound, so that connections there are refused.
    reserved_addresses: Vec<OwnedFd>,
}

/// The memory of a process in KiB, from the line of /proc/PID/status that begins with `line`.
fn memory_kib(process: &Child, line: &str) -> Result<u64, String> {
    let path = format!("/proc/{}/status", process.id());
    let status = fs::read_to_string(path).map_err(|error| error.to_string())?;
    let value = status.lines().find_map(|found| found.strip_prefix(line));
    let kib = value.and_then(|value| value.split_whitespace().next()?.parse().ok());
    kib.ok_or_else(|| format!("/proc/PID/status has no readable line '{line}'"))
}

/// Polls a condition every millisecond, and fails with `failure` after [`WAIT_LIMIT`].
fn wait_until(failure: &str, mut condition: impl FnMut() -> bool) -> Result<(), String> {
    let since = Instant::now();
    while !condition() {
        if since.elapsed() > WAIT_LIMIT {
            return Err(failure.to_owned());
        }
        thread::sleep(Duration::from_millis(1));
    }
    Ok(())
}

/// Replaces the values at some JSON pointers of a configuration.
fn with_settings<T: AsRef<str>>(text: &str, settings: &[(T, T)]) -> String {
    let mut config: serde_json::Value = serde_json::from_str(text).expect("the configuration is not JSON");
    for (pointer, value) in settings {
        let (parent, name) =
            pointer.as_ref().rsplit_once('/').expect("a settings key is not a JSON pointer with a parent");
        let value = serde_json::from_str(value.as_ref()).expect("a settings value is not JSON");
        match config.pointer_mut(parent).expect("the JSON pointer names no place in the configuration") {
            serde_json::Value::Array(items) => {
                items[name.parse::<usize>().expect("an array index is not a number")] = value
            }
            other => other[name] = value,
        }
    }
    config.to_string()
}

/// The JSON configuration with these workers as the list last known.
fn config_json(
    workers: &[(String, SocketAddr)],
    discovery: SocketAddr,
    peer: SocketAddr,
    pushed_list: bool,
) -> String {
    let member = |(name, dial): &(String, SocketAddr)| {
        format!(
            r#"{{"host":"{name}","dial":"{dial}","site":"north","class":"big","block":0,"health":"in_service","share":1.0,"born_ms":0}}"#
        )
    };
    let hosts: Vec<String> = workers.iter().map(member).collect();
    let mode = if pushed_list { "automatic" } else { "subscribe" };
    // In subscribe mode a script may leave `d` silent; the grace of 60 s keeps the list in force on a busy machine.
    let grace = if pushed_list { 500_000 } else { 60_000_000 };
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"5eed","limits":{{"sockets":256}},
        "mgmt":"127.0.0.1:0","peer_listen":"127.0.0.1:0","peers":["127.0.0.1:9","{peer}"],"peers_all":"{peer}",
        "known":{{"seq":41,"whole":true,"hosts":[{}]}},"settings":{{"azs":["north","south"],"kinds":["big"],
        "ceilings":{{"cancelling":true,"connect_timeout_us":250000,"max_retry_after_us":2000000,"may_duplicate":true,
        "most_tries":4,"peers":true,"probes":true,"retry_after":false}},"counted_by":"work","extra":{{"class_kind":[-1,-1],
        "class_stretch":[2.0,2.0],"progress_us":1000000,"queue_order":"fifo","report_x0":"free slots","tells_start":true}},
        "n_instances":2,"rank":0,"orgs":[{{"name":"acme","quota_rps":1000.0,"share":1.0}}],"registry_mode":"{mode}",
        "report":{{"fields":["utilization","x0"],"how":"answers"}},"request_classes":[
        {{"name":"look","aim_us":900000,"deadline_us":20000000,"effect":"read_like","worth":1.0}},
        {{"name":"book","aim_us":900000,"deadline_us":20000000,"effect":"non_idempotent","worth":2.0}}],
        "rules":{{"answer_slack_us":8000,"ask_every_us":1000,"cold_us":1000000,"drain_grace_us":{grace},"fall_multiple":3.0,
        "fall_us":1000000,"start_capacity":0.3}},"tick_us":1000,"zone":"north"}}}}"#,
        hosts.join(",")
    )
}

/// An operator file with these HTTP workers and the test's own lines.
fn operator_file(workers: &[(String, SocketAddr)], lines: &str) -> String {
    let mut text = String::from(
        r#"
        http listen="127.0.0.1:0"
        operators listen="127.0.0.1:0"
        class "look" aim="900ms" stretch=2.0 give-up="20s" effect="safe"
        class "book" aim="900ms" stretch=2.0 give-up="20s" effect="once" worth=2.0
        "#,
    );
    if !lines.contains("workers ") {
        text += "workers cold=\"0ms\"\n";
    }
    if !lines.contains("gearman ") {
        text += "gearman listen=\"127.0.0.1:0\" admin=#true ends=2\n";
    }
    if !lines.contains("function ") {
        text += r#"
        function "look" class="look" takes-http=#true on-http=#true
        function "book" class="book" takes-http=#true on-http=#true
        "#;
    }
    for (name, dial) in workers {
        text += &format!("http-worker \"{name}\" address=\"{dial}\" lanes=1\n");
    }
    text + lines
}

/// The program's configuration and surroundings in a test.
#[derive(Clone, Copy)]
pub struct Setup<'a> {
    /// Number of HTTP workers (`h1`, `h2`, …) in the initial list.
    pub workers: usize,
    /// Limit on open file descriptors (`ulimit -n`).
    pub max_descriptors: u32,
    /// The clients' socket is passed to the program, and a stale upgrade socket of an earlier process exists.
    pub pass_socket: bool,
    /// The list is pushed: `d` is the agent on the program's own machine.
    pub pushed_list: bool,
    /// The program runs with an operator file that contains these lines, instead of a JSON configuration.
    pub operator: Option<&'a str>,
    /// Changes to the default configuration: JSON pointers and the JSON values to set there.
    pub settings: &'a [(&'a str, &'a str)],
}

impl Default for Setup<'_> {
    fn default() -> Self {
        Setup {
            workers: 1,
            max_descriptors: 1024,
            pass_socket: false,
            pushed_list: false,
            operator: None,
            settings: &[],
        }
    }
}

impl Setup<'_> {
    /// Starts the program and runs the script; panics at the first step that fails.
    pub fn run(self, script: &str) {
        TestRun::start(self, script).run(script);
    }
}

/// Runs a script against a program that has an operator file with `workers` HTTP workers and these lines.
pub fn run_with_operator_file(workers: usize, lines: &str, script: &str) {
    Setup { workers, operator: Some(lines), ..Setup::default() }.run(script);
}

/// Runs a script against a program that has `workers` HTTP workers.
pub fn run_scenario(workers: usize, script: &str) {
    Setup { workers, ..Setup::default() }.run(script);
}

/// Runs a script against a program that may open `max_descriptors` file descriptors at most.
pub fn run_with_max_descriptors(workers: usize, max_descriptors: u32, script: &str) {
    Setup { workers, max_descriptors, ..Setup::default() }.run(script);
}

/// Runs a script against a program that gets its list pushed by `d`, the agent on its own machine. `pass_socket` passes the
/// clients' socket to the program.
pub fn run_with_pushed_list(workers: usize, pass_socket: bool, script: &str) {
    Setup { workers, pass_socket, pushed_list: true, ..Setup::default() }.run(script);
}

/// Runs a script against a program that gets the clients' socket passed, where a stale upgrade socket exists.
pub fn run_with_passed_socket(workers: usize, script: &str) {
    Setup { workers, pass_socket: true, ..Setup::default() }.run(script);
}

impl TestRun {
    fn run(&mut self, script: &str) {
        for (number, line) in script.lines().map(str::trim).enumerate().filter(|(_, line)| !line.is_empty()) {
            let mut words = line.splitn(3, ' ');
            let (verb, name) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
            let result = self.execute_step(verb, name, words.next().unwrap_or(""));
            result.unwrap_or_else(|error| {
                panic!("script line {number}, '{line}': {error}; the program's log: {:?}", self.log_lines)
            });
        }
    }

    fn start(setup: Setup<'_>, script: &str) -> TestRun {
        let Setup { workers, max_descriptors, pass_socket, pushed_list, operator, settings } = setup;
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let bind = || TcpListener::bind("127.0.0.1:0").expect("no loopback port could be bound");
        let mut listeners: HashMap<String, TcpListener> =
            (1..=workers).map(|number| (format!("h{number}"), bind())).collect();
        let address =
            |listener: &TcpListener| listener.local_addr().expect("a bound listener has no address");
        let mut listed_workers: Vec<_> =
            listeners.iter().map(|(name, listener)| (name.clone(), address(listener))).collect();
        listed_workers.sort();
        listeners.insert("d".to_owned(), bind());
        listeners.insert("d2".to_owned(), bind());
        let script_controls_discovery = script_controls(script, "d") || script_controls(script, "d2");
        let auto_confirmed = operator.is_none() && !pushed_list && !script_controls_discovery;
        for name in ["d", "d2"].into_iter().filter(|_| auto_confirmed) {
            let listener = listeners[name].try_clone().expect("the listener could not be duplicated");
            discovery::confirm_list_forever(listener);
        }
        let peer_socket = UdpSocket::bind("127.0.0.1:0").expect("no loopback port could be bound");
        peer_socket.set_read_timeout(Some(WAIT_LIMIT)).expect("the read timeout could not be set");
        let (text, extension) = match operator {
            Some(lines) => (operator_file(&listed_workers, lines), "kdl"),
            None => (
                with_settings(
                    &config_json(
                        &listed_workers,
                        address(&listeners["d"]),
                        peer_socket.local_addr().expect("a bound socket has no address"),
                        pushed_list,
                    ),
                    settings,
                ),
                "json",
            ),
        };
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let config_file =
            std::env::temp_dir().join(format!("calicolb-{}-{number}.{extension}", std::process::id()));
        fs::write(&config_file, text).expect("the configuration file could not be written");
        let passed_socket = pass_socket.then(|| {
            let dir = config_file.with_extension("tmp");
            fs::create_dir(&dir).expect("the folder of the upgrade socket could not be created");
            drop(
                UnixListener::bind(dir.join("calicolb.sock"))
                    .expect("a stale upgrade socket could not be created"),
            );
            (bind(), dir)
        });
        let (program, log) = start_program(&config_file, max_descriptors, passed_socket.as_ref(), "");
        let unknown_address = SocketAddr::from(([127, 0, 0, 1], 9));
        let connections = HashMap::new();
        let mut test_run = TestRun {
            program,
            predecessors: Vec::new(),
            log,
            log_lines: Vec::new(),
            client_address: unknown_address,
            management_address: unknown_address,
            peer_address: unknown_address,
            gearman_address: unknown_address,
            variables: HashMap::new(),
            has_operator_file: operator.is_some(),
            pushed_list,
            auto_confirmed,
            listeners,
            connections,
            peer_socket,
            config_file,
            listed_workers,
            passed_socket,
            settings: settings
                .iter()
                .map(|(pointer, value)| (pointer.to_string(), value.to_string()))
                .collect(),
            marked_at: Instant::now(),
            recorded_memory_kib: 0,
            stopped: false,
            pending_deliveries: Vec::new(),
            stalled: Vec::new(),
            floods: Vec::new(),
            reserved_addresses: Vec::new(),
        };
        test_run.read_addresses().expect("the program did not log its addresses");
        test_run
    }

    /// Reads from the log the addresses on which the program listens, and waits until it serves clients.
    fn read_addresses(&mut self) -> Result<(), String> {
        let address = |text: String| text.parse().map_err(|_| format!("'{text}' is not a socket address"));
        let first_new_line = self.log_lines.len();
        self.management_address = address(self.wait_for_log("listens for operators on ")?)?;
        if self.has_operator_file {
            self.gearman_address = address(self.wait_for_log("speaks Gearman on ")?)?;
            self.client_address = address(self.wait_for_log("serves on ")?)?;
            return Ok(());
        }
        // Without peer messages the program opens no peer socket and logs no address for it.
        if !self.settings.contains(&("/settings/ceilings/peers".to_owned(), "false".to_owned())) {
            self.peer_address = address(self.wait_for_log("listens for schedulers on ")?)?;
        }
        self.client_address = address(self.wait_for_log("serves on ")?)?;
        // The list may have been confirmed before the program logged that it serves.
        let list_confirmed = "discovery: the list is confirmed";
        if self.auto_confirmed
            && !self.log_lines[first_new_line..].iter().any(|line| line.contains(list_confirmed))
        {
            self.wait_for_log(list_confirmed)?;
        }
        Ok(())
    }

    /// The program's resident memory in KiB.
    fn resident_memory_kib(&self) -> Result<u64, String> {
        memory_kib(&self.program, "VmRSS:")
    }

    /// Waits for a log line that contains `text`, and returns the rest of the line after it.
    fn wait_for_log(&mut self, text: &str) -> Result<String, String> {
        // One deadline for all lines: a program that keeps logging must not block the test forever.
        let deadline = Instant::now() + WAIT_LIMIT;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let line =
                self.log.recv_timeout(remaining).map_err(|_| format!("no log line contains '{text}'"))?;
            self.log_lines.push(line.clone());
            if let Some((_, rest)) = line.split_once(text) {
                return Ok(rest.to_owned());
            }
        }
    }

    /// The child process that `program` or `predecessor` means.
    fn process(&mut self, target: &str) -> Result<&mut Child, String> {
        if target == "program" {
            Ok(&mut self.program)
        } else {
            self.predecessors
                .last_mut()
                .ok_or("no successor was started, so there is no predecessor".to_owned())
        }
    }

    /// The connection of this name; opens or accepts it first where the name is new.
    fn connection(&mut self, target: &str) -> Result<&mut Connection, String> {
        if !self.connections.contains_key(target) {
            let stream = match target.split('.').next().unwrap_or("") {
                name if name.starts_with(['c', 'n']) => {
                    TcpStream::connect(self.client_address).map_err(|e| e.to_string())?
                }
                name if name.starts_with(['g', 'w']) => {
                    TcpStream::connect(self.gearman_address).map_err(|e| e.to_string())?
                }
                name if name.starts_with('o') => {
                    TcpStream::connect(self.management_address).map_err(|e| e.to_string())?
                }
                name => accept_connection(self.listeners.get(name).ok_or("no listener has this name")?)?,
            };
            stream.set_read_timeout(Some(WAIT_LIMIT)).map_err(|error| error.to_string())?;
            self.connections.insert(target.to_owned(), Connection { stream, unread: Vec::new() });
        }
        self.connections.get_mut(target).ok_or_else(|| "no connection has this name".to_owned())
    }

    /// Writes bytes to the connection of this name.
    fn write_to(&mut self, target: &str, bytes: &[u8]) -> Result<(), String> {
        let connection = self.connection(target)?;
        connection.stream.write_all(bytes).map_err(|error| error.to_string())?;
        let address = connection.stream.local_addr().map_err(|error| error.to_string())?;
        self.track_delivery(address, false)
    }

    /// If the program is stopped, records that bytes, or the close of the connection with this local address, must reach
    /// the program's socket before the program is continued.
    fn track_delivery(&mut self, address: SocketAddr, closed: bool) -> Result<(), String> {
        let SocketAddr::V4(address) = address else {
            return Err(format!("{address} is not an IPv4 address"));
        };
        let key = format!("{:08X}:{:04X}", u32::from_le_bytes(address.ip().octets()), address.port());
        if self.stopped {
            self.pending_deliveries.retain(|other| other.0 != key);
            self.pending_deliveries.push((key, closed, 0));
        }
        Ok(())
    }

    /// Waits until every write and close made while the program was stopped has reached the program's sockets. On a busy
    /// machine the kernel may deliver them late and out of order. The check reads /proc/net/tcp, which may skip a line
    /// while other connections change: a connection that is missing counts as reset after 20 lookups.
    fn wait_for_deliveries(&mut self) -> Result<(), String> {
        let mut pending = std::mem::take(&mut self.pending_deliveries);
        wait_until("bytes or closes sent while the program was stopped did not reach its sockets", || {
            let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
            let words = |line: &str| line.split_whitespace().take(5).map(str::to_owned).collect::<Vec<_>>();
            let states: HashMap<String, (String, String)> = table
                .lines()
                .map(words)
                .filter(|words| words.len() == 5 && !words[2].ends_with(":0000"))
                .map(|words| (words[1].clone(), (words[3].clone(), words[4].clone())))
                .collect();
            pending.retain_mut(|(key, closed, missed)| match states.get(key) {
                // TCP states 01 (ESTABLISHED) and 04 (FIN_WAIT1): the program's side has not got the FIN yet.
                Some((state, _)) if *closed => state == "01" || state == "04",
                Some((_, queues)) => !queues.starts_with("00000000:"),
                None => {
                    *missed += 1;
                    *missed < 20
                }
            });
            pending.is_empty()
        })
    }

    /// Fills the accept queue of a worker's listener: one connection waits to be accepted and there is no space for
    /// another. A connection attempt made meanwhile completes about a second after `free_backlog`, when its SYN is
    /// repeated.
    fn fill_backlog(&mut self, name: &str) -> std::io::Result<()> {
        let listener = self.listeners.get(name).ok_or(ErrorKind::NotFound)?;
        // A second listen() on the same socket changes the size of the accept queue.
        rustix::net::listen(listener, 0)?;
        let address = listener.local_addr()?;
        let stream = TcpStream::connect(address)?;
        self.connections.insert(format!("backlog {name}"), Connection { stream, unread: Vec::new() });
        Ok(())
    }

    /// Executes one step of the script.
    fn execute_step(&mut self, verb: &str, target: &str, rest: &str) -> Result<(), String> {
        match (verb, target) {
            ("send", "program" | "predecessor") => {
                if rest == "CONT" {
                    self.wait_for_deliveries()?;
                }
                let (signal, id) = (format!("-{rest}"), self.process(target)?.id().to_string());
                let sent = Command::new("kill").args([&signal, &id]).status();
                sent.map_err(|error| error.to_string())?;
                self.stopped = if rest == "STOP" { true } else { self.stopped && rest != "CONT" };
                // The process is stopped only once its state in /proc/PID/stat is T.
                let is_stopped =
                    |text: String| text.rsplit(") ").next().is_some_and(|rest| rest.starts_with('T'));
                wait_until("the process does not stop after SIGSTOP", || {
                    rest != "STOP" || fs::read_to_string(format!("/proc/{id}/stat")).is_ok_and(is_stopped)
                })
            }
            ("send", "file") => {
                let text = match rest.strip_prefix("raw ") {
                    Some(text) => text.to_owned(),
                    None => {
                        let address =
                            |result: std::io::Result<SocketAddr>| result.map_err(|error| error.to_string());
                        let discovery =
                            self.listeners.get(rest).ok_or("no listener has this name")?.local_addr();
                        let text = config_json(
                            &self.listed_workers,
                            address(discovery)?,
                            address(self.peer_socket.local_addr())?,
                            self.pushed_list,
                        );
                        with_settings(&text, &self.settings)
                    }
                };
                fs::write(&self.config_file, text).map_err(|error| error.to_string())
            }
            ("never", first) => {
                let text = format!("{first} {rest}");
                self.log_lines.extend(self.log.try_iter());
                match self.log_lines.iter().find(|line| line.contains(&text)) {
                    Some(line) => Err(format!("the log contains the line '{line}'")),
                    None => Ok(()),
                }
            }
            ("set", pointer) => {
                self.settings.retain(|(other, _)| other != pointer);
                self.settings.push((pointer.to_owned(), rest.to_owned()));
                Ok(())
            }
            ("record_memory", "program") => {
                self.recorded_memory_kib = self.resident_memory_kib()?;
                Ok(())
            }
            ("memory_growth", limit) => {
                let limit: u64 = limit.parse().map_err(|_| format!("'{limit}' is not a number of KiB"))?;
                let now = self.resident_memory_kib()?;
                let growth = now.saturating_sub(self.recorded_memory_kib);
                if growth <= limit {
                    Ok(())
                } else {
                    Err(format!(
                        "the program's memory grew by {growth} KiB to {now} KiB, {limit} KiB are allowed"
                    ))
                }
            }
            ("memory_peak", limit) => {
                let limit: u64 = limit.parse().map_err(|_| format!("'{limit}' is not a number of KiB"))?;
                let processes = self.predecessors.iter().chain([&self.program]);
                let peaks = processes.map(|process| memory_kib(process, "VmHWM:"));
                let peaks = peaks.collect::<Result<Vec<u64>, String>>()?;
                if peaks.iter().sum::<u64>() <= limit {
                    Ok(())
                } else {
                    Err(format!("the largest memory was {peaks:?} KiB, {limit} KiB are allowed"))
                }
            }
            ("stall", count) => {
                let count = count.parse().map_err(|_| format!("'{count}' is not a number of clients"))?;
                let message = |client: usize| encode_message(&rest.replace("$CLIENT", &client.to_string()));
                let stalled = stall::StalledClients::start(self.client_address, count, message);
                self.stalled.push(stalled.map_err(|error| error.to_string())?);
                Ok(())
            }
            ("flood", count) => {
                let count = count.parse().map_err(|_| format!("'{count}' is not a number of clients"))?;
                let flood = flood::Flood::start(self.client_address, count, &encode_message(rest));
                self.floods.push(flood.map_err(|error| error.to_string())?);
                Ok(())
            }
            ("restart", "program") => {
                self.program.kill().map_err(|error| error.to_string())?;
                self.program.wait().map_err(|error| error.to_string())?;
                (self.program, self.log) =
                    start_program(&self.config_file, 1024, self.passed_socket.as_ref(), "");
                self.read_addresses()
            }
            ("start", "successor") => {
                let (program, log) =
                    start_program(&self.config_file, 1024, self.passed_socket.as_ref(), rest);
                self.predecessors.push(std::mem::replace(&mut self.program, program));
                // The predecessor's log is still read, so that a full pipe does not block the process.
                let old_log = std::mem::replace(&mut self.log, log);
                thread::spawn(move || old_log.iter().for_each(drop));
                self.read_addresses()
            }
            ("mark", _) => {
                self.marked_at = Instant::now();
                Ok(())
            }
            ("after" | "within", span) => {
                let span = Duration::from_millis(
                    span.parse().map_err(|_| format!("'{span}' is not a number of milliseconds"))?,
                );
                let passed = self.marked_at.elapsed();
                let in_bounds = if verb == "after" { passed >= span } else { passed <= span };
                if in_bounds { Ok(()) } else { Err(format!("{passed:?} have passed since the mark")) }
            }
            ("until", span) => {
                let span = Duration::from_millis(
                    span.parse().map_err(|_| format!("'{span}' is not a number of milliseconds"))?,
                );
                thread::sleep(span.saturating_sub(self.marked_at.elapsed()));
                Ok(())
            }
            ("info", line) => {
                let since = Instant::now();
                while since.elapsed() < WAIT_LIMIT {
                    let mut stream =
                        TcpStream::connect(self.management_address).map_err(|error| error.to_string())?;
                    stream.write_all(b"INFO\n").map_err(|error| error.to_string())?;
                    let mut answer = String::new();
                    stream.read_to_string(&mut answer).map_err(|error| error.to_string())?;
                    if answer.lines().any(|answered| answered == line) {
                        return Ok(());
                    }
                    thread::sleep(Duration::from_millis(5));
                }
                Err("INFO never contained this line".to_owned())
            }
            ("up", _) => {
                let since = Instant::now();
                loop {
                    self.execute_step("send", target, "GET /up")?;
                    match self.execute_step("expect", target, "200") {
                        Err(_) if since.elapsed() < WAIT_LIMIT => thread::sleep(Duration::from_millis(50)),
                        other => return other,
                    }
                }
            }
            ("take", _) => self.connection(target).map(drop),
            ("ends", _) => match self.connection(target)?.read(&mut [0; 64]) {
                Ok(0) => Ok(()),
                other => Err(format!("the connection was not closed in order: {other:?}")),
            },
            ("none", name) => {
                let listener = self.listeners.get(name).ok_or("no listener has this name")?;
                listener.set_nonblocking(true).map_err(|error| error.to_string())?;
                match listener.accept() {
                    Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(()),
                    other => Err(format!("a connection to '{name}' was made, or accept failed: {other:?}")),
                }
            }
            ("fill_backlog", name) => self.fill_backlog(name).map_err(|error| error.to_string()),
            ("free_backlog", name) => {
                let listener = self.listeners.get(name).ok_or("no listener has this name")?;
                accept_connection(listener).map(drop)
            }
            ("expect", "program") => self.wait_for_log(rest).map(drop),
            ("wait", "program" | "predecessor") => {
                let since = Instant::now();
                while since.elapsed() < WAIT_LIMIT {
                    if let Some(status) =
                        self.process(target)?.try_wait().map_err(|error| error.to_string())?
                    {
                        return if status.success() {
                            Ok(())
                        } else {
                            Err(format!("the process exited with {status}"))
                        };
                    }
                    thread::sleep(Duration::from_millis(5));
                }
                Err("the process has not exited".to_owned())
            }
            ("send", "p") => self
                .peer_socket
                .send_to(&parse_bytes(rest), self.peer_address)
                .map(drop)
                .map_err(|e| e.to_string()),
            ("expect", "p") => {
                let mut datagram = [0; 512];
                // Datagrams that the program sends unasked, such as its hello at the start, may come first.
                loop {
                    let (length, _) =
                        self.peer_socket.recv_from(&mut datagram).map_err(|error| error.to_string())?;
                    if datagram[..length] == parse_bytes(rest) {
                        return Ok(());
                    }
                }
            }
            ("send", name) if name.starts_with(['g', 'w']) => {
                let bytes = encode_packet(rest, &self.variables)?;
                self.write_to(target, &bytes)
            }
            ("expect", name) if name.starts_with(['g', 'w']) && rest.starts_with("text ") => {
                let line = unescape(&substitute_variables(&rest["text ".len()..], &self.variables));
                self.connection(target)?.expect_line(&String::from_utf8_lossy(&line))
            }
            ("ready", _) => {
                for (verb, message) in [
                    ("send", format!("CAN_DO {rest}")),
                    ("send", "PRE_SLEEP".to_owned()),
                    ("send", "ECHO_REQ | there".to_owned()),
                    ("expect", "ECHO_RES | there".to_owned()),
                ] {
                    self.execute_step(verb, target, &message)?;
                }
                Ok(())
            }
            ("pull", _) => {
                self.execute_step("expect", target, "NOOP")?;
                self.execute_step("send", target, "GRAB_JOB")?;
                self.execute_step("expect", target, rest)
            }
            ("expect", name) if name.starts_with(['g', 'w']) => {
                let (times, rest) = parse_repeat(rest);
                for _ in 0..times {
                    let (packet_type, data) = self.connection(target)?.next_packet()?;
                    match_packet(rest, &packet_type, &data, &mut self.variables)?;
                }
                Ok(())
            }
            ("send", _) => {
                let message = encode_message(rest);
                self.write_to(target, &message)
            }
            ("expect", name) if name.starts_with('o') => self.connection(target)?.expect_line(rest),
            ("expect", _) => self.connection(target)?.expect(rest),
            ("close", _) => {
                if let Some(connection) = self.connections.remove(target) {
                    let address = connection.stream.local_addr().map_err(|error| error.to_string())?;
                    drop(connection);
                    return self.track_delivery(address, true);
                }
                let listener =
                    self.listeners.remove(target).ok_or("no connection or listener has this name")?;
                let address = listener.local_addr().map_err(|error| error.to_string())?;
                drop(listener);
                // The address stays bound without a listener, because the program keeps connecting to it and no other test
                // may get those connections. A process that another test is just starting may hold a copy of the listener
                // for a moment, so binding is repeated.
                let reserve = || -> std::io::Result<OwnedFd> {
                    let socket = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None)?;
                    rustix::net::sockopt::set_socket_reuseaddr(&socket, true)?;
                    rustix::net::bind(&socket, &address)?;
                    Ok(socket)
                };
                let mut reserved = None;
                wait_until("the address of the closed listener stays in use", || {
                    reserved = reserve().ok();
                    reserved.is_some()
                })?;
                self.reserved_addresses.extend(reserved);
                Ok(())
            }
            ("wait", _) => {
                let connection = self.connection(target)?;
                match connection.read(&mut [0; 64]) {
                    Ok(0) => Ok(()),
                    Err(error) if error.kind() == ErrorKind::ConnectionReset => Ok(()),
                    other => Err(format!("the connection is still open: {other:?}")),
                }
            }
            _ => Err("unknown step".to_owned()),
        }
    }
}

impl Drop for TestRun {
    fn drop(&mut self) {
        for process in self.predecessors.iter_mut().chain([&mut self.program]) {
            let _ = process.kill();
            let _ = process.wait();
        }
        let _ = fs::remove_file(&self.config_file);
        if let Some((_, dir)) = &self.passed_socket {
            let _ = fs::remove_dir_all(dir);
        }
    }
}

/// Starts the program and returns it with a channel of its log lines. `clock_step` is the number of seconds by which
/// its wall clock is shifted, or an empty string.
fn start_program(
    config_file: &Path,
    max_descriptors: u32,
    passed_socket: Option<&(TcpListener, PathBuf)>,
    clock_step: &str,
) -> (Child, Receiver<String>) {
    let mut command = Command::new("/bin/sh");
    // A passed socket comes as standard input, and the shell moves it to descriptor 3.
    let redirection = if passed_socket.is_some() { "3<&0 0</dev/null" } else { "" };
    let has_operator_file = config_file.extension().is_some_and(|extension| extension == "kdl");
    let arguments = match has_operator_file {
        true => format!("serve --log-level debug --gearman 127.0.0.1:0 --operator {}", config_file.display()),
        false => String::new(),
    };
    command.args([
        "-c",
        &format!("ulimit -n {max_descriptors} && exec \"$0\" {arguments} {redirection}"),
        env!("CARGO_BIN_EXE_calicolb"),
    ]);
    if let Some((socket, dir)) = passed_socket {
        let socket = socket.try_clone().expect("the clients' socket could not be duplicated");
        command.stdin(OwnedFd::from(socket)).env("RELAY_PASSED_SOCKET", "3").env("TMPDIR", dir);
    }
    if !clock_step.is_empty() {
        command.env("CALICOLB_TEST_CLOCK_STEP_S", clock_step);
    }
    let mut program = command
        .env("RELAY_CONFIG", config_file)
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program could not be started");
    let stderr = BufReader::new(program.stderr.take().expect("the program's standard error is not a pipe"));
    let (sender, log) = channel();
    thread::spawn(move || stderr.lines().map_while(Result::ok).all(|line| sender.send(line).is_ok()));
    (program, log)
}

/// Returns whether the script uses the discovery listener of this name.
fn script_controls(script: &str, name: &str) -> bool {
    let names = script.lines().filter_map(|line| line.split_whitespace().nth(1));
    names.filter_map(|used| used.split('.').next()).any(|used| used == name)
}

/// Accepts the next connection; fails after [`WAIT_LIMIT`].
fn accept_connection(listener: &TcpListener) -> Result<TcpStream, String> {
    listener.set_nonblocking(true).map_err(|error| error.to_string())?;
    let since = Instant::now();
    while since.elapsed() < WAIT_LIMIT {
        if let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(false).map_err(|error| error.to_string())?;
            return Ok(stream);
        }
        thread::sleep(Duration::from_millis(2));
    }
    Err("the program made no connection within the wait limit".to_owned())
}

/// Parses `1,0,255` as bytes, and `#N` as `N` bytes of padding.
fn parse_bytes(text: &str) -> Vec<u8> {
    match text.strip_prefix('#') {
        Some(count) => vec![b'x'; count.parse().expect("the padding length is not a number")],
        None => {
            text.split(',').map(|part| part.parse().expect("a part is not a number from 0 to 255")).collect()
        }
    }
}

/// Expands `#N` to `N` characters of padding; other words stay.
fn expand_padding(word: &str) -> String {
    word.strip_prefix('#')
        .and_then(|count| count.parse().ok())
        .map_or_else(|| word.to_owned(), |n| "x".repeat(n))
}

/// Replaces the escapes of a text (`\r`, `\n`, `\t`, `\0`, `\xHH`) with the bytes that they stand for.
fn unescape(text: &str) -> Vec<u8> {
    let (mut out, mut remaining) = (Vec::new(), text.as_bytes());
    while let [first, rest @ ..] = remaining {
        let (byte, used) = match (first, rest) {
            (b'\\', [b'r', ..]) => (b'\r', 2),
            (b'\\', [b'n', ..]) => (b'\n', 2),
            (b'\\', [b't', ..]) => (b'\t', 2),
            (b'\\', [b'0', ..]) => (0, 2),
            (b'\\', [b'x', high, low, ..]) => {
                let digits = [*high, *low];
                let digits = std::str::from_utf8(&digits).expect("the digits after \\x are not ASCII");
                (u8::from_str_radix(digits, 16).expect("\\x is not followed by two hexadecimal digits"), 4)
            }
            (&byte, _) => (byte, 1),
        };
        out.push(byte);
        remaining = &remaining[used..];
    }
    out
}

/// Replaces `$NAME` with the value of the variable.
fn substitute_variables(text: &str, variables: &HashMap<String, Vec<u8>>) -> String {
    let mut text = text.to_owned();
    for (name, value) in variables {
        text = text.replace(&format!("${name}"), &String::from_utf8_lossy(value));
    }
    text
}

/// The Gearman packet type of this name.
fn packet_type_by_name(name: &str) -> Result<PacketType, String> {
    PacketType::ALL
        .iter()
        .copied()
        .find(|packet_type| packet_type.name() == name)
        .ok_or_else(|| format!("no packet type is named '{name}'"))
}

/// The fields of a packet in a script: the words after the packet type, and the text after the bar.
fn packet_fields(text: &str) -> Vec<String> {
    let (head, last) = text.split_once(" | ").map_or((text, None), |(head, last)| (head, Some(last)));
    let mut fields: Vec<String> = head.split(' ').skip(1).map(str::to_owned).collect();
    fields.extend(last.map(expand_padding));
    fields
}

/// Splits `times N REST` into the count and the rest; the count is 1 without `times`.
fn parse_repeat(text: &str) -> (usize, &str) {
    let found = text.strip_prefix("times ").and_then(|rest| rest.split_once(' '));
    found.map_or((1, text), |(count, rest)| (count.parse().expect("the repeat count is not a number"), rest))
}

/// The bytes to send for a Gearman packet or a line of the text protocol.
fn encode_packet(text: &str, variables: &HashMap<String, Vec<u8>>) -> Result<Vec<u8>, String> {
    let (times, text) = parse_repeat(text);
    if times > 1 {
        return Ok(encode_packet(text, variables)?.repeat(times));
    }
    let text = substitute_variables(text, variables);
    if let Some(text) = text.strip_prefix("raw ") {
        return Ok(unescape(text));
    }
    if let Some(line) = text.strip_prefix("text ") {
        return Ok(format!("{line}\n").into_bytes());
    }
    let packet_type = packet_type_by_name(text.split(' ').next().unwrap_or(""))?;
    let fields: Vec<Vec<u8>> = packet_fields(&text)
        .iter()
        .map(|field| if field == "~" { Vec::new() } else { unescape(field) })
        .collect();
    let fields: Vec<&[u8]> = fields.iter().map(Vec::as_slice).collect();
    Ok(encode(Sender::Peer, packet_type, &fields))
}

/// Compares a packet with the expected one, and assigns the variables that it names for the first time.
fn match_packet(
    wanted: &str,
    packet_type: &PacketType,
    data: &[u8],
    variables: &mut HashMap<String, Vec<u8>>,
) -> Result<(), String> {
    let mismatch = || format!("got {packet_type} {}", data.escape_ascii());
    if packet_type_by_name(wanted.split(' ').next().unwrap_or(""))? != *packet_type {
        return Err(mismatch());
    }
    let wanted = packet_fields(wanted);
    let mut parts = data.splitn(packet_type.argument_count().max(1), |&byte| byte == 0);
    for field in &wanted {
        let part = parts.next().ok_or_else(mismatch)?;
        if let Some(name) = field.strip_prefix('$') {
            let value = variables.entry(name.to_owned()).or_insert_with(|| part.to_vec());
            if value != part {
                return Err(mismatch());
            }
        } else if field != "*" && unescape(if field == "~" { "" } else { field }) != part {
            return Err(mismatch());
        }
    }
    Ok(())
}

/// The bytes to send for an HTTP message.
fn encode_message(text: &str) -> Vec<u8> {
    if let Some(text) = text.strip_prefix("raw ") {
        return unescape(text);
    }
    if text == "watch" {
        return unescape(r"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }
    if let Some(text) = text.strip_prefix("chunk ") {
        let text = unescape(text);
        return [format!("{:x}\r\n", text.len()).as_bytes(), &text, b"\r\n"].concat();
    }
    let (head, body) = text.split_once(" | ").unwrap_or((text, ""));
    let body = expand_padding(body);
    let mut words = head.split(' ');
    let first = words.next().unwrap_or("");
    let mut out = match first.parse::<u16>() {
        Ok(status) => format!("HTTP/1.1 {status} X\r\n"),
        Err(_) => format!("{first} {} HTTP/1.1\r\nHost: t\r\n", words.next().unwrap_or("/")),
    };
    for (name, value) in words.filter_map(|word| word.split_once(':')) {
        out += &format!("{name}: {}\r\n", expand_padding(value));
    }
    out += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    out.into_bytes()
}

impl Connection {
    /// Reads once; a read interrupted by a signal is repeated.
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        loop {
            match self.stream.read(buffer) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                other => return other,
            }
        }
    }

    /// Reads more bytes into `unread`; fails at the end of the stream.
    fn read_more(&mut self) -> Result<(), String> {
        let mut buffer = [0; 4096];
        match self.read(&mut buffer) {
            Ok(0) => {
                Err(format!("the connection was closed after '{}'", String::from_utf8_lossy(&self.unread)))
            }
            Ok(count) => {
                self.unread.extend_from_slice(&buffer[..count]);
                Ok(())
            }
            Err(error) => Err(error.to_string()),
        }
    }

    /// Reads the next Gearman packet.
    fn next_packet(&mut self) -> Result<(PacketType, Vec<u8>), String> {
        loop {
            match parse(&self.unread, Sender::Server, 1 << 20) {
                Ok(ParseResult::Complete(packet, length)) => {
                    let packet = (packet.packet_type, self.unread[12..length].to_vec());
                    self.unread.drain(..length);
                    return Ok(packet);
                }
                Ok(ParseResult::Incomplete) => self.read_more()?,
                other => return Err(format!("the bytes are no Gearman packet: {other:?}")),
            }
        }
    }

    /// Skips lines until one equals `wanted`.
    fn expect_line(&mut self, wanted: &str) -> Result<(), String> {
        loop {
            while let Some(end) = self.unread.iter().position(|&byte| byte == b'\n') {
                let line: Vec<u8> = self.unread.drain(..=end).collect();
                if line.trim_ascii_end() == wanted.as_bytes() {
                    return Ok(());
                }
            }
            self.read_more()?;
        }
    }

    /// Reads an HTTP message and compares it with the expected one.
    fn expect(&mut self, wanted: &str) -> Result<(), String> {
        let end = loop {
            match self.unread.windows(4).position(|four| four == b"\r\n\r\n") {
                Some(position) => break position + 4,
                None => self.read_more()?,
            }
        };
        let head = String::from_utf8_lossy(&self.unread[..end]).into_owned();
        let header = |name: &str| {
            let mut lines = head.lines().filter_map(|line| line.split_once(": "));
            lines.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.to_owned())
        };
        let length: usize =
            header("content-length").map_or(0, |text| text.parse().expect("Content-Length is a number"));
        while self.unread.len() < end + length {
            self.read_more()?;
        }
        let body = String::from_utf8_lossy(&self.unread[end..end + length]).into_owned();
        self.unread.drain(..end + length);
        let (wanted_head, wanted_body) = wanted
            .split_once(" | ")
            .map_or((wanted, None), |(head, body)| (head, Some(expand_padding(body))));
        let matches = |word: &str| match word.split_once(':') {
            Some((name, "*")) => header(name).is_some(),
            Some((name, value)) => header(name).as_deref() == Some(value),
            None => head.lines().next().unwrap_or("").split(' ').any(|part| part == word),
        };
        if wanted_head.split(' ').all(matches) && wanted_body.is_none_or(|wanted| wanted == body) {
            return Ok(());
        }
        Err(format!("got the head {head:?} with the body {body:?}"))
    }
}
