//! The route set: discovery's list of next hops, fetched and watched. When to ask is the module's decision;
//! what comes back, and that nothing did, is told to it.

use crate::log::note;
use crate::net::Ctx;
use crate::net::core::buffer::{Buffer, Filled};
use crate::net::core::deadlines::Due;
use crate::net::core::roster::{Source, hop_id};
use crate::net::http::framing;
use crate::net::http::next_hop::NextHops;
use calicolb::api::{ListKind, Member, Micros, Standing, WorkerId};
use calicolb::wire::{Names, WireError};
use mio::net::TcpStream;
use mio::{Interest, Token};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::HashMap;
use std::net::SocketAddr;

const SECOND: Micros = 1_000_000;
/// A watch that brings nothing for this long, not even two of the empty lines of every 2 s, is lost; so is a
/// call. What is listed counts as told after 6 s, so a watch that fell silent must be noticed before.
const SILENCE: Micros = 9 * SECOND / 2;
/// A line of a watch holds the whole list at most.
const LINE_LIMIT: usize = 1 << 20;
/// Hops that are remembered at most: a list that names ever new ones must not fill the memory.
const HOPS_LIMIT: usize = 4096;

/// A version of the list, or the changes since another.
#[derive(Serialize, Deserialize)]
pub struct Update {
    seq: u64,
    #[serde(default)]
    whole: bool,
    #[serde(default)]
    hosts: Vec<Value>,
}

/// One line of the list.
#[derive(Serialize, Deserialize)]
struct Line {
    host: String,
    dial: String,
    site: String,
    class: String,
    #[serde(default)]
    block: u32,
    health: String,
    #[serde(default = "one")]
    share: f64,
    #[serde(default)]
    born_ms: u64,
}

fn one() -> f64 {
    1.0
}

struct Call {
    token: usize,
    stream: TcpStream,
    buffer: Buffer,
    /// The head of the answer has come.
    open: bool,
    /// The line that is coming.
    line: Vec<u8>,
}

/// See the head of this file.
pub struct RouteSet {
    /// Where discovery is, if there is any.
    discovery: Option<SocketAddr>,
    seq: u64,
    listed: HashMap<WorkerId, Line>,
    fetch: Option<Call>,
    watch: Option<Call>,
    /// The watch before this one: it serves on until this one is open, so that no change falls in between.
    before: Option<Call>,
}

impl RouteSet {
    pub fn new(discovery: Option<SocketAddr>) -> Self {
        RouteSet { discovery, seq: 0, listed: HashMap::new(), fetch: None, watch: None, before: None }
    }

    /// Takes in the copy of the list that came with the configuration.
    pub fn warm(&mut self, ctx: &mut Ctx<'_>, hops: &mut NextHops, known: Option<Update>) {
        let update = known.unwrap_or(Update { seq: 0, whole: true, hosts: Vec::new() });
        self.take(ctx, hops, update, ListKind::Saved);
    }

    /// The list as it is known, for another process to begin with.
    pub fn list(&self) -> Update {
        let hosts = self.listed.values().filter_map(|line| serde_json::to_value(line).ok()).collect();
        Update { seq: self.seq, whole: true, hosts }
    }

    /// Asks for the whole list once.
    pub fn fetch(&mut self, ctx: &mut Ctx<'_>) {
        // One that is under way brings the same.
        if self.fetch.is_none() {
            self.fetch = self.call(ctx, "/discovery/hosts", Due::Fetch);
        }
    }

    /// Begins the watch, or ends it.
    pub fn watch(&mut self, ctx: &mut Ctx<'_>, want: bool) {
        if let Some(call) = self.watch.take() {
            ctx.deadlines.clear(Due::Watch);
            if want && call.open {
                self.leave_before(ctx);
                self.before = Some(call);
            } else {
                hang_up(ctx, call);
            }
        }
        if !want {
            self.leave_before(ctx);
        } else {
            let target = format!("/discovery/hosts?watch=1&from={}", self.seq);
            self.watch = self.call(ctx, &target, Due::Watch);
        }
    }

    fn leave_before(&mut self, ctx: &mut Ctx<'_>) {
        if let Some(call) = self.before.take() {
            hang_up(ctx, call);
        }
    }

