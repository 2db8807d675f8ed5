//! Five voters on a network without faults. Some of the voters may be stopped.
#![allow(dead_code)] // Each test program uses only some decided_ticket the helpers.

use calicolb_consensus::store::{MemoryDisk, MemoryStore};
use calicolb_consensus::{Change, Document, Outcome, ProposeError, ValidationError, Voter};
use serde_json::Value;
use std::collections::BTreeMap;

pub const VOTER_IDS: [u64; 5] = [1, 2, 3, 4, 5];

pub fn accept_all(_: &Document) -> Result<(), ValidationError> {
    Ok(())
}

pub fn set(pairs: impl IntoIterator<Item = (String, Value)>) -> Change {
    Change { set: pairs.into_iter().collect(), ..Change::default() }
}

/// The voters by their numbers, and the disks of their stores.
pub struct Cluster {
    pub disks: BTreeMap<u64, MemoryDisk>,
    pub voters: BTreeMap<u64, Voter<MemoryStore>>,
    /// The size of the largest delivered message in bytes.
    pub largest_message: usize,
}

impl Cluster {
    /// Starts all voters.
    pub fn start_all() -> Cluster {
        let disks: BTreeMap<u64, MemoryDisk> =
            VOTER_IDS.into_iter().map(|id| (id, MemoryDisk::default())).collect();
        let mut cluster = Cluster { disks, voters: BTreeMap::new(), largest_message: 0 };
        VOTER_IDS.into_iter().for_each(|id| cluster.start(id));
        cluster
    }

    /// Starts all voters and waits until each has a majority.
    pub fn with_majority() -> Cluster {
        let mut cluster = Cluster::start_all();
        cluster.run_until(|cluster| cluster.voters.values().all(Voter::has_majority));
        cluster
    }

    pub fn start(&mut self, id: u64) {
        let store = self.disks[&id].open().unwrap();
        self.voters.insert(id, Voter::new(id, &VOTER_IDS, store, 7).unwrap());
    }

    /// Delivers messages until there are none. Messages to stopped voters are lost.
    pub fn deliver(&mut self) {
        loop {
            let outgoing = self
                .voters
                .iter_mut()
                .flat_map(|(id, voter)| voter.take_outgoing().into_iter().map(move |message| (*id, message)));
            let messages: Vec<_> = outgoing.collect();
            if messages.is_empty() {
                return;
            }
            for (from, (to, bytes)) in messages {
                self.largest_message = self.largest_message.max(bytes.len());
                if let Some(voter) = self.voters.get_mut(&to) {
                    voter.receive(from, &bytes);
                }
            }
        }
    }

    pub fn tick(&mut self) {
        self.voters.values_mut().for_each(Voter::tick);
        self.deliver();
    }

    /// Ticks until the condition holds, at most 200 times.
    pub fn run_until(&mut self, condition: impl Fn(&Cluster) -> bool) {
        for _ in 0..200 {
            if condition(self) {
                return;
            }
            self.tick();
        }
        panic!("the condition did not hold within 200 ticks");
    }

    /// Proposes a change and waits until it is decided. Returns the number of its version.
    pub fn change(&mut self, id: u64, change: Change) -> u64 {
        self.run_until(|cluster| cluster.voters[&id].has_majority());
        let ticket = self.voters.get_mut(&id).unwrap().propose(change, &accept_all).unwrap();
        for _ in 0..200 {
            self.deliver();
            let outcomes = self.voters.get_mut(&id).unwrap().take_outcomes(&accept_all);
            match outcomes.first() {
                Some((decided_ticket, Outcome::Decided { seq, .. })) if *decided_ticket == ticket => {
                    return *seq;
                }
                None => self.tick(),
                other => panic!("{other:?}"),
            }
        }
        panic!("the change was not decided within 200 ticks");
    }

    /// Proposes a change that must be rejected, and returns the error.
    pub fn expect_invalid(&mut self, change: Change) -> ValidationError {
        match self.voters.get_mut(&1).unwrap().propose(change, &accept_all) {
            Err(ProposeError::Invalid(error)) => error,
            other => panic!("{other:?}"),
        }
    }
}
