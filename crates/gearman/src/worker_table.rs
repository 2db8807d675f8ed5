//! Workers that pull jobs. All connections with the same client id form one worker, and each of them that has asked for
//! work is one of the worker's lanes. The caller decides which worker gets an attempt. The worker table decides which of
//! the worker's connections is woken for it, and which attempt an asking connection gets.

use crate::ConnectionId;
use crate::packet::PacketType;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// The largest number of functions that one connection may register.
pub const MAX_FUNCTIONS_PER_CONNECTION: usize = 128;
/// The largest number of workers that are remembered, including those that have disconnected.
pub const MAX_WORKERS: usize = 1024;

/// The number of a worker. It is reused only after its worker has disconnected.
pub type WorkerNumber = usize;

/// An attempt that is assigned or offered to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment<A> {
    /// The attempt.
    pub attempt: A,
    /// The function as which the worker runs the attempt.
    pub function: String,
    /// The handle that the worker uses in its reports on the attempt.
    pub handle: String,
    /// The time limit that the worker registered for the function, in seconds; 0: no limit.
    pub timeout_seconds: u32,
}

/// The result of offering an attempt to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The offer is held for this sleeping connection. The caller sends NOOP, and the connection is expected to ask.
    Wake(ConnectionId),
    /// The offer is held for this connection, which is awake and is expected to ask.
    AwaitGrab(ConnectionId),
    /// This connection has already asked: the attempt can be assigned at once.
    AssignNow(ConnectionId),
    /// No connection of the worker is free and can run the function.
    Full,
}

/// The job that a worker's report with a handle refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportTarget<A> {
    /// This running attempt.
    Attempt(A),
    /// An attempt that was cancelled: nothing waits for the report.
    Cancelled,
    /// The connection runs no job with this handle: another connection has it, or the job has ended.
    UnknownHandle,
}

/// An attempt whose connection has closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LostAttempt<A> {
    /// The attempt was offered but not assigned, so it has never run.
    Offered(A),
    /// The attempt was assigned.
    Assigned(A),
}

/// The current state of a worker that has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerChange {
    /// The worker's number.
    pub number: WorkerNumber,
    /// The worker's client id, or a name made from the connection's number if it has set none.
    pub name: String,
    /// Whether the worker has a connection.
    pub connected: bool,
    /// The number of connections that can take a job, now or after their current one.
    pub lanes: usize,
    /// The functions that at least one connection can run.
    pub functions: BTreeSet<String>,
    /// The time at which the worker's first connection asked for work, on the caller's clock.
    pub ready_since: u64,
}

/// A worker connection, as listed for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectionInfo<'a> {
    /// The connection.
    pub connection: ConnectionId,
    /// The connection's client id, if it has set one.
    pub client_id: Option<&'a str>,
    /// The functions that the connection can run.
    pub functions: Vec<&'a str>,
}

/// The state of a connection in the pull protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
enum PullState<A> {
    /// The connection has not asked for work yet, so it is no lane.
    Inactive,
    /// The connection is awake and has no job; it is expected to ask for one or to go to sleep.
    Awake,
    /// The connection has asked with this packet type and has no answer yet.
    Asking(PacketType),
    /// The connection sleeps until it receives NOOP.
    Asleep,
    /// The connection did not ask after it was woken, and is offered nothing until it asks.
    Unresponsive,
    /// The connection runs the job with this handle; `None`: its attempt was cancelled.
    Busy(String, Option<A>),
}

struct Connection<A> {
    client_id: Option<String>,
    /// The time limit of each registered function, in seconds; 0: no limit.
    functions: BTreeMap<String, u32>,
    pull_state: PullState<A>,
    /// The name of the worker whose lane this connection is.
    worker: Option<String>,
    offer: Option<Assignment<A>>,
}

impl<A> Connection<A> {
    fn is_lane(&self) -> bool {
        !matches!(self.pull_state, PullState::Inactive | PullState::Unresponsive | PullState::Busy(_, None))
    }

    fn is_free(&self) -> bool {
        self.offer.is_none()
            && matches!(self.pull_state, PullState::Awake | PullState::Asking(_) | PullState::Asleep)
    }
}

