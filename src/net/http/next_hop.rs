//! Next hops: the connections to them, the attempts that go out on these, give-ups and probes.
//!
//! Nothing is ever sent twice from here: a request that meets a stale connection ends as what its last
//! written byte says, and whether it goes out again is the module's to say.

use crate::log::log_line;
use crate::net::Ctx;
use crate::net::core::buffer::{Buffer, Filled};
use crate::net::core::deadlines::{Alarm, Due};
use crate::net::core::desk::AttemptId;
use crate::net::core::envelope::Payload;
use crate::net::core::journey;
use crate::net::http::call_back::report_of;
use crate::net::http::framing;
use crate::net::protocol::Spare;
use calicolb::api::{Ending, Micros, WorkerId};
use mio::net::TcpStream;
use mio::{Interest, Token};
use std::collections::HashMap;
use std::io::Read;
use std::net::SocketAddr;

const MILLI: Micros = 1_000;
/// An idle connection is closed this long before its next hop may: the answer that began its rest, and a
/// request that would end it, are each under way for some of that time.
const IDLE_MARGIN: Micros = 300 * MILLI;
/// After so long without a kept connection that broke under a request, they may rest longer again.
const CALM: Micros = 60_000 * MILLI;
/// A connection that rested for less did not break because it rested.
const BRIEF: Micros = 50 * MILLI;
/// So many of the kept connections must break, by the weight of the last ten or so, before their rest is blamed:
/// other breaks come now and then, and a new connection for every request would cost more than these.
const BLAMED: f64 = 0.25;
/// A probe or a give-up that is not answered by then is dropped.
const SIDE_CALL: Micros = 1_000 * MILLI;

/// What a connection is busy with.
#[derive(Debug, PartialEq)]
enum Task {
    Idle,
    Attempt(AttemptId),
    GiveUp(AttemptId),
    Probe(Micros),
}

struct Link {
    stream: TcpStream,
    buffer: Buffer,
    hop: WorkerId,
    opened: Micros,
    up: bool,
    task: Task,
    /// When it last came to rest; `None` on its first request.
    rested: Option<Micros>,
    /// How long it had rested when the request in work was written, unless that is its first.
    rest: Option<Micros>,
}

struct Hop {
    dial: SocketAddr,
    born: u64,
    /// Idle connections; the one used last is used first, so that the others may end.
    idle: Vec<usize>,
}

/// How long a connection may rest and be used again. Something between here and a next hop may let go of
/// resting connections long before the settings say, and show it only at the next request: that one may then
/// have run, and if it must not run twice, it is lost.
struct Rest {
    bound: Micros,
    most: Micros,
    /// The share of kept connections that broke under a request of late.
    breaks: f64,
    /// When the bound was last moved.
    moved: Micros,
}

impl Rest {
    fn new(most: Micros) -> Self {
        Rest { bound: most, most, breaks: 0.0, moved: 0 }
    }

    /// Connections may rest for so long at most from now on. What was found out about breaks still counts.
    fn take_up(&mut self, most: Micros) {
        let lowered = self.bound < self.most;
        self.bound = if lowered { self.bound.min(most) } else { most };
        self.most = most;
    }

    fn bound(&mut self, now: Micros) -> Micros {
        if self.bound < self.most && now > self.moved + CALM {
            (self.bound, self.moved) = ((self.bound * 2).min(self.most), now);
        }
        self.bound
    }

    /// A connection that had rested so long brought an answer.
    fn held(&mut self, rest: Micros) {
        if rest >= BRIEF {
            self.breaks *= 0.9;
        }
    }

    /// A connection that had rested so long broke under a request.
    fn broke(&mut self, now: Micros, rest: Micros) {
        if rest >= BRIEF {
            self.breaks += (1.0 - self.breaks) * 0.1;
            if self.breaks > BLAMED {
                // Half of what was too long: a few such breaks find the time that is safe.
                (self.bound, self.moved) = (self.bound.min(rest / 2).max(BRIEF), now);
            }
        }
    }
}

/// How long a connection may rest that its next hop closes after `idle`.
fn rest_of(idle: Micros) -> Micros {
    idle.saturating_sub(IDLE_MARGIN).max(idle / 2)
}

