//! Hadoop RPC version 9 with protobuf bodies: the connection preamble, frames, headers and responses.
//!
//! A connection starts with a seven-byte preamble, followed by frames. A frame is a four-byte big-endian length and a
//! body. A body is a header followed by the messages that this kind of call requires, each prefixed with its length as
//! a varint.

use crate::error::{Class, Fault};
use prost::Message;

pub const CLIENT_PROTOCOL: &str = "org.apache.hadoop.yarn.api.ApplicationClientProtocolPB";
pub const MASTER_PROTOCOL: &str = "org.apache.hadoop.yarn.api.ApplicationMasterProtocolPB";
pub const CONTAINER_PROTOCOL: &str = "org.apache.hadoop.yarn.api.ContainerManagementProtocolPB";

pub const MAGIC: &[u8; 4] = b"hrpc";
pub const VERSION: u8 = 9;
/// Length of the connection preamble: magic (4 bytes), version, service class, authentication method.
pub const OPENING: usize = 7;
/// The client states its user name without proof.
pub const AUTH_SIMPLE: u8 = 0;
/// Authentication is negotiated by SASL before the first call.
pub const AUTH_SASL: u8 = 0xdf;

/// Reserved call ids of messages that are not calls.
pub const CONTEXT_CALL: i32 = -3;
pub const PING_CALL: i32 = -4;
pub const SASL_CALL: i32 = -33;

/// Upper bound on the length of a client id; published clients send 16 bytes.
const MAX_CLIENT_ID: usize = 64;

#[derive(Clone, PartialEq, Message)]
pub struct RequestHeader {
    /// 2 is protobuf, the only supported kind.
    #[prost(int32, optional, tag = "1")]
    pub rpc_kind: Option<i32>,
    /// 0 is a complete call, 2 closes the connection.
    #[prost(int32, optional, tag = "2")]
    pub rpc_op: Option<i32>,
    #[prost(sint32, required, tag = "3")]
    pub call_id: i32,
    #[prost(bytes = "vec", required, tag = "4")]
    pub client_id: Vec<u8>,
    /// How often the call was sent before; -1 if retries are not counted.
    #[prost(sint32, optional, tag = "5")]
    pub retry_count: Option<i32>,
}

#[derive(Clone, PartialEq, Message)]
pub struct ResponseHeader {
    #[prost(uint32, required, tag = "1")]
    pub call_id: u32,
    /// 0 success, 1 the call failed, 2 fatal: the connection is closed.
    #[prost(int32, required, tag = "2")]
    pub status: i32,
    #[prost(uint32, optional, tag = "3")]
    pub server_version: Option<u32>,
    #[prost(string, optional, tag = "4")]
    pub exception_class: Option<String>,
    #[prost(string, optional, tag = "5")]
    pub error: Option<String>,
    #[prost(int32, optional, tag = "6")]
    pub detail: Option<i32>,
    #[prost(bytes = "vec", optional, tag = "7")]
    pub client_id: Option<Vec<u8>>,
    #[prost(sint32, optional, tag = "8")]
    pub retry_count: Option<i32>,
}

