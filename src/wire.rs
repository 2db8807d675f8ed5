//! Wire text to and from the types of [`api`](crate::api). Nothing is decided here.

mod names;

pub use self::names::Names;

use self::names::{Extra, index};
use crate::api::*;
use crate::settings_update::{SettingsError, settings_key_at};
use base64::{Engine, engine::general_purpose::STANDARD as BASE64};
use serde::Deserialize;
use serde_json::Value;
use std::fmt;
use std::str::FromStr;

/// What is wrong with a line.
#[derive(Debug, PartialEq)]
pub struct WireError(pub String);

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for WireError {}

fn bad<T>(what: impl Into<String>) -> Result<T, WireError> {
    Err(WireError(what.into()))
}

/// A line of a batch that stands on its own.
#[derive(Debug)]
pub enum Line<'a> {
    /// A batch begins at this time.
    Turn(Micros),
    /// The batch ends.
    End,
    /// An instance starts: its name, its seed, its settings as JSON.
    Up(&'a str, u64, &'a str),
    /// An instance was killed.
    Exit(&'a str),
    /// A list event for an instance, and how many entries follow.
    Members(&'a str, ListKind, usize),
    /// Any other event, to be read with the instance's [`Names`] by [`event`].
    Other(&'a str, Fields<'a>),
}

/// The message word and the name=value pairs of a line.
#[derive(Clone, Copy, Debug)]
pub struct Fields<'a> {
    word: &'a str,
    rest: &'a str,
}

impl<'a> Fields<'a> {
    fn split(line: &'a str) -> Self {
        let (word, rest) = line.split_once('\t').unwrap_or((line, ""));
        Fields { word, rest }
    }

    fn pairs(&self) -> impl Iterator<Item = Result<(&'a str, &'a str), WireError>> + use<'a> {
        let word = self.word;
        self.rest.split('\t').filter(|part| !part.is_empty()).map(move |part| {
            part.split_once('=').ok_or_else(|| WireError(format!("{word}: no '=' in '{part}'")))
        })
    }

    fn get(&self, name: &str) -> Result<Option<&'a str>, WireError> {
        for pair in self.pairs() {
            let (key, value) = pair?;
            if key == name {
                return Ok(Some(value));
            }
        }
        Ok(None)
    }

    fn need(&self, name: &str) -> Result<&'a str, WireError> {
        match self.get(name)? {
            Some(value) => Ok(value),
            None => bad(format!("{}: field '{name}' is missing", self.word)),
        }
    }
}

fn number<T: FromStr>(name: &str, value: &str) -> Result<T, WireError> {
    value.parse().or_else(|_| bad(format!("field '{name}': '{value}' is not a number it can hold")))
}

fn flag(name: &str, value: &str) -> Result<bool, WireError> {
    match value {
        "1" => Ok(true),
        "0" => Ok(false),
        _ => bad(format!("field '{name}': '{value}' is neither 1 nor 0")),
    }
}

/// Reads one line of a batch, other than an entry of a list.
pub fn line(text: &str) -> Result<Line<'_>, WireError> {
    let fields = Fields::split(text);
    match fields.word {
        "TURN" => Ok(Line::Turn(number("now_us", fields.need("now_us")?)?)),
        "END" => Ok(Line::End),
        "UP" => {
            // The settings are text to the end of the line: whatever stands in them is theirs.
            let Some(at) = text.find("\tinfo=") else { return bad("UP: field 'info' is missing") };
            let head = Fields::split(&text[..at]);
            let seed = number("init_seed", head.need("init_seed")?)?;
            Ok(Line::Up(head.need("dispatcher")?, seed, &text[at + 6..]))
        }
        "EXIT" => Ok(Line::Exit(fields.need("dispatcher")?)),
        "MEMBERS" => {
            let kind = match fields.need("kind")? {
                "incr" => ListKind::Changes,
                "total" => ListKind::Full,
                "warm_copy" => ListKind::Saved,
                "lost" => ListKind::Lost,
                other => return bad(format!("MEMBERS: unknown kind '{other}'")),
            };
            let count = fields.get("rows_in")?.map_or(Ok(0), |value| number("rows_in", value))?;
            Ok(Line::Members(fields.need("dispatcher")?, kind, count))
        }
        "ARRIVAL" | "TIMEOUT_FIRED" | "FIRST_BYTE" | "HINT_UPDATE" | "OUTCOME" | "CHECKED" | "LAPSED"
        | "PEER_DATA" => Ok(Line::Other(fields.need("dispatcher")?, fields)),
        other => bad(format!("unknown message '{other}'")),
    }
}

