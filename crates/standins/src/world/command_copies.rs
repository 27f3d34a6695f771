//! Commands that reach a machine again after they were carried out, minutes later, in any order among each other.
//! Nobody waits for the answers to the copies.

use super::{Origin, SimEvent, World};
use crate::days::{COMMAND_COPY_MS, MAX_COMMAND_COPIES};
use wire::api::{Order, Orders};
use wire::http::Request;
use wire::peer::{self, PeerRequest};

/// A command as it reached a machine.
#[derive(Debug, Clone, PartialEq)]
pub struct SentCommand {
    pub at: u64,
    pub machine: String,
    pub orders: Orders,
}

impl SentCommand {
    /// Whether the command starts a task of this job.
    pub fn starts(&self, job: &str) -> bool {
        self.orders.orders.iter().any(|order| {
            let Order::Start { task, .. } = order else {
                return false;
            };
            wire::ids::parse_task(task).is_some_and(|(id, _)| id == job)
        })
    }
}

#[derive(Default)]
pub(super) struct CommandCopies {
    /// The share of commands that is copied, and until when.
    share_until: (f64, u64),
    /// All commands since a test asked to record them.
    recorded: Option<Vec<SentCommand>>,
}

fn contains_start(body: &[u8]) -> bool {
    let orders = wire::decode::<Orders>(body).map_or(Vec::new(), |message| message.orders);
    orders.iter().any(|o| matches!(o, Order::Start { .. }))
}

impl World {
    /// From now on, a share of the commands is delivered again later.
    pub(super) fn copy_commands(&mut self, share: f64, for_ms: u64) {
        self.command_copies.share_until = (share, self.now + for_ms);
    }

    /// Records all commands that reach machines from now on.
    pub fn record_commands(&mut self) {
        self.command_copies.recorded.get_or_insert_default();
    }

    pub fn commands(&self) -> &[SentCommand] {
        self.command_copies.recorded.as_deref().unwrap_or_default()
    }

    /// Delivers a recorded command to its machine again. Returns the worker's status, or `None` without a machine.
    pub fn repeat_command(&mut self, command: &SentCommand) -> Option<u16> {
        self.repeat_body(&command.machine, &wire::encode(&command.orders))
    }

    /// Called for each command that reaches a machine: draws its copies.
    pub(super) fn note_command(&mut self, machine: &str, body: &[u8]) {
        if let Some(recorded) = &mut self.command_copies.recorded
            && let Ok(orders) = wire::decode(body)
        {
            recorded.push(SentCommand {
                at: self.now,
                machine: machine.to_owned(),
                orders,
            });
        }
        for at in self.draw_copy_times() {
            self.schedule(at, SimEvent::CommandCopy(machine.to_owned(), body.to_vec()));
        }
    }

    /// Called for each request from one node to another: draws copies of commands that are to be relayed.
    pub(super) fn maybe_copy_relayed_command(&mut self, relay: usize, request: &Request) {
        if self.now >= self.command_copies.share_until.1
            || !matches!(peer::decode(&request.body), Ok(PeerRequest::Command { .. }))
        {
            return;
        }
        for at in self.draw_copy_times() {
            self.schedule(
                at,
                SimEvent::Request(relay, Origin::Duplicate, request.clone(), true),
            );
        }
    }

    /// When copies of a command that arrives now are delivered. Short and long delays are equally likely in proportion.
    fn draw_copy_times(&mut self) -> Vec<u64> {
        if !self.faults.draw(self.command_copies.share_until, self.now) {
            return Vec::new();
        }
        let (least, most) = (COMMAND_COPY_MS.start as f64, COMMAND_COPY_MS.end as f64);
        let now = self.now;
        let copies = self.faults.rng.usize(1..=MAX_COMMAND_COPIES);
        let rng = &mut self.faults.rng;
        let mut delay_ms = || (least * (most / least).powf(rng.f64())) as u64;
        (0..copies).map(|_| now + delay_ms()).collect()
    }

    /// A copy of a command arrives. A machine that hangs receives it when it resumes.
    pub(super) fn deliver_command_copy(&mut self, machine: String, body: Vec<u8>) {
        let Some(worker) = self.workers.get(&machine) else {
            return;
        };
        if worker.hung_until > self.now {
            let until = worker.hung_until;
            return self.schedule(until, SimEvent::CommandCopy(machine, body));
        }
        if !self.misses_command(&machine) {
            self.repeat_body(&machine, &body);
        }
    }

    fn repeat_body(&mut self, machine: &str, body: &[u8]) -> Option<u16> {
        let (status, _) = self.request_worker(machine, "/commands", body)?;
        self.hits.command_copies += 1;
        self.hits.start_copies += u64::from(status == 200 && contains_start(body));
        Some(status)
    }
}
