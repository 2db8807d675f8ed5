//! A scheduler's learner of the agreed settings: one watch at one of the control machines, and a report of the version in
//! force. It follows the rules of the program's own learner; [`calicolb_consensus::Learner`] decides which messages take effect.

use crate::Micros;
use crate::control_machines::{self, Lines, SharedSettingsCheck};
use crate::encode::ControlLine;
use crate::plan::{MILLI, SECOND};
use calicolb::api::Settings;
use calicolb::settings_update;
use calicolb::wire::Names;
use calicolb_consensus::{
    Change, Delta, Digest, Learner, UpdateOutcome, Version, VersionInForce, VersionMessage,
};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use std::sync::Arc;

/// A watch without any line for longer than this is treated as broken.
const WATCH_SILENCE_TIMEOUT: Micros = 5 * SECOND;
/// Time limit for a connection and the first line on it, and for the response to a report.
const RESPONSE_TIMEOUT: Micros = SECOND;
/// Initial wait before the next machine is tried. It doubles with each failure.
const MIN_RETRY_WAIT: Micros = 50 * MILLI;
/// Upper bound of the wait before the next machine is tried, without the jitter.
const MAX_RETRY_WAIT: Micros = SECOND;
/// A learner regards itself as behind after this time without a message that confirms a majority.
const MAJORITY_TIMEOUT: Micros = 5 * SECOND;

/// A command of a learner that the simulation executes.
pub(crate) enum LearnerCommand {
    /// Open a watch at this machine from this version on. `call` is the number of the request.
    OpenWatch { machine: u32, call: u64, from: (u64, Digest) },
    /// Close the watch at this machine that the request `call` opened.
    CloseWatch { machine: u32, call: u64 },
    /// Report to this machine that version `seq` is in force.
    ReportInForce { machine: u32, seq: u64 },
    /// Call [`ConfigLearner::timer_fired`] at this time.
    SetTimer(Micros),
    /// Put these settings into force.
    ApplySettings(Box<Settings>, Arc<VersionInForce>),
}

/// The learner of one scheduler process.
pub(crate) struct ConfigLearner {
    machines: Vec<u32>,
    machine_index: usize,
    learner: Learner,
    settings: Settings,
    names: Names,
    calls: u64,
    watch_call: Option<u64>,
    opened_at: Micros,
    last_received_at: Option<Micros>,
    last_majority_at: Micros,
    seq: u64,
    retry_at: Option<Micros>,
    failures: u32,
    report_deadline: Option<Micros>,
    reported_seq: Option<u64>,
    rng: StdRng,
    in_force: Arc<VersionInForce>,
    timer_at: Option<Micros>,
    /// Time at which the last write on the watch arrives.
    last_arrival: Micros,
    commands: Vec<LearnerCommand>,
}

impl ConfigLearner {
    /// Creates a learner. `settings` and `names` are in force until a version is agreed; `first` is the version that the learner
    /// starts from.
    pub(crate) fn new(settings: Settings, names: Names, first: Version, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut machines: Vec<u32> = (0..control_machines::MACHINE_COUNT).collect();
        machines.shuffle(&mut rng);
        let learner = Learner::with_version(MAJORITY_TIMEOUT, Box::new(SharedSettingsCheck), first);
        ConfigLearner {
            machines,
            machine_index: 0,
            in_force: learner.in_force(0),
            learner,
            settings,
            names,
            calls: 0,
            watch_call: None,
            opened_at: 0,
            last_received_at: None,
            last_majority_at: 0,
            seq: 0,
            retry_at: None,
            failures: 0,
            report_deadline: None,
            reported_seq: None,
            rng,
            timer_at: None,
            last_arrival: 0,
            commands: Vec::new(),
        }
    }

    /// Takes the commands that wait for their execution.
    pub(crate) fn take_commands(&mut self) -> Vec<LearnerCommand> {
        std::mem::take(&mut self.commands)
    }

    /// The control machine of the current watch.
    pub(crate) fn current_machine(&self) -> u32 {
        self.machines[self.machine_index]
    }

    /// True if a later version may be in force elsewhere.
    pub(crate) fn is_behind(&self, now: Micros) -> bool {
        self.learner.is_behind(now)
    }

    /// Arrival time of a write that would arrive at `at` on its own: never before that of an earlier write.
    pub(crate) fn arrival_in_order(&mut self, at: Micros) -> Micros {
        self.last_arrival = self.last_arrival.max(at);
        self.last_arrival
    }

    /// Opens the first watch.
    pub(crate) fn start(&mut self, now: Micros) {
        self.last_majority_at = now;
        self.open_watch(now);
        self.update_timer(now);
    }

    fn open_watch(&mut self, now: Micros) {
        let known = self.learner.held_version();
        self.calls += 1;
        (self.opened_at, self.last_received_at, self.reported_seq, self.retry_at) = (now, None, None, None);
        self.watch_call = Some(self.calls);
        let from = (known.seq, known.digest);
        self.commands.push(LearnerCommand::OpenWatch {
            machine: self.current_machine(),
            call: self.calls,
            from,
        });
    }

