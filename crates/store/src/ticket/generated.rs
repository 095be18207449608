/// Error types.
pub mod error {
    /// Error from a `TryFrom` or `FromStr` implementation.
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
///Whether new work is sent: a closed server or zone finishes what runs.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Whether new work is sent: a closed server or zone finishes what runs.",
///  "type": "string",
///  "enum": [
///    "open",
///    "closed"
///  ]
///}
/// ```
/// </details>
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum Admission {
    #[serde(rename = "open")]
    Open,
    #[serde(rename = "closed")]
    Closed,
}
impl ::std::fmt::Display for Admission {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Open => f.write_str("open"),
            Self::Closed => f.write_str("closed"),
        }
    }
}
impl ::std::str::FromStr for Admission {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "open" => Ok(Self::Open),
            "closed" => Ok(Self::Closed),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Admission {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for Admission {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Admission {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Kind of an object.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Kind of an object.",
///  "type": "string",
///  "enum": [
///    "workspace",
///    "service",
///    "server",
///    "zone"
///  ]
///}
/// ```
/// </details>
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum Kind {
    #[serde(rename = "workspace")]
    Workspace,
    #[serde(rename = "service")]
    Service,
    #[serde(rename = "server")]
    Server,
    #[serde(rename = "zone")]
    Zone,
}
impl ::std::fmt::Display for Kind {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Workspace => f.write_str("workspace"),
            Self::Service => f.write_str("service"),
            Self::Server => f.write_str("server"),
            Self::Zone => f.write_str("zone"),
        }
    }
}
impl ::std::str::FromStr for Kind {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "workspace" => Ok(Self::Workspace),
            "service" => Ok(Self::Service),
            "server" => Ok(Self::Server),
            "zone" => Ok(Self::Zone),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Kind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for Kind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Kind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///An object that is removed.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "An object that is removed.",
///  "type": "object",
///  "required": [
///    "kind",
///    "name"
///  ],
///  "properties": {
///    "kind": {
///      "$ref": "#/definitions/Kind"
///    },
///    "name": {
///      "description": "Its name.",
///      "type": "string"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Removal {
    pub kind: Kind,
    ///Its name.
    pub name: ::std::string::String,
}
///A backend server.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A backend server.",
///  "type": "object",
///  "required": [
///    "address",
///    "admission",
///    "cold_limit",
///    "max_limit",
///    "name",
///    "service",
///    "zone"
///  ],
///  "properties": {
///    "address": {
///      "description": "IP address and port.",
///      "type": "string"
///    },
///    "admission": {
///      "$ref": "#/definitions/Admission"
///    },
///    "cold_limit": {
///      "description": "Requests it bears when freshly started; from 1.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "max_limit": {
///      "description": "Requests it bears when warm; not below cold_limit.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "name": {
///      "description": "Its name.",
///      "type": "string"
///    },
///    "service": {
///      "description": "The service it serves.",
///      "type": "string"
///    },
///    "zone": {
///      "description": "Where it stands.",
///      "type": "string"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServerState {
    ///IP address and port.
    pub address: ::std::string::String,
    pub admission: Admission,
    ///Requests it bears when freshly started; from 1.
    pub cold_limit: u32,
    ///Requests it bears when warm; not below cold_limit.
    pub max_limit: u32,
    ///Its name.
    pub name: ::std::string::String,
    ///The service it serves.
    pub service: ::std::string::String,
    ///Where it stands.
    pub zone: ::std::string::String,
}
///What stands behind a service.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "What stands behind a service.",
///  "type": "string",
///  "enum": [
///    "model",
///    "plain"
///  ]
///}
/// ```
/// </details>
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum ServiceKind {
    #[serde(rename = "model")]
    Model,
    #[serde(rename = "plain")]
    Plain,
}
impl ::std::fmt::Display for ServiceKind {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Model => f.write_str("model"),
            Self::Plain => f.write_str("plain"),
        }
    }
}
impl ::std::str::FromStr for ServiceKind {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "model" => Ok(Self::Model),
            "plain" => Ok(Self::Plain),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ServiceKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for ServiceKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ServiceKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///A service.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A service.",
///  "type": "object",
///  "required": [
///    "kind",
///    "name",
///    "output_weight",
///    "prompt_weight"
///  ],
///  "properties": {
///    "kind": {
///      "$ref": "#/definitions/ServiceKind"
///    },
///    "name": {
///      "description": "Its name.",
///      "type": "string"
///    },
///    "output_weight": {
///      "description": "Cost units per generated token (model) or per second (plain).",
///      "type": "number"
///    },
///    "prompt_weight": {
///      "description": "Cost units per prompt token (model) or per request (plain).",
///      "type": "number"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServiceState {
    pub kind: ServiceKind,
    ///Its name.
    pub name: ::std::string::String,
    ///Cost units per generated token (model) or per second (plain).
    pub output_weight: f64,
    ///Cost units per prompt token (model) or per request (plain).
    pub prompt_weight: f64,
}
///A change ticket: the whole new state of every object that it touches.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "title": "Ticket",
///  "description": "A change ticket: the whole new state of every object that it touches.",
///  "type": "object",
///  "required": [
///    "author",
///    "number"
///  ],
///  "properties": {
///    "author": {
///      "description": "Who asks for the change.",
///      "type": "string"
///    },
///    "note": {
///      "description": "Why the change is made.",
///      "default": "",
///      "type": "string"
///    },
///    "number": {
///      "description": "Number of the ticket; from 1, unique, above that of every ticket that touched one of the objects.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "removed": {
///      "description": "Objects that are removed.",
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/Removal"
///      }
///    },
///    "servers": {
///      "description": "New states of backend servers.",
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/ServerState"
///      }
///    },
///    "services": {
///      "description": "New states of services.",
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/ServiceState"
///      }
///    },
///    "workspaces": {
///      "description": "New states of workspaces.",
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/WorkspaceState"
///      }
///    },
///    "zones": {
///      "description": "New states of availability zones.",
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/ZoneState"
///      }
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Ticket {
    ///Who asks for the change.
    pub author: ::std::string::String,
    ///Why the change is made.
    #[serde(default)]
    pub note: ::std::string::String,
    ///Number of the ticket; from 1, unique, above that of every ticket that touched one of the objects.
    pub number: u64,
    ///Objects that are removed.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub removed: ::std::vec::Vec<Removal>,
    ///New states of backend servers.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub servers: ::std::vec::Vec<ServerState>,
    ///New states of services.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub services: ::std::vec::Vec<ServiceState>,
    ///New states of workspaces.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub workspaces: ::std::vec::Vec<WorkspaceState>,
    ///New states of availability zones.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub zones: ::std::vec::Vec<ZoneState>,
}
///A workspace.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A workspace.",
///  "type": "object",
///  "required": [
///    "key_hash",
///    "name",
///    "queue_limit",
///    "retry_fraction",
///    "share"
///  ],
///  "properties": {
///    "key_hash": {
///      "description": "SHA-256 of its key: 64 hexadecimal digits.",
///      "type": "string"
///    },
///    "name": {
///      "description": "Its name.",
///      "type": "string"
///    },
///    "queue_limit": {
///      "description": "Requests that may wait at one router, per service.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "retry_fraction": {
///      "description": "Retries allowed per request; from 0 to 1.",
///      "type": "number"
///    },
///    "share": {
///      "description": "Weight of its portion of the capacity; above zero.",
///      "type": "number"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceState {
    ///SHA-256 of its key: 64 hexadecimal digits.
    pub key_hash: ::std::string::String,
    ///Its name.
    pub name: ::std::string::String,
    ///Requests that may wait at one router, per service.
    pub queue_limit: u32,
    ///Retries allowed per request; from 0 to 1.
    pub retry_fraction: f64,
    ///Weight of its portion of the capacity; above zero.
    pub share: f64,
}
///An availability zone.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "An availability zone.",
///  "type": "object",
///  "required": [
///    "admission",
///    "name"
///  ],
///  "properties": {
///    "admission": {
///      "$ref": "#/definitions/Admission"
///    },
///    "name": {
///      "description": "Its name.",
///      "type": "string"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ZoneState {
    pub admission: Admission,
    ///Its name.
    pub name: ::std::string::String,
}
