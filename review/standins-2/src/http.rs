//! HTTP/1.1 messages, as far as the stand-ins need them.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// A message with its first line, headers (names in lower case) and body.
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// The method and the target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.first.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }
}

/// Reads a message whose body has a `Content-Length`. `Ok(None)`: the connection has ended in order.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let mut message = Message { first: first.trim_end().to_owned(), headers, body: Vec::new() };
    let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body.resize(length, 0);
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// A client's connection that is kept.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: &str) -> io::Result<Client> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        Ok(Client { reader: BufReader::new(stream) })
    }

    /// Sends a whole message.
    pub fn send(&mut self, message: &str) -> io::Result<()> {
        self.reader.get_mut().write_all(message.as_bytes())
    }

    /// Waits for an answer, until `limit` has passed without a byte.
    pub fn answer(&mut self, limit: Duration) -> io::Result<Option<Message>> {
        self.reader.get_ref().set_read_timeout(Some(limit))?;
        read(&mut self.reader)
    }
}

/// The text of a client's request.
pub fn job(class: &str, id: &str, timeout_s: f64, extra: &str, body: &str) -> String {
    format!(
        "POST /{class}?obj={id} HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\nRequest-Timeout: {timeout_s:.3}\r\n{extra}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Waits until `GET /up` is answered with 200.
pub fn wait_up(address: &str, limit: Duration) -> bool {
    crate::platform::wait_until(limit, || {
        let asked = Client::connect(address).and_then(|mut client| {
            client.send("GET /up HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")?;
            client.answer(Duration::from_secs(1))
        });
        matches!(asked, Ok(Some(answer)) if answer.status() == 200)
    })
}