    /// Discovery is at this address from now on; what to ask of it, and when, is the module's to say.
    pub fn move_to(&mut self, ctx: &mut Ctx<'_>, discovery: Option<SocketAddr>) {
        if self.discovery != discovery {
            self.discovery = discovery;
            ctx.desk.list_moved();
        }
    }

    fn call(&mut self, ctx: &mut Ctx<'_>, target: &str, due: Due) -> Option<Call> {
        let mut made = TcpStream::connect(self.discovery?);
        let token = ctx.next_token();
        if let Ok(stream) = &mut made
            && let Err(error) =
                ctx.registry.register(stream, Token(token), Interest::READABLE | Interest::WRITABLE)
        {
            made = Err(error);
        }
        match made {
            Ok(stream) => {
                let mut buffer = Buffer::default();
                buffer.put(&framing::write_request("GET", target, &[("Host", "discovery")], b""));
                ctx.deadlines.set(due, ctx.now + SILENCE);
                Some(Call { token, stream, buffer, open: false, line: Vec::new() })
            }
            Err(error) => {
                note!("calling discovery: {error}");
                ctx.desk.members(Source::Listed, ListKind::Lost, Vec::new());
                None
            }
        }
    }

    /// The connection is one of these.
    pub fn has(&self, token: usize) -> bool {
        [&self.fetch, &self.watch, &self.before].into_iter().flatten().any(|call| call.token == token)
    }

    /// Something can be read or written on one of these connections.
    pub fn ready(&mut self, ctx: &mut Ctx<'_>, hops: &mut NextHops, token: usize) {
        if self.fetch.as_ref().is_some_and(|call| call.token == token) {
            let Some(mut call) = self.fetch.take() else { return };
            match fetched(&mut call) {
                Ok(None) => self.fetch = Some(call),
                Ok(Some(update)) => {
                    end(ctx, call, Due::Fetch);
                    // A watch may have brought what is newer: then this list is one of the past.
                    let old = update.seq < self.seq;
                    let update =
                        if old { Update { seq: self.seq, whole: false, hosts: Vec::new() } } else { update };
                    self.update(ctx, hops, update);
                }
                Err(why) => self.lose(ctx, call, Due::Fetch, why),
            }
        } else if self.watch.as_ref().is_some_and(|call| call.token == token) {
            let Some(mut call) = self.watch.take() else { return };
            let mut updates = Vec::new();
            let told = watched(&mut call, &mut updates);
            for update in updates {
                self.update(ctx, hops, update);
            }
            match told {
                Ok(heard) => {
                    if heard {
                        ctx.deadlines.set(Due::Watch, ctx.now + SILENCE);
                    }
                    if call.open {
                        self.leave_before(ctx);
                    }
                    self.watch = Some(call);
                }
                Err(why) => self.lose(ctx, call, Due::Watch, why),
            }
        } else if let Some(mut call) = self.before.take_if(|call| call.token == token) {
            let mut updates = Vec::new();
            let told = watched(&mut call, &mut updates);
            for update in updates {
                self.update(ctx, hops, update);
            }
            match told {
                Ok(_) => self.before = Some(call),
                // Nothing to tell the module: the call that takes its place has an outcome of its own.
                Err(_) => hang_up(ctx, call),
            }
        }
    }

    /// Nothing has come for too long.
    pub fn late(&mut self, ctx: &mut Ctx<'_>, due: Due) {
        let call = if due == Due::Fetch { self.fetch.take() } else { self.watch.take() };
        if let Some(call) = call {
            self.lose(ctx, call, due, "nothing came for too long");
        }
    }

    fn lose(&mut self, ctx: &mut Ctx<'_>, call: Call, due: Due, why: &str) {
        note!("discovery: {why}");
        end(ctx, call, due);
        ctx.desk.members(Source::Listed, ListKind::Lost, Vec::new());
    }

    fn update(&mut self, ctx: &mut Ctx<'_>, hops: &mut NextHops, update: Update) {
        let kind = if update.whole { ListKind::Full } else { ListKind::Changes };
        self.take(ctx, hops, update, kind);
    }

