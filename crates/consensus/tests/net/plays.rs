//! What is played: a storm of faults at random, and a few troubles one by one.

use super::PAUSE_TICKS;
use super::claims::{Broken, DEATH, LEVEL, MINORITY};
use super::parts::{Defect, IDS};
use super::world::{CALM, Weather, World, set};
use calicolb_consensus::{Outcome, limits};

/// Ticks of a storm.
const STORM: u64 = 250;
/// After this many calm ticks all have to be level.
pub const LEVEL_TICKS: u64 = 150;
/// Ticks until a majority, at the start.
const READY_TICKS: u64 = 60;
/// Ticks from a leader's death until a change that is proposed again and again is in force at every learner: 5 s.
pub const DEATH_TICKS: u64 = 50;

fn broken<T>(claim: &'static str, how: impl Into<String>) -> Result<T, Broken> {
    Err(Broken { claim, how: how.into() })
}

/// What a play saw.
#[derive(Debug, Default, Clone, Copy)]
pub struct Account {
    pub agreed: u64,
    pub void: u64,
    pub unknown: u64,
    pub tightened: u64,
    pub level_ticks: u64,
}

fn ready(seed: u64, defect: Defect) -> Result<World, Broken> {
    let mut world = World::new(seed, defect);
    match world
        .run_until(READY_TICKS, |world| IDS.iter().all(|id| world.part(*id).unwrap().has_majority()))?
    {
        Some(_) => Ok(world),
        None => broken(LEVEL, format!("no majority {READY_TICKS} ticks after the start")),
    }
}

/// Ends all troubles and waits until all are level.
fn settle(world: &mut World) -> Result<Account, Broken> {
    world.weather = CALM;
    world.cuts.clear();
    for id in IDS {
        if !world.is_up(id) {
            world.start(id);
        }
    }
    // A change that all have to get, whatever was under way.
    let Some(level) = world.run_until(LEVEL_TICKS, World::is_level)? else {
        let state: Vec<_> = IDS
            .iter()
            .map(|id| world.part(*id).map(|p| (p.decided_version().seq, p.has_majority())))
            .collect();
        return broken(LEVEL, format!("not level {LEVEL_TICKS} ticks after the storm: {state:?}"));
    };
    let leader = world.leader().unwrap_or(1);
    let value = world.rng.i64(1_000..);
    let ticket = world.propose(leader, set("last", value));
    let Some(seq) = ticket.ok().and_then(|ticket| {
        world
            .run_until(LEVEL_TICKS, |w| matches!(w.outcome(leader, ticket), Some(Outcome::Decided { .. })))
            .ok()?;
        match world.outcome(leader, ticket) {
            Some(Outcome::Decided { seq, .. }) => Some(seq),
            _ => None,
        }
    }) else {
        return broken(LEVEL, "a last change wasn't agreed");
    };
    if world.run_until(LEVEL_TICKS, |world| world.are_learners_at(seq) && world.is_level())?.is_none() {
        return broken(LEVEL, "a last change isn't in force everywhere");
    }
    let last = world.part(leader).map_or(0, |part| part.decided_version().seq);
    world.ledger.close(last)?;
    let ledger = &world.ledger;
    let (agreed, void, unknown, tightened) = (ledger.agreed, ledger.void, ledger.unknown, ledger.tightened);
    Ok(Account { agreed, void, unknown, tightened, level_ticks: level })
}

/// One trouble of a storm.
fn trouble(world: &mut World) {
    let any = world.rng.choice(IDS).unwrap_or(1);
    let leader = world.leader();
    match world.rng.u8(..12) {
        0 | 1 => {
            if world.up().len() > 3 {
                world.kill(leader.unwrap_or(any));
            }
        }
        2 => {
            if world.up().len() > 3 {
                world.kill(any);
            }
        }
        3..=5 => {
            for id in IDS {
                if !world.is_up(id) {
                    world.start(id);
                }
            }
        }
        6 => {
            for id in IDS {
                world.kill(id);
            }
            for id in IDS {
                world.start(id);
            }
        }
        7 => {
            let mut side = IDS;
            world.rng.shuffle(&mut side);
            world.part_sides(&side[..2]);
        }
        8 => {
            let other = world.rng.choice(IDS).unwrap_or(2);
            world.cuts.insert((any, other));
        }
        9 => {
            let until = world.now + PAUSE_TICKS * super::world::TICK_MS;
            world.nodes.get_mut(&leader.unwrap_or(any)).unwrap().paused_until = until;
        }
        _ => world.cuts.clear(),
    }
}

