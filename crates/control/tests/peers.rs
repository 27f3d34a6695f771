//! What a node accepts from its peers: invalid names, tokens and sizes are refused, and do no harm.

use control::{Effect, Event, Node, Now, Tuning};
use serde_bytes::ByteBuf;
use wire::http::{Request, Response};
use wire::peer::{PeerRequest, PeerResponse, PeerStatus, decode, encode};

const NOW: Now = Now {
    mono: 1000,
    wall: 1000,
};

fn node() -> Node {
    let text = include_str!("../../../deploy/settings-example.json");
    let settings = serde_json::from_str(text).expect("the example is accepted");
    Node::new(settings, Tuning::default(), 1, NOW)
}

/// The name of the first peer in the example.
fn first_peer_name() -> String {
    let text = include_str!("../../../deploy/settings-example.json");
    let settings: wire::settings::Settings =
        serde_json::from_str(text).expect("the example is accepted");
    settings.peers[0].node.clone()
}

fn post_to_peer_path(node: &mut Node, body: Vec<u8>) -> Response {
    let request = Request {
        method: "POST".into(),
        path: wire::peer::PATH.into(),
        body,
        close: false,
    };
    let effects = node.handle(NOW, Event::Peer { conn: 1, request });
    let answer = effects.into_iter().find_map(|e| match e {
        Effect::Respond { conn: 1, response } => Some(response),
        _ => None,
    });
    answer.expect("every peer request is answered")
}

fn send_peer_request(node: &mut Node, request: &PeerRequest) -> (u16, Option<PeerResponse>) {
    let response = post_to_peer_path(node, encode(request));
    (response.status, decode(&response.body).ok())
}

fn peer_status(name: &str) -> PeerStatus {
    let node = name.to_owned();
    PeerStatus {
        node,
        state_ms: Some(10),
        token: Some(3),
        leads: None,
        leads_from: None,
        hears_no_agents: false,
        spreads: false,
        down: false,
        delegation: None,
    }
}

#[test]
fn peer_status_is_accepted_from_known_peers_only() {
    let mut node = node();
    assert!(matches!(
        send_peer_request(
            &mut node,
            &PeerRequest::PeerStatus(peer_status(&first_peer_name()))
        ),
        (200, Some(PeerResponse::PeerStatus(_)))
    ));
    assert_eq!(
        send_peer_request(&mut node, &PeerRequest::PeerStatus(peer_status("nobody"))).0,
        400
    );
    assert_eq!(
        post_to_peer_path(&mut node, b"\xff\x00nothing".to_vec()).status,
        400
    );
}

/// A token that was never issued would send all workers to the node that claims it, and would end all attestations.
#[test]
fn out_of_range_token_is_refused_and_counted() {
    let mut node = node();
    for token in [1 << 31, u64::MAX] {
        assert_eq!(
            send_peer_request(
                &mut node,
                &PeerRequest::PeerStatus(PeerStatus {
                    leads: Some(token),
                    ..peer_status(&first_peer_name())
                })
            )
            .0,
            400
        );
        assert_eq!(
            send_peer_request(
                &mut node,
                &PeerRequest::PeerStatus(PeerStatus {
                    token: Some(token),
                    ..peer_status(&first_peer_name())
                })
            )
            .0,
            400
        );
    }
    assert_eq!(node.stats().bad_answers, 4);
    let (_, answer) = send_peer_request(
        &mut node,
        &PeerRequest::PeerStatus(peer_status(&first_peer_name())),
    );
    let Some(PeerResponse::PeerStatus(seen)) = answer else {
        panic!("not a peer status: {answer:?}")
    };
    assert_eq!(
        (seen.leads, seen.token),
        (None, None),
        "it has read nothing and leads nothing"
    );
}

/// A huge age only counts as old.
#[test]
fn huge_state_age_is_accepted() {
    let mut node = node();
    let status = PeerStatus {
        state_ms: Some(u64::MAX),
        leads_from: None,
        hears_no_agents: true,
        spreads: false,
        ..peer_status(&first_peer_name())
    };
    assert_eq!(
        send_peer_request(&mut node, &PeerRequest::PeerStatus(status)).0,
        200
    );
    node.handle(
        Now {
            mono: 5000,
            wall: 5000,
        },
        Event::Tick,
    );
}

#[test]
fn heartbeat_batch_needs_a_known_sender_a_bounded_size_and_a_leader() {
    let mut node = node();
    let reports = |node: &str, n: usize| PeerRequest::Reports {
        node: node.to_owned(),
        reports: vec![ByteBuf::from(b"no report".to_vec()); n],
    };
    assert_eq!(send_peer_request(&mut node, &reports("nobody", 1)).0, 400);
    assert_eq!(
        send_peer_request(&mut node, &reports(&first_peer_name(), 5000)).0,
        400
    );
    assert_eq!(
        send_peer_request(&mut node, &reports(&first_peer_name(), 1)),
        (200, Some(PeerResponse::NotNow))
    );
}

/// A node passes the leader's commands only to workers that it currently serves on the leader's behalf.
#[test]
fn command_for_a_worker_not_served_here_is_refused() {
    let mut node = node();
    for addr in ["10.1.0.7:9000", "nowhere"] {
        let command = PeerRequest::Command {
            machine: "host-1".into(),
            addr: addr.into(),
            body: ByteBuf::new(),
        };
        assert_eq!(
            send_peer_request(&mut node, &command),
            (200, Some(PeerResponse::refused(421, "")))
        );
    }
}

/// The tag of the first request whose path starts like this.
fn sent_tag(effects: &[Effect], start: &str) -> Option<u64> {
    effects.iter().find_map(|e| match e {
        Effect::Send { tag, path, .. } if path.starts_with(start) => Some(*tag),
        _ => None,
    })
}

/// The highest token that a node reports proves to an earlier leader that it may still renew workers' leases. After an
/// outdated read arrived late, a node reported a lower token than it had known, and could have attested against its own
/// term.
#[test]
fn reported_highest_token_never_decreases() {
    let mut node = node();
    let read = |node: &mut Node, mono: u64, token: u64| {
        let now = Now { mono, wall: mono };
        let tag = sent_tag(&node.handle(now, Event::Tick), "/keys?under=sys/")
            .expect("reads the shared state");
        let item =
            serde_json::json!({"key": wire::records::TOKEN, "v": {"token": token}, "stamp": token});
        let body = wire::encode(&serde_json::json!({"items": [item], "more": false, "ledger": 9}));
        let response = Some(Response {
            status: 200,
            body,
            close: false,
            retry_after_s: None,
        });
        node.handle(now, Event::Reply { tag, response });
    };
    let known = |node: &mut Node| match send_peer_request(
        node,
        &PeerRequest::PeerStatus(peer_status(&first_peer_name())),
    )
    .1
    {
        Some(PeerResponse::PeerStatus(peer_status)) => peer_status.token,
        answer => panic!("not a peer status: {answer:?}"),
    };
    read(&mut node, 2000, 7);
    assert_eq!(known(&mut node), Some(7));
    // The watch is lost, so everything is read again; the answer is older than what the node knows.
    let now = Now {
        mono: 3000,
        wall: 3000,
    };
    let watch = sent_tag(&node.handle(now, Event::Tick), "/changes?under=sys/")
        .expect("watches the shared state");
    node.handle(
        now,
        Event::Reply {
            tag: watch,
            response: None,
        },
    );
    read(&mut node, 4000, 5);
    assert_eq!(known(&mut node), Some(7));
}
