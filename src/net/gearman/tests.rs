//! Tests that need control over a socket's buffer size or over the settings: a worker that disconnects while its
//! assignment is being written, and settings updates.

use super::*;
use crate::config::PriorityClass;
use crate::net::core::deadlines::Deadlines;
use crate::net::core::input_queue::InputQueue;
use crate::net::core::memory::MemoryAccount;
use crate::net::core::request_table::{Command, RequestTable};
use calicolb::api::{Class, ClassIx, Effect};
use calicolb::wire::{self, Names};
use mio::Poll;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

const SECOND: Micros = 1_000_000;

/// The parts of an event loop that the protocol uses, with a clock that the test sets.
struct TestLoop {
    poll: Poll,
    names: Names,
    deadlines: Deadlines,
    request_table: RequestTable<Payload>,
    input_queue: InputQueue,
    memory: MemoryAccount,
    last_token: usize,
    now: Micros,
}

impl TestLoop {
    fn new() -> (TestLoop, Gearman) {
        let info = r#"{"azs":["a"],"kinds":["k"],"ceilings":{"cancelling":true,"most_tries":4},
            "request_classes":[{"name":"book","aim_us":900000,"deadline_us":9000000,"effect":"non_idempotent"}]}"#;
        let (settings, names) = wire::parse_settings(info).expect("failed to parse the settings of the test");
        let now = 50 * SECOND;
        let request_table = RequestTable::new(settings, 1, now, 100);
        let poll = Poll::new().expect("failed to create a poll");
        let mut test_loop = TestLoop {
            poll,
            names,
            deadlines: Deadlines::default(),
            request_table,
            input_queue: InputQueue::default(),
            memory: MemoryAccount::new(usize::MAX),
            last_token: 100,
            now,
        };
        let priority_classes = [PriorityClass { class: ClassIx(0), client_timeout: 9 * SECOND }; 3];
        let (name, background_timeout) = ("book".to_owned(), SECOND);
        let config = GearmanConfig {
            listen: "127.0.0.1:0".parse().expect("failed to parse the listen address"),
            functions: vec![Function {
                name,
                skill: 1,
                priority_classes,
                background_timeout,
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
        let gearman = test_loop
            .with_context(|ctx| Gearman::new(ctx, config))
            .expect("failed to listen on a free port of 127.0.0.1");
        (test_loop, gearman)
    }

    fn with_context<T>(&mut self, run: impl FnOnce(&mut Context<'_>) -> T) -> T {
        run(&mut Context {
            registry: self.poll.registry(),
            names: &self.names,
            deadlines: &mut self.deadlines,
            request_table: &mut self.request_table,
            last_token: &mut self.last_token,
            unmatched_callbacks: &mut Vec::new(),
            peer_outbox: &mut Vec::new(),
            protocol_requests: &mut Vec::new(),
            input_queue: &mut self.input_queue,
            memory: &self.memory,
            now: self.now,
        })
    }

    /// Runs an iteration of the event loop without polling sockets. Returns the answers to clients.
    fn run_iteration(&mut self, gearman: &mut Gearman) -> Vec<Answer> {
        self.now += 1_000;
        self.with_context(|ctx| gearman.on_events_gathered(ctx));
        let mut answers = Vec::new();
        for command in self.request_table.process_events(self.now, &mut self.deadlines) {
            match command {
                Command::SendAttempt { attempt, worker, payload, timeout } => {
                    self.with_context(|ctx| gearman.send_attempt(ctx, attempt, worker, &payload, timeout));
                }
                Command::SendAnswer { client, answer } => {
                    answers.push(answer.clone());
                    self.with_context(|ctx| gearman.send_answer(ctx, client, answer));
                }
                _ => {}
            }
        }
        self.with_context(|ctx| gearman.on_commands_done(ctx));
        answers
    }

    /// Connects to the listener. Returns the peer's socket and the token of the accepted connection.
    fn connect(&mut self, gearman: &mut Gearman) -> (TcpStream, ConnectionId) {
        let address = gearman.listener.local_addr().expect("the listener has no address");
        let peer = TcpStream::connect(address).expect("failed to connect to the listener");
        let connections_before = gearman.connections.len();
        let test_deadline = Instant::now() + Duration::from_secs(10);
        while gearman.connections.len() == connections_before {
            assert!(Instant::now() < test_deadline, "no connection was accepted within 10 s");
            let token = gearman.listener_token;
            gearman.max_connections = 10;
            self.with_context(|ctx| gearman.on_ready(ctx, token));
        }
        (peer, gearman.connections.keys().copied().max().expect("no connection is open"))
    }

    /// Sends packets from a peer, and waits until one has been processed.
    fn send_and_process(
        &mut self,
        gearman: &mut Gearman,
        (peer, token): (&mut TcpStream, ConnectionId),
        packets: &[(PacketType, &[&[u8]])],
    ) {
        let bytes: Vec<u8> = packets
            .iter()
            .flat_map(|(packet_type, arguments)| encode(Sender::Peer, *packet_type, arguments))
            .collect();
        peer.write_all(&bytes).expect("failed to send the packets");
        if let Some(connection) = gearman.connections.get_mut(&token) {
            connection.has_sent_message = false;
        }
        let test_deadline = Instant::now() + Duration::from_secs(10);
        while gearman.connections.get(&token).is_some_and(|connection| !connection.has_sent_message) {
            assert!(Instant::now() < test_deadline, "no packet was processed within 10 s");
            self.with_context(|ctx| gearman.on_ready(ctx, token));
        }
    }
}

/// Assigns a job of 60,000 bytes over a connection with a send buffer of this size, then closes the connection. Returns
/// whether the assignment was completely written, and the answers to the client.
fn close_worker_during_assignment(send_buffer_size: usize) -> (bool, Vec<Answer>) {
    let (mut test_loop, mut gearman) = TestLoop::new();
    let (mut worker, worker_token) = test_loop.connect(&mut gearman);
    rustix::net::sockopt::set_socket_send_buffer_size(
        &gearman.connections[&worker_token].stream,
        send_buffer_size,
    )
    .expect("failed to set the size of the send buffer");
    let registration: [(PacketType, &[&[u8]]); 2] =
        [(PacketType::CanDo, &[b"book"]), (PacketType::PreSleep, &[])];
    test_loop.send_and_process(&mut gearman, (&mut worker, worker_token), &registration);
    test_loop.run_iteration(&mut gearman);
    let (mut client, client_token) = test_loop.connect(&mut gearman);
    let workload = vec![b'x'; 60_000];
    test_loop.send_and_process(
        &mut gearman,
        (&mut client, client_token),
        &[(PacketType::SubmitJob, &[b"book", b"", &workload])],
    );
    assert_eq!(test_loop.run_iteration(&mut gearman), [], "the job was answered before it was assigned");
    test_loop.send_and_process(&mut gearman, (&mut worker, worker_token), &[(PacketType::GrabJob, &[])]);
    test_loop.run_iteration(&mut gearman);
    let is_written = gearman.connections[&worker_token].unwritten_assignment.is_none();
    test_loop.with_context(|ctx| gearman.remove_connection(ctx, worker_token));
    let mut answers = test_loop.run_iteration(&mut gearman);
    for _ in 0..10 {
        answers.extend(test_loop.run_iteration(&mut gearman));
    }
    (is_written, answers)
}

#[test]
fn a_worker_that_closes_before_its_assignment_is_written_refuses_the_job_and_after_it_fails_the_job() {
    // The assignment was not completely written, so the job has not run and can safely be submitted again.
    let (is_written, answers) = close_worker_during_assignment(4_096);
    assert!(!is_written && matches!(answers[..], [Answer::Busy { .. }]), "{answers:?}");
    // The assignment was completely written, so the job may have run and must not run again.
    assert_eq!(close_worker_during_assignment(1 << 20), (true, vec![Answer::Failed]));
}

#[test]
fn functions_follow_updated_classes_and_reject_settings_without_their_class_or_with_differing_effects() {
    let (test_loop, mut gearman) = TestLoop::new();
    let class = |deadline, effect| Class {
        deadline,
        effect,
        ..test_loop.request_table.settings().classes[0].clone()
    };
    let book = class(7 * SECOND, Effect::Unsafe);
    assert_eq!(gearman.check_settings(&test_loop.names, std::slice::from_ref(&book)), Ok(()));
    gearman.apply_settings(std::slice::from_ref(&book));
    assert!(
        gearman.config.functions[0]
            .priority_classes
            .iter()
            .all(|priority| priority.client_timeout == 7 * SECOND)
    );
    assert_eq!(
        gearman.config.functions[0].background_timeout, SECOND,
        "the configured background timeout does not follow the class"
    );
    // The settings must contain the class of each function, and all classes of a function must have the same effect.
    let other_names = Names::new(vec!["look".to_owned()], vec![], vec![], vec![]);
    let error = gearman
        .check_settings(&other_names, std::slice::from_ref(&book))
        .expect_err("settings without the class 'book' were accepted");
    assert_eq!(error.key, "request_classes.book");
    gearman.config.functions[0].priority_classes[0].class = ClassIx(1);
    gearman.config.classes.push("look".to_owned());
    let both_names = Names::new(vec!["book".to_owned(), "look".to_owned()], vec![], vec![], vec![]);
    let error = gearman
        .check_settings(&both_names, &[book, class(SECOND, Effect::Safe)])
        .expect_err("classes with different effects were accepted");
    assert_eq!(error.key, "request_classes.look.effect");
}

// Guards picture (a) over Gearman: peers that stop in the middle of a packet hold memory, and a worker with a job pays for it.
#[test]
fn incomplete_packets_are_given_up_for_memory_but_not_that_of_a_worker_with_a_job() {
    let (mut test_loop, mut gearman) = TestLoop::new();
    let (mut worker, worker_token) = test_loop.connect(&mut gearman);
    let registration: [(PacketType, &[&[u8]]); 2] =
        [(PacketType::CanDo, &[b"book"]), (PacketType::PreSleep, &[])];
    test_loop.send_and_process(&mut gearman, (&mut worker, worker_token), &registration);
    test_loop.run_iteration(&mut gearman);
    let (mut client, client_token) = test_loop.connect(&mut gearman);
    let submission: [(PacketType, &[&[u8]]); 1] = [(PacketType::SubmitJob, &[b"book", b"", b"x"])];
    test_loop.send_and_process(&mut gearman, (&mut client, client_token), &submission);
    test_loop.run_iteration(&mut gearman);
    test_loop.send_and_process(&mut gearman, (&mut worker, worker_token), &[(PacketType::GrabJob, &[])]);
    test_loop.run_iteration(&mut gearman);
    let (mut stopped, stopped_token) = test_loop.connect(&mut gearman);
    let packet = encode(Sender::Peer, PacketType::WorkComplete, &[b"H:t:1", &[b'x'; 40_000]]);
    for (peer, token) in [(&mut worker, worker_token), (&mut stopped, stopped_token)] {
        peer.write_all(&packet[..30_000]).expect("failed to send a part of a packet");
        let test_deadline = Instant::now() + Duration::from_secs(10);
        while gearman.connections[&token].buffer.input().len() < 30_000 {
            assert!(Instant::now() < test_deadline, "the part of the packet did not arrive within 10 s");
            test_loop.with_context(|ctx| gearman.on_ready(ctx, token));
        }
    }
    assert!(test_loop.memory.used() >= 60_000, "{}", test_loop.memory.used());
    assert!(test_loop.with_context(|ctx| gearman.shed_memory(ctx)));
    assert!(gearman.connections[&stopped_token].closing && !gearman.connections[&worker_token].closing);
    assert!(test_loop.memory.used() < 60_000, "{}", test_loop.memory.used());
    assert!(!test_loop.with_context(|ctx| gearman.shed_memory(ctx)), "the packet of a worker was given up");
}
