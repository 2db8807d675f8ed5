//! Stand-ins for the cases of the second review: the platform that starts schedulers, discovery, stock workers and
//! clients. Everything speaks over loopback addresses and uses the standard library only.

pub mod discovery;
pub mod gearman;
pub mod http;
pub mod platform;
pub mod record;
pub mod usual;
pub mod worker;

use std::net::TcpListener;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Exit status of a case in which the rule held.
pub const HELD: i32 = 0;
/// Exit status of a case in which the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit status of a case that could not run.
pub const COULD_NOT_RUN: i32 = 2;

/// Locks a mutex, also after a panic of another thread.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns whether the disruption takes place: not with `TROUBLE=0`.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// A loopback address with a free port.
pub fn free_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binding a free port");
    listener.local_addr().expect("the address of a listener").to_string()
}
