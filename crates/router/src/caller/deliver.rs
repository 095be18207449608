//! Passes the answer, or its refusal, to the caller.

use std::io;
use std::rc::Rc;

use futures_channel::mpsc;
use futures_util::StreamExt;
use hibiscusrail_core::CallId;
use hibiscusrail_core::effect::Execution;
use hibiscusrail_net::Body;
use http::{HeaderValue, Response};

use super::Submitted;
use super::watch::Watch;
use crate::delivery::Delivery;
use crate::refusal::{self, Code, REQUEST_ID, execution_name};
use crate::shell::{Shell, ToCaller};

/// Tells the shell when a caller's connection goes away before the answer is whole.
struct HangupGuard {
    shell: Rc<Shell>,
    call: CallId,
    delivery: Rc<Delivery>,
    watch: Watch,
}

impl Drop for HangupGuard {
    fn drop(&mut self) {
        self.shell.hang_up(self.call);
    }
}

/// Waits for the head of the answer and returns it with the rest to come.
pub async fn deliver(shell: Rc<Shell>, id: String, submitted: Submitted) -> Response<Body> {
    let mut receiver = submitted.receiver;
    let mut guard = HangupGuard {
        shell,
        call: submitted.call,
        delivery: submitted.delivery,
        watch: submitted.watch,
    };
    let (status, headers) = match receiver.next().await {
        Some(ToCaller::Head(status, headers)) => (status, headers),
        Some(ToCaller::Refused(refused)) => {
            guard.watch.refused(&refused);
            return refusal::response(&id, &refused);
        }
        Some(ToCaller::Data(_) | ToCaller::End) | None => {
            guard.watch.cut(Code::Internal);
            let message = Code::Internal.message();
            let execution = execution_name(Execution::Unknown);
            return refusal::error(Code::Internal, message, &id, execution);
        }
    };
    guard.watch.first_byte();
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
        futures_util::stream::unfold((guard, receiver), |(mut guard, mut receiver)| async move {
            let item = match receiver.next().await {
                Some(ToCaller::Data(data)) => {
                    guard.delivery.taken(data.len());
                    Ok(http_body::Frame::data(data))
                }
                Some(ToCaller::End | ToCaller::Head(..)) => {
                    guard.watch.answered();
                    return None;
                }
                Some(ToCaller::Refused(refused)) => {
                    guard.watch.cut(refused.reason.into());
                    Err(cut())
                }
                None => {
                    guard.watch.cut(Code::Internal);
                    Err(cut())
                }
            };
            Some((item, (guard, receiver)))
        });
    Box::pin(http_body_util::StreamBody::new(frames))
}

fn cut() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, "answer cut")
}
