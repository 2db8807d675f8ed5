//! The scenarios: random faults, and a few specific faults.

use super::PAUSE_TICKS;
use super::invariants::{CONVERGENCE, FAILOVER_IN_TIME, MINORITY_DECIDES_NOTHING, Violation};
use super::simulation::{NetworkConditions, RELIABLE_NETWORK, Simulation, set};
use super::subjects::{Defect, VOTER_IDS};
use calicolb_consensus::{Outcome, limits};

/// The number of ticks with random faults.
const FAULT_TICKS: u64 = 250;
/// The number of ticks without faults within which all machines and learners must converge.
pub const CONVERGENCE_TICKS: u64 = 150;
/// The number of ticks after the start within which there must be a majority.
const STARTUP_TICKS: u64 = 60;
/// The number of ticks after the failure of the leader within which a change that is proposed repeatedly must be in
/// force at every learner: 5 s.
pub const FAILOVER_TICKS: u64 = 50;

fn violation<T>(invariant: &'static str, details: impl Into<String>) -> Result<T, Violation> {
    Err(Violation { invariant, details: details.into() })
}

/// The outcomes of one run.
#[derive(Debug, Default, Clone, Copy)]
pub struct Summary {
    pub decided: u64,
    pub invalidated: u64,
    pub unknown: u64,
    pub tightened: u64,
    pub convergence_ticks: u64,
}

/// Starts a simulation and waits until all voters have a majority.
fn ready(seed: u64, defect: Defect) -> Result<Simulation, Violation> {
    let mut simulation = Simulation::new(seed, defect);
    match simulation.run_until(STARTUP_TICKS, |simulation| {
        VOTER_IDS.iter().all(|id| simulation.voter(*id).unwrap().has_majority())
    })? {
        Some(_) => Ok(simulation),
        None => violation(CONVERGENCE, format!("no majority {STARTUP_TICKS} ticks after the start")),
    }
}

/// Ends all faults and waits until all machines and learners converge.
fn heal_and_converge(simulation: &mut Simulation) -> Result<Summary, Violation> {
    simulation.conditions = RELIABLE_NETWORK;
    simulation.cuts.clear();
    for id in VOTER_IDS {
        if !simulation.is_up(id) {
            simulation.start(id);
        }
    }
    // After this, one more change must reach all of them, whatever the state was before.
    let Some(ticks) = simulation.run_until(CONVERGENCE_TICKS, Simulation::has_converged)? else {
        let state: Vec<_> = VOTER_IDS
            .iter()
            .map(|id| simulation.voter(*id).map(|voter| (voter.decided_version().seq, voter.has_majority())))
            .collect();
        return violation(
            CONVERGENCE,
            format!("no convergence {CONVERGENCE_TICKS} ticks after the last fault: {state:?}"),
        );
    };
    let leader = simulation.leader().unwrap_or(1);
    let value = simulation.rng.i64(1_000..);
    let ticket = simulation.propose(leader, set("last", value));
    let Some(seq) = ticket.ok().and_then(|ticket| {
        simulation
            .run_until(CONVERGENCE_TICKS, |simulation| {
                matches!(simulation.outcome(leader, ticket), Some(Outcome::Decided { .. }))
            })
            .ok()?;
        match simulation.outcome(leader, ticket) {
            Some(Outcome::Decided { seq, .. }) => Some(seq),
            _ => None,
        }
    }) else {
        return violation(CONVERGENCE, "the final change was not decided");
    };
    if simulation
        .run_until(CONVERGENCE_TICKS, |simulation| {
            simulation.are_learners_at(seq) && simulation.has_converged()
        })?
        .is_none()
    {
        return violation(CONVERGENCE, "the final change is not in force everywhere");
    }
    let last = simulation.voter(leader).map_or(0, |voter| voter.decided_version().seq);
    simulation.checker.check_final_state(last)?;
    let checker = &simulation.checker;
    let (decided, invalidated, unknown, tightened) =
        (checker.decided, checker.invalidated, checker.unknown, checker.tightened);
    Ok(Summary { decided, invalidated, unknown, tightened, convergence_ticks: ticks })
}

