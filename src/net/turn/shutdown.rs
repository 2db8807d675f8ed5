//! Graceful shutdown: sending clients away, the end after SIGTERM, and the return from a drain.

use super::*;
use calicolb_shutdown::{Duty, Phase};

/// What is owed to open requests is looked at so often after SIGTERM.
const LOOK: Micros = 50_000;

/// The end of the program, from SIGTERM on.
pub(super) struct Ending {
    /// When the first SIGTERM came.
    since: Micros,
    /// Open requests have to be done before the last moment: no successor goes on with them.
    limited: bool,
}

impl Turn {
    /// The program ends once all that was taken is answered, however long that takes.
    pub(super) fn begin_patient_end(&mut self, now: Micros) {
        log_line!("the program ends when {} requests are answered", self.desk.owed());
        self.patient = !self.drain.is_process_exiting();
        if self.drain.begin(DrainReason::ProcessExit) {
            self.deadlines.set(Due::Farewell, now + CLIENT_DISCONNECT_DELAY.min(self.grace.kill * 3 / 5));
        }
    }

    /// Begins to send clients away. The work goes on, new work too; when clients have had the time to hear of
    /// it, their connections are parted with. After SIGTERM only what can be done before the end is taken.
    pub(super) fn begin_drain(&mut self, now: Micros, why: DrainReason) {
        if why == DrainReason::ProcessExit && self.ending.is_none() {
            self.patient = false;
            log_line!("SIGTERM: {} requests are open", self.desk.owed());
            self.ending = Some(Ending { since: now, limited: false });
            self.desk.stop(now + self.grace.last_answer());
        }
        if why == DrainReason::ProcessExit && self.retired && !self.drain.is_process_exiting() {
            // Clients were parted with when the successor took over.
            self.drain.start_disconnecting();
        }
        self.upgrade.say(Side::Predecessor, &Word::Drain(true));
        if self.drain.begin(why) {
            log_line!("clients are sent away: {} requests are open", self.desk.owed());
            self.deadlines.set(Due::Farewell, now + CLIENT_DISCONNECT_DELAY.min(self.grace.kill * 3 / 5));
        }
        self.http.clients.open = self.begun && self.welcome();
        self.settle_open_requests(now);
    }

    /// After SIGTERM: moves to the successor what can move, and answers what is left in the last moment.
    pub(super) fn settle_open_requests(&mut self, now: Micros) {
        let Some(ending) = &mut self.ending else { return };
        let phase = self.grace.phase(now.saturating_sub(ending.since));
        let successor = self.retired;
        if !ending.limited && (!successor || phase >= Phase::HandingOver) {
            ending.limited = true;
            self.desk.limit_to_end(&mut self.deadlines);
        }
        for (number, client) in self.desk.open_requests() {
            let movable = successor && self.can_transfer(number, client);
            match self.desk.duty(number, phase, movable) {
                Duty::Wait => {}
                Duty::Move => self.transfer(now, number, client),
                Duty::Answer(_) => self.desk.conclude_at_end(number),
            }
        }
        self.deadlines.set(Due::OpenRequests, now + LOOK);
    }

    /// Ends a drain; tells whether the scheduler is open.
    pub(super) fn rejoin(&mut self) -> bool {
        let open = self.drain.rejoin();
        if open {
            self.upgrade.say(Side::Predecessor, &Word::Drain(false));
            log_line!("clients are welcome");
            self.deadlines.clear(Due::Farewell);
            self.http.stay();
            self.others.iter_mut().for_each(|other| other.stay());
            self.http.clients.open = self.begun;
        }
        open
    }
}
