//! The state of a drain, in which the scheduler moves its clients to other schedulers. The management command LAMEDUCK and
//! the signal SIGTERM start the same drain; it ends with REJOIN or with the end of the process.

use calicolb::api::Micros;

/// Time from the start of a drain until clients are disconnected, in microseconds. Clients are served during this time:
/// the load balancer in front keeps sending requests here for 0.3 s, and the scheduler that was restarted before this one
/// may not be ready yet, so a client disconnected earlier could find no scheduler. The delay cannot be much longer: a request
/// that was accepted later than 2 s after LAMEDUCK must not be open on a connection 4 s after LAMEDUCK.
pub const CLIENT_DISCONNECT_DELAY: Micros = 1_800_000;

/// The reason for a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainReason {
    /// An operator sent LAMEDUCK. The drain lasts until REJOIN.
    OperatorRequest,
    /// The process received SIGTERM. The drain lasts until every accepted request is answered.
    ProcessExit,
}

/// The state of the drain, if there is one.
#[derive(Debug, Default)]
pub struct Drain {
    reason: Option<DrainReason>,
    disconnecting: bool,
}

impl Drain {
    /// Starts a drain. Returns true if none was running. [`DrainReason::ProcessExit`] is never replaced by another reason.
    pub fn begin(&mut self, reason: DrainReason) -> bool {
        let first = self.reason.is_none();
        if self.reason != Some(DrainReason::ProcessExit) {
            self.reason = Some(reason);
        }
        first
    }

    /// Ends a drain, unless the process is exiting. Returns true if the scheduler accepts clients again.
    pub fn rejoin(&mut self) -> bool {
        if self.is_process_exiting() {
            return false;
        }
        *self = Drain::default();
        true
    }

    /// Returns true if no drain is running.
    pub fn accepts_clients(&self) -> bool {
        self.reason.is_none()
    }

    /// Returns true if the drain was started by an operator and the process is not exiting.
    pub fn is_operator_drain(&self) -> bool {
        self.reason == Some(DrainReason::OperatorRequest)
    }

    /// Returns true if the process is exiting.
    pub fn is_process_exiting(&self) -> bool {
        self.reason == Some(DrainReason::ProcessExit)
    }

    /// Records that [`CLIENT_DISCONNECT_DELAY`] is over and clients are being disconnected.
    pub fn start_disconnecting(&mut self) {
        self.disconnecting = true;
    }

    /// Returns true if the process only has to answer the accepted requests before it exits.
    pub fn is_final_phase(&self) -> bool {
        self.is_process_exiting() && self.disconnecting
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn rejoin_ends_a_drain_unless_the_process_is_exiting() {
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
