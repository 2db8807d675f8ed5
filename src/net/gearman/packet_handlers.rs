//! Handlers of received packets: submissions and status queries of clients, and registrations, requests and reports of
//! workers.

use super::Gearman;
use crate::config::Function;
use crate::log::log_line;
use crate::net::Context;
use crate::net::core::deadlines::{ConnectionTimer, Deadline};
use crate::net::core::envelope::Envelope;
use crate::net::core::memory::MemoryCharge;
use crate::net::core::request_table::{AttemptId, ClientUpdates, IntakeError, Job, PartialResult};
use calicolb::api::{ClassIx, Effect, Ending};
use calicolb_gearman::ConnectionId;
use calicolb_gearman::job_table::Submission;
use calicolb_gearman::packet::{Packet, PacketType, Sender, encode};
use calicolb_gearman::worker_table::ReportTarget;
use std::hash::BuildHasher;
use std::rc::Rc;

/// The HTTP header by which workers drop repeats of a job of a keyed class.
pub(super) const IDEMPOTENCY_KEY: &str = "Idempotency-Key";

/// The largest length of a function name, a unique id and a client id, in bytes.
pub(super) const MAX_NAME_LENGTH: usize = 256;

/// The largest size of a result that is collected from partial results, in bytes, for a client that accepts only a complete
/// result.
const MAX_COLLECTED_RESULT: usize = 64 * 1024;

impl Gearman {
    /// Handles a complete packet of a client or a worker.
    pub(super) fn handle_packet(&mut self, ctx: &mut Context<'_>, token: ConnectionId, packet: Packet<'_>) {
        match packet.packet_type {
            packet_type if is_submission(packet_type) => self.handle_submission(ctx, token, packet),
            PacketType::SubmitJobSched
            | PacketType::SubmitJobEpoch
            | PacketType::SubmitReduceJob
            | PacketType::SubmitReduceJobBg => {
                let text = format!("{} is not spoken here", packet.packet_type);
                self.send_error(ctx, token, "NOT_SUPPORTED", &text);
            }
            PacketType::GetStatus => {
                let [handle] = packet.arguments();
                let answer = self.job_table.encode_status(handle);
                self.send(ctx, token, &answer);
            }
            PacketType::GetStatusUnique => {
                let [unique_id] = packet.arguments();
                let answer = self.job_table.encode_status_by_unique_id(unique_id);
                self.send(ctx, token, &answer);
            }
            PacketType::EchoReq => {
                let [data] = packet.arguments();
                self.send(ctx, token, &encode(Sender::Server, PacketType::EchoRes, &[data]));
            }
            PacketType::OptionReq => match packet.arguments() {
                [b"exceptions"] => {
                    self.job_table.enable_exceptions(token);
                    self.send(ctx, token, &encode(Sender::Server, PacketType::OptionRes, &[b"exceptions"]));
                }
                [_] => self.send_error(ctx, token, "UNKNOWN_OPTION", "the one option is 'exceptions'"),
            },
            PacketType::SetClientId => {
                let [client_id] = packet.arguments();
                let is_set = parse_name(client_id)
                    .is_some_and(|client_id| self.worker_table.set_client_id(token, client_id, ctx.now));
                if !is_set {
                    let text =
                        "a client id is 1 to 256 printable characters, and does not change under a job";
                    self.send_error(ctx, token, "BAD_CLIENT_ID", text);
                }
            }
            PacketType::CanDo
            | PacketType::CanDoTimeout
            | PacketType::CantDo
            | PacketType::ResetAbilities => {
                self.handle_registration(ctx, token, packet);
            }
            PacketType::PreSleep => match self.worker_table.sleep(token, ctx.now) {
                Ok(true) => self.wake_connection(ctx, token),
                Ok(false) => {}
                Err(error) => self.send_error(ctx, token, "TOO_MANY", &error.to_string()),
            },
            PacketType::GrabJob | PacketType::GrabJobUniq | PacketType::GrabJobAll => {
                match self.worker_table.grab_job(token, packet.packet_type, ctx.now) {
                    // The answer waits for the end of the iteration, because the decision module may still offer an attempt.
                    Ok(true) => self.asking.push(token),
                    Ok(false) => self.send(ctx, token, &encode(Sender::Server, PacketType::NoJob, &[])),
                    Err(error) => self.send_error(ctx, token, "TOO_MANY", &error.to_string()),
                }
            }
            PacketType::WorkComplete
            | PacketType::WorkFail
            | PacketType::WorkData
            | PacketType::WorkWarning
            | PacketType::WorkStatus
            | PacketType::WorkException => self.handle_report(ctx, token, packet),
            PacketType::AllYours => {}
            packet_type => self.send_error(
                ctx,
                token,
                "UNEXPECTED_PACKET",
                &format!("{packet_type} is for a job server to send"),
            ),
        }
    }

