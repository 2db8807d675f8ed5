//! Reads the operator file, a KDL file that configures a scheduler without the platform: no environment variables, no
//! discovery service and no JSON.

use super::settings_reader::{DiagnosticCollector, Diagnostics, SettingsReader, suggest_name};
use super::*;
use calicolb::api::{
    Class, Effect, Group, Limits, MAX_SKILLS, Prices, QueueOrder, ReportSource, RuleParameters, Tenant,
    WorkerStatus,
};
use kdl::{KdlDocument, KdlNode};
use miette::{IntoDiagnostic, Report, WrapErr};
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

const MILLI: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const DAY: Micros = 24 * 3600 * SECOND;
/// The largest value that `open-jobs` may have.
const MAX_OPEN_JOBS: u64 = 20_000;
/// The largest Gearman workload, in bytes, that fits into the connection buffers.
const MAX_WORKLOAD_BYTES: u64 = 64 * 1024;

/// Listen addresses from the command line. An address that is set replaces the one in the operator file.
#[derive(Clone, Copy, Debug, Default)]
pub struct Addresses {
    /// The HTTP listen address.
    pub listen: Option<SocketAddr>,
    /// The Gearman listen address.
    pub gearman: Option<SocketAddr>,
    /// The listen address of the management interface.
    pub management: Option<SocketAddr>,
}

/// The node names that an operator file may contain.
const NODE_NAMES: [&str; 10] = [
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
    /// Reads an operator file. Addresses in `overrides` replace those in the file.
    ///
    /// # Errors
    /// A report that shows each error in the file with line, column, key and advice on how to correct it.
    pub fn from_operator_file(path: &Path, overrides: Addresses) -> Result<Config, Report> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .into_diagnostic()
            .wrap_err_with(|| format!("the operator file {name} cannot be read"))?;
        read(&name, &text, overrides)
    }
}

fn read(name: &str, text: &str, overrides: Addresses) -> Result<Config, Report> {
    let collector = DiagnosticCollector::new(name, text);
    let Some(document) = parse_kdl(&collector, text) else {
        return Err(Report::new(
            collector.finish(()).expect_err("parse_kdl returned None without recording an error"),
        ));
    };
    let config = FileReader { collector: &collector, document: &document }.read(overrides);
    let config = collector.finish(config).map_err(|diagnostics: Diagnostics| Report::new(diagnostics))?;
    config.ok_or_else(|| miette::miette!("{name}: the file is incomplete, but no error was recorded for it"))
}

/// Parses a KDL file. Returns `None` after recording each syntax error.
pub(super) fn parse_kdl(collector: &DiagnosticCollector, text: &str) -> Option<KdlDocument> {
    match KdlDocument::parse_v2(text) {
        Ok(document) => Some(document),
        Err(error) => {
            for diagnostic in error.diagnostics {
                let message = diagnostic.message.unwrap_or_else(|| "this is not valid KDL".to_owned());
                let help = diagnostic
                    .help
                    .or(diagnostic.label)
                    .unwrap_or_else(|| "see deploy/appliance.kdl".to_owned());
                collector.report(diagnostic.span, message, help);
            }
            None
        }
    }
}

/// Reads the nodes of a parsed operator file.
struct FileReader<'a> {
    collector: &'a DiagnosticCollector,
    document: &'a KdlDocument,
}

/// A class and its name from the file.
struct NamedClass<'a> {
    name: &'a str,
    class: Class,
}

