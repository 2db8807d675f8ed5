//! Events of the control machines and their learners, and the settings changes that operators propose.

use super::*;
use crate::config_learner::{ConfigLearner, LearnerCommand};
use crate::control_machines::{
    self, ChangeOutcome, ControlMachine, HEARTBEAT_INTERVAL, Lines, MACHINE_COUNT, VOTER_TICK,
};
use crate::recorder::ConfigOutcome;
use calicolb::wire;
use calicolb_consensus::{Change, Digest, Document, Version, VoterId};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

/// Time after which a failed proposal of a change is repeated.
const PROPOSAL_RETRY_INTERVAL: Micros = 200 * MILLI;
/// Time between the last change and the end of the measured time, at least.
const FINAL_CHANGE_MARGIN: Micros = 8 * SECOND;

/// An event of the control machines or of a learner.
pub(crate) enum AgreementEvent {
    VoterTick {
        machine: u32,
    },
    Heartbeat {
        machine: u32,
    },
    VoterMessage {
        from: u32,
        to: u32,
        body: Rc<Vec<u8>>,
    },
    WatchCallArrives {
        machine: u32,
        process: u32,
        call: u64,
        from: (u64, Digest),
    },
    WatchLinesArrive {
        machine: u32,
        process: u32,
        call: u64,
        lines: Rc<Lines>,
    },
    WatchFailed {
        process: u32,
        call: u64,
    },
    InForceReportArrives {
        machine: u32,
        process: u32,
    },
    InForceReportAcknowledged {
        process: u32,
    },
    LearnerTimer {
        process: u32,
    },
    ProposeChange {
        index: u32,
    },
    /// Kills the leader, which starts again after `restart_after`.
    KillLeader {
        restart_after: Micros,
    },
    RestartMachine {
        machine: u32,
    },
}

/// The control machines, and the records of the versions that were agreed and in force.
pub(crate) struct Agreement {
    pub(crate) machines: Vec<ControlMachine>,
    initial_version: Version,
    /// Accepted versions, each with the time at which the proposing machine learned of the acceptance.
    accepted: Vec<(u64, Digest, Micros)>,
    /// Versions that came into force: scheduler process, version, digest and time.
    in_force_reports: Vec<(u32, u64, Digest, Micros)>,
    /// Indices of the accepted changes.
    accepted_changes: BTreeSet<u32>,
    /// Digest of each version, as the first machine that learned the version has it.
    known_versions: BTreeMap<u64, Digest>,
    /// Number of times that a machine learned a known version with another digest.
    conflicting_versions: u64,
}

impl Simulation {
    /// Sets up the control machines: two of five in the first region, the others in the other regions.
    pub(super) fn set_up_agreement(&mut self, seed: u64) {
        let zones = 0..self.plan.zones as usize;
        let (first, rest): (Vec<usize>, Vec<usize>) = zones.partition(|&zone| self.links.region(zone) == 0);
        let rest = if rest.is_empty() { first.clone() } else { rest };
        let zone_of = |index: usize| {
            if index < 2 { first[index % first.len()] } else { rest[(index - 2) % rest.len()] }
        };
        let machines = (0..MACHINE_COUNT)
            .map(|index| ControlMachine::new(index, zone_of(index as usize), seed))
            .collect();
        let initial_version = Version::new(0, control_machines::settings_document(&self.plan));
        self.agreement = Some(Agreement {
            machines,
            initial_version,
            accepted: Vec::new(),
            in_force_reports: Vec::new(),
            accepted_changes: BTreeSet::new(),
            known_versions: BTreeMap::new(),
            conflicting_versions: 0,
        });
        for machine in 0..MACHINE_COUNT {
            let phase = VOTER_TICK * u64::from(machine) / u64::from(MACHINE_COUNT);
            self.schedule_agreement(SIMULATION_START + phase, AgreementEvent::VoterTick { machine });
            self.schedule_agreement(SIMULATION_START + phase, AgreementEvent::Heartbeat { machine });
        }
        let (begin, end) = self.plan.measured_span();
        let step = (end - begin).saturating_sub(FINAL_CHANGE_MARGIN).max(1)
            / u64::from(self.plan.config_changes.max(1));
        for index in 0..self.plan.config_changes {
            self.schedule_agreement(begin + step * u64::from(index), AgreementEvent::ProposeChange { index });
        }
        self.schedule_agreement(
            self.plan.incident_at(),
            AgreementEvent::KillLeader { restart_after: 10 * SECOND },
        );
    }

