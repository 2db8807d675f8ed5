//! Parses the simulator's text protocol into the types of [`api`](crate::api) and writes actions in it. Makes no decisions.

mod names;

pub use self::names::Names;

use self::names::{ReportExtra, index_of};
use crate::api::*;
use crate::settings_update::{SettingsError, settings_key_at};
use base64::{Engine, engine::general_purpose::STANDARD as BASE64};
use serde::Deserialize;
use serde_json::Value;
use std::fmt;
use std::str::FromStr;

/// Describes why a line or the settings in it cannot be parsed.
#[derive(Debug, PartialEq)]
pub struct WireError(pub String);

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for WireError {}

fn wire_error<T>(message: impl Into<String>) -> Result<T, WireError> {
    Err(WireError(message.into()))
}

/// A parsed line of a batch, other than an entry of a worker list.
#[derive(Debug)]
pub enum Line<'a> {
    /// A batch of events that all occur at this time begins.
    BatchStart(Micros),
    /// The batch ends.
    BatchEnd,
    /// An instance starts: its name, its random seed and its settings as JSON.
    InstanceStart(&'a str, u64, &'a str),
    /// An instance was killed.
    InstanceExit(&'a str),
    /// A worker list event: the name of the instance, the kind of event and the number of entry lines that follow.
    Members(&'a str, ListKind, usize),
    /// Any other event of the named instance. [`parse_event`] parses its fields with the [`Names`] of that instance.
    Other(&'a str, Fields<'a>),
}

/// The message type of a line and its `name=value` fields, separated by tabs.
#[derive(Clone, Copy, Debug)]
pub struct Fields<'a> {
    message_type: &'a str,
    field_text: &'a str,
}

impl<'a> Fields<'a> {
    fn split(line: &'a str) -> Self {
        let (message_type, field_text) = line.split_once('\t').unwrap_or((line, ""));
        Fields { message_type, field_text }
    }

    fn iter(&self) -> impl Iterator<Item = Result<(&'a str, &'a str), WireError>> + use<'a> {
        let message_type = self.message_type;
        self.field_text.split('\t').filter(|part| !part.is_empty()).map(move |part| {
            part.split_once('=').ok_or_else(|| WireError(format!("{message_type}: no '=' in '{part}'")))
        })
    }

    fn get(&self, name: &str) -> Result<Option<&'a str>, WireError> {
        for field in self.iter() {
            let (key, value) = field?;
            if key == name {
                return Ok(Some(value));
            }
        }
        Ok(None)
    }

    fn required(&self, name: &str) -> Result<&'a str, WireError> {
        match self.get(name)? {
            Some(value) => Ok(value),
            None => wire_error(format!("{}: field '{name}' is missing", self.message_type)),
        }
    }
}

fn parse_number<T: FromStr>(name: &str, value: &str) -> Result<T, WireError> {
    value.parse().or_else(|_| wire_error(format!("field '{name}': '{value}' is not a number in its range")))
}

fn parse_flag(name: &str, value: &str) -> Result<bool, WireError> {
    match value {
        "1" => Ok(true),
        "0" => Ok(false),
        _ => wire_error(format!("field '{name}': '{value}' is neither 1 nor 0")),
    }
}

/// Parses one line of a batch, other than an entry of a worker list.
///
/// # Errors
/// The message type is unknown, or a field is missing or malformed.
pub fn parse_line(text: &str) -> Result<Line<'_>, WireError> {
    let fields = Fields::split(text);
    match fields.message_type {
        "TURN" => Ok(Line::BatchStart(parse_number("now_us", fields.required("now_us")?)?)),
        "END" => Ok(Line::BatchEnd),
        "UP" => {
            // The settings are JSON up to the end of the line and may contain tabs and '='.
            let Some(info_at) = text.find("\tinfo=") else {
                return wire_error("UP: field 'info' is missing");
            };
            let head = Fields::split(&text[..info_at]);
            let seed = parse_number("init_seed", head.required("init_seed")?)?;
            Ok(Line::InstanceStart(head.required("dispatcher")?, seed, &text[info_at + 6..]))
        }
        "EXIT" => Ok(Line::InstanceExit(fields.required("dispatcher")?)),
        "MEMBERS" => {
            let kind = match fields.required("kind")? {
                "incr" => ListKind::Changes,
                "total" => ListKind::Full,
                "warm_copy" => ListKind::Saved,
                "lost" => ListKind::Lost,
                other => return wire_error(format!("MEMBERS: unknown kind '{other}'")),
            };
            let count = fields.get("rows_in")?.map_or(Ok(0), |value| parse_number("rows_in", value))?;
            Ok(Line::Members(fields.required("dispatcher")?, kind, count))
        }
        "ARRIVAL" | "TIMEOUT_FIRED" | "FIRST_BYTE" | "HINT_UPDATE" | "OUTCOME" | "CHECKED" | "LAPSED"
        | "PEER_DATA" => Ok(Line::Other(fields.required("dispatcher")?, fields)),
        other => wire_error(format!("unknown message '{other}'")),
    }
}