/// Injects one random fault.
fn inject_fault(simulation: &mut Simulation) {
    let random_id = simulation.rng.choice(VOTER_IDS).unwrap_or(1);
    let leader = simulation.leader();
    match simulation.rng.u8(..12) {
        0 | 1 => {
            if simulation.up().len() > 3 {
                simulation.kill(leader.unwrap_or(random_id));
            }
        }
        2 => {
            if simulation.up().len() > 3 {
                simulation.kill(random_id);
            }
        }
        3..=5 => {
            for id in VOTER_IDS {
                if !simulation.is_up(id) {
                    simulation.start(id);
                }
            }
        }
        6 => {
            for id in VOTER_IDS {
                simulation.kill(id);
            }
            for id in VOTER_IDS {
                simulation.start(id);
            }
        }
        7 => {
            let mut ids = VOTER_IDS;
            simulation.rng.shuffle(&mut ids);
            simulation.partition(&ids[..2]);
        }
        8 => {
            let other = simulation.rng.choice(VOTER_IDS).unwrap_or(2);
            simulation.cuts.insert((random_id, other));
        }
        9 => {
            let until = simulation.now + PAUSE_TICKS * super::simulation::TICK_MS;
            simulation.nodes.get_mut(&leader.unwrap_or(random_id)).unwrap().paused_until = until;
        }
        _ => simulation.cuts.clear(),
    }
}

/// Runs random faults, then waits for convergence.
pub fn random_faults(seed: u64, defect: Defect) -> Result<Summary, Violation> {
    let mut simulation = ready(seed, defect)?;
    let loss = simulation.rng.f64() * 0.15;
    let duplication = simulation.rng.f64() * 0.2;
    let delay_ms = simulation.rng.u64(5..150);
    simulation.conditions = NetworkConditions { loss, duplication, delay_ms };
    let mut elapsed_ticks = 0;
    while elapsed_ticks < FAULT_TICKS {
        if simulation.rng.u8(..10) == 0 {
            inject_fault(&mut simulation);
        }
        if simulation.rng.u8(..3) == 0 {
            let proposer = simulation.rng.choice(VOTER_IDS).unwrap_or(1);
            let change = simulation.random_change();
            let _ = simulation.propose(proposer, change);
        }
        if simulation.rng.u8(..6) == 0 {
            // Two concurrent changes of which only one is valid.
            for key in ["q0", "q1"] {
                let proposer = simulation.rng.choice(VOTER_IDS).unwrap_or(1);
                let _ = simulation.propose(proposer, set(key, 12));
            }
        }
        let step = simulation.rng.u64(1..5);
        simulation.run(step)?;
        elapsed_ticks += step;
    }
    heal_and_converge(&mut simulation)
}

/// Separates two machines from the other three, with the leader on either side, then reconnects them.
pub fn partition_and_heal(seed: u64, defect: Defect) -> Result<Summary, Violation> {
    let mut simulation = ready(seed, defect)?;
    simulation.run(20)?;
    let mut ids = VOTER_IDS;
    simulation.rng.shuffle(&mut ids);
    let (minority, majority_side) = ids.split_at(2);
    simulation.partition(minority);
    let pending = simulation.propose(minority[0], set("few", 1));
    // Messages that were in transit have now arrived.
    simulation.run(1)?;
    let previous_seq =
        minority.iter().map(|id| simulation.voter(*id).unwrap().decided_version().seq).max().unwrap_or(0);
    simulation.run(limits::MAJORITY_LOSS_TICKS)?;
    for id in minority {
        if simulation.voter(*id).unwrap().has_majority() {
            return violation(
                MINORITY_DECIDES_NOTHING,
                format!(
                    "voter {id} reports a majority {} ticks after the partition",
                    limits::MAJORITY_LOSS_TICKS
                ),
            );
        }
        if simulation.propose(*id, set("few", 2)).is_ok() {
            return violation(
                MINORITY_DECIDES_NOTHING,
                format!("voter {id} accepts a proposal without a majority"),
            );
        }
    }
    let machine_with_majority = |simulation: &Simulation| {
        majority_side.iter().find(|id| simulation.voter(**id).unwrap().has_majority()).copied()
    };
    if simulation
        .run_until(limits::MAJORITY_LOSS_TICKS, |simulation| machine_with_majority(simulation).is_some())?
        .is_none()
    {
        return violation(MINORITY_DECIDES_NOTHING, "no voter of the majority reports a majority");
    }
    let proposer = machine_with_majority(&simulation).unwrap_or(majority_side[0]);
    let Ok(ticket) = simulation.propose(proposer, set("many", 1)) else {
        return violation(MINORITY_DECIDES_NOTHING, "the majority rejects a proposal");
    };
    simulation.run(50)?;
    if !matches!(simulation.outcome(proposer, ticket), Some(Outcome::Decided { .. })) {
        return violation(MINORITY_DECIDES_NOTHING, "the majority did not decide the change");
    }
    for id in minority {
        let now = simulation.voter(*id).unwrap().decided_version().seq;
        if now > previous_seq {
            return violation(
                MINORITY_DECIDES_NOTHING,
                format!("voter {id} went from version {previous_seq} to {now}"),
            );
        }
    }
    let _ = pending;
    heal_and_converge(&mut simulation)
}

