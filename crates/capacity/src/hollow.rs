//! A process of hollow workers: they report, hold leases, take commands and run tasks by the clock, as the protocol
//! says, and do nothing else. Each has an address, connections and images of its own.

mod host;

use crate::clock::{self, Millis};
use crate::cluster;
use crate::messages::{Controller, Counts, FromWorkers, TaskChange, ToWorkers, write_line};
use crate::network::{Network, Place};
use crate::size::{Sabotage, Size};
use crate::timers::Timers;
use crate::workload::Workload;
use host::{Host, Known};
use net::{ConnId, Door, Net, Outgoing};
use std::collections::HashMap;
use std::io::{self, BufRead, BufWriter, Stdout, Write};
use std::net::SocketAddr;
use std::sync::mpsc::{self, Receiver, TryRecvError};
use std::time::Duration;
use wire::api::{Orders, Redirect};
use wire::http::{Request, Response};

/// A report that is not answered by then is not answered.
const ANSWER_MS: u64 = 4000;
/// After such a report the next node is tried.
const RETRY_MS: u64 = 1000;
/// A worker that is sent to another node reports there within this time.
const REDIRECT_MS: u64 = 500;
const COUNTS_EVERY_MS: u64 = 500;
const LONGEST_WAIT_MS: u64 = 50;
/// Sockets of the process: its share of the files it may have.
const SOCKETS: usize = 4000;
const ANSWER_LIMIT: usize = wire::api::BODY_LIMIT;

/// Something that happens at a worker at a time.
enum Action {
    Wake(usize),
    Serve {
        host: usize,
        conn: ConnId,
        request: Request,
    },
    Answer {
        host: usize,
        number: u64,
        sent: Millis,
        response: Option<Response>,
    },
    TellCounts,
}

/// A report that is under way.
struct Sent {
    host: usize,
    number: u64,
    at: Millis,
}

struct Process {
    net: Net,
    size: Size,
    known: Known,
    controllers: Vec<(String, SocketAddr, Place)>,
    network: Network,
    hosts: Vec<Host>,
    by_machine: HashMap<String, usize>,
    timers: Timers<Action>,
    sent: HashMap<u64, Sent>,
    next_tag: u64,
    counts: Counts,
    rng: fastrand::Rng,
    out: BufWriter<Stdout>,
}

/// Plays hollow workers until standard input ends.
pub fn run(size: Size) -> Result<(), String> {
    let _ = rlimit::increase_nofile_limit(u64::MAX);
    let net = Net::new(SOCKETS).map_err(|e| format!("event loop: {e}"))?;
    let commands = read_commands(&net)?;
    let mut process = Process {
        known: Known {
            workload: Workload::new(&size),
            lease_ms: (size.lease_s * 1000.0) as u64,
        },
        network: Network::new(&size),
        rng: fastrand::Rng::with_seed(size.seed),
        net,
        size,
        controllers: Vec::new(),
        hosts: Vec::new(),
        by_machine: HashMap::new(),
        timers: Timers::default(),
        sent: HashMap::new(),
        next_tag: 0,
        counts: Counts::default(),
        out: BufWriter::new(io::stdout()),
    };
    process.timers.add(clock::now(), Action::TellCounts);
    process
        .play(&commands)
        .map_err(|e| format!("hollow workers: {e}"))
}

/// Reads lines on a thread of its own and wakes the loop for each.
fn read_commands(net: &Net) -> Result<Receiver<ToWorkers>, String> {
    let waker = net.waker().map_err(|e| format!("event loop: {e}"))?;
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        for line in io::stdin().lock().lines() {
            let Ok(message) = line.and_then(|l| Ok(serde_json::from_str(&l)?)) else {
                break;
            };
            if sender.send(message).is_err() || waker.wake().is_err() {
                break;
            }
        }
        drop(sender);
        let _ = waker.wake();
    });
    Ok(receiver)
}

