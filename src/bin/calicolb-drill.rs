//! Hosts instances of the decision module by name and speaks the wire on standard input and output.

use calicolb::api::{Action, Event, Micros};
use calicolb::rules::Dispatcher;
use calicolb::wire::{self, Line, Names};
use std::any::Any;
use std::collections::HashMap;
use std::io::{self, BufRead, Write};
use std::panic::{self, AssertUnwindSafe};
use std::process::ExitCode;

struct Instance {
    dispatcher: Dispatcher,
    names: Names,
}

struct Host {
    instances: HashMap<String, Instance>,
    actions: Vec<Action>,
    reply: String,
}

fn main() -> ExitCode {
    // A panic in the module is reported on the wire, once, instead of by the usual message.
    panic::set_hook(Box::new(|_| {}));
    match serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("calicolb-drill: {message}");
            ExitCode::FAILURE
        }
    }
}

/// Answers batch after batch until the input ends.
fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut host = Host { instances: HashMap::new(), actions: Vec::new(), reply: String::new() };
    let mut lines = Lines { input: &mut input, text: String::new(), number: 0 };
    while lines.next()? {
        if lines.text.is_empty() {
            continue;
        }
        let now = match wire::parse_line(&lines.text).map_err(|error| lines.wrong(error))? {
            Line::Turn(now) => now,
            _ => return Err(lines.wrong("a batch must begin with TURN")),
        };
        host.reply.clear();
        host.batch(now, &mut lines)?;
        host.reply.push_str("NEXT\n");
        let sent = output.write_all(host.reply.as_bytes()).and_then(|()| output.flush());
        sent.map_err(|error| format!("writing a reply: {error}"))?;
    }
    Ok(())
}

/// The input, line by line, with the number of the line in hand.
struct Lines<'a, R> {
    input: &'a mut R,
    text: String,
    number: u64,
}

impl<R: BufRead> Lines<'_, R> {
    fn next(&mut self) -> Result<bool, String> {
        self.text.clear();
        self.number += 1;
        let read = self.input.read_line(&mut self.text).map_err(|error| self.wrong(error))?;
        if self.text.ends_with('\n') {
            self.text.pop();
        }
        Ok(read > 0)
    }

    fn within_batch(&mut self) -> Result<(), String> {
        if self.next()? { Ok(()) } else { Err(self.wrong("the input ends inside a batch")) }
    }

    fn wrong(&self, what: impl std::fmt::Display) -> String {
        format!("line {}: {what}", self.number)
    }
}

impl Host {
    fn batch<R: BufRead>(&mut self, now: Micros, lines: &mut Lines<'_, R>) -> Result<(), String> {
        loop {
            lines.within_batch()?;
            match wire::parse_line(&lines.text).map_err(|error| lines.wrong(error))? {
                Line::Turn(_) => return Err(lines.wrong("TURN inside a batch")),
                Line::End => return Ok(()),
                Line::Up(name, seed, info) => {
                    let (settings, names) = wire::parse_settings(info).map_err(|error| lines.wrong(error))?;
                    let made = guard(|| Dispatcher::new(settings, seed, now));
                    match made {
                        Ok(dispatcher) => {
                            self.instances.insert(name.to_owned(), Instance { dispatcher, names });
                        }
                        Err(why) => wire::write_panic(&mut self.reply, name, &why),
                    }
                }
                Line::Exit(name) => {
                    self.instances.remove(name);
                }
                Line::Members(name, kind, count) => {
                    let name = name.to_owned();
                    let Some(instance) = self.instances.get(&name) else {
                        return Err(lines.wrong(format!("instance '{name}' is not up")));
                    };
                    let mut members = Vec::new();
                    for _ in 0..count {
                        lines.within_batch()?;
                        let member = wire::parse_member(&lines.text, &instance.names);
                        members.push(member.map_err(|error| lines.wrong(error))?);
                    }
                    self.tell(now, &name, Event::Members(kind, members));
                }
                Line::Other(name, fields) => {
                    let Some(instance) = self.instances.get(name) else {
                        return Err(lines.wrong(format!("instance '{name}' is not up")));
                    };
                    let event =
                        wire::parse_event(fields, &instance.names).map_err(|error| lines.wrong(error))?;
                    self.tell(now, name, event);
                }
            }
        }
    }

    fn tell(&mut self, now: Micros, name: &str, event: Event) {
        let Some(instance) = self.instances.get_mut(name) else { return };
        self.actions.clear();
        let actions = &mut self.actions;
        if let Err(why) = guard(|| instance.dispatcher.on_event(now, event, actions)) {
            wire::write_panic(&mut self.reply, name, &why);
            return;
        }
        for action in &self.actions {
            wire::write_action(&mut self.reply, name, action);
        }
    }
}

/// Runs the module's code and turns a panic into its text.
fn guard<T>(run: impl FnOnce() -> T) -> Result<T, String> {
    panic::catch_unwind(AssertUnwindSafe(run)).map_err(panic_text)
}

fn panic_text(payload: Box<dyn Any + Send>) -> String {
    let text = payload.downcast_ref::<&str>().map(|text| (*text).to_owned());
    let text = text.or_else(|| payload.downcast_ref::<String>().cloned());
    text.unwrap_or_else(|| "the decision module panicked".to_owned())
}
