//! Serves callers: routes a request, runs its attempts and returns the response.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::FutureExt;
use hibiscusrail_fleet::objects::{Deployment, EngineFacts, Repeat, Route, without_port};
use hibiscusrail_fleet::placement::name_hash;
use hibiscusrail_fleet::pressure::Connection;
use hibiscusrail_fleet::unrecorded::Shard;
use hibiscusrail_fleet::{Event, Fleet, Outcome, Submission, event};
use hibiscusrail_net::body::{CollectError, collect_charged};
use hibiscusrail_net::memory::Account;
use hibiscusrail_net::server::Handler;
use hibiscusrail_net::triage::Admitted;
use hibiscusrail_net::{Body, full};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use http_body::Body as _;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::answer::{self, RequestTracker};
use crate::fingerprint::{Identity, fingerprint};
use crate::origins::{self, Evidence, Origin, Resolved};
use crate::outgoing::Outgoing;
use crate::overload::{StreamDemand, workspace_hash};
use crate::refusal;
use crate::shell::{NextStep, RequestError, Shell, Target, millis};
use crate::stop;
use crate::upstream::{self, FullResponse, Hop, Plan, Reply};

/// `Retry-After` of requests refused because there is no configuration or the router is stopping.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Timeout of requests whose caller sets no deadline.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which the body of a refused request is read.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(200);
/// Shortest read timeout after which a retryable request is sent to another server.
const MIN_READ_TIMEOUT: Duration = Duration::from_millis(600);
/// Least pause between two events after which a stream is ended: sound servers make pauses of a second
/// or more, and callers give a stream up two seconds after its last event at the earliest.
const MIN_ABANDON_TIME: Duration = Duration::from_secs(8);
/// Pause after which a caller has given a stream up, as a multiple of the route's latency target.
const TARGET_ABANDON_FACTOR: u32 = 4;
/// That pause as a multiple of the longest one that the route allows.
const PAUSE_ABANDON_FACTOR: u32 = 8;
/// Read timeout of a retryable request as a multiple of the route's latency target.
const TIMEOUT_FACTOR: f64 = 1.2;

/// Returns the request handler of the callers' port.
#[must_use]
pub fn handler(shell: &Rc<Shell>) -> Handler {
    let shell = Rc::clone(shell);
    Rc::new(move |request| {
        let shell = Rc::clone(&shell);
        async move {
            let id = request.headers().get(&shell.protocol().request_id).cloned();
            let mut response = serve(&shell, request).await;
            if let Some(id) = id {
                let name = shell.protocol().request_id.clone();
                response.headers_mut().insert(name, id);
            }
            // Frees the connection: a refused caller retries on a new one, which the platform opens
            // to another router while this one is late.
            let refused = response.status() == StatusCode::SERVICE_UNAVAILABLE;
            let full = shell.connections_half_full() || shell.with_fleet(Fleet::is_late);
            if shell.is_stopping() || (refused && full) {
                response = close_after(response);
            }
            response
        }
        .boxed_local()
    })
}

/// The route and service selected for a request, and what the configuration says of them.
pub struct Found<'a> {
    /// Route of the request.
    pub route: &'a Route,
    /// Name of the service among the route's targets.
    pub service: &'a str,
    /// Workspace of the caller; none on public routes.
    pub workspace: Option<&'a str>,
    /// Rank of the request within its workspace; 0 is the highest.
    pub rank: u32,
    /// Maximum size of the request's body in bytes.
    pub max_body: usize,
    /// Facts of the service's engines; none for plain services.
    pub engine: Option<&'a EngineFacts>,
}

/// A copy of [`Found`], and the demand of a stream that is not decided on.
struct Routed {
    route: Route,
    service: String,
    workspace: Option<String>,
    rank: u32,
    max_body: usize,
    engine: Option<EngineFacts>,
    demand: Option<StreamDemand>,
}

impl Routed {
    fn new(found: &Found<'_>, demand: Option<StreamDemand>) -> Self {
        Self {
            route: found.route.clone(),
            service: found.service.to_owned(),
            workspace: found.workspace.map(str::to_owned),
            rank: found.rank,
            max_body: found.max_body,
            engine: found.engine.cloned(),
            demand,
        }
    }
}

/// Why a request is refused before it is submitted to the reducer.
pub struct Refusal {
    status: StatusCode,
    reason: &'static str,
}

