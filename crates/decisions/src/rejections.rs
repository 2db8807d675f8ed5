//! Why requests get a final answer without a result: the reasons, and how often each was given.

/// Why a request gets a final answer without a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The worker list has not been confirmed for too long, so that any worker may be draining or gone.
    StaleList,
    /// No worker that may be used can end it in time.
    NoCapacity,
    /// The time that its client waits is over, or nearly.
    Expired,
    /// As many attempts were made as are allowed.
    AttemptsSpent,
    /// An attempt may have run, and the class does not allow another one.
    NotRepeatable,
    /// An attempt came too late to begin.
    SentTooLate,
    /// No worker can use the request as it is.
    Unusable,
    /// Settings came into force by which no worker may run it.
    SettingsChanged,
    /// The process ends, and no other one goes on with it.
    ShuttingDown,
}

/// The reasons and the names of their counters, in the order of [`Rejection`].
const COUNTERS: [&str; 9] = [
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

/// How often each reason was given since the start of the process.
#[derive(Clone, Debug, Default)]
pub struct Rejections([u64; COUNTERS.len()]);

impl Rejections {
    /// Counts one, and gives it back.
    pub(crate) fn count(&mut self, why: Rejection) -> Rejection {
        self.0[why as usize] += 1;
        why
    }

    /// The counts by the names that operators see.
    pub fn figures(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        COUNTERS.into_iter().zip(self.0)
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
        let counted: Vec<_> = rejections.figures().filter(|figure| figure.1 > 0).collect();
        assert_eq!(counted, [("rejected.stale_list", 1), ("rejected.settings_changed", 2)]);
    }
}
