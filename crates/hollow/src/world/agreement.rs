//! The control machines, the learners at them, and the changes that operators ask for.

use super::*;
use crate::agreed::{self, HEARTBEAT, Lines, MACHINES, Machine, Settled, TICK};
use crate::learners::{Ask, Study};
use crate::ledger::Agreed;
use calicolb::wire;
use calicolb_consensus::{Change, Digest, Document, Version, VoterId};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

/// A change that no machine takes is asked for again after this time.
const ASK_AGAIN: Micros = 200 * MILLI;
/// The last change comes so long before the end of what counts at the latest.
const LAST: Micros = 8 * SECOND;

/// What can happen to the agreed configuration.
pub(crate) enum Word {
    Tick {
        machine: u32,
    },
    Heartbeat {
        machine: u32,
    },
    Talk {
        from: u32,
        to: u32,
        body: Rc<Vec<u8>>,
    },
    Call {
        machine: u32,
        process: u32,
        call: u64,
        from: (u64, Digest),
    },
    Lines {
        machine: u32,
        process: u32,
        call: u64,
        lines: Rc<Lines>,
    },
    Gone {
        process: u32,
        call: u64,
    },
    InForce {
        machine: u32,
        process: u32,
    },
    Heard {
        process: u32,
    },
    Learner {
        process: u32,
    },
    Change {
        nr: u32,
    },
    /// The machine that leads is killed, and starts again after this time.
    Kill {
        back: Micros,
    },
    Back {
        machine: u32,
    },
}

/// See the head of this file.
pub(crate) struct Agreement {
    pub(crate) machines: Vec<Machine>,
    first: Version,
    /// What changes were agreed to be, when their proposer knew.
    accepted: Vec<(u64, Digest, Micros)>,
    /// What came into force at which process, and when.
    forces: Vec<(u32, u64, Digest, Micros)>,
    /// Changes that were agreed.
    done: BTreeSet<u32>,
    /// The versions that the machines came to know, and those that came to be known in two forms.
    chain: BTreeMap<u64, Digest>,
    forked: u64,
}

impl World {
    /// Sets up the control machines: two of five in the first region, the others in the rest.
    pub(super) fn set_up_agreement(&mut self, seed: u64) {
        let zones = 0..self.plan.zones as usize;
        let (first, rest): (Vec<usize>, Vec<usize>) = zones.partition(|&zone| self.links.region(zone) == 0);
        let rest = if rest.is_empty() { first.clone() } else { rest };
        let place = |nr: usize| if nr < 2 { first[nr % first.len()] } else { rest[(nr - 2) % rest.len()] };
        let machines = (0..MACHINES).map(|nr| Machine::new(nr, place(nr as usize), seed)).collect();
        let first = Version::new(0, agreed::document(&self.plan));
        self.agreement = Some(Agreement {
            machines,
            first,
            accepted: Vec::new(),
            forces: Vec::new(),
            done: BTreeSet::new(),
            chain: BTreeMap::new(),
            forked: 0,
        });
        for machine in 0..MACHINES {
            let phase = TICK * u64::from(machine) / u64::from(MACHINES);
            self.lay_word(EPOCH + phase, Word::Tick { machine });
            self.lay_word(EPOCH + phase, Word::Heartbeat { machine });
        }
        let (begin, end) = self.plan.span();
        let step = (end - begin).saturating_sub(LAST).max(1) / u64::from(self.plan.changes.max(1));
        for nr in 0..self.plan.changes {
            self.lay_word(begin + step * u64::from(nr), Word::Change { nr });
        }
        self.lay_word(self.plan.trouble_at(), Word::Kill { back: 10 * SECOND });
    }

    fn lay_word(&mut self, at: Micros, word: Word) {
        self.lay(at, Happening::Agreement(word));
    }

    fn machine(&mut self, nr: u32) -> Option<&mut Machine> {
        self.agreement.as_mut()?.machines.get_mut(nr as usize)
    }

    /// The zone of a control machine.
    pub(super) fn machine_zone(&self, nr: u32) -> usize {
        let machine = self.agreement.as_ref().and_then(|agreement| agreement.machines.get(nr as usize));
        machine.map_or(0, |machine| machine.zone)
    }

