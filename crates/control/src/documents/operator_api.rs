//! The operators' API, served on the peers' address: it shows and changes each kind of document and answers the queries
//! of its kind. Any controller accepts a request; the leader answers it.

use crate::documents::{Document, Kind, KindId, for_kind};
use crate::{Destination, Node, Pending};
use document::{Content, Fault};
use wire::admin::{self, AskOf, Refused, Shown};
use wire::http::{Request, Response};

/// Timeout of a request that is forwarded to the leader, which may have to make a complete change.
const FORWARD_TIMEOUT_MS: u64 = 15_000;

impl Node {
    /// Serves a request; false if it is not one for this API.
    pub(crate) fn admin_requested(&mut self, conn: u64, request: &Request) -> bool {
        let kind = admin::kind_of(&request.path).and_then(KindId::from_name);
        let Some(kind) = kind.filter(|_| self.tuning.door >= 1.0) else {
            return false;
        };
        if request.method != "POST" {
            self.refuse_operator(conn, 405, refusal("method not allowed"));
        } else if !self.leads() {
            self.forward_admin(conn, request);
        } else if !self.may_decide() {
            self.refuse_operator(
                conn,
                503,
                refusal("the leader is still recovering, or its lease may have expired"),
            );
        } else {
            for_kind!(kind, K => self.serve::<K>(conn, &request.body));
        }
        true
    }

    fn serve<K: Kind>(&mut self, conn: u64, body: &[u8]) {
        if let Ok(query) = admin::decode::<K::Query>(body) {
            return K::answer_query(self, conn, query);
        }
        match admin::decode::<AskOf<K::Edit>>(body) {
            Ok(AskOf::Show) => {
                let answer = K::show(self);
                self.respond(conn, 200, answer, None);
            }
            Ok(AskOf::Change(change)) => self.change::<K>(conn, change),
            Err(e) => self.refuse_operator(conn, 400, refusal(&e.to_string())),
        }
    }

    fn forward_admin(&mut self, conn: u64, request: &Request) {
        let Some(peer) = self.leader_peer() else {
            return self.refuse_operator(conn, 503, refusal("no leader is known"));
        };
        let pending = Pending::Admin { conn };
        let (path, body) = (request.path.clone(), request.body.clone());
        self.send(
            Destination::Peer(peer),
            "POST",
            path,
            body,
            FORWARD_TIMEOUT_MS,
            pending,
        );
    }

    /// Handles the leader's answer to a forwarded request.
    pub(crate) fn admin_answered(&mut self, conn: u64, response: Option<Response>) {
        match response {
            Some(r) => self.respond(conn, r.status, r.body, r.retry_after_s),
            None => self.refuse_operator(
                conn,
                503,
                refusal("the leader does not respond; a change may have been made"),
            ),
        }
    }

    /// Refuses a request; a 503 says when to retry.
    pub(crate) fn refuse_operator(&mut self, conn: u64, status: u16, why: Refused) {
        let retry = (status == 503).then_some(1);
        self.respond(conn, status, admin::encode(&why), retry);
    }
}

impl<K: Kind> Document<K> {
    /// The answer to the request "show".
    pub(super) fn encode_shown(&self) -> Vec<u8> {
        let (version, spec) = self
            .active
            .as_ref()
            .map_or((0, K::Content::default()), |active| {
                (active.version, (*active.spec).clone())
            });
        let (history, rejection) = (self.head.history.clone(), self.rejection());
        admin::encode(&Shown {
            version,
            spec,
            history,
            refused: rejection,
        })
    }
}

/// A refusal that has only a reason.
pub(crate) fn refusal(why: &str) -> Refused {
    Refused {
        error: why.to_owned(),
        ..Refused::default()
    }
}

/// The refusal of a version because of these faults.
pub(super) fn refusal_with_faults<K: Kind>(faults: Vec<Fault>) -> Refused {
    let why = format!(
        "the {} is refused; the one in force stays",
        K::Content::NAME
    );
    Refused {
        faults,
        ..refusal(&why)
    }
}
