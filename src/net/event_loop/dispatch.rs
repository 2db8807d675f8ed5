//! Dispatch of ready sockets, due deadlines and commands to the component that handles them.

use super::*;

impl EventLoop {
    /// Handles readiness of the socket with this token. Connections that peers opened wait for a turn, unless a client that
    /// waits for an answer has closed its connection (`closed`): no attempt may begin for it any more.
    pub(super) fn handle_ready(&mut self, now: Micros, token: Token, closed: bool) {
        if token == SIGNALS {
            return self.handle_signals(now);
        }
        let (_, mut components) = self.split(now);
        if closed {
            components.protocols().for_each(|protocol| protocol.on_read_closed(token.0));
        }
        let waits_for_turn = |protocol: &mut dyn Protocol| {
            protocol.reads_in_turns(token.0) && !(closed && protocol.awaits_answer(token.0))
        };
        if components.protocols().any(waits_for_turn) {
            return self.input_queue.push_ready(token.0);
        }
        self.handle_input(now, token.0);
    }

    /// Handles the input of the connection, or the listener, with this token.
    pub(super) fn handle_input(&mut self, now: Micros, token: usize) {
        let token = Token(token);
        let (mut ctx, mut components) = self.split(now);
        match token {
            PEERS => components.receive_peers(&mut ctx),
            MANAGEMENT => self.accept_management(now),
            UPGRADE_LISTENER => components.upgrade_link.accept(&mut ctx),
            Token(token) if components.upgrade_link.owns_token(token) => self.handle_link_ready(now, token),
            Token(token) if components.discovery.owns_token(token) => {
                components.discovery.handle_ready(&mut ctx, &mut components.http.upstream, token);
            }
            Token(token) if components.control.as_ref().is_some_and(|control| control.owns_token(token)) => {
                if let Some(control) = components.control {
                    control.handle_ready(&mut ctx, token);
                }
            }
            Token(token) => match components.management {
                Some(management) if management.owns(token) => {
                    if let Some(command) = management.handle_ready(&mut ctx, token) {
                        self.execute_management_command(now, token, command);
                    }
                }
                _ => {
                    if let Some(protocol) = components.protocols().find(|protocol| protocol.owns_token(token))
                    {
                        protocol.on_ready(&mut ctx, token);
                    }
                }
            },
        }
    }

    /// Handles a deadline whose time has come.
    pub(super) fn handle_deadline(&mut self, now: Micros, deadline: Deadline) {
        let (mut ctx, mut components) = self.split(now);
        match deadline {
            Deadline::DispatcherTimer(timer, _) => ctx.request_table.timer_fired(timer),
            Deadline::AttemptTimeout(request, attempt) => {
                let attempt = AttemptId { request, number: attempt };
                if !ctx.request_table.attempt_timed_out(now, attempt) {
                    components.protocols().for_each(|protocol| protocol.release_attempt(&mut ctx, attempt));
                }
            }
            Deadline::CancelUnaccepted(request, attempt) => {
                ctx.request_table.cancel_unaccepted(AttemptId { request, number: attempt })
            }
            Deadline::CancelDue(request, attempt) => {
                let attempt = AttemptId { request, number: attempt };
                components.protocols().for_each(|protocol| protocol.on_cancel_due(&mut ctx, attempt));
            }
            Deadline::Connection(token, timer) => {
                if let Some(protocol) = components.protocols().find(|protocol| protocol.owns_token(token)) {
                    protocol.on_deadline(&mut ctx, token, timer);
                }
            }
            Deadline::ReceivePeers => components.receive_peers(&mut ctx),
            Deadline::PeerListCheck => components.discovery.query_peers(&mut ctx),
            Deadline::DiscoveryFetch | Deadline::DiscoveryWatch => {
                components.discovery.handle_timeout(&mut ctx, components.http, deadline)
            }
            Deadline::ControlClient => {
                if let Some(control) = components.control {
                    control.handle_timeout(&mut ctx);
                }
            }
            Deadline::ListExpiry => components.discovery.handle_expiry(now),
            // Readiness is evaluated at the end of the iteration.
            Deadline::Readiness => {}
            // Deadlines of control machines, which have an event loop of their own.
            Deadline::ControlTick | Deadline::Heartbeat | Deadline::ControlLinkRetry(_) => {}
            Deadline::DrainClients => {
                components.protocols().for_each(|protocol| protocol.begin_drain(&mut ctx));
                self.drain.start_disconnecting();
            }
            Deadline::ManagementCall(token) => {
                if let Some(management) = components.management {
                    management.handle_timeout(&mut ctx, token);
                }
            }
            Deadline::ManagementAccept => self.accept_management(now),
            Deadline::PredecessorHandover => {
                log_line!("the predecessor has not handed over in time");
                self.try_start_serving(now, None);
            }
            Deadline::OpenRequestsCheck => self.process_open_requests(now),
            Deadline::PeerSocketRetry => {
                if let Err(error) = self.open_peer_socket(now) {
                    log_line!("cannot open the socket for other schedulers: {error}");
                }
            }
        }
    }

    /// Carries out a command of the request table.
    pub(super) fn execute_command(&mut self, now: Micros, command: Command<Payload>) {
        let rank = self.rank;
        let (mut ctx, mut components) = self.split(now);
        match command {
            Command::SendAnswer { client, answer } => {
                if let Some(protocol) = components.protocols().find(|protocol| protocol.owns_client(client)) {
                    protocol.send_answer(&mut ctx, client, answer);
                }
            }
            Command::SendPartialResult { client, part } => {
                if let Some(protocol) = components.protocols().find(|protocol| protocol.owns_client(client)) {
                    protocol.send_partial_result(&mut ctx, client, part);
                }
            }
            Command::SendAttempt { attempt, worker, payload, timeout } => {
                components
                    .protocol_for_worker(worker)
                    .send_attempt(&mut ctx, attempt, worker, &payload, timeout);
            }
            Command::Cancel { attempt, worker, name, receipt } => {
                components.protocol_for_worker(worker).cancel(&mut ctx, attempt, worker, &name, receipt)
            }
            Command::Probe(worker) => components.protocol_for_worker(worker).probe(&mut ctx, worker),
            // A message to the own rank goes to the successor process, which adds the reported load to its own.
            Command::SendPeerMessage { to, body } if to == Some(rank) => {
                self.upgrade_link.send(Role::Successor, &Message::DispatcherData(body));
            }
            Command::SendPeerMessage { to, body } => {
                if let Some(peers) = components.peers {
                    peers.send(to, &body);
                }
            }
            Command::FetchList => components.discovery.fetch_list(&mut ctx, components.http),
            Command::SetWatch(open) => components.discovery.set_watch(&mut ctx, components.http, open),
            Command::CloseIdle(worker) => components.protocol_for_worker(worker).close_idle(&mut ctx, worker),
        }
    }
}
