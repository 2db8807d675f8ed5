//! All decisions of a dispatcher. Its interface (settings, events, actions) is `src/api.rs`.
//!
//! The ordinary path: the size map names a range of workers, an EDF demand test over a worker's lanes
//! admits the job, and held jobs leave earliest deadline first as lanes free.

use crate::api::*;
use crate::peer::{self, Load, Said};
use crate::state::*;
use calicolb_fleet::census::{Census, MOST_RANKS};
use calicolb_fleet::cold::{Allowance, ColdShare, Sender};
use calicolb_fleet::spending::Spending;
use calicolb_fleet::trust::Trust;
use std::collections::BTreeSet;

const MILLI: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// Dispatchers, at most, that tell each other what they send, so that together they know their workers.
const COHORT: usize = 8;
/// Workers that a cohort's share holds at least, if it has not the most members.
const SHARE: usize = 8;
/// Ranges of the size map at most; with few workers there are fewer.
const RANGES: usize = 4;
/// Workers a range needs at least, over all cohorts' shares of it, to be worth having.
const RANGE_WORKERS: usize = 8;
/// Sizes that must have been seen for each range: boundaries drawn from fewer would crowd some ranges.
const RANGE_SIZES: usize = 8;
/// Lanes that a worker in another zone must have free more than one in this zone to be spilled to.
const CROSSING: f64 = 0.5;
/// Sizes remembered for the boundaries of the map.
const SAMPLE: usize = 256;
/// Held jobs without a lane that are looked at in one go: bounds the work of an event under overload.
const LOOK: usize = 8;
/// Held jobs are looked at again after this time at the soonest, unless a lane frees before.
const RECHECK: Micros = 20 * MILLI;
/// Age that a report is taken to have when it comes: the settings do not tell.
const REPORT_AGE: Micros = 500 * MILLI;
/// Age that no report is beyond: what has run for so long was running when it was made.
const REPORT_OLDEST: Micros = 1_800 * MILLI;
/// A worker is probed at most this often: reports are refreshed about as slowly.
const PROBE_EVERY: Micros = 500 * MILLI;
/// Workers outside the cohort's share that are looked at, and probed, for one job.
const PROBES: usize = 4;
/// News of a start takes this long at most; after that a job is taken to wait.
const START_NEWS: Micros = 100 * MILLI;
/// Share of a cold worker's stated budget that is used: its true size is only estimated.
const COLD_SHARE: f64 = 0.4;
const TIMER_PUMP: TimerId = TimerId(1);
const TIMER_LIST: TimerId = TimerId(2);

/// When a job starts, and when it ends.
type Span = (Micros, Micros);

/// One dispatcher's decisions.
pub struct Dispatcher {
    settings: Settings,
    rng: fastrand::Rng,
    workers: Vec<Worker>,
    index: Table<WorkerId, usize>,
    know: Knowledge,
    maps: Vec<SizeMap>,
    maps_stale: bool,
    requests: Table<RequestId, Request>,
    /// Held jobs, earliest deadline first.
    held: BTreeSet<(Micros, RequestId)>,
    /// The same by when their clients leave.
    expiries: BTreeSet<(Micros, RequestId)>,
    wake: Option<Micros>,
    /// Another process has taken over: this one ends its work, and that one alone speaks for both.
    succeeded: bool,
    subscribed: bool,
    list_tries: u32,
    /// The list may be acted on until then, if something of it may have been missed.
    until: Option<Micros>,
    spill_from: usize,
    /// The zone, if it is known, and the ranks of each cohort.
    cohorts: Vec<(Option<u8>, Vec<u32>)>,
    /// Who has been heard from, and how many dispatchers there are, by that and the settings.
    census: Census,
    /// What has been spent of what all dispatchers share, for operators.
    pub spent: Spending,
}

