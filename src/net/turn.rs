//! The loop. Each turn gathers what is ready and what is due, hands it to the module in one go, and carries
//! out what came back.

use crate::config::worker_list::ListUpdate;
use crate::config::{Config, PeerConfig, StaticWorker};
use crate::log::log_line;
use crate::net::core::clock::Clock;
use crate::net::core::deadlines::{Deadlines, Due};
use crate::net::core::desk::{AttemptId, Desk, Work};
use crate::net::core::envelope::Payload;
use crate::net::core::figures::Present;
use crate::net::core::roster::Source;
use crate::net::gearman::Gearman;
use crate::net::http::Http;
use crate::net::http::call_back::call_back;
use crate::net::http::client::Clients;
use crate::net::http::next_hop::NextHops;
use crate::net::operators::drain::{CLIENT_DISCONNECT_DELAY, Drain, DrainReason};
use crate::net::operators::management::{MAX_MANAGEMENT_CONNECTIONS, ManagementCommand, ManagementServer};
use crate::net::platform::control::Control;
use crate::net::platform::inherit;
use crate::net::platform::peers::Peers;
use crate::net::platform::route_set::RouteSet;
use crate::net::platform::upgrade::{Handover, Listed, PATIENCE, Side, UpgradeLink, Word};
use crate::net::protocol::{Protocol, Shares, Wish};
use crate::net::{Audience, Ctx};
use calicolb::api::{Class, ListKind, Micros, WorkerId};
use calicolb::wire::Names;
use calicolb_shutdown::Grace;
use mio::net::{TcpListener, UdpSocket};
use mio::{Events, Interest, Poll, Registry, Token};
use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

const LISTENER: usize = 0;
const SIGNALS: Token = Token(1);
const PEERS: Token = Token(2);
const DOOR: Token = Token(3);
const MEETING: Token = Token(4);
/// Numbers above this one are for connections.
const FIRST: usize = 15;
/// The address for datagrams is tried again after this time, where another process may still have it.
const PEERS_AGAIN: Micros = 100_000;
/// Descriptors for the log, the poll, the listener, the signals, discovery and the like.
const OWN_SOCKETS: usize = 24;

/// The program at work.
pub struct Turn {
    poll: Poll,
    registry: Registry,
    clock: Clock,
    names: Names,
    deadlines: Deadlines,
    desk: Desk<Payload>,
    tokens: usize,
    signals: Signals,
    http: Http,
    /// The other protocols.
    others: Vec<Box<dyn Protocol>>,
    wishes: Vec<Wish>,
    routes: RouteSet,
    /// Next hops that the operator file names.
    fixed: Vec<StaticWorker>,
    peers: Option<Peers>,
    /// The agreed configuration, if there is any.
    control: Option<Control>,
    door: Option<ManagementServer>,
    drain: Drain,
    upgrade: UpgradeLink,
    /// What the other process is to be told at the end of the turn.
    strays: Vec<String>,
    /// Datagrams for other schedulers, sent at the end of the turn.
    outbox: Vec<(Audience, Vec<u8>)>,
    /// The list of next hops to begin with, while the predecessor is asked for a better one.
    waiting: Option<Option<ListUpdate>>,
    /// A successor has taken over; and it takes clients.
    retired: bool,
    successor_open: bool,
    name: String,
    at: SocketAddr,
    rank: u32,
    /// The clients' socket was passed: another process may have it too.
    passed: bool,
    peer_config: Option<PeerConfig>,
    sockets: usize,
    most_open: usize,
    /// When a next hop closes an idle connection.
    conn_idle: Micros,
    /// How often other settings came into force.
    renewals: u64,
    /// Clients were served already: a list of next hops was known that could be acted on, or none was to be had soon.
    begun: bool,
    /// From SIGTERM to the earliest SIGKILL.
    grace: Grace,
    /// SIGTERM has come.
    ending: Option<Ending>,
    /// Requests on their way to the successor.
    transfers: Transfers,
    /// The program ends however long the answers take.
    patient: bool,
    /// It runs under an operator file.
    appliance: bool,
}

