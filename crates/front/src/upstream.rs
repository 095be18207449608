//! One attempt at a backend server.
//!
//! A response must repeat the id of its request. A non-streaming response is
//! returned once it is complete, a stream once its first event has arrived.

use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use futures_util::future::{Either, LocalBoxFuture, select};
use hibiscusrail_fleet::{Event, Fleet, Outcome, RequestKey};
use hibiscusrail_net::body::{CollectError, collect_charged};
use hibiscusrail_net::memory::{Account, BUFFER_BYTES, FREE_BYTES, WriteState};
use hibiscusrail_net::sse::{MAX_EVENT_BYTES, Splitter};
use hibiscusrail_net::{Body, OwnedConnection, connect_owned, headers};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::outgoing::Outgoing;
use crate::shell::{Shell, Target};

/// Timeout of connecting to a server; a lost first packet is retransmitted only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause for a server whose `Retry-After` is not a number of seconds.
const UNREADABLE_PAUSE: Duration = Duration::from_secs(1);
/// Maximum size of a non-streaming response in bytes; services send no larger ones.
const MAX_FULL_BYTES: usize = 8 << 20;

/// Time for which a silent server and the one that is to replace it may both have the request, so
/// that one that turns it away ends nothing.
const HANDOVER_TIME: Duration = Duration::from_millis(100);
/// Time between two looks for a server that replaces a silent one.
const STALL_INTERVAL: Duration = Duration::from_millis(400);

/// What every attempt of a request sends, and how its response is read.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Key of the request in the reducer.
    pub key: RequestKey,
    /// The request to send.
    pub outgoing: Rc<Outgoing>,
    /// Whether the response is a stream of events.
    pub stream: bool,
    /// Tokens in one event of the stream; zero if unknown.
    pub event_tokens: u32,
    /// Whether the request may run twice, so that it may use a pooled connection.
    pub retryable: bool,
    /// Whether a caller may take up the stream which the request begins.
    pub begins: bool,
    /// Time without receiving a byte after which another server is looked for; none for requests that
    /// can't be retried.
    pub read_timeout: Option<Duration>,
    /// Pause between two events after which the caller has given a stream up.
    pub abandon_time: Option<Duration>,
    /// Whether the caller reads its response.
    pub reader: Option<Arc<WriteState>>,
}

/// The head of a server's response, and the connection that delivers the rest.
type Exchange = Result<(OwnedConnection, Response<Incoming>), AttemptError>;

/// The server of an attempt.
pub struct Hop {
    /// The server.
    pub target: Target,
    /// The server's response, if the request was sent there already.
    exchange: Option<LocalBoxFuture<'static, Exchange>>,
}

impl std::fmt::Debug for Hop {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Hop")
            .field("target", &self.target)
            .finish_non_exhaustive()
    }
}

impl From<Target> for Hop {
    fn from(target: Target) -> Self {
        Self {
            target,
            exchange: None,
        }
    }
}

