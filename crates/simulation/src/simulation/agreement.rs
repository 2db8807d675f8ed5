//! The control machines, the learners at them, and the changes that operators ask for.

use super::*;
use crate::config_learner::{ConfigLearner, LearnerCommand};
use crate::control_machines::{
    self, ChangeOutcome, ControlMachine, HEARTBEAT_INTERVAL, Lines, MACHINE_COUNT, VOTER_TICK,
};
use crate::recorder::ConfigOutcome;
use calicolb::wire;
use calicolb_agreed::{Change, Digest, Document, Version, VoterId};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

/// A change that no machine takes is asked for again after this time.
const PROPOSAL_RETRY_INTERVAL: Micros = 200 * MILLI;
/// The last change comes so long before the end of what counts at the latest.
const FINAL_CHANGE_MARGIN: Micros = 8 * SECOND;

/// What can happen to the agreed configuration.
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
    /// The machine that leads is killed, and starts again after this time.
    KillLeader {
        restart_after: Micros,
    },
    RestartMachine {
        machine: u32,
    },
}

/// See the head of this file.
pub(crate) struct Agreement {
    pub(crate) machines: Vec<ControlMachine>,
    initial_version: Version,
    /// What changes were agreed to be, when their proposer knew.
    accepted: Vec<(u64, Digest, Micros)>,
    /// What came into force at which process, and when.
    in_force_reports: Vec<(u32, u64, Digest, Micros)>,
    /// Changes that were agreed.
    accepted_changes: BTreeSet<u32>,
    /// The versions that the machines came to know, and those that came to be known in two forms.
    known_versions: BTreeMap<u64, Digest>,
    conflicting_versions: u64,
}

