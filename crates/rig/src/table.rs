//! What came of a load, by class.

use crate::class_name;
use crate::clients::{Outcome, Told};
use crate::ledger::Ledger;
use crate::load::{CLASSES, Plan};
use hdrhistogram::Histogram;
use std::fmt::Write;

#[derive(Clone)]
struct Row {
    asked: u64,
    in_time: u64,
    late: u64,
    refused: u64,
    failed: u64,
    twice: u64,
    lost: u64,
    times: Histogram<u64>,
}

/// The counts of a run.
pub struct Tally(Vec<Row>);

impl Tally {
    /// Holds what clients were told against what workers did.
    pub fn new(plan: &Plan, outcomes: &[Outcome], ledger: &Ledger) -> Tally {
        let times = || Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds that fit");
        let (asked, in_time, late, refused, failed, twice, lost) = (0, 0, 0, 0, 0, 0, 0);
        let row = || Row { asked, in_time, late, refused, failed, twice, lost, times: times() };
        let mut rows: Vec<Row> = CLASSES.iter().map(|_| row()).collect();
        for outcome in outcomes {
            let job = &plan.jobs[outcome.job];
            let row = &mut rows[job.class];
            row.asked += 1;
            match outcome.told {
                Told::Served => {
                    let micros = outcome.time.as_micros() as u64;
                    let _ = row.times.record(micros.clamp(1, 60_000_000));
                    if outcome.time <= job.aim() { row.in_time += 1 } else { row.late += 1 }
                }
                Told::Refused => row.refused += 1,
                Told::Failed => row.failed += 1,
                Told::Nothing => row.lost += 1,
            }
            row.twice += u64::from(CLASSES[job.class].once && ledger.runs(&job.id) > 1);
            // Served by nobody's result, or refused though it ran: neither is an answer that may be given.
            let ran = ledger.runs(&job.id) > 0;
            let untrue = (outcome.told == Told::Served && !ran)
                || (outcome.told == Told::Refused && ran && CLASSES[job.class].once);
            row.lost += u64::from(untrue);
        }
        Tally(rows)
    }

    /// The worth of what was served in time, as a part of all that was asked.
    pub fn service(&self) -> f64 {
        let sum = |count: fn(&Row) -> u64| -> f64 {
            self.0.iter().zip(&CLASSES).map(|(row, class)| count(row) as f64 * class.worth).sum()
        };
        sum(|row| row.in_time) / sum(|row| row.asked).max(1.0)
    }

    /// Something happened that never may.
    pub fn broken(&self) -> bool {
        self.0.iter().any(|row| row.twice > 0 || row.lost > 0)
    }

    /// All in one line.
    pub fn line(&self) -> String {
        let sum = |count: fn(&Row) -> u64| self.0.iter().map(count).sum::<u64>();
        format!(
            "service {:.4}, asked {}, in time {}, late {}, refused {}, failed {}, twice {}, lost {}",
            self.service(),
            sum(|row| row.asked),
            sum(|row| row.in_time),
            sum(|row| row.late),
            sum(|row| row.refused),
            sum(|row| row.failed),
            sum(|row| row.twice),
            sum(|row| row.lost)
        )
    }

    /// A row a class.
    pub fn table(&self) -> String {
        let mut text = format!(
            "{:<16}{:>7}{:>9}{:>7}{:>9}{:>8}{:>11}{:>6}{:>10}{:>10}\n",
            "class", "asked", "in time", "late", "refused", "failed", "run twice", "lost", "p50 ms", "p99 ms"
        );
        for (nr, row) in self.0.iter().enumerate() {
            let at = |quantile| row.times.value_at_quantile(quantile) as f64 / 1e3;
            let _ = writeln!(
                text,
                "{:<16}{:>7}{:>9}{:>7}{:>9}{:>8}{:>11}{:>6}{:>10.1}{:>10.1}",
                class_name(nr),
                row.asked,
                row.in_time,
                row.late,
                row.refused,
                row.failed,
                row.twice,
                row.lost,
                at(0.5),
                at(0.99)
            );
        }
        text
    }
}
