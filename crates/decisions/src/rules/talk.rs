//! Talk: what dispatchers and workers tell, and whom to believe for how long.

use super::*;

impl Dispatcher {
    /// Connections that fail one after the other across another zone point to the link, not to its workers:
    /// the zone is left alone for a while, and the next job after that is a trial.
    pub(super) fn on_connection(&mut self, now: Micros, at: usize, made: bool) {
        let (zone, own) = (self.workers[at].zone, self.settings.zone);
        let (failed, until) = self.know.zone_failures[zone.0];
        let until = if zone != own && failed >= 2 { now + SECOND } else { until };
        self.know.zone_failures[zone.0] = if made { (0, 0) } else { (failed + 1, until) };
    }

    /// Probes bring reports: no job goes to another cohort's worker on a guess.
    pub(super) fn asks(&self) -> bool {
        self.settings.reports != ReportSource::Nowhere && self.settings.limits.probes
    }

    /// Asks workers for a report: of these, those of which nothing is known of late.
    pub(super) fn probe(&mut self, now: Micros, among: &[usize], most: usize) {
        let rested = |worker: &Worker| now >= worker.probed_at.max(worker.load_known_at) + PROBE_EVERY;
        let due = |at: &&usize| self.workers[**at].status == WorkerStatus::On && rested(&self.workers[**at]);
        let due: Vec<usize> =
            among.iter().filter(due).take(if self.asks() { most } else { 0 }).copied().collect();
        for at in due {
            self.workers[at].probed_at = now;
            self.out.push(Action::Probe(self.workers[at].id));
        }
    }

    /// The same of the own share, where no answer brings a report.
    pub(super) fn probe_home(&mut self, now: Micros, among: &[usize], most: usize) {
        let needed = self.settings.reports == ReportSource::Probes;
        self.probe(now, among, if needed { most } else { 0 });
    }

    /// Probes for a job: of its own share of the range, and, if that has no lane for it now, a few others.
    pub(super) fn probe_for(&mut self, now: Micros, id: RequestId, spill: bool) {
        let Some((need, range)) = self.range_of(&self.requests[&id]) else { return };
        let range = &self.maps[need].ranges[range];
        let (home, few) = (range.own_cohort[..range.own_cohort.len().min(2)].to_vec(), self.window(range));
        self.probe_home(now, &home, 1);
        self.probe(now, &few, if spill { PROBES } else { 0 });
    }

    /// Something went wrong there: it is left alone for a while, and the others hear of it.
    pub(super) fn strike(&mut self, now: Micros, at: usize, by: u32) {
        let before = self.workers[at].health.strikes(now);
        self.workers[at].health.record_fault(now, by);
        self.tell_trust(now, at, before);
    }

    /// Tells all others what has just been seen of a worker, if they are to hear of it.
    pub(super) fn tell_trust(&mut self, now: Micros, at: usize, before: u32) {
        let news = self.workers[at].health.take_report(now, before);
        if let Some(strikes) = news.filter(|_| self.company.sends_peer_messages()) {
            self.out.push(Action::SendMessage {
                to: None,
                body: peer_message::encode_fault_report(self.workers[at].id, strikes),
            });
        }
    }

    pub(super) fn on_peer(&mut self, now: Micros, from: u32, body: &[u8]) {
        let own_rank = from == self.settings.rank;
        let said = peer_message::decode(body).filter(|_| from < MAX_RANKS);
        // There are as many dispatchers as that at least.
        if said.is_some() && !own_rank && self.company.record_message(now, from) {
            self.know.zones_by_rank.resize(self.company.size() as usize, None);
            self.maps_stale = true;
        }
        let load = match said {
            Some(PeerMessage::Hello { zone, asks })
                if usize::from(zone) < self.settings.zones && !own_rank =>
            {
                self.maps_stale |= self.know.zones_by_rank[from as usize].replace(zone) != Some(zone);
                // One that has just started does not know where this one stands.
                if asks {
                    let body = peer_message::encode_hello(self.settings.zone.0, false);
                    self.out.push(Action::SendMessage { to: Some(from), body });
                }
                return;
            }
            Some(PeerMessage::FaultReport { worker, strikes }) => {
                // What is heard may keep a part of the workers idle, not most of them.
                let on = self.workers.iter().filter(|worker| worker.status == WorkerStatus::On).count();
                let heard = strikes == 0 || self.avoided(now) * 4 <= on;
                let Some(&at) = self.index.get(&worker).filter(|_| heard && !own_rank) else { return };
                return self.workers[at].health.record_peer_report(now, from, strikes, self.rng.f64());
            }
            Some(PeerMessage::Load(load)) => load,
            _ => return,
        };
        let Some(&at) = self.index.get(&load.worker) else { return };
        if let Some(speed) = load.ln_speed.filter(|_| !own_rank) {
            self.learn_speed(at, self.speed(at).ln() - speed);
        }
        let peers = &mut self.workers[at].peers;
        let before = peers.iter().position(|peer| peer.from == from).map(|nr| peers.swap_remove(nr));
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
        if load.lanes == 0 && before.is_some() {
            self.offer(now, at);
        }
        if own_rank {
            self.tell_peers(now, at, None);
        }
    }

    /// Tells the worker's cohort what this dispatcher has there now, both its processes if there are two; the
    /// one that was succeeded tells the other.
    pub(super) fn tell_peers(&mut self, now: Micros, at: usize, ln_speed: Option<f64>) {
        if !self.succeeded && !self.company.sends_peer_messages() {
            return;
        }
        let (worker, rank) = (&self.workers[at], self.settings.rank);
        let own_rank = worker.current_peer_loads(now).find(|peer| peer.from == rank);
        let lanes = worker.busy() + own_rank.map_or(0, |own_rank| own_rank.lanes);
        let span = |end: Option<Micros>| end.unwrap_or(now).saturating_sub(now);
        let ends = worker.own.iter().map(|own| own.end);
        let soonest = span(ends.clone().chain(own_rank.map(|own_rank| own_rank.soonest)).min());
        let latest = span(ends.chain(own_rank.map(|own_rank| own_rank.latest)).max());
        let cold = self.cold_sent(now, at) + own_rank.map_or(0.0, |own_rank| own_rank.cold_work);
        let body = peer_message::encode_load(&Load {
            worker: worker.id,
            lanes,
            soonest,
            latest,
            cold_work: cold,
            ln_speed,
        });
        if self.succeeded {
            return self.out.push(Action::SendMessage { to: Some(rank), body });
        }
        let others = self.cohorts.get(worker.cohort).into_iter().flat_map(|cohort| &cohort.1);
        let others = others.filter(|&&other| other != rank);
        self.out.extend(others.map(|&other| Action::SendMessage { to: Some(other), body: body.clone() }));
    }
}