#[derive(Clone, PartialEq, Message)]
pub struct MethodHeader {
    #[prost(string, required, tag = "1")]
    pub method: String,
    #[prost(string, required, tag = "2")]
    pub protocol: String,
    #[prost(uint64, required, tag = "3")]
    pub version: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct UserInformation {
    #[prost(string, optional, tag = "1")]
    pub effective_user: Option<String>,
    #[prost(string, optional, tag = "2")]
    pub real_user: Option<String>,
}

#[derive(Clone, PartialEq, Message)]
pub struct ConnectionContext {
    #[prost(message, optional, tag = "2")]
    pub user: Option<UserInformation>,
    #[prost(string, optional, tag = "3")]
    pub protocol: Option<String>,
}

#[derive(Clone, PartialEq, Message)]
pub struct SaslAuth {
    #[prost(string, required, tag = "1")]
    pub method: String,
    #[prost(string, required, tag = "2")]
    pub mechanism: String,
    #[prost(string, optional, tag = "3")]
    pub protocol: Option<String>,
    #[prost(string, optional, tag = "4")]
    pub server_id: Option<String>,
    #[prost(bytes = "vec", optional, tag = "5")]
    pub challenge: Option<Vec<u8>>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Sasl {
    #[prost(uint32, optional, tag = "1")]
    pub version: Option<u32>,
    /// 0 success, 1 negotiate, 2 initiate, 3 challenge, 4 response.
    #[prost(int32, required, tag = "2")]
    pub state: i32,
    #[prost(bytes = "vec", optional, tag = "3")]
    pub token: Option<Vec<u8>>,
    #[prost(message, repeated, tag = "4")]
    pub auths: Vec<SaslAuth>,
}

/// Errors after which a connection is closed. Each has a published error code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fatal {
    /// The connection does not start with the Hadoop RPC magic.
    NotRpc,
    Version(u8),
    Auth(u8),
    /// A frame's length is above the limit, zero or negative.
    Length(i32),
    Header,
    Kind(i32),
    Request,
    Unauthorized,
}

impl Fatal {
    /// The published error code.
    pub fn error_code(self) -> i32 {
        match self {
            Fatal::NotRpc | Fatal::Length(_) => 10,
            Fatal::Kind(_) => 11,
            Fatal::Header => 12,
            Fatal::Request => 13,
            Fatal::Version(_) => 14,
            Fatal::Auth(_) | Fatal::Unauthorized => 15,
        }
    }

    /// The published exception class.
    pub fn exception_class(self) -> &'static str {
        match self {
            Fatal::Version(_) => "org.apache.hadoop.ipc.RPC$VersionMismatch",
            Fatal::Auth(_) | Fatal::Unauthorized => {
                "org.apache.hadoop.security.AccessControlException"
            }
            _ => "org.apache.hadoop.ipc.RpcServerException",
        }
    }
}

impl std::fmt::Display for Fatal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Fatal::NotRpc => write!(f, "not a Hadoop RPC connection"),
            Fatal::Version(v) => write!(
                f,
                "RPC version {v} is not spoken here, version {VERSION} is"
            ),
            Fatal::Auth(a) => write!(f, "authentication {a:#04x} is not spoken here"),
            Fatal::Length(n) => write!(f, "a frame of {n} bytes is not taken"),
            Fatal::Header => write!(f, "the header can't be read"),
            Fatal::Kind(k) => write!(f, "RPC kind {k} is not spoken here, protobuf (2) is"),
            Fatal::Request => write!(f, "the request can't be read"),
            Fatal::Unauthorized => write!(f, "the user is not allowed here"),
        }
    }
}

/// Parses the connection preamble and returns its authentication method, or `None` while bytes are missing. Invalid
/// bytes are rejected as soon as they arrive, before the preamble is complete.
pub fn opening(buf: &[u8]) -> Result<Option<u8>, Fatal> {
    let available = buf.len().min(MAGIC.len());
    if buf[..available] != MAGIC[..available] {
        return Err(Fatal::NotRpc);
    }
    match (buf.get(4), buf.get(6)) {
        (Some(version), _) if *version != VERSION => Err(Fatal::Version(*version)),
        (Some(_), Some(auth)) if matches!(*auth, AUTH_SIMPLE | AUTH_SASL) => Ok(Some(*auth)),
        (Some(_), Some(auth)) => Err(Fatal::Auth(*auth)),
        _ => Ok(None),
    }
}

/// Splits the first frame off `buf`: returns its body and the number of bytes consumed, or `None` while bytes are
/// missing.
pub fn take_frame(buf: &[u8], limit: usize) -> Result<Option<(&[u8], usize)>, Fatal> {
    let Some(head) = buf.first_chunk::<4>() else {
        return Ok(None);
    };
    let length = i32::from_be_bytes(*head);
    let size = usize::try_from(length)
        .ok()
        .filter(|n| *n > 0 && *n <= limit);
    let size = size.ok_or(Fatal::Length(length))?;
    Ok(buf.get(4..4 + size).map(|body| (body, 4 + size)))
}

fn decode_delimited<T: Message + Default>(body: &mut &[u8]) -> Result<T, prost::DecodeError> {
    T::decode_length_delimited(body)
}

