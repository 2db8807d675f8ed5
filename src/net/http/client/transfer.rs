//! Transfer of connections, with their requests, between two processes of a scheduler.

use super::job::job_from_transfer;
use super::*;
use crate::net::core::transfer::Transfer;

impl ClientConnections {
    /// Returns the parts of a connection with a request in progress that another process needs: the stream,
    /// whether another request may follow, and the unread input behind the current request.
    pub fn connection_for_transfer(&self, token: usize) -> Option<(&TcpStream, bool, &[u8])> {
        let connection = self.connections.get(&token)?;
        (connection.state == State::InProgress)
            .then(|| (&connection.stream, !connection.close_after_response, connection.buffer.input()))
    }

    /// Stops reading and writing a connection that has been sent to another process, until it is known which
    /// of the two processes keeps it.
    pub fn suspend_connection(&mut self, ctx: &mut Context<'_>, token: usize) {
        ctx.deadlines.clear(Deadline::Connection(token, ConnectionTimer::Timeout));
        ctx.input_queue.remove(token);
        if let Some(connection) = self.connections.get_mut(&token) {
            let _ = ctx.registry.deregister(&mut connection.stream);
        }
    }

    /// Drops a connection that another process has taken over, without shutting it down.
    pub fn release_connection(&mut self, token: usize) {
        self.connections.remove(&token);
    }

    /// Continues the request of a suspended connection here because no other process has taken it over.
    pub fn resume_connection(&mut self, ctx: &mut Context<'_>, token: usize, transfer: Transfer) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let interest = Interest::READABLE | Interest::WRITABLE;
        if let Err(error) = ctx.registry.register(&mut connection.stream, Token(token), interest) {
            log_line!("failed to register a client connection again: {error}");
        }
        match job_from_transfer(ctx, &transfer) {
            Ok(job) => ctx.request_table.adopt(ctx.now, token, job, &transfer.history, ctx.deadlines),
            Err(Reject(status)) => {
                connection.state = State::Reading;
                self.reply(ctx, token, status, &[], b"");
            }
        }
    }

    /// Takes over a connection whose request another process has worked on.
    ///
    /// # Errors
    /// This process cannot take the request; the connection stays untouched.
    pub fn adopt_connection(
        &mut self,
        ctx: &mut Context<'_>,
        stream: TcpStream,
        transfer: Transfer,
    ) -> Result<(), Reject> {
        let job = job_from_transfer(ctx, &transfer)?;
        if ctx.request_table.has_request(&job.name) {
            return Err(Reject(409));
        }
        let token = ctx.next_token();
        self.register_connection(ctx, stream, token);
        let connection = self.connections.get_mut(&token).ok_or(Reject(503))?;
        connection.awaits_first_request = false;
        connection.close_after_response = !transfer.keep_alive;
        connection.state = State::InProgress;
        connection.buffer.push_input(&transfer.unread);
        ctx.deadlines.clear(Deadline::Connection(token, ConnectionTimer::Timeout));
        ctx.request_table.adopt(ctx.now, token, job, &transfer.history, ctx.deadlines);
        Ok(())
    }
}
