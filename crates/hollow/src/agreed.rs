//! The agreed configuration of a hollow fleet: the settings as a flat document in the program's form, and the control
//! machines, each a voter with the learners' watches on it.

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

/// How many control machines there are.
pub(crate) const MACHINES: u32 = 5;
/// A voter counts time in these.
pub(crate) const TICK: Micros = 100 * MILLI;
/// A watch is told this often that there is nothing new.
pub(crate) const HEARTBEAT: Micros = 2 * SECOND;
/// A change that is not agreed by then is asked for again.
const AGREE: Micros = 4 * SECOND;

/// Lists of things that have a name.
const NAMED: [&str; 2] = ["request_classes", "orgs"];
/// Lists that have a value for each class.
const BY_CLASS: [&str; 2] = ["class_kind", "class_priority"];
/// Keys that are each scheduler's own.
const OWN: [&str; 3] = ["n_instances", "rank", "zone"];

/// The settings of a plan as a flat document.
pub(crate) fn document(plan: &Plan) -> Document {
    let mut document = Document::new();
    let settings = plan.settings_json();
    let fields = |value: &Value| value.as_object().cloned().unwrap_or_default();
    let name = |thing: &Value| thing["name"].as_str().unwrap_or_default().to_owned();
    let items = |value: &Value| value.as_array().cloned().unwrap_or_default();
    for (key, value) in fields(&settings) {
        if OWN.contains(&key.as_str()) {
            continue;
        }
        if NAMED.contains(&key.as_str()) {
            for thing in items(&value) {
                let told = fields(&thing).into_iter().filter(|(field, _)| field != "name");
                document
                    .extend(told.map(|(field, value)| (format!("{key}.{}.{field}", name(&thing)), value)));
            }
        } else if value.is_object() {
            for (field, value) in fields(&value) {
                if BY_CLASS.contains(&field.as_str()) {
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

/// The settings that a document stands for, with the names behind their places: read by the program's own reader.
pub(crate) fn settings(document: &Document) -> Result<(Settings, Names), ValidationError> {
    let mut root = Map::new();
    let mut named: BTreeMap<&str, BTreeMap<&str, Map<String, Value>>> = BTreeMap::new();
    let mut by_class: BTreeMap<&str, BTreeMap<&str, &Value>> = BTreeMap::new();
    for (key, value) in document {
        let (group, rest) = key.split_once('.').unwrap_or((key, ""));
        match rest.rsplit_once('.') {
            Some((name, field)) if NAMED.contains(&group) => {
                let thing = named.entry(group).or_default().entry(name).or_default();
                thing.insert(field.to_owned(), value.clone());
            }
            Some((list, name)) if BY_CLASS.contains(&list) => {
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
        let classes = named.get(NAMED[0]).into_iter().flatten();
        let each: Vec<Value> =
            classes.map(|(name, _)| values.get(name).map_or(json!(0), |value| (*value).clone())).collect();
        root.entry("extra").or_insert_with(|| json!({}))[list] = Value::from(each);
    }
    for (list, things) in named {
        let each = things.into_iter().map(|(name, mut fields)| {
            fields.insert("name".to_owned(), Value::from(name));
            Value::Object(fields)
        });
        root.insert(list.to_owned(), each.collect());
    }
    let text = Value::Object(root).to_string();
    wire::parse_settings(&text)
        .map_err(|error| ValidationError { key: String::new(), reason: error.to_string() })
}

/// What a version is checked by, and which way its keys tighten.
pub(crate) struct Shared;

impl Check for Shared {
    fn check(&self, document: &Document) -> Result<(), ValidationError> {
        settings(document).map(drop)
    }
}

impl Rules for Shared {
    fn tightening_direction(&self, key: &str) -> TighteningDirection {
        if key.ends_with(".quota_rps") { TighteningDirection::Less } else { TighteningDirection::Unknown }
    }
}

/// A learner's watch at a control machine.
struct Watch {
    call: u64,
    seq: u64,
    digest: Digest,
}

/// What is written on a watch: lines, and their bytes with the framing.
pub(crate) struct Lines {
    pub(crate) lines: Vec<ControlLine>,
    pub(crate) bytes: usize,
}

/// A change on its way.
struct Waiting {
    ticket: Ticket,
    /// Which change it is; `None`: the first settings.
    change: Option<u32>,
    until: Micros,
}

/// What became of a change.
pub(crate) enum Settled {
    Agreed {
        change: Option<u32>,
        seq: u64,
        digest: Digest,
    },
    /// It was not agreed in time, or is not usable any more.
    Not(Option<u32>),
}

/// One control machine.
pub(crate) struct Machine {
    id: VoterId,
    pub(crate) zone: usize,
    platter: MemoryDisk,
    seed: u64,
    pub(crate) voter: Option<Voter<MemoryStore>>,
    watches: BTreeMap<u32, Watch>,
    told: (u64, bool),
    waiting: Vec<Waiting>,
    /// The version that it was seen to know last.
    seen: (u64, Digest),
}

impl Machine {
    pub(crate) fn new(nr: u32, zone: usize, seed: u64) -> Self {
        let id = u64::from(nr) + 1;
        let mut machine = Machine {
            id,
            zone,
            platter: MemoryDisk::default(),
            seed,
            voter: None,
            watches: BTreeMap::new(),
            told: (0, false),
            waiting: Vec::new(),
            seen: (0, Digest::of(&Document::new())),
        };
        machine.start();
        machine
    }

    /// A process of it starts, with what its store holds.
    pub(crate) fn start(&mut self) {
        let ids: Vec<VoterId> = (1..=u64::from(MACHINES)).collect();
        let store = self.platter.open().ok();
        self.voter = store.and_then(|store| Voter::new(self.id, &ids, store, self.seed).ok());
    }

    /// Its process is killed; gives the watches that end, each with its call.
    pub(crate) fn kill(&mut self) -> Vec<(u32, u64)> {
        self.voter = None;
        self.waiting.clear();
        self.told = (0, false);
        std::mem::take(&mut self.watches).into_iter().map(|(process, watch)| (process, watch.call)).collect()
    }

    pub(crate) fn leads(&self) -> bool {
        self.voter.as_ref().is_some_and(|voter| voter.leader() == Some(self.id) && voter.has_majority())
    }

    /// Proposes a change; whether it is on its way.
    pub(crate) fn propose(
        &mut self,
        now: Micros,
        nr: Option<u32>,
        change: Change,
    ) -> Result<(), ProposeError> {
        let Some(voter) = &mut self.voter else { return Err(ProposeError::Stopped) };
        let ticket = voter.propose(change, &Shared)?;
        self.waiting.push(Waiting { ticket, change: nr, until: now + AGREE });
        Ok(())
    }

    /// The first settings are proposed by the machine that leads, while there are none.
    pub(crate) fn begin(&mut self, now: Micros, first: &Document) {
        let none = self.voter.as_ref().is_some_and(|voter| voter.decided_version().seq == 0);
        if none && self.leads() && self.waiting.is_empty() {
            let change = Change { set: first.clone(), ..Change::default() };
            // One that is refused is proposed again at the next tick.
            let _ = self.propose(now, None, change);
        }
    }

    /// Ends a turn: messages to other voters, and what became of changes.
    pub(crate) fn settle(&mut self, now: Micros) -> (Vec<(VoterId, Vec<u8>)>, Vec<Settled>) {
        let Some(voter) = &mut self.voter else { return Default::default() };
        let mut settled = Vec::new();
        for (ticket, outcome) in voter.take_outcomes(&Shared) {
            let Some(at) = self.waiting.iter().position(|waiting| waiting.ticket == ticket) else { continue };
            let change = self.waiting.swap_remove(at).change;
            settled.push(match outcome {
                Outcome::Decided { seq, digest } => Settled::Agreed { change, seq, digest },
                Outcome::Invalidated(_) | Outcome::Unknown { .. } => Settled::Not(change),
            });
        }
        let late = self.waiting.extract_if(.., |waiting| waiting.until <= now);
        settled.extend(late.map(|waiting| Settled::Not(waiting.change)));
        (voter.take_outgoing(), settled)
    }

    /// The versions that it has come to know since it was asked last.
    pub(crate) fn learned(&mut self) -> Vec<(u64, Digest)> {
        let Some(voter) = &self.voter else { return Vec::new() };
        let learned = match voter.changes_since(self.seen.0, self.seen.1) {
            CatchUp::UpToDate | CatchUp::Ahead => Vec::new(),
            CatchUp::FullVersion(version) => vec![(version.seq, version.digest)],
            CatchUp::Deltas(deltas) => deltas.into_iter().map(|delta| (delta.seq, delta.digest)).collect(),
        };
        self.seen = learned.last().copied().unwrap_or(self.seen);
        learned
    }

    fn level(&self) -> Lines {
        let Some(voter) = &self.voter else { return written(Vec::new()) };
        let (agreed, majority) = (voter.decided_version(), voter.has_majority());
        let digest = if majority { agreed.digest.to_string() } else { String::new() };
        written(vec![ControlLine { seq: agreed.seq, majority, digest, ..ControlLine::default() }])
    }

    /// All that a learner with this version lacks.
    fn since(&self, seq: u64, digest: Digest) -> Lines {
        let Some(voter) = &self.voter else { return written(Vec::new()) };
        let majority = voter.has_majority();
        match voter.changes_since(seq, digest) {
            CatchUp::UpToDate | CatchUp::Ahead => self.level(),
            CatchUp::FullVersion(version) => written(vec![ControlLine {
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
                written(deltas.into_iter().map(line).collect())
            }
        }
    }

    /// A learner calls for a watch; gives what it begins with.
    pub(crate) fn watch(&mut self, process: u32, call: u64, (seq, digest): (u64, Digest)) -> Option<Lines> {
        let agreed = self.voter.as_ref()?.decided_version();
        let known = if seq > agreed.seq { (seq, digest) } else { (agreed.seq, agreed.digest) };
        let lines = self.since(seq, digest);
        self.watches.insert(process, Watch { call, seq: known.0, digest: known.1 });
        Some(lines)
    }

    /// A learner's watch has ended.
    pub(crate) fn end(&mut self, process: u32, call: u64) {
        if self.watches.get(&process).is_some_and(|watch| watch.call == call) {
            self.watches.remove(&process);
        }
    }

    /// What the watches are told, if there is anything new.
    pub(crate) fn news(&mut self) -> Vec<(u32, u64, Rc<Lines>)> {
        let Some(voter) = &self.voter else { return Vec::new() };
        let agreed = (voter.decided_version().seq, voter.decided_version().digest);
        let present = (agreed.0, voter.has_majority());
        if present == self.told {
            return Vec::new();
        }
        let moved = present.1 != self.told.1;
        self.told = present;
        let mut written: BTreeMap<(u64, String), Rc<Lines>> = BTreeMap::new();
        let mut told = Vec::new();
        let known: Vec<_> =
            self.watches.iter().map(|(&nr, watch)| (nr, watch.call, watch.seq, watch.digest)).collect();
        for (process, call, seq, digest) in known {
            if (seq, digest) == agreed && !moved {
                continue;
            }
            let key = (seq, digest.to_string());
            let lines = Rc::clone(written.entry(key).or_insert_with(|| Rc::new(self.since(seq, digest))));
            if let Some(watch) = self.watches.get_mut(&process).filter(|watch| watch.seq <= agreed.0) {
                (watch.seq, watch.digest) = agreed;
            }
            told.push((process, call, lines));
        }
        told
    }

    /// What all watches are told while there is nothing new: an empty line, or that there is no majority.
    pub(crate) fn heartbeat(&self) -> Vec<(u32, u64, Rc<Lines>)> {
        let majority = self.voter.as_ref().is_some_and(Voter::has_majority);
        let empty = || Lines { lines: Vec::new(), bytes: encode::chunk("").len() };
        let lines = Rc::new(if majority { empty() } else { self.level() });
        self.watches.iter().map(|(&process, watch)| (process, watch.call, Rc::clone(&lines))).collect()
    }
}

fn written(lines: Vec<ControlLine>) -> Lines {
    let text: Vec<String> = lines.iter().map(ControlLine::text).collect();
    Lines { bytes: encode::chunk(&text.join("\n")).len(), lines }
}
