//! Errors as clients tell them apart: by the class name of the exception.

/// Why a call failed: the exception class that clients act on, and a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    pub class: Class,
    pub message: String,
}

/// Exception classes that YARN clients recognize.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// The call can't be served as it is; the client does not retry it.
    Yarn,
    ApplicationNotFound,
    AttemptNotFound,
    ContainerNotFound,
    /// The requested resources can't be provided.
    InvalidRequest,
    /// The application master has to register (again) before it may send other requests.
    NotRegistered,
    /// The user is not permitted to make this call.
    AccessDenied,
    /// An argument of the call is missing or invalid.
    BadArgument,
    /// Retry at the same address after a short delay.
    Retriable,
    /// Retry at another address of the service.
    Standby,
    NoSuchMethod,
    NoSuchProtocol,
    /// Not implemented by this server; a retry won't help.
    Unsupported,
}

impl Class {
    /// The published, fully qualified Java class name.
    pub fn name(self) -> &'static str {
        match self {
            Class::Yarn => "org.apache.hadoop.yarn.exceptions.YarnException",
            Class::ApplicationNotFound => {
                "org.apache.hadoop.yarn.exceptions.ApplicationNotFoundException"
            }
            Class::AttemptNotFound => {
                "org.apache.hadoop.yarn.exceptions.ApplicationAttemptNotFoundException"
            }
            Class::ContainerNotFound => {
                "org.apache.hadoop.yarn.exceptions.ContainerNotFoundException"
            }
            Class::InvalidRequest => {
                "org.apache.hadoop.yarn.exceptions.InvalidResourceRequestException"
            }
            Class::NotRegistered => {
                "org.apache.hadoop.yarn.exceptions.ApplicationMasterNotRegisteredException"
            }
            Class::AccessDenied => "org.apache.hadoop.security.AccessControlException",
            Class::BadArgument => "java.lang.IllegalArgumentException",
            Class::Retriable => "org.apache.hadoop.ipc.RetriableException",
            Class::Standby => "org.apache.hadoop.ipc.StandbyException",
            Class::NoSuchMethod => "org.apache.hadoop.ipc.RpcNoSuchMethodException",
            Class::NoSuchProtocol => "org.apache.hadoop.ipc.RpcNoSuchProtocolException",
            Class::Unsupported => "java.lang.UnsupportedOperationException",
        }
    }

    /// Looks up a class by its published name; `None` for a name that this package does not know.
    pub fn of(name: &str) -> Option<Class> {
        use Class::{
            AccessDenied, ApplicationNotFound, AttemptNotFound, BadArgument, ContainerNotFound,
            InvalidRequest, NoSuchMethod, NoSuchProtocol, NotRegistered, Retriable, Standby,
            Unsupported, Yarn,
        };
        [
            Yarn,
            ApplicationNotFound,
            AttemptNotFound,
            ContainerNotFound,
            InvalidRequest,
            NotRegistered,
            AccessDenied,
            BadArgument,
            Retriable,
            Standby,
            NoSuchMethod,
            NoSuchProtocol,
            Unsupported,
        ]
        .into_iter()
        .find(|class| class.name() == name)
    }

    /// The HTTP status that the REST interface returns for this class.
    pub fn status(self) -> u16 {
        match self {
            Class::ApplicationNotFound | Class::AttemptNotFound | Class::ContainerNotFound => 404,
            Class::NoSuchMethod | Class::NoSuchProtocol => 404,
            Class::AccessDenied => 403,
            Class::Retriable | Class::Standby => 503,
            Class::Unsupported => 501,
            Class::Yarn | Class::InvalidRequest | Class::NotRegistered | Class::BadArgument => 400,
        }
    }

    /// Whether the error is transient: the same call may succeed later, or at another address.
    pub fn is_passing(self) -> bool {
        matches!(self, Class::Retriable | Class::Standby)
    }
}

impl Fault {
    pub fn new(class: Class, message: impl Into<String>) -> Self {
        Fault {
            class,
            message: message.into(),
        }
    }
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.class.name(), self.message)
    }
}

impl std::error::Error for Fault {}
