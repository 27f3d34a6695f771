//! Code shared by several tests.

pub mod naive;
