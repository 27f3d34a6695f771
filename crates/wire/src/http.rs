//! HTTP/1.1 framing on byte buffers, without sockets.

use std::fmt::Write as _;

/// Longest head, in bytes.
const MAX_HEAD: usize = 8 * 1024;
/// Most headers in one head.
const MAX_HEADERS: usize = 48;
/// Room that is set aside for a head, in bytes.
const USUAL_HEAD: usize = 128;
/// The type of most bodies.
const MESSAGE_PACK: &str = "application/msgpack";
/// Statuses of responses that have no body, whatever their headers say.
const WITHOUT_BODY: [u16; 2] = [204, 304];

/// A request as it was received.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// The method, such as `GET`.
    pub method: String,
    /// The path, with its query.
    pub path: String,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the connection is to be closed after the response.
    pub close: bool,
}

/// A response, to be sent or as it was received.
#[derive(Debug, Clone, PartialEq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the connection is closed after it.
    pub close: bool,
    /// Value of `Retry-After`, in seconds.
    pub retry_after_s: Option<u32>,
}

/// Why bytes can't be read as a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FramingError {
    /// The head of a request can't be parsed.
    #[error("malformed head")]
    MalformedHead,
    /// `Content-Length` is not a number, or is there twice with different values.
    #[error("malformed Content-Length")]
    MalformedLength,
    /// A request has a chunked body.
    #[error("requests need a Content-Length")]
    LengthRequired,
    /// `Content-Length` exceeds the limit of a request, or what any message can have.
    #[error("the body is too large")]
    BodyTooLarge,
    /// The head of a request is longer than 8 KiB, or has more than 48 headers.
    #[error("the head is too large")]
    HeadTooLarge,
    /// A response that is malformed, incomplete or too large.
    #[error("the response can't be read")]
    BadResponse,
}

impl FramingError {
    /// The HTTP status that tells a client.
    pub fn status(self) -> u16 {
        match self {
            FramingError::MalformedHead | FramingError::MalformedLength => 400,
            FramingError::LengthRequired => 411,
            FramingError::BodyTooLarge => 413,
            FramingError::HeadTooLarge => 431,
            FramingError::BadResponse => 502,
        }
    }
}

/// What the headers say of the body.
#[derive(Default)]
struct Framing {
    length: Option<usize>,
    chunked: bool,
    close: bool,
    keep_alive: bool,
    retry_after_s: Option<u32>,
}

fn framing(headers: &[httparse::Header<'_>]) -> Result<Framing, FramingError> {
    let mut f = Framing::default();
    for h in headers {
        let value = std::str::from_utf8(h.value).unwrap_or("").trim();
        if h.name.eq_ignore_ascii_case("content-length") {
            if value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
                return Err(FramingError::MalformedLength);
            }
            let n = value.parse().map_err(|_| FramingError::BodyTooLarge)?;
            if f.length.is_some_and(|old| old != n) {
                return Err(FramingError::MalformedLength);
            }
            f.length = Some(n);
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
            f.chunked = true;
        } else if h.name.eq_ignore_ascii_case("connection") {
            for word in value.split(',').map(str::trim) {
                f.close |= word.eq_ignore_ascii_case("close");
                f.keep_alive |= word.eq_ignore_ascii_case("keep-alive");
            }
        } else if h.name.eq_ignore_ascii_case("retry-after") {
            f.retry_after_s = value.parse().ok();
        }
    }
    Ok(f)
}

/// Takes one request off the front: `None` while more bytes are needed, else it and the bytes used.
pub fn parse_request(
    buf: &[u8],
    body_limit: usize,
) -> Result<Option<(Request, usize)>, FramingError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let used = match head.parse(&buf[..buf.len().min(MAX_HEAD)]) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if buf.len() >= MAX_HEAD => {
            return Err(FramingError::HeadTooLarge);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(FramingError::HeadTooLarge),
        Err(_) => return Err(FramingError::MalformedHead),
    };
    let f = framing(head.headers)?;
    if f.chunked {
        return Err(FramingError::LengthRequired);
    }
    let length = f.length.unwrap_or(0);
    if length > body_limit {
        return Err(FramingError::BodyTooLarge);
    }
    if buf.len() < used + length {
        return Ok(None);
    }
    let close = f.close || (head.version == Some(0) && !f.keep_alive);
    let request = Request {
        method: head.method.unwrap_or("").to_owned(),
        path: head.path.unwrap_or("").to_owned(),
        body: buf[used..used + length].to_vec(),
        close,
    };
    Ok(Some((request, used + length)))
}

