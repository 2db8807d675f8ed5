//! What workers did, as they themselves say: the scheduler's word is not taken for it.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

/// How often each job was begun.
#[derive(Default)]
pub struct Ledger(Mutex<HashMap<String, u32>>);

impl Ledger {
    /// A worker has begun a job.
    pub fn begun(&self, id: &str) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner).entry(id.to_owned()).or_default() += 1;
    }

    /// How often a job was begun.
    pub fn runs(&self, id: &str) -> u32 {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).get(id).copied().unwrap_or(0)
    }
}
