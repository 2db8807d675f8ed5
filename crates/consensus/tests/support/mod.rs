//! Five voters on a network without faults, some of which may be away.
#![allow(dead_code)] // Each test program uses a part of it.

use calicolb_consensus::store::{MemoryDisk, MemoryStore};
use calicolb_consensus::{Change, Document, Outcome, ProposeError, ValidationError, Voter};
use serde_json::Value;
use std::collections::BTreeMap;

pub const IDS: [u64; 5] = [1, 2, 3, 4, 5];

pub fn anything(_: &Document) -> Result<(), ValidationError> {
    Ok(())
}

pub fn set(pairs: impl IntoIterator<Item = (String, Value)>) -> Change {
    Change { set: pairs.into_iter().collect(), ..Change::default() }
}

/// The voters by their numbers, and what their stores are on.
pub struct Five {
    pub disks: BTreeMap<u64, MemoryDisk>,
    pub voters: BTreeMap<u64, Voter<MemoryStore>>,
    pub largest: usize,
}

impl Five {
    pub fn starting() -> Five {
        let disks: BTreeMap<u64, MemoryDisk> =
            IDS.into_iter().map(|id| (id, MemoryDisk::default())).collect();
        let mut five = Five { disks, voters: BTreeMap::new(), largest: 0 };
        IDS.into_iter().for_each(|id| five.start(id));
        five
    }

    pub fn ready() -> Five {
        let mut five = Five::starting();
        five.until(|five| five.voters.values().all(Voter::has_majority));
        five
    }

    pub fn start(&mut self, id: u64) {
        let store = self.disks[&id].open().unwrap();
        self.voters.insert(id, Voter::new(id, &IDS, store, 7).unwrap());
    }

    pub fn deliver(&mut self) {
        loop {
            let taken = self
                .voters
                .iter_mut()
                .flat_map(|(id, v)| v.take_outgoing().into_iter().map(move |m| (*id, m)));
            let messages: Vec<_> = taken.collect();
            if messages.is_empty() {
                return;
            }
            for (from, (to, bytes)) in messages {
                self.largest = self.largest.max(bytes.len());
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

    pub fn until(&mut self, condition: impl Fn(&Five) -> bool) {
        for _ in 0..200 {
            if condition(self) {
                return;
            }
            self.tick();
        }
        panic!("not within 200 ticks");
    }

    /// Proposes and waits until it is agreed.
    pub fn change(&mut self, id: u64, change: Change) -> u64 {
        self.until(|five| five.voters[&id].has_majority());
        let ticket = self.voters.get_mut(&id).unwrap().propose(change, &anything).unwrap();
        for _ in 0..200 {
            self.deliver();
            let told = self.voters.get_mut(&id).unwrap().take_outcomes(&anything);
            match told.first() {
                Some((of, Outcome::Decided { seq, .. })) if *of == ticket => return *seq,
                None => self.tick(),
                other => panic!("{other:?}"),
            }
        }
        panic!("not agreed within 200 ticks");
    }

    pub fn refusal(&mut self, change: Change) -> ValidationError {
        match self.voters.get_mut(&1).unwrap().propose(change, &anything) {
            Err(ProposeError::Invalid(fault)) => fault,
            other => panic!("{other:?}"),
        }
    }
}
