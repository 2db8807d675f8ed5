//! A small language for conversations with the running program: one step a line.
//!
//! * `send WHO MESSAGE` writes; a name that is new opens a connection: `c…` to the program as a client,
//!   `n…` to the program as a next hop with news, `o…` to its operators' door, `p` a datagram as the scheduler of rank 1.
//! * `expect WHO MESSAGE` reads a message and compares; a new name `h1`, `h1.2` takes the next connection
//!   made to next hop `h1`, `d…` the next one made to discovery. `expect program REST` waits for a log line.
//!   From the door, `expect o… LINE` reads one line, and passes over others before it.
//! * `close WHO` closes a connection, or the listener of a next hop that has none of this name.
//! * `restart program` kills it with SIGKILL and starts it again with the configuration as it is: nothing survives but that.
//! * Where a scenario speaks for discovery neither at `d` nor at `d2`, both confirm the list by themselves, and the scenario
//!   begins once the program has the list in force.
//! * `start successor` starts the program again beside itself, where the clients' socket was passed to it: then `program`
//!   and `o…` mean the new one, `predecessor` the old one (`wait predecessor`, `send predecessor TERM`). `start successor 3600`: its wall clock
//!   is so many seconds ahead of the other's, or behind it.
//! * `up c1` asks for `/up` again and again until the answer is 200.
//! * `mark` begins to count; `after MS` says that so much has passed since at least, `within MS` at most.
//!   `until MS` lets so much pass.
//! * `crowd h1` lets nobody connect to a worker until there is `room h1`; who tries meanwhile is let in some time later.
//! * `info LINE` waits until operators are told this line.
//! * `ends WHO` waits until a connection ends in order, and is not reset; `none h1` says that nobody has connected to it.
//! * `take h1` takes the next connection made to it, and reads nothing.
//! * `wait WHO` waits until a connection ends; `wait program` until the program has exited cleanly.
//!
//! Under an operator file `g…` and `w…` are connections to the Gearman port, of clients and workers. Their messages are
//! `KIND FIELD … | LAST`; `~` is an empty field, `*` any, `$NAME` keeps what stands there and means it from then on.
//! `ready WHO FUNCTION` is a worker that can do it and sleeps, and is known to; `pull WHO MESSAGE` is one that is woken, asks
//! and gets this. `times N MESSAGE` is the same so many times, sent in one piece.
//! `text LINE` is a line of the admin protocol: `expect` passes over others before it.
//!
//! A message is `METHOD TARGET` or `STATUS`, then `Header:value` words, then `| body`. In an expectation `*`
//! stands for any value, and what is not named is not compared. `watch` is the head of a watch that opens. `raw TEXT` and `chunk TEXT` are written as they
//! are, the latter as one chunk; `\r`, `\n`, `\0`, `\t` and `\xHH` in them are those bytes. `#N` is N bytes of padding. `TERM`,
//! `HUP`, `STOP` or `CONT` to `program` is the signal; `send file d2` rewrites the configuration with discovery at the listener `d2`,
//! `send file raw TEXT` puts that text in its place, and after `set POINTER JSON` it has that value at that place.
//! `never TEXT` says that no log line had this in it so far. `weigh program` remembers its memory; `gained KIB` says that it has no more than so much more now.
//! Every wait is for a condition, with one generous limit.

#[path = "../discovery/mod.rs"]
mod discovery;

use calicolb_gearman::packet::{PacketType, Parsed as Found, Sender, encode, parse};
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

const LIMIT: Duration = Duration::from_secs(30);

struct Conn {
    stream: TcpStream,
    held: Vec<u8>,
}

pub struct TestRun {
    program: Child,
    /// Those started before it, the last one last.
    predecessors: Vec<Child>,
    log: Receiver<String>,
    heard: Vec<String>,
    at: SocketAddr,
    door_at: SocketAddr,
    peers_at: SocketAddr,
    gearman_at: SocketAddr,
    /// What `$NAME` stands for.
    kept: HashMap<String, Vec<u8>>,
    /// It is run under an operator file.
    appliance: bool,
    /// Lists are pushed: `d` is the agent on its own machine.
    pushed: bool,
    /// Discovery at `d` confirms the list by itself.
    confirmed: bool,
    listeners: HashMap<String, TcpListener>,
    conns: HashMap<String, Conn>,
    peer: UdpSocket,
    file: PathBuf,
    listed: Vec<(String, SocketAddr)>,
    /// The clients' socket, where it is passed, and the folder where two processes meet.
    passed: Option<(TcpListener, PathBuf)>,
    /// What differs from the usual configuration.
    settings: Vec<(String, String)>,
    /// When `mark` was last said.
    marked: Instant,
    /// The program's memory when `weigh` was last said, in KiB.
    weight: u64,
    /// The program stands still.
    held: bool,
    /// What has been laid meanwhile: the connection's place, whether it was ended, and how often it was not to be found.
    pending: Vec<(String, bool, u32)>,
    /// Where listeners were that have been closed.
    refusing: Vec<OwnedFd>,
}