    fn take(&mut self, ctx: &mut Ctx<'_>, hops: &mut NextHops, update: Update, kind: ListKind) {
        self.seq = update.seq;
        let mut members = Vec::with_capacity(update.hosts.len());
        for value in update.hosts {
            match self.read_line(ctx, hops, value) {
                Ok(member) => members.push(member),
                Err(error) => note!("a line of the list is dropped: {error}"),
            }
        }
        if kind != ListKind::Changes {
            let gone: Vec<WorkerId> = self
                .listed
                .keys()
                .copied()
                .filter(|id| members.iter().all(|member| member.worker != *id))
                .collect();
            for id in gone {
                self.listed.remove(&id);
                hops.forget(ctx, id);
            }
        }
        for member in members.iter().filter(|member| member.standing == Standing::Gone) {
            self.listed.remove(&member.worker);
            hops.forget(ctx, member.worker);
        }
        ctx.desk.members(Source::Listed, kind, members);
    }

    fn read_line(
        &mut self,
        ctx: &mut Ctx<'_>,
        hops: &mut NextHops,
        value: Value,
    ) -> Result<Member, WireError> {
        let line: Line = serde_json::from_value(value).map_err(|error| WireError(error.to_string()))?;
        let dial: SocketAddr =
            line.dial.parse().map_err(|_| WireError(format!("'{}' is no address", line.dial)))?;
        let member = read_member(ctx.names, &line)?;
        if ctx.desk.foreign(member.worker, Source::Listed) {
            return Err(WireError(format!("'{}' has the number of a hop that is no host", line.host)));
        }
        match self.listed.get(&member.worker) {
            Some(known) if known.host != line.host => {
                return Err(WireError(format!("'{}' and '{}' have the same number", line.host, known.host)));
            }
            None if self.listed.len() >= HOPS_LIMIT => return Err(WireError("too many hosts".to_owned())),
            _ => {}
        }
        hops.learn(ctx, member.worker, dial, line.born_ms);
        self.listed.insert(member.worker, line);
        Ok(member)
    }
}

fn read_member(names: &Names, line: &Line) -> Result<Member, WireError> {
    let standing = match line.health.as_str() {
        "in_service" => Standing::On,
        "terminating" => Standing::Draining,
        "terminated" => Standing::Gone,
        other => return Err(WireError(format!("unknown health '{other}'"))),
    };
    Ok(Member {
        worker: hop_id(&line.host),
        zone: names.zone(&line.site)?,
        kind: names.kind(&line.class)?,
        cell: line.block,
        standing,
        weight: line.share,
        // The module's clock is Unix time, in its unit; 0 stands for long ago.
        started: line.born_ms.checked_mul(1_000).filter(|&at| at > 0),
        lanes: None,
        refuses: 0,
    })
}

fn end(ctx: &mut Ctx<'_>, call: Call, due: Due) {
    hang_up(ctx, call);
    ctx.deadlines.clear(due);
}

fn hang_up(ctx: &mut Ctx<'_>, mut call: Call) {
    let _ = ctx.registry.deregister(&mut call.stream);
}

/// Writes and reads; `Ok(None)` while the connection is not up or has not been written to.
fn pump(call: &mut Call) -> Result<Option<Filled>, &'static str> {
    if !matches!(call.stream.take_error(), Ok(None)) {
        return Err("the connection was refused or reset");
    }
    if call.stream.peer_addr().is_err() {
        return Ok(None);
    }
    match call.buffer.flush(&mut call.stream) {
        Ok(true) => Ok(Some(call.buffer.fill(&mut call.stream, LINE_LIMIT))),
        Ok(false) => Ok(None),
        Err(_) => Err("the connection broke"),
    }
}

fn fetched(call: &mut Call) -> Result<Option<Update>, &'static str> {
    let Some(filled) = pump(call)? else { return Ok(None) };
    match framing::response(call.buffer.input()) {
        Ok(Some((response, _))) if response.status == 200 => {
            serde_json::from_slice(&response.body).map(Some).map_err(|_| "the list is malformed")
        }
        Ok(Some(_)) => Err("the call failed"),
        Ok(None) if filled == Filled::Dry => Ok(None),
        Ok(None) => Err("the connection ended"),
        Err(_) => Err("the answer is malformed"),
    }
}

