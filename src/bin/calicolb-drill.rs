//! Runs instances of the decision module for the simulator: reads batches of events from standard input and writes the
//! resulting actions to standard output.

use calicolb::api::{Action, Event, Micros};
use calicolb::rules::Dispatcher;
use calicolb::wire::{self, Line, Names};
use std::any::Any;
use std::collections::HashMap;
use std::io::{self, BufRead, Write};
use std::panic::{self, AssertUnwindSafe};
use std::process::ExitCode;

/// One instance of the decision module, with the names of its settings.
struct Instance {
    dispatcher: Dispatcher,
    names: Names,
}

/// All running instances by name, and the reply to the current batch.
struct Host {
    instances: HashMap<String, Instance>,
    actions: Vec<Action>,
    reply: String,
}

fn main() -> ExitCode {
    // A panic in the decision module is written to the reply; the default hook would print it to standard error too.
    panic::set_hook(Box::new(|_| {}));
    match serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("calicolb-drill: {message}");
            ExitCode::FAILURE
        }
    }
}

/// Replies to each batch until the input ends.
///
/// # Errors
/// The input is malformed or ends inside a batch, or reading or writing fails.
fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut host = Host { instances: HashMap::new(), actions: Vec::new(), reply: String::new() };
    let mut lines = Lines { input: &mut input, text: String::new(), number: 0 };
    while lines.read_next()? {
        if lines.text.is_empty() {
            continue;
        }
        let now = match wire::parse_line(&lines.text).map_err(|error| lines.error(error))? {
            Line::BatchStart(now) => now,
            _ => return Err(lines.error("a batch must begin with TURN")),
        };
        host.reply.clear();
        host.process_batch(now, &mut lines)?;
        host.reply.push_str("NEXT\n");
        let sent = output.write_all(host.reply.as_bytes()).and_then(|()| output.flush());
        sent.map_err(|error| format!("cannot write the reply: {error}"))?;
    }
    Ok(())
}

/// Reads the input line by line and counts lines for error messages.
struct Lines<'a, R> {
    input: &'a mut R,
    text: String,
    number: u64,
}

impl<R: BufRead> Lines<'_, R> {
    fn read_next(&mut self) -> Result<bool, String> {
        self.text.clear();
        self.number += 1;
        let read = self.input.read_line(&mut self.text).map_err(|error| self.error(error))?;
        if self.text.ends_with('\n') {
            self.text.pop();
        }
        Ok(read > 0)
    }

    fn read_within_batch(&mut self) -> Result<(), String> {
        if self.read_next()? { Ok(()) } else { Err(self.error("the input ends inside a batch")) }
    }

    fn error(&self, message: impl std::fmt::Display) -> String {
        format!("line {}: {message}", self.number)
    }
}

impl Host {
    fn process_batch<R: BufRead>(&mut self, now: Micros, lines: &mut Lines<'_, R>) -> Result<(), String> {
        loop {
            lines.read_within_batch()?;
            match wire::parse_line(&lines.text).map_err(|error| lines.error(error))? {
                Line::BatchStart(_) => return Err(lines.error("TURN inside a batch")),
                Line::BatchEnd => return Ok(()),
                Line::InstanceStart(name, seed, info) => {
                    let (settings, names) = wire::parse_settings(info).map_err(|error| lines.error(error))?;
                    let created = catch_panic(|| Dispatcher::new(settings, seed, now));
                    match created {
                        Ok(dispatcher) => {
                            self.instances.insert(name.to_owned(), Instance { dispatcher, names });
                        }
                        Err(text) => wire::write_panic(&mut self.reply, name, &text),
                    }
                }
                Line::InstanceExit(name) => {
                    self.instances.remove(name);
                }
                Line::Members(name, kind, count) => {
                    let name = name.to_owned();
                    let Some(instance) = self.instances.get(&name) else {
                        return Err(lines.error(format!("instance '{name}' is not running")));
                    };
                    let mut members = Vec::new();
                    for _ in 0..count {
                        lines.read_within_batch()?;
                        let member = wire::parse_member(&lines.text, &instance.names);
                        members.push(member.map_err(|error| lines.error(error))?);
                    }
                    self.dispatch(now, &name, Event::Members(kind, members));
                }
                Line::Other(name, fields) => {
                    let Some(instance) = self.instances.get(name) else {
                        return Err(lines.error(format!("instance '{name}' is not running")));
                    };
                    let event =
                        wire::parse_event(fields, &instance.names).map_err(|error| lines.error(error))?;
                    self.dispatch(now, name, event);
                }
            }
        }
    }

    fn dispatch(&mut self, now: Micros, name: &str, event: Event) {
        let Some(instance) = self.instances.get_mut(name) else { return };
        self.actions.clear();
        let actions = &mut self.actions;
        if let Err(text) = catch_panic(|| instance.dispatcher.on_event(now, event, actions)) {
            wire::write_panic(&mut self.reply, name, &text);
            return;
        }
        for action in &self.actions {
            wire::write_action(&mut self.reply, name, action);
        }
    }
}

/// Runs code of the decision module and returns the text of a panic as an error.
fn catch_panic<T>(run: impl FnOnce() -> T) -> Result<T, String> {
    panic::catch_unwind(AssertUnwindSafe(run)).map_err(panic_text)
}

fn panic_text(payload: Box<dyn Any + Send>) -> String {
    let text = payload.downcast_ref::<&str>().map(|text| (*text).to_owned());
    let text = text.or_else(|| payload.downcast_ref::<String>().cloned());
    text.unwrap_or_else(|| "the decision module panicked".to_owned())
}
