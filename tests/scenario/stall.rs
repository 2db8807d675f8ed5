//! Clients that send a part of a request, or a request and a part of the next one, and then stop and stay.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Time that a client may take to send its message.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// Clients that have sent their messages. They close their connections when the value is dropped.
pub struct StalledClients(#[allow(dead_code, reason = "the connections are only kept open")] Vec<TcpStream>);

impl StalledClients {
    /// Connects `count` clients, one after the other, each of which sends its message. A client whose message is not taken
    /// stays as well.
    pub fn start(
        address: SocketAddr,
        count: usize,
        message: impl Fn(usize) -> Vec<u8>,
    ) -> std::io::Result<StalledClients> {
        let mut clients = Vec::new();
        for client in 0..count {
            let mut stream = TcpStream::connect(address)?;
            stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
            let _ = stream.write_all(&message(client));
            clients.push(stream);
        }
        Ok(StalledClients(clients))
    }
}
