//! The figures that operators are shown. Each request and each attempt is counted once, where it ends or is
//! written; what can be looked up is not counted.

use calicolb::api::ClassIx;
use std::fmt::{Display, Write};

/// How many requests of a class ended how, and how many attempts were written whole for them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClassCounters {
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub attempts: u64,
}

/// What has been counted since the start of the process.
pub struct Counters(Vec<ClassCounters>);

/// What is true at the moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    pub in_flight: usize,
    pub known: usize,
    pub avoided: usize,
}

impl Counters {
    pub fn new(classes: usize) -> Self {
        Counters(vec![ClassCounters::default(); classes])
    }

    /// There are so many classes now; what was counted stays.
    pub fn resize(&mut self, classes: usize) {
        self.0.resize(classes.max(self.0.len()), ClassCounters::default());
    }

    /// The counts of a class.
    pub fn class_mut(&mut self, class: ClassIx) -> &mut ClassCounters {
        &mut self.0[class.0]
    }

    /// The figures as lines, with those of protocols that have their own, and a last line `end`.
    pub fn render<'a, T: Display>(
        &self,
        classes: impl Iterator<Item = &'a str>,
        present: Gauges,
        others: impl Iterator<Item = (&'static str, T)>,
    ) -> String {
        let mut text = String::new();
        let mut line = |name: &str, value: u64| {
            let _ = writeln!(text, "scheduler.{name}={value}");
        };
        for (class, tally) in classes.zip(&self.0) {
            let counts = [
                ("served", tally.served),
                ("refused", tally.refused),
                ("failed", tally.failed),
                ("attempts", tally.attempts),
            ];
            counts.iter().for_each(|(name, count)| line(&format!("requests.{class}.{name}"), *count));
        }
        line("attempts", self.0.iter().map(|tally| tally.attempts).sum());
        line("in_flight", present.in_flight as u64);
        line("stock_workers_known", present.known as u64);
        line("stock_workers_excluded", present.avoided as u64);
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
    fn figures_are_lines_by_class_and_end_with_end() {
        let mut figures = Counters::new(2);
        figures.class_mut(ClassIx(1)).served += 812;
        figures.class_mut(ClassIx(1)).attempts += 900;
        figures.class_mut(ClassIx(0)).attempts += 1;
        let present = Gauges { in_flight: 14, known: 3, avoided: 1 };
        let text = figures.render(["look", "book"].into_iter(), present, [("own.lanes", 5)].into_iter());
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
            assert!(lines.contains(&line), "{line} is not in {text}");
        }
        assert_eq!(lines.last(), Some(&"end"));
    }
}
