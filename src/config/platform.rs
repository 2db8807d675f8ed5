//! Reads the platform's configuration: a JSON file, and environment variables that can replace some of its keys.

use super::*;
use calicolb::api::Effect;
use calicolb::wire;
use serde::Deserialize;
use serde_json::{Map, Value};
use std::collections::BTreeSet;
use std::path::Path;

/// The largest duration that a setting may have, in microseconds: ten years.
const MAX_DURATION: Micros = 10 * 365 * 24 * 3_600 * 1_000_000;

/// Decides which value is used where both a key of the file and its environment variable are set.
#[derive(Clone, Copy, PartialEq)]
enum Precedence {
    Environment,
    File,
}

impl Config {
    /// Reads the file that `RELAY_CONFIG` names. Environment variables take precedence over the file's keys.
    ///
    /// # Errors
    /// A message that names the invalid or missing key, or says why the file cannot be read.
    pub fn load(env: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        // Variables are set by hand, to try out a value, so they override the file.
        Config::load_from(env, Precedence::Environment)
    }

    /// Reads the file again. The file's keys now take precedence over environment variables: the variables keep the values
    /// from the program's start, so if they came first, a change of those keys in the file would have no effect.
    ///
    /// # Errors
    /// A message that names the invalid or missing key, or says why the file cannot be read.
    pub fn reload(env: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        Config::load_from(env, Precedence::File)
    }

    fn load_from(env: impl Fn(&str) -> Option<String>, precedence: Precedence) -> Result<Config, String> {
        let path = env("RELAY_CONFIG").ok_or("RELAY_CONFIG is not set")?;
        let text =
            std::fs::read_to_string(&path).map_err(|error| format!("RELAY_CONFIG: {path}: {error}"))?;
        Config::read(&text, env, precedence)
    }

    fn read(
        text: &str,
        env: impl Fn(&str) -> Option<String>,
        precedence: Precedence,
    ) -> Result<Config, String> {
        let json: Value = serde_json::from_str(text).map_err(|error| format!("RELAY_CONFIG: {error}"))?;
        let root =
            Section { prefix: "", map: json.as_object().ok_or("RELAY_CONFIG: it is not a JSON object")? };
        let lookup = |key: &str, variable: &str| {
            let from_env = env(variable).map(|value| (variable.to_owned(), value));
            let from_file = root.text(key)?.map(|value| (key.to_owned(), value.to_owned()));
            Ok::<_, String>(if precedence == Precedence::Environment {
                from_env.or(from_file)
            } else {
                from_file.or(from_env)
            })
        };
        let required = |key: &str, variable: &str| {
            lookup(key, variable)?.ok_or_else(|| format!("'{key}' is missing, and so is {variable}"))
        };
        let required_address = |key: &str, variable: &str| {
            let (source, value) = required(key, variable)?;
            parse_address(&source, &value)
        };
        let management = lookup("mgmt", "RELAY_MGMT")?
            .map(|(source, value)| parse_address(&source, &value))
            .transpose()?;
        let passed_socket = env("RELAY_PASSED_SOCKET").filter(|text| !text.is_empty());
        let passed_socket =
            passed_socket.map(|text| parse_descriptor("RELAY_PASSED_SOCKET", &text)).transpose()?;
        let limits = root.section("limits")?;
        let settings = root.map.get("settings").ok_or("'settings' is missing")?;
        let update =
            parse_settings(settings).map_err(|error| format!("'settings.{}' {}", error.key, error.reason))?;
        let SettingsUpdate { settings: parsed_settings, names, worker_idle_timeout, max_open_requests } =
            update;
        let known_workers = match root.map.get("known") {
            None | Some(Value::Null) => None,
            Some(value) => Some(ListUpdate::deserialize(value).map_err(|error| format!("'known': {error}"))?),
        };
        let max_descriptors = match &limits {
            Some(limits) => limits.unsigned("sockets")?.unwrap_or(DEFAULT_DESCRIPTORS),
            None => DEFAULT_DESCRIPTORS,
        };
        if max_descriptors < MIN_DESCRIPTORS {
            return Err(format!(
                "'limits.sockets' is {max_descriptors}: the program needs at least {MIN_DESCRIPTORS}"
            ));
        }
        let memory_mib = match &limits {
            Some(limits) => limits.unsigned("memory_mb")?.unwrap_or(DEFAULT_MEMORY_MIB),
            None => DEFAULT_MEMORY_MIB,
        };
        Ok(Config {
            name: lookup("name", "RELAY_NAME")?.map_or_else(|| "calicolb".to_owned(), |found| found.1),
            listen: required_address("listen", "RELAY_LISTEN")?,
            discovery: Some(required_address("discovery", "RELAY_DISCOVERY")?),
            management,
            // An upgrade needs the shared HTTP listener: without it there is no predecessor or successor to talk to.
            upgrade_socket: env("TMPDIR")
                .filter(|_| passed_socket.is_some())
                .map(|directory| Path::new(&directory).join(UPGRADE_SOCKET)),
            passed_socket,
            seed: parse_seed(&root)?,
            max_descriptors: max_descriptors as usize,
            memory_bytes: memory_mib.saturating_mul(BYTES_PER_MIB) as usize,
            peers: peer_config(&root, &parsed_settings)?,
            known_workers,
            static_workers: Vec::new(),
            gearman: None,
            worker_idle_timeout,
            max_open_requests,
            control: learner_config(&root, settings)?,
            settings: parsed_settings,
            names,
        })
    }
}

