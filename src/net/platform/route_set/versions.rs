//! Versions of the list: what is taken in, and what becomes of workers that come and go with it.

use super::entry::{Line, read_member};
use super::{HOPS_LIMIT, RouteSet};
use crate::config::worker_list::ListUpdate;
use crate::log::log_line;
use crate::net::Ctx;
use crate::net::core::roster::Source;
use crate::net::http::next_hop::NextHops;
use calicolb::api::{ListKind, Member, Standing, WorkerId};
use calicolb::wire::WireError;
use calicolb_freshness::MISSED;
use serde_json::Value;
use std::net::SocketAddr;

impl RouteSet {
    /// Takes in a version or changes. One older than what is known is not taken: it would bring back what has gone
    /// since. Should the known one not be confirmed for as long as discovery may take to tell, it has begun anew, and is
    /// believed.
    pub(super) fn update(
        &mut self,
        ctx: &mut Ctx<'_>,
        hops: &mut NextHops,
        update: ListUpdate,
    ) -> Result<(), &'static str> {
        let confirmed = self.clock.confirmed().unwrap_or(self.clock.started());
        if update.seq < self.seq && ctx.now < confirmed + MISSED {
            self.counters.outdated += 1;
            return Err("the list is older than the one that is known");
        }
        let kind = if update.whole { ListKind::Full } else { ListKind::Changes };
        self.take(ctx, hops, update, kind);
        Ok(())
    }

    pub(super) fn take(
        &mut self,
        ctx: &mut Ctx<'_>,
        hops: &mut NextHops,
        update: ListUpdate,
        kind: ListKind,
    ) {
        let (before, lines) = (self.seq, update.hosts.len());
        self.seq = update.seq;
        self.digest = None;
        let mut members = Vec::with_capacity(update.hosts.len());
        for value in update.hosts {
            match self.read_line(ctx, hops, value) {
                Ok(member) => members.push(member),
                Err(error) => log_line!("a line of the list is dropped: {error}"),
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
        let count = |standing| members.iter().filter(|member| member.standing == standing).count();
        let (draining, gone) = (count(Standing::Draining), count(Standing::Gone));
        self.counters.versions += 1;
        if self.discovery.is_some() {
            log_line!(
                seq = self.seq,
                before,
                ?kind,
                lines,
                draining,
                gone,
                "discovery: a version is taken in"
            );
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
