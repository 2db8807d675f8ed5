//! Maps the names of classes, tenants, zones and kinds of machine to their indices in the settings.

use super::{WireError, wire_error};
use crate::api::*;
use std::collections::BTreeSet;

/// The names that the indices in the settings of one instance stand for, by index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names {
    pub(crate) zones: Vec<String>,
    pub(crate) kinds: Vec<String>,
    pub(crate) classes: Vec<String>,
    pub(crate) tenants: Vec<String>,
    /// Indices of classes that were removed from the settings. They stay reserved, and their names are rejected in new
    /// requests.
    pub(crate) retired_classes: BTreeSet<usize>,
    /// Indices of tenants that were removed from the settings, with the same effect.
    pub(crate) retired_tenants: BTreeSet<usize>,
    /// Meaning of the report value `x0`.
    pub(crate) x0: ReportExtra,
    /// Meaning of the report value `x1`.
    pub(crate) x1: ReportExtra,
}

impl Names {
    /// Creates the names of classes, tenants, zones and kinds of machine, each in the order of their indices. The report
    /// value `x0` means free slots.
    pub fn new(classes: Vec<String>, tenants: Vec<String>, zones: Vec<String>, kinds: Vec<String>) -> Names {
        Names { zones, kinds, classes, tenants, x0: ReportExtra::FreeSlots, ..Names::default() }
    }

    /// Returns the index of the zone with this name.
    ///
    /// # Errors
    /// The settings have no such zone.
    pub fn zone(&self, name: &str) -> Result<ZoneIx, WireError> {
        index_of("zone", &self.zones, name).map(ZoneIx)
    }

    /// Returns the index of the kind of machine with this name.
    ///
    /// # Errors
    /// The settings have no such kind of machine.
    pub fn kind(&self, name: &str) -> Result<KindIx, WireError> {
        index_of("kind", &self.kinds, name).map(KindIx)
    }

    /// Returns the index of the class with this name.
    ///
    /// # Errors
    /// The settings have no such class, or it was removed from them.
    pub fn class(&self, name: &str) -> Result<ClassIx, WireError> {
        index_of("class", &self.classes, name)
            .and_then(|index| unless_retired("class", &self.retired_classes, index, name))
            .map(ClassIx)
    }

    /// Iterates over the names of the classes by index, including retired ones.
    pub fn classes(&self) -> impl Iterator<Item = &str> {
        self.classes.iter().map(String::as_str)
    }

    /// Iterates over the names of the tenants by index, including retired ones.
    pub fn tenants(&self) -> impl Iterator<Item = &str> {
        self.tenants.iter().map(String::as_str)
    }

    /// Returns the index of the tenant with this name.
    ///
    /// # Errors
    /// The settings have no such tenant, or it was removed from them.
    pub fn tenant(&self, name: &str) -> Result<TenantIx, WireError> {
        index_of("tenant", &self.tenants, name)
            .and_then(|index| unless_retired("tenant", &self.retired_tenants, index, name))
            .map(TenantIx)
    }

    /// Builds a load report from named values. The simulator and the stock workers use different names for some values;
    /// both are accepted. Unknown names are ignored.
    pub fn report<'a>(&self, pairs: impl Iterator<Item = (&'a str, f64)>) -> Report {
        let mut report = Report::default();
        for (name, value) in pairs {
            let meaning = match name {
                "x0" => self.x0,
                "x1" => self.x1,
                _ => ReportExtra::Unknown,
            };
            let field = match (name, meaning) {
                ("outstanding" | "inflight", _) => &mut report.outstanding,
                ("backlog" | "queue", _) => &mut report.backlog,
                ("utilization" | "util", _) => &mut report.utilization,
                ("recent_ms" | "latency_ms", _) => &mut report.recent_ms,
                ("throughput" | "qps", _) => &mut report.throughput,
                ("errors_per_s" | "eps", _) => &mut report.errors_per_s,
                (_, ReportExtra::FreeSlots) => &mut report.free_slots,
                (_, ReportExtra::FreeMemory) => &mut report.free_memory,
                _ => continue,
            };
            *field = Some(value);
        }
        report
    }
}

/// Meaning of a report value that the protocol names only `x0` or `x1`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum ReportExtra {
    #[default]
    Unknown,
    FreeSlots,
    FreeMemory,
}

impl ReportExtra {
    pub(super) fn parse(text: &str) -> Self {
        match text {
            "free slots" => ReportExtra::FreeSlots,
            "free memory" => ReportExtra::FreeMemory,
            _ => ReportExtra::Unknown,
        }
    }
}

pub(super) fn index_of(category: &str, names: &[String], value: &str) -> Result<usize, WireError> {
    match names.iter().position(|name| name == value) {
        Some(index) => Ok(index),
        None => wire_error(format!("{category} '{value}' is not in the settings")),
    }
}

/// Returns the index unless the class or tenant at it was retired.
fn unless_retired(
    category: &str,
    retired: &BTreeSet<usize>,
    index: usize,
    name: &str,
) -> Result<usize, WireError> {
    if retired.contains(&index) {
        wire_error(format!("{category} '{name}' is no longer in the settings"))
    } else {
        Ok(index)
    }
}
