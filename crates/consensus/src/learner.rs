//! What a scheduler keeps of the agreed configuration: the version in force, and whether it is behind.
//!
//! All that a control machine tells was decided once, but what one without a majority tells may be old, and so may be
//! what is in force while nothing was heard. Of what is heard from such a machine, keys that tighten come into force
//! at once; what widens waits until a machine with a majority says that the learner is level. Who hears nothing goes
//! on by the last version in force, and knows that it is behind.

use crate::change::{Delta, Version};
use crate::digest::Digest;
use crate::document::{Check, Document, ValidationError};
use crate::tighten::{TighteningDirection, tightened};
use std::sync::Arc;

/// Shortest pause between two questions, in microseconds.
const ASK_FIRST_US: u64 = 250_000;
/// Longest pause between two questions that brought nothing, in microseconds.
const ASK_LAST_US: u64 = 4_000_000;

/// Supplied by the program: what is usable, and what tightens.
pub trait Rules: Check {
    /// Which direction tightens a key.
    fn tightening_direction(&self, key: &str) -> TighteningDirection;
}

/// What a control machine tells.
#[derive(Debug, Clone, PartialEq)]
pub enum VersionMessage {
    /// A whole version.
    Full {
        /// The version.
        version: Version,
        /// Whether the machine that tells it has a majority.
        majority: bool,
    },
    /// The next change.
    Delta {
        /// The change.
        delta: Delta,
        /// Whether the machine that tells it has a majority.
        majority: bool,
    },
    /// Nothing new: this is the machine's version.
    Current {
        /// Of the machine's version.
        seq: u64,
        /// Whether the machine that tells it has a majority.
        majority: bool,
    },
}

/// What a message did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// Nothing: it is old or known.
    Unchanged,
    /// A version came into force, wholly.
    InForce,
    /// A version is held; of it only what tightens is in force.
    Tightened,
    /// Something in between is missing, or doesn't fit: to be asked for.
    Gap,
    /// The version isn't usable here; the one in force stays.
    Invalid(ValidationError),
}

/// What to ask a control machine for: the changes since this version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ask {
    /// Of the version held.
    pub seq: u64,
    /// Of the version held.
    pub digest: Digest,
}

/// What is in force.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionInForce {
    /// Of the last version that came into force wholly; 0 for none yet.
    pub seq: u64,
    /// Of that version.
    pub digest: Digest,
    /// What is in force: that version's document, unless tightened.
    pub document: Arc<Document>,
    /// The later version of which only what tightens is in force.
    pub tightened_to: Option<u64>,
}

impl VersionInForce {
    fn wholly(version: &Version) -> VersionInForce {
        let document = Arc::clone(&version.document);
        VersionInForce { seq: version.seq, digest: version.digest, document, tightened_to: None }
    }
}

/// Keeps a scheduler's version. Times are in microseconds of one clock that never goes back.
pub struct Learner {
    silence_us: u64,
    rules: Box<dyn Rules + Send>,
    held: Version,
    in_force: Arc<VersionInForce>,
    /// The latest version heard of.
    known: u64,
    gap: bool,
    heard_at: Option<u64>,
    asked: Option<(u64, u64)>,
    fault: Option<ValidationError>,
}

impl Learner {
    /// A learner with version 0, the empty document. It is behind when nothing was heard from a control machine with
    /// a majority for `silence_us`.
    #[must_use]
    pub fn new(silence_us: u64, rules: Box<dyn Rules + Send>) -> Learner {
        Learner::with_version(silence_us, rules, Version::default())
    }

    /// A learner that begins with a version that was in force before.
    #[must_use]
    pub fn with_version(silence_us: u64, rules: Box<dyn Rules + Send>, version: Version) -> Learner {
        let in_force = Arc::new(VersionInForce::wholly(&version));
        let known = version.seq;
        let (gap, heard_at, asked, fault) = (false, None, None, None);
        Learner { silence_us, rules, held: version, in_force, known, gap, heard_at, asked, fault }
    }

