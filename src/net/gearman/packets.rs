//! What packets mean: submissions of clients, abilities and reports of workers, and who asks how a job is.

use super::Gearman;
use crate::config::Function;
use crate::log::log_line;
use crate::net::Context;
use crate::net::core::deadlines::{ConnectionTimer, Deadline};
use crate::net::core::envelope::Envelope;
use crate::net::core::request_table::{AttemptId, ClientUpdates, IntakeError, Job, PartialResult};
use calicolb::api::Ending;
use calicolb_gearman::ConnId;
use calicolb_gearman::book::Submission;
use calicolb_gearman::fleet::Work;
use calicolb_gearman::packet::{Packet, PacketType, Sender, encode};
use std::hash::BuildHasher;
use std::rc::Rc;

/// The longest function name, unique id and client id that are taken.
pub(super) const NAME: usize = 256;

/// The largest result that is put together for a client that takes it in one piece only.
const RESULT: usize = 64 * 1024;

impl Gearman {
    pub(super) fn packet(&mut self, ctx: &mut Context<'_>, token: ConnId, packet: Packet<'_>) {
        match packet.packet_type {
            kind if submits(kind) => self.submit(ctx, token, packet),
            PacketType::SubmitJobSched
            | PacketType::SubmitJobEpoch
            | PacketType::SubmitReduceJob
            | PacketType::SubmitReduceJobBg => {
                let text = format!("{} is not spoken here", packet.packet_type);
                self.error(ctx, token, "NOT_SUPPORTED", &text);
            }
            PacketType::GetStatus => {
                let [handle] = packet.arguments();
                let answer = self.book.status(handle);
                self.put(ctx, token, &answer);
            }
            PacketType::GetStatusUnique => {
                let [unique] = packet.arguments();
                let answer = self.book.status_unique(unique);
                self.put(ctx, token, &answer);
            }
            PacketType::EchoReq => {
                let [bytes] = packet.arguments();
                self.put(ctx, token, &encode(Sender::Server, PacketType::EchoRes, &[bytes]));
            }
            PacketType::OptionReq => match packet.arguments() {
                [b"exceptions"] => {
                    self.book.with_exceptions(token);
                    self.put(ctx, token, &encode(Sender::Server, PacketType::OptionRes, &[b"exceptions"]));
                }
                [_] => self.error(ctx, token, "UNKNOWN_OPTION", "the one option is 'exceptions'"),
            },
            PacketType::SetClientId => {
                let [id] = packet.arguments();
                let named = name(id).is_some_and(|id| self.fleet.name(token, id, ctx.now));
                if !named {
                    let text =
                        "a client id is 1 to 256 printable characters, and does not change under a job";
                    self.error(ctx, token, "BAD_CLIENT_ID", text);
                }
            }
            PacketType::CanDo
            | PacketType::CanDoTimeout
            | PacketType::CantDo
            | PacketType::ResetAbilities => {
                self.ability(ctx, token, packet);
            }
            PacketType::PreSleep => match self.fleet.sleep(token, ctx.now) {
                Ok(true) => self.wake(ctx, token),
                Ok(false) => {}
                Err(error) => self.error(ctx, token, "TOO_MANY", &error.to_string()),
            },
            PacketType::GrabJob | PacketType::GrabJobUniq | PacketType::GrabJobAll => {
                match self.fleet.ask(token, packet.packet_type, ctx.now) {
                    // What the module sends in this turn may be for it.
                    Ok(true) => self.asking.push(token),
                    Ok(false) => self.put(ctx, token, &encode(Sender::Server, PacketType::NoJob, &[])),
                    Err(error) => self.error(ctx, token, "TOO_MANY", &error.to_string()),
                }
            }
            PacketType::WorkComplete
            | PacketType::WorkFail
            | PacketType::WorkData
            | PacketType::WorkWarning
            | PacketType::WorkStatus
            | PacketType::WorkException => self.report(ctx, token, packet),
            PacketType::AllYours => {}
            kind => {
                self.error(ctx, token, "UNEXPECTED_PACKET", &format!("{kind} is for a job server to send"))
            }
        }
    }

