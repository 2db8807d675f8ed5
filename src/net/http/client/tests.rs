//! Tests of client connections whose input or end arrives after the poll and before a deadline of the same iteration is
//! handled.

use super::reading::FILL_BYTES;
use super::*;
use crate::net::core::deadlines::Deadlines;
use crate::net::core::envelope::Payload;
use crate::net::core::input_queue::InputQueue;
use crate::net::core::iteration::MAX_MESSAGES_PER_TURN;
use crate::net::core::memory::MemoryAccount;
use crate::net::core::request_table::RequestTable;
use calicolb::wire::{self, Names};
use mio::Poll;
use std::io::{Read, Write};
use std::net::TcpStream as ClientStream;
use std::time::{Duration, Instant};

const REQUEST: &[u8] =
    b"POST /book HTTP/1.1\r\nRequest-Id: a1\r\nRequest-Timeout: 9\r\nContent-Length: 0\r\n\r\n";

struct Fixture {
    poll: Poll,
    names: Names,
    deadlines: Deadlines,
    request_table: RequestTable<Payload>,
    input_queue: InputQueue,
    memory: MemoryAccount,
    tokens: usize,
    unmatched_callbacks: Vec<String>,
    now: Micros,
}

impl Fixture {
    fn new() -> (Fixture, ClientConnections) {
        let info = r#"{"azs":["a"],"kinds":["k"],"ceilings":{"cancelling":true,"most_tries":4},
            "request_classes":[{"name":"book","aim_us":900000,"deadline_us":9000000,"effect":"non_idempotent"}]}"#;
        let (settings, names) = wire::parse_settings(info).expect("the settings are valid");
        let now = 50 * SECOND;
        let request_table = RequestTable::new(settings, 1, now, 100);
        let poll = Poll::new().expect("creating the poll");
        let mut fixture = Fixture {
            poll,
            names,
            deadlines: Deadlines::default(),
            request_table,
            input_queue: InputQueue::default(),
            memory: MemoryAccount::new(usize::MAX),
            tokens: 100,
            unmatched_callbacks: Vec::new(),
            now,
        };
        let at = "127.0.0.1:0".parse().expect("parsing the listen address");
        let mut clients = ClientConnections::new(TcpListener::bind(at).expect("binding a free port"), 1);
        fixture.with(|ctx| clients.listen(ctx)).expect("registering the listener");
        fixture.with(|ctx| clients.set_max_connections(ctx, 10));
        (fixture, clients)
    }

    fn with<T>(&mut self, run: impl FnOnce(&mut Context<'_>) -> T) -> T {
        run(&mut Context {
            registry: self.poll.registry(),
            names: &self.names,
            deadlines: &mut self.deadlines,
            request_table: &mut self.request_table,
            last_token: &mut self.tokens,
            unmatched_callbacks: &mut self.unmatched_callbacks,
            peer_outbox: &mut Vec::new(),
            protocol_requests: &mut Vec::new(),
            input_queue: &mut self.input_queue,
            memory: &self.memory,
            now: self.now,
        })
    }

    /// Connects a client. Returns the client's stream and the token of the accepted connection.
    fn connect(&mut self, clients: &mut ClientConnections) -> (ClientStream, usize) {
        let client =
            ClientStream::connect(clients.listener.local_addr().expect("local address of the listener"))
                .expect("connecting to the listener");
        let before = clients.connections.len();
        until(|| {
            self.with(|ctx| clients.handle_ready(ctx, 1));
            clients.connections.len() > before
        });
        (client, clients.connections.keys().copied().max().expect("an accepted connection"))
    }
}

/// Repeats a step until it returns true, for at most 20 s.
fn until(mut done: impl FnMut() -> bool) {
    let limit = Instant::now() + Duration::from_secs(20);
    while !done() {
        assert!(Instant::now() < limit, "condition not met within 20 s");
    }
}

