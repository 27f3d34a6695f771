//! Amounts of resources.

/// Resources that a task needs or a machine has.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Resources {
    /// Processor cores.
    pub cores: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory in GB.
    pub mem: f64,
}

/// Differences below this are rounding errors.
pub(crate) const EPS: f64 = 1e-6;

impl Resources {
    /// Whether a task that needs `need` fits.
    pub fn fits(&self, need: &Resources) -> bool {
        need.cores <= self.cores + EPS && need.gpus <= self.gpus + EPS && need.mem <= self.mem + EPS
    }
    /// Adds `n` times `other`.
    pub fn add(&mut self, other: &Resources, n: f64) {
        self.cores += other.cores * n;
        self.gpus += other.gpus * n;
        self.mem += other.mem * n;
    }
    /// The sum of `n` times these resources.
    pub(crate) fn times(&self, n: u32) -> Resources {
        let mut all = Resources::default();
        all.add(self, f64::from(n));
        all
    }
    /// How many tasks that need `need` fit, at most `cap`.
    pub fn count(&self, need: &Resources, cap: u32) -> u32 {
        let per = |have: f64, want: f64| {
            if want <= EPS {
                f64::INFINITY
            } else {
                ((have + EPS) / want).floor()
            }
        };
        let n = per(self.cores, need.cores)
            .min(per(self.gpus, need.gpus))
            .min(per(self.mem, need.mem));
        if n >= f64::from(cap) {
            cap
        } else {
            n.max(0.0) as u32
        }
    }
    /// The dominant share of `need` in `self`: the largest of its shares of cores, GPUs and memory.
    pub fn dominant_share(&self, need: &Resources) -> f64 {
        let part = |have: f64, want: f64| {
            if want <= EPS {
                0.0
            } else {
                want / have.max(EPS)
            }
        };
        part(self.cores, need.cores)
            .max(part(self.gpus, need.gpus))
            .max(part(self.mem, need.mem))
    }
}