struct Worker {
    number: WorkerNumber,
    connections: Vec<ConnectionId>,
    ready_since: u64,
}

/// The workers and their connections. `A` is the caller's identifier of an attempt.
pub struct WorkerTable<A> {
    connections: HashMap<ConnectionId, Connection<A>>,
    workers: HashMap<String, Worker>,
    names_by_number: HashMap<WorkerNumber, String>,
    /// The numbers and names of disconnected workers, in the order in which they disconnected.
    disconnected: VecDeque<(WorkerNumber, String)>,
    next_number: WorkerNumber,
    /// The workers that have changed since the last call of [`WorkerTable::take_changes`].
    changed: BTreeMap<WorkerNumber, String>,
}

impl<A> Default for WorkerTable<A> {
    fn default() -> Self {
        WorkerTable {
            connections: HashMap::new(),
            workers: HashMap::new(),
            names_by_number: HashMap::new(),
            disconnected: VecDeque::new(),
            next_number: 0,
            changed: BTreeMap::new(),
        }
    }
}

/// A connection has asked for work and cannot become a lane, because [`MAX_WORKERS`] workers are connected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{MAX_WORKERS} workers are connected already")]
pub struct TooManyWorkers;

impl<A: Copy + PartialEq> WorkerTable<A> {
    fn connection_entry(&mut self, id: ConnectionId) -> &mut Connection<A> {
        self.connections.entry(id).or_insert_with(|| Connection {
            client_id: None,
            functions: BTreeMap::new(),
            pull_state: PullState::Inactive,
            worker: None,
            offer: None,
        })
    }

    /// Whether the connection has registered a function or asked for work. A client id alone makes no worker.
    pub fn is_worker(&self, id: ConnectionId) -> bool {
        self.connections
            .get(&id)
            .is_some_and(|connection| connection.worker.is_some() || !connection.functions.is_empty())
    }

    /// Registers a function for a connection, with a time limit in seconds (0: no limit). Returns whether it was
    /// registered: a connection has at most [`MAX_FUNCTIONS_PER_CONNECTION`] functions.
    pub fn add_function(&mut self, id: ConnectionId, function: &str, timeout_seconds: u32) -> bool {
        let functions = &mut self.connection_entry(id).functions;
        if functions.len() >= MAX_FUNCTIONS_PER_CONNECTION && !functions.contains_key(function) {
            return false;
        }
        functions.insert(function.to_owned(), timeout_seconds);
        self.mark_changed(id);
        true
    }

    /// Unregisters a function of a connection. Returns the attempt that was offered to the connection as this function,
    /// and that the connection can no longer run.
    pub fn remove_function(&mut self, id: ConnectionId, function: &str) -> Option<A> {
        self.connections.get_mut(&id)?.functions.remove(function);
        self.mark_changed(id);
        self.withdraw_offer(id, |offer| offer.function == function)
    }

    /// Unregisters all functions of a connection. Returns the attempt that was offered to it.
    pub fn clear_functions(&mut self, id: ConnectionId) -> Option<A> {
        self.connections.get_mut(&id)?.functions.clear();
        self.mark_changed(id);
        self.withdraw_offer(id, |_| true)
    }

    fn withdraw_offer(&mut self, id: ConnectionId, matches: impl Fn(&Assignment<A>) -> bool) -> Option<A> {
        self.connections.get_mut(&id)?.offer.take_if(|offer| matches(offer)).map(|offer| offer.attempt)
    }

    /// Sets the client id of a connection. Returns whether the connection has this client id now: the id cannot change
    /// while the connection has a job or an offer.
    pub fn set_client_id(&mut self, id: ConnectionId, client_id: &str, now: u64) -> bool {
        let connection = self.connection_entry(id);
        if matches!(connection.pull_state, PullState::Busy(..)) || connection.offer.is_some() {
            return connection.client_id.as_deref() == Some(client_id);
        }
        connection.client_id = Some(client_id.to_owned());
        let was_lane = connection.worker.is_some();
        if was_lane {
            self.remove_lane(id);
            // If this was the old worker's only connection, its number has become free. Otherwise a failure leaves the
            // connection without a lane until it asks again.
            let _ = self.add_lane(id, now);
        }
        true
    }