/// A call whose argument is not decoded yet.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    pub header: RequestHeader,
    pub method: String,
    pub protocol: String,
    pub argument: Vec<u8>,
}

/// Parses the header of a frame's body; returns it with the remaining bytes.
pub fn parse_header(mut body: &[u8]) -> Result<(RequestHeader, &[u8]), Fatal> {
    let header: RequestHeader = decode_delimited(&mut body).map_err(|_| Fatal::Header)?;
    if header.client_id.len() > MAX_CLIENT_ID {
        return Err(Fatal::Header);
    }
    Ok((header, body))
}

/// Parses the body of a frame that contains a call.
pub fn parse_request(body: &[u8]) -> Result<Request, Fatal> {
    let (header, rest) = parse_header(body)?;
    call(header, rest)
}

/// Parses the part of a call that follows its header.
pub fn call(header: RequestHeader, mut rest: &[u8]) -> Result<Request, Fatal> {
    let kind = header.rpc_kind.unwrap_or(0);
    if kind != 2 {
        return Err(Fatal::Kind(kind));
    }
    let MethodHeader {
        method, protocol, ..
    } = decode_delimited(&mut rest).map_err(|_| Fatal::Request)?;
    let size = prost::decode_length_delimiter(&mut rest).map_err(|_| Fatal::Request)?;
    if size != rest.len() {
        return Err(Fatal::Request);
    }
    Ok(Request {
        header,
        method,
        protocol,
        argument: rest.to_vec(),
    })
}

/// Parses the message that follows the header of a connection context or an authentication step.
pub fn message<T: Message + Default>(mut rest: &[u8]) -> Result<T, Fatal> {
    let value = decode_delimited(&mut rest).map_err(|_| Fatal::Request)?;
    if rest.is_empty() {
        Ok(value)
    } else {
        Err(Fatal::Request)
    }
}

/// Builds a frame of parts that are already length-prefixed, with the four-byte total length in front.
fn encode_frame(parts: &[Vec<u8>]) -> Vec<u8> {
    let size: usize = parts.iter().map(Vec::len).sum();
    let mut out = Vec::with_capacity(size + 4);
    out.extend_from_slice(&(size as u32).to_be_bytes());
    parts.iter().for_each(|part| out.extend_from_slice(part));
    out
}

/// Encodes the connection preamble.
pub fn open(auth_method: u8) -> Vec<u8> {
    let mut out = MAGIC.to_vec();
    out.extend_from_slice(&[VERSION, 0, auth_method]);
    out
}

fn request_header(call_id: i32, client_id: &[u8], retry_count: i32) -> RequestHeader {
    let client_id = client_id.to_vec();
    RequestHeader {
        rpc_kind: Some(2),
        rpc_op: Some(0),
        call_id,
        client_id,
        retry_count: Some(retry_count),
    }
}

/// Encodes the connection context, which names the connection's user.
pub fn context(client_id: &[u8], user: &str, protocol: &str) -> Vec<u8> {
    let user = UserInformation {
        effective_user: Some(user.to_owned()),
        real_user: None,
    };
    let context = ConnectionContext {
        user: Some(user),
        protocol: Some(protocol.to_owned()),
    };
    frame_of(CONTEXT_CALL, client_id, &context)
}

/// Encodes a call.
pub fn request<T: Message>(
    call_id: i32,
    client_id: &[u8],
    retry_count: i32,
    protocol: &str,
    method: &str,
    argument: &T,
) -> Vec<u8> {
    request_bytes(
        call_id,
        client_id,
        retry_count,
        protocol,
        method,
        &argument.encode_to_vec(),
    )
}

/// Encodes a call whose argument is already encoded.
pub fn request_bytes(
    call_id: i32,
    client_id: &[u8],
    retry_count: i32,
    protocol: &str,
    method: &str,
    argument: &[u8],
) -> Vec<u8> {
    let method_header = MethodHeader {
        method: method.to_owned(),
        protocol: protocol.to_owned(),
        version: 1,
    };
    encode_frame(&[
        request_header(call_id, client_id, retry_count).encode_length_delimited_to_vec(),
        method_header.encode_length_delimited_to_vec(),
        length_prefixed(argument),
    ])
}

