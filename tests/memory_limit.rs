//! The process keeps to `limits.memory_mb`, together with the other process of an upgrade, whatever its clients send and
//! however many they are. Requests that were accepted, reports of workers and sound clients must not suffer from that.

#[allow(dead_code, reason = "each test program uses some of the script steps")]
mod scenario;

use scenario::Setup;

/// The least memory that the platform gives, in MiB.
const MEMORY_MIB: u64 = 32;
/// One chunk of one byte, as a script writes it.
const SMALL_CHUNK: &str = r"1\r\nx\r\n";
/// Small chunks in a request that stops: 141 KB, less than a process held for one connection.
const SMALL_CHUNKS: usize = 23_600;

/// Runs a script with these limits of memory and of descriptors, and with this number of workers.
fn run(memory_mib: u64, sockets: u32, workers: usize, script: &str) {
    let settings = [("/limits/memory_mb", memory_mib.to_string()), ("/limits/sockets", sockets.to_string())];
    let settings: Vec<(&str, &str)> = settings.iter().map(|(key, value)| (*key, value.as_str())).collect();
    Setup { workers, settings: &settings, pass_socket: true, ..Setup::default() }.run(script);
}

/// A request that stops in the middle of a chunked body.
fn stopped_request() -> String {
    let head = r"POST /look HTTP/1.1\r\nRequest-Id: half$CLIENT\r\nRequest-Timeout: 5\r\nTransfer-Encoding: chunked\r\n\r\n";
    format!("{head}{}", SMALL_CHUNK.repeat(SMALL_CHUNKS))
}

/// A request that stops near the end of a body of known length.
fn stopped_request_of_known_length() -> String {
    let head = r"POST /look HTTP/1.1\r\nRequest-Id: half$CLIENT\r\nRequest-Timeout: 5\r\nContent-Length: 65536\r\n\r\n";
    format!("{head}{}", "x".repeat(65_000))
}

/// A whole request with a body of 64 KiB and a head of 12 KiB, for a job that takes little time.
fn large_request() -> String {
    let head =
        r"POST /book HTTP/1.1\r\nRequest-Id: whole$CLIENT\r\nRequest-Timeout: 15\r\nWork-Hint: 1000\r\n";
    let fields: String = (0..50).map(|field| format!(r"X-{field}: {}\r\n", "y".repeat(240))).collect();
    format!(r"{head}{fields}Content-Length: 65536\r\n\r\n{}", "x".repeat(65_536))
}

/// Steps in which a small job is served. The first use of `h1` accepts the program's connection to the worker.
fn served(client: &str, id: &str) -> String {
    format!(
        r#"
        send {client} POST /look Request-Id:{id} Request-Timeout:9
        expect h1 POST /look Request-Id:{id}
        send h1 202
        send n1 POST /_jobs/news | {{"id":"{id}","from":"h1","state":"done","result":"r"}}
        expect n1 200
        expect {client} 200 | r
        "#
    )
}

// Guards against review case 9 and picture (a): a limit for each connection alone does not bound the sum.
#[test]
fn hundreds_of_clients_that_stop_in_a_request_do_not_take_all_memory() {
    let (before, after) = (served("c1", "a1"), served("c1", "a2"));
    for stopped in [stopped_request_of_known_length(), stopped_request()] {
        let limit = MEMORY_MIB * 1_024;
        run(
            MEMORY_MIB,
            1_024,
            1,
            &format!("{before}\nstall 600 raw {stopped}\nmemory_peak {limit}\n{after}\nmemory_peak {limit}"),
        );
    }
}

// Guards against review case 9: whole requests that wait, with requests behind them that stop, take all memory together.
#[test]
fn large_requests_that_wait_and_the_input_behind_them_do_not_take_all_memory() {
    let (whole, stopped) = (large_request(), stopped_request());
    run(
        MEMORY_MIB,
        256,
        1,
        &format!(
            "stall 79 raw {whole}{stopped}
            stall 64 raw {stopped}
            up c1
            memory_peak {}",
            MEMORY_MIB * 1_024
        ),
    );
}

