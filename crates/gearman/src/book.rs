//! Jobs as clients see them: which submissions are one job, who waits for it, how far it is, and how it ended. Who runs
//! it, and whether it is taken at all, is decided elsewhere; the book says what clients are told of that.

use crate::ConnId;
use crate::packet::{PacketType, Sender, encode};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

/// A job, as its host calls it.
pub type JobId = usize;

/// A job as it is taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The client.
    pub conn: ConnId,
    /// What is to be done.
    pub function: String,
    /// The client's name for it: empty where it has none.
    pub unique: Vec<u8>,
    /// Nobody waits for its end.
    pub background: bool,
}

/// How a job has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// With this result.
    Served(Vec<u8>),
    /// Refused: to submit it again is harmless, after so many microseconds.
    Refused(Option<u64>),
    /// It may have run, and has no result.
    Failed,
}

/// What a client is told on the way to the end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// A worker has it.
    Started,
    /// A part of the result.
    Data(Vec<u8>),
    /// A warning.
    Warning(Vec<u8>),
    /// So much of so much is done.
    Status(u64, u64),
    /// Why it is about to fail: told with the end, if that is a failure.
    Exception(Vec<u8>),
}

/// Something to be sent to a client.
pub type Mail = (ConnId, Vec<u8>);

struct Job {
    handle: String,
    function: String,
    unique: Vec<u8>,
    background: bool,
    waiting: Vec<ConnId>,
    progress: (u64, u64),
    running: bool,
    tries: u32,
    exception: Option<Vec<u8>>,
    /// It ended before its clients were told that it was taken.
    end: Option<End>,
}

/// A background job that is over.
struct Ended {
    handle: String,
    served: bool,
}

/// See the head of this file.
pub struct Book {
    jobs: BTreeMap<JobId, Job>,
    handles: HashMap<String, JobId>,
    uniques: HashMap<(String, Vec<u8>), JobId>,
    /// Submissions whose clients have not been told yet whether they are taken, in their order.
    fresh: Vec<(ConnId, JobId)>,
    /// Clients that asked for exceptions.
    exceptions: HashSet<ConnId>,
    ended: VecDeque<Ended>,
    most_ended: usize,
    queues: HashMap<String, usize>,
    most_queues: HashMap<String, usize>,
}

impl Book {
    /// `most_ended`: how many ends of background jobs are remembered.
    pub fn new(most_ended: usize) -> Book {
        Book {
            jobs: BTreeMap::new(),
            handles: HashMap::new(),
            uniques: HashMap::new(),
            fresh: Vec::new(),
            exceptions: HashSet::new(),
            ended: VecDeque::new(),
            most_ended,
            queues: HashMap::new(),
            most_queues: HashMap::new(),
        }
    }

    /// The open job that this submission is another word for: of the same function and unique id.
    pub fn same(&self, submission: &Submission) -> Option<JobId> {
        if submission.unique.is_empty() {
            return None;
        }
        self.uniques.get(&(submission.function.clone(), submission.unique.clone())).copied()
    }

    /// As many jobs of this function are open as its queue may hold.
    pub fn full(&self, function: &str) -> bool {
        let most = self.most_queues.get(function).copied().unwrap_or(usize::MAX);
        self.queues.get(function).copied().unwrap_or(0) >= most
    }

    /// So many jobs of a function may be open from now on.
    pub fn limit(&mut self, function: &str, most: Option<usize>) {
        match most {
            Some(most) => drop(self.most_queues.insert(function.to_owned(), most)),
            None => drop(self.most_queues.remove(function)),
        }
    }

    /// A job was handed to who decides. Its client is told with [`Book::settle`] whether it is taken.
    pub fn open(&mut self, job: JobId, handle: String, submission: Submission) {
        let Submission { conn, function, unique, background } = submission;
        *self.queues.entry(function.clone()).or_default() += 1;
        self.handles.insert(handle.clone(), job);
        if !unique.is_empty() {
            self.uniques.insert((function.clone(), unique.clone()), job);
        }
        self.fresh.push((conn, job));
        let waiting = if background { Vec::new() } else { vec![conn] };
        let entry = Job {
            handle,
            function,
            unique,
            background,
            waiting,
            progress: (0, 0),
            running: false,
            tries: 0,
            exception: None,
            end: None,
        };
        self.jobs.insert(job, entry);
    }

    /// Another client submits a job that is open: it is told of the same end.
    pub fn join(&mut self, job: JobId, submission: &Submission) {
        let Some(entry) = self.jobs.get_mut(&job) else { return };
        entry.background |= submission.background;
        if !submission.background && !entry.waiting.contains(&submission.conn) {
            entry.waiting.push(submission.conn);
        }
        self.fresh.push((submission.conn, job));
    }