    fn first(&self) -> Option<&Document> {
        self.agreement.as_ref().map(|agreement| &*agreement.first.document)
    }

    /// A process begins to learn, where there is something to learn.
    pub(crate) fn begin_learning(&mut self, process: u32) {
        let Some(agreement) = &self.agreement else { return };
        let rank = self.processes[process as usize].rank;
        let seed = self.plan.seed ^ u64::from(process) << 20;
        let settings = self.settings_of(rank);
        let Ok((_, names)) = wire::parse_settings(&self.plan.settings_json().to_string()) else { return };
        let study = Study::new(settings, names, agreement.first.clone(), seed);
        self.processes[process as usize].study = Some(Box::new(study));
        self.learn(process, |study, now| study.start(now));
    }

    /// Tells a learner something, and does what it then wants.
    fn learn(&mut self, process: u32, tell: impl FnOnce(&mut Study, Micros)) {
        let (now, rank) = (self.now, self.processes[process as usize].rank);
        if !self.processes[process as usize].alive {
            return;
        }
        let Some(study) = &mut self.processes[process as usize].study else { return };
        self.ledger.timed(now, rank, || tell(study, now));
        let zone = self.processes[process as usize].zone;
        let asks =
            self.processes[process as usize].study.as_mut().map(|study| study.asks()).unwrap_or_default();
        for ask in asks {
            self.ask(process, rank, zone, ask);
        }
        self.settle(process);
    }

    fn ask(&mut self, process: u32, rank: u32, zone: usize, ask: Ask) {
        let name = format!("n{rank}");
        match ask {
            Ask::Due(at) => self.lay_word(at, Word::Learner { process }),
            Ask::Watch { machine, call, from } => {
                let bytes = encode::control_call(from.0, &from.1.to_string(), &name).len();
                let Some((there, up)) = self.machine(machine).map(|to| (to.zone, to.voter.is_some())) else {
                    return;
                };
                if !self.links.both(zone, there) {
                    return;
                }
                let round = self.links.delay(zone, there) + self.links.delay(there, zone);
                if up {
                    self.ledger.message(self.now, rank, Function::Config, bytes);
                    let at = self.now + round + self.links.delay(zone, there);
                    self.lay_word(at, Word::Call { machine, process, call, from });
                } else {
                    self.lay_word(self.now + round, Word::Gone { process, call });
                }
            }
            Ask::End { machine, call } => {
                if let Some(machine) = self.machine(machine) {
                    machine.end(process, call);
                }
            }
            Ask::Tell { machine, seq } => {
                let there = self.machine_zone(machine);
                if self.links.both(zone, there) {
                    self.ledger.message(
                        self.now,
                        rank,
                        Function::Config,
                        encode::in_force_call(&name, seq).len(),
                    );
                    let at = self.now + 2 * self.links.delay(zone, there) + self.links.delay(there, zone);
                    self.lay_word(at, Word::InForce { machine, process });
                }
            }
            Ask::TakeUp(settings, in_force) => {
                self.processes[process as usize].renew(*settings);
                if let Some(agreement) = self.agreement.as_mut().filter(|_| in_force.tightened_to.is_none()) {
                    agreement.forces.push((process, in_force.seq, in_force.digest, self.now));
                }
            }
        }
    }