/// Encodes a message that is not a call: an authentication step or a connection context.
pub fn frame_of<T: Message>(call_id: i32, client_id: &[u8], message: &T) -> Vec<u8> {
    let header = request_header(call_id, client_id, -1);
    encode_frame(&[
        header.encode_length_delimited_to_vec(),
        message.encode_length_delimited_to_vec(),
    ])
}

/// Prefixes `body` with its length as a varint.
fn length_prefixed(body: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(body.len() + 5);
    // A `Vec` grows as needed, so encoding into it can't fail.
    let _ = prost::encode_length_delimiter(body.len(), &mut out);
    out.extend_from_slice(body);
    out
}

/// Encodes the ping that keeps a connection alive.
pub fn ping(client_id: &[u8]) -> Vec<u8> {
    encode_frame(&[request_header(PING_CALL, client_id, -1).encode_length_delimited_to_vec()])
}

fn response_header(request: &RequestHeader, status: i32) -> ResponseHeader {
    ResponseHeader {
        // As published servers do, negative ids are sent as the same 32 bits, unsigned.
        call_id: request.call_id as u32,
        status,
        server_version: Some(u32::from(VERSION)),
        client_id: Some(request.client_id.clone()),
        retry_count: request.retry_count,
        ..ResponseHeader::default()
    }
}

/// Encodes a successful response; `body` is the encoded message.
pub fn answer(request: &RequestHeader, body: &[u8]) -> Vec<u8> {
    encode_frame(&[
        response_header(request, 0).encode_length_delimited_to_vec(),
        length_prefixed(body),
    ])
}

/// Encodes the error response to a call that failed.
pub fn refusal(request: &RequestHeader, fault: &Fault) -> Vec<u8> {
    let detail = match fault.class {
        Class::NoSuchMethod => 2,
        Class::NoSuchProtocol => 3,
        _ => 1,
    };
    let header = ResponseHeader {
        exception_class: Some(fault.class.name().to_owned()),
        error: Some(fault.message.clone()),
        detail: Some(detail),
        ..response_header(request, 1)
    };
    encode_frame(&[header.encode_length_delimited_to_vec()])
}

/// Encodes the fatal error response that is sent before the connection is closed.
pub fn farewell(request: Option<&RequestHeader>, fatal: Fatal) -> Vec<u8> {
    let unknown_call = request_header(-1, &[], -1);
    let header = ResponseHeader {
        exception_class: Some(fatal.exception_class().to_owned()),
        error: Some(fatal.to_string()),
        detail: Some(fatal.error_code()),
        ..response_header(request.unwrap_or(&unknown_call), 2)
    };
    encode_frame(&[header.encode_length_delimited_to_vec()])
}

/// Encodes a server's response to SASL negotiation that offers only simple authentication, without proof of identity.
pub fn simple_auth_response(request: &RequestHeader) -> Vec<u8> {
    let auth = SaslAuth {
        method: "SIMPLE".into(),
        ..SaslAuth::default()
    };
    let sasl = Sasl {
        state: 1,
        auths: vec![auth],
        ..Sasl::default()
    };
    answer(request, &sasl.encode_to_vec())
}

/// Parses a response on the client side: its header, and either the encoded message or the error.
pub fn parse_answer(mut body: &[u8]) -> Result<(ResponseHeader, Result<Vec<u8>, Fault>), Fatal> {
    let header: ResponseHeader = decode_delimited(&mut body).map_err(|_| Fatal::Header)?;
    if header.status != 0 {
        let class = header
            .exception_class
            .as_deref()
            .and_then(Class::of)
            .unwrap_or(Class::Yarn);
        let fault = Fault::new(class, header.error.clone().unwrap_or_default());
        return Ok((header, Err(fault)));
    }
    let size = prost::decode_length_delimiter(&mut body).map_err(|_| Fatal::Request)?;
    if size != body.len() {
        return Err(Fatal::Request);
    }
    Ok((header, Ok(body.to_vec())))
}
