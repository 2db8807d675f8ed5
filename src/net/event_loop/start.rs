//! The start of serving, with the state of a predecessor or without.

use super::*;

impl EventLoop {
    /// Starts to serve, with the state that the predecessor handed over, or else with the worker list of the
    /// configuration. Does nothing if serving has started before.
    pub(super) fn start_serving(&mut self, now: Micros, handover: Option<Handover>) -> io::Result<()> {
        if let Some(handover) = &handover {
            // This applies also to a predecessor that missed the time limit: it still answers its open requests.
            log_line!("{} requests are open at the predecessor", handover.open_requests.len());
            self.request_table.track_open_names();
            handover
                .open_requests
                .iter()
                .for_each(|name| self.request_table.set_open_elsewhere(now, name.clone(), true));
            self.request_table.import_ended_names(now, handover.ended_requests.clone());
        }
        let Some(initial_list) = self.initial_list.take() else { return Ok(()) };
        self.open_peer_socket(now)?;
        self.distribute_descriptors(now);
        let uses_operator_file = self.uses_operator_file;
        let (mut ctx, components) = self.split(now);
        ctx.deadlines.clear(Deadline::PredecessorHandover);
        let confirmed_ago = handover.as_ref().and_then(|handover| handover.confirmed_us_ago);
        let (initial_list, draining) = match handover {
            Some(handover) => {
                let ahead =
                    handover.clock.map_or(0, |clock| components.upgrade_link.record_clock_offset(now, clock));
                let knowledge = settings_update::remap_knowledge(
                    Box::<str>::from(handover.dispatcher_state).into_string(),
                    &handover.names,
                    ctx.names,
                    now,
                );
                ctx.request_table.import_knowledge(settings_update::adjust_clock(knowledge, ahead));
                (Some(handover.worker_list), handover.draining)
            }
            None => (initial_list, false),
        };
        if !components.static_workers.is_empty() {
            components.static_workers.iter().for_each(|worker| {
                components.http.upstream.update_worker(&mut ctx, worker.member.worker, worker.address, 0)
            });
            let members = components.static_workers.iter().map(|worker| worker.member.clone()).collect();
            ctx.request_table.update_workers(WorkerSource::OperatorFile, ListKind::Changes, members);
        }
        components.discovery.load_initial_list(
            &mut ctx,
            &mut components.http.upstream,
            initial_list,
            confirmed_ago,
        );
        components.http.listen(&mut ctx)?;
        components.other_protocols.iter_mut().try_for_each(|other| other.listen(&mut ctx))?;
        components.upgrade_link.listen(ctx.registry, UPGRADE_LISTENER);
        match components.control {
            Some(control) => control.start(&mut ctx),
            // An operator file cannot name control machines.
            None if uses_operator_file => {}
            None => log_line!(
                "agreed configuration is off: the configuration names no 'control' machines; settings change by SIGHUP"
            ),
        }
        log_line!("{} serves on {}", self.name, self.listen_address);
        if draining {
            self.begin_drain(now, DrainReason::OperatorRequest);
        }
        Ok(())
    }

    /// Binds the datagram socket for other schedulers, if any are configured.
    pub(super) fn open_peer_socket(&mut self, now: Micros) -> io::Result<()> {
        let Some(config) = &self.peer_config else { return Ok(()) };
        match UdpSocket::bind(config.listen) {
            Ok(mut socket) => {
                self.registry.register(&mut socket, PEERS, Interest::READABLE)?;
                log_line!("{} listens for schedulers on {}", self.name, socket.local_addr()?);
                let seed = self.clock.now() ^ u64::from(self.rank);
                self.peers =
                    Some(PeerSocket::new(socket, config.by_rank.clone(), config.broadcast, self.rank, seed));
            }
            // A predecessor that has not handed over still uses the address. Requests are served without datagrams; the
            // socket is bound when the predecessor has ended.
            Err(error) if self.socket_inherited && error.kind() == io::ErrorKind::AddrInUse => {
                self.deadlines.set(Deadline::PeerSocketRetry, now + PEER_SOCKET_RETRY_DELAY);
            }
            Err(error) => return Err(error),
        }
        Ok(())
    }

    /// Calls [`Self::start_serving`], and logs an error instead of returning it.
    pub(super) fn try_start_serving(&mut self, now: Micros, handover: Option<Handover>) {
        if let Err(error) = self.start_serving(now, handover) {
            log_line!("cannot start to serve: {error}");
        }
    }
}
