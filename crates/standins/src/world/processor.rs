//! Controllers that are short of processor time: what they handle takes as long as its size and their plans ask for.
//! What comes meanwhile waits, and is served in the order of [`control::overload::precedence`], as the service's event loop does;
//! ticks come in between.

use super::{Ev, Origin, World};
use control::Event;
use control::overload::precedence::{Backlog, Next, Precedence};

/// Whoever asks has given up after this time, and what he sent is not handed over any more.
const GIVEN_UP_MS: u64 = 4000;

/// What a controller's work costs it.
#[derive(Debug, Clone, Copy)]
pub struct Costs {
    /// Microseconds for each request or answer, and for each KiB of its body.
    pub message_us: u64,
    pub kib_us: u64,
    /// Nanoseconds for each step of a plan.
    pub step_ns: u64,
}

impl Costs {
    fn of_event(&self, event: &Event) -> u64 {
        let body = match event {
            Event::Client { request, .. } | Event::Peer { request, .. } => request.body.len(),
            // It is not read.
            Event::Late { .. } => return self.message_us / 2,
            Event::Reply { response, .. } => response.as_ref().map_or(0, |r| r.body.len()),
            _ => return 0,
        };
        self.message_us + self.kib_us * body as u64 / 1024
    }

    fn of_steps(&self, steps: u64) -> u64 {
        self.step_ns * steps / 1000
    }
}

/// A controller's processor, and what waits for it.
#[derive(Default)]
pub(super) struct Processor {
    busy_until_us: u64,
    /// With the time at which each came.
    waiting: Backlog<(u64, Ev)>,
    tick: Option<Ev>,
    /// It will look at what waits.
    looks: bool,
}

impl Processor {
    fn is_idle(&self, now: u64) -> bool {
        !self.looks && self.busy_until_us / 1000 <= now
    }
}

fn precedence(ev: &Ev) -> Precedence {
    match ev {
        Ev::Request(_, _, _, true) => Precedence::Peer,
        Ev::Request(_, _, request, false) => Precedence::of_client(request),
        _ => Precedence::Own,
    }
}

impl World {
    /// All controllers are as slow as this from now on.
    pub fn processors_cost(&mut self, costs: Costs) {
        self.costs = Some(costs);
    }

    /// Microseconds that a controller needs to handle an event, but for its plans.
    pub(super) fn event_cost(&self, event: &Event) -> u64 {
        self.costs.map_or(0, |costs| costs.of_event(event))
    }

    /// A controller has handled something, with a plan of so many steps.
    pub(super) fn handled(&mut self, n: usize, event_us: u64, steps: u64) {
        let Some(costs) = self.costs else { return };
        let processor = &mut self.hosts[n].processor;
        let from = processor.busy_until_us.max(self.now * 1000);
        processor.busy_until_us = from + event_us + costs.of_steps(steps);
    }

    /// Puts an event off if the controller that it concerns is busy; returns it if not.
    pub(super) fn put_off(&mut self, ev: Ev) -> Option<Ev> {
        let n = match &ev {
            Ev::Tick(n, _) | Ev::Reply(n, ..) | Ev::Request(n, ..) if self.costs.is_some() => *n,
            _ => return Some(ev),
        };
        let processor = &mut self.hosts[n].processor;
        if processor.is_idle(self.now) {
            return Some(ev);
        }
        match ev {
            Ev::Tick(..) => processor.tick = Some(ev),
            _ => {
                let precedence = precedence(&ev);
                processor.waiting.push(self.now, precedence, (self.now, ev));
            }
        }
        self.look_later(n);
        None
    }

    fn look_later(&mut self, n: usize) {
        let processor = &mut self.hosts[n].processor;
        if !processor.looks {
            processor.looks = true;
            let at = (processor.busy_until_us / 1000).max(self.now);
            self.at(at, Ev::Free(n));
        }
    }

    /// A controller has time for the next event.
    pub(super) fn free(&mut self, n: usize) {
        self.hosts[n].processor.looks = false;
        while self.hosts[n].processor.busy_until_us / 1000 <= self.now {
            let processor = &mut self.hosts[n].processor;
            if let Some(tick) = processor.tick.take() {
                self.step(tick);
                continue;
            }
            match processor.waiting.pop(self.now) {
                Some(Next::Serve((came, Ev::Request(_, origin, ..))))
                    if came + GIVEN_UP_MS < self.now =>
                {
                    self.step(Ev::Answer(origin, None));
                }
                Some(Next::Serve((_, ev))) => self.step(ev),
                Some(Next::Refuse((_, ev))) => self.refuse_late(n, ev),
                None => return,
            }
        }
        self.look_later(n);
    }

    fn refuse_late(&mut self, n: usize, ev: Ev) {
        let Ev::Request(_, origin, ..) = ev else {
            return self.step(ev);
        };
        let conn = self.next_conn;
        self.next_conn += 1;
        self.conns.insert(conn, origin);
        self.feed(n, Event::Late { conn });
    }

    /// A process ends with all that waits for it: whoever asked hears that the connection is gone.
    pub(super) fn drop_waiting(&mut self, n: usize) {
        let mut processor = std::mem::take(&mut self.hosts[n].processor);
        let asked: Vec<Origin> = processor
            .waiting
            .drain()
            .filter_map(|(_, ev)| match ev {
                Ev::Request(_, origin, ..) => Some(origin),
                _ => None,
            })
            .collect();
        for origin in asked {
            self.at(self.now + 1, Ev::Answer(origin, None));
        }
    }
}
