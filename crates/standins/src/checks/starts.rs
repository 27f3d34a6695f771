//! Starts of tasks whose user had been told before that the job is cancelled.

/// Nobody may order them from then on; what was ordered before may still come, within the time that a cancel may take.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AfterCancel {
    /// Tasks that got their image on a machine, whenever that was ordered.
    pub started: u64,
    /// Orders that a node gave.
    pub ordered: u64,
    /// The first of these.
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