/// A complete non-streaming response.
#[derive(Debug)]
pub struct FullResponse {
    /// Status for the caller.
    pub status: StatusCode,
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// A stream whose first events have arrived.
#[derive(Debug)]
pub struct OpenStream {
    /// Status for the caller.
    pub status: StatusCode,
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// The events that arrived.
    pub first: Bytes,
    /// The events that follow.
    pub stream: EventStream,
}

/// A server's response to an attempt.
#[derive(Debug)]
pub enum Reply {
    /// A complete non-streaming response.
    Full(FullResponse),
    /// A stream that has begun.
    Stream(Box<OpenStream>),
}

/// Why an attempt has no response for the caller.
#[derive(Debug)]
pub struct AttemptError {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The server's own error response, if it sent one.
    pub response: Option<Box<FullResponse>>,
}

/// Why an attempt ended before its response was complete.
#[derive(Debug)]
pub enum Interruption {
    /// It failed.
    Failed(AttemptError),
    /// Its server was silent, and this one has the request.
    Replaced(Box<Hop>),
    /// The process is about to exit.
    Stopping,
}

impl Interruption {
    /// Takes the server's own error response, if it sent one.
    pub fn take_response(&mut self) -> Option<Box<FullResponse>> {
        match self {
            Self::Failed(failure) => failure.response.take(),
            Self::Replaced(_) | Self::Stopping => None,
        }
    }
}

impl From<Outcome> for AttemptError {
    fn from(outcome: Outcome) -> Self {
        Self {
            outcome,
            response: None,
        }
    }
}

impl From<Outcome> for Interruption {
    fn from(outcome: Outcome) -> Self {
        Self::Failed(outcome.into())
    }
}

impl From<AttemptError> for Interruption {
    fn from(failure: AttemptError) -> Self {
        Self::Failed(failure)
    }
}

/// Reads the events of a stream from its connection.
#[derive(Debug)]
pub struct EventStream {
    address: SocketAddr,
    connection: OwnedConnection,
    body: Incoming,
    splitter: Splitter,
    /// Memory of an event that has not arrived in full.
    account: Account,
    plan: Plan,
    /// Id of the last event returned.
    pub last_id: Option<u64>,
    /// When the last events arrived; at first, when the response began.
    last_arrival: Instant,
    /// Whether an event other than a comment has arrived.
    has_event: bool,
    /// Time spent waiting for the server since the last event; a caller that reads slowly does not
    /// add to it.
    silence: Duration,
    /// Bytes received since events were last returned.
    unreturned: usize,
}

/// The next part of a stream.
#[derive(Debug)]
pub enum StreamItem {
    /// One or more complete events.
    Events {
        /// Bytes of the events.
        bytes: Bytes,
        /// Number of events without the comments.
        count: u32,
        /// Time since the previous events arrived.
        gap: Duration,
    },
    /// The stream is complete.
    End,
}

/// Sends the request to a server and reads a complete response or the first events of a stream.
///
/// # Errors
///
/// Returns how the attempt ended and the server's error response, if it sent one, or the server that
/// replaces a silent one.
pub async fn attempt(
    shell: &Rc<Shell>,
    plan: &Plan,
    hop: Hop,
    resume: Option<u64>,
) -> Result<Reply, Interruption> {
    // A caller must not lose its connection without an answer.
    let running = pin!(run_attempt(shell, plan, hop, resume));
    race(running, shell.exit_begins())
        .await
        .map_or_else(|reply| reply, |()| Err(Interruption::Stopping))
}

async fn run_attempt(
    shell: &Rc<Shell>,
    plan: &Plan,
    hop: Hop,
    resume: Option<u64>,
) -> Result<Reply, Interruption> {
    let Hop { target, exchange } = hop;
    let target = &target;
    let patience = Patience::new(plan, resume);
    let sending = async {
        match exchange {
            Some(exchange) => exchange.await,
            None => send(shell, plan, target, resume).await,
        }
    };
    let sent = patience.wait(shell, target.expected * 2, sending).await;
    let (connection, response) = sent??;
    read_notices(shell, target, response.headers(), response.status());
    check_head(shell, plan, response.headers(), response.status())?;
    let is_stream = plan.stream && response.status().is_success();
    if is_stream {
        open_stream(shell, plan, target, resume, connection, response).await
    } else {
        read_full(shell, plan, target, resume, connection, response).await
    }
}

/// Waits for the bytes of an attempt's server.
///
/// A silent server may still go on, so an attempt ends before its deadline only once another server
/// has the request.
struct Patience<'a> {
    plan: &'a Plan,
    /// Id of the last event that the caller has.
    resume: Option<u64>,
    /// When the caller gives the stream up, if that is before the deadline.
    abandoned: Option<Instant>,
}

impl<'a> Patience<'a> {
    fn new(plan: &'a Plan, resume: Option<u64>) -> Self {
        Self {
            plan,
            resume,
            abandoned: None,
        }
    }

    fn with_abandoned(mut self, at: Option<Instant>) -> Self {
        self.abandoned = at;
        self
    }

    /// Waits for `reading`, which is expected to take `expected`.
    ///
    /// # Errors
    ///
    /// Fails at the deadline, or with the server that replaces the silent one.
    async fn wait<T>(
        &self,
        shell: &Rc<Shell>,
        expected: Duration,
        reading: impl Future<Output = T>,
    ) -> Result<T, Interruption> {
        let mut reading = pin!(reading);
        // A busy router may not have read yet what has arrived.
        let allowance = shell.with_fleet(Fleet::loop_lag) * 2;
        let mut limit = self.plan.read_timeout.map(|t| t + expected + allowance);
        while let Some(until) = limit.filter(|l| *l < self.remaining(shell)) {
            if let Ok(value) = hibiscusrail_net::timeout(until, reading.as_mut()).await {
                return Ok(value);
            }
            limit = Some(STALL_INTERVAL);
            if let Some(target) = shell.stalled(self.plan.key) {
                let replaced = self.replace(shell, target, reading.as_mut()).await;
                if let Some(ended) = replaced {
                    return ended;
                }
            }
        }
        let rest = hibiscusrail_net::timeout(self.remaining(shell), reading).await;
        rest.map_err(|_| Outcome::Expired.into())
    }

