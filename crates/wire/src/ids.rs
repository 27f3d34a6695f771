//! Ids of jobs and names of tasks on the wire. Inside a controller they become dense indices.

/// What every job id begins with.
const JOB_PREFIX: &str = "job-";
/// Most digits of a job id.
const MAX_DIGITS: usize = 18;

/// Job ids look like `job-000412`. No other id is ever accepted.
pub fn valid_job_id(id: &str) -> bool {
    id.strip_prefix(JOB_PREFIX).is_some_and(|n| {
        (1..=MAX_DIGITS).contains(&n.len()) && n.bytes().all(|b| b.is_ascii_digit())
    })
}

/// Ids of this range (18 digits, the first a 9) are reserved for other front ends than the users' interface, where one is
/// enabled, so that no user's job takes an id that they need.
pub fn reserved_job_id(id: &str) -> bool {
    id.strip_prefix(JOB_PREFIX)
        .is_some_and(|n| n.len() == MAX_DIGITS && n.starts_with('9'))
}

/// `job-000412`, 3 → `job-000412/3`.
pub fn task_name(job: &str, task: u32) -> String {
    format!("{job}/{task}")
}

/// The reverse of [`task_name`]; `None` for anything that it cannot have made.
pub fn parse_task(name: &str) -> Option<(&str, u32)> {
    let (job, number) = name.rsplit_once('/')?;
    let canonical = number == "0" || !number.starts_with('0');
    if !valid_job_id(job) || !canonical || !number.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    Some((job, number.parse().ok()?))
}