/// Reads everything that the client still receives, up to the end of the connection.
fn read_to_end(mut client: ClientStream) -> String {
    let mut text = String::new();
    client.read_to_string(&mut text).expect("reading up to an orderly end of the connection");
    text
}

#[test]
fn request_that_arrives_as_the_idle_timeout_expires_is_accepted() {
    for had_request in [false, true] {
        let (mut fixture, mut clients) = Fixture::new();
        let (mut client, connection) = fixture.connect(&mut clients);
        if had_request {
            client.write_all(b"GET /up HTTP/1.1\r\n\r\n").expect("sending a request");
            until(|| {
                fixture.with(|ctx| clients.handle_ready(ctx, connection));
                !clients.connections[&connection].awaits_first_request
            });
        }
        fixture.now += IDLE_TIMEOUT + SECOND;
        client.write_all(REQUEST).expect("sending a request");
        fixture.with(|ctx| clients.handle_deadline(ctx, connection, ConnectionTimer::Timeout));
        assert_eq!(
            (fixture.request_table.unanswered_requests(), clients.connections[&connection].state),
            (1, State::InProgress),
            "had_request: {had_request}"
        );
    }
}

#[test]
fn connection_that_times_out_is_shut_down_and_late_input_causes_no_reset() {
    let (mut fixture, mut clients) = Fixture::new();
    let (mut client, connection) = fixture.connect(&mut clients);
    fixture.now += FIRST_REQUEST_TIMEOUT;
    fixture.with(|ctx| clients.handle_deadline(ctx, connection, ConnectionTimer::Timeout));
    client.write_all(REQUEST).expect("sending a request after the shutdown");
    fixture.with(|ctx| clients.handle_ready(ctx, connection));
    assert_eq!(
        (fixture.request_table.unanswered_requests(), clients.connections[&connection].state),
        (0, State::Closing),
        "the request arrived after the shutdown"
    );
    fixture.now += LINGER_TIMEOUT;
    client.write_all(REQUEST).expect("sending a request after the shutdown");
    fixture.with(|ctx| clients.handle_deadline(ctx, connection, ConnectionTimer::Timeout));
    assert!(clients.connections.is_empty());
    assert_eq!(read_to_end(client), "", "the connection ends without a reset");
}

#[test]
fn connection_without_unread_input_is_released_first() {
    let (mut fixture, mut clients) = Fixture::new();
    let (mut first, busy) = fixture.connect(&mut clients);
    fixture.now += 1;
    let (second, idle) = fixture.connect(&mut clients);
    first.write_all(REQUEST).expect("sending a request");
    assert!(fixture.with(|ctx| clients.release_idle(ctx)), "the idle second connection is released");
    assert!(
        !clients.owns_token(idle)
            && fixture.request_table.unanswered_requests() == 1
            && clients.connections[&busy].state == State::InProgress
    );
    assert_eq!(read_to_end(second), "");
    assert!(
        !fixture.with(|ctx| clients.release_idle(ctx)),
        "a connection with a request in progress is never released"
    );
}

#[test]
fn connections_count_as_busy_until_the_client_had_time_to_read_its_last_response() {
    for closes in [true, false] {
        let (mut fixture, mut clients) = Fixture::new();
        let (mut client, connection) = fixture.connect(&mut clients);
        client.write_all(REQUEST).expect("sending a request");
        until(|| {
            fixture.with(|ctx| clients.handle_ready(ctx, connection));
            fixture.request_table.unanswered_requests() == 1
        });
        fixture.with(|ctx| clients.begin_drain(ctx));
        fixture.with(|ctx| clients.answer(ctx, connection, Answer::Served(b"r".to_vec())));
        assert!(!clients.is_idle(fixture.now), "the response may still be in flight");
        // A client that goes on sending must not cause an exit to reset the connection and lose its response.
        client.write_all(REQUEST).expect("sending a request after the shutdown");
        fixture.with(|ctx| clients.handle_ready(ctx, connection));
        if closes {
            drop(client);
            until(|| {
                fixture.with(|ctx| clients.handle_ready(ctx, connection));
                clients.is_idle(fixture.now)
            });
            assert!(clients.connections.is_empty());
        } else {
            fixture.now += DELIVERY_TIME;
            let due = fixture.deadlines.next_due(fixture.now);
            assert_eq!(
                due,
                Some(Deadline::Connection(connection, ConnectionTimer::OfferTimeout)),
                "the event loop checks again at this time"
            );
            assert!(clients.is_idle(fixture.now));
        }
    }
}

