//! Membership: what the list says of each worker, and when it is asked for.

use super::*;

impl Dispatcher {
    pub(super) fn on_members(&mut self, now: Micros, kind: ListKind, members: Vec<Member>) {
        let after = match kind {
            // Soon, and again soon: what is missed counts a few seconds after discovery can be reached.
            ListKind::Lost => {
                self.list.subscribed = false;
                let rest = if std::mem::replace(&mut self.list.lost, true) { SECOND / 2 } else { 1 };
                Some(rest + self.rng.u64(0..SECOND))
            }
            // Spread over time, so that dispatchers which start together do not swamp the list; and soon, since nothing
            // may be sent by a saved list before it is confirmed.
            ListKind::Saved if self.settings.list_on_request && !self.list.subscribed => {
                Some(1 + self.rng.u64(0..(self.settings.rules.ask_every / 2).clamp(1, FIRST_CALL)))
            }
            _ => None,
        };
        self.out.extend(after.map(|after| Action::SetTimer { timer: TIMER_LIST, after }));
        if kind == ListKind::Lost {
            return;
        }
        self.list.lost &= kind == ListKind::Saved;
        if kind != ListKind::Changes {
            let gone = |of: &&mut Worker| members.iter().all(|member| member.worker != of.id);
            self.workers.iter_mut().filter(gone).for_each(|worker| worker.status = WorkerStatus::Gone);
        }
        members.into_iter().for_each(|member| self.on_member(member));
        self.rebuild_maps();
        if kind == ListKind::Saved {
            if self.company.sends_peer_messages() {
                self.out.push(Action::SendMessage {
                    to: None,
                    body: peer_message::encode_hello(self.settings.zone.0, true),
                });
            }
            let homes: Vec<usize> =
                (0..self.workers.len()).filter(|&at| self.workers[at].in_own_cohort).collect();
            self.probe_home(now, &homes, homes.len());
        }
        self.pump(now);
    }

    pub(super) fn on_member(&mut self, member: Member) {
        let at = *self.index.entry(member.worker).or_insert_with(|| {
            self.workers.push(Worker { id: member.worker, started: member.started, ..Worker::default() });
            self.workers.len() - 1
        });
        let worker = &mut self.workers[at];
        if member.started != worker.started && member.started.is_some() {
            // A new process: nothing learned of the old one's health or load holds.
            worker.health = WorkerHealth::default();
            worker.foreign = None;
            worker.peers.clear();
            worker.cold_sent.clear();
        }
        worker.status = member.status;
        worker.started = member.started.or(worker.started);
        worker.zone = ZoneIx(member.zone.0.min(self.know.mean_foreign_share.len() - 1));
        worker.kind = member.kind.0.min(self.know.kinds.len() - 1);
        worker.cell = member.cell;
        (worker.exact_lanes, worker.refuses) =
            (member.lanes.map(|lanes| lanes.max(1) as usize), member.refuses);
        worker.weight = if member.weight.is_finite() && member.weight > 0.0 { member.weight } else { 1.0 };
    }

    pub(crate) fn ask_list(&mut self) {
        if self.settings.list_on_request && !self.list.subscribed {
            self.list.subscribed = true;
            self.out.push(Action::Subscribe(true));
        }
    }
}
