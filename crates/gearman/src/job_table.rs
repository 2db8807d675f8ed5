//! Jobs as clients see them. The job table merges submissions of the same job, tracks the clients that wait for a job, its
//! progress and how it ended, and encodes the packets that tell clients about it. The caller decides whether a job is
//! accepted and which worker runs it.

use crate::ConnectionId;
use crate::packet::{PacketType, Sender, encode};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

/// The caller's identifier of a job.
pub type JobId = usize;

/// A job as a client submits it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The client's connection.
    pub connection: ConnectionId,
    /// The function that the job calls.
    pub function: String,
    /// The client's unique id of the job; empty if it has none.
    pub unique_id: Vec<u8>,
    /// Whether the job is a background job, for whose end the client does not wait.
    pub background: bool,
}

/// How a job has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobEnd {
    /// The job succeeded with this result.
    Served(Vec<u8>),
    /// The job was refused and has not run, so that it can safely be submitted again, after this time in microseconds if
    /// one is given.
    Refused(Option<u64>),
    /// The job has no result. It may have run.
    Failed,
}

/// What a client is told about a job before its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobUpdate {
    /// A worker has started the job.
    Started,
    /// A partial result.
    Data(Vec<u8>),
    /// A warning.
    Warning(Vec<u8>),
    /// The progress: numerator and denominator.
    Status(u64, u64),
    /// The reason for a failure. Clients receive it with the end of the job, if that is a failure.
    Exception(Vec<u8>),
}

/// A packet to send, with the connection that receives it.
pub type OutgoingPacket = (ConnectionId, Vec<u8>);

struct Job {
    handle: String,
    function: String,
    unique_id: Vec<u8>,
    background: bool,
    /// The clients that wait for the end of the job.
    waiting: Vec<ConnectionId>,
    /// The numerator and the denominator of the progress.
    progress: (u64, u64),
    running: bool,
    /// The number of attempts that workers have started.
    attempts: u32,
    exception: Option<Vec<u8>>,
    /// The end of a job that ended before its clients were told that it was accepted.
    end: Option<JobEnd>,
}

/// A background job that has ended.
struct EndedJob {
    handle: String,
    served: bool,
}

/// The open jobs, the clients that wait for them, and the latest ends of background jobs.
pub struct JobTable {
    jobs: BTreeMap<JobId, Job>,
    ids_by_handle: HashMap<String, JobId>,
    ids_by_unique_id: HashMap<(String, Vec<u8>), JobId>,
    /// Submissions whose clients have not been told yet whether they are accepted, in the order of arrival.
    unconfirmed: Vec<(ConnectionId, JobId)>,
    /// Clients that asked for exceptions.
    exception_clients: HashSet<ConnectionId>,
    ended_jobs: VecDeque<EndedJob>,
    max_ended_jobs: usize,
    /// The number of open jobs of each function.
    open_counts: HashMap<String, usize>,
    /// The largest number of open jobs of each limited function.
    max_open_counts: HashMap<String, usize>,
}

impl JobTable {
    /// Creates an empty table. `max_ended_jobs`: the largest number of ended background jobs that are remembered.
    pub fn new(max_ended_jobs: usize) -> JobTable {
        JobTable {
            jobs: BTreeMap::new(),
            ids_by_handle: HashMap::new(),
            ids_by_unique_id: HashMap::new(),
            unconfirmed: Vec::new(),
            exception_clients: HashSet::new(),
            ended_jobs: VecDeque::new(),
            max_ended_jobs,
            open_counts: HashMap::new(),
            max_open_counts: HashMap::new(),
        }
    }

    /// Returns the open job that this submission repeats: one with the same function and unique id.
    pub fn find_duplicate(&self, submission: &Submission) -> Option<JobId> {
        if submission.unique_id.is_empty() {
            return None;
        }
        self.ids_by_unique_id.get(&(submission.function.clone(), submission.unique_id.clone())).copied()
    }

    /// Whether the number of open jobs of this function has reached its limit.
    pub fn is_full(&self, function: &str) -> bool {
        let max_open = self.max_open_counts.get(function).copied().unwrap_or(usize::MAX);
        self.open_counts.get(function).copied().unwrap_or(0) >= max_open
    }