/// Reads one entry of a list.
pub fn entry(text: &str, names: &Names) -> Result<Member, WireError> {
    let fields = Fields::split(text);
    if fields.word != "M" {
        return bad(format!("a list entry was due, not '{}'", fields.word));
    }
    let mut member = Member {
        worker: WorkerId(number("worker", fields.need("worker")?)?),
        zone: ZoneIx(0),
        kind: KindIx(0),
        cell: 0,
        standing: Standing::On,
        weight: 1.0,
        ..Member::default()
    };
    for pair in fields.pairs() {
        match pair? {
            ("dc", value) => member.zone = ZoneIx(index("zone", &names.zones, value)?),
            ("sku", value) => member.kind = KindIx(index("kind", &names.kinds, value)?),
            ("pack", value) => member.cell = number("pack", value)?,
            ("health", value) => {
                member.standing = match value {
                    "on" => Standing::On,
                    "fading" => Standing::Draining,
                    "off" => Standing::Gone,
                    other => return bad(format!("unknown health '{other}'")),
                }
            }
            ("power_hint", value) => member.weight = number("power_hint", value)?,
            ("born_us", value) => {
                member.started = Some(number("born_us", value)?).filter(|&at: &Micros| at > 0);
            }
            _ => {}
        }
    }
    Ok(member)
}

/// Reads an event other than a list event.
pub fn event(fields: Fields<'_>, names: &Names) -> Result<Event, WireError> {
    match fields.word {
        "ARRIVAL" => arrival(fields, names).map(Event::Arrival),
        "TIMEOUT_FIRED" => {
            let name = fields.need("name")?;
            match name.strip_prefix('t').and_then(|digits| digits.parse().ok()) {
                Some(timer) => Ok(Event::Timer(TimerId(timer))),
                None => bad(format!("TIMEOUT_FIRED: timer '{name}' was never set")),
            }
        }
        "LAPSED" => Ok(Event::Lapsed(RequestId(number("txn", fields.need("txn")?)?))),
        "PEER_DATA" => {
            let contents = match fields.need("contents")? {
                "-" => Vec::new(),
                text => BASE64
                    .decode(text)
                    .or_else(|_| bad(format!("field 'contents': '{text}' is not base64")))?,
            };
            Ok(Event::Peer { from: number("origin_peer", fields.need("origin_peer")?)?, body: contents })
        }
        _ => attempt_event(fields, names),
    }
}

fn arrival(fields: Fields<'_>, names: &Names) -> Result<Arrival, WireError> {
    let (mut request, mut class, mut expires) = (None, None, None);
    let (mut tenant, mut hint, mut slots, mut memory, mut key, mut retry) =
        (None, None, 1.0, 0.0, None, false);
    for pair in fields.pairs() {
        match pair? {
            ("txn", value) => request = Some(RequestId(number("txn", value)?)),
            ("qos", value) => class = Some(ClassIx(index("class", &names.classes, value)?)),
            ("expires_us", value) => expires = Some(number("expires_us", value)?),
            ("team", "0") => {}
            ("team", value) => tenant = Some(TenantIx(index("tenant", &names.tenants, value)?)),
            ("size_hint_us", value) => hint = Some(number::<f64>("size_hint_us", value)?),
            ("needs", value) => slots = number::<f64>("needs", value)?,
            ("memory", value) => memory = number("memory", value)?,
            ("name_key", value) => key = Some(hash_text(value)),
            ("is_retry", value) => retry = flag("is_retry", value)?,
            _ => {}
        }
    }
    let (Some(request), Some(class), Some(expires)) = (request, class, expires) else {
        return bad("ARRIVAL: 'txn', 'qos' or 'expires_us' is missing");
    };
    Ok(Arrival {
        request,
        class,
        tenant,
        hint,
        expires,
        slots: slots.ceil() as u32,
        memory,
        key,
        retry,
        ..Arrival::default()
    })
}

/// FNV-1a: the same number for the same text in every process.
pub fn hash_text(text: &str) -> u64 {
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3))
}

/// The number of a next hop: the same at every scheduler, since they speak of hops to each other by it.
pub fn hop_id(name: &str) -> WorkerId {
    let hash = hash_text(name);
    WorkerId((hash ^ (hash >> 32)) as u32)
}

