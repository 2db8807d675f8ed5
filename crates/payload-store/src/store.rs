//! Bodies in files. Each process has a folder of its own, held by a lock as long as it lives; each body is a file of
//! segments, each with its length, its number and a checksum. What comes back is checked before any of it is used.

use crate::BodyId;
use std::collections::HashMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, Sender, SyncSender, TrySendError, channel, sync_channel};
use std::thread::{self, JoinHandle};

/// The bytes of a segment at most.
pub const SEGMENT: usize = 64 * 1024;
/// Length, number and checksum of a segment, four bytes each.
const HEAD: usize = 12;
/// What the folders of processes begin with.
const FOLDER: &str = "bodies-";
/// What a process holds as long as it lives, in its folder.
const LOCK: &str = "lock";
/// What is held while a folder is made or left-overs are removed, so that none is taken for the other.
const SWEEP: &str = "sweep.lock";

/// What is wrong with a body.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// The disk said no.
    #[error("{what} {path}: {error}")]
    Disk {
        /// What was tried.
        what: &'static str,
        /// With which file.
        path: PathBuf,
        /// What the disk said.
        error: io::Error,
    },
    /// What came back is not what went in.
    #[error("{path}: segment {segment} is not what was written")]
    Changed {
        /// Of which file.
        path: PathBuf,
        /// Which segment, from 0.
        segment: u32,
    },
    /// There is no such body.
    #[error("body {0} is in no file")]
    Unknown(BodyId),
}

/// How files are written: a seam for tests, that a disk may fail without being made to.
pub trait Disk: Send + 'static {
    /// Adds all of these bytes to the end of a file, or fails.
    ///
    /// # Errors
    /// Whatever the disk says; some of the bytes may have been written.
    fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()>;
}

/// The disk as it is.
pub struct Plain;

impl Disk for Plain {
    fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        file.write_all(bytes)
    }
}

/// The folder of this process.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    /// Held as long as the process lives.
    _lock: File,
}

fn fault(what: &'static str, path: &Path) -> impl FnOnce(io::Error) -> Fault {
    let path = path.to_owned();
    move |error| Fault::Disk { what, path, error }
}

fn locked(path: &Path) -> io::Result<File> {
    OpenOptions::new().create(true).truncate(false).write(true).open(path)
}

impl Folder {
    /// Makes the folder of this process in `base`, and removes what processes that have gone left there. Gives how many
    /// left-overs were removed.
    ///
    /// # Errors
    /// The base is not there, or cannot be written.
    pub fn open(base: &Path) -> Result<(Folder, usize), Fault> {
        let sweep = base.join(SWEEP);
        let held = locked(&sweep).map_err(fault("opening", &sweep))?;
        held.lock().map_err(fault("locking", &sweep))?;
        let mut removed = 0;
        for entry in fs::read_dir(base).map_err(fault("listing", base))?.flatten() {
            let path = entry.path();
            if entry.file_name().to_string_lossy().starts_with(FOLDER) && abandoned(&path) {
                fs::remove_dir_all(&path).map_err(fault("removing", &path))?;
                removed += 1;
            }
        }
        let mut nr = 0;
        let path = loop {
            let path = base.join(format!("{FOLDER}{}-{nr}", std::process::id()));
            match fs::create_dir(&path) {
                Ok(()) => break path,
                Err(error) if error.kind() == io::ErrorKind::AlreadyExists => nr += 1,
                Err(error) => return Err(fault("making", &path)(error)),
            }
        };
        let lock = path.join(LOCK);
        let own = locked(&lock).map_err(fault("opening", &lock))?;
        own.lock().map_err(fault("locking", &lock))?;
        Ok((Folder { path, _lock: own }, removed))
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // What could not be removed is removed at the next start.
        let _ = fs::remove_dir_all(&self.path);
    }
}

/// Nobody holds the lock of this folder.
fn abandoned(path: &Path) -> bool {
    locked(&path.join(LOCK)).is_ok_and(|lock| lock.try_lock().is_ok())
}

struct Entry {
    file: File,
    path: PathBuf,
    /// Bytes that are in it, with and without their heads.
    end: u64,
    segments: u32,
}

/// The files of one process.
pub struct Store<D> {
    folder: Folder,
    disk: D,
    bodies: HashMap<BodyId, Entry>,
}

impl<D: Disk> Store<D> {
    /// A store in this folder.
    pub fn new(folder: Folder, disk: D) -> Store<D> {
        Store { folder, disk, bodies: HashMap::new() }
    }

    /// How many bodies are in files.
    pub fn len(&self) -> usize {
        self.bodies.len()
    }

    /// No body is in a file.
    pub fn is_empty(&self) -> bool {
        self.bodies.is_empty()
    }

    /// Adds bytes to a body's file, in segments.
    ///
    /// # Errors
    /// The disk failed. The file is gone then: a body is there whole or not at all.
    pub fn append(&mut self, id: BodyId, bytes: &[u8]) -> Result<(), Fault> {
        let done = bytes.chunks(SEGMENT).try_for_each(|part| self.segment(id, part));
        if done.is_err() {
            self.remove(id);
        }
        done
    }