/// Faults at random, then calm.
pub fn storm(seed: u64, defect: Defect) -> Result<Account, Broken> {
    let mut world = ready(seed, defect)?;
    let loss = world.rng.f64() * 0.15;
    let doubled = world.rng.f64() * 0.2;
    let delay_ms = world.rng.u64(5..150);
    world.weather = Weather { loss, doubled, delay_ms };
    let mut passed = 0;
    while passed < STORM {
        if world.rng.u8(..10) == 0 {
            trouble(&mut world);
        }
        if world.rng.u8(..3) == 0 {
            let at = world.rng.choice(IDS).unwrap_or(1);
            let change = world.any_change();
            let _ = world.propose(at, change);
        }
        if world.rng.u8(..6) == 0 {
            // Two at once of which only one is usable.
            for key in ["q0", "q1"] {
                let at = world.rng.choice(IDS).unwrap_or(1);
                let _ = world.propose(at, set(key, 12));
            }
        }
        let step = world.rng.u64(1..5);
        world.run(step)?;
        passed += step;
    }
    settle(&mut world)
}

/// Regions apart, two machines here and three there, the leader on either side; then together again.
pub fn regions_apart(seed: u64, defect: Defect) -> Result<Account, Broken> {
    let mut world = ready(seed, defect)?;
    world.run(20)?;
    let mut side = IDS;
    world.rng.shuffle(&mut side);
    let (few, many) = side.split_at(2);
    world.part_sides(few);
    let waiting = world.propose(few[0], set("few", 1));
    // Whatever was on its way has arrived.
    world.run(1)?;
    let before = few.iter().map(|id| world.part(*id).unwrap().decided_version().seq).max().unwrap_or(0);
    world.run(limits::MAJORITY_LOSS_TICKS)?;
    for id in few {
        if world.part(*id).unwrap().has_majority() {
            return broken(
                MINORITY,
                format!("{id} says it has a majority {} ticks later", limits::MAJORITY_LOSS_TICKS),
            );
        }
        if world.propose(*id, set("few", 2)).is_ok() {
            return broken(MINORITY, format!("{id} takes a proposal"));
        }
    }
    let decides = |world: &World| many.iter().find(|id| world.part(**id).unwrap().has_majority()).copied();
    if world.run_until(limits::MAJORITY_LOSS_TICKS, |world| decides(world).is_some())?.is_none() {
        return broken(MINORITY, "the majority says that it is none");
    }
    let at = decides(&world).unwrap_or(many[0]);
    let Ok(ticket) = world.propose(at, set("many", 1)) else {
        return broken(MINORITY, "the majority takes no proposal");
    };
    world.run(50)?;
    if !matches!(world.outcome(at, ticket), Some(Outcome::Decided { .. })) {
        return broken(MINORITY, "the majority decides nothing");
    }
    for id in few {
        let now = world.part(*id).unwrap().decided_version().seq;
        if now > before {
            return broken(MINORITY, format!("{id} went from version {before} to {now}"));
        }
    }
    let _ = waiting;
    settle(&mut world)
}

/// A machine is held up for 5 s while the others go on; the moment it wakes it doesn't say that it has a majority.
pub fn pause(seed: u64, defect: Defect) -> Result<Account, Broken> {
    let mut world = ready(seed, defect)?;
    world.run(20)?;
    let id = world.leader().unwrap_or(1);
    world.nodes.get_mut(&id).unwrap().paused_until = world.now + PAUSE_TICKS * super::world::TICK_MS;
    world.run(PAUSE_TICKS - 10)?;
    let other = IDS.into_iter().find(|other| *other != id).unwrap_or(2);
    let _ = world.propose(other, set("k", 1));
    // Nobody else speaks to it as it wakes, and nothing waits for it.
    world.lose(id);
    for from in IDS.into_iter().filter(|from| *from != id) {
        world.cuts.insert((from, id));
    }
    let wakes = |world: &World| world.nodes[&id].paused_until == 0;
    world.run_until(PAUSE_TICKS, wakes)?;
    if world.part(id).unwrap().has_majority() {
        return broken(MINORITY, format!("{id} says on waking that it has a majority"));
    }
    settle(&mut world)
}

/// How a leader ends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Death {
    /// Its process is killed: whoever is connected sees it.
    Process,
    /// So is that of another one.
    TwoProcesses,
    /// The machine goes, and is just silent.
    Machine,
}

/// The leader ends; a change is asked for at once and in force in time.
pub fn leader_dies(seed: u64, defect: Defect, death: Death) -> Result<u64, Broken> {
    let mut world = ready(seed, defect)?;
    world.refuses = death != Death::Machine;
    let start = world.rng.u64(20..40);
    world.run(start)?;
    let Some(leader) = world.leader() else { return broken(DEATH, "no leader to kill") };
    world.kill(leader);
    if death == Death::TwoProcesses {
        let up = world.up();
        let other = world.rng.choice(up).unwrap_or(1);
        world.kill(other);
    }
    let (mut ticks, mut asked) = (0, None);
    let at = world.up()[0];
    loop {
        if asked.is_none() {
            asked = world.propose(at, set("k", 7)).ok();
        }
        let agreed = asked.and_then(|ticket| world.outcome(at, ticket));
        if let Some(Outcome::Decided { seq, .. }) = agreed
            && world.are_learners_at(seq)
        {
            settle(&mut world)?;
            return Ok(ticks);
        }
        if ticks >= DEATH_TICKS {
            return broken(DEATH, format!("not in force after {ticks} ticks: {agreed:?}"));
        }
        world.run(1)?;
        ticks += 1;
    }
}
