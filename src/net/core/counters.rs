//! Counters and gauges that operators can read. A request is counted once, when it ends, and an attempt once, when its
//! last byte is written. Values that can be computed on demand are gauges and are not counted.

use calicolb::api::ClassIx;
use std::fmt::{Display, Write};

/// Counters of one class: requests by outcome, and attempts that were written completely.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClassCounters {
    /// Requests answered with a result.
    pub served: u64,
    /// Requests refused as busy, with or without a time to retry after.
    pub refused: u64,
    /// Requests answered with a failure.
    pub failed: u64,
    /// Attempts whose last byte was written.
    pub attempts: u64,
}

/// Counters of all classes since the start of the process, by class index.
pub struct Counters(Vec<ClassCounters>);

/// Values at the present moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Requests that have no final answer yet.
    pub in_flight: usize,
    /// Workers on the list.
    pub known_workers: usize,
    /// Workers on the list to which the decision module does not send at present.
    pub excluded_workers: usize,
}

impl Counters {
    /// Creates zeroed counters for this number of classes.
    pub fn new(classes: usize) -> Self {
        Counters(vec![ClassCounters::default(); classes])
    }

    /// Adds zeroed counters for new classes, up to `classes` in total. Existing counters keep their values.
    pub fn resize(&mut self, classes: usize) {
        self.0.resize(classes.max(self.0.len()), ClassCounters::default());
    }

    /// The counters of a class.
    pub fn class_mut(&mut self, class: ClassIx) -> &mut ClassCounters {
        &mut self.0[class.0]
    }

    /// Formats the counters, the gauges and the `others` as lines of `scheduler.NAME=VALUE`, and a last line `end`.
    pub fn render<'a, T: Display>(
        &self,
        classes: impl Iterator<Item = &'a str>,
        gauges: Gauges,
        others: impl Iterator<Item = (&'static str, T)>,
    ) -> String {
        let mut text = String::new();
        let mut line = |name: &str, value: u64| {
            let _ = writeln!(text, "scheduler.{name}={value}");
        };
        for (class, counters) in classes.zip(&self.0) {
            let counts = [
                ("served", counters.served),
                ("refused", counters.refused),
                ("failed", counters.failed),
                ("attempts", counters.attempts),
            ];
            counts.iter().for_each(|(name, count)| line(&format!("requests.{class}.{name}"), *count));
        }
        line("attempts", self.0.iter().map(|counters| counters.attempts).sum());
        line("in_flight", gauges.in_flight as u64);
        line("stock_workers_known", gauges.known_workers as u64);
        line("stock_workers_excluded", gauges.excluded_workers as u64);
        for (name, value) in others {
            let _ = writeln!(text, "scheduler.{name}={value}");
        }
        text.push_str("end\n");
        text
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn counters_are_rendered_as_lines_by_class_with_a_last_line_end() {
        let mut counters = Counters::new(2);
        counters.class_mut(ClassIx(1)).served += 812;
        counters.class_mut(ClassIx(1)).attempts += 900;
        counters.class_mut(ClassIx(0)).attempts += 1;
        let gauges = Gauges { in_flight: 14, known_workers: 3, excluded_workers: 1 };
        let text = counters.render(["look", "book"].into_iter(), gauges, [("own.lanes", 5)].into_iter());
        let lines: Vec<&str> = text.lines().collect();
        for line in [
            "scheduler.requests.book.served=812",
            "scheduler.requests.look.served=0",
            "scheduler.requests.book.attempts=900",
            "scheduler.attempts=901",
            "scheduler.in_flight=14",
            "scheduler.stock_workers_known=3",
            "scheduler.stock_workers_excluded=1",
            "scheduler.own.lanes=5",
        ] {
            assert!(lines.contains(&line), "line {line:?} is missing from {text:?}");
        }
        assert_eq!(lines.last(), Some(&"end"));
    }
}
