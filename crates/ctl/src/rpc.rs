//! Client of the JSON-RPC calls on a router's admin port.

use std::time::Duration;

use hibiscusrail_admin::RPC_PATH;
use http::{Method, Request, header};
use jsonrpsee_types::{Id, Request as Call, Response, ResponsePayload};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::context::Context;
use crate::error::{CtlError, JsonSnafu, RpcSnafu};
use crate::exchange::exchange;

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Calls `method` on the router's admin port and returns the result.
///
/// # Errors
///
/// Fails when `--router` or `--token-file` is missing, when the HTTP exchange fails, and when
/// the router answers with an error.
pub async fn call<Q, A>(context: &Context, method: &'static str, params: &Q) -> Result<A, CtlError>
where
    Q: Serialize,
    A: DeserializeOwned + Clone,
{
    let peer = context.router()?;
    let token = context.token()?;
    let step = method;
    let params = serde_json::value::to_raw_value(params).context(JsonSnafu { step, peer })?;
    let call = Call::owned(step.to_owned(), Some(params), Id::Number(1));
    let request = Request::builder()
        .method(Method::POST)
        .uri(RPC_PATH)
        .header(header::HOST, peer.to_string())
        .header(header::AUTHORIZATION, format!("Bearer {token}"))
        .body(hibiscusrail_net::json(&call))
        .expect("the request is made of valid parts");
    let body = exchange(peer, step, CALL_TIMEOUT, request).await?;
    let response: Response<A> = serde_json::from_slice(&body).context(JsonSnafu { step, peer })?;
    match response.payload {
        ResponsePayload::Success(result) => Ok(result.into_owned()),
        ResponsePayload::Error(error) => RpcSnafu {
            step,
            peer,
            code: error.code(),
            message: error.message(),
        }
        .fail(),
    }
}