/// Parses and validates the `settings` object.
///
/// # Errors
/// The first invalid key and the reason.
pub(super) fn parse_settings(settings: &Value) -> Result<SettingsUpdate, SettingsError> {
    let ceiling = |key: &str, default: u64| {
        let path = format!("ceilings.{key}");
        let section = match settings.get("ceilings") {
            Some(Value::Object(map)) => Section { prefix: "", map },
            Some(_) => return Err(SettingsError::new("ceilings", "is not an object")),
            None => return Ok(default),
        };
        let value =
            section.unsigned(key).map_err(|_| SettingsError::new(path, "is not a number from 0 on"))?;
        Ok(value.unwrap_or(default))
    };
    let (mut parsed, names) = wire::settings_from_json(settings)?;
    if parsed.classes.is_empty() {
        return Err(SettingsError::new("request_classes", "is missing or empty"));
    }
    check_values(&parsed, &names)?;
    // The key `retry_after` only applies to the simulator's clients. Here a rejection is an HTTP response, which can always
    // carry Retry-After, so the decision module may always give retry advice.
    parsed.limits.retry_advice = true;
    let worker_idle_timeout = ceiling("conn_idle_us", DEFAULT_WORKER_IDLE_TIMEOUT)?;
    check_duration("ceilings.conn_idle_us", worker_idle_timeout)?;
    let max_open_requests = ceiling("max_open", DEFAULT_MAX_OPEN_REQUESTS)? as usize;
    Ok(SettingsUpdate { settings: parsed, names, worker_idle_timeout, max_open_requests })
}

/// Checks that a duration is small enough to be added to any point in time without overflow.
fn check_duration(key: &str, duration: Micros) -> Result<(), SettingsError> {
    if duration > MAX_DURATION {
        return Err(SettingsError::new(
            key,
            format!("is {duration}: {MAX_DURATION} microseconds are the most"),
        ));
    }
    Ok(())
}

/// Checks that all durations and figures are in their ranges and that no name of a class or tenant occurs twice.
fn check_values(settings: &Settings, names: &Names) -> Result<(), SettingsError> {
    let not_negative = |key: String, value: f64| {
        if value >= 0.0 {
            Ok(())
        } else {
            Err(SettingsError::new(key, format!("is {value}: 0 is the least")))
        }
    };
    check_unique("request_classes", names.classes())?;
    check_unique("orgs", names.tenants())?;
    for (name, class) in names.classes().zip(&settings.classes) {
        let path = |field: &str| format!("request_classes.{name}.{field}");
        check_duration(&path("aim_us"), class.aim)?;
        check_duration(&path("deadline_us"), class.deadline)?;
        if let Effect::Keyed { span, .. } = class.effect {
            check_duration(&path("memory_span_us"), span)?;
        }
        not_negative(path("worth"), class.worth)?;
        not_negative(path("late_worth"), class.late_worth)?;
    }
    for (name, tenant) in names.tenants().zip(&settings.tenants) {
        not_negative(format!("orgs.{name}.quota_rps"), tenant.quota_per_s)?;
        not_negative(format!("orgs.{name}.share"), tenant.share)?;
    }
    not_negative("over_share_worth".to_owned(), settings.over_share_worth)?;
    let (limits, rules) = (&settings.limits, &settings.rules);
    for (key, duration) in [
        ("ceilings.connect_timeout_us", limits.connect_timeout),
        ("ceilings.max_retry_after_us", limits.retry_advice_max),
        ("rules.answer_slack_us", rules.answer_slack),
        ("rules.drain_grace_us", rules.drain_grace),
        ("rules.cold_us", rules.cold),
        ("rules.fall_us", rules.fall_window),
        ("rules.ask_every_us", rules.ask_every),
        ("tick_us", settings.tick),
    ] {
        check_duration(key, duration)?;
    }
    not_negative("rules.start_capacity".to_owned(), rules.start_capacity)?;
    not_negative("rules.fall_multiple".to_owned(), rules.fall_multiple)
}

/// Checks that names are not empty and that none occurs twice.
fn check_unique<'a>(list: &str, names: impl Iterator<Item = &'a str>) -> Result<(), SettingsError> {
    let mut seen = BTreeSet::new();
    for name in names {
        if name.is_empty() {
            return Err(SettingsError::new(list, "has one without a name"));
        }
        if !seen.insert(name) {
            return Err(SettingsError::new(format!("{list}.{name}"), "is there twice"));
        }
    }
    Ok(())
}

