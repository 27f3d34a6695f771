//! The state of one plan while it is made: what is known of the fleet, and what has been decided so far.
//!
//! The modules that decide add methods to [`PlanState`]; this one imports none of them.

use crate::candidates::Candidates;
use crate::failed_searches::FailedSearches;
use crate::job_kind::JobKind;
use crate::preemption_options::PreemptionOptions;
use crate::tenant::Tenants;
use crate::timeline::{FutureCapacity, Timeline};
use crate::{Group, Input, Job, Machine, Output, Resources, Search, Secs, Team};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// What is known of the fleet while a plan is made.
pub(crate) struct PlanState<'a> {
    /// What the plan is made from.
    pub input: &'a Input,
    /// Of each machine, what is free now.
    pub free: Vec<Resources>,
    /// Of each machine, tasks that may still be added.
    pub slots: Vec<u32>,
    /// Of each machine, what is known of its room beyond this moment.
    pub timelines: Vec<Timeline>,
    /// Until when a machine's whole room is kept: for the expected, or for a gang that others make room for.
    pub reserved_until: Vec<Option<Secs>>,
    /// Of each machine, the images that are or will soon be on it.
    pub images: Vec<Vec<u32>>,
    /// Machines that take tasks, by what places are chosen by.
    pub candidates: Candidates,
    /// Kinds of jobs that found no place, so that others alike need not look.
    pub failed_searches: FailedSearches,
    /// Machines of each zone.
    pub machines_by_zone: BTreeMap<u16, Vec<usize>>,
    /// Machines whose room has changed, in order, once for each change.
    pub changed_machines: Vec<u32>,
    /// Room to come for jobs of a kind, once it was asked for.
    pub future_capacity: HashMap<JobKind, FutureCapacity>,
    /// Of each machine, whose work is on it.
    pub tenants: Vec<Tenants>,
    /// Some work shares no machine with that of others.
    pub has_isolated_tenants: bool,
    /// Tenants that were promised a machine free of others' work.
    pub tenants_with_reservation: BTreeSet<u16>,
    /// The highest urgency that waits.
    pub highest_pending_priority: u8,
    /// Teams with what they use after this plan's starts.
    pub teams: Vec<Team>,
    /// Groups with what they use after this plan's starts.
    pub groups: Vec<Group>,
    /// Of each job, tasks that hold a place by zone.
    pub tasks_by_zone: Vec<Vec<(u16, u32)>>,
    /// What can be cleared for tasks of a kind, once it was asked for.
    pub preemption_options: HashMap<JobKind, PreemptionOptions>,
    /// What has been decided.
    pub output: Output,
}

impl<'a> PlanState<'a> {
    pub fn new(input: &'a Input) -> Self {
        let machines = &input.machines;
        let running = machines.iter().flat_map(|m| &m.running);
        let mut tenants = input
            .jobs
            .iter()
            .map(|j| &j.tenant)
            .chain(running.map(|r| &r.tenant));
        let mut machines_by_zone: BTreeMap<u16, Vec<usize>> = BTreeMap::new();
        for (m, machine) in machines.iter().enumerate() {
            machines_by_zone.entry(machine.zone).or_default().push(m);
        }
        let mut state = PlanState {
            input,
            free: machines.iter().map(Machine::free).collect(),
            slots: machines.iter().map(|m| m.slots).collect(),
            timelines: vec![Timeline::default(); machines.len()],
            reserved_until: vec![None; machines.len()],
            highest_pending_priority: input.jobs.iter().map(|j| j.priority).max().unwrap_or(0),
            images: machines.iter().map(|m| m.images.clone()).collect(),
            candidates: Candidates::new(machines, input.jobs.iter().map(|j| j.image)),
            failed_searches: FailedSearches::default(),
            machines_by_zone,
            changed_machines: Vec::new(),
            future_capacity: HashMap::new(),
            tenants: machines
                .iter()
                .map(|m| Tenants::of(m.running.iter().map(|r| &r.tenant)))
                .collect(),
            has_isolated_tenants: tenants.any(|t| t.alone),
            tenants_with_reservation: BTreeSet::new(),
            teams: input.teams.clone(),
            groups: input.groups.clone(),
            tasks_by_zone: input.jobs.iter().map(|j| j.zones.clone()).collect(),
            preemption_options: HashMap::new(),
            output: Output::default(),
        };
        state.index_all();
        state
    }

    fn index_all(&mut self) {
        for m in 0..self.input.machines.len() {
            if self.input.machines[m].usable {
                self.index(m);
            }
        }
        self.output.steps += self.input.machines.len() as u64;
    }

    /// Puts a machine where the index has it by its room.
    pub fn index(&mut self, m: usize) {
        self.candidates
            .update(m, &self.free[m], self.slots[m], &self.images[m]);
    }

    pub fn is_linear_search(&self) -> bool {
        self.input.search == Search::Linear
    }

    /// Past this nothing is cleared or promised any more.
    pub fn is_past_soft_limit(&self) -> bool {
        self.output.steps > self.input.max_steps
    }

    /// Past this what is left waits for the next plan.
    pub fn is_past_hard_limit(&self) -> bool {
        self.output.steps > 2 * self.input.max_steps
    }

    /// How many more of a job's tasks, at most `cap`, its team's limit and all above it allow.
    pub fn allows(&self, job: &Job, cap: u32) -> u32 {
        let team = &self.teams[job.team as usize];
        let above = team.path.iter().map(|g| &self.groups[*g as usize]);
        above.fold(team.allows(&job.need, cap), |n, g| {
            let mut room = g.max;
            room.add(&g.used, -1.0);
            room.count(&job.need, n)
        })
    }

    /// Machines of a zone, or all.
    pub fn machines_in(&self, zone: Option<u16>) -> Vec<usize> {
        match zone {
            Some(zone) => self
                .machines_by_zone
                .get(&zone)
                .cloned()
                .unwrap_or_default(),
            None => (0..self.input.machines.len()).collect(),
        }
    }

    /// Zones to be tried one by one where all tasks share one; else all at once.
    pub fn zones_for(&self, job: &Job) -> Vec<Option<u16>> {
        if !job.one_zone {
            return vec![None];
        }
        self.machines_by_zone.keys().copied().map(Some).collect()
    }
}
