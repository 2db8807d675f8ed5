//! Answers of workers on the connections that requests were sent on.

use super::*;

impl UpstreamConnections {
    /// Reads and handles the answer to the request of a connection.
    pub(super) fn read(&mut self, ctx: &mut Context<'_>, token: usize) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let filled = connection.buffer.fill(&mut connection.stream, framing::MESSAGE_LIMIT);
        if connection.task == Task::Idle {
            // A worker sends nothing unrequested: input here is the end of the connection or a protocol
            // error.
            if filled != FillOutcome::WouldBlock || !connection.buffer.input().is_empty() {
                self.drop_connection(ctx, token);
            }
            return;
        }
        match framing::parse_response(connection.buffer.input()) {
            Ok(Some((response, length))) => {
                connection.buffer.consume(length);
                let task = std::mem::replace(&mut connection.task, Task::Idle);
                let (worker, input_consumed) = (connection.worker, connection.buffer.input().is_empty());
                ctx.deadlines.clear(Deadline::Connection(token, ConnectionTimer::Timeout));
                if let Some(idle) = connection.idle_before_request.take() {
                    self.idle_limit.record_success(idle);
                }
                connection.idle_since = Some(ctx.now);
                match task {
                    Task::Attempt(attempt) => {
                        self.pending_attempts.remove(&attempt);
                        report_answer(ctx, attempt, &response);
                    }
                    Task::Probe(sent) => {
                        let report = serde_json::from_slice(&response.body).ok();
                        let report = report.and_then(|value| parse_load_report(ctx.names, &value));
                        let ending = if response.status == 200 { Ending::Ok } else { Ending::Error };
                        ctx.request_table.probe_finished(
                            worker,
                            ending,
                            ctx.now.saturating_sub(sent),
                            report,
                        );
                    }
                    Task::Cancel(attempt) => self.handle_cancel_answer(ctx, attempt, response.status),
                    Task::Idle => {}
                }
                let reusable = self.workers.get_mut(&worker).filter(|worker| {
                    self.connections.get(&token).is_some_and(|connection| {
                        connection.stream.peer_addr().is_ok_and(|at| at == worker.address)
                    })
                });
                match reusable {
                    Some(worker)
                        if response.keep_alive && input_consumed && filled == FillOutcome::WouldBlock =>
                    {
                        worker.idle.push(token);
                        ctx.deadlines.set(
                            Deadline::Connection(token, ConnectionTimer::Idle),
                            ctx.now + self.idle_limit.current(ctx.now),
                        );
                    }
                    _ => self.drop_connection(ctx, token),
                }
            }
            Ok(None) if filled == FillOutcome::WouldBlock => {}
            Ok(None) => self.handle_failure(ctx, token),
            Err(_) => {
                log_line!("malformed response from a worker");
                self.handle_failure(ctx, token);
            }
        }
    }
}

/// Reports the worker's answer on the attempt's own connection to the request table.
fn report_answer(ctx: &mut Context<'_>, attempt: AttemptId, response: &framing::Response) {
    let load = response.headers.get("server-load").and_then(|text| serde_json::from_str(text).ok());
    let report = load.and_then(|value| parse_load_report(ctx.names, &value));
    let unstarted = response.headers.get("not-started") == Some("1");
    match response.status {
        202 => ctx.request_table.attempt_accepted(attempt),
        503 | 504 if unstarted => ctx.request_table.attempt_failed(ctx.now, attempt, Ending::Full, report),
        status => {
            if status != 500 {
                log_line!("a worker answered with status {status}");
            }
            // An error in the client's request must not count against the worker, nor be tried at all other
            // workers.
            let ending = if (400..500).contains(&status) { Ending::Unusable } else { Ending::Error };
            ctx.request_table.attempt_failed(ctx.now, attempt, ending, report);
        }
    }
}
