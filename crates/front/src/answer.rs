//! Passes a stream on to the caller and lets it go on elsewhere when it breaks.

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hibiscusrail_fleet::event::{Execution, Reason};
use hibiscusrail_fleet::{Event, Outcome, RequestKey};
use hibiscusrail_net::Body;
use http_body::Frame;

use crate::shell::{Next, Shell, Verdict, millis};
use crate::upstream::{self, Failure, Flow, Opened, Piece, Plan, Reply};

/// Outcome of a request whose whole answer was passed on.
const ANSWERED: &str = "answered";

/// Follows one request to its end; an end that nobody reports is a caller that left.
#[derive(Debug)]
pub struct Account {
    shell: Rc<Shell>,
    key: RequestKey,
    request: String,
    workspace: String,
    service: String,
    started: Instant,
    attempts: u32,
    events: u32,
    server: String,
    open: bool,
}

impl Account {
    /// Begins the account of a request.
    #[must_use]
    pub fn new(
        shell: &Rc<Shell>,
        key: RequestKey,
        request: &str,
        workspace: &str,
        service: &str,
        started: Instant,
    ) -> Self {
        Self {
            shell: Rc::clone(shell),
            key,
            request: request.to_owned(),
            workspace: workspace.to_owned(),
            service: service.to_owned(),
            started,
            attempts: 0,
            events: 0,
            server: String::new(),
            open: true,
        }
    }

    /// Returns the request's number.
    #[must_use]
    pub fn key(&self) -> RequestKey {
        self.key
    }

    /// Notes the server of an attempt.
    pub fn attempt(&mut self, server: &str) {
        self.attempts += 1;
        server.clone_into(&mut self.server);
    }

    /// Counts events that were passed on.
    pub fn events(&mut self, count: u32) {
        self.events += count;
    }

    /// Notes the first byte of the answer.
    pub fn first_byte(&self) {
        let after = self.shell.now().saturating_duration_since(self.started);
        self.shell.metrics().first_byte(&self.service, after);
        log::info!(
            request = self.request.as_str(),
            call = self.key.0,
            server = self.server.as_str(),
            after_ms = millis(after);
            "first_byte"
        );
    }

    /// Reports how an attempt failed and returns what is to be done.
    pub fn failed(&mut self, failure: &Failure) -> Next {
        let outcome = format!("{:?}", failure.outcome);
        self.shell.metrics().failed(&outcome);
        log::info!(
            request = self.request.as_str(),
            server = self.server.as_str(),
            attempt = self.attempts,
            outcome = outcome.as_str(),
            after_ms = millis(self.shell.now().saturating_duration_since(self.started));
            "attempt_failed"
        );
        let next = self.shell.event(Event::Ended(self.key, failure.outcome));
        // The reducer decides on each request that it knows.
        next.unwrap_or(Next::GiveUp(Verdict {
            reason: Reason::Exhausted,
            execution: Execution::Unknown,
            retry_after: Duration::ZERO,
        }))
    }

    /// Notes that the caller has the whole answer.
    pub fn answered(&mut self) {
        self.shell.event(Event::Ended(self.key, Outcome::Answered));
        self.end(ANSWERED, "");
    }

    /// Notes that the request was given up.
    pub fn given_up(&mut self, verdict: &Verdict) {
        let outcome = format!("{:?}", verdict.execution);
        let reason = format!("{:?}", verdict.reason);
        self.end(&outcome, &reason);
    }

    fn end(&mut self, outcome: &str, reason: &str) {
        self.open = false;
        let total = self.shell.now().saturating_duration_since(self.started);
        self.shell
            .metrics()
            .ended(&self.service, outcome, reason, total);
        log::info!(
            request = self.request.as_str(),
            call = self.key.0,
            workspace = self.workspace.as_str(),
            service = self.service.as_str(),
            outcome = outcome,
            reason = reason,
            attempts = self.attempts,
            events = self.events,
            server = self.server.as_str(),
            total_ms = millis(total);
            "request_ended"
        );
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        if self.open {
            self.shell.event(Event::Ended(self.key, Outcome::Left));
            self.end("Left", "");
        }
    }
}

/// A stream on its way to the caller.
struct Passing {
    shell: Rc<Shell>,
    plan: Plan,
    account: Account,
    flow: Option<Flow>,
    first: Option<Bytes>,
}

/// Returns the body of a stream; one that breaks for good ends with an error.
pub fn pass_on(shell: &Rc<Shell>, plan: Plan, account: Account, opened: Opened) -> Body {
    let passing = Passing {
        shell: Rc::clone(shell),
        plan,
        account,
        flow: Some(opened.flow),
        first: Some(opened.first),
    };
    let frames = futures_util::stream::unfold(passing, |mut passing| async move {
        let item = passing.next().await?;
        Some((item, passing))
    });
    Box::pin(http_body_util::StreamBody::new(frames))
}

impl Passing {
    async fn next(&mut self) -> Option<io::Result<Frame<Bytes>>> {
        loop {
            if let Some(events) = self.first.take() {
                return Some(Ok(Frame::data(events)));
            }
            let flow = self.flow.as_mut()?;
            match flow.next(&self.shell).await {
                Ok(Piece::Events { bytes, count, gap }) => {
                    let tokens = count * self.plan.event_tokens;
                    self.account.events(count);
                    if tokens > 0 {
                        let key = self.account.key();
                        self.shell.event(Event::Paced { key, gap, tokens });
                    }
                    return Some(Ok(Frame::data(bytes)));
                }
                Ok(Piece::End) => {
                    if let Some(flow) = self.flow.take() {
                        flow.finish(&self.shell);
                    }
                    self.account.answered();
                    return None;
                }
                Err(failure) => {
                    let last = self.flow.take().and_then(|f| f.last);
                    if !self.resume(failure, last).await {
                        return Some(Err(cut()));
                    }
                }
            }
        }
    }

    /// Lets the stream go on at another server; false when it ends here.
    async fn resume(&mut self, mut failure: Failure, last: Option<u64>) -> bool {
        loop {
            let target = match self.account.failed(&failure) {
                Next::Send(target) => target,
                Next::GiveUp(verdict) => {
                    self.account.given_up(&verdict);
                    return false;
                }
            };
            self.account.attempt(&target.id);
            let reply = upstream::attempt(&self.shell, &self.plan, &target, last).await;
            failure = match reply {
                Ok(Reply::Stream(opened)) => {
                    self.shell.event(Event::FirstByte(self.account.key()));
                    self.flow = Some(opened.flow);
                    self.first = Some(opened.first);
                    return true;
                }
                Ok(Reply::Whole(_)) => Outcome::Failed.into(),
                Err(failure) => failure,
            };
        }
    }
}

fn cut() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, "answer cut")
}
