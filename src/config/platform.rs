//! The platform's form: a JSON file and variables that may stand in for some of its keys.

use super::*;
use calicolb::api::Effect;
use calicolb::wire;
use serde_json::{Map, Value};
use std::collections::BTreeSet;
use std::path::Path;

/// The longest span that settings may name, in microseconds: ten years.
const LONGEST: Micros = 10 * 365 * 24 * 3_600 * 1_000_000;

/// Which of a key and the variable in its place counts where both are there.
#[derive(Clone, Copy, PartialEq)]
enum Precedence {
    Environment,
    File,
}

impl Config {
    /// Reads the file that `RELAY_CONFIG` names, and the variables that may stand in for its keys.
    pub fn load(env: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        // The environment comes first: it is what a person sets to try something.
        Config::load_from(env, Precedence::Environment)
    }

    /// Reads the file again. Now its keys come before the variables: these are from the start of the program
    /// and cannot change, so that, were they first, a replaced file would be replaced in vain.
    pub fn reload(env: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        Config::load_from(env, Precedence::File)
    }

    fn load_from(env: impl Fn(&str) -> Option<String>, first: Precedence) -> Result<Config, String> {
        let path = env("RELAY_CONFIG").ok_or("RELAY_CONFIG is not set")?;
        let text =
            std::fs::read_to_string(&path).map_err(|error| format!("RELAY_CONFIG: {path}: {error}"))?;
        Config::read(&text, env, first)
    }

    fn read(text: &str, env: impl Fn(&str) -> Option<String>, first: Precedence) -> Result<Config, String> {
        let json: Value = serde_json::from_str(text).map_err(|error| format!("RELAY_CONFIG: {error}"))?;
        let root = Section { at: "", map: json.as_object().ok_or("RELAY_CONFIG: it is not a JSON object")? };
        let told = |key: &str, variable: &str| {
            let set = env(variable).map(|value| (variable.to_owned(), value));
            let written = root.text(key)?.map(|value| (key.to_owned(), value.to_owned()));
            Ok::<_, String>(if first == Precedence::Environment { set.or(written) } else { written.or(set) })
        };
        let needed = |key: &str, variable: &str| {
            told(key, variable)?.ok_or_else(|| format!("'{key}' is missing, and so is {variable}"))
        };
        let place = |key: &str, variable: &str| {
            let (from, value) = needed(key, variable)?;
            address(&from, &value)
        };
        let mgmt = told("mgmt", "RELAY_MGMT")?.map(|(from, value)| address(&from, &value)).transpose()?;
        let passed = env("RELAY_PASSED_SOCKET").filter(|text| !text.is_empty());
        let passed = passed.map(|text| descriptor("RELAY_PASSED_SOCKET", &text)).transpose()?;
        let limits = root.section("limits")?;
        let settings = root.map.get("settings").ok_or("'settings' is missing")?;
        let told_of =
            settings_update(settings).map_err(|fault| format!("'settings.{}' {}", fault.key, fault.why))?;
        let SettingsUpdate { settings: module, names, worker_idle_timeout, max_open_requests } = told_of;
        let known = match root.map.get("known") {
            None | Some(Value::Null) => None,
            Some(value) => {
                Some(serde_json::from_value(value.clone()).map_err(|error| format!("'known': {error}"))?)
            }
        };
        let sockets = match &limits {
            Some(limits) => limits.whole("sockets")?.unwrap_or(DEFAULT_DESCRIPTORS),
            None => DEFAULT_DESCRIPTORS,
        };
        if sockets < MIN_DESCRIPTORS {
            return Err(format!(
                "'limits.sockets' is {sockets}: the program needs {MIN_DESCRIPTORS} at least"
            ));
        }
        Ok(Config {
            name: told("name", "RELAY_NAME")?.map_or_else(|| "calicolb".to_owned(), |found| found.1),
            listen: place("listen", "RELAY_LISTEN")?,
            discovery: Some(place("discovery", "RELAY_DISCOVERY")?),
            management: mgmt,
            // A process that cannot share the clients' socket has nobody to meet.
            upgrade_socket: env("TMPDIR")
                .filter(|_| passed.is_some())
                .map(|dir| Path::new(&dir).join(UPGRADE_SOCKET)),
            passed_socket: passed,
            seed: seed(&root)?,
            max_descriptors: sockets as usize,
            peers: peers(&root, &module)?,
            known_workers: known,
            static_workers: Vec::new(),
            gearman: None,
            worker_idle_timeout,
            max_open_requests,
            control: control(&root, settings)?,
            settings: module,
            names,
        })
    }
}