/// Parses one entry of a worker list.
///
/// # Errors
/// The line is no list entry, or a field is missing or malformed, or names something that is not among `names`.
pub fn parse_member(text: &str, names: &Names) -> Result<Member, WireError> {
    let fields = Fields::split(text);
    if fields.message_type != "M" {
        return wire_error(format!("expected a list entry, found '{}'", fields.message_type));
    }
    let mut member = Member {
        worker: WorkerId(parse_number("worker", fields.required("worker")?)?),
        zone: ZoneIx(0),
        kind: KindIx(0),
        cell: 0,
        status: WorkerStatus::On,
        weight: 1.0,
        ..Member::default()
    };
    for field in fields.iter() {
        match field? {
            ("dc", value) => member.zone = ZoneIx(index_of("zone", &names.zones, value)?),
            ("sku", value) => member.kind = KindIx(index_of("kind", &names.kinds, value)?),
            ("pack", value) => member.cell = parse_number("pack", value)?,
            ("health", value) => {
                member.status = match value {
                    "on" => WorkerStatus::On,
                    "fading" => WorkerStatus::Draining,
                    "off" => WorkerStatus::Gone,
                    other => return wire_error(format!("unknown health '{other}'")),
                }
            }
            ("power_hint", value) => member.weight = parse_number("power_hint", value)?,
            ("born_us", value) => {
                member.started =
                    Some(parse_number("born_us", value)?).filter(|&started: &Micros| started > 0);
            }
            _ => {}
        }
    }
    Ok(member)
}

/// Parses an event other than a worker list event.
///
/// # Errors
/// A field is missing or malformed, or names something that is not among `names`.
pub fn parse_event(fields: Fields<'_>, names: &Names) -> Result<Event, WireError> {
    match fields.message_type {
        "ARRIVAL" => parse_arrival(fields, names).map(Event::Arrival),
        "TIMEOUT_FIRED" => {
            let name = fields.required("name")?;
            match name.strip_prefix('t').and_then(|digits| digits.parse().ok()) {
                Some(timer) => Ok(Event::Timer(TimerId(timer))),
                None => wire_error(format!("TIMEOUT_FIRED: '{name}' is not the name of a timer")),
            }
        }
        "LAPSED" => Ok(Event::RequestAbandoned(RequestId(parse_number("txn", fields.required("txn")?)?))),
        "PEER_DATA" => {
            let contents = match fields.required("contents")? {
                "-" => Vec::new(),
                text => BASE64
                    .decode(text)
                    .or_else(|_| wire_error(format!("field 'contents': '{text}' is not base64")))?,
            };
            Ok(Event::Peer {
                from: parse_number("origin_peer", fields.required("origin_peer")?)?,
                body: contents,
            })
        }
        _ => parse_attempt_event(fields, names),
    }
}