impl Turn {
    /// Opens the sockets and takes in the list of next hops that the configuration brings.
    pub fn new(config: Config) -> io::Result<Self> {
        // First of all: a signal that comes before it is waited for ends the program.
        let mut signals = Signals::new([SIGTERM, SIGHUP])?;
        let poll = Poll::new()?;
        let registry = poll.registry().try_clone()?;
        let clock = Clock::new();
        let (listener, passed) = inherit::listener(config.passed_socket, config.listen)?;
        let at = listener.local_addr()?;
        registry.register(&mut signals, SIGNALS, Interest::READABLE)?;
        let door = match config.management {
            Some(mgmt) => {
                let mut listener = TcpListener::bind(mgmt)?;
                registry.register(&mut listener, DOOR, Interest::READABLE)?;
                log_line!("{} hears operators on {}", config.name, listener.local_addr()?);
                Some(ManagementServer::new(listener))
            }
            None => None,
        };
        let (asked, drain) = (config.settings.list_on_request, config.settings.rules.drain_grace);
        let routes = RouteSet::new(config.discovery, asked, drain, clock.now());
        let hops = NextHops::new(config.settings.limits.connect_timeout, config.worker_idle_timeout, 0);
        let mut turn = Turn {
            grace: grace(&config.settings.classes),
            ending: None,
            transfers: Transfers::default(),
            rank: config.settings.rank,
            desk: Desk::new(config.settings, config.seed, clock.now(), 0),
            poll,
            registry,
            clock,
            names: config.names,
            deadlines: Deadlines::default(),
            tokens: FIRST,
            signals,
            http: Http { clients: Clients::new(listener, LISTENER), hops },
            others: Vec::new(),
            wishes: Vec::new(),
            routes,
            fixed: config.static_workers,
            peers: None,
            control: config.control.map(|control| Control::new(control, &config.name, config.seed)),
            door,
            drain: Drain::default(),
            upgrade: UpgradeLink::new(config.upgrade_socket.filter(|_| passed)),
            strays: Vec::new(),
            outbox: Vec::new(),
            waiting: Some(config.known_workers),
            retired: false,
            successor_open: false,
            name: config.name,
            at,
            passed,
            peer_config: config.peers,
            sockets: config.max_descriptors,
            most_open: config.max_open_requests,
            conn_idle: config.worker_idle_timeout,
            renewals: 0,
            begun: false,
            patient: false,
            appliance: config.discovery.is_none(),
        };
        let now = turn.clock.now();
        if let Some(gearman) = config.gearman {
            let (mut ctx, parts) = turn.split(now);
            parts.others.push(Box::new(Gearman::new(&mut ctx, gearman)?));
        }
        let (mut ctx, parts) = turn.split(now);
        if parts.upgrade.call(&mut ctx) {
            ctx.deadlines.set(Due::Predecessor, now + PATIENCE);
            turn.share_out(now);
        } else {
            turn.start(now, None)?;
        }
        Ok(turn)
    }

    /// Begins to serve, with what the predecessor handed over, or else with the list of the configuration.
    fn start(&mut self, now: Micros, handover: Option<Handover>) -> io::Result<()> {
        if let Some(handover) = &handover {
            // Also from a predecessor that was silent for too long: its open requests are still its own.
            log_line!("{} requests are open at the predecessor", handover.open.len());
            self.desk.share();
            handover.open.iter().for_each(|name| self.desk.elsewhere(name.clone(), true));
        }
        let Some(known) = self.waiting.take() else { return Ok(()) };
        self.open_peers(now)?;
        self.share_out(now);
        let appliance = self.appliance;
        let (mut ctx, parts) = self.split(now);
        ctx.deadlines.clear(Due::Predecessor);
        let confirmed_ago = handover.as_ref().and_then(|handover| handover.confirmed_us_ago);
        let (known, drained) = match handover {
            Some(handover) => {
                let ahead = handover.clock.map_or(0, |clock| parts.upgrade.hear_clock(now, clock));
                let knowledge = renewal::placed(handover.knowledge, &handover.names, ctx.names, now);
                ctx.desk.inherit(renewal::on_clock(knowledge, ahead));
                (Some(handover.routes), handover.drained)
            }
            None => (known, false),
        };
        if !parts.fixed.is_empty() {
            parts
                .fixed
                .iter()
                .for_each(|hop| parts.http.hops.learn(&mut ctx, hop.member.worker, hop.address, 0));
            let members = parts.fixed.iter().map(|hop| hop.member.clone()).collect();
            ctx.desk.members(Source::Fixed, ListKind::Changes, members);
        }
        parts.routes.warm(&mut ctx, &mut parts.http.hops, known, confirmed_ago);
        parts.http.listen(&mut ctx)?;
        parts.others.iter_mut().try_for_each(|other| other.listen(&mut ctx))?;
        parts.upgrade.listen(ctx.registry, MEETING);
        match parts.control {
            Some(control) => control.start(&mut ctx),
            // An operator file names no control machines.
            None if appliance => {}
            None => log_line!(
                "agreed configuration is off: no 'control' machines are named; settings change by SIGHUP"
            ),
        }
        log_line!("{} serves on {}", self.name, self.at);
        if drained {
            self.begin_drain(now, DrainReason::OperatorRequest);
        }
        Ok(())
    }