/// Takes one response off the front. Chunked bodies and bodies without a length are read too, since
/// the other side is not ours; `ended` tells that no more bytes will come.
pub fn parse_response(
    buf: &[u8],
    body_limit: usize,
    ended: bool,
) -> Result<Option<(Response, usize)>, FramingError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let used = match head.parse(&buf[..buf.len().min(MAX_HEAD)]) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if buf.len() < MAX_HEAD && !ended => return Ok(None),
        _ => return Err(FramingError::BadResponse),
    };
    let f = framing(head.headers)?;
    let status = head.code.unwrap_or(0);
    let rest = &buf[used..];
    let (body, total, close) = if WITHOUT_BODY.contains(&status) {
        (Vec::new(), used, f.close)
    } else if f.chunked {
        match parse_chunks(rest, body_limit)? {
            Some((body, n)) => (body, used + n, f.close),
            None if ended => return Err(FramingError::BadResponse),
            None => return Ok(None),
        }
    } else if let Some(length) = f.length {
        if length > body_limit {
            return Err(FramingError::BadResponse);
        }
        if rest.len() < length {
            return if ended {
                Err(FramingError::BadResponse)
            } else {
                Ok(None)
            };
        }
        (rest[..length].to_vec(), used + length, f.close)
    } else if ended {
        (rest.to_vec(), buf.len(), true)
    } else if rest.len() > body_limit {
        return Err(FramingError::BadResponse);
    } else {
        return Ok(None);
    };
    Ok(Some((
        Response {
            status,
            body,
            close,
            retry_after_s: f.retry_after_s,
        },
        total,
    )))
}

fn parse_chunks(
    mut buf: &[u8],
    body_limit: usize,
) -> Result<Option<(Vec<u8>, usize)>, FramingError> {
    let whole = buf.len();
    let mut body = Vec::new();
    loop {
        match httparse::parse_chunk_size(buf).map_err(|_| FramingError::BadResponse)? {
            httparse::Status::Partial => return Ok(None),
            httparse::Status::Complete((at, 0)) => {
                return Ok(buf
                    .get(at..at + 2)
                    .map(|_| (body, whole - buf.len() + at + 2)));
            }
            httparse::Status::Complete((at, size)) => {
                let size = usize::try_from(size)
                    .ok()
                    .filter(|s| *s <= body_limit - body.len())
                    .ok_or(FramingError::BadResponse)?;
                match buf.get(at..at + size + 2) {
                    Some(chunk) => body.extend_from_slice(&chunk[..size]),
                    None => return Ok(None),
                }
                buf = &buf[at + size + 2..];
            }
        }
    }
}

/// Appends a request with a MessagePack body to `out`.
pub fn write_request(out: &mut Vec<u8>, host: &str, method: &str, path: &str, body: &[u8]) {
    let mut head = String::with_capacity(USUAL_HEAD);
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

/// A header of a request whose head is whole.
pub fn request_header(buf: &[u8], name: &str) -> Option<String> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    head.parse(&buf[..buf.len().min(MAX_HEAD)]).ok()?;
    let found = head
        .headers
        .iter()
        .find(|h| h.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(found.value)
        .ok()
        .map(|v| v.trim().to_owned())
}

/// Appends a response with a MessagePack body to `out`.
pub fn write_response(out: &mut Vec<u8>, r: &Response) {
    write_response_as(out, r, MESSAGE_PACK, None);
}

/// A response whose body is of another type, and which may name the place of what it made.
pub fn write_response_as(
    out: &mut Vec<u8>,
    r: &Response,
    content_type: &str,
    location: Option<&str>,
) {
    let reason = reason_phrase(r.status);
    let mut head = String::with_capacity(USUAL_HEAD);
    let _ = write!(
        head,
        "HTTP/1.1 {} {reason}\r\nContent-Type: {content_type}\r\n",
        r.status
    );
    if let Some(place) = location {
        let _ = write!(head, "Location: {place}\r\n");
    }
    if let Some(s) = r.retry_after_s {
        let _ = write!(head, "Retry-After: {s}\r\n");
    }
    if r.close {
        head.push_str("Connection: close\r\n");
    }
    let _ = write!(head, "Content-Length: {}\r\n\r\n", r.body.len());
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(&r.body);
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
