//! The command line.

use crate::config::operator::Addresses;
use crate::log::Format;
use clap::{Args, Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;
use tracing::Level;

/// A scheduler for stock jobs: takes them over HTTP and Gearman, and decides who runs what and when.
#[derive(Debug, Parser)]
#[command(version, after_help = EXAMPLES)]
pub struct Cli {
    /// What to do; without it, serve as the platform says (RELAY_CONFIG and the other variables).
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

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serve until SIGTERM.
    Serve(Serve),
    /// Say what is wrong with an operator file, if anything.
    Check {
        /// The operator file.
        #[arg(long, value_name = "FILE")]
        operator: PathBuf,
    },
    /// Be one of the machines that agree on the settings of all schedulers, until SIGTERM.
    Control(Control),
}

/// How to be a control machine.
#[derive(Clone, Debug, Args)]
pub struct Control {
    /// The operator file, with a `control` node.
    #[arg(long, value_name = "FILE")]
    pub operator: PathBuf,
    /// Say what is wrong with the file, if anything, and no more.
    #[arg(long)]
    pub check: bool,
    /// How the log is written.
    #[arg(long, value_enum, default_value_t)]
    pub log_format: Format,
    /// The least level that is logged: error, warn, info, debug.
    #[arg(long, value_name = "LEVEL")]
    pub log_level: Option<Level>,
}

/// How to serve.
#[derive(Clone, Debug, Default, Args)]
pub struct Serve {
    /// The operator file; without it, the configuration that RELAY_CONFIG names.
    #[arg(long, value_name = "FILE")]
    pub operator: Option<PathBuf>,
    /// Where HTTP clients connect, in the place of the operator file's address.
    #[arg(long, value_name = "ADDRESS", requires = "operator")]
    pub listen: Option<SocketAddr>,
    /// Where Gearman clients and workers connect, in the place of the operator file's address.
    #[arg(long, value_name = "ADDRESS", requires = "operator")]
    pub gearman: Option<SocketAddr>,
    /// Where operators call, in the place of the operator file's address.
    #[arg(long, value_name = "ADDRESS", requires = "operator")]
    pub mgmt: Option<SocketAddr>,
    /// How the log is written.
    #[arg(long, value_enum, default_value_t)]
    pub log_format: Format,
    /// The least level that is logged: error, warn, info, debug.
    #[arg(long, value_name = "LEVEL")]
    pub log_level: Option<Level>,
}

impl Serve {
    /// The addresses that stand in for the operator file's.
    pub fn addresses(&self) -> Addresses {
        Addresses { listen: self.listen, gearman: self.gearman, management: self.mgmt }
    }
}