    /// Takes in what a control machine tells.
    pub fn receive(&mut self, now: u64, message: VersionMessage) -> UpdateOutcome {
        let (VersionMessage::Full { majority, .. }
        | VersionMessage::Delta { majority, .. }
        | VersionMessage::Current { majority, .. }) = &message;
        let majority = *majority;
        if majority {
            self.heard_at = Some(self.heard_at.unwrap_or(0).max(now));
        }
        let told = match message {
            VersionMessage::Full { version, .. } => {
                if !version.is_sound() {
                    return UpdateOutcome::Gap;
                }
                if version.seq > self.held.seq {
                    self.hold(version, majority)
                } else {
                    self.confirm(version.seq, Some(version.digest), majority)
                }
            }
            VersionMessage::Delta { delta, .. } => {
                self.known = self.known.max(delta.seq);
                if delta.seq <= self.held.seq {
                    self.confirm(delta.seq, Some(delta.digest), majority)
                } else {
                    match self.held.with(&delta) {
                        Ok(version) => self.hold(version, majority),
                        Err(_) => {
                            self.gap = true;
                            UpdateOutcome::Gap
                        }
                    }
                }
            }
            VersionMessage::Current { seq, .. } => {
                self.known = self.known.max(seq);
                if seq > self.held.seq { UpdateOutcome::Gap } else { self.confirm(seq, None, majority) }
            }
        };
        if matches!(told, UpdateOutcome::InForce | UpdateOutcome::Tightened) {
            self.asked = None;
        }
        told
    }

    /// What is in force.
    #[must_use]
    pub fn in_force(&self, _now: u64) -> Arc<VersionInForce> {
        Arc::clone(&self.in_force)
    }

    /// Whether a later version may be in force elsewhere: nothing was heard of late from a control machine with a
    /// majority, or what was heard isn't wholly in force.
    #[must_use]
    pub fn is_behind(&self, now: u64) -> bool {
        self.is_silent(now) || !self.is_level()
    }

    /// What to ask for, when there is something to ask for and it is time.
    pub fn next_request(&mut self, now: u64) -> Option<Ask> {
        if !self.is_behind(now) {
            return None;
        }
        let pause = match self.asked {
            Some((at, pause)) if now < at.saturating_add(pause) => return None,
            Some((_, pause)) => (pause * 2).min(ASK_LAST_US),
            None => ASK_FIRST_US,
        };
        self.asked = Some((now, pause));
        Some(self.held_version())
    }

    /// The version held, as a control machine is asked for what followed it.
    #[must_use]
    pub fn held_version(&self) -> Ask {
        Ask { seq: self.held.seq, digest: self.held.digest }
    }

    /// Why the version held isn't in force, when it isn't usable here.
    #[must_use]
    pub fn fault(&self) -> Option<&ValidationError> {
        self.fault.as_ref()
    }

    fn is_silent(&self, now: u64) -> bool {
        self.heard_at.is_none_or(|at| now.saturating_sub(at) > self.silence_us)
    }

    fn is_level(&self) -> bool {
        let in_force = self.in_force.tightened_to.is_none() && self.in_force.seq == self.held.seq;
        in_force && !self.gap && self.known <= self.held.seq
    }

    fn hold(&mut self, version: Version, majority: bool) -> UpdateOutcome {
        self.known = self.known.max(version.seq);
        self.held = version;
        self.gap = false;
        self.enforce(majority)
    }

    /// A machine told a version that isn't newer than the one held.
    fn confirm(&mut self, seq: u64, digest: Option<Digest>, majority: bool) -> UpdateOutcome {
        if seq < self.held.seq || !majority || self.is_level() {
            return UpdateOutcome::Unchanged;
        }
        if digest.is_some_and(|digest| digest != self.held.digest) {
            return UpdateOutcome::Unchanged;
        }
        if self.known <= self.held.seq {
            self.gap = false;
        }
        self.enforce(true)
    }

    fn enforce(&mut self, majority: bool) -> UpdateOutcome {
        let next = if majority {
            VersionInForce::wholly(&self.held)
        } else {
            let rules = &self.rules;
            let document = tightened(&self.in_force.document, &self.held.document, &|key| {
                rules.tightening_direction(key)
            });
            let document = Arc::new(document);
            VersionInForce {
                document,
                tightened_to: Some(self.held.seq),
                ..VersionInForce::clone(&self.in_force)
            }
        };
        self.fault = self.rules.check(&next.document).err();
        if let Some(fault) = &self.fault {
            return UpdateOutcome::Invalid(fault.clone());
        }
        self.in_force = Arc::new(next);
        if majority { UpdateOutcome::InForce } else { UpdateOutcome::Tightened }
    }
}
