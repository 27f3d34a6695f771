//! What several tests use.

pub mod naive;