    /// Opens the address for datagrams.
    fn open_peers(&mut self, now: Micros) -> io::Result<()> {
        let Some(config) = &self.peer_config else { return Ok(()) };
        match UdpSocket::bind(config.listen) {
            Ok(mut socket) => {
                self.registry.register(&mut socket, PEERS, Interest::READABLE)?;
                log_line!("{} hears schedulers on {}", self.name, socket.local_addr()?);
                let seed = self.clock.now() ^ u64::from(self.rank);
                self.peers =
                    Some(Peers::new(socket, config.by_rank.clone(), config.broadcast, self.rank, seed));
            }
            // A silent predecessor still has it. Work does not hang on datagrams: they are let in when it has gone.
            Err(error) if self.passed && error.kind() == io::ErrorKind::AddrInUse => {
                self.deadlines.set(Due::PeersAgain, now + PEERS_AGAIN);
            }
            Err(error) => return Err(error),
        }
        Ok(())
    }

    /// Deals the descriptors out. While two processes share the limit, each keeps to half of it.
    fn share_out(&mut self, now: Micros) {
        let sockets = self.sockets / if self.upgrade.any() { 2 } else { 1 };
        let own = OWN_SOCKETS + if self.door.is_some() { MAX_MANAGEMENT_CONNECTIONS } else { 0 };
        let (shares, most_open) = shares(sockets, own);
        let most_open = most_open.min(self.most_open);
        let (mut ctx, mut parts) = self.split(now);
        ctx.desk.limit(most_open);
        // Alike for all protocols: which of them is in use is not known beforehand.
        let count = 1 + parts.others.len();
        let each = Shares { clients: shares.clients / count, hops: shares.hops / count };
        parts.protocols().for_each(|protocol| protocol.limit(&mut ctx, each));
    }

    /// Begins to serve, if that has not happened yet.
    fn begin(&mut self, now: Micros, handover: Option<Handover>) {
        if let Err(error) = self.start(now, handover) {
            log_line!("beginning to serve: {error}");
        }
    }