    /// Makes a connection that has asked for work or gone to sleep a lane of its worker.
    fn add_lane(&mut self, id: ConnectionId, now: u64) -> Result<(), TooManyWorkers> {
        let connection = self.connection_entry(id);
        let was_unresponsive = connection.pull_state == PullState::Unresponsive;
        if connection.worker.is_none() {
            let name = connection.client_id.clone().unwrap_or_else(|| format!("connection {id}"));
            if !self.workers.contains_key(&name) {
                let number = self.allocate_number(&name).ok_or(TooManyWorkers)?;
                self.names_by_number.insert(number, name.clone());
                self.workers
                    .insert(name.clone(), Worker { number, connections: Vec::new(), ready_since: now });
            }
            if let Some(worker) = self.workers.get_mut(&name) {
                worker.connections.push(id);
            }
            self.connection_entry(id).worker = Some(name);
            self.mark_changed(id);
        } else if was_unresponsive {
            self.connection_entry(id).pull_state = PullState::Awake;
            self.mark_changed(id);
        }
        Ok(())
    }

    /// Returns a number for a worker: the one that it had before, an unused one, or that of the worker that disconnected
    /// longest ago. `None`: [`MAX_WORKERS`] workers are connected.
    fn allocate_number(&mut self, name: &str) -> Option<WorkerNumber> {
        if let Some(index) = self.disconnected.iter().position(|(_, old_name)| old_name == name) {
            return self.disconnected.remove(index).map(|(number, _)| number);
        }
        if self.next_number < MAX_WORKERS {
            self.next_number += 1;
            return Some(self.next_number - 1);
        }
        self.disconnected.pop_front().map(|(number, _)| number)
    }

    /// Records that a connection goes to sleep. Returns whether the connection must be woken at once, because an attempt
    /// is offered to it.
    ///
    /// # Errors
    /// Fails if the connection would be a new worker and [`MAX_WORKERS`] workers are connected.
    pub fn sleep(&mut self, id: ConnectionId, now: u64) -> Result<bool, TooManyWorkers> {
        self.add_lane(id, now)?;
        let connection = self.connection_entry(id);
        if !matches!(connection.pull_state, PullState::Busy(..)) {
            connection.pull_state = PullState::Asleep;
        }
        Ok(connection.offer.is_some())
    }

    /// Records that a connection asks for work with this packet type. Returns whether it can get a job: not while it has
    /// one. The caller answers after it has offered the attempts of this iteration (see [`WorkerTable::assign`]).
    ///
    /// # Errors
    /// Fails if the connection would be a new worker and [`MAX_WORKERS`] workers are connected.
    pub fn grab_job(
        &mut self,
        id: ConnectionId,
        grab_type: PacketType,
        now: u64,
    ) -> Result<bool, TooManyWorkers> {
        self.add_lane(id, now)?;
        let connection = self.connection_entry(id);
        if matches!(connection.pull_state, PullState::Busy(..)) {
            return Ok(false);
        }
        connection.pull_state = PullState::Asking(grab_type);
        Ok(true)
    }

    /// Offers an attempt to a worker, as the first of `functions` that the chosen connection can run. Free connections
    /// that are asking come first, then sleeping ones, then those that are awake.
    pub fn offer(
        &mut self,
        number: WorkerNumber,
        attempt: A,
        functions: &[&str],
        handle: &str,
    ) -> OfferOutcome {
        let Some(worker) = self.names_by_number.get(&number).and_then(|name| self.workers.get(name)) else {
            return OfferOutcome::Full;
        };
        let matching_function = |connection: &Connection<A>| {
            functions.iter().find(|name| connection.functions.contains_key(**name)).copied()
        };
        let preference = |connection: &Connection<A>| match connection.pull_state {
            PullState::Asking(_) => 0,
            PullState::Asleep => 1,
            _ => 2,
        };
        let is_suitable = |id: &&ConnectionId| {
            self.connections
                .get(id)
                .is_some_and(|connection| connection.is_free() && matching_function(connection).is_some())
        };
        let Some(id) = worker
            .connections
            .iter()
            .filter(is_suitable)
            .min_by_key(|id| preference(&self.connections[id]))
            .copied()
        else {
            return OfferOutcome::Full;
        };
        let connection = self.connection_entry(id);
        let Some(function) = matching_function(connection) else { return OfferOutcome::Full };
        let timeout_seconds = connection.functions.get(function).copied().unwrap_or(0);
        let (function, handle) = (function.to_owned(), handle.to_owned());
        connection.offer = Some(Assignment { attempt, function, handle, timeout_seconds });
        match connection.pull_state {
            PullState::Asking(_) => OfferOutcome::AssignNow(id),
            PullState::Asleep => {
                connection.pull_state = PullState::Awake;
                OfferOutcome::Wake(id)
            }
            _ => OfferOutcome::AwaitGrab(id),
        }
    }