fn attempt_event(fields: Fields<'_>, names: &Names) -> Result<Event, WireError> {
    let (mut request, mut attempt, mut worker, mut elapsed) = (None, None, None, 0);
    let (mut ending, mut concluded, mut report, mut topic, mut level) = (None, false, None, None, None);
    for pair in fields.pairs() {
        match pair? {
            ("txn", value) => request = Some(RequestId(number("txn", value)?)),
            ("send_no", value) => attempt = Some(number("send_no", value)?),
            ("worker", value) => worker = Some(WorkerId(number("worker", value)?)),
            ("state_code", value) => ending = Some(ending_of(value)?),
            ("spent_us", value) => elapsed = number("spent_us", value)?,
            ("ended", value) => concluded = flag("ended", value)?,
            ("pressure", value) => report = Some(report_of(value, names)?),
            ("topic", value) => topic = Some(number::<u32>("topic", value)?),
            ("level", value) => level = Some(number::<f64>("level", value)?),
            _ => {}
        }
    }
    let word = fields.word;
    if word == "CHECKED" {
        let (Some(worker), Some(ending)) = (worker, ending) else {
            return bad("CHECKED: 'worker' or 'state_code' is missing");
        };
        return Ok(Event::Probed { worker, ending, elapsed, report });
    }
    let (Some(request), Some(attempt), Some(worker)) = (request, attempt, worker) else {
        return bad(format!("{word}: 'txn', 'send_no' or 'worker' is missing"));
    };
    match word {
        "FIRST_BYTE" => Ok(Event::Streaming { request, attempt }),
        "HINT_UPDATE" => {
            let note = match topic {
                Some(1) => Note::Started,
                Some(2) => Note::Progress(level.unwrap_or(0.0)),
                _ => return bad("HINT_UPDATE: 'topic' is neither 1 nor 2"),
            };
            Ok(Event::Note { request, attempt, note })
        }
        _ => match ending {
            Some(ending) => {
                // The wire does not tell when such an attempt has ended at its worker.
                let running = matches!(ending, Ending::TimedOut | Ending::Broken | Ending::Cancelled);
                let outcome =
                    Outcome { request, attempt, worker, ending, elapsed, running, concluded, report };
                Ok(Event::Outcome(outcome))
            }
            None => bad("OUTCOME: field 'state_code' is missing"),
        },
    }
}

fn ending_of(code: &str) -> Result<Ending, WireError> {
    Ok(match code {
        "OK" => Ending::Ok,
        "INTERNAL" => Ending::Error,
        "RESOURCE_EXHAUSTED" => Ending::Full,
        "DEADLINE_EXCEEDED" => Ending::TimedOut,
        "UNAVAILABLE" => Ending::Unreachable,
        "ABORTED" => Ending::Broken,
        "CANCELLED" => Ending::Cancelled,
        "TOO_LATE" => Ending::Moot,
        other => return bad(format!("unknown state_code '{other}'")),
    })
}

fn report_of(text: &str, names: &Names) -> Result<Report, WireError> {
    let mut pairs = Vec::new();
    for pair in text.split(',').filter(|pair| !pair.is_empty() && *pair != "-") {
        let Some((name, value)) = pair.split_once(':') else {
            return bad(format!("field 'pressure': no ':' in '{pair}'"));
        };
        pairs.push((name, number::<f64>("pressure", value)?));
    }
    Ok(names.report(pairs.into_iter()))
}

/// Writes one action of an instance, with the end of its line. Plain pushes: this is the adapter's hot path.
pub fn write(out: &mut String, instance: &str, action: &Action) {
    let word = match action {
        Action::Send { .. } => "PASS_ON",
        Action::Refuse { .. } => "DECLINE",
        Action::Fail(_) => "ERROR",
        Action::Cancel { .. } => "REVOKE",
        Action::Probe(_) => "ASK_LOAD",
        Action::Tell { .. } => "ANNOUNCE",
        Action::SetTimer { .. } => "ARM",
        Action::FetchList => "FETCH",
        Action::Subscribe(_) => "TAIL",
        Action::CloseIdle(_) => "FREE_LINKS",
        Action::Log(_) => "NOTE_DOWN",
    };
    out.push_str(word);
    out.push_str("\tdispatcher=");
    out.push_str(instance);
    match action {
        Action::Send { request, worker, timeout } => {
            pair(out, "\ttxn=", request.0.into());
            pair(out, "\tworker=", worker.0.into());
            if let Some(span) = timeout {
                pair(out, "\tgive_up_after_us=", *span);
            }
        }
        Action::Refuse { request, come_back, .. } => {
            pair(out, "\ttxn=", request.0.into());
            if let Some(span) = come_back {
                pair(out, "\tcome_back_us=", *span);
            }
        }
        Action::Fail(request) => pair(out, "\ttxn=", request.0.into()),
        Action::Cancel { request, attempt } => {
            pair(out, "\ttxn=", request.0.into());
            pair(out, "\tsend_no=", (*attempt).into());
        }
        Action::Probe(worker) | Action::CloseIdle(worker) => pair(out, "\tworker=", worker.0.into()),
        Action::Tell { to, body } => {
            match to {
                Some(rank) => pair(out, "\taddressee=", (*rank).into()),
                None => out.push_str("\taddressee=-1"),
            }
            out.push_str("\tcontents=");
            if body.is_empty() {
                out.push('-');
            } else {
                BASE64.encode_string(body, out);
            }
        }
        Action::SetTimer { timer, after } => {
            pair(out, "\tname=t", timer.0);
            pair(out, "\tfrom_now_us=", *after);
        }
        Action::FetchList => {}
        Action::Subscribe(want) => pair(out, "\twant=", (*want).into()),
        Action::Log(text) => {
            out.push_str("\tbody_text=");
            out.push_str(&one_line(text));
        }
    }
    out.push('\n');
}

