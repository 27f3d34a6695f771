//! The real program as three processes on loopback, against the stand-ins. Waits on conditions only.

mod common;
mod hours;
mod jobs;
mod ports;
mod quota;
mod yarn;
