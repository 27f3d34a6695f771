//! Drains: queues, or the whole service, that take no new applications, and machines that get no further containers.
//! Recorded before anybody is told, so they survive the node that was asked.

use super::{Book, Key, Told, Waiter};
use crate::Cx;
use crate::queues::{Queue, ROOT};
use crate::records::{self, Drain, DrainRecord};
use std::collections::BTreeMap;
use yarn::error::{Class, Fault};

/// Queues, and machines, that can be drained at once.
const MOST: usize = 200;

/// Begins or ends one of several drains; one that stands keeps its begin.
fn change(
    drains: &mut BTreeMap<String, Drain>,
    what: &str,
    name: String,
    drain: Option<Drain>,
) -> Result<(), Fault> {
    match drain {
        Some(drain) if drains.len() < MOST => {
            let since_ms = drains.get(&name).map_or(drain.since_ms, |d| d.since_ms);
            drains.insert(name, Drain { since_ms, ..drain });
        }
        Some(_) => {
            return Err(Fault::new(
                Class::Yarn,
                format!("{MOST} {what} are drained already"),
            ));
        }
        None => {
            drains.remove(&name);
        }
    }
    Ok(())
}

impl Book {
    /// Begins or ends a drain.
    pub(super) fn set_drain(
        &mut self,
        cx: Cx<'_>,
        user: &str,
        name: &str,
        drain: Option<Drain>,
        waiter: Waiter,
    ) -> Result<(), Fault> {
        let queue = self.queue(name)?;
        if !self.queues.may_administer(cx.config, queue, user) {
            let why = format!("User {user} cannot administer queue {}", queue.path);
            return Err(Fault::new(Class::AccessDenied, why));
        }
        let path = queue.path.clone();
        let mut drains = self.drain.clone();
        let begins = drain.is_some();
        change(&mut drains.queues, "queues", path, drain)?;
        self.take_drains(cx, drains, begins)?;
        self.drain_waiters.push(waiter);
        self.store.touch(Key::Drain);
        Ok(())
    }

    /// Ends of drains make the record smaller; begins need room in it.
    fn take_drains(&mut self, cx: Cx<'_>, drains: DrainRecord, begins: bool) -> Result<(), Fault> {
        if begins {
            super::fitting::check_drains(&drains, cx.node.write_limits())?;
        }
        self.drain = drains;
        Ok(())
    }

    /// Begins or ends the drain of a machine. It needs not be up: it may come back.
    pub(super) fn set_machine_drain(
        &mut self,
        cx: Cx<'_>,
        user: &str,
        name: &str,
        drain: Option<Drain>,
        waiter: Waiter,
    ) -> Result<(), Fault> {
        if !cx.config.admins.contains(user) {
            return Err(Fault::new(
                Class::AccessDenied,
                format!("User {user} cannot drain machines"),
            ));
        }
        if name.is_empty() || name.len() > records::TAG {
            return Err(Fault::new(
                Class::BadArgument,
                format!("machine: must be 1 to {} bytes", records::TAG),
            ));
        }
        let mut drains = self.drain.clone();
        let begins = drain.is_some();
        change(&mut drains.machines, "machines", name.to_owned(), drain)?;
        self.take_drains(cx, drains, begins)?;
        self.drain_waiters.push(waiter);
        self.store.touch(Key::Drain);
        Ok(())
    }

    /// A machine gets no containers; after the drain's deadline those that run there are ended.
    pub(super) fn machine_drain(&self, cx: Cx<'_>, machine: &str) -> Option<bool> {
        let drain = self.drain.machines.get(machine)?;
        Some(drain.until_ms.is_some_and(|t| cx.now.wall >= t))
    }

    pub(super) fn drain_saved(&mut self, rec: DrainRecord) {
        self.drained = rec;
        for waiter in std::mem::take(&mut self.drain_waiters) {
            debug_assert_eq!(waiter.told, Told::Drained);
            self.tell_drains(waiter);
        }
    }

    /// The drain that a queue stands under, with where it was asked for.
    pub(super) fn drain_of<'a>(&'a self, queue: &'a Queue) -> Option<(&'a str, &'a Drain)> {
        self.queues
            .above(queue)
            .find_map(|q| Some((q.path.as_str(), self.drain.queues.get(&q.path)?)))
    }

    pub(super) fn not_drained(&self, queue: &Queue) -> Result<(), Fault> {
        match self.drain_of(queue) {
            None => Ok(()),
            // Clients with several addresses go on to the next.
            Some((ROOT, _)) => Err(Fault::new(
                Class::Standby,
                "the service takes no new applications: it is being drained",
            )),
            Some((path, _)) => {
                let why = format!(
                    "Queue {path} is DRAINING. Cannot accept submission of an application to {}",
                    queue.path
                );
                Err(Fault::new(Class::Yarn, why))
            }
        }
    }

    /// No further containers are given to applications of this queue.
    pub(super) fn holds_containers(&self, queue: &str) -> bool {
        let found = self.queues.find(queue).and_then(|q| self.drain_of(q));
        found.is_some_and(|(_, drain)| drain.containers)
    }

    /// The deadline of the drain that a queue stands under has passed, and the record says so.
    pub(super) fn drained_away(&self, cx: Cx<'_>, queue: &str) -> bool {
        let Some(queue) = self.queues.find(queue) else {
            return false;
        };
        let past = |q: &Queue| {
            self.drained
                .queues
                .get(&q.path)
                .and_then(|d| d.until_ms)
                .is_some_and(|t| cx.now.wall >= t)
        };
        self.queues.above(queue).any(past)
    }

    /// Has the applications of queues looked at whose deadline has just passed.
    pub(super) fn drains_tick(&mut self, cx: Cx<'_>) {
        let passed = self
            .drained
            .queues
            .values()
            .filter_map(|d| d.until_ms)
            .any(|t| cx.now.wall >= t && t > self.deadlines_at);
        if !passed {
            return;
        }
        self.deadlines_at = cx.now.wall;
        let ids: Vec<u32> = self
            .apps
            .iter()
            .filter(|(_, a)| !a.rec.stage.is_final())
            .map(|(id, _)| *id)
            .collect();
        ids.into_iter()
            .for_each(|id| self.schedule(id, cx.now.mono));
    }
}