/// The settings, checked whole.
pub(super) fn settings_update(settings: &Value) -> Result<SettingsUpdate, Fault> {
    let ceiling = |key: &str, default: u64| {
        let at = format!("ceilings.{key}");
        let section = match settings.get("ceilings") {
            Some(Value::Object(map)) => Section { at: "", map },
            Some(_) => return Err(Fault::new("ceilings", "is not an object")),
            None => return Ok(default),
        };
        let told = section.whole(key).map_err(|_| Fault::new(at, "is not a number from 0 on"))?;
        Ok(told.unwrap_or(default))
    };
    let (mut module, names) = wire::settings_of(settings)?;
    if module.classes.is_empty() {
        return Err(Fault::new("request_classes", "is missing or empty"));
    }
    sound(&module, &names)?;
    // `retry_after` says what the simulator's clients are given. SchedulerRules a refusal is an HTTP answer, which
    // may carry Retry-After whatever that says: the module is told that its advice gets through.
    module.limits.retry_advice = true;
    let worker_idle_timeout = ceiling("conn_idle_us", DEFAULT_WORKER_IDLE_TIMEOUT)?;
    within("ceilings.conn_idle_us", worker_idle_timeout)?;
    let max_open_requests = ceiling("max_open", DEFAULT_MAX_OPEN_REQUESTS)? as usize;
    Ok(SettingsUpdate { settings: module, names, worker_idle_timeout, max_open_requests })
}

/// That a span can be added to any time.
fn within(key: &str, span: Micros) -> Result<(), Fault> {
    if span > LONGEST {
        return Err(Fault::new(key, format!("is {span}: {LONGEST} microseconds are the most")));
    }
    Ok(())
}

/// That no figure is beyond what can be reckoned with, and each name is there once.
fn sound(settings: &Settings, names: &Names) -> Result<(), Fault> {
    let least = |key: String, figure: f64| {
        if figure >= 0.0 { Ok(()) } else { Err(Fault::new(key, format!("is {figure}: 0 is the least"))) }
    };
    once("request_classes", names.classes())?;
    once("orgs", names.tenants())?;
    for (name, class) in names.classes().zip(&settings.classes) {
        let at = |field: &str| format!("request_classes.{name}.{field}");
        within(&at("aim_us"), class.aim)?;
        within(&at("deadline_us"), class.deadline)?;
        if let Effect::Keyed { span, .. } = class.effect {
            within(&at("memory_span_us"), span)?;
        }
        least(at("worth"), class.worth)?;
        least(at("late_worth"), class.late_worth)?;
    }
    for (name, tenant) in names.tenants().zip(&settings.tenants) {
        least(format!("orgs.{name}.quota_rps"), tenant.quota_per_s)?;
        least(format!("orgs.{name}.share"), tenant.share)?;
    }
    least("over_share_worth".to_owned(), settings.over_share_worth)?;
    let (limits, rules) = (&settings.limits, &settings.rules);
    for (key, span) in [
        ("ceilings.connect_timeout_us", limits.connect_timeout),
        ("ceilings.max_retry_after_us", limits.retry_advice_max),
        ("rules.answer_slack_us", rules.answer_slack),
        ("rules.drain_grace_us", rules.drain_grace),
        ("rules.cold_us", rules.cold),
        ("rules.fall_us", rules.fall_window),
        ("rules.ask_every_us", rules.ask_every),
        ("tick_us", settings.tick),
    ] {
        within(key, span)?;
    }
    least("rules.start_capacity".to_owned(), rules.start_capacity)?;
    least("rules.fall_multiple".to_owned(), rules.fall_multiple)
}

fn once<'a>(list: &str, names: impl Iterator<Item = &'a str>) -> Result<(), Fault> {
    let mut seen = BTreeSet::new();
    for name in names {
        if name.is_empty() {
            return Err(Fault::new(list, "has one without a name"));
        }
        if !seen.insert(name) {
            return Err(Fault::new(format!("{list}.{name}"), "is there twice"));
        }
    }
    Ok(())
}

fn address(key: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("'{key}': '{text}' is not an address with a port"))
}

fn descriptor(key: &str, text: &str) -> Result<i32, String> {
    let number = text.trim().parse().ok().filter(|number| *number > 2);
    number.ok_or_else(|| format!("'{key}': '{text}' is not the number of a descriptor from 3 on"))
}

