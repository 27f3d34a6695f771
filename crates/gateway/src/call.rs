//! One call of a client, as it goes from the node that took it to the one that leads the fleet, and its reply.

use serde::{Deserialize, Serialize};
use yarn::error::{Class, Fault};
use yarn::rest::Form;

/// Where nodes hand calls to each other.
pub const PEER_PATH: &str = "/peer/yarn";

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// Who the connection says it is.
    pub user: String,
    /// What its token proves, if it has shown one.
    pub proved: Option<Proved>,
    pub what: What,
}

/// The master that a connection has proved to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proved {
    pub app: u32,
    pub attempt: u32,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum What {
    Rpc {
        protocol: String,
        method: String,
        #[serde(with = "serde_bytes")]
        argument: Vec<u8>,
    },
    Web(Web),
    /// A step of authentication by token: is this response right?
    Prove {
        nonce: String,
        response: String,
    },
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Web {
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Form of the body, and of the answer.
    pub xml_in: bool,
    pub xml_out: bool,
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

impl Web {
    pub fn form(&self) -> Form {
        if self.xml_out { Form::Xml } else { Form::Json }
    }
    pub fn form_in(&self) -> Form {
        if self.xml_in { Form::Xml } else { Form::Json }
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The encoded message.
    Rpc(#[serde(with = "serde_bytes")] Vec<u8>),
    Web(Page),
    /// Who it is, and what proves to him that we know.
    Proved(Proved, String),
    Refused {
        class: String,
        message: String,
    },
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Page {
    pub status: u16,
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    pub location: Option<String>,
}

impl From<Fault> for Reply {
    fn from(fault: Fault) -> Self {
        Reply::Refused {
            class: fault.class.name().to_owned(),
            message: fault.message,
        }
    }
}

impl Reply {
    /// The fault of a refusal.
    pub fn fault(class: &str, message: &str) -> Fault {
        Fault::new(Class::of(class).unwrap_or(Class::Yarn), message)
    }
}
