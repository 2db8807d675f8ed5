//! The components of the event loop, which are borrowed apart from the context that all of them use.

use super::*;

impl EventLoop {
    /// Splits the event loop into the context that all components use, and the components.
    pub(super) fn split(&mut self, now: Micros) -> (Context<'_>, Components<'_>) {
        let ctx = Context {
            registry: &self.registry,
            names: &self.names,
            deadlines: &mut self.deadlines,
            request_table: &mut self.request_table,
            last_token: &mut self.last_token,
            unmatched_callbacks: &mut self.unmatched_callbacks,
            peer_outbox: &mut self.peer_outbox,
            protocol_requests: &mut self.protocol_requests,
            input_queue: &mut self.input_queue,
            memory: &self.memory,
            now,
        };
        let components = Components {
            http: &mut self.http,
            other_protocols: &mut self.other_protocols,
            static_workers: &self.static_workers,
            discovery: &mut self.discovery,
            peers: &mut self.peers,
            control: &mut self.control,
            management: &mut self.management,
            drain: &mut self.drain,
            upgrade_link: &mut self.upgrade_link,
        };
        (ctx, components)
    }
}

/// The components of the event loop, borrowed apart from the [`Context`].
pub(super) struct Components<'a> {
    pub(super) http: &'a mut Http,
    pub(super) other_protocols: &'a mut Vec<Box<dyn Protocol>>,
    pub(super) static_workers: &'a [StaticWorker],
    pub(super) discovery: &'a mut DiscoveryClient,
    pub(super) peers: &'a mut Option<PeerSocket>,
    pub(super) control: &'a mut Option<ControlClient>,
    pub(super) management: &'a mut Option<ManagementServer>,
    pub(super) drain: &'a mut Drain,
    pub(super) upgrade_link: &'a mut UpgradeLink,
}

impl Components<'_> {
    /// Receives datagrams of other schedulers. Those about the worker list go to the discovery client; the others have
    /// gone to the decision module already.
    pub(super) fn receive_peers(&mut self, ctx: &mut Context<'_>) {
        let Some(peers) = self.peers else { return };
        for (from, message) in peers.receive(ctx) {
            self.discovery.handle_peer_message(ctx, from, message);
        }
    }

    /// All protocols, HTTP first.
    pub(super) fn protocols(&mut self) -> impl Iterator<Item = &mut dyn Protocol> {
        let http: &mut dyn Protocol = self.http;
        std::iter::once(http)
            .chain(self.other_protocols.iter_mut().map(|other| &mut **other as &mut dyn Protocol))
    }

    /// The protocol through which a worker is reached. A worker that is no longer known counts as one of HTTP, which
    /// reports the failure.
    pub(super) fn protocol_for_worker(&mut self, worker: WorkerId) -> &mut dyn Protocol {
        match self.other_protocols.iter_mut().find(|other| other.owns_worker(worker)) {
            Some(other) => &mut **other,
            None => self.http,
        }
    }
}
