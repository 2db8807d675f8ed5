//! Execution of management commands.

use super::*;

impl EventLoop {
    /// Accepts management connections, and executes the commands that arrived with them.
    pub(super) fn accept_management(&mut self, now: Micros) {
        let (mut ctx, components) = self.split(now);
        let Some(management) = components.management else { return };
        for (token, command) in management.accept(&mut ctx, components.http) {
            self.execute_management_command(now, token, command);
        }
    }

    /// Executes a management command, and sends its reply. `None`: the command is unknown.
    pub(super) fn execute_management_command(
        &mut self,
        now: Micros,
        token: usize,
        command: Option<ManagementCommand>,
    ) {
        let reply = match command {
            Some(ManagementCommand::Ping) if self.ready_to_serve => "done\n".to_owned(),
            Some(ManagementCommand::Ping) => "error no list of stock workers is known yet\n".to_owned(),
            Some(ManagementCommand::Info) => {
                let list = self.discovery.metrics(now);
                let gauges = Gauges {
                    in_flight: self.request_table.unanswered_requests(),
                    known_workers: self.request_table.worker_count(),
                    excluded_workers: self.request_table.excluded_workers(now),
                };
                let shared =
                    self.request_table.shared_usage().into_iter().chain(self.http.upstream.metrics());
                let shared = shared.chain(self.request_table.rejections()).chain(list);
                let others = shared.chain(self.other_protocols.iter().flat_map(|other| other.metrics()));
                let others = others.chain([
                    ("settings.taken_up", self.settings_updates),
                    ("reports.unattributed", self.request_table.unattributed_reports()),
                ]);
                let others = others.chain(self.iterations.metrics()).chain(self.memory.metrics());
                let others = others.chain([("memory.shed", self.http.clients.shed_count())]);
                let others = others.map(|(name, value)| (name, value.to_string()));
                let others = others.chain(self.control.iter().flat_map(|control| control.metrics(now)));
                self.request_table.counters().render(self.names.classes(), gauges, others)
            }
            // The successor accepts the clients now, so it has to drain them.
            Some(ManagementCommand::Lameduck | ManagementCommand::Rejoin) if self.handed_over => {
                self.upgrade_link
                    .send(Role::Successor, &Message::Drain(command == Some(ManagementCommand::Lameduck)));
                "done\n".to_owned()
            }
            Some(ManagementCommand::Lameduck) => {
                self.begin_drain(now, DrainReason::OperatorRequest);
                "done\n".to_owned()
            }
            Some(ManagementCommand::Rejoin) if self.end_drain() => "done\n".to_owned(),
            Some(ManagementCommand::Rejoin) => "error the program is ending\n".to_owned(),
            None => "error unknown call\n".to_owned(),
        };
        let (mut ctx, components) = self.split(now);
        if let Some(management) = components.management {
            management.respond(&mut ctx, token, &reply);
        }
    }
}
