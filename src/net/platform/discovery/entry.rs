//! Entries of the worker list as discovery sends them.

use calicolb::api::{Member, WorkerStatus};
use calicolb::wire::{Names, WireError, worker_id};
use serde::{Deserialize, Serialize};

/// One worker in the list.
#[derive(Serialize, Deserialize)]
pub(super) struct Entry {
    pub(super) host: String,
    #[serde(rename = "dial")]
    pub(super) address: String,
    #[serde(rename = "site")]
    pub(super) zone: String,
    #[serde(rename = "class")]
    pub(super) kind: String,
    #[serde(default, rename = "block")]
    pub(super) cell: u32,
    pub(super) health: String,
    #[serde(default = "default_weight", rename = "share")]
    pub(super) weight: f64,
    #[serde(default, rename = "born_ms")]
    pub(super) started_ms: u64,
}

fn default_weight() -> f64 {
    1.0
}

/// Converts an entry to the member that the dispatcher is given.
pub(super) fn read_member(names: &Names, entry: &Entry) -> Result<Member, WireError> {
    let standing = match entry.health.as_str() {
        "in_service" => WorkerStatus::On,
        "terminating" => WorkerStatus::Draining,
        "terminated" => WorkerStatus::Gone,
        other => return Err(WireError(format!("unknown health '{other}'"))),
    };
    Ok(Member {
        worker: worker_id(&entry.host),
        zone: names.zone(&entry.zone)?,
        kind: names.kind(&entry.kind)?,
        cell: entry.cell,
        status: standing,
        weight: entry.weight,
        // The dispatcher's clock is Unix time in microseconds; 0 stands for an unknown start long ago.
        started: entry.started_ms.checked_mul(1_000).filter(|&at| at > 0),
        lanes: None,
        refuses: 0,
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn member(born_ms: u64, health: &str) -> Result<Member, WireError> {
        let info = r#"{"azs":["a","b"],"kinds":["m1","m2"]}"#;
        let (_, names) = calicolb::wire::parse_settings(info).expect("the settings are valid");
        let entry = json!({"host":"s-1","dial":"127.0.0.1:1","site":"b","class":"m2","block":3,"health":health,
            "share":1.5,"born_ms":born_ms});
        read_member(&names, &serde_json::from_value(entry).expect("the entry is valid"))
    }

    #[test]
    fn entry_becomes_a_member_with_its_start_in_unix_microseconds() {
        let old = member(0, "in_service").expect("the member is valid");
        assert_eq!((old.zone.0, old.kind.0, old.cell, old.weight, old.started), (1, 1, 3, 1.5, None));
        // A start before that of this process is as valid as a later one: both are Unix time.
        let young = member(1_700_000_000_123, "terminating").expect("the member is valid");
        assert_eq!(young.started, Some(1_700_000_000_123_000));
        assert_eq!((young.status, young.worker), (WorkerStatus::Draining, worker_id("s-1")));
        assert_eq!(member(0, "terminated").map(|member| member.status), Ok(WorkerStatus::Gone));
        assert!(member(0, "resting").is_err());
        // A start time that overflows must be left out.
        assert_eq!(member(u64::MAX, "in_service").map(|member| member.started), Ok(None));
    }
}
