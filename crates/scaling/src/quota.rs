//! Measures how many of a tenant's requests count as within its quota over a whole fleet. The decision module does
//! not report this, so it is inferred from its actions: with one of a worker's two lanes taken, a job within the
//! tenant's share is sent at once, and a job beyond it leaves the other lane free.

use crate::probe_jobs::arrival;
use crate::scenario::{self, FleetParameters, MILLI, SECOND, START_TIME};
use calicolb_decisions::api::*;
use calicolb_decisions::rules::Dispatcher;

/// Number of the job that occupies one lane for the whole run.
const LANE_HOLDER: u32 = u32::MAX;
/// Simulated seconds, and the seconds at the start that are not counted because the token buckets are full then.
const RUN_AND_WARM_UP_S: (f64, f64) = (1_800.0, 600.0);
/// Requests of a burst at each scheduler; more than any token bucket holds.
const BURST_REQUESTS: u32 = 100;

/// Distribution of a tenant's requests over the schedulers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spread {
    /// The same rate at all schedulers.
    Even,
    /// Rates in the ratio 1 : 1/2 : 1/3 and so on.
    Harmonic,
}

/// The schedulers of a fleet and one tenant.
pub struct TenantFleet {
    schedulers: Vec<Dispatcher>,
    quota_per_s: f64,
    last_request: u32,
}

impl TenantFleet {
    /// A fleet of `schedulers` schedulers and a tenant with this quota in requests per second.
    pub fn new(schedulers: u32, quota_per_s: f64) -> Self {
        let fleet =
            FleetParameters { workers: 1, schedulers, tenants: 1, days: 0, ..FleetParameters::default() };
        let start_scheduler = |rank| {
            let mut settings = scenario::settings(&fleet, rank);
            settings.zone = ZoneIx(0);
            settings.tenants = vec![Tenant { quota_per_s, share: 1.0 }];
            settings.reports = ReportSource::NoReports;
            settings.tells_start = false;
            (settings.limits.peers, settings.limits.probes) = (false, false);
            let mut dispatcher = Dispatcher::new(settings, u64::from(rank), START_TIME);
            let worker = Member { lanes: Some(2), ..scenario::member(&fleet, 0, 0) };
            let mut actions = Vec::new();
            dispatcher.on_event(START_TIME, Event::Members(ListKind::Full, vec![worker]), &mut actions);
            dispatcher.on_event(
                START_TIME,
                Event::Arrival(arrival(START_TIME, LANE_HOLDER, 1, None, 60.0)),
                &mut actions,
            );
            dispatcher
        };
        TenantFleet {
            schedulers: (0..schedulers).map(start_scheduler).collect(),
            quota_per_s,
            last_request: 0,
        }
    }

    /// Sends a request of the tenant to one scheduler; returns true if it counted as within the quota.
    fn send_request(&mut self, now: Micros, scheduler: usize) -> bool {
        self.last_request += 1;
        let request = RequestId(self.last_request);
        let mut actions = Vec::new();
        let job = arrival(now, self.last_request, 0, Some(0), 1e-3);
        self.schedulers[scheduler].on_event(now, Event::Arrival(job), &mut actions);
        let sent = actions.iter().find_map(|action| match action {
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
        self.schedulers[scheduler].on_event(now, ended, &mut actions);
        sent.is_some()
    }

    /// Share of the requests that count as within the quota when they arrive at `load` times the quota.
    pub fn admitted_share(&mut self, load: f64, spread: Spread, seed: u64) -> f64 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let weight = |index: usize| if spread == Spread::Even { 1.0 } else { 1.0 / (index + 1) as f64 };
        let cumulative_weights: Vec<f64> = (0..self.schedulers.len())
            .scan(0.0, |sum, index| {
                *sum += weight(index);
                Some(*sum)
            })
            .collect();
        let total_weight = cumulative_weights.last().copied().unwrap_or(0.0);
        let (mut time_s, mut sent_count, mut admitted_count) = (0.0, 0_u32, 0_u32);
        loop {
            time_s -= (1.0 - rng.f64()).ln() / (load * self.quota_per_s);
            if time_s > RUN_AND_WARM_UP_S.0 {
                return f64::from(admitted_count) / f64::from(sent_count.max(1));
            }
            let draw = rng.f64() * total_weight;
            let scheduler = cumulative_weights
                .partition_point(|&weight_sum| weight_sum <= draw)
                .min(self.schedulers.len() - 1);
            let admitted = self.send_request(START_TIME + (time_s * SECOND as f64) as Micros, scheduler);
            if time_s > RUN_AND_WARM_UP_S.1 {
                sent_count += 1;
                admitted_count += u32::from(admitted);
            }
        }
    }

    /// Number of requests that count as within the quota in a burst at all schedulers after an hour without requests.
    pub fn admitted_burst(&mut self) -> u32 {
        let now = START_TIME + 3_600 * SECOND;
        let receivers =
            (0..self.schedulers.len()).flat_map(|scheduler| (0..BURST_REQUESTS).map(move |_| scheduler));
        receivers.map(|scheduler| u32::from(self.send_request(now, scheduler))).sum()
    }
}