    /// A job of this book is open.
    pub fn has(&self, job: JobId) -> bool {
        self.jobs.contains_key(&job)
    }

    /// A client is still to be told whether what it submitted is taken.
    pub fn owes(&self, conn: ConnId) -> bool {
        self.fresh.iter().any(|&(fresh, _)| fresh == conn)
    }

    /// A client waits for the end of a job.
    pub fn awaits(&self, conn: ConnId) -> bool {
        self.owes(conn) || self.jobs.values().any(|job| job.waiting.contains(&conn))
    }

    /// A client asked for exceptions.
    pub fn with_exceptions(&mut self, conn: ConnId) {
        self.exceptions.insert(conn);
    }

    /// The unique id of a job.
    pub fn unique(&self, job: JobId) -> Option<&[u8]> {
        self.jobs.get(&job).map(|job| job.unique.as_slice())
    }

    /// The job with this handle.
    pub fn find(&self, handle: &str) -> Option<JobId> {
        self.handles.get(handle).copied()
    }

    /// Passes on what a worker told.
    pub fn relay(&mut self, job: JobId, part: Part) -> Vec<Mail> {
        let Some(job) = self.jobs.get_mut(&job) else { return Vec::new() };
        let handle = job.handle.as_bytes();
        let packet = match part {
            Part::Started => {
                job.running = true;
                job.tries += 1;
                return Vec::new();
            }
            Part::Data(data) => encode(Sender::Server, PacketType::WorkData, &[handle, &data]),
            Part::Warning(data) => encode(Sender::Server, PacketType::WorkWarning, &[handle, &data]),
            Part::Status(done, of) => {
                job.progress = (done, of);
                let (done, of) = (done.to_string(), of.to_string());
                encode(Sender::Server, PacketType::WorkStatus, &[handle, done.as_bytes(), of.as_bytes()])
            }
            Part::Exception(what) => {
                job.exception = Some(what);
                return Vec::new();
            }
        };
        job.waiting.iter().map(|&conn| (conn, packet.clone())).collect()
    }

    /// A job has its end. Clients that know of it are told; those that do not yet, with [`Book::settle`].
    pub fn end(&mut self, job: JobId, end: End) -> Vec<Mail> {
        if self.fresh.iter().any(|&(_, fresh)| fresh == job) {
            if let Some(job) = self.jobs.get_mut(&job) {
                job.end = Some(end);
            }
            return Vec::new();
        }
        let mut mail = Vec::new();
        if let Some(entry) = self.forget(job) {
            entry.waiting.iter().for_each(|&conn| self.tell(&entry, conn, &end, &mut mail));
            if entry.background {
                self.remember(entry.handle, matches!(end, End::Served(_)));
            }
        }
        mail
    }

    /// Tells clients whether what they submitted is taken, in the order in which it came.
    pub fn settle(&mut self) -> Vec<Mail> {
        let mut mail = Vec::new();
        let fresh = std::mem::take(&mut self.fresh);
        for &(conn, job) in &fresh {
            let Some(entry) = self.jobs.get(&job) else { continue };
            mail.push((
                conn,
                match &entry.end {
                    Some(End::Refused(come_back)) => {
                        encode(Sender::Server, PacketType::Error, &[b"BUSY", refusal(*come_back).as_bytes()])
                    }
                    _ => encode(Sender::Server, PacketType::JobCreated, &[entry.handle.as_bytes()]),
                },
            ));
        }
        let ended =
            fresh.into_iter().filter_map(|(_, job)| Some((job, self.jobs.get_mut(&job)?.end.take()?)));
        let ended: Vec<(JobId, End)> = ended.collect();
        for (job, end) in ended {
            if matches!(end, End::Refused(_)) {
                // It was never taken, so it has no end either.
                self.forget(job);
            } else {
                mail.extend(self.end(job, end));
            }
        }
        mail
    }

    fn tell(&self, job: &Job, conn: ConnId, end: &End, mail: &mut Vec<Mail>) {
        let handle = job.handle.as_bytes();
        if let End::Served(result) = end {
            return mail.push((conn, encode(Sender::Server, PacketType::WorkComplete, &[handle, result])));
        }
        if self.exceptions.contains(&conn) {
            let why = match (&job.exception, end) {
                (Some(why), _) => why.clone(),
                (None, End::Refused(come_back)) => refusal(*come_back).into_bytes(),
                (None, _) => b"no worker gave a result, and it may have run".to_vec(),
            };
            mail.push((conn, encode(Sender::Server, PacketType::WorkException, &[handle, &why])));
        }
        mail.push((conn, encode(Sender::Server, PacketType::WorkFail, &[handle])));
    }