    /// Runs until SIGTERM has come and all that was taken is answered.
    pub fn run(mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(1024);
        // Done twice in a row: what came in while it was found out for the first time is taken in as well.
        let mut done = 0;
        while done < 2 {
            let now = self.clock.now();
            // The second look at whether all is done must not wait for the next deadline, which may be far off.
            let at_once = self.desk.has_news() || done > 0;
            let timeout = if at_once { Some(Duration::ZERO) } else { self.deadlines.timeout(now) };
            match self.poll.poll(&mut events, timeout) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                other => other?,
            }
            let now = self.clock.now();
            for event in &events {
                self.ready(now, event.token());
            }
            while let Some(due) = self.deadlines.next_due(now) {
                self.due(now, due);
            }
            let (mut ctx, mut parts) = self.split(now);
            parts.protocols().for_each(|protocol| protocol.gathered(&mut ctx));
            for work in self.desk.settle(now, &mut self.deadlines) {
                self.carry_out(now, work);
            }
            let (mut ctx, mut parts) = self.split(now);
            parts.protocols().for_each(|protocol| protocol.settled(&mut ctx));
            for wish in std::mem::take(&mut self.wishes) {
                self.grant(now, wish);
            }
            self.learn(now);
            self.begun |= self.desk.known() > 0 && self.routes.serviceable(now);
            self.http.clients.open = self.begun && self.welcome();
            self.tell_other_process();
            self.tell_peers();
            done = if self.done(now) { done + 1 } else { 0 };
        }
        Ok(())
    }

    /// Sends the datagrams of this turn to other schedulers.
    fn tell_peers(&mut self) {
        for (audience, body) in std::mem::take(&mut self.outbox) {
            if let Some(peers) = &mut self.peers {
                peers.address(audience, &body);
            }
        }
    }

    /// Clients are welcome, here or at the process that took over: the two are one scheduler.
    fn welcome(&self) -> bool {
        if self.retired { self.successor_open } else { self.drain.accepts_clients() }
    }

    fn done(&self, now: Micros) -> bool {
        // What the predecessor still has out needs its call-backs, and they come to whoever listens: here.
        self.drain.is_final_phase()
            && self.desk.owed() == 0
            && self.transfers.is_empty()
            && self.http.at_rest(now)
            && self.others.iter().all(|other| other.at_rest(now))
            && (self.retired || !self.desk.any_elsewhere())
    }

    fn split(&mut self, now: Micros) -> (Ctx<'_>, Parts<'_>) {
        let ctx = Ctx {
            registry: &self.registry,
            names: &self.names,
            deadlines: &mut self.deadlines,
            desk: &mut self.desk,
            tokens: &mut self.tokens,
            strays: &mut self.strays,
            outbox: &mut self.outbox,
            wishes: &mut self.wishes,
            now,
        };
        let parts = Parts {
            http: &mut self.http,
            others: &mut self.others,
            fixed: &self.fixed,
            routes: &mut self.routes,
            peers: &mut self.peers,
            control: &mut self.control,
            door: &mut self.door,
            drain: &mut self.drain,
            upgrade: &mut self.upgrade,
        };
        (ctx, parts)
    }

    fn ready(&mut self, now: Micros, token: Token) {
        if token == SIGNALS {
            return self.signalled(now);
        }
        let (mut ctx, mut parts) = self.split(now);
        match token {
            PEERS => parts.hear_peers(&mut ctx),
            DOOR => self.door_opens(now),
            MEETING => parts.upgrade.accept(&mut ctx),
            Token(token) if parts.upgrade.has(token) => self.link_ready(now, token),
            Token(token) if parts.routes.has(token) => {
                parts.routes.ready(&mut ctx, &mut parts.http.hops, token);
            }
            Token(token) if parts.control.as_ref().is_some_and(|control| control.has(token)) => {
                if let Some(control) = parts.control {
                    control.ready(&mut ctx, token);
                }
            }
            Token(token) => match parts.door {
                Some(door) if door.owns(token) => {
                    if let Some(order) = door.handle_ready(&mut ctx, token) {
                        self.order(now, token, order);
                    }
                }
                _ => {
                    if let Some(protocol) = parts.protocols().find(|protocol| protocol.has(token)) {
                        protocol.ready(&mut ctx, token);
                    }
                }
            },
        }
    }

    fn due(&mut self, now: Micros, due: Due) {
        let (mut ctx, mut parts) = self.split(now);
        match due {
            Due::Timer(timer, _) => ctx.desk.timer(timer),
            Due::Attempt(request, attempt) => {
                let attempt = AttemptId { request, number: attempt };
                if !ctx.desk.time_up(now, attempt) {
                    parts.protocols().for_each(|protocol| protocol.release(&mut ctx, attempt));
                }
            }
            Due::Unwanted(request, attempt) => ctx.desk.untaken(AttemptId { request, number: attempt }),
            Due::CalledOff(request, attempt) => {
                ctx.desk.called_off(now, AttemptId { request, number: attempt })
            }
            Due::Conn(token, alarm) => {
                if let Some(protocol) = parts.protocols().find(|protocol| protocol.has(token)) {
                    protocol.due(&mut ctx, token, alarm);
                }
            }
            Due::Peers => parts.hear_peers(&mut ctx),
            Due::Witness => parts.routes.ask_witnesses(&mut ctx),
            Due::Fetch | Due::Watch => parts.routes.late(&mut ctx, parts.http, due),
            Due::Control => {
                if let Some(control) = parts.control {
                    control.late(&mut ctx);
                }
            }
            Due::Stale => parts.routes.expire(now),
            // A look at the end of the turn is all that it takes.
            Due::Ready => {}
            // Of another role.
            Due::Tick | Due::Heartbeat | Due::Link(_) => {}
            Due::Farewell => {
                parts.protocols().for_each(|protocol| protocol.farewell(&mut ctx));
                self.drain.start_disconnecting();
            }
            Due::Call(token) => {
                if let Some(door) = parts.door {
                    door.handle_timeout(&mut ctx, token);
                }
            }
            Due::Door => self.door_opens(now),
            Due::Predecessor => {
                log_line!("the predecessor says nothing");
                self.begin(now, None);
            }
            Due::OpenRequests => self.settle_open_requests(now),
            Due::PeersAgain => {
                if let Err(error) = self.open_peers(now) {
                    log_line!("hearing schedulers: {error}");
                }
            }
        }
    }

    fn carry_out(&mut self, now: Micros, work: Work<Payload>) {
        let rank = self.rank;
        let (mut ctx, mut parts) = self.split(now);
        match work {
            Work::Answer { client, answer } => {
                if let Some(protocol) = parts.protocols().find(|protocol| protocol.serves(client)) {
                    protocol.answer(&mut ctx, client, answer);
                }
            }
            Work::Relay { client, part } => {
                if let Some(protocol) = parts.protocols().find(|protocol| protocol.serves(client)) {
                    protocol.relay(&mut ctx, client, part);
                }
            }
            Work::Send { attempt, hop, payload, wait } => {
                parts.driver(hop).send(&mut ctx, attempt, hop, &payload, wait);
            }
            Work::GiveUp { attempt, hop, name } => parts.driver(hop).give_up(&mut ctx, attempt, hop, &name),
            Work::Probe(hop) => parts.driver(hop).probe(&mut ctx, hop),
            // To the own rank: the process that took over counts it with its own.
            Work::Tell { to, body } if to == Some(rank) => {
                self.upgrade.say(Side::Successor, &Word::Load(body));
            }
            Work::Tell { to, body } => {
                if let Some(peers) = parts.peers {
                    peers.tell(to, &body);
                }
            }
            Work::FetchList => parts.routes.fetch(&mut ctx, parts.http),
            Work::Watch(want) => parts.routes.watch(&mut ctx, parts.http, want),
            Work::CloseIdle(hop) => parts.driver(hop).close_idle(&mut ctx, hop),
        }
    }

    fn signalled(&mut self, now: Micros) {
        // Both may have come since the last turn, each several times; once is enough for either.
        let signals: BTreeSet<i32> = self.signals.pending().collect();
        if signals.contains(&SIGHUP) {
            self.reload(now);
        }
        if signals.contains(&SIGTERM) {
            self.begin_drain(now, DrainReason::ProcessExit);
        }
    }

    /// Does what a protocol wants of the whole program.
    fn grant(&mut self, now: Micros, wish: Wish) {
        match wish {
            Wish::End { patient: false } => self.begin_drain(now, DrainReason::ProcessExit),
            Wish::End { patient: true } => self.begin_patient_end(now),
        }
    }
}