    /// Sends the request to the server `target` as well, and waits for the silent one until the other
    /// one has taken it.
    ///
    /// Returns what was read or the server that has the request; none if that one failed.
    async fn replace<T>(
        &self,
        shell: &Rc<Shell>,
        target: Target,
        mut reading: Pin<&mut impl Future<Output = T>>,
    ) -> Option<Result<T, Interruption>> {
        let resumed = |sent| {
            let key = self.plan.key;
            shell.handle(Event::Resumed { key, sent });
        };
        let opened = race(reading.as_mut(), open(shell, &target)).await;
        let connection = match opened {
            Ok(Ok(connection)) => connection,
            Ok(Err(outcome)) => return self.replacement_failed(shell, &target, outcome),
            Err(value) => {
                resumed(false);
                return Some(Ok(value));
            }
        };
        let request = self.build(shell, &target);
        let mut exchange = exchange(connection, request).boxed_local();
        let answering = hibiscusrail_net::timeout(HANDOVER_TIME, exchange.as_mut());
        let answered = match race(reading, answering).await {
            Ok(answered) => answered,
            Err(value) => {
                resumed(true);
                return Some(Ok(value));
            }
        };
        match answered {
            // It may be reading the prompt.
            Err(_) => {}
            Ok(Err(failure)) => return self.replacement_failed(shell, &target, failure.outcome),
            Ok(Ok((connection, response))) => {
                if let Err(outcome) = check_replacement(shell, self.plan, &target, &response) {
                    return self.replacement_failed(shell, &target, outcome);
                }
                exchange = std::future::ready(Ok((connection, response))).boxed_local();
            }
        }
        shell.handle(Event::Replaced(self.plan.key));
        let exchange = Some(exchange);
        let hop = Box::new(Hop { target, exchange });
        Some(Err(Interruption::Replaced(hop)))
    }

    /// Records that a server which was to replace a silent one did not take the request; the silent
    /// attempt goes on.
    fn replacement_failed<T>(
        &self,
        shell: &Shell,
        target: &Target,
        outcome: Outcome,
    ) -> Option<Result<T, Interruption>> {
        shell.metrics().attempt_failed(&format!("{outcome:?}"));
        log::info!(
            call = self.plan.key.0,
            server = target.id.as_str(),
            outcome:? = outcome;
            "replacement_failed"
        );
        shell.handle(Event::Ended(self.plan.key, outcome));
        None
    }

    fn build(&self, shell: &Shell, target: &Target) -> Request<Body> {
        let outgoing = &self.plan.outgoing;
        outgoing.build(shell.protocol(), target, self.resume, shell.now())
    }

    fn remaining(&self, shell: &Shell) -> Duration {
        let deadline = self.plan.outgoing.deadline;
        let end = self.abandoned.map_or(deadline, |at| at.min(deadline));
        end.saturating_duration_since(shell.now())
    }
}

/// Waits for `other`.
///
/// # Errors
///
/// Returns the output of `first` if that is complete before or at the same time.
async fn race<T, U>(
    first: Pin<&mut impl Future<Output = T>>,
    other: impl Future<Output = U>,
) -> Result<U, T> {
    match select(first, pin!(other)).await {
        Either::Left((value, _)) => Err(value),
        Either::Right((value, _)) => Ok(value),
    }
}

/// Reads the head of a response from the server that is to replace a silent one.
///
/// # Errors
///
/// Returns how the attempt ended if the server did not take the request or failed.
fn check_replacement(
    shell: &Shell,
    plan: &Plan,
    target: &Target,
    response: &Response<Incoming>,
) -> Result<(), Outcome> {
    let status = response.status();
    read_notices(shell, target, response.headers(), status);
    check_head(shell, plan, response.headers(), status).map_err(|f| f.outcome)?;
    if status.is_server_error() {
        return Err(Outcome::Failed);
    }
    Ok(())
}

/// Opens a connection to a server that may still receive requests.
///
/// # Errors
///
/// Returns how the attempt ended before a byte was sent.
async fn open(shell: &Shell, target: &Target) -> Result<OwnedConnection, Outcome> {
    let opened = connect_owned(target.address, CONNECT_TIMEOUT).await;
    let connection = opened.map_err(|error| {
        log::debug!(step = "connect", peer:% = target.address, error:% = error; "attempt_failed");
        Outcome::Unreachable
    })?;
    // The server may have announced its end while connecting.
    if !may_send(shell, target) {
        return Err(Outcome::Withdrawn);
    }
    Ok(connection)
}