    fn close_and_retry(&mut self, now: Micros) {
        if let Some(call) = self.watch_call.take() {
            self.commands.push(LearnerCommand::CloseWatch { machine: self.current_machine(), call });
        }
        self.report_deadline = None;
        self.machine_index = (self.machine_index + 1) % self.machines.len();
        let wait = (MIN_RETRY_WAIT << self.failures.min(8)).min(MAX_RETRY_WAIT);
        self.failures += 1;
        self.retry_at = Some(now + wait / 2 + self.rng.random_range(0..=wait));
    }

    /// Called when the watch of this request has broken or could not be opened.
    pub(crate) fn watch_failed(&mut self, now: Micros, call: u64) {
        if self.watch_call == Some(call) {
            self.close_and_retry(now);
            self.update_timer(now);
        }
    }

    /// Called when the machine has acknowledged the report of the version in force.
    pub(crate) fn report_acknowledged(&mut self, now: Micros) {
        self.report_deadline = None;
        self.update_timer(now);
    }

    /// Takes the lines that arrived on the watch of this request.
    pub(crate) fn receive_lines(&mut self, now: Micros, call: u64, lines: &Lines) {
        if self.watch_call != Some(call) {
            return;
        }
        self.last_received_at = Some(now);
        let usable = if lines.lines.is_empty() {
            // A machine sends a keepalive only while it has a majority.
            self.receive_line(now, &ControlLine { seq: self.seq, majority: true, ..ControlLine::default() })
        } else {
            lines.lines.iter().all(|line| self.receive_line(now, line))
        };
        let in_force = self.learner.in_force(now);
        if !Arc::ptr_eq(&in_force, &self.in_force) {
            self.in_force = Arc::clone(&in_force);
            self.apply_settings(in_force);
        }
        if usable {
            self.report_in_force(now)
        } else {
            self.close_and_retry(now)
        }
        self.update_timer(now);
    }

    fn receive_line(&mut self, now: Micros, line: &ControlLine) -> bool {
        self.failures = 0;
        self.seq = line.seq;
        let (seq, majority) = (line.seq, line.majority);
        if majority {
            self.last_majority_at = now;
        }
        let digest = |text: &str| text.parse::<Digest>().ok();
        let message = if line.whole {
            let Some(digest) = digest(&line.digest) else { return false };
            let version = Version { seq, digest, document: Arc::new(line.settings.clone()) };
            VersionMessage::Full { version, majority }
        } else if line.from.is_empty() {
            VersionMessage::Current { seq, majority }
        } else {
            let Some((from_digest, digest)) = digest(&line.from).zip(digest(&line.digest)) else {
                return false;
            };
            let change = Change { set: line.set.clone(), unset: line.unset.clone() };
            VersionMessage::Delta { delta: Delta { seq, from_digest, digest, change }, majority }
        };
        self.learner.receive(now, message) != UpdateOutcome::Gap
    }

    /// Reads the version in force and passes the settings to the module. Names keep their indices.
    fn apply_settings(&mut self, in_force: Arc<VersionInForce>) {
        let Ok((new, names)) = control_machines::settings_from_document(&in_force.document) else { return };
        let (rank, instances, zone) = (self.settings.rank, self.settings.instances, self.settings.zone);
        let new = Settings { rank, instances, zone, ..new };
        if let Ok((settings, names)) = settings_update::merge((&self.settings, &self.names), (&new, &names)) {
            (self.settings, self.names) = (settings.clone(), names);
            self.commands.push(LearnerCommand::ApplySettings(Box::new(settings), in_force));
        }
    }

    /// Reports the version in force to the machine, unless it was reported on this watch already.
    fn report_in_force(&mut self, now: Micros) {
        let seq = self.in_force.seq;
        if self.watch_call.is_some()
            && self.report_deadline.is_none()
            && seq > 0
            && self.reported_seq != Some(seq)
        {
            self.commands.push(LearnerCommand::ReportInForce { machine: self.current_machine(), seq });
            self.report_deadline = Some(now + RESPONSE_TIMEOUT);
            self.reported_seq = Some(seq);
        }
    }

    /// Handles the timer: expired reports, silent watches, and the next attempt to open a watch.
    pub(crate) fn timer_fired(&mut self, now: Micros) {
        if self.timer_at.is_some_and(|at| at > now) {
            return;
        }
        self.timer_at = None;
        if self.report_deadline.take_if(|by| *by <= now).is_some() {
            self.reported_seq = None;
        }
        let no_majority = self.last_majority_at.max(self.opened_at) + MAJORITY_TIMEOUT <= now;
        if self.watch_call.is_some() && (self.watch_deadline() <= now || no_majority) {
            self.close_and_retry(now);
        }
        if self.retry_at.is_some_and(|retry_at| retry_at <= now) {
            self.open_watch(now);
        }
        self.update_timer(now);
    }

    fn watch_deadline(&self) -> Micros {
        self.last_received_at
            .map_or(self.opened_at + RESPONSE_TIMEOUT, |received_at| received_at + WATCH_SILENCE_TIMEOUT)
    }

    fn update_timer(&mut self, now: Micros) {
        let watch = self
            .watch_call
            .map(|_| self.watch_deadline().min(self.last_majority_at.max(self.opened_at) + MAJORITY_TIMEOUT));
        let next = [self.retry_at, self.report_deadline, watch].into_iter().flatten().min();
        if let Some(at) = next.map(|at| at.max(now + 1))
            && self.timer_at.is_none_or(|set| at < set)
        {
            self.timer_at = Some(at);
            self.commands.push(LearnerCommand::SetTimer(at));
        }
    }
}
