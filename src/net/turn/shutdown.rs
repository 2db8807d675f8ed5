//! Graceful shutdown: sending clients away, the end after SIGTERM, and the return from a drain.

use super::*;

impl Turn {
    /// The program ends once all that was taken is answered, however long that takes.
    pub(super) fn begin_patient_end(&mut self, now: Micros) {
        note!("the program ends when {} requests are answered", self.desk.owed());
        self.patient = !self.drain.ending();
        if self.drain.begin(Why::Ending) {
            self.deadlines.set(Due::Farewell, now + PARTING.min(self.grace * 3 / 5));
        }
    }

    /// Begins to send clients away. The work goes on, new work too; when clients have had the time to hear of
    /// it, their connections are parted with. After SIGTERM only what can be done before the end is taken.
    pub(super) fn begin_drain(&mut self, now: Micros, why: Why) {
        if why == Why::Ending && (self.patient || !self.drain.ending()) {
            self.patient = false;
            note!("SIGTERM: {} requests are open", self.desk.owed());
            self.desk.stop(now + self.grace.saturating_sub(LAST_ANSWER));
        }
        if why == Why::Ending && self.retired && !self.drain.ending() {
            // Clients were parted with when the heir took over.
            self.drain.part();
            self.deadlines.set(Due::Bequeath, now + self.grace.saturating_sub(BEQUEATH));
        }
        self.kin.say(Side::Elder, &Word::Drain(true));
        if self.drain.begin(why) {
            note!("clients are sent away: {} requests are open", self.desk.owed());
            self.deadlines.set(Due::Farewell, now + PARTING.min(self.grace * 3 / 5));
        }
        self.http.clients.open = self.begun && self.welcome();
    }

    /// Ends a drain; tells whether the scheduler is open.
    pub(super) fn rejoin(&mut self) -> bool {
        let open = self.drain.rejoin();
        if open {
            self.kin.say(Side::Elder, &Word::Drain(false));
            note!("clients are welcome");
            self.deadlines.clear(Due::Farewell);
            self.http.stay();
            self.others.iter_mut().for_each(|other| other.stay());
            self.http.clients.open = self.begun;
        }
        open
    }
}
