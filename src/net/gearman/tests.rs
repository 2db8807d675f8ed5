//! What sockets of the usual size do not show: a worker that goes while its job is being written.

use super::*;
use crate::config::PriorityClass;
use crate::net::core::deadlines::Deadlines;
use crate::net::core::request_table::{Command, RequestTable};
use calicolb::api::{Class, ClassIx, Effect};
use calicolb::wire::{self, Names};
use mio::Poll;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

const SECOND: Micros = 1_000_000;

struct Table {
    poll: Poll,
    names: Names,
    deadlines: Deadlines,
    desk: RequestTable<Payload>,
    tokens: usize,
    now: Micros,
}

impl Table {
    fn new() -> (Table, Gearman) {
        let info = r#"{"azs":["a"],"kinds":["k"],"ceilings":{"cancelling":true,"most_tries":4},
            "request_classes":[{"name":"book","aim_us":900000,"deadline_us":9000000,"effect":"non_idempotent"}]}"#;
        let (settings, names) = wire::parse_settings(info).expect("the settings are sound");
        let now = 50 * SECOND;
        let desk = RequestTable::new(settings, 1, now, 100);
        let poll = Poll::new().expect("a poll can be had");
        let mut table = Table { poll, names, deadlines: Deadlines::default(), desk, tokens: 100, now };
        let grades = [PriorityClass { class: ClassIx(0), client_timeout: 9 * SECOND }; 3];
        let (name, background) = ("book".to_owned(), SECOND);
        let config = GearmanConfig {
            listen: "127.0.0.1:0".parse().expect("it is an address"),
            functions: vec![Function {
                name,
                skill: 1,
                priority_classes: grades,
                background_timeout: background,
                takes_http_jobs: false,
            }],
            classes: vec!["book".to_owned()],
            zone: calicolb::api::ZoneIx(0),
            kind: calicolb::api::KindIx(0),
            admin_changes: false,
            max_remembered_jobs: 1,
            max_workload_bytes: 64 * 1024,
            name: "t".to_owned(),
        };
        let gearman = table.with(|ctx| Gearman::new(ctx, config)).expect("a port is free");
        (table, gearman)
    }

    fn with<T>(&mut self, run: impl FnOnce(&mut Context<'_>) -> T) -> T {
        run(&mut Context {
            registry: self.poll.registry(),
            names: &self.names,
            deadlines: &mut self.deadlines,
            request_table: &mut self.desk,
            last_token: &mut self.tokens,
            unmatched_callbacks: &mut Vec::new(),
            peer_outbox: &mut Vec::new(),
            protocol_requests: &mut Vec::new(),
            now: self.now,
        })
    }

    /// A turn of the loop without its sockets; gives the answers.
    fn turn(&mut self, gearman: &mut Gearman) -> Vec<Answer> {
        self.now += 1_000;
        self.with(|ctx| gearman.on_events_gathered(ctx));
        let mut answers = Vec::new();
        for work in self.desk.process_events(self.now, &mut self.deadlines) {
            match work {
                Command::SendAttempt { attempt, worker: hop, payload, timeout: wait } => {
                    self.with(|ctx| gearman.send_attempt(ctx, attempt, hop, &payload, wait));
                }
                Command::SendAnswer { client, answer } => {
                    answers.push(answer.clone());
                    self.with(|ctx| gearman.send_answer(ctx, client, answer));
                }
                _ => {}
            }
        }
        self.with(|ctx| gearman.on_commands_done(ctx));
        answers
    }

    /// Connects, and gives both ends: the number of the one here.
    fn connect(&mut self, gearman: &mut Gearman) -> (TcpStream, ConnId) {
        let at = gearman.listener.local_addr().expect("it is bound");
        let peer = TcpStream::connect(at).expect("it listens");
        let before = gearman.conns.len();
        let until = Instant::now() + Duration::from_secs(10);
        while gearman.conns.len() == before {
            assert!(Instant::now() < until, "nobody connects");
            let token = gearman.token;
            gearman.most = 10;
            self.with(|ctx| gearman.on_ready(ctx, token));
        }
        (peer, gearman.conns.keys().copied().max().expect("there is one"))
    }

    /// Says something, and waits until it is heard.
    fn say(
        &mut self,
        gearman: &mut Gearman,
        (peer, token): (&mut TcpStream, ConnId),
        words: &[(PacketType, &[&[u8]])],
    ) {
        let bytes: Vec<u8> =
            words.iter().flat_map(|(kind, fields)| encode(Sender::Peer, *kind, fields)).collect();
        peer.write_all(&bytes).expect("it is read");
        if let Some(conn) = gearman.conns.get_mut(&token) {
            conn.spoke = false;
        }
        let until = Instant::now() + Duration::from_secs(10);
        while gearman.conns.get(&token).is_some_and(|conn| !conn.spoke) {
            assert!(Instant::now() < until, "it is not heard");
            self.with(|ctx| gearman.on_ready(ctx, token));
        }
    }
}

