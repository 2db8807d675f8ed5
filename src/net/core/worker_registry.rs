//! Registry of the workers from all sources: discovery's list, the operator file, and workers that connect by
//! themselves. The decision module knows a single list, so the registry makes sure that a full list from one source
//! does not remove the workers of another source.

use calicolb::api::{ListKind, Member, WorkerId, WorkerStatus};
use std::collections::HashMap;

/// The source that added a worker to the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerSource {
    /// Discovery, or the copy of its list in the configuration.
    Discovery,
    /// The operator file.
    OperatorFile,
    /// A protocol, given by its name, whose workers connect by themselves.
    SelfRegistered(&'static str),
}

/// The known workers by number, each with the source that added it.
#[derive(Default)]
pub struct WorkerRegistry(HashMap<WorkerId, (WorkerSource, Member)>);

impl WorkerRegistry {
    /// Number of known workers, including those that are draining.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns true if a source other than `source` added the worker of this number.
    pub fn belongs_to_other_source(&self, id: WorkerId, source: WorkerSource) -> bool {
        self.0.get(&id).is_some_and(|(owner, _)| *owner != source)
    }

    /// Applies a list or changes from one source. Returns the members to pass on to the decision module; after a full
    /// list these include the workers of the other sources. A worker number that another source added stays with that
    /// source.
    pub fn merge(&mut self, source: WorkerSource, kind: ListKind, mut members: Vec<Member>) -> Vec<Member> {
        members.retain(|member| !self.belongs_to_other_source(member.worker, source));
        if matches!(kind, ListKind::Full | ListKind::Saved) {
            self.0.retain(|_, (owner, _)| *owner != source);
        }
        for member in &members {
            if member.status == WorkerStatus::Gone {
                self.0.remove(&member.worker);
            } else {
                self.0.insert(member.worker, (source, member.clone()));
            }
        }
        if matches!(kind, ListKind::Full | ListKind::Saved) {
            let others = self.0.values().filter(|(owner, _)| *owner != source);
            members.extend(others.map(|(_, member)| member.clone()));
        }
        members
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn member(id: u32, status: WorkerStatus) -> Member {
        Member { worker: WorkerId(id), status, ..Member::default() }
    }

    fn ids(members: &[Member]) -> Vec<u32> {
        let mut ids: Vec<u32> = members.iter().map(|member| member.worker.0).collect();
        ids.sort_unstable();
        ids
    }

    #[test]
    fn a_full_list_of_one_source_keeps_the_workers_of_other_sources() {
        let mut registry = WorkerRegistry::default();
        let on = |id| member(id, WorkerStatus::On);
        assert_eq!(ids(&registry.merge(WorkerSource::OperatorFile, ListKind::Saved, vec![on(1)])), [1]);
        assert_eq!(
            ids(&registry.merge(WorkerSource::SelfRegistered("g"), ListKind::Changes, vec![on(2)])),
            [2]
        );
        assert_eq!(
            ids(&registry.merge(WorkerSource::Discovery, ListKind::Full, vec![on(3), on(4)])),
            [1, 2, 3, 4]
        );
        assert_eq!(ids(&registry.merge(WorkerSource::Discovery, ListKind::Full, vec![on(4)])), [1, 2, 4]);
        assert_eq!(registry.len(), 3);
    }

    #[test]
    fn a_worker_number_stays_with_the_source_that_added_it_first() {
        let mut registry = WorkerRegistry::default();
        registry.merge(WorkerSource::OperatorFile, ListKind::Saved, vec![member(1, WorkerStatus::On)]);
        assert!(registry.belongs_to_other_source(WorkerId(1), WorkerSource::Discovery));
        assert!(
            registry
                .merge(WorkerSource::Discovery, ListKind::Changes, vec![member(1, WorkerStatus::Gone)])
                .is_empty()
        );
        registry.merge(WorkerSource::OperatorFile, ListKind::Changes, vec![member(1, WorkerStatus::Gone)]);
        assert_eq!(registry.len(), 0);
    }
}
