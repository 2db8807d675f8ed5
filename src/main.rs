//! The program's entry point: reads the command line and the configuration, then runs a scheduler or a control machine.

mod cli;
mod config;
mod log;
mod net;

use clap::Parser;
use cli::{Cli, Command, ControlArgs, ServeArgs};
use config::Config;
use config::control::ControlConfig;
use config::operator::Addresses;
use std::process::ExitCode;
use tracing::Level;

/// The exit code for an invalid configuration. clap uses the same one for an invalid command line.
const INVALID_CONFIGURATION_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    match Cli::parse().command {
        None => run_scheduler(&ServeArgs::default()),
        Some(Command::Serve(args)) => run_scheduler(&args),
        Some(Command::Control(args)) => run_control_machine(&args),
        Some(Command::Check { operator }) => {
            match Config::from_operator_file(&operator, Addresses::default()) {
                Ok(config) => {
                    println!(
                        "{} is valid: {} classes, {} functions, {} HTTP workers",
                        operator.display(),
                        config.names.classes().count(),
                        config.gearman.map_or(0, |gearman| gearman.functions.len()),
                        config.static_workers.len()
                    );
                    ExitCode::SUCCESS
                }
                Err(report) => report_invalid_configuration(&report),
            }
        }
    }
}

fn report_invalid_configuration(report: &miette::Report) -> ExitCode {
    eprintln!("{report:?}");
    ExitCode::from(INVALID_CONFIGURATION_EXIT_CODE)
}

fn run_scheduler(args: &ServeArgs) -> ExitCode {
    let config = match &args.operator {
        Some(path) => match Config::from_operator_file(path, args.addresses()) {
            Ok(config) => config,
            Err(report) => return report_invalid_configuration(&report),
        },
        None => match Config::load(|name| std::env::var(name).ok()) {
            Ok(config) => config,
            Err(message) => {
                eprintln!("calicolb: configuration: {message}");
                eprintln!(
                    "calicolb: without RELAY_CONFIG, start the program with: calicolb serve --operator FILE"
                );
                return ExitCode::from(INVALID_CONFIGURATION_EXIT_CODE);
            }
        },
    };
    log::start(args.log_format, args.log_level.unwrap_or(Level::INFO));
    net::platform::inherited_socket::restart_with_listen_fds(config.passed_socket, |name| {
        std::env::var_os(name)
    });
    let (name, listen) = (config.name.clone(), config.listen);
    match net::event_loop::EventLoop::new(config).and_then(net::event_loop::EventLoop::run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("calicolb: {name} on {listen}: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_control_machine(args: &ControlArgs) -> ExitCode {
    let config = match ControlConfig::from_operator_file(&args.operator) {
        Ok(config) => config,
        Err(report) => return report_invalid_configuration(&report),
    };
    if args.check {
        let (id, machine_count) = (config.id, config.machines.len());
        println!("{} is valid: control machine {id} of {machine_count}", args.operator.display());
        return ExitCode::SUCCESS;
    }
    log::start(args.log_format, args.log_level.unwrap_or(Level::INFO));
    let (name, listen) = (config.name.clone(), config.listen);
    match net::control::machine::Machine::new(config).and_then(net::control::machine::Machine::run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("calicolb: {name} on {listen}: {error}");
            ExitCode::FAILURE
        }
    }
}