async fn serve(shell: &Rc<Shell>, request: Request<Incoming>) -> Response<Body> {
    let started = shell.now();
    let (parts, body) = request.into_parts();
    let length = body.size_hint().exact();
    let mut admitted = parts.extensions.get::<Admitted>().is_some();
    let routed = shell.with_fleet(|f| {
        let deployment = f.config().deployment.as_ref();
        let deployment = deployment.ok_or(Refusal {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason: "no configuration yet",
        })?;
        let found = find_route(shell, deployment, &parts)?;
        let demand = (!admitted)
            .then(|| StreamDemand::new(shell, &found, &parts.headers, length))
            .flatten();
        Ok(Routed::new(&found, demand))
    });
    let routed = match routed {
        Ok(routed) if !stop::accepts(shell, routed.route.stream) => {
            let refusal = Refusal {
                status: StatusCode::SERVICE_UNAVAILABLE,
                reason: "the router is stopping",
            };
            return refuse_unread(shell, &parts, body, &refusal).await;
        }
        Ok(routed) => routed,
        Err(refusal) => return refuse_unread(shell, &parts, body, &refusal).await,
    };
    if let Some(demand) = &routed.demand {
        if let Some(response) = demand.refuse(shell, &parts.headers, Connection::Kept) {
            discard(&parts.headers, body).await;
            return response.map(full);
        }
        admitted = true;
    }
    let body = match read_body(shell, &parts, body, &routed).await {
        Ok(body) => body,
        Err(refusal) => return close_after(refuse(shell, &parts, &refusal)),
    };
    submit(shell, started, &parts, body, (routed, admitted)).await
}

/// Reads what arrives soon of a refused request's body; returns whether that is all, so that the
/// connection can be used again.
async fn discard(headers: &HeaderMap, mut body: Incoming) -> bool {
    if headers.contains_key(header::EXPECT) {
        // The caller sends the body only if it is asked to.
        return body.is_end_stream();
    }
    let reading = async {
        while let Some(frame) = body.frame().await {
            if frame.is_err() {
                return false;
            }
        }
        true
    };
    compio::time::timeout(DISCARD_TIMEOUT, reading)
        .await
        .unwrap_or(false)
}

/// Refuses a request whose body was not read.
async fn refuse_unread(
    shell: &Shell,
    parts: &Parts,
    body: Incoming,
    refusal: &Refusal,
) -> Response<Body> {
    // A process that is stopping may end before the body arrives.
    let is_read = !shell.is_stopping() && discard(&parts.headers, body).await;
    let response = refuse(shell, parts, refusal);
    if is_read {
        response
    } else {
        close_after(response)
    }
}

/// Tells the caller that the connection is closed after the response.
fn close_after(mut response: Response<Body>) -> Response<Body> {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
    response
}

/// Reads a request's body until the deadline, after which no server could run the request.
async fn read_body(
    shell: &Shell,
    parts: &Parts,
    body: Incoming,
    routed: &Routed,
) -> Result<Bytes, Refusal> {
    let limit = caller_timeout(shell, &parts.headers).min(routed.route.timeout);
    let account = Account::for_request(shell.budget());
    let reading = collect_charged(body, routed.max_body, account);
    match hibiscusrail_net::timeout(limit, reading).await {
        Ok(read) => read.map_err(|e| body_error(&e)),
        Err(_) => Err(Refusal {
            status: StatusCode::REQUEST_TIMEOUT,
            reason: "the body did not arrive in time",
        }),
    }
}

fn body_error(error: &CollectError) -> Refusal {
    match error {
        CollectError::TooLarge { .. } => Refusal {
            status: StatusCode::PAYLOAD_TOO_LARGE,
            reason: "the body is too large",
        },
        CollectError::Broken { .. } => Refusal {
            status: StatusCode::BAD_REQUEST,
            reason: "the body broke off",
        },
        CollectError::Memory { .. } => Refusal {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason: "memory is short",
        },
    }
}

fn refuse(shell: &Shell, parts: &Parts, refusal: &Refusal) -> Response<Body> {
    let revision = shell.with_fleet(|f| f.config_revision().0);
    log::info!(
        request = header_text(&parts.headers, &shell.protocol().request_id),
        status = refusal.status.as_u16(),
        reason = refusal.reason,
        revision = revision;
        "request_refused"
    );
    let status = refusal.status.as_str();
    shell
        .metrics()
        .request_ended("", "NotRun", status, Duration::ZERO);
    let mut response = refusal::text_response(refusal.status, refusal.reason);
    if refusal.status == StatusCode::SERVICE_UNAVAILABLE {
        refusal::set_retry_after(&mut response, NOT_READY_RETRY_AFTER);
    }
    response
}

