//! Equivalence of jobs: results of a search for one job are reused for equivalent ones.

use crate::{Job, Tenant};

/// The properties that decide which machines a job can use; jobs with equal ones are equivalent.
#[derive(Clone, PartialEq, Eq, Hash)]
pub(crate) struct JobKind {
    need: [u64; 3],
    priority: u8,
    types: u64,
    zone: Option<u16>,
    one_zone: bool,
    spot: bool,
    image: u32,
    tenant: Tenant,
    only: Vec<u16>,
}

impl JobKind {
    pub fn of(job: &Job) -> Self {
        JobKind {
            need: [
                job.need.cores.to_bits(),
                job.need.gpus.to_bits(),
                job.need.mem.to_bits(),
            ],
            priority: job.priority,
            types: job.machine_types,
            zone: job.zone,
            one_zone: job.one_zone,
            spot: job.spot,
            image: job.image,
            tenant: job.tenant,
            only: job.allowed_zones.clone(),
        }
    }
}
