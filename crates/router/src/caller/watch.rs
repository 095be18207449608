//! The account of one request, for metrics and logs.

use std::rc::Rc;
use std::time::Instant;

use hibiscusrail_core::effect::Refused;

use super::head::Asked;
use crate::metrics::Ended;
use crate::refusal::{Code, execution_name};
use crate::shell::Shell;

/// Outcome of a request whose whole answer was handed to the connection.
const ANSWERED: &str = "answered";
/// Outcome of a request whose answer broke off.
const CUT: &str = "cut";
/// Outcome of a request whose caller went away first.
const HUNG_UP: &str = "hung_up";
/// Code of a request that was not refused.
const OK: &str = "ok";

/// Follows one request from its head to its end; an end that nobody reports
/// is a caller that hung up.
pub struct Watch {
    shell: Rc<Shell>,
    request: String,
    workspace: String,
    service: String,
    started: Instant,
    ended: bool,
}

impl Watch {
    /// Begins the account of a request.
    pub fn new(shell: &Rc<Shell>, request: &str, asked: &Asked, service: &str) -> Self {
        shell.begin_delivery();
        Self {
            shell: Rc::clone(shell),
            request: request.to_owned(),
            workspace: asked.name.clone(),
            service: service.to_owned(),
            started: asked.started,
            ended: false,
        }
    }

    /// Notes that the head of the answer is there.
    pub fn first_byte(&self) {
        let after = self.shell.clock().now().duration_since(self.started);
        self.shell.metrics().first_byte(&self.service, after);
    }

    /// Notes that the answer is whole.
    pub fn answered(&mut self) {
        self.end(log::Level::Debug, ANSWERED, OK);
    }

    /// Notes that the answer broke off.
    pub fn cut(&mut self, code: Code) {
        self.end(log::Level::Warn, CUT, code.name());
    }

    /// Notes that the request was refused.
    pub fn refused(&mut self, refused: &Refused) {
        let code = Code::from(refused.reason).name();
        let outcome = execution_name(refused.execution);
        self.end(log::Level::Debug, outcome, code);
    }

    fn end(&mut self, level: log::Level, outcome: &str, code: &str) {
        self.ended = true;
        let total = self.shell.clock().now().duration_since(self.started);
        self.shell.metrics().ended(Ended {
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

impl Drop for Watch {
    fn drop(&mut self) {
        self.shell.end_delivery();
        if !self.ended {
            self.end(log::Level::Debug, HUNG_UP, Code::Cancelled.name());
        }
    }
}