    pub(super) fn ability(&mut self, ctx: &mut Context<'_>, token: ConnId, packet: Packet<'_>) {
        let [first, second] = packet.arguments();
        let withdrawn = match (packet.packet_type, name(first)) {
            (PacketType::ResetAbilities, _) => self.fleet.reset(token),
            (_, None) => return self.error(ctx, token, "BAD_FUNCTION", "a function is 1 to 256 characters"),
            (PacketType::CantDo, Some(function)) => self.fleet.cant_do(token, function),
            // Workers may do more than this site asks for; who announces it without end must not fill the memory.
            (_, Some(function)) if !self.config.functions.iter().any(|known| known.name == function) => {
                return log_line!(debug: function, "a worker can do what no function of the operator file is");
            }
            (kind, Some(function)) => {
                let limit = if kind == PacketType::CanDoTimeout { number(second) } else { Some(0) };
                let Some(limit) = limit else {
                    return self.error(ctx, token, "BAD_TIMEOUT", "the time is a number of seconds");
                };
                if !self.fleet.can_do(token, function, limit.min(u64::from(u32::MAX)) as u32) {
                    self.error(ctx, token, "TOO_MANY", "no more functions are taken from one connection");
                }
                None
            }
        };
        if let Some(attempt) = withdrawn {
            // Only offered: it never ran, and goes elsewhere at once.
            ctx.deadlines.clear(Deadline::Connection(token, ConnectionTimer::OfferTimeout));
            self.offers.remove(&attempt);
            ctx.request_table.attempt_failed(ctx.now, attempt, Ending::Full, None);
        }
    }

    pub(super) fn submit(&mut self, ctx: &mut Context<'_>, token: ConnId, packet: Packet<'_>) {
        let [function, unique, workload] = packet.arguments();
        let declared = |known: &&Function| known.name.as_bytes() == function;
        let Some(function) = self.config.functions.iter().find(declared) else {
            let text =
                format!("no function '{}' is declared", String::from_utf8_lossy(function).escape_debug());
            return self.error(ctx, token, "UNKNOWN_FUNCTION", &text);
        };
        if self.parting {
            return self.error(ctx, token, "DRAINING", "clients are sent away: submit it elsewhere");
        }
        if workload.len() > self.config.max_workload_bytes || unique.len() > NAME {
            let text =
                format!("a workload is {} bytes at most, a unique id {NAME}", self.config.max_workload_bytes);
            return self.error(ctx, token, "TOO_LARGE", &text);
        }
        let unique = if unique == b"-" {
            // The workload itself is the id. Hashed with keys of this process, so that nobody can make two alike.
            let [first, second] = self.hash.each_ref().map(|hash| hash.hash_one(workload));
            format!("-{first:016x}{second:016x}").into_bytes()
        } else {
            unique.to_vec()
        };
        let (priority, background) = urgency(packet.packet_type);
        let submission = Submission { conn: token, function: function.name.clone(), unique, background };
        if let Some(job) = self.book.same(&submission) {
            self.book.join(job, &submission);
            if !background {
                ctx.request_table.subscribe_updates(job, ClientUpdates::All);
            }
            return;
        }
        if self.book.full(&function.name) {
            return self.error(ctx, token, "QUEUE_FULL", "as many jobs of this function are open as may be");
        }
        let grade = function.priority_classes[priority];
        let class = &self.config.classes[grade.class.0];
        let client = ctx.next_token();
        let name = format!("{}-{client:x}", self.boot);
        let headers = [
            ("Host", "origin.svc"),
            ("Request-Id", &name),
            ("Request-Class", class),
            ("Request-Function", &function.name),
        ];
        let headers = headers.iter().map(|(key, value)| ((*key).to_owned(), (*value).to_owned())).collect();
        let envelope = Envelope {
            name: name.clone(),
            skill: function.skill,
            target: format!("/{class}"),
            headers,
            body: workload.to_vec(),
        };
        let job = Job {
            name,
            class: grade.class,
            tenant: None,
            hint: None,
            client_timeout: if background { function.background_timeout } else { grade.client_timeout },
            slots: None,
            memory: 0.0,
            key: None,
            retry: false,
            skill: function.skill,
            updates: if background { ClientUpdates::Progress } else { ClientUpdates::All },
            payload: Rc::new(envelope),
        };
        match ctx.request_table.add_request(ctx.now, client, job) {
            Ok(request) => {
                let handle = self.handle(AttemptId { request, number: 0 });
                self.book.open(client, handle, submission);
            }
            Err(IntakeError::DuplicateName | IntakeError::TooManyOpen) => {
                self.error(ctx, token, "BUSY", "as many jobs are open as may be");
            }
        }
    }