impl Process {
    fn play(&mut self, commands: &Receiver<ToWorkers>) -> io::Result<()> {
        loop {
            let now = clock::now();
            let due = self.timers.next_due().unwrap_or(now + LONGEST_WAIT_MS);
            let wait = due.saturating_sub(now).min(LONGEST_WAIT_MS);
            for event in self.net.poll(Duration::from_millis(wait))? {
                self.network_event(event);
            }
            loop {
                match commands.try_recv() {
                    Ok(command) => self.command(command)?,
                    Err(TryRecvError::Empty) => break,
                    Err(TryRecvError::Disconnected) => return Ok(()),
                }
            }
            let now = clock::now();
            while let Some((due, action)) = self.timers.pop_due(now) {
                self.act(now, due, action)?;
            }
            self.out.flush()?;
        }
    }

    fn network_event(&mut self, event: net::Event) {
        let now = clock::now();
        match event {
            net::Event::Request {
                conn,
                door: Door::Host(host),
                request,
            } => {
                let host = host as usize;
                let due = now + self.delay(host);
                let due = due.max(self.hosts[host].hung_until);
                self.timers.add(
                    due,
                    Action::Serve {
                        host,
                        conn,
                        request,
                    },
                );
            }
            net::Event::Reply { tag, response } => self.replied(now, tag, response),
            net::Event::Unsent { tag } => self.replied(now, tag, None),
            _ => {}
        }
    }

    fn replied(&mut self, now: Millis, tag: u64, response: Option<Response>) {
        let Some(sent) = self.sent.remove(&tag) else {
            return;
        };
        let due = (now + 2 * self.delay(sent.host)).max(self.hosts[sent.host].hung_until);
        self.timers.add(
            due,
            Action::Answer {
                host: sent.host,
                number: sent.number,
                sent: sent.at,
                response,
            },
        );
    }

    /// One way between a worker and the controller that it reports to.
    fn delay(&self, host: usize) -> u64 {
        let host = &self.hosts[host];
        let Some((_, _, place)) = self.controllers.get(host.worker.node) else {
            return 0;
        };
        self.network.delay(Place::Zone(host.zone), *place)
    }

    fn command(&mut self, command: ToWorkers) -> io::Result<()> {
        let now = clock::now();
        match command {
            ToWorkers::Controllers(all) => self.meet(all),
            ToWorkers::Boot { machine, zone } => self.boot(now, &machine, zone)?,
            ToWorkers::Remove { machines, request } => {
                for machine in machines {
                    if let Some(index) = self.by_machine.get(&machine).copied() {
                        self.remove(now, index)?;
                    }
                }
                write_line(&mut self.out, &FromWorkers::Removed { request })?;
            }
            ToWorkers::Hang { machine, until } => {
                if let Some(index) = self.by_machine.get(&machine).copied() {
                    self.hosts[index].hung_until = until;
                    self.schedule(now, index);
                }
            }
            ToWorkers::GangComplete { job, attempt, at } => {
                self.for_members(now, &job, attempt, |host, known| {
                    host.start_gang(&job, attempt, at, known);
                })?;
            }
            ToWorkers::GangBroken { job, attempt } => {
                let at = now + cluster::gang_peer_ms() / 2;
                self.for_members(now, &job, attempt, |host, _| {
                    host.break_gang(&job, attempt, at);
                })?;
            }
            ToWorkers::Cut { zones, until } => self.network.cut(zones, until),
        }
        Ok(())
    }

    fn meet(&mut self, controllers: Vec<Controller>) {
        let parsed = controllers.into_iter().filter_map(|controller| {
            let address = controller.address.parse().ok()?;
            Some((controller.node, address, Place::Zone(controller.zone)))
        });
        self.controllers = parsed.collect();
        self.counts.reports = vec![0; self.controllers.len()];
    }

    fn for_members(
        &mut self,
        now: Millis,
        job: &str,
        attempt: u64,
        change: impl Fn(&mut Host, &Known),
    ) -> io::Result<()> {
        for index in 0..self.hosts.len() {
            if self.hosts[index].has_attempt(job, attempt) {
                change(&mut self.hosts[index], &self.known);
                self.advance(now, index)?;
            }
        }
        Ok(())
    }

