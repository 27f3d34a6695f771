//! The real program as three processes on loopback, against simulated services. Tests wait for conditions, never for
//! fixed times.

mod command_copies;
mod common;
mod hours;
mod jobs;
mod ports;
mod quota;
mod yarn;