fn pair(out: &mut String, name: &str, value: u64) {
    out.push_str(name);
    let mut digits = [0; 20];
    let mut at = digits.len();
    let mut left = value;
    loop {
        at -= 1;
        digits[at] = b'0' + (left % 10) as u8;
        left /= 10;
        if left == 0 {
            break;
        }
    }
    out.extend(digits[at..].iter().map(|&digit| char::from(digit)));
}

/// Writes the give-up action: the decision code of an instance has failed.
pub fn write_give_up(out: &mut String, instance: &str, why: &str) {
    out.push_str("GIVE_IN\tdispatcher=");
    out.push_str(instance);
    out.push_str("\tbody_text=");
    out.push_str(&one_line(why));
    out.push('\n');
}

fn one_line(text: &str) -> String {
    text.replace(['\n', '\r', '\t'], " ")
}

#[derive(Deserialize)]
#[serde(default)]
struct Info {
    azs: Vec<String>,
    ceilings: Ceilings,
    costs: Costs,
    counted_by: String,
    extra: Particulars,
    kinds: Vec<String>,
    n_instances: u32,
    orgs: Vec<Org>,
    over_share_worth: f64,
    rank: u32,
    registry_mode: String,
    report: ReportInfo,
    request_classes: Vec<ClassInfo>,
    rules: RulesInfo,
    tick_us: Micros,
    weight_source: String,
    zone: String,
}

