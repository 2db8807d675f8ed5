//! The clients' socket as the platform may hold it: a descriptor that this process was started with.

use crate::log::log_line;
use listenfd::ListenFd;
use mio::net::TcpListener;
use std::ffi::OsString;
use std::io;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::process::Command;

/// What `listenfd` goes by: how many sockets were passed, and from which descriptor on.
const COUNT: &str = "LISTEN_FDS";
const FIRST: &str = "LISTEN_FDS_FIRST_FD";

/// Starts the program again in its own place, with the passed descriptor named as `listenfd` wants it: that is
/// the way to adopt a bare number without unsafe code. Comes back only if there is nothing to do, or if it
/// cannot be done.
pub fn announce(passed: Option<i32>, env: impl Fn(&str) -> Option<OsString>) {
    let Some(number) = passed.map(|number| OsString::from(number.to_string())) else { return };
    // Without this it would start itself for ever.
    if env(COUNT).is_some() && env(FIRST).as_ref() == Some(&number) {
        return;
    }
    let error = match std::env::current_exe() {
        Ok(program) => {
            let mut again = Command::new(program);
            again.args(std::env::args_os().skip(1));
            again.env(COUNT, "1").env(FIRST, number).env_remove("LISTEN_PID").exec()
        }
        Err(error) => error,
    };
    log_line!("the passed socket cannot be taken: {error}");
}

/// The socket that was passed, or else one of our own. Tells whether it was passed.
pub fn listener(passed: Option<i32>, listen: SocketAddr) -> io::Result<(TcpListener, bool)> {
    if passed.is_some() {
        match ListenFd::from_env().take_tcp_listener(0) {
            Ok(Some(listener)) => {
                listener.set_nonblocking(true)?;
                return Ok((TcpListener::from_std(listener), true));
            }
            Ok(None) => log_line!("no socket was passed"),
            Err(error) => log_line!("the passed socket cannot be taken: {error}"),
        }
    }
    Ok((TcpListener::bind(listen)?, false))
}
