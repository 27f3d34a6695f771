//! Measures what stoathatch takes at a planned size, on one machine: real controller processes, and everything around
//! them hollow. Hollow workers speak the real protocol and run nothing; a few hundred share a process.
//!
//! `cargo run --release -p capacity -- run` plays the planned size, `-- slopes` several sizes and what grows with them.
//! docs/CAPACITY.md is written from their output.

pub mod checker;
pub mod children;
pub mod clock;
pub mod cluster;
pub mod controllers;
pub mod gangs;
pub mod hollow;
pub mod hosts;
pub mod messages;
pub mod network;
pub mod operator;
pub mod plot;
pub mod report;
pub mod run;
pub mod scenario;
pub mod size;
pub mod slopes;
pub mod timers;
pub mod users;
pub mod workload;