/// Waits until this is so.
fn eventually(why: &str, mut so: impl FnMut() -> bool) -> Result<(), String> {
    let since = Instant::now();
    while !so() {
        if since.elapsed() > LIMIT {
            return Err(why.to_owned());
        }
        thread::sleep(Duration::from_millis(1));
    }
    Ok(())
}

/// The configuration with other values at some places.
fn with<T: AsRef<str>>(text: &str, settings: &[(T, T)]) -> String {
    let mut all: serde_json::Value = serde_json::from_str(text).expect("the configuration is JSON");
    for (at, value) in settings {
        let (parent, name) = at.as_ref().rsplit_once('/').expect("a JSON pointer");
        let value = serde_json::from_str(value.as_ref()).expect("a value in JSON");
        match all.pointer_mut(parent).expect("a place in the configuration") {
            serde_json::Value::Array(list) => list[name.parse::<usize>().expect("a place in a list")] = value,
            other => other[name] = value,
        }
    }
    all.to_string()
}

/// The configuration, with these next hops as the list last known.
fn config(hops: &[(String, SocketAddr)], discovery: SocketAddr, peer: SocketAddr, pushed: bool) -> String {
    let line = |(name, dial): &(String, SocketAddr)| {
        format!(
            r#"{{"host":"{name}","dial":"{dial}","site":"north","class":"big","block":0,"health":"in_service","share":1.0,"born_ms":0}}"#
        )
    };
    let hosts: Vec<String> = hops.iter().map(line).collect();
    let mode = if pushed { "automatic" } else { "subscribe" };
    // Where `d` is to be asked and a scenario leaves it silent, the list must not grow too old while a busy machine plays.
    let grace = if pushed { 500_000 } else { 60_000_000 };
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

/// An operator file with these HTTP workers, and these lines of its own.
fn operator_file(hops: &[(String, SocketAddr)], lines: &str) -> String {
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
    for (name, dial) in hops {
        text += &format!("http-worker \"{name}\" address=\"{dial}\" lanes=1\n");
    }
    text + lines
}

/// How the program is started.
#[derive(Clone, Copy)]
pub struct Setup<'a> {
    /// Workers that the list has to begin with.
    pub workers: usize,
    /// The system gives the program no more descriptors.
    pub max_descriptors: u32,
    /// The clients' socket is passed, and leftovers lie where two processes meet.
    pub pass_socket: bool,
    /// Lists are pushed: `d` is the agent on the program's own machine.
    pub pushed_list: bool,
    /// It runs under an operator file with these lines of its own.
    pub operator: Option<&'a str>,
    /// What differs from the usual configuration: where it stands, as a JSON pointer, and what stands there, as JSON.
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
    /// Starts the program, and plays the scenario.
    pub fn run(self, script: &str) {
        TestRun::start(self, script).run(script);
    }
}

/// Starts the program under an operator file with so many HTTP workers and these lines, and plays the scenario.
pub fn run_with_operator_file(workers: usize, lines: &str, script: &str) {
    Setup { workers, operator: Some(lines), ..Setup::default() }.run(script);
}

/// Starts the program with so many next hops, and plays the scenario.
pub fn run_scenario(workers: usize, script: &str) {
    Setup { workers, ..Setup::default() }.run(script);
}

/// The same, where the system gives the program no more than so many descriptors.
pub fn run_with_max_descriptors(workers: usize, max_descriptors: u32, script: &str) {
    Setup { workers, max_descriptors, ..Setup::default() }.run(script);
}

/// The same, where lists are pushed: `d` is the agent on the program's own machine. `pass`: the clients' socket is passed.
pub fn run_with_pushed_list(workers: usize, pass_socket: bool, script: &str) {
    Setup { workers, pass_socket, pushed_list: true, ..Setup::default() }.run(script);
}

/// The same, where the clients' socket is passed to the program, and leftovers lie where two processes meet.
pub fn run_with_passed_socket(workers: usize, script: &str) {
    Setup { workers, pass_socket: true, ..Setup::default() }.run(script);
}

impl TestRun {
    fn run(&mut self, script: &str) {
        for (nr, line) in script.lines().map(str::trim).enumerate().filter(|(_, line)| !line.is_empty()) {
            let mut words = line.splitn(3, ' ');
            let (verb, who) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
            let told = self.step(verb, who, words.next().unwrap_or(""));
            told.unwrap_or_else(|why| panic!("line {nr}, '{line}': {why}; the log: {:?}", self.heard));
        }
    }

