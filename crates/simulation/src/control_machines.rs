//! The agreed settings of a simulated fleet: the settings as a flat document in the program's format (keys such as
//! `orgs.acme.quota_rps`), and the control machines, each a voter with the watches of learners.

use crate::Micros;
use crate::encode::{self, ControlLine};
use crate::plan::{MILLI, Plan, SECOND};
use calicolb::api::Settings;
use calicolb::wire::{self, Names};
use calicolb_consensus::store::{MemoryDisk, MemoryStore};
use calicolb_consensus::{
    CatchUp, Change, Check, Digest, Document, Outcome, ProposeError, Rules, Ticket, TighteningDirection,
    ValidationError, Voter, VoterId,
};
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Number of control machines.
pub(crate) const MACHINE_COUNT: u32 = 5;
/// Interval between two ticks of a voter.
pub(crate) const VOTER_TICK: Micros = 100 * MILLI;
/// Interval between two heartbeats on a watch.
pub(crate) const HEARTBEAT_INTERVAL: Micros = 2 * SECOND;
/// Time after which a proposed change without an outcome counts as failed.
const AGREEMENT_TIMEOUT: Micros = 4 * SECOND;

/// Settings that are lists of named objects.
const NAMED_LISTS: [&str; 2] = ["request_classes", "orgs"];
/// Settings that are lists with one value for each class.
const PER_CLASS_LISTS: [&str; 2] = ["class_kind", "class_priority"];
/// Keys that each scheduler sets for itself and that are not agreed.
const LOCAL_KEYS: [&str; 3] = ["n_instances", "rank", "zone"];

/// The settings of a plan as a flat document.
pub(crate) fn settings_document(plan: &Plan) -> Document {
    let mut document = Document::new();
    let settings = plan.settings_json();
    let fields = |value: &Value| value.as_object().cloned().unwrap_or_default();
    let name = |item: &Value| item["name"].as_str().unwrap_or_default().to_owned();
    let items = |value: &Value| value.as_array().cloned().unwrap_or_default();
    for (key, value) in fields(&settings) {
        if LOCAL_KEYS.contains(&key.as_str()) {
            continue;
        }
        if NAMED_LISTS.contains(&key.as_str()) {
            for item in items(&value) {
                let values = fields(&item).into_iter().filter(|(field, _)| field != "name");
                document
                    .extend(values.map(|(field, value)| (format!("{key}.{}.{field}", name(&item)), value)));
            }
        } else if value.is_object() {
            for (field, value) in fields(&value) {
                if PER_CLASS_LISTS.contains(&field.as_str()) {
                    let classes = items(&settings["request_classes"]);
                    let each = classes.iter().zip(items(&value));
                    document
                        .extend(each.map(|(class, value)| (format!("{key}.{field}.{}", name(class)), value)));
                } else {
                    document.insert(format!("{key}.{field}"), value);
                }
            }
        } else {
            document.insert(key, value);
        }
    }
    document
}

