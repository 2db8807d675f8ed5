//! Tests of the platform's configuration and of its error messages.

use super::*;
use std::path::PathBuf;

const VALID: &str = r#"{"name":"n3","listen":"127.0.0.1:8443","discovery":"127.0.0.2:8500",
    "seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":900},
    "peer_listen":"127.0.0.1:7946","peers":["127.0.0.3:7946"],"peers_all":"127.0.0.4:7946",
    "settings":{"ceilings":{"peers":true,"max_open":50,"retry_after":false},
    "request_classes":[{"name":"look","effect":"read_like"}]}}"#;

fn read(text: &str) -> Result<Config, String> {
    Config::read(text, |_| None, Precedence::Environment)
}

/// Asserts that replacing `from` with `to` in the valid file makes it invalid, with an error message that contains
/// `expected`.
fn assert_error(from: &str, to: &str, expected: &str) {
    assert!(VALID.contains(from));
    let message = read(&VALID.replace(from, to)).err().unwrap_or_else(|| panic!("{to} was accepted"));
    assert!(message.contains(expected), "'{message}' does not contain {expected}");
}

#[test]
fn valid_file_is_read_and_missing_keys_get_defaults() {
    let config = read(VALID).expect("a valid file was rejected");
    assert_eq!((config.name.as_str(), config.seed), ("n3", 0x8c1f_30d2_7a5b_e964));
    assert_eq!(
        (config.max_descriptors, config.max_open_requests, config.worker_idle_timeout),
        (900, 50, DEFAULT_WORKER_IDLE_TIMEOUT)
    );
    assert_eq!(config.peers.map(|peers| peers.by_rank.len()), Some(1));
    assert!(config.known_workers.is_none());
    // HTTP clients always get retry advice, also with `retry_after` set to false.
    assert!(config.settings.limits.retry_advice);
}

#[test]
fn environment_overrides_file_at_start_and_file_overrides_environment_on_reload() {
    let env = |name: &str| (name == "RELAY_LISTEN").then(|| "127.0.0.9:1".to_owned());
    let listen = |text: &str, precedence| {
        Config::read(text, env, precedence).expect("a valid file was rejected").listen.to_string()
    };
    assert_eq!(listen(VALID, Precedence::Environment), "127.0.0.9:1");
    assert_eq!(listen(VALID, Precedence::File), "127.0.0.1:8443");
    assert_eq!(listen(&VALID.replace("\"listen\"", "\"l\""), Precedence::File), "127.0.0.9:1");
}

#[test]
fn upgrade_socket_is_set_only_when_a_listener_is_passed() {
    let variable = |name: &str, passed: &str| match name {
        "TMPDIR" => Some("/t".to_owned()),
        "RELAY_PASSED_SOCKET" => Some(passed.to_owned()),
        _ => None,
    };
    let read = |passed: &'static str| Config::read(VALID, |name| variable(name, passed), Precedence::File);
    let config = read("3").expect("a valid file was rejected");
    assert_eq!(
        (config.passed_socket, config.upgrade_socket),
        (Some(3), Some(PathBuf::from("/t/calicolb.sock")))
    );
    let config = read("").expect("a valid file was rejected");
    assert_eq!((config.passed_socket, config.upgrade_socket), (None, None));
    for invalid in ["three", "-1", "1"] {
        assert!(read(invalid).err().is_some_and(|message| message.contains("RELAY_PASSED_SOCKET")));
    }
}

#[test]
fn error_messages_name_the_invalid_key() {
    assert_error("127.0.0.1:8443", "localhost", "'listen'");
    assert_error("\"limits\":", "\"mgmt\":\"door\",\"limits\":", "'mgmt'");
    assert_error("discovery", "discover", "'discovery' is missing, and so is RELAY_DISCOVERY");
    assert_error("8c1f30d27a5be964", "seedling", "'seed'");
    assert_error("900", "\"many\"", "'limits.sockets'");
    assert_error("900", "3", "'limits.sockets'");
    assert_error("192", "\"much\"", "'limits.memory_mb'");
    assert_error("[\"127.0.0.3:7946\"]", "[7]", "'peers[0]'");
    assert_error("127.0.0.4:7946", "all", "'peers_all'");
    assert_error("\"limits\":", "\"control\":[\"here\"],\"limits\":", "'control[0]'");
    assert_error("\"limits\":", "\"control\":\"127.0.0.1:1\",\"limits\":", "'control'");
    assert_error("\"limits\":", "\"control_silence_ms\":2999,\"limits\":", "'control_silence_ms'");
    assert_error("_open\":50", "_open\":\"50\"", "'settings.ceilings.max_open'");
    assert_error("read_like", "odd", "'settings.request_classes.look.effect'");
    assert_error("\"limits\":", "\"known\":7,\"limits\":", "'known'");
    assert_error("\"request_classes\"", "\"classes\"", "'settings.request_classes'");
    assert!(Config::load(|_| None).err().is_some_and(|message| message.contains("RELAY_CONFIG")));
}
