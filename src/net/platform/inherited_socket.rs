//! The clients' listening socket, which may be a file descriptor that this process was started with.

use crate::log::log_line;
use listenfd::ListenFd;
use mio::net::TcpListener;
use std::ffi::OsString;
use std::io;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::process::Command;

/// Environment variables of the `listenfd` protocol: the number of passed sockets, and the first descriptor.
const LISTEN_FDS: &str = "LISTEN_FDS";
const LISTEN_FDS_FIRST_FD: &str = "LISTEN_FDS_FIRST_FD";

/// Restarts the program in place with the environment variables that `listenfd` needs to adopt the
/// descriptor. This avoids adopting a raw descriptor number with unsafe code. Returns only if there is
/// nothing to do or the restart failed.
pub fn restart_with_listen_fds(descriptor: Option<i32>, env: impl Fn(&str) -> Option<OsString>) {
    let Some(number) = descriptor.map(|number| OsString::from(number.to_string())) else { return };
    // Prevents an endless loop of restarts.
    if env(LISTEN_FDS).is_some() && env(LISTEN_FDS_FIRST_FD).as_ref() == Some(&number) {
        return;
    }
    let error = match std::env::current_exe() {
        Ok(program) => {
            let mut command = Command::new(program);
            command.args(std::env::args_os().skip(1));
            command.env(LISTEN_FDS, "1").env(LISTEN_FDS_FIRST_FD, number).env_remove("LISTEN_PID").exec()
        }
        Err(error) => error,
    };
    log_line!("failed to use the passed socket: {error}");
}

/// Returns the passed socket, or else a newly bound one, and whether it was passed.
pub fn open_listener(descriptor: Option<i32>, listen: SocketAddr) -> io::Result<(TcpListener, bool)> {
    if descriptor.is_some() {
        match ListenFd::from_env().take_tcp_listener(0) {
            Ok(Some(listener)) => {
                listener.set_nonblocking(true)?;
                return Ok((TcpListener::from_std(listener), true));
            }
            Ok(None) => log_line!("the configured descriptor holds no passed socket"),
            Err(error) => log_line!("failed to use the passed socket: {error}"),
        }
    }
    Ok((TcpListener::bind(listen)?, false))
}