    /// Handles CAN_DO, CAN_DO_TIMEOUT, CANT_DO and RESET_ABILITIES.
    pub(super) fn handle_registration(
        &mut self,
        ctx: &mut Context<'_>,
        token: ConnectionId,
        packet: Packet<'_>,
    ) {
        let [function, timeout] = packet.arguments();
        let withdrawn = match (packet.packet_type, parse_name(function)) {
            (PacketType::ResetAbilities, _) => self.worker_table.clear_functions(token),
            (_, None) => {
                return self.send_error(ctx, token, "BAD_FUNCTION", "a function is 1 to 256 characters");
            }
            (PacketType::CantDo, Some(function)) => self.worker_table.remove_function(token, function),
            // Workers may register functions that this site does not declare. They are not stored, so that a worker that
            // registers an unlimited number of them does not exhaust the memory.
            (_, Some(function))
                if !self.config.functions.iter().any(|declared| declared.name == function) =>
            {
                return log_line!(debug: function, "ignored a function that the operator file does not declare");
            }
            (packet_type, Some(function)) => {
                let timeout_seconds =
                    if packet_type == PacketType::CanDoTimeout { parse_number(timeout) } else { Some(0) };
                let Some(timeout_seconds) = timeout_seconds else {
                    return self.send_error(ctx, token, "BAD_TIMEOUT", "the time is a number of seconds");
                };
                if !self.worker_table.add_function(
                    token,
                    function,
                    timeout_seconds.min(u64::from(u32::MAX)) as u32,
                ) {
                    self.send_error(
                        ctx,
                        token,
                        "TOO_MANY",
                        "no more functions are taken from one connection",
                    );
                }
                None
            }
        };
        if let Some(attempt) = withdrawn {
            // The attempt was only offered and has never run, so it can be sent to another worker at once.
            ctx.deadlines.clear(Deadline::Connection(token, ConnectionTimer::OfferTimeout));
            self.offered_payloads.remove(&attempt);
            ctx.request_table.attempt_failed(ctx.now, attempt, Ending::Full, None);
        }
    }

