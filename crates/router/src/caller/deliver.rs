//! Passes the answer, or its refusal, to the caller.

use std::io;
use std::rc::Rc;

use futures_channel::mpsc;
use futures_util::StreamExt;
use hibiscusrail_core::CallId;
use hibiscusrail_net::Body;
use http::{HeaderValue, Response, StatusCode};

use crate::refusal::{self, REQUEST_ID};
use crate::shell::{Shell, ToCaller};

/// Tells the shell when a caller's connection goes away before the answer is whole.
struct HangupGuard {
    shell: Rc<Shell>,
    call: CallId,
}

impl Drop for HangupGuard {
    fn drop(&mut self) {
        self.shell.hang_up(self.call);
    }
}

pub async fn deliver(
    shell: Rc<Shell>,
    id: String,
    call: CallId,
    mut receiver: mpsc::UnboundedReceiver<ToCaller>,
) -> Response<Body> {
    let guard = HangupGuard { shell, call };
    let (status, headers) = match receiver.next().await {
        Some(ToCaller::Head(status, headers)) => (status, headers),
        Some(ToCaller::Refused(refused)) => return refusal::response(&id, &refused),
        Some(ToCaller::Data(_) | ToCaller::End) | None => {
            let message = "the answer came without a head";
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            return refusal::error(status, "internal", message, &id, "unknown");
        }
    };
    let body = forward(guard, receiver);
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    if let Ok(id) = HeaderValue::from_str(&id) {
        answer.headers_mut().insert(REQUEST_ID, id);
    }
    answer
}

/// Returns the body of an answer; an answer that is cut ends with an error.
fn forward(guard: HangupGuard, receiver: mpsc::UnboundedReceiver<ToCaller>) -> Body {
    let frames =
        futures_util::stream::unfold((guard, receiver), |(guard, mut receiver)| async move {
            let item = match receiver.next().await {
                Some(ToCaller::Data(data)) => Ok(http_body::Frame::data(data)),
                Some(ToCaller::End | ToCaller::Head(..)) => return None,
                Some(ToCaller::Refused(_)) | None => Err(io::Error::new(
                    io::ErrorKind::ConnectionAborted,
                    "answer cut",
                )),
            };
            Some((item, (guard, receiver)))
        });
    Box::pin(http_body_util::StreamBody::new(frames))
}
