//! Relays a response stream to the caller and resumes it at another server when it breaks.

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hibiscusrail_fleet::event::{Execution, Reason};
use hibiscusrail_fleet::{Event, Outcome, RequestKey};
use hibiscusrail_net::Body;
use http_body::Frame;

use crate::origins::Evidence;
use crate::shell::{NextStep, RequestError, Shell, millis};
use crate::upstream::{
    self, AttemptError, EventStream, Hop, Interruption, OpenStream, Plan, Reply, StreamItem,
};

/// Outcome counted for an attempt at a silent server that was cancelled for another one.
const REPLACED: &str = "Replaced";
/// Outcome logged for a request whose response reached the caller in full.
const ANSWERED: &str = "answered";

/// Records the progress of a request in the reducer, the log and the metrics; if dropped before
/// the request has ended, it records that the caller disconnected.
#[derive(Debug)]
pub struct RequestTracker {
    shell: Rc<Shell>,
    key: RequestKey,
    request: String,
    workspace: String,
    service: String,
    started: Instant,
    attempts: u32,
    events: u32,
    server: String,
    /// What told which version began the stream that the request takes up; none for other requests.
    resumed: Option<Evidence>,
    active: bool,
}

impl RequestTracker {
    /// Creates the tracker of a request that has no attempt yet.
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
            resumed: None,
            active: true,
        }
    }

    /// Marks the request as one that takes a stream up.
    #[must_use]
    pub fn with_resumed(mut self, evidence: Option<Evidence>) -> Self {
        self.resumed = evidence;
        self
    }

    /// Returns the request's key in the reducer.
    #[must_use]
    pub fn key(&self) -> RequestKey {
        self.key
    }

    /// Returns the request's id as the caller sent it.
    #[must_use]
    pub fn request(&self) -> &str {
        &self.request
    }

    /// Returns the name of the request's service.
    #[must_use]
    pub fn service(&self) -> &str {
        &self.service
    }

    /// Records an attempt at `server`.
    pub fn start_attempt(&mut self, server: &str) {
        self.attempts += 1;
        server.clone_into(&mut self.server);
    }

    /// Records that the attempt at a silent server was cancelled, as `next` has the request.
    fn attempt_replaced(&mut self, next: &str) {
        self.shell.metrics().attempt_failed(REPLACED);
        log::info!(
            request = self.request.as_str(),
            server = self.server.as_str(),
            attempt = self.attempts,
            next = next,
            after_ms = millis(self.shell.now().saturating_duration_since(self.started));
            "attempt_replaced"
        );
    }

    /// Records the end of an attempt and returns the server that the request is sent to next.
    ///
    /// # Errors
    ///
    /// Returns why the request fails.
    pub fn next_hop(&mut self, interruption: Interruption) -> Result<Hop, RequestError> {
        let failure = match interruption {
            Interruption::Failed(failure) => failure,
            Interruption::Replaced(hop) => {
                self.attempt_replaced(&hop.target.id);
                return Ok(*hop);
            }
            Interruption::Stopping => {
                self.shell.handle(Event::Ended(self.key, Outcome::Left));
                return Err(RequestError {
                    reason: Reason::Stopping,
                    execution: Execution::Unknown,
                    retry_after: Duration::ZERO,
                });
            }
        };
        match self.attempt_failed(&failure) {
            NextStep::Send(target) => Ok(target.into()),
            NextStep::Fail(error) => Err(error),
        }
    }

    /// Adds to the number of events sent to the caller.
    pub fn add_events(&mut self, count: u32) {
        self.events += count;
    }

    /// Records the time to first byte of the response.
    pub fn record_first_byte(&self) {
        let after = self.shell.now().saturating_duration_since(self.started);
        self.shell
            .metrics()
            .observe_first_byte(&self.service, after);
        log::info!(
            request = self.request.as_str(),
            call = self.key.0,
            server = self.server.as_str(),
            after_ms = millis(after);
            "first_byte"
        );
    }

    /// Reports a failed attempt to the reducer and returns its next step.
    fn attempt_failed(&mut self, failure: &AttemptError) -> NextStep {
        let outcome = format!("{:?}", failure.outcome);
        self.shell.metrics().attempt_failed(&outcome);
        log::info!(
            request = self.request.as_str(),
            server = self.server.as_str(),
            attempt = self.attempts,
            outcome = outcome.as_str(),
            after_ms = millis(self.shell.now().saturating_duration_since(self.started));
            "attempt_failed"
        );
        let step = self.shell.handle(Event::Ended(self.key, failure.outcome));
        // The reducer returns a decision for every request that it knows.
        step.unwrap_or(NextStep::Fail(RequestError {
            reason: Reason::Exhausted,
            execution: Execution::Unknown,
            retry_after: Duration::ZERO,
        }))
    }

    /// Records that the caller has received the full response.
    pub fn complete(&mut self) {
        self.shell.handle(Event::Ended(self.key, Outcome::Answered));
        self.finish(ANSWERED, "");
    }

    /// Records that the request failed for good.
    pub fn fail(&mut self, error: &RequestError) {
        let outcome = format!("{:?}", error.execution);
        let reason = format!("{:?}", error.reason);
        if error.execution == Execution::NotRun {
            self.shell.unserved().count(&self.workspace, error.reason);
        }
        self.finish(&outcome, &reason);
    }

    fn finish(&mut self, outcome: &str, reason: &str) {
        self.active = false;
        let total = self.shell.now().saturating_duration_since(self.started);
        self.shell
            .metrics()
            .request_ended(&self.service, outcome, reason, total);
        self.shell
            .metrics()
            .workspace_request_ended(&self.workspace, outcome, reason);
        if let Some(evidence) = self.resumed {
            self.shell
                .metrics()
                .resume_ended(evidence.name(), outcome, reason);
        }
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
            resumed = self.resumed.map(Evidence::name),
            total_ms = millis(total);
            "request_ended"
        );
    }
}

