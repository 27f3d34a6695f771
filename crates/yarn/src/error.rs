//! Errors as clients map them: by the class name of an exception.

/// Why a call was not served, in the words that clients act on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    pub class: Class,
    pub message: String,
}

/// Exception classes that clients know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// The call can't be served as it is; the client gives it up.
    Yarn,
    ApplicationNotFound,
    AttemptNotFound,
    ContainerNotFound,
    /// The resources asked for can't be had.
    InvalidRequest,
    /// The master has to register (again) before it may ask.
    NotRegistered,
    /// The user may not do this.
    AccessDenied,
    /// An argument of the call is missing or wrong.
    BadArgument,
    /// Try again here, a little later.
    Retriable,
    /// Try another address of the service.
    Standby,
    NoSuchMethod,
    NoSuchProtocol,
    /// Not served here, now or later.
    Unsupported,
}

impl Class {
    /// The published class name.
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

    /// The class behind a name, if it is one that this package knows.
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

    /// The REST interface's status for it.
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

    /// The same call may be served later, here or elsewhere.
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
