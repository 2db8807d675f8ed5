//! Keeps payloads in files. Each process has its own directory, protected by a file lock while the process runs. Each
//! payload is one file of segments; a segment has a header with its length, its number and a checksum. Each segment
//! is checked before its bytes are returned.

use crate::PayloadId;
use std::collections::HashMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, Sender, SyncSender, TrySendError, channel, sync_channel};
use std::thread::{self, JoinHandle};

/// Maximum number of payload bytes in a segment.
pub const SEGMENT_SIZE: usize = 64 * 1024;
/// Size of a segment header in bytes: length, number and checksum, four bytes each.
const HEADER_SIZE: usize = 12;
/// Name prefix of the processes' directories.
const DIRECTORY_PREFIX: &str = "bodies-";
/// Name of the file that a process keeps locked in its directory while it runs.
const LOCK_FILE: &str = "lock";
/// Name of the lock file that is held while a directory is created or leftover directories are removed, so that a
/// directory just being created is not taken for a leftover.
const CLEANUP_LOCK_FILE: &str = "sweep.lock";

/// An error of the file store.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A file operation failed.
    #[error("{operation} {path}: {error}")]
    Io {
        /// The operation.
        operation: &'static str,
        /// The file or directory.
        path: PathBuf,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The file contains other bytes than were written to it.
    #[error("{path}: segment {segment} differs from the bytes that were written")]
    Corrupt {
        /// The file.
        path: PathBuf,
        /// The number of the segment, from 0.
        segment: u32,
    },
    /// The store has no payload with this number.
    #[error("payload {0} is not in the file store")]
    NotFound(PayloadId),
}

/// Writes to files; tests implement it to simulate a failing disk.
pub trait Disk: Send + 'static {
    /// Appends all bytes to a file.
    ///
    /// # Errors
    /// The error of the operating system; some of the bytes may have been written.
    fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()>;
}

/// Writes to the file system without any simulated failure.
pub struct RealDisk;

impl Disk for RealDisk {
    fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        file.write_all(bytes)
    }
}

/// The directory of this process.
#[derive(Debug)]
pub struct ProcessDirectory {
    path: PathBuf,
    /// The lock is held until the process ends.
    _lock: File,
}

fn io_error(operation: &'static str, path: &Path) -> impl FnOnce(io::Error) -> StoreError {
    let path = path.to_owned();
    move |error| StoreError::Io { operation, path, error }
}

fn open_lock_file(path: &Path) -> io::Result<File> {
    OpenOptions::new().create(true).truncate(false).write(true).open(path)
}

impl ProcessDirectory {
    /// Creates the directory of this process in `base` and removes the directories of processes that have ended.
    /// Returns the number of directories removed.
    ///
    /// # Errors
    /// The base directory does not exist or cannot be written.
    pub fn open(base: &Path) -> Result<(ProcessDirectory, usize), StoreError> {
        let cleanup_lock = base.join(CLEANUP_LOCK_FILE);
        let cleanup_guard = open_lock_file(&cleanup_lock).map_err(io_error("opening", &cleanup_lock))?;
        cleanup_guard.lock().map_err(io_error("locking", &cleanup_lock))?;
        let mut removed = 0;
        for entry in fs::read_dir(base).map_err(io_error("listing", base))?.flatten() {
            let path = entry.path();
            if entry.file_name().to_string_lossy().starts_with(DIRECTORY_PREFIX) && is_abandoned(&path) {
                fs::remove_dir_all(&path).map_err(io_error("removing", &path))?;
                removed += 1;
            }
        }
        let mut suffix = 0;
        let path = loop {
            let path = base.join(format!("{DIRECTORY_PREFIX}{}-{suffix}", std::process::id()));
            match fs::create_dir(&path) {
                Ok(()) => break path,
                Err(error) if error.kind() == io::ErrorKind::AlreadyExists => suffix += 1,
                Err(error) => return Err(io_error("creating", &path)(error)),
            }
        };
        let lock = path.join(LOCK_FILE);
        let own_lock = open_lock_file(&lock).map_err(io_error("opening", &lock))?;
        own_lock.lock().map_err(io_error("locking", &lock))?;
        Ok((ProcessDirectory { path, _lock: own_lock }, removed))
    }

    /// The path of the directory.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for ProcessDirectory {
    fn drop(&mut self) {
        // A directory that could not be removed now is removed when a process next starts.
        let _ = fs::remove_dir_all(&self.path);
    }
}

