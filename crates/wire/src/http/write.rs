//! Appends requests and responses to a buffer.

use super::Response;
use std::fmt::Write as _;

/// Initial capacity of the buffer for a head, in bytes.
const HEAD_CAPACITY: usize = 128;
/// Media type of `MessagePack` bodies.
const MESSAGE_PACK: &str = "application/msgpack";

/// Appends a request with a `MessagePack` body to `out`.
pub fn write_request(out: &mut Vec<u8>, host: &str, method: &str, path: &str, body: &[u8]) {
    let mut head = String::with_capacity(HEAD_CAPACITY);
    let _ = write!(head, "{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    if method != "GET" || !body.is_empty() {
        let _ = write!(
            head,
            "Content-Type: {MESSAGE_PACK}\r\nContent-Length: {}\r\n",
            body.len()
        );
    }
    head.push_str("\r\n");
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body);
}

/// Appends a response with a `MessagePack` body to `out`.
pub fn write_response(out: &mut Vec<u8>, response: &Response) {
    write_response_as(out, response, MESSAGE_PACK, None);
}

/// Appends a response to `out` whose body has the media type `content_type`, with a `Location` header if `location` is
/// given.
pub fn write_response_as(
    out: &mut Vec<u8>,
    response: &Response,
    content_type: &str,
    location: Option<&str>,
) {
    let reason = reason_phrase(response.status);
    let mut head = String::with_capacity(HEAD_CAPACITY);
    let _ = write!(
        head,
        "HTTP/1.1 {} {reason}\r\nContent-Type: {content_type}\r\n",
        response.status
    );
    if let Some(place) = location {
        let _ = write!(head, "Location: {place}\r\n");
    }
    if let Some(seconds) = response.retry_after_s {
        let _ = write!(head, "Retry-After: {seconds}\r\n");
    }
    if response.close {
        head.push_str("Connection: close\r\n");
    }
    let _ = write!(head, "Content-Length: {}\r\n\r\n", response.body.len());
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(&response.body);
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        400 => "Bad Request",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        406 => "Not Acceptable",
        408 => "Request Timeout",
        411 => "Length Required",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        _ => "Status",
    }
}
