//! The scheduler: starts, and wires the parts together.

mod config;
mod net;

use std::process::ExitCode;

fn main() -> ExitCode {
    let config = match config::Config::load(|name| std::env::var(name).ok()) {
        Ok(config) => config,
        Err(message) => {
            eprintln!("calicolb: configuration: {message}");
            return ExitCode::from(2);
        }
    };
    net::inherit::announce(config.passed, |name| std::env::var_os(name));
    let (name, listen) = (config.name.clone(), config.listen);
    match net::turn::Turn::new(config).and_then(net::turn::Turn::run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("calicolb: {name} on {listen}: {error}");
            ExitCode::FAILURE
        }
    }
}