    pub(super) fn word(&mut self, word: Word) {
        match word {
            Word::Tick { machine } => {
                self.lay_word(self.now + TICK, Word::Tick { machine });
                let (now, first) = (self.now, self.first().cloned().unwrap_or_default());
                let Some(told) = self.machine(machine) else { return };
                if let Some(voter) = &mut told.voter {
                    voter.tick();
                }
                told.begin(now, &first);
                self.settle_machine(machine);
            }
            Word::Heartbeat { machine } => {
                self.lay_word(self.now + HEARTBEAT, Word::Heartbeat { machine });
                let told = self.machine(machine).map(|told| told.heartbeat()).unwrap_or_default();
                self.write_lines(machine, told);
            }
            Word::Talk { from, to, body } => {
                if let Some(voter) = self.machine(to).and_then(|machine| machine.voter.as_mut()) {
                    voter.receive(VoterId::from(from) + 1, &body);
                }
                self.settle_machine(to);
            }
            Word::Call { machine, process, call, from } => {
                let lines = self.machine(machine).and_then(|to| to.watch(process, call, from));
                match lines {
                    Some(mut lines) => {
                        lines.bytes += encode::WATCH_HEAD.len();
                        self.write_lines(machine, vec![(process, call, Rc::new(lines))]);
                    }
                    None => self.lay_word(self.now + MILLI, Word::Gone { process, call }),
                }
            }
            Word::Lines { process, call, lines, .. } => {
                let rank = self.processes[process as usize].rank;
                if self.processes[process as usize].alive {
                    self.ledger.message(self.now, rank, Function::Config, lines.bytes);
                }
                self.learn(process, |study, now| study.hear(now, call, &lines));
            }
            Word::Gone { process, call } => self.learn(process, |study, now| study.broke(now, call)),
            Word::InForce { machine, process } => {
                let zone = self.processes[process as usize].zone;
                let Some((there, up)) = self.machine(machine).map(|to| (to.zone, to.voter.is_some())) else {
                    return;
                };
                if up && self.links.both(zone, there) {
                    let at = self.now + self.links.delay(there, zone);
                    self.lay_word(at, Word::Heard { process });
                }
            }
            Word::Heard { process } => {
                let rank = self.processes[process as usize].rank;
                if self.processes[process as usize].alive {
                    self.ledger.message(self.now, rank, Function::Config, encode::NO_CONTENT.len());
                }
                self.learn(process, |study, now| study.told(now));
            }
            Word::Learner { process } => self.learn(process, |study, now| study.due(now)),
            Word::Change { nr } => self.change(nr),
            Word::Kill { back } => {
                let leader =
                    (0..MACHINES).find(|&nr| self.machine(nr).is_some_and(|machine| machine.leads()));
                let machine = leader.unwrap_or(0);
                let ended = self.machine(machine).map(|machine| machine.kill()).unwrap_or_default();
                for (process, call) in ended {
                    let zone = self.processes[process as usize].zone;
                    let there = self.machine_zone(machine);
                    let at = self.now + self.links.delay(there, zone);
                    self.lay_word(at, Word::Gone { process, call });
                }
                // What it had not answered, its operator asks for again elsewhere.
                let open: Vec<u32> =
                    self.asked.extract_if(.., |asked| asked.1 == machine).map(|asked| asked.0).collect();
                open.into_iter().for_each(|nr| self.lay_word(self.now + ASK_AGAIN, Word::Change { nr }));
                self.lay_word(self.now + back, Word::Back { machine });
            }
            Word::Back { machine } => {
                if let Some(machine) = self.machine(machine) {
                    machine.start();
                }
            }
        }
    }

    /// Operators ask some machine for a change: another quota of a tenant, or another aim of a class.
    fn change(&mut self, nr: u32) {
        let tenants = self.plan.tenants.max(1);
        let (key, value) = if nr.is_multiple_of(3) {
            ("request_classes.batch.aim_us".to_owned(), json!(30 * SECOND + u64::from(nr)))
        } else {
            let quotas = self.plan.quotas();
            let tenant = nr * 7 % tenants;
            let quota = quotas.get(tenant as usize).map_or(1.0, |quota| quota.0);
            (format!("orgs.tenant-{tenant}.quota_rps"), json!(quota * (1.0 + f64::from(nr) / 1_000.0)))
        };
        let change = Change { set: [(key, value)].into_iter().collect(), ..Change::default() };
        let (now, machine) = (self.now, self.rng.random_range(0..MACHINES));
        match self.machine(machine).map(|machine| machine.propose(now, Some(nr), change)) {
            Some(Ok(())) => {
                self.asked.push((nr, machine));
                self.settle_machine(machine);
            }
            _ => self.lay_word(self.now + ASK_AGAIN, Word::Change { nr }),
        }
    }