fn parse_arrival(fields: Fields<'_>, names: &Names) -> Result<Arrival, WireError> {
    let (mut request, mut class, mut expires) = (None, None, None);
    let (mut tenant, mut hint, mut slots, mut memory, mut key, mut retry) =
        (None, None, 1.0, 0.0, None, false);
    for field in fields.iter() {
        match field? {
            ("txn", value) => request = Some(RequestId(parse_number("txn", value)?)),
            ("qos", value) => class = Some(ClassIx(index_of("class", &names.classes, value)?)),
            ("expires_us", value) => expires = Some(parse_number("expires_us", value)?),
            ("team", "0") => {}
            ("team", value) => tenant = Some(TenantIx(index_of("tenant", &names.tenants, value)?)),
            ("size_hint_us", value) => hint = Some(parse_number::<f64>("size_hint_us", value)?),
            ("needs", value) => slots = parse_number::<f64>("needs", value)?,
            ("memory", value) => memory = parse_number("memory", value)?,
            ("name_key", value) => key = Some(fnv1a_hash(value)),
            ("is_retry", value) => retry = parse_flag("is_retry", value)?,
            _ => {}
        }
    }
    let (Some(request), Some(class), Some(expires)) = (request, class, expires) else {
        return wire_error("ARRIVAL: 'txn', 'qos' or 'expires_us' is missing");
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

/// Returns the 64-bit FNV-1a hash of `text`, which is the same in every process.
pub fn fnv1a_hash(text: &str) -> u64 {
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3))
}

/// Returns the id of the worker with this name. Every scheduler computes the same id, which identifies the worker in the
/// messages between schedulers.
pub fn worker_id(name: &str) -> WorkerId {
    let hash = fnv1a_hash(name);
    WorkerId((hash ^ (hash >> 32)) as u32)
}

fn parse_attempt_event(fields: Fields<'_>, names: &Names) -> Result<Event, WireError> {
    let (mut request, mut attempt, mut worker, mut elapsed) = (None, None, None, 0);
    let (mut ending, mut concluded, mut report, mut topic, mut level) = (None, false, None, None, None);
    for field in fields.iter() {
        match field? {
            ("txn", value) => request = Some(RequestId(parse_number("txn", value)?)),
            ("send_no", value) => attempt = Some(parse_number("send_no", value)?),
            ("worker", value) => worker = Some(WorkerId(parse_number("worker", value)?)),
            ("state_code", value) => ending = Some(parse_ending(value)?),
            ("spent_us", value) => elapsed = parse_number("spent_us", value)?,
            ("ended", value) => concluded = parse_flag("ended", value)?,
            ("pressure", value) => report = Some(parse_report(value, names)?),
            ("topic", value) => topic = Some(parse_number::<u32>("topic", value)?),
            ("level", value) => level = Some(parse_number::<f64>("level", value)?),
            _ => {}
        }
    }
    let message_type = fields.message_type;
    if message_type == "CHECKED" {
        let (Some(worker), Some(ending)) = (worker, ending) else {
            return wire_error("CHECKED: 'worker' or 'state_code' is missing");
        };
        return Ok(Event::Probed { worker, ending, elapsed, report });
    }
    let (Some(request), Some(attempt), Some(worker)) = (request, attempt, worker) else {
        return wire_error(format!("{message_type}: 'txn', 'send_no' or 'worker' is missing"));
    };
    match message_type {
        "FIRST_BYTE" => Ok(Event::Streaming { request, attempt }),
        "HINT_UPDATE" => {
            let note = match topic {
                Some(1) => AttemptNote::Started,
                Some(2) => AttemptNote::Progress(level.unwrap_or(0.0)),
                _ => return wire_error("HINT_UPDATE: 'topic' is neither 1 nor 2"),
            };
            Ok(Event::Note { request, attempt, note })
        }
        _ => match ending {
            Some(ending) => {
                // The protocol has no message for the end of such an attempt at its worker, so the attempt may still be
                // running.
                let running = matches!(ending, Ending::TimedOut | Ending::Broken | Ending::Cancelled);
                let outcome =
                    Outcome { request, attempt, worker, ending, elapsed, running, concluded, report };
                Ok(Event::Outcome(outcome))
            }
            None => wire_error("OUTCOME: field 'state_code' is missing"),
        },
    }
}

fn parse_ending(code: &str) -> Result<Ending, WireError> {
    Ok(match code {
        "OK" => Ending::Ok,
        "INTERNAL" => Ending::Error,
        "RESOURCE_EXHAUSTED" => Ending::Full,
        "DEADLINE_EXCEEDED" => Ending::TimedOut,
        "UNAVAILABLE" => Ending::Unreachable,
        "ABORTED" => Ending::Broken,
        "CANCELLED" => Ending::Cancelled,
        "TOO_LATE" => Ending::NotSent,
        other => return wire_error(format!("unknown state_code '{other}'")),
    })
}

