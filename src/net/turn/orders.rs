//! What operators ask for at their door.

use super::*;

impl Turn {
    /// Operators call.
    pub(super) fn door_opens(&mut self, now: Micros) {
        let (mut ctx, parts) = self.split(now);
        let Some(door) = parts.door else { return };
        for (token, order) in door.accept(&mut ctx, parts.http) {
            self.order(now, token, order);
        }
    }

    /// Carries out what an operator wants, and answers.
    pub(super) fn order(&mut self, now: Micros, token: usize, order: Option<ManagementCommand>) {
        let answer = match order {
            Some(ManagementCommand::Ping) if self.begun => "done\n".to_owned(),
            Some(ManagementCommand::Ping) => "error no list of stock workers is known yet\n".to_owned(),
            Some(ManagementCommand::Info) => {
                let list = self.routes.figures(now);
                let present = Present {
                    in_flight: self.desk.owed(),
                    known: self.desk.known(),
                    avoided: self.desk.avoided(now),
                };
                let shared = self.desk.spent().into_iter().chain(self.http.hops.figures());
                let shared = shared.chain(self.desk.rejections()).chain(list);
                let others = shared.chain(self.others.iter().flat_map(|other| other.figures()));
                let others = others.chain([("settings.taken_up", self.renewals)]);
                let others = others.map(|(name, value)| (name, value.to_string()));
                let others = others.chain(self.control.iter().flat_map(|control| control.figures(now)));
                self.desk.figures().write(self.names.classes(), present, others)
            }
            // What this process no longer takes is the successor's to send away.
            Some(ManagementCommand::Lameduck | ManagementCommand::Rejoin) if self.retired => {
                self.upgrade.say(Side::Successor, &Word::Drain(order == Some(ManagementCommand::Lameduck)));
                "done\n".to_owned()
            }
            Some(ManagementCommand::Lameduck) => {
                self.begin_drain(now, DrainReason::OperatorRequest);
                "done\n".to_owned()
            }
            Some(ManagementCommand::Rejoin) if self.rejoin() => "done\n".to_owned(),
            Some(ManagementCommand::Rejoin) => "error the program is ending\n".to_owned(),
            None => "error unknown call\n".to_owned(),
        };
        let (mut ctx, parts) = self.split(now);
        if let Some(door) = parts.door {
            door.respond(&mut ctx, token, &answer);
        }
    }
}
