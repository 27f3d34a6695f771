//! Transactions whose answer does not come, or comes when another node has taken over: what one node may conclude.

use control::{Dest, Effect, Event, Node, Now, Tuning};
use serde_json::{Value, json};
use wire::http::{Request, Response};
use wire::peer::Ask;

/// A node, its time, and what it has sent that nobody has answered yet.
struct Played {
    node: Node,
    now: u64,
    sent: Vec<Sent>,
    /// Answers to users: their connection, the status, and the body.
    told: Vec<(u64, u16, Value)>,
    revision: u64,
}

#[derive(Debug)]
struct Sent {
    tag: u64,
    to: Dest,
    method: &'static str,
    path: String,
    body: Vec<u8>,
}

impl Sent {
    /// What a transaction puts or takes away below a prefix.
    fn changes(&self, under: &str) -> bool {
        let txn: Value = wire::decode(&self.body).unwrap_or_default();
        let keys = txn["writes"].as_array().into_iter().flatten();
        let mut keys = keys.filter_map(|w| w["write"].as_str().or(w["remove"].as_str()));
        self.path == "/txn" && keys.any(|k| k.starts_with(under))
    }
}

fn job() -> Value {
    json!({
        "nameId": "job-000001", "lot": "c", "desk": "effects", "shape": "array", "urgency": "normal", "pieces": 3,
        "cores": 2.0, "gpus": 1.0, "ramGb": 4.0, "kit": "img-0", "pullGb": 1.0, "builds": null, "hall": null,
        "together": false, "spread": false, "loaners": false, "expectS": 10.0, "bookmarkS": 0.0, "stashS": 0.0,
        "dueS": null
    })
}

impl Played {
    fn new() -> Self {
        let text = include_str!("../../../deploy/settings-example.json");
        let settings = serde_json::from_str(text).expect("the example is accepted");
        let now = 1_000_000;
        let node = Node::new(settings, Tuning::default(), 1, Now { mono: now, wall: now });
        Played { node, now, sent: Vec::new(), told: Vec::new(), revision: 20 }
    }

    fn step(&mut self, event: Event) {
        for effect in self.node.handle(Now { mono: self.now, wall: self.now }, event) {
            match effect {
                Effect::Respond { conn, response: r } => {
                    self.told.push((conn, r.status, wire::decode(&r.body).unwrap_or_default()));
                }
                Effect::Send { tag, to, method, path, body, .. } => {
                    self.sent.push(Sent { tag, to, method, path, body });
                }
                Effect::Side { .. } => {}
            }
        }
    }

    /// Ticks until something of the kind is sent.
    fn sends(&mut self, what: &str, which: impl Fn(&Sent) -> bool) -> Sent {
        for _ in 0..30 {
            if let Some(i) = self.sent.iter().position(&which) {
                return self.sent.remove(i);
            }
            self.now += 50;
            self.step(Event::Tick);
        }
        panic!("{what}: not among {:?}", self.sent);
    }

    fn reply(&mut self, sent: &Sent, status: u16, body: Value) {
        let response =
            Some(Response { status, body: wire::encode(&body), close: false, retry_after_s: None });
        self.step(Event::Reply { tag: sent.tag, response });
    }

    fn is_silent(&mut self, sent: &Sent) {
        self.step(Event::Reply { tag: sent.tag, response: None });
    }

    fn page(&mut self, under: &str, items: Value) {
        let start = format!("/keys?under={under}");
        let sent = self.sends(under, |s| s.path.starts_with(&start));
        self.reply(&sent, 200, json!({"items": items, "more": false, "ledger": 9}));
    }

    /// It knows that nobody owns the fleet, has a lease, and writes its name on it.
    fn stands(&mut self) -> Sent {
        let types = json!([{"label": "g8", "cores": 64.0, "gpus": 8.0, "ramGb": 512.0, "halls": ["a"]}]);
        self.page(
            "sys/",
            json!([{"key": "sys/catalog", "v": {"builds": types}, "stamp": 2},
                   {"key": "sys/token", "v": {"token": 3}, "stamp": 3}]),
        );
        let grant = self.sends("asks for a lease", |s| s.path == "/grants");
        self.reply(&grant, 200, json!({"tenancy": 7}));
        self.sends("takes over", |s| s.changes("sys/owner/"))
    }