    fn segment(&mut self, id: BodyId, part: &[u8]) -> Result<(), Fault> {
        let entry = match self.bodies.entry(id) {
            std::collections::hash_map::Entry::Occupied(entry) => entry.into_mut(),
            std::collections::hash_map::Entry::Vacant(entry) => {
                let path = self.folder.path.join(format!("{id:016x}"));
                let made = OpenOptions::new().create_new(true).read(true).append(true).open(&path);
                let file = made.map_err(fault("making", &path))?;
                entry.insert(Entry { file, path, end: 0, segments: 0 })
            }
        };
        let mut bytes = Vec::with_capacity(HEAD + part.len());
        bytes.extend_from_slice(&(part.len() as u32).to_be_bytes());
        bytes.extend_from_slice(&entry.segments.to_be_bytes());
        bytes.extend_from_slice(&checksum(id, entry.segments, part).to_be_bytes());
        bytes.extend_from_slice(part);
        self.disk.append(&mut entry.file, &bytes).map_err(fault("writing", &entry.path))?;
        entry.end += bytes.len() as u64;
        entry.segments += 1;
        Ok(())
    }

    /// Reads a body back, a segment after the other, each checked before it is given.
    ///
    /// # Errors
    /// The disk failed, or something is not what was written: nothing of that segment was given.
    pub fn read(&mut self, id: BodyId, mut give: impl FnMut(&[u8])) -> Result<(), Fault> {
        let entry = self.bodies.get_mut(&id).ok_or(Fault::Unknown(id))?;
        entry.file.seek(SeekFrom::Start(0)).map_err(fault("reading", &entry.path))?;
        let mut part = Vec::with_capacity(SEGMENT);
        for segment in 0..entry.segments {
            let changed = || Fault::Changed { path: entry.path.clone(), segment };
            let failed = |error: io::Error| match error.kind() {
                // Cut behind our back.
                io::ErrorKind::UnexpectedEof => changed(),
                _ => fault("reading", &entry.path)(error),
            };
            let mut head = [0; HEAD];
            entry.file.read_exact(&mut head).map_err(failed)?;
            let word = |at: usize| u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
            let length = word(0) as usize;
            if length > SEGMENT || word(4) != segment {
                return Err(changed());
            }
            part.resize(length, 0);
            entry.file.read_exact(&mut part).map_err(failed)?;
            if checksum(id, segment, &part) != word(8) {
                return Err(changed());
            }
            give(&part);
        }
        let length = entry.file.metadata().map_err(fault("reading", &entry.path))?.len();
        if length == entry.end {
            Ok(())
        } else {
            Err(Fault::Changed { path: entry.path.clone(), segment: entry.segments })
        }
    }

    /// Gives back the space of a body.
    pub fn remove(&mut self, id: BodyId) {
        if let Some(entry) = self.bodies.remove(&id) {
            // One that somebody removed already is gone as well.
            let _ = fs::remove_file(&entry.path);
        }
    }
}

/// Of a segment, the body and its place along with it: a segment of another body is as wrong as a changed one.
fn checksum(id: BodyId, segment: u32, part: &[u8]) -> u32 {
    let sum = crc32c::crc32c(&id.to_be_bytes());
    crc32c::crc32c_append(crc32c::crc32c_append(sum, &segment.to_be_bytes()), part)
}

/// What the thread is to do.
#[derive(Debug)]
pub enum Task {
    /// Add these bytes to a body's file.
    Append(BodyId, Vec<u8>),
    /// Read a body back.
    Read(BodyId),
    /// Give back its space.
    Remove(BodyId),
}

/// What the thread has done.
#[derive(Debug)]
pub enum Done {
    /// The bytes are in the file.
    Appended(BodyId),
    /// A part of a body, checked.
    Part(BodyId, Vec<u8>),
    /// All parts were given.
    Whole(BodyId),
    /// It could not be written or read.
    Failed(BodyId, Fault),
}

/// The thread that waits for the disk, so that nobody else does.
pub struct Thread {
    tasks: Option<SyncSender<Task>>,
    done: Receiver<Done>,
    thread: Option<JoinHandle<()>>,
}

impl Thread {
    /// Starts it. `most`: tasks that may wait; `wake` is called whenever something is done.
    pub fn start<D: Disk>(mut store: Store<D>, most: usize, wake: impl Fn() + Send + 'static) -> Thread {
        let (tasks, todo) = sync_channel(most);
        let (tell, done) = channel();
        let work = move || {
            for task in todo {
                carry_out(&mut store, task, &tell);
                wake();
            }
        };
        Thread { tasks: Some(tasks), done, thread: Some(thread::spawn(work)) }
    }

    /// Gives it a task, unless as many wait as may: then it comes back.
    ///
    /// # Errors
    /// The task, to be given later.
    pub fn give(&self, task: Task) -> Result<(), Task> {
        match &self.tasks {
            Some(tasks) => tasks.try_send(task).map_err(|error| match error {
                TrySendError::Full(task) | TrySendError::Disconnected(task) => task,
            }),
            None => Err(task),
        }
    }

    /// What has been done since the last time.
    pub fn done(&self) -> impl Iterator<Item = Done> {
        self.done.try_iter()
    }

    /// Waits for the next thing to be done; `None` once the thread has ended.
    pub fn wait(&self) -> Option<Done> {
        self.done.recv().ok()
    }
}

impl Drop for Thread {
    fn drop(&mut self) {
        self.tasks = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn carry_out<D: Disk>(store: &mut Store<D>, task: Task, tell: &Sender<Done>) {
    let done = match task {
        Task::Append(id, bytes) => match store.append(id, &bytes) {
            Ok(()) => Done::Appended(id),
            Err(fault) => Done::Failed(id, fault),
        },
        Task::Read(id) => {
            let read = store.read(id, |part| drop(tell.send(Done::Part(id, part.to_vec()))));
            match read {
                Ok(()) => Done::Whole(id),
                Err(fault) => Done::Failed(id, fault),
            }
        }
        Task::Remove(id) => return store.remove(id),
    };
    let _ = tell.send(done);
}
