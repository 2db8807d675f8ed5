//! What of a tenant's requests is counted as within its quota, over a whole fleet. The module does not tell; it is seen
//! from what it does: with one of a worker's two lanes taken, a job within its tenant's share goes out at once, and one
//! beyond it leaves the other lane free.

use crate::probe_jobs::arrival;
use crate::scenario::{self, FleetParameters, MILLI, SECOND, START_TIME};
use calicolb_decisions::api::*;
use calicolb_decisions::rules::Dispatcher;

/// The number of the job that takes a lane for good.
const FILLER: u32 = u32::MAX;
/// Seconds played, and how many of them are not counted: buckets are full at the beginning.
const SECONDS: (f64, f64) = (1_800.0, 600.0);
/// Requests of a burst at each scheduler: more than any bucket holds.
const BURST: u32 = 100;

/// How a tenant's requests fall on the schedulers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spread {
    /// Alike on all.
    Even,
    /// In the ratio 1 : 1/2 : 1/3 ...
    Harmonic,
}

/// A fleet of schedulers and one tenant.
pub struct Tenancy {
    schedulers: Vec<Dispatcher>,
    quota_per_s: f64,
    next: u32,
}

impl Tenancy {
    /// So many schedulers, and a tenant with this quota.
    pub fn new(schedulers: u32, quota_per_s: f64) -> Self {
        let size =
            FleetParameters { workers: 1, schedulers, tenants: 1, days: 0, ..FleetParameters::default() };
        let begin = |rank| {
            let mut settings = scenario::settings(&size, rank);
            settings.zone = ZoneIx(0);
            settings.tenants = vec![Tenant { quota_per_s, share: 1.0 }];
            settings.reports = ReportSource::NoReports;
            settings.tells_start = false;
            (settings.limits.peers, settings.limits.probes) = (false, false);
            let mut dispatcher = Dispatcher::new(settings, u64::from(rank), START_TIME);
            let worker = Member { lanes: Some(2), ..scenario::member(&size, 0, 0) };
            let mut out = Vec::new();
            dispatcher.on_event(START_TIME, Event::Members(ListKind::Full, vec![worker]), &mut out);
            dispatcher.on_event(
                START_TIME,
                Event::Arrival(arrival(START_TIME, FILLER, 1, None, 60.0)),
                &mut out,
            );
            dispatcher
        };
        Tenancy { schedulers: (0..schedulers).map(begin).collect(), quota_per_s, next: 0 }
    }

    /// A request of the tenant at one scheduler; tells whether it was counted as within the quota.
    fn request(&mut self, now: Micros, at: usize) -> bool {
        self.next += 1;
        let request = RequestId(self.next);
        let mut out = Vec::new();
        let job = arrival(now, self.next, 0, Some(0), 1e-3);
        self.schedulers[at].on_event(now, Event::Arrival(job), &mut out);
        let sent = out.iter().find_map(|action| match action {
            Action::Send { worker, .. } => Some(*worker),
            _ => None,
        });
        let ended = match sent {
            Some(worker) => Event::Outcome(Outcome {
                request,
                attempt: 0,
                worker,
                ending: Ending::Ok,
                elapsed: MILLI,
                concluded: true,
                running: false,
                report: None,
            }),
            None => Event::RequestAbandoned(request),
        };
        self.schedulers[at].on_event(now, ended, &mut out);
        sent.is_some()
    }

    /// Requests counted as within the quota, as a part of those made, where they come at `load` times the quota.
    pub fn within(&mut self, load: f64, spread: Spread, seed: u64) -> f64 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let weight = |nr: usize| if spread == Spread::Even { 1.0 } else { 1.0 / (nr + 1) as f64 };
        let bounds: Vec<f64> = (0..self.schedulers.len())
            .scan(0.0, |sum, nr| {
                *sum += weight(nr);
                Some(*sum)
            })
            .collect();
        let all = bounds.last().copied().unwrap_or(0.0);
        let (mut at, mut made, mut within) = (0.0, 0_u32, 0_u32);
        loop {
            at -= (1.0 - rng.f64()).ln() / (load * self.quota_per_s);
            if at > SECONDS.0 {
                return f64::from(within) / f64::from(made.max(1));
            }
            let draw = rng.f64() * all;
            let to = bounds.partition_point(|&bound| bound <= draw).min(self.schedulers.len() - 1);
            let counted = self.request(START_TIME + (at * SECOND as f64) as Micros, to);
            if at > SECONDS.1 {
                made += 1;
                within += u32::from(counted);
            }
        }
    }

    /// Requests of a burst at all schedulers at once, after an hour of rest, that are counted as within the quota.
    pub fn burst(&mut self) -> u32 {
        let now = START_TIME + 3_600 * SECOND;
        let all = (0..self.schedulers.len()).flat_map(|at| (0..BURST).map(move |_| at));
        all.map(|at| u32::from(self.request(now, at))).sum()
    }
}