impl Simulation {
    /// Sets up the control machines: two of five in the first region, the others in the rest.
    pub(super) fn set_up_agreement(&mut self, seed: u64) {
        let zones = 0..self.plan.zones as usize;
        let (first, rest): (Vec<usize>, Vec<usize>) = zones.partition(|&zone| self.links.region(zone) == 0);
        let rest = if rest.is_empty() { first.clone() } else { rest };
        let place = |index: usize| {
            if index < 2 { first[index % first.len()] } else { rest[(index - 2) % rest.len()] }
        };
        let machines =
            (0..MACHINE_COUNT).map(|index| ControlMachine::new(index, place(index as usize), seed)).collect();
        let first = Version::new(0, control_machines::settings_document(&self.plan));
        self.agreement = Some(Agreement {
            machines,
            initial_version: first,
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

    fn schedule_agreement(&mut self, at: Micros, word: AgreementEvent) {
        self.schedule(at, SimEvent::Agreement(word));
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

    /// A process begins to learn, where there is something to learn.
    pub(crate) fn start_learner(&mut self, process: u32) {
        let Some(agreement) = &self.agreement else { return };
        let rank = self.processes[process as usize].rank;
        let seed = self.plan.seed ^ u64::from(process) << 20;
        let settings = self.initial_settings(rank);
        let Ok((_, names)) = wire::parse_settings(&self.plan.settings_json().to_string()) else { return };
        let study = ConfigLearner::new(settings, names, agreement.initial_version.clone(), seed);
        self.processes[process as usize].learner = Some(Box::new(study));
        self.with_learner(process, |study, now| study.start(now));
    }

    /// Tells a learner something, and does what it then wants.
    fn with_learner(&mut self, process: u32, tell: impl FnOnce(&mut ConfigLearner, Micros)) {
        let (now, rank) = (self.now, self.processes[process as usize].rank);
        if !self.processes[process as usize].alive {
            return;
        }
        let Some(study) = &mut self.processes[process as usize].learner else { return };
        self.recorder.time_control_event(now, rank, || tell(study, now));
        let zone = self.processes[process as usize].zone;
        let asks = self.processes[process as usize]
            .learner
            .as_mut()
            .map(|study| study.take_commands())
            .unwrap_or_default();
        for ask in asks {
            self.execute_learner_command(process, rank, zone, ask);
        }
        self.process_pending(process);
    }

    fn execute_learner_command(&mut self, process: u32, rank: u32, zone: usize, ask: LearnerCommand) {
        let name = format!("n{rank}");
        match ask {
            LearnerCommand::SetTimer(at) => {
                self.schedule_agreement(at, AgreementEvent::LearnerTimer { process })
            }
            LearnerCommand::OpenWatch { machine, call, from } => {
                let bytes = encode::control_watch_request(from.0, &from.1.to_string(), &name).len();
                let Some((there, up)) = self.machine_mut(machine).map(|to| (to.zone, to.voter.is_some()))
                else {
                    return;
                };
                if !self.links.is_open_both_ways(zone, there) {
                    return;
                }
                let round = self.links.delay(zone, there) + self.links.delay(there, zone);
                if up {
                    self.recorder.record_message(self.now, rank, Function::Config, bytes);
                    let at = self.now + round + self.links.delay(zone, there);
                    self.schedule_agreement(
                        at,
                        AgreementEvent::WatchCallArrives { machine, process, call, from },
                    );
                } else {
                    self.schedule_agreement(self.now + round, AgreementEvent::WatchFailed { process, call });
                }
            }
            LearnerCommand::CloseWatch { machine, call } => {
                if let Some(machine) = self.machine_mut(machine) {
                    machine.close_watch(process, call);
                }
            }
            LearnerCommand::ReportInForce { machine, seq } => {
                let there = self.machine_zone(machine);
                if self.links.is_open_both_ways(zone, there) {
                    self.recorder.record_message(
                        self.now,
                        rank,
                        Function::Config,
                        encode::in_force_report(&name, seq).len(),
                    );
                    let at = self.now + 2 * self.links.delay(zone, there) + self.links.delay(there, zone);
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

    pub(super) fn handle_agreement_event(&mut self, word: AgreementEvent) {
        match word {
            AgreementEvent::VoterTick { machine } => {
                self.schedule_agreement(self.now + VOTER_TICK, AgreementEvent::VoterTick { machine });
                let (now, first) = (self.now, self.initial_document().cloned().unwrap_or_default());
                let Some(told) = self.machine_mut(machine) else { return };
                if let Some(voter) = &mut told.voter {
                    voter.tick();
                }
                told.propose_initial(now, &first);
                self.process_machine(machine);
            }
            AgreementEvent::Heartbeat { machine } => {
                self.schedule_agreement(self.now + HEARTBEAT_INTERVAL, AgreementEvent::Heartbeat { machine });
                let told = self.machine_mut(machine).map(|told| told.heartbeats()).unwrap_or_default();
                self.write_lines(machine, told);
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
                self.with_learner(process, |study, now| study.receive_lines(now, call, &lines));
            }
            AgreementEvent::WatchFailed { process, call } => {
                self.with_learner(process, |study, now| study.watch_failed(now, call))
            }
            AgreementEvent::InForceReportArrives { machine, process } => {
                let zone = self.processes[process as usize].zone;
                let Some((there, up)) = self.machine_mut(machine).map(|to| (to.zone, to.voter.is_some()))
                else {
                    return;
                };
                if up && self.links.is_open_both_ways(zone, there) {
                    let at = self.now + self.links.delay(there, zone);
                    self.schedule_agreement(at, AgreementEvent::InForceReportAcknowledged { process });
                }
            }
            AgreementEvent::InForceReportAcknowledged { process } => {
                let rank = self.processes[process as usize].rank;
                if self.processes[process as usize].alive {
                    self.recorder.record_message(self.now, rank, Function::Config, encode::NO_CONTENT.len());
                }
                self.with_learner(process, |study, now| study.report_acknowledged(now));
            }
            AgreementEvent::LearnerTimer { process } => {
                self.with_learner(process, |study, now| study.timer_fired(now))
            }
            AgreementEvent::ProposeChange { index } => self.propose_change(index),
            AgreementEvent::KillLeader { restart_after: back } => {
                let leader = (0..MACHINE_COUNT)
                    .find(|&index| self.machine_mut(index).is_some_and(|machine| machine.is_leader()));
                let machine = leader.unwrap_or(0);
                let ended = self.machine_mut(machine).map(|machine| machine.kill()).unwrap_or_default();
                for (process, call) in ended {
                    let zone = self.processes[process as usize].zone;
                    let there = self.machine_zone(machine);
                    let at = self.now + self.links.delay(there, zone);
                    self.schedule_agreement(at, AgreementEvent::WatchFailed { process, call });
                }
                // What it had not answered, its operator asks for again elsewhere.
                let open: Vec<u32> = self
                    .requested_changes
                    .extract_if(.., |asked| asked.1 == machine)
                    .map(|asked| asked.0)
                    .collect();
                open.into_iter().for_each(|index| {
                    self.schedule_agreement(
                        self.now + PROPOSAL_RETRY_INTERVAL,
                        AgreementEvent::ProposeChange { index },
                    )
                });
                self.schedule_agreement(self.now + back, AgreementEvent::RestartMachine { machine });
            }
            AgreementEvent::RestartMachine { machine } => {
                if let Some(machine) = self.machine_mut(machine) {
                    machine.start();
                }
            }
        }
    }

    /// Operators ask some machine for a change: another quota of a tenant, or another aim of a class.
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

    /// Ends a turn of a machine: what its voter wants said goes out, and what is new is told.
    fn process_machine(&mut self, index: u32) {
        let now = self.now;
        let Some(machine) = self.machine_mut(index) else { return };
        let (messages, settled) = machine.process_outcomes(now);
        let (news, zone, learned) = (machine.watch_updates(), machine.zone, machine.learned_versions());
        if let Some(agreement) = &mut self.agreement {
            for (seq, digest) in learned {
                agreement.conflicting_versions +=
                    u64::from(*agreement.known_versions.entry(seq).or_insert(digest) != digest);
            }
        }
        for (to, body) in messages {
            let to = to as u32 - 1;
            let there = self.machine_zone(to);
            if self.links.is_open_both_ways(zone, there) {
                let at = now + self.links.delay(zone, there);
                self.schedule_agreement(
                    at,
                    AgreementEvent::VoterMessage { from: index, to, body: Rc::new(body) },
                );
            }
        }
        self.write_lines(index, news);
        for settled in settled {
            match settled {
                ChangeOutcome::Accepted { change, seq, digest } => {
                    if let (Some(change), Some(agreement)) = (change, &mut self.agreement) {
                        agreement.accepted.push((seq, digest, now));
                        agreement.accepted_changes.insert(change);
                    }
                    self.requested_changes.retain(|asked| Some(asked.0) != change);
                }
                ChangeOutcome::Failed(change) => {
                    self.requested_changes.retain(|asked| Some(asked.0) != change);
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

    fn write_lines(&mut self, machine: u32, told: Vec<(u32, u64, Rc<Lines>)>) {
        let there = self.machine_zone(machine);
        for (process, call, lines) in told {
            let zone = self.processes[process as usize].zone;
            if self.processes[process as usize].alive && self.links.is_open_both_ways(there, zone) {
                // In order: what is written later never overtakes.
                let at = self.now + self.links.delay(there, zone);
                let study = self.processes[process as usize].learner.as_mut();
                let at = study.map_or(at, |study| study.arrival_in_order(at));
                self.schedule_agreement(
                    at,
                    AgreementEvent::WatchLinesArrive { machine, process, call, lines },
                );
            } else if let Some(machine) = self.machine_mut(machine) {
                machine.close_watch(process, call);
            }
        }
    }

    /// What became of the changes.
    pub(super) fn config_outcome(&self) -> Option<ConfigOutcome> {
        let agreement = self.agreement.as_ref()?;
        let voters = agreement.machines.iter().filter_map(|machine| machine.voter.as_ref());
        let last = voters.map(|voter| voter.agreed().seq).max().unwrap_or(0);
        let known =
            |seq: u64, digest: Digest| seq <= last && agreement.known_versions.get(&seq) == Some(&digest);
        let lost = agreement.accepted.iter().filter(|(seq, digest, _)| !known(*seq, *digest)).count() as u64;
        let strange =
            agreement.in_force_reports.iter().filter(|(_, seq, digest, _)| !known(*seq, *digest)).count()
                as u64;
        let mut by_process: BTreeMap<u32, Vec<(u64, Micros)>> = BTreeMap::new();
        for &(process, seq, _, at) in &agreement.in_force_reports {
            by_process.entry(process).or_default().push((seq, at));
        }
        let serving: Vec<u32> =
            (0..self.plan.schedulers).filter_map(|rank| self.live_process(rank)).collect();
        let mut spans = Vec::new();
        let mut behind = 0;
        for process in serving {
            let forces = by_process.get(&process).map(Vec::as_slice).unwrap_or_default();
            let level = forces.last().is_some_and(|(seq, _)| *seq == last);
            let knows = self.processes[process as usize]
                .learner
                .as_ref()
                .is_some_and(|study| study.is_behind(self.now));
            behind += u64::from(!level || knows);
            for &(seq, _, accepted) in &agreement.accepted {
                let reached = forces.iter().find(|(there, _)| *there >= seq).map(|(_, at)| *at);
                spans.extend(reached.map(|at| at.saturating_sub(accepted)));
            }
        }
        spans.sort_unstable();
        let at = |part: f64| spans.get((spans.len() as f64 * part) as usize).or(spans.last());
        let millis = |span: Option<&Micros>| span.map_or(0.0, |span| *span as f64 / 1e3);
        Some(ConfigOutcome {
            changes_accepted: agreement.accepted_changes.len() as u64,
            in_force_p99_ms: millis(at(0.99)),
            in_force_max_ms: millis(spans.last()),
            behind,
            unagreed: strange + agreement.conflicting_versions,
            lost_versions: lost,
        })
    }
}