/// Returns the size of a request's target and headers in bytes.
fn head_bytes(parts: &Parts) -> usize {
    let target = parts.uri.path_and_query().map_or(0, |p| p.as_str().len());
    let lines = parts.headers.iter();
    target
        + lines
            .map(|(n, v)| n.as_str().len() + v.len())
            .sum::<usize>()
}

/// Selects the route and service of a request and checks its key and the size of its head.
///
/// # Errors
///
/// Fails with the refusal of the request.
pub fn find_route<'a>(
    shell: &Shell,
    deployment: &'a Deployment,
    parts: &Parts,
) -> Result<Found<'a>, Refusal> {
    if head_bytes(parts) > deployment.limits.head_bytes {
        return Err(Refusal {
            status: StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            reason: "the head is too large",
        });
    }
    let route = deployment
        .route(host(parts), parts.uri.path())
        .ok_or(Refusal {
            status: StatusCode::NOT_FOUND,
            reason: "no route",
        })?;
    let workspace = if route.public || deployment.workspaces.is_empty() {
        None
    } else {
        let found = bearer_key(&parts.headers).and_then(|key| deployment.workspace(key));
        let found = found.ok_or(Refusal {
            status: StatusCode::UNAUTHORIZED,
            reason: "unknown API key",
        })?;
        Some(found)
    };
    let protocol = shell.protocol();
    let began = header_text(&parts.headers, &protocol.resumes);
    // A stream goes on at the service that began it, which is this one unless the weights have
    // changed.
    let id = if began.is_empty() {
        header_text(&parts.headers, &protocol.request_id)
    } else {
        began
    };
    let service = pick_service(route, id);
    Ok(Found {
        route,
        service,
        workspace: workspace.map(|w| w.name.as_str()),
        rank: workspace.and_then(|w| w.rank).or(route.rank).unwrap_or(0),
        max_body: deployment.limits.body_bytes,
        engine: engine_facts(deployment, service),
    })
}

/// Returns the host that a request names, with its port if it names one.
fn host(parts: &Parts) -> &str {
    parts.uri.authority().map_or_else(
        || header_text(&parts.headers, &header::HOST),
        |a| a.as_str(),
    )
}

/// Returns the API key of a bearer authorization.
fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then_some(key.trim())
}

/// Picks a service among the route's targets by weight, from a hash of the request id.
fn pick_service<'a>(route: &'a Route, id: &str) -> &'a str {
    let total: u32 = route.targets.iter().map(|t| t.weight).sum();
    let mut at = name_hash(id) % total.max(1);
    for target in &route.targets {
        if at < target.weight {
            return &target.service;
        }
        at -= target.weight;
    }
    route
        .targets
        .first()
        .map(|t| t.service.as_str())
        .unwrap_or_default()
}

fn header_text<'a>(headers: &'a HeaderMap, name: &http::HeaderName) -> &'a str {
    headers
        .get(name)
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default()
}

/// Returns the timeout that the caller set, or the default.
pub(crate) fn caller_timeout(shell: &Shell, headers: &HeaderMap) -> Duration {
    header_text(headers, &shell.protocol().deadline)
        .parse()
        .map_or(DEFAULT_TIMEOUT, Duration::from_millis)
}

