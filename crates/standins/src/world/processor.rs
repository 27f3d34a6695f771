//! Simulates controllers that are short of processor time: handling an event takes time in proportion to its size and
//! to the planning steps that it causes. Events that arrive meanwhile are queued and served in the order of
//! [`control::overload::precedence`], like in the service's event loop; ticks are handled in between.

use super::{Origin, SimEvent, World};
use control::Event;
use control::overload::precedence::{Backlog, Next, Precedence};

/// Clients stop waiting after this time; their queued requests are dropped.
const CLIENT_TIMEOUT_MS: u64 = 4000;

/// Processor time that a controller's work takes.
#[derive(Debug, Clone, Copy)]
pub struct Costs {
    /// Microseconds for each request or response, and for each KiB of its body.
    pub message_us: u64,
    pub kib_us: u64,
    /// Nanoseconds for each planning step.
    pub step_ns: u64,
}

impl Costs {
    fn of_event(&self, event: &Event) -> u64 {
        let body = match event {
            Event::Client { request, .. } | Event::Peer { request, .. } => request.body.len(),
            // The request is refused without reading its body.
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

/// A controller's processor and its queue of events.
#[derive(Default)]
pub(super) struct Processor {
    busy_until_us: u64,
    /// Queued events with their arrival times.
    waiting: Backlog<(u64, SimEvent)>,
    tick: Option<SimEvent>,
    /// Whether an event is scheduled at which the processor looks at its queue.
    wakeup_scheduled: bool,
}

impl Processor {
    fn is_idle(&self, now: u64) -> bool {
        !self.wakeup_scheduled && self.busy_until_us / 1000 <= now
    }
}

fn precedence(event: &SimEvent) -> Precedence {
    match event {
        SimEvent::Request(_, _, _, true) => Precedence::Peer,
        SimEvent::Request(_, _, request, false) => Precedence::of_client(request),
        _ => Precedence::Own,
    }
}

impl World {
    /// Simulates processor costs on all controllers from now on.
    pub fn processors_cost(&mut self, costs: Costs) {
        self.costs = Some(costs);
    }

    /// Microseconds that a controller needs to handle an event, without its planning steps.
    pub(super) fn event_cost(&self, event: &Event) -> u64 {
        self.costs.map_or(0, |costs| costs.of_event(event))
    }

    /// Accounts for the processor time of a handled event and its planning steps.
    pub(super) fn charge_processor(&mut self, n: usize, event_us: u64, steps: u64) {
        let Some(costs) = self.costs else { return };
        let processor = &mut self.hosts[n].processor;
        let from = processor.busy_until_us.max(self.now * 1000);
        processor.busy_until_us = from + event_us + costs.of_steps(steps);
    }

    /// Queues an event if the controller that it concerns is busy; otherwise returns it.
    pub(super) fn defer(&mut self, event: SimEvent) -> Option<SimEvent> {
        let n = match &event {
            SimEvent::Tick(n, _) | SimEvent::Reply(n, ..) | SimEvent::Request(n, ..)
                if self.costs.is_some() =>
            {
                *n
            }
            _ => return Some(event),
        };
        let processor = &mut self.hosts[n].processor;
        if processor.is_idle(self.now) {
            return Some(event);
        }
        match event {
            SimEvent::Tick(..) => processor.tick = Some(event),
            _ => {
                let precedence = precedence(&event);
                processor
                    .waiting
                    .push(self.now, precedence, (self.now, event));
            }
        }
        self.schedule_wakeup(n);
        None
    }

    fn schedule_wakeup(&mut self, n: usize) {
        let processor = &mut self.hosts[n].processor;
        if !processor.wakeup_scheduled {
            processor.wakeup_scheduled = true;
            let at = (processor.busy_until_us / 1000).max(self.now);
            self.schedule(at, SimEvent::ProcessorFree(n));
        }
    }

    /// A controller's processor is free for the next event.
    pub(super) fn processor_free(&mut self, n: usize) {
        self.hosts[n].processor.wakeup_scheduled = false;
        while self.hosts[n].processor.busy_until_us / 1000 <= self.now {
            let processor = &mut self.hosts[n].processor;
            if let Some(tick) = processor.tick.take() {
                self.step(tick);
                continue;
            }
            match processor.waiting.pop(self.now) {
                Some(Next::Serve((came, SimEvent::Request(_, origin, ..))))
                    if came + CLIENT_TIMEOUT_MS < self.now =>
                {
                    self.step(SimEvent::Answer(origin, None));
                }
                Some(Next::Serve((_, event))) => self.step(event),
                Some(Next::Refuse((_, event))) => self.refuse_late(n, event),
                None => return,
            }
        }
        self.schedule_wakeup(n);
    }

    fn refuse_late(&mut self, n: usize, event: SimEvent) {
        let SimEvent::Request(_, origin, ..) = event else {
            return self.step(event);
        };
        let conn = self.next_conn;
        self.next_conn += 1;
        self.conns.insert(conn, origin);
        self.deliver(n, Event::Late { conn });
    }

    /// A process ends together with its queue: the senders of queued requests see their connections close.
    pub(super) fn drop_waiting(&mut self, n: usize) {
        let mut processor = std::mem::take(&mut self.hosts[n].processor);
        let asked: Vec<Origin> = processor
            .waiting
            .drain()
            .filter_map(|(_, event)| match event {
                SimEvent::Request(_, origin, ..) => Some(origin),
                _ => None,
            })
            .collect();
        for origin in asked {
            self.schedule(self.now + 1, SimEvent::Answer(origin, None));
        }
    }
}
