//! The loop. Each turn gathers what is ready and what is due, hands it to the module in one go, and carries
//! out what came back.

use crate::config::Config;
use crate::net::Ctx;
use crate::net::caller::Callers;
use crate::net::deadlines::{Deadlines, Due};
use crate::net::desk::{BranchId, Desk, Work};
use crate::net::door::{CALLS, Door, Order};
use crate::net::drain::{Drain, PARTING, Why};
use crate::net::figures::Present;
use crate::net::log::note;
use crate::net::next_hop::{NextHops, Payload};
use crate::net::peers::Peers;
use crate::net::route_set::RouteSet;
use calicolb::api::Micros;
use calicolb::wire::Names;
use mio::net::{TcpListener, UdpSocket};
use mio::{Events, Interest, Poll, Registry, Token};
use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use std::collections::BTreeSet;
use std::io;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const LISTENER: Token = Token(0);
const SIGNALS: Token = Token(1);
const PEERS: Token = Token(2);
const DOOR: Token = Token(3);
/// Numbers above this one are for connections.
const FIRST: usize = 15;
/// SIGKILL comes so long after SIGTERM at the soonest, beyond the longest patience of a caller, ...
const KILL_MARGIN: Micros = 700_000;
/// ... of which no more than this counts.
const KILL_PATIENCE: Micros = 3_000_000;
/// What is taken after SIGTERM is answered this long before SIGKILL may come.
const LAST_ANSWER: Micros = 200_000;
/// Descriptors for the log, the poll, the listener, the signals, discovery and the like.
const OWN_SOCKETS: usize = 24;

/// Unix time that never goes back, in microseconds: the one clock of the program, the module's too.
struct Clock {
    unix: Micros,
    from: Instant,
}

impl Clock {
    fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Clock { unix: unix.as_micros() as Micros, from: Instant::now() }
    }

    fn now(&self) -> Micros {
        self.unix + self.from.elapsed().as_micros() as Micros
    }
}

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
    callers: Callers,
    hops: NextHops,
    routes: RouteSet,
    peers: Option<Peers>,
    door: Option<Door>,
    drain: Drain,
    /// Clients were served already: a list of next hops was known.
    begun: bool,
    /// From SIGTERM to the earliest SIGKILL.
    grace: Micros,
}

impl Turn {
    /// Opens the sockets and takes in the list of next hops that the configuration brings.
    pub fn new(config: Config) -> io::Result<Self> {
        // First of all: a signal that comes before it is waited for ends the program.
        let mut signals = Signals::new([SIGTERM, SIGHUP])?;
        let poll = Poll::new()?;
        let registry = poll.registry().try_clone()?;
        let clock = Clock::new();
        let mut listener = TcpListener::bind(config.listen)?;
        let at = listener.local_addr()?;
        registry.register(&mut listener, LISTENER, Interest::READABLE)?;
        registry.register(&mut signals, SIGNALS, Interest::READABLE)?;
        let peers = match config.peers {
            Some(peers) => {
                let mut socket = UdpSocket::bind(peers.listen)?;
                registry.register(&mut socket, PEERS, Interest::READABLE)?;
                note!("{} hears schedulers on {}", config.name, socket.local_addr()?);
                Some(Peers::new(socket, peers.each, peers.all))
            }
            None => None,
        };
        let door = match config.mgmt {
            Some(mgmt) => {
                let mut listener = TcpListener::bind(mgmt)?;
                registry.register(&mut listener, DOOR, Interest::READABLE)?;
                note!("{} hears operators on {}", config.name, listener.local_addr()?);
                Some(Door::new(listener))
            }
            None => None,
        };
        let own = OWN_SOCKETS + if door.is_some() { CALLS } else { 0 };
        // A third of the descriptors is kept for next hops: however many callers come, work can be placed.
        let usable = config.sockets.saturating_sub(own).max(8);
        let to_hops = usable / 3;
        let to_callers = usable - to_hops;
        // Requests in work hold a leg each. Some are left for call-backs: without these no work would end.
        let most_open = config.most_open.min(to_callers * 9 / 10);
        let hops = NextHops::new(config.settings.limits.connect_timeout, config.conn_idle, to_hops);
        let patience = config.settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        let mut turn = Turn {
            grace: patience.min(KILL_PATIENCE) + KILL_MARGIN,
            desk: Desk::new(config.settings, config.seed, clock.now(), most_open),
            poll,
            registry,
            clock,
            names: config.names,
            deadlines: Deadlines::default(),
            tokens: FIRST,
            signals,
            callers: Callers::new(listener, to_callers),
            hops,
            routes: RouteSet::new(config.discovery),
            peers,
            door,
            drain: Drain::default(),
            begun: false,
        };
        note!("{} serves on {at}", config.name);
        let (mut ctx, parts) = turn.split(turn.clock.now());
        parts.routes.warm(&mut ctx, parts.hops, config.known);
        Ok(turn)
    }