// Guards against heads that take more memory than their bytes.
#[test]
fn hundreds_of_heads_of_many_short_fields_do_not_take_all_memory() {
    let (before, after) = (served("c1", "a1"), served("c1", "a2"));
    let head = r"POST /look HTTP/1.1\r\nRequest-Id: half$CLIENT\r\nRequest-Timeout: 5\r\n";
    let fields = r"a:b\r\n".repeat(60);
    let waiting = format!(r"{head}{fields}Content-Length: 9\r\n\r\n");
    let endless = format!("{head}{}", r"a:b\r\n".repeat(2_300));
    run(
        MEMORY_MIB,
        1_024,
        1,
        &format!(
            "{before}\nstall 300 raw {waiting}\nstall 300 raw {endless}\n{after}\nmemory_peak {}",
            MEMORY_MIB * 1_024
        ),
    );
}

// Guards against two processes of an upgrade that keep to the limit each for itself.
#[test]
fn both_processes_of_an_upgrade_keep_to_the_limit_together() {
    let (whole, stopped) = (large_request(), stopped_request());
    run(
        MEMORY_MIB,
        256,
        1,
        &format!(
            "stall 79 raw {whole}{stopped}
            start successor
            stall 40 raw {}{stopped}
            memory_peak {}",
            whole.replace("whole", "later"),
            MEMORY_MIB * 1_024
        ),
    );
}

// Guards against a shortage of memory that a sound client with a large body on a slow line pays for.
#[test]
fn slow_client_with_a_large_body_is_served_beside_clients_that_stop() {
    let (before, stopped) = (served("c1", "a1"), stopped_request());
    let head =
        r"POST /look HTTP/1.1\r\nRequest-Id: slow\r\nRequest-Timeout: 9\r\nContent-Length: 65536\r\n\r\n";
    let mut script = format!("{before}\nsend c2 raw {head}\n");
    for piece in 0..16 {
        script += &format!("send c2 raw {}\n", "x".repeat(4_096));
        if piece == 3 {
            script += &format!("stall 120 raw {stopped}\n");
        }
        script += "mark\nuntil 60\n";
    }
    run(
        MEMORY_MIB,
        256,
        1,
        &(script
            + r#"
        expect h1 POST /look Request-Id:slow
        send h1 202
        send n1 POST /_jobs/news | {"id":"slow","from":"h1","state":"done","result":"r"}
        expect n1 200
        expect c2 200 | r
        "#),
    );
}

// Guards against a report of a worker that is given up, or not read, while memory is short.
#[test]
fn large_report_of_a_worker_is_taken_while_memory_is_short() {
    let stopped = stopped_request();
    let result = "r".repeat(60_000);
    let report = format!(r#"{{"id":"a1","from":"h1","state":"done","result":"{result}"}}"#);
    let (first, second) = report.split_at(30_000);
    run(
        MEMORY_MIB,
        256,
        1,
        &format!(
            r#"
            send c1 POST /look Request-Id:a1 Request-Timeout:9
            expect h1 POST /look Request-Id:a1
            send h1 202
            send n1 raw POST /_jobs/news HTTP/1.1\r\nContent-Length: {}\r\n\r\n{first}
            stall 120 raw {stopped}
            send n1 raw {second}
            expect n1 200
            expect c1 200 | {result}
            "#,
            report.len()
        ),
    );
}

// Guards against memory that is not given back to the account: after the clients have gone, large requests are taken again.
#[test]
fn large_requests_are_accepted_again_after_a_shortage() {
    let (before, stopped) = (served("c1", "a1"), stopped_request());
    let large = large_request().replace("whole$CLIENT", "last").replace("/book", "/look");
    run(
        MEMORY_MIB,
        256,
        1,
        &format!(
            r#"
            {before}
            stall 120 raw {stopped}
            mark
            until 3000
            send c2 raw {large}
            expect h1 POST /look Request-Id:last
            send h1 202
            send n1 POST /_jobs/news | {{"id":"last","from":"h1","state":"done","result":"r"}}
            expect n1 200
            expect c2 200 | r
            "#
        ),
    );
}
