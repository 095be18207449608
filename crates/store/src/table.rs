//! Messages of the platform's transactional table, as JSON over HTTP.
//!
//! `POST /table/read`, `POST /table/scan` and `POST /table/transact` take the
//! requests below. A row has a version that the table raises by one with every write;
//! a transaction commits only while every row it names stands at the version
//! it names, zero for a row that must not exist.

use hibiscusrail_macros::record;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A row of the table.
#[record]
#[derive(Serialize, Deserialize)]
pub struct Row {
    /// Key; rows are ordered by it.
    pub key: String,
    /// Version, raised with every write; from 1.
    pub version: u64,
    /// Content.
    pub value: Value,
}

/// Asks for rows by key.
#[record]
#[derive(Serialize, Deserialize)]
pub struct ReadRequest {
    /// The keys.
    pub keys: Vec<String>,
}

/// Rows in the order of the keys asked for; none where no row exists.
#[record]
#[derive(Serialize, Deserialize)]
pub struct ReadAnswer {
    /// The rows.
    pub rows: Vec<Option<Row>>,
}

/// Asks for the rows whose keys begin with a prefix.
#[record]
#[derive(Serialize, Deserialize)]
pub struct ScanRequest {
    /// The prefix.
    pub prefix: String,
    /// Only keys after this one.
    pub after: String,
    /// Rows at most.
    pub limit: usize,
}

/// Rows found by a scan, ordered by key.
#[record]
#[derive(Serialize, Deserialize)]
pub struct ScanAnswer {
    /// The rows.
    pub rows: Vec<Row>,
    /// Whether more follow.
    pub more: bool,
}

/// A row that must stand at a version.
#[record]
#[derive(Serialize, Deserialize)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// The version; zero when the row must not exist.
    pub version: u64,
}

/// A row to be written.
#[record]
#[derive(Serialize, Deserialize)]
pub struct Write {
    /// The key.
    pub key: String,
    /// New content; none deletes the row.
    pub value: Option<Value>,
    /// Seconds after which the platform may drop the row.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub keep_s: Option<u64>,
}

/// A transaction: all of its writes, or none.
#[record]
#[derive(Serialize, Deserialize)]
pub struct TransactRequest {
    /// What must hold.
    pub conditions: Vec<Condition>,
    /// What is written.
    pub writes: Vec<Write>,
}

/// What became of a transaction.
#[record]
#[derive(Serialize, Deserialize)]
pub struct TransactAnswer {
    /// Whether it was committed.
    pub committed: bool,
    /// The rows that stood in its way, as they are.
    pub conflicts: Vec<Row>,
}

/// A host of the platform's list, `GET /hosts`.
#[record]
#[derive(Serialize, Deserialize)]
pub struct Host {
    /// Name of the router on it.
    pub router: String,
    /// Its zone.
    pub zone: String,
    /// Where its router takes datagrams.
    pub address: std::net::SocketAddr,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// The platform's list of live and leaving hosts.
#[record]
#[derive(Serialize, Deserialize, Default)]
pub struct HostList {
    /// The hosts.
    pub hosts: Vec<Host>,
}