    fn schedule_agreement(&mut self, at: Micros, event: AgreementEvent) {
        self.schedule(at, SimEvent::Agreement(event));
    }

    fn machine_mut(&mut self, index: u32) -> Option<&mut ControlMachine> {
        self.agreement.as_mut()?.machines.get_mut(index as usize)
    }

    /// The zone of a control machine.
    pub(super) fn machine_zone(&self, index: u32) -> usize {
        let machine = self.agreement.as_ref().and_then(|agreement| agreement.machines.get(index as usize));
        machine.map_or(0, |machine| machine.zone)
    }

    fn initial_document(&self) -> Option<&Document> {
        self.agreement.as_ref().map(|agreement| &*agreement.initial_version.document)
    }

    /// Starts the learner of a scheduler process, if there are control machines.
    pub(crate) fn start_learner(&mut self, process: u32) {
        let Some(agreement) = &self.agreement else { return };
        let rank = self.processes[process as usize].rank;
        let seed = self.plan.seed ^ u64::from(process) << 20;
        let settings = self.initial_settings(rank);
        let Ok((_, names)) = wire::parse_settings(&self.plan.settings_json().to_string()) else { return };
        let learner = ConfigLearner::new(settings, names, agreement.initial_version.clone(), seed);
        self.processes[process as usize].learner = Some(Box::new(learner));
        self.with_learner(process, |learner, now| learner.start(now));
    }

    /// Calls `update` on the learner of a process and executes the commands that result.
    fn with_learner(&mut self, process: u32, update: impl FnOnce(&mut ConfigLearner, Micros)) {
        let (now, rank) = (self.now, self.processes[process as usize].rank);
        if !self.processes[process as usize].alive {
            return;
        }
        let Some(learner) = &mut self.processes[process as usize].learner else { return };
        self.recorder.time_control_event(now, rank, || update(learner, now));
        let zone = self.processes[process as usize].zone;
        let commands = self.processes[process as usize]
            .learner
            .as_mut()
            .map(|learner| learner.take_commands())
            .unwrap_or_default();
        for command in commands {
            self.execute_learner_command(process, rank, zone, command);
        }
        self.process_pending(process);
    }

    fn execute_learner_command(&mut self, process: u32, rank: u32, zone: usize, command: LearnerCommand) {
        let name = format!("n{rank}");
        match command {
            LearnerCommand::SetTimer(at) => {
                self.schedule_agreement(at, AgreementEvent::LearnerTimer { process })
            }
            LearnerCommand::OpenWatch { machine, call, from } => {
                let bytes = encode::control_watch_request(from.0, &from.1.to_string(), &name).len();
                let Some((machine_zone, up)) =
                    self.machine_mut(machine).map(|to| (to.zone, to.voter.is_some()))
                else {
                    return;
                };
                if !self.links.is_open_both_ways(zone, machine_zone) {
                    return;
                }
                let round_trip = self.links.delay(zone, machine_zone) + self.links.delay(machine_zone, zone);
                if up {
                    self.recorder.record_message(self.now, rank, Function::Config, bytes);
                    let at = self.now + round_trip + self.links.delay(zone, machine_zone);
                    self.schedule_agreement(
                        at,
                        AgreementEvent::WatchCallArrives { machine, process, call, from },
                    );
                } else {
                    self.schedule_agreement(
                        self.now + round_trip,
                        AgreementEvent::WatchFailed { process, call },
                    );
                }
            }
            LearnerCommand::CloseWatch { machine, call } => {
                if let Some(machine) = self.machine_mut(machine) {
                    machine.close_watch(process, call);
                }
            }
            LearnerCommand::ReportInForce { machine, seq } => {
                let machine_zone = self.machine_zone(machine);
                if self.links.is_open_both_ways(zone, machine_zone) {
                    self.recorder.record_message(
                        self.now,
                        rank,
                        Function::Config,
                        encode::in_force_report(&name, seq).len(),
                    );
                    let at = self.now
                        + 2 * self.links.delay(zone, machine_zone)
                        + self.links.delay(machine_zone, zone);
                    self.schedule_agreement(at, AgreementEvent::InForceReportArrives { machine, process });
                }
            }
            LearnerCommand::ApplySettings(settings, in_force) => {
                self.processes[process as usize].update_settings(*settings);
                if let Some(agreement) = self.agreement.as_mut().filter(|_| in_force.tightened_to.is_none()) {
                    agreement.in_force_reports.push((process, in_force.seq, in_force.digest, self.now));
                }
            }
        }
    }

