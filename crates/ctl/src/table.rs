//! Calls of the platform's table.
//!
//! Tickets go straight to the table and not through a router: the table's
//! transaction is what accepts them, and operators must be able to submit
//! while some routers are cut off. A router in between could only add one more
//! place for an answer to be lost.

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

/// Time for one call.
const CALL_TIME: Duration = Duration::from_secs(3);

/// The table at one address.
#[derive(Debug, Clone, Copy)]
pub struct Table {
    peer: SocketAddr,
}

impl Table {
    /// Creates the client of the table at `peer`.
    #[must_use]
    pub fn new(peer: SocketAddr) -> Self {
        Self { peer }
    }

    /// Reads rows by key.
    ///
    /// # Errors
    ///
    /// Fails when no answer comes.
    pub async fn read(&self, question: &ReadRequest) -> Result<Vec<Option<Row>>, CtlError> {
        let answer: ReadAnswer = self.call("/table/read", question).await?;
        Ok(answer.rows)
    }

    /// Reads the rows under a prefix.
    ///
    /// # Errors
    ///
    /// Fails when no answer comes.
    pub async fn scan(&self, question: &ScanRequest) -> Result<ScanAnswer, CtlError> {
        self.call("/table/scan", question).await
    }

    /// Sends a transaction; after an error it may still have taken effect.
    ///
    /// # Errors
    ///
    /// Fails when no answer comes.
    pub async fn transact(&self, question: &TransactRequest) -> Result<TransactAnswer, CtlError> {
        self.call("/table/transact", question).await
    }

    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        step: &'static str,
        question: &Q,
    ) -> Result<A, CtlError> {
        let peer = self.peer;
        let request = Request::builder()
            .method(Method::POST)
            .uri(step)
            .header(header::HOST, peer.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(hibiscusrail_net::json(question))
            .expect("the request is made of valid parts");
        let body = exchange(peer, step, CALL_TIME, request).await?;
        serde_json::from_slice(&body).context(JsonSnafu { step, peer })
    }
}