const UP: &[u8] = b"GET /up HTTP/1.1\r\n\r\n";

/// Gives waiting connections turns, one at a time, until none waits. Returns the number of turns.
fn take_turns(fixture: &mut Fixture, clients: &mut ClientConnections) -> usize {
    let mut turns = 0;
    while let Some(token) = fixture.input_queue.pop() {
        fixture.with(|ctx| clients.handle_ready(ctx, token));
        turns += 1;
    }
    turns
}

// Guards against one call that reads as long as a peer sends: input beyond a turn waits, and wakes the connection by itself.
#[test]
fn connection_processes_a_bounded_number_of_requests_per_turn_and_continues_without_an_event() {
    let (mut fixture, mut clients) = Fixture::new();
    let (mut client, connection) = fixture.connect(&mut clients);
    client.write_all(&UP.repeat(10 * MAX_MESSAGES_PER_TURN)).expect("sending many requests");
    std::thread::sleep(Duration::from_millis(50));
    fixture.with(|ctx| clients.handle_ready(ctx, connection));
    assert!(clients.connections[&connection].has_unread_input && !clients.is_idle(fixture.now));
    assert_eq!(take_turns(&mut fixture, &mut clients), 10);
    assert!(clients.is_idle(fixture.now), "all requests are processed");
    client.shutdown(std::net::Shutdown::Write).expect("ending the connection");
    until(|| {
        fixture.with(|ctx| clients.handle_ready(ctx, connection));
        clients.connections.is_empty()
    });
    assert_eq!(read_to_end(client).matches("HTTP/1.1 503").count(), 10 * MAX_MESSAGES_PER_TURN);
}

// Guards against callbacks that are lost when their worker closes the connection behind more of them than fit into a turn.
#[test]
fn requests_before_the_end_of_a_connection_are_processed_in_later_turns() {
    let (mut fixture, mut clients) = Fixture::new();
    let (mut client, connection) = fixture.connect(&mut clients);
    client.write_all(&UP.repeat(3 * MAX_MESSAGES_PER_TURN)).expect("sending many requests");
    client.shutdown(std::net::Shutdown::Write).expect("ending the connection");
    std::thread::sleep(Duration::from_millis(50));
    fixture.with(|ctx| clients.handle_ready(ctx, connection));
    take_turns(&mut fixture, &mut clients);
    assert!(clients.connections.is_empty(), "the end of the connection was not noticed");
    assert_eq!(read_to_end(client).matches("HTTP/1.1 503").count(), 3 * MAX_MESSAGES_PER_TURN);
}

