//! The operator file: the appliance's form, in KDL. One file and no variable, no discovery, no JSON.

use super::sheet::{Faults, Reading, Sheet, like};
use super::*;
use calicolb::api::{
    Class, Effect, Group, Limits, Prices, QueueOrder, ReportSource, RuleFigures, SKILLS, Standing, Tenant,
};
use kdl::{KdlDocument, KdlNode};
use miette::{IntoDiagnostic, Report, WrapErr};
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

const MILLI: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const DAY: Micros = 24 * 3600 * SECOND;
/// The largest number of jobs that may be open.
const MOST_OPEN: u64 = 20_000;
/// The largest workload that fits into the buffers.
const WORKLOAD: u64 = 64 * 1024;

/// Addresses that the command line gives in the place of the file's.
#[derive(Clone, Copy, Debug, Default)]
pub struct Addresses {
    /// Where HTTP clients connect.
    pub listen: Option<SocketAddr>,
    /// Where Gearman clients and workers connect.
    pub gearman: Option<SocketAddr>,
    /// Where operators call.
    pub management: Option<SocketAddr>,
}

/// The words that may begin a node.
const NODES: [&str; 10] = [
    "name",
    "http",
    "gearman",
    "operators",
    "limits",
    "workers",
    "class",
    "tenant",
    "function",
    "http-worker",
];

impl Config {
    /// Reads an operator file.
    ///
    /// # Errors
    /// A report that names every fault with file, line, column, key and mend.
    pub fn operator(path: &Path, over: Addresses) -> Result<Config, Report> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .into_diagnostic()
            .wrap_err_with(|| format!("the operator file {name} cannot be read"))?;
        read(&name, &text, over)
    }
}

fn read(name: &str, text: &str, over: Addresses) -> Result<Config, Report> {
    let reading = Reading::new(name, text);
    let Some(document) = parse(&reading, text) else {
        return Err(Report::new(reading.end(()).expect_err("a fault was noted")));
    };
    let config = Appliance { reading: &reading, document: &document }.read(over);
    let whole = reading.end(config).map_err(|faults: Faults| Report::new(faults))?;
    whole.ok_or_else(|| miette::miette!("{name}: it cannot be used, though no fault was found in it"))
}

/// Takes a file apart; each thing that is no KDL is noted as a fault.
pub(super) fn parse(reading: &Reading, text: &str) -> Option<KdlDocument> {
    match KdlDocument::parse_v2(text) {
        Ok(document) => Some(document),
        Err(error) => {
            for fault in error.diagnostics {
                let message = fault.message.unwrap_or_else(|| "this is no KDL".to_owned());
                let mend = fault.help.or(fault.label).unwrap_or_else(|| "see the shipped example".to_owned());
                reading.fault(fault.span, message, mend);
            }
            None
        }
    }
}

struct Appliance<'a> {
    reading: &'a Reading,
    document: &'a KdlDocument,
}

/// A class as it stands in the file.
struct NamedClass<'a> {
    name: &'a str,
    class: Class,
}

