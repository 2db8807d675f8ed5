//! The scheduler: starts, and wires the parts together.

mod cli;
mod config;
mod log;
mod net;

use clap::Parser;
use cli::{Cli, Command, Control, Serve};
use config::Config;
use config::control::ControlConfig;
use config::operator::Addresses;
use std::process::ExitCode;
use tracing::Level;

/// The exit code for a configuration or a command line that cannot be used.
const UNUSABLE: u8 = 2;

fn main() -> ExitCode {
    match Cli::parse().command {
        None => serve(&Serve::default()),
        Some(Command::Serve(how)) => serve(&how),
        Some(Command::Control(how)) => control(&how),
        Some(Command::Check { operator }) => match Config::operator(&operator, Addresses::default()) {
            Ok(config) => {
                println!(
                    "{} is sound: {} classes, {} functions, {} HTTP workers",
                    operator.display(),
                    config.names.classes().count(),
                    config.gearman.map_or(0, |gearman| gearman.functions.len()),
                    config.static_workers.len()
                );
                ExitCode::SUCCESS
            }
            Err(report) => unusable(&report),
        },
    }
}

fn unusable(report: &miette::Report) -> ExitCode {
    eprintln!("{report:?}");
    ExitCode::from(UNUSABLE)
}

fn serve(how: &Serve) -> ExitCode {
    let config = match &how.operator {
        Some(path) => match Config::operator(path, how.addresses()) {
            Ok(config) => config,
            Err(report) => return unusable(&report),
        },
        None => match Config::load(|name| std::env::var(name).ok()) {
            Ok(config) => config,
            Err(message) => {
                eprintln!("calicolb: configuration: {message}");
                eprintln!("calicolb: without RELAY_CONFIG, start it with: serve --operator FILE");
                return ExitCode::from(UNUSABLE);
            }
        },
    };
    log::start(how.log_format, how.log_level.unwrap_or(Level::INFO));
    net::platform::inherit::announce(config.passed_socket, |name| std::env::var_os(name));
    let (name, listen) = (config.name.clone(), config.listen);
    match net::turn::Turn::new(config).and_then(net::turn::Turn::run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("calicolb: {name} on {listen}: {error}");
            ExitCode::FAILURE
        }
    }
}

fn control(how: &Control) -> ExitCode {
    let config = match ControlConfig::operator(&how.operator) {
        Ok(config) => config,
        Err(report) => return unusable(&report),
    };
    if how.check {
        let (id, count) = (config.id, config.machines.len());
        println!("{} is sound: control machine {id} of {count}", how.operator.display());
        return ExitCode::SUCCESS;
    }
    log::start(how.log_format, how.log_level.unwrap_or(Level::INFO));
    let (name, listen) = (config.name.clone(), config.listen);
    match net::control::machine::Machine::new(config).and_then(net::control::machine::Machine::run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("calicolb: {name} on {listen}: {error}");
            ExitCode::FAILURE
        }
    }
}
