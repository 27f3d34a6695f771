//! Enforcement of limits: tasks above a limit that was lowered are preempted, with time to save their state. Those that
//! the fewest levels of guarantees cover go first, then those of the lowest priority, and no more than the excess.

use crate::state::PlanState;
use crate::{EPS, Preempt, Resources, Running, Secs};
use std::collections::{BTreeMap, BTreeSet};

/// Tasks that are preempted together: a single task, or a whole gang.
struct PreemptionUnit {
    /// Order of preemption: services last, since they would only start again elsewhere; then by the levels of
    /// guarantees that cover the tasks, then by priority.
    rank: (bool, u8, u8),
    lost: Secs,
    gang: Option<u32>,
    /// Indices of the machine, and of the task among its running ones.
    tasks: Vec<(usize, usize)>,
    /// Resources that the tasks use.
    freed: Resources,
}

impl PreemptionUnit {
    /// An empty unit, ranked like this task.
    fn new(task: &Running) -> Self {
        let is_service = !task.is_preemptible && task.gang.is_none();
        PreemptionUnit {
            rank: (is_service, task.guarantee_levels, task.priority),
            lost: 0.0,
            gang: task.gang,
            tasks: Vec::new(),
            freed: Resources::default(),
        }
    }

    fn add(&mut self, machine: usize, index: usize, task: &Running) {
        self.lost += task.lost_on_preemption;
        self.tasks.push((machine, index));
        self.freed.add(&task.need, 1.0);
    }
}

impl PlanState<'_> {
    /// Brings the usage of each group back within its limit. Deeper groups come first, since what is preempted there
    /// also reduces the usage of the groups above.
    pub(crate) fn enforce_limits(&mut self) {
        let input = self.input;
        let depth = |g: usize| {
            let at = |t: &crate::Team| t.groups.iter().position(|p| usize::from(*p) == g);
            input.teams.iter().find_map(at).unwrap_or(0)
        };
        let over = |g: &crate::Group| g.preempts_excess && !g.max.fits(&g.used);
        let mut groups: Vec<usize> = (0..input.groups.len())
            .filter(|g| over(&input.groups[*g]))
            .collect();
        if groups.is_empty() {
            return;
        }
        groups.sort_by_key(|g| std::cmp::Reverse(depth(*g)));
        for g in groups {
            self.enforce_group_limit(g as u16);
        }
    }

    fn is_below(&self, r: &Running, group: u16) -> bool {
        self.input
            .teams
            .get(usize::from(r.team))
            .is_some_and(|t| t.groups.contains(&group))
    }

    /// Preempts tasks and gangs below a group until its usage is within its limit.
    fn enforce_group_limit(&mut self, group: u16) {
        let limits = &self.input.groups[usize::from(group)];
        let mut used = limits.used;
        let mut candidates = self.preemptible_below(group, &mut used);
        candidates.sort_by(|a, b| a.rank.cmp(&b.rank).then(a.lost.total_cmp(&b.lost)));
        for candidate in candidates {
            if reduces_excess(&limits.max, &used, &candidate.freed) {
                used.add(&candidate.freed, -1.0);
                self.preempt_unit(&candidate);
            }
        }
    }

    /// Everything below a group that can be preempted. Tasks that are being stopped already, or are preempted by this
    /// plan, are subtracted from the usage instead.
    fn preemptible_below(&mut self, group: u16, used: &mut Resources) -> Vec<PreemptionUnit> {
        let input = self.input;
        let mut found: Vec<PreemptionUnit> = Vec::new();
        let mut gangs: BTreeMap<u32, PreemptionUnit> = BTreeMap::new();
        let preempts = self.output.preempts.iter();
        let preempted: BTreeSet<(u32, u32)> = preempts.map(|p| (p.machine, p.task)).collect();
        let preempted_gangs: BTreeSet<u32> = self.output.preempted_gangs.iter().copied().collect();
        for (m, machine) in input.machines.iter().enumerate() {
            self.output.steps += 1 + machine.running.len() as u64;
            let tasks = machine.running.iter().enumerate();
            for (k, task) in tasks.filter(|(_, task)| self.is_below(task, group)) {
                let is_leaving = task.is_stopping
                    || task
                        .gang
                        .is_some_and(|gang| preempted_gangs.contains(&gang))
                    || preempted.contains(&(m as u32, k as u32));
                if is_leaving {
                    used.add(&task.need, -1.0);
                    continue;
                }
                match task.gang {
                    Some(gang) => gangs
                        .entry(gang)
                        .or_insert_with(|| PreemptionUnit::new(task))
                        .add(m, k, task),
                    None => {
                        let mut unit = PreemptionUnit::new(task);
                        unit.add(m, k, task);
                        found.push(unit);
                    }
                }
            }
        }
        found.extend(gangs.into_values());
        found
    }

    fn preempt_unit(&mut self, unit: &PreemptionUnit) {
        if let Some(gang) = unit.gang {
            self.output.preempted_gangs.push(gang);
            return;
        }
        let preempts = unit.tasks.iter().map(|(m, k)| Preempt {
            machine: *m as u32,
            task: *k as u32,
        });
        self.output.preempts.extend(preempts);
    }
}

/// Whether freeing these resources reduces a usage that is above its limit.
fn reduces_excess(max: &Resources, used: &Resources, freed: &Resources) -> bool {
    let over = |max: f64, used: f64, freed: f64| used > max + EPS && freed > EPS;
    over(max.cores, used.cores, freed.cores)
        || over(max.gpus, used.gpus, freed.gpus)
        || over(max.mem, used.mem, freed.mem)
}