impl Default for Info {
    fn default() -> Self {
        Info {
            azs: Vec::new(),
            ceilings: Ceilings::default(),
            costs: Costs::default(),
            counted_by: String::new(),
            extra: Particulars::default(),
            kinds: Vec::new(),
            n_instances: 1,
            orgs: Vec::new(),
            over_share_worth: 1.0,
            rank: 0,
            registry_mode: String::new(),
            report: ReportInfo::default(),
            request_classes: Vec::new(),
            rules: RulesInfo::default(),
            tick_us: 1_000,
            weight_source: String::new(),
            zone: String::new(),
        }
    }
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Ceilings {
    cancelling: bool,
    connect_timeout_us: Micros,
    max_retry_after_us: Micros,
    may_duplicate: bool,
    most_tries: Option<u32>,
    peers: bool,
    probes: bool,
    retry_after: bool,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Costs {
    cross_zone: f64,
    peer: f64,
    probe: f64,
    waste: f64,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Particulars {
    class_kind: Vec<i64>,
    class_priority: Vec<i64>,
    class_stretch: Vec<f64>,
    progress_us: Micros,
    queue_order: String,
    report_x0: String,
    report_x1: String,
    tells_start: bool,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Org {
    name: String,
    quota_rps: f64,
    share: f64,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct ReportInfo {
    fields: Vec<String>,
    how: String,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct ClassInfo {
    aim_stretch: Option<f64>,
    aim_us: Micros,
    deadline_us: Micros,
    effect: String,
    group: String,
    late_worth: f64,
    memory_span_us: Micros,
    name: String,
    worth: f64,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct RulesInfo {
    answer_slack_us: Micros,
    ask_every_us: Micros,
    cold_us: Micros,
    drain_grace_us: Micros,
    fall_multiple: f64,
    fall_us: Micros,
    start_capacity: f64,
}

/// Reads the settings of an instance, and the names behind its indices.
pub fn settings(json: &str) -> Result<(Settings, Names), WireError> {
    let value: Value = serde_json::from_str(json).or_else(|error| bad(format!("UP: info: {error}")))?;
    settings_of(&value).or_else(|fault| bad(format!("UP: info: {fault}")))
}

/// The same, of JSON that has been read already.
///
/// # Errors
/// The key at fault, and what is wrong there.
pub fn settings_of(value: &Value) -> Result<(Settings, Names), SettingsError> {
    let read: Result<Info, _> = serde_path_to_error::deserialize(value);
    let info = read.map_err(|error| {
        SettingsError::new(settings_key_at(error.path(), value), format!("cannot be read: {}", error.inner()))
    })?;
    let mut classes = Vec::new();
    for (at, class) in info.request_classes.iter().enumerate() {
        let at_fault = |field: &str| format!("request_classes.{}.{field}", class.name);
        let group = match class.group.as_str() {
            "zone" => Group::Zone,
            "cell" => Group::Cell,
            "all" | "" => Group::All,
            other => {
                return Err(SettingsError::new(
                    at_fault("group"),
                    format!("is of no group known: '{other}'"),
                ));
            }
        };
        let effect = match class.effect.as_str() {
            "read_like" => Effect::Safe,
            "idempotency_key" => Effect::Keyed { group, span: class.memory_span_us },
            "non_idempotent" => Effect::Unsafe,
            other => {
                return Err(SettingsError::new(
                    at_fault("effect"),
                    format!("is of no effect known: '{other}'"),
                ));
            }
        };
        let kind = info.extra.class_kind.get(at).and_then(|&kind| usize::try_from(kind).ok());
        let stretch = class.aim_stretch.or(info.extra.class_stretch.get(at).copied());
        classes.push(Class {
            aim: class.aim_us,
            stretch: stretch.unwrap_or(0.0),
            deadline: class.deadline_us,
            late_worth: class.late_worth,
            worth: class.worth,
            effect,
            kind: kind.filter(|&kind| kind < info.kinds.len()).map(KindIx),
            priority: info.extra.class_priority.get(at).copied().unwrap_or(0),
            slots: 1,
        });
    }
    let x0 = Extra::meaning(&info.extra.report_x0);
    let x1 = Extra::meaning(&info.extra.report_x1);
    let told = |meaning| {
        let named =
            |name: &str, extra| extra == meaning && info.report.fields.iter().any(|field| field == name);
        named("x0", x0) || named("x1", x1)
    };
    let settings = Settings {
        rank: info.rank,
        instances: info.n_instances.max(1),
        zone: ZoneIx(info.azs.iter().position(|zone| *zone == info.zone).unwrap_or(0)),
        zones: info.azs.len(),
        kinds: info.kinds.len(),
        classes,
        tenants: info
            .orgs
            .iter()
            .map(|org| Tenant { quota_per_s: org.quota_rps, share: org.share })
            .collect(),
        over_share_worth: info.over_share_worth,
        worth_by_work: info.counted_by == "work",
        list_on_request: info.registry_mode == "subscribe",
        reports: match info.report.how.as_str() {
            "answers" => ReportSource::Answers,
            "probe" => ReportSource::Probes,
            _ => ReportSource::Nowhere,
        },
        reports_free_slots: told(Extra::FreeSlots),
        reports_free_memory: told(Extra::FreeMemory),
        tells_start: info.extra.tells_start,
        progress_every: info.extra.progress_us,
        queue_order: match info.extra.queue_order.as_str() {
            "backfill" => QueueOrder::Backfill,
            "priority" => QueueOrder::Priority,
            _ => QueueOrder::Fifo,
        },
        weights: !matches!(info.weight_source.as_str(), "none" | ""),
        limits: Limits {
            tries: info.ceilings.most_tries.unwrap_or(1),
            copies: info.ceilings.may_duplicate,
            cancel: info.ceilings.cancelling,
            probes: info.ceilings.probes,
            peers: info.ceilings.peers,
            retry_advice: info.ceilings.retry_after,
            retry_advice_max: info.ceilings.max_retry_after_us,
            connect_timeout: info.ceilings.connect_timeout_us,
        },
        rules: RuleFigures {
            answer_slack: info.rules.answer_slack_us,
            drain_grace: info.rules.drain_grace_us,
            cold: info.rules.cold_us,
            start_capacity: info.rules.start_capacity,
            fall_multiple: info.rules.fall_multiple,
            fall_window: info.rules.fall_us,
            ask_every: info.rules.ask_every_us,
        },
        prices: Prices {
            cross_zone: info.costs.cross_zone,
            probe: info.costs.probe,
            peer: info.costs.peer,
            waste: info.costs.waste,
        },
        tick: info.tick_us,
    };
    let names = Names {
        zones: info.azs,
        kinds: info.kinds,
        classes: info.request_classes.into_iter().map(|class| class.name).collect(),
        tenants: info.orgs.into_iter().map(|org| org.name).collect(),
        x0,
        x1,
        ..Names::default()
    };
    Ok((settings, names))
}