/// Pauses the leader for 5 s while the others continue. On waking, it must not report a majority.
pub fn pause_leader(seed: u64, defect: Defect) -> Result<Summary, Violation> {
    let mut simulation = ready(seed, defect)?;
    simulation.run(20)?;
    let id = simulation.leader().unwrap_or(1);
    simulation.nodes.get_mut(&id).unwrap().paused_until =
        simulation.now + PAUSE_TICKS * super::simulation::TICK_MS;
    simulation.run(PAUSE_TICKS - 10)?;
    let other = VOTER_IDS.into_iter().find(|other| *other != id).unwrap_or(2);
    let _ = simulation.propose(other, set("k", 1));
    // The machine receives nothing when it wakes: neither queued messages nor new ones.
    simulation.drop_packets_to(id);
    for from in VOTER_IDS.into_iter().filter(|from| *from != id) {
        simulation.cuts.insert((from, id));
    }
    let is_awake = |simulation: &Simulation| simulation.nodes[&id].paused_until == 0;
    simulation.run_until(PAUSE_TICKS, is_awake)?;
    if simulation.voter(id).unwrap().has_majority() {
        return violation(MINORITY_DECIDES_NOTHING, format!("voter {id} reports a majority on waking"));
    }
    heal_and_converge(&mut simulation)
}

/// The way in which a leader fails.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LeaderFailure {
    /// The process is killed. Connected learners notice it.
    Process,
    /// The processes of the leader and of another machine are killed.
    TwoProcesses,
    /// The machine disappears. Connected learners notice only that it is silent.
    Machine,
}

/// Stops the leader and proposes a change at once, which must be in force in time. Returns the number of ticks this
/// took.
pub fn leader_fails(seed: u64, defect: Defect, failure: LeaderFailure) -> Result<u64, Violation> {
    let mut simulation = ready(seed, defect)?;
    simulation.kills_are_visible = failure != LeaderFailure::Machine;
    let start = simulation.rng.u64(20..40);
    simulation.run(start)?;
    let Some(leader) = simulation.leader() else {
        return violation(FAILOVER_IN_TIME, "there is no leader to stop");
    };
    simulation.kill(leader);
    if failure == LeaderFailure::TwoProcesses {
        let up = simulation.up();
        let other = simulation.rng.choice(up).unwrap_or(1);
        simulation.kill(other);
    }
    let (mut ticks, mut ticket) = (0, None);
    let proposer = simulation.up()[0];
    loop {
        if ticket.is_none() {
            ticket = simulation.propose(proposer, set("k", 7)).ok();
        }
        let decided = ticket.and_then(|ticket| simulation.outcome(proposer, ticket));
        if let Some(Outcome::Decided { seq, .. }) = decided
            && simulation.are_learners_at(seq)
        {
            heal_and_converge(&mut simulation)?;
            return Ok(ticks);
        }
        if ticks >= FAILOVER_TICKS {
            return violation(
                FAILOVER_IN_TIME,
                format!("the change is not in force after {ticks} ticks: {decided:?}"),
            );
        }
        simulation.run(1)?;
        ticks += 1;
    }
}
