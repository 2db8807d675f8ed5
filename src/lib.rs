#![doc = include_str!("../README.md")]

pub use calicolb_decisions::{api, departed, rules};

pub mod settings_update;
pub mod wire;
