//! Reasons for which a request gets a final answer without a result, and a counter for each reason.

/// Reason for which a request gets a final answer without a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The lease on the worker list has ended, so any worker may be draining or gone.
    StaleList,
    /// No worker that may be used can finish the request in time.
    NoCapacity,
    /// The client's deadline has passed or is about to pass.
    Expired,
    /// The maximum number of attempts has been made.
    AttemptsSpent,
    /// An attempt may have run, and the effect of the request does not allow another one.
    NotRepeatable,
    /// It was too late to send the attempt.
    SentTooLate,
    /// A worker rejected the request as one that no worker can process.
    Unusable,
    /// A settings update does not allow another attempt.
    SettingsChanged,
    /// The process ends, and no other process continues the request.
    ShuttingDown,
}

/// Names of the counters, in the order of [`Rejection`].
const COUNTER_NAMES: [&str; 9] = [
    "rejected.stale_list",
    "rejected.no_capacity",
    "rejected.expired",
    "rejected.attempts_spent",
    "rejected.not_repeatable",
    "rejected.moot",
    "rejected.unusable",
    "rejected.settings_changed",
    "rejected.shutting_down",
];

/// Number of rejections since the start of the process, for each reason.
#[derive(Clone, Debug, Default)]
pub struct Rejections([u64; COUNTER_NAMES.len()]);

impl Rejections {
    /// Counts a rejection and returns its reason.
    pub(crate) fn count(&mut self, reason: Rejection) -> Rejection {
        self.0[reason as usize] += 1;
        reason
    }

    /// Returns the counters with their metric names.
    pub fn figures(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        COUNTER_NAMES.into_iter().zip(self.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_reason_has_its_own_counter() {
        let mut rejections = Rejections::default();
        rejections.count(Rejection::StaleList);
        rejections.count(Rejection::SettingsChanged);
        rejections.count(Rejection::SettingsChanged);
        let nonzero: Vec<_> = rejections.figures().filter(|figure| figure.1 > 0).collect();
        assert_eq!(nonzero, [("rejected.stale_list", 1), ("rejected.settings_changed", 2)]);
    }
}