    fn remember(&mut self, handle: String, served: bool) {
        if self.ended.len() >= self.most_ended {
            self.ended.pop_front();
        }
        self.ended.push_back(Ended { handle, served });
    }

    fn forget(&mut self, id: JobId) -> Option<Job> {
        let job = self.jobs.remove(&id)?;
        self.handles.remove(&job.handle);
        let key = (job.function.clone(), job.unique.clone());
        if self.uniques.get(&key) == Some(&id) {
            self.uniques.remove(&key);
        }
        if let Some(count) = self.queues.get_mut(&job.function) {
            *count = count.saturating_sub(1);
        }
        Some(job)
    }

    /// A client has gone. Gives the jobs that nobody waits for any more: they are forgotten here.
    pub fn leave(&mut self, conn: ConnId) -> Vec<JobId> {
        self.exceptions.remove(&conn);
        self.fresh.retain(|&(fresh, _)| fresh != conn);
        let mut left = Vec::new();
        for (&id, job) in &mut self.jobs {
            let before = job.waiting.len();
            job.waiting.retain(|&other| other != conn);
            if before > 0 && job.waiting.is_empty() && !job.background {
                left.push(id);
            }
        }
        for &job in &left {
            self.forget(job);
        }
        left
    }

    /// An operator calls off a job: its clients are told that it failed, and it is forgotten. `None`: there is none.
    pub fn cancel(&mut self, handle: &str) -> Option<(JobId, Vec<Mail>)> {
        let job = self.find(handle)?;
        self.relay(job, Part::Exception(b"called off by an operator".to_vec()));
        Some((job, self.end(job, End::Failed)))
    }

    /// The answer to GET_STATUS: known, running, numerator, denominator. A background job that is over is known and not
    /// running, 1 of 1 if it was served and 0 of 1 if not, while its end is remembered.
    pub fn status(&self, handle: &[u8]) -> Vec<u8> {
        let (known, running, done, of) = self.look(handle);
        let numbers = [known, running, done, of].map(|number| number.to_string());
        let [known, running, done, of] = numbers.each_ref().map(|text| text.as_bytes());
        encode(Sender::Server, PacketType::StatusRes, &[handle, known, running, done, of])
    }

    fn look(&self, handle: &[u8]) -> (u64, u64, u64, u64) {
        let text = std::str::from_utf8(handle).unwrap_or("");
        if let Some(job) = self.handles.get(text).and_then(|job| self.jobs.get(job)) {
            return (1, u64::from(job.running), job.progress.0, job.progress.1);
        }
        match self.ended.iter().rev().find(|ended| ended.handle == text) {
            Some(ended) => (1, 0, u64::from(ended.served), 1),
            None => (0, 0, 0, 0),
        }
    }

    /// The answer to GET_STATUS_UNIQUE: the same of the first open job with this unique id, and how many wait for it.
    pub fn status_unique(&self, unique: &[u8]) -> Vec<u8> {
        let job = self.jobs.values().find(|job| !unique.is_empty() && job.unique == unique);
        let numbers = match job {
            Some(job) => {
                [1, u64::from(job.running), job.progress.0, job.progress.1, job.waiting.len() as u64]
            }
            None => [0; 5],
        };
        let numbers = numbers.map(|number| number.to_string());
        let [known, running, done, of, waiting] = numbers.each_ref().map(|text| text.as_bytes());
        encode(Sender::Server, PacketType::StatusResUnique, &[unique, known, running, done, of, waiting])
    }

    /// Jobs of a function that are open, and those that are with a worker.
    pub fn counts(&self, function: &str) -> (usize, usize) {
        let running = self.jobs.values().filter(|job| job.function == function && job.running).count();
        (self.queues.get(function).copied().unwrap_or(0), running)
    }

    /// Open jobs for operators: handle, resends, whether it waits, unique id.
    pub fn list(&self) -> impl Iterator<Item = (&str, u32, bool, &[u8])> {
        self.jobs.values().map(|job| {
            (job.handle.as_str(), job.tries.saturating_sub(1), !job.running, job.unique.as_slice())
        })
    }

    /// How many jobs are open.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// No job is open.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }
}