/// The settings of a document, with the names of classes and tenants by index, parsed by the program's own parser.
pub(crate) fn settings_from_document(document: &Document) -> Result<(Settings, Names), ValidationError> {
    let mut root = Map::new();
    let mut named: BTreeMap<&str, BTreeMap<&str, Map<String, Value>>> = BTreeMap::new();
    let mut by_class: BTreeMap<&str, BTreeMap<&str, &Value>> = BTreeMap::new();
    for (key, value) in document {
        let (group, rest) = key.split_once('.').unwrap_or((key, ""));
        match rest.rsplit_once('.') {
            Some((name, field)) if NAMED_LISTS.contains(&group) => {
                let item = named.entry(group).or_default().entry(name).or_default();
                item.insert(field.to_owned(), value.clone());
            }
            Some((list, name)) if PER_CLASS_LISTS.contains(&list) => {
                by_class.entry(list).or_default().insert(name, value);
            }
            _ if rest.is_empty() => drop(root.insert(key.clone(), value.clone())),
            _ => {
                let group = root.entry(group).or_insert_with(|| json!({}));
                group[rest] = value.clone();
            }
        }
    }
    for (list, values) in by_class {
        let classes = named.get(NAMED_LISTS[0]).into_iter().flatten();
        let each: Vec<Value> =
            classes.map(|(name, _)| values.get(name).map_or(json!(0), |value| (*value).clone())).collect();
        root.entry("extra").or_insert_with(|| json!({}))[list] = Value::from(each);
    }
    for (list, items_by_name) in named {
        let each = items_by_name.into_iter().map(|(name, mut fields)| {
            fields.insert("name".to_owned(), Value::from(name));
            Value::Object(fields)
        });
        root.insert(list.to_owned(), each.collect());
    }
    let text = Value::Object(root).to_string();
    wire::parse_settings(&text)
        .map_err(|error| ValidationError { key: String::new(), reason: error.to_string() })
}

/// Checks a version of the agreed settings, and knows for each key the direction that tightens it.
pub(crate) struct SharedSettingsCheck;

impl Check for SharedSettingsCheck {
    fn check(&self, document: &Document) -> Result<(), ValidationError> {
        settings_from_document(document).map(drop)
    }
}

impl Rules for SharedSettingsCheck {
    fn tightening_direction(&self, key: &str) -> TighteningDirection {
        if key.ends_with(".quota_rps") { TighteningDirection::Less } else { TighteningDirection::Unknown }
    }
}

/// A learner's watch at a control machine, and the version that the learner has after the last write.
struct Watch {
    call: u64,
    seq: u64,
    digest: Digest,
}

/// Lines that are written on a watch together, and their bytes including the chunk framing.
pub(crate) struct Lines {
    pub(crate) lines: Vec<ControlLine>,
    pub(crate) bytes: usize,
}

/// A proposed change without an outcome.
struct PendingChange {
    ticket: Ticket,
    /// Index of the change, or `None` for the initial settings.
    change: Option<u32>,
    deadline: Micros,
}

/// Outcome of a proposed change. `change` is its index, or `None` for the initial settings.
pub(crate) enum ChangeOutcome {
    Accepted {
        change: Option<u32>,
        seq: u64,
        digest: Digest,
    },
    /// The change was not agreed in time, or is no longer valid.
    Failed(Option<u32>),
}

/// A control machine.
pub(crate) struct ControlMachine {
    id: VoterId,
    pub(crate) zone: usize,
    /// Stable storage, which survives a kill of the process.
    disk: MemoryDisk,
    seed: u64,
    /// The running process, or `None` while it is down.
    pub(crate) voter: Option<Voter<MemoryStore>>,
    watches: BTreeMap<u32, Watch>,
    /// The number of the version, and whether the machine had a majority, as last sent to the watches.
    last_announced: (u64, bool),
    pending: Vec<PendingChange>,
    /// The version that [`ControlMachine::learned_versions`] returned last.
    last_seen: (u64, Digest),
}

impl ControlMachine {
    pub(crate) fn new(index: u32, zone: usize, seed: u64) -> Self {
        let id = u64::from(index) + 1;
        let mut machine = ControlMachine {
            id,
            zone,
            disk: MemoryDisk::default(),
            seed,
            voter: None,
            watches: BTreeMap::new(),
            last_announced: (0, false),
            pending: Vec::new(),
            last_seen: (0, Digest::of(&Document::new())),
        };
        machine.start();
        machine
    }

    /// Starts the process with the contents of its store.
    pub(crate) fn start(&mut self) {
        let ids: Vec<VoterId> = (1..=u64::from(MACHINE_COUNT)).collect();
        let store = self.disk.open().ok();
        self.voter = store.and_then(|store| Voter::new(self.id, &ids, store, self.seed).ok());
    }

