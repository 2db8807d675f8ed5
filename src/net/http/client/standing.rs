//! What a connection has been used for so far. When all places are taken, connections of unsound peers are closed before
//! those of others.

/// Number of fruitless answers from which on a connection counts as unsound. A sound client may make a few mistakes.
const MAX_FRUITLESS_ANSWERS: u32 = 8;

/// The use of a connection so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Standing {
    /// A job was accepted, or a callback matched an open request.
    productive: bool,
    /// Number of answers to other requests: errors of the client, readiness checks, callbacks that match nothing.
    fruitless_answers: u32,
    /// The peer sent a request before the last one was answered, which clients do not do.
    pipelines: bool,
}

impl Standing {
    /// Records an accepted job, or a callback that matched an open request.
    pub fn record_productive(&mut self) {
        self.productive = true;
    }

    /// Records an answer to a request that led to nothing.
    pub fn record_fruitless(&mut self) {
        self.fruitless_answers = self.fruitless_answers.saturating_add(1);
    }

    /// Records that a request was received before the last one was answered.
    pub fn record_pipelining(&mut self) {
        self.pipelines = true;
    }

    /// Returns true if the connection has been used for nothing but requests that led to nothing, or sends requests without
    /// waiting for answers.
    pub fn is_unsound(&self) -> bool {
        self.pipelines || (!self.productive && self.fruitless_answers >= MAX_FRUITLESS_ANSWERS)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn connection_is_unsound_after_fruitless_answers_alone_or_if_it_pipelines() {
        let mut standing = Standing::default();
        for _ in 1..MAX_FRUITLESS_ANSWERS {
            standing.record_fruitless();
        }
        assert!(!standing.is_unsound());
        standing.record_fruitless();
        assert!(standing.is_unsound());
        standing.record_productive();
        assert!(!standing.is_unsound());
        standing.record_pipelining();
        assert!(standing.is_unsound());
    }
}