impl<'a> FileReader<'a> {
    /// Returns the top-level nodes with this name.
    fn nodes(&self, node_name: &str) -> impl Iterator<Item = &'a KdlNode> {
        self.document.nodes().iter().filter(move |node| node.name().value() == node_name)
    }

    /// Returns the first node with this name, if there is one, and records an error if there is a second one.
    fn single_node(&self, node_name: &str) -> Option<SettingsReader<'a>> {
        let mut nodes = self.nodes(node_name);
        let first = nodes.next()?;
        if let Some(second) = nodes.next() {
            self.collector.report(
                second.name().span(),
                format!("the node '{node_name}' appears twice"),
                "keep one of them",
            );
        }
        Some(SettingsReader::new(self.collector, first))
    }

    /// Reads all nodes of the file and records each error in the collector. Returns `None` only if there is no HTTP listen
    /// address; other errors leave a configuration that must not be used.
    fn read(&self, overrides: Addresses) -> Option<Config> {
        for node in self.document.nodes() {
            let node_name = node.name().value();
            if !NODE_NAMES.contains(&node_name) {
                let help = suggest_name(node_name, NODE_NAMES.into_iter());
                self.collector.report(node.name().span(), format!("unknown node '{node_name}'"), help);
            }
        }
        let name = self.single_node("name").and_then(|reader| reader.name()).unwrap_or("calicolb");
        let http_listen = self.address("http", "listen");
        let management = self.address("operators", "listen");
        let classes = self.classes();
        let names: Vec<&str> = classes.iter().map(|class| class.name).collect();
        let functions = self.functions(&classes, &names);
        let kinds = self.kinds();
        let static_workers = self.static_workers(&names, &functions, &kinds);
        let gearman = self.gearman(name, overrides.gearman, &names, functions, &kinds);
        let tenants = self.tenants();
        let limits = self.single_node("limits");
        let limit = |key, min, max, default| {
            limits.as_ref().and_then(|reader| reader.integer(key, min, max)).unwrap_or(default)
        };
        let max_descriptors = limit("descriptors", MIN_DESCRIPTORS, 65_536, DEFAULT_DESCRIPTORS);
        let max_open_requests = limit("open-jobs", 1, MAX_OPEN_JOBS, max_descriptors / 3);
        if let Some(reader) = limits.as_ref().filter(|_| max_open_requests > max_descriptors / 3) {
            let message =
                format!("'open-jobs' is {max_open_requests}, and 'descriptors' is {max_descriptors}");
            reader.report(
                "open-jobs",
                message,
                "set it to at most a third of 'descriptors': an HTTP job holds a descriptor until it ends",
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
        let Some(listen) = overrides.listen.or(http_listen) else {
            if self.nodes("http").next().is_none() {
                let help = "add: http listen=\"127.0.0.1:8080\"";
                self.collector.report((0, 0).into(), "the node 'http' is missing", help);
            }
            return None;
        };
        Some(Config {
            name: name.to_owned(),
            listen,
            discovery: None,
            management: overrides.management.or(management),
            passed_socket: None,
            upgrade_socket: None,
            seed: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |since_epoch| since_epoch.as_nanos() as u64),
            max_descriptors: max_descriptors as usize,
            memory_bytes: (DEFAULT_MEMORY_MIB * BYTES_PER_MIB) as usize,
            peers: None,
            known_workers: None,
            static_workers,
            gearman,
            settings,
            names: Names::new(class_names, tenant_names, vec!["site".to_owned()], kind_names),
            worker_idle_timeout,
            max_open_requests: max_open_requests as usize,
            control: None,
        })
    }

    /// Returns the address under `key` of the node with this name. Records an error if the node has no valid address there;
    /// a file without the node is no error.
    fn address(&self, node_name: &str, key: &'static str) -> Option<SocketAddr> {
        let reader = self.single_node(node_name)?;
        let address = reader.required(key, "\"127.0.0.1:8080\"", reader.address(key));
        reader.report_unknown_keys();
        address
    }

    /// Returns the classes. A class with a missing or invalid name, aim, deadline or effect is recorded as an error and left
    /// out.
    fn classes(&self) -> Vec<NamedClass<'a>> {
        let mut classes: Vec<NamedClass<'a>> = Vec::new();
        for node in self.nodes("class") {
            let reader = SettingsReader::new(self.collector, node);
            let name = reader.name();
            let aim = reader.required("aim", "\"900ms\"", reader.duration("aim", MILLI, DAY));
            let deadline = reader.required("give-up", "\"5s\"", reader.duration("give-up", MILLI, DAY));
            let effects = [
                ("safe", Effect::Safe),
                ("once", Effect::Unsafe),
                // The span 0 is replaced below by the value of `remembered`.
                ("keyed", Effect::Keyed { group: Group::All, span: 0 }),
            ];
            let effect = reader.required("effect", "\"safe\"", reader.choice("effect", &effects));
            let remembered = reader.duration("remembered", MILLI, DAY);
            let stretch = reader.number("stretch", 0.0, 1_000.0).unwrap_or(0.0);
            let worth = reader.number("worth", 0.0, 1e6).unwrap_or(1.0);
            let late_worth = reader.number("late-worth", 0.0, 1.0).unwrap_or(0.0);
            let priority = reader.integer("priority", 0, 1_000).unwrap_or(0) as i64;
            let slots = reader.integer("slots", 1, 1_024).unwrap_or(1) as u32;
            reader.report_unknown_keys();
            let effect = match effect {
                Some(Effect::Keyed { group, .. }) => {
                    let span = reader.required("remembered", "\"1m\"", remembered).unwrap_or(0);
                    Some(Effect::Keyed { group, span })
                }
                effect => effect,
            };
            if let (Some(aim), Some(deadline)) = (aim, deadline)
                && deadline < aim
            {
                reader.report(
                    "give-up",
                    "'give-up' is shorter than 'aim'",
                    "make it at least as long as the aim",
                );
            }
            let (Some(name), Some(aim), Some(deadline), Some(effect)) = (name, aim, deadline, effect) else {
                continue;
            };
            if classes.iter().any(|class| class.name == name) {
                self.collector.report(
                    reader.span(),
                    format!("there are two classes \"{name}\""),
                    "rename one of them",
                );
            }
            // An operator file cannot reserve a kind of machine for a class.
            let kind = None;
            let class = Class { aim, stretch, deadline, late_worth, worth, effect, kind, priority, slots };
            classes.push(NamedClass { name, class });
        }
        if self.nodes("class").next().is_none() {
            let help = "add: class \"stock-check\" aim=\"900ms\" give-up=\"5s\" effect=\"safe\"";
            self.collector.report((0, 0).into(), "the file defines no class", help);
        }
        classes
    }

    /// Returns the functions in the order of the file, each with its name and the value of `on-http`, which is true if HTTP
    /// workers may run its jobs. `class_names` are the names of `classes`.
    fn functions(&self, classes: &[NamedClass<'a>], class_names: &[&str]) -> Vec<(&'a str, Function, bool)> {
        let mut functions: Vec<(&str, Function, bool)> = Vec::new();
        for node in self.nodes("function") {
            let reader = SettingsReader::new(self.collector, node);
            let name = reader.name();
            let class = reader.name_index("class", "class", class_names);
            let class = reader.required("class", "\"stock-check\"", class);
            let (low_class, high_class) = (
                reader.name_index("low", "class", class_names),
                reader.name_index("high", "class", class_names),
            );
            let background_timeout = reader.duration("background", MILLI, DAY);
            let takes_http_jobs = reader.flag("takes-http").unwrap_or(false);
            let runs_on_http = reader.flag("on-http").unwrap_or(false);
            reader.report_unknown_keys();
            let (Some(name), Some(class)) = (name, class) else { continue };
            if functions.iter().any(|(known, ..)| *known == name) {
                self.collector.report(
                    reader.span(),
                    format!("there are two functions \"{name}\""),
                    "rename one of them",
                );
            }
            let priority_class = |index: usize| PriorityClass {
                class: ClassIx(index),
                client_timeout: classes[index].class.deadline,
            };
            let priority_classes = [
                priority_class(low_class.unwrap_or(class)),
                priority_class(class),
                priority_class(high_class.unwrap_or(class)),
            ];
            if priority_classes
                .iter()
                .any(|other| classes[other.class.0].class.effect != classes[class].class.effect)
            {
                let help =
                    "name classes with the same effect: a job's effect must not depend on its priority";
                reader.report(
                    "class",
                    format!("the classes of function \"{name}\" have different effects"),
                    help,
                );
            }
            // Index 1 is normal priority.
            let background_timeout = background_timeout.unwrap_or(priority_classes[1].client_timeout);
            // Skills are numbered from 0: first the classes, then the functions.
            let skill = (classes.len() + functions.len()) as u32;
            let owned_name = name.to_owned();
            let function =
                Function { name: owned_name, skill, priority_classes, background_timeout, takes_http_jobs };
            functions.push((name, function, runs_on_http));
        }
        if classes.len() + functions.len() > MAX_SKILLS {
            let count = classes.len() + functions.len();
            let help = format!("define at most {MAX_SKILLS} classes and functions in total");
            self.collector.report((0, 0).into(), format!("there are {count} classes and functions"), help);
        }
        functions
    }

    /// Returns the kinds of machine of all workers in the file, without duplicates; [`DEFAULT_KIND`] if there are none.
    fn kinds(&self) -> Vec<&'a str> {
        let mut kinds: Vec<&str> = Vec::new();
        for node in self.nodes("http-worker").chain(self.nodes("gearman")) {
            let kind = SettingsReader::new(self.collector, node).kind();
            if !kinds.contains(&kind) {
                kinds.push(kind);
            }
        }
        if kinds.is_empty() {
            kinds.push(DEFAULT_KIND);
        }
        kinds
    }

    /// Returns the HTTP workers. A worker with a missing or invalid name or address is recorded as an error and left out.
    fn static_workers(
        &self,
        classes: &[&str],
        functions: &[(&str, Function, bool)],
        kinds: &[&str],
    ) -> Vec<StaticWorker> {
        let mut workers: Vec<(&str, StaticWorker)> = Vec::new();
        for node in self.nodes("http-worker") {
            let reader = SettingsReader::new(self.collector, node);
            let name = reader.name();
            let address = reader.address("address");
            let address = reader.required("address", "\"127.0.0.1:9001\"", address);
            let lanes = reader.integer("lanes", 1, 4_096);
            let weight = reader.number("weight", 0.001, 1e6).unwrap_or(1.0);
            let class_names = reader.texts("classes");
            let kind = reader.kind();
            // `kind()` neither checks the value nor marks the key as known; `text()` does both.
            reader.text("kind");
            reader.report_unknown_keys();
            let mut accepted_skills = 0_u64;
            for class in class_names.iter().flatten() {
                match classes.iter().position(|known| known == class) {
                    Some(index) => accepted_skills |= skill_bit(index as u32),
                    None => reader.report(
                        "classes",
                        format!("there is no class \"{class}\""),
                        suggest_name(class, classes.iter().copied()),
                    ),
                }
            }
            if class_names.is_none() {
                accepted_skills = (0..classes.len() as u32).map(skill_bit).sum();
            }
            // The worker also runs the `on-http` functions whose class at normal priority (index 1) it runs.
            for (_, function, _) in functions.iter().filter(|(.., runs_on_http)| *runs_on_http) {
                if accepted_skills & skill_bit(function.priority_classes[1].class.0 as u32) != 0 {
                    accepted_skills |= skill_bit(function.skill);
                }
            }
            let (Some(name), Some(address)) = (name, address) else { continue };
            let worker = calicolb::wire::worker_id(name);
            if let Some((other, _)) = workers.iter().find(|(_, other)| other.member.worker == worker) {
                let message = format!("the names \"{name}\" and \"{other}\" have the same hash");
                self.collector.report(reader.span(), message, "rename one of them");
            }
            let member = Member {
                worker,
                kind: KindIx(kinds.iter().position(|known| *known == kind).unwrap_or(0)),
                status: WorkerStatus::On,
                weight,
                lanes: lanes.map(|lanes| lanes as u32),
                refuses: !accepted_skills,
                ..Member::default()
            };
            workers.push((name, StaticWorker { member, address }));
        }
        workers.into_iter().map(|(_, worker)| worker).collect()
    }

    /// Returns the settings of the Gearman listener. Returns `None` if neither the file nor the command line enables it, or if
    /// its address is missing or invalid.
    fn gearman(
        &self,
        name: &str,
        listen_override: Option<SocketAddr>,
        classes: &[&str],
        functions: Vec<(&str, Function, bool)>,
        kinds: &[&str],
    ) -> Option<GearmanConfig> {
        let reader = self.single_node("gearman");
        if reader.is_none() && listen_override.is_none() {
            if let Some(node) = self.nodes("function").next() {
                let help = "add: gearman listen=\"127.0.0.1:4730\", or remove the functions";
                self.collector.report(
                    node.name().span(),
                    "functions need a 'gearman' node, which is missing",
                    help,
                );
            }
            return None;
        }
        let reader = reader.as_ref();
        let listen = reader.and_then(|reader| reader.address("listen"));
        let listen = match reader {
            Some(reader) => listen_override.or(reader.required("listen", "\"127.0.0.1:4730\"", listen)),
            None => listen_override,
        };
        let admin_changes = reader.and_then(|reader| reader.flag("admin")).unwrap_or(false);
        let max_remembered_jobs =
            reader.and_then(|reader| reader.integer("ends", 1, 1_000_000)).unwrap_or(1_024);
        let max_workload_bytes = reader
            .and_then(|reader| reader.byte_size("workload", 1_024, MAX_WORKLOAD_BYTES))
            .unwrap_or(MAX_WORKLOAD_BYTES);
        let kind = reader.map_or(DEFAULT_KIND, SettingsReader::kind);
        if let Some(reader) = reader {
            // `kind()` neither checks the value nor marks the key as known; `text()` does both.
            reader.text("kind");
            reader.report_unknown_keys();
        }
        Some(GearmanConfig {
            listen: listen?,
            functions: functions.into_iter().map(|(_, function, _)| function).collect(),
            classes: classes.iter().map(|class| (*class).to_owned()).collect(),
            zone: ZoneIx(0),
            kind: KindIx(kinds.iter().position(|known| *known == kind).unwrap_or(0)),
            admin_changes,
            max_remembered_jobs: max_remembered_jobs as usize,
            max_workload_bytes: max_workload_bytes as usize,
            name: name.to_owned(),
        })
    }

    /// Returns the tenants and their names.
    fn tenants(&self) -> Vec<(&'a str, Tenant)> {
        let mut tenants: Vec<(&str, Tenant)> = Vec::new();
        for node in self.nodes("tenant") {
            let reader = SettingsReader::new(self.collector, node);
            let name = reader.name();
            let quota_per_s = reader.number("quota-per-second", 0.0, 1e9).unwrap_or(0.0);
            let share = reader.number("share", 0.0, 1.0).unwrap_or(1.0);
            reader.report_unknown_keys();
            if let Some(name) = name {
                if tenants.iter().any(|(known, _)| *known == name) {
                    self.collector.report(
                        reader.span(),
                        format!("there are two tenants \"{name}\""),
                        "rename one",
                    );
                }
                tenants.push((name, Tenant { quota_per_s, share }));
            }
        }
        tenants
    }

    /// Returns the settings of the decision module, and the time in microseconds after which an HTTP worker closes an idle
    /// connection.
    fn settings(
        &self,
        classes: Vec<Class>,
        tenants: Vec<Tenant>,
        kinds: usize,
        limits: Option<SettingsReader<'a>>,
    ) -> (Settings, Micros) {
        let limits = limits.as_ref();
        let max_attempts = limits.and_then(|reader| reader.integer("tries", 1, 6)).unwrap_or(6) as u32;
        let connect_timeout =
            limits.and_then(|reader| reader.duration("connect-timeout", MILLI, 10 * SECOND));
        let max_retry_after = limits.and_then(|reader| reader.duration("come-back", MILLI, 3600 * SECOND));
        if let Some(reader) = limits {
            reader.report_unknown_keys();
        }
        let reader = self.single_node("workers");
        let workers = reader.as_ref();
        let cold = workers.and_then(|reader| reader.duration("cold", 0, DAY)).unwrap_or(10 * SECOND);
        let start_capacity =
            workers.and_then(|reader| reader.number("start-capacity", 0.01, 1.0)).unwrap_or(0.3);
        let fall_multiple =
            workers.and_then(|reader| reader.number("fall-multiple", 1.0, 100.0)).unwrap_or(4.0);
        let fall_window = workers.and_then(|reader| reader.duration("fall-window", 10 * MILLI, 60 * SECOND));
        let probes = workers.and_then(|reader| reader.flag("probes")).unwrap_or(false);
        let tells_start = workers.and_then(|reader| reader.flag("tells-start")).unwrap_or(true);
        let worker_idle_timeout = workers.and_then(|reader| reader.duration("idle", 100 * MILLI, DAY));
        if let Some(reader) = workers {
            reader.report_unknown_keys();
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
                max_attempts,
                // A job has one attempt at a time: once the client has received a part of one attempt's output, the output of
                // another attempt cannot continue it.
                concurrent_attempts: false,
                cancel: true,
                probes,
                peers: false,
                retry_advice: true,
                retry_advice_max: max_retry_after.unwrap_or(2 * SECOND),
                connect_timeout: connect_timeout.unwrap_or(250 * MILLI),
            },
            rules: RuleParameters {
                answer_slack: 8 * MILLI,
                drain_grace: 2 * SECOND,
                cold,
                start_capacity,
                fall_multiple,
                fall_window: fall_window.unwrap_or(1_500 * MILLI),
                ask_every: SECOND,
            },
            prices: Prices::default(),
            tick: MILLI,
        };
        (settings, worker_idle_timeout.unwrap_or(DEFAULT_WORKER_IDLE_TIMEOUT))
    }
}

/// The kind of machine of a worker whose node does not set `kind`.
const DEFAULT_KIND: &str = "worker";

impl<'a> SettingsReader<'a> {
    /// Returns the kind of machine that a worker's node sets, or [`DEFAULT_KIND`] if the node sets none.
    fn kind(&self) -> &'a str {
        self.peek_text("kind").unwrap_or(DEFAULT_KIND)
    }
}

/// Returns the bit that stands for a skill in a set of skills, or 0 if the skill's index is too large for the set.
fn skill_bit(skill: u32) -> u64 {
    1_u64.checked_shl(skill).unwrap_or(0)
}