    /// Kills the process. Returns the watches that end, as scheduler process and request number.
    pub(crate) fn kill(&mut self) -> Vec<(u32, u64)> {
        self.voter = None;
        self.pending.clear();
        self.last_announced = (0, false);
        std::mem::take(&mut self.watches).into_iter().map(|(process, watch)| (process, watch.call)).collect()
    }

    pub(crate) fn is_leader(&self) -> bool {
        self.voter.as_ref().is_some_and(|voter| voter.leader() == Some(self.id) && voter.has_majority())
    }

    /// Proposes a change. Fails if the process is down or the voter refuses the proposal.
    pub(crate) fn propose(
        &mut self,
        now: Micros,
        index: Option<u32>,
        change: Change,
    ) -> Result<(), ProposeError> {
        let Some(voter) = &mut self.voter else { return Err(ProposeError::Stopped) };
        let ticket = voter.propose(change, &SharedSettingsCheck)?;
        self.pending.push(PendingChange { ticket, change: index, deadline: now + AGREEMENT_TIMEOUT });
        Ok(())
    }

    /// Proposes the initial settings if this machine is the leader, no version is agreed yet, and no proposal is pending.
    pub(crate) fn propose_initial(&mut self, now: Micros, initial: &Document) {
        let no_settings = self.voter.as_ref().is_some_and(|voter| voter.decided_version().seq == 0);
        if no_settings && self.is_leader() && self.pending.is_empty() {
            let change = Change { set: initial.clone(), ..Change::default() };
            // A refused proposal is repeated at the next tick.
            let _ = self.propose(now, None, change);
        }
    }

    /// Returns the outgoing messages to other voters, and the outcomes of proposed changes.
    pub(crate) fn process_outcomes(&mut self, now: Micros) -> (Vec<(VoterId, Vec<u8>)>, Vec<ChangeOutcome>) {
        let Some(voter) = &mut self.voter else { return Default::default() };
        let mut outcomes = Vec::new();
        for (ticket, outcome) in voter.take_outcomes(&SharedSettingsCheck) {
            let Some(at) = self.pending.iter().position(|pending| pending.ticket == ticket) else { continue };
            let change = self.pending.swap_remove(at).change;
            outcomes.push(match outcome {
                Outcome::Decided { seq, digest } => ChangeOutcome::Accepted { change, seq, digest },
                Outcome::Invalidated(_) | Outcome::Unknown { .. } => ChangeOutcome::Failed(change),
            });
        }
        let expired = self.pending.extract_if(.., |pending| pending.deadline <= now);
        outcomes.extend(expired.map(|pending| ChangeOutcome::Failed(pending.change)));
        (voter.take_outgoing(), outcomes)
    }

    /// The versions that the machine has learned since the last call.
    pub(crate) fn learned_versions(&mut self) -> Vec<(u64, Digest)> {
        let Some(voter) = &self.voter else { return Vec::new() };
        let learned = match voter.changes_since(self.last_seen.0, self.last_seen.1) {
            CatchUp::UpToDate | CatchUp::Ahead => Vec::new(),
            CatchUp::FullVersion(version) => vec![(version.seq, version.digest)],
            CatchUp::Deltas(deltas) => deltas.into_iter().map(|delta| (delta.seq, delta.digest)).collect(),
        };
        self.last_seen = learned.last().copied().unwrap_or(self.last_seen);
        learned
    }

    fn status_lines(&self) -> Lines {
        let Some(voter) = &self.voter else { return watch_lines(Vec::new()) };
        let (agreed, majority) = (voter.decided_version(), voter.has_majority());
        let digest = if majority { agreed.digest.to_string() } else { String::new() };
        watch_lines(vec![ControlLine { seq: agreed.seq, majority, digest, ..ControlLine::default() }])
    }