/// The least silence that can be told from a pause between two lines of a watch.
const LEAST_SILENCE_MS: u64 = 3_000;
const DEFAULT_SILENCE_MS: u64 = 5_000;
const MOST_SILENCE_MS: u64 = 3_600_000;

fn control(root: &Section<'_>, settings: &Value) -> Result<Option<LearnerConfig>, String> {
    let silence = root.whole("control_silence_ms")?.unwrap_or(DEFAULT_SILENCE_MS);
    if !(LEAST_SILENCE_MS..=MOST_SILENCE_MS).contains(&silence) {
        return Err(format!(
            "'control_silence_ms' is {silence}: it must be from {LEAST_SILENCE_MS} to {MOST_SILENCE_MS}"
        ));
    }
    let machines = addresses(root, "control")?;
    let Some(machines) = machines.filter(|machines| !machines.is_empty()) else { return Ok(None) };
    let settings = document::to_document(settings);
    let own = agreed::local_settings(&settings);
    Ok(Some(LearnerConfig {
        machines,
        max_silence: silence * 1_000,
        local_settings: own,
        initial_settings: agreed::shared_settings(settings),
    }))
}

/// A list of addresses, if there is one of this key.
fn addresses(root: &Section<'_>, key: &str) -> Result<Option<Vec<SocketAddr>>, String> {
    let list = match root.map.get(key) {
        None | Some(Value::Null) => return Ok(None),
        Some(Value::Array(list)) => list,
        Some(_) => return Err(format!("'{key}' is not a list")),
    };
    let each = list.iter().enumerate().map(|(nr, value)| {
        let key = format!("{key}[{nr}]");
        address(&key, value.as_str().ok_or_else(|| format!("'{key}' is not text"))?)
    });
    each.collect::<Result<_, String>>().map(Some)
}

fn seed(root: &Section<'_>) -> Result<u64, String> {
    match root.map.get("seed") {
        None => Ok(0),
        Some(Value::Number(number)) if number.is_u64() => Ok(number.as_u64().unwrap_or(0)),
        Some(Value::String(text)) => u64::from_str_radix(text, 16)
            .map_err(|_| format!("'seed': '{text}' is not a hexadecimal number of 64 bits")),
        Some(other) => Err(format!("'seed': {other} is neither text nor a whole number")),
    }
}

fn peers(root: &Section<'_>, settings: &Settings) -> Result<Option<PeerConfig>, String> {
    let Some(listen) = root.text("peer_listen")?.filter(|_| settings.limits.peers) else { return Ok(None) };
    let each = addresses(root, "peers")?.unwrap_or_default();
    let all = root.text("peers_all")?.map(|text| address("peers_all", text)).transpose()?;
    Ok(Some(PeerConfig { listen: address("peer_listen", listen)?, by_rank: each, broadcast: all }))
}

/// An object of the configuration, and where it stands.
struct Section<'a> {
    at: &'a str,
    map: &'a Map<String, Value>,
}

