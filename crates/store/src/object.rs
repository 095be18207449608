//! Configuration objects as rows of the table, decoded from JSON to the reducer's objects.

use hibiscusrail_core::configuration::{
    Admission, Object, ObjectId, Server, Service, ServiceKind, Version, Workspace, Zone,
};
use hibiscusrail_core::{ServerId, ServiceId, WorkspaceId, ZoneId};
use hibiscusrail_macros::{id, record};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::keys;
use crate::table::Row;

/// Content of an object's row: the object and the ticket that last changed it.
#[record]
#[derive(Serialize, Deserialize)]
pub struct VersionedRow {
    /// Number of the ticket that last changed the object.
    pub version: u64,
    /// Author of that ticket.
    #[serde(default)]
    pub author: String,
    /// The object's state.
    pub object: ObjectRow,
}

/// JSON form of a configuration object.
#[record]
#[derive(Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ObjectRow {
    /// A workspace.
    Workspace {
        /// Name of the workspace.
        name: String,
        /// Weight of the workspace's share of the capacity.
        share: f64,
        /// SHA-256 of the workspace's key in hexadecimal.
        key_hash: String,
        /// Maximum number of requests per service that may wait at one router.
        queue_limit: u32,
        /// Maximum number of retries as a fraction of the requests.
        retry_fraction: f64,
    },
    /// A service.
    Service {
        /// Name of the service.
        name: String,
        /// Whether the service's servers are model engines.
        model: bool,
        /// Cost units per prompt token (model engines) or per request.
        prompt_weight: f64,
        /// Cost units per generated token (model engines) or per second.
        output_weight: f64,
    },
    /// A backend server.
    Server {
        /// Name of the server.
        name: String,
        /// Name of the service that it runs.
        service: String,
        /// Name of its availability zone.
        zone: String,
        /// Address that accepts requests.
        address: std::net::SocketAddr,
        /// Maximum number of concurrent requests when cold.
        cold_limit: u32,
        /// Maximum number of concurrent requests when warm.
        max_limit: u32,
        /// Whether the server accepts new requests.
        open: bool,
    },
    /// An availability zone.
    Zone {
        /// Name of the availability zone.
        name: String,
        /// Whether the zone's servers accept new requests.
        open: bool,
    },
    /// A removed object; the row remains to keep its version.
    Removed {
        /// Kind of the object.
        of: ObjectKind,
        /// Name of the object.
        name: String,
    },
}

/// Kind of a configuration object.
#[id]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectKind {
    /// A workspace.
    Workspace,
    /// A service.
    Service,
    /// A backend server.
    Server,
    /// An availability zone.
    Zone,
}

impl ObjectKind {
    /// Returns the kind's name in the keys of rows.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Workspace => "workspace",
            Self::Service => "service",
            Self::Server => "server",
            Self::Zone => "zone",
        }
    }

    fn id(self, name: &str) -> ObjectId {
        match self {
            Self::Workspace => ObjectId::Workspace(WorkspaceId::new(name)),
            Self::Service => ObjectId::Service(ServiceId::new(name)),
            Self::Server => ObjectId::Server(ServerId::new(name)),
            Self::Zone => ObjectId::Zone(ZoneId::new(name)),
        }
    }
}

/// Error of decoding a configuration object from its row.
#[derive(Debug, Snafu)]
pub enum ObjectError {
    /// The row's content does not match the JSON form of an object.
    #[snafu(display("row {key} is malformed: {source}"))]
    Json {
        /// Key of the row.
        key: String,
        /// The decoding error.
        source: serde_json::Error,
    },
    /// The key hash is not 32 bytes in hexadecimal.
    #[snafu(display("row {key}: key_hash is not 64 hexadecimal digits"))]
    Hash {
        /// Key of the row.
        key: String,
    },
}

fn admission(open: bool) -> Admission {
    if open {
        Admission::Open
    } else {
        Admission::Closed
    }
}

impl ObjectRow {
    /// Returns the key of the object's row.
    #[must_use]
    pub fn key(&self) -> String {
        match self {
            Self::Workspace { name, .. } => keys::config("workspace", name),
            Self::Service { name, .. } => keys::config("service", name),
            Self::Server { name, .. } => keys::config("server", name),
            Self::Zone { name, .. } => keys::config("zone", name),
            Self::Removed { of, name } => keys::config(of.name(), name),
        }
    }

    /// Converts the row to the reducer's object; returns `None` if its key hash is malformed.
    #[must_use]
    pub fn into_object(self) -> Option<Object> {
        Some(match self {
            Self::Workspace {
                name,
                share,
                key_hash,
                queue_limit,
                retry_fraction,
            } => Object::Workspace(Workspace {
                name,
                share,
                key_hash: hex::decode(key_hash).ok()?.try_into().ok()?,
                queue_limit,
                retry_fraction,
            }),
            Self::Service {
                name,
                model,
                prompt_weight,
                output_weight,
            } => Object::Service(Service {
                name,
                kind: if model {
                    ServiceKind::Model
                } else {
                    ServiceKind::Plain
                },
                prompt_weight,
                output_weight,
            }),
            Self::Server {
                name,
                service,
                zone,
                address,
                cold_limit,
                max_limit,
                open,
            } => Object::Server(Server {
                name,
                service: ServiceId::new(&service),
                zone: ZoneId::new(&zone),
                address,
                cold_limit,
                max_limit,
                admission: admission(open),
            }),
            Self::Zone { name, open } => Object::Zone(Zone {
                name,
                admission: admission(open),
            }),
            Self::Removed { of, name } => Object::Removed(of.id(&name)),
        })
    }
}

/// Decodes a configuration object and its version from its row.
///
/// # Errors
///
/// Fails if the row is malformed.
pub fn decode(row: &Row) -> Result<(Version, Object), ObjectError> {
    let key = row.key.clone();
    let versioned: VersionedRow =
        serde_json::from_value(row.value.clone()).context(JsonSnafu { key: &key })?;
    let object = versioned
        .object
        .into_object()
        .ok_or(ObjectError::Hash { key })?;
    Ok((Version(versioned.version), object))
}