    /// The lines that bring a learner from this version to the agreed one.
    fn lines_since(&self, seq: u64, digest: Digest) -> Lines {
        let Some(voter) = &self.voter else { return watch_lines(Vec::new()) };
        let majority = voter.has_majority();
        match voter.changes_since(seq, digest) {
            CatchUp::UpToDate | CatchUp::Ahead => self.status_lines(),
            CatchUp::FullVersion(version) => watch_lines(vec![ControlLine {
                seq: version.seq,
                whole: true,
                majority,
                digest: version.digest.to_string(),
                settings: (*version.document).clone(),
                ..ControlLine::default()
            }]),
            CatchUp::Deltas(deltas) => {
                let line = |delta: calicolb_consensus::Delta| ControlLine {
                    seq: delta.seq,
                    majority,
                    digest: delta.digest.to_string(),
                    from: delta.from_digest.to_string(),
                    set: delta.change.set,
                    unset: delta.change.unset,
                    ..ControlLine::default()
                };
                watch_lines(deltas.into_iter().map(line).collect())
            }
        }
    }

    /// Opens a watch for a learner with this version. Returns the first lines, or `None` if the process is down.
    pub(crate) fn open_watch(
        &mut self,
        process: u32,
        call: u64,
        (seq, digest): (u64, Digest),
    ) -> Option<Lines> {
        let agreed = self.voter.as_ref()?.decided_version();
        let known = if seq > agreed.seq { (seq, digest) } else { (agreed.seq, agreed.digest) };
        let lines = self.lines_since(seq, digest);
        self.watches.insert(process, Watch { call, seq: known.0, digest: known.1 });
        Some(lines)
    }

    /// Removes the watch that this request opened.
    pub(crate) fn close_watch(&mut self, process: u32, call: u64) {
        if self.watches.get(&process).is_some_and(|watch| watch.call == call) {
            self.watches.remove(&process);
        }
    }

    /// The lines for all watches after a new version or a change of the majority, as scheduler process, request number and
    /// lines.
    pub(crate) fn watch_updates(&mut self) -> Vec<(u32, u64, Rc<Lines>)> {
        let Some(voter) = &self.voter else { return Vec::new() };
        let agreed = (voter.decided_version().seq, voter.decided_version().digest);
        let current = (agreed.0, voter.has_majority());
        if current == self.last_announced {
            return Vec::new();
        }
        let majority_changed = current.1 != self.last_announced.1;
        self.last_announced = current;
        let mut lines_by_version: BTreeMap<(u64, String), Rc<Lines>> = BTreeMap::new();
        let mut updates = Vec::new();
        let known: Vec<_> =
            self.watches.iter().map(|(&index, watch)| (index, watch.call, watch.seq, watch.digest)).collect();
        for (process, call, seq, digest) in known {
            if (seq, digest) == agreed && !majority_changed {
                continue;
            }
            let key = (seq, digest.to_string());
            let lines = Rc::clone(
                lines_by_version.entry(key).or_insert_with(|| Rc::new(self.lines_since(seq, digest))),
            );
            if let Some(watch) = self.watches.get_mut(&process).filter(|watch| watch.seq <= agreed.0) {
                (watch.seq, watch.digest) = agreed;
            }
            updates.push((process, call, lines));
        }
        updates
    }

    /// The heartbeats for all watches: an empty line, or a status line while there is no majority.
    pub(crate) fn heartbeats(&self) -> Vec<(u32, u64, Rc<Lines>)> {
        let majority = self.voter.as_ref().is_some_and(Voter::has_majority);
        let empty = || Lines { lines: Vec::new(), bytes: encode::chunk("").len() };
        let lines = Rc::new(if majority { empty() } else { self.status_lines() });
        self.watches.iter().map(|(&process, watch)| (process, watch.call, Rc::clone(&lines))).collect()
    }
}

fn watch_lines(lines: Vec<ControlLine>) -> Lines {
    let text: Vec<String> = lines.iter().map(ControlLine::text).collect();
    Lines { bytes: encode::chunk(&text.join("\n")).len(), lines }
}