fn may_send(shell: &Shell, target: &Target) -> bool {
    shell.with_fleet(|f| f.may_send(shell.now(), target.server, target.as_warm))
}

async fn send(shell: &Rc<Shell>, plan: &Plan, target: &Target, resume: Option<u64>) -> Exchange {
    let protocol = shell.protocol();
    let build = || plan.outgoing.build(protocol, target, resume, shell.now());
    // The server may have announced its end since it was chosen.
    if !may_send(shell, target) {
        return Err(Outcome::Withdrawn.into());
    }
    if plan.retryable
        && let Some(mut connection) = shell.pool().take(target.address, shell.now())
    {
        connection.expect_response(&protocol.request_id, &plan.outgoing.id);
        match connection.try_send(build()).await {
            Ok(response) => return Ok((connection, response)),
            Err(mut error) => {
                // A pooled connection that closed before the request was written is no attempt.
                if error.take_message().is_none() {
                    return Err(Outcome::Broken.into());
                }
            }
        }
    }
    let connection = open(shell, target).await?;
    exchange(connection, build()).await
}

/// Sends the request on a new connection.
async fn exchange(mut connection: OwnedConnection, request: Request<Body>) -> Exchange {
    let sent = connection.try_send(request).await;
    let response = sent.map_err(|mut error| match error.take_message() {
        Some(_) => Outcome::Unreachable,
        None => Outcome::Broken,
    })?;
    Ok((connection, response))
}

/// Tells the reducer what a response's head says of its server.
fn read_notices(shell: &Shell, target: &Target, headers: &HeaderMap, status: StatusCode) {
    if status == StatusCode::MISDIRECTED_REQUEST {
        // Another server has the address.
        return;
    }
    if headers.contains_key(&shell.protocol().leaving) {
        shell.handle(Event::ServerLeaving(target.server));
    }
    read_rate(shell, target, headers);
    read_load(shell, target, headers);
    let value = headers.get(header::RETRY_AFTER);
    if let Some(value) = value.filter(|_| status == StatusCode::SERVICE_UNAVAILABLE) {
        let pause = parse_pause(value).unwrap_or_else(|| {
            log_rejected(target, "retry_after", value);
            UNREADABLE_PAUSE
        });
        shell.handle(Event::ServerThrottled(target.server, pause));
    }
}

/// Tells the reducer which rate a response names, or that it no longer names one.
fn read_rate(shell: &Shell, target: &Target, headers: &HeaderMap) {
    let rate = match headers.get(&shell.protocol().rate) {
        Some(value) => {
            let Some(rate) = parse_rate(value) else {
                log_rejected(target, "rate", value);
                return;
            };
            Some(rate)
        }
        None => None,
    };
    let has_rate = |f: &Fleet| {
        let server = f.registry().get(target.server);
        server.is_some_and(|s| s.notice.rate.is_some())
    };
    if rate.is_some() || shell.with_fleet(has_rate) {
        shell.handle(Event::ServerRate(target.server, rate));
    }
}

/// Tells the reducer which load a response reports.
fn read_load(shell: &Shell, target: &Target, headers: &HeaderMap) {
    match (shell.protocol().load)(headers) {
        // Only the momentary slowdown is used, which most servers don't report.
        Ok(status) => {
            if let Some(status) = status.filter(|s| s.slowdown.is_some()) {
                shell.handle(Event::ServerStatus(target.server, status));
            }
        }
        Err(value) => {
            let value = format!("{value:?}");
            shell.handle(Event::ServerStatusRejected(target.server, value));
        }
    }
}

fn log_rejected(target: &Target, step: &str, value: &HeaderValue) {
    log::warn!(
        step = step,
        peer:% = target.address,
        server = target.id.as_str(),
        value:? = value;
        "header_rejected"
    );
}

/// Parses a rate in requests per second.
fn parse_rate(value: &HeaderValue) -> Option<f64> {
    let rate: f64 = value.to_str().ok()?.trim().parse().ok()?;
    (rate.is_finite() && rate >= 0.0).then_some(rate)
}

