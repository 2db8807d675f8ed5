//! HTTP clients for the tests of control machines: single calls and watches; also single commands to a scheduler's
//! management port.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);

fn connect(at: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&at, CALL_TIMEOUT)?;
    stream.set_read_timeout(Some(CALL_TIMEOUT))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends one request on a new connection; returns status, head and body.
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
    let status = head.split(' ').nth(1).and_then(|code| code.parse().ok());
    Ok((status.ok_or(std::io::ErrorKind::InvalidData)?, head, all.split_off(end)))
}

/// Sends one command line to a management port and returns the answer.
pub fn management_command(management: SocketAddr, line: &str) -> std::io::Result<String> {
    let mut stream = connect(management)?;
    stream.write_all(format!("{line}\n").as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}

/// An open watch: a response whose body is a sequence of lines.
pub struct Watch {
    /// HTTP status of the watch.
    pub status: u16,
    reader: BufReader<TcpStream>,
    text: Vec<u8>,
}

impl Watch {
    /// Opens a watch and reads its response head.
    pub fn open(at: SocketAddr, target: &str) -> std::io::Result<Watch> {
        let mut stream = TcpStream::connect_timeout(&at, CALL_TIMEOUT)?;
        // The server sends a line every two seconds.
        stream.set_read_timeout(Some(Duration::from_secs(3)))?;
        stream.write_all(format!("GET {target} HTTP/1.1\r\nHost: t\r\n\r\n").as_bytes())?;
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let status = line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
        line.clear();
        while reader.read_line(&mut line)? > 0 && line != "\r\n" {
            line.clear();
        }
        Ok(Watch { status, reader, text: Vec::new() })
    }

    /// Reads the next chunk and returns the lines that are complete.
    pub fn lines(&mut self) -> std::io::Result<Vec<String>> {
        let mut size = String::new();
        self.reader.read_line(&mut size)?;
        let count = usize::from_str_radix(size.trim(), 16).map_err(|_| std::io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; count + 2];
        self.reader.read_exact(&mut chunk)?;
        self.text.extend_from_slice(&chunk[..count]);
        let end = self.text.iter().rposition(|&byte| byte == b'\n').map_or(0, |at| at + 1);
        let complete: Vec<u8> = self.text.drain(..end).collect();
        match count {
            0 => Err(std::io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(String::from_utf8_lossy(&complete).lines().map(str::to_owned).collect()),
        }
    }
}