// Guards against requests that are lost because a connection whose input waits for a turn is taken for idle, and is closed to
// make room or at the exit.
#[test]
fn connection_with_input_beyond_its_turn_is_not_idle_and_not_released() {
    let (mut fixture, mut clients) = Fixture::new();
    let (mut client, connection) = fixture.connect(&mut clients);
    // A turn reads and processes all that it reads, and more is left in the socket.
    let length = FILL_BYTES / MAX_MESSAGES_PER_TURN;
    let head = "GET /up HTTP/1.1\r\nNote: ";
    let request = format!("{head}{}\r\n\r\n", "x".repeat(length - head.len() - 4));
    client
        .write_all(request.repeat(2 * MAX_MESSAGES_PER_TURN).as_bytes())
        .expect("sending two turns of requests");
    client.write_all(REQUEST).expect("sending a request");
    std::thread::sleep(Duration::from_millis(50));
    fixture.with(|ctx| clients.handle_ready(ctx, connection));
    assert!(clients.connections[&connection].buffer.input().is_empty());
    assert!(!clients.is_idle(fixture.now), "the process may exit although requests are unread");
    assert!(!fixture.with(|ctx| clients.release_idle(ctx)), "a connection with unread requests was released");
    take_turns(&mut fixture, &mut clients);
    assert_eq!(
        (fixture.request_table.unanswered_requests(), clients.connections[&connection].state),
        (1, State::InProgress)
    );
}

// Guards against memory that grows with the number of connections that send without pause.
#[test]
fn connection_holds_little_input_beyond_the_requests_of_a_turn() {
    let (mut fixture, mut clients) = Fixture::new();
    let (client, connection) = fixture.connect(&mut clients);
    client.set_nonblocking(true).expect("making the client non-blocking");
    let block = UP.repeat(10_000);
    let _ = (&client).write(&block).expect("sending as much as the socket takes");
    std::thread::sleep(Duration::from_millis(50));
    for _ in 0..100 {
        fixture.with(|ctx| clients.handle_ready(ctx, connection));
        assert!(clients.connections[&connection].buffer.input().len() <= 2 * FILL_BYTES);
    }
}

#[test]
fn client_that_sends_much_input_and_closes_while_it_waits_is_removed() {
    let (mut fixture, mut clients) = Fixture::new();
    let (mut client, connection) = fixture.connect(&mut clients);
    let client = std::thread::spawn(move || {
        client.write_all(REQUEST).expect("sending a request");
        client.write_all(&vec![b'x'; 8 << 20]).expect("sending 8 MiB of further input");
    });
    until(|| {
        fixture.with(|ctx| clients.handle_ready(ctx, connection));
        assert!(
            clients
                .connections
                .get(&connection)
                .is_none_or(|connection| connection.buffer.input().len() < 2 * framing::MESSAGE_LIMIT)
        );
        clients.connections.is_empty()
    });
    assert_eq!(fixture.request_table.unanswered_requests(), 0);
    client.join().expect("the client thread sent all input");
}

/// Sends a message on a new connection, and gives turns until it has answers to `count` messages.
fn send_and_read(
    fixture: &mut Fixture,
    clients: &mut ClientConnections,
    message: &[u8],
    count: usize,
) -> (ClientStream, usize, String) {
    let (mut client, connection) = fixture.connect(clients);
    client.write_all(message).expect("sending a message");
    client.set_nonblocking(true).expect("making the client non-blocking");
    let mut text = Vec::new();
    until(|| {
        fixture.with(|ctx| clients.handle_ready(ctx, connection));
        take_turns(fixture, clients);
        let _ = (&client).read_to_end(&mut text);
        String::from_utf8_lossy(&text).matches("HTTP/1.1 ").count() >= count
    });
    (client, connection, String::from_utf8_lossy(&text).into_owned())
}

