//! The state of one planning pass: the fleet as it will be after the decisions so far, and these decisions.
//!
//! The modules that make decisions add methods to [`PlanState`]; this one imports none of them.

use crate::candidates::Candidates;
use crate::failed_searches::FailedSearches;
use crate::job_kind::JobKind;
use crate::preemption_options::PreemptionOptions;
use crate::tenant::Tenants;
use crate::timeline::{FutureCapacity, Timeline};
use crate::{Group, Input, Job, Machine, Output, Resources, Search, Secs, Team};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The state of one planning pass.
pub(crate) struct PlanState<'a> {
    pub input: &'a Input,
    /// Free resources by machine.
    pub free: Vec<Resources>,
    /// How many more tasks may be added, by machine.
    pub slots: Vec<u32>,
    /// Changes of capacity after now, by machine.
    pub timelines: Vec<Timeline>,
    /// Until when a whole machine is reserved: for expected jobs, or for a job that others are preempted for.
    pub reserved_until: Vec<Option<Secs>>,
    /// Images that are on a machine or are being fetched, by machine.
    pub images: Vec<Vec<u32>>,
    /// Index of the machines that accept tasks.
    pub candidates: Candidates,
    /// Searches that failed, so that equivalent jobs need not repeat them.
    pub failed_searches: FailedSearches,
    /// Machines by zone.
    pub machines_by_zone: BTreeMap<u16, Vec<usize>>,
    /// Log of changes of capacity: the machine of each change, in order.
    pub changed_machines: Vec<u32>,
    /// Cache of the future capacity for equivalent jobs.
    pub future_capacity: HashMap<JobKind, FutureCapacity>,
    /// Tenants with tasks on a machine, by machine.
    pub tenants: Vec<Tenants>,
    /// Some tenant shares no machine with others.
    pub has_isolated_tenants: bool,
    /// Tenants for which this plan has reserved a machine without conflicting tenants.
    pub tenants_with_reservation: BTreeSet<u16>,
    /// The highest priority of all jobs with pending tasks.
    pub highest_pending_priority: u8,
    /// Teams, their usage including this plan's starts.
    pub teams: Vec<Team>,
    /// Groups, their usage including this plan's starts.
    pub groups: Vec<Group>,
    /// Number of tasks on machines by zone, by job; including this plan's starts.
    pub tasks_by_zone: Vec<Vec<(u16, u32)>>,
    /// Cache of the preemption options for equivalent jobs.
    pub preemption_options: HashMap<JobKind, PreemptionOptions>,
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
            has_isolated_tenants: tenants.any(|t| t.is_isolated),
            tenants_with_reservation: BTreeSet::new(),
            teams: input.teams.clone(),
            groups: input.groups.clone(),
            tasks_by_zone: input.jobs.iter().map(|j| j.tasks_by_zone.clone()).collect(),
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

    /// Updates the index after a change of a machine's free capacity or images.
    pub fn index(&mut self, m: usize) {
        self.candidates
            .update(m, &self.free[m], self.slots[m], &self.images[m]);
    }

    pub fn is_linear_search(&self) -> bool {
        self.input.search == Search::Linear
    }

    /// Past this limit nothing is preempted or reserved in advance any more.
    pub fn is_past_soft_limit(&self) -> bool {
        self.output.steps > self.input.max_steps
    }

    /// Past this limit the remaining jobs wait for the next plan.
    pub fn is_past_hard_limit(&self) -> bool {
        self.output.steps > 2 * self.input.max_steps
    }

    /// How many more of a job's tasks the limits of its team and its team's groups allow, at most `cap`.
    pub fn allows(&self, job: &Job, cap: u32) -> u32 {
        let team = &self.teams[job.team as usize];
        let above = team.groups.iter().map(|g| &self.groups[*g as usize]);
        above.fold(team.allows(&job.need, cap), |n, g| {
            let mut headroom = g.max;
            headroom.add(&g.used, -1.0);
            headroom.count(&job.need, n)
        })
    }

    /// The machines of a zone, or all machines.
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

    /// Zones to try one by one if all tasks must share one; otherwise `None`, for all zones at once.
    pub fn zones_for(&self, job: &Job) -> Vec<Option<u16>> {
        if !job.one_zone {
            return vec![None];
        }
        self.machines_by_zone.keys().copied().map(Some).collect()
    }
}
