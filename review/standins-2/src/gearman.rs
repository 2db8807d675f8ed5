//! Gearman packets, as clients and workers send them.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// Packet types by number.
pub const CAN_DO: u32 = 1;
pub const PRE_SLEEP: u32 = 4;
pub const NOOP: u32 = 6;
pub const SUBMIT_JOB: u32 = 7;
pub const JOB_CREATED: u32 = 8;
pub const GRAB_JOB: u32 = 9;
pub const NO_JOB: u32 = 10;
pub const JOB_ASSIGN: u32 = 11;
pub const WORK_COMPLETE: u32 = 13;
pub const WORK_FAIL: u32 = 14;
pub const GET_STATUS: u32 = 15;
pub const SUBMIT_JOB_BG: u32 = 18;
pub const ERROR: u32 = 19;
pub const STATUS_RES: u32 = 20;
pub const SET_CLIENT_ID: u32 = 22;
pub const WORK_DATA: u32 = 28;

/// A connection of a client or a worker.
pub struct Peer(TcpStream);

/// A received packet.
pub struct Packet {
    pub kind: u32,
    pub fields: Vec<Vec<u8>>,
}

impl Packet {
    /// The field of this number as text.
    pub fn text(&self, number: usize) -> String {
        self.fields.get(number).map(|field| String::from_utf8_lossy(field).into_owned()).unwrap_or_default()
    }
}

impl Peer {
    pub fn connect(address: &str) -> io::Result<Peer> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        Ok(Peer(stream))
    }

    pub fn send(&mut self, kind: u32, fields: &[&str]) -> io::Result<()> {
        let data = fields.join("\0");
        let mut packet = b"\0REQ".to_vec();
        packet.extend_from_slice(&kind.to_be_bytes());
        packet.extend_from_slice(&(data.len() as u32).to_be_bytes());
        packet.extend_from_slice(data.as_bytes());
        self.0.write_all(&packet)
    }

    /// Receives a packet, or fails after `limit`.
    pub fn receive(&mut self, limit: Duration) -> io::Result<Packet> {
        self.0.set_read_timeout(Some(limit))?;
        let mut head = [0; 12];
        self.0.read_exact(&mut head)?;
        let number = |at: usize| u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let mut data = vec![0; number(8) as usize];
        self.0.read_exact(&mut data)?;
        let most = match number(4) {
            JOB_ASSIGN => 3,
            STATUS_RES => 5,
            JOB_CREATED | WORK_FAIL => 1,
            _ => 2,
        };
        let fields = data.splitn(most, |&byte| byte == 0).map(<[u8]>::to_vec).collect();
        Ok(Packet { kind: number(4), fields })
    }
}
