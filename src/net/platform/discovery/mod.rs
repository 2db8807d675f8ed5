//! Client of discovery: fetches and watches the list of workers. The dispatcher decides when to query a
//! discovery service that is shared by the fleet; an agent on the same machine is queried whenever the lease
//! on the list ([`calicolb_freshness`]) requests it. Received lists and lost calls are reported to the
//! dispatcher.

mod digest;
mod entry;
mod peer_queries;
mod versions;

use self::entry::Entry;
use crate::config::worker_list::ListUpdate;
use crate::log::log_line;
use crate::net::Context;
use crate::net::core::buffer::Buffer;
use crate::net::core::deadlines::Deadline;
use crate::net::core::worker_registry::WorkerSource;
use crate::net::http::framing;
use crate::net::http::upstream::UpstreamConnections;
use crate::net::platform::call::{Call, WatchInput, WatchRead, read_list, read_watch};
use crate::net::protocol::ReleaseIdle;
use calicolb::api::{ListKind, Micros, WorkerId};
use calicolb_freshness::witness::Inquiry;
use calicolb_freshness::{ListLease, ListSource, SERVICE_TIMEOUT, WatchAction, WatchState};
use mio::net::TcpStream;
use mio::{Interest, Token};
use std::collections::HashMap;
use std::net::SocketAddr;

/// Maximum number of workers kept: a list that keeps naming new workers must not fill the memory.
const MAX_WORKERS: usize = 4096;

/// Time after the start at which the process counts as ready even without a confirmed list, in microseconds:
/// a discovery outage must not prevent the fleet from starting.
const READY_TIMEOUT: Micros = 3_000_000;

/// The connections to discovery and the list that came from it.
pub struct DiscoveryClient {
    /// Address of discovery, if there is one.
    discovery: Option<SocketAddr>,
    /// Lease on the list: the state of the watch, and the time until which the list may be used.
    lease: ListLease,
    /// Version of the list.
    seq: u64,
    /// Workers on the list.
    listed: HashMap<WorkerId, Entry>,
    fetch: Option<Call>,
    watch: Option<Call>,
    /// The watch before the current one. It is read until the current one has received its response head, so
    /// that no change is missed in between.
    previous_watch: Option<Call>,
    /// End of the list's lease as the dispatcher was last told, in microseconds.
    lease_end: Option<Micros>,
    /// The list could be acted on at the last check.
    usable: bool,
    counters: Counters,
    /// Queries to other schedulers about their lists while discovery does not respond.
    inquiry: Inquiry,
    /// Digest of the list, computed on first use.
    digest: Option<u64>,
}

/// Events of the list since the start of the process.
#[derive(Default)]
struct Counters {
    /// Calls for the list or for a watch.
    calls: u64,
    /// Calls and watches that were refused, reset, timed out or could not be parsed.
    lost: u64,
    /// Versions of the list that were applied.
    versions: u64,
    /// Versions that were ignored because they are older than the known one.
    outdated: u64,
    /// Answers of other schedulers that confirmed the list.
    confirmed_by_peer: u64,
    /// Answers of other schedulers that showed a newer list.
    newer_at_peer: u64,
}

impl DiscoveryClient {
    /// Creates a client without a list. `grace`: time after notification of a change during which a scheduler
    /// may still act on the old list, in microseconds.
    pub fn new(discovery: Option<SocketAddr>, on_request: bool, grace: Micros, now: Micros) -> Self {
        let source = match discovery {
            None => ListSource::Fixed,
            Some(_) if on_request => ListSource::SharedService,
            Some(_) => ListSource::LocalAgent,
        };
        DiscoveryClient {
            discovery,
            lease: ListLease::new(source, grace, now),
            seq: 0,
            listed: HashMap::new(),
            fetch: None,
            watch: None,
            previous_watch: None,
            lease_end: None,
            usable: false,
            counters: Counters::default(),
            inquiry: Inquiry::default(),
            digest: None,
        }
    }

