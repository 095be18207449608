//! Findings and the places in a configuration that they are about.

use std::fmt;

use hibiscusrail_macros::{id, record};
use serde::{Serialize, Serializer};

/// What is wrong.
#[id]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A required field is missing.
    MissingField,
    /// A field has a name that no program reads.
    UnknownField,
    /// A field has a value of the wrong type.
    WrongType,
    /// Another route with the same host and prefix gets all requests.
    ShadowedRoute,
    /// No request has the route's host or path.
    UnmatchableRoute,
    /// A route has no service with a weight.
    RouteWithoutTarget,
    /// A route names a service that does not exist.
    UnknownService,
    /// No route sends requests to a service.
    ServiceWithoutRoute,
    /// A service has no server.
    ServiceWithoutServer,
    /// Two workspaces hold the same key.
    SharedKey,
    /// A workspace has no key.
    WorkspaceWithoutKey,
    /// The timeout of a route is shorter than its target.
    TimeoutBelowTarget,
    /// A route allows more attempts than there are servers.
    TooManyAttempts,
    /// The largest body does not fit into a host's memory budget.
    BodyOverBudget,
    /// The idle timeout of connections is shorter than the timeout of a route.
    IdleBelowTimeout,
    /// The timeout for a request's head is zero.
    ZeroHeadTimeout,
    /// A rollout can't finish.
    LostRollout,
    /// An evacuation has no effect.
    LostEvacuation,
    /// The version is lower than the one in force.
    OldVersion,
}

/// Part of a configuration.
#[record]
#[derive(Eq, Hash)]
pub enum Place {
    /// Field of the document, like `routes[2].prefix`.
    Field(String),
    /// The document as a whole.
    Document,
    /// Route with its name.
    Route(String),
    /// Service with its name.
    Service(String),
    /// Backend server with its name.
    Server(String),
    /// Workspace with its name.
    Workspace(String),
    /// Key of a workspace, abbreviated.
    Key {
        /// Name of the workspace.
        workspace: String,
        /// First characters of the key.
        key: String,
    },
    /// Limits on callers.
    Limits,
    /// Order to roll out a version of a service.
    Rollout(String),
    /// Evacuation of an availability zone.
    Evacuation(String),
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Field(path) => write!(f, "{path}"),
            Self::Document => write!(f, "configuration"),
            Self::Route(name) => write!(f, "route {name}"),
            Self::Service(name) => write!(f, "service {name}"),
            Self::Server(name) => write!(f, "server {name}"),
            Self::Workspace(name) => write!(f, "workspace {name}"),
            Self::Key { workspace, key } => write!(f, "key {key} of workspace {workspace}"),
            Self::Limits => write!(f, "limits"),
            Self::Rollout(service) => write!(f, "rollout of service {service}"),
            Self::Evacuation(zone) => write!(f, "evacuation of zone {zone}"),
        }
    }
}

impl Serialize for Place {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// One error or contradiction of a configuration.
#[record]
#[derive(Eq, Hash, Serialize)]
pub struct Finding {
    /// What is wrong.
    pub kind: Kind,
    /// Where it is.
    pub place: Place,
    /// Description for the operator, without secrets.
    pub text: String,
}

impl Finding {
    /// Creates a finding.
    #[must_use]
    pub fn new(kind: Kind, place: Place, text: impl Into<String>) -> Self {
        Self {
            kind,
            place,
            text: text.into(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.text)
    }
}

/// Maximum number of characters of a key that are shown.
const KEY_CHARS: usize = 4;

/// Returns the first characters of a key, and never more than half of it.
#[must_use]
pub fn abbreviate(key: &str) -> String {
    let shown = KEY_CHARS.min(key.chars().count() / 2);
    key.chars().take(shown).chain(['…']).collect()
}
