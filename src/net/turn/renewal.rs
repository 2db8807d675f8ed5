//! Settings that come into force while the program runs: all of them between two batches of the module, or none.

use super::{Control, Turn};
use crate::config::{Config, Fault, SettingsUpdate};
use crate::log::log_line;
use crate::net::platform::upgrade::Listed;
use calicolb::api::Micros;
use calicolb::renewal::merge;
use calicolb::rules::Dispatcher;
use calicolb::wire::Names;
use serde_json::Value;
use std::time::Instant;

/// Two clocks that differ by less show the same time: what a word between two processes takes is no difference.
const SAME_CLOCK: u64 = 1_000_000;

impl Turn {
    /// SIGHUP: the configuration is read again. The addresses of discovery and of the other schedulers are taken up, and
    /// of the settings all that may change, or, where something cannot, nothing. What the module knows, and all that is
    /// open, stays; a file that cannot be read changes nothing.
    pub(super) fn reload(&mut self, now: Micros) {
        if self.appliance {
            return log_line!(
                "SIGHUP: the operator file is read at the start only; the old one stays in force"
            );
        }
        let config = match Config::reload(|name| std::env::var(name).ok()) {
            Ok(config) => config,
            Err(message) => return log_line!("SIGHUP: configuration: {message}; the old one stays in force"),
        };
        if let Some(discovery) = config.discovery {
            log_line!("SIGHUP: discovery is at {discovery}");
        }
        let (mut ctx, parts) = self.split(now);
        parts.routes.move_to(&mut ctx, config.discovery);
        if let (Some(peers), Some(told)) = (parts.peers, &config.peers) {
            peers.learn(told.by_rank.clone(), told.broadcast);
        }
        if let (Some(old), Some(told)) = (&mut self.peer_config, &config.peers) {
            (old.by_rank, old.broadcast) = (told.by_rank.clone(), told.broadcast);
        }
        if let Some(told) = config.control.as_ref().map(|told| told.machines.clone()) {
            let (mut ctx, parts) = self.split(now);
            if let Some(control) = parts.control {
                control.move_to(&mut ctx, told);
            }
        }
        if self.control.as_ref().is_some_and(Control::leads) {
            return log_line!(
                "SIGHUP: the settings are agreed with the control machines: the file's do not count"
            );
        }
        if let Err(fault) = self.take_up(now, config.settings_update()) {
            log_line!("SIGHUP: 'settings.{}' {}; the old settings stay in force", fault.key, fault.why);
        }
    }

    /// Takes up what was learned of the agreed configuration, if there is anything new.
    pub(super) fn learn(&mut self, now: Micros) {
        let Some(control) = &mut self.control else { return };
        let Some((news, checked)) = control.news(now) else { return };
        let outcome = checked.and_then(|renewal| self.take_up(now, renewal));
        let (mut ctx, parts) = self.split(now);
        if let Some(control) = parts.control {
            control.taken(&mut ctx, news, outcome);
        }
    }

    /// Takes up these settings, all of them or none; where they are in force already, nothing is touched. What was
    /// gathered in this turn is decided by the new ones; no request and no connection is dropped.
    ///
    /// # Errors
    /// The first key that cannot change while the program runs: nothing has changed then.
    pub fn take_up(&mut self, now: Micros, new: SettingsUpdate) -> Result<(), Fault> {
        let begun = Instant::now();
        let old = (self.desk.settings(), &self.names);
        let (settings, names) = merge(old, (&new.settings, &new.names))?;
        let SettingsUpdate { worker_idle_timeout: conn_idle, max_open_requests: most_open, .. } = new;
        let level = (self.conn_idle, self.most_open) == (conn_idle, most_open);
        if level && settings == *old.0 && names == *old.1 {
            return Ok(());
        }
        // What workers take under an operator file is told by the classes that there are.
        let added = names.classes().nth(self.names.classes().count()).filter(|_| self.appliance);
        if let Some(class) = added {
            let why = "is a class that an operator file does not name: it needs a restart";
            return Err(Fault::new(format!("request_classes.{class}"), why));
        }
        self.others.iter().try_for_each(|other| other.could_take(&names, &settings.classes))?;
        self.desk.could_take(&settings)?;
        // From here on nothing fails.
        let (limits, grace) = (settings.limits.clone(), settings.rules.drain_grace);
        let classes = settings.classes.clone();
        self.desk.take_up(now, settings, &mut self.deadlines);
        self.names = names;
        (self.conn_idle, self.most_open) = (conn_idle, most_open);
        if !self.drain.is_process_exiting() {
            self.grace = super::grace(&classes);
        }
        let (mut ctx, parts) = self.split(now);
        parts.routes.take_up(&mut ctx, grace);
        parts.http.hops.take_up(limits.connect_timeout, conn_idle);
        parts.others.iter_mut().for_each(|other| other.take_up(&classes));
        self.share_out(now);
        self.renewals += 1;
        let spent = begun.elapsed().as_micros();
        log_line!("other settings are in force: {spent} us, {} requests are open", self.desk.owed());
        Ok(())
    }
}

/// What the process before learned, by this process's clock. `ahead`: by how much the other clock is ahead.
pub(super) fn on_clock(knowledge: Value, ahead: i64) -> Value {
    if ahead.unsigned_abs() < SAME_CLOCK { knowledge } else { Dispatcher::on_clock(knowledge, -ahead) }
}

/// What another process learned, by the places that classes and tenants have here: there they may have come and gone in
/// another order.
pub(super) fn placed(knowledge: Value, told: &Option<Listed>, names: &Names, now: Micros) -> Value {
    let Some(told) = told else { return knowledge };
    let place = |list: &[String], name: &str| list.iter().position(|other| other == name);
    let classes: Vec<_> = names.classes().map(|name| place(&told.classes, name)).collect();
    let tenants: Vec<_> = names.tenants().map(|name| place(&told.tenants, name)).collect();
    Dispatcher::placed(knowledge, &classes, &tenants, now)
}