    pub(super) fn handle_agreement_event(&mut self, event: AgreementEvent) {
        match event {
            AgreementEvent::VoterTick { machine } => {
                self.schedule_agreement(self.now + VOTER_TICK, AgreementEvent::VoterTick { machine });
                let (now, initial) = (self.now, self.initial_document().cloned().unwrap_or_default());
                let Some(target) = self.machine_mut(machine) else { return };
                if let Some(voter) = &mut target.voter {
                    voter.tick();
                }
                target.propose_initial(now, &initial);
                self.process_machine(machine);
            }
            AgreementEvent::Heartbeat { machine } => {
                self.schedule_agreement(self.now + HEARTBEAT_INTERVAL, AgreementEvent::Heartbeat { machine });
                let writes = self.machine_mut(machine).map(|target| target.heartbeats()).unwrap_or_default();
                self.write_lines(machine, writes);
            }
            AgreementEvent::VoterMessage { from, to, body } => {
                if let Some(voter) = self.machine_mut(to).and_then(|machine| machine.voter.as_mut()) {
                    voter.receive(VoterId::from(from) + 1, &body);
                }
                self.process_machine(to);
            }
            AgreementEvent::WatchCallArrives { machine, process, call, from } => {
                let lines = self.machine_mut(machine).and_then(|to| to.open_watch(process, call, from));
                match lines {
                    Some(mut lines) => {
                        lines.bytes += encode::WATCH_HEAD.len();
                        self.write_lines(machine, vec![(process, call, Rc::new(lines))]);
                    }
                    None => self
                        .schedule_agreement(self.now + MILLI, AgreementEvent::WatchFailed { process, call }),
                }
            }
            AgreementEvent::WatchLinesArrive { process, call, lines, .. } => {
                let rank = self.processes[process as usize].rank;
                if self.processes[process as usize].alive {
                    self.recorder.record_message(self.now, rank, Function::Config, lines.bytes);
                }
                self.with_learner(process, |learner, now| learner.receive_lines(now, call, &lines));
            }
            AgreementEvent::WatchFailed { process, call } => {
                self.with_learner(process, |learner, now| learner.watch_failed(now, call))
            }
            AgreementEvent::InForceReportArrives { machine, process } => {
                let zone = self.processes[process as usize].zone;
                let Some((machine_zone, up)) =
                    self.machine_mut(machine).map(|to| (to.zone, to.voter.is_some()))
                else {
                    return;
                };
                if up && self.links.is_open_both_ways(zone, machine_zone) {
                    let at = self.now + self.links.delay(machine_zone, zone);
                    self.schedule_agreement(at, AgreementEvent::InForceReportAcknowledged { process });
                }
            }
            AgreementEvent::InForceReportAcknowledged { process } => {
                let rank = self.processes[process as usize].rank;
                if self.processes[process as usize].alive {
                    self.recorder.record_message(self.now, rank, Function::Config, encode::NO_CONTENT.len());
                }
                self.with_learner(process, |learner, now| learner.report_acknowledged(now));
            }
            AgreementEvent::LearnerTimer { process } => {
                self.with_learner(process, |learner, now| learner.timer_fired(now))
            }
            AgreementEvent::ProposeChange { index } => self.propose_change(index),
            AgreementEvent::KillLeader { restart_after } => {
                let leader = (0..MACHINE_COUNT)
                    .find(|&index| self.machine_mut(index).is_some_and(|machine| machine.is_leader()));
                let machine = leader.unwrap_or(0);
                let ended = self.machine_mut(machine).map(|machine| machine.kill()).unwrap_or_default();
                for (process, call) in ended {
                    let zone = self.processes[process as usize].zone;
                    let machine_zone = self.machine_zone(machine);
                    let at = self.now + self.links.delay(machine_zone, zone);
                    self.schedule_agreement(at, AgreementEvent::WatchFailed { process, call });
                }
                // The operators propose the unanswered changes of this machine again, each at a random machine.
                let open: Vec<u32> = self
                    .requested_changes
                    .extract_if(.., |requested| requested.1 == machine)
                    .map(|requested| requested.0)
                    .collect();
                open.into_iter().for_each(|index| {
                    self.schedule_agreement(
                        self.now + PROPOSAL_RETRY_INTERVAL,
                        AgreementEvent::ProposeChange { index },
                    )
                });
                self.schedule_agreement(self.now + restart_after, AgreementEvent::RestartMachine { machine });
            }
            AgreementEvent::RestartMachine { machine } => {
                if let Some(machine) = self.machine_mut(machine) {
                    machine.start();
                }
            }
        }
    }

