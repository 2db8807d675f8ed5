//! Tests of client connections whose input or end arrives after the poll and before a deadline of the same iteration is
//! handled.

use super::*;
use crate::net::core::deadlines::Deadlines;
use crate::net::core::request_table::RequestTable;
use calicolb::wire::Names;
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
    desk: RequestTable<Payload>,
    tokens: usize,
    now: Micros,
}

impl Fixture {
    fn new() -> (Fixture, ClientConnections) {
        let info = r#"{"azs":["a"],"kinds":["k"],"ceilings":{"cancelling":true,"most_tries":4},
            "request_classes":[{"name":"book","aim_us":900000,"deadline_us":9000000,"effect":"non_idempotent"}]}"#;
        let (settings, names) = wire::parse_settings(info).expect("the settings are valid");
        let now = 50 * SECOND;
        let desk = RequestTable::new(settings, 1, now, 100);
        let poll = Poll::new().expect("creating the poll");
        let mut fixture = Fixture { poll, names, deadlines: Deadlines::default(), desk, tokens: 100, now };
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
            request_table: &mut self.desk,
            last_token: &mut self.tokens,
            unmatched_callbacks: &mut Vec::new(),
            peer_outbox: &mut Vec::new(),
            protocol_requests: &mut Vec::new(),
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
            (fixture.desk.unanswered_requests(), clients.connections[&connection].state),
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
        (fixture.desk.unanswered_requests(), clients.connections[&connection].state),
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
            && fixture.desk.unanswered_requests() == 1
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
            fixture.desk.unanswered_requests() == 1
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
    assert_eq!(fixture.desk.unanswered_requests(), 0);
    client.join().expect("the client thread sent all input");
}