// Guards against memory that callbacks with ever new ids take up, where there is no process that could use them, and without
// limit where there is one.
#[test]
fn callbacks_that_match_nothing_are_kept_for_another_process_only_and_up_to_a_limit() {
    let padding = "x".repeat(60_000);
    let body = format!(r#"{{"id":"none","from":"h1","state":"done","result":"{padding}"}}"#);
    let message = format!("POST /_jobs/news HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let (mut fixture, mut clients) = Fixture::new();
    fixture.with(|ctx| clients.set_max_connections(ctx, 100));
    let (.., answers) = send_and_read(&mut fixture, &mut clients, message.as_bytes(), 1);
    assert!(answers.starts_with("HTTP/1.1 200") && fixture.unmatched_callbacks.is_empty());
    fixture.request_table.track_open_names();
    let mut refused = 0;
    for _ in 0..20 {
        let (.., answers) = send_and_read(&mut fixture, &mut clients, message.as_bytes(), 1);
        refused += answers.matches("HTTP/1.1 503").count();
    }
    let kept: usize = fixture.unmatched_callbacks.iter().map(String::len).sum();
    assert!(kept <= 1 << 20 && refused > 0 && refused + fixture.unmatched_callbacks.len() == 20);
}

// Guards against review case 7: connections that always have input are never closed for others, and hold all places.
#[test]
fn unsound_connection_that_always_has_input_is_closed_for_a_newcomer_and_others_are_not() {
    let (mut fixture, mut clients) = Fixture::new();
    let (_sound, resting, _) = send_and_read(&mut fixture, &mut clients, UP, 1);
    let (mut flooding, unsound) = fixture.connect(&mut clients);
    fixture.with(|ctx| clients.set_max_connections(ctx, 2));
    let block = b"POST /x HTTP/1.1\r\nContent-Length: 0\r\n\r\n".repeat(20 * MAX_MESSAGES_PER_TURN);
    flooding.write_all(&block).expect("sending many requests");
    std::thread::sleep(Duration::from_millis(50));
    fixture.with(|ctx| clients.handle_ready(ctx, unsound));
    assert!(clients.connections[&unsound].has_unread_input);
    let _newcomer =
        ClientStream::connect(clients.listener.local_addr().expect("local address of the listener"))
            .expect("connecting to the listener");
    until(|| {
        fixture.with(|ctx| clients.handle_ready(ctx, 1));
        take_turns(&mut fixture, &mut clients);
        !clients.owns_connection(unsound)
    });
    assert!(clients.owns_connection(resting), "a sound connection was closed");
    until(|| {
        fixture.with(|ctx| clients.handle_ready(ctx, 1));
        clients.connections.len() == 2
    });
}

// Guards against answers that nobody reads and that take all memory, and against giving up one that is read slowly.
#[test]
fn answer_is_given_up_for_memory_only_after_a_second_in_which_nothing_of_it_was_read() {
    let (mut fixture, mut clients) = Fixture::new();
    let (mut client, connection) = fixture.connect(&mut clients);
    rustix::net::sockopt::set_socket_recv_buffer_size(&client, 4_096).expect("setting the receive buffer");
    rustix::net::sockopt::set_socket_send_buffer_size(&clients.connections[&connection].stream, 4_096)
        .expect("setting the send buffer");
    client.write_all(REQUEST).expect("sending a request");
    until(|| {
        fixture.with(|ctx| clients.handle_ready(ctx, connection));
        fixture.request_table.unanswered_requests() == 1
    });
    let result = vec![b'r'; 1 << 20];
    fixture.with(|ctx| clients.answer(ctx, connection, Answer::Served(result)));
    assert!(clients.connections[&connection].buffer.has_output() && fixture.memory.used() > 1 << 19);
    let sheds = |fixture: &mut Fixture, clients: &mut ClientConnections, after: Micros| {
        fixture.now += after;
        fixture.with(|ctx| clients.shed_memory(ctx))
    };
    assert!(!sheds(&mut fixture, &mut clients, SECOND - 1), "the answer was given up within a second");
    let before = clients.connections[&connection].buffer.pending_output();
    until(|| {
        client.read_exact(&mut [0; 1_000]).expect("reading a part of the answer");
        fixture.with(|ctx| clients.handle_ready(ctx, connection));
        clients.connections[&connection].buffer.pending_output() < before
    });
    assert!(!sheds(&mut fixture, &mut clients, SECOND - 1), "an answer that is read was given up");
    assert!(sheds(&mut fixture, &mut clients, 1));
    assert!(
        clients.connections.is_empty() && fixture.memory.used() < 1_000,
        "only the request itself is held"
    );
}
