//! Case 1: the answers to callbacks are lost for a while, so that a worker repeats its word that it handed a job back.

use review_standins::{
    Job, Ledger, Network, Scheduler, SchedulerPlan, Setting, What, Worker, WorkerPlan, free_address,
    head_office_stock, host_entry, run_case, start_discovery, submit,
};
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// How long answers to callbacks are lost. The pages name 6 s.
const LOSS: Duration = Duration::from_millis(2_500);
/// For how long the workers' slots are taken by jobs of other schedulers.
const OCCUPIED: Duration = Duration::from_millis(1_000);

fn main() {
    run_case(case)
}

fn case(setting: &Setting) -> Result<Vec<String>, String> {
    let io = |error: std::io::Error| error.to_string();
    let (record, ledger) = (&setting.record, Arc::new(Ledger::default()));
    let listen = free_address().map_err(io)?;
    let callbacks = Network::to(listen).map_err(io)?;
    let mut workers = Vec::new();
    for name in ["s-0000000a", "s-0000000b"] {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(io)?;
        let plan = WorkerPlan {
            name,
            room: 0,
            run_time: Duration::from_millis(1_600),
            callback_wait: Duration::from_millis(500),
        };
        workers.push(Worker::start(plan, listener, callbacks.address, &ledger, record).map_err(io)?);
    }
    let entry = |worker: &Arc<Worker>| host_entry(&worker.name, worker.address, "windhoek", "mid-std");
    let hosts = workers.iter().map(entry).collect::<Vec<_>>().join(",");
    let discovery = start_discovery(&hosts).map_err(io)?;
    let settings = head_office_stock();
    let plan = SchedulerPlan {
        listen,
        discovery,
        hosts: &hosts,
        settings: &settings,
        memory_mb: 192,
        sockets: 1024,
    };
    let mut scheduler = Scheduler::start(&setting.root, &setting.tmp, &plan)?;
    scheduler.wait_until_up()?;
    thread::sleep(Duration::from_millis(300));

    workers.iter().for_each(|worker| worker.occupy_for(OCCUPIED));
    if setting.trouble {
        record.line(&format!("network    answers to callbacks are lost for {LOSS:?}"));
        callbacks.lose_answers(true);
    }
    let (network_record, trouble) = (Arc::clone(record), setting.trouble);
    let network = thread::spawn(move || {
        thread::sleep(LOSS);
        callbacks.lose_answers(false);
        if trouble {
            network_record.line("network    answers to callbacks get through again");
        }
        callbacks
    });
    let job = Job {
        id: "c0ffee0000000001".to_owned(),
        class: "pallet-transfer",
        timeout: 10.0,
        hint: 1_500_000,
        body: "booking 4711".to_owned(),
    };
    let answer = submit(record, listen, &job);
    // A refusal says that trying again is harmless, so the client tries once more, with a fresh id.
    let mut answers = vec![(job.id.clone(), answer.clone())];
    if matches!(answer.status, 429 | 503) {
        thread::sleep(Duration::from_millis(50));
        let retry = Job { id: "c0ffee0000000002".to_owned(), ..job };
        let again = submit(record, listen, &retry);
        answers.push((retry.id, again));
    }
    thread::sleep(Duration::from_secs(4));
    let _network = network.join();
    if scheduler.exited() {
        return Ok(vec!["the scheduler has crashed".to_owned()]);
    }

    let events = ledger.events();
    let mut broken = Vec::new();
    for (id, answer) in &answers {
        // A refusal, or a further attempt, is allowed only if each earlier attempt certainly never ran.
        for started in events.iter().filter(|event| event.id == *id && event.what == What::Started) {
            if matches!(answer.status, 429 | 503) && started.at < answer.at {
                broken.push(format!(
                    "{id} was refused with {} at {:.3} s, but attempt {} had begun to run at {} at {:.3} s",
                    answer.status, answer.at, started.attempt, started.worker, started.at
                ));
            }
            let next = events.iter().find(|event| {
                event.id == *id && event.what == What::Taken && event.attempt > started.attempt
            });
            if let Some(next) = next {
                broken.push(format!(
                    "{id} was sent again (attempt {}, {}, {:.3} s) after attempt {} had begun to run at {} at {:.3} s",
                    next.attempt, next.worker, next.at, started.attempt, started.worker, started.at
                ));
            }
        }
    }
    let runs = events.iter().filter(|event| event.what == What::Started).count();
    record.line(&format!("ledger     booking 4711 began to run {runs} times"));
    Ok(broken)
}
