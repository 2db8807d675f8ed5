//! A stand-in for the discovery service that confirms the list version that a scheduler has.

use std::io::{BufRead, BufReader, Result, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// Starts a thread that answers each watch on the listener with an empty change for the version named in the request, then
/// with an empty line each second as a keepalive, until the test ends.
pub fn confirm_list_forever(listener: TcpListener) {
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || confirm_list(stream));
        }
    });
}

/// Answers one watch; returns an error when the connection breaks.
fn confirm_list(mut stream: TcpStream) -> Result<()> {
    let mut request_line = String::new();
    BufReader::new(&stream).read_line(&mut request_line)?;
    let version = request_line.split("from=").nth(1).and_then(|rest| rest.split(' ').next()).unwrap_or("0");
    let change = format!("{{\"seq\":{version},\"whole\":false,\"hosts\":[]}}\n");
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    stream.write_all(format!("{head}{:x}\r\n{change}\r\n", change.len()).as_bytes())?;
    loop {
        thread::sleep(Duration::from_secs(1));
        stream.write_all(b"1\r\n\n\r\n")?;
    }
}