/// Reads what the watch has brought; tells whether there was anything.
fn watched(call: &mut Call, updates: &mut Vec<Update>) -> Result<bool, &'static str> {
    let Some(mut filled) = pump(call)? else { return Ok(false) };
    let mut heard = false;
    loop {
        if !call.open {
            match framing::response_head(call.buffer.input()) {
                Ok(Some((response, _))) if response.status != 200 => return Err("the watch was refused"),
                Ok(Some((_, length))) => {
                    call.open = true;
                    call.buffer.consume(length);
                }
                Ok(None) => {}
                Err(_) => return Err("the answer is malformed"),
            }
        }
        while call.open {
            let Ok(found) = framing::chunk(call.buffer.input()) else { return Err("the watch is malformed") };
            let Some((part, length)) = found else { break };
            heard = true;
            let last = part.is_empty();
            call.line.extend_from_slice(part);
            call.buffer.consume(length);
            read_lines(&mut call.line, updates)?;
            if last {
                return Err("the watch ended");
            }
        }
        match filled {
            Filled::Dry => return Ok(heard),
            Filled::Ended => return Err("the watch broke"),
            Filled::Brimful if call.buffer.input().len() >= LINE_LIMIT => {
                return Err("the watch is malformed");
            }
            Filled::Brimful => filled = call.buffer.fill(&mut call.stream, LINE_LIMIT),
        }
    }
}

fn read_lines(text: &mut Vec<u8>, updates: &mut Vec<Update>) -> Result<(), &'static str> {
    while let Some(end) = text.iter().position(|&byte| byte == b'\n') {
        let line: Vec<u8> = text.drain(..=end).collect();
        if !line.trim_ascii().is_empty() {
            // A change that cannot be read is a gap: the watch is begun anew from the last good one.
            updates.push(serde_json::from_slice(&line).map_err(|_| "a change is malformed")?);
        }
    }
    if text.len() > LINE_LIMIT { Err("a change is too long") } else { Ok(()) }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn member(born_ms: u64, health: &str) -> Result<Member, WireError> {
        let info = r#"{"azs":["a","b"],"kinds":["m1","m2"]}"#;
        let (_, names) = calicolb::wire::settings(info).expect("the settings are sound");
        let line = json!({"host":"s-1","dial":"127.0.0.1:1","site":"b","class":"m2","block":3,"health":health,
            "share":1.5,"born_ms":born_ms});
        read_member(&names, &serde_json::from_value(line).expect("the line is sound"))
    }

    #[test]
    fn a_line_becomes_a_member_on_the_modules_clock() {
        let old = member(0, "in_service").expect("it is sound");
        assert_eq!((old.zone.0, old.kind.0, old.cell, old.weight, old.started), (1, 1, 3, 1.5, None));
        // A start before ours is as good as a later one: both are Unix time.
        let young = member(1_700_000_000_123, "terminating").expect("it is sound");
        assert_eq!(young.started, Some(1_700_000_000_123_000));
        assert_eq!((young.standing, young.worker), (Standing::Draining, hop_id("s-1")));
        assert_eq!(member(0, "terminated").map(|member| member.standing), Ok(Standing::Gone));
        assert!(member(0, "resting").is_err());
        // No time at all must come of a figure that does not fit.
        assert_eq!(member(u64::MAX, "in_service").map(|member| member.started), Ok(None));
    }

    #[test]
    fn changes_are_read_line_by_line_and_a_bad_one_is_a_gap() {
        let mut updates = Vec::new();
        let mut text = b"\n{\"seq\":5}\r\n{\"seq\":6,\"who".to_vec();
        assert_eq!(read_lines(&mut text, &mut updates), Ok(()));
        text.extend_from_slice(b"le\":true}\n\n");
        assert_eq!(read_lines(&mut text, &mut updates), Ok(()));
        assert_eq!(
            updates.iter().map(|update| (update.seq, update.whole)).collect::<Vec<_>>(),
            [(5, false), (6, true)]
        );
        assert!(text.is_empty());
        assert!(read_lines(&mut b"{\"seq\":\n".to_vec(), &mut updates).is_err());
        assert!(read_lines(&mut vec![b'x'; LINE_LIMIT + 1], &mut updates).is_err());
    }
}
