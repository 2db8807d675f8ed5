//! The drain: how the scheduler sends its clients away. LAMEDUCK and SIGTERM begin the same one; they differ
//! in how it ends.

use calicolb::api::Micros;

/// From the beginning of a drain to the parting with the clients' connections. Until then clients are served
/// on: the front goes on sending for 0.3 s, and the scheduler that was restarted before this one may not serve
/// yet, so that who is sent away finds nobody. Of what is taken later than 2 s after LAMEDUCK nothing may be
/// left on a connection 4 s after it.
pub const PARTING: Micros = 1_800_000;

/// Why clients are sent away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// An operator asked for it (LAMEDUCK); it lasts until REJOIN.
    Asked,
    /// The program ends (SIGTERM); it lasts until all that was taken is answered.
    Ending,
}

/// See the head of this file.
#[derive(Debug, Default)]
pub struct Drain {
    why: Option<Why>,
    parted: bool,
}

impl Drain {
    /// Begins a drain; tells whether there was none yet. The end of the program comes before an operator's wish.
    pub fn begin(&mut self, why: Why) -> bool {
        let first = self.why.is_none();
        if self.why != Some(Why::Ending) {
            self.why = Some(why);
        }
        first
    }

    /// Ends a drain that an operator asked for; tells whether the scheduler is open again.
    pub fn rejoin(&mut self) -> bool {
        if self.ending() {
            return false;
        }
        *self = Drain::default();
        true
    }

    /// Clients are welcome.
    pub fn open(&self) -> bool {
        self.why.is_none()
    }

    /// An operator wants clients sent away.
    pub fn asked(&self) -> bool {
        self.why == Some(Why::Asked)
    }

    /// The program is to end.
    pub fn ending(&self) -> bool {
        self.why == Some(Why::Ending)
    }

    /// The time to part with the clients' connections has come.
    pub fn part(&mut self) {
        self.parted = true;
    }

    /// All that is left to do is to answer what was taken, and to exit.
    pub fn last(&self) -> bool {
        self.ending() && self.parted
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_drain_ends_with_rejoin_unless_the_program_ends() {
        let mut drain = Drain::default();
        assert!(drain.open() && drain.begin(Why::Asked) && !drain.open());
        drain.part();
        assert!(!drain.last() && drain.rejoin() && drain.open());
        assert!(drain.begin(Why::Asked) && !drain.begin(Why::Ending) && !drain.begin(Why::Asked));
        assert!(drain.ending() && !drain.last() && !drain.rejoin());
        drain.part();
        assert!(drain.last());
    }
}
