//! Client of the platform's table.
//!
//! Tickets go directly to the table, not through a router: a transaction of the table accepts
//! them, and operators must be able to submit while some routers are unreachable. A router in
//! between would only add another point at which an answer can be lost.

use std::net::SocketAddr;
use std::time::Duration;

use hibiscusrail_store::table::{
    ReadAnswer, ReadRequest, Row, ScanAnswer, ScanRequest, TransactAnswer, TransactRequest,
};
use http::{Method, Request, header};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::error::{CtlError, JsonSnafu};
use crate::exchange::exchange;

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Client of the table at one address.
#[derive(Debug, Clone, Copy)]
pub struct Table {
    peer: SocketAddr,
}

impl Table {
    /// Creates a client of the table at `peer`.
    #[must_use]
    pub fn new(peer: SocketAddr) -> Self {
        Self { peer }
    }

    /// Returns the row of each requested key, `None` for a key without a row.
    ///
    /// # Errors
    ///
    /// Fails when the call fails, times out or returns malformed JSON.
    pub async fn read(&self, request: &ReadRequest) -> Result<Vec<Option<Row>>, CtlError> {
        let answer: ReadAnswer = self.call("/table/read", request).await?;
        Ok(answer.rows)
    }

    /// Reads one page of the rows whose keys start with a prefix.
    ///
    /// # Errors
    ///
    /// Fails when the call fails, times out or returns malformed JSON.
    pub async fn scan(&self, request: &ScanRequest) -> Result<ScanAnswer, CtlError> {
        self.call("/table/scan", request).await
    }

    /// Sends a transaction. After an error it may have been committed nevertheless.
    ///
    /// # Errors
    ///
    /// Fails when the call fails, times out or returns malformed JSON.
    pub async fn transact(&self, request: &TransactRequest) -> Result<TransactAnswer, CtlError> {
        self.call("/table/transact", request).await
    }

    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        step: &'static str,
        params: &Q,
    ) -> Result<A, CtlError> {
        let peer = self.peer;
        let request = Request::builder()
            .method(Method::POST)
            .uri(step)
            .header(header::HOST, peer.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(hibiscusrail_net::json(params))
            .expect("the request is made of valid parts");
        let body = exchange(peer, step, CALL_TIMEOUT, request).await?;
        serde_json::from_slice(&body).context(JsonSnafu { step, peer })
    }
}