    /// Assigns an attempt to an asking connection: the one offered to it, or one offered to another connection of the
    /// same worker that has not asked yet. Returns the packet type with which the connection asked, the assignment, and
    /// the connection that held the offer and need not ask any more. `None`: there is no job for the connection.
    pub fn assign(&mut self, id: ConnectionId) -> Option<(PacketType, Assignment<A>, ConnectionId)> {
        let PullState::Asking(grab_type) = self.connections.get(&id)?.pull_state else { return None };
        let has_offer = self.connections.get(&id).is_some_and(|connection| connection.offer.is_some());
        let holder = if has_offer { Some(id) } else { self.find_other_offer(id) };
        let offer = holder.and_then(|holder| self.connections.get_mut(&holder)?.offer.take());
        let connection = self.connections.get_mut(&id)?;
        let (Some(offer), Some(holder)) = (offer, holder) else {
            connection.pull_state = PullState::Awake;
            return None;
        };
        connection.pull_state = PullState::Busy(offer.handle.clone(), Some(offer.attempt));
        Some((grab_type, offer, holder))
    }

    /// Returns another connection of the same worker that holds an offer which this connection can run.
    fn find_other_offer(&self, id: ConnectionId) -> Option<ConnectionId> {
        let asking = self.connections.get(&id)?;
        let worker = self.workers.get(asking.worker.as_ref()?)?;
        let has_runnable_offer = |other: &&ConnectionId| {
            let offer = self.connections.get(other).and_then(|other| other.offer.as_ref());
            offer.is_some_and(|offer| asking.functions.contains_key(&offer.function))
        };
        worker.connections.iter().filter(|&&other| other != id).find(has_runnable_offer).copied()
    }

    /// Withdraws the offer of a connection that was woken and has not asked in time. Returns the offered attempt, which
    /// has never run.
    pub fn expire_offer(&mut self, id: ConnectionId) -> Option<A> {
        let connection = self.connections.get_mut(&id)?;
        let offer = connection.offer.take()?;
        connection.pull_state = PullState::Unresponsive;
        self.mark_changed(id);
        Some(offer.attempt)
    }

    /// Returns the job that a connection's report with this handle refers to.
    pub fn report_target(&self, id: ConnectionId, handle: &[u8]) -> ReportTarget<A> {
        match self.connections.get(&id).map(|connection| &connection.pull_state) {
            Some(PullState::Busy(own_handle, attempt)) if own_handle.as_bytes() == handle => match attempt {
                Some(attempt) => ReportTarget::Attempt(*attempt),
                None => ReportTarget::Cancelled,
            },
            _ => ReportTarget::UnknownHandle,
        }
    }

    /// Returns the attempt that a connection runs, unless it was cancelled.
    pub fn running_attempt(&self, id: ConnectionId) -> Option<A> {
        match self.connections.get(&id)?.pull_state {
            PullState::Busy(_, attempt) => attempt,
            _ => None,
        }
    }

    /// Records that a connection has finished its job.
    pub fn finish_job(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let was_cancelled = matches!(connection.pull_state, PullState::Busy(_, None));
        if matches!(connection.pull_state, PullState::Busy(..)) {
            connection.pull_state = PullState::Awake;
        }
        if was_cancelled {
            self.mark_changed(id);
        }
    }