    fn boot(&mut self, now: Millis, machine: &str, zone: usize) -> io::Result<()> {
        let index = self.hosts.len();
        let address = cluster::worker_address(machine, self.size.worker_port);
        if let Err(e) = self.net.listen(address, Door::Host(index as u32)) {
            let why = format!("can't listen on {address}: {e}");
            write_line(&mut self.out, &FromWorkers::Failed(why))?;
            return Ok(());
        }
        let node = self.rng.usize(0..self.controllers.len().max(1));
        let mut host = Host::new(machine, &address.to_string(), zone, node, now);
        host.worker.ignores_stops = self.size.sabotage == Sabotage::Stops;
        self.hosts.push(host);
        self.by_machine.insert(machine.to_owned(), index);
        self.counts.workers += 1;
        self.advance(now, index)
    }

    fn remove(&mut self, now: Millis, index: usize) -> io::Result<()> {
        if !self.hosts[index].is_alive {
            return Ok(());
        }
        self.hosts[index].is_alive = false;
        self.hosts[index].worker.tasks.clear();
        self.counts.workers -= 1;
        self.tell_changes(now, index)
    }

    fn act(&mut self, now: Millis, due: Millis, action: Action) -> io::Result<()> {
        match action {
            Action::Wake(index) if self.hosts[index].due == Some(due) => {
                self.hosts[index].due = None;
                self.advance(now, index)
            }
            Action::Wake(_) => Ok(()),
            Action::Serve {
                host,
                conn,
                request,
            } => self.serve(now, host, conn, &request),
            Action::Answer {
                host,
                number,
                sent,
                response,
            } => self.answered(now, host, number, sent, response),
            Action::TellCounts => self.tell_counts(now),
        }
    }

    fn tell_counts(&mut self, now: Millis) -> io::Result<()> {
        let traffic = self.net.traffic();
        self.counts.bytes_sent = traffic.asked.sent + traffic.served.sent;
        self.counts.bytes_received = traffic.asked.received + traffic.served.received;
        self.counts.connections = traffic.asked.connections + traffic.served.connections;
        write_line(&mut self.out, &FromWorkers::Counts(self.counts.clone()))?;
        self.timers.add(now + COUNTS_EVERY_MS, Action::TellCounts);
        Ok(())
    }

    /// A direct command. Nobody answers on a machine that is gone or can't be reached.
    fn serve(
        &mut self,
        now: Millis,
        index: usize,
        conn: ConnId,
        request: &Request,
    ) -> io::Result<()> {
        if !self.hosts[index].is_alive || self.is_cut_off(now, index) {
            return Ok(());
        }
        self.counts.commands += 1;
        let host = &mut self.hosts[index];
        let mut status = 200;
        if request.path == "/commands" {
            match wire::decode::<Orders>(&request.body) {
                Ok(orders) => {
                    self.counts.orders += orders.orders.len() as u64;
                    status = host.commanded(&orders, &self.known, now);
                }
                Err(_) => status = 400,
            }
        }
        let body = wire::encode(&host.report(now));
        let response = Response {
            status,
            body,
            close: false,
            retry_after_s: None,
        };
        self.net.respond(conn, response);
        self.advance(now, index)
    }

    /// Whether the worker and the controller that it reports to can't reach each other.
    fn is_cut_off(&self, now: Millis, index: usize) -> bool {
        let host = &self.hosts[index];
        let Some((_, _, place)) = self.controllers.get(host.worker.node) else {
            return true;
        };
        self.network.is_blocked(Place::Zone(host.zone), *place, now)
    }

