//! Case 3: the 202 of a worker is lost where two attempts of a request may never be out at once.

use review_standins::{
    Event, Job, Ledger, Network, Scheduler, SchedulerPlan, Setting, What, Worker, WorkerPlan, free_address,
    host_entry, kirkpinar_onarim, run_case, start_discovery, submit,
};
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// How long answers of workers are lost. The pages name 6 s.
const LOSS: Duration = Duration::from_millis(200);
/// For how long the slot of the worker that is chosen first is taken by a job of another scheduler.
const OCCUPIED: Duration = Duration::from_millis(300);

fn main() {
    run_case(case)
}

fn case(setting: &Setting) -> Result<Vec<String>, String> {
    let io = |error: std::io::Error| error.to_string();
    let (record, ledger) = (&setting.record, Arc::new(Ledger::default()));
    let listen = free_address().map_err(io)?;
    let (mut workers, mut networks, mut entries) = (Vec::new(), Vec::new(), Vec::new());
    for name in ["s-0000000a", "s-0000000b"] {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(io)?;
        let plan = WorkerPlan {
            name,
            room: 8,
            run_time: Duration::from_millis(1_500),
            callback_wait: Duration::from_secs(2),
        };
        let worker = Worker::start(plan, listener, listen, &ledger, record).map_err(io)?;
        let network = Network::to(worker.address).map_err(io)?;
        entries.push(host_entry(name, network.address, "merkez", "cift-cekirdek"));
        workers.push(worker);
        networks.push(network);
    }
    let hosts = entries.join(",");
    let discovery = start_discovery(&hosts).map_err(io)?;
    let settings = kirkpinar_onarim();
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

    let job = |number: usize| Job {
        id: format!("c0ffee00000002{number:02}"),
        class: "durum-sorgu",
        timeout: 5.0,
        hint: 1_500_000,
        body: format!("query {number}"),
    };
    // The first job shows that the scheduler serves, and which of the two equal workers it takes first.
    let first = submit(record, listen, &job(0));
    let chosen = ledger.events().first().map(|event| event.worker.clone()).unwrap_or_default();
    let Some(worker) = workers.iter().find(|worker| worker.name == chosen).filter(|_| first.status == 200)
    else {
        return Err(format!("the first job was not served: {first:?}"));
    };
    thread::sleep(Duration::from_millis(500));

    worker.occupy_for(OCCUPIED);
    if setting.trouble {
        record.line(&format!("network    answers of workers are lost for {LOSS:?}"));
        networks.iter().for_each(|network| network.lose_answers(true));
    }
    let (network_record, trouble) = (Arc::clone(record), setting.trouble);
    let network = thread::spawn(move || {
        thread::sleep(LOSS);
        networks.iter().for_each(|network| network.lose_answers(false));
        if trouble {
            network_record.line("network    answers of workers get through again");
        }
        networks
    });
    let _answer = submit(record, listen, &job(1));
    thread::sleep(Duration::from_secs(4));
    let _networks = network.join();
    if scheduler.exited() {
        return Ok(vec!["the scheduler has crashed".to_owned()]);
    }

    // No attempt may come while an earlier one of the request has neither ended nor been given up.
    let (events, id) = (ledger.events(), job(1).id);
    let of = |attempt: usize, what: &[What]| -> Option<Event> {
        let fits = |event: &&Event| event.id == id && event.attempt == attempt && what.contains(&event.what);
        events.iter().find(fits).cloned()
    };
    let mut broken = Vec::new();
    for attempt in 1.. {
        let Some(taken) = of(attempt, &[What::Taken]) else { break };
        let ended = of(attempt, &[What::HandedBack, What::Done, What::GivenUp]);
        for later in attempt + 1.. {
            let Some(next) = of(later, &[What::Taken]) else { break };
            if ended.as_ref().is_none_or(|ended| ended.at > next.at) {
                let end = match &ended {
                    Some(ended) => format!("{:?} at {:.3} s", ended.what, ended.at),
                    None => "no end".to_owned(),
                };
                broken.push(format!(
                    "attempt {later} of {id} came to {} at {:.3} s, while attempt {attempt} was out at {} since {:.3} s ({end})",
                    next.worker, next.at, taken.worker, taken.at
                ));
            }
        }
    }
    let runs = events.iter().filter(|event| event.id == id && event.what == What::Started).count();
    record.line(&format!("ledger     {id} began to run {runs} times"));
    Ok(broken)
}