    /// Runs until SIGTERM has come and all that was taken is answered.
    pub fn run(mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(1024);
        // Done twice in a row: what came in while it was found out for the first time is taken in as well.
        let mut done = 0;
        while done < 2 {
            let now = self.clock.now();
            let timeout =
                if self.desk.has_news() { Some(Duration::ZERO) } else { self.deadlines.timeout(now) };
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
            for work in self.desk.settle(now, &mut self.deadlines) {
                self.carry_out(now, work);
            }
            self.begun |= self.routes.known() > 0;
            self.callers.open = self.routes.known() > 0 && self.drain.open();
            done = if self.done() { done + 1 } else { 0 };
        }
        Ok(())
    }

    fn done(&self) -> bool {
        self.drain.last() && self.desk.owed() == 0 && self.callers.at_rest()
    }

    fn split(&mut self, now: Micros) -> (Ctx<'_>, Parts<'_>) {
        let ctx = Ctx {
            registry: &self.registry,
            names: &self.names,
            deadlines: &mut self.deadlines,
            desk: &mut self.desk,
            tokens: &mut self.tokens,
            now,
        };
        let parts = Parts {
            callers: &mut self.callers,
            hops: &mut self.hops,
            routes: &mut self.routes,
            peers: &mut self.peers,
            door: &mut self.door,
        };
        (ctx, parts)
    }

    fn ready(&mut self, now: Micros, token: Token) {
        if token == SIGNALS {
            return self.signalled(now);
        }
        let (mut ctx, parts) = self.split(now);
        match token {
            LISTENER => parts.callers.accept(&mut ctx),
            PEERS => {
                if let Some(peers) = parts.peers {
                    peers.ready(&mut ctx);
                }
            }
            DOOR => self.door_opens(now),
            Token(token) if parts.callers.has(token) => parts.callers.ready(&mut ctx, token),
            Token(token) if parts.routes.has(token) => parts.routes.ready(&mut ctx, parts.hops, token),
            Token(token) => match parts.door {
                Some(door) if door.has(token) => {
                    if let Some(order) = door.ready(&mut ctx, token) {
                        self.order(now, token, order);
                    }
                }
                _ => parts.hops.ready(&mut ctx, token),
            },
        }
    }

    /// Operators call.
    fn door_opens(&mut self, now: Micros) {
        let (mut ctx, parts) = self.split(now);
        let Some(door) = parts.door else { return };
        for (token, order) in door.accept(&mut ctx, parts.callers) {
            self.order(now, token, order);
        }
    }

    /// Carries out what an operator wants, and answers.
    fn order(&mut self, now: Micros, token: usize, order: Option<Order>) {
        let answer = match order {
            Some(Order::Ping) if self.begun => "done\n".to_owned(),
            Some(Order::Ping) => "error no list of stock workers is known yet\n".to_owned(),
            Some(Order::Info) => {
                let present = Present {
                    in_flight: self.desk.owed(),
                    known: self.routes.known(),
                    avoided: self.desk.avoided(now),
                };
                self.desk.figures().write(self.names.classes(), present)
            }
            Some(Order::Lameduck) => {
                self.begin_drain(now, Why::Asked);
                "done\n".to_owned()
            }
            Some(Order::Rejoin) if self.rejoin() => "done\n".to_owned(),
            Some(Order::Rejoin) => "error the program is ending\n".to_owned(),
            None => "error unknown call\n".to_owned(),
        };
        let (mut ctx, parts) = self.split(now);
        if let Some(door) = parts.door {
            door.answer(&mut ctx, token, &answer);
        }
    }

