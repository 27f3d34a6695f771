//! HTTP/1.1 framing on byte buffers, without sockets.

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
