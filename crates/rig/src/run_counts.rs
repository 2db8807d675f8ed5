//! Counts of job starts as the workers record them, independent of what the scheduler reports.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

/// Number of starts of each job, by job id.
#[derive(Default)]
pub struct RunCounts(Mutex<HashMap<String, u32>>);

impl RunCounts {
    /// Records that a worker started the job `id`.
    pub fn record_start(&self, id: &str) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner).entry(id.to_owned()).or_default() += 1;
    }

    /// Returns the number of starts of the job `id`.
    pub fn runs(&self, id: &str) -> u32 {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).get(id).copied().unwrap_or(0)
    }
}