    /// Handles a submission: joins an open job with the same function and unique id, or adds a request. The client is told
    /// at the end of the iteration whether the job is accepted.
    pub(super) fn handle_submission(
        &mut self,
        ctx: &mut Context<'_>,
        token: ConnectionId,
        packet: Packet<'_>,
    ) {
        let [function, unique_id, workload] = packet.arguments();
        let has_name = |declared: &&Function| declared.name.as_bytes() == function;
        let Some(function) = self.config.functions.iter().find(has_name) else {
            let text =
                format!("no function '{}' is declared", String::from_utf8_lossy(function).escape_debug());
            return self.send_error(ctx, token, "UNKNOWN_FUNCTION", &text);
        };
        if self.draining {
            return self.send_error(ctx, token, "DRAINING", "clients are sent away: submit it elsewhere");
        }
        if workload.len() > self.config.max_workload_bytes || unique_id.len() > MAX_NAME_LENGTH {
            let text = format!(
                "a workload is {} bytes at most, a unique id {MAX_NAME_LENGTH}",
                self.config.max_workload_bytes
            );
            return self.send_error(ctx, token, "TOO_LARGE", &text);
        }
        let unique_id = if unique_id == b"-" {
            // The unique id `-` stands for the workload. It is hashed with two random keys of this process, so that a client
            // cannot construct workloads whose hashes collide.
            let [first, second] = self.hash_keys.each_ref().map(|key| key.hash_one(workload));
            format!("-{first:016x}{second:016x}").into_bytes()
        } else {
            unique_id.to_vec()
        };
        let (priority, background) = submission_priority(packet.packet_type);
        let submission =
            Submission { connection: token, function: function.name.clone(), unique_id, background };
        if let Some(job) = self.job_table.find_duplicate(&submission) {
            self.job_table.join_job(job, &submission);
            if !background {
                ctx.request_table.subscribe_updates(job, ClientUpdates::All);
            }
            return;
        }
        if self.job_table.is_full(&function.name) {
            return self.send_error(
                ctx,
                token,
                "QUEUE_FULL",
                "as many jobs of this function are open as may be",
            );
        }
        let priority_class = function.priority_classes[priority];
        let class = &self.config.classes[priority_class.class.0];
        let client = ctx.next_token();
        let name = format!("{}-{client:x}", self.process_tag);
        let mut headers = vec![
            ("Host", "origin.svc"),
            ("Request-Id", &name),
            ("Request-Class", class),
            ("Request-Function", &function.name),
        ];
        if is_keyed(ctx, priority_class.class) {
            // Workers drop repeats by the key. It is new for each job: a unique id may be used again for a later one.
            headers.push((IDEMPOTENCY_KEY, &name));
        }
        let headers = headers.iter().map(|(key, value)| ((*key).to_owned(), (*value).to_owned())).collect();
        let mut envelope = Envelope {
            name: name.clone(),
            skill: function.skill,
            target: format!("/{class}"),
            headers,
            body: workload.to_vec(),
            charge: MemoryCharge::default(),
        };
        envelope.charge_to(ctx.memory);
        let job = Job {
            name,
            class: priority_class.class,
            tenant: None,
            hint: None,
            client_timeout: if background {
                function.background_timeout
            } else {
                priority_class.client_timeout
            },
            slots: None,
            memory: 0.0,
            key: None,
            retry: false,
            skill: function.skill,
            updates: if background { ClientUpdates::Progress } else { ClientUpdates::All },
            payload_bytes: envelope.memory(),
            payload: Rc::new(envelope),
        };
        match ctx.request_table.add_request(ctx.now, client, job) {
            Ok(request) => {
                let handle = self.attempt_handle(AttemptId { request, number: 0 });
                self.job_table.add_job(client, handle, submission);
            }
            Err(
                IntakeError::DuplicateName
                | IntakeError::MayRunTwice
                | IntakeError::TooManyOpen
                | IntakeError::OutOfMemory,
            ) => {
                self.send_error(ctx, token, "BUSY", "as many jobs are open as may be");
            }
        }
    }

    /// Returns the handle of an attempt. The first attempt has the handle of its job. Each later attempt has its own, so that
    /// a late report of an earlier attempt does not end it.
    pub(super) fn attempt_handle(&self, attempt: AttemptId) -> String {
        let AttemptId { request, number: attempt_number } = attempt;
        let suffix = if attempt_number > 0 { format!(".{}", attempt_number + 1) } else { String::new() };
        format!("H:{}-{}:{request}{suffix}", self.config.name, self.process_tag)
    }

