//! The command line: subcommands and options.

use crate::config::operator::Addresses;
use crate::log::LogFormat;
use clap::{Args, Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;
use tracing::Level;

/// A scheduler for stock jobs: accepts jobs over HTTP and Gearman and decides which worker runs each job and when.
#[derive(Debug, Parser)]
#[command(version, after_help = EXAMPLES)]
pub struct Cli {
    /// The command. Without a command, the program serves with the configuration file that RELAY_CONFIG names.
    #[command(subcommand)]
    pub command: Option<Command>,
}

const EXAMPLES: &str = "\
Examples:
  calicolb serve --operator deploy/appliance.kdl
  calicolb serve --operator deploy/appliance.kdl --listen 127.0.0.1:9080 --log-format json
  calicolb check --operator deploy/appliance.kdl
  calicolb control --operator deploy/control.kdl
  RELAY_CONFIG=/run/balancer/config.json calicolb";

/// The subcommands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serve until SIGTERM.
    Serve(ServeArgs),
    /// Check an operator file and report every error in it.
    Check {
        /// The operator file.
        #[arg(long, value_name = "FILE")]
        operator: PathBuf,
    },
    /// Run one of the control machines, which agree on the settings of all schedulers, until SIGTERM.
    Control(ControlArgs),
}

/// Options of the `control` command.
#[derive(Clone, Debug, Args)]
pub struct ControlArgs {
    /// The operator file, which contains a `control` node.
    #[arg(long, value_name = "FILE")]
    pub operator: PathBuf,
    /// Only check the file and report every error in it.
    #[arg(long)]
    pub check: bool,
    /// The format of log lines.
    #[arg(long, value_enum, default_value_t)]
    pub log_format: LogFormat,
    /// The lowest level that is logged: error, warn, info or debug.
    #[arg(long, value_name = "LEVEL")]
    pub log_level: Option<Level>,
}

/// Options of the `serve` command.
#[derive(Clone, Debug, Default, Args)]
pub struct ServeArgs {
    /// The operator file. Without it, the configuration file that RELAY_CONFIG names is used.
    #[arg(long, value_name = "FILE")]
    pub operator: Option<PathBuf>,
    /// The listen address for HTTP. Replaces the one in the operator file.
    #[arg(long, value_name = "ADDRESS", requires = "operator")]
    pub listen: Option<SocketAddr>,
    /// The listen address for Gearman clients and workers. Replaces the one in the operator file.
    #[arg(long, value_name = "ADDRESS", requires = "operator")]
    pub gearman: Option<SocketAddr>,
    /// The listen address of the management interface. Replaces the one in the operator file.
    #[arg(long, value_name = "ADDRESS", requires = "operator")]
    pub mgmt: Option<SocketAddr>,
    /// The format of log lines.
    #[arg(long, value_enum, default_value_t)]
    pub log_format: LogFormat,
    /// The lowest level that is logged: error, warn, info or debug.
    #[arg(long, value_name = "LEVEL")]
    pub log_level: Option<Level>,
}

impl ServeArgs {
    /// Returns the listen addresses that replace those in the operator file.
    pub fn addresses(&self) -> Addresses {
        Addresses { listen: self.listen, gearman: self.gearman, management: self.mgmt }
    }
}
