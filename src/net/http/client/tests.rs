//! What comes between two lines: bytes and ends of a client after the poll and before the deadline that it brought.

use super::*;
use crate::net::core::deadlines::Deadlines;
use crate::net::core::desk::Desk;
use calicolb::wire::Names;
use mio::Poll;
use std::io::{Read, Write};
use std::net::TcpStream as Peer;
use std::time::{Duration, Instant};

const REQUEST: &[u8] =
    b"POST /book HTTP/1.1\r\nRequest-Id: a1\r\nRequest-Timeout: 9\r\nContent-Length: 0\r\n\r\n";

struct Table {
    poll: Poll,
    names: Names,
    deadlines: Deadlines,
    desk: Desk<Payload>,
    tokens: usize,
    now: Micros,
}

impl Table {
    fn new() -> (Table, ClientConnections) {
        let info = r#"{"azs":["a"],"kinds":["k"],"ceilings":{"cancelling":true,"most_tries":4},
            "request_classes":[{"name":"book","aim_us":900000,"deadline_us":9000000,"effect":"non_idempotent"}]}"#;
        let (settings, names) = wire::settings(info).expect("the settings are sound");
        let now = 50 * SECOND;
        let desk = Desk::new(settings, 1, now, 100);
        let poll = Poll::new().expect("a poll can be had");
        let mut table = Table { poll, names, deadlines: Deadlines::default(), desk, tokens: 100, now };
        let at = "127.0.0.1:0".parse().expect("it is an address");
        let mut clients = ClientConnections::new(TcpListener::bind(at).expect("a port is free"), 1);
        table.with(|ctx| clients.listen(ctx)).expect("it can be watched");
        table.with(|ctx| clients.set_max_connections(ctx, 10));
        (table, clients)
    }

    fn with<T>(&mut self, run: impl FnOnce(&mut Ctx<'_>) -> T) -> T {
        run(&mut Ctx {
            registry: self.poll.registry(),
            names: &self.names,
            deadlines: &mut self.deadlines,
            desk: &mut self.desk,
            tokens: &mut self.tokens,
            strays: &mut Vec::new(),
            outbox: &mut Vec::new(),
            wishes: &mut Vec::new(),
            now: self.now,
        })
    }

    /// A client connects: its end, and the number of the connection here.
    fn connect(&mut self, clients: &mut ClientConnections) -> (Peer, usize) {
        let peer = Peer::connect(clients.listener.local_addr().expect("it is bound")).expect("it listens");
        let before = clients.connections.len();
        until(|| {
            self.with(|ctx| clients.handle_ready(ctx, 1));
            clients.connections.len() > before
        });
        (peer, clients.connections.keys().copied().max().expect("there is one"))
    }
}

fn until(mut done: impl FnMut() -> bool) {
    let limit = Instant::now() + Duration::from_secs(20);
    while !done() {
        assert!(Instant::now() < limit, "it never comes");
    }
}

/// What its client still reads, to the end of the connection.
fn rest(mut peer: Peer) -> String {
    let mut text = String::new();
    peer.read_to_string(&mut text).expect("it ends in order");
    text
}

#[test]
fn a_request_that_comes_in_as_its_connection_has_rested_long_enough_is_taken() {
    for rested in [false, true] {
        let (mut table, mut clients) = Table::new();
        let (mut peer, connection) = table.connect(&mut clients);
        if rested {
            peer.write_all(b"GET /up HTTP/1.1\r\n\r\n").expect("it is read");
            until(|| {
                table.with(|ctx| clients.handle_ready(ctx, connection));
                !clients.connections[&connection].fresh
            });
        }
        table.now += IDLE + SECOND;
        peer.write_all(REQUEST).expect("it is read");
        table.with(|ctx| clients.handle_deadline(ctx, connection, Alarm::Late));
        assert_eq!(
            (table.desk.owed(), clients.connections[&connection].state),
            (1, State::Waiting),
            "rested: {rested}"
        );
    }
}

#[test]
fn a_connection_that_has_rested_long_enough_is_ended_and_what_crosses_that_is_not_reset() {
    let (mut table, mut clients) = Table::new();
    let (mut peer, connection) = table.connect(&mut clients);
    table.now += FIRST;
    table.with(|ctx| clients.handle_deadline(ctx, connection, Alarm::Late));
    peer.write_all(REQUEST).expect("the way there is open");
    table.with(|ctx| clients.handle_ready(ctx, connection));
    assert_eq!(
        (table.desk.owed(), clients.connections[&connection].state),
        (0, State::Ending),
        "it came after the end"
    );
    table.now += LINGER;
    peer.write_all(REQUEST).expect("the way there is open");
    table.with(|ctx| clients.handle_deadline(ctx, connection, Alarm::Late));
    assert!(clients.connections.is_empty());
    assert_eq!(rest(peer), "", "an end, and no reset");
}

#[test]
fn room_is_made_by_a_connection_on_which_nothing_lies_unread() {
    let (mut table, mut clients) = Table::new();
    let (mut first, busy) = table.connect(&mut clients);
    table.now += 1;
    let (second, idle) = table.connect(&mut clients);
    first.write_all(REQUEST).expect("it is read");
    assert!(table.with(|ctx| clients.shed(ctx)), "the second makes room");
    assert!(
        !clients.owns_token(idle)
            && table.desk.owed() == 1
            && clients.connections[&busy].state == State::Waiting
    );
    assert_eq!(rest(second), "");
    assert!(!table.with(|ctx| clients.shed(ctx)), "a connection with a request in work never does");
}

#[test]
fn the_program_does_not_exit_before_a_last_answer_has_had_time_to_be_taken() {
    for closes in [true, false] {
        let (mut table, mut clients) = Table::new();
        let (mut peer, connection) = table.connect(&mut clients);
        peer.write_all(REQUEST).expect("it is read");
        until(|| {
            table.with(|ctx| clients.handle_ready(ctx, connection));
            table.desk.owed() == 1
        });
        table.with(|ctx| clients.begin_drain(ctx));
        table.with(|ctx| clients.answer(ctx, connection, Answer::Served(b"r".to_vec())));
        assert!(!clients.is_idle(table.now), "the answer may be under way");
        // A client that goes on sending on what stays open must not make the exit reset its answer.
        peer.write_all(REQUEST).expect("the way there is open");
        table.with(|ctx| clients.handle_ready(ctx, connection));
        if closes {
            drop(peer);
            until(|| {
                table.with(|ctx| clients.handle_ready(ctx, connection));
                clients.is_idle(table.now)
            });
            assert!(clients.connections.is_empty());
        } else {
            table.now += TAKEN;
            let due = table.deadlines.next_due(table.now);
            assert_eq!(due, Some(Due::Conn(connection, Alarm::Owed)), "the loop looks again then");
            assert!(clients.is_idle(table.now));
        }
    }
}

#[test]
fn a_client_that_sends_much_and_leaves_while_it_waits_has_gone() {
    let (mut table, mut clients) = Table::new();
    let (mut peer, connection) = table.connect(&mut clients);
    let client = std::thread::spawn(move || {
        peer.write_all(REQUEST).expect("it is read");
        peer.write_all(&vec![b'x'; 8 << 20]).expect("it is read, to the last byte");
    });
    until(|| {
        table.with(|ctx| clients.handle_ready(ctx, connection));
        assert!(
            clients
                .connections
                .get(&connection)
                .is_none_or(|connection| connection.buffer.input().len() < 2 * framing::MESSAGE_LIMIT)
        );
        clients.connections.is_empty()
    });
    assert_eq!(table.desk.owed(), 0);
    client.join().expect("it could send all");
}