    /// Ends a turn of a machine: what its voter wants said goes out, and what is new is told.
    fn settle_machine(&mut self, nr: u32) {
        let now = self.now;
        let Some(machine) = self.machine(nr) else { return };
        let (messages, settled) = machine.settle(now);
        let (news, zone, learned) = (machine.news(), machine.zone, machine.learned());
        if let Some(agreement) = &mut self.agreement {
            for (seq, digest) in learned {
                agreement.forked += u64::from(*agreement.chain.entry(seq).or_insert(digest) != digest);
            }
        }
        for (to, body) in messages {
            let to = to as u32 - 1;
            let there = self.machine_zone(to);
            if self.links.both(zone, there) {
                let at = now + self.links.delay(zone, there);
                self.lay_word(at, Word::Talk { from: nr, to, body: Rc::new(body) });
            }
        }
        self.write_lines(nr, news);
        for settled in settled {
            match settled {
                Settled::Agreed { change, seq, digest } => {
                    if let (Some(change), Some(agreement)) = (change, &mut self.agreement) {
                        agreement.accepted.push((seq, digest, now));
                        agreement.done.insert(change);
                    }
                    self.asked.retain(|asked| Some(asked.0) != change);
                }
                Settled::Not(change) => {
                    self.asked.retain(|asked| Some(asked.0) != change);
                    if let Some(nr) = change {
                        self.lay_word(now + ASK_AGAIN, Word::Change { nr });
                    }
                }
            }
        }
    }

    fn write_lines(&mut self, machine: u32, told: Vec<(u32, u64, Rc<Lines>)>) {
        let there = self.machine_zone(machine);
        for (process, call, lines) in told {
            let zone = self.processes[process as usize].zone;
            if self.processes[process as usize].alive && self.links.both(there, zone) {
                // In order: what is written later never overtakes.
                let at = self.now + self.links.delay(there, zone);
                let study = self.processes[process as usize].study.as_mut();
                let at = study.map_or(at, |study| study.arrives(at));
                self.lay_word(at, Word::Lines { machine, process, call, lines });
            } else if let Some(machine) = self.machine(machine) {
                machine.end(process, call);
            }
        }
    }

    /// What became of the changes.
    pub(super) fn agreed(&self) -> Option<Agreed> {
        let agreement = self.agreement.as_ref()?;
        let voters = agreement.machines.iter().filter_map(|machine| machine.voter.as_ref());
        let last = voters.map(|voter| voter.decided_version().seq).max().unwrap_or(0);
        let known = |seq: u64, digest: Digest| seq <= last && agreement.chain.get(&seq) == Some(&digest);
        let lost = agreement.accepted.iter().filter(|(seq, digest, _)| !known(*seq, *digest)).count() as u64;
        let strange =
            agreement.forces.iter().filter(|(_, seq, digest, _)| !known(*seq, *digest)).count() as u64;
        let mut by_process: BTreeMap<u32, Vec<(u64, Micros)>> = BTreeMap::new();
        for &(process, seq, _, at) in &agreement.forces {
            by_process.entry(process).or_default().push((seq, at));
        }
        let serving: Vec<u32> = (0..self.plan.schedulers).filter_map(|rank| self.alive(rank)).collect();
        let mut spans = Vec::new();
        let mut behind = 0;
        for process in serving {
            let forces = by_process.get(&process).map(Vec::as_slice).unwrap_or_default();
            let level = forces.last().is_some_and(|(seq, _)| *seq == last);
            let knows =
                self.processes[process as usize].study.as_ref().is_some_and(|study| study.behind(self.now));
            behind += u64::from(!level || knows);
            for &(seq, _, accepted) in &agreement.accepted {
                let reached = forces.iter().find(|(there, _)| *there >= seq).map(|(_, at)| *at);
                spans.extend(reached.map(|at| at.saturating_sub(accepted)));
            }
        }
        spans.sort_unstable();
        let at = |part: f64| spans.get((spans.len() as f64 * part) as usize).or(spans.last());
        let millis = |span: Option<&Micros>| span.map_or(0.0, |span| *span as f64 / 1e3);
        Some(Agreed {
            changes_accepted: agreement.done.len() as u64,
            in_force_p99_ms: millis(at(0.99)),
            in_force_max_ms: millis(spans.last()),
            behind,
            unagreed: strange + agreement.forked,
            lost_versions: lost,
        })
    }
}