    /// Sets the largest number of open jobs of a function; `None`: no limit.
    pub fn set_max_open(&mut self, function: &str, max_open: Option<usize>) {
        match max_open {
            Some(max_open) => drop(self.max_open_counts.insert(function.to_owned(), max_open)),
            None => drop(self.max_open_counts.remove(function)),
        }
    }

    /// Adds a job that was passed to the decision module. [`JobTable::confirm_submissions`] tells its client whether it
    /// is accepted.
    pub fn add_job(&mut self, id: JobId, handle: String, submission: Submission) {
        let Submission { connection, function, unique_id, background } = submission;
        *self.open_counts.entry(function.clone()).or_default() += 1;
        self.ids_by_handle.insert(handle.clone(), id);
        if !unique_id.is_empty() {
            self.ids_by_unique_id.insert((function.clone(), unique_id.clone()), id);
        }
        self.unconfirmed.push((connection, id));
        let waiting = if background { Vec::new() } else { vec![connection] };
        let job = Job {
            handle,
            function,
            unique_id,
            background,
            waiting,
            progress: (0, 0),
            running: false,
            attempts: 0,
            exception: None,
            end: None,
        };
        self.jobs.insert(id, job);
    }

    /// Adds another client to an open job that it has submitted too. The client is told of the same end.
    pub fn join_job(&mut self, id: JobId, submission: &Submission) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.background |= submission.background;
        if !submission.background && !job.waiting.contains(&submission.connection) {
            job.waiting.push(submission.connection);
        }
        self.unconfirmed.push((submission.connection, id));
    }

    /// Whether the job is open.
    pub fn contains(&self, id: JobId) -> bool {
        self.jobs.contains_key(&id)
    }

    /// Whether a client has a submission that was neither confirmed nor refused yet.
    pub fn has_unconfirmed_submission(&self, connection: ConnectionId) -> bool {
        self.unconfirmed.iter().any(|&(submitter, _)| submitter == connection)
    }

    /// Whether a client has an unconfirmed submission or waits for the end of a job.
    pub fn has_waiting_client(&self, connection: ConnectionId) -> bool {
        self.has_unconfirmed_submission(connection)
            || self.jobs.values().any(|job| job.waiting.contains(&connection))
    }

    /// Sets the option of a client to receive exceptions.
    pub fn enable_exceptions(&mut self, connection: ConnectionId) {
        self.exception_clients.insert(connection);
    }

    /// Returns the unique id of a job.
    pub fn unique_id(&self, id: JobId) -> Option<&[u8]> {
        self.jobs.get(&id).map(|job| job.unique_id.as_slice())
    }

    /// Returns the open job with this handle.
    pub fn find_by_handle(&self, handle: &str) -> Option<JobId> {
        self.ids_by_handle.get(handle).copied()
    }

    /// Records an update that a worker reported, and returns the packets that pass it on to the waiting clients.
    pub fn update_job(&mut self, id: JobId, update: JobUpdate) -> Vec<OutgoingPacket> {
        let Some(job) = self.jobs.get_mut(&id) else { return Vec::new() };
        let handle = job.handle.as_bytes();
        let packet = match update {
            JobUpdate::Started => {
                job.running = true;
                job.attempts += 1;
                return Vec::new();
            }
            JobUpdate::Data(data) => encode(Sender::Server, PacketType::WorkData, &[handle, &data]),
            JobUpdate::Warning(data) => encode(Sender::Server, PacketType::WorkWarning, &[handle, &data]),
            JobUpdate::Status(done, total) => {
                job.progress = (done, total);
                let (done, total) = (done.to_string(), total.to_string());
                encode(Sender::Server, PacketType::WorkStatus, &[handle, done.as_bytes(), total.as_bytes()])
            }
            JobUpdate::Exception(exception) => {
                job.exception = Some(exception);
                return Vec::new();
            }
        };
        job.waiting.iter().map(|&connection| (connection, packet.clone())).collect()
    }

    /// Ends a job, and returns the packets for the clients that wait for it. If the job is still unconfirmed, its clients
    /// are told by [`JobTable::confirm_submissions`] instead.
    pub fn end_job(&mut self, id: JobId, end: JobEnd) -> Vec<OutgoingPacket> {
        if self.unconfirmed.iter().any(|&(_, unconfirmed)| unconfirmed == id) {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.end = Some(end);
            }
            return Vec::new();
        }
        let mut packets = Vec::new();
        if let Some(job) = self.remove_job(id) {
            job.waiting
                .iter()
                .for_each(|&connection| self.push_end_packets(&job, connection, &end, &mut packets));
            if job.background {
                self.remember_end(job.handle, matches!(end, JobEnd::Served(_)));
            }
        }
        packets
    }

    /// Returns the packets that tell clients whether their submissions are accepted, in the order of arrival, and then
    /// the ends of accepted jobs that have already ended.
    pub fn confirm_submissions(&mut self) -> Vec<OutgoingPacket> {
        let mut packets = Vec::new();
        let unconfirmed = std::mem::take(&mut self.unconfirmed);
        for &(connection, id) in &unconfirmed {
            let Some(job) = self.jobs.get(&id) else { continue };
            packets.push((
                connection,
                match &job.end {
                    Some(JobEnd::Refused(retry_after)) => encode(
                        Sender::Server,
                        PacketType::Error,
                        &[b"BUSY", refusal_text(*retry_after).as_bytes()],
                    ),
                    _ => encode(Sender::Server, PacketType::JobCreated, &[job.handle.as_bytes()]),
                },
            ));
        }
        let ended =
            unconfirmed.into_iter().filter_map(|(_, id)| Some((id, self.jobs.get_mut(&id)?.end.take()?)));
        let ended: Vec<(JobId, JobEnd)> = ended.collect();
        for (id, end) in ended {
            if matches!(end, JobEnd::Refused(_)) {
                // The job was never accepted, and its clients already have the refusal instead of an end.
                self.remove_job(id);
            } else {
                packets.extend(self.end_job(id, end));
            }
        }
        packets
    }

    fn push_end_packets(
        &self,
        job: &Job,
        connection: ConnectionId,
        end: &JobEnd,
        packets: &mut Vec<OutgoingPacket>,
    ) {
        let handle = job.handle.as_bytes();
        if let JobEnd::Served(result) = end {
            return packets
                .push((connection, encode(Sender::Server, PacketType::WorkComplete, &[handle, result])));
        }
        if self.exception_clients.contains(&connection) {
            let reason = match (&job.exception, end) {
                (Some(exception), _) => exception.clone(),
                (None, JobEnd::Refused(retry_after)) => refusal_text(*retry_after).into_bytes(),
                (None, _) => b"no worker gave a result, and it may have run".to_vec(),
            };
            packets.push((connection, encode(Sender::Server, PacketType::WorkException, &[handle, &reason])));
        }
        packets.push((connection, encode(Sender::Server, PacketType::WorkFail, &[handle])));
    }

    fn remember_end(&mut self, handle: String, served: bool) {
        if self.ended_jobs.len() >= self.max_ended_jobs {
            self.ended_jobs.pop_front();
        }
        self.ended_jobs.push_back(EndedJob { handle, served });
    }

    fn remove_job(&mut self, id: JobId) -> Option<Job> {
        let job = self.jobs.remove(&id)?;
        self.ids_by_handle.remove(&job.handle);
        let key = (job.function.clone(), job.unique_id.clone());
        if self.ids_by_unique_id.get(&key) == Some(&id) {
            self.ids_by_unique_id.remove(&key);
        }
        if let Some(count) = self.open_counts.get_mut(&job.function) {
            *count = count.saturating_sub(1);
        }
        Some(job)
    }

    /// Removes a client whose connection has closed. Returns the foreground jobs that no client waits for any more; they
    /// are removed from the table.
    pub fn remove_client(&mut self, connection: ConnectionId) -> Vec<JobId> {
        self.exception_clients.remove(&connection);
        self.unconfirmed.retain(|&(submitter, _)| submitter != connection);
        let mut abandoned = Vec::new();
        for (&id, job) in &mut self.jobs {
            let waiting_before = job.waiting.len();
            job.waiting.retain(|&other| other != connection);
            if waiting_before > 0 && job.waiting.is_empty() && !job.background {
                abandoned.push(id);
            }
        }
        for &id in &abandoned {
            self.remove_job(id);
        }
        abandoned
    }

    /// Cancels a job for an operator. Returns the job and the packets that tell its clients of the failure, or `None` if
    /// no open job has this handle.
    pub fn cancel(&mut self, handle: &str) -> Option<(JobId, Vec<OutgoingPacket>)> {
        let id = self.find_by_handle(handle)?;
        self.update_job(id, JobUpdate::Exception(b"called off by an operator".to_vec()));
        Some((id, self.end_job(id, JobEnd::Failed)))
    }

    /// Encodes the answer to GET_STATUS: known, running, numerator, denominator. An ended background job is known and not
    /// running while its end is remembered; its progress is 1 of 1 if it was served, and 0 of 1 otherwise.
    pub fn encode_status(&self, handle: &[u8]) -> Vec<u8> {
        let (known, running, done, total) = self.status(handle);
        let numbers = [known, running, done, total].map(|number| number.to_string());
        let [known, running, done, total] = numbers.each_ref().map(|text| text.as_bytes());
        encode(Sender::Server, PacketType::StatusRes, &[handle, known, running, done, total])
    }

    fn status(&self, handle: &[u8]) -> (u64, u64, u64, u64) {
        let handle = std::str::from_utf8(handle).unwrap_or("");
        if let Some(job) = self.ids_by_handle.get(handle).and_then(|id| self.jobs.get(id)) {
            return (1, u64::from(job.running), job.progress.0, job.progress.1);
        }
        match self.ended_jobs.iter().rev().find(|ended| ended.handle == handle) {
            Some(ended) => (1, 0, u64::from(ended.served), 1),
            None => (0, 0, 0, 0),
        }
    }

    /// Encodes the answer to GET_STATUS_UNIQUE: the numbers of GET_STATUS for the first open job with this unique id, and
    /// the number of clients that wait for it.
    pub fn encode_status_by_unique_id(&self, unique_id: &[u8]) -> Vec<u8> {
        let job = self.jobs.values().find(|job| !unique_id.is_empty() && job.unique_id == unique_id);
        let numbers = match job {
            Some(job) => {
                [1, u64::from(job.running), job.progress.0, job.progress.1, job.waiting.len() as u64]
            }
            None => [0; 5],
        };
        let numbers = numbers.map(|number| number.to_string());
        let [known, running, done, total, waiting] = numbers.each_ref().map(|text| text.as_bytes());
        encode(
            Sender::Server,
            PacketType::StatusResUnique,
            &[unique_id, known, running, done, total, waiting],
        )
    }

    /// Returns the number of open jobs of a function, and the number of those that a worker has started.
    pub fn job_counts(&self, function: &str) -> (usize, usize) {
        let running = self.jobs.values().filter(|job| job.function == function && job.running).count();
        (self.open_counts.get(function).copied().unwrap_or(0), running)
    }

    /// Lists the open jobs for operators: handle, number of retries, whether the job waits for a worker, unique id.
    pub fn list(&self) -> impl Iterator<Item = (&str, u32, bool, &[u8])> {
        self.jobs.values().map(|job| {
            (job.handle.as_str(), job.attempts.saturating_sub(1), !job.running, job.unique_id.as_slice())
        })
    }

    /// Returns the number of open jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether no job is open.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }
}