    /// Applies the list from the configuration or from the predecessor. `since_confirmation`: time between
    /// the last confirmation by discovery and the start of this process, in microseconds, if known.
    pub fn load_initial_list(
        &mut self,
        ctx: &mut Context<'_>,
        workers: &mut UpstreamConnections,
        initial: Option<ListUpdate>,
        since_confirmation: Option<Micros>,
    ) {
        // With a local agent the lease starts with the process, because changes that the agent has received
        // count as notified from that time on, whatever the predecessor was notified of.
        if let Some(elapsed) = since_confirmation.filter(|_| self.lease.source() == ListSource::SharedService)
        {
            self.lease.confirm(self.lease.started().saturating_sub(elapsed));
        }
        let update = initial.unwrap_or(ListUpdate { seq: 0, whole: true, hosts: Vec::new() });
        self.apply(ctx, workers, update, ListKind::Saved);
        ctx.deadlines.set(Deadline::Readiness, self.lease.started() + READY_TIMEOUT);
        self.update_deadlines(ctx);
    }

    /// Sets the time after notification of a change during which a scheduler may still act on the old list,
    /// in microseconds.
    pub fn set_grace(&mut self, ctx: &mut Context<'_>, grace: Micros) {
        if self.lease.set_grace(grace) {
            self.update_deadlines(ctx);
        }
    }

    /// Time since the list was last confirmed, in microseconds, for the handover to a successor.
    pub fn time_since_confirmation(&self, now: Micros) -> Option<Micros> {
        self.lease.confirmed().map(|confirmed| now.saturating_sub(confirmed))
    }

    /// Returns whether clients may be served: the list can be acted on, or it has been unconfirmed for
    /// `READY_TIMEOUT`, so that clients are refused instead of being kept waiting.
    pub fn is_ready(&self, now: Micros) -> bool {
        !self.stale(now) || now >= self.lease.started() + READY_TIMEOUT
    }