    fn due(&mut self, now: Micros, due: Due) {
        let (mut ctx, parts) = self.split(now);
        match due {
            Due::Timer(timer, _) => ctx.desk.timer(timer),
            Due::Branch(request, attempt) => {
                let branch = BranchId { request, attempt };
                if !ctx.desk.time_up(now, branch) {
                    parts.hops.release(&mut ctx, branch);
                }
            }
            Due::Link(token) => parts.hops.late(&mut ctx, token),
            Due::LinkIdle(token) => parts.hops.rested(&mut ctx, token),
            Due::Leg(token) => parts.callers.late(&mut ctx, token),
            Due::LegMore(token) => parts.callers.ready(&mut ctx, token),
            Due::Peers => {
                if let Some(peers) = parts.peers {
                    peers.ready(&mut ctx);
                }
            }
            Due::Accept => parts.callers.accept(&mut ctx),
            Due::Fetch | Due::Watch => parts.routes.late(&mut ctx, due),
            Due::Farewell => {
                parts.callers.farewell(&mut ctx);
                self.drain.part();
            }
            Due::Call(token) => {
                if let Some(door) = parts.door {
                    door.late(&mut ctx, token);
                }
            }
            Due::Door => self.door_opens(now),
        }
    }

    fn carry_out(&mut self, now: Micros, work: Work<Payload>) {
        let (mut ctx, parts) = self.split(now);
        match work {
            Work::Answer { caller, answer } => parts.callers.answer(&mut ctx, caller, answer),
            Work::Send { branch, hop, payload, wait } => {
                parts.hops.send(&mut ctx, parts.callers, branch, hop, &payload, wait)
            }
            Work::GiveUp { branch, hop, name } => {
                parts.hops.give_up(&mut ctx, parts.callers, branch, hop, &name)
            }
            Work::Probe(hop) => parts.hops.probe(&mut ctx, parts.callers, hop),
            Work::Tell { to, body } => {
                if let Some(peers) = parts.peers {
                    peers.tell(to, &body);
                }
            }
            Work::FetchList => parts.routes.fetch(&mut ctx),
            Work::Watch(want) => parts.routes.watch(&mut ctx, want),
            Work::CloseIdle(hop) => parts.hops.close_idle(&mut ctx, hop),
        }
    }

    fn signalled(&mut self, now: Micros) {
        // Both may have come since the last turn, each several times; once is enough for either.
        let signals: BTreeSet<i32> = self.signals.pending().collect();
        if signals.contains(&SIGHUP) {
            self.reload(now);
        }
        if signals.contains(&SIGTERM) {
            self.begin_drain(now, Why::Ending);
        }
    }

    /// SIGHUP: the configuration is read again. What the module knows, and all that is open, stays; a file
    /// that cannot be read changes nothing.
    fn reload(&mut self, now: Micros) {
        let config = match Config::reload(|name| std::env::var(name).ok()) {
            Ok(config) => config,
            Err(message) => return note!("SIGHUP: configuration: {message}; the old one stays in force"),
        };
        note!("SIGHUP: discovery is at {}", config.discovery);
        let (mut ctx, parts) = self.split(now);
        parts.routes.move_to(&mut ctx, config.discovery);
        if let (Some(peers), Some(told)) = (parts.peers, config.peers) {
            peers.learn(told.each, told.all);
        }
    }

    /// Begins to send clients away. The work goes on, new work too; when callers have had the time to hear of
    /// it, their connections are parted with. After SIGTERM only what can be done before the end is taken.
    fn begin_drain(&mut self, now: Micros, why: Why) {
        if why == Why::Ending && !self.drain.ending() {
            note!("SIGTERM: {} requests are open", self.desk.owed());
            self.desk.stop(now + self.grace.saturating_sub(LAST_ANSWER));
        }
        if self.drain.begin(why) {
            note!("clients are sent away: {} requests are open", self.desk.owed());
            self.deadlines.set(Due::Farewell, now + PARTING.min(self.grace * 3 / 5));
        }
        self.callers.open = false;
    }

    /// Ends a drain; tells whether the scheduler is open.
    fn rejoin(&mut self) -> bool {
        let open = self.drain.rejoin();
        if open {
            note!("clients are welcome");
            self.deadlines.clear(Due::Farewell);
            self.callers.stay();
            self.callers.open = self.routes.known() > 0;
        }
        open
    }
}

struct Parts<'a> {
    callers: &'a mut Callers,
    hops: &'a mut NextHops,
    routes: &'a mut RouteSet,
    peers: &'a mut Option<Peers>,
    door: &'a mut Option<Door>,
}
