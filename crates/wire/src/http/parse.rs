//! Parses requests and responses at the start of a buffer.

use super::{FramingError, Request, Response};

/// Maximum length of a head, in bytes.
const MAX_HEAD: usize = 8 * 1024;
/// Maximum number of headers in one head.
const MAX_HEADERS: usize = 48;
/// Statuses of responses that never have a body, regardless of their headers.
const BODILESS_STATUSES: [u16; 2] = [204, 304];

/// Values of the headers that are evaluated.
#[derive(Default)]
struct Framing {
    length: Option<usize>,
    chunked: bool,
    close: bool,
    keep_alive: bool,
    retry_after_s: Option<u32>,
}

fn read_framing(headers: &[httparse::Header<'_>]) -> Result<Framing, FramingError> {
    let mut framing = Framing::default();
    for header in headers {
        let value = std::str::from_utf8(header.value).unwrap_or("").trim();
        if header.name.eq_ignore_ascii_case("content-length") {
            if value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
                return Err(FramingError::MalformedLength);
            }
            let length = value.parse().map_err(|_| FramingError::BodyTooLarge)?;
            if framing.length.is_some_and(|previous| previous != length) {
                return Err(FramingError::MalformedLength);
            }
            framing.length = Some(length);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            framing.chunked = true;
        } else if header.name.eq_ignore_ascii_case("connection") {
            for token in value.split(',').map(str::trim) {
                framing.close |= token.eq_ignore_ascii_case("close");
                framing.keep_alive |= token.eq_ignore_ascii_case("keep-alive");
            }
        } else if header.name.eq_ignore_ascii_case("retry-after") {
            framing.retry_after_s = value.parse().ok();
        }
    }
    Ok(framing)
}

/// Parses one request at the start of `buf`. Returns the request and the number of bytes it takes up, or `None` if more
/// bytes are needed.
pub fn parse_request(
    buf: &[u8],
    body_limit: usize,
) -> Result<Option<(Request, usize)>, FramingError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let consumed = match head.parse(&buf[..buf.len().min(MAX_HEAD)]) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if buf.len() >= MAX_HEAD => {
            return Err(FramingError::HeadTooLarge);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(FramingError::HeadTooLarge),
        Err(_) => return Err(FramingError::MalformedHead),
    };
    let framing = read_framing(head.headers)?;
    if framing.chunked {
        return Err(FramingError::LengthRequired);
    }
    let length = framing.length.unwrap_or(0);
    if length > body_limit {
        return Err(FramingError::BodyTooLarge);
    }
    if buf.len() < consumed + length {
        return Ok(None);
    }
    let close = framing.close || (head.version == Some(0) && !framing.keep_alive);
    let request = Request {
        method: head.method.unwrap_or("").to_owned(),
        path: head.path.unwrap_or("").to_owned(),
        body: buf[consumed..consumed + length].to_vec(),
        close,
    };
    Ok(Some((request, consumed + length)))
}

/// Parses one response at the start of `buf`, like [`parse_request`]. Chunked bodies and bodies without a length are
/// supported too, since the servers belong to other systems. `eof` means that no more bytes will arrive.
pub fn parse_response(
    buf: &[u8],
    body_limit: usize,
    eof: bool,
) -> Result<Option<(Response, usize)>, FramingError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let consumed = match head.parse(&buf[..buf.len().min(MAX_HEAD)]) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if buf.len() < MAX_HEAD && !eof => return Ok(None),
        _ => return Err(FramingError::BadResponse),
    };
    let framing = read_framing(head.headers)?;
    let status = head.code.unwrap_or(0);
    let Some(body) = parse_response_body(&buf[consumed..], status, &framing, body_limit, eof)?
    else {
        return Ok(None);
    };
    let response = Response {
        status,
        body: body.bytes,
        close: framing.close || body.ends_at_eof,
        retry_after_s: framing.retry_after_s,
    };
    Ok(Some((response, consumed + body.consumed)))
}

/// A response body parsed at the start of a buffer.
struct Body {
    bytes: Vec<u8>,
    /// Number of bytes of the buffer that the body takes up, including the framing of its chunks.
    consumed: usize,
    /// The body has no declared length and ends with the connection.
    ends_at_eof: bool,
}

impl Body {
    fn from_slice(bytes: &[u8]) -> Self {
        Body {
            bytes: bytes.to_vec(),
            consumed: bytes.len(),
            ends_at_eof: false,
        }
    }
}

/// Parses a response body at the start of `buf`. Returns `None` if more bytes are needed.
fn parse_response_body(
    buf: &[u8],
    status: u16,
    framing: &Framing,
    body_limit: usize,
    eof: bool,
) -> Result<Option<Body>, FramingError> {
    if BODILESS_STATUSES.contains(&status) {
        return Ok(Some(Body::from_slice(&[])));
    }
    let body = if framing.chunked {
        parse_chunks(buf, body_limit)?.map(|(bytes, consumed)| Body {
            bytes,
            consumed,
            ends_at_eof: false,
        })
    } else if let Some(length) = framing.length {
        if length > body_limit {
            return Err(FramingError::BadResponse);
        }
        buf.get(..length).map(Body::from_slice)
    } else if eof {
        Some(Body {
            ends_at_eof: true,
            ..Body::from_slice(buf)
        })
    } else if buf.len() > body_limit {
        return Err(FramingError::BadResponse);
    } else {
        None
    };
    match body {
        None if eof => Err(FramingError::BadResponse),
        body => Ok(body),
    }
}

/// Parses a chunked body at the start of `buf`. Returns it with the number of bytes it takes up, or `None` if more
/// bytes are needed.
fn parse_chunks(
    mut buf: &[u8],
    body_limit: usize,
) -> Result<Option<(Vec<u8>, usize)>, FramingError> {
    let total = buf.len();
    let mut body = Vec::new();
    loop {
        match httparse::parse_chunk_size(buf).map_err(|_| FramingError::BadResponse)? {
            httparse::Status::Partial => return Ok(None),
            httparse::Status::Complete((at, 0)) => {
                return Ok(buf
                    .get(at..at + 2)
                    .map(|_| (body, total - buf.len() + at + 2)));
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

/// The value of a header of a request whose head is complete in `buf`.
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
