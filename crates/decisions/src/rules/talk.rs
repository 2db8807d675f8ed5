//! Messages between dispatchers, probes of workers, and the reaction to faults and failed connections.

use super::*;

impl Dispatcher {
    /// Counts failed connections to a zone in a row. Three or more failures to another zone point to the link rather
    /// than to the workers: nothing is sent to the zone for a second, and the next job after that is a trial.
    pub(super) fn record_connection(&mut self, now: Micros, index: usize, established: bool) {
        let (zone, own_zone) = (self.workers[index].zone, self.settings.zone);
        let (failed, avoided_until) = self.knowledge.zone_failures[zone.0];
        let avoided_until = if zone != own_zone && failed >= 2 { now + SECOND } else { avoided_until };
        self.knowledge.zone_failures[zone.0] = if established { (0, 0) } else { (failed + 1, avoided_until) };
    }

    /// Returns true if workers are probed for load reports. In that case no job is sent to a worker of another cohort
    /// without a recent report.
    pub(super) fn uses_probes(&self) -> bool {
        self.settings.reports != ReportSource::NoReports && self.settings.limits.probes
    }

    /// Probes at most `max_probes` of these workers, those in service without recent knowledge of their load.
    pub(super) fn probe_workers(&mut self, now: Micros, candidates: &[usize], max_probes: usize) {
        let probe_due =
            |worker: &Worker| now >= worker.probed_at.max(worker.load_known_at) + MIN_PROBE_INTERVAL;
        let due = |index: &&usize| {
            self.workers[**index].status == WorkerStatus::On && probe_due(&self.workers[**index])
        };
        let due: Vec<usize> = candidates
            .iter()
            .filter(due)
            .take(if self.uses_probes() { max_probes } else { 0 })
            .copied()
            .collect();
        for index in due {
            self.workers[index].probed_at = now;
            self.actions.push(Action::Probe(self.workers[index].id));
        }
    }

    /// Probes workers of the own share, where load reports come with probe results only.
    pub(super) fn probe_own_share(&mut self, now: Micros, candidates: &[usize], max_probes: usize) {
        let needed = self.settings.reports == ReportSource::Probes;
        self.probe_workers(now, candidates, if needed { max_probes } else { 0 });
    }

    /// Probes workers for a job: one in the own share of its size range, and, if no lane there is free now (`spill`),
    /// a sample of other workers.
    pub(super) fn probe_for_job(&mut self, now: Micros, id: RequestId, spill: bool) {
        let Some((map_index, range)) = self.size_range(&self.requests[&id]) else { return };
        let range = &self.size_maps[map_index].ranges[range];
        let (own_share, sample) =
            (range.own_share[..range.own_share.len().min(2)].to_vec(), self.sample_outside_workers(range));
        self.probe_own_share(now, &own_share, 1);
        self.probe_workers(now, &sample, if spill { MAX_SAMPLED_WORKERS } else { 0 });
    }

    /// Records `strikes` faults of a worker. Nothing is sent to it for a while, and the other dispatchers are
    /// notified.
    pub(super) fn record_fault(&mut self, now: Micros, index: usize, strikes: u32) {
        let strikes_before = self.workers[index].health.strikes(now);
        self.workers[index].health.record_fault(now, strikes);
        self.send_fault_report(now, index, strikes_before);
    }

    /// Sends a fault report about the worker to all dispatchers if one is due.
    pub(super) fn send_fault_report(&mut self, now: Micros, index: usize, strikes_before: u32) {
        let report = self.workers[index].health.take_report(now, strikes_before);
        if let Some(strikes) = report.filter(|_| self.peer_set.sends_peer_messages()) {
            self.actions.push(Action::SendMessage {
                to: None,
                body: peer_message::encode_fault_report(self.workers[index].id, strikes),
            });
        }
    }