    /// Cancels an attempt, and returns the connection to which it was offered or assigned. A connection to which it was
    /// assigned stays busy until it reports the end of the job, because the protocol has no packet that cancels a job.
    pub fn cancel(&mut self, attempt: A) -> Option<ConnectionId> {
        let has_attempt = |connection: &Connection<A>| {
            connection.offer.as_ref().is_some_and(|offer| offer.attempt == attempt)
                || matches!(&connection.pull_state, PullState::Busy(_, Some(running)) if *running == attempt)
        };
        let id =
            self.connections.iter().find(|(_, connection)| has_attempt(connection)).map(|(&id, _)| id)?;
        let connection = self.connections.get_mut(&id)?;
        if connection.offer.take_if(|offer| offer.attempt == attempt).is_none()
            && let PullState::Busy(_, running) = &mut connection.pull_state
        {
            *running = None;
            self.mark_changed(id);
        }
        Some(id)
    }

    /// Removes a connection that has closed. Returns the attempt that was offered or assigned to it.
    pub fn remove_connection(&mut self, id: ConnectionId) -> Option<LostAttempt<A>> {
        self.remove_lane(id);
        let connection = self.connections.remove(&id)?;
        match (connection.offer, connection.pull_state) {
            (Some(offer), _) => Some(LostAttempt::Offered(offer.attempt)),
            (None, PullState::Busy(_, Some(attempt))) => Some(LostAttempt::Assigned(attempt)),
            _ => None,
        }
    }

    fn remove_lane(&mut self, id: ConnectionId) {
        self.mark_changed(id);
        let Some(name) = self.connections.get_mut(&id).and_then(|connection| connection.worker.take()) else {
            return;
        };
        let Some(worker) = self.workers.get_mut(&name) else { return };
        worker.connections.retain(|&other| other != id);
        if worker.connections.is_empty() {
            let number = worker.number;
            self.workers.remove(&name);
            self.names_by_number.remove(&number);
            self.disconnected.push_back((number, name));
        }
    }

    /// Marks the worker of this connection as changed.
    fn mark_changed(&mut self, id: ConnectionId) {
        let name = self.connections.get(&id).and_then(|connection| connection.worker.as_ref());
        if let Some((name, worker)) = name.and_then(|name| Some((name, self.workers.get(name)?))) {
            self.changed.insert(worker.number, name.clone());
        }
    }

    /// Returns the workers that have changed since the last call.
    pub fn take_changes(&mut self) -> Vec<WorkerChange> {
        let changed = std::mem::take(&mut self.changed);
        changed.into_iter().map(|(number, name)| self.describe_worker(number, name)).collect()
    }

    fn describe_worker(&self, number: WorkerNumber, name: String) -> WorkerChange {
        // If the number belongs to another worker by now, this worker has disconnected. The other worker has its own
        // entry in the list of changes.
        let worker = self.workers.get(&name).filter(|worker| worker.number == number);
        let connections = || {
            worker
                .into_iter()
                .flat_map(|worker| &worker.connections)
                .filter_map(|id| self.connections.get(id))
        };
        WorkerChange {
            number,
            connected: worker.is_some(),
            lanes: connections().filter(|connection| connection.is_lane()).count(),
            functions: connections().flat_map(|connection| connection.functions.keys().cloned()).collect(),
            ready_since: worker.map_or(0, |worker| worker.ready_since),
            name,
        }
    }

    /// Returns the number of a worker's connections that are free now.
    pub fn free_lanes(&self, number: WorkerNumber) -> usize {
        let worker = self.names_by_number.get(&number).and_then(|name| self.workers.get(name));
        let connections = worker
            .into_iter()
            .flat_map(|worker| &worker.connections)
            .filter_map(|id| self.connections.get(id));
        connections.filter(|connection| connection.is_free()).count()
    }

    /// Returns the number of connections that can run a function.
    pub fn count_capable(&self, function: &str) -> usize {
        self.connections.values().filter(|connection| connection.functions.contains_key(function)).count()
    }