impl<'a> Section<'a> {
    fn text(&self, key: &str) -> Result<Option<&'a str>, String> {
        match self.map.get(key) {
            None => Ok(None),
            Some(Value::String(text)) => Ok(Some(text)),
            Some(other) => Err(format!("'{}{key}': {other} is not text", self.at)),
        }
    }

    fn whole(&self, key: &str) -> Result<Option<u64>, String> {
        match self.map.get(key) {
            None => Ok(None),
            Some(value) => {
                let number =
                    value.as_u64().or_else(|| value.as_f64().filter(|n| *n >= 0.0).map(|n| n as u64));
                number
                    .map(Some)
                    .ok_or_else(|| format!("'{}{key}': {value} is not a number from 0 on", self.at))
            }
        }
    }

    fn section(&self, key: &'a str) -> Result<Option<Section<'a>>, String> {
        match self.map.get(key) {
            None => Ok(None),
            Some(Value::Object(map)) => Ok(Some(Section { at: "limits.", map })),
            Some(_) => Err(format!("'{}{key}' is not an object", self.at)),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::path::PathBuf;

    const SOUND: &str = r#"{"name":"n3","listen":"127.0.0.1:8443","discovery":"127.0.0.2:8500",
        "seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":900},
        "peer_listen":"127.0.0.1:7946","peers":["127.0.0.3:7946"],"peers_all":"127.0.0.4:7946",
        "settings":{"ceilings":{"peers":true,"max_open":50,"retry_after":false},
        "request_classes":[{"name":"look","effect":"read_like"}]}}"#;

    fn read(text: &str) -> Result<Config, String> {
        Config::read(text, |_| None, Precedence::Environment)
    }

    /// Checks the message on a sound file in which one thing is changed.
    fn wrong(from: &str, to: &str, told: &str) {
        assert!(SOUND.contains(from));
        let message = read(&SOUND.replace(from, to)).err().unwrap_or_else(|| panic!("{to} was taken"));
        assert!(message.contains(told), "'{message}' does not tell of {told}");
    }

    #[test]
    fn a_sound_file_is_read_and_the_rest_has_defaults() {
        let config = read(SOUND).expect("it is sound");
        assert_eq!((config.name.as_str(), config.seed), ("n3", 0x8c1f_30d2_7a5b_e964));
        assert_eq!(
            (config.max_descriptors, config.max_open_requests, config.worker_idle_timeout),
            (900, 50, DEFAULT_WORKER_IDLE_TIMEOUT)
        );
        assert_eq!(config.peers.map(|peers| peers.by_rank.len()), Some(1));
        assert!(config.known_workers.is_none());
        // Clients of this wire are always told when to come back.
        assert!(config.settings.limits.retry_advice);
    }

    #[test]
    fn the_environment_comes_first_at_the_start_and_last_after_it() {
        let env = |name: &str| (name == "RELAY_LISTEN").then(|| "127.0.0.9:1".to_owned());
        let listen =
            |text: &str, first| Config::read(text, env, first).expect("it is sound").listen.to_string();
        assert_eq!(listen(SOUND, Precedence::Environment), "127.0.0.9:1");
        assert_eq!(listen(SOUND, Precedence::File), "127.0.0.1:8443");
        assert_eq!(listen(&SOUND.replace("\"listen\"", "\"l\""), Precedence::File), "127.0.0.9:1");
    }

    #[test]
    fn two_processes_meet_only_where_a_socket_is_passed() {
        let given = |name: &str, passed: &str| match name {
            "TMPDIR" => Some("/t".to_owned()),
            "RELAY_PASSED_SOCKET" => Some(passed.to_owned()),
            _ => None,
        };
        let read = |passed: &'static str| Config::read(SOUND, |name| given(name, passed), Precedence::File);
        let config = read("3").expect("it is sound");
        assert_eq!(
            (config.passed_socket, config.upgrade_socket),
            (Some(3), Some(PathBuf::from("/t/calicolb.sock")))
        );
        let config = read("").expect("it is sound");
        assert_eq!((config.passed_socket, config.upgrade_socket), (None, None));
        for faulty in ["three", "-1", "1"] {
            assert!(read(faulty).err().is_some_and(|message| message.contains("RELAY_PASSED_SOCKET")));
        }
    }

    #[test]
    fn messages_name_the_key_at_fault() {
        wrong("127.0.0.1:8443", "localhost", "'listen'");
        wrong("\"limits\":", "\"mgmt\":\"door\",\"limits\":", "'mgmt'");
        wrong("discovery", "discover", "'discovery' is missing, and so is RELAY_DISCOVERY");
        wrong("8c1f30d27a5be964", "seedling", "'seed'");
        wrong("900", "\"many\"", "'limits.sockets'");
        wrong("900", "3", "'limits.sockets'");
        wrong("[\"127.0.0.3:7946\"]", "[7]", "'peers[0]'");
        wrong("127.0.0.4:7946", "all", "'peers_all'");
        wrong("\"limits\":", "\"control\":[\"here\"],\"limits\":", "'control[0]'");
        wrong("\"limits\":", "\"control\":\"127.0.0.1:1\",\"limits\":", "'control'");
        wrong("\"limits\":", "\"control_silence_ms\":2999,\"limits\":", "'control_silence_ms'");
        wrong("_open\":50", "_open\":\"50\"", "'settings.ceilings.max_open'");
        wrong("read_like", "odd", "'settings.request_classes.look.effect'");
        wrong("\"limits\":", "\"known\":7,\"limits\":", "'known'");
        wrong("\"request_classes\"", "\"classes\"", "'settings.request_classes'");
        assert!(Config::load(|_| None).err().is_some_and(|message| message.contains("RELAY_CONFIG")));
    }
}
