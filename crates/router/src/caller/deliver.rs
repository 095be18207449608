//! Builds a caller's HTTP response from the messages that the shell sends for its request.

use std::io;
use std::rc::Rc;

use futures_channel::mpsc;
use futures_util::StreamExt;
use hibiscusrail_core::CallId;
use hibiscusrail_core::effect::Execution;
use hibiscusrail_net::Body;
use http::{HeaderValue, Response};

use super::Submitted;
use super::tracker::RequestTracker;
use crate::delivery::Delivery;
use crate::refusal::{self, Code, REQUEST_ID, execution_name};
use crate::shell::{Shell, ToCaller};

/// Removes the call when dropped and reports a hang-up to the reducer unless the call has ended.
struct HangupGuard {
    shell: Rc<Shell>,
    call: CallId,
    delivery: Rc<Delivery>,
    tracker: RequestTracker,
}

impl Drop for HangupGuard {
    fn drop(&mut self) {
        self.shell.hang_up(self.call);
    }
}

/// Waits for the head of the response and returns it with a streaming body.
pub async fn deliver(shell: Rc<Shell>, id: String, submitted: Submitted) -> Response<Body> {
    let mut receiver = submitted.receiver;
    let mut guard = HangupGuard {
        shell,
        call: submitted.call,
        delivery: submitted.delivery,
        tracker: submitted.tracker,
    };
    let (status, headers) = match receiver.next().await {
        Some(ToCaller::Head(status, headers)) => (status, headers),
        Some(ToCaller::Refused(refused)) => {
            guard.tracker.refused(&refused);
            return refusal::response(&id, &refused);
        }
        Some(ToCaller::Data(_) | ToCaller::End) | None => {
            guard.tracker.cut(Code::Internal);
            let message = Code::Internal.message();
            let execution = execution_name(Execution::Unknown);
            return refusal::error(Code::Internal, message, &id, execution);
        }
    };
    guard.tracker.first_byte();
    let body = forward(guard, receiver);
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    if let Ok(id) = HeaderValue::from_str(&id) {
        response.headers_mut().insert(REQUEST_ID, id);
    }
    response
}

/// Returns the body of a response as a stream, which ends with an error if it is interrupted.
fn forward(guard: HangupGuard, receiver: mpsc::UnboundedReceiver<ToCaller>) -> Body {
    let frames =
        futures_util::stream::unfold((guard, receiver), |(mut guard, mut receiver)| async move {
            let item = match receiver.next().await {
                Some(ToCaller::Data(data)) => {
                    guard.delivery.taken(data.len());
                    Ok(http_body::Frame::data(data))
                }
                Some(ToCaller::End | ToCaller::Head(..)) => {
                    guard.tracker.answered();
                    return None;
                }
                Some(ToCaller::Refused(refused)) => {
                    guard.tracker.cut(refused.reason.into());
                    Err(interrupted())
                }
                None => {
                    guard.tracker.cut(Code::Internal);
                    Err(interrupted())
                }
            };
            Some((item, (guard, receiver)))
        });
    Box::pin(http_body_util::StreamBody::new(frames))
}

fn interrupted() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, "response interrupted")
}
