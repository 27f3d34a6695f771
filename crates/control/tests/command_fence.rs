//! When a leader lets a worker forget an attempt: only in a message on which the worker refuses copies of the command
//! that started it.

mod scripted;

use scripted::{ScriptedAnswer, ScriptedNode, ScriptedWorker, SentRequest};
use serde_json::{Value, json};

/// The leader's tokens in these tests: the counter is at 3 before it takes over.
const FIRST_TOKEN: u64 = 4;
const LAST_TOKEN: u64 = 1027;
const HEARTBEAT_MS: u64 = 1000;

fn orders_of<'a>(message: &'a Value, verb: &'a str) -> impl Iterator<Item = &'a Value> {
    let orders = message["orders"].as_array().into_iter().flatten();
    orders.filter(move |order| order["verb"] == verb)
}

/// Each attempt that a worker was told to start, with the token of the message.
#[derive(Default)]
struct Started(Vec<(Value, Value, u64)>);

impl Started {
    /// Notes the starts of a message, and checks that its reaps carry a higher token than the starts that they forget.
    fn check(&mut self, message: &Value) -> usize {
        let token = message["baton"].as_u64().expect("messages carry a token");
        let mut reaped = 0;
        for reap in orders_of(message, "reap") {
            let started = self
                .0
                .iter()
                .rfind(|(task, attempt, _)| reap["piece"] == *task && reap["try"] == *attempt);
            if let Some((task, _, under)) = started {
                assert!(
                    token > *under,
                    "{task} reaped under token {token}, started under {under}"
                );
                reaped += 1;
            }
        }
        for start in orders_of(message, "start") {
            self.0
                .push((start["piece"].clone(), start["try"].clone(), token));
        }
        reaped
    }
}

/// Lets a second pass, answers the worker's commands, and sends its heartbeat. Returns the number of reaped tasks.
fn round(p: &mut ScriptedNode, worker: &mut ScriptedWorker, started: &mut Started) -> usize {
    let mut reaped = 0;
    p.run(HEARTBEAT_MS, &mut |sent: &SentRequest| {
        let answer = worker.answer_command(sent)?;
        reaped += started.check(&sent.command_body().expect("a command"));
        Some(answer)
    });
    let reply = worker.send_heartbeat(p);
    reaped + started.check(&reply)
}

fn exit_all(worker: &mut ScriptedWorker) {
    worker.tasks.iter_mut().for_each(|task| task.2 = "exited");
}

#[test]
fn attempts_are_reaped_only_under_a_higher_token_than_their_start() {
    let mut p = ScriptedNode::new();
    p.become_leader();
    let mut worker = ScriptedWorker::new("host-000001");
    let mut started = Started::default();
    let mut reaped = 0;
    for _ in 0..60 {
        reaped += round(&mut p, &mut worker, &mut started);
        exit_all(&mut worker);
    }
    assert!(reaped >= 10, "{reaped} attempts reaped");
    assert!(started.0.iter().all(|(_, _, token)| *token >= FIRST_TOKEN));
    assert!(
        !p.sent.iter().any(|s| s.writes_below("sys/token")),
        "no write for tokens of the leader's own range"
    );
}

/// The worker has seen the last token of the range, for example in the answer of a lease delegate.
#[test]
fn attempts_are_reaped_under_the_next_range_once_the_tokens_are_used_up() {
    let mut p = ScriptedNode::new();
    p.become_leader();
    let mut worker = ScriptedWorker::new("host-000001");
    worker.token = LAST_TOKEN;
    let mut started = Started::default();
    let (mut reaped, mut raises) = (0, 0);
    for _ in 0..30 {
        p.run(HEARTBEAT_MS, &mut |sent: &SentRequest| {
            raises += usize::from(sent.writes_below("sys/token"));
            let answer = worker.answer_command(sent)?;
            reaped += started.check(&sent.command_body().expect("a command"));
            Some(answer)
        });
        let reply = worker.send_heartbeat(&mut p);
        reaped += started.check(&reply);
        exit_all(&mut worker);
    }
    assert_eq!(raises, 1, "one write for the next range");
    assert!(reaped >= 3, "{reaped} attempts reaped");
    assert!(worker.token > LAST_TOKEN);
}

/// A command without an answer may still be carried out, so the next message to its worker carries a higher token, and
/// nothing is started until the worker has reported it.
#[test]
fn unanswered_command_is_followed_by_a_higher_token() {
    let mut p = ScriptedNode::new();
    p.become_leader();
    let mut worker = ScriptedWorker::new("host-000001");
    worker.send_heartbeat(&mut p);
    p.run(HEARTBEAT_MS, &mut |_| None);
    worker.send_heartbeat(&mut p);
    let command = p.run_until_sent("the first starts", |s| s.order_count("start") > 0);
    let sent_under = command.command_body().expect("a command")["baton"].as_u64();
    p.leave_unanswered(&command);
    let reply = worker.send_heartbeat(&mut p);
    assert!(reply["baton"].as_u64() > sent_under, "{reply}");
    assert_eq!(orders_of(&reply, "start").count(), 0, "{reply}");
    let reply = worker.send_heartbeat(&mut p);
    assert!(orders_of(&reply, "start").count() > 0, "{reply}");
}

/// The worker rejects a command of an earlier agent epoch for ever, so no higher token is needed in the next epoch.
#[test]
fn later_agent_epoch_needs_no_higher_token() {
    let mut p = ScriptedNode::new();
    let mut worker = p.become_leader_with_machine();
    let mut started = Started::default();
    round(&mut p, &mut worker, &mut started);
    assert!(!worker.tasks.is_empty(), "tasks were started");
    worker.expire_lease();
    let reply = worker.send_heartbeat(&mut p);
    assert_eq!(reply["baton"], json!(FIRST_TOKEN), "{reply}");
    p.run(HEARTBEAT_MS, &mut |_| None::<ScriptedAnswer>);
}

/// A running task whose job ended and was forgotten has no claim, and is stopped all the same.
#[test]
fn running_task_of_a_forgotten_job_is_stopped() {
    let mut p = ScriptedNode::new();
    let mut worker = p.become_leader_with_machine();
    let forgotten = ("job-000777/0".to_owned(), 7, "running");
    worker.tasks.push(forgotten.clone());
    let reply = worker.send_heartbeat(&mut p);
    let stop = json!({"verb": "stop", "piece": "job-000777/0", "try": 7, "windDownS": 0.0});
    assert!(
        orders_of(&reply, "stop").any(|order| *order == stop),
        "{reply}"
    );
    assert!(!worker.tasks.contains(&forgotten));
}
