//! A relay on loopback, which does to connections what a network may: hold back either way, delay, and break them.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How often a relay looks whether it may go on.
const LOOK: Duration = Duration::from_millis(10);

/// One way through a relay.
#[derive(Default)]
pub struct Way {
    /// Nothing passes; what has come waits, as what is lost and sent again does.
    pub cut: AtomicBool,
    /// Each piece waits so long, in microseconds.
    pub delay_us: AtomicU64,
    /// Of a million pieces so many break their connection, ...
    pub breaks: AtomicU64,
    /// ... and so many hold it up for 300 ms, as one that is lost does until it is sent again.
    pub stalls: AtomicU64,
    /// Bytes that passed.
    pub bytes: AtomicU64,
}

struct Shared {
    target: Mutex<Option<SocketAddr>>,
    there: Way,
    back: Way,
    over: AtomicBool,
    random: Mutex<fastrand::Rng>,
}

/// See the head of this file.
pub struct Relay {
    /// Where it takes connections.
    pub at: SocketAddr,
    shared: Arc<Shared>,
}

impl Relay {
    /// A relay whose target is not known yet. What it breaks is drawn from this seed.
    pub fn new(seed: u64) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let at = listener.local_addr().expect("it is bound");
        let shared = Arc::new(Shared {
            target: Mutex::default(),
            there: Way::default(),
            back: Way::default(),
            over: AtomicBool::new(false),
            random: Mutex::new(fastrand::Rng::with_seed(seed)),
        });
        let own = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if own.over.load(Ordering::Relaxed) {
                    return;
                }
                let shared = Arc::clone(&own);
                thread::spawn(move || pass(stream, &shared));
            }
        });
        Relay { at, shared }
    }

    /// Where it leads from now on; nobody where there is nobody.
    pub fn lead(&self, to: Option<SocketAddr>) {
        *self.shared.target.lock().expect("nobody panicked") = to;
    }

    /// The way from who connects.
    pub fn there(&self) -> &Way {
        &self.shared.there
    }

    /// The way back.
    pub fn back(&self) -> &Way {
        &self.shared.back
    }

    /// Cuts both ways, or joins them.
    pub fn cut(&self, cut: bool) {
        self.there().cut.store(cut, Ordering::Relaxed);
        self.back().cut.store(cut, Ordering::Relaxed);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::Relaxed);
        // The one that waits for connections hears of it by one.
        let _ = TcpStream::connect(self.at);
    }
}

/// Passes on what comes on one connection.
fn pass(near: TcpStream, shared: &Arc<Shared>) {
    // While nothing passes, nobody there hears of the connection.
    while shared.there.cut.load(Ordering::Relaxed) || shared.back.cut.load(Ordering::Relaxed) {
        if shared.over.load(Ordering::Relaxed) {
            return;
        }
        thread::sleep(LOOK);
    }
    let target = *shared.target.lock().expect("nobody panicked");
    let Some(Ok(far)) = target.map(TcpStream::connect) else { return };
    let clones = (near.try_clone(), far.try_clone());
    let (Ok(near_too), Ok(far_too)) = clones else { return };
    let other = Arc::clone(shared);
    let back = thread::spawn(move || pump(far_too, near_too, &other, false));
    pump(near, far, shared, true);
    let _ = back.join();
}

fn pump(mut from: TcpStream, mut to: TcpStream, shared: &Shared, there: bool) {
    let way = if there { &shared.there } else { &shared.back };
    let _ = from.set_read_timeout(Some(LOOK));
    let _ = to.set_nodelay(true);
    let mut piece = [0; 16 * 1024];
    loop {
        let read = from.read(&mut piece);
        while way.cut.load(Ordering::Relaxed) && !shared.over.load(Ordering::Relaxed) {
            thread::sleep(LOOK);
        }
        if shared.over.load(Ordering::Relaxed) {
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
        let drawn = shared.random.lock().expect("nobody panicked").u64(0..1_000_000);
        let breaks = way.breaks.load(Ordering::Relaxed);
        if drawn < breaks {
            break;
        }
        if drawn < breaks + way.stalls.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(300));
        }
        thread::sleep(Duration::from_micros(way.delay_us.load(Ordering::Relaxed)));
        if to.write_all(&piece[..count]).is_err() {
            break;
        }
        way.bytes.fetch_add(count as u64, Ordering::Relaxed);
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
