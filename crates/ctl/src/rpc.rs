//! JSON-RPC calls of a router's admin port.

use std::net::SocketAddr;
use std::time::Duration;

use hibiscusrail_admin::RPC_PATH;
use http::{Method, Request, header};
use http_body_util::BodyExt;
use jsonrpsee_types::{Id, Request as Call, Response, ResponsePayload};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::context::Context;
use crate::error::{
    CallSnafu, ConnectSnafu, CtlError, HttpSnafu, JsonSnafu, StatusSnafu, TimeoutSnafu,
};

/// Time for one call.
const CALL_TIME: Duration = Duration::from_secs(5);

/// Calls `method` of the router's admin port.
///
/// # Errors
///
/// Says at which step and peer the call failed.
pub async fn call<Q, A>(context: &Context, method: &'static str, params: &Q) -> Result<A, CtlError>
where
    Q: Serialize,
    A: DeserializeOwned + Clone,
{
    let peer = context.router()?;
    let token = context.token()?;
    let exchange = exchange(peer, token, method, params);
    compio::time::timeout(CALL_TIME, exchange)
        .await
        .unwrap_or_else(|_| TimeoutSnafu { step: method, peer }.fail())
}

async fn exchange<Q, A>(
    peer: SocketAddr,
    token: &str,
    step: &'static str,
    params: &Q,
) -> Result<A, CtlError>
where
    Q: Serialize,
    A: DeserializeOwned + Clone,
{
    let mut connection = hibiscusrail_net::connect(peer, CALL_TIME)
        .await
        .context(ConnectSnafu { step })?;
    let params = serde_json::value::to_raw_value(params).context(JsonSnafu { step, peer })?;
    let call = Call::owned(step.to_owned(), Some(params), Id::Number(1));
    let request = Request::builder()
        .method(Method::POST)
        .uri(RPC_PATH)
        .header(header::HOST, peer.to_string())
        .header(header::AUTHORIZATION, format!("Bearer {token}"))
        .body(hibiscusrail_net::json(&call))
        .expect("the request is made of valid parts");
    let answer = connection
        .send_request(request)
        .await
        .context(HttpSnafu { step, peer })?;
    let status = answer.status();
    if !status.is_success() {
        return StatusSnafu { step, peer, status }.fail();
    }
    let body = answer
        .into_body()
        .collect()
        .await
        .context(HttpSnafu { step, peer })?
        .to_bytes();
    let response: Response<A> = serde_json::from_slice(&body).context(JsonSnafu { step, peer })?;
    match response.payload {
        ResponsePayload::Success(result) => Ok(result.into_owned()),
        ResponsePayload::Error(error) => CallSnafu {
            step,
            peer,
            code: error.code(),
            message: error.message(),
        }
        .fail(),
    }
}
