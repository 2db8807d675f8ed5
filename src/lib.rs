#![doc = include_str!("../README.md")]

pub use calicolb_decisions::{api, rules};

pub mod settings_update;
pub mod wire;
