//! Configuration objects as rows of the table.

use hibiscusrail_core::configuration::{
    Admission, Object, ObjectId, Server, Service, ServiceKind, Version, Workspace, Zone,
};
use hibiscusrail_core::{ServerId, ServiceId, WorkspaceId, ZoneId};
use hibiscusrail_macros::{id, record};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::keys;
use crate::table::Row;

/// An object with the number of its last ticket.
#[record]
#[derive(Serialize, Deserialize)]
pub struct VersionedRow {
    /// Number of the ticket.
    pub version: u64,
    /// Author of the ticket.
    #[serde(default)]
    pub author: String,
    /// The object.
    pub object: ObjectRow,
}

/// A configuration object as JSON.
#[record]
#[derive(Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ObjectRow {
    /// A workspace.
    Workspace {
        /// Name.
        name: String,
        /// Weight of its portion.
        share: f64,
        /// SHA-256 of its key in hexadecimal.
        key_hash: String,
        /// Requests that may wait at one router, per service.
        queue_limit: u32,
        /// Retries per request, as a fraction.
        retry_fraction: f64,
    },
    /// A service.
    Service {
        /// Name.
        name: String,
        /// Whether model engines stand behind it.
        model: bool,
        /// Cost units per prompt token or request.
        prompt_weight: f64,
        /// Cost units per generated token or second.
        output_weight: f64,
    },
    /// A backend server.
    Server {
        /// Name.
        name: String,
        /// Service.
        service: String,
        /// Zone.
        zone: String,
        /// Address.
        address: std::net::SocketAddr,
        /// Requests borne when cold.
        cold_limit: u32,
        /// Requests borne when warm.
        max_limit: u32,
        /// Whether it takes new work.
        open: bool,
    },
    /// An availability zone.
    Zone {
        /// Name.
        name: String,
        /// Whether its servers take new work.
        open: bool,
    },
    /// An object that was removed; its row keeps the version.
    Removed {
        /// Kind of the object.
        of: ObjectKind,
        /// Name.
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
    /// Returns the kind as it is written in keys.
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

/// Why a row is no configuration object.
#[derive(Debug, Snafu)]
pub enum ObjectError {
    /// The JSON does not fit.
    #[snafu(display("row {key} is malformed: {source}"))]
    Json {
        /// Key of the row.
        key: String,
        /// What is wrong.
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

    /// Turns the row into the reducer's object; none when a hash is malformed.
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

/// Reads a configuration object from its row.
///
/// # Errors
///
/// Fails when the row is malformed.
pub fn from_row(row: &Row) -> Result<(Version, Object), ObjectError> {
    let key = row.key.clone();
    let versioned: VersionedRow =
        serde_json::from_value(row.value.clone()).context(JsonSnafu { key: &key })?;
    let object = versioned
        .object
        .into_object()
        .ok_or(ObjectError::Hash { key })?;
    Ok((Version(versioned.version), object))
}
