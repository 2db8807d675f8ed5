//! Who the next hops are, from all sources: discovery's list, the operator file, and workers that came by themselves.
//! The module knows one list only, in which a whole list from one source must not remove what another brought.

use calicolb::api::{ListKind, Member, WorkerId, WorkerStatus};
use std::collections::HashMap;

/// Who names a next hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerSource {
    /// Discovery, or the list that the configuration holds of it.
    Discovery,
    /// The operator file.
    OperatorFile,
    /// A protocol whose workers connect by themselves, by its name.
    SelfRegistered(&'static str),
}

/// See the head of this file.
#[derive(Default)]
pub struct WorkerRegistry(HashMap<WorkerId, (WorkerSource, Member)>);

impl WorkerRegistry {
    /// How many next hops are known, those that end their work included.
    pub fn known(&self) -> usize {
        self.0.len()
    }

    /// A hop of this number was named by somebody else.
    pub fn foreign(&self, id: WorkerId, source: WorkerSource) -> bool {
        self.0.get(&id).is_some_and(|(whose, _)| *whose != source)
    }

    /// Takes in news from one source; gives what the module is to be told. A number that another source has named
    /// already stays with that one.
    pub fn merge(&mut self, source: WorkerSource, kind: ListKind, mut members: Vec<Member>) -> Vec<Member> {
        members.retain(|member| !self.foreign(member.worker, source));
        if matches!(kind, ListKind::Full | ListKind::Saved) {
            self.0.retain(|_, (whose, _)| *whose != source);
        }
        for member in &members {
            if member.status == WorkerStatus::Gone {
                self.0.remove(&member.worker);
            } else {
                self.0.insert(member.worker, (source, member.clone()));
            }
        }
        if matches!(kind, ListKind::Full | ListKind::Saved) {
            let others = self.0.values().filter(|(whose, _)| *whose != source);
            members.extend(others.map(|(_, member)| member.clone()));
        }
        members
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn member(id: u32, standing: WorkerStatus) -> Member {
        Member { worker: WorkerId(id), status: standing, ..Member::default() }
    }

    fn ids(members: &[Member]) -> Vec<u32> {
        let mut ids: Vec<u32> = members.iter().map(|member| member.worker.0).collect();
        ids.sort_unstable();
        ids
    }

    #[test]
    fn a_whole_list_of_one_source_keeps_what_others_named() {
        let mut roster = WorkerRegistry::default();
        let on = |id| member(id, WorkerStatus::On);
        assert_eq!(ids(&roster.merge(WorkerSource::OperatorFile, ListKind::Saved, vec![on(1)])), [1]);
        assert_eq!(
            ids(&roster.merge(WorkerSource::SelfRegistered("g"), ListKind::Changes, vec![on(2)])),
            [2]
        );
        assert_eq!(
            ids(&roster.merge(WorkerSource::Discovery, ListKind::Full, vec![on(3), on(4)])),
            [1, 2, 3, 4]
        );
        assert_eq!(ids(&roster.merge(WorkerSource::Discovery, ListKind::Full, vec![on(4)])), [1, 2, 4]);
        assert_eq!(roster.known(), 3);
    }

    #[test]
    fn a_number_stays_with_who_named_it_first() {
        let mut roster = WorkerRegistry::default();
        roster.merge(WorkerSource::OperatorFile, ListKind::Saved, vec![member(1, WorkerStatus::On)]);
        assert!(roster.foreign(WorkerId(1), WorkerSource::Discovery));
        assert!(
            roster
                .merge(WorkerSource::Discovery, ListKind::Changes, vec![member(1, WorkerStatus::Gone)])
                .is_empty()
        );
        roster.merge(WorkerSource::OperatorFile, ListKind::Changes, vec![member(1, WorkerStatus::Gone)]);
        assert_eq!(roster.known(), 0);
    }
}