impl<'a> Appliance<'a> {
    fn nodes(&self, word: &str) -> impl Iterator<Item = &'a KdlNode> {
        self.document.nodes().iter().filter(move |node| node.name().value() == word)
    }

    /// The one node of this word; a second one is a fault.
    fn sheet(&self, word: &str) -> Option<Sheet<'a>> {
        let mut nodes = self.nodes(word);
        let first = nodes.next()?;
        if let Some(second) = nodes.next() {
            self.reading.fault(second.name().span(), format!("there are two '{word}'"), "keep one of them");
        }
        Some(Sheet::new(self.reading, first))
    }

    fn read(&self, over: Addresses) -> Option<Config> {
        for node in self.document.nodes() {
            let word = node.name().value();
            if !NODES.contains(&word) {
                let mend = like(word, NODES.into_iter());
                self.reading.fault(node.name().span(), format!("nothing is called '{word}'"), mend);
            }
        }
        let name = self.sheet("name").and_then(|sheet| sheet.name()).unwrap_or("calicolb");
        let http = self.address("http", "listen");
        let mgmt = self.address("operators", "listen");
        let classes = self.classes();
        let names: Vec<&str> = classes.iter().map(|class| class.name).collect();
        let functions = self.functions(&classes, &names);
        let kinds = self.kinds();
        let fixed = self.fixed(&names, &functions, &kinds);
        let gearman = self.gearman(name, over.gearman, &names, functions, &kinds);
        let tenants = self.tenants();
        let limits = self.sheet("limits");
        let limit = |key, least, most, default| {
            limits.as_ref().and_then(|sheet| sheet.whole(key, least, most)).unwrap_or(default)
        };
        let sockets = limit("descriptors", MIN_DESCRIPTORS, 65_536, DEFAULT_DESCRIPTORS);
        let max_open_requests = limit("open-jobs", 1, MOST_OPEN, sockets / 3);
        if let Some(sheet) = limits.as_ref().filter(|_| max_open_requests > sockets / 3) {
            let message = format!("'open-jobs' is {max_open_requests}, and 'descriptors' {sockets}");
            sheet.fault(
                "open-jobs",
                message,
                "keep it to a third: a job of HTTP holds a descriptor until its end",
            );
        }
        let class_names = names.iter().map(|name| (*name).to_owned()).collect();
        let tenant_names = tenants.iter().map(|(name, _)| (*name).to_owned()).collect();
        let kind_names = kinds.iter().map(|kind| (*kind).to_owned()).collect();
        let (settings, worker_idle_timeout) = self.settings(
            classes.into_iter().map(|class| class.class).collect(),
            tenants.into_iter().map(|(_, tenant)| tenant).collect(),
            kinds.len(),
            limits,
        );
        let Some(listen) = over.listen.or(http) else {
            if self.nodes("http").next().is_none() {
                let mend = "add: http listen=\"127.0.0.1:8080\"";
                self.reading.fault((0, 0).into(), "there is no 'http'", mend);
            }
            return None;
        };
        Some(Config {
            name: name.to_owned(),
            listen,
            discovery: None,
            management: over.management.or(mgmt),
            passed_socket: None,
            upgrade_socket: None,
            seed: SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_nanos() as u64),
            max_descriptors: sockets as usize,
            peers: None,
            known_workers: None,
            static_workers: fixed,
            gearman,
            settings,
            names: Names::new(class_names, tenant_names, vec!["site".to_owned()], kind_names),
            worker_idle_timeout,
            max_open_requests: max_open_requests as usize,
            control: None,
        })
    }

    fn address(&self, word: &str, key: &'static str) -> Option<SocketAddr> {
        let sheet = self.sheet(word)?;
        let address = sheet.needed(key, "\"127.0.0.1:8080\"", sheet.address(key));
        sheet.close();
        address
    }

    fn classes(&self) -> Vec<NamedClass<'a>> {
        let mut classes: Vec<NamedClass<'a>> = Vec::new();
        for node in self.nodes("class") {
            let sheet = Sheet::new(self.reading, node);
            let name = sheet.name();
            let aim = sheet.needed("aim", "\"900ms\"", sheet.time("aim", MILLI, DAY));
            let give_up = sheet.needed("give-up", "\"5s\"", sheet.time("give-up", MILLI, DAY));
            let effects = [
                ("safe", Effect::Safe),
                ("once", Effect::Unsafe),
                ("keyed", Effect::Keyed { group: Group::All, span: 0 }),
            ];
            let effect = sheet.needed("effect", "\"safe\"", sheet.choice("effect", &effects));
            let memory = sheet.time("remembered", MILLI, DAY);
            let stretch = sheet.number("stretch", 0.0, 1_000.0).unwrap_or(0.0);
            let worth = sheet.number("worth", 0.0, 1e6).unwrap_or(1.0);
            let late_worth = sheet.number("late-worth", 0.0, 1.0).unwrap_or(0.0);
            let priority = sheet.whole("priority", 0, 1_000).unwrap_or(0) as i64;
            let slots = sheet.whole("slots", 1, 1_024).unwrap_or(1) as u32;
            sheet.close();
            let effect = match effect {
                Some(Effect::Keyed { group, .. }) => {
                    let span = sheet.needed("remembered", "\"1m\"", memory).unwrap_or(0);
                    Some(Effect::Keyed { group, span })
                }
                effect => effect,
            };
            if let (Some(aim), Some(give_up)) = (aim, give_up)
                && give_up < aim
            {
                sheet.fault("give-up", "'give-up' comes before 'aim'", "make it at least as long as the aim");
            }
            let (Some(name), Some(aim), Some(deadline), Some(effect)) = (name, aim, give_up, effect) else {
                continue;
            };
            if classes.iter().any(|class| class.name == name) {
                self.reading.fault(
                    sheet.at(),
                    format!("there are two classes \"{name}\""),
                    "rename one of them",
                );
            }
            let kind = None;
            let class = Class { aim, stretch, deadline, late_worth, worth, effect, kind, priority, slots };
            classes.push(NamedClass { name, class });
        }
        if self.nodes("class").next().is_none() {
            let mend = "add: class \"stock-check\" aim=\"900ms\" give-up=\"5s\" effect=\"safe\"";
            self.reading.fault((0, 0).into(), "there is no class", mend);
        }
        classes
    }

    fn functions(&self, classes: &[NamedClass<'a>], names: &[&str]) -> Vec<(&'a str, Function, bool)> {
        let mut functions: Vec<(&str, Function, bool)> = Vec::new();
        for node in self.nodes("function") {
            let sheet = Sheet::new(self.reading, node);
            let name = sheet.name();
            let class = sheet.one_of("class", "class", names);
            let class = sheet.needed("class", "\"stock-check\"", class);
            let (low, high) = (sheet.one_of("low", "class", names), sheet.one_of("high", "class", names));
            let background = sheet.time("background", MILLI, DAY);
            let takes_http = sheet.flag("takes-http").unwrap_or(false);
            let on_http = sheet.flag("on-http").unwrap_or(false);
            sheet.close();
            let (Some(name), Some(class)) = (name, class) else { continue };
            if functions.iter().any(|(known, ..)| *known == name) {
                self.reading.fault(
                    sheet.at(),
                    format!("there are two functions \"{name}\""),
                    "rename one of them",
                );
            }
            let grade =
                |nr: usize| PriorityClass { class: ClassIx(nr), client_timeout: classes[nr].class.deadline };
            let grades = [grade(low.unwrap_or(class)), grade(class), grade(high.unwrap_or(class))];
            if grades.iter().any(|other| classes[other.class.0].class.effect != classes[class].class.effect) {
                let mend =
                    "what a repeat would do does not change with the priority: name classes of one effect";
                sheet.fault("class", format!("the classes of \"{name}\" differ in their effect"), mend);
            }
            let background = background.unwrap_or(grades[1].client_timeout);
            let skill = (classes.len() + functions.len()) as u32;
            let name_owned = name.to_owned();
            let function = Function {
                name: name_owned,
                skill,
                priority_classes: grades,
                background_timeout: background,
                takes_http_jobs: takes_http,
            };
            functions.push((name, function, on_http));
        }
        if classes.len() + functions.len() > SKILLS {
            let count = classes.len() + functions.len();
            let mend = format!("keep them to {SKILLS} together");
            self.reading.fault((0, 0).into(), format!("there are {count} classes and functions"), mend);
        }
        functions
    }

    /// The kinds of machine that are named anywhere.
    fn kinds(&self) -> Vec<&'a str> {
        let mut kinds: Vec<&str> = Vec::new();
        for node in self.nodes("http-worker").chain(self.nodes("gearman")) {
            let kind = Sheet::new(self.reading, node).kind();
            if !kinds.contains(&kind) {
                kinds.push(kind);
            }
        }
        if kinds.is_empty() {
            kinds.push(DEFAULT_KIND);
        }
        kinds
    }

    fn fixed(
        &self,
        classes: &[&str],
        functions: &[(&str, Function, bool)],
        kinds: &[&str],
    ) -> Vec<StaticWorker> {
        let mut fixed: Vec<(&str, StaticWorker)> = Vec::new();
        for node in self.nodes("http-worker") {
            let sheet = Sheet::new(self.reading, node);
            let name = sheet.name();
            let dial = sheet.address("address");
            let dial = sheet.needed("address", "\"127.0.0.1:9001\"", dial);
            let lanes = sheet.whole("lanes", 1, 4_096);
            let weight = sheet.number("weight", 0.001, 1e6).unwrap_or(1.0);
            let takes = sheet.texts("classes");
            let kind = sheet.kind();
            sheet.text("kind");
            sheet.close();
            let mut takes_bits = 0_u64;
            for class in takes.iter().flatten() {
                match classes.iter().position(|known| known == class) {
                    Some(nr) => takes_bits |= bit(nr as u32),
                    None => sheet.fault(
                        "classes",
                        format!("there is no class \"{class}\""),
                        like(class, classes.iter().copied()),
                    ),
                }
            }
            if takes.is_none() {
                takes_bits = (0..classes.len() as u32).map(bit).sum();
            }
            for (_, function, _) in functions.iter().filter(|(.., on_http)| *on_http) {
                if takes_bits & bit(function.priority_classes[1].class.0 as u32) != 0 {
                    takes_bits |= bit(function.skill);
                }
            }
            let (Some(name), Some(dial)) = (name, dial) else { continue };
            let worker = calicolb::wire::hop_id(name);
            if let Some((other, _)) = fixed.iter().find(|(_, other)| other.member.worker == worker) {
                let message = format!("\"{name}\" and \"{other}\" have the same number");
                self.reading.fault(sheet.at(), message, "rename one of them");
            }
            let member = Member {
                worker,
                kind: KindIx(kinds.iter().position(|known| *known == kind).unwrap_or(0)),
                standing: Standing::On,
                weight,
                lanes: lanes.map(|lanes| lanes as u32),
                refuses: !takes_bits,
                ..Member::default()
            };
            fixed.push((name, StaticWorker { member, address: dial }));
        }
        fixed.into_iter().map(|(_, fixed)| fixed).collect()
    }

    fn gearman(
        &self,
        name: &str,
        over: Option<SocketAddr>,
        classes: &[&str],
        functions: Vec<(&str, Function, bool)>,
        kinds: &[&str],
    ) -> Option<GearmanConfig> {
        let sheet = self.sheet("gearman");
        if sheet.is_none() && over.is_none() {
            if let Some(node) = self.nodes("function").next() {
                let mend = "add: gearman listen=\"127.0.0.1:4730\", or remove the functions";
                self.reading.fault(node.name().span(), "there are functions, and no 'gearman'", mend);
            }
            return None;
        }
        let sheet = sheet.as_ref();
        let listen = sheet.and_then(|sheet| sheet.address("listen"));
        let listen = match sheet {
            Some(sheet) => over.or(sheet.needed("listen", "\"127.0.0.1:4730\"", listen)),
            None => over,
        };
        let admin = sheet.and_then(|sheet| sheet.flag("admin")).unwrap_or(false);
        let ends = sheet.and_then(|sheet| sheet.whole("ends", 1, 1_000_000)).unwrap_or(1_024);
        let workload = sheet.and_then(|sheet| sheet.size("workload", 1_024, WORKLOAD)).unwrap_or(WORKLOAD);
        let kind = sheet.map_or(DEFAULT_KIND, Sheet::kind);
        if let Some(sheet) = sheet {
            sheet.text("kind");
            sheet.close();
        }
        Some(GearmanConfig {
            listen: listen?,
            functions: functions.into_iter().map(|(_, function, _)| function).collect(),
            classes: classes.iter().map(|class| (*class).to_owned()).collect(),
            zone: ZoneIx(0),
            kind: KindIx(kinds.iter().position(|known| *known == kind).unwrap_or(0)),
            admin_changes: admin,
            max_remembered_jobs: ends as usize,
            max_workload_bytes: workload as usize,
            name: name.to_owned(),
        })
    }

    fn tenants(&self) -> Vec<(&'a str, Tenant)> {
        let mut tenants: Vec<(&str, Tenant)> = Vec::new();
        for node in self.nodes("tenant") {
            let sheet = Sheet::new(self.reading, node);
            let name = sheet.name();
            let quota_per_s = sheet.number("quota-per-second", 0.0, 1e9).unwrap_or(0.0);
            let share = sheet.number("share", 0.0, 1.0).unwrap_or(1.0);
            sheet.close();
            if let Some(name) = name {
                if tenants.iter().any(|(known, _)| *known == name) {
                    self.reading.fault(sheet.at(), format!("there are two tenants \"{name}\""), "rename one");
                }
                tenants.push((name, Tenant { quota_per_s, share }));
            }
        }
        tenants
    }

    /// The module's settings, and when an HTTP worker closes a connection at rest.
    fn settings(
        &self,
        classes: Vec<Class>,
        tenants: Vec<Tenant>,
        kinds: usize,
        limits: Option<Sheet<'a>>,
    ) -> (Settings, Micros) {
        let limits = limits.as_ref();
        let tries = limits.and_then(|sheet| sheet.whole("tries", 1, 6)).unwrap_or(6) as u32;
        let connect_timeout = limits.and_then(|sheet| sheet.time("connect-timeout", MILLI, 10 * SECOND));
        let come_back = limits.and_then(|sheet| sheet.time("come-back", MILLI, 3600 * SECOND));
        if let Some(sheet) = limits {
            sheet.close();
        }
        let sheet = self.sheet("workers");
        let workers = sheet.as_ref();
        let cold = workers.and_then(|sheet| sheet.time("cold", 0, DAY)).unwrap_or(10 * SECOND);
        let start = workers.and_then(|sheet| sheet.number("start-capacity", 0.01, 1.0)).unwrap_or(0.3);
        let fall = workers.and_then(|sheet| sheet.number("fall-multiple", 1.0, 100.0)).unwrap_or(4.0);
        let window = workers.and_then(|sheet| sheet.time("fall-window", 10 * MILLI, 60 * SECOND));
        let probes = workers.and_then(|sheet| sheet.flag("probes")).unwrap_or(false);
        let tells_start = workers.and_then(|sheet| sheet.flag("tells-start")).unwrap_or(true);
        let idle = workers.and_then(|sheet| sheet.time("idle", 100 * MILLI, DAY));
        if let Some(sheet) = workers {
            sheet.close();
        }
        let settings = Settings {
            rank: 0,
            instances: 1,
            zone: ZoneIx(0),
            zones: 1,
            kinds,
            classes,
            tenants,
            over_share_worth: 0.2,
            worth_by_work: false,
            list_on_request: false,
            reports: ReportSource::Answers,
            reports_free_slots: true,
            reports_free_memory: false,
            tells_start,
            progress_every: 0,
            queue_order: QueueOrder::Fifo,
            weights: true,
            limits: Limits {
                tries,
                // What one branch has passed on to its caller, no other may go on with.
                copies: false,
                cancel: true,
                probes,
                peers: false,
                retry_advice: true,
                retry_advice_max: come_back.unwrap_or(2 * SECOND),
                connect_timeout: connect_timeout.unwrap_or(250 * MILLI),
            },
            rules: RuleFigures {
                answer_slack: 8 * MILLI,
                drain_grace: 2 * SECOND,
                cold,
                start_capacity: start,
                fall_multiple: fall,
                fall_window: window.unwrap_or(1_500 * MILLI),
                ask_every: SECOND,
            },
            prices: Prices::default(),
            tick: MILLI,
        };
        (settings, idle.unwrap_or(DEFAULT_WORKER_IDLE_TIMEOUT))
    }
}

/// The kind of machine of workers that name none.
const DEFAULT_KIND: &str = "worker";

impl<'a> Sheet<'a> {
    fn kind(&self) -> &'a str {
        self.peek("kind").unwrap_or(DEFAULT_KIND)
    }
}

fn bit(skill: u32) -> u64 {
    1_u64.checked_shl(skill).unwrap_or(0)
}
