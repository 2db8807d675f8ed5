//! Measures costs that are tied to jobs: a complete job in the decision module, token buckets of tenants, load
//! reports, and the timer of the hold queue.

use crate::cpu_clock;
use crate::probe::{Cost, MIN_SERIES_TIME, event_cpu_us, retained_heap};
use crate::scenario::{self, FleetParameters, LANES, MILLI, SECOND};
use calicolb_decisions::api::*;
use calicolb_decisions::rules::Dispatcher;

/// Held jobs that the timer examines in one run.
const HELD_JOBS: u32 = 8;
/// Timer runs after which the loads and the held jobs are renewed, since a reported load is valid for a few seconds
/// only.
const RENEW_AFTER: u32 = 100;
/// The timer of the hold queue.
pub(crate) const HOLD_TIMER: TimerId = TimerId(1);

/// An arriving job of a class, optionally of a tenant, with an expected duration of `task_s` seconds.
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

/// A load report of a worker with `running` running and `waiting` waiting jobs.
pub(crate) fn report(running: u32, waiting: u32) -> Report {
    Report {
        outstanding: Some(f64::from(running + waiting)),
        backlog: Some(f64::from(waiting)),
        free_slots: Some(f64::from(LANES.saturating_sub(running))),
        ..Report::default()
    }
}

/// One complete job in the decision module: it is accepted, checked against its tenant's token bucket, sent, started
/// and ended. The time of the bucket alone cannot be separated from the rest; the total is an upper bound. The heap
/// bytes are those of the tenants' settings and buckets.
pub fn complete_job(fleet: &FleetParameters, seed: u64, cpu_times: bool) -> Cost {
    let new_fleet = FleetParameters { days: 0, ..*fleet };
    let without_tenants = FleetParameters { tenants: 0, ..new_fleet };
    let tenant_heap = retained_heap(|| scenario::settled_scheduler(&new_fleet, seed))
        - retained_heap(|| scenario::settled_scheduler(&without_tenants, seed));
    let cpu_us = cpu_times.then(|| {
        let (mut state, mut actions) =
            ((scenario::settled_scheduler(fleet, seed), scenario::current_time(fleet), 0_u32), Vec::new());
        let run = |state: &mut (Dispatcher, Micros, u32), ()| {
            let (dispatcher, now, number) = state;
            *number += 1;
            let (request, tenant) =
                (RequestId(*number), (fleet.tenants > 0).then(|| (*number % fleet.tenants) as usize));
            dispatcher.on_event(
                *now,
                Event::Arrival(arrival(*now, *number, 0, tenant, fleet.task_s())),
                &mut actions,
            );
            let sent = actions.iter().find_map(|action| match action {
                Action::Send { worker, .. } => Some(*worker),
                _ => None,
            });
            if let Some(worker) = sent {
                *now += MILLI;
                let note = Event::Note { request, attempt: 0, note: AttemptNote::Started };
                dispatcher.on_event(*now, note, &mut actions);
                let elapsed = (fleet.task_s() * SECOND as f64) as Micros;
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
                dispatcher.on_event(*now, Event::Outcome(outcome), &mut actions);
            } else {
                dispatcher.on_event(*now, Event::RequestAbandoned(request), &mut actions);
            }
            actions.clear();
        };
        cpu_clock::micros_per_iteration(MIN_SERIES_TIME, 64, &mut state, |_| (), run)
    });
    Cost { cpu_us, heap_bytes: Some(tenant_heap), ..Cost::default() }
}

/// A load report received with a probe's answer.
pub fn load_report(fleet: &FleetParameters, seed: u64, cpu_times: bool) -> Cost {
    let reports = |number: u64| Event::Probed {
        worker: scenario::active_worker(fleet, seed, number),
        ending: Ending::Ok,
        elapsed: 2 * MILLI,
        report: Some(report((number % u64::from(LANES)) as u32, 0)),
    };
    Cost { cpu_us: event_cpu_us(fleet, seed, 1_000, cpu_times, reports), ..Cost::default() }
}

/// The timer of the hold queue, with the maximum number of held jobs that one run examines and no free lane.
pub fn hold_timer(fleet: &FleetParameters, seed: u64, cpu_times: bool) -> Cost {
    let cpu_us = cpu_times.then(|| {
        let mut state = FullScheduler {
            dispatcher: scenario::settled_scheduler(fleet, seed),
            now: scenario::current_time(fleet),
            runs: 0,
            jobs: 0,
        };
        let run = |state: &mut FullScheduler, ()| state.run_timer();
        cpu_clock::micros_per_iteration(MIN_SERIES_TIME, 1, &mut state, |state| state.renew(fleet, seed), run)
    });
    Cost { cpu_us, ..Cost::default() }
}

/// A scheduler with held jobs whose workers are all full.
struct FullScheduler {
    dispatcher: Dispatcher,
    now: Micros,
    runs: u32,
    /// Number of jobs created.
    jobs: u32,
}

impl FullScheduler {
    /// Renews the loads and the held jobs once in [`RENEW_AFTER`] runs.
    fn renew(&mut self, fleet: &FleetParameters, seed: u64) {
        self.runs += 1;
        if self.runs % RENEW_AFTER != 1 {
            return;
        }
        let mut actions = Vec::new();
        let held_jobs = self.jobs.saturating_sub(HELD_JOBS)..self.jobs;
        for id in held_jobs {
            self.dispatcher.on_event(self.now, Event::RequestAbandoned(RequestId(id)), &mut actions);
        }
        for number in 0..fleet.workers {
            let worker = scenario::active_worker(fleet, seed, u64::from(number));
            let body = scenario::encode_load(worker, LANES as u8, 200, 255);
            self.dispatcher.on_event(self.now, Event::Peer { from: 1, body }, &mut actions);
            let (ending, elapsed, report) = (Ending::Ok, MILLI, Some(report(LANES, 0)));
            self.dispatcher.on_event(
                self.now,
                Event::Probed { worker, ending, elapsed, report },
                &mut actions,
            );
        }
        for id in self.jobs..self.jobs + HELD_JOBS {
            let job = arrival(self.now, id, 1, None, fleet.task_s());
            self.dispatcher.on_event(self.now, Event::Arrival(job), &mut actions);
        }
        self.jobs += HELD_JOBS;
    }

    fn run_timer(&mut self) {
        // A held job is examined again after at most 80 ms.
        self.now += 80 * MILLI;
        let mut actions = Vec::new();
        self.dispatcher.on_event(self.now, Event::Timer(HOLD_TIMER), &mut actions);
        std::hint::black_box(&actions);
    }
}
