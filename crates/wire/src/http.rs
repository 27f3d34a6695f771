//! HTTP/1.1 parsing and serialization on byte buffers, without I/O.

mod parse;
mod write;

pub use parse::{parse_request, parse_response, request_header};
pub use write::{write_request, write_response, write_response_as};

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
    /// Whether the connection is closed after the response.
    pub close: bool,
    /// Value of `Retry-After`, in seconds.
    pub retry_after_s: Option<u32>,
}

/// Why bytes are not a valid HTTP message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FramingError {
    /// The head of a request is malformed.
    #[error("malformed head")]
    MalformedHead,
    /// `Content-Length` is not a number, or occurs more than once with different values.
    #[error("malformed Content-Length")]
    MalformedLength,
    /// A request has a chunked body, which is not supported.
    #[error("requests need a Content-Length")]
    LengthRequired,
    /// `Content-Length` exceeds the limit for requests, or does not fit into a `usize`.
    #[error("the body is too large")]
    BodyTooLarge,
    /// The head of a request is longer than 8 KiB, or has more than 48 headers.
    #[error("the head is too large")]
    HeadTooLarge,
    /// The response is malformed, incomplete or too large.
    #[error("the response is malformed, incomplete or too large")]
    BadResponse,
}

impl FramingError {
    /// The HTTP status by which the error is reported to a client.
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
