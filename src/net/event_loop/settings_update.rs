//! Settings updates at run time. Either all new settings come into force, between two batches of events, or none does.

use super::{ControlClient, EventLoop};
use crate::config::{Config, SettingsError, SettingsUpdate};
use crate::log::log_line;
use crate::net::platform::handover::IndexedNames;
use calicolb::api::Micros;
use calicolb::rules::Dispatcher;
use calicolb::settings_update::merge;
use calicolb::wire::Names;
use std::time::Instant;

/// Clock differences below this (microseconds) are ignored, because they include the transit time of the message
/// between the two processes.
const CLOCK_TOLERANCE: u64 = 1_000_000;

impl EventLoop {
    /// Handles SIGHUP: reads the configuration again, and applies the addresses of discovery, of the other schedulers
    /// and of the control machines. The settings are applied as well, unless one of them cannot change at run time or
    /// they are agreed with control machines. The knowledge of the decision module and all open requests are kept. A
    /// file that cannot be read changes nothing.
    pub(super) fn reload(&mut self, now: Micros) {
        if self.uses_operator_file {
            return log_line!(
                "SIGHUP: the operator file is read only at the start; the settings in force are kept"
            );
        }
        let config = match Config::reload(|name| std::env::var(name).ok()) {
            Ok(config) => config,
            Err(message) => {
                return log_line!(
                    "SIGHUP: cannot read the configuration: {message}; the settings in force are kept"
                );
            }
        };
        if let Some(discovery) = config.discovery {
            log_line!("SIGHUP: the address of discovery is {discovery}");
        }
        let (mut ctx, components) = self.split(now);
        components.discovery.set_address(&mut ctx, config.discovery);
        if let (Some(peers), Some(new)) = (components.peers, &config.peers) {
            peers.set_addresses(new.by_rank.clone(), new.broadcast);
        }
        if let (Some(old), Some(new)) = (&mut self.peer_config, &config.peers) {
            (old.by_rank, old.broadcast) = (new.by_rank.clone(), new.broadcast);
        }
        if let Some(machines) = config.control.as_ref().map(|control| control.machines.clone()) {
            let (mut ctx, components) = self.split(now);
            if let Some(control) = components.control {
                control.set_machines(&mut ctx, machines);
            }
        }
        if self.control.as_ref().is_some_and(ControlClient::has_agreed_version) {
            return log_line!(
                "SIGHUP: the settings are agreed with the control machines; those of the file are ignored"
            );
        }
        if let Err(error) = self.apply_settings(now, config.settings_update()) {
            log_line!("SIGHUP: 'settings.{}' {}; the old settings stay in force", error.key, error.reason);
        }
    }

    /// Applies a new version of the agreed configuration, if the control machines sent one, and reports the result to
    /// them.
    pub(super) fn apply_agreed_settings(&mut self, now: Micros) {
        let Some(control) = &mut self.control else { return };
        let Some((version, checked)) = control.next_version(now) else { return };
        let outcome = checked.and_then(|update| self.apply_settings(now, update));
        let (mut ctx, components) = self.split(now);
        if let Some(control) = components.control {
            control.record_result(&mut ctx, version, outcome);
        }
    }

    /// Applies new settings, all of them or none; settings that are in force already change nothing. The events
    /// gathered in this iteration are decided by the new settings. No request and no connection is dropped.
    ///
    /// # Errors
    /// Returns the first key that cannot change at run time. In that case nothing has changed.
    pub fn apply_settings(&mut self, now: Micros, new: SettingsUpdate) -> Result<(), SettingsError> {
        let started = Instant::now();
        let old = (self.request_table.settings(), &self.names);
        let (settings, names) = merge(old, (&new.settings, &new.names))?;
        let SettingsUpdate { worker_idle_timeout, max_open_requests, .. } = new;
        let unchanged = (self.worker_idle_timeout, self.max_open) == (worker_idle_timeout, max_open_requests);
        if unchanged && settings == *old.0 && names == *old.1 {
            return Ok(());
        }
        // Under an operator file the classes determine which jobs the workers take, so no class can be added.
        let added = names.classes().nth(self.names.classes().count()).filter(|_| self.uses_operator_file);
        if let Some(class) = added {
            let reason = "is a class that the operator file does not name: it needs a restart";
            return Err(SettingsError::new(format!("request_classes.{class}"), reason));
        }
        self.other_protocols.iter().try_for_each(|other| other.check_settings(&names, &settings.classes))?;
        self.request_table.check_settings(&settings)?;
        // Nothing fails from here on, so all settings are applied.
        let (limits, grace) = (settings.limits.clone(), settings.rules.drain_grace);
        let classes = settings.classes.clone();
        self.request_table.apply_settings(now, settings, &mut self.deadlines);
        self.names = names;
        (self.worker_idle_timeout, self.max_open) = (worker_idle_timeout, max_open_requests);
        if !self.drain.is_process_exiting() {
            self.grace = super::grace_period(&classes);
        }
        let (mut ctx, components) = self.split(now);
        components.discovery.set_grace(&mut ctx, grace);
        components.http.upstream.update_settings(limits.connect_timeout, worker_idle_timeout);
        components.other_protocols.iter_mut().for_each(|other| other.apply_settings(&classes));
        self.distribute_descriptors(now);
        self.settings_updates += 1;
        let elapsed_us = started.elapsed().as_micros();
        log_line!(
            "new settings are in force: applied in {elapsed_us} us, {} requests are open",
            self.request_table.unanswered_requests()
        );
        Ok(())
    }
}

/// Converts the knowledge of the predecessor's decision module to the clock of this process. `ahead`: microseconds by
/// which the predecessor's clock is ahead.
pub(super) fn adjust_clock(knowledge: String, ahead: i64) -> String {
    if ahead.unsigned_abs() < CLOCK_TOLERANCE {
        knowledge
    } else {
        Dispatcher::shift_knowledge(knowledge, -ahead)
    }
}

/// Converts the knowledge of another process's decision module to the indices that classes and tenants have here. The
/// indices differ if classes or tenants were added and removed in another order there.
pub(super) fn remap_knowledge(
    knowledge: String,
    their_names: &Option<IndexedNames>,
    names: &Names,
    now: Micros,
) -> String {
    let Some(their_names) = their_names else { return knowledge };
    let index = |list: &[String], name: &str| list.iter().position(|other| other == name);
    let classes: Vec<_> = names.classes().map(|name| index(&their_names.classes, name)).collect();
    let tenants: Vec<_> = names.tenants().map(|name| index(&their_names.tenants, name)).collect();
    Dispatcher::remap_knowledge(knowledge, &classes, &tenants, now)
}
