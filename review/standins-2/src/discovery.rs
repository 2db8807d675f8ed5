//! Discovery: gives out the list of stock workers, and tells changes on watches.

use crate::lock;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// An entry of the list.
#[derive(Clone)]
pub struct Host {
    pub name: String,
    pub dial: String,
    pub site: String,
    pub class: String,
    pub health: &'static str,
    pub born_ms: u64,
}

impl Host {
    pub fn json(&self) -> String {
        format!(
            r#"{{"host":"{}","dial":"{}","site":"{}","class":"{}","block":0,"health":"{}","share":1.0,"born_ms":{}}}"#,
            self.name, self.dial, self.site, self.class, self.health, self.born_ms
        )
    }
}

/// A list or a change in discovery's form.
pub fn list_json(seq: u64, whole: bool, hosts: &[Host]) -> String {
    let hosts: Vec<String> = hosts.iter().map(Host::json).collect();
    format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, hosts.join(","))
}

struct State {
    seq: u64,
    hosts: Vec<Host>,
    watches: Vec<TcpStream>,
}

/// The service.
#[derive(Clone)]
pub struct Discovery {
    pub address: String,
    state: Arc<Mutex<State>>,
}

impl Discovery {
    /// Starts the service with this list, as version 1.
    pub fn start(hosts: Vec<Host>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binding discovery");
        let address = listener.local_addr().expect("the address of discovery").to_string();
        let state = Arc::new(Mutex::new(State { seq: 1, hosts, watches: Vec::new() }));
        let discovery = Discovery { address, state };
        let service = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let service = service.clone();
                thread::spawn(move || service.serve(stream));
            }
        });
        let service = discovery.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_secs(2));
                lock(&service.state).watches.retain_mut(|watch| write_chunk(watch, "\n").is_ok());
            }
        });
        discovery
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        let mut stream = stream;
        loop {
            let mut first = String::new();
            if reader.read_line(&mut first).unwrap_or(0) == 0 {
                return;
            }
            let mut line = String::new();
            while reader.read_line(&mut line).unwrap_or(0) > 2 {
                line.clear();
            }
            let mut state = lock(&self.state);
            let whole = list_json(state.seq, true, &state.hosts);
            if first.contains("watch=1") {
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                if stream.write_all(head.as_bytes()).is_ok()
                    && write_chunk(&mut stream, &(whole + "\n")).is_ok()
                {
                    state.watches.push(stream);
                }
                return;
            }
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{whole}", whole.len());
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Changes the list: entries of this name are replaced, those that are `terminated` are removed. All watches are told.
    pub fn change(&self, changed: &[Host]) {
        let mut state = lock(&self.state);
        state.seq += 1;
        let names: std::collections::HashSet<&str> = changed.iter().map(|host| host.name.as_str()).collect();
        state.hosts.retain(|host| !names.contains(host.name.as_str()));
        state.hosts.extend(changed.iter().filter(|host| host.health != "terminated").cloned());
        let text = list_json(state.seq, false, changed) + "\n";
        state.watches.retain_mut(|watch| write_chunk(watch, &text).is_ok());
    }

    /// The present list in discovery's form.
    pub fn known(&self) -> String {
        let state = lock(&self.state);
        list_json(state.seq, true, &state.hosts)
    }
}

fn write_chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}