    fn start(setup: Setup<'_>, script: &str) -> TestRun {
        let Setup { workers, max_descriptors, pass_socket, pushed_list, operator, settings } = setup;
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let bind = || TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let mut listeners: HashMap<String, TcpListener> =
            (1..=workers).map(|nr| (format!("h{nr}"), bind())).collect();
        let place = |listener: &TcpListener| listener.local_addr().expect("it is bound");
        let mut listed: Vec<_> =
            listeners.iter().map(|(name, listener)| (name.clone(), place(listener))).collect();
        listed.sort();
        listeners.insert("d".to_owned(), bind());
        listeners.insert("d2".to_owned(), bind());
        let spoken_for = speaks_for(script, "d") || speaks_for(script, "d2");
        let confirmed = operator.is_none() && !pushed_list && !spoken_for;
        for name in ["d", "d2"].into_iter().filter(|_| confirmed) {
            let listener = listeners[name].try_clone().expect("a listener can be shared");
            discovery::confirm_list_forever(listener);
        }
        let peer = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
        peer.set_read_timeout(Some(LIMIT)).expect("a limit can be set");
        let (text, form) = match operator {
            Some(lines) => (operator_file(&listed, lines), "kdl"),
            None => (
                with(
                    &config(
                        &listed,
                        place(&listeners["d"]),
                        peer.local_addr().expect("it is bound"),
                        pushed_list,
                    ),
                    settings,
                ),
                "json",
            ),
        };
        let nr = NEXT.fetch_add(1, Ordering::Relaxed);
        let file = std::env::temp_dir().join(format!("calicolb-{}-{nr}.{form}", std::process::id()));
        fs::write(&file, text).expect("the configuration is written");
        let passed = pass_socket.then(|| {
            let dir = file.with_extension("tmp");
            fs::create_dir(&dir).expect("a folder is made");
            drop(UnixListener::bind(dir.join("calicolb.sock")).expect("leftovers are made"));
            (bind(), dir)
        });
        let (program, log) = start_program(&file, max_descriptors, passed.as_ref(), "");
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
        let conns = HashMap::new();
        let mut world = TestRun {
            program,
            predecessors: Vec::new(),
            log,
            heard: Vec::new(),
            at: nowhere,
            door_at: nowhere,
            peers_at: nowhere,
            gearman_at: nowhere,
            kept: HashMap::new(),
            appliance: operator.is_some(),
            pushed: pushed_list,
            confirmed,
            listeners,
            conns,
            peer,
            file,
            listed,
            passed,
            settings: settings.iter().map(|(at, value)| (at.to_string(), value.to_string())).collect(),
            marked: Instant::now(),
            weight: 0,
            held: false,
            pending: Vec::new(),
            refusing: Vec::new(),
        };
        world.find().expect("it tells where it is");
        world
    }

    /// Learns from its log where the program is to be reached.
    fn find(&mut self) -> Result<(), String> {
        let address = |text: String| text.parse().map_err(|_| format!("'{text}' is no address"));
        let before = self.heard.len();
        self.door_at = address(self.hear("listens for operators on ")?)?;
        if self.appliance {
            self.gearman_at = address(self.hear("speaks Gearman on ")?)?;
            self.at = address(self.hear("serves on ")?)?;
            return Ok(());
        }
        // Where schedulers may not talk it hears none.
        if !self.settings.contains(&("/settings/ceilings/peers".to_owned(), "false".to_owned())) {
            self.peers_at = address(self.hear("listens for schedulers on ")?)?;
        }
        self.at = address(self.hear("serves on ")?)?;
        // It may have said so before it served.
        let in_force = "discovery: the list is confirmed";
        if self.confirmed && !self.heard[before..].iter().any(|line| line.contains(in_force)) {
            self.hear(in_force)?;
        }
        Ok(())
    }

    /// The memory that the program has, in KiB.
    fn resident(&self) -> Result<u64, String> {
        let path = format!("/proc/{}/status", self.program.id());
        let status = fs::read_to_string(path).map_err(|error| error.to_string())?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        number.ok_or_else(|| "the system does not say".to_owned())
    }