    /// Handles a worker's report on its job.
    pub(super) fn handle_report(&mut self, ctx: &mut Context<'_>, token: ConnectionId, packet: Packet<'_>) {
        // The first argument of each report is the handle; WORK_FAIL has no other.
        let [handle, rest] = packet.arguments();
        // A report that comes before the assignment is completely written cannot refer to it.
        let is_assignment_unwritten =
            self.connections.get(&token).is_none_or(|connection| connection.unwritten_assignment.is_some());
        let attempt = match self.worker_table.report_target(token, handle) {
            ReportTarget::Attempt(attempt) if !is_assignment_unwritten => Some(attempt),
            ReportTarget::Cancelled => None,
            ReportTarget::Attempt(_) | ReportTarget::UnknownHandle => {
                let text = "this connection has no job of that handle";
                return self.send_error(ctx, token, "JOB_NOT_FOUND", text);
            }
        };
        if matches!(packet.packet_type, PacketType::WorkComplete | PacketType::WorkFail) {
            ctx.deadlines.clear(Deadline::Connection(token, ConnectionTimer::Idle));
            self.worker_table.finish_job(token);
        }
        let Some(attempt) = attempt else { return };
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let part = match packet.packet_type {
            PacketType::WorkComplete => {
                let mut result = std::mem::take(&mut connection.collected_result);
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
                let mut next_number = || numbers.next().and_then(parse_number);
                let (Some(done), Some(total)) = (next_number(), next_number()) else {
                    return self.send_error(ctx, token, "BAD_STATUS", "a status is two numbers");
                };
                PartialResult::Progress(done, total)
            }
        };
        let Some(PartialResult::Data(part) | PartialResult::Warning(part)) =
            ctx.request_table.partial_result(attempt, part)
        else {
            return;
        };
        if connection.collected_result.len() + part.len() <= MAX_COLLECTED_RESULT {
            connection.collected_result.extend_from_slice(&part);
        } else {
            // The job ran, but its complete result cannot be returned, and an incomplete one must not be.
            log_line!(warn: request = attempt.request, "the collected result of an attempt exceeds {MAX_COLLECTED_RESULT} bytes");
            ctx.request_table.attempt_failed(ctx.now, attempt, Ending::Error, None);
            self.worker_table.cancel(attempt);
        }
    }
}

/// Whether a packet type submits a job of a kind that this server supports.
pub(super) fn is_submission(packet_type: PacketType) -> bool {
    matches!(
        packet_type,
        PacketType::SubmitJob
            | PacketType::SubmitJobHigh
            | PacketType::SubmitJobLow
            | PacketType::SubmitJobBg
            | PacketType::SubmitJobHighBg
            | PacketType::SubmitJobLowBg
    )
}

/// Returns whether workers drop repeats of the jobs of this class by their keys.
fn is_keyed(ctx: &Context<'_>, class: ClassIx) -> bool {
    let class = ctx.request_table.settings().classes.get(class.0);
    class.is_some_and(|class| matches!(class.effect, Effect::Keyed { .. }))
}

/// Returns the priority of a submission (0: low, 1: normal, 2: high), and whether it is a background job.
fn submission_priority(packet_type: PacketType) -> (usize, bool) {
    match packet_type {
        PacketType::SubmitJobLow => (0, false),
        PacketType::SubmitJobHigh => (2, false),
        PacketType::SubmitJobLowBg => (0, true),
        PacketType::SubmitJobHighBg => (2, true),
        PacketType::SubmitJobBg => (1, true),
        _ => (1, false),
    }
}

/// Parses a name: 1 to [`MAX_NAME_LENGTH`] printable ASCII characters.
fn parse_name(bytes: &[u8]) -> Option<&str> {
    let is_valid =
        (1..=MAX_NAME_LENGTH).contains(&bytes.len()) && bytes.iter().all(|byte| (b' '..=b'~').contains(byte));
    std::str::from_utf8(bytes).ok().filter(|_| is_valid)
}

/// Parses a decimal number, which white space may surround.
fn parse_number(bytes: &[u8]) -> Option<u64> {
    std::str::from_utf8(bytes).ok()?.trim().parse().ok()
}