    /// It owns the fleet, with one job.
    fn owns(&mut self) {
        let take = self.stands();
        self.reply(&take, 200, json!({"ledger": 12}));
        let rec = json!({"spec": job(), "at_ms": 5, "part": 0});
        self.page("live/", json!([{"key": "live/job-000001", "v": rec, "stamp": 8}]));
        for under in ["part/0/rack/", "part/0/log/", "part/0/hire/", "part/0/allot", "sys/"] {
            self.page(under, json!([]));
        }
        while let Some(i) = self.sent.iter().position(|s| s.path == "/txn") {
            let txn = self.sent.remove(i);
            self.revision += 1;
            self.reply(&txn, 200, json!({"ledger": self.revision}));
        }
    }

    fn ask(&mut self, conn: u64, method: &str, path: &str) {
        let request = Request { method: method.into(), path: path.into(), body: Vec::new(), close: false };
        self.step(Event::Client { conn, request });
    }

    fn told_stage(&self, stage: &str) -> bool {
        self.told.iter().any(|(_, _, body)| body["stage"] == stage)
    }
}

fn is_end(sent: &Sent) -> bool {
    sent.changes("end/")
}

/// The state service did not answer, then refused this node alone, and another took over and ended the job as done. The
/// end's key stood there, so the cancel that never landed was taken to be recorded: told, and remembered for ever.
#[test]
fn what_a_later_owner_has_recorded_is_not_our_own() {
    let mut p = Played::new();
    p.owns();
    p.ask(1, "POST", "/work/job-000001/cancel");
    let first = p.sends("the end", is_end);
    p.is_silent(&first);
    let second = p.sends("the same again", is_end);
    assert_eq!(first.body, second.body);
    p.reply(
        &second,
        409,
        json!({"failed": ["sys/owner/0", "live/job-000001", "end/job-000001"], "ledger": 99}),
    );
    if let Some(i) = p.sent.iter().position(|s| s.path == "/keys/end/job-000001") {
        let read = p.sent.remove(i);
        let end = json!({"key": "end/job-000001", "v": {"stage": "done", "done": 3}, "stamp": 90});
        p.reply(&read, 200, end);
    }
    assert!(!p.told_stage("cancelled"), "{:?}", p.told);
    // Nor is it in what this node remembers.
    p.ask(2, "GET", "/work/job-000001");
    assert!(!p.told_stage("cancelled"), "{:?}", p.told);
}

/// With the record of ours still there, nobody else can have written: the first copy has landed, and it is told.
#[test]
fn a_first_copy_that_landed_is_found() {
    let mut p = Played::new();
    p.owns();
    p.ask(1, "POST", "/work/job-000001/cancel");
    let first = p.sends("the end", is_end);
    p.is_silent(&first);
    let second = p.sends("the same again", is_end);
    p.reply(&second, 409, json!({"failed": ["live/job-000001", "end/job-000001"], "ledger": 31}));
    let read = p.sends("is it ours", |s| s.method == "GET" && s.path == "/keys/end/job-000001");
    let end = json!({"key": "end/job-000001", "v": {"stage": "cancelled", "done": 0}, "stamp": 30});
    p.reply(&read, 200, end);
    assert!(p.told_stage("cancelled"), "{:?}", p.told);
}

/// An answer that said "taken over" came after the lease had ended and another had taken over: a token was worked out
/// from that one's, which nobody had recorded, and told to all peers.
#[test]
fn a_take_over_that_was_overtaken_is_none() {
    let mut p = Played::new();
    let take = p.stands();
    let watch = p.sends("follows", |s| s.path.starts_with("/changes?under=sys/"));
    let owner = json!({"node": "burrow-1", "token": 5, "lease": 9, "life": 4});
    p.reply(
        &watch,
        200,
        json!({"ledger": 15, "log": [{"write": "sys/token", "v": {"token": 5}, "stamp": 15},
                                     {"write": "sys/owner/0", "v": owner, "stamp": 15}]}),
    );
    p.reply(&take, 200, json!({"ledger": 12}));
    let said: Vec<Ask> = p
        .sent
        .iter()
        .filter(|s| matches!(s.to, Dest::Peer(_)))
        .filter_map(|s| wire::peer::decode(&s.body).ok())
        .collect();
    assert!(!said.iter().any(|a| matches!(a, Ask::Owns { .. })), "{said:?}");
    assert_eq!(p.node.owner_among_peers(), Some(0));
}
