//! Records the outcome of one request in metrics and logs.

use std::rc::Rc;
use std::time::Instant;

use hibiscusrail_core::effect::Refused;

use super::head::RequestHead;
use crate::metrics::RequestEnd;
use crate::refusal::{Code, execution_name};
use crate::shell::Shell;

/// Outcome of a request whose complete response was handed to the connection.
const ANSWERED: &str = "answered";
/// Outcome of a request whose response was interrupted.
const CUT: &str = "cut";
/// Outcome of a request whose caller closed the connection before the response was complete.
const HUNG_UP: &str = "hung_up";
/// Code of a request that was not refused.
const OK: &str = "ok";

/// Tracks one request; dropped before an outcome was recorded, it records that the caller hung up.
pub struct RequestTracker {
    shell: Rc<Shell>,
    request: String,
    workspace: String,
    service: String,
    started: Instant,
    ended: bool,
}

impl RequestTracker {
    /// Starts tracking a request.
    pub fn new(shell: &Rc<Shell>, request: &str, head: &RequestHead, service: &str) -> Self {
        shell.begin_delivery();
        Self {
            shell: Rc::clone(shell),
            request: request.to_owned(),
            workspace: head.workspace_name.clone(),
            service: service.to_owned(),
            started: head.started,
            ended: false,
        }
    }

    /// Records the time to the head of the response.
    pub fn first_byte(&self) {
        let elapsed = self.shell.clock().now().duration_since(self.started);
        self.shell.metrics().first_byte(&self.service, elapsed);
    }

    /// Records that the response is complete.
    pub fn answered(&mut self) {
        self.end(log::Level::Debug, ANSWERED, OK);
    }

    /// Records that the response was interrupted.
    pub fn cut(&mut self, code: Code) {
        self.end(log::Level::Warn, CUT, code.name());
    }

    /// Records that the request was refused.
    pub fn refused(&mut self, refused: &Refused) {
        let code = Code::from(refused.reason).name();
        let outcome = execution_name(refused.execution);
        self.end(log::Level::Debug, outcome, code);
    }

    fn end(&mut self, level: log::Level, outcome: &str, code: &str) {
        self.ended = true;
        let total = self.shell.clock().now().duration_since(self.started);
        self.shell.metrics().request_ended(RequestEnd {
            service: &self.service,
            outcome,
            code,
            total,
        });
        let total_us = u64::try_from(total.as_micros()).unwrap_or(u64::MAX);
        log::log!(
            level,
            request = self.request.as_str(),
            workspace = self.workspace.as_str(),
            service = self.service.as_str(),
            outcome = outcome,
            code = code,
            total_us = total_us;
            "request_ended"
        );
    }
}

impl Drop for RequestTracker {
    fn drop(&mut self) {
        self.shell.end_delivery();
        if !self.ended {
            self.end(log::Level::Debug, HUNG_UP, Code::Cancelled.name());
        }
    }
}
