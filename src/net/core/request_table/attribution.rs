//! Attribution of callbacks: which attempt of a request a worker's report of an end belongs to.
//!
//! A callback names the request and the worker, but not the attempt, and a worker repeats a callback until it is
//! answered. After a request has been sent to a worker again, a report of an end may therefore be a repeat that belongs
//! to an earlier attempt there.

use super::request::Attempt;
use calicolb::api::{Ending, WorkerId};

/// The attempt that a report of an end belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Attribution {
    /// The latest attempt at the worker.
    Current,
    /// An earlier attempt at the worker.
    Earlier,
    /// Either of them.
    Uncertain,
}

/// Attributes a report with this ending from the worker of `current`, the latest attempt there. `earlier`: the earlier
/// attempts under the name of the request, at all workers.
pub(super) fn attribute_end<'a>(
    earlier: impl Iterator<Item = &'a Attempt> + Clone,
    current: &Attempt,
    ending: Ending,
) -> Attribution {
    let earlier_here = || earlier.clone().filter(|attempt| attempt.worker == current.worker);
    let may_be_earlier = earlier_here().any(|attempt| attempt.may_report(ending));
    // A report of a start belongs to the latest attempt if no earlier one has started here. A job that has started is not
    // handed back.
    let earlier_never_ran = none_ran_at(earlier.clone(), current.worker);
    let contradicts_start = ending == Ending::Full && current.started;
    match (may_be_earlier, contradicts_start) {
        (true, true) if earlier_never_ran => Attribution::Earlier,
        (false, false) => Attribution::Current,
        _ => Attribution::Uncertain,
    }
}

/// Returns whether each of these attempts that went to this worker has ended and certainly never ran there, so that a
/// report of a start from the worker belongs to a later attempt.
pub(super) fn none_ran_at<'a>(mut attempts: impl Iterator<Item = &'a Attempt>, worker: WorkerId) -> bool {
    attempts.all(|attempt| attempt.worker != worker || attempt.never_ran())
}

impl Attempt {
    /// Returns whether the worker of this ended attempt may still report that it ended in this way.
    fn may_report(&self, ending: Ending) -> bool {
        match self.ended_by {
            Some(reported) => reported == ending,
            None if self.ending == Some(Ending::Ok) => ending == Ending::Ok,
            None => self.written_at.is_some() && !self.declined && !self.never_ran(),
        }
    }

    /// Returns whether the worker of this ended attempt may still report an end without a result.
    pub(super) fn may_report_again(&self) -> bool {
        [Ending::Full, Ending::Broken, Ending::Error].into_iter().any(|ending| self.may_report(ending))
    }

    /// Returns whether the attempt has ended and certainly never ran.
    pub(super) fn never_ran(&self) -> bool {
        self.ending.is_some_and(Ending::never_ran)
    }
}