/// From SIGTERM to the earliest SIGKILL, where clients of these classes may be waiting.
fn grace(classes: &[Class]) -> Grace {
    Grace::new(classes.iter().map(|class| class.deadline).max().unwrap_or(0))
}

/// How many descriptors of these may go to clients and to next hops, beside the program's own, and how many
/// requests may be open.
fn shares(sockets: usize, own: usize) -> (Shares, usize) {
    // A third is kept for next hops: however many clients come, work can be placed.
    let usable = sockets.saturating_sub(own).max(8);
    let to_hops = usable / 3;
    let to_clients = usable - to_hops;
    // Requests in work hold a connection each, a third of all descriptors at most: the rest of the connections is for
    // call-backs, without which no work would end, and for clients at rest.
    (Shares { clients: to_clients, hops: to_hops }, (sockets / 3).min(to_clients * 9 / 10))
}

struct Parts<'a> {
    http: &'a mut Http,
    others: &'a mut Vec<Box<dyn Protocol>>,
    fixed: &'a [StaticWorker],
    routes: &'a mut RouteSet,
    peers: &'a mut Option<Peers>,
    control: &'a mut Option<Control>,
    door: &'a mut Option<ManagementServer>,
    drain: &'a mut Drain,
    upgrade: &'a mut UpgradeLink,
}

impl Parts<'_> {
    /// Takes the datagrams that have come: those about the list are for the route set, the others for the module.
    fn hear_peers(&mut self, ctx: &mut Ctx<'_>) {
        let Some(peers) = self.peers else { return };
        for (from, message) in peers.ready(ctx) {
            self.routes.witness(ctx, from, message);
        }
    }

    fn protocols(&mut self) -> impl Iterator<Item = &mut dyn Protocol> {
        let http: &mut dyn Protocol = self.http;
        std::iter::once(http).chain(self.others.iter_mut().map(|other| &mut **other as &mut dyn Protocol))
    }

    /// Whoever drives a next hop. One that has gone was HTTP's, or is nobody's, and HTTP says what that means.
    fn driver(&mut self, hop: WorkerId) -> &mut dyn Protocol {
        match self.others.iter_mut().find(|other| other.drives(hop)) {
            Some(other) => &mut **other,
            None => self.http,
        }
    }
}

mod orders;
mod renewal;
mod shutdown;
#[cfg(test)]
mod tests;
mod transfers;
mod upgrade;

use shutdown::Ending;
use transfers::Transfers;
