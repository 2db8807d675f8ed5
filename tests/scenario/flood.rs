//! Clients that send requests at full speed: each has hundreds of requests out at once, reads every answer, and sends the
//! next request the moment one is answered.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Maximum number of requests that one client has out at once.
const MAX_OUTSTANDING: usize = 900;
/// Maximum number of bytes that one client sends.
const MAX_BYTES: usize = 60_000_000;
/// Time that a write or a read may take, so that the threads end with the test.
const IO_TIMEOUT: Duration = Duration::from_millis(500);

/// Flooding clients. They stop when the value is dropped.
pub struct Flood {
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl Flood {
    /// Connects `count` clients, each of which sends `request` again and again.
    pub fn start(address: SocketAddr, count: usize, request: &[u8]) -> std::io::Result<Flood> {
        let stop = Arc::new(AtomicBool::new(false));
        let mut clients = Vec::new();
        for _ in 0..count {
            let stream = TcpStream::connect(address)?;
            stream.set_read_timeout(Some(IO_TIMEOUT))?;
            stream.set_write_timeout(Some(IO_TIMEOUT))?;
            let (request, stop) = (request.to_vec(), Arc::clone(&stop));
            clients.push(thread::spawn(move || send_without_pause(stream, &request, &stop)));
        }
        Ok(Flood { stop, clients })
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        self.clients.drain(..).for_each(|client| drop(client.join()));
    }
}

/// Sends until the limit of bytes, the end of the connection, or the stop.
fn send_without_pause(mut stream: TcpStream, request: &[u8], stop: &AtomicBool) {
    let block = request.repeat(MAX_OUTSTANDING);
    let (mut sent, mut answered, mut input) = (0, 0, vec![0; 1 << 16]);
    while !stop.load(Ordering::Relaxed) && sent * request.len() < MAX_BYTES {
        let more = MAX_OUTSTANDING.saturating_sub(sent - answered);
        // A write that times out has sent a part of a request, so the connection is of no further use.
        if stream.write_all(&block[..more * request.len()]).is_err() {
            return;
        }
        sent += more;
        match stream.read(&mut input) {
            // Each answer has one such letter, in its first word.
            Ok(count) if count > 0 => answered += input[..count].iter().filter(|&&byte| byte == b'H').count(),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            _ => return,
        }
    }
}
