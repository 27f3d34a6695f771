//! Routing of users' requests by method and path, and error answers with a `Retry-After` time.

use crate::jobs::query::Purpose;
use crate::{Node, Requester};
use wire::api::ErrorBody;
use wire::http::Request;

const HEARTBEAT_PATH: &str = "/hello";
const SUBMISSION_PATH: &str = "/work";
const READY_PATH: &str = "/ready";
/// Prefix of the paths of one job, before its id.
const JOB_PATH: &str = "/work/";
/// Follows the id in the path of a cancellation.
const CANCEL_SUFFIX: &str = "/cancel";

/// `Retry-After` for failures that may be over at any time, in seconds.
const RETRY_SOON_S: u32 = 1;

impl Node {
    /// Routes a request from a user or a worker.
    pub(crate) fn user_request(&mut self, conn: u64, request: Request) {
        let path = request.path.split('?').next().unwrap_or("");
        let job = path.strip_prefix(JOB_PATH);
        match (request.method.as_str(), path, job) {
            ("POST", HEARTBEAT_PATH, _) => self.heartbeat_received(conn, &request.body),
            ("POST", SUBMISSION_PATH, _) => self.submission_received(conn, &request.body),
            ("GET", READY_PATH, _) => self.answer_readiness_probe(conn),
            ("GET", _, Some(id)) if !id.contains('/') => {
                let id = id.to_owned();
                self.query_for(Requester::User(conn), id, Purpose::Query)
            }
            ("POST", _, Some(rest)) if let Some(id) = rest.strip_suffix(CANCEL_SUFFIX) => {
                let id = id.to_owned();
                self.cancel_requested(conn, id)
            }
            (_, HEARTBEAT_PATH | SUBMISSION_PATH | READY_PATH, _) => {
                self.refuse(conn, 405, "method not allowed")
            }
            (_, _, Some(id)) if !id.contains('/') || id.ends_with(CANCEL_SUFFIX) => {
                self.refuse(conn, 405, "method not allowed")
            }
            _ => self.refuse(conn, 404, "no such path"),
        }
    }

    /// Answers with an error. Statuses for which a retry can help carry a `Retry-After` time: a short one for 503, and
    /// for 429 one that grows with the number of requests shed, so that retries are spread out.
    pub(crate) fn refuse(&mut self, conn: u64, status: u16, why: &str) {
        let retry_after_s = match status {
            429 => Some(self.record_shed_request()),
            503 => Some(RETRY_SOON_S),
            _ => None,
        };
        self.stats.shed += u64::from(retry_after_s.is_some());
        let body = wire::encode(&ErrorBody {
            error: why.to_owned(),
        });
        self.respond(conn, status, body, retry_after_s);
    }

    /// Counts one more request shed for overload, and returns after how many seconds to retry.
    fn record_shed_request(&mut self) -> u32 {
        let served_per_s = self.accepts_per_s();
        self.load_shedding
            .record_rejection(self.now.mono, served_per_s)
    }
}
