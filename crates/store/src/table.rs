//! Messages of the platform's transactional table, as JSON over HTTP.
//!
//! `POST /table/read`, `POST /table/scan` and `POST /table/transact` take the
//! requests below. The table increments a row's version by one with every write.
//! A transaction commits only if every row in its conditions has the version given
//! there, zero for a row that must not exist. `GET /hosts` returns the [`HostList`].

use hibiscusrail_macros::record;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A row of the table.
#[record]
#[derive(Serialize, Deserialize)]
pub struct Row {
    /// Key of the row; scans return rows in key order.
    pub key: String,
    /// Version of the row: 1 at first, incremented with every write.
    pub version: u64,
    /// Content of the row.
    pub value: Value,
}

/// Request for rows by key.
#[record]
#[derive(Serialize, Deserialize)]
pub struct ReadRequest {
    /// Keys of the rows to read.
    pub keys: Vec<String>,
}

/// Answer to a [`ReadRequest`].
#[record]
#[derive(Serialize, Deserialize)]
pub struct ReadAnswer {
    /// One entry per requested key, in that order; `None` where no row exists.
    pub rows: Vec<Option<Row>>,
}

/// Request for the rows whose keys start with a prefix.
#[record]
#[derive(Serialize, Deserialize)]
pub struct ScanRequest {
    /// Prefix of the keys.
    pub prefix: String,
    /// Return only rows with keys greater than this one.
    pub after: String,
    /// Maximum number of rows to return.
    pub limit: usize,
}

/// Answer to a [`ScanRequest`].
#[record]
#[derive(Serialize, Deserialize)]
pub struct ScanAnswer {
    /// The rows found, in key order.
    pub rows: Vec<Row>,
    /// Whether more rows follow.
    pub more: bool,
}

/// Condition of a transaction: a row must have the given version.
#[record]
#[derive(Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// Required version; zero if the row must not exist.
    pub version: u64,
}

/// Write of one row in a transaction.
#[record]
#[derive(Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// New content; `None` deletes the row.
    pub value: Option<Value>,
    /// Time to live in seconds, after which the platform may delete the row.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub keep_s: Option<u64>,
}

/// Transaction that applies all of its writes or none.
#[record]
#[derive(Serialize, Deserialize)]
pub struct TransactRequest {
    /// Conditions that must all hold for the transaction to commit.
    pub conditions: Vec<Condition>,
    /// Writes to apply.
    pub writes: Vec<Write>,
}

/// Answer to a [`TransactRequest`].
#[record]
#[derive(Serialize, Deserialize)]
pub struct TransactAnswer {
    /// Whether the transaction was committed.
    pub committed: bool,
    /// Current state of the rows whose conditions failed.
    pub conflicts: Vec<Row>,
}

/// A host and the router on it.
#[record]
#[derive(Serialize, Deserialize)]
pub struct Host {
    /// Name of the router.
    pub router: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Address to which other routers send datagrams.
    pub address: std::net::SocketAddr,
    /// Whether the platform is removing the host.
    pub leaving: bool,
}

/// The platform's list of live and leaving hosts, the answer to `GET /hosts`.
#[record]
#[derive(Serialize, Deserialize, Default)]
pub struct HostList {
    /// The hosts.
    pub hosts: Vec<Host>,
}