impl Drop for RequestTracker {
    fn drop(&mut self) {
        if self.active {
            self.shell.handle(Event::Ended(self.key, Outcome::Left));
            self.finish("Left", "");
        }
    }
}

/// Relays one stream to the caller, across servers if it has to be resumed.
struct StreamRelay {
    shell: Rc<Shell>,
    plan: Plan,
    tracker: RequestTracker,
    stream: Option<EventStream>,
    first: Option<Bytes>,
}

/// Returns the response body of a stream; it ends with an error if the stream can't be resumed.
pub fn relay_body(
    shell: &Rc<Shell>,
    plan: Plan,
    tracker: RequestTracker,
    open: OpenStream,
) -> Body {
    let relay = StreamRelay {
        shell: Rc::clone(shell),
        plan,
        tracker,
        stream: Some(open.stream),
        first: Some(open.first),
    };
    let frames = futures_util::stream::unfold(relay, |mut relay| async move {
        let item = relay.next().await?;
        Some((item, relay))
    });
    Box::pin(http_body_util::StreamBody::new(frames))
}

impl StreamRelay {
    async fn next(&mut self) -> Option<io::Result<Frame<Bytes>>> {
        loop {
            if let Some(events) = self.first.take() {
                return Some(Ok(Frame::data(events)));
            }
            let stream = self.stream.as_mut()?;
            match stream.next(&self.shell).await {
                Ok(StreamItem::Events { bytes, count, gap }) => {
                    let tokens = count * self.plan.event_tokens;
                    self.tracker.add_events(count);
                    if tokens > 0 {
                        let key = self.tracker.key();
                        self.shell
                            .handle(Event::StreamProgress { key, gap, tokens });
                    }
                    return Some(Ok(Frame::data(bytes)));
                }
                Ok(StreamItem::End) => {
                    if let Some(stream) = self.stream.take() {
                        stream.finish(&self.shell);
                    }
                    self.tracker.complete();
                    return None;
                }
                Err(interruption) => {
                    // Dropping the stream cancels the attempt; another server may have the request.
                    let last_id = self.stream.take().and_then(|s| s.last_id);
                    if !self.resume(interruption, last_id).await {
                        return Some(Err(aborted()));
                    }
                }
            }
        }
    }

    /// Resumes the stream elsewhere after the event `last_id`; returns false if the request failed.
    async fn resume(&mut self, mut interruption: Interruption, last_id: Option<u64>) -> bool {
        loop {
            let hop = match self.tracker.next_hop(interruption) {
                Ok(hop) => hop,
                Err(error) => {
                    self.tracker.fail(&error);
                    return false;
                }
            };
            self.tracker.start_attempt(&hop.target.id);
            let reply = upstream::attempt(&self.shell, &self.plan, hop, last_id).await;
            interruption = match reply {
                Ok(Reply::Stream(open)) => {
                    self.shell.handle(Event::FirstByte(self.tracker.key()));
                    let OpenStream { first, stream, .. } = *open;
                    self.stream = Some(stream);
                    self.first = Some(first);
                    return true;
                }
                Ok(Reply::Full(_)) => Outcome::Failed.into(),
                Err(interruption) => interruption,
            };
        }
    }
}

fn aborted() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, "response aborted")
}