fn parse_address(key: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("'{key}': '{text}' is not an address with a port"))
}

fn parse_descriptor(key: &str, text: &str) -> Result<i32, String> {
    let number = text.trim().parse().ok().filter(|number| *number > 2);
    number.ok_or_else(|| format!("'{key}': '{text}' is not a descriptor number of at least 3"))
}

/// The smallest value of `control_silence_ms`, in milliseconds. A shorter silence can also be the normal pause between two
/// lines of a watch.
const MIN_SILENCE_MS: u64 = 3_000;
const DEFAULT_SILENCE_MS: u64 = 5_000;
const MAX_SILENCE_MS: u64 = 3_600_000;

fn learner_config(root: &Section<'_>, settings: &Value) -> Result<Option<LearnerConfig>, String> {
    let silence_ms = root.unsigned("control_silence_ms")?.unwrap_or(DEFAULT_SILENCE_MS);
    if !(MIN_SILENCE_MS..=MAX_SILENCE_MS).contains(&silence_ms) {
        return Err(format!(
            "'control_silence_ms' is {silence_ms}: it must be from {MIN_SILENCE_MS} to {MAX_SILENCE_MS}"
        ));
    }
    let machines = parse_addresses(root, "control")?;
    let Some(machines) = machines.filter(|machines| !machines.is_empty()) else { return Ok(None) };
    let settings = document::to_document(settings);
    let local_settings = agreed::local_settings(&settings);
    Ok(Some(LearnerConfig {
        machines,
        max_silence: silence_ms * 1_000,
        local_settings,
        initial_settings: agreed::shared_settings(settings),
    }))
}

/// Parses the list of addresses under `key`; `None` if the key is missing or null.
fn parse_addresses(root: &Section<'_>, key: &str) -> Result<Option<Vec<SocketAddr>>, String> {
    let list = match root.map.get(key) {
        None | Some(Value::Null) => return Ok(None),
        Some(Value::Array(list)) => list,
        Some(_) => return Err(format!("'{key}' is not a list")),
    };
    let addresses = list.iter().enumerate().map(|(index, value)| {
        let key = format!("{key}[{index}]");
        parse_address(&key, value.as_str().ok_or_else(|| format!("'{key}' is not text"))?)
    });
    addresses.collect::<Result<_, String>>().map(Some)
}

fn parse_seed(root: &Section<'_>) -> Result<u64, String> {
    match root.map.get("seed") {
        None => Ok(0),
        Some(Value::Number(number)) if number.is_u64() => Ok(number.as_u64().unwrap_or(0)),
        Some(Value::String(text)) => u64::from_str_radix(text, 16)
            .map_err(|_| format!("'seed': '{text}' is not a hexadecimal number of 64 bits")),
        Some(other) => Err(format!("'seed': {other} is neither text nor a whole number")),
    }
}

fn peer_config(root: &Section<'_>, settings: &Settings) -> Result<Option<PeerConfig>, String> {
    let Some(listen) = root.text("peer_listen")?.filter(|_| settings.limits.peers) else { return Ok(None) };
    let by_rank = parse_addresses(root, "peers")?.unwrap_or_default();
    let broadcast = root.text("peers_all")?.map(|text| parse_address("peers_all", text)).transpose()?;
    Ok(Some(PeerConfig { listen: parse_address("peer_listen", listen)?, by_rank, broadcast }))
}

/// A JSON object of the configuration.
struct Section<'a> {
    /// The prefix of the object's keys in error messages.
    prefix: &'a str,
    map: &'a Map<String, Value>,
}

impl<'a> Section<'a> {
    fn text(&self, key: &str) -> Result<Option<&'a str>, String> {
        match self.map.get(key) {
            None => Ok(None),
            Some(Value::String(text)) => Ok(Some(text)),
            Some(other) => Err(format!("'{}{key}': {other} is not text", self.prefix)),
        }
    }

    fn unsigned(&self, key: &str) -> Result<Option<u64>, String> {
        match self.map.get(key) {
            None => Ok(None),
            Some(value) => {
                let number = value
                    .as_u64()
                    .or_else(|| value.as_f64().filter(|number| *number >= 0.0).map(|number| number as u64));
                number
                    .map(Some)
                    .ok_or_else(|| format!("'{}{key}': {value} is not a number of at least 0", self.prefix))
            }
        }
    }

    fn section(&self, key: &'a str) -> Result<Option<Section<'a>>, String> {
        match self.map.get(key) {
            None => Ok(None),
            Some(Value::Object(map)) => Ok(Some(Section { prefix: "limits.", map })),
            Some(_) => Err(format!("'{}{key}' is not an object", self.prefix)),
        }
    }
}

#[cfg(test)]
mod tests;
