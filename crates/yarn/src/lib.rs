//! YARN's published interfaces as they stand on the wire: Hadoop's RPC framing (version 9), the protobuf messages of
//! the application client and application master protocols, and the resource manager's REST answers in JSON and XML.
//! Field numbers, names and exception classes are the published ones; the definitions were written here.
//!
//! For clients and servers alike: bytes in, values out. It holds no connection, no clock and no state, decides nothing,
//! and knows nothing of stoathatch. YARN's words stay in this package and in `gateway`.
//!
//! ```
//! use yarn::{proto, rpc};
//! let ask = proto::KillApplicationRequest::default();
//! let frame = rpc::request(7, b"0123456789abcdef", 0, rpc::CLIENT_PROTOCOL, "forceKillApplication", &ask);
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
