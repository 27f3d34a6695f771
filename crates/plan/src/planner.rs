//! One pass of `MoldableEDF`: in order of deadlines, each job gets the smallest width that meets its deadline. Tasks
//! that are placed already are not moved.

use crate::state::PlanState;
use crate::{Input, Output, RUN_TIME_SLACK, Secs, Shape, URGENT, job_sizes, stretch};

/// A job with the keys by which jobs are ordered.
struct RankedJob {
    job: usize,
    /// Covered by a nested guarantee.
    is_guaranteed: bool,
    priority: u8,
    /// Aged, or a gang within its guarantee.
    goes_first: bool,
    deadline: Secs,
}

/// Plans what to start, preempt and reserve now.
pub fn plan(input: &Input) -> Output {
    let mut state = PlanState::new(input);
    state.run();
    state.output
}

impl PlanState<'_> {
    fn run(&mut self) {
        self.enforce_limits();
        let mut remaining: Vec<u32> = self.input.jobs.iter().map(|j| j.pending).collect();
        self.start_services(&mut remaining);
        let order = self.rank(&remaining);
        self.serve_aged(&mut remaining);
        self.serve(&order, &mut remaining);
        self.backfill(&order, &mut remaining);
        self.report_waiting(&remaining);
    }

    /// Starts services first, outside the deadline order; the other jobs share the capacity that is left.
    fn start_services(&mut self, remaining: &mut [u32]) {
        for (i, job) in self.input.jobs.iter().enumerate() {
            if job.shape != Shape::Service {
                continue;
            }
            remaining[i] -= self.start_tasks(i, remaining[i], false);
            if remaining[i] > 0 {
                self.reserve_machine_for_tenant(i);
            }
        }
    }

    /// The jobs to plan, in the order in which they are served.
    ///
    /// Jobs are ordered by priority, then by deadline as in the paper. Among jobs of one priority, a gang within its
    /// team's guarantee goes first: otherwise the capacity that was preempted for it could go back to the preempted
    /// jobs. With nested quotas, jobs that a guarantee covers come before those that borrow capacity, which would only
    /// be preempted again. Aged jobs go before younger ones of their priority, the longest wait first.
    fn rank(&mut self, remaining: &[u32]) -> Vec<RankedJob> {
        let input = self.input;
        let jobs = &input.jobs;
        let planned: Vec<usize> = (0..jobs.len())
            .filter(|i| remaining[*i] > 0 && jobs[*i].shape != Shape::Service)
            .filter(|i| jobs[*i].priority >= input.min_priority)
            .collect();
        let capacity = job_sizes::FleetCapacity::of(&input.machines);
        let sized: Vec<stretch::SizedJob> =
            planned.iter().map(|i| capacity.size(&jobs[*i])).collect();
        let s = stretch::smallest_stretch(&sized, &mut self.output.steps);
        self.output.stretch = s;
        let s = s * input.online_factor.max(1.0);
        let has_nested_quotas = !input.groups.is_empty();
        let ranked = planned.iter().zip(&sized).map(|(i, size)| {
            let job = &jobs[*i];
            let deadline = job.arrival + size.work * s;
            let is_aged = self.is_aged(job);
            RankedJob {
                job: *i,
                is_guaranteed: has_nested_quotas && job.guarantee_levels > 0,
                priority: job.priority,
                goes_first: is_aged || job.is_within_guarantee && job.shape == Shape::Gang,
                deadline: if is_aged {
                    job.arrival
                } else {
                    job.deadline.map_or(deadline, |own| own.min(deadline))
                },
            }
        });
        let mut order: Vec<RankedJob> = ranked.collect();
        order.sort_by(|a, b| {
            (b.is_guaranteed, b.priority, b.goes_first)
                .cmp(&(a.is_guaranteed, a.priority, a.goes_first))
                .then(a.deadline.total_cmp(&b.deadline))
                .then(a.job.cmp(&b.job))
        });
        order
    }

    /// Serves jobs in order. If the hard limit of steps stops a plan and the next one is told where, that one spends
    /// its first half on the head of the order and resumes there with the rest, so that jobs are not starved behind
    /// others whose searches are expensive.
    fn serve(&mut self, order: &[RankedJob], remaining: &mut [u32]) {
        let resume = self.input.resume;
        let mut resume = order
            .iter()
            .position(|ranked| resume == Some(ranked.job as u32));
        let mut reservations_made = false;
        let mut next = 0;
        while let Some(ranked) = order.get(next) {
            // The head of the order has used its half of the steps, or more if its last job took more.
            let resumes = self.is_past_soft_limit() && resume.is_some_and(|at| at >= next);
            if resumes && let Some(at) = resume.take() {
                next = at;
                self.serve_one(&order[next], remaining, &mut reservations_made);
                next += 1;
                continue;
            }
            if self.is_past_hard_limit() {
                self.output.resume = Some(ranked.job as u32);
                break;
            }
            self.serve_one(ranked, remaining, &mut reservations_made);
            next += 1;
        }
        if !reservations_made {
            self.reserve_for_expected_jobs();
        }
    }

    /// Serves a job, after capacity is reserved for expected jobs of higher priority.
    fn serve_one(
        &mut self,
        ranked: &RankedJob,
        remaining: &mut [u32],
        reservations_made: &mut bool,
    ) {
        let reservations = &self.input.reservations;
        if !*reservations_made
            && reservations
                .iter()
                .all(|s| s.template.priority > ranked.priority)
        {
            *reservations_made = true;
            self.reserve_for_expected_jobs();
        }
        match self.input.jobs[ranked.job].shape {
            Shape::Gang => self.serve_gang(ranked.job, remaining),
            _ => self.serve_array(ranked, remaining),
        }
    }

    fn serve_gang(&mut self, i: usize, remaining: &mut [u32]) {
        // Aged gangs were served before.
        if !self.is_aged(&self.input.jobs[i]) {
            self.start_or_wait(i, remaining);
        }
    }

    /// Gives an array the smallest width whose rounds, of one estimate each, end by the deadline. Only the first round
    /// may have to fetch the image.
    fn serve_array(&mut self, ranked: &RankedJob, remaining: &mut [u32]) {
        let i = ranked.job;
        let job = &self.input.jobs[i];
        let time_left =
            ranked.deadline - job.image_gb / self.candidates.slowest_fetch_gb_per_s(job);
        let rounds = (time_left / (job.estimate.max(1.0) * RUN_TIME_SLACK))
            .floor()
            .max(1.0);
        let width = (f64::from(remaining[i]) / rounds).ceil() as u32;
        let started = self.start_tasks(i, width.min(remaining[i]), true);
        remaining[i] -= started;
        if started == 0 && remaining[i] > 0 {
            self.reserve_machine_for_tenant(i);
        }
        if job.priority >= URGENT && remaining[i] > 0 && !self.is_past_soft_limit() {
            self.start_urgent_tasks(i, remaining);
        }
        // Capacity that a nested guarantee covers is due at once, whatever the width: borrowers are preempted for it.
        let has_nested_quotas = !self.input.groups.is_empty();
        let is_reclaim_due =
            has_nested_quotas && job.is_within_guarantee && -job.arrival > self.input.patience;
        if is_reclaim_due && remaining[i] > 0 && !self.is_past_soft_limit() {
            remaining[i] -= self.start_tasks(i, remaining[i], true);
            let want = self.allows(job, remaining[i]);
            if want > 0 {
                self.preempt_for_quota(i, want);
            }
        }
    }

    /// Starts as many urgent tasks as fit, and preempts tasks of lower priority for the rest.
    fn start_urgent_tasks(&mut self, i: usize, remaining: &mut [u32]) {
        remaining[i] -= self.start_tasks(i, remaining[i], true);
        let want = self.allows(&self.input.jobs[i], remaining[i]);
        if want > 0 {
            self.preempt_for_tasks(i, want);
        }
    }

    /// Starts further tasks of arrays where no advance reservation needs the capacity before they are expected to end.
    /// An array that has waited for long may start its first task on capacity reserved for expected jobs.
    fn backfill(&mut self, order: &[RankedJob], remaining: &mut [u32]) {
        for ranked in order {
            let i = ranked.job;
            let is_array = self.input.jobs[i].shape == Shape::Array;
            if is_array && remaining[i] > 0 && !self.is_past_hard_limit() {
                remaining[i] -= self.start_tasks(i, remaining[i], true);
            }
        }
        for ranked in order {
            let i = ranked.job;
            if remaining[i] > 0 && !self.is_past_hard_limit() && self.may_use_reservations(i) {
                remaining[i] -= self.start_from_reservations(i);
            }
        }
    }

    fn report_waiting(&mut self, remaining: &[u32]) {
        for (i, job) in self.input.jobs.iter().enumerate() {
            let n = self.allows(job, remaining[i]);
            if n > 0 && (job.shape != Shape::Gang || n == remaining[i]) {
                self.output.waiting.push((i as u32, n));
            }
        }
    }

    /// Starts all tasks of a gang, or else preempts others or reserves future capacity for it.
    pub(crate) fn start_or_wait(&mut self, i: usize, remaining: &mut [u32]) {
        let want = remaining[i];
        if want == 0 || self.allows(&self.input.jobs[i], want) < want {
            return;
        }
        if self.start_gang(i, want) {
            remaining[i] = 0;
        } else if !self.is_past_soft_limit() && !self.preempt_for_gang(i, want) {
            self.plan_later_start(i, want);
        }
    }
}