/// The text of a refusal for the client. `retry_after`: the time after which the client may submit again, in microseconds.
fn refusal_text(retry_after: Option<u64>) -> String {
    match retry_after {
        Some(delay) => {
            format!("it cannot be done in time: come back in {:.3} s", delay as f64 / 1e6)
        }
        None => "it cannot be done in time".to_owned(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::packet::{Parsed, parse};

    fn submission(connection: ConnectionId, unique_id: &str, background: bool) -> Submission {
        Submission { connection, function: "look".to_owned(), unique_id: unique_id.into(), background }
    }

    fn packet_types(packets: &[OutgoingPacket]) -> Vec<(ConnectionId, PacketType)> {
        let packet_type = |bytes: &[u8]| match parse(bytes, Sender::Server, 1 << 16) {
            Ok(Parsed::Complete(packet, _)) => packet.packet_type,
            other => panic!("not a complete packet: {other:?}"),
        };
        packets.iter().map(|(connection, bytes)| (*connection, packet_type(bytes))).collect()
    }

    #[test]
    fn a_refusal_before_the_confirmation_is_an_error_and_a_later_one_a_failure() {
        let mut table = JobTable::new(4);
        table.add_job(1, "H:1".to_owned(), submission(9, "", false));
        assert!(table.end_job(1, JobEnd::Refused(Some(1_500_000))).is_empty());
        let packets = table.confirm_submissions();
        assert_eq!(packet_types(&packets), [(9, PacketType::Error)]);
        assert!(String::from_utf8_lossy(&packets[0].1).ends_with("come back in 1.500 s"));
        table.enable_exceptions(9);
        table.add_job(2, "H:2".to_owned(), submission(9, "", false));
        assert_eq!(packet_types(&table.confirm_submissions()), [(9, PacketType::JobCreated)]);
        assert_eq!(
            packet_types(&table.end_job(2, JobEnd::Refused(None))),
            [(9, PacketType::WorkException), (9, PacketType::WorkFail)]
        );
        assert!(
            table.is_empty() && table.end_job(2, JobEnd::Failed).is_empty(),
            "a second end of job 2 sends nothing"
        );
    }

    #[test]
    fn submissions_with_the_same_function_and_unique_id_are_one_job_whose_end_each_waiting_client_gets() {
        let mut table = JobTable::new(4);
        table.add_job(1, "H:1".to_owned(), submission(7, "u", false));
        assert_eq!(table.find_duplicate(&submission(8, "u", false)), Some(1));
        assert_eq!(table.find_duplicate(&submission(8, "", false)), None);
        assert_eq!(
            table.find_duplicate(&Submission { function: "book".to_owned(), ..submission(8, "u", false) }),
            None
        );
        table.join_job(1, &submission(8, "u", false));
        assert_eq!(
            packet_types(&table.confirm_submissions()),
            [(7, PacketType::JobCreated), (8, PacketType::JobCreated)]
        );
        assert!(table.remove_client(7).is_empty(), "client 8 still waits");
        assert_eq!(
            packet_types(&table.end_job(1, JobEnd::Served(b"r".to_vec()))),
            [(8, PacketType::WorkComplete)]
        );
        assert_eq!(table.find_duplicate(&submission(8, "u", false)), None, "the job has ended");
    }

    #[test]
    fn a_client_that_disconnects_abandons_its_foreground_jobs_but_not_its_background_jobs() {
        let mut table = JobTable::new(4);
        table.add_job(1, "H:1".to_owned(), submission(7, "", false));
        table.add_job(2, "H:2".to_owned(), submission(7, "", true));
        table.confirm_submissions();
        assert_eq!(table.remove_client(7), [1]);
        assert!(!table.contains(1) && table.contains(2));
        assert!(table.end_job(2, JobEnd::Served(Vec::new())).is_empty());
        assert_eq!(table.status(b"H:2"), (1, 0, 1, 1));
    }

    #[test]
    fn only_the_latest_ends_of_background_jobs_are_remembered_up_to_the_limit() {
        let mut table = JobTable::new(2);
        for id in 1..=3 {
            table.add_job(id, format!("H:{id}"), submission(7, "", true));
        }
        table.confirm_submissions();
        table.update_job(3, JobUpdate::Status(2, 5));
        table.update_job(3, JobUpdate::Started);
        assert_eq!(table.status(b"H:3"), (1, 1, 2, 5));
        for (id, end) in [(1, JobEnd::Failed), (2, JobEnd::Failed), (3, JobEnd::Served(Vec::new()))] {
            assert!(table.end_job(id, end).is_empty());
        }
        assert_eq!(table.status(b"H:1"), (0, 0, 0, 0));
        assert_eq!((table.status(b"H:2"), table.status(b"H:3")), ((1, 0, 0, 1), (1, 0, 1, 1)));
        assert_eq!(table.status(b"\xff"), (0, 0, 0, 0));
    }

    #[test]
    fn a_function_is_full_at_the_limit_that_an_operator_sets() {
        let mut table = JobTable::new(2);
        table.set_max_open("look", Some(1));
        assert!(!table.is_full("look"));
        table.add_job(1, "H:1".to_owned(), submission(7, "", false));
        assert!(table.is_full("look") && !table.is_full("book"));
        table.confirm_submissions();
        let (id, packets) = table.cancel("H:1").expect("job H:1 is not open");
        assert_eq!((id, packet_types(&packets)), (1, vec![(7, PacketType::WorkFail)]));
        assert!(!table.is_full("look") && table.cancel("H:1").is_none());
    }
}