impl Dispatcher {
    /// A dispatcher without any knowledge but its settings.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let census = Census::new(settings.instances, settings.rank);
        Dispatcher {
            rng: fastrand::Rng::with_seed(seed),
            workers: Vec::new(),
            index: Table::default(),
            know: Knowledge::new(&settings, census.size(), now),
            maps: (0..=settings.kinds).map(|_| SizeMap::default()).collect(),
            maps_stale: true,
            requests: Table::default(),
            held: BTreeSet::new(),
            expiries: BTreeSet::new(),
            wake: None,
            succeeded: false,
            subscribed: false,
            list_tries: 0,
            until: None,
            spill_from: 0,
            cohorts: Vec::new(),
            census,
            spent: Spending::default(),
            settings,
        }
    }

    /// Takes in one event and adds what is to be done to `out`.
    pub fn on_event(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Members(kind, members) => self.on_members(now, kind, members, out),
            Event::Arrival(arrival) => self.on_arrival(now, arrival, out),
            // Timers cannot be withdrawn: one that an earlier one has overtaken is passed over.
            Event::Timer(TIMER_PUMP) => {
                if self.wake.is_some_and(|at| at <= now) {
                    self.wake = None;
                    self.pump(now, out);
                }
            }
            Event::Timer(_) => self.ask_list(out),
            Event::ListUntil(until) => {
                self.until = until;
                self.pump(now, out);
            }
            Event::ListMoved => {
                self.subscribed = false; // at once: whatever the list has to tell will soon count as told
                self.ask_list(out);
            }
            Event::Handed(knowledge) => self.on_handed(knowledge, out),
            Event::Succeeded(succeeded) => {
                self.succeeded = succeeded;
                (0..self.workers.len()).for_each(|at| self.tell_peers(now, at, None, out));
            }
            Event::Streaming { request, attempt } => {
                self.on_started(now, request, attempt);
                self.close(request);
            }
            Event::Note { request, attempt, note } => self.on_note(now, request, attempt, note, out),
            Event::Outcome(outcome) => {
                if let Some(&at) = self.index.get(&outcome.worker) {
                    self.on_report(now, at, outcome.report);
                }
                self.on_outcome(now, outcome, out);
            }
            Event::Probed { worker, ending, report, .. } => {
                let Some(&at) = self.index.get(&worker) else { return };
                self.on_report(now, at, report);
                if ending == Ending::Unreachable {
                    self.strike(now, at, 1, out);
                }
                self.offer(now, at, out);
            }
            Event::Lapsed(request) => self.on_lapsed(request, out),
            Event::Peer { from, body } => self.on_peer(now, from, &body, out),
        }
    }

    // ---- Two processes of one dispatcher ---------------------------------------------------------

    /// What was learned, for the process that takes over.
    pub fn knowledge(&self) -> serde_json::Value {
        serde_json::json!([self.workers, self.maps, self.know])
    }

    fn on_handed(&mut self, handed: serde_json::Value, out: &mut Vec<Action>) {
        match serde_json::from_value::<(Vec<Worker>, Vec<SizeMap>, Knowledge)>(handed) {
            Ok((workers, maps, know))
                if know.like(&self.know)
                    && maps.len() == self.maps.len()
                    && workers.iter().all(|worker| know.covers(worker)) =>
            {
                self.index = workers.iter().enumerate().map(|(at, worker)| (worker.id, at)).collect();
                (self.workers, self.maps, self.know) = (workers, maps, know);
                let ranks = self.know.zones.len().max(self.census.size() as usize);
                self.know.zones.resize(ranks, None);
            }
            _ => out.push(Action::Log("what another process handed on does not fit".to_owned())),
        }
        self.ask_list(out); // at once: whatever the list has to tell will soon count as told
    }

    /// Takes on a request that the other process has out at this worker, for good or ill.
    fn adopt(&mut self, now: Micros, id: RequestId, worker: WorkerId, sent: Micros, out: &mut Vec<Action>) {
        let (Some(&at), Some(request)) = (self.index.get(&worker), self.requests.get_mut(&id)) else {
            self.close(id);
            return out.push(Action::Fail(id));
        };
        request.attempts.push(Attempt { worker: at, sent, state: State::Out });
        let (size, slots) = (request.size, request.slots);
        let end = sent + self.run_time(at, size, now);
        // When it started is not known, so its time tells nothing of its size.
        self.workers[at].own.push(Own { request: id, slots, sent, start: sent, end, ..Own::default() });
        self.workers[at].peers.retain(|peer| peer.from != self.settings.rank);
        self.tell_peers(now, at, None, out);
    }

    // ---- Membership ------------------------------------------------------------------------------

    fn on_members(&mut self, now: Micros, kind: ListKind, members: Vec<Member>, out: &mut Vec<Action>) {
        match kind {
            ListKind::Lost => {
                self.subscribed = false;
                self.list_tries += 1;
                let base = (SECOND << self.list_tries.min(3)) / 2;
                let after = base + self.rng.u64(0..base);
                out.push(Action::SetTimer { timer: TIMER_LIST, after });
                return;
            }
            ListKind::Saved => {
                if self.settings.list_on_request && !self.subscribed {
                    // Spread over time, so that dispatchers which start together do not swamp the list.
                    let spread = (self.settings.rules.ask_every / 2).clamp(1, 4 * SECOND);
                    let after = 1 + self.rng.u64(0..spread);
                    out.push(Action::SetTimer { timer: TIMER_LIST, after });
                }
            }
            ListKind::Full | ListKind::Changes => self.list_tries = 0,
        }
        if kind != ListKind::Changes {
            let mut listed: Vec<WorkerId> = members.iter().map(|member| member.worker).collect();
            listed.sort_unstable();
            for worker in &mut self.workers {
                if listed.binary_search(&worker.id).is_err() {
                    worker.standing = Standing::Gone;
                }
            }
        }
        for member in members {
            self.on_member(member);
        }
        self.rebuild_maps();
        if kind == ListKind::Saved {
            if self.settings.limits.peers && self.census.size() > 1 {
                out.push(Action::Tell { to: None, body: peer::greeting(self.settings.zone.0, true) });
            }
            let homes: Vec<usize> = (0..self.workers.len()).filter(|&at| self.workers[at].home).collect();
            self.probe_home(now, &homes, homes.len(), out);
        }
        self.pump(now, out);
    }

    fn on_member(&mut self, member: Member) {
        let at = *self.index.entry(member.worker).or_insert_with(|| {
            self.workers.push(Worker { id: member.worker, started: member.started, ..Worker::default() });
            self.workers.len() - 1
        });
        let worker = &mut self.workers[at];
        if member.started != worker.started && member.started.is_some() {
            // A new process: nothing learned of the old one's health or load holds.
            worker.trust = Trust::default();
            worker.foreign = None;
            worker.peers.clear();
            worker.cold_sent.clear();
        }
        worker.standing = member.standing;
        worker.started = member.started.or(worker.started);
        worker.zone = ZoneIx(member.zone.0.min(self.know.mean_foreign.len() - 1));
        worker.kind = member.kind.0.min(self.know.kinds.len() - 1);
        worker.cell = member.cell;
        (worker.told, worker.refuses) = (member.lanes.map(|lanes| lanes.max(1) as usize), member.refuses);
        worker.weight = if member.weight.is_finite() && member.weight > 0.0 { member.weight } else { 1.0 };
    }

    fn ask_list(&mut self, out: &mut Vec<Action>) {
        if self.settings.list_on_request && !self.subscribed {
            self.subscribed = true;
            out.push(Action::Subscribe(true));
        }
    }

    // ---- Size map --------------------------------------------------------------------------------

    /// Deals the dispatchers into cohorts, large ones over all zones, so that they even out the zones'
    /// loads, small ones within a zone, as far as dispatchers have told theirs. A cohort has as many
    /// members as it takes to share enough workers to even out their bursts, in powers of two so that lists
    /// which differ a little give the same cohorts.
    fn deal_cohorts(&mut self) {
        let workers = self.workers.iter().filter(|worker| worker.standing == Standing::On).count().max(1);
        let wanted = (SHARE * self.census.size() as usize / workers).clamp(1, COHORT).next_power_of_two();
        let size = if self.settings.limits.peers { wanted } else { 1 };
        self.cohorts.clear();
        let apart = size < 2 * self.settings.zones;
        let zones = (0..self.settings.zones).map(|zone| Some(zone as u8)).filter(|_| apart);
        for zone in zones.chain([None]) {
            let here = |rank: &u32| !apart || self.know.zones[*rank as usize] == zone;
            let ranks: Vec<u32> = (0..self.census.size()).filter(here).collect();
            let count = (ranks.len() / size).max(usize::from(!ranks.is_empty()));
            let part = |nr: usize| ranks[nr * ranks.len() / count..(nr + 1) * ranks.len() / count].to_vec();
            self.cohorts.extend((0..count).map(|nr| (zone, part(nr))));
        }
    }

    /// Deals the workers out to the cohorts, by the list alone: what each dispatcher has learned by itself must not
    /// count, or they would not agree on whose a worker is. Every cohort gets an even part of every kind.
    fn deal_workers(&mut self) {
        let on = (0..).zip(&self.workers).filter(|(_, worker)| worker.standing == Standing::On);
        let mut order: Vec<_> = on.map(|(at, worker)| (worker.kind, worker.id, at)).collect();
        order.sort_unstable();
        let (mut taken, mut dealt) = (vec![0_usize; self.cohorts.len()], 0);
        for kind in order.chunk_by(|a, b| a.0 == b.0) {
            dealt += kind.len();
            let cap = dealt.div_ceil(self.cohorts.len());
            for &(_, id, at) in kind {
                // From a place drawn by the id, the next cohort with room, of the worker's zone if there is one:
                // shares are even, few jobs cross zones, and little moves as workers come and go.
                let zone = Some(self.workers[at].zone.0 as u8);
                let draw = mix(u64::from(id.0), 0) as usize;
                let all = (0..self.cohorts.len()).map(|by| (draw + by) % self.cohorts.len());
                let same = |&cohort: &usize| self.cohorts[cohort].0.is_none_or(|there| Some(there) == zone);
                let room = |&cohort: &usize| taken[cohort] < cap;
                let to = all.clone().filter(same).find(room).or_else(|| all.clone().find(room)).unwrap_or(0);
                taken[to] += 1;
                self.workers[at].cohort = to;
                self.workers[at].home = self.cohorts[to].1.contains(&self.settings.rank);
            }
        }
    }

    /// Ranges over the workers sorted by (size of their kind, id), small jobs to the small kinds; within a
    /// range each cohort of dispatchers has a share of the workers that it tries first.
    fn rebuild_maps(&mut self) {
        self.maps_stale = false;
        self.deal_cohorts();
        self.deal_workers();
        if self.settings.weights {
            self.seed_speeds();
        }
        for need in 0..self.maps.len() {
            let wanted = need.checked_sub(1);
            let used = self.settings.classes.iter().any(|class| class.kind.map(|kind| kind.0) == wanted);
            if used {
                self.rebuild_map(need, wanted);
            }
        }
    }

    /// Until run times tell more, kinds are as fast as their listed weights say.
    fn seed_speeds(&mut self) {
        let mut sums = vec![(0.0, 0.0); self.know.kinds.len()];
        for worker in self.workers.iter().filter(|worker| worker.standing == Standing::On) {
            sums[worker.kind].0 += worker.weight;
            sums[worker.kind].1 += 1.0;
        }
        let total: (f64, f64) = sums.iter().fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        for (kind, (weight, count)) in self.know.kinds.iter_mut().zip(sums) {
            if kind.speed.seen == 0.0 && count > 0.0 {
                kind.speed.ln = (weight / count / (total.0 / total.1)).ln();
            }
        }
    }

    fn rebuild_map(&mut self, need: usize, wanted: Option<usize>) {
        let on = |of: &Worker| of.standing == Standing::On && wanted.is_none_or(|kind| kind == of.kind);
        let mut order: Vec<usize> = (0..self.workers.len()).filter(|&at| on(&self.workers[at])).collect();
        let speed = |at: usize| self.know.kinds[self.workers[at].kind].speed.ln;
        let key = |at: usize| (self.workers[at].kind, self.workers[at].id);
        order.sort_by(|&a, &b| speed(a).total_cmp(&speed(b)).then(key(a).cmp(&key(b))));
        let known = self.maps[need].sizes.len() / RANGE_SIZES;
        let count = (order.len() / RANGE_WORKERS).min(known).clamp(1, RANGES);
        let bounds = self.boundaries(need, &order, count);
        let rank = self.settings.rank;
        let mut ranges = Vec::with_capacity(count);
        for (nr, &upper) in bounds.iter().enumerate() {
            let part = &order[nr * order.len() / count..(nr + 1) * order.len() / count];
            let (mut home, others): (Vec<usize>, Vec<usize>) =
                part.iter().partition(|&&at| self.workers[at].home);
            let here = |&at: &usize| self.workers[at].zone == self.settings.zone;
            let (mut near, mut far): (Vec<usize>, Vec<usize>) = others.into_iter().partition(here);
            if let Some(&first) = home.first() {
                // Each member begins at another place of the share.
                let cohort = &self.cohorts[self.workers[first].cohort].1;
                let turn = cohort.iter().position(|&member| member == rank).unwrap_or(0);
                let by = turn * home.len() / cohort.len();
                home.rotate_left(by);
            }
            home.sort_by_key(|&at| self.workers[at].zone != self.settings.zone);
            let draw = |&at: &usize| mix(u64::from(rank), u64::from(self.workers[at].id.0));
            near.sort_by_key(draw);
            far.sort_by_key(draw);
            ranges.push(Range { upper, home, near, far });
        }
        self.maps[need].ranges = ranges;
        self.maps[need].fresh = 0;
    }

    /// Upper sizes of the ranges, so that each gets work in the measure of its workers' speed.
    fn boundaries(&self, need: usize, order: &[usize], count: usize) -> Vec<f64> {
        let mut sizes: Vec<f64> = self.maps[need].sizes.iter().copied().collect();
        sizes.sort_by(f64::total_cmp);
        let work: f64 = sizes.iter().sum();
        let power = |at: &usize| self.know.kinds[self.workers[*at].kind].speed.ln.exp();
        let all: f64 = order.iter().map(power).sum();
        let mut bounds = Vec::with_capacity(count);
        let (mut at, mut sum, mut share) = (0, 0.0, 0.0);
        for nr in 0..count {
            share += order[nr * order.len() / count..(nr + 1) * order.len() / count]
                .iter()
                .map(power)
                .sum::<f64>();
            while at < sizes.len() && sum + sizes[at] <= work * share / all {
                sum += sizes[at];
                at += 1;
            }
            let upper = if sizes.is_empty() { 0.0 } else { sizes[at.min(sizes.len() - 1)] };
            bounds.push(if nr + 1 == count { f64::INFINITY } else { upper });
        }
        bounds
    }

    // ---- Estimator -------------------------------------------------------------------------------

    fn estimate(&self, class: usize, hint: Option<f64>) -> f64 {
        let model = &self.know.classes[class];
        let size = match hint {
            Some(hint) if hint.is_finite() && hint > 0.0 => hint * model.ln_ratio.exp(),
            _ if model.mean_size > 0.0 => model.mean_size,
            _ => self.settings.classes[class].aim as f64,
        };
        size.clamp(1.0, 3600.0 * SECOND as f64)
    }

    fn speed(&self, at: usize) -> f64 {
        let worker = &self.workers[at];
        (self.know.kinds[worker.kind].speed.ln + worker.speed.ln).exp()
    }

    /// How long a job of this size would run there.
    fn run_time(&self, at: usize, size: f64, now: Micros) -> Micros {
        (size / (self.speed(at) * self.warmth(at, now))).min(3600.0 * SECOND as f64) as Micros
    }

    /// Learns from a job's measured time: its class's ratio to the hint, and the worker's and kind's speed. Gives the
    /// logarithm of the worker's speed as this job shows it.
    fn learn(&mut self, now: Micros, at: usize, of: (usize, Option<f64>), time: Micros) -> Option<f64> {
        if self.warmth(at, now) < 1.0 || time == 0 {
            return None;
        }
        let ((class, hint), speed) = (of, self.speed(at));
        self.know.mean_time += (time as f64 - self.know.mean_time) * 0.05;
        let model = &mut self.know.classes[class];
        let (size, seen) = (time as f64 * speed, model.seen);
        let gain = |seen: f64, least: f64| (1.0 / (seen + 2.0)).max(least);
        model.mean_size += (size - model.mean_size) * gain(seen, 0.05);
        model.seen += 1.0;
        let hint = hint.filter(|hint| hint.is_finite() && *hint > 0.0)?;
        let error = ((size / hint).ln() - model.ln_ratio).clamp(-1.0, 1.0);
        model.ln_ratio += error * gain(seen, 0.03);
        model.spread += (error.abs() - model.spread) * gain(seen + 4.0, 0.05);
        self.learn_speed(at, error);
        Some(speed.ln() - error)
    }

    /// A worker took so much longer, in logarithms, than its speed says.
    fn learn_speed(&mut self, at: usize, error: f64) {
        let worker = &mut self.workers[at];
        self.know.kinds[worker.kind].speed.learn(error, 6.0, 50.0);
        worker.speed.learn(error, 4.0, 10.0);
        worker.speed.ln = worker.speed.ln.clamp(-0.7, 0.7);
    }

    // ---- Worker model ----------------------------------------------------------------------------

    fn warmth(&self, at: usize, now: Micros) -> f64 {
        let rules = &self.settings.rules;
        match self.workers[at].started {
            Some(start) if now < start.saturating_add(rules.cold) && rules.cold > 0 => {
                let age = now.saturating_sub(start) as f64 / rules.cold as f64;
                (rules.start_capacity + (1.0 - rules.start_capacity) * age).clamp(0.01, 1.0)
            }
            _ => 1.0,
        }
    }

    fn lanes(&self, at: usize) -> usize {
        let worker = &self.workers[at];
        let lanes = worker.lanes.or(self.know.kinds[worker.kind].lanes);
        worker.told.unwrap_or(lanes.map_or(0, |lanes| lanes.round() as usize).max(self.know.most_slots))
    }

    /// Lanes that others are taken to use there.
    fn foreign(&self, at: usize, now: Micros) -> f64 {
        let worker = &self.workers[at];
        let told: usize =
            worker.peers.iter().filter(|peer| peer.latest + 2 * SECOND > now).map(|p| p.lanes).sum();
        let home = worker.told.is_some() || (worker.home && self.settings.limits.peers);
        let share = self.know.mean_foreign[worker.zone.0];
        let prior = if home { 0.0 } else { share * self.lanes(at) as f64 };
        let seen = match worker.foreign {
            Some((then, lanes)) => {
                let age = now.saturating_sub(then) as f64;
                let keep = (-age / self.know.mean_time).exp();
                lanes * keep + prior * (1.0 - keep)
            }
            None => prior,
        };
        // A job of ours that waits to start tells that all lanes are taken.
        if worker.own.iter().any(|own| own.awaits_start && now > own.sent + START_NEWS) {
            let running: usize = worker.own.iter().filter(|own| !own.awaits_start).map(|own| own.slots).sum();
            return seen.max(told as f64).max((self.lanes(at) - running.min(self.lanes(at))) as f64);
        }
        seen.max(told as f64)
    }

    fn on_report(&mut self, now: Micros, at: usize, report: Option<Report>) {
        let Some(report) = report else { return };
        let errors = report.errors_per_s.unwrap_or(0.0) * self.know.mean_time / SECOND as f64;
        let share = errors / self.lanes(at) as f64;
        self.workers[at].trust.reported(now, share);
        let guessed = self.workers[at].told.is_none();
        let Some(free) = report.free_slots.filter(|free| free.is_finite() && guessed) else { return };
        let free = free.clamp(0.0, 1024.0);
        let then = now.saturating_sub(REPORT_AGE);
        let worker = &mut self.workers[at];
        let own: usize = worker.own.iter().filter(|own| own.start < then).map(|own| own.slots).sum();
        let seen = free + own as f64;
        // A worker is seldom seen idle: without what runs there of ours, one of two lanes would seem to be all.
        let ran = |own: &&Own| !own.awaits_start && own.start + REPORT_OLDEST < now;
        let ours: usize = worker.own.iter().filter(ran).map(|own| own.slots).sum();
        let kind = &mut self.know.kinds[worker.kind];
        let lanes = kind.lanes.unwrap_or(0.0).max((free + ours as f64).round());
        kind.lanes = Some(lanes);
        worker.lanes = Some(lanes);
        let waiting = report.backlog.filter(|backlog| backlog.is_finite()).unwrap_or(0.0).clamp(0.0, lanes);
        let others = (lanes - seen).max(0.0) + waiting;
        worker.foreign = Some((now, others));
        worker.known = now;
        self.on_zone_load(at, others);
    }

    fn on_zone_load(&mut self, at: usize, lanes: f64) {
        // In shares: lanes of large workers, taken for those of a small one, would make it seem full for ever.
        let (zone, share) = (self.workers[at].zone.0, lanes / self.lanes(at) as f64);
        self.know.mean_foreign[zone] += (share - self.know.mean_foreign[zone]) * 0.1;
    }

    /// Where no free-slot figure is given, lanes gain one after a finish at full model and lose one on
    /// 'full'.
    fn step_lanes(&mut self, at: usize, slots: usize, clean: bool) {
        if self.settings.reports_free_slots {
            return;
        }
        let lanes = self.lanes(at);
        let busy = slots + self.workers[at].busy();
        if clean && busy >= lanes {
            self.workers[at].lanes = Some(lanes as f64 + 1.0);
        } else if !clean {
            self.workers[at].lanes = Some((lanes as f64 - 1.0).max(1.0));
        }
    }

    /// Connections that fail one after the other across another zone point to the link, not to its workers:
    /// the zone is left alone for a while, and the next job after that is a trial.
    fn on_connection(&mut self, now: Micros, at: usize, made: bool) {
        let (zone, own) = (self.workers[at].zone, self.settings.zone);
        let (failed, until) = self.know.cuts[zone.0];
        let until = if zone != own && failed >= 2 { now + SECOND } else { until };
        self.know.cuts[zone.0] = if made { (0, 0) } else { (failed + 1, until) };
    }

    /// Probes bring reports: no job goes to another cohort's worker on a guess.
    fn asks(&self) -> bool {
        self.settings.reports != ReportSource::Nowhere && self.settings.limits.probes
    }

    /// Asks workers for a report: of these, those of which nothing is known of late.
    fn probe(&mut self, now: Micros, among: &[usize], most: usize, out: &mut Vec<Action>) {
        let rested = |worker: &Worker| now >= worker.probed.max(worker.known) + PROBE_EVERY;
        let due = |at: &&usize| self.workers[**at].standing == Standing::On && rested(&self.workers[**at]);
        let due: Vec<usize> =
            among.iter().filter(due).take(if self.asks() { most } else { 0 }).copied().collect();
        for at in due {
            self.workers[at].probed = now;
            out.push(Action::Probe(self.workers[at].id));
        }
    }

    /// The same of the own share, where no answer brings a report.
    fn probe_home(&mut self, now: Micros, among: &[usize], most: usize, out: &mut Vec<Action>) {
        let needed = self.settings.reports == ReportSource::Probes;
        self.probe(now, among, if needed { most } else { 0 }, out);
    }

    /// Something went wrong there: it is left alone for a while, and the others hear of it.
    fn strike(&mut self, now: Micros, at: usize, by: u32, out: &mut Vec<Action>) {
        let before = self.workers[at].trust.strikes(now);
        self.workers[at].trust.fault(now, by);
        self.tell_trust(now, at, before, out);
    }

    /// Tells all others what has just been seen of a worker, if they are to hear of it.
    fn tell_trust(&mut self, now: Micros, at: usize, before: u32, out: &mut Vec<Action>) {
        let news = self.workers[at].trust.news(now, before);
        if let Some(strikes) = news.filter(|_| self.settings.limits.peers && self.census.size() > 1) {
            out.push(Action::Tell { to: None, body: peer::trouble(self.workers[at].id, strikes) });
        }
    }

    fn on_peer(&mut self, now: Micros, from: u32, body: &[u8], out: &mut Vec<Action>) {
        let kin = from == self.settings.rank;
        let said = peer::read(body).filter(|_| from < MOST_RANKS);
        if said.is_some() && !kin {
            self.hear(from);
        }
        let load = match said {
            Some(Said::Greeting { zone, asks }) if usize::from(zone) < self.settings.zones && !kin => {
                if self.know.zones[from as usize] != Some(zone) {
                    self.know.zones[from as usize] = Some(zone);
                    self.maps_stale = true;
                }
                // One that has just started does not know where this one stands.
                if asks {
                    let body = peer::greeting(self.settings.zone.0, false);
                    out.push(Action::Tell { to: Some(from), body });
                }
                return;
            }
            Some(Said::Trouble { worker, strikes }) => {
                // What is heard may keep a part of the workers idle, not most of them.
                let on = self.workers.iter().filter(|worker| worker.standing == Standing::On).count();
                let heard = strikes == 0 || self.avoided(now) * 4 <= on;
                let Some(&at) = self.index.get(&worker).filter(|_| heard && !kin) else { return };
                return self.workers[at].trust.hear(now, from, strikes, self.rng.f64());
            }
            Some(Said::Load(load)) => load,
            _ => return,
        };
        let Some(&at) = self.index.get(&load.worker) else { return };
        if let Some(speed) = load.ln_speed.filter(|_| !kin) {
            self.learn_speed(at, self.speed(at).ln() - speed);
        }
        let peers = &mut self.workers[at].peers;
        let before = peers.iter().position(|peer| peer.from == from).map(|nr| peers.swap_remove(nr));
        if load.lanes > 0 || load.cold > 0.0 {
            let (soonest, latest) = (now + load.soonest, now + load.latest);
            peers.push(PeerLoad { from, lanes: load.lanes, soonest, latest, cold: load.cold, told: now });
        }
        if load.lanes == 0 && before.is_some() {
            self.offer(now, at, out);
        }
        if kin {
            self.tell_peers(now, at, None, out);
        }
    }

    /// A dispatcher of this rank has spoken: there are as many as that at least.
    fn hear(&mut self, from: u32) {
        if self.census.hear(from) {
            self.know.zones.resize(self.census.size() as usize, None);
            self.maps_stale = true;
        }
    }

    /// Tells the worker's cohort what this dispatcher has there now, both its processes if there are two; the
    /// one that was succeeded tells the other.
    fn tell_peers(&self, now: Micros, at: usize, ln_speed: Option<f64>, out: &mut Vec<Action>) {
        if !self.succeeded && (!self.settings.limits.peers || self.census.size() < 2) {
            return;
        }
        let (worker, rank) = (&self.workers[at], self.settings.rank);
        let kin = worker.peers.iter().find(|peer| peer.from == rank && peer.latest + 2 * SECOND > now);
        let lanes = worker.busy() + kin.map_or(0, |kin| kin.lanes);
        let span = |end: Option<Micros>| end.unwrap_or(now).saturating_sub(now);
        let ends = worker.own.iter().map(|own| own.end);
        let soonest = span(ends.clone().chain(kin.map(|kin| kin.soonest)).min());
        let latest = span(ends.chain(kin.map(|kin| kin.latest)).max());
        let cold = self.cold_sent(now, at) + kin.map_or(0.0, |kin| kin.cold);
        let body = peer::load(&Load { worker: worker.id, lanes, soonest, latest, cold, ln_speed });
        if self.succeeded {
            return out.push(Action::Tell { to: Some(rank), body });
        }
        for &other in self.cohorts.get(worker.cohort).iter().flat_map(|cohort| &cohort.1) {
            if other != rank {
                out.push(Action::Tell { to: Some(other), body: body.clone() });
            }
        }
    }

    // ---- Admission -------------------------------------------------------------------------------

    /// When each lane of a worker comes free, by what is known to be there.
    fn lane_ends(&self, at: usize, now: Micros, lanes: &mut Vec<Micros>) {
        let worker = &self.workers[at];
        let mut busy: Vec<Micros> = Vec::with_capacity(16);
        for own in &worker.own {
            // A job past its estimate is taken to run on for a part of what it has run already.
            let end = if own.end > now { own.end } else { now + (now - own.start.min(now)) / 4 + MILLI };
            busy.extend(std::iter::repeat_n(end, own.slots));
        }
        let foreign = self.foreign(at, now).round() as usize;
        let mut told = 0;
        for peer in worker.peers.iter().filter(|peer| peer.latest + 2 * SECOND > now) {
            for nr in 0..peer.lanes {
                let (first, last) = (peer.soonest.max(now + MILLI), peer.latest.max(now + MILLI));
                let step =
                    if peer.lanes > 1 { (last.max(first) - first) / (peer.lanes as u64 - 1) } else { 0 };
                busy.push(first + step * nr as u64);
                told += 1;
            }
        }
        for nr in told..foreign {
            busy.push(now + (self.know.mean_time / 2.0) as Micros * (1 + (nr - told) as Micros) / 2 + MILLI);
        }
        lanes.clear();
        lanes.resize(self.lanes(at), now);
        busy.sort_unstable();
        let count = lanes.len();
        for (nr, end) in busy.into_iter().enumerate() {
            lanes[nr % count] = end;
        }
    }

    /// The EDF demand test: with the jobs planned for the worker and this one, in deadline order, each ends
    /// by its deadline. Gives the job's start, and its end.
    fn demand(&self, at: usize, now: Micros, id: RequestId, scratch: &mut Vec<Micros>) -> Option<Span> {
        let request = &self.requests[&id];
        self.lane_ends(at, now, scratch);
        if request.slots > scratch.len() {
            return None;
        }
        let mut place = |job: &Request| {
            scratch.sort_unstable();
            let slots = job.slots.min(scratch.len());
            // Work beyond its tenant's share leaves a lane for work within.
            let start = scratch[(slots - 1 + usize::from(job.yields)).min(scratch.len() - 1)];
            let end = start + self.run_time(at, job.size, now);
            scratch[..slots].fill(end);
            (start, end)
        };
        let mut mine = None;
        for &(order, other) in self.workers[at].planned.iter().filter(|plan| plan.1 != id) {
            if mine.is_none() && (order, other) > (request.order, id) {
                mine = Some(place(request));
            }
            let job = &self.requests[&other];
            let (start, end) = place(job);
            if mine.is_some() && !job.late && !self.in_time(job, start, end) {
                return None;
            }
        }
        let (start, end) = mine.unwrap_or_else(|| place(request));
        (self.in_time(request, start, end)).then_some((start, end))
    }

    fn in_time(&self, job: &Request, start: Micros, end: Micros) -> bool {
        let run = (end - start) as f64 * if job.late { 1.0 } else { job.doubt };
        start + run as Micros <= job.deadline
    }

    /// Nothing is sent there for now: it does not run, failed lately, or the way to its zone is cut.
    fn avoids(&self, now: Micros, at: usize) -> bool {
        let worker = &self.workers[at];
        let cut = self.know.cuts[worker.zone.0].1 > now;
        worker.standing != Standing::On || worker.trust.avoided(now) || cut
    }

    /// Listed workers that nothing is sent to for now.
    pub fn avoided(&self, now: Micros) -> usize {
        let listed = |at: &usize| self.workers[*at].standing != Standing::Gone;
        (0..self.workers.len()).filter(listed).filter(|&at| self.avoids(now, at)).count()
    }

    fn usable(&self, at: usize, now: Micros, request: &Request) -> bool {
        // A job that must not run twice is lost if a trial goes wrong. Those that try a worker first try it again.
        let (once, worker) =
            (self.settings.classes[request.class].effect == Effect::Unsafe, &self.workers[at]);
        let barred = worker.trust.on_trial(now) && (once || !worker.home || !worker.own.is_empty());
        !barred && !self.avoids(now, at) && self.may_send(now, request, at)
    }

    /// Tries the workers of the job's range, its cohort's first, then the neighbouring ranges' and a few
    /// others: the first that can start it now and passes the demand test, else the one that ends it first.
    fn choose(&mut self, now: Micros, id: RequestId) -> Option<(usize, Micros, Micros)> {
        let request = &self.requests[&id];
        let (need, range) = self.range_of(request)?;
        let map = &self.maps[need];
        let count = map.ranges.len();
        let mut best: Option<(usize, Micros, Micros)> = None;
        let mut scratch = Vec::new();
        let neighbours = (1..count).flat_map(|by| [range + by, range.wrapping_sub(by)]);
        let homes = std::iter::once(range).chain(neighbours.filter(|&nr| nr < count));
        let homes = homes.flat_map(|nr| map.ranges[nr].home.iter());
        for &at in homes.filter(|&&at| self.usable(at, now, request)) {
            if let Some((start, end)) = self.demand(at, now, id, &mut scratch) {
                if start <= now {
                    return Some((at, start, end));
                }
                if best.is_none_or(|(_, _, least)| end < least) {
                    best = Some((at, start, end));
                }
            }
        }
        // Of the others' workers the one with most lanes free: what is known of them is old.
        let mut most = 0.0;
        let range = &map.ranges[range];
        for at in self.window(range) {
            let cross = if self.workers[at].zone == self.settings.zone { 0.0 } else { CROSSING };
            if !self.usable(at, now, request) || (self.asks() && now > self.workers[at].known + SECOND) {
                continue;
            }
            if let Some((start, end)) = self.demand(at, now, id, &mut scratch) {
                let own = self.workers[at].busy();
                let free = self.lanes(at) as f64 - own as f64 - self.foreign(at, now) - cross;
                if start <= now && free > most {
                    most = free;
                    best = Some((at, start, end));
                }
            }
        }
        best
    }

    /// The few of the others' workers that this job may look at; another few for the next. Near ones count
    /// double, and no more: were they preferred outright, the many dispatchers of a crowded zone would all
    /// look at its few workers, and send on the same aged report.
    fn window(&self, range: &Range) -> Vec<usize> {
        let (near, far) = (range.near.len(), range.far.len());
        let nearby = (PROBES * 2 * near).div_ceil((2 * near + far).max(1)).min(near);
        let pick = |list: &[usize], count: usize| {
            let from = self.spill_from % list.len().max(1);
            list.iter().cycle().skip(from).take(count.min(list.len())).copied().collect::<Vec<_>>()
        };
        let mut few = pick(&range.near, nearby);
        few.extend(pick(&range.far, PROBES - nearby));
        few
    }

    /// The map and the range in it that a job's size names.
    fn range_of(&self, request: &Request) -> Option<(usize, usize)> {
        let need = self.settings.classes[request.class].kind.map_or(0, |kind| kind.0 + 1);
        let ranges = &self.maps[need].ranges;
        let size = request.size * request.slots as f64;
        let range = ranges.iter().position(|range| size <= range.upper);
        Some((need, range.or(ranges.len().checked_sub(1))?))
    }

    /// Probes for a job: of its own share of the range, and, if that has no lane for it now, a few others.
    fn probe_for(&mut self, now: Micros, id: RequestId, spill: bool, out: &mut Vec<Action>) {
        let Some((need, range)) = self.range_of(&self.requests[&id]) else { return };
        let range = &self.maps[need].ranges[range];
        let (home, few) = (range.home[..range.home.len().min(2)].to_vec(), self.window(range));
        self.probe_home(now, &home, 1, out);
        self.probe(now, &few, if spill { PROBES } else { 0 }, out);
    }

    // ---- Hold queue ------------------------------------------------------------------------------

    fn on_arrival(&mut self, now: Micros, arrival: Arrival, out: &mut Vec<Action>) {
        let class = arrival.class.0;
        if class >= self.settings.classes.len() || self.requests.contains_key(&arrival.request) {
            return;
        }
        let over = self.over_share(now, arrival.tenant);
        let spec = &self.settings.classes[class];
        let size = self.estimate(class, arrival.hint);
        let slots = arrival.slots.clamp(1, 1024) as usize;
        self.know.most_slots = self.know.most_slots.max(slots);
        // A client's retry belongs to its first try, whose aim has been running since.
        let origin = if arrival.retry { arrival.expires.saturating_sub(spec.deadline).min(now) } else { now };
        let doubt = (-self.know.classes[class].spread).exp();
        let aim = origin + spec.aim + (spec.stretch.max(0.0) * size * doubt) as Micros;
        let deadline = aim.min(arrival.expires);
        let order = if over { arrival.expires } else { deadline };
        let work = size * slots as f64;
        let keep = (-(now.saturating_sub(self.know.work_at) as f64) / (10.0 * SECOND as f64)).exp();
        self.know.work_rate = self.know.work_rate * keep + work / 10.0;
        self.know.work_at = now;
        let map = &mut self.maps[spec.kind.map_or(0, |kind| kind.0 + 1)];
        map.sizes.push_back(work);
        if map.sizes.len() > SAMPLE {
            map.sizes.pop_front();
        }
        map.fresh += 1;
        self.maps_stale |= map.fresh * 2 >= map.sizes.len().max(RANGE_SIZES * 2);
        let Arrival { hint, expires, skill, .. } = arrival;
        let request = Request {
            class,
            skill,
            slots,
            hint,
            size,
            expires,
            deadline,
            order,
            yields: over,
            doubt,
            ..Request::default()
        };
        self.requests.insert(arrival.request, request);
        if let Some((worker, sent)) = arrival.out {
            return self.adopt(now, arrival.request, worker, sent, out);
        }
        self.spill_from = self.spill_from.wrapping_add(1);
        self.hold(arrival.request);
        let mut wake = Micros::MAX;
        let sent = self.release(now, arrival.request, &mut wake, out);
        self.wake_for_held(now, wake, out);
        if self.requests.contains_key(&arrival.request) {
            self.probe_for(now, arrival.request, !sent, out);
        }
    }

    /// A lane of this worker may have come free: the held jobs are tried there, earliest deadline first.
    fn offer(&mut self, now: Micros, at: usize, out: &mut Vec<Action>) {
        let first: Vec<RequestId> = self.held.iter().take(LOOK).map(|&(_, id)| id).collect();
        let mut scratch = Vec::new();
        for id in first {
            let fits = self.usable(at, now, &self.requests[&id])
                && self.demand(at, now, id, &mut scratch).is_some_and(|(start, _)| start <= now);
            if fits {
                self.unhold(id);
                self.send(now, id, at, out);
            }
        }
    }

    fn hold(&mut self, id: RequestId) {
        let free = |request: &&mut Request| !request.held && !request.done;
        let Some(request) = self.requests.get_mut(&id).filter(free) else { return };
        request.held = true;
        self.held.insert((request.order, id));
        self.expiries.insert((request.expires, id));
    }

    fn unhold(&mut self, id: RequestId) {
        self.plan(id, None);
        let Some(request) = self.requests.get_mut(&id).filter(|request| request.held) else { return };
        request.held = false;
        self.held.remove(&(request.order, id));
        self.expiries.remove(&(request.expires, id));
    }

    fn plan(&mut self, id: RequestId, at: Option<usize>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.planned == at {
            return;
        }
        if let Some(before) = request.planned {
            self.workers[before].planned.retain(|&(_, planned)| planned != id);
        }
        request.planned = at;
        if let Some(at) = at {
            let planned = &mut self.workers[at].planned;
            let place = planned.partition_point(|&other| other < (request.order, id));
            planned.insert(place, (request.order, id));
        }
    }

    /// Goes through the held jobs, earliest deadline first: sends what can start, plans what can wait,
    /// turns to the later deadline what has missed its aim, and drops what is hopeless.
    fn pump(&mut self, now: Micros, out: &mut Vec<Action>) {
        let soon = now + 2 * self.settings.tick;
        while let Some(&(expires, id)) = self.expiries.first() {
            if expires > soon {
                break;
            }
            self.finish(now, id, out);
        }
        let (mut wake, mut misses, mut from) = (Micros::MAX, 0, (0, RequestId(0)));
        while misses < LOOK {
            let Some(&(order, id)) = self.held.range(from..).next() else { break };
            from = (order, RequestId(id.0.wrapping_add(1)));
            if !self.release(now, id, &mut wake, out) {
                misses += 1;
            }
        }
        self.wake_for_held(now, wake, out);
    }

    /// Wakes at this time, or before the first client of a held job leaves.
    fn wake_for_held(&mut self, now: Micros, wake: Micros, out: &mut Vec<Action>) {
        if let Some(&(expires, _)) = self.expiries.first() {
            self.wake_at(now, wake.min(expires.saturating_sub(self.settings.tick)), out);
        }
    }

    fn wake_at(&mut self, now: Micros, at: Micros, out: &mut Vec<Action>) {
        let at = at.max(now + 1);
        if self.wake.is_none_or(|set| at < set) {
            self.wake = Some(at);
            out.push(Action::SetTimer { timer: TIMER_PUMP, after: at - now });
        }
    }

    /// Deals with one held job; tells whether it has left the queue.
    fn release(&mut self, now: Micros, id: RequestId, wake: &mut Micros, out: &mut Vec<Action>) -> bool {
        if self.maps_stale {
            self.rebuild_maps();
        }
        match self.choose(now, id) {
            Some((at, start, _)) if start <= now => {
                self.unhold(id);
                if !self.send(now, id, at, out) {
                    self.finish(now, id, out);
                }
                return true;
            }
            Some((at, start, _)) => {
                self.plan(id, Some(at));
                *wake = (*wake).min(start.clamp(now + RECHECK, now + 4 * RECHECK));
            }
            None => {
                self.plan(id, None);
                let request = &self.requests[&id];
                let late_worth = self.settings.classes[request.class].late_worth;
                if !request.late && late_worth > 0.0 {
                    self.unhold(id);
                    let Some(request) = self.requests.get_mut(&id) else { return true };
                    request.late = true;
                    request.deadline = request.expires;
                    request.order = request.expires;
                    self.hold(id);
                } else if !request.late || now + request.size as Micros > request.expires {
                    self.finish(now, id, out);
                    return true;
                }
                *wake = (*wake).min(now + 2 * RECHECK);
            }
        }
        false
    }

    // ---- Attempts and final answers --------------------------------------------------------------

    /// Every rule on sends, in one place: attempts left, no second effect, drains, cold workers.
    fn may_send(&self, now: Micros, request: &Request, at: usize) -> bool {
        let worker = &self.workers[at];
        let limits = &self.settings.limits;
        if request.done || request.attempts.len() >= limits.tries as usize {
            return false;
        }
        // Rule 2.
        if !limits.copies && request.out() {
            return false;
        }
        let mut risky = request.attempts.iter().filter(|attempt| attempt.state != State::NeverRan);
        let harmless = match self.settings.classes[request.class].effect {
            Effect::Safe => true,
            Effect::Unsafe => risky.next().is_none(),
            // The group's memory runs from the first send; half of it is kept as margin for the journey.
            Effect::Keyed { group, span } => risky.all(|attempt| {
                let there = &self.workers[attempt.worker];
                let near = match group {
                    Group::All => true,
                    Group::Zone => there.zone == worker.zone,
                    Group::Cell => there.cell == worker.cell,
                };
                near && now < attempt.sent + span / 2
            }),
        };
        if !harmless {
            return false;
        }
        // Rule 3: nothing at all after being told, so the grace is never needed; nor by a list that is too old.
        let old = self.until.is_some_and(|until| now >= until);
        if old || worker.standing != Standing::On || worker.refuses(request.skill) {
            return false;
        }
        // Rule 4. What a cold worker was sent counts on in the process that took over.
        let work = request.size * request.slots as f64;
        self.warmth(at, now) >= 1.0 || (!self.succeeded && self.cold_allows(now, at, work) == Allowance::Yes)
    }

    /// Work sent to a worker in the last window of the fourth rule.
    fn cold_sent(&self, now: Micros, at: usize) -> f64 {
        let since = now.saturating_sub(self.settings.rules.fall_window);
        self.workers[at].cold_sent.iter().filter(|(then, _)| *then >= since).map(|sent| sent.1).sum()
    }

    /// Whether a cold worker may be sent this much more work by this dispatcher. Its senders are the cohort whose
    /// share holds it, which look at it first and pool their parts as they tell each other, and a few wardens drawn by
    /// its id and start, so that where cohorts are small more than one has a part that holds a job.
    fn cold_allows(&self, now: Micros, at: usize, work: f64) -> Allowance {
        let (worker, rules) = (&self.workers[at], &self.settings.rules);
        let power = self.lanes(at) as f64 * self.speed(at);
        let window = rules.fall_window as f64;
        let budget = COLD_SHARE * rules.fall_multiple * self.warmth(at, now) * power * window;
        let usual = (self.know.work_rate / SECOND as f64 * window).max(self.know.mean_time);
        let members = self.cohorts.get(worker.cohort).map_or(0, |cohort| cohort.1.len());
        let share = ColdShare::new(budget, members, usual, self.census.size());
        let draw = mix(u64::from(worker.id.0), worker.started.unwrap_or(0));
        let sender = Sender::of(worker.home, share.warden(draw, self.settings.rank, self.census.size()));
        let fresh = |peer: &&PeerLoad| peer.told + rules.fall_window > now && peer.from != self.settings.rank;
        let told = worker.peers.iter().filter(fresh).map(|peer| peer.cold).sum();
        self.spent.looked(share.allows(sender, self.cold_sent(now, at), told, work))
    }

    fn send(&mut self, now: Micros, id: RequestId, at: usize, out: &mut Vec<Action>) -> bool {
        if !self.may_send(now, &self.requests[&id], at) {
            return false;
        }
        let (size, slots) = (self.requests[&id].size, self.requests[&id].slots);
        let mut lanes = Vec::new();
        self.lane_ends(at, now, &mut lanes);
        lanes.sort_unstable();
        let start = lanes[slots.min(lanes.len()) - 1];
        let end = start + self.run_time(at, size, now);
        let cold = self.warmth(at, now) < 1.0;
        let Some(request) = self.requests.get_mut(&id) else { return false };
        let attempt = request.attempts.len() as u32;
        request.attempts.push(Attempt { worker: at, sent: now, state: State::Out });
        let worker = &mut self.workers[at];
        let (clean, awaits_start, progress) = (start <= now, self.settings.tells_start, None);
        let own = Own { request: id, attempt, slots, sent: now, end, start, clean, awaits_start, progress };
        worker.own.push(own);
        if cold {
            worker.cold_sent.push_back((now, size * slots as f64));
            self.spent.cold_jobs += 1;
        }
        out.push(Action::Send { request: id, worker: worker.id, timeout: None });
        self.tell_peers(now, at, None, out);
        true
    }

    /// Every final answer of this dispatcher: a refusal where it is certain that nothing ran, else a failure.
    fn finish(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        self.unhold(id);
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.done) else { return };
        request.done = true;
        let clear = request.attempts.iter().all(|attempt| attempt.state == State::NeverRan);
        let effect = self.settings.classes[request.class].effect;
        if clear || matches!(effect, Effect::Safe | Effect::Keyed { group: Group::All, .. }) {
            let limits = &self.settings.limits;
            let left = request.expires.saturating_sub(now);
            let pause = (self.know.mean_time / 4.0) as Micros;
            let come_back = limits.retry_advice.then_some(pause.min(limits.retry_advice_max).min(left / 4));
            out.push(Action::Refuse { request: id, come_back });
        } else {
            out.push(Action::Fail(id));
        }
        self.forget(id);
    }

    /// The client has left: what still runs for it is called off, it would be work for nobody.
    fn on_lapsed(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let attempts = self.requests.get(&id).into_iter().flat_map(|request| (0..).zip(&request.attempts));
        let running = attempts.filter(|(_, at)| at.state == State::Out && self.settings.limits.cancel);
        out.extend(running.map(|(attempt, _)| Action::Cancel { request: id, attempt }));
        self.close(id);
    }

    /// The request is over without an answer of ours.
    fn close(&mut self, id: RequestId) {
        self.unhold(id);
        self.requests.entry(id).and_modify(|request| request.done = true);
        self.forget(id);
    }

    /// A request's record goes once it is answered and its last attempt has ended.
    fn forget(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|request| request.done && !request.out()) {
            self.requests.remove(&id);
        }
    }

    fn own(&mut self, id: RequestId, attempt: u32) -> Option<(usize, usize)> {
        let at = self.requests.get(&id)?.attempts.get(attempt as usize)?.worker;
        let nr = self.workers[at].own.iter().position(|own| own.request == id && own.attempt == attempt)?;
        Some((at, nr))
    }

    fn on_started(&mut self, now: Micros, id: RequestId, attempt: u32) {
        let Some((at, nr)) = self.own(id, attempt) else { return };
        let size = self.requests[&id].size;
        let end = now + self.run_time(at, size, now);
        let own = &mut self.workers[at].own[nr];
        (own.start, own.end, own.clean, own.awaits_start) = (now, end, true, false);
    }

    fn on_note(&mut self, now: Micros, id: RequestId, attempt: u32, note: Note, out: &mut Vec<Action>) {
        let Some((at, nr)) = self.own(id, attempt) else { return };
        match note {
            Note::Started => self.on_started(now, id, attempt),
            Note::Silent if !self.workers[at].own[nr].awaits_start => {}
            Note::Silent => {
                // The way there is dead, or the worker: nothing of a queue there shows in this. A job that may
                // run twice is tried elsewhere, any other can only be waited for.
                self.workers[at].own[nr].awaits_start = false;
                self.strike(now, at, 1, out);
                let effect = self.settings.classes[self.requests[&id].class].effect;
                if effect == Effect::Safe && self.settings.limits.cancel {
                    out.push(Action::Cancel { request: id, attempt });
                }
            }
            Note::Progress(done) if done > 0.0 && done <= 1.0 => {
                let own = &mut self.workers[at].own[nr];
                // The pace between two notes, or from the start, where that is known, to the first.
                let pace = match own.progress {
                    Some((then, before)) if done > before => (done - before) / (now - then).max(1) as f64,
                    _ if own.clean => done / (now - own.start.min(now)).max(1) as f64,
                    _ => 1.0 / self.know.mean_time,
                };
                own.progress = Some((now, done));
                own.end = now + ((1.0 - done) / pace).min(3600.0 * SECOND as f64) as Micros;
            }
            Note::Progress(_) => {}
        }
    }

    fn on_outcome(&mut self, now: Micros, outcome: Outcome, out: &mut Vec<Action>) {
        let Outcome { request: id, attempt, ending, elapsed, concluded, .. } = outcome;
        let Some((at, nr)) = self.own(id, attempt) else { return };
        let own = self.workers[at].own.swap_remove(nr);
        let mut speed = None;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let state = if ending.never_ran() { State::NeverRan } else { State::MayHaveRan };
        request.attempts[attempt as usize].state = state;
        request.done |= concluded;
        let (class, hint) = (request.class, request.hint);
        match ending {
            Ending::Ok => {
                let before = self.workers[at].trust.strikes(now);
                self.workers[at].trust.fine(now);
                self.tell_trust(now, at, before, out);
                self.on_connection(now, at, true);
                self.step_lanes(at, own.slots, true);
                if own.clean {
                    let time = if own.start > own.sent { now.saturating_sub(own.start) } else { elapsed };
                    speed = self.learn(now, at, (class, hint), time);
                }
            }
            Ending::Full => {
                self.step_lanes(at, own.slots, false);
                let lanes = self.lanes(at) as f64;
                // Its waiting room is taken too, which is taken to hold half a lane's worth each.
                self.workers[at].foreign = Some((now, 1.5 * lanes));
                self.workers[at].known = now;
                self.on_zone_load(at, lanes);
            }
            Ending::Unreachable => {
                self.strike(now, at, 1, out);
                self.on_connection(now, at, false);
            }
            // One that answers with errors is soon free again, and would draw more jobs than the others.
            Ending::Error => self.strike(now, at, 2, out),
            Ending::Broken => self.strike(now, at, 1, out),
            Ending::TimedOut | Ending::Cancelled | Ending::Moot | Ending::Unusable => {}
        }
        self.tell_peers(now, at, speed, out);
        self.after_attempt(now, id, ending, out);
        self.forget(id);
        self.offer(now, at, out);
    }

    /// An attempt has ended without the answer: try again where that is allowed and can help, else answer.
    fn after_attempt(&mut self, now: Micros, id: RequestId, ending: Ending, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.done || request.held || request.out() {
            return;
        }
        let risky = request.attempts.iter().any(|attempt| attempt.state == State::MayHaveRan);
        let once = matches!(self.settings.classes[request.class].effect, Effect::Unsafe) && risky;
        let spent = request.attempts.len() >= self.settings.limits.tries as usize;
        let over = now + 2 * self.settings.tick >= request.expires;
        if ending == Ending::Unusable {
            // No other worker can use it either, and the caller need not come again with it.
            out.push(Action::Fail(id));
            self.close(id);
        } else if once || spent || over || ending == Ending::Moot {
            self.finish(now, id, out);
        } else {
            self.hold(id);
            self.wake_at(now, now + self.settings.tick, out);
        }
    }

    // ---- Tenants ---------------------------------------------------------------------------------

    /// Whether this request is beyond its tenant's share, by this dispatcher's part of the quota.
    fn over_share(&mut self, now: Micros, tenant: Option<TenantIx>) -> bool {
        let spec = tenant.and_then(|TenantIx(nr)| Some((nr, self.settings.tenants.get(nr)?)));
        let Some((nr, spec)) = spec else { return false };
        if spec.quota_per_s <= 0.0 {
            return false;
        }
        let rate = spec.quota_per_s / f64::from(self.census.size());
        !self.know.buckets[nr].take(now, rate)
    }
}
