//! Job ids and task names in messages and records. Inside a controller they are replaced by dense indices.

/// The prefix of every job id.
const JOB_PREFIX: &str = "job-";
/// Maximum number of digits in a job id.
const MAX_DIGITS: usize = 18;

/// Whether an id has the form of a job id, such as `job-000412`. No other id is accepted.
pub fn valid_job_id(id: &str) -> bool {
    id.strip_prefix(JOB_PREFIX).is_some_and(|n| {
        (1..=MAX_DIGITS).contains(&n.len()) && n.bytes().all(|b| b.is_ascii_digit())
    })
}

/// Whether an id is in the range (18 digits, the first a 9) that is reserved for front ends other than the users'
/// interface, if one is enabled, so that no user's job takes an id that they need.
pub fn reserved_job_id(id: &str) -> bool {
    id.strip_prefix(JOB_PREFIX)
        .is_some_and(|n| n.len() == MAX_DIGITS && n.starts_with('9'))
}

/// The name of a task: `job-000412`, 3 → `job-000412/3`.
pub fn task_name(job: &str, task: u32) -> String {
    format!("{job}/{task}")
}

/// The inverse of [`task_name`]; `None` for text that [`task_name`] can't have produced.
pub fn parse_task(name: &str) -> Option<(&str, u32)> {
    let (job, number) = name.rsplit_once('/')?;
    let canonical = number == "0" || !number.starts_with('0');
    if !valid_job_id(job) || !canonical || !number.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    Some((job, number.parse().ok()?))
}