    /// Proposes a change at a random machine: a new quota of a tenant, or a new aim of a class.
    fn propose_change(&mut self, index: u32) {
        let tenants = self.plan.tenants.max(1);
        let (key, value) = if index.is_multiple_of(3) {
            ("request_classes.batch.aim_us".to_owned(), json!(30 * SECOND + u64::from(index)))
        } else {
            let quotas = self.plan.quotas_and_demand();
            let tenant = index * 7 % tenants;
            let quota = quotas.get(tenant as usize).map_or(1.0, |quota| quota.0);
            (format!("orgs.tenant-{tenant}.quota_rps"), json!(quota * (1.0 + f64::from(index) / 1_000.0)))
        };
        let change = Change { set: [(key, value)].into_iter().collect(), ..Change::default() };
        let (now, machine) = (self.now, self.rng.random_range(0..MACHINE_COUNT));
        match self.machine_mut(machine).map(|machine| machine.propose(now, Some(index), change)) {
            Some(Ok(())) => {
                self.requested_changes.push((index, machine));
                self.process_machine(machine);
            }
            _ => self.schedule_agreement(
                self.now + PROPOSAL_RETRY_INTERVAL,
                AgreementEvent::ProposeChange { index },
            ),
        }
    }

    /// Sends the outgoing messages of a machine, writes new versions on its watches, and handles the outcomes of changes.
    fn process_machine(&mut self, index: u32) {
        let now = self.now;
        let Some(machine) = self.machine_mut(index) else { return };
        let (messages, outcomes) = machine.process_outcomes(now);
        let (updates, zone, learned) = (machine.watch_updates(), machine.zone, machine.learned_versions());
        if let Some(agreement) = &mut self.agreement {
            for (seq, digest) in learned {
                agreement.conflicting_versions +=
                    u64::from(*agreement.known_versions.entry(seq).or_insert(digest) != digest);
            }
        }
        for (to, body) in messages {
            let to = to as u32 - 1;
            let machine_zone = self.machine_zone(to);
            if self.links.is_open_both_ways(zone, machine_zone) {
                let at = now + self.links.delay(zone, machine_zone);
                self.schedule_agreement(
                    at,
                    AgreementEvent::VoterMessage { from: index, to, body: Rc::new(body) },
                );
            }
        }
        self.write_lines(index, updates);
        for outcome in outcomes {
            match outcome {
                ChangeOutcome::Accepted { change, seq, digest } => {
                    if let (Some(change), Some(agreement)) = (change, &mut self.agreement) {
                        agreement.accepted.push((seq, digest, now));
                        agreement.accepted_changes.insert(change);
                    }
                    self.requested_changes.retain(|requested| Some(requested.0) != change);
                }
                ChangeOutcome::Failed(change) => {
                    self.requested_changes.retain(|requested| Some(requested.0) != change);
                    if let Some(index) = change {
                        self.schedule_agreement(
                            now + PROPOSAL_RETRY_INTERVAL,
                            AgreementEvent::ProposeChange { index },
                        );
                    }
                }
            }
        }
    }