    fn answered(
        &mut self,
        now: Millis,
        index: usize,
        number: u64,
        sent: Millis,
        response: Option<Response>,
    ) -> io::Result<()> {
        let in_time = now <= sent + ANSWER_MS && !self.is_cut_off(now, index);
        let response = response.filter(|_| in_time);
        let host = &mut self.hosts[index];
        if host.worker.out != Some((number, sent)) {
            return Ok(());
        }
        let served = response.as_ref().filter(|r| r.status == 200);
        let orders = served.and_then(|r| wire::decode::<Orders>(&r.body).ok());
        if let Some(orders) = orders {
            self.counts.orders += orders.orders.len() as u64;
            host.answered(number, sent, &orders, &self.known, now);
            return self.advance(now, index);
        }
        self.counts.unserved += 1;
        let wanted = response
            .filter(|r| r.status == 421)
            .and_then(|r| wire::decode::<Redirect>(&r.body).ok()?.report_to);
        let named = wanted.and_then(|name| self.controllers.iter().position(|c| c.0 == name));
        let host = &mut self.hosts[index];
        host.worker.out = None;
        match named.filter(|node| *node != host.worker.node) {
            Some(node) => {
                host.worker.node = node;
                host.worker.next_report = now + self.rng.u64(0..=REDIRECT_MS);
            }
            None => {
                host.worker.node = (host.worker.node + 1) % self.controllers.len().max(1);
                host.worker.next_report = now + RETRY_MS;
            }
        }
        self.schedule(now, index);
        Ok(())
    }

    /// Brings a worker up to now: its lease, its tasks, and the report that may be due.
    fn advance(&mut self, now: Millis, index: usize) -> io::Result<()> {
        let host = &mut self.hosts[index];
        if !host.is_alive || now < host.hung_until {
            self.schedule(now, index);
            return Ok(());
        }
        self.counts.expired += u64::from(host.expire(now, &self.known));
        self.counts.refused += host.run_tasks(now, cluster::gang_wait_ms());
        self.tell_changes(now, index)?;
        if self.hosts[index].is_report_due(now) {
            self.report(now, index);
        }
        self.schedule(now, index);
        Ok(())
    }

    fn report(&mut self, now: Millis, index: usize) {
        let period = (self.size.report_s * 1000.0) as u64;
        let jitter = self.rng.u64(period * 3 / 4..=period * 5 / 4);
        let host = &mut self.hosts[index];
        let report = host.begin_report(now, now + jitter);
        let number = report.seq;
        let node = host.worker.node;
        let Some((_, to, _)) = self.controllers.get(node) else {
            return;
        };
        let to = *to;
        self.counts.reports[node] += 1;
        if self.is_cut_off(now, index) {
            let action = Action::Answer {
                host: index,
                number,
                sent: now,
                response: None,
            };
            return self.timers.add(now + ANSWER_MS, action);
        }
        self.next_tag += 1;
        let sent = Sent {
            host: index,
            number,
            at: now,
        };
        self.sent.insert(self.next_tag, sent);
        self.net.send(Outgoing {
            tag: self.next_tag,
            to,
            method: "POST",
            path: "/hello",
            body: &wire::encode(&report),
            timeout: Duration::from_millis(ANSWER_MS),
            answer_limit: ANSWER_LIMIT,
            keep: net::KEEP,
            lane: index as u32 + 1,
        });
    }

    fn schedule(&mut self, now: Millis, index: usize) {
        let host = &mut self.hosts[index];
        let Some(due) = host.next_due(now, &self.known) else {
            return;
        };
        if host.due.is_none_or(|planned| due < planned) {
            host.due = Some(due);
            self.timers.add(due, Action::Wake(index));
        }
    }

    /// Tells the tool which tasks have come to be on a machine, and which are no longer.
    fn tell_changes(&mut self, now: Millis, index: usize) -> io::Result<()> {
        for (task, attempt, what) in self.hosts[index].changes() {
            let host = &self.hosts[index];
            let change = TaskChange {
                at: now,
                task,
                attempt,
                machine: host.worker.name.clone(),
                zone: host.zone,
                what,
            };
            write_line(&mut self.out, &FromWorkers::Task(change))?;
        }
        Ok(())
    }
}
