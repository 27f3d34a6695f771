//! Starts of tasks whose user had already been told that the job is cancelled.

/// Once a user is told of the cancellation, nobody may order further starts of the job. Starts ordered before that
/// may still happen, within the time that a cancellation may take.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AfterCancel {
    /// The number of tasks whose image was fetched on a machine, whenever the start was ordered.
    pub started: u64,
    /// The number of start orders sent by nodes.
    pub ordered: u64,
    /// Describes the first of these orders.
    pub first: Option<String>,
}

impl AfterCancel {
    pub fn order(&mut self, now: u64, node: usize, task: &str) {
        self.ordered += 1;
        self.first
            .get_or_insert_with(|| format!("{now}: {node} orders {task}"));
    }

    pub fn failure(&self) -> Option<String> {
        let first = self.first.as_ref()?;
        Some(format!(
            "ordered_cancelled: {} times, {first}",
            self.ordered
        ))
    }
}
