//! Costs that come with jobs: a whole job in the module, tenants' buckets, load reports, and the timer of held jobs.

use crate::cpu_clock;
use crate::probe::{Cost, MIN_SERIES_TIME, event_cpu_us, retained_heap};
use crate::scenario::{self, FleetParameters, LANES, MILLI, SECOND};
use calicolb_decisions::api::*;
use calicolb_decisions::rules::Dispatcher;

/// Held jobs that the timer looks at in one go.
const HELD: u32 = 8;
/// Rounds of the timer after which the scene is laid anew: what was told of loads counts for some seconds only.
const RELAY: u32 = 100;
/// The timer of held jobs.
pub(crate) const HOLD_TIMER: TimerId = TimerId(1);

/// A job of a class, of a tenant or of none.
pub(crate) fn arrival(now: Micros, id: u32, class: usize, tenant: Option<usize>, task_s: f64) -> Arrival {
    Arrival {
        request: RequestId(id),
        class: ClassIx(class),
        tenant: tenant.map(TenantIx),
        hint: Some(task_s * SECOND as f64),
        expires: now + 600 * SECOND,
        slots: 1,
        ..Arrival::default()
    }
}

/// A report of a worker on which so many jobs run and so many wait.
pub(crate) fn report(running: u32, waiting: u32) -> Report {
    Report {
        outstanding: Some(f64::from(running + waiting)),
        backlog: Some(f64::from(waiting)),
        free_slots: Some(f64::from(LANES.saturating_sub(running))),
        ..Report::default()
    }
}

/// One whole job in the module: taken, its tenant's bucket asked, sent, started, ended. The bucket's own time cannot be
/// told from the rest; the whole is its bound from above. The state is what tenants take in settings and buckets.
pub fn complete_job(size: &FleetParameters, seed: u64, cpu_times: bool) -> Cost {
    let fresh = FleetParameters { days: 0, ..*size };
    let none = FleetParameters { tenants: 0, ..fresh };
    let state = retained_heap(|| scenario::settled_scheduler(&fresh, seed))
        - retained_heap(|| scenario::settled_scheduler(&none, seed));
    let cpu_us = cpu_times.then(|| {
        let (mut held, mut out) =
            ((scenario::settled_scheduler(size, seed), scenario::current_time(size), 0_u32), Vec::new());
        let run = |held: &mut (Dispatcher, Micros, u32), ()| {
            let (dispatcher, now, nr) = held;
            *nr += 1;
            let (request, tenant) =
                (RequestId(*nr), (size.tenants > 0).then(|| (*nr % size.tenants) as usize));
            dispatcher.on_event(*now, Event::Arrival(arrival(*now, *nr, 0, tenant, size.task_s())), &mut out);
            let sent = out.iter().find_map(|action| match action {
                Action::Send { worker, .. } => Some(*worker),
                _ => None,
            });
            if let Some(worker) = sent {
                *now += MILLI;
                let note = Event::Note { request, attempt: 0, note: AttemptNote::Started };
                dispatcher.on_event(*now, note, &mut out);
                let elapsed = (size.task_s() * SECOND as f64) as Micros;
                *now += elapsed;
                let outcome = Outcome {
                    request,
                    attempt: 0,
                    worker,
                    ending: Ending::Ok,
                    elapsed,
                    concluded: true,
                    running: false,
                    report: Some(report(3, 0)),
                };
                dispatcher.on_event(*now, Event::Outcome(outcome), &mut out);
            } else {
                dispatcher.on_event(*now, Event::RequestAbandoned(request), &mut out);
            }
            out.clear();
        };
        cpu_clock::micros_per_iteration(MIN_SERIES_TIME, 64, &mut held, |_| (), run)
    });
    Cost { cpu_us, heap_bytes: Some(state), ..Cost::default() }
}

/// A load report, brought by a probe.
pub fn load_report(size: &FleetParameters, seed: u64, cpu_times: bool) -> Cost {
    let reports = |nr: u64| Event::Probed {
        worker: scenario::active_worker(size, seed, nr),
        ending: Ending::Ok,
        elapsed: 2 * MILLI,
        report: Some(report((nr % u64::from(LANES)) as u32, 0)),
    };
    Cost { cpu_us: event_cpu_us(size, seed, 1_000, cpu_times, reports), ..Cost::default() }
}

/// The timer of held jobs, with as many held as it looks at and no lane free.
pub fn hold_timer(size: &FleetParameters, seed: u64, cpu_times: bool) -> Cost {
    let cpu_us = cpu_times.then(|| {
        let mut held = Full {
            dispatcher: scenario::settled_scheduler(size, seed),
            now: scenario::current_time(size),
            round: 0,
            job: 0,
        };
        let look = |held: &mut Full, ()| held.look();
        cpu_clock::micros_per_iteration(MIN_SERIES_TIME, 1, &mut held, |held| held.relay(size, seed), look)
    });
    Cost { cpu_us, ..Cost::default() }
}

/// A scheduler all whose workers are full, with jobs held.
struct Full {
    dispatcher: Dispatcher,
    now: Micros,
    round: u32,
    /// Jobs so extrapolated.
    job: u32,
}

impl Full {
    /// Once in [`RELAY`] rounds, others tell of their loads and jobs come anew.
    fn relay(&mut self, size: &FleetParameters, seed: u64) {
        self.round += 1;
        if self.round % RELAY != 1 {
            return;
        }
        let mut out = Vec::new();
        let before = self.job.saturating_sub(HELD)..self.job;
        for id in before {
            self.dispatcher.on_event(self.now, Event::RequestAbandoned(RequestId(id)), &mut out);
        }
        for nr in 0..size.workers {
            let worker = scenario::active_worker(size, seed, u64::from(nr));
            let body = scenario::encode_load(worker, LANES as u8, 200, 255);
            self.dispatcher.on_event(self.now, Event::Peer { from: 1, body }, &mut out);
            let (ending, elapsed, report) = (Ending::Ok, MILLI, Some(report(LANES, 0)));
            self.dispatcher.on_event(self.now, Event::Probed { worker, ending, elapsed, report }, &mut out);
        }
        for id in self.job..self.job + HELD {
            let job = arrival(self.now, id, 1, None, size.task_s());
            self.dispatcher.on_event(self.now, Event::Arrival(job), &mut out);
        }
        self.job += HELD;
    }

    fn look(&mut self) {
        // A held job is looked at again 80 ms later at the latest.
        self.now += 80 * MILLI;
        let mut out = Vec::new();
        self.dispatcher.on_event(self.now, Event::Timer(HOLD_TIMER), &mut out);
        std::hint::black_box(&out);
    }
}