async fn submit(
    shell: &Rc<Shell>,
    started: Instant,
    parts: &Parts,
    body: Bytes,
    (mut routed, admitted): (Routed, bool),
) -> Response<Body> {
    let deadline = started + caller_timeout(shell, &parts.headers).min(routed.route.timeout);
    let request = header_text(&parts.headers, &shell.protocol().request_id);
    let resumed = match resolve_resume(shell, &mut routed, parts, started).await {
        Ok(resumed) => resumed,
        Err(reason) => return refuse_resume(shell, parts, deadline, reason),
    };
    let evidence = resumed.as_ref().map(|r| r.evidence);
    let version = resumed.map(|r| r.origin.version);
    let Routed {
        route,
        service,
        workspace,
        rank,
        engine,
        ..
    } = routed;
    let prompt = engine
        .is_some()
        .then(|| (shell.protocol().prompt)(&parts.headers))
        .flatten();
    let key = shell.new_request_key();
    let name = workspace.as_deref().unwrap_or_default();
    let mut tracker =
        RequestTracker::new(shell, key, request, name, &service, started).with_resumed(evidence);
    let submission = Submission {
        key,
        workspace: workspace.as_deref().map(workspace_hash),
        fingerprint: fingerprint(Identity {
            method: &parts.method,
            host: without_port(host(parts)),
            target: parts.uri.path_and_query().map_or("", |p| p.as_str()),
            workspace: workspace.as_deref(),
            body: &body,
        }),
        service,
        prompt,
        target: started + route.target,
        deadline,
        repeat: route.repeat,
        resumable: route.resumable,
        max_attempts: route.attempts,
        version,
        goes_on: evidence.is_some_and(Evidence::is_proof),
        shard: Shard::of(request),
        rank,
        max_pause: route.max_pause,
    };
    let step = shell.handle(if admitted {
        Event::SubmitAdmitted(submission)
    } else {
        Event::Submit(submission)
    });
    // An overloaded router refuses most requests, so it builds the outgoing one only to send it.
    let target = match step {
        Some(NextStep::Send(target)) => target,
        Some(NextStep::Fail(error)) => {
            tracker.fail(&error);
            return failure_response(shell, request, deadline, &error, None);
        }
        // The reducer decides on a submitted request at once.
        None => return refusal::text_response(StatusCode::BAD_GATEWAY, "no decision"),
    };
    let retryable = route.repeat == Repeat::Idempotent || route.resumable;
    let read_timeout = route.target.mul_f64(TIMEOUT_FACTOR).max(MIN_READ_TIMEOUT);
    let plan = Plan {
        key,
        outgoing: Rc::new(Outgoing::new(
            shell.protocol(),
            parts,
            body,
            workspace.as_deref(),
            deadline,
        )),
        stream: route.stream,
        event_tokens: engine.map_or(0, |e| e.event_tokens),
        retryable,
        begins: route.stream && route.resumable && evidence.is_none(),
        read_timeout: retryable.then_some(read_timeout),
        abandon_time: abandon_time(&route),
        reader: parts.extensions.get().cloned(),
    };
    run_attempts(shell, plan, tracker, target).await
}

/// Returns where the stream that a request takes up goes on, and moves the request there; none for a
/// request that begins a new one.
///
/// # Errors
///
/// Fails if it is not known, and may never be.
async fn resolve_resume(
    shell: &Shell,
    routed: &mut Routed,
    parts: &Parts,
    started: Instant,
) -> Result<Option<Resolved>, event::Reason> {
    let protocol = shell.protocol();
    if !routed.route.resumable || !parts.headers.contains_key(&protocol.last_event_id) {
        return Ok(None);
    }
    let request = header_text(&parts.headers, &protocol.request_id);
    let began = header_text(&parts.headers, &protocol.resumes);
    let resolved = origins::resolve(shell, &routed.route, &routed.service, began).await?;
    let origin = &resolved.origin;
    log::info!(
        request = request,
        resumes = began,
        service = &origin.service,
        version = &origin.version,
        evidence = resolved.evidence.name(),
        took_ms = millis(shell.now().saturating_duration_since(started));
        "resume_resolved"
    );
    if origin.service != routed.service {
        log::info!(
            request = request,
            resumes = began,
            service = &origin.service,
            assigned = &routed.service;
            "resume_moved"
        );
        routed.engine = shell.with_fleet(|f| {
            let deployment = f.config().deployment.as_ref();
            deployment.and_then(|d| engine_facts(d, &origin.service).cloned())
        });
        routed.service.clone_from(&origin.service);
    }
    Ok(Some(resolved))
}

/// Returns the facts of a service's engines; none for plain services.
fn engine_facts<'a>(deployment: &'a Deployment, service: &str) -> Option<&'a EngineFacts> {
    deployment.services.get(service)?.engine.as_ref()
}

/// Returns the pause between two events after which a caller has given a stream up; none if the route
/// does not say which pauses it allows.
fn abandon_time(route: &Route) -> Option<Duration> {
    let by_pause = route.max_pause?.saturating_mul(PAUSE_ABANDON_FACTOR);
    let by_target = route.target.saturating_mul(TARGET_ABANDON_FACTOR);
    Some(MIN_ABANDON_TIME.max(by_target).max(by_pause))
}

