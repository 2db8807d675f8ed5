//! One call over HTTP, or one line to an operators' door.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long one call may take.
const CALL: Duration = Duration::from_secs(8);

fn connect(at: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&at, CALL)?;
    stream.set_read_timeout(Some(CALL))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// One request on a connection of its own; gives status, head and body.
pub fn call(
    at: SocketAddr,
    method: &str,
    target: &str,
    headers: &str,
    body: &[u8],
) -> std::io::Result<(u16, String, Vec<u8>)> {
    let mut stream = connect(at)?;
    let head = format!(
        "{method} {target} HTTP/1.1\r\nHost: t\r\nConnection: close\r\nContent-Length: {}\r\n{headers}\r\n",
        body.len()
    );
    stream.write_all(&[head.as_bytes(), body].concat())?;
    let mut all = Vec::new();
    stream.read_to_end(&mut all)?;
    let end = all.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4);
    let end = end.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    let head = String::from_utf8_lossy(&all[..end]).into_owned();
    let status = head.split(' ').nth(1).and_then(|word| word.parse().ok());
    Ok((status.ok_or(std::io::ErrorKind::InvalidData)?, head, all.split_off(end)))
}

/// What a door answers to a line.
pub fn ask(door: SocketAddr, line: &str) -> std::io::Result<String> {
    let mut stream = connect(door)?;
    stream.write_all(format!("{line}\n").as_bytes())?;
    let mut told = String::new();
    stream.read_to_string(&mut told)?;
    Ok(told)
}

/// A watch that is open.
pub struct Watch {
    /// How the call for it was answered.
    pub status: u16,
    reader: BufReader<TcpStream>,
    text: Vec<u8>,
}

impl Watch {
    /// Opens one.
    pub fn open(at: SocketAddr, target: &str) -> std::io::Result<Watch> {
        let mut stream = TcpStream::connect_timeout(&at, CALL)?;
        // A line comes every two seconds.
        stream.set_read_timeout(Some(Duration::from_secs(3)))?;
        stream.write_all(format!("GET {target} HTTP/1.1\r\nHost: t\r\n\r\n").as_bytes())?;
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let status = line.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
        line.clear();
        while reader.read_line(&mut line)? > 0 && line != "\r\n" {
            line.clear();
        }
        Ok(Watch { status, reader, text: Vec::new() })
    }

    /// The whole lines of the next chunk.
    pub fn lines(&mut self) -> std::io::Result<Vec<String>> {
        let mut size = String::new();
        self.reader.read_line(&mut size)?;
        let count = usize::from_str_radix(size.trim(), 16).map_err(|_| std::io::ErrorKind::InvalidData)?;
        let mut part = vec![0; count + 2];
        self.reader.read_exact(&mut part)?;
        self.text.extend_from_slice(&part[..count]);
        let end = self.text.iter().rposition(|&byte| byte == b'\n').map_or(0, |at| at + 1);
        let whole: Vec<u8> = self.text.drain(..end).collect();
        match count {
            0 => Err(std::io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(String::from_utf8_lossy(&whole).lines().map(str::to_owned).collect()),
        }
    }
}
