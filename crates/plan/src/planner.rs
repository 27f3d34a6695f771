//! One pass of `MoldableEDF`: by rising deadline, each job takes the narrowest width that meets its deadline, moving
//! nothing that is placed already.

use crate::state::PlanState;
use crate::{Input, Output, RUN_TIME_SLACK, Secs, Shape, URGENT, job_sizes, stretch};

/// A job in the order in which jobs are served.
struct RankedJob {
    job: usize,
    /// Held by a nested guarantee.
    is_guaranteed: bool,
    priority: u8,
    /// Old, or a gang within its guarantee.
    goes_first: bool,
    deadline: Secs,
}

/// Makes a plan for this moment.
pub fn plan(input: &Input) -> Output {
    let mut state = PlanState::new(input);
    state.run();
    state.output
}

impl PlanState<'_> {
    fn run(&mut self) {
        self.enforce_limits();
        let mut left: Vec<u32> = self.input.jobs.iter().map(|j| j.pending).collect();
        self.start_services(&mut left);
        let order = self.rank(&left);
        self.serve_aged(&mut left);
        self.serve(&order, &mut left);
        self.backfill(&order, &mut left);
        self.report_waiting(&left);
    }

    /// Services go at once, outside the plan; their room is busy for everybody else.
    fn start_services(&mut self, left: &mut [u32]) {
        for (i, job) in self.input.jobs.iter().enumerate() {
            if job.shape != Shape::Service {
                continue;
            }
            left[i] -= self.start_tasks(i, left[i], false);
            if left[i] > 0 {
                self.reserve_machine_for_tenant(i);
            }
        }
    }

    /// All that is planned, in the order in which it is served.
    ///
    /// Urgency comes before the deadline: between jobs of one urgency the paper's order decides. A gang that can still
    /// have what its team is guaranteed goes first among them; room made for it by stopping others would be theirs
    /// again otherwise. Where quotas nest, what a guarantee holds comes before what is borrowed, whose places it would
    /// call back. What is old goes before the younger of its urgency, the longest wait first.
    fn rank(&mut self, left: &[u32]) -> Vec<RankedJob> {
        let input = self.input;
        let jobs = &input.jobs;
        let planned: Vec<usize> = (0..jobs.len())
            .filter(|i| left[*i] > 0 && jobs[*i].shape != Shape::Service)
            .filter(|i| jobs[*i].priority >= input.least_priority)
            .collect();
        let capacity = job_sizes::FleetCapacity::of(&input.machines);
        let sized: Vec<stretch::SizedJob> =
            planned.iter().map(|i| capacity.size(&jobs[*i])).collect();
        let s = stretch::smallest_stretch(&sized, &mut self.output.steps);
        self.output.stretch = s;
        let s = s * input.online_factor.max(1.0);
        let nested = !input.groups.is_empty();
        let ranked = planned.iter().zip(&sized).map(|(i, size)| {
            let job = &jobs[*i];
            let deadline = job.arrival + size.work * s;
            let is_aged = self.is_aged(job);
            RankedJob {
                job: *i,
                is_guaranteed: nested && job.held > 0,
                priority: job.priority,
                goes_first: is_aged || job.promised && job.shape == Shape::Gang,
                deadline: if is_aged {
                    job.arrival
                } else {
                    job.due.map_or(deadline, |own| own.min(deadline))
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

    /// Serves jobs in their order. Where the bound stops a plan, the next one gives its first half to the head of the
    /// order and goes on where this one stopped, so that nobody waits for ever behind jobs that cost much.
    fn serve(&mut self, order: &[RankedJob], left: &mut [u32]) {
        let resume = self.input.resume;
        let mut resume = order
            .iter()
            .position(|ranked| resume == Some(ranked.job as u32));
        let mut reservations_made = false;
        let mut next = 0;
        while let Some(ranked) = order.get(next) {
            // The head has had its half, or more if one job of it took more.
            let resumes = self.is_past_soft_limit() && resume.is_some_and(|at| at >= next);
            if resumes && let Some(at) = resume.take() {
                next = at;
                self.serve_one(&order[next], left, &mut reservations_made);
                next += 1;
                continue;
            }
            if self.is_past_hard_limit() {
                self.output.resume = Some(ranked.job as u32);
                break;
            }
            self.serve_one(ranked, left, &mut reservations_made);
            next += 1;
        }
        if !reservations_made {
            self.keep_reservations();
        }
    }

    /// Serves a job, once room is kept for what is expected and more urgent.
    fn serve_one(&mut self, ranked: &RankedJob, left: &mut [u32], reservations_made: &mut bool) {
        let reservations = &self.input.reservations;
        if !*reservations_made
            && reservations
                .iter()
                .all(|s| s.like.priority > ranked.priority)
        {
            *reservations_made = true;
            self.keep_reservations();
        }
        match self.input.jobs[ranked.job].shape {
            Shape::Gang => self.serve_gang(ranked.job, left),
            _ => self.serve_array(ranked, left),
        }
    }

    fn serve_gang(&mut self, i: usize, left: &mut [u32]) {
        // What is old has had its turn.
        if !self.is_aged(&self.input.jobs[i]) {
            self.start_or_wait(i, left);
        }
    }

    /// Gives an array the narrowest width whose rounds, of one estimate each, end by the deadline. Most rounds start
    /// with the image there; the first may have to fetch it.
    fn serve_array(&mut self, ranked: &RankedJob, left: &mut [u32]) {
        let i = ranked.job;
        let job = &self.input.jobs[i];
        let time = ranked.deadline - job.image_gb / self.candidates.slowest_fetch_gb_per_s(job);
        let rounds = (time / (job.estimate.max(1.0) * RUN_TIME_SLACK))
            .floor()
            .max(1.0);
        let width = (f64::from(left[i]) / rounds).ceil() as u32;
        let started = self.start_tasks(i, width.min(left[i]), true);
        left[i] -= started;
        if started == 0 && left[i] > 0 {
            self.reserve_machine_for_tenant(i);
        }
        if job.priority >= URGENT && left[i] > 0 && !self.is_past_soft_limit() {
            self.start_urgent_tasks(i, left);
        }
        // What a nested guarantee holds is due at once, whatever the width; others give it back.
        let nested = !self.input.groups.is_empty();
        let is_reclaim_due = nested && job.promised && -job.arrival > self.input.patience;
        if is_reclaim_due && left[i] > 0 && !self.is_past_soft_limit() {
            left[i] -= self.start_tasks(i, left[i], true);
            let want = self.allows(job, left[i]);
            if want > 0 {
                self.preempt_for_quota(i, want);
            }
        }
    }

    /// Urgent tasks take all room there is, and what is less urgent is stopped for the rest.
    fn start_urgent_tasks(&mut self, i: usize, left: &mut [u32]) {
        left[i] -= self.start_tasks(i, left[i], true);
        let want = self.allows(&self.input.jobs[i], left[i]);
        if want > 0 {
            self.preempt_for_tasks(i, want);
        }
    }

    /// Arrays also fill room that no planned job needs within one task estimate, and a first task of those that have
    /// waited for long goes where room is kept.
    fn backfill(&mut self, order: &[RankedJob], left: &mut [u32]) {
        for ranked in order {
            let i = ranked.job;
            let is_array = self.input.jobs[i].shape == Shape::Array;
            if is_array && left[i] > 0 && !self.is_past_hard_limit() {
                left[i] -= self.start_tasks(i, left[i], true);
            }
        }
        for ranked in order {
            let i = ranked.job;
            if left[i] > 0 && !self.is_past_hard_limit() && self.may_use_reservations(i) {
                left[i] -= self.start_from_reservations(i);
            }
        }
    }

    fn report_waiting(&mut self, left: &[u32]) {
        for (i, job) in self.input.jobs.iter().enumerate() {
            let n = self.allows(job, left[i]);
            if n > 0 && (job.shape != Shape::Gang || n == left[i]) {
                self.output.waiting.push((i as u32, n));
            }
        }
    }

    /// Starts a gang whole, or sees to the room that it waits for.
    pub(crate) fn start_or_wait(&mut self, i: usize, left: &mut [u32]) {
        let want = left[i];
        if want == 0 || self.allows(&self.input.jobs[i], want) < want {
            return;
        }
        if self.start_gang(i, want) {
            left[i] = 0;
        } else if !self.is_past_soft_limit() && !self.preempt_for_gang(i, want) {
            self.plan_later_start(i, want);
        }
    }
}
