//! Provisioning: the cloud catalogue, scaling out and in, and machines that fail.

pub(crate) mod fleet;