/// A job of 60,000 bytes is assigned over a connection that holds no more than `room`; then its worker goes.
fn lost(room: usize) -> (bool, Vec<Answer>) {
    let (mut table, mut gearman) = Table::new();
    let (mut worker, at) = table.connect(&mut gearman);
    rustix::net::sockopt::set_socket_send_buffer_size(&gearman.conns[&at].stream, room)
        .expect("it can be set");
    let able: [(PacketType, &[&[u8]]); 2] = [(PacketType::CanDo, &[b"book"]), (PacketType::PreSleep, &[])];
    table.say(&mut gearman, (&mut worker, at), &able);
    table.turn(&mut gearman);
    let (mut client, of) = table.connect(&mut gearman);
    let body = vec![b'x'; 60_000];
    table.say(&mut gearman, (&mut client, of), &[(PacketType::SubmitJob, &[b"book", b"", &body])]);
    assert_eq!(table.turn(&mut gearman), [], "it is taken");
    table.say(&mut gearman, (&mut worker, at), &[(PacketType::GrabJob, &[])]);
    table.turn(&mut gearman);
    let whole = gearman.conns[&at].assigning.is_none();
    table.with(|ctx| gearman.drop_conn(ctx, at));
    let mut answers = table.turn(&mut gearman);
    for _ in 0..10 {
        answers.extend(table.turn(&mut gearman));
    }
    (whole, answers)
}

#[test]
fn the_last_byte_of_an_assignment_decides_what_its_workers_leaving_means() {
    // Not written: it never ran, and to submit it again is harmless ...
    let (whole, answers) = lost(4_096);
    assert!(!whole && matches!(answers[..], [Answer::Busy { .. }]), "{answers:?}");
    // ... written: it may have run, and must not run twice.
    assert_eq!(lost(1 << 20), (true, vec![Answer::Failed]));
}

#[test]
fn functions_go_by_the_classes_that_are_in_force_and_keep_theirs() {
    let (table, mut gearman) = Table::new();
    let class = |deadline, effect| Class { deadline, effect, ..table.desk.settings().classes[0].clone() };
    let book = class(7 * SECOND, Effect::Unsafe);
    assert_eq!(gearman.check_settings(&table.names, std::slice::from_ref(&book)), Ok(()));
    gearman.apply_settings(std::slice::from_ref(&book));
    assert!(
        gearman.config.functions[0].priority_classes.iter().all(|grade| grade.client_timeout == 7 * SECOND)
    );
    assert_eq!(gearman.config.functions[0].background_timeout, SECOND, "it was given a time of its own");
    // Without its class a function cannot be; nor where its classes differ in what a repeat does.
    let other = Names::new(vec!["look".to_owned()], vec![], vec![], vec![]);
    let fault = gearman.check_settings(&other, std::slice::from_ref(&book)).expect_err("its class has gone");
    assert_eq!(fault.key, "request_classes.book");
    gearman.config.functions[0].priority_classes[0].class = ClassIx(1);
    gearman.config.classes.push("look".to_owned());
    let both = Names::new(vec!["book".to_owned(), "look".to_owned()], vec![], vec![], vec![]);
    let fault = gearman.check_settings(&both, &[book, class(SECOND, Effect::Safe)]).expect_err("they differ");
    assert_eq!(fault.key, "request_classes.look.effect");
}