/// No running process holds the lock of this directory.
fn is_abandoned(path: &Path) -> bool {
    open_lock_file(&path.join(LOCK_FILE)).is_ok_and(|lock| lock.try_lock().is_ok())
}

struct PayloadFile {
    file: File,
    path: PathBuf,
    /// Length of the file in bytes, including the segment headers.
    length: u64,
    segment_count: u32,
}

/// The payload files of one process.
pub struct FileStore<D> {
    directory: ProcessDirectory,
    disk: D,
    payloads: HashMap<PayloadId, PayloadFile>,
}

impl<D: Disk> FileStore<D> {
    /// An empty store in this directory.
    pub fn new(directory: ProcessDirectory, disk: D) -> FileStore<D> {
        FileStore { directory, disk, payloads: HashMap::new() }
    }

    /// Number of payloads in files.
    pub fn len(&self) -> usize {
        self.payloads.len()
    }

    /// No payload is in a file.
    pub fn is_empty(&self) -> bool {
        self.payloads.is_empty()
    }

    /// Appends bytes to the file of a payload, in segments.
    ///
    /// # Errors
    /// A file operation failed. The file is removed, so that a payload is either complete or absent.
    pub fn append(&mut self, id: PayloadId, bytes: &[u8]) -> Result<(), StoreError> {
        let appended = bytes.chunks(SEGMENT_SIZE).try_for_each(|segment| self.append_segment(id, segment));
        if appended.is_err() {
            self.remove(id);
        }
        appended
    }

    fn append_segment(&mut self, id: PayloadId, segment_bytes: &[u8]) -> Result<(), StoreError> {
        let payload_file = match self.payloads.entry(id) {
            std::collections::hash_map::Entry::Occupied(occupied) => occupied.into_mut(),
            std::collections::hash_map::Entry::Vacant(vacant) => {
                let path = self.directory.path.join(format!("{id:016x}"));
                let opened = OpenOptions::new().create_new(true).read(true).append(true).open(&path);
                let file = opened.map_err(io_error("creating", &path))?;
                vacant.insert(PayloadFile { file, path, length: 0, segment_count: 0 })
            }
        };
        let mut bytes = Vec::with_capacity(HEADER_SIZE + segment_bytes.len());
        bytes.extend_from_slice(&(segment_bytes.len() as u32).to_be_bytes());
        bytes.extend_from_slice(&payload_file.segment_count.to_be_bytes());
        bytes.extend_from_slice(&checksum(id, payload_file.segment_count, segment_bytes).to_be_bytes());
        bytes.extend_from_slice(segment_bytes);
        self.disk.append(&mut payload_file.file, &bytes).map_err(io_error("writing", &payload_file.path))?;
        payload_file.length += bytes.len() as u64;
        payload_file.segment_count += 1;
        Ok(())
    }

    /// Reads a payload back segment by segment; each segment is checked before `consume` receives it.
    ///
    /// # Errors
    /// A file operation failed, or a segment differs from what was written. That segment is not passed to `consume`.
    pub fn read(&mut self, id: PayloadId, mut consume: impl FnMut(&[u8])) -> Result<(), StoreError> {
        let payload_file = self.payloads.get_mut(&id).ok_or(StoreError::NotFound(id))?;
        payload_file.file.seek(SeekFrom::Start(0)).map_err(io_error("reading", &payload_file.path))?;
        let mut segment_bytes = Vec::with_capacity(SEGMENT_SIZE);
        for segment in 0..payload_file.segment_count {
            let corrupt = || StoreError::Corrupt { path: payload_file.path.clone(), segment };
            let read_error = |error: io::Error| match error.kind() {
                // Another process has truncated the file.
                io::ErrorKind::UnexpectedEof => corrupt(),
                _ => io_error("reading", &payload_file.path)(error),
            };
            let mut header = [0; HEADER_SIZE];
            payload_file.file.read_exact(&mut header).map_err(read_error)?;
            let header_word =
                |at: usize| u32::from_be_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]]);
            let length = header_word(0) as usize;
            if length > SEGMENT_SIZE || header_word(4) != segment {
                return Err(corrupt());
            }
            segment_bytes.resize(length, 0);
            payload_file.file.read_exact(&mut segment_bytes).map_err(read_error)?;
            if checksum(id, segment, &segment_bytes) != header_word(8) {
                return Err(corrupt());
            }
            consume(&segment_bytes);
        }
        let length = payload_file.file.metadata().map_err(io_error("reading", &payload_file.path))?.len();
        if length == payload_file.length {
            Ok(())
        } else {
            Err(StoreError::Corrupt { path: payload_file.path.clone(), segment: payload_file.segment_count })
        }
    }

    /// Removes a payload and its file.
    pub fn remove(&mut self, id: PayloadId) {
        if let Some(payload_file) = self.payloads.remove(&id) {
            // The file may already have been removed by another process; the error can be ignored.
            let _ = fs::remove_file(&payload_file.path);
        }
    }
}