    /// Waits for a log line with this text; gives what follows it.
    fn hear(&mut self, text: &str) -> Result<String, String> {
        // One limit for all lines: a program that goes on logging must not hold the test for ever.
        let until = Instant::now() + LIMIT;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let line = self.log.recv_timeout(left).map_err(|_| format!("the log never said '{text}'"))?;
            self.heard.push(line.clone());
            if let Some((_, rest)) = line.split_once(text) {
                return Ok(rest.to_owned());
            }
        }
    }

    fn process(&mut self, who: &str) -> Result<&mut Child, String> {
        if who == "program" {
            Ok(&mut self.program)
        } else {
            self.predecessors.last_mut().ok_or("no predecessor".to_owned())
        }
    }

    fn conn(&mut self, who: &str) -> Result<&mut Conn, String> {
        if !self.conns.contains_key(who) {
            let stream = match who.split('.').next().unwrap_or("") {
                name if name.starts_with(['c', 'n']) => {
                    TcpStream::connect(self.at).map_err(|e| e.to_string())?
                }
                name if name.starts_with(['g', 'w']) => {
                    TcpStream::connect(self.gearman_at).map_err(|e| e.to_string())?
                }
                name if name.starts_with('o') => {
                    TcpStream::connect(self.door_at).map_err(|e| e.to_string())?
                }
                name => accept(self.listeners.get(name).ok_or("nobody of this name")?)?,
            };
            stream.set_read_timeout(Some(LIMIT)).map_err(|error| error.to_string())?;
            self.conns.insert(who.to_owned(), Conn { stream, held: Vec::new() });
        }
        self.conns.get_mut(who).ok_or_else(|| "no connection".to_owned())
    }

    fn write(&mut self, who: &str, bytes: &[u8]) -> Result<(), String> {
        let conn = self.conn(who)?;
        conn.stream.write_all(bytes).map_err(|error| error.to_string())?;
        let at = conn.stream.local_addr().map_err(|error| error.to_string())?;
        self.laid(at, false)
    }

    /// What was written, or the end, of this connection of a scenario's has to lie at the program's side before that goes on.
    fn laid(&mut self, at: SocketAddr, closed: bool) -> Result<(), String> {
        let SocketAddr::V4(at) = at else { return Err(format!("{at} is not IPv4")) };
        let place = format!("{:08X}:{:04X}", u32::from_le_bytes(at.ip().octets()), at.port());
        if self.held {
            self.pending.retain(|other| other.0 != place);
            self.pending.push((place, closed, 0));
        }
        Ok(())
    }

    /// Waits until all that was laid while the program stood still has come to its side: on a busy machine the system brings
    /// it there some time later, and in another order. What is looked for is in the system's table, which may pass over a
    /// line while others change: an end that is not listed any more, reset, is believed after some looks.
    fn arrived(&mut self) -> Result<(), String> {
        let mut pending = std::mem::take(&mut self.pending);
        eventually("what was laid does not arrive", || {
            let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
            let words = |line: &str| line.split_whitespace().take(5).map(str::to_owned).collect::<Vec<_>>();
            let states: HashMap<String, (String, String)> = table
                .lines()
                .map(words)
                .filter(|words| words.len() == 5 && !words[2].ends_with(":0000"))
                .map(|words| (words[1].clone(), (words[3].clone(), words[4].clone())))
                .collect();
            pending.retain_mut(|(place, closed, missed)| match states.get(place) {
                // States 1 and 4: open, or an end that the other side does not have yet.
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

    /// Nobody can connect to this worker until there is `room`: one connection waits to be accepted, and there is space for
    /// no other. Who tries is let in some time, a second or so, after that.
    fn crowd(&mut self, name: &str) -> std::io::Result<()> {
        let listener = self.listeners.get(name).ok_or(ErrorKind::NotFound)?;
        // Said again, it changes how many may wait.
        rustix::net::listen(listener, 0)?;
        let at = listener.local_addr()?;
        let stream = TcpStream::connect(at)?;
        self.conns.insert(format!("crowd {name}"), Conn { stream, held: Vec::new() });
        Ok(())
    }

    fn step(&mut self, verb: &str, who: &str, rest: &str) -> Result<(), String> {
        match (verb, who) {
            ("send", "program" | "predecessor") => {
                if rest == "CONT" {
                    self.arrived()?;
                }
                let (signal, id) = (format!("-{rest}"), self.process(who)?.id().to_string());
                let killed = Command::new("kill").args([&signal, &id]).status();
                killed.map_err(|error| error.to_string())?;
                self.held = if rest == "STOP" { true } else { self.held && rest != "CONT" };
                // It stands still only once the system says so.
                let still = |text: String| text.rsplit(") ").next().is_some_and(|rest| rest.starts_with('T'));
                eventually("it does not stand still", || {
                    rest != "STOP" || fs::read_to_string(format!("/proc/{id}/stat")).is_ok_and(still)
                })
            }
            ("send", "file") => {
                let text = match rest.strip_prefix("raw ") {
                    Some(text) => text.to_owned(),
                    None => {
                        let place = |at: std::io::Result<SocketAddr>| at.map_err(|error| error.to_string());
                        let discovery = self.listeners.get(rest).ok_or("nobody of this name")?.local_addr();
                        let text = config(
                            &self.listed,
                            place(discovery)?,
                            place(self.peer.local_addr())?,
                            self.pushed,
                        );
                        with(&text, &self.settings)
                    }
                };
                fs::write(&self.file, text).map_err(|error| error.to_string())
            }
            ("never", first) => {
                let text = format!("{first} {rest}");
                self.heard.extend(self.log.try_iter());
                match self.heard.iter().find(|line| line.contains(&text)) {
                    Some(line) => Err(format!("the log says '{line}'")),
                    None => Ok(()),
                }
            }
            ("set", at) => {
                self.settings.retain(|(before, _)| before != at);
                self.settings.push((at.to_owned(), rest.to_owned()));
                Ok(())
            }
            ("weigh", "program") => {
                self.weight = self.resident()?;
                Ok(())
            }
            ("gained", most) => {
                let most: u64 = most.parse().map_err(|_| format!("'{most}' is no number"))?;
                let now = self.resident()?;
                let gained = now.saturating_sub(self.weight);
                if gained <= most { Ok(()) } else { Err(format!("it has gained {gained} KiB, to {now}")) }
            }
            ("restart", "program") => {
                self.program.kill().map_err(|error| error.to_string())?;
                self.program.wait().map_err(|error| error.to_string())?;
                (self.program, self.log) = start_program(&self.file, 1024, self.passed.as_ref(), "");
                self.find()
            }
            ("start", "successor") => {
                let (program, log) = start_program(&self.file, 1024, self.passed.as_ref(), rest);
                self.predecessors.push(std::mem::replace(&mut self.program, program));
                // The old one goes on logging to nobody: it must not stop for that.
                let old = std::mem::replace(&mut self.log, log);
                thread::spawn(move || old.iter().for_each(drop));
                self.find()
            }
            ("mark", _) => {
                self.marked = Instant::now();
                Ok(())
            }
            ("after" | "within", span) => {
                let span = Duration::from_millis(span.parse().map_err(|_| format!("'{span}' is no span"))?);
                let passed = self.marked.elapsed();
                let right = if verb == "after" { passed >= span } else { passed <= span };
                if right { Ok(()) } else { Err(format!("{passed:?} have passed")) }
            }
            ("until", span) => {
                let span = Duration::from_millis(span.parse().map_err(|_| format!("'{span}' is no span"))?);
                thread::sleep(span.saturating_sub(self.marked.elapsed()));
                Ok(())
            }
            ("info", line) => {
                let since = Instant::now();
                while since.elapsed() < LIMIT {
                    let mut door = TcpStream::connect(self.door_at).map_err(|error| error.to_string())?;
                    door.write_all(b"INFO\n").map_err(|error| error.to_string())?;
                    let mut told = String::new();
                    door.read_to_string(&mut told).map_err(|error| error.to_string())?;
                    if told.lines().any(|told| told == line) {
                        return Ok(());
                    }
                    thread::sleep(Duration::from_millis(5));
                }
                Err("operators were never told so".to_owned())
            }
            ("up", _) => {
                let since = Instant::now();
                loop {
                    self.step("send", who, "GET /up")?;
                    match self.step("expect", who, "200") {
                        Err(_) if since.elapsed() < LIMIT => thread::sleep(Duration::from_millis(50)),
                        other => return other,
                    }
                }
            }
            ("take", _) => self.conn(who).map(drop),
            ("ends", _) => match self.conn(who)?.read(&mut [0; 64]) {
                Ok(0) => Ok(()),
                other => Err(format!("it does not end in order: {other:?}")),
            },
            ("none", name) => {
                let listener = self.listeners.get(name).ok_or("nobody of this name")?;
                listener.set_nonblocking(true).map_err(|error| error.to_string())?;
                match listener.accept() {
                    Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(()),
                    other => Err(format!("somebody connected: {other:?}")),
                }
            }
            ("crowd", name) => self.crowd(name).map_err(|error| error.to_string()),
            ("room", name) => {
                let listener = self.listeners.get(name).ok_or("nobody of this name")?;
                accept(listener).map(drop)
            }
            ("expect", "program") => self.hear(rest).map(drop),
            ("wait", "program" | "predecessor") => {
                let since = Instant::now();
                while since.elapsed() < LIMIT {
                    if let Some(status) = self.process(who)?.try_wait().map_err(|error| error.to_string())? {
                        return if status.success() {
                            Ok(())
                        } else {
                            Err(format!("it ended with {status}"))
                        };
                    }
                    thread::sleep(Duration::from_millis(5));
                }
                Err("it runs on".to_owned())
            }
            ("send", "p") => {
                self.peer.send_to(&bytes(rest), self.peers_at).map(drop).map_err(|e| e.to_string())
            }
            ("expect", "p") => {
                let mut got = [0; 512];
                // What it tells of its own accord, a greeting at its start say, may come before.
                loop {
                    let (length, _) = self.peer.recv_from(&mut got).map_err(|error| error.to_string())?;
                    if got[..length] == bytes(rest) {
                        return Ok(());
                    }
                }
            }
            ("send", name) if name.starts_with(['g', 'w']) => {
                let bytes = packet(rest, &self.kept)?;
                self.write(who, &bytes)
            }
            ("expect", name) if name.starts_with(['g', 'w']) && rest.starts_with("text ") => {
                let line = plain(&substitute(&rest["text ".len()..], &self.kept));
                self.conn(who)?.expect_line(&String::from_utf8_lossy(&line))
            }
            ("ready", _) => {
                for (verb, message) in [
                    ("send", format!("CAN_DO {rest}")),
                    ("send", "PRE_SLEEP".to_owned()),
                    ("send", "ECHO_REQ | there".to_owned()),
                    ("expect", "ECHO_RES | there".to_owned()),
                ] {
                    self.step(verb, who, &message)?;
                }
                Ok(())
            }
            ("pull", _) => {
                self.step("expect", who, "NOOP")?;
                self.step("send", who, "GRAB_JOB")?;
                self.step("expect", who, rest)
            }
            ("expect", name) if name.starts_with(['g', 'w']) => {
                let (times, rest) = repeated(rest);
                for _ in 0..times {
                    let (kind, data) = self.conn(who)?.next_packet()?;
                    fits(rest, &kind, &data, &mut self.kept)?;
                }
                Ok(())
            }
            ("send", _) => {
                let text = wire(rest);
                self.write(who, &text)
            }
            ("expect", name) if name.starts_with('o') => self.conn(who)?.expect_line(rest),
            ("expect", _) => self.conn(who)?.expect(rest),
            ("close", _) => {
                if let Some(conn) = self.conns.remove(who) {
                    let at = conn.stream.local_addr().map_err(|error| error.to_string())?;
                    drop(conn);
                    return self.laid(at, true);
                }
                let listener = self.listeners.remove(who).ok_or("nobody of this name")?;
                let at = listener.local_addr().map_err(|error| error.to_string())?;
                drop(listener);
                // Nobody listens there, and no other test may: its program goes on calling. A process that another test
                // is just starting may hold the listener for a moment.
                let keep = || -> std::io::Result<OwnedFd> {
                    let socket = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None)?;
                    rustix::net::sockopt::set_socket_reuseaddr(&socket, true)?;
                    rustix::net::bind(&socket, &at)?;
                    Ok(socket)
                };
                let mut kept = None;
                eventually("the listener does not go", || {
                    kept = keep().ok();
                    kept.is_some()
                })?;
                self.refusing.extend(kept);
                Ok(())
            }
            ("wait", _) => {
                let conn = self.conn(who)?;
                match conn.read(&mut [0; 64]) {
                    Ok(0) => Ok(()),
                    Err(error) if error.kind() == ErrorKind::ConnectionReset => Ok(()),
                    other => Err(format!("it goes on: {other:?}")),
                }
            }
            _ => Err("no such step".to_owned()),
        }
    }
}

impl Drop for TestRun {
    fn drop(&mut self) {
        for process in self.predecessors.iter_mut().chain([&mut self.program]) {
            let _ = process.kill();
            let _ = process.wait();
        }
        let _ = fs::remove_file(&self.file);
        if let Some((_, dir)) = &self.passed {
            let _ = fs::remove_dir_all(dir);
        }
    }
}

/// Starts the program; gives what it logs, line by line. `step`: seconds by which its wall clock is off, if it is.
fn start_program(
    file: &Path,
    descriptors: u32,
    passed: Option<&(TcpListener, PathBuf)>,
    step: &str,
) -> (Child, Receiver<String>) {
    let mut command = Command::new("/bin/sh");
    // A passed socket comes in as standard input, and goes on as descriptor 3.
    let dup = if passed.is_some() { "3<&0 0</dev/null" } else { "" };
    let operator = file.extension().is_some_and(|form| form == "kdl");
    let how = match operator {
        true => format!("serve --log-level debug --gearman 127.0.0.1:0 --operator {}", file.display()),
        false => String::new(),
    };
    command.args([
        "-c",
        &format!("ulimit -n {descriptors} && exec \"$0\" {how} {dup}"),
        env!("CARGO_BIN_EXE_calicolb"),
    ]);
    if let Some((socket, dir)) = passed {
        let socket = socket.try_clone().expect("a socket can be shared");
        command.stdin(OwnedFd::from(socket)).env("RELAY_PASSED_SOCKET", "3").env("TMPDIR", dir);
    }
    if !step.is_empty() {
        command.env("CALICOLB_TEST_CLOCK_STEP_S", step);
    }
    let mut program =
        command.env("RELAY_CONFIG", file).stderr(Stdio::piped()).spawn().expect("the program starts");
    let errors = BufReader::new(program.stderr.take().expect("its log is piped"));
    let (tell, log) = channel();
    thread::spawn(move || errors.lines().map_while(Result::ok).all(|line| tell.send(line).is_ok()));
    (program, log)
}

/// The scenario speaks for the discovery of this name itself.
fn speaks_for(script: &str, name: &str) -> bool {
    let whom = script.lines().filter_map(|line| line.split_whitespace().nth(1));
    whom.filter_map(|who| who.split('.').next()).any(|who| who == name)
}

/// Takes the next connection, waiting for it no longer than the limit.
fn accept(listener: &TcpListener) -> Result<TcpStream, String> {
    listener.set_nonblocking(true).map_err(|error| error.to_string())?;
    let since = Instant::now();
    while since.elapsed() < LIMIT {
        if let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(false).map_err(|error| error.to_string())?;
            return Ok(stream);
        }
        thread::sleep(Duration::from_millis(2));
    }
    Err("nobody connected".to_owned())
}

/// `1,0,255` as bytes; `#N` as N bytes.
fn bytes(text: &str) -> Vec<u8> {
    match text.strip_prefix('#') {
        Some(count) => vec![b'x'; count.parse().expect("a count")],
        None => text.split(',').map(|part| part.parse().expect("a byte")).collect(),
    }
}

fn pad(word: &str) -> String {
    word.strip_prefix('#')
        .and_then(|count| count.parse().ok())
        .map_or_else(|| word.to_owned(), |n| "x".repeat(n))
}

/// Text with its escapes as the bytes that they mean.
fn plain(text: &str) -> Vec<u8> {
    let (mut out, mut left) = (Vec::new(), text.as_bytes());
    while let [first, rest @ ..] = left {
        let (byte, used) = match (first, rest) {
            (b'\\', [b'r', ..]) => (b'\r', 2),
            (b'\\', [b'n', ..]) => (b'\n', 2),
            (b'\\', [b't', ..]) => (b'\t', 2),
            (b'\\', [b'0', ..]) => (0, 2),
            (b'\\', [b'x', high, low, ..]) => {
                let digits = [*high, *low];
                let digits = std::str::from_utf8(&digits).expect("two digits");
                (u8::from_str_radix(digits, 16).expect("two hexadecimal digits"), 4)
            }
            (&byte, _) => (byte, 1),
        };
        out.push(byte);
        left = &left[used..];
    }
    out
}

/// Puts what was kept in the place of `$NAME` words.
fn substitute(text: &str, kept: &HashMap<String, Vec<u8>>) -> String {
    let mut text = text.to_owned();
    for (name, value) in kept {
        text = text.replace(&format!("${name}"), &String::from_utf8_lossy(value));
    }
    text
}

fn kind_of(name: &str) -> Result<PacketType, String> {
    PacketType::ALL
        .iter()
        .copied()
        .find(|kind| kind.name() == name)
        .ok_or_else(|| format!("no packet is a {name}"))
}

/// The fields of a packet: words, and what stands behind the bar.
fn fields(text: &str) -> Vec<String> {
    let (head, last) = text.split_once(" | ").map_or((text, None), |(head, last)| (head, Some(last)));
    let mut fields: Vec<String> = head.split(' ').skip(1).map(str::to_owned).collect();
    fields.extend(last.map(pad));
    fields
}

/// `times N REST`: how often, and what.
fn repeated(text: &str) -> (usize, &str) {
    let found = text.strip_prefix("times ").and_then(|rest| rest.split_once(' '));
    found.map_or((1, text), |(count, rest)| (count.parse().expect("a count"), rest))
}

/// The bytes of a Gearman packet, or of a line, to send.
fn packet(text: &str, kept: &HashMap<String, Vec<u8>>) -> Result<Vec<u8>, String> {
    let (times, text) = repeated(text);
    if times > 1 {
        return Ok(packet(text, kept)?.repeat(times));
    }
    let text = substitute(text, kept);
    if let Some(text) = text.strip_prefix("raw ") {
        return Ok(plain(text));
    }
    if let Some(line) = text.strip_prefix("text ") {
        return Ok(format!("{line}\n").into_bytes());
    }
    let kind = kind_of(text.split(' ').next().unwrap_or(""))?;
    let fields: Vec<Vec<u8>> =
        fields(&text).iter().map(|field| if field == "~" { Vec::new() } else { plain(field) }).collect();
    let fields: Vec<&[u8]> = fields.iter().map(Vec::as_slice).collect();
    Ok(encode(Sender::Peer, kind, &fields))
}

/// Compares a packet with what is wanted, and keeps what is named.
fn fits(
    want: &str,
    kind: &PacketType,
    data: &[u8],
    kept: &mut HashMap<String, Vec<u8>>,
) -> Result<(), String> {
    let told = || format!("got {kind} {}", data.escape_ascii());
    if kind_of(want.split(' ').next().unwrap_or(""))? != *kind {
        return Err(told());
    }
    let want = fields(want);
    let mut parts = data.splitn(kind.argument_count().max(1), |&byte| byte == 0);
    for field in &want {
        let part = parts.next().ok_or_else(told)?;
        if let Some(name) = field.strip_prefix('$') {
            let known = kept.entry(name.to_owned()).or_insert_with(|| part.to_vec());
            if known != part {
                return Err(told());
            }
        } else if field != "*" && plain(if field == "~" { "" } else { field }) != part {
            return Err(told());
        }
    }
    Ok(())
}

/// The bytes of a message to send.
fn wire(text: &str) -> Vec<u8> {
    if let Some(text) = text.strip_prefix("raw ") {
        return plain(text);
    }
    if text == "watch" {
        return plain(r"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }
    if let Some(text) = text.strip_prefix("chunk ") {
        let text = plain(text);
        return [format!("{:x}\r\n", text.len()).as_bytes(), &text, b"\r\n"].concat();
    }
    let (head, body) = text.split_once(" | ").unwrap_or((text, ""));
    let body = pad(body);
    let mut words = head.split(' ');
    let first = words.next().unwrap_or("");
    let mut out = match first.parse::<u16>() {
        Ok(status) => format!("HTTP/1.1 {status} X\r\n"),
        Err(_) => format!("{first} {} HTTP/1.1\r\nHost: t\r\n", words.next().unwrap_or("/")),
    };
    for (name, value) in words.filter_map(|word| word.split_once(':')) {
        out += &format!("{name}: {}\r\n", pad(value));
    }
    out += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    out.into_bytes()
}

impl Conn {
    /// One read; a signal that interrupts it is none of its business.
    fn read(&mut self, part: &mut [u8]) -> std::io::Result<usize> {
        loop {
            match self.stream.read(part) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                other => return other,
            }
        }
    }

    fn more(&mut self) -> Result<(), String> {
        let mut part = [0; 4096];
        match self.read(&mut part) {
            Ok(0) => Err(format!("it ended after '{}'", String::from_utf8_lossy(&self.held))),
            Ok(count) => {
                self.held.extend_from_slice(&part[..count]);
                Ok(())
            }
            Err(error) => Err(error.to_string()),
        }
    }

    fn next_packet(&mut self) -> Result<(PacketType, Vec<u8>), String> {
        loop {
            match parse(&self.held, Sender::Server, 1 << 20) {
                Ok(Found::Complete(packet, length)) => {
                    let found = (packet.packet_type, self.held[12..length].to_vec());
                    self.held.drain(..length);
                    return Ok(found);
                }
                Ok(Found::Incomplete) => self.more()?,
                other => return Err(format!("no packet: {other:?}")),
            }
        }
    }

    fn expect_line(&mut self, want: &str) -> Result<(), String> {
        loop {
            while let Some(end) = self.held.iter().position(|&byte| byte == b'\n') {
                let line: Vec<u8> = self.held.drain(..=end).collect();
                if line.trim_ascii_end() == want.as_bytes() {
                    return Ok(());
                }
            }
            self.more()?;
        }
    }

    fn expect(&mut self, want: &str) -> Result<(), String> {
        let end = loop {
            match self.held.windows(4).position(|four| four == b"\r\n\r\n") {
                Some(at) => break at + 4,
                None => self.more()?,
            }
        };
        let head = String::from_utf8_lossy(&self.held[..end]).into_owned();
        let header = |name: &str| {
            let mut lines = head.lines().filter_map(|line| line.split_once(": "));
            lines.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.to_owned())
        };
        let length: usize = header("content-length").map_or(0, |text| text.parse().expect("a length"));
        while self.held.len() < end + length {
            self.more()?;
        }
        let body = String::from_utf8_lossy(&self.held[end..end + length]).into_owned();
        self.held.drain(..end + length);
        let (want_head, want_body) =
            want.split_once(" | ").map_or((want, None), |(head, body)| (head, Some(pad(body))));
        let fits = |word: &str| match word.split_once(':') {
            Some((name, "*")) => header(name).is_some(),
            Some((name, value)) => header(name).as_deref() == Some(value),
            None => head.lines().next().unwrap_or("").split(' ').any(|part| part == word),
        };
        if want_head.split(' ').all(fits) && want_body.is_none_or(|want| want == body) {
            return Ok(());
        }
        Err(format!("got {head:?} with {body:?}"))
    }
}
