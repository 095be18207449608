//! One attempt at a backend server.
//!
//! An answer has to name the request that it belongs to. A whole answer is
//! returned only once it is whole; a stream once its first event is there.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use hibiscusrail_fleet::{Fleet, Outcome};
use hibiscusrail_net::sse::Splitter;
use hibiscusrail_net::{Body, Channel, headers, open};
use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use crate::outgoing::Outgoing;
use crate::shell::{Shell, Target};

/// Time to connect to a server: a fraction of the second that a lost first
/// packet takes to be sent again.
const CONNECT_TIME: Duration = Duration::from_millis(300);
/// Bytes of a whole answer at most; larger ones are not what services send.
const WHOLE_BYTES: usize = 8 << 20;

/// What an attempt sends, and what it accepts.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The request.
    pub outgoing: Rc<Outgoing>,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// Tokens in one event of the stream; zero when unknown.
    pub event_tokens: u32,
    /// Whether running the request twice does no harm.
    pub repeatable: bool,
    /// Longest wait for the first byte, and for each further one; none for requests
    /// that could not go elsewhere anyway.
    pub patience: Option<Duration>,
}

/// A whole answer.
#[derive(Debug)]
pub struct Whole {
    /// Status and headers for the caller.
    pub status: StatusCode,
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// A stream whose first events are there.
#[derive(Debug)]
pub struct Opened {
    /// Status for the caller.
    pub status: StatusCode,
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// The events that arrived.
    pub first: Bytes,
    /// Those to come.
    pub flow: Flow,
}

/// What a server answered.
#[derive(Debug)]
pub enum Reply {
    /// A whole answer.
    Whole(Whole),
    /// A stream.
    Stream(Opened),
}

/// Why an attempt has no answer for the caller, with what the server said instead.
#[derive(Debug)]
pub struct Failure {
    /// How it ended.
    pub outcome: Outcome,
    /// The server's own failure answer.
    pub answer: Option<Box<Whole>>,
}

impl From<Outcome> for Failure {
    fn from(outcome: Outcome) -> Self {
        Self {
            outcome,
            answer: None,
        }
    }
}

/// The events of a stream that are still to come.
#[derive(Debug)]
pub struct Flow {
    address: SocketAddr,
    channel: Channel,
    body: Incoming,
    splitter: Splitter,
    patience: Option<Duration>,
    deadline: Instant,
    /// Id of the last event that was taken.
    pub last: Option<u64>,
    /// When the last events arrived.
    arrived: Instant,
}

/// What came next in a stream.
#[derive(Debug)]
pub enum Piece {
    /// Whole events.
    Events {
        /// Their bytes.
        bytes: Bytes,
        /// How many they are.
        count: u32,
        /// Time since the events before.
        gap: Duration,
    },
    /// The stream is complete.
    End,
}

/// Sends the request to a server and waits for its answer to begin.
///
/// # Errors
///
/// Says how the attempt ended.
pub async fn attempt(
    shell: &Rc<Shell>,
    plan: &Plan,
    target: &Target,
    resume: Option<u64>,
) -> Result<Reply, Failure> {
    let limit = wait_limit(shell, plan, target);
    let sending = send(shell, plan, target, resume);
    let Ok(sent) = compio::time::timeout(limit, sending).await else {
        return Err(Outcome::Silent.into());
    };
    let (channel, answer) = sent?;
    check(shell, plan, answer.headers(), answer.status())?;
    let streams = plan.stream && answer.status().is_success();
    if streams {
        open_stream(shell, plan, target, resume, channel, answer).await
    } else {
        whole(shell, plan, target, channel, answer).await
    }
}

/// Returns how long the first byte may take.
fn wait_limit(shell: &Shell, plan: &Plan, target: &Target) -> Duration {
    let patience = plan.patience.map(|p| target.expected * 2 + p);
    patient(shell, plan.outgoing.left(shell.now()), patience)
}

/// Returns how long to wait for bytes of a server: no longer than what is left,
/// and no longer than `patience`, if there is one, and the time for which what
/// has arrived may lie unread in a busy router.
fn patient(shell: &Shell, left: Duration, patience: Option<Duration>) -> Duration {
    let unread = shell.with_fleet(Fleet::lateness) * 2;
    patience.map_or(left, |p| left.min(p + unread))
}

async fn send(
    shell: &Rc<Shell>,
    plan: &Plan,
    target: &Target,
    resume: Option<u64>,
) -> Result<(Channel, Response<Incoming>), Failure> {
    let shape = shell.shape();
    let build = || plan.outgoing.build(shape, target, resume, shell.now());
    if plan.repeatable
        && let Some(mut channel) = shell.pool().take(target.address, shell.now())
    {
        match channel.sender.try_send_request(build()).await {
            Ok(answer) => return Ok((channel, answer)),
            Err(mut error) => {
                // A connection that closed before the request was written is no attempt.
                if error.take_message().is_none() {
                    return Err(Outcome::Broken.into());
                }
            }
        }
    }
    let mut channel = match open(target.address, CONNECT_TIME).await {
        Ok(channel) => channel,
        Err(error) => {
            log::debug!(step = "connect", peer:% = target.address, error:% = error; "attempt_failed");
            return Err(Outcome::Unreachable.into());
        }
    };
    let answer = write(&mut channel, build()).await?;
    Ok((channel, answer))
}

async fn write(
    channel: &mut Channel,
    request: Request<Body>,
) -> Result<Response<Incoming>, Failure> {
    channel
        .sender
        .try_send_request(request)
        .await
        .map_err(|mut error| match error.take_message() {
            Some(_) => Outcome::Unreachable.into(),
            None => Outcome::Broken.into(),
        })
}

/// Checks that the head is an answer to this request from a server that ran it.
fn check(
    shell: &Shell,
    plan: &Plan,
    headers: &HeaderMap,
    status: StatusCode,
) -> Result<(), Failure> {
    let shape = shell.shape();
    let echoed = headers.get(&shape.request_id) == Some(&plan.outgoing.id);
    if headers.contains_key(&shape.not_run) {
        return Err(Outcome::NotRun.into());
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Err(Outcome::Misdirected.into());
    }
    let proven = !status.is_success() || headers.contains_key(&shape.seal);
    if !echoed || !proven || headers.contains_key(header::CONTENT_ENCODING) {
        return Err(Outcome::Broken.into());
    }
    Ok(())
}

async fn whole(
    shell: &Rc<Shell>,
    plan: &Plan,
    target: &Target,
    channel: Channel,
    answer: Response<Incoming>,
) -> Result<Reply, Failure> {
    let (parts, body) = answer.into_parts();
    let limit = patient(shell, plan.outgoing.left(shell.now()), plan.patience);
    let collecting = Limited::new(body, WHOLE_BYTES).collect();
    let collected = match compio::time::timeout(limit, collecting).await {
        Ok(Ok(collected)) => collected.to_bytes(),
        Ok(Err(_)) => return Err(Outcome::Broken.into()),
        Err(_) => return Err(Outcome::Silent.into()),
    };
    keep(shell, target.address, channel);
    let answer = Whole {
        status: honest(parts.status),
        headers: passed_on(&parts.headers),
        body: collected,
    };
    if parts.status.is_server_error() || answer.status != parts.status {
        return Err(Failure {
            outcome: Outcome::Failed,
            answer: (answer.status == parts.status).then(|| Box::new(answer)),
        });
    }
    Ok(Reply::Whole(answer))
}

/// Returns the status for the caller: one that would say "not run" is not passed
/// on from a server that did not say so.
fn honest(status: StatusCode) -> StatusCode {
    let promises = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    if promises.contains(&status) {
        StatusCode::BAD_GATEWAY
    } else {
        status
    }
}

fn keep(shell: &Shell, address: SocketAddr, channel: Channel) {
    if !channel.sender.is_closed() {
        shell.pool().put(address, channel, shell.now());
    }
}

async fn open_stream(
    shell: &Rc<Shell>,
    plan: &Plan,
    target: &Target,
    resume: Option<u64>,
    channel: Channel,
    answer: Response<Incoming>,
) -> Result<Reply, Failure> {
    let (parts, body) = answer.into_parts();
    let mut flow = Flow {
        address: target.address,
        channel,
        body,
        splitter: Splitter::new(),
        patience: plan.patience,
        deadline: plan.outgoing.deadline,
        last: resume,
        arrived: shell.now(),
    };
    let first = match flow.next(shell).await? {
        Piece::Events { bytes, .. } => bytes,
        // A stream without an event is none.
        Piece::End => return Err(Outcome::Broken.into()),
    };
    Ok(Reply::Stream(Opened {
        status: parts.status,
        headers: passed_on(&parts.headers),
        first,
        flow,
    }))
}

impl Flow {
    /// Waits for the next whole events, or the end.
    ///
    /// # Errors
    ///
    /// Says how the stream broke.
    pub async fn next(&mut self, shell: &Shell) -> Result<Piece, Failure> {
        loop {
            let left = self.deadline.saturating_duration_since(shell.now());
            let limit = patient(shell, left, self.patience);
            let frame = match compio::time::timeout(limit, self.body.frame()).await {
                Err(_) => return Err(Outcome::Silent.into()),
                Ok(Some(Err(_))) => return Err(Outcome::Broken.into()),
                Ok(None) if self.splitter.pending() > 0 => return Err(Outcome::Broken.into()),
                Ok(None) => return Ok(Piece::End),
                Ok(Some(Ok(frame))) => frame,
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            self.splitter.push(&data);
            let (bytes, count) = self.take_events();
            if !bytes.is_empty() {
                let now = shell.now();
                let before = std::mem::replace(&mut self.arrived, now);
                let gap = now.saturating_duration_since(before);
                return Ok(Piece::Events { bytes, count, gap });
            }
        }
    }

    /// Takes the whole events, without those that were taken before.
    fn take_events(&mut self) -> (Bytes, u32) {
        let mut events = BytesMut::new();
        let mut count = 0;
        while let Some(event) = self.splitter.next_event() {
            let id = event.id();
            if id.is_some() && id <= self.last {
                continue;
            }
            self.last = id.or(self.last);
            events.extend_from_slice(&event.0);
            count += 1;
        }
        (events.freeze(), count)
    }

    /// Gives the connection of a complete stream back.
    pub fn finish(self, shell: &Shell) {
        keep(shell, self.address, self.channel);
    }
}

/// Headers of an answer that are passed to the caller.
fn passed_on(received: &HeaderMap) -> HeaderMap {
    let mut out = received.clone();
    headers::strip(&mut out);
    out
}