    /// Returns all connections of the table, in the order of their ids.
    pub fn list_connections(&self) -> Vec<ConnectionInfo<'_>> {
        let mut list: Vec<ConnectionInfo<'_>> = self
            .connections
            .iter()
            .map(|(&id, connection)| ConnectionInfo {
                connection: id,
                client_id: connection.client_id.as_deref(),
                functions: connection.functions.keys().map(String::as_str).collect(),
            })
            .collect();
        list.sort_by_key(|info| info.connection);
        list
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A table with one worker of two sleeping connections that have registered the function `look`.
    fn table_with_two_lanes() -> WorkerTable<u32> {
        let mut table = WorkerTable::default();
        for id in [1, 2] {
            assert!(table.set_client_id(id, "w", 1) && table.add_function(id, "look", 0));
            assert_eq!(table.sleep(id, 50), Ok(false));
        }
        table
    }

    fn assign_to_sleeping_connection(table: &mut WorkerTable<u32>, attempt: u32) -> ConnectionId {
        let OfferOutcome::Wake(id) = table.offer(0, attempt, &["look"], &format!("H:{attempt}")) else {
            panic!("no sleeping connection was chosen for attempt {attempt}")
        };
        assert_eq!(table.grab_job(id, PacketType::GrabJob, 60), Ok(true));
        let (_, assignment, _) = table.assign(id).expect("the offered attempt was not assigned");
        assert_eq!(assignment.attempt, attempt);
        id
    }

    /// Whether each changed worker is connected, and the numbers of its lanes and functions.
    fn take_changed_counts(table: &mut WorkerTable<u32>) -> Vec<(bool, usize, usize)> {
        table
            .take_changes()
            .iter()
            .map(|change| (change.connected, change.lanes, change.functions.len()))
            .collect()
    }

    #[test]
    fn connections_with_the_same_client_id_are_lanes_of_one_worker() {
        let mut table = table_with_two_lanes();
        let changes = table.take_changes();
        assert_eq!((changes.len(), changes[0].lanes, changes[0].ready_since), (1, 2, 50));
        assert_eq!(assign_to_sleeping_connection(&mut table, 7), 1);
        assert_eq!(table.free_lanes(0), 1);
        assert!(matches!(table.offer(0, 8, &["look"], "H:8"), OfferOutcome::Wake(2)));
        assert_eq!(table.offer(0, 9, &["look"], "H:9"), OfferOutcome::Full);
        assert_eq!(table.remove_connection(2), Some(LostAttempt::Offered(8)));
        assert_eq!(table.remove_connection(1), Some(LostAttempt::Assigned(7)));
        assert_eq!(take_changed_counts(&mut table), [(false, 0, 0)]);
    }

    #[test]
    fn the_first_asking_connection_gets_an_offer_held_for_another_connection_of_its_worker() {
        let mut table = table_with_two_lanes();
        assert_eq!(table.offer(0, 7, &["look"], "H:7"), OfferOutcome::Wake(1));
        assert_eq!(table.grab_job(2, PacketType::GrabJobUniq, 60), Ok(true));
        let (grab_type, assignment, holder) =
            table.assign(2).expect("the offer held for connection 1 was not assigned");
        assert_eq!((grab_type, assignment.attempt, holder), (PacketType::GrabJobUniq, 7, 1));
        assert_eq!(table.grab_job(1, PacketType::GrabJob, 60), Ok(true));
        assert_eq!(table.assign(1), None);
        assert_eq!(table.expire_offer(1), None, "connection 1 holds no offer any more");
    }

    #[test]
    fn a_connection_that_does_not_ask_after_noop_is_offered_nothing_until_it_asks() {
        let mut table = table_with_two_lanes();
        table.take_changes();
        assert_eq!(table.offer(0, 7, &["look"], "H:7"), OfferOutcome::Wake(1));
        assert_eq!(table.expire_offer(1), Some(7));
        assert_eq!(take_changed_counts(&mut table), [(true, 1, 1)]);
        assert_eq!(table.offer(0, 8, &["look"], "H:8"), OfferOutcome::Wake(2));
        assert_eq!(table.offer(0, 9, &["look"], "H:9"), OfferOutcome::Full);
        assert_eq!(table.grab_job(1, PacketType::GrabJob, 60), Ok(true));
        assert_eq!(take_changed_counts(&mut table), [(true, 2, 1)]);
    }