/// A refusal in words.
fn refusal(come_back: Option<u64>) -> String {
    match come_back {
        Some(span) => {
            format!("it cannot be done in time: come back in {:.3} s", span as f64 / 1e6)
        }
        None => "it cannot be done in time".to_owned(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::packet::{Parsed, parse};

    fn submission(conn: ConnId, unique: &str, background: bool) -> Submission {
        Submission { conn, function: "look".to_owned(), unique: unique.into(), background }
    }

    fn told(mail: &[Mail]) -> Vec<(ConnId, PacketType)> {
        let kind = |bytes: &[u8]| match parse(bytes, Sender::Server, 1 << 16) {
            Ok(Parsed::Complete(packet, _)) => packet.packet_type,
            other => panic!("no packet: {other:?}"),
        };
        mail.iter().map(|(conn, bytes)| (*conn, kind(bytes))).collect()
    }

    #[test]
    fn a_refusal_in_the_same_turn_is_an_error_and_a_later_one_a_failure() {
        let mut book = Book::new(4);
        book.open(1, "H:1".to_owned(), submission(9, "", false));
        assert!(book.end(1, End::Refused(Some(1_500_000))).is_empty());
        let mail = book.settle();
        assert_eq!(told(&mail), [(9, PacketType::Error)]);
        assert!(String::from_utf8_lossy(&mail[0].1).ends_with("come back in 1.500 s"));
        book.with_exceptions(9);
        book.open(2, "H:2".to_owned(), submission(9, "", false));
        assert_eq!(told(&book.settle()), [(9, PacketType::JobCreated)]);
        assert_eq!(
            told(&book.end(2, End::Refused(None))),
            [(9, PacketType::WorkException), (9, PacketType::WorkFail)]
        );
        assert!(book.is_empty() && book.end(2, End::Failed).is_empty(), "it has one end");
    }

    #[test]
    fn same_function_and_unique_id_are_one_job_with_an_end_for_each_client() {
        let mut book = Book::new(4);
        book.open(1, "H:1".to_owned(), submission(7, "u", false));
        assert_eq!(book.same(&submission(8, "u", false)), Some(1));
        assert_eq!(book.same(&submission(8, "", false)), None);
        assert_eq!(book.same(&Submission { function: "book".to_owned(), ..submission(8, "u", false) }), None);
        book.join(1, &submission(8, "u", false));
        assert_eq!(told(&book.settle()), [(7, PacketType::JobCreated), (8, PacketType::JobCreated)]);
        assert!(book.leave(7).is_empty(), "the other still waits");
        assert_eq!(told(&book.end(1, End::Served(b"r".to_vec()))), [(8, PacketType::WorkComplete)]);
        assert_eq!(book.same(&submission(8, "u", false)), None, "it is over");
    }

    #[test]
    fn a_client_that_leaves_takes_its_jobs_along_but_not_those_in_the_background() {
        let mut book = Book::new(4);
        book.open(1, "H:1".to_owned(), submission(7, "", false));
        book.open(2, "H:2".to_owned(), submission(7, "", true));
        book.settle();
        assert_eq!(book.leave(7), [1]);
        assert!(!book.has(1) && book.has(2));
        assert!(book.end(2, End::Served(Vec::new())).is_empty());
        assert_eq!(book.look(b"H:2"), (1, 0, 1, 1));
    }

    #[test]
    fn ends_of_background_jobs_are_told_once_over_and_remembered_in_bounds() {
        let mut book = Book::new(2);
        for job in 1..=3 {
            book.open(job, format!("H:{job}"), submission(7, "", true));
        }
        book.settle();
        book.relay(3, Part::Status(2, 5));
        book.relay(3, Part::Started);
        assert_eq!(book.look(b"H:3"), (1, 1, 2, 5));
        for (job, end) in [(1, End::Failed), (2, End::Failed), (3, End::Served(Vec::new()))] {
            assert!(book.end(job, end).is_empty());
        }
        assert_eq!(book.look(b"H:1"), (0, 0, 0, 0));
        assert_eq!((book.look(b"H:2"), book.look(b"H:3")), ((1, 0, 0, 1), (1, 0, 1, 1)));
        assert_eq!(book.look(b"\xff"), (0, 0, 0, 0));
    }

    #[test]
    fn a_queue_is_bounded_where_an_operator_says_so() {
        let mut book = Book::new(2);
        book.limit("look", Some(1));
        assert!(!book.full("look"));
        book.open(1, "H:1".to_owned(), submission(7, "", false));
        assert!(book.full("look") && !book.full("book"));
        book.settle();
        let (job, mail) = book.cancel("H:1").expect("it is open");
        assert_eq!((job, told(&mail)), (1, vec![(7, PacketType::WorkFail)]));
        assert!(!book.full("look") && book.cancel("H:1").is_none());
    }
}
