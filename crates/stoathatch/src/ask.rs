//! Sends an operator's request to running controllers: the same request to one after the other, until one responds.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use wire::admin::{self, Refused};
use wire::http::{self, Response};

/// After this time a change is given up. The document's history then shows whether it was made.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);
/// Shorter than for a change, since a query can be repeated at once.
const QUERY_TIMEOUT: Duration = Duration::from_secs(8);
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(16);

/// Why a request has no usable result.
pub enum RequestError {
    /// The service rejected the request.
    Refused(Refused),
    /// No controller responded in time, or the response is malformed.
    Unreachable(String),
}

/// Sends a request to the controllers in turn. Retries are safe: a change carries an id, so it is made at most once.
pub fn send_request<T: serde::de::DeserializeOwned>(
    nodes: &[SocketAddr],
    path: &str,
    request: &impl serde::Serialize,
    change: bool,
) -> Result<T, RequestError> {
    let body = admin::encode(request);
    let end = Instant::now()
        + if change {
            CHANGE_TIMEOUT
        } else {
            QUERY_TIMEOUT
        };
    let mut last = "no controller address was given".to_owned();
    for node in nodes.iter().cycle() {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        match send_once(*node, "POST", path, &body, left.min(ATTEMPT_TIMEOUT)) {
            Ok(r) if r.status == 200 => {
                return admin::decode(&r.body)
                    .map_err(|e| RequestError::Unreachable(format!("{node}: {e}")));
            }
            Ok(r) if matches!(r.status, 429 | 503) => {
                let why: Refused = admin::decode(&r.body).unwrap_or_default();
                last = format!("{node}: {}", why.error);
                let wait = Duration::from_secs(u64::from(r.retry_after_s.unwrap_or(1).min(10)));
                std::thread::sleep(wait.min(end.saturating_duration_since(Instant::now())));
            }
            Ok(r) => {
                let why = admin::decode(&r.body).unwrap_or_else(|_| Refused {
                    error: format!(
                        "{node} answered {}; is the door open ([admin] door = 1)?",
                        r.status
                    ),
                    ..Refused::default()
                });
                return Err(RequestError::Refused(why));
            }
            Err(e) => {
                last = format!("{node}: {e}");
                std::thread::sleep(Duration::from_millis(200));
            }
        }
    }
    Err(RequestError::Unreachable(last))
}

/// Sends one request on a new connection and reads its response.
pub fn send_once(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
    timeout: Duration,
) -> Result<Response, String> {
    let text = |e: std::io::Error| e.to_string();
    let mut stream =
        TcpStream::connect_timeout(&to, timeout.min(Duration::from_secs(3))).map_err(text)?;
    stream.set_read_timeout(Some(timeout)).map_err(text)?;
    stream.set_write_timeout(Some(timeout)).map_err(text)?;
    let mut out = Vec::new();
    http::write_request(&mut out, &to.to_string(), method, path, body);
    stream.write_all(&out).map_err(text)?;
    let mut got = Vec::new();
    let mut chunk = [0; 16 * 1024];
    loop {
        let n = stream.read(&mut chunk).map_err(text)?;
        got.extend_from_slice(&chunk[..n]);
        match http::parse_response(&got, admin::ANSWER_LIMIT, n == 0) {
            Ok(Some((response, _))) => return Ok(response),
            Ok(None) if n > 0 => {}
            _ => return Err("the response is truncated or malformed".to_owned()),
        }
    }
}