fn parse_report(text: &str, names: &Names) -> Result<Report, WireError> {
    let mut pairs = Vec::new();
    for pair in text.split(',').filter(|pair| !pair.is_empty() && *pair != "-") {
        let Some((name, value)) = pair.split_once(':') else {
            return wire_error(format!("field 'pressure': no ':' in '{pair}'"));
        };
        pairs.push((name, parse_number::<f64>("pressure", value)?));
    }
    Ok(names.report(pairs.into_iter()))
}

/// Appends one action of an instance to `out`, with a line feed. Fields are appended without `format!`, because this
/// function is on the hot path of the simulator's adapter.
pub fn write_action(out: &mut String, instance: &str, action: &Action) {
    let message_type = match action {
        Action::Send { .. } => "PASS_ON",
        Action::Refuse { .. } => "DECLINE",
        Action::Fail(_) => "ERROR",
        Action::Cancel { .. } => "REVOKE",
        Action::Probe(_) => "ASK_LOAD",
        Action::SendMessage { .. } => "ANNOUNCE",
        Action::SetTimer { .. } => "ARM",
        Action::FetchList => "FETCH",
        Action::Subscribe(_) => "TAIL",
        Action::CloseIdle(_) => "FREE_LINKS",
        Action::Log(_) => "NOTE_DOWN",
    };
    out.push_str(message_type);
    out.push_str("\tdispatcher=");
    out.push_str(instance);
    match action {
        Action::Send { request, worker, timeout } => {
            push_number(out, "\ttxn=", request.0.into());
            push_number(out, "\tworker=", worker.0.into());
            if let Some(span) = timeout {
                push_number(out, "\tgive_up_after_us=", *span);
            }
        }
        Action::Refuse { request, retry_after, .. } => {
            push_number(out, "\ttxn=", request.0.into());
            if let Some(span) = retry_after {
                push_number(out, "\tcome_back_us=", *span);
            }
        }
        Action::Fail(request) => push_number(out, "\ttxn=", request.0.into()),
        Action::Cancel { request, attempt } => {
            push_number(out, "\ttxn=", request.0.into());
            push_number(out, "\tsend_no=", (*attempt).into());
        }
        Action::Probe(worker) | Action::CloseIdle(worker) => push_number(out, "\tworker=", worker.0.into()),
        Action::SendMessage { to, body } => {
            match to {
                Some(rank) => push_number(out, "\taddressee=", (*rank).into()),
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
            push_number(out, "\tname=t", timer.0);
            push_number(out, "\tfrom_now_us=", *after);
        }
        Action::FetchList => {}
        Action::Subscribe(want) => push_number(out, "\twant=", (*want).into()),
        Action::Log(text) => {
            out.push_str("\tbody_text=");
            out.push_str(&to_single_line(text));
        }
    }
    out.push('\n');
}

fn push_number(out: &mut String, name: &str, value: u64) {
    out.push_str(name);
    let mut digits = [0; 20];
    let mut first = digits.len();
    let mut remaining = value;
    loop {
        first -= 1;
        digits[first] = b'0' + (remaining % 10) as u8;
        remaining /= 10;
        if remaining == 0 {
            break;
        }
    }
    out.extend(digits[first..].iter().map(|&digit| char::from(digit)));
}

/// Appends the action that reports a panic in the decision module of an instance, with the panic's text.
pub fn write_panic(out: &mut String, instance: &str, text: &str) {
    out.push_str("GIVE_IN\tdispatcher=");
    out.push_str(instance);
    out.push_str("\tbody_text=");
    out.push_str(&to_single_line(text));
    out.push('\n');
}

fn to_single_line(text: &str) -> String {
    text.replace(['\n', '\r', '\t'], " ")
}

// A control machine sends the errors of this parser to its clients. `expecting` keeps their texts independent of the
// names of the structs.
#[derive(Deserialize)]
#[serde(default, expecting = "struct Info")]
struct InstanceInfo {
    azs: Vec<String>,
    ceilings: CeilingsInfo,
    costs: CostsInfo,
    counted_by: String,
    extra: ExtraInfo,
    kinds: Vec<String>,
    n_instances: u32,
    orgs: Vec<OrgInfo>,
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

impl Default for InstanceInfo {
    fn default() -> Self {
        InstanceInfo {
            azs: Vec::new(),
            ceilings: CeilingsInfo::default(),
            costs: CostsInfo::default(),
            counted_by: String::new(),
            extra: ExtraInfo::default(),
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
#[serde(default, expecting = "struct Ceilings")]
struct CeilingsInfo {
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
#[serde(default, expecting = "struct Costs")]
struct CostsInfo {
    cross_zone: f64,
    peer: f64,
    probe: f64,
    waste: f64,
}

#[derive(Default, Deserialize)]
#[serde(default, expecting = "struct Particulars")]
struct ExtraInfo {
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
#[serde(default, expecting = "struct Org")]
struct OrgInfo {
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

/// Parses the settings of an instance from JSON text, with the names that its indices stand for.
///
/// # Errors
/// The text is not JSON, or a setting is malformed.
pub fn parse_settings(json: &str) -> Result<(Settings, Names), WireError> {
    let value: Value =
        serde_json::from_str(json).or_else(|error| wire_error(format!("UP: info: {error}")))?;
    settings_from_json(&value).or_else(|fault| wire_error(format!("UP: info: {fault}")))
}

/// Converts parsed JSON to the settings of an instance, with the names that its indices stand for.
///
/// # Errors
/// The key of the first malformed setting and the reason.
pub fn settings_from_json(value: &Value) -> Result<(Settings, Names), SettingsError> {
    let read: Result<InstanceInfo, _> = serde_path_to_error::deserialize(value);
    let info = read.map_err(|error| {
        SettingsError::new(settings_key_at(error.path(), value), format!("cannot be read: {}", error.inner()))
    })?;
    let mut classes = Vec::new();
    for (index, class) in info.request_classes.iter().enumerate() {
        let class_key = |field: &str| format!("request_classes.{}.{field}", class.name);
        let group = match class.group.as_str() {
            "zone" => Group::Zone,
            "cell" => Group::Cell,
            "all" | "" => Group::All,
            other => {
                return Err(SettingsError::new(
                    class_key("group"),
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
                    class_key("effect"),
                    format!("is of no effect known: '{other}'"),
                ));
            }
        };
        let kind = info.extra.class_kind.get(index).and_then(|&kind| usize::try_from(kind).ok());
        let stretch = class.aim_stretch.or(info.extra.class_stretch.get(index).copied());
        classes.push(Class {
            aim: class.aim_us,
            stretch: stretch.unwrap_or(0.0),
            deadline: class.deadline_us,
            late_worth: class.late_worth,
            worth: class.worth,
            effect,
            kind: kind.filter(|&kind| kind < info.kinds.len()).map(KindIx),
            priority: info.extra.class_priority.get(index).copied().unwrap_or(0),
            slots: 1,
        });
    }
    let x0 = ReportExtra::parse(&info.extra.report_x0);
    let x1 = ReportExtra::parse(&info.extra.report_x1);
    let reported = |meaning| {
        let has_field =
            |name: &str, extra| extra == meaning && info.report.fields.iter().any(|field| field == name);
        has_field("x0", x0) || has_field("x1", x1)
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
            _ => ReportSource::NoReports,
        },
        reports_free_slots: reported(ReportExtra::FreeSlots),
        reports_free_memory: reported(ReportExtra::FreeMemory),
        tells_start: info.extra.tells_start,
        progress_every: info.extra.progress_us,
        queue_order: match info.extra.queue_order.as_str() {
            "backfill" => QueueOrder::Backfill,
            "priority" => QueueOrder::Priority,
            _ => QueueOrder::Fifo,
        },
        weights: !matches!(info.weight_source.as_str(), "none" | ""),
        limits: Limits {
            max_attempts: info.ceilings.most_tries.unwrap_or(1),
            concurrent_attempts: info.ceilings.may_duplicate,
            cancel: info.ceilings.cancelling,
            probes: info.ceilings.probes,
            peers: info.ceilings.peers,
            retry_advice: info.ceilings.retry_after,
            retry_advice_max: info.ceilings.max_retry_after_us,
            connect_timeout: info.ceilings.connect_timeout_us,
        },
        rules: RuleParameters {
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
