//! Worker list: the entries of the workers, and when the list is requested.

use super::*;
use std::collections::HashSet;

impl Dispatcher {
    /// Handles an event of the worker list. Sets a timer for the next call where one is due, updates the workers and
    /// rebuilds the size maps.
    pub(super) fn on_members(&mut self, now: Micros, kind: ListKind, members: Vec<Member>) {
        let after = match kind {
            // The next call follows soon each time. A missed change counts as notified a few seconds after discovery
            // can be reached again.
            ListKind::Lost => {
                self.worker_list.subscribed = false;
                let pause = if std::mem::replace(&mut self.worker_list.lost, true) { SECOND / 2 } else { 1 };
                Some(pause + self.rng.u64(0..SECOND))
            }
            // Calls are spread over time, so that dispatchers that start together do not overload discovery. They are
            // also soon, because nothing may be sent by a saved list before it is confirmed.
            ListKind::Saved if self.settings.list_on_request && !self.worker_list.subscribed => {
                Some(1 + self.rng.u64(0..(self.settings.rules.ask_every / 2).clamp(1, MAX_FIRST_CALL_DELAY)))
            }
            _ => None,
        };
        self.actions.extend(after.map(|after| Action::SetTimer { timer: WORKER_LIST_TIMER, after }));
        if kind == ListKind::Lost {
            return;
        }
        self.worker_list.lost &= kind == ListKind::Saved;
        if kind != ListKind::Changes {
            let listed: HashSet<WorkerId> = members.iter().map(|member| member.worker).collect();
            let unlisted = |worker: &&mut Worker| !listed.contains(&worker.id);
            self.workers.iter_mut().filter(unlisted).for_each(|worker| worker.status = WorkerStatus::Gone);
        }
        members.into_iter().for_each(|member| self.update_worker(member));
        self.forget_departed_workers(now);
        self.rebuild_size_maps();
        if kind == ListKind::Saved {
            if self.peer_set.sends_peer_messages() {
                self.actions.push(Action::SendMessage {
                    to: None,
                    body: peer_message::encode_hello(self.settings.zone.0, true),
                });
            }
            let own_workers: Vec<usize> =
                (0..self.workers.len()).filter(|&index| self.workers[index].in_own_share).collect();
            self.probe_own_share(now, &own_workers, own_workers.len());
        }
        self.process_hold_queue(now);
    }

    /// Adds a worker of the list or updates its entry.
    pub(super) fn update_worker(&mut self, member: Member) {
        let index = *self.worker_index.entry(member.worker).or_insert_with(|| {
            self.workers.push(Worker { id: member.worker, started: member.started, ..Worker::default() });
            self.workers.len() - 1
        });
        let worker = &mut self.workers[index];
        if member.started != worker.started && member.started.is_some() {
            // The worker has a new process. Nothing learned about the health or load of the old process applies to it.
            worker.health = WorkerHealth::default();
            worker.foreign = None;
            worker.peers.clear();
            worker.cold_sent.clear();
        }
        worker.status = member.status;
        worker.started = member.started.or(worker.started);
        worker.zone = ZoneIx(member.zone.0.min(self.knowledge.mean_foreign_share.len() - 1));
        worker.kind = member.kind.0.min(self.knowledge.kinds.len() - 1);
        worker.cell = member.cell;
        (worker.exact_lanes, worker.refuses) =
            (member.lanes.map(|lanes| lanes.max(1) as usize), member.refuses);
        worker.weight = if member.weight.is_finite() && member.weight > 0.0 { member.weight } else { 1.0 };
    }

    /// Subscribes to the worker list, where it must be requested and is not subscribed to yet.
    pub(crate) fn subscribe_to_list(&mut self) {
        if self.settings.list_on_request && !self.worker_list.subscribed {
            self.worker_list.subscribed = true;
            self.actions.push(Action::Subscribe(true));
        }
    }
}
