//! Asks running controllers for an operator: one after the other, with the same request, until one has an answer.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use wire::admin::{self, Refused};
use wire::http::{self, Response};

/// A change is given up after this time; whether it was made is then for the history to say.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);
/// A question can be asked again at once.
const QUERY_TIMEOUT: Duration = Duration::from_secs(8);
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(16);

/// Why there is no answer to work with.
pub enum RequestError {
    /// The service has answered, and will not do it.
    Refused(Refused),
    /// No controller has answered in time, or what it said can't be read.
    Unreachable(String),
}

/// Asks the controllers in turn. Repeating is harmless: a change carries its own id.
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
    let mut last = "no controller was named".to_owned();
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

/// One request, one answer, one connection.
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
            _ => return Err("an answer that was cut off or can't be read".to_owned()),
        }
    }
}