    /// Metrics of the list by name.
    pub fn metrics(&self, now: Micros) -> [(&'static str, u64); 9] {
        [
            ("list.version", self.seq),
            ("list.watch_open", u64::from(matches!(self.lease.state(), WatchState::Open(_)))),
            ("list.stale", u64::from(self.stale(now))),
            ("list.calls", self.counters.calls),
            ("list.lost", self.counters.lost),
            ("list.versions_taken", self.counters.versions),
            ("list.versions_outdated", self.counters.outdated),
            ("list.vouched", self.counters.confirmed_by_peer),
            ("list.behind", self.counters.newer_at_peer),
        ]
    }

    /// The known list, for the handover to a successor.
    pub fn known_list(&self) -> ListUpdate {
        let hosts =
            self.listed.values().filter_map(|entry| serde_json::value::to_raw_value(entry).ok()).collect();
        ListUpdate { seq: self.seq, whole: true, hosts }
    }

    /// Requests the whole list once.
    pub fn fetch_list(&mut self, ctx: &mut Context<'_>, idle_clients: &mut dyn ReleaseIdle) {
        // A call in progress brings the same list.
        if self.fetch.is_none() {
            self.fetch = self.open_call(ctx, idle_clients, "/discovery/hosts");
            if self.fetch.is_some() {
                ctx.deadlines.set(Deadline::DiscoveryFetch, ctx.now + SERVICE_TIMEOUT);
            }
        }
    }

    /// Opens or closes the watch.
    pub fn set_watch(&mut self, ctx: &mut Context<'_>, idle_clients: &mut dyn ReleaseIdle, enabled: bool) {
        if let Some(call) = self.watch.take() {
            if enabled && call.head_received {
                self.close_previous_watch(ctx);
                self.previous_watch = Some(call);
            } else {
                close_call(ctx, call);
            }
        }
        if enabled {
            let target = format!("/discovery/hosts?watch=1&from={}", self.seq);
            self.lease.watch_requested(ctx.now);
            self.watch = self.open_call(ctx, idle_clients, &target);
            if self.watch.is_none() {
                self.lease.watch_closed(ctx.now);
            }
        } else {
            self.close_previous_watch(ctx);
            self.lease.watch_closed(ctx.now);
        }
        self.update_deadlines(ctx);
    }

    /// Sets the deadlines that the lease and the queries to other schedulers ask for, and tells the
    /// dispatcher when the lease ends.
    fn update_deadlines(&mut self, ctx: &mut Context<'_>) {
        match self.lease.due() {
            Some(due) => ctx.deadlines.set(Deadline::DiscoveryWatch, due),
            None => ctx.deadlines.clear(Deadline::DiscoveryWatch),
        }
        match self.inquiry.due(&self.lease) {
            Some(due) => ctx.deadlines.set(Deadline::PeerListCheck, due),
            None => ctx.deadlines.clear(Deadline::PeerListCheck),
        }
        let lease_end = self.lease.lease_end();
        if lease_end != self.lease_end {
            self.lease_end = lease_end;
            ctx.request_table.set_list_lease_end(lease_end);
            match lease_end {
                Some(lease_end) if lease_end > ctx.now => ctx.deadlines.set(Deadline::ListExpiry, lease_end),
                _ => ctx.deadlines.clear(Deadline::ListExpiry),
            }
        }
        let usable = !self.stale(ctx.now);
        if usable && !self.usable && self.discovery.is_some() {
            log_line!(seq = self.seq, "discovery: the list is confirmed");
        }
        self.usable = usable;
    }

    /// Returns whether the lease of the list has ended or never started, so that nothing new may be sent
    /// based on it.
    fn stale(&self, now: Micros) -> bool {
        self.lease.lease_end().is_some_and(|lease_end| now >= lease_end)
    }

    /// Handles the end of the lease of the list.
    pub fn handle_expiry(&mut self, now: Micros) {
        if self.stale(now) {
            self.usable = false;
            log_line!(warn: seq = self.seq, "discovery: the list is too old: nothing new is sent until it is confirmed");
        }
    }

    fn close_previous_watch(&mut self, ctx: &mut Context<'_>) {
        if let Some(call) = self.previous_watch.take() {
            close_call(ctx, call);
        }
    }

    /// Sets the address of discovery. The dispatcher decides which calls to make there, and when.
    pub fn set_address(&mut self, ctx: &mut Context<'_>, discovery: Option<SocketAddr>) {
        if self.discovery != discovery {
            self.discovery = discovery;
            self.lease.discovery_moved(ctx.now);
            ctx.request_table.list_source_changed();
            self.update_deadlines(ctx);
        }
    }

    fn open_call(
        &mut self,
        ctx: &mut Context<'_>,
        idle_clients: &mut dyn ReleaseIdle,
        target: &str,
    ) -> Option<Call> {
        let discovery = self.discovery?;
        self.counters.calls += 1;
        log_line!(seq = self.seq, %discovery, target, "discovery: opening a call");
        let mut connect_result = TcpStream::connect(discovery);
        // The connect fails when the process is out of descriptors, for example. Nothing can be sent without
        // the list, so an idle client connection is closed to free one.
        if connect_result.is_err() && idle_clients.release_idle(ctx) {
            connect_result = TcpStream::connect(discovery);
        }
        let token = ctx.next_token();
        if let Ok(stream) = &mut connect_result
            && let Err(error) =
                ctx.registry.register(stream, Token(token), Interest::READABLE | Interest::WRITABLE)
        {
            connect_result = Err(error);
        }
        match connect_result {
            Ok(stream) => {
                let mut buffer = Buffer::default();
                buffer.append_output(&framing::write_request("GET", target, &[("Host", "discovery")], b""));
                Some(Call { token, stream, buffer, head_received: false, pending: Vec::new() })
            }
            Err(error) => {
                log_line!("failed to call discovery: {error}");
                self.report_loss(ctx);
                None
            }
        }
    }

    /// Returns whether the token belongs to one of the calls.
    pub fn owns_token(&self, token: usize) -> bool {
        [&self.fetch, &self.watch, &self.previous_watch].into_iter().flatten().any(|call| call.token == token)
    }

    /// Handles a readable or writable call.
    pub fn handle_ready(&mut self, ctx: &mut Context<'_>, workers: &mut UpstreamConnections, token: usize) {
        if self.fetch.as_ref().is_some_and(|call| call.token == token) {
            let Some(mut call) = self.fetch.take() else { return };
            match read_list(&mut call) {
                Ok(None) => self.fetch = Some(call),
                Ok(Some(update)) => {
                    close_call(ctx, call);
                    ctx.deadlines.clear(Deadline::DiscoveryFetch);
                    // A watch may have brought a newer version. This list is then outdated and contains
                    // nothing new.
                    if self.apply_if_current(ctx, workers, update).is_err() {
                        ctx.request_table.update_workers(
                            WorkerSource::Discovery,
                            ListKind::Changes,
                            Vec::new(),
                        );
                    }
                }
                Err(why) => self.handle_loss(ctx, call, Deadline::DiscoveryFetch, why),
            }
        } else if self.watch.as_ref().is_some_and(|call| call.token == token) {
            self.handle_watch_ready(ctx, workers);
        } else if let Some(mut call) = self.previous_watch.take_if(|call| call.token == token) {
            let mut updates = Vec::new();
            let WatchRead { end, has_more, .. } = read_watch(&mut call, &mut updates);
            if has_more {
                ctx.input_queue.push_backlog(token);
            }
            let applied =
                updates.into_iter().try_for_each(|update| self.apply_if_current(ctx, workers, update));
            if applied.is_ok() && end.is_none() {
                self.previous_watch = Some(call);
            } else {
                // The dispatcher is not informed: the watch that replaces this one reports its own outcome.
                close_call(ctx, call);
            }
        }
    }

    /// Handles input on the watch, or its end.
    fn handle_watch_ready(&mut self, ctx: &mut Context<'_>, workers: &mut UpstreamConnections) {
        let Some(mut call) = self.watch.take() else { return };
        // Input that stayed unread while this process was stopped may be old, so it confirms nothing. The
        // watch times out later in this iteration.
        let overdue = self.lease.due().is_some_and(|due| due <= ctx.now);
        let mut updates = Vec::new();
        let WatchRead { input, has_more, end } = read_watch(&mut call, &mut updates);
        if has_more {
            ctx.input_queue.push_backlog(call.token);
        }
        let applied = updates.into_iter().try_for_each(|update| self.apply_if_current(ctx, workers, update));
        match input {
            WatchInput::None => {}
            // A list older than the known one confirms nothing about the known one.
            _ if applied.is_err() => {}
            _ if overdue => {
                log_line!("discovery: input that stayed unread past its deadline does not confirm the list")
            }
            WatchInput::Partial => self.lease.bytes_received(ctx.now),
            WatchInput::Complete => {
                self.lease.message_received(ctx.now);
                self.inquiry.reset();
            }
        }
        if let Some(why) = applied.err().or(end) {
            return self.handle_loss(ctx, call, Deadline::DiscoveryWatch, why);
        }
        if call.head_received {
            self.close_previous_watch(ctx);
        }
        self.watch = Some(call);
        self.update_deadlines(ctx);
    }

    /// Handles the timeout of a call, or opens the next watch.
    pub fn handle_timeout(
        &mut self,
        ctx: &mut Context<'_>,
        idle_clients: &mut dyn ReleaseIdle,
        due: Deadline,
    ) {
        if due == Deadline::DiscoveryFetch {
            if let Some(call) = self.fetch.take() {
                self.handle_loss(ctx, call, due, "timed out waiting for data");
            }
            return;
        }
        match self.lease.poll(ctx.now) {
            Some(WatchAction::Open) => return self.set_watch(ctx, idle_clients, true),
            Some(WatchAction::GiveUp) => {
                if let Some(call) = self.watch.take() {
                    self.handle_loss(ctx, call, due, "timed out waiting for data");
                }
            }
            None => {}
        }
        self.update_deadlines(ctx);
    }

    fn handle_loss(&mut self, ctx: &mut Context<'_>, call: Call, due: Deadline, why: &str) {
        self.counters.lost += 1;
        log_line!(seq = self.seq, "discovery: {why}");
        close_call(ctx, call);
        if due == Deadline::DiscoveryFetch {
            ctx.deadlines.clear(due);
        } else {
            self.lease.watch_failed(ctx.now);
            self.update_deadlines(ctx);
        }
        self.report_loss(ctx);
    }

    /// Reports a lost call to the dispatcher, which decides when a shared discovery service is queried again.
    /// An agent is queried without the dispatcher.
    fn report_loss(&self, ctx: &mut Context<'_>) {
        if self.lease.source() == ListSource::SharedService {
            ctx.request_table.update_workers(WorkerSource::Discovery, ListKind::Lost, Vec::new());
        }
    }
}

fn close_call(ctx: &mut Context<'_>, mut call: Call) {
    let _ = ctx.registry.deregister(&mut call.stream);
}
