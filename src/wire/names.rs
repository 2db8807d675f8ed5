//! The names behind the indices of an instance's settings.

use super::{WireError, bad};
use crate::api::*;
use std::collections::BTreeSet;

/// The names behind the indices of one instance's settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names {
    pub(crate) zones: Vec<String>,
    pub(crate) kinds: Vec<String>,
    pub(crate) classes: Vec<String>,
    pub(crate) tenants: Vec<String>,
    /// Classes and tenants that were retired: they keep their places, and nothing new is meant by their names.
    pub(crate) retired_classes: BTreeSet<usize>,
    pub(crate) retired_tenants: BTreeSet<usize>,
    pub(crate) x0: Extra,
    pub(crate) x1: Extra,
}

impl Names {
    /// The names of these classes and tenants, zones and kinds of machine, each in their order. Reports have free slots
    /// as `x0`.
    pub fn new(classes: Vec<String>, tenants: Vec<String>, zones: Vec<String>, kinds: Vec<String>) -> Names {
        Names { zones, kinds, classes, tenants, x0: Extra::FreeSlots, ..Names::default() }
    }

    /// The zone of this name.
    pub fn zone(&self, name: &str) -> Result<ZoneIx, WireError> {
        index("zone", &self.zones, name).map(ZoneIx)
    }

    /// The kind of machine of this name.
    pub fn kind(&self, name: &str) -> Result<KindIx, WireError> {
        index("kind", &self.kinds, name).map(KindIx)
    }

    /// The class of this name.
    pub fn class(&self, name: &str) -> Result<ClassIx, WireError> {
        index("class", &self.classes, name)
            .and_then(|at| in_force("class", &self.retired_classes, at, name))
            .map(ClassIx)
    }

    /// The names of the classes, in their order, also of those that were retired.
    pub fn classes(&self) -> impl Iterator<Item = &str> {
        self.classes.iter().map(String::as_str)
    }

    /// The names of the tenants, in their order, also of those that were retired.
    pub fn tenants(&self) -> impl Iterator<Item = &str> {
        self.tenants.iter().map(String::as_str)
    }

    /// The tenant of this name.
    pub fn tenant(&self, name: &str) -> Result<TenantIx, WireError> {
        index("tenant", &self.tenants, name)
            .and_then(|at| in_force("tenant", &self.retired_tenants, at, name))
            .map(TenantIx)
    }

    /// A load report from its named values. The simulator and the stock workers name some of them
    /// differently; both are read here, so that no wire's names are lost on the way to the module.
    pub fn report<'a>(&self, pairs: impl Iterator<Item = (&'a str, f64)>) -> Report {
        let mut report = Report::default();
        for (name, value) in pairs {
            let extra = match name {
                "x0" => self.x0,
                "x1" => self.x1,
                _ => Extra::Unknown,
            };
            let place = match (name, extra) {
                ("outstanding" | "inflight", _) => &mut report.outstanding,
                ("backlog" | "queue", _) => &mut report.backlog,
                ("utilization" | "util", _) => &mut report.utilization,
                ("recent_ms" | "latency_ms", _) => &mut report.recent_ms,
                ("throughput" | "qps", _) => &mut report.throughput,
                ("errors_per_s" | "eps", _) => &mut report.errors_per_s,
                (_, Extra::FreeSlots) => &mut report.free_slots,
                (_, Extra::FreeMemory) => &mut report.free_memory,
                _ => continue,
            };
            *place = Some(value);
        }
        report
    }
}

/// What a report value without a name of its own stands for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Extra {
    #[default]
    Unknown,
    FreeSlots,
    FreeMemory,
}

impl Extra {
    pub(super) fn meaning(text: &str) -> Self {
        match text {
            "free slots" => Extra::FreeSlots,
            "free memory" => Extra::FreeMemory,
            _ => Extra::Unknown,
        }
    }
}

pub(super) fn index(what: &str, names: &[String], value: &str) -> Result<usize, WireError> {
    match names.iter().position(|name| name == value) {
        Some(at) => Ok(at),
        None => bad(format!("{what} '{value}' is not in the settings")),
    }
}

/// The place of a name, unless what it names was retired.
fn in_force(what: &str, retired: &BTreeSet<usize>, at: usize, name: &str) -> Result<usize, WireError> {
    if retired.contains(&at) { bad(format!("{what} '{name}' is no longer in the settings")) } else { Ok(at) }
}