    fn write_lines(&mut self, machine: u32, writes: Vec<(u32, u64, Rc<Lines>)>) {
        let machine_zone = self.machine_zone(machine);
        for (process, call, lines) in writes {
            let zone = self.processes[process as usize].zone;
            if self.processes[process as usize].alive && self.links.is_open_both_ways(machine_zone, zone) {
                // Lines on a watch arrive in the order of the writes.
                let at = self.now + self.links.delay(machine_zone, zone);
                let learner = self.processes[process as usize].learner.as_mut();
                let at = learner.map_or(at, |learner| learner.arrival_in_order(at));
                self.schedule_agreement(
                    at,
                    AgreementEvent::WatchLinesArrive { machine, process, call, lines },
                );
            } else if let Some(machine) = self.machine_mut(machine) {
                machine.close_watch(process, call);
            }
        }
    }

    /// The outcome of the settings changes.
    pub(super) fn config_outcome(&self) -> Option<ConfigOutcome> {
        let agreement = self.agreement.as_ref()?;
        let voters = agreement.machines.iter().filter_map(|machine| machine.voter.as_ref());
        let last = voters.map(|voter| voter.decided_version().seq).max().unwrap_or(0);
        let known =
            |seq: u64, digest: Digest| seq <= last && agreement.known_versions.get(&seq) == Some(&digest);
        let lost = agreement.accepted.iter().filter(|(seq, digest, _)| !known(*seq, *digest)).count() as u64;
        let unknown =
            agreement.in_force_reports.iter().filter(|(_, seq, digest, _)| !known(*seq, *digest)).count()
                as u64;
        let mut by_process: BTreeMap<u32, Vec<(u64, Micros)>> = BTreeMap::new();
        for &(process, seq, _, at) in &agreement.in_force_reports {
            by_process.entry(process).or_default().push((seq, at));
        }
        let serving: Vec<u32> =
            (0..self.plan.schedulers).filter_map(|rank| self.live_process(rank)).collect();
        let mut delays = Vec::new();
        let mut behind = 0;
        for process in serving {
            let in_force = by_process.get(&process).map(Vec::as_slice).unwrap_or_default();
            let is_current = in_force.last().is_some_and(|(seq, _)| *seq == last);
            let is_behind = self.processes[process as usize]
                .learner
                .as_ref()
                .is_some_and(|learner| learner.is_behind(self.now));
            behind += u64::from(!is_current || is_behind);
            for &(seq, _, accepted) in &agreement.accepted {
                let reached =
                    in_force.iter().find(|(in_force_seq, _)| *in_force_seq >= seq).map(|(_, at)| *at);
                delays.extend(reached.map(|at| at.saturating_sub(accepted)));
            }
        }
        delays.sort_unstable();
        let quantile =
            |fraction: f64| delays.get((delays.len() as f64 * fraction) as usize).or(delays.last());
        let millis = |delay: Option<&Micros>| delay.map_or(0.0, |delay| *delay as f64 / 1e3);
        Some(ConfigOutcome {
            changes_accepted: agreement.accepted_changes.len() as u64,
            in_force_p99_ms: millis(quantile(0.99)),
            in_force_max_ms: millis(delays.last()),
            behind,
            unagreed: unknown + agreement.conflicting_versions,
            lost_versions: lost,
        })
    }
}
