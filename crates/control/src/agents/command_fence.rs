//! Which earlier commands a worker would still carry out.
//!
//! An answer shows that a command was carried out, not that no copy of it arrives later. A worker that has forgotten an
//! attempt starts it again when a copy of its start arrives, so whatever makes the copy harmless is given up only once the
//! worker refuses it: [`CommandStamp::is_refused_by`] is the one place that says so. Time that has passed proves nothing.

use crate::leadership::token_range::TokenRange;

/// The fencing token and the agent epoch of a command, or those that a worker has seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub(crate) struct CommandStamp {
    pub token: u64,
    pub agent_epoch: u64,
}

impl CommandStamp {
    /// Whether a worker that has seen this token, in this agent epoch, refuses the command whenever it arrives.
    pub fn is_refused_by(self, worker: CommandStamp) -> bool {
        worker.token > self.token || worker.agent_epoch > self.agent_epoch
    }
}

/// What one worker may still carry out of the commands that this leader sent it, and the token that its messages carry.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct CommandFence {
    /// Token of the latest message to the worker.
    token: u64,
    /// What the worker's newest message shows.
    worker: CommandStamp,
    /// The newest message with a start, unless the worker refuses copies of it.
    last_start: Option<CommandStamp>,
    /// A command without an answer, unless the worker refuses it by now.
    unanswered: Option<CommandStamp>,
    /// Something waits until the worker has seen a higher token.
    is_higher_token_due: bool,
}

impl CommandFence {
    /// The token of the next message to the worker.
    pub fn token(&self, range: TokenRange) -> u64 {
        self.token.max(range.first())
    }

    /// Raises the token of later messages. Returns false if the range is used up.
    pub fn raise_token(&mut self, range: TokenRange) -> bool {
        let token = self.token(range);
        if token >= range.last() {
            return false;
        }
        self.token = token + 1;
        self.is_higher_token_due = false;
        true
    }

    /// Asks for a higher token in the next message that may carry one.
    pub fn request_higher_token(&mut self) {
        self.is_higher_token_due = true;
    }

    pub fn is_higher_token_due(&self) -> bool {
        self.is_higher_token_due
    }

    /// Notes what a message of the worker shows. Returns true if a command without an answer is refused by now.
    pub fn note_worker(&mut self, worker: CommandStamp, range: TokenRange) -> bool {
        self.worker = worker;
        // A token outside the range is another leader's.
        if range.contains(worker.token) {
            self.token = self.token.max(worker.token);
        }
        self.last_start = self.last_start.filter(|start| !self.refuses(*start));
        let had_unanswered = self.unanswered.is_some();
        self.unanswered = self.unanswered.filter(|command| !self.refuses(*command));
        had_unanswered && self.unanswered.is_none()
    }

    /// Whether the worker refuses a command with this stamp, according to its newest message.
    pub fn refuses(&self, stamp: CommandStamp) -> bool {
        stamp.is_refused_by(self.worker)
    }

    /// Notes that a message with a start was sent.
    pub fn note_start(&mut self, stamp: CommandStamp) {
        self.last_start = self.last_start.max(Some(stamp));
    }

    /// Notes that a command got no answer.
    pub fn note_unanswered(&mut self, stamp: CommandStamp) {
        self.unanswered = Some(stamp);
        self.is_higher_token_due = true;
    }

    /// Whether a command without an answer may still be carried out.
    pub fn has_unanswered(&self) -> bool {
        self.unanswered.is_some()
    }

    /// Whether the worker may forget exited attempts on a message with this stamp: a worker that carries it out refuses
    /// copies of all starts from then on.
    pub fn allows_reaping(&self, message: CommandStamp) -> bool {
        self.last_start
            .is_none_or(|start| start.is_refused_by(message))
    }
}
