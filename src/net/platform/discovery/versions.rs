//! Applies versions of the worker list and adds or removes workers accordingly.

use super::entry::{Entry, read_member};
use super::{DiscoveryClient, MAX_WORKERS};
use crate::config::worker_list::ListUpdate;
use crate::log::log_line;
use crate::net::Context;
use crate::net::core::worker_registry::WorkerSource;
use crate::net::http::upstream::UpstreamConnections;
use calicolb::api::{ListKind, Member, WorkerId, WorkerStatus};
use calicolb::wire::WireError;
use calicolb_freshness::MISSED_CHANGE_DELAY;
use serde_json::value::RawValue;
use std::collections::HashSet;
use std::net::SocketAddr;

impl DiscoveryClient {
    /// Applies a full list or changes. An update older than the known version is rejected because it would
    /// bring back removed workers. If the known version has not been confirmed for as long as discovery may
    /// take to notify, discovery has restarted its numbering and the update is accepted.
    pub(super) fn apply_if_current(
        &mut self,
        ctx: &mut Context<'_>,
        workers: &mut UpstreamConnections,
        update: ListUpdate,
    ) -> Result<(), &'static str> {
        let confirmed = self.lease.confirmed().unwrap_or(self.lease.started());
        if update.seq < self.seq && ctx.now < confirmed + MISSED_CHANGE_DELAY {
            self.counters.outdated += 1;
            return Err("the list is older than the one that is known");
        }
        let kind = if update.whole { ListKind::Full } else { ListKind::Changes };
        self.apply(ctx, workers, update, kind);
        Ok(())
    }

    /// Applies a full list or changes without checking the version, and reports the members to the
    /// dispatcher.
    pub(super) fn apply(
        &mut self,
        ctx: &mut Context<'_>,
        workers: &mut UpstreamConnections,
        update: ListUpdate,
        kind: ListKind,
    ) {
        let (before, entry_count) = (self.seq, update.hosts.len());
        self.seq = update.seq;
        self.digest = None;
        let mut members = Vec::with_capacity(update.hosts.len());
        for host in update.hosts {
            match self.read_entry(ctx, workers, &host) {
                Ok(member) => members.push(member),
                Err(error) => log_line!("a line of the list is dropped: {error}"),
            }
        }
        if kind != ListKind::Changes {
            let present: HashSet<WorkerId> = members.iter().map(|member| member.worker).collect();
            let gone: Vec<WorkerId> =
                self.listed.keys().copied().filter(|id| !present.contains(id)).collect();
            for id in gone {
                self.listed.remove(&id);
                workers.remove_worker(ctx, id);
            }
        }
        for member in members.iter().filter(|member| member.status == WorkerStatus::Gone) {
            self.listed.remove(&member.worker);
            workers.remove_worker(ctx, member.worker);
        }
        let count = |status| members.iter().filter(|member| member.status == status).count();
        let (draining, gone) = (count(WorkerStatus::Draining), count(WorkerStatus::Gone));
        self.counters.versions += 1;
        if self.discovery.is_some() {
            log_line!(
                seq = self.seq,
                before,
                ?kind,
                lines = entry_count,
                draining,
                gone,
                "discovery: applied a version of the list"
            );
        }
        ctx.request_table.update_workers(WorkerSource::Discovery, kind, members);
    }

    /// Parses one entry and records its worker. Rejects an entry whose worker number is already taken.
    fn read_entry(
        &mut self,
        ctx: &mut Context<'_>,
        workers: &mut UpstreamConnections,
        host: &RawValue,
    ) -> Result<Member, WireError> {
        let entry: Entry = serde_json::from_str(host.get()).map_err(|error| WireError(error.to_string()))?;
        let address: SocketAddr =
            entry.address.parse().map_err(|_| WireError(format!("'{}' is not an address", entry.address)))?;
        let member = read_member(ctx.names, &entry)?;
        if ctx.request_table.belongs_to_other_source(member.worker, WorkerSource::Discovery) {
            return Err(WireError(format!(
                "'{}' has the number of a worker that is not a host of the list",
                entry.host
            )));
        }
        match self.listed.get(&member.worker) {
            Some(known) if known.host != entry.host => {
                return Err(WireError(format!("'{}' and '{}' have the same number", entry.host, known.host)));
            }
            None if self.listed.len() >= MAX_WORKERS => {
                return Err(WireError("the list has too many hosts".to_owned()));
            }
            _ => {}
        }
        workers.update_worker(ctx, member.worker, address, entry.started_ms);
        self.listed.insert(member.worker, entry);
        Ok(member)
    }
}
