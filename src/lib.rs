#![doc = include_str!("../README.md")]

pub mod api;
mod peer;
pub mod rules;
mod state;
pub mod wire;
