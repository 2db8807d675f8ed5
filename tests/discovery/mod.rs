//! A stand-in for discovery that confirms whatever list a scheduler has.

use std::io::{BufRead, BufReader, Result, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// Answers each watch with no change since the version that it names, and with an empty line each second, until the test
/// ends.
pub fn confirm_list_forever(listener: TcpListener) {
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || confirm(stream));
        }
    });
}

fn confirm(mut stream: TcpStream) -> Result<()> {
    let mut line = String::new();
    BufReader::new(&stream).read_line(&mut line)?;
    let from = line.split("from=").nth(1).and_then(|rest| rest.split(' ').next()).unwrap_or("0");
    let change = format!("{{\"seq\":{from},\"whole\":false,\"hosts\":[]}}\n");
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    stream.write_all(format!("{head}{:x}\r\n{change}\r\n", change.len()).as_bytes())?;
    loop {
        thread::sleep(Duration::from_secs(1));
        stream.write_all(b"1\r\n\n\r\n")?;
    }
}
