//! The answers to the text commands.

use super::Gearman;
use crate::net::Context;
use crate::net::protocol::ProtocolRequest;
use calicolb_gearman::admin::{self, Command};
use std::fmt::Write;

impl Gearman {
    /// Carries out a line of text; gives its answer.
    pub(super) fn command(&mut self, ctx: &mut Context<'_>, line: &[u8]) -> String {
        match admin::parse(line) {
            Ok(command) if command.changes() && !self.config.admin_changes => {
                "ERR NOT_ALLOWED the operator file does not let this port change anything\n".to_owned()
            }
            Ok(command) => self.answer_to(ctx, command),
            Err(refusal) => format!("{refusal}\n"),
        }
    }

    fn answer_to(&mut self, ctx: &mut Context<'_>, command: Command) -> String {
        let mut text = String::new();
        match command {
            Command::Status => {
                for function in &self.config.functions {
                    let (open, running) = self.book.counts(&function.name);
                    let able = self.fleet.able(&function.name);
                    let _ = writeln!(text, "{}\t{open}\t{running}\t{able}", function.name);
                }
                text + ".\n"
            }
            Command::Workers => {
                for listed in self.fleet.list() {
                    let from = self.conns.get(&listed.conn).and_then(|conn| conn.from);
                    let from = from.map_or_else(|| "-".to_owned(), |from| from.to_string());
                    let id = listed.id.unwrap_or("-");
                    let _ = writeln!(text, "{} {from} {id} : {}", listed.conn, listed.functions.join(" "));
                }
                text + ".\n"
            }
            Command::ShowJobs => {
                for (handle, resends, waits, _) in self.book.list() {
                    let _ = writeln!(text, "{handle}\t{resends}\t0\t{}", u8::from(waits));
                }
                text + ".\n"
            }
            Command::ShowUniqueJobs => {
                for (.., unique) in self.book.list() {
                    let _ = writeln!(text, "{}", unique.escape_ascii());
                }
                text + ".\n"
            }
            Command::Version => format!("OK {}\n", env!("CARGO_PKG_VERSION")),
            Command::Pid => format!("OK {}\n", std::process::id()),
            Command::MaxQueue(function, most) => {
                if !self.config.functions.iter().any(|known| known.name == function) {
                    return "ERR UNKNOWN_FUNCTION no such function is declared\n".to_owned();
                }
                self.book.limit(&function, most);
                "OK\n".to_owned()
            }
            Command::CancelJob(handle) => {
                let Some((job, mail)) = self.book.cancel(&handle) else {
                    return "ERR UNKNOWN_JOB no such job is open\n".to_owned();
                };
                self.mail(ctx, mail);
                // What runs is called off as for a client that has left.
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