/// See the head of this file.
pub struct NextHops {
    hops: HashMap<WorkerId, Hop>,
    links: HashMap<usize, Link>,
    /// Attempts whose connection has not brought an answer yet.
    out: HashMap<AttemptId, usize>,
    /// Connections that have come up for an attempt in this turn. It begins when all facts of the turn are in.
    risen: Vec<usize>,
    connect_timeout: Micros,
    rest: Rest,
    most: usize,
    /// Connections opened, and requests that went out on a kept one, since the start.
    opened: u64,
    reused: u64,
}

impl NextHops {
    /// `idle`: when a next hop closes an idle connection; `most`: connections at most.
    pub fn new(connect_timeout: Micros, idle: Micros, most: usize) -> Self {
        NextHops {
            hops: HashMap::new(),
            links: HashMap::new(),
            out: HashMap::new(),
            risen: Vec::new(),
            connect_timeout,
            rest: Rest::new(rest_of(idle)),
            most,
            opened: 0,
            reused: 0,
        }
    }

    /// What operators are shown of the connections, by name.
    pub fn figures(&self) -> [(&'static str, u64); 3] {
        let open = self.links.len() as u64;
        [
            ("fleet.connections.open", open),
            ("fleet.connections.opened", self.opened),
            ("fleet.connections.reused", self.reused),
        ]
    }

    /// So many connections may be open from now on; of those at rest, all that are too many are closed.
    pub fn limit(&mut self, ctx: &mut Ctx<'_>, most: usize) {
        self.most = most;
        let idle: Vec<usize> = self.hops.values().flat_map(|hop| hop.idle.iter().copied()).collect();
        for token in idle.into_iter().take(self.links.len().saturating_sub(most)) {
            self.drop_link(ctx, token);
        }
    }

    /// The connection is one of these.
    pub fn has(&self, token: usize) -> bool {
        self.links.contains_key(&token)
    }

    /// This next hop is one of these.
    pub fn drives(&self, hop: WorkerId) -> bool {
        self.hops.contains_key(&hop)
    }

    /// Learns where a next hop listens. One that has moved or started anew has no connections left.
    pub fn learn(&mut self, ctx: &mut Ctx<'_>, id: WorkerId, dial: SocketAddr, born: u64) {
        let changed = self.hops.get(&id).is_some_and(|hop| hop.dial != dial || hop.born != born);
        if changed {
            self.close_idle(ctx, id);
        }
        let hop = self.hops.entry(id).or_insert(Hop { dial, born, idle: Vec::new() });
        (hop.dial, hop.born) = (dial, born);
    }

    /// Forgets a next hop that is gone. What is out on its connections ends as these show.
    pub fn forget(&mut self, ctx: &mut Ctx<'_>, id: WorkerId) {
        self.close_idle(ctx, id);
        self.hops.remove(&id);
    }

    /// Other settings are in force. Connections that rest are looked at when they are wanted.
    pub fn take_up(&mut self, connect_timeout: Micros, idle: Micros) {
        self.connect_timeout = connect_timeout;
        self.rest.take_up(rest_of(idle));
    }

    /// Closes the idle connections to a next hop.
    pub fn close_idle(&mut self, ctx: &mut Ctx<'_>, id: WorkerId) {
        let idle = self.hops.get_mut(&id).map(|hop| std::mem::take(&mut hop.idle)).unwrap_or_default();
        for token in idle {
            self.drop_link(ctx, token);
        }
    }

    /// Sends an attempt.
    pub fn send(
        &mut self,
        ctx: &mut Ctx<'_>,
        spare: &mut dyn Spare,
        attempt: AttemptId,
        hop: WorkerId,
        payload: &Payload,
        wait: Micros,
    ) {
        let timeout = format!("{:.3}", wait as f64 / 1e6);
        let kept = |name: &str| !DROPPED.iter().any(|dropped| name.eq_ignore_ascii_case(dropped));
        let mut headers: Vec<(&str, &str)> = payload.headers.iter().filter(|(name, _)| kept(name)).collect();
        headers.push(("Request-Timeout", &timeout));
        let bytes = framing::write_request("POST", &payload.target, &headers, &payload.body);
        if !self.put(ctx, spare, hop, Task::Attempt(attempt), &bytes) {
            ctx.desk.broke(ctx.now, attempt);
        }
    }

    /// Tells a next hop that an attempt is given up: before it took the job by closing the connection, after
    /// that in words.
    pub fn give_up(
        &mut self,
        ctx: &mut Ctx<'_>,
        spare: &mut dyn Spare,
        attempt: AttemptId,
        hop: WorkerId,
        name: &str,
    ) {
        match self.out.get(&attempt).copied() {
            Some(token) => {
                self.drop_link(ctx, token);
                ctx.deadlines.set(
                    Due::CalledOff(attempt.request, attempt.number),
                    ctx.now + journey::arrives(self.connect_timeout),
                );
            }
            None => {
                let bytes = framing::write_request(
                    "DELETE",
                    &format!("/jobs/{name}"),
                    &[("Host", "origin.svc")],
                    b"",
                );
                self.put(ctx, spare, hop, Task::GiveUp(attempt), &bytes);
            }
        }
    }

    /// Lets go of the connection of an attempt that is over: news ended it, but the answer that was due on the
    /// connection itself has not come in all its time, and nothing else would ever end the wait for it.
    pub fn release(&mut self, ctx: &mut Ctx<'_>, attempt: AttemptId) {
        if let Some(token) = self.out.get(&attempt).copied() {
            self.drop_link(ctx, token);
        }
    }

    /// Asks a next hop for its load.
    pub fn probe(&mut self, ctx: &mut Ctx<'_>, spare: &mut dyn Spare, hop: WorkerId) {
        let bytes = framing::write_request("GET", "/metrics/load", &[("Host", "origin.svc")], b"");
        if !self.put(ctx, spare, hop, Task::Probe(ctx.now), &bytes) {
            ctx.desk.probed(hop, Ending::Unreachable, 0, None);
        }
    }

    /// Writes a request on an idle connection, or on a new one; tells whether there is one.
    fn put(
        &mut self,
        ctx: &mut Ctx<'_>,
        spare: &mut dyn Spare,
        hop: WorkerId,
        task: Task,
        bytes: &[u8],
    ) -> bool {
        let token = match self.take_idle(ctx, hop) {
            Some(token) => {
                self.reused += 1;
                token
            }
            None => match self.open(ctx, spare, hop) {
                Some(token) => token,
                None => return false,
            },
        };
        let Some(link) = self.links.get_mut(&token) else { return false };
        link.buffer.put(bytes);
        if link.up && !matches!(task, Task::Attempt(_)) {
            ctx.deadlines.set(Due::Conn(token, Alarm::Late), ctx.now + SIDE_CALL);
        }
        if let Task::Attempt(attempt) = task {
            self.out.insert(attempt, token);
        }
        link.task = task;
        if link.up {
            self.flush(ctx, token);
        }
        true
    }

    fn take_idle(&mut self, ctx: &mut Ctx<'_>, hop: WorkerId) -> Option<usize> {
        while let Some(token) = self.hops.get_mut(&hop)?.idle.pop() {
            ctx.deadlines.clear(Due::Conn(token, Alarm::Rested));
            let Some(link) = self.links.get_mut(&token) else { continue };
            link.rest = link.rested.map(|since| ctx.now.saturating_sub(since));
            if link.rest.is_some_and(|rest| rest > self.rest.bound(ctx.now)) {
                self.drop_link(ctx, token);
                continue;
            }
            // An end that came in since the poll: a request written now would count as one that may have run.
            let silent = matches!(link.stream.read(&mut [0]), Err(error) if error.kind() == std::io::ErrorKind::WouldBlock);
            if silent {
                return Some(token);
            }
            self.drop_link(ctx, token);
        }
        None
    }

    fn open(&mut self, ctx: &mut Ctx<'_>, spare: &mut dyn Spare, hop: WorkerId) -> Option<usize> {
        if self.links.len() >= self.most {
            let idle = self.hops.values().find_map(|hop| hop.idle.first().copied());
            let Some(token) = idle else {
                log_line!("no connection is left for another attempt: {} are open", self.links.len());
                return None;
            };
            self.drop_link(ctx, token);
        }
        let dial = self.hops.get(&hop)?.dial;
        let mut made = TcpStream::connect(dial);
        // Out of descriptors, say: work in hand comes before clients at rest. Nothing has been sent yet.
        if made.is_err() && spare.shed(ctx) {
            made = TcpStream::connect(dial);
        }
        let mut stream = match made {
            Ok(stream) => stream,
            Err(error) => {
                log_line!("connecting to {dial}: {error}");
                return None;
            }
        };
        let token = ctx.next_token();
        let both = Interest::READABLE | Interest::WRITABLE;
        if let Err(error) = ctx.registry.register(&mut stream, Token(token), both) {
            log_line!("watching a connection to {dial}: {error}");
            return None;
        }
        ctx.deadlines.set(Due::Conn(token, Alarm::Late), ctx.now + self.connect_timeout);
        let link = Link {
            stream,
            buffer: Buffer::default(),
            hop,
            opened: ctx.now,
            up: false,
            task: Task::Idle,
            rested: None,
            rest: None,
        };
        self.links.insert(token, link);
        self.opened += 1;
        Some(token)
    }

    /// Something can be read or written on one of these connections.
    pub fn ready(&mut self, ctx: &mut Ctx<'_>, token: usize) {
        let Some(link) = self.links.get_mut(&token) else { return };
        if !link.up {
            let failed = !matches!(link.stream.take_error(), Ok(None));
            if failed {
                return self.fail(ctx, token);
            }
            if link.stream.peer_addr().is_err() {
                return;
            }
            if ctx.now >= link.opened + self.connect_timeout {
                return self.fail(ctx, token);
            }
            link.up = true;
            let _ = link.stream.set_nodelay(true);
            if let Task::Attempt(_) = link.task {
                ctx.deadlines.clear(Due::Conn(token, Alarm::Late));
                return self.risen.push(token);
            }
            ctx.deadlines.set(Due::Conn(token, Alarm::Late), ctx.now + SIDE_CALL);
        }
        self.go_on(ctx, token);
    }

    fn go_on(&mut self, ctx: &mut Ctx<'_>, token: usize) {
        if self.flush(ctx, token) {
            self.read(ctx, token);
        }
    }

    /// Begins the attempts whose connections have come up. The module has heard all that came with them: what it no longer
    /// wants is gone by now, or is asked for here.
    pub fn begin(&mut self, ctx: &mut Ctx<'_>) {
        for token in std::mem::take(&mut self.risen) {
            let Some(&Link { task: Task::Attempt(attempt), .. }) = self.links.get(&token) else { continue };
            match ctx.desk.begins(ctx.now, attempt) {
                Ok(()) => self.go_on(ctx, token),
                Err(ending) => {
                    self.drop_link(ctx, token);
                    ctx.desk.unbegun(ctx.now, attempt, ending);
                }
            }
        }
    }

    /// Writes what waits; tells whether the connection lives and has nothing more to write.
    fn flush(&mut self, ctx: &mut Ctx<'_>, token: usize) -> bool {
        // A next hop says at once that it takes a job. One that has not after this time has fallen silent, or the way to
        // it has: the connection would show nothing of that.
        let silence = journey::silence(self.connect_timeout);
        let Some(link) = self.links.get_mut(&token) else { return false };
        if !link.buffer.has_output() {
            return true;
        }
        match link.buffer.flush(&mut link.stream) {
            Ok(true) => {
                if let Task::Attempt(attempt) = link.task {
                    ctx.desk.written(ctx.now, attempt);
                    ctx.deadlines.set(Due::Conn(token, Alarm::Late), ctx.now + silence);
                }
                true
            }
            Ok(false) => false,
            Err(_) => {
                self.fail(ctx, token);
                false
            }
        }
    }

    fn read(&mut self, ctx: &mut Ctx<'_>, token: usize) {
        let Some(link) = self.links.get_mut(&token) else { return };
        let filled = link.buffer.fill(&mut link.stream, framing::MESSAGE_LIMIT);
        if link.task == Task::Idle {
            // A next hop has nothing to say unasked; it ends the connection, or is out of step.
            if filled != Filled::Dry || !link.buffer.input().is_empty() {
                self.drop_link(ctx, token);
            }
            return;
        }
        match framing::response(link.buffer.input()) {
            Ok(Some((response, length))) => {
                link.buffer.consume(length);
                let task = std::mem::replace(&mut link.task, Task::Idle);
                let (hop, clean) = (link.hop, link.buffer.input().is_empty());
                ctx.deadlines.clear(Due::Conn(token, Alarm::Late));
                if let Some(rest) = link.rest.take() {
                    self.rest.held(rest);
                }
                link.rested = Some(ctx.now);
                match task {
                    Task::Attempt(attempt) => {
                        self.out.remove(&attempt);
                        answered(ctx, attempt, &response);
                    }
                    Task::Probe(sent) => {
                        let report = serde_json::from_slice(&response.body).ok();
                        let report = report.and_then(|value| report_of(ctx.names, &value));
                        let ending = if response.status == 200 { Ending::Ok } else { Ending::Error };
                        ctx.desk.probed(hop, ending, ctx.now.saturating_sub(sent), report);
                    }
                    // Whatever it answers: it has heard, or knows nothing of the job.
                    Task::GiveUp(attempt) => ctx.desk.called_off(ctx.now, attempt),
                    Task::Idle => {}
                }
                let known = self.hops.get_mut(&hop).filter(|hop| {
                    self.links
                        .get(&token)
                        .is_some_and(|link| link.stream.peer_addr().is_ok_and(|at| at == hop.dial))
                });
                match known {
                    Some(hop) if response.keep_alive && clean && filled == Filled::Dry => {
                        hop.idle.push(token);
                        ctx.deadlines
                            .set(Due::Conn(token, Alarm::Rested), ctx.now + self.rest.bound(ctx.now));
                    }
                    _ => self.drop_link(ctx, token),
                }
            }
            Ok(None) if filled == Filled::Dry => {}
            Ok(None) => self.fail(ctx, token),
            Err(_) => {
                log_line!("a next hop's answer is malformed");
                self.fail(ctx, token);
            }
        }
    }

    /// The connection has broken, or never came up.
    fn fail(&mut self, ctx: &mut Ctx<'_>, token: usize) {
        let Some(link) = self.links.get_mut(&token) else { return };
        let (hop, up) = (link.hop, link.up);
        let task = std::mem::replace(&mut link.task, Task::Idle);
        if let Some(rest) = link.rest {
            self.rest.broke(ctx.now, rest);
        }
        match task {
            Task::Attempt(attempt) => {
                self.out.remove(&attempt);
                ctx.desk.broke(ctx.now, attempt);
            }
            Task::Probe(sent) => {
                let ending = if up { Ending::Broken } else { Ending::Unreachable };
                ctx.desk.probed(hop, ending, ctx.now.saturating_sub(sent), None);
            }
            Task::GiveUp(_) | Task::Idle => {}
        }
        self.drop_link(ctx, token);
    }

    fn drop_link(&mut self, ctx: &mut Ctx<'_>, token: usize) {
        let Some(mut link) = self.links.remove(&token) else { return };
        let _ = ctx.registry.deregister(&mut link.stream);
        ctx.deadlines.clear(Due::Conn(token, Alarm::Late));
        ctx.deadlines.clear(Due::Conn(token, Alarm::Rested));
        if let Task::Attempt(attempt) = link.task {
            self.out.remove(&attempt);
        }
        if let Some(hop) = self.hops.get_mut(&link.hop) {
            hop.idle.retain(|&idle| idle != token);
        }
    }

    /// The connect, a side call or the answer to an attempt has taken too long.
    fn late(&mut self, ctx: &mut Ctx<'_>, token: usize) {
        match self.links.get(&token) {
            // It may be with the next hop, and news of it may yet come: what to do is the module's to say.
            Some(Link { up: true, task: Task::Attempt(attempt), .. }) => ctx.desk.silent(*attempt),
            _ => self.fail(ctx, token),
        }
    }

    /// A time that was set for a connection has come.
    pub fn due(&mut self, ctx: &mut Ctx<'_>, token: usize, alarm: Alarm) {
        if alarm == Alarm::Rested { self.rested(ctx, token) } else { self.late(ctx, token) }
    }

    /// An idle connection has rested long enough.
    fn rested(&mut self, ctx: &mut Ctx<'_>, token: usize) {
        if self.links.get(&token).is_some_and(|link| link.task == Task::Idle) {
            self.drop_link(ctx, token);
        }
    }
}

/// Headers that speak of one connection only, or are written anew.
const DROPPED: [&str; 8] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "content-length",
    "te",
    "upgrade",
    "expect",
    "request-timeout",
];

/// What the answer on its own connection says of an attempt.
fn answered(ctx: &mut Ctx<'_>, attempt: AttemptId, response: &framing::Response) {
    let load = response.headers.get("server-load").and_then(|text| serde_json::from_str(text).ok());
    let report = load.and_then(|value| report_of(ctx.names, &value));
    let unstarted = response.headers.get("not-started") == Some("1");
    match response.status {
        202 => ctx.desk.taken(attempt),
        503 | 504 if unstarted => ctx.desk.answered(ctx.now, attempt, Ending::Full, report),
        status => {
            if status != 500 {
                log_line!("a next hop answered {status}");
            }
            // What a client did wrong must not be held against the next hop, nor tried on all the others.
            let ending = if (400..500).contains(&status) { Ending::Unusable } else { Ending::Error };
            ctx.desk.answered(ctx.now, attempt, ending, report);
        }
    }
}

#[cfg(test)]
mod tests;
