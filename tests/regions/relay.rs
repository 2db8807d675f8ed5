//! A relay on loopback that injects network faults into connections: blocked directions, delay, stalls and broken
//! connections.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Interval at which a relay checks whether it may pass data on or has to stop.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// One direction through a relay, with its faults.
#[derive(Default)]
pub struct Direction {
    /// Data is held back until the direction is joined again, as TCP retransmits lost data.
    pub blocked: AtomicBool,
    /// Delay of each piece of data in microseconds.
    pub delay_us: AtomicU64,
    /// Number of pieces in a million that break the connection.
    pub breaks_per_million: AtomicU64,
    /// Number of pieces in a million that stall the connection for 300 ms, as a lost packet does until it is retransmitted.
    pub stalls_per_million: AtomicU64,
    /// Number of bytes passed on.
    pub bytes: AtomicU64,
}

/// State of a relay, shared by its threads.
struct Shared {
    target: Mutex<Option<SocketAddr>>,
    forward: Direction,
    backward: Direction,
    stopping: AtomicBool,
    random: Mutex<fastrand::Rng>,
}

/// A relay for all connections from one process to another.
pub struct Relay {
    /// Address on which the relay listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Relay {
    /// Starts a relay without a target. Breaks and stalls are drawn from this seed.
    pub fn new(seed: u64) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no loopback port could be bound");
        let at = listener.local_addr().expect("the socket has no local address");
        let shared = Arc::new(Shared {
            target: Mutex::default(),
            forward: Direction::default(),
            backward: Direction::default(),
            stopping: AtomicBool::new(false),
            random: Mutex::new(fastrand::Rng::with_seed(seed)),
        });
        let listener_shared = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if listener_shared.stopping.load(Ordering::Relaxed) {
                    return;
                }
                let shared = Arc::clone(&listener_shared);
                thread::spawn(move || relay_connection(stream, &shared));
            }
        });
        Relay { address: at, shared }
    }

    /// Sets the target of new connections; with `None` they are closed.
    pub fn set_target(&self, to: Option<SocketAddr>) {
        *self.shared.target.lock().expect("a thread panicked while it held the lock") = to;
    }

    /// The direction from the connecting side to the target.
    pub fn forward(&self) -> &Direction {
        &self.shared.forward
    }

    /// The direction from the target to the connecting side.
    pub fn backward(&self) -> &Direction {
        &self.shared.backward
    }

    /// Blocks both directions, or joins them again.
    pub fn set_blocked(&self, blocked: bool) {
        self.forward().blocked.store(blocked, Ordering::Relaxed);
        self.backward().blocked.store(blocked, Ordering::Relaxed);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.stopping.store(true, Ordering::Relaxed);
        // A connection wakes the accepting thread, which then ends.
        let _ = TcpStream::connect(self.address);
    }
}

/// Relays one connection until either side ends.
fn relay_connection(near: TcpStream, shared: &Arc<Shared>) {
    // The target gets no connection while a direction is blocked.
    while shared.forward.blocked.load(Ordering::Relaxed) || shared.backward.blocked.load(Ordering::Relaxed) {
        if shared.stopping.load(Ordering::Relaxed) {
            return;
        }
        thread::sleep(POLL_INTERVAL);
    }
    let target = *shared.target.lock().expect("a thread panicked while it held the lock");
    let Some(Ok(far)) = target.map(TcpStream::connect) else { return };
    let clones = (near.try_clone(), far.try_clone());
    let (Ok(near_clone), Ok(far_clone)) = clones else { return };
    let other = Arc::clone(shared);
    let return_thread = thread::spawn(move || copy_direction(far_clone, near_clone, &other, false));
    copy_direction(near, far, shared, true);
    let _ = return_thread.join();
}

/// Copies data from one stream to the other, with the faults of the direction.
fn copy_direction(mut from: TcpStream, mut to: TcpStream, shared: &Shared, toward_target: bool) {
    let direction = if toward_target { &shared.forward } else { &shared.backward };
    let _ = from.set_read_timeout(Some(POLL_INTERVAL));
    let _ = to.set_nodelay(true);
    let mut piece = [0; 16 * 1024];
    loop {
        let read = from.read(&mut piece);
        while direction.blocked.load(Ordering::Relaxed) && !shared.stopping.load(Ordering::Relaxed) {
            thread::sleep(POLL_INTERVAL);
        }
        if shared.stopping.load(Ordering::Relaxed) {
            break;
        }
        let count = match read {
            Ok(0) => break,
            Ok(count) => count,
            Err(error)
                if matches!(
                    error.kind(),
                    ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
                ) =>
            {
                continue;
            }
            Err(_) => break,
        };
        let random_number =
            shared.random.lock().expect("a thread panicked while it held the lock").u64(0..1_000_000);
        let breaks_per_million = direction.breaks_per_million.load(Ordering::Relaxed);
        if random_number < breaks_per_million {
            break;
        }
        if random_number < breaks_per_million + direction.stalls_per_million.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(300));
        }
        thread::sleep(Duration::from_micros(direction.delay_us.load(Ordering::Relaxed)));
        if to.write_all(&piece[..count]).is_err() {
            break;
        }
        direction.bytes.fetch_add(count as u64, Ordering::Relaxed);
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