    #[test]
    fn a_cancelled_attempt_keeps_its_connection_busy_and_its_handle_ends_no_later_attempt() {
        let mut table = table_with_two_lanes();
        assert_eq!(assign_to_sleeping_connection(&mut table, 7), 1);
        table.take_changes();
        assert_eq!(table.cancel(7), Some(1));
        assert_eq!(take_changed_counts(&mut table), [(true, 1, 1)], "the busy lane is not counted");
        assert_eq!(table.report_target(1, b"H:7"), ReportTarget::Cancelled);
        assert_eq!(table.grab_job(1, PacketType::GrabJob, 60), Ok(false), "the connection is busy");
        table.finish_job(1);
        assert_eq!(take_changed_counts(&mut table), [(true, 2, 1)]);
        assert_eq!(table.grab_job(1, PacketType::GrabJob, 60), Ok(true));
        assert_eq!(table.offer(0, 8, &["look"], "H:8"), OfferOutcome::AssignNow(1));
        assert!(table.assign(1).is_some());
        assert_eq!(table.report_target(1, b"H:7"), ReportTarget::UnknownHandle);
        assert_eq!(table.report_target(2, b"H:8"), ReportTarget::UnknownHandle, "connection 1 has the job");
        assert_eq!(table.report_target(1, b"H:8"), ReportTarget::Attempt(8));
    }

    #[test]
    fn unregistering_a_function_withdraws_the_offer_and_functions_are_bounded() {
        let mut table = table_with_two_lanes();
        assert_eq!(table.offer(0, 7, &["look"], "H:7"), OfferOutcome::Wake(1));
        assert_eq!(table.remove_function(1, "look"), Some(7));
        assert_eq!(table.offer(0, 7, &["look"], "H:7"), OfferOutcome::Wake(2));
        assert_eq!(table.clear_functions(2), Some(7));
        assert_eq!(table.offer(0, 7, &["look"], "H:7"), OfferOutcome::Full);
        assert_eq!(take_changed_counts(&mut table), [(true, 2, 0)]);
        assert!((0..MAX_FUNCTIONS_PER_CONNECTION).all(|index| table.add_function(1, &index.to_string(), 0)));
        assert!(!table.add_function(1, "one more", 0) && table.add_function(1, "5", 9));
    }

    #[test]
    fn a_client_id_that_reconnects_is_a_new_worker_with_its_old_number() {
        let mut table = table_with_two_lanes();
        table.remove_connection(1);
        table.remove_connection(2);
        assert!(table.set_client_id(3, "other", 1));
        assert_eq!(table.sleep(3, 70), Ok(false));
        assert!(table.set_client_id(4, "w", 1));
        assert_eq!(table.sleep(4, 80), Ok(false));
        let workers: Vec<_> = table
            .take_changes()
            .iter()
            .map(|change| (change.number, change.connected, change.ready_since))
            .collect();
        assert_eq!(workers, [(0, true, 80), (1, true, 70)]);
    }

    #[test]
    fn a_sleeping_lane_that_sets_its_client_id_moves_to_the_worker_of_that_id() {
        let mut table: WorkerTable<u32> = WorkerTable::default();
        assert!(table.add_function(1, "look", 0));
        assert_eq!(table.sleep(1, 50), Ok(false));
        table.take_changes();
        assert!(table.set_client_id(1, "w", 60));
        let changes: Vec<_> = table
            .take_changes()
            .into_iter()
            .map(|change| (change.number, change.name, change.connected))
            .collect();
        assert_eq!(changes.last(), Some(&(1, "w".to_owned(), true)));
        assert!(matches!(table.offer(1, 7, &["look"], "H:7"), OfferOutcome::Wake(1)));
        assert!(!table.set_client_id(1, "v", 70), "the connection has an offer");
    }

    #[test]
    fn worker_numbers_stay_below_the_limit_after_many_reconnects() {
        let mut table: WorkerTable<u32> = WorkerTable::default();
        for id in 0..3 * MAX_WORKERS {
            assert_eq!(table.sleep(id, 1), Ok(false));
            table.remove_connection(id);
        }
        assert!(table.take_changes().iter().all(|change| change.number < MAX_WORKERS));
        assert!((0..MAX_WORKERS).all(|id| table.sleep(id, 1).is_ok()));
        assert_eq!(table.sleep(MAX_WORKERS, 1), Err(TooManyWorkers));
    }
}
