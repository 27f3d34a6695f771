//! Names as they stand on the wire. Inside a controller they become dense indices.

/// What every job id begins with.
const JOB_PREFIX: &str = "job-";
/// Most digits of a job id.
const MAX_DIGITS: usize = 18;

/// Job ids look like `job-000412`. Anything else was never accepted by us.
pub fn valid_job_id(id: &str) -> bool {
    id.strip_prefix(JOB_PREFIX).is_some_and(|n| {
        (1..=MAX_DIGITS).contains(&n.len()) && n.bytes().all(|b| b.is_ascii_digit())
    })
}

/// Ids of this range (18 digits, the first a 9) belong to doors beside the users' own, where one is open: nobody else's
/// job can then stand in the way of theirs.
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
