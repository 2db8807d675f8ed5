//! Runs the text commands of the administrative protocol.

use super::Gearman;
use crate::net::Context;
use crate::net::protocol::ProtocolRequest;
use calicolb_gearman::admin::{self, Command};
use std::fmt::Write;

impl Gearman {
    /// Runs a command line, and returns its answer.
    pub(super) fn run_line(&mut self, ctx: &mut Context<'_>, line: &[u8]) -> String {
        match admin::parse(line) {
            Ok(command) if command.changes_state() && !self.config.admin_changes => {
                "ERR NOT_ALLOWED the operator file does not let this port change anything\n".to_owned()
            }
            Ok(command) => self.run_command(ctx, command),
            Err(error) => format!("{error}\n"),
        }
    }

    fn run_command(&mut self, ctx: &mut Context<'_>, command: Command) -> String {
        let mut answer = String::new();
        match command {
            Command::Status => {
                for function in &self.config.functions {
                    let (open, running) = self.job_table.job_counts(&function.name);
                    let capable = self.worker_table.count_capable(&function.name);
                    let _ = writeln!(answer, "{}\t{open}\t{running}\t{capable}", function.name);
                }
                answer + ".\n"
            }
            Command::Workers => {
                for info in self.worker_table.list_connections() {
                    let address =
                        self.connections.get(&info.connection).and_then(|connection| connection.peer_address);
                    let address = address.map_or_else(|| "-".to_owned(), |address| address.to_string());
                    let client_id = info.client_id.unwrap_or("-");
                    let _ = writeln!(
                        answer,
                        "{} {address} {client_id} : {}",
                        info.connection,
                        info.functions.join(" ")
                    );
                }
                answer + ".\n"
            }
            Command::ShowJobs => {
                for (handle, retries, is_waiting, _) in self.job_table.list() {
                    let _ = writeln!(answer, "{handle}\t{retries}\t0\t{}", u8::from(is_waiting));
                }
                answer + ".\n"
            }
            Command::ShowUniqueJobs => {
                for (.., unique_id) in self.job_table.list() {
                    let _ = writeln!(answer, "{}", unique_id.escape_ascii());
                }
                answer + ".\n"
            }
            Command::Version => format!("OK {}\n", env!("CARGO_PKG_VERSION")),
            Command::Pid => format!("OK {}\n", std::process::id()),
            Command::MaxQueue(function, max_open) => {
                if !self.config.functions.iter().any(|declared| declared.name == function) {
                    return "ERR UNKNOWN_FUNCTION no such function is declared\n".to_owned();
                }
                self.job_table.set_max_open(&function, max_open);
                "OK\n".to_owned()
            }
            Command::CancelJob(handle) => {
                let Some((job, packets)) = self.job_table.cancel(&handle) else {
                    return "ERR UNKNOWN_JOB no such job is open\n".to_owned();
                };
                self.send_packets(ctx, packets);
                // A running attempt is cancelled as if the client had disconnected.
                ctx.request_table.client_left(job);
                "OK\n".to_owned()
            }
            Command::Shutdown { graceful } => {
                ctx.protocol_requests.push(ProtocolRequest::Shutdown { graceful });
                "OK\n".to_owned()
            }
        }
    }
}
