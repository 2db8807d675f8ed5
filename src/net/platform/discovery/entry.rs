//! The lines of the list, as discovery writes them.

use calicolb::api::{Member, Standing};
use calicolb::wire::{Names, WireError, hop_id};
use serde::{Deserialize, Serialize};

/// One line of the list.
#[derive(Serialize, Deserialize)]
pub(super) struct Line {
    pub(super) host: String,
    pub(super) dial: String,
    pub(super) site: String,
    pub(super) class: String,
    #[serde(default)]
    pub(super) block: u32,
    pub(super) health: String,
    #[serde(default = "one")]
    pub(super) share: f64,
    #[serde(default)]
    pub(super) born_ms: u64,
}

fn one() -> f64 {
    1.0
}

/// What the decision module is told of a line.
pub(super) fn read_member(names: &Names, line: &Line) -> Result<Member, WireError> {
    let standing = match line.health.as_str() {
        "in_service" => Standing::On,
        "terminating" => Standing::Draining,
        "terminated" => Standing::Gone,
        other => return Err(WireError(format!("unknown health '{other}'"))),
    };
    Ok(Member {
        worker: hop_id(&line.host),
        zone: names.zone(&line.site)?,
        kind: names.kind(&line.class)?,
        cell: line.block,
        standing,
        weight: line.share,
        // The module's clock is Unix time, in its unit; 0 stands for long ago.
        started: line.born_ms.checked_mul(1_000).filter(|&at| at > 0),
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
        let (_, names) = calicolb::wire::settings(info).expect("the settings are sound");
        let line = json!({"host":"s-1","dial":"127.0.0.1:1","site":"b","class":"m2","block":3,"health":health,
            "share":1.5,"born_ms":born_ms});
        read_member(&names, &serde_json::from_value(line).expect("the line is sound"))
    }

    #[test]
    fn a_line_becomes_a_member_on_the_modules_clock() {
        let old = member(0, "in_service").expect("it is sound");
        assert_eq!((old.zone.0, old.kind.0, old.cell, old.weight, old.started), (1, 1, 3, 1.5, None));
        // A start before ours is as good as a later one: both are Unix time.
        let young = member(1_700_000_000_123, "terminating").expect("it is sound");
        assert_eq!(young.started, Some(1_700_000_000_123_000));
        assert_eq!((young.standing, young.worker), (Standing::Draining, hop_id("s-1")));
        assert_eq!(member(0, "terminated").map(|member| member.standing), Ok(Standing::Gone));
        assert!(member(0, "resting").is_err());
        // No time at all must come of a figure that does not fit.
        assert_eq!(member(u64::MAX, "in_service").map(|member| member.started), Ok(None));
    }
}
