//! YARN's published wire formats: Hadoop RPC framing (version 9), the protobuf messages of the application client,
//! application master and container management protocols, and the resource manager's REST bodies in JSON and XML.
//! Field numbers, names and exception classes follow the published interfaces; the definitions are this project's own.
//!
//! This package only encodes and decodes, for clients and servers alike. It has no connections, clock, state or policy,
//! and does not depend on the rest of stoathatch. YARN terms are used only in this package and in `gateway`.
//!
//! ```
//! use yarn::{proto, rpc};
//! let kill = proto::KillApplicationRequest::default();
//! let frame = rpc::request(7, b"0123456789abcdef", 0, rpc::CLIENT_PROTOCOL, "forceKillApplication", &kill);
//! let (body, used) = rpc::take_frame(&frame, 1 << 20).unwrap().unwrap();
//! assert_eq!(used, frame.len());
//! let call = rpc::parse_request(body).unwrap();
//! assert_eq!((call.header.call_id, call.method.as_str()), (7, "forceKillApplication"));
//! ```

pub mod error;
pub mod ids;
pub mod master;
pub mod proto;
pub mod rest;
pub mod rpc;