/// Refuses a request that takes up a stream, as it is not known where that can go on.
fn refuse_resume(
    shell: &Shell,
    parts: &Parts,
    deadline: Instant,
    reason: event::Reason,
) -> Response<Body> {
    let request = header_text(&parts.headers, &shell.protocol().request_id);
    log::info!(
        request = request,
        resumes = header_text(&parts.headers, &shell.protocol().resumes),
        reason:? = reason;
        "resume_refused"
    );
    shell
        .metrics()
        .request_ended("", "NotRun", &format!("{reason:?}"), Duration::ZERO);
    shell
        .metrics()
        .resume_ended("none", "NotRun", &format!("{reason:?}"));
    let error = RequestError {
        reason,
        execution: event::Execution::NotRun,
        retry_after: origins::RECORD_DELAY,
    };
    failure_response(shell, request, deadline, &error, None)
}

/// Sends attempts until a server has responded or the request fails.
async fn run_attempts(
    shell: &Rc<Shell>,
    plan: Plan,
    mut tracker: RequestTracker,
    target: Target,
) -> Response<Body> {
    let mut last_response = None;
    let mut hop = Hop::from(target);
    loop {
        tracker.start_attempt(&hop.target.id);
        let version = hop.target.version.clone();
        let mut interruption = match upstream::attempt(shell, &plan, hop, None).await {
            Ok(Reply::Full(response)) => {
                tracker.record_first_byte();
                if response.status.is_success() {
                    shell.handle(Event::Served(tracker.key()));
                }
                tracker.complete();
                return into_response(response);
            }
            Ok(Reply::Stream(open)) => {
                tracker.record_first_byte();
                shell.handle(Event::FirstByte(tracker.key()));
                if plan.begins
                    && let Err(error) = begin_stream(shell, &plan, &tracker, version).await
                {
                    tracker.fail(&error);
                    let deadline = plan.outgoing.deadline;
                    return failure_response(shell, tracker.request(), deadline, &error, None);
                }
                let mut response = Response::new(full(Bytes::new()));
                *response.status_mut() = open.status;
                response.headers_mut().clone_from(&open.headers);
                *response.body_mut() = answer::relay_body(shell, plan, tracker, *open);
                return response;
            }
            Err(interruption) => interruption,
        };
        last_response = interruption.take_response().or(last_response);
        hop = match tracker.next_hop(interruption) {
            Ok(hop) => hop,
            Err(error) => {
                tracker.fail(&error);
                let deadline = plan.outgoing.deadline;
                return failure_response(shell, tracker.request(), deadline, &error, last_response);
            }
        };
    }
}

/// Remembers the version that began a stream, and has it recorded first if that is needed.
///
/// # Errors
///
/// Fails if the stream can't be recorded, so that its events may not be passed on.
async fn begin_stream(
    shell: &Shell,
    plan: &Plan,
    tracker: &RequestTracker,
    version: String,
) -> Result<(), RequestError> {
    let origin = Origin {
        service: tracker.service().to_owned(),
        version,
    };
    let deadline = plan.outgoing.deadline;
    let begun = origins::begin_stream(shell, tracker.request(), origin, deadline).await;
    begun.map_err(|reason| {
        shell.handle(Event::Ended(tracker.key(), Outcome::Left));
        RequestError {
            reason,
            execution: event::Execution::Unknown,
            retry_after: Duration::ZERO,
        }
    })
}

fn into_response(received: FullResponse) -> Response<Body> {
    let mut response = Response::new(full(received.body));
    *response.status_mut() = received.status;
    *response.headers_mut() = received.headers;
    response
}

/// Returns the response to a request that failed: the server's own error, or a refusal.
fn failure_response(
    shell: &Shell,
    id: &str,
    deadline: Instant,
    error: &RequestError,
    last_response: Option<Box<FullResponse>>,
) -> Response<Body> {
    if let (event::Execution::Failed, Some(response)) = (error.execution, last_response) {
        return into_response(*response);
    }
    let remaining = deadline.saturating_duration_since(shell.now());
    log::debug!(left_ms = millis(remaining); "refusal_sent");
    let wait = refusal::retry_delay(error.reason, error.retry_after, id);
    refusal::failure(error.reason, error.execution, wait, remaining)
}