/// Parses the seconds of a `Retry-After` header, with or without a fraction.
fn parse_pause(value: &HeaderValue) -> Option<Duration> {
    let seconds: f64 = value.to_str().ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// Checks that a head belongs to this request and comes from a server that ran it.
fn check_head(
    shell: &Shell,
    plan: &Plan,
    headers: &HeaderMap,
    status: StatusCode,
) -> Result<(), AttemptError> {
    let protocol = shell.protocol();
    let echoed = headers.get(&protocol.request_id) == Some(&plan.outgoing.id);
    if headers.contains_key(&protocol.not_run) {
        return Err(Outcome::NotRun.into());
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Err(Outcome::Misdirected.into());
    }
    let proven = !status.is_success() || headers.contains_key(&protocol.seal);
    // Interim responses are skipped; this one switches protocols, which no request asks for.
    let is_switch = status.is_informational();
    if is_switch || !echoed || !proven || headers.contains_key(header::CONTENT_ENCODING) {
        return Err(Outcome::Invalid.into());
    }
    Ok(())
}

async fn read_full(
    shell: &Rc<Shell>,
    plan: &Plan,
    target: &Target,
    resume: Option<u64>,
    mut connection: OwnedConnection,
    response: Response<Incoming>,
) -> Result<Reply, Interruption> {
    let (parts, body) = response.into_parts();
    let account = Account::for_response(shell.budget()).with_reader(plan.reader.clone());
    let collecting = connection.wait(collect_charged(body, MAX_FULL_BYTES, account));
    let patience = Patience::new(plan, resume);
    let collected = match patience.wait(shell, Duration::ZERO, collecting).await? {
        Ok(collected) => collected,
        Err(CollectError::TooLarge { limit }) => {
            log::warn!(step = "body", peer:% = target.address, limit = limit; "body_too_large");
            return Err(Outcome::Oversized.into());
        }
        Err(CollectError::Broken { .. }) => return Err(Outcome::Broken.into()),
        // Not a failure of the server.
        Err(CollectError::Memory { .. }) => return Err(memory_short(target.address)),
    };
    return_to_pool(shell, target.address, connection);
    let response = FullResponse {
        status: caller_status(parts.status),
        headers: caller_headers(&parts.headers),
        body: collected,
    };
    if parts.status.is_server_error() || response.status != parts.status {
        return Err(Interruption::Failed(AttemptError {
            outcome: Outcome::Failed,
            response: (response.status == parts.status).then(|| Box::new(response)),
        }));
    }
    Ok(Reply::Full(response))
}

/// Logs that a response can't be held; this is no failure of the server, so the attempt ends as if the
/// caller had left.
fn memory_short(peer: SocketAddr) -> Interruption {
    log::warn!(step = "response", peer:% = peer; "memory_short");
    Outcome::Left.into()
}

/// Returns the status for the caller.
///
/// Statuses that mean "not run" to callers become 502: a server that ran nothing sends a header.
fn caller_status(status: StatusCode) -> StatusCode {
    let not_run = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    if not_run.contains(&status) {
        StatusCode::BAD_GATEWAY
    } else {
        status
    }
}

fn return_to_pool(shell: &Shell, address: SocketAddr, connection: OwnedConnection) {
    if !connection.is_closed() {
        shell.pool().put(address, connection, shell.now());
    }
}

async fn open_stream(
    shell: &Rc<Shell>,
    plan: &Plan,
    target: &Target,
    resume: Option<u64>,
    connection: OwnedConnection,
    response: Response<Incoming>,
) -> Result<Reply, Interruption> {
    let (parts, body) = response.into_parts();
    let mut stream = EventStream {
        address: target.address,
        connection,
        body,
        splitter: Splitter::new(),
        account: Account::for_response(shell.budget()).with_reader(plan.reader.clone()),
        plan: plan.clone(),
        last_id: resume,
        last_arrival: shell.now(),
        has_event: resume.is_some(),
        silence: Duration::ZERO,
        unreturned: 0,
    };
    let first = match stream.next(shell).await? {
        StreamItem::Events { bytes, .. } => bytes,
        // A stream without any event counts as broken.
        StreamItem::End => return Err(Outcome::Broken.into()),
    };
    Ok(Reply::Stream(Box::new(OpenStream {
        status: parts.status,
        headers: caller_headers(&parts.headers),
        first,
        stream,
    })))
}

impl EventStream {
    /// Waits for the next complete events, or the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns how the stream broke, or the server that replaces a silent one.
    pub async fn next(&mut self, shell: &Rc<Shell>) -> Result<StreamItem, Interruption> {
        loop {
            // Single bytes and comments keep a stream open without getting its caller anything.
            let began = shell.now();
            let left = self.plan.abandon_time.filter(|_| self.has_event);
            let abandoned = left.map(|time| began + time.saturating_sub(self.silence));
            let reading = self.connection.wait(self.body.frame());
            let patience = Patience::new(&self.plan, self.last_id).with_abandoned(abandoned);
            let frame = match patience.wait(shell, Duration::ZERO, reading).await? {
                Some(Err(_)) => return Err(Outcome::Broken.into()),
                None if self.splitter.pending_bytes() > 0 => {
                    return Err(Outcome::Broken.into());
                }
                None => return Ok(StreamItem::End),
                Some(Ok(frame)) => frame,
            };
            self.silence += shell.now().saturating_duration_since(began);
            let Ok(data) = frame.into_data() else {
                continue;
            };
            self.charge_pending(shell, self.splitter.capacity_with(data.len()))?;
            self.splitter.push(&data);
            self.unreturned += data.len();
            let (bytes, count) = self.take_events(shell)?;
            if !bytes.is_empty() {
                self.unreturned = self.splitter.pending_bytes();
            }
            // Events that the caller has are left out, and may come without end too.
            if self.unreturned > MAX_EVENT_BYTES {
                let limit = MAX_EVENT_BYTES;
                log::warn!(step = "event", peer:% = self.address, limit = limit; "event_too_large");
                return Err(Outcome::Oversized.into());
            }
            if !bytes.is_empty() {
                if count == 0 {
                    let gap = Duration::ZERO;
                    return Ok(StreamItem::Events { bytes, count, gap });
                }
                self.has_event = true;
                self.silence = Duration::ZERO;
                let now = shell.now();
                let previous = std::mem::replace(&mut self.last_arrival, now);
                let gap = now.saturating_duration_since(previous);
                return Ok(StreamItem::Events { bytes, count, gap });
            }
        }
    }

    /// Takes the complete events, without those that were returned before a resume.
    ///
    /// # Errors
    ///
    /// Fails if memory is short.
    fn take_events(&mut self, shell: &Shell) -> Result<(Bytes, u32), Interruption> {
        let mut first = Bytes::new();
        let mut joined = BytesMut::new();
        let mut count = 0;
        // A large event keeps the whole buffer of the splitter in which it arrived.
        let mut capacity = self.splitter.capacity();
        while let Some(event) = self.splitter.next_event() {
            let id = event.id();
            if id.is_some() && id <= self.last_id {
                continue;
            }
            self.last_id = id.or(self.last_id);
            count += u32::from(!event.is_comment());
            if event.0.len() > FREE_BYTES && first.is_empty() && joined.is_empty() {
                // A copy would double the memory of a large event.
                first = event.0;
                continue;
            }
            joined.extend_from_slice(&std::mem::take(&mut first));
            joined.extend_from_slice(&event.0);
        }
        if !joined.is_empty() {
            capacity = joined.capacity();
            first = joined.freeze();
        }
        Ok((self.charge(shell, first, capacity)?, count))
    }

    /// Charges the memory of large events, both of one that is arriving and of complete ones until
    /// the caller's connection has written them.
    fn charge(
        &mut self,
        shell: &Shell,
        events: Bytes,
        capacity: usize,
    ) -> Result<Bytes, Interruption> {
        self.charge_pending(shell, self.splitter.capacity())?;
        if events.len() <= FREE_BYTES {
            return Ok(events);
        }
        let account = Account::for_response(shell.budget());
        let mut account = account.with_reader(self.plan.reader.clone());
        account
            .resize(shell.now(), capacity)
            .map_err(|_| memory_short(self.address))?;
        Ok(account.into_bytes(events))
    }

    /// Charges the buffer of an event that is arriving, and those of the stream's connections, unless
    /// it is small.
    fn charge_pending(&mut self, shell: &Shell, capacity: usize) -> Result<(), Interruption> {
        let charged = if self.splitter.pending_bytes() > FREE_BYTES {
            capacity + BUFFER_BYTES
        } else {
            0
        };
        let charged = self.account.resize(shell.now(), charged);
        charged.map_err(|_| memory_short(self.address))
    }

    /// Returns the connection of a complete stream to the pool.
    pub fn finish(self, shell: &Shell) {
        return_to_pool(shell, self.address, self.connection);
    }
}

/// Returns the headers for the caller, without those that are never forwarded.
fn caller_headers(received: &HeaderMap) -> HeaderMap {
    let mut out = received.clone();
    headers::strip(&mut out);
    out
}