    /// Handles a message from the dispatcher of rank `from`. Messages that cannot be read are ignored.
    pub(super) fn on_peer(&mut self, now: Micros, from: u32, body: &[u8]) {
        let from_own_rank = from == self.settings.rank;
        let message = peer_message::decode(body).filter(|_| from < MAX_RANKS);
        // A sender with this rank implies at least that many dispatchers.
        if message.is_some() && !from_own_rank && self.peer_set.record_message(now, from) {
            self.knowledge.zones_by_rank.resize(self.peer_set.size() as usize, None);
            self.size_maps_stale = true;
        }
        let load = match message {
            Some(PeerMessage::Hello { zone, asks })
                if usize::from(zone) < self.settings.zones && !from_own_rank =>
            {
                self.size_maps_stale |=
                    self.knowledge.zones_by_rank[from as usize].replace(zone) != Some(zone);
                // A dispatcher that has just started does not know the zone of this one.
                if asks {
                    let body = peer_message::encode_hello(self.settings.zone.0, false);
                    self.actions.push(Action::SendMessage { to: Some(from), body });
                }
                return;
            }
            Some(PeerMessage::FaultReport { worker, strikes }) => {
                // Fault reports are accepted while at most a quarter of the workers in service are avoided, so that
                // reports of others cannot keep most workers idle.
                let in_service =
                    self.workers.iter().filter(|worker| worker.status == WorkerStatus::On).count();
                let accepted = strikes == 0 || self.avoided_worker_count(now) * 4 <= in_service;
                let Some(&index) = self.worker_index.get(&worker).filter(|_| accepted && !from_own_rank)
                else {
                    return;
                };
                return self.workers[index].health.record_peer_report(now, from, strikes, self.rng.f64());
            }
            Some(PeerMessage::Load(load)) => load,
            _ => return,
        };
        let Some(&index) = self.worker_index.get(&load.worker) else { return };
        if let Some(ln_speed) = load.ln_speed.filter(|_| !from_own_rank) {
            self.learn_speed(index, self.speed(index).ln() - ln_speed);
        }
        let peers = &mut self.workers[index].peers;
        let previous_load =
            peers.iter().position(|peer| peer.from == from).map(|position| peers.swap_remove(position));
        if load.lanes > 0 || load.cold_work > 0.0 {
            let (soonest, latest) = (now + load.soonest, now + load.latest);
            peers.push(PeerLoad {
                from,
                lanes: load.lanes,
                soonest,
                latest,
                cold_work: load.cold_work,
                received_at: now,
            });
        }
        if load.lanes == 0 && previous_load.is_some() {
            self.offer_freed_lane(now, index);
        }
        if from_own_rank {
            self.send_load(now, index, None);
        }
    }

    /// Sends the load of this dispatcher at the worker to the worker's cohort. The load includes both processes of
    /// this dispatcher if there are two: the process with a successor sends its own load to the successor.
    pub(super) fn send_load(&mut self, now: Micros, index: usize, ln_speed: Option<f64>) {
        if !self.has_successor && !self.peer_set.sends_peer_messages() {
            return;
        }
        let (worker, rank) = (&self.workers[index], self.settings.rank);
        let predecessor = worker.current_peer_loads(now).find(|peer| peer.from == rank);
        let lanes = worker.busy() + predecessor.map_or(0, |predecessor| predecessor.lanes);
        let span = |end: Option<Micros>| end.unwrap_or(now).saturating_sub(now);
        let ends = worker.own.iter().map(|own| own.end);
        let soonest = span(ends.clone().chain(predecessor.map(|predecessor| predecessor.soonest)).min());
        let latest = span(ends.chain(predecessor.map(|predecessor| predecessor.latest)).max());
        let cold_work =
            self.cold_work_sent(now, index) + predecessor.map_or(0.0, |predecessor| predecessor.cold_work);
        let body = peer_message::encode_load(&Load {
            worker: worker.id,
            lanes,
            soonest,
            latest,
            cold_work,
            ln_speed,
        });
        if self.has_successor {
            return self.actions.push(Action::SendMessage { to: Some(rank), body });
        }
        let others = self.cohorts.get(worker.cohort).into_iter().flat_map(|cohort| &cohort.1);
        let others = others.filter(|&&other| other != rank);
        self.actions.extend(others.map(|&other| Action::SendMessage { to: Some(other), body: body.clone() }));
    }
}
