//! Results of a load, by class.

use crate::class_name;
use crate::clients::{Answer, JobOutcome};
use crate::load::{CLASSES, Plan};
use crate::run_counts::RunCounts;
use hdrhistogram::Histogram;
use std::fmt::Write;

/// Job counts of a class, and its response times in microseconds.
#[derive(Clone)]
struct Row {
    submitted: u64,
    in_time: u64,
    late: u64,
    refused: u64,
    failed: u64,
    run_twice: u64,
    lost: u64,
    times: Histogram<u64>,
}

/// Results of a run: a row for each class.
pub struct ResultTable(Vec<Row>);

impl ResultTable {
    /// Compares the answers that clients received with the job starts that workers recorded.
    pub fn new(plan: &Plan, outcomes: &[JobOutcome], run_counts: &RunCounts) -> ResultTable {
        let times = || {
            Histogram::new_with_bounds(1, 60_000_000, 3)
                .expect("histogram bounds of 1 us to 60 s with 3 digits must be valid")
        };
        let (submitted, in_time, late, refused, failed, run_twice, lost) = (0, 0, 0, 0, 0, 0, 0);
        let row = || Row { submitted, in_time, late, refused, failed, run_twice, lost, times: times() };
        let mut rows: Vec<Row> = CLASSES.iter().map(|_| row()).collect();
        for outcome in outcomes {
            let job = &plan.jobs[outcome.job];
            let row = &mut rows[job.class];
            row.submitted += 1;
            match outcome.answer {
                Answer::Served => {
                    let response_us = outcome.time.as_micros() as u64;
                    let _ = row.times.record(response_us.clamp(1, 60_000_000));
                    if outcome.time <= job.aim() { row.in_time += 1 } else { row.late += 1 }
                }
                Answer::Refused => row.refused += 1,
                Answer::Failed => row.failed += 1,
                Answer::Missing => row.lost += 1,
            }
            row.run_twice += u64::from(CLASSES[job.class].must_not_repeat && run_counts.runs(&job.id) > 1);
            // A result without a run, or a refusal of a job that ran and must not repeat, is a false answer and
            // counts as lost.
            let ran = run_counts.runs(&job.id) > 0;
            let false_answer = (outcome.answer == Answer::Served && !ran)
                || (outcome.answer == Answer::Refused && ran && CLASSES[job.class].must_not_repeat);
            row.lost += u64::from(false_answer);
        }
        ResultTable(rows)
    }

    /// Returns the worth of the jobs answered in time, as a fraction of the worth of all jobs.
    pub fn service_share(&self) -> f64 {
        let sum = |count: fn(&Row) -> u64| -> f64 {
            self.0.iter().zip(&CLASSES).map(|(row, class)| count(row) as f64 * class.worth).sum()
        };
        sum(|row| row.in_time) / sum(|row| row.submitted).max(1.0)
    }

    /// Returns whether a job that must not repeat ran more than once, or a job was lost.
    pub fn has_violation(&self) -> bool {
        self.0.iter().any(|row| row.run_twice > 0 || row.lost > 0)
    }

    /// Returns the totals in one line.
    pub fn summary(&self) -> String {
        let sum = |count: fn(&Row) -> u64| self.0.iter().map(count).sum::<u64>();
        format!(
            "service {:.4}, asked {}, in time {}, late {}, refused {}, failed {}, twice {}, lost {}",
            self.service_share(),
            sum(|row| row.submitted),
            sum(|row| row.in_time),
            sum(|row| row.late),
            sum(|row| row.refused),
            sum(|row| row.failed),
            sum(|row| row.run_twice),
            sum(|row| row.lost)
        )
    }

    /// Returns a table with a row for each class.
    pub fn table(&self) -> String {
        let mut text = format!(
            "{:<16}{:>7}{:>9}{:>7}{:>9}{:>8}{:>11}{:>6}{:>10}{:>10}\n",
            "class", "asked", "in time", "late", "refused", "failed", "run twice", "lost", "p50 ms", "p99 ms"
        );
        for (class, row) in self.0.iter().enumerate() {
            let quantile_ms = |quantile| row.times.value_at_quantile(quantile) as f64 / 1e3;
            let _ = writeln!(
                text,
                "{:<16}{:>7}{:>9}{:>7}{:>9}{:>8}{:>11}{:>6}{:>10.1}{:>10.1}",
                class_name(class),
                row.submitted,
                row.in_time,
                row.late,
                row.refused,
                row.failed,
                row.run_twice,
                row.lost,
                quantile_ms(0.5),
                quantile_ms(0.99)
            );
        }
        text
    }
}
