//! The drain: how the scheduler sends its clients away. LAMEDUCK and SIGTERM begin the same one; they differ
//! in how it ends.

use calicolb::api::Micros;

/// From the beginning of a drain to the parting with the clients' connections. Until then clients are served
/// on: the front goes on sending for 0.3 s, and the scheduler that was restarted before this one may not serve
/// yet, so that who is sent away finds nobody. Of what is taken later than 2 s after LAMEDUCK nothing may be
/// left on a connection 4 s after it.
pub const CLIENT_DISCONNECT_DELAY: Micros = 1_800_000;

/// Why clients are sent away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainReason {
    /// An operator asked for it (LAMEDUCK); it lasts until REJOIN.
    OperatorRequest,
    /// The program ends (SIGTERM); it lasts until all that was taken is answered.
    ProcessExit,
}

/// See the head of this file.
#[derive(Debug, Default)]
pub struct Drain {
    reason: Option<DrainReason>,
    disconnecting: bool,
}

impl Drain {
    /// Begins a drain; tells whether there was none yet. The end of the program comes before an operator's wish.
    pub fn begin(&mut self, reason: DrainReason) -> bool {
        let first = self.reason.is_none();
        if self.reason != Some(DrainReason::ProcessExit) {
            self.reason = Some(reason);
        }
        first
    }

    /// Ends a drain that an operator asked for; tells whether the scheduler is open again.
    pub fn rejoin(&mut self) -> bool {
        if self.is_process_exiting() {
            return false;
        }
        *self = Drain::default();
        true
    }

    /// Clients are welcome.
    pub fn accepts_clients(&self) -> bool {
        self.reason.is_none()
    }

    /// An operator wants clients sent away.
    pub fn is_operator_drain(&self) -> bool {
        self.reason == Some(DrainReason::OperatorRequest)
    }

    /// The program is to end.
    pub fn is_process_exiting(&self) -> bool {
        self.reason == Some(DrainReason::ProcessExit)
    }

    /// The time to part with the clients' connections has come.
    pub fn start_disconnecting(&mut self) {
        self.disconnecting = true;
    }

    /// All that is left to do is to answer what was taken, and to exit.
    pub fn is_final_phase(&self) -> bool {
        self.is_process_exiting() && self.disconnecting
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_drain_ends_with_rejoin_unless_the_program_ends() {
        let mut drain = Drain::default();
        assert!(
            drain.accepts_clients() && drain.begin(DrainReason::OperatorRequest) && !drain.accepts_clients()
        );
        drain.start_disconnecting();
        assert!(!drain.is_final_phase() && drain.rejoin() && drain.accepts_clients());
        assert!(
            drain.begin(DrainReason::OperatorRequest)
                && !drain.begin(DrainReason::ProcessExit)
                && !drain.begin(DrainReason::OperatorRequest)
        );
        assert!(drain.is_process_exiting() && !drain.is_final_phase() && !drain.rejoin());
        drain.start_disconnecting();
        assert!(drain.is_final_phase());
    }
}
