//! What runs above a bound that has shrunk is stopped: with the time to save, the least held and least urgent first,
//! and no more than the excess.

use crate::state::PlanState;
use crate::{EPS, Preempt, Resources, Running, Secs};
use std::collections::{BTreeMap, BTreeSet};

/// What stops together: one task, or a whole gang.
struct Excess {
    /// Services last, since they would only start again elsewhere; then the least held, the least urgent.
    rank: (bool, u8, u8),
    lost: Secs,
    gang: Option<u32>,
    tasks: Vec<(usize, usize)>,
    takes: Resources,
}

impl PlanState<'_> {
    /// Brings each group back to its bound. Deeper ones first: what they stop counts for those above.
    pub(crate) fn enforce_limits(&mut self) {
        let input = self.input;
        let depth = |g: usize| {
            let at = |t: &crate::Team| t.path.iter().position(|p| usize::from(*p) == g);
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

    fn below(&self, r: &Running, group: u16) -> bool {
        self.input
            .teams
            .get(usize::from(r.team))
            .is_some_and(|t| t.path.contains(&group))
    }

    fn enforce_group_limit(&mut self, group: u16) {
        let input = self.input;
        let bound = &input.groups[usize::from(group)];
        let mut used = bound.used;
        let mut found: Vec<Excess> = Vec::new();
        let mut gangs: BTreeMap<u32, Excess> = BTreeMap::new();
        let stopping: BTreeSet<(u32, u32)> = self
            .out
            .preempts
            .iter()
            .map(|p| (p.machine, p.task))
            .collect();
        let preempted_gangs: BTreeSet<u32> = self.out.preempted_gangs.iter().copied().collect();
        for (m, machine) in input.machines.iter().enumerate() {
            self.out.steps += 1 + machine.running.len() as u64;
            for (k, r) in machine
                .running
                .iter()
                .enumerate()
                .filter(|(_, r)| self.below(r, group))
            {
                // On its way out already, or stopped by this plan.
                let goes = r.leaving || r.gang.is_some_and(|g| preempted_gangs.contains(&g));
                if goes || stopping.contains(&(m as u32, k as u32)) {
                    used.add(&r.need, -1.0);
                    continue;
                }
                let service = !r.stoppable && r.gang.is_none();
                let new = Excess {
                    rank: (service, r.held, r.priority),
                    lost: 0.0,
                    gang: r.gang,
                    tasks: Vec::new(),
                    takes: Resources::default(),
                };
                let mut one = None;
                let at = match r.gang {
                    Some(gang) => gangs.entry(gang).or_insert(new),
                    None => one.insert(new),
                };
                at.lost += r.lost;
                at.tasks.push((m, k));
                at.takes.add(&r.need, 1.0);
                found.extend(one);
            }
        }
        found.extend(gangs.into_values());
        found.sort_by(|a, b| a.rank.cmp(&b.rank).then(a.lost.total_cmp(&b.lost)));
        for e in found {
            if !helps(&bound.max, &used, &e.takes) {
                continue;
            }
            used.add(&e.takes, -1.0);
            match e.gang {
                Some(gang) => self.out.preempted_gangs.push(gang),
                None => self
                    .out
                    .preempts
                    .extend(e.tasks.iter().map(|(m, k)| Preempt {
                        machine: *m as u32,
                        task: *k as u32,
                    })),
            }
        }
    }
}

/// Whether ending this brings the use nearer to a bound that it is above.
fn helps(max: &Resources, used: &Resources, takes: &Resources) -> bool {
    let over = |max: f64, used: f64, takes: f64| used > max + EPS && takes > EPS;
    over(max.cores, used.cores, takes.cores)
        || over(max.gpus, used.gpus, takes.gpus)
        || over(max.mem, used.mem, takes.mem)
}