/// Checksum over the payload's number, the segment's number and the bytes, so that a segment of another payload or at
/// another position is detected as well as a changed one.
fn checksum(id: PayloadId, segment: u32, segment_bytes: &[u8]) -> u32 {
    let id_checksum = crc32c::crc32c(&id.to_be_bytes());
    crc32c::crc32c_append(crc32c::crc32c_append(id_checksum, &segment.to_be_bytes()), segment_bytes)
}

/// A task for the store thread.
#[derive(Debug)]
pub enum StoreTask {
    /// Append these bytes to the file of a payload.
    Append(PayloadId, Vec<u8>),
    /// Read a payload back.
    Read(PayloadId),
    /// Remove a payload.
    Remove(PayloadId),
}

/// A result from the store thread.
#[derive(Debug)]
pub enum StoreResult {
    /// The bytes are in the file.
    Appended(PayloadId),
    /// One checked segment of a payload.
    Segment(PayloadId, Vec<u8>),
    /// All segments of the payload have been returned.
    ReadComplete(PayloadId),
    /// The payload could not be written or read.
    Failed(PayloadId, StoreError),
}

/// A thread that performs the blocking file operations of a [`FileStore`].
pub struct StoreThread {
    tasks: Option<SyncSender<StoreTask>>,
    results: Receiver<StoreResult>,
    thread: Option<JoinHandle<()>>,
}

impl StoreThread {
    /// Starts the thread. At most `max_waiting` tasks wait in its queue; `wake` is called after each task.
    pub fn start<D: Disk>(
        mut store: FileStore<D>,
        max_waiting: usize,
        wake: impl Fn() + Send + 'static,
    ) -> StoreThread {
        let (tasks, queue) = sync_channel(max_waiting);
        let (result_sender, results) = channel();
        let run = move || {
            for task in queue {
                execute(&mut store, task, &result_sender);
                wake();
            }
        };
        StoreThread { tasks: Some(tasks), results, thread: Some(thread::spawn(run)) }
    }

    /// Queues a task for the thread.
    ///
    /// # Errors
    /// Returns the task if the queue is full or the thread has ended.
    pub fn try_submit(&self, task: StoreTask) -> Result<(), StoreTask> {
        match &self.tasks {
            Some(tasks) => tasks.try_send(task).map_err(|error| match error {
                TrySendError::Full(task) | TrySendError::Disconnected(task) => task,
            }),
            None => Err(task),
        }
    }

    /// The results that have arrived since the last call.
    pub fn results(&self) -> impl Iterator<Item = StoreResult> {
        self.results.try_iter()
    }

    /// Waits for the next result; `None` once the thread has ended.
    pub fn wait_for_result(&self) -> Option<StoreResult> {
        self.results.recv().ok()
    }
}

impl Drop for StoreThread {
    fn drop(&mut self) {
        self.tasks = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn execute<D: Disk>(store: &mut FileStore<D>, task: StoreTask, result_sender: &Sender<StoreResult>) {
    let result = match task {
        StoreTask::Append(id, bytes) => match store.append(id, &bytes) {
            Ok(()) => StoreResult::Appended(id),
            Err(error) => StoreResult::Failed(id, error),
        },
        StoreTask::Read(id) => {
            let read = store.read(id, |segment_bytes| {
                drop(result_sender.send(StoreResult::Segment(id, segment_bytes.to_vec())))
            });
            match read {
                Ok(()) => StoreResult::ReadComplete(id),
                Err(error) => StoreResult::Failed(id, error),
            }
        }
        StoreTask::Remove(id) => return store.remove(id),
    };
    let _ = result_sender.send(result);
}