    /// The handle of an attempt. The first has that of its job; each has its own, so that a late report ends no newer one.
    pub(super) fn handle(&self, attempt: AttemptId) -> String {
        let AttemptId { request, number: attempt } = attempt;
        let again = if attempt > 0 { format!(".{}", attempt + 1) } else { String::new() };
        format!("H:{}-{}:{request}{again}", self.config.name, self.boot)
    }

    /// A worker tells of what it has at hand.
    pub(super) fn report(&mut self, ctx: &mut Context<'_>, token: ConnId, packet: Packet<'_>) {
        // Each has its handle first; FAIL has nothing else.
        let [handle, rest] = packet.arguments();
        let assigning = self.conns.get(&token).is_none_or(|conn| conn.assigning.is_some());
        let attempt = match self.fleet.work(token, handle) {
            Work::Attempt(attempt) if !assigning => Some(attempt),
            Work::Orphan => None,
            Work::Attempt(_) | Work::Strange => {
                let text = "this connection has no job of that handle";
                return self.error(ctx, token, "JOB_NOT_FOUND", text);
            }
        };
        if matches!(packet.packet_type, PacketType::WorkComplete | PacketType::WorkFail) {
            ctx.deadlines.clear(Deadline::Connection(token, ConnectionTimer::Idle));
            self.fleet.done(token);
        }
        let Some(attempt) = attempt else { return };
        let Some(conn) = self.conns.get_mut(&token) else { return };
        let part = match packet.packet_type {
            PacketType::WorkComplete => {
                let mut result = std::mem::take(&mut conn.parts);
                result.extend_from_slice(rest);
                return ctx.request_table.attempt_succeeded(ctx.now, attempt, result, None);
            }
            PacketType::WorkFail => {
                return ctx.request_table.attempt_failed(ctx.now, attempt, Ending::Error, None);
            }
            PacketType::WorkData => PartialResult::Data(rest.to_vec()),
            PacketType::WorkWarning => PartialResult::Warning(rest.to_vec()),
            PacketType::WorkException => PartialResult::Exception(rest.to_vec()),
            _ => {
                let mut numbers = rest.split(|&byte| byte == 0);
                let mut next = || numbers.next().and_then(number);
                let (Some(done), Some(of)) = (next(), next()) else {
                    return self.error(ctx, token, "BAD_STATUS", "a status is two numbers");
                };
                PartialResult::Progress(done, of)
            }
        };
        let Some(PartialResult::Data(part) | PartialResult::Warning(part)) =
            ctx.request_table.partial_result(attempt, part)
        else {
            return;
        };
        if conn.parts.len() + part.len() <= RESULT {
            conn.parts.extend_from_slice(&part);
        } else {
            // It ran, and what it gave cannot be served whole: it must not be served in part either.
            log_line!(warn: request = attempt.request, "a result is too large for its client");
            ctx.request_table.attempt_failed(ctx.now, attempt, Ending::Error, None);
            self.fleet.give_up(attempt);
        }
    }
}

/// The packets that submit a job that is taken here.
pub(super) fn submits(kind: PacketType) -> bool {
    matches!(
        kind,
        PacketType::SubmitJob
            | PacketType::SubmitJobHigh
            | PacketType::SubmitJobLow
            | PacketType::SubmitJobBg
            | PacketType::SubmitJobHighBg
            | PacketType::SubmitJobLowBg
    )
}

/// The priority of a submission, from low to high, and whether it is for the background.
fn urgency(kind: PacketType) -> (usize, bool) {
    match kind {
        PacketType::SubmitJobLow => (0, false),
        PacketType::SubmitJobHigh => (2, false),
        PacketType::SubmitJobLowBg => (0, true),
        PacketType::SubmitJobHighBg => (2, true),
        PacketType::SubmitJobBg => (1, true),
        _ => (1, false),
    }
}

/// A name that can be shown: printable, and not too long.
fn name(bytes: &[u8]) -> Option<&str> {
    let sound = (1..=NAME).contains(&bytes.len()) && bytes.iter().all(|byte| (b' '..=b'~').contains(byte));
    std::str::from_utf8(bytes).ok().filter(|_| sound)
}

fn number(bytes: &[u8]) -> Option<u64> {
    std::str::from_utf8(bytes).ok()?.trim().parse().ok()
}
